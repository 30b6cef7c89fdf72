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

from ..config import Address, ResourceLimits
from .attempt_end import AttemptEnd
from .connection import Connection, Receiver
from .socket_calls import SocketCalls
from .system_calls import Backoff, Call, Remedy
from .timed_selector import TimedSelector

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
    Remedy.REFUSED: AttemptEnd.CONNECTION_REFUSED,
    Remedy.RESET: AttemptEnd.CUT_BEFORE_SEND,
    Remedy.DESCRIPTORS: AttemptEnd.NOT_SENT,  # no fault of the node
}


class DescriptorReclaimer(Protocol):
    """Ends an idle client's connection to make room; False if there is none. `pressing`: no room is left."""

    def __call__(self, pressing: bool) -> bool: ...


class ConnectionManager:
    """All links of the program."""

    def __init__(self, tasks: TaskGroup, limits: ResourceLimits, poll: TimedSelector):
        self.task_group, self.selector = tasks, poll
        self.on_call_failed: Callable[[Call, str, Remedy], None] = lambda call, error, remedy: None
        self.calls = SocketCalls(lambda call, error, remedy: self.on_call_failed(call, error, remedy))
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.descriptor_limit = max(SPARE, min(limits.descriptors or allowed, allowed) - SPARE)
        self.queued_bytes_limit = QUEUED * limits.memory_mb * 2**20 or inf
        self.open_sockets = 0  # sockets
        self.finishing_count = 0  # links that have said their last word and wait for the peer's
        self.queued_bytes = 0  # bytes of pending frames on all links
        self.connections: dict[Connection, None] = {}
        self.unflushed: dict[Connection, None] = {}  # those with something to write, in order
        self.is_short_of_descriptors = False  # of descriptors, lately
        self.backlog_empty_at = monotonic()  # whoever waits to be accepted came later than this
        self.shed_idle: Callable[[], None] = lambda: None  # ends a connection that can be spared

    def flush(self) -> None:
        """Writes all that is queued, as far as the system takes it."""
        while self.unflushed:
            links = list(self.unflushed)
            self.unflushed.clear()
            for link in links:
                link.send_pending()
            if self.queued_bytes > self.queued_bytes_limit:
                self._close_largest_queue()

    def _close_largest_queue(self) -> None:
        """Guards the program's memory against the one reader that holds up most."""
        worst = max(self.connections, key=lambda link: link.queued_bytes)
        logger.warning("a connection with {} bytes unread is ended: memory is short", worst.queued_bytes)
        worst.close(AttemptEnd.MEMORY_LIMIT)

    # Descriptors

    def descriptors_in_use(self) -> int:
        """Sockets, less the few whose peers have yet to end what we have ended."""
        return self.open_sockets - min(self.finishing_count, int(PARTING * self.descriptor_limit))

    def is_nearly_full(self) -> bool:
        """True when idle connections have to end for new ones."""
        return self.descriptors_in_use() >= ROOM_FROM * ACCEPTING * self.descriptor_limit

    def is_full(self) -> bool:
        """True when no client's connection can be taken."""
        return (
            self.descriptors_in_use() >= ACCEPTING * self.descriptor_limit
            or self.open_sockets >= self.descriptor_limit
        )

    def max_concurrent_closes(self) -> int:
        """How many connections may be ending at a time to make room."""
        if self.is_full():
            return max(1, int(ENDING_AT_ONCE * self.descriptor_limit))
        return max(1, int(self.descriptors_in_use() - ROOM_FROM * ACCEPTING * self.descriptor_limit))

    def connections_per_upstream(self, nodes: int) -> int:
        """Connections that each of so many nodes may have: what clients leave."""
        return max(1, int((1 - ACCEPTING) * self.descriptor_limit) // max(1, nodes))

    def _report_descriptor_shortage(self, why: str) -> None:
        if not self.is_short_of_descriptors:
            logger.warning("accepting pauses: {}", why)
            self.is_short_of_descriptors = True

    # Connecting

    def connect(
        self, receiver: Receiver, address: Address, within: float, needed: bool = False
    ) -> Connection:
        """A link that comes up within so many seconds, or ends; one that is needed may use the spare
        descriptors.
        """
        link = Connection(self, receiver, LARGE, SMALL)
        self.connections[link] = None

        async def work() -> None:
            await self._connect(link, address, within, needed)
            self.flush()
            await link.read_loop()

        self.task_group.start_soon(link.run_guarded, work, link.cancel_scope)
        return link

    async def _connect(self, link: Connection, address: Address, within: float, needed: bool) -> None:
        """Guards nodes against blame for what this machine is short of: it tries again until the time is
        up.
        """
        until, backoff = monotonic() + within, Backoff()
        while not link.is_closed:
            remedy = await self._try_to_connect(link, address, until, needed)
            if link.is_closed:
                return None
            if remedy is Remedy.DONE:
                link.is_connected = True
                self.unflushed[link] = None
                return link.receiver.on_connected(link)
            if remedy is not Remedy.PAUSE or monotonic() >= until:
                return link.close(NOT_CONNECTED.get(remedy, AttemptEnd.CONNECT_TIMEOUT))
            self._discard_socket(link)
            await anyio.sleep(backoff.next())

    async def _try_to_connect(self, link: Connection, address: Address, until: float, needed: bool) -> Remedy:
        """DONE once the link is up; PAUSE where this machine is short of something for a moment."""
        remedy = await self._open_socket(link, needed)
        if link.sock is None:
            return remedy
        remedy = self.calls.connect(link.sock, address)
        if remedy is not Remedy.WAIT:
            return remedy
        with anyio.move_on_after(max(0.0, until - monotonic())) as limit:
            await self.calls.writable(link.sock)
        return Remedy.UNREACHABLE if limit.cancelled_caught else self.calls.connected(link.sock)

    async def _open_socket(self, link: Connection, needed: bool) -> Remedy:
        """Gives a link a socket, or tells why there is none now."""
        if self.open_sockets >= self.descriptor_limit and not needed:
            self.shed_idle()
            for _ in range(TURNS):  # the one that was ended gives its descriptor back
                await lowlevel.checkpoint()
            if self.open_sockets >= self.descriptor_limit:
                return Remedy.DESCRIPTORS
        sock, remedy = self.calls.new_stream()
        if sock is not None:
            link.sock = sock
            self.open_sockets += 1
        elif remedy is Remedy.DESCRIPTORS:
            self.shed_idle()
        return Remedy.PAUSE if remedy is Remedy.RETRY else remedy

    def _discard_socket(self, link: Connection) -> None:
        """Closes the socket of an attempt to connect that is to be made again."""
        if link.sock is not None:
            self.calls.close(link.sock)
            link.sock = None
            self.open_sockets -= 1

    # Accepting

    async def accept(
        self, listener: socket.socket, receiver: Callable[[], Receiver], make_room: DescriptorReclaimer
    ) -> None:
        """Takes connections until the listener is closed; while descriptors are short they wait in the
        backlog.
        """
        backoff = Backoff()
        while listener.fileno() >= 0:
            if self.is_full():
                self._report_descriptor_shortage(f"{self.open_sockets} connections are open")
                while make_room(True):
                    pass
                await anyio.sleep(PAUSE)
                continue
            if self.is_nearly_full():
                make_room(False)
            sock, remedy = self.calls.accept(listener)
            if sock is not None:
                backoff.reset()
                self._report_shortage_over()
                self.adopt(sock, receiver())
                await lowlevel.checkpoint()  # a crowd must not keep the others from being read
            elif not await self._wait_to_accept(listener, remedy, backoff, make_room):
                return

    async def _wait_to_accept(
        self, listener: socket.socket, remedy: Remedy, backoff: Backoff, make_room: DescriptorReclaimer
    ) -> bool:
        """Until the next try; False once the listener is closed."""
        if remedy is Remedy.WAIT:
            self.backlog_empty_at = monotonic()
            try:
                await self.calls.readable(listener)
            except anyio.ClosedResourceError:
                return False
            self.backlog_empty_at = max(self.backlog_empty_at, self.selector.unread_since())
        elif remedy is Remedy.SKIP:
            await lowlevel.checkpoint()
        elif remedy is Remedy.DESCRIPTORS:
            self._report_descriptor_shortage("the system has no descriptor left")
            make_room(True)
            await anyio.sleep(backoff.next())
        elif remedy is Remedy.PAUSE:
            await anyio.sleep(backoff.next())
        elif listener.fileno() >= 0:
            raise RuntimeError("the listener takes no connections")
        return True

    def _report_shortage_over(self) -> None:
        if self.is_short_of_descriptors and self.open_sockets < ACCEPTING * self.descriptor_limit / 2:
            logger.info("accepting without pauses again")
            self.is_short_of_descriptors = False

    def adopt(self, sock: socket.socket, receiver: Receiver) -> None:
        """A connection that was accepted."""
        sock.setblocking(False)
        self.open_sockets += 1
        link = Connection(self, receiver, SMALL, LARGE)
        link.sock, link.is_connected = sock, True
        link.no_delay = self.calls.enable_no_delay(sock)
        waited = monotonic() - self.backlog_empty_at
        if waited > LONG_IN_BACKLOG:
            link.unread_since = monotonic() - min(waited, self.calls.seconds_since_data(sock, waited))
        self.connections[link] = None
        receiver.on_connected(link)
        self.flush()
        self.task_group.start_soon(link.run_guarded, link.read_loop, link.cancel_scope)

    async def close_listener(
        self,
        listener: socket.socket,
        receiver: Callable[[], Receiver],
        make_room: DescriptorReclaimer,
        within: float,
    ) -> None:
        """Takes all that waits in the backlog, and closes the listener in the moment in which it is empty, or
        after so many seconds. Guards those whom the machine has accepted: a closed backlog resets them, a
        later peer is refused and goes elsewhere.
        """
        until, backoff = monotonic() + within, Backoff()
        while monotonic() < until:
            if self.open_sockets >= self.descriptor_limit:
                make_room(True)
                await anyio.sleep(backoff.next())
                continue
            sock, remedy = self.calls.accept(listener)
            if sock is not None:
                self.adopt(sock, receiver())
                backoff.reset()
            elif remedy in (Remedy.PAUSE, Remedy.DESCRIPTORS):
                await anyio.sleep(backoff.next())
            elif remedy is not Remedy.SKIP:
                break  # that was all
        anyio.notify_closing(listener)
        listener.close()
