"""Owns what is known of one client's connection: its open streams, and the one way in which it ends.

A connection ends in steps (`Phase`): the client is told to bring no new request; for a while longer all that
comes is answered; then our side ends; what still comes is dropped until the client has ended its side; then
it is closed. Whatever ends it (`CloseCause`) takes these steps. It must never talk to the decision module or
choose an answer.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from . import client_wire
from .attempt_end import AttemptEnd
from .clock import MILLISECOND
from .connection import Connection
from .event_log import EventKind

if TYPE_CHECKING:
    from .director import Director
    from .open_request import OpenRequest

STREAMS = 32  # open requests that a client's connection carries, says the protocol
STALLED = 1200 * MILLISECOND  # a client that has sent no frame, or no more of one that it began, never will:
# usual ones write at once, and the protocol's users count 3 s until we must have said so
HURRIED_STALLED = 400 * MILLISECOND  # the same for a frame begun, where no descriptor and no idle one is left
FRAME_TIME = 2400 * MILLISECOND  # for all of a frame, however slowly it comes
IDLE = 4500 * MILLISECOND  # clients close their idle connections after 4 s
NOTICE = (
    700 * MILLISECOND
)  # for answering what comes after the announcement: a path may hold each way for 0.3 s
SILENT_NOTICE = 400 * MILLISECOND  # the same for one that never asked: the users count 3 s, and it may have
# waited in the backlog
HURRIED_NOTICE = 250 * MILLISECOND  # the same where descriptors are short
PRESSING_NOTICE = 60 * MILLISECOND  # and where none is left: crowds come faster than a longer one lets go
UNASKED_NOTICE = 100 * MILLISECOND  # for one that has never asked anything, at the end of the program
LINGER = 500 * MILLISECOND  # for the client to end its side; it is closed then, read or not
HURRIED_LINGER = 100 * MILLISECOND  # the same where descriptors are short


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
    """Why a connection is ended by us."""

    IDLE = "idle"
    NEVER_USED = "silent"  # it never asked anything
    CAPACITY = "room"  # descriptors are short
    SHUTDOWN = "shutdown"
    PROTOCOL_VIOLATION = "breach"  # the client broke the protocol


class ClientConnection:
    """One client's connection."""

    def __init__(self, director: Director):
        self.director = director
        director.clients_accepted += 1
        self.number = director.clients_accepted
        self.wire = client_wire.ClientWire()
        self.open_requests: dict[int, OpenRequest] = {}  # by stream
        self.connection: Connection
        self.phase = Phase.OPEN
        self.close_cause: CloseCause | None = None
        self.close_not_before: int | None = (
            None  # from when on an announced connection may end; None: not yet known
        )
        self.quiet_period = 0  # how long it has to have been quiet by then
        self.usage = Usage.NONE
        now = director.clock.now()
        self.waiting_since = now  # it is waited for: its first frame, the rest of one, or the next
        self.last_received_at = now  # bytes came

    def on_connected(self, link: Connection) -> None:
        """The connection was accepted."""
        self.connection = link
        self.director.clients[self] = None
        if self.director.shutdown_deadline is not None:
            self.announce_close(CloseCause.SHUTDOWN, None)

    def on_data(self, link: Connection, data: memoryview) -> None:
        """Bytes came; whole frames are handed on."""
        if self.phase is Phase.HALF_CLOSED:
            return
        begun = bool(self.wire.buffered)
        self.last_received_at = self.director.clock.now()
        messages = self.wire.feed(data)
        if messages or not begun:
            self._restart_wait()
        for message in messages:
            if self.phase is Phase.HALF_CLOSED:
                return
            self._record_usage(message)
            if isinstance(message, client_wire.RequestCancelled):
                self._cancel_request(message.stream)
            elif isinstance(message, client_wire.ReadinessQuery):
                link.write(client_wire.ready(message.stream, self.director.shutdown_deadline is None))
            elif isinstance(message, (client_wire.RequestFrame, client_wire.MalformedRequest)):
                if not message.stream or message.stream in self.open_requests:
                    self._close_for_violation(f"stream {message.stream} can't take a req")
                elif len(self.open_requests) >= STREAMS:
                    self._close_for_violation(f"more than {STREAMS} open reqs")
                else:
                    self.director.admit(self, message)
            else:
                self._close_for_violation(message.text)

    def _record_usage(self, message: client_wire.Message) -> None:
        if isinstance(message, client_wire.RequestFrame):
            self.usage = Usage.REQUESTS
        elif self.usage is Usage.NONE:
            self.usage = Usage.READINESS_ONLY

    def _cancel_request(self, stream: int) -> None:
        req = self.open_requests.pop(stream, None)
        if req is not None:
            self.director.on_client_left(req)
        for frame in [each for each in self.connection.pending_frames if each.tag == stream]:
            self.connection.withdraw(frame)  # an answer that waits to be written

    def send_answer(self, req: OpenRequest, code: int, fields: dict[str, str], body: bytes) -> None:
        """The final answer of a request."""
        self.open_requests.pop(req.stream, None)
        self._restart_wait()
        self.connection.write(
            client_wire.answer(req.stream, code, fields, body), req.stream, req.answer_expires_at
        )

    # The end

    def announce_close(self, cause: CloseCause, notice: int | None) -> None:
        """Tells the client to bring no new request. Once it has been quiet for `notice` our side ends; None:
        not before it is told another time.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        if self.phase is Phase.OPEN:
            self.phase, self.close_cause = Phase.ANNOUNCED, cause
            self.connection.write(client_wire.no_more())
            self._record(EventKind.CLIENT_ANNOUNCED)
        if notice is None:
            self.close_not_before, self.quiet_period = None, 0
        elif self.close_not_before is None:
            self.close_cause = cause
            self.close_not_before, self.quiet_period = self.director.clock.now() + notice, notice

    def half_close(self) -> None:
        """Ends our side, after all that is queued. Guards a request that comes in that moment: its client
        sees an orderly end, not a reset that takes the last answers along.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        linger = HURRIED_LINGER if self.director.manager.is_nearly_full() else LINGER
        self.phase, self.close_not_before = Phase.HALF_CLOSED, self.director.clock.now() + linger
        self._record(EventKind.CLIENT_HALF_CLOSED)
        self.connection.finish()

    def _close_for_violation(self, text: str) -> None:
        """Tells the client what is wrong, and ends the connection: what is open on it is aborted, since
        whoever breaks the protocol on a connection can't be trusted with the rest of it. Guards the nodes
        against crowds of requests: what came with the breach has not been written to them yet.
        """
        self.director.warn("breaches", f"a client's connection is ended: {text}")
        self.close_cause = CloseCause.PROTOCOL_VIOLATION
        self.half_close()  # first: nothing that its requests cause is to come before this
        for req in list(self.open_requests.values()):
            self.director.fail(req)
        self.connection.write(
            client_wire.error(text)
        )  # our side ends after all that is queued when it is written

    def _restart_wait(self) -> None:
        """Waiting begins anew."""
        self.waiting_since = self.director.clock.now()
        if self in self.director.clients:
            del self.director.clients[self]
            self.director.clients[self] = None

    def is_quiet(self) -> bool:
        """True when nothing is open, nothing waits to be written, and nothing has come of another request."""
        link = self.connection
        busy = self.open_requests or self.wire.buffered or link.pending_frames or link.outbound.used
        return not (busy or link.has_unread())

    def is_idle(self) -> bool:
        """True when it may be chosen to end: nothing has begun to end it, or only the end of the program."""
        waits = self.phase is Phase.ANNOUNCED and self.close_not_before is None
        return (self.phase is Phase.OPEN or waits) and self.is_quiet()

    def check_timeouts(self, now: int) -> None:
        """Takes the next step of the end if its time has come."""
        if self.phase is Phase.HALF_CLOSED:
            if self.close_not_before is not None and now > self.close_not_before:
                self.connection.close(AttemptEnd.CLOSED)
        elif self.wire.buffered:
            if now > self.waiting_since + FRAME_TIME:
                self.close_if_stalled(now, 0)
            else:
                self.close_if_stalled(now, STALLED)
        elif self.phase is Phase.ANNOUNCED:
            if self.close_not_before is not None and now >= max(
                self.close_not_before, self.waiting_since + self.quiet_period
            ):
                self._close_if_quiet()
        elif now > self.waiting_since + (STALLED if self.usage is Usage.NONE else IDLE) and self.is_idle():
            if self.usage is Usage.NONE:
                self.announce_close(CloseCause.NEVER_USED, SILENT_NOTICE)
            else:
                self.announce_close(CloseCause.IDLE, NOTICE)

    def _close_if_quiet(self) -> None:
        if not self.is_quiet():
            return
        if self.close_cause is CloseCause.CAPACITY and self.usage is not Usage.REQUESTS:
            self.connection.close(AttemptEnd.CLOSED)  # its descriptor is wanted now
        else:
            self.half_close()

    def close_if_stalled(self, now: int, limit: int) -> bool:
        """Refuses a frame that was begun and of which nothing more has come for so long; False if there is
        none, or if it is we who are late.
        """
        stalled = (
            self.phase is not Phase.HALF_CLOSED and self.wire.buffered and now > self.last_received_at + limit
        )
        if not stalled or self.connection.has_unread():
            return False
        self._close_for_violation("a frame that does not end")
        return True

    def close_for_capacity(self, pressing: bool) -> None:
        """Ends it as soon as may be, for others. One that never asked ends without notice, and is closed
        whole where no descriptor is left: crowds of them come faster than anything else lets them go. One
        that has brought requests may bring more, and has its full notice.
        """
        if pressing and self.usage is Usage.NONE:
            self.close_cause = CloseCause.CAPACITY
            return self.connection.close(AttemptEnd.CLOSED)
        if self.usage is Usage.REQUESTS:
            self.announce_close(CloseCause.CAPACITY, NOTICE)
        else:
            self.announce_close(CloseCause.CAPACITY, PRESSING_NOTICE if pressing else HURRIED_NOTICE)
        if self.usage is Usage.NONE:
            self.half_close()

    def on_closed(self, link: Connection, ending: AttemptEnd) -> None:
        """The connection is over."""
        self.director.clients.pop(self, None)
        self._record(EventKind.CLIENT_CLOSED, ending.name)
        if link.discarded_bytes:
            self._record(EventKind.REQUEST_UNREAD, f"{link.discarded_bytes} bytes")
        for req in list(self.open_requests.values()):
            self.director.event_log.record(
                EventKind.REQUEST_UNANSWERED, req.request_id, ending.name, self._name()
            )
            self.director.on_client_left(req)
        self.open_requests.clear()

    def _name(self) -> str:
        return f"client {self.number}"

    def _record(self, kind: EventKind, detail: str = "") -> None:
        cause = self.close_cause.value if self.close_cause is not None else "peer"
        self.director.event_log.record(kind, self._name(), cause, detail)
