"""Owns the sockets: it accepts, connects, reads into rings and writes out of them, on anyio.

It must never read what the bytes mean, know a req, or choose anything. What arrives goes to the receiver of the
link, and so does the link's one end; no error of a connection leaves its own task.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from time import monotonic
from typing import Callable, Deque, List, Optional, Sequence

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup
from loguru import logger

from ..facts import Address
from .ending import Ending
from .ring import Ring

SMALL, LARGE = 8 * 1024, 32 * 1024  # ring sizes: what carries commands and reqs, and what carries bodies
READS = 8  # reads of one connection before the others have their turn
BACKLOG = 1024
SPARE = 24  # descriptors kept for the listener, the log, the feed and the event loop


class Frame:
    """Something to be written, in pieces."""

    __slots__ = ("pieces", "begun", "end")

    def __init__(self, pieces: Sequence[bytes]):
        self.pieces = deque(memoryview(piece) for piece in pieces if piece)
        self.begun = False  # some of it may be on its way
        self.end: Optional[int] = None  # where it ends in all that the link has put into its ring


class Receiver:
    """What a link tells to whom it belongs."""

    def up(self, link: "Link") -> None: ...

    def receive(self, link: "Link", data: memoryview) -> None: ...

    def ended(self, link: "Link", ending: Ending) -> None: ...


class Link:
    """One connection."""

    def __init__(self, driver: "Driver", receiver: Receiver, inward: int, outward: int):
        self.driver, self.receiver = driver, receiver
        self.sock: Optional[socket.socket] = None
        self.inward, self.outward = Ring(inward), Ring(outward)
        self.pending: Deque[Frame] = deque()
        self.put, self.sent = 0, 0  # bytes that went into the ring, and on to the system
        self.is_up = self.is_over = self.finishing = self.waiting = False
        self.heard_at = 0.0
        self.scope = anyio.CancelScope()

    def write(self, pieces: Sequence[bytes]) -> Frame:
        """Queues a frame; it goes out with all others when the driver flushes."""
        frame = Frame(pieces)
        if not self.is_over:
            self.pending.append(frame)
            self.driver.dirty[self] = None
        return frame

    def drop(self, frame: Frame) -> bool:
        """Takes back a frame of which nothing has been written."""
        if frame.begun or frame not in self.pending:
            return False
        self.pending.remove(frame)
        return True

    def written(self, frame: Frame) -> bool:
        return frame.end is not None and self.sent >= frame.end

    def pump(self) -> None:
        """Writes what the system takes now; the rest waits for it in a task of its own."""
        if self.sock is None or self.waiting or self.is_over:
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
        except BlockingIOError:
            self.waiting = True
            self.driver.tasks.start_soon(self._wait_to_write)
        except OSError:
            self.end(Ending.RESET)
        else:
            if self.finishing:
                self._say_no_more()

    def _fill(self) -> None:
        while self.pending and self.outward.held < self.outward.size:
            frame = self.pending[0]
            frame.begun = True
            while frame.pieces:
                count = self.outward.put(frame.pieces[0])
                self.put += count
                if count < len(frame.pieces[0]):
                    frame.pieces[0] = frame.pieces[0][count:]
                    return
                frame.pieces.popleft()
            frame.end = self.put
            self.pending.popleft()

    async def _wait_to_write(self) -> None:
        with anyio.CancelScope() as scope:
            self.write_scope = scope
            if self.sock is not None:
                await anyio.wait_writable(self.sock)
        self.waiting = False
        self.pump()

    def finish(self) -> None:
        """Ends the connection once all that was queued is written."""
        self.finishing = True
        self.driver.dirty[self] = None

    def _say_no_more(self) -> None:
        try:
            if self.sock is not None:
                self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.end(Ending.RESET)

    def end(self, ending: Ending) -> None:
        """Ends the connection now and tells its receiver, once."""
        if self.is_over:
            return
        self.is_over = True
        self.scope.cancel()
        if self.waiting:
            self.write_scope.cancel()
        if self.sock is not None:
            self.sock.close()
            self.sock = None
            self.driver.open -= 1
        self.driver.dirty.pop(self, None)
        self.receiver.ended(self, ending)
        self.pending.clear()

    async def read(self) -> None:
        """Reads until the connection ends."""
        ring, reads = self.inward, 0
        while self.sock is not None:
            try:
                count = self.sock.recv_into(ring.room())
            except BlockingIOError:
                reads = 0
                await anyio.wait_readable(self.sock)
                continue
            except OSError:
                return self.end(Ending.RESET)
            if not count:
                return self.end(Ending.CLOSED)
            self.heard_at = monotonic()
            ring.filled(count)
            data = ring.data()
            self.receiver.receive(self, data)
            ring.taken(count)
            self.driver.flush()
            reads += 1
            if reads % READS == 0:
                await lowlevel.checkpoint()

    async def guarded(self, work: Callable) -> None:
        """Runs the link's task: whatever goes wrong in it ends this link alone."""
        try:
            with self.scope:
                await work()
        except Exception:
            logger.exception("a connection's task failed")
            self.end(Ending.GARBLED)
            self.driver.flush()


class Driver:
    """All links of the program."""

    def __init__(self, tasks: TaskGroup, sockets: int):
        self.tasks = tasks
        self.most = max(SPARE + 2, sockets or 1024) - SPARE
        self.open = 0
        self.dirty: dict = {}  # links with something to write, in order
        self.refusing = False  # whether accepting pauses for want of descriptors

    def flush(self) -> None:
        while self.dirty:
            links: List[Link] = list(self.dirty)
            self.dirty.clear()
            for link in links:
                link.pump()

    def dial(self, receiver: Receiver, address: Address, within: float) -> Link:
        link = Link(self, receiver, LARGE, SMALL)

        async def work() -> None:
            await self._connect(link, address, within)
            self.flush()
            await link.read()

        self.tasks.start_soon(link.guarded, work)
        return link

    async def _connect(self, link: Link, address: Address, within: float) -> None:
        if self.open >= self.most:
            return link.end(Ending.UNWRITTEN)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return link.end(Ending.UNWRITTEN)
        self.open += 1
        link.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            code = sock.connect_ex(address)
            if code in (errno.EINPROGRESS, errno.EAGAIN):
                with anyio.move_on_after(within) as limit:
                    link.sock = None  # nothing is written before it is up
                    try:
                        await anyio.wait_writable(sock)
                    finally:
                        link.sock = sock
                if limit.cancelled_caught:
                    return link.end(Ending.NEVER_UP)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            code = errno.ECONNREFUSED
        finally:
            if link.is_over and link.sock is not None:
                link.sock.close()
                link.sock = None
                self.open -= 1
        if link.is_over:
            return
        if code:
            return link.end(Ending.NEVER_UP if code == errno.ETIMEDOUT else Ending.REFUSED)
        link.is_up = True
        self.dirty[link] = None
        link.receiver.up(link)

    async def accept(self, listener: socket.socket, receiver: Callable[[], Receiver], most: int) -> None:
        """Takes connections for ever; without descriptors for them it waits, and they wait in the backlog."""
        while True:
            try:
                if self.open >= min(most, self.most):
                    raise OSError(errno.EMFILE, "all descriptors for clients are in use")
                sock, _ = listener.accept()
            except BlockingIOError:
                await anyio.wait_readable(listener)
                continue
            except OSError as fault:
                if not self.refusing and fault.errno in (errno.EMFILE, errno.ENFILE):
                    logger.warning("accepting pauses: {}", fault)
                    self.refusing = True
                await anyio.sleep(0.02)
                continue
            if self.refusing:
                logger.info("accepting again")
                self.refusing = False
            self.open += 1
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Link(self, receiver(), SMALL, LARGE)
            link.sock, link.is_up = sock, True
            link.receiver.up(link)
            self.flush()
            self.tasks.start_soon(link.guarded, link.read)


def listen(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def datagrams(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock
