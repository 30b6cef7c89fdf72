"""Owns what is known of one client's connection: its open streams, and the one way in which it ends.

A connection ends in steps (`Phase`): the client is told to bring no new request; for a while longer all that
comes is answered; then our side ends; what still comes is dropped until the client has ended its side; then
it is closed. Whatever ends it (`CloseCause`) takes these steps. It must never talk to the decision module or
choose an answer.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from . import clientwire
from .clock import MILLISECOND
from .ending import Ending
from .event_log import EventKind
from .links import Link

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


class Use(Enum):
    """What a client has used its connection for, so far; the least useful first."""

    NONE = 0  # it never sent a frame
    ASKED = 1  # it asked whether the director is ready, at most
    REQUESTS = 2


class CloseCause(Enum):
    """Why a connection is ended by us."""

    IDLE = "idle"
    SILENT = "silent"  # it never asked anything
    ROOM = "room"  # descriptors are short
    SHUTDOWN = "shutdown"
    BREACH = "breach"  # the client broke the protocol


class Client:
    """One client's connection."""

    def __init__(self, director: Director):
        self.director = director
        director.clients_seen += 1
        self.number = director.clients_seen
        self.wire = clientwire.ClientWire()
        self.open: dict[int, OpenRequest] = {}  # by stream
        self.link: Link
        self.phase = Phase.OPEN
        self.cause: CloseCause | None = None
        self.ends_at: int | None = None  # from when on an announced connection may end; None: not yet known
        self.notice = 0  # how long it has to have been quiet by then
        self.use = Use.NONE
        now = director.clock.now()
        self.since = now  # it is waited for: its first frame, the rest of one, or the next
        self.heard_at = now  # bytes came

    def up(self, link: Link) -> None:
        """The connection was accepted."""
        self.link = link
        self.director.clients[self] = None
        if self.director.leave_at is not None:
            self.announce(CloseCause.SHUTDOWN, None)

    def receive(self, link: Link, data: memoryview) -> None:
        """Bytes came; whole frames are handed on."""
        if self.phase is Phase.HALF_CLOSED:
            return
        begun = bool(self.wire.held)
        self.heard_at = self.director.clock.now()
        messages = self.wire.feed(data)
        if messages or not begun:
            self._waits()
        for message in messages:
            if self.phase is Phase.HALF_CLOSED:
                return
            self._uses(message)
            if isinstance(message, clientwire.Gone):
                self._gone(message.stream)
            elif isinstance(message, clientwire.ReadyAsked):
                link.write(clientwire.ready(message.stream, self.director.leave_at is None))
            elif isinstance(message, (clientwire.Came, clientwire.Unreadable)):
                if not message.stream or message.stream in self.open:
                    self._refuse(f"stream {message.stream} can't take a req")
                elif len(self.open) >= STREAMS:
                    self._refuse(f"more than {STREAMS} open reqs")
                else:
                    self.director.take(self, message)
            else:
                self._refuse(message.text)

    def _uses(self, message: clientwire.Message) -> None:
        if isinstance(message, clientwire.Came):
            self.use = Use.REQUESTS
        elif self.use is Use.NONE:
            self.use = Use.ASKED

    def _gone(self, stream: int) -> None:
        req = self.open.pop(stream, None)
        if req is not None:
            self.director.left(req)
        for frame in [each for each in self.link.pending if each.mark == stream]:
            self.link.drop(frame)  # an answer that waits to be written

    def answer(self, req: OpenRequest, code: int, fields: dict[str, str], body: bytes) -> None:
        """The final answer of a request."""
        self.open.pop(req.stream, None)
        self._waits()
        self.link.write(clientwire.answer(req.stream, code, fields, body), req.stream, req.wanted_until)

    # The end

    def announce(self, cause: CloseCause, notice: int | None) -> None:
        """Tells the client to bring no new request. Once it has been quiet for `notice` our side ends; None:
        not before it is told another time.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        if self.phase is Phase.OPEN:
            self.phase, self.cause = Phase.ANNOUNCED, cause
            self.link.write(clientwire.no_more())
            self._record(EventKind.CLIENT_ANNOUNCED)
        if notice is None:
            self.ends_at, self.notice = None, 0
        elif self.ends_at is None:
            self.cause = cause
            self.ends_at, self.notice = self.director.clock.now() + notice, notice

    def half_close(self) -> None:
        """Ends our side, after all that is queued. Guards a request that comes in that moment: its client
        sees an orderly end, not a reset that takes the last answers along.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        linger = HURRIED_LINGER if self.director.driver.is_crowded() else LINGER
        self.phase, self.ends_at = Phase.HALF_CLOSED, self.director.clock.now() + linger
        self._record(EventKind.CLIENT_HALF_CLOSED)
        self.link.finish()

    def _refuse(self, text: str) -> None:
        """Tells the client what is wrong, and ends the connection: what is open on it is aborted, since
        whoever breaks the protocol on a connection can't be trusted with the rest of it. Guards the nodes
        against crowds of requests: what came with the breach has not been written to them yet.
        """
        self.director.complain("breaches", f"a client's connection is ended: {text}")
        self.cause = CloseCause.BREACH
        self.half_close()  # first: nothing that its requests cause is to come before this
        for req in list(self.open.values()):
            self.director.abort(req)
        self.link.write(clientwire.error(text))  # our side ends after all that is queued when it is written

    def _waits(self) -> None:
        """Waiting begins anew."""
        self.since = self.director.clock.now()
        if self in self.director.clients:
            del self.director.clients[self]
            self.director.clients[self] = None

    def is_quiet(self) -> bool:
        """True when nothing is open, nothing waits to be written, and nothing has come of another request."""
        link = self.link
        busy = self.open or self.wire.held or link.pending or link.outward.held
        return not (busy or link.has_unread())

    def is_idle(self) -> bool:
        """True when it may be chosen to end: nothing has begun to end it, or only the end of the program."""
        waits = self.phase is Phase.ANNOUNCED and self.ends_at is None
        return (self.phase is Phase.OPEN or waits) and self.is_quiet()

    def look(self, now: int) -> None:
        """Takes the next step of the end if its time has come."""
        if self.phase is Phase.HALF_CLOSED:
            if self.ends_at is not None and now > self.ends_at:
                self.link.end(Ending.CLOSED)
        elif self.wire.held:
            if now > self.since + FRAME_TIME:
                self.end_stalled(now, 0)
            else:
                self.end_stalled(now, STALLED)
        elif self.phase is Phase.ANNOUNCED:
            if self.ends_at is not None and now >= max(self.ends_at, self.since + self.notice):
                self._end_if_quiet()
        elif now > self.since + (STALLED if self.use is Use.NONE else IDLE) and self.is_idle():
            if self.use is Use.NONE:
                self.announce(CloseCause.SILENT, SILENT_NOTICE)
            else:
                self.announce(CloseCause.IDLE, NOTICE)

    def _end_if_quiet(self) -> None:
        if not self.is_quiet():
            return
        if self.cause is CloseCause.ROOM and self.use is not Use.REQUESTS:
            self.link.end(Ending.CLOSED)  # its descriptor is wanted now
        else:
            self.half_close()

    def end_stalled(self, now: int, limit: int) -> bool:
        """Refuses a frame that was begun and of which nothing more has come for so long; False if there is
        none, or if it is we who are late.
        """
        stalled = self.phase is not Phase.HALF_CLOSED and self.wire.held and now > self.heard_at + limit
        if not stalled or self.link.has_unread():
            return False
        self._refuse("a frame that does not end")
        return True

    def make_room(self, pressing: bool) -> None:
        """Ends it as soon as may be, for others. One that never asked ends without notice, and is closed
        whole where no descriptor is left: crowds of them come faster than anything else lets them go. One
        that has brought requests may bring more, and has its full notice.
        """
        if pressing and self.use is Use.NONE:
            self.cause = CloseCause.ROOM
            return self.link.end(Ending.CLOSED)
        if self.use is Use.REQUESTS:
            self.announce(CloseCause.ROOM, NOTICE)
        else:
            self.announce(CloseCause.ROOM, PRESSING_NOTICE if pressing else HURRIED_NOTICE)
        if self.use is Use.NONE:
            self.half_close()

    def ended(self, link: Link, ending: Ending) -> None:
        """The connection is over."""
        self.director.clients.pop(self, None)
        self._record(EventKind.CLIENT_CLOSED, ending.name)
        if link.dropped:
            self._record(EventKind.REQUEST_UNREAD, f"{link.dropped} bytes")
        for req in list(self.open.values()):
            self.director.events.record(EventKind.REQUEST_UNANSWERED, req.id, ending.name, self._name())
            self.director.left(req)
        self.open.clear()

    def _name(self) -> str:
        return f"client {self.number}"

    def _record(self, kind: EventKind, detail: str = "") -> None:
        cause = self.cause.value if self.cause is not None else "peer"
        self.director.events.record(kind, self._name(), cause, detail)
