"""Commands: what the decisions tell a front to do, in the order in which it is to be done.

Times are whole tenths of a millisecond: deadlines are instants on the front's monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Send the request to an endpoint for what it holds fresh; no fill is named."""

    request_id: str
    endpoint_id: str
    deadline: int  # without an answer by then the attempt has timed out
    start_deadline: int = 0  # not begun by then it must never be; 0: any time


class SendAttemptWithFill(NamedTuple):
    """Send the request to an endpoint and say where a miss is filled from and how the copy is kept."""

    request_id: str
    endpoint_id: str
    deadline: int  # without an answer by then the attempt has timed out
    source_id: str  # the endpoint itself: no fill
    admission_rank: int  # 0: the copy is not kept
    max_copy_age: int  # the oldest copy that may be served; 0: the class's freshness lifetime
    may_join_fill: bool  # it may wait for a fill of the same object in progress
    revalidates: bool  # a copy past its freshness lifetime is checked with the source
    source_cached_only: bool  # the source gives only what it holds
    start_deadline: int = 0  # not begun by then it must never be; 0: any time


class ServeLocalCopy(NamedTuple):
    """Answer with the router's own copy, if it can be read in time."""

    request_id: str


class StoreLocalCopy(NamedTuple):
    """Keep the answer that has just come as a copy of the router's own."""

    request_id: str


class CancelAttempt(NamedTuple):
    """Give up an attempt."""

    request_id: str
    attempt_number: int


class RejectRequest(NamedTuple):
    """The final answer of a request that may safely be made again."""

    request_id: str
    retry_after: int  # 0: nothing is said of when


class FailRequest(NamedTuple):
    """The final answer of a request that may have run and must not be made again."""

    request_id: str


class SetTimer(NamedTuple):
    """Report a `TimerFired` with this token after the delay."""

    delay: int
    token: str


class SetWatch(NamedTuple):
    """Begin or end watching the endpoint list."""

    enabled: bool


class RequestFullList(NamedTuple):
    """Request the full endpoint list once."""


class SendHealthCheck(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint_id: str


class SendGossip(NamedTuple):
    """Send a datagram to other routers of the tier; it may be lost."""

    peer: int | None  # None: all
    data: bytes


class WriteLog(NamedTuple):
    """Write a line to the front's log."""

    text: str


Command = (
    SendAttempt
    | SendAttemptWithFill
    | ServeLocalCopy
    | StoreLocalCopy
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | SetWatch
    | RequestFullList
    | SendHealthCheck
    | SendGossip
    | WriteLog
)
