"""The state of an upstream (a cache, a parent or the origin) at this router, and of attempts."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Endpoint
from .congestion_estimate import CongestionEstimate
from .hashing import hash_key
from .request_rates import RequestRateTable

THROUGHPUT_HALF_LIFE = 100_000  # half-life of the average throughput of an upstream


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request: where and when it was sent."""

    upstream: Upstream  # receives the attempt
    source: Upstream | None  # fills a miss; None: no fill
    sent_at: int
    overdue_at: float  # unanswered by then, the upstream or the source may be unresponsive
    endpoint: Endpoint  # the upstream's list entry when the attempt was sent


class Path:
    """A resource that transfers share and that can be congested: an upstream or the ingress link."""

    __slots__ = ("congestion", "in_flight", "is_local_cache")

    def __init__(self) -> None:
        self.congestion = CongestionEstimate()
        self.in_flight: dict[str, Attempt] = {}  # by request id; latest last
        self.is_local_cache = False  # a ready cache of this router's location, thus a candidate


class Upstream(Path):
    """The state of a cache, a parent or the origin; the modules that use a field describe its purpose."""

    __slots__ = (
        "ejected_until",
        "ejection_length",
        "endpoint",
        "failure_rate",
        "hash_key",
        "id",
        "last_response_at",
        "rejecting_until",
        "request_rates",
        "throughput",
        "throughput_updated_at",
        "tokens",
        "tokens_updated_at",
        "unresponsive_since",
        "utilization",
    )

    def __init__(self, endpoint: Endpoint):
        super().__init__()
        self.id, self.hash_key = endpoint.id, hash_key(endpoint.id)
        self.endpoint = endpoint
        self.reset()

    def reset(self) -> None:
        """Resets the state that a restart of the upstream invalidates."""
        self.congestion = CongestionEstimate()
        self.request_rates = RequestRateTable()
        self.failure_rate = 0.0  # moving average of its outcomes: 0 for a success, 1 for a failure
        self.ejected_until = 0
        self.ejection_length = 0.0  # of the last ejection, in units of the longest client timeout; 0: trusted
        self.rejecting_until = 0  # it rejected a request: skipped until then
        self.last_response_at = 0  # time of its last answer or of a failed attempt that did not time out
        self.unresponsive_since = 0  # when it last accepted no connection, or was found unresponsive; 0: not
        self.utilization = 1.0  # average of the shares of its capacity that it reported as in use
        self.throughput = 0.0  # transfer time served to this router per unit of time, averaged
        self.throughput_updated_at = 0
        self.tokens: float | None = None  # transfer time that it may be sent, negative: overdrawn; None: warm
        self.tokens_updated_at = 0

    def record_throughput(self, now: int, transfer_time: int) -> None:
        """Adds a finished transfer to the average throughput."""
        self.throughput = self.throughput_at(now) + transfer_time / THROUGHPUT_HALF_LIFE
        self.throughput_updated_at = now

    def throughput_at(self, now: int) -> float:
        """Returns the average throughput, decayed to the current time."""
        return self.throughput * 2 ** ((self.throughput_updated_at - now) / THROUGHPUT_HALF_LIFE)
