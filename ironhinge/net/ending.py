"""Owns the ways in which a dispatch, or the connection under it, can end, and what each means to the module.

It must never hold any other mapping of ends: whoever learns how something ended names one of these values.
"""

from __future__ import annotations

from enum import Enum, auto

from ..interface import AttemptResult


class Ending(Enum):
    SERVED = auto()  # the bytes came whole
    SAME = auto()  # the client's copy is the one
    MISSED = auto()  # no copy that will do: it never ran
    FULL = auto()  # turned away: it never ran
    ERRED = auto()  # an error came: it may have run
    READY = auto()  # a probe found it well
    AILING = auto()  # a probe found it unwell
    STALE = auto()  # the node took it for over: it never ran
    REFUSED = auto()  # the connection was refused: nothing ran
    NEVER_UP = auto()  # no connection came up in time: nothing ran
    UNWRITTEN = auto()  # ended here before the command was written whole: the node never had it
    CUT = auto()  # the connection broke before the command was written whole: the node never had it
    BESIDE = (
        auto()
    )  # its connection ended over another dispatch: it may have run, and tells nothing of the node
    STUCK = auto()  # an answer on its connection began and did not go on: it may have run
    RESET = auto()  # the connection was reset after the command was written: it may have run
    CLOSED = auto()  # the connection was closed after the command was written: it may have run
    GARBLED = auto()  # what the node sent can't be read: it may have run
    OVERLOADED = auto()  # ended here, as what was queued on it took too much memory: it may have run
    TIMED_OUT = auto()  # no answer by the time that the module set: it may still be running
    CALLED_OFF = auto()  # the module gave it up: it may have run


RESULTS = {
    Ending.SERVED: AttemptResult.DONE,
    Ending.SAME: AttemptResult.DONE,
    Ending.MISSED: AttemptResult.MISS,
    Ending.FULL: AttemptResult.REJECTED,
    Ending.ERRED: AttemptResult.ERROR,
    Ending.READY: AttemptResult.DONE,
    Ending.AILING: AttemptResult.ERROR,
    Ending.STALE: AttemptResult.NOT_SENT,
    Ending.REFUSED: AttemptResult.NOT_CONNECTED,
    Ending.NEVER_UP: AttemptResult.NOT_CONNECTED,
    Ending.UNWRITTEN: AttemptResult.NOT_SENT,
    Ending.CUT: AttemptResult.CUT_BEFORE_SEND,
    Ending.BESIDE: AttemptResult.CANCELLED,
    Ending.STUCK: AttemptResult.RESET,
    Ending.RESET: AttemptResult.RESET,
    Ending.CLOSED: AttemptResult.RESET,
    Ending.GARBLED: AttemptResult.ERROR,
    Ending.OVERLOADED: AttemptResult.CANCELLED,
    Ending.TIMED_OUT: AttemptResult.TIMEOUT,
    Ending.CALLED_OFF: AttemptResult.CANCELLED,
}
