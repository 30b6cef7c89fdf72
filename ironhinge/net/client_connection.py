"""One client's connection: its open streams, and the one way in which it ends.

A connection ends in steps (`Phase`): the client is told to bring no new request; for a while longer all that
comes is answered; then our side ends; what still comes is dropped until the client has ended its side; then
it is closed. Whatever ends it (`CloseCause`) takes these steps. No answer is chosen here.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from . import client_wire
from .attempt_end import AttemptEnd
from .clock import MILLISECOND, Clock
from .connection import Connection
from .event_log import EventKind, EventLog
from .open_request import OpenRequest

MAX_OPEN_REQUESTS = 32  # on one connection, says the protocol
# A client that has sent no frame, or no more of one that it began, never will: usual ones write at once, and
# the protocol's users count 3 s until we must have said so.
STALLED_TIMEOUT = 1200 * MILLISECOND
STALLED_TIMEOUT_WHEN_FULL = (
    400 * MILLISECOND
)  # for a frame begun, where no descriptor and no idle one is left
FRAME_TIMEOUT = 2400 * MILLISECOND  # for all of a frame, however slowly it comes
IDLE_TIMEOUT = 4500 * MILLISECOND  # clients close their idle connections after 4 s

# How long a connection must have been quiet after the announcement until our side ends.
NOTICE_PERIOD = 700 * MILLISECOND  # a path may hold what was sent each way for 0.3 s
NEVER_USED_NOTICE_PERIOD = 400 * MILLISECOND  # the users count 3 s, and it may have waited in the backlog
SHORT_OF_DESCRIPTORS_NOTICE_PERIOD = 250 * MILLISECOND
FULL_NOTICE_PERIOD = (
    60 * MILLISECOND
)  # no descriptor is left: crowds come faster than a longer notice lets go
UNUSED_SHUTDOWN_NOTICE_PERIOD = (
    100 * MILLISECOND
)  # for one that never sent anything, at the end of the program

LINGERING_TIMEOUT = 500 * MILLISECOND  # for the client to end its side; it is closed then, read or not
LINGERING_TIMEOUT_WHEN_SHORT = 100 * MILLISECOND  # the same where descriptors are short


class Phase(Enum):
    """How far the end of a connection has come."""

    OPEN = "open"
    ANNOUNCED = "announced"  # the client knows that it ends; all that comes is answered
    HALF_CLOSED = "half-closed"  # our side has ended; what comes is dropped


class Usage(Enum):
    """What a client has used its connection for, so far; the least useful first."""

    NONE = 0  # it never sent a frame
    READINESS_ONLY = 1  # it asked whether the director is ready, at most
    REQUESTS = 2


class CloseCause(Enum):
    """Why a connection is closed by us."""

    IDLE = "idle"
    NEVER_USED = "never_used"
    CAPACITY = "capacity"  # descriptors are short
    SHUTDOWN = "shutdown"
    PROTOCOL_VIOLATION = "protocol_violation"


class ClientConnectionOwner(Protocol):
    """What a client's connection needs of the director."""

    clock: Clock

    @property
    def event_log(self) -> EventLog:
        """The latest events."""

    def next_client_number(self) -> int:
        """The number of a connection that was just accepted."""

    def is_shutting_down(self) -> bool:
        """Whether new requests go elsewhere."""

    def is_short_of_descriptors(self) -> bool:
        """Whether connections have to end for new ones."""

    def on_client_connected(self, client: ClientConnection) -> None:
        """The connection was accepted."""

    def on_client_waiting(self, client: ClientConnection) -> None:
        """The connection begins to wait for its client anew."""

    def on_client_closed(self, client: ClientConnection) -> None:
        """The connection is closed."""

    def admit(
        self, client: ClientConnection, message: client_wire.RequestFrame | client_wire.MalformedRequest
    ) -> None:
        """A request came, to be answered with its stream."""

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Nobody waits for a request's answer any more."""

    def fail(self, request: OpenRequest) -> None:
        """Answers a request whose connection has to end."""

    def warn(self, kind: str, text: str) -> None:
        """Logs something that clients can cause in any number."""


class ClientConnection:
    """One client's connection."""

    def __init__(self, owner: ClientConnectionOwner):
        self.number = owner.next_client_number()
        self.wire = client_wire.ClientWire()
        self.open_requests: dict[int, OpenRequest] = {}  # by stream
        self.connection: Connection
        self.phase = Phase.OPEN
        self.close_cause: CloseCause | None = None
        self.close_not_before: int | None = None  # once announced; None: not yet known
        self.quiet_period = 0  # how long it has to have been quiet by then
        self.usage = Usage.NONE
        now = owner.clock.now()
        self.waiting_since = now  # for its first frame, the rest of one, or the next
        self.last_received_at = now
        self._owner = owner

    def on_connected(self, connection: Connection) -> None:
        """The connection was accepted."""
        self.connection = connection
        self._owner.on_client_connected(self)
        if self._owner.is_shutting_down():
            self.announce_close(CloseCause.SHUTDOWN, None)

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Bytes came; whole frames are handed on."""
        if self._drops_input():
            return
        had_partial_frame = bool(self.wire.buffered)
        self.last_received_at = self._owner.clock.now()
        messages = self.wire.feed(data)
        if messages or not had_partial_frame:
            self._restart_wait()
        for message in messages:
            if self._drops_input():  # the message before may have ended our side
                return
            if message is messages[-1] and not self.wire.buffered:
                connection.begin_at_last_data()
            self._record_usage(message)
            self._on_message(message)

    def _drops_input(self) -> bool:
        return self.phase is Phase.HALF_CLOSED

    def _on_message(self, message: client_wire.Message) -> None:
        if isinstance(message, client_wire.RequestCancelled):
            self._cancel_request(message.stream)
        elif isinstance(message, client_wire.ReadinessQuery):
            is_ready = not self._owner.is_shutting_down()
            self.connection.write(client_wire.readiness_report(message.stream, is_ready))
        elif isinstance(message, (client_wire.RequestFrame, client_wire.MalformedRequest)):
            self._on_request(message)
        else:
            self._close_for_violation(message.text)

    def _on_request(self, message: client_wire.RequestFrame | client_wire.MalformedRequest) -> None:
        if not message.stream or message.stream in self.open_requests:
            self._close_for_violation(f"stream {message.stream} can't take a request")
        elif len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self._close_for_violation(f"more than {MAX_OPEN_REQUESTS} open requests")
        else:
            self._owner.admit(self, message)

    def _record_usage(self, message: client_wire.Message) -> None:
        if isinstance(message, client_wire.RequestFrame):
            self.usage = Usage.REQUESTS
        elif self.usage is Usage.NONE:
            self.usage = Usage.READINESS_ONLY

    def _cancel_request(self, stream: int) -> None:
        request = self.open_requests.pop(stream, None)
        if request is not None:
            self._owner.on_client_disconnected(request)
        unsent_answers = [frame for frame in self.connection.pending_frames if frame.tag == stream]
        for frame in unsent_answers:
            self.connection.withdraw(frame)

    def send_answer(self, request: OpenRequest, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """Writes the final answer of a request."""
        self.open_requests.pop(request.stream, None)
        self._restart_wait()
        frame = client_wire.answer(request.stream, code, fields, body)
        self.connection.write(frame, request.stream, request.answer_expires_at)

    def announce_close(self, cause: CloseCause, notice_period: int | None) -> None:
        """Tells the client to bring no new request.

        Once the connection has been quiet for `notice_period` (tenths of a millisecond) our side ends;
        None: not before it is told another time.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        if self.phase is Phase.OPEN:
            self.phase = Phase.ANNOUNCED
            self.close_cause = cause
            self.connection.write(client_wire.goaway())
            self._record(EventKind.CLIENT_GOAWAY_SENT)
        if notice_period is None:
            self.close_not_before, self.quiet_period = None, 0
        elif self.close_not_before is None:
            self.close_cause = cause
            self.close_not_before = self._owner.clock.now() + notice_period
            self.quiet_period = notice_period

    def half_close(self) -> None:
        """Ends our side, after all that is queued.

        A client whose request comes in that moment sees an orderly end, not a reset that takes the last
        answers along.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        lingering_timeout = (
            LINGERING_TIMEOUT_WHEN_SHORT if self._owner.is_short_of_descriptors() else LINGERING_TIMEOUT
        )
        self.phase = Phase.HALF_CLOSED
        self.close_not_before = self._owner.clock.now() + lingering_timeout
        self._record(EventKind.CLIENT_HALF_CLOSED)
        self.connection.finish()

    def _close_for_violation(self, text: str) -> None:
        """Tells the client what is wrong, and ends the connection.

        What is open on it fails: whoever breaks the protocol on a connection can't be trusted with the rest
        of it, and what came with the violation has not been written to upstreams yet.
        """
        self._owner.warn("protocol_violations", f"client_protocol_violation error={text!r}")
        self.close_cause = CloseCause.PROTOCOL_VIOLATION
        self.half_close()  # first: nothing that its requests cause is to come before this
        for request in list(self.open_requests.values()):
            self._owner.fail(request)
        # our side ends after all that is queued when that is written
        self.connection.write(client_wire.error(text))

    def _restart_wait(self) -> None:
        self.waiting_since = self._owner.clock.now()
        self._owner.on_client_waiting(self)

    def is_quiet(self) -> bool:
        """Whether nothing is open, nothing waits to be written, and nothing has come of another request."""
        connection = self.connection
        is_busy = (
            self.open_requests or self.wire.buffered or connection.pending_frames or connection.outbound.used
        )
        return not (is_busy or connection.has_unread())

    def is_idle(self) -> bool:
        """Whether it may be chosen to end: nothing has begun to end it, or only the end of the program."""
        is_shutdown_announced = self.phase is Phase.ANNOUNCED and self.close_not_before is None
        return (self.phase is Phase.OPEN or is_shutdown_announced) and self.is_quiet()

    def check_timeouts(self, now: int) -> None:
        """Takes the next step of the end if its time has come."""
        if self.phase is Phase.HALF_CLOSED:
            if self.close_not_before is not None and now > self.close_not_before:
                self.connection.close(AttemptEnd.CLOSED)
        elif self.wire.buffered:
            is_overdue = now > self.waiting_since + FRAME_TIMEOUT
            self.close_if_stalled(now, 0 if is_overdue else STALLED_TIMEOUT)
        elif self.phase is Phase.ANNOUNCED:
            if self.close_not_before is not None and now >= self._quiet_until(self.close_not_before):
                self._close_if_quiet()
        elif now > self.waiting_since + self._idle_timeout() and self.is_idle():
            if self.usage is Usage.NONE:
                self.announce_close(CloseCause.NEVER_USED, NEVER_USED_NOTICE_PERIOD)
            else:
                self.announce_close(CloseCause.IDLE, NOTICE_PERIOD)

    def _quiet_until(self, close_not_before: int) -> int:
        return max(close_not_before, self.waiting_since + self.quiet_period)

    def _idle_timeout(self) -> int:
        return STALLED_TIMEOUT if self.usage is Usage.NONE else IDLE_TIMEOUT

    def _close_if_quiet(self) -> None:
        if not self.is_quiet():
            return
        if self.close_cause is CloseCause.CAPACITY and self.usage is not Usage.REQUESTS:
            self.connection.close(AttemptEnd.CLOSED)  # its descriptor is wanted now
        else:
            self.half_close()

    def close_if_stalled(self, now: int, timeout: int) -> bool:
        """Closes a connection with a frame begun of which nothing more has come for so long.

        False if there is none, or if it is we who are late.
        """
        is_stalled = (
            self.phase is not Phase.HALF_CLOSED
            and self.wire.buffered
            and now > self.last_received_at + timeout
        )
        if not is_stalled or self.connection.has_unread():
            return False
        self._close_for_violation("a frame that does not end")
        return True

    def close_for_capacity(self, is_full: bool) -> None:
        """Ends it as soon as may be, for others.

        One that never sent anything ends without notice, and is closed whole where no descriptor is left:
        crowds of them come faster than anything else lets them go. One that has brought requests may bring
        more, and has its full notice.
        """
        if is_full and self.usage is Usage.NONE:
            self.close_cause = CloseCause.CAPACITY
            self.connection.close(AttemptEnd.CLOSED)
            return
        if self.usage is Usage.REQUESTS:
            self.announce_close(CloseCause.CAPACITY, NOTICE_PERIOD)
        else:
            self.announce_close(
                CloseCause.CAPACITY, FULL_NOTICE_PERIOD if is_full else SHORT_OF_DESCRIPTORS_NOTICE_PERIOD
            )
        if self.usage is Usage.NONE:
            self.half_close()

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """The connection is closed: nobody waits for what is open on it."""
        self._owner.on_client_closed(self)
        self._record(EventKind.CLIENT_CLOSED, end.name)
        if connection.discarded_bytes:
            self._record(EventKind.INPUT_DISCARDED, f"{connection.discarded_bytes} bytes")
        for request in list(self.open_requests.values()):
            self._owner.event_log.record(
                EventKind.REQUEST_UNANSWERED, request.request_id, end.name, self._name()
            )
            self._owner.on_client_disconnected(request)
        self.open_requests.clear()

    def _name(self) -> str:
        return f"client {self.number}"

    def _record(self, kind: EventKind, detail: str = "") -> None:
        cause = self.close_cause.value if self.close_cause is not None else "peer"
        self._owner.event_log.record(kind, self._name(), cause, detail)
