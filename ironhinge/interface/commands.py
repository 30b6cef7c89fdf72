"""Commands: what the router returns for its host to execute, in order.

Times are whole tenths of a millisecond; deadlines are instants on the host's monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple


class SendAttempt(NamedTuple):
    """Send the request to an endpoint without a fill source.

    The origin runs the request; a cache answers it from a fresh copy or reports a miss.
    """

    request_id: str
    endpoint_id: str
    deadline: int  # the attempt times out if it has no answer by then
    start_deadline: int = 0  # not sent later: its idempotency key may be forgotten by then; 0: no limit


class SendAttemptWithFill(NamedTuple):
    """Send the request to an endpoint, with the source that fills a miss and whether to store the copy."""

    request_id: str
    endpoint_id: str
    deadline: int  # the attempt times out if it has no answer by then
    source_id: str  # endpoint that a miss is filled from; `endpoint_id` again: no fill
    admission_rank: int  # rank with which the endpoint stores the copy; 0: it does not store it
    max_copy_age: int  # age of the oldest copy that may be served; 0: the class's freshness lifetime
    may_join_fill: bool  # the request may wait for a fill of the same object that is in progress
    revalidates: bool  # the endpoint revalidates a copy past its freshness lifetime with the source
    source_cached_only: bool  # the source serves only a cached copy and does not ask the origin
    start_deadline: int = 0  # not sent later: its idempotency key may be forgotten by then; 0: no limit


class ServeLocalCopy(NamedTuple):
    """Answer the request from the local store, if the copy can be read in time."""

    request_id: str


class StoreLocalCopy(NamedTuple):
    """Store the answer that the request has just received in the local store."""

    request_id: str


class CancelAttempt(NamedTuple):
    """Cancel an attempt in flight."""

    request_id: str
    attempt_number: int


class RejectRequest(NamedTuple):
    """Give a request its final answer: a rejection, after which the client may safely send it again."""

    request_id: str
    retry_after: int  # time for which the client should wait; 0: the answer gives none


class FailRequest(NamedTuple):
    """Give a request its final answer: a failure. It may have run, so it must not be sent again."""

    request_id: str


class SetTimer(NamedTuple):
    """Report a `TimerFired` with this token after the delay."""

    delay: int
    token: str


class SetWatch(NamedTuple):
    """Start or stop watching the endpoint list for changes."""

    enabled: bool


class RequestFullList(NamedTuple):
    """Request the full endpoint list once."""


class SendHealthCheck(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint_id: str


class SendGossip(NamedTuple):
    """Send a datagram to other routers of the tier; it may be lost."""

    peer: int | None  # number of the receiving router; None: all
    data: bytes


class WriteLog(NamedTuple):
    """Write a line to the host's log."""

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
