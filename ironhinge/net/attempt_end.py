"""The ways in which an attempt, or the connection under it, can end, and what each means to the decisions.

This is the only mapping of ends to results: whoever learns how something ended names one of these values.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

from ..interface import AttemptResult


class AttemptEnd(Enum):
    """How an attempt, a health check or a connection ended.

    What matters about an end is whether the request may have run on the upstream: only a request that
    certainly did not run, or is idempotent, may be sent again.
    """

    SERVED = auto()  # the response arrived whole
    NOT_MODIFIED = auto()  # the client's copy is current
    MISS = auto()  # the upstream has no usable copy: the request did not run
    REJECTED = auto()  # the upstream rejected the request: it did not run
    ERROR = auto()  # the upstream answered with an error: the request may have run
    HEALTHY = auto()  # a health check succeeded
    UNHEALTHY = auto()  # a health check was answered with a failure
    EXPIRED = auto()  # the upstream found the deadline passed: the request did not run
    CONNECTION_REFUSED = auto()  # the connection was refused: nothing ran
    CONNECT_TIMEOUT = auto()  # no connection was established in time: nothing ran
    NOT_SENT = auto()  # ended here before the command was written whole: the upstream did not get it
    # the connection broke before the command was written whole: the upstream did not get it
    CUT_BEFORE_SEND = auto()
    # its connection ended because of another attempt: the request may have run; says nothing of the upstream
    CONNECTION_SHARED_FAILURE = auto()
    STALLED = auto()  # a response on its connection began and did not continue: the request may have run
    RESET = auto()  # the connection was reset after the command was written: the request may have run
    CLOSED = auto()  # the connection was closed after the command was written: the request may have run
    UNPARSABLE = auto()  # what the upstream sent can't be parsed: the request may have run
    MEMORY_LIMIT = auto()  # closed here, since its queued output took too much memory: it may have run
    TIMED_OUT = auto()  # no response by the deadline: the request may still be running
    CANCELLED = auto()  # the decisions cancelled it: the request may have run


# What the decisions are told of each end.
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
