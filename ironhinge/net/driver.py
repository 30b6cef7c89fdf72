"""Owns all connections of the program: it accepts and connects, keeps to the limits on descriptors and
memory, and flushes what is to be written.

It must never read what the bytes mean, know a req, or choose which client's connection ends.
"""

from __future__ import annotations

import resource
import socket
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import Protocol

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup
from loguru import logger

from ..facts import Address, Limits
from .ending import Ending
from .links import Link, Receiver
from .poll import Poll
from .sockets import Caller
from .system_calls import Backoff, Call, Remedy

SMALL, LARGE = 8 * 1024, 32 * 1024  # ring sizes: what carries commands and reqs, and what carries bodies
SPARE = 24  # descriptors kept for the listener, the log, the datagrams and the event loop
ACCEPTING = 0.85  # part of the descriptors in use from which accepting pauses; the rest is for nodes. Usual
# clients hold a third at most, says the protocol
ROOM_FROM = 0.9  # part of that from which idle connections are ended for new ones
PARTING = 0.05  # part of the descriptors that connections may hold which end without counting as in use
ENDING_AT_ONCE = 0.5  # part of the descriptors whose connections may be ending where none is left
QUEUED = 0.25  # part of the memory that what is queued for slow readers may take
TURNS = 3  # of the event loop until a connection that was ended has closed its socket
PAUSE = 0.01  # seconds until accepting is tried again without descriptors
LONG_IN_BACKLOG = 0.03  # seconds from which on it is asked how long what a connection brings has waited
NOT_CONNECTED = {  # how a link ends that did not come up
    Remedy.REFUSED: Ending.REFUSED,
    Remedy.RESET: Ending.CUT,
    Remedy.DESCRIPTORS: Ending.UNWRITTEN,  # no fault of the node
}


class RoomMaker(Protocol):
    """Ends an idle client's connection to make room; False if there is none. `pressing`: no room is left."""

    def __call__(self, pressing: bool) -> bool: ...


class Driver:
    """All links of the program."""

    def __init__(self, tasks: TaskGroup, limits: Limits, poll: Poll):
        self.tasks, self.poll = tasks, poll
        self.on_failed_call: Callable[[Call, str, Remedy], None] = lambda call, error, remedy: None
        self.caller = Caller(lambda call, error, remedy: self.on_failed_call(call, error, remedy))
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.most = max(SPARE, min(limits.sockets or allowed, allowed) - SPARE)
        self.most_queued = QUEUED * limits.memory_mb * 2**20 or inf
        self.open = 0  # sockets
        self.finishing = 0  # links that have said their last word and wait for the peer's
        self.queued = 0  # bytes of pending frames on all links
        self.links: dict[Link, None] = {}
        self.dirty: dict[Link, None] = {}  # those with something to write, in order
        self.short = False  # of descriptors, lately
        self.backlog_empty_at = monotonic()  # whoever waits to be accepted came later than this
        self.give_way: Callable[[], None] = lambda: None  # ends a connection that can be spared

    def flush(self) -> None:
        """Writes all that is queued, as far as the system takes it."""
        while self.dirty:
            links = list(self.dirty)
            self.dirty.clear()
            for link in links:
                link.pump()
            if self.queued > self.most_queued:
                self._relieve()

    def _relieve(self) -> None:
        """Guards the program's memory against the one reader that holds up most."""
        worst = max(self.links, key=lambda link: link.queued)
        logger.warning("a connection with {} bytes unread is ended: memory is short", worst.queued)
        worst.end(Ending.OVERLOADED)

    # Descriptors

    def in_use(self) -> int:
        """Sockets, less the few whose peers have yet to end what we have ended."""
        return self.open - min(self.finishing, int(PARTING * self.most))

    def is_crowded(self) -> bool:
        """True when idle connections have to end for new ones."""
        return self.in_use() >= ROOM_FROM * ACCEPTING * self.most

    def is_full(self) -> bool:
        """True when no client's connection can be taken."""
        return self.in_use() >= ACCEPTING * self.most or self.open >= self.most

    def ending_at_once(self) -> int:
        """How many connections may be ending at a time to make room."""
        if self.is_full():
            return max(1, int(ENDING_AT_ONCE * self.most))
        return max(1, int(self.in_use() - ROOM_FROM * ACCEPTING * self.most))

    def share_of(self, nodes: int) -> int:
        """Connections that each of so many nodes may have: what clients leave."""
        return max(1, int((1 - ACCEPTING) * self.most) // max(1, nodes))

    def _is_short(self, why: str) -> None:
        if not self.short:
            logger.warning("accepting pauses: {}", why)
            self.short = True

    # Connecting

    def dial(self, receiver: Receiver, address: Address, within: float, needed: bool = False) -> Link:
        """A link that comes up within so many seconds, or ends; one that is needed may use the spare
        descriptors.
        """
        link = Link(self, receiver, LARGE, SMALL)
        self.links[link] = None

        async def work() -> None:
            await self._connect(link, address, within, needed)
            self.flush()
            await link.read()

        self.tasks.start_soon(link.guarded, work, link.scope)
        return link

    async def _connect(self, link: Link, address: Address, within: float, needed: bool) -> None:
        """Guards nodes against blame for what this machine is short of: it tries again until the time is
        up.
        """
        until, backoff = monotonic() + within, Backoff()
        while not link.is_over:
            remedy = await self._try_to_connect(link, address, until, needed)
            if link.is_over:
                return None
            if remedy is Remedy.DONE:
                link.is_up = True
                self.dirty[link] = None
                return link.receiver.up(link)
            if remedy is not Remedy.PAUSE or monotonic() >= until:
                return link.end(NOT_CONNECTED.get(remedy, Ending.NEVER_UP))
            self._drop_socket(link)
            await anyio.sleep(backoff.next())

    async def _try_to_connect(self, link: Link, address: Address, until: float, needed: bool) -> Remedy:
        """DONE once the link is up; PAUSE where this machine is short of something for a moment."""
        remedy = await self._open_socket(link, needed)
        if link.sock is None:
            return remedy
        remedy = self.caller.connect(link.sock, address)
        if remedy is not Remedy.WAIT:
            return remedy
        with anyio.move_on_after(max(0.0, until - monotonic())) as limit:
            await self.caller.writable(link.sock)
        return Remedy.UNREACHABLE if limit.cancelled_caught else self.caller.connected(link.sock)

    async def _open_socket(self, link: Link, needed: bool) -> Remedy:
        """Gives a link a socket, or tells why there is none now."""
        if self.open >= self.most and not needed:
            self.give_way()
            for _ in range(TURNS):  # the one that was ended gives its descriptor back
                await lowlevel.checkpoint()
            if self.open >= self.most:
                return Remedy.DESCRIPTORS
        sock, remedy = self.caller.new_stream()
        if sock is not None:
            link.sock = sock
            self.open += 1
        elif remedy is Remedy.DESCRIPTORS:
            self.give_way()
        return Remedy.PAUSE if remedy is Remedy.RETRY else remedy

    def _drop_socket(self, link: Link) -> None:
        """Closes the socket of an attempt to connect that is to be made again."""
        if link.sock is not None:
            self.caller.close(link.sock)
            link.sock = None
            self.open -= 1

    # Accepting

    async def accept(
        self, listener: socket.socket, receiver: Callable[[], Receiver], make_room: RoomMaker
    ) -> None:
        """Takes connections until the listener is closed; while descriptors are short they wait in the
        backlog.
        """
        backoff = Backoff()
        while listener.fileno() >= 0:
            if self.is_full():
                self._is_short(f"{self.open} connections are open")
                while make_room(True):
                    pass
                await anyio.sleep(PAUSE)
                continue
            if self.is_crowded():
                make_room(False)
            sock, remedy = self.caller.accept(listener)
            if sock is not None:
                backoff.reset()
                self._is_short_no_more()
                self.take(sock, receiver())
                await lowlevel.checkpoint()  # a crowd must not keep the others from being read
            elif not await self._wait_to_accept(listener, remedy, backoff, make_room):
                return

    async def _wait_to_accept(
        self, listener: socket.socket, remedy: Remedy, backoff: Backoff, make_room: RoomMaker
    ) -> bool:
        """Until the next try; False once the listener is closed."""
        if remedy is Remedy.WAIT:
            self.backlog_empty_at = monotonic()
            try:
                await self.caller.readable(listener)
            except anyio.ClosedResourceError:
                return False
            self.backlog_empty_at = max(self.backlog_empty_at, self.poll.unread_since())
        elif remedy is Remedy.SKIP:
            await lowlevel.checkpoint()
        elif remedy is Remedy.DESCRIPTORS:
            self._is_short("the system has no descriptor left")
            make_room(True)
            await anyio.sleep(backoff.next())
        elif remedy is Remedy.PAUSE:
            await anyio.sleep(backoff.next())
        elif listener.fileno() >= 0:
            raise RuntimeError("the listener takes no connections")
        return True

    def _is_short_no_more(self) -> None:
        if self.short and self.open < ACCEPTING * self.most / 2:
            logger.info("accepting without pauses again")
            self.short = False

    def take(self, sock: socket.socket, receiver: Receiver) -> None:
        """A connection that was accepted."""
        sock.setblocking(False)
        self.open += 1
        link = Link(self, receiver, SMALL, LARGE)
        link.sock, link.is_up = sock, True
        link.sends_at_once = self.caller.send_without_delay(sock)
        waited = monotonic() - self.backlog_empty_at
        if waited > LONG_IN_BACKLOG:
            link.unread_since = monotonic() - min(waited, self.caller.since_data(sock, waited))
        self.links[link] = None
        receiver.up(link)
        self.flush()
        self.tasks.start_soon(link.guarded, link.read, link.scope)

    async def close_listener(
        self, listener: socket.socket, receiver: Callable[[], Receiver], make_room: RoomMaker, within: float
    ) -> None:
        """Takes all that waits in the backlog, and closes the listener in the moment in which it is empty, or
        after so many seconds. Guards those whom the machine has accepted: a closed backlog resets them, a
        later peer is refused and goes elsewhere.
        """
        until, backoff = monotonic() + within, Backoff()
        while monotonic() < until:
            if self.open >= self.most:
                make_room(True)
                await anyio.sleep(backoff.next())
                continue
            sock, remedy = self.caller.accept(listener)
            if sock is not None:
                self.take(sock, receiver())
                backoff.reset()
            elif remedy in (Remedy.PAUSE, Remedy.DESCRIPTORS):
                await anyio.sleep(backoff.next())
            elif remedy is not Remedy.SKIP:
                break  # that was all
        anyio.notify_closing(listener)
        listener.close()
