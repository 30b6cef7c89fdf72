"""The state of open requests, and of the classes to which they belong."""

from __future__ import annotations

from ..interface import Idempotency, RequestClass, RequestReceived
from .hashing import score
from .request_rates import AdmissionRank, ObjectKey
from .upstreams import Attempt, Path, Upstream

# An attempt and its result each wait for a batch of events; batches are the time granularity apart.
ROUND_TRIP_BATCHES = 2
PRIOR_TRANSFERS = 20  # transfers that the first guess of a class's transfer time, its target, counts for


class RequestClassState:
    """A class of requests, and what its transfers were seen to take."""

    __slots__ = ("_transfer_count", "_transfer_time_sum", "definition", "is_cacheable", "is_idempotent")

    def __init__(self, definition: RequestClass):
        self.definition = definition
        self.is_cacheable = not definition.is_write
        self.is_idempotent = definition.idempotency == Idempotency.IDEMPOTENT
        self._transfer_time_sum = definition.latency_target * PRIOR_TRANSFERS
        self._transfer_count = PRIOR_TRANSFERS

    def average_transfer_time(self) -> float:
        """On the high side while few transfers were seen."""
        return max(self._transfer_time_sum / self._transfer_count, self.observed_transfer_time())

    def observed_transfer_time(self) -> int:
        """The average of the transfers that were seen; 0 before the first."""
        observed_count = self._transfer_count - PRIOR_TRANSFERS
        prior = self.definition.latency_target * PRIOR_TRANSFERS
        return (self._transfer_time_sum - prior) // observed_count if observed_count else 0

    def record_transfer_time(self, transfer_time: int) -> None:
        """Adds one transfer to the averages."""
        self._transfer_time_sum += transfer_time
        self._transfer_count += 1


class RequestState:
    """One open request: what is asked for, what was tried, and the attempt in flight."""

    __slots__ = (
        "admission_ranks",
        "attempt",
        "attempt_count",
        "client_deadline",
        "client_disconnected",
        "failed",
        "fill_budget_wait",
        "group",
        "hash_key",
        "id",
        "in_flight_at_send",
        "is_cacheable",
        "key",
        "parent_hash_key",
        "possibly_run_attempt",
        "received",
        "recently_requested",
        "request_class",
        "response_started",
        "size",
        "target_at",
        "transfer_time",
        "tried",
    )

    def __init__(
        self, received: RequestReceived, request_class: RequestClassState, now: int, transfer_time: int
    ):
        self.received, self.request_class = received, request_class
        self.id, self.group, self.size = received.request_id, received.group, received.size
        self.key: ObjectKey = (received.object_id, received.part)
        self.hash_key = score(received.object_id, received.part + 1)
        self.parent_hash_key = score(received.object_id, 0)  # all parts of an object share their parents
        self.is_cacheable = request_class.is_cacheable and not received.is_write
        self.transfer_time = transfer_time  # on an idle path
        self.client_deadline = now + received.time_remaining
        definition = request_class.definition
        target = definition.latency_target + int(definition.latency_target_stretch * transfer_time)
        self.target_at = min(self.client_deadline, now + target)
        self.recently_requested = False  # its object was requested here not long ago
        self.tried: list[Upstream] = []  # caches that had no copy
        self.failed: list[Upstream] = []  # upstreams and fill sources that failed it
        self.admission_ranks: dict[Upstream, AdmissionRank] = {}  # at the caches that were to look it up
        self.attempt_count = 0
        self.attempt: Attempt | None = None  # in flight
        self.possibly_run_attempt: Attempt | None = None  # the first attempt that may have taken effect
        self.in_flight_at_send: dict[Path, int] = {}  # attempts on its paths when its own was sent
        self.fill_budget_wait = 0  # until a fill budget without room for it has some
        self.response_started = False
        self.client_disconnected = False
