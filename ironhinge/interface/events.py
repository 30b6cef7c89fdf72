"""Events: what a front reports to the decisions.

Times are whole tenths of a millisecond on the front's monotonic clock; sizes are KB; ids are opaque text.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class EndpointState(StrEnum):
    """Where an endpoint stands in its life."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has and takes nothing new
    REMOVED = "gone"


class Endpoint(NamedTuple):
    """One row of the endpoint list: a cache, a parent or the origin."""

    id: str
    state: EndpointState
    cell: int
    zone: int
    started_at: int  # 0: long ago
    weight: float
    kind: int


class AttemptResult(StrEnum):
    """How an attempt or a health check ended."""

    DONE = "done"
    ERROR = "error"  # it may have run
    REJECTED = "full"  # turned away for want of capacity: it never ran
    TIMEOUT = "timeout"  # it may still be running
    NOT_CONNECTED = "unconnected"  # no connection came up: it never ran
    RESET = "reset"  # the connection broke after it was sent: it may have run
    CUT_BEFORE_SEND = "cut"  # the connection broke before it was sent: it never ran
    CANCELLED = "cancelled"  # it may have run
    NOT_SENT = "unsent"  # given up here before it was sent: it never ran
    MISS = "miss"  # the endpoint holds no copy that will do: it never ran


class CacheStatus(IntEnum):
    """What an answer says of where it came from, or of who failed it."""

    NONE = 0  # nothing was said
    HIT = 1
    FILLED_FROM_SOURCE = 2  # from the copy that the source held
    FILLED_FROM_ORIGIN = 3  # the source had to ask the origin
    JOINED_FILL = 4  # it waited for a fill in progress; on a miss: there is one
    STALE_HIT = 5
    SOURCE_REJECTED = 6
    SOURCE_UNAVAILABLE = 7  # unreachable, broken or too slow
    SOURCE_MISS = 8
    FILL_LIMIT_REACHED = 9  # the endpoint itself takes no more fills
    ORIGIN_FAILED = 10  # behind the parent
    UNKNOWN = 11  # a note that this version does not know


class InstanceStarted(NamedTuple):
    """The router instance has just been made."""


class EndpointsUpdated(NamedTuple):
    """The endpoint list, or changes of it."""

    is_full: bool  # the whole list: what it lacks is removed
    endpoints: tuple[Endpoint, ...]


class DiscoveryFailed(NamedTuple):
    """A request for the endpoint list failed or the watch broke; the last list holds."""


class RequestReceived(NamedTuple):
    """A client's request, read whole."""

    request_id: str
    object_id: int
    part: int
    group: int
    size: float  # 0: unknown
    time_remaining: int  # until the client gives up
    class_index: int  # into `Deployment.request_classes`
    is_client_retry: bool
    is_write: bool
    connection_id: int = 0  # the client connection it came on; 0 where that is unknown


class ResponseStarted(NamedTuple):
    """The first bytes of the answer went to the client: no other attempt may follow."""

    request_id: str


class AttemptFinished(NamedTuple):
    """An attempt ended, with or without an answer."""

    request_id: str
    attempt_number: int  # from 0, of this request
    endpoint_id: str
    result: AttemptResult
    duration: int
    request_closed: bool  # the request has had its final answer, or its client has left
    cache_status: CacheStatus
    time_to_first_byte: int
    load_report: tuple[float, ...] | None


class ClientDisconnected(NamedTuple):
    """The client has left; no answer is owed any more."""

    request_id: str


class LocalCopyFinished(NamedTuple):
    """What became of a `ServeLocalCopy`."""

    request_id: str
    served: bool


class PurgeNotified(NamedTuple):
    """Copies made before the purge must not be served."""

    object_id: int | None  # None: the whole group
    group: int
    age: int  # time since the purge, rounded down


class TimerFired(NamedTuple):
    """A timer set with `SetTimer` is due."""

    token: str


class HealthCheckFinished(NamedTuple):
    """A health check was answered, or not."""

    endpoint_id: str
    result: AttemptResult
    duration: int
    load_report: tuple[float, ...] | None


class ShutdownStarted(NamedTuple):
    """The instance is to end: each open request needs its final answer within this time."""

    time_remaining: int


class GossipReceived(NamedTuple):
    """A datagram from another router of the tier."""

    sender: int
    data: bytes


Event = (
    InstanceStarted
    | EndpointsUpdated
    | DiscoveryFailed
    | RequestReceived
    | ResponseStarted
    | AttemptFinished
    | ClientDisconnected
    | PurgeNotified
    | TimerFired
    | HealthCheckFinished
    | GossipReceived
    | ShutdownStarted
    | LocalCopyFinished
)
