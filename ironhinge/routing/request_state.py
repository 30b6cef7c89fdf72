"""The state of open requests and of request classes."""

from __future__ import annotations

from ..interface import Idempotency, RequestClass, RequestReceived
from .hashing import score
from .request_rates import AdmissionRank, ObjectKey
from .upstreams import Attempt, Path, Upstream

# Batches of events that an attempt waits for: one before it is sent and one before its result is handled.
# Batches are at least `Deployment.min_batch_interval` apart.
ROUND_TRIP_BATCHES = 2
PRIOR_TRANSFERS = 20  # weight, in transfers, of the prior of a class's transfer time: its latency target


class RequestClassState:
    """A request class and its observed transfer times."""

    __slots__ = ("_transfer_count", "_transfer_time_sum", "definition", "is_cacheable", "is_idempotent")

    def __init__(self, definition: RequestClass):
        self.definition = definition
        self.is_cacheable = not definition.is_write
        self.is_idempotent = definition.idempotency == Idempotency.IDEMPOTENT
        self._transfer_time_sum = definition.latency_target * PRIOR_TRANSFERS
        self._transfer_count = PRIOR_TRANSFERS

    def average_transfer_time(self) -> float:
        """Returns the average transfer time, estimated high while few transfers have been observed."""
        return max(self._transfer_time_sum / self._transfer_count, self.observed_transfer_time())

    def observed_transfer_time(self) -> int:
        """Returns the average of the observed transfer times; 0 before the first."""
        observed_count = self._transfer_count - PRIOR_TRANSFERS
        prior = self.definition.latency_target * PRIOR_TRANSFERS
        return (self._transfer_time_sum - prior) // observed_count if observed_count else 0

    def record_transfer_time(self, transfer_time: int) -> None:
        """Adds an observed transfer time to the averages."""
        self._transfer_time_sum += transfer_time
        self._transfer_count += 1


class RequestState:
    """An open request: its object and deadlines, the upstreams that were tried, and the attempt in flight."""

    __slots__ = (
        "admission_ranks",
        "attempt",
        "attempt_count",
        "client_deadline",
        "client_disconnected",
        "failed_upstreams",
        "fill_budget_wait",
        "group",
        "hash_key",
        "id",
        "in_flight_at_send",
        "is_cacheable",
        "key",
        "misses",
        "parent_hash_key",
        "possibly_run_attempt",
        "received",
        "recently_requested",
        "request_class",
        "response_started",
        "size",
        "target_at",
        "transfer_time",
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
        self.transfer_time = transfer_time  # expected duration of the transfer on an idle path
        self.client_deadline = now + received.time_remaining
        definition = request_class.definition
        target = definition.latency_target + int(definition.latency_target_stretch * transfer_time)
        self.target_at = min(self.client_deadline, now + target)
        self.recently_requested = False  # whether its part was requested here before, within the window
        self.misses: list[Upstream] = []  # upstreams that reported a miss
        # Upstreams that failed it and sources that could not fill its miss; one entry per failure.
        self.failed_upstreams: list[Upstream] = []
        self.admission_ranks: dict[Upstream, AdmissionRank] = {}  # by cache from which it was requested
        self.attempt_count = 0
        self.attempt: Attempt | None = None  # in flight
        self.possibly_run_attempt: Attempt | None = None  # the first that may have taken effect
        # By path: attempts in flight when its latest attempt on the path was sent, including that.
        self.in_flight_at_send: dict[Path, int] = {}
        self.fill_budget_wait = 0  # time until a fill budget allows its fill; 0: not limited
        self.response_started = False
        self.client_disconnected = False
