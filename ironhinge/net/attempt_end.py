"""The ways in which an attempt, a health check or a connection can end, and the result reported for each.

This is the only mapping of ends to results: other modules refer to an end by its `AttemptEnd`.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

from ..interface import AttemptResult


class AttemptEnd(Enum):
    """How an attempt, a health check or a connection ended.

    Each value states whether the request may have run on the upstream: only a request that certainly did not
    run, or that is idempotent, may be sent again.
    """

    SERVED = auto()  # the whole answer arrived
    NOT_MODIFIED = auto()  # the client's copy is current
    MISS = auto()  # the upstream has no usable copy: the request did not run
    REJECTED = auto()  # the upstream rejected the request: it did not run
    ERROR = auto()  # the upstream answered with an error: the request may have run
    HEALTHY = auto()  # a health check succeeded
    UNHEALTHY = auto()  # a health check was answered with a failure
    EXPIRED = auto()  # the deadline had passed when the upstream got the request: it did not run
    CONNECTION_REFUSED = auto()  # the connection was refused: nothing ran
    CONNECT_TIMEOUT = auto()  # no connection was established in time: nothing ran
    NOT_SENT = auto()  # ended by this side before the whole command was written: the upstream did not get it
    # the connection broke before the whole command was written: the upstream did not get it
    CUT_BEFORE_SEND = auto()
    # its connection was closed because of another attempt: the request may have run; this end does not show
    # whether the upstream is healthy
    CONNECTION_SHARED_FAILURE = auto()
    STALLED = auto()  # an answer on the connection began and did not continue: the request may have run
    RESET = auto()  # the connection was reset after the command was written: the request may have run
    CLOSED = auto()  # the connection was closed after the command was written: the request may have run
    UNPARSABLE = auto()  # what the upstream sent can't be parsed: the request may have run
    MEMORY_LIMIT = auto()  # closed by this side as its queued output used too much memory: it may have run
    TIMED_OUT = auto()  # no answer by the deadline: the request may still be running
    CANCELLED = auto()  # the router cancelled it: the request may have run


# The result that is reported to the router for each end.
RESULTS: Final[dict[AttemptEnd, AttemptResult]] = {
    AttemptEnd.SERVED: AttemptResult.DONE,
    AttemptEnd.NOT_MODIFIED: AttemptResult.DONE,
    AttemptEnd.MISS: AttemptResult.MISS,
    AttemptEnd.REJECTED: AttemptResult.REJECTED,
    AttemptEnd.ERROR: AttemptResult.ERROR,
    AttemptEnd.HEALTHY: AttemptResult.DONE,
    AttemptEnd.UNHEALTHY: AttemptResult.ERROR,
    AttemptEnd.EXPIRED: AttemptResult.NOT_SENT,
    AttemptEnd.CONNECTION_REFUSED: AttemptResult.NOT_CONNECTED,
    AttemptEnd.CONNECT_TIMEOUT: AttemptResult.NOT_CONNECTED,
    AttemptEnd.NOT_SENT: AttemptResult.NOT_SENT,
    AttemptEnd.CUT_BEFORE_SEND: AttemptResult.CUT_BEFORE_SEND,
    AttemptEnd.CONNECTION_SHARED_FAILURE: AttemptResult.CANCELLED,
    AttemptEnd.STALLED: AttemptResult.RESET,
    AttemptEnd.RESET: AttemptResult.RESET,
    AttemptEnd.CLOSED: AttemptResult.RESET,
    AttemptEnd.UNPARSABLE: AttemptResult.ERROR,
    AttemptEnd.MEMORY_LIMIT: AttemptResult.CANCELLED,
    AttemptEnd.TIMED_OUT: AttemptResult.TIMEOUT,
    AttemptEnd.CANCELLED: AttemptResult.CANCELLED,
}
