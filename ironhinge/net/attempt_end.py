"""Owns the ways in which a dispatch, or the connection under it, can end, and what each means to the module.

It must never hold any other mapping of ends: whoever learns how something ended names one of these values.
"""

from __future__ import annotations

from enum import Enum, auto

from ..interface import AttemptResult


class AttemptEnd(Enum):
    SERVED = auto()  # the bytes came whole
    NOT_MODIFIED = auto()  # the client's copy is the one
    MISS = auto()  # no copy that will do: it never ran
    REJECTED = auto()  # turned away: it never ran
    ERROR = auto()  # an error came: it may have run
    HEALTHY = auto()  # a probe found it well
    UNHEALTHY = auto()  # a probe found it unwell
    EXPIRED = auto()  # the node took it for over: it never ran
    CONNECTION_REFUSED = auto()  # the connection was refused: nothing ran
    CONNECT_TIMEOUT = auto()  # no connection came up in time: nothing ran
    NOT_SENT = auto()  # ended here before the command was written whole: the node never had it
    CUT_BEFORE_SEND = (
        auto()
    )  # the connection broke before the command was written whole: the node never had it
    CONNECTION_SHARED_FAILURE = (
        auto()
    )  # its connection ended over another dispatch: it may have run, and tells nothing of the node
    STALLED = auto()  # an answer on its connection began and did not go on: it may have run
    RESET = auto()  # the connection was reset after the command was written: it may have run
    CLOSED = auto()  # the connection was closed after the command was written: it may have run
    UNPARSABLE = auto()  # what the node sent can't be read: it may have run
    MEMORY_LIMIT = auto()  # ended here, as what was queued on it took too much memory: it may have run
    TIMED_OUT = auto()  # no answer by the time that the module set: it may still be running
    CANCELLED = auto()  # the module gave it up: it may have run


RESULTS = {
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
