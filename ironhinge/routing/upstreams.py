"""The state of one cache, parent or origin, as this router sees it, and of attempts in flight to it."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Endpoint
from .congestion_estimate import CongestionEstimate
from .hashing import hash_key
from .request_rates import RequestRateTable

THROUGHPUT_HALF_LIFE = 100_000  # time over which the throughput of an upstream is averaged


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    upstream: Upstream  # to which it was sent
    source: Upstream | None  # from which that fills a miss
    sent_at: int
    overdue_at: float  # without an answer by then, whoever owes it is suspected
    endpoint: Endpoint  # the upstream as it was listed when the attempt was sent


class Path:
    """Something that transfers share: an upstream, or the ingress link of the location."""

    __slots__ = ("congestion", "in_flight", "is_local_cache")

    def __init__(self) -> None:
        self.congestion = CongestionEstimate()
        self.in_flight: dict[str, Attempt] = {}  # by request id; the latest last
        self.is_local_cache = False  # a ready cache of this router's location: a candidate of each request


class Upstream(Path):
    """All that is known of a cache, a parent or the origin. The mechanisms that use a field document it."""

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
        """Forgets what a restart of the upstream makes void."""
        self.congestion = CongestionEstimate()
        self.request_rates = RequestRateTable()
        self.failure_rate = 0.0  # share of failures in its latest outcomes
        self.ejected_until = 0
        self.ejection_length = 0.0  # of the latest ejection, in longest client timeouts; 0: trusted
        self.rejecting_until = 0  # it turned a request away: passed over until then
        self.last_response_at = 0  # when it last showed that it is alive
        self.unresponsive_since = 0  # when it last accepted no connection or was found unresponsive
        self.utilization = 1.0  # share of its capacity that it reports as in use, averaged
        self.throughput = 0.0  # transfer time done for this router in each unit of time, averaged
        self.throughput_updated_at = 0
        self.tokens: float | None = None  # while warming up: transfer time it may be sent; below 0: debt
        self.tokens_updated_at = 0

    def record_throughput(self, now: int, transfer_time: int) -> None:
        """Adds a finished transfer to the throughput."""
        self.throughput = self.throughput_at(now) + transfer_time / THROUGHPUT_HALF_LIFE
        self.throughput_updated_at = now

    def throughput_at(self, now: int) -> float:
        """The throughput, faded to the present."""
        return self.throughput * 2 ** ((self.throughput_updated_at - now) / THROUGHPUT_HALF_LIFE)
