"""Events: what the host reports to the router.

Times are whole tenths of a millisecond on the host's monotonic clock; sizes are KB; ids are opaque text.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class EndpointState(StrEnum):
    """The lifecycle state of an endpoint."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests and must get no new ones
    REMOVED = "gone"


class Endpoint(NamedTuple):
    """One row of the endpoint list: a cache, a parent or the origin."""

    id: str
    state: EndpointState
    cell: int
    zone: int
    started_at: int  # 0: long ago
    weight: float  # capacity, as `Deployment.weight_kind` says
    kind: int  # tier; see `Deployment.parent_kind` and `Deployment.origin_kind`


class AttemptResult(StrEnum):
    """How an attempt or a health check ended, and whether the request may have run at the endpoint."""

    DONE = "done"  # answered
    ERROR = "error"  # answered with an error: the request may have run
    REJECTED = "full"  # rejected for lack of capacity: the request did not run
    TIMEOUT = "timeout"  # no answer by the deadline: the request may still be running
    NOT_CONNECTED = "unconnected"  # no connection was established: the request did not run
    RESET = "reset"  # the connection broke after the request was sent: it may have run
    CUT_BEFORE_SEND = "cut"  # the connection broke before the request was sent: it did not run
    CANCELLED = "cancelled"  # ended by this side after the request was sent: it may have run
    NOT_SENT = "unsent"  # ended by this side before it was sent, or expired on arrival: it did not run
    MISS = "miss"  # the endpoint has no usable copy: the request did not run


class CacheStatus(IntEnum):
    """Where an endpoint got its answer from, or why it could not answer, as the answer states it."""

    NONE = 0  # the answer states nothing
    HIT = 1
    FILLED_FROM_SOURCE = 2  # filled from a copy that the source had
    FILLED_FROM_ORIGIN = 3  # filled from the source, which had to ask the origin
    JOINED_FILL = 4  # the request waited for a fill in progress; with a miss: a fill is in progress
    STALE_HIT = 5
    SOURCE_REJECTED = 6
    SOURCE_UNAVAILABLE = 7  # the source is unreachable, broken or too slow
    SOURCE_MISS = 8
    FILL_LIMIT_REACHED = 9  # the endpoint itself accepts no more fills
    ORIGIN_FAILED = 10  # the origin failed, behind a parent
    UNKNOWN = 11  # a status that this version does not know


class InstanceStarted(NamedTuple):
    """The router instance was created; this is its first event."""


class EndpointsUpdated(NamedTuple):
    """The endpoint list or changes to it."""

    is_full: bool  # `endpoints` is the whole list: endpoints missing from it are removed
    endpoints: tuple[Endpoint, ...]


class DiscoveryFailed(NamedTuple):
    """A request for the endpoint list failed or the watch broke; the last list stays in use."""


class RequestReceived(NamedTuple):
    """A client's request was read completely."""

    request_id: str
    object_id: int
    part: int  # of a segmented object
    group: int  # purge group of the object
    size: float  # 0: unknown
    time_remaining: int  # until the client stops waiting
    class_index: int  # into `Deployment.request_classes`
    is_client_retry: bool  # the client has sent the request before
    is_write: bool
    connection_id: int = 0  # the client connection on which it was received; 0: unknown


class ResponseStarted(NamedTuple):
    """The first bytes of the answer were sent to the client: no other attempt may follow."""

    request_id: str


class AttemptFinished(NamedTuple):
    """An attempt ended, with or without an answer."""

    request_id: str
    attempt_number: int  # counted from 0 for each request
    endpoint_id: str
    result: AttemptResult
    duration: int
    request_closed: bool  # the request has its final answer, or its client needs none any more
    cache_status: CacheStatus
    time_to_first_byte: int
    load_report: tuple[float, ...] | None  # in the order of `Deployment.load_report_fields`; None: no report


class ClientDisconnected(NamedTuple):
    """The client disconnected or cancelled the request, which needs no answer any more."""

    request_id: str


class LocalCopyFinished(NamedTuple):
    """The host has executed a `ServeLocalCopy`."""

    request_id: str
    served: bool  # False: the copy could not be read in time and the request is still unanswered


class PurgeNotified(NamedTuple):
    """An object or a group was purged: copies from before the purge must not be served."""

    object_id: int | None  # None: all objects of the group
    group: int
    age: int  # time since the purge, rounded down


class TimerFired(NamedTuple):
    """A timer set with `SetTimer` is due."""

    token: str


class HealthCheckFinished(NamedTuple):
    """A health check ended, with or without an answer."""

    endpoint_id: str
    result: AttemptResult
    duration: int
    load_report: tuple[float, ...] | None  # in the order of `Deployment.load_report_fields`; None: no report


class ShutdownStarted(NamedTuple):
    """The instance is shutting down: each open request must get its final answer in `time_remaining`."""

    time_remaining: int


class GossipReceived(NamedTuple):
    """A datagram from another router of the tier."""

    sender: int  # number of the sending router
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
