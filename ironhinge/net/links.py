"""Owns the sockets: it accepts, connects, reads into rings and writes out of them, on anyio.

It must never read what the bytes mean, know a req, or choose anything. What arrives goes to the receiver of
the link, and so does the link's one end; no error of a connection leaves its own task.
"""

from __future__ import annotations

import errno
import resource
import selectors
import socket
from collections import deque
from math import inf
from time import monotonic
from typing import Any, Awaitable, Callable, Deque, Dict, List, Optional, Protocol, Sequence

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup
from loguru import logger

from ..facts import Address, Limits
from .ending import Ending
from .ring import Ring

SMALL, LARGE = 8 * 1024, 32 * 1024  # ring sizes: what carries commands and reqs, and what carries bodies
READS = 8  # reads of one connection before the others have their turn
BACKLOG = 1024
SPARE = 24  # descriptors kept for the listener, the log, the datagrams and the event loop
ACCEPTING = 0.85  # part of the descriptors in use from which accepting pauses; the rest is for nodes. Usual
# clients hold a third at most, says the protocol
ROOM_FROM = 0.9  # part of that from which idle connections are ended for new ones
PARTING = 0.05  # part of the descriptors that connections may hold which end without counting as in use
QUEUED = 0.25  # part of the memory that what is queued for slow readers may take
TURNS = 3  # of the event loop until a connection that was ended has closed its socket
FINISHING = 0.01  # seconds between reads of what nobody will look at
PAUSE = 0.02  # seconds until accepting is tried again without descriptors


NO_RING = Ring(0)


class Poll(selectors.DefaultSelector):
    """The event loop's look at its sockets. What a task reads was found one look before the latest, since the
    loop wakes tasks a turn later, and was not there yet at the look before that; so it has waited since then
    at most, however long the program was kept from running."""

    def __init__(self) -> None:
        super().__init__()
        self.since = self.found_at = self.looked_at = monotonic()

    def select(self, timeout: Optional[float] = None) -> List[Any]:
        found = super().select(timeout)
        self.since, self.found_at, self.looked_at = self.found_at, self.looked_at, monotonic()
        return found


class Frame:
    """Something to be written, in pieces."""

    __slots__ = ("whole", "pieces", "size", "start", "end", "mark", "until")

    def __init__(self, pieces: Sequence[bytes], mark: int, until: Optional[float]):
        self.whole = [memoryview(piece) for piece in pieces if piece]
        self.pieces = deque(self.whole)  # what is not in the ring yet
        self.size = sum(map(len, self.pieces))
        self.start: Optional[int] = None  # where it begins in all that the link has put into its ring
        self.end: Optional[int] = None  # where it ends there, once it is whole in it
        self.mark = mark  # what its writer knows it by
        self.until = until  # nobody wants it after that


class Receiver(Protocol):
    """To whom a link belongs."""

    def up(self, link: Link) -> None: ...

    def receive(self, link: Link, data: memoryview) -> None: ...

    def ended(self, link: Link, ending: Ending) -> None: ...


class Nobody:
    """To whom a link belongs that is over."""

    def up(self, link: Link) -> None: ...

    def receive(self, link: Link, data: memoryview) -> None: ...

    def ended(self, link: Link, ending: Ending) -> None: ...


NOBODY = Nobody()


class Link:
    """One connection."""

    def __init__(self, driver: Driver, receiver: Receiver, inward: int, outward: int):
        self.driver, self.receiver = driver, receiver
        self.sock: Optional[socket.socket] = None
        self.inward, self.outward = Ring(inward), Ring(outward)
        self.pending: Deque[Frame] = deque()  # not whole in the ring
        self.in_ring: Deque[Frame] = deque()  # begun in the ring, and not wholly sent
        self.queued = 0  # bytes of pending frames
        self.put, self.sent = 0, 0  # bytes that went into the ring, and on to the system
        self.is_up = self.is_over = self.finishing = False
        self.heard_at = 0.0
        self.users = 0  # tasks that wait on the socket
        self.scope = anyio.CancelScope()
        self.writing: Optional[anyio.CancelScope] = None  # while the system takes no more

    def write(self, pieces: Sequence[bytes], mark: int = 0, until: Optional[float] = None) -> Frame:
        """Queues a frame; it goes out with all others when the driver flushes."""
        frame = Frame(pieces, mark, until)
        if not self.is_over:
            self.pending.append(frame)
            self._queue(frame.size)
            self.driver.dirty[self] = None
        return frame

    def write_now(self, pieces: Sequence[bytes]) -> bool:
        """Writes before anything else that is queued on other links; False if the system does not take it."""
        self.write(pieces)
        self.pump()
        return not self.pending and not self.outward.held

    def _queue(self, size: int) -> None:
        self.queued += size
        self.driver.queued += size

    def drop(self, frame: Frame) -> bool:
        """Takes back a frame of which nothing has been written."""
        if frame.start is not None or frame not in self.pending:
            return False
        self.pending.remove(frame)
        self._queue(-frame.size)
        return True

    def drop_late(self, now: float) -> None:
        """Takes back what nobody wants any more. Guards memory against clients that don't read."""
        for frame in [each for each in self.pending if each.until is not None and each.until < now]:
            self.drop(frame)

    def has_unread(self) -> bool:
        """True when bytes have come that were not read yet."""
        try:
            return self.sock is not None and bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_ended(self) -> bool:
        """True when the peer has ended or reset the connection, and that was not read yet."""
        try:
            return self.sock is not None and not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def written(self, frame: Frame) -> bool:
        return frame.end is not None and self.sent >= frame.end

    def pump(self) -> None:
        """Writes what the system takes now; the rest waits for it in a task of its own."""
        if self.sock is None or not self.is_up or self.is_over or self.writing is not None:
            return
        try:
            while True:
                self._fill()
                data = self.outward.data()
                if not data:
                    break
                count = self.sock.send(data)
                self.outward.taken(count)
                self.sent += count
                while self.in_ring and self.written(self.in_ring[0]):
                    self.in_ring.popleft()
            if self.finishing:
                self.sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            self._unfill()
            self.writing = anyio.CancelScope()
            self.driver.tasks.start_soon(self._wait_to_write)
        except OSError:
            self.end(Ending.RESET)

    def _fill(self) -> None:
        while self.pending and self.outward.held < self.outward.size:
            frame = self.pending[0]
            if frame.start is None:
                frame.start = self.put
                self.in_ring.append(frame)
            while frame.pieces:
                piece = frame.pieces[0]
                count = self.outward.put(piece)
                self.put += count
                if count < len(piece):
                    frame.pieces[0] = piece[count:]
                    return
                frame.pieces.popleft()
            frame.end = self.put
            self.pending.popleft()
            self._queue(-frame.size)

    def _unfill(self) -> None:
        """Frames of which the system took nothing wait outside the ring again. Guards what may still be taken
        back while a peer reads nothing: a drain, a purge or a client that left must find it unbegun."""
        while self.in_ring:
            frame = self.in_ring[-1]
            if frame.start is None or frame.start < self.sent:
                return
            self.in_ring.pop()
            self.outward.untake(self.put - frame.start)
            self.put = frame.start
            if frame.end is not None:
                self.pending.appendleft(frame)
                self._queue(frame.size)
            frame.start = frame.end = None
            frame.pieces = deque(frame.whole)

    async def _wait_to_write(self) -> None:
        async def work() -> None:
            if self.sock is not None and not self.is_over:
                await anyio.wait_writable(self.sock)

        await self.guarded(work, self.writing or self.scope)
        self.writing = None
        self.pump()
        self.driver.flush()

    def finish(self) -> None:
        """Ends our side of the connection once all that was queued is written; what still comes is read and
        dropped until the peer ends its side. Guards what was just written: a close over unread bytes resets
        the connection and takes it along."""
        if not self.finishing and not self.is_over:
            self.finishing = True
            self.driver.finishing += 1
            self.driver.dirty[self] = None

    def end(self, ending: Ending) -> None:
        """Ends the connection now and tells its receiver, once."""
        if self.is_over:
            return
        self.is_over = True
        self.driver.finishing -= self.finishing
        self.scope.cancel()
        if self.writing is not None:
            self.writing.cancel()
        if self.sock is not None:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it is over already
        self._release()
        self.driver.dirty.pop(self, None)
        self.driver.links.pop(self, None)
        self.receiver.ended(self, ending)
        self._queue(-self.queued)
        self.pending.clear()
        self.in_ring.clear()
        self.inward = self.outward = NO_RING  # gives the memory back without waiting for a collection
        self.receiver = NOBODY  # nor may a circle wait for one

    def _release(self) -> None:
        """Closes the socket once no task waits on it: its number may be another's at once."""
        if self.is_over and not self.users and self.sock is not None:
            self.sock.close()
            self.sock = None
            self.driver.open -= 1

    async def read(self) -> None:
        """Reads until the connection ends."""
        ring, reads = self.inward, 0
        while self.sock is not None and not self.is_over:
            if self.finishing and reads:  # guards the CPU against senders without end
                await anyio.sleep(FINISHING)
            room = ring.room()
            try:
                count = self.sock.recv_into(room)
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
                continue
            except OSError:
                return self.end(Ending.RESET)
            if not count:
                return self.end(Ending.CLOSED)
            reads += 1
            if self.finishing:
                continue
            self.heard_at = monotonic()
            ring.filled(count)
            self.receiver.receive(self, ring.data())
            ring.taken(count)
            self.driver.flush()
            if self.is_over:
                return
            if count < len(room):  # that was all for now
                await anyio.wait_readable(self.sock)
            elif reads % READS == 0:
                await lowlevel.checkpoint()

    async def guarded(self, work: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
        """Runs a task of the link: whatever goes wrong in it ends this link alone."""
        self.users += 1
        try:
            with scope:
                await work()
        except Exception:
            logger.exception("a connection's task failed")
            self.end(Ending.GARBLED)
            self.driver.flush()
        finally:
            self.users -= 1
            self._release()


class Driver:
    """All links of the program."""

    def __init__(self, tasks: TaskGroup, limits: Limits, poll: Poll):
        self.tasks, self.poll = tasks, poll
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.most = max(SPARE, min(limits.sockets or allowed, allowed) - SPARE)
        self.most_queued = QUEUED * limits.memory_mb * 2**20 or inf
        self.open = 0  # sockets
        self.finishing = 0  # links that have said their last word and wait for the peer's
        self.queued = 0  # bytes of pending frames on all links
        self.links: Dict[Link, None] = {}
        self.dirty: Dict[Link, None] = {}  # those with something to write, in order
        self.short = False  # of descriptors, lately
        self.give_way: Callable[[], None] = lambda: None  # ends a connection that can be spared

    def flush(self) -> None:
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
        worst.end(Ending.CLOSED)

    def in_use(self) -> int:
        """Sockets, less the few whose peers have yet to end what we have ended."""
        return self.open - min(self.finishing, int(PARTING * self.most))

    def is_crowded(self) -> bool:
        return self.in_use() >= ROOM_FROM * ACCEPTING * self.most

    def share_of(self, nodes: int) -> int:
        """Connections that each of so many nodes may have: what clients leave."""
        return max(1, int((1 - ACCEPTING) * self.most) // max(1, nodes))

    def dial(self, receiver: Receiver, address: Address, within: float, needed: bool = False) -> Link:
        """A link that comes up later, or ends; one that is needed may use the spare descriptors."""
        link = Link(self, receiver, LARGE, SMALL)
        self.links[link] = None

        async def work() -> None:
            await self._connect(link, address, within, needed)
            self.flush()
            await link.read()

        self.tasks.start_soon(link.guarded, work, link.scope)
        return link

    async def _connect(self, link: Link, address: Address, within: float, needed: bool) -> None:
        if self.open >= self.most and not needed:
            self.give_way()
            for _ in range(TURNS):  # the one that was ended gives its descriptor back
                await lowlevel.checkpoint()
            if self.open >= self.most:
                return link.end(Ending.UNWRITTEN)
        try:
            sock = link.sock = _new_socket(socket.SOCK_STREAM)
        except OSError:
            return link.end(Ending.UNWRITTEN)
        self.open += 1
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EAGAIN):
            with anyio.move_on_after(within) as limit:
                await anyio.wait_writable(sock)
            if limit.cancelled_caught:
                return link.end(Ending.NEVER_UP)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if link.is_over:
            return
        if code:  # a reset is no refusal: whoever sent it takes connections
            resets = errno.ECONNRESET, errno.EPIPE
            known = {errno.ECONNREFUSED: Ending.REFUSED, **dict.fromkeys(resets, Ending.CUT)}
            return link.end(known.get(code, Ending.NEVER_UP))
        link.is_up = True
        self.dirty[link] = None
        link.receiver.up(link)

    async def accept(
        self,
        listener: socket.socket,
        receiver: Callable[[], Receiver],
        make_room: Callable[[bool], bool],
    ) -> None:
        """Takes connections until the listener is closed; while descriptors are short they wait in the
        backlog."""
        while listener.fileno() >= 0:
            try:
                full = self.in_use() >= ACCEPTING * self.most or self.open >= self.most
                if self.is_crowded() and make_room(full) and full:
                    await lowlevel.checkpoint()  # the one that was ended gives its descriptor back
                    continue
                if full:
                    raise OSError(errno.EMFILE, f"{self.open} connections are open")
                sock, _ = listener.accept()
            except BlockingIOError:
                try:
                    await anyio.wait_readable(listener)
                except anyio.ClosedResourceError:
                    return
                continue
            except OSError as fault:  # no descriptors, or the client has gone already
                short = fault.errno in (errno.EMFILE, errno.ENFILE)
                if short and not self.short:
                    logger.warning("accepting pauses: {}", fault)
                    self.short = True
                await anyio.sleep(PAUSE if short else 0)
                continue
            if self.short and self.open < ACCEPTING * self.most / 2:
                logger.info("accepting without pauses again")
                self.short = False
            self.take(sock, receiver())
            await lowlevel.checkpoint()  # a crowd of new connections must not keep the others from being read

    def take(self, sock: socket.socket, receiver: Receiver) -> None:
        """A connection that was accepted."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open += 1
        link = Link(self, receiver, SMALL, LARGE)
        link.sock, link.is_up = sock, True
        self.links[link] = None
        receiver.up(link)
        self.flush()
        self.tasks.start_soon(link.guarded, link.read, link.scope)

    def take_the_last(self, listener: socket.socket, receiver: Callable[[], Receiver]) -> None:
        """Takes all that waits in the backlog, and closes the listener in the same moment. Guards those whom
        the machine has accepted: a closed backlog resets them, a later peer is refused and goes elsewhere."""
        while self.open < self.most:
            try:
                self.take(listener.accept()[0], receiver())
            except ConnectionError:
                continue  # that one has gone already
            except OSError:
                break  # that was all
        anyio.notify_closing(listener)
        listener.close()


def _new_socket(kind: socket.SocketKind) -> socket.socket:
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    return sock


def listen(address: Address) -> socket.socket:
    sock = _new_socket(socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def datagrams(address: Address) -> socket.socket:
    sock = _new_socket(socket.SOCK_DGRAM)
    sock.bind(address)
    return sock
