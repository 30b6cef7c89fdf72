"""A ring buffer of the latest events of connections and requests, written to the log on demand.

Recording is always on and costs one append and a count. Events are written to the log after an error or on
SIGUSR1; dumps after errors are limited, so that a repeated error can't fill the log.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from loguru import logger

MAX_EVENTS = 2000  # events that are kept; a dump on SIGUSR1 writes all of them
ERROR_DUMP_EVENTS = 200  # events in a dump after an error
MAX_ERROR_DUMPS = 1  # dumps after errors between two calls of `reset_dump_allowance`
TICKS_PER_MILLISECOND = 10


class EventKind(Enum):
    """What happened; the value is the event's name in the log and in the counters."""

    SYSTEM_CALL_FAILED = "system_call_failed"
    CLIENT_GOAWAY_SENT = "client_goaway_sent"  # the client was asked to send no new requests
    CLIENT_HALF_CLOSED = "client_half_closed"  # this side of a client's connection was shut down
    CLIENT_CLOSED_AT_ONCE = "client_closed_at_once"  # by us after GOAWAY, without waiting for its end
    CLIENT_CLOSED = "client_closed"
    REQUEST_REJECTED = "request_rejected"
    REQUEST_FAILED = "request_failed"
    REQUEST_CANCELLED = "request_cancelled"  # the client no longer waits for it
    REQUEST_UNANSWERED = "request_unanswered"  # its client connection was closed before the answer
    INPUT_DISCARDED = "input_discarded"  # bytes arrived after this side was shut down
    ATTEMPT_FAILED = "attempt_failed"  # an attempt ended without an answer to deliver


class Event(NamedTuple):
    """One event.

    Attributes:
        at: Monotonic ticks of a tenth of a millisecond.
        kind: What happened.
        subject: A request's id, a connection's number, or a system call.
        cause: Why; counted together with the kind.
        detail: Further information; may be empty.
    """

    at: int
    kind: EventKind
    subject: str
    cause: str
    detail: str


class EventLog:
    """The latest events, and the number of events by kind and cause.

    Attributes:
        counts: Number of events ever recorded, by `kind.cause`.
    """

    def __init__(self, now: Callable[[], int]):
        """Starts empty; `now` returns monotonic ticks."""
        self._now = now
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._error_dumps_remaining = MAX_ERROR_DUMPS
        self.counts: Counter[str] = Counter()

    def record(self, kind: EventKind, subject: str, cause: str, detail: str = "") -> None:
        """Adds an event."""
        self._events.append(Event(self._now(), kind, subject, cause, detail))
        self.counts[f"{kind.value}.{cause}"] += 1

    def events(self) -> tuple[Event, ...]:
        """Returns the events that are kept, oldest first."""
        return tuple(self._events)

    def reset_dump_allowance(self) -> None:
        """Allows dumps after errors again; called once per minute."""
        self._error_dumps_remaining = MAX_ERROR_DUMPS

    def dump_for_error(self, reason: str) -> None:
        """Writes the newest events to the log after an error, unless the allowance of dumps is used up."""
        if self._error_dumps_remaining:
            self._error_dumps_remaining -= 1
            self.dump(reason, ERROR_DUMP_EVENTS)

    def dump(self, reason: str, max_events: int = MAX_EVENTS) -> None:
        """Writes the newest events to the log, one line each."""
        events = list(self._events)[-max_events:]
        logger.warning("event_dump_started events={} reason={!r}", len(events), reason)
        now = self._now()
        for event in events:
            age_ms = (now - event.at) / TICKS_PER_MILLISECOND
            logger.warning(
                "event_dumped kind={} age_ms={:.1f} subject={!r} cause={!r} detail={!r}",
                event.kind.value,
                age_ms,
                event.subject,
                event.cause,
                event.detail,
            )
