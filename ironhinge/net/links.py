"""Owns each connection: it reads into rings and writes out of them, on anyio.

It must never read what the bytes mean, know a req, or choose anything. What arrives goes to the receiver of
the link, and so does the link's one end; no error of a connection leaves its own task.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from time import monotonic
from typing import TYPE_CHECKING, Protocol

import anyio
from anyio import lowlevel
from loguru import logger

from .ending import Ending
from .ring import Ring
from .system_calls import Backoff, Remedy

if TYPE_CHECKING:
    from .driver import Driver

READS = 8  # reads of one connection before the others have their turn
LOOKS = 4  # reads for one who has to know now: a read may be short, or fail for a moment
FINISHING = 0.01  # seconds between reads of what nobody will look at

NO_RING = Ring(0)
Pieces = Sequence[bytes]


class Frame:
    """Something to be written, in pieces. One with `render` is made at the moment in which it begins to be
    written, and may be taken back by that call.
    """

    __slots__ = ("end", "mark", "pieces", "render", "size", "start", "until", "whole")

    def __init__(
        self,
        pieces: Pieces,
        mark: int = 0,
        until: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ):
        self.start: int | None = None  # where it begins in all that the link has put into its ring
        self.end: int | None = None  # where it ends there, once it is whole in it
        self.mark = mark  # what its writer knows it by
        self.until = until  # nobody wants it after that
        self.render = render
        self.fill(pieces)

    def fill(self, pieces: Pieces) -> None:
        """Sets what is to be written; nothing of it may have been."""
        self.whole = [memoryview(piece) for piece in pieces if piece]
        self.pieces = deque(self.whole)  # what is not in the ring yet
        self.size = sum(map(len, self.pieces))


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
        self.sock: socket.socket | None = None
        self.inward, self.outward = Ring(inward), Ring(outward)
        self.pending: deque[Frame] = deque()  # not whole in the ring
        self.in_ring: deque[Frame] = deque()  # begun in the ring, and not wholly sent
        self.queued = 0  # bytes of pending frames
        self.put, self.sent = 0, 0  # bytes that went into the ring, and on to the system
        self.is_up = self.is_over = self.finishing = False
        self.is_shut = False  # our side has ended
        self.sends_at_once = False  # TCP_NODELAY is on
        self.receiving = False  # its receiver has the bytes just now
        self.dropped = 0  # bytes that came after our side had ended
        self.heard_at = 0.0
        # what is read next may have come at any time since then (monotonic seconds): it waited in the
        # backlog, or could not be read; None: since the last look at the sockets
        self.unread_since: float | None = None
        self.users = 0  # tasks that wait on the socket
        self.scope = anyio.CancelScope()
        self.writing: anyio.CancelScope | None = None  # while the system takes no more
        self.backoff: Backoff | None = None  # between calls that fail for want of a resource

    def write(
        self,
        pieces: Pieces,
        mark: int = 0,
        until: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ) -> Frame:
        """Queues a frame; it goes out with all others when the driver flushes."""
        frame = Frame(pieces, mark, until, render)
        if not self.is_over:
            self.pending.append(frame)
            self._queue(frame.size)
            self.driver.dirty[self] = None
        return frame

    def write_now(self, pieces: Pieces) -> bool:
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
        """True when bytes have come that were not read yet, or when that can't be told now."""
        if self.sock is None:
            return False
        found, remedy = self.driver.caller.peek(self.sock)
        return found or remedy not in (Remedy.DONE, Remedy.WAIT, Remedy.GONE)

    def has_ended(self) -> bool:
        """True when the peer has ended or reset the connection, and that was not read yet."""
        if self.sock is None:
            return False
        found, remedy = self.driver.caller.peek(self.sock)
        return remedy is Remedy.GONE or (remedy is Remedy.DONE and not found)

    def written(self, frame: Frame) -> bool:
        return frame.end is not None and self.sent >= frame.end

    def pump(self) -> None:
        """Writes what the system takes now; the rest waits for it in a task of its own."""
        if self.sock is None or not self.is_up or self.is_over or self.writing is not None:
            return
        caller = self.driver.caller
        if not self.sends_at_once:
            self.sends_at_once = caller.send_without_delay(self.sock)
        remedy = self._send_all()
        if remedy is Remedy.DONE and self.finishing and not self.is_shut:
            remedy = caller.shut_down(self.sock, socket.SHUT_WR)
            self.is_shut = remedy is Remedy.DONE
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            self._unfill()
            self.writing = anyio.CancelScope()
            self.driver.tasks.start_soon(self._wait_to_write, remedy)
        elif remedy is not Remedy.DONE:
            self.end(Ending.RESET)

    def _send_all(self) -> Remedy:
        """DONE once all is written, else why the system takes no more."""
        while self.sock is not None and not self.is_over:
            self._fill()
            data = self.outward.data()
            if not data:
                break
            count, remedy = self.driver.caller.send(self.sock, data)
            if remedy is not Remedy.DONE:
                return remedy
            self.backoff = None
            self.outward.taken(count)
            self.sent += count
            while self.in_ring and self.written(self.in_ring[0]):
                self.in_ring.popleft()
        return Remedy.DONE

    def _fill(self) -> None:
        while self.pending and self.outward.held < self.outward.size:
            frame = self.pending[0]
            if frame.start is None:
                if frame.render is not None and not self._rendered(frame):
                    continue
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

    def _rendered(self, frame: Frame) -> bool:
        """Makes a frame that is about to begin; False if it was taken back meanwhile, and the link with
        it.
        """
        assert frame.render is not None
        pieces = frame.render()
        if self.is_over or not self.pending or self.pending[0] is not frame:
            return False
        self._queue(-frame.size)
        frame.fill(pieces)
        self._queue(frame.size)
        return True

    def _unfill(self) -> None:
        """Frames of which the system took nothing wait outside the ring again. Guards what may still be taken
        back while a peer reads nothing: a drain, a purge or a client that left must find it unbegun.
        """
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

    async def _wait_to_write(self, remedy: Remedy) -> None:
        async def work() -> None:
            if self.sock is None or self.is_over:
                return
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._pause())
            else:
                await self.driver.caller.writable(self.sock)

        await self.guarded(work, self.writing or self.scope)
        self.writing = None
        self.pump()
        self.driver.flush()

    def _pause(self) -> float:
        if self.backoff is None:
            self.backoff = Backoff()
        return self.backoff.next()

    def finish(self) -> None:
        """Ends our side of the connection once all that was queued is written; what still comes is read and
        dropped until the peer ends its side. Guards what was just written: a close over unread bytes resets
        the connection and takes it along.
        """
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
            self.driver.caller.shut_down(self.sock, socket.SHUT_RDWR)  # or it is over already
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
            self.driver.caller.close(self.sock)
            self.sock = None
            self.driver.open -= 1

    async def read(self) -> None:
        """Reads until the connection ends."""
        caller, reads = self.driver.caller, 0
        while self.sock is not None and not self.is_over:
            if self.finishing and reads:  # guards the CPU against senders without end
                await anyio.sleep(FINISHING)
            size = len(self.inward.room())
            count, remedy = self._read_once()
            if self.is_over:
                return
            if remedy is Remedy.WAIT:
                await caller.readable(self.sock)
                continue
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._pause())
                continue
            reads += 1
            if self.finishing:
                continue
            self.driver.flush()
            if self.is_over:
                return
            if count < size and self.unread_since is None:  # that was all for now
                await caller.readable(self.sock)
            elif reads % READS == 0:
                await lowlevel.checkpoint()

    def read_now(self) -> None:
        """Reads what has come, outside the turn of the reading task: for who has to know now."""
        for _ in range(LOOKS):
            if self.sock is None or not self.is_up or self.is_over or self.finishing or self.receiving:
                return
            if self._read_once()[1] is Remedy.WAIT:
                return

    def _read_once(self) -> tuple[int, Remedy]:
        """Hands on what has come; ends the link where the peer has."""
        assert self.sock is not None
        ring = self.inward
        count, remedy = self.driver.caller.receive(self.sock, ring.room())
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            if remedy is Remedy.WAIT:
                self.unread_since = None
            elif self.unread_since is None:
                self.unread_since = self.driver.poll.unread_since()
            return 0, remedy
        if remedy is not Remedy.DONE or not count:
            self.end(Ending.CLOSED if remedy is Remedy.DONE else Ending.RESET)
            return 0, remedy
        self.backoff = None
        if self.finishing:
            self.dropped += count
            return count, remedy
        self.heard_at = monotonic()
        ring.filled(count)
        self.receiving = True
        try:
            self.receiver.receive(self, ring.data())
        finally:
            self.receiving = False
            ring.taken(count)
        return count, remedy

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
