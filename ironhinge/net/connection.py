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

from .attempt_end import AttemptEnd
from .ring_buffer import RingBuffer
from .system_calls import Backoff, Remedy

if TYPE_CHECKING:
    from .connection_manager import ConnectionManager

READS = 8  # reads of one connection before the others have their turn
LOOKS = 4  # reads for one who has to know now: a read may be short, or fail for a moment
FINISHING = 0.01  # seconds between reads of what nobody will look at

NO_BUFFER = RingBuffer(0)
Pieces = Sequence[bytes]


class Frame:
    """Something to be written, in pieces. One with `render` is made at the moment in which it begins to be
    written, and may be taken back by that call.
    """

    __slots__ = (
        "ring_end",
        "tag",
        "unbuffered_pieces",
        "render",
        "size",
        "ring_start",
        "expires_at",
        "all_pieces",
    )

    def __init__(
        self,
        pieces: Pieces,
        tag: int = 0,
        expires_at: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ):
        self.ring_start: int | None = None  # where it begins in all that the link has put into its ring
        self.ring_end: int | None = None  # where it ends there, once it is whole in it
        self.tag = tag  # what its writer knows it by
        self.expires_at = expires_at  # nobody wants it after that
        self.render = render
        self.set_pieces(pieces)

    def set_pieces(self, pieces: Pieces) -> None:
        """Sets what is to be written; nothing of it may have been."""
        self.all_pieces = [memoryview(piece) for piece in pieces if piece]
        self.unbuffered_pieces = deque(self.all_pieces)  # what is not in the ring yet
        self.size = sum(map(len, self.unbuffered_pieces))


class Receiver(Protocol):
    """To whom a link belongs."""

    def on_connected(self, link: Connection) -> None: ...

    def on_data(self, link: Connection, data: memoryview) -> None: ...

    def on_closed(self, link: Connection, ending: AttemptEnd) -> None: ...


class NullReceiver:
    """To whom a link belongs that is over."""

    def on_connected(self, link: Connection) -> None: ...

    def on_data(self, link: Connection, data: memoryview) -> None: ...

    def on_closed(self, link: Connection, ending: AttemptEnd) -> None: ...


NULL_RECEIVER = NullReceiver()


class Connection:
    """One connection."""

    def __init__(self, driver: ConnectionManager, receiver: Receiver, inward: int, outward: int):
        self.manager, self.receiver = driver, receiver
        self.sock: socket.socket | None = None
        self.inbound, self.outbound = RingBuffer(inward), RingBuffer(outward)
        self.pending_frames: deque[Frame] = deque()  # not whole in the ring
        self.buffered_frames: deque[Frame] = deque()  # begun in the ring, and not wholly sent
        self.queued_bytes = 0  # bytes of pending frames
        self.buffered_offset, self.sent_offset = 0, 0  # bytes that went into the ring, and on to the system
        self.is_connected = self.is_closed = self.is_finishing = False
        self.write_side_closed = False  # our side has ended
        self.no_delay = False  # TCP_NODELAY is on
        self.is_receiving = False  # its receiver has the bytes just now
        self.discarded_bytes = 0  # bytes that came after our side had ended
        self.last_received_at = 0.0
        # what is read next may have come at any time since then (monotonic seconds): it waited in the
        # backlog, or could not be read; None: since the last look at the sockets
        self.unread_since: float | None = None
        self.task_count = 0  # tasks that wait on the socket
        self.cancel_scope = anyio.CancelScope()
        self.write_wait: anyio.CancelScope | None = None  # while the system takes no more
        self.backoff: Backoff | None = None  # between calls that fail for want of a resource

    def write(
        self,
        pieces: Pieces,
        tag: int = 0,
        expires_at: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ) -> Frame:
        """Queues a frame; it goes out with all others when the driver flushes."""
        frame = Frame(pieces, tag, expires_at, render)
        if not self.is_closed:
            self.pending_frames.append(frame)
            self._count_queued(frame.size)
            self.manager.unflushed[self] = None
        return frame

    def write_now(self, pieces: Pieces) -> bool:
        """Writes before anything else that is queued on other links; False if the system does not take it."""
        self.write(pieces)
        self.send_pending()
        return not self.pending_frames and not self.outbound.used

    def _count_queued(self, size: int) -> None:
        self.queued_bytes += size
        self.manager.queued_bytes += size

    def withdraw(self, frame: Frame) -> bool:
        """Takes back a frame of which nothing has been written."""
        if frame.ring_start is not None or frame not in self.pending_frames:
            return False
        self.pending_frames.remove(frame)
        self._count_queued(-frame.size)
        return True

    def withdraw_expired(self, now: float) -> None:
        """Takes back what nobody wants any more. Guards memory against clients that don't read."""
        for frame in [
            each for each in self.pending_frames if each.expires_at is not None and each.expires_at < now
        ]:
            self.withdraw(frame)

    def has_unread(self) -> bool:
        """True when bytes have come that were not read yet, or when that can't be told now."""
        if self.sock is None:
            return False
        found, remedy = self.manager.calls.peek(self.sock)
        return found or remedy not in (Remedy.DONE, Remedy.WAIT, Remedy.GONE)

    def peer_has_closed(self) -> bool:
        """True when the peer has ended or reset the connection, and that was not read yet."""
        if self.sock is None:
            return False
        found, remedy = self.manager.calls.peek(self.sock)
        return remedy is Remedy.GONE or (remedy is Remedy.DONE and not found)

    def is_written(self, frame: Frame) -> bool:
        return frame.ring_end is not None and self.sent_offset >= frame.ring_end

    def send_pending(self) -> None:
        """Writes what the system takes now; the rest waits for it in a task of its own."""
        if self.sock is None or not self.is_connected or self.is_closed or self.write_wait is not None:
            return
        caller = self.manager.calls
        if not self.no_delay:
            self.no_delay = caller.enable_no_delay(self.sock)
        remedy = self._send_all()
        if remedy is Remedy.DONE and self.is_finishing and not self.write_side_closed:
            remedy = caller.shut_down(self.sock, socket.SHUT_WR)
            self.write_side_closed = remedy is Remedy.DONE
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            self._unfill_ring()
            self.write_wait = anyio.CancelScope()
            self.manager.task_group.start_soon(self._wait_to_write, remedy)
        elif remedy is not Remedy.DONE:
            self.close(AttemptEnd.RESET)

    def _send_all(self) -> Remedy:
        """DONE once all is written, else why the system takes no more."""
        while self.sock is not None and not self.is_closed:
            self._fill_ring()
            data = self.outbound.readable()
            if not data:
                break
            count, remedy = self.manager.calls.send(self.sock, data)
            if remedy is not Remedy.DONE:
                return remedy
            self.backoff = None
            self.outbound.consume(count)
            self.sent_offset += count
            while self.buffered_frames and self.is_written(self.buffered_frames[0]):
                self.buffered_frames.popleft()
        return Remedy.DONE

    def _fill_ring(self) -> None:
        while self.pending_frames and self.outbound.used < self.outbound.size:
            frame = self.pending_frames[0]
            if frame.ring_start is None:
                if frame.render is not None and not self._render_frame(frame):
                    continue
                frame.ring_start = self.buffered_offset
                self.buffered_frames.append(frame)
            while frame.unbuffered_pieces:
                piece = frame.unbuffered_pieces[0]
                count = self.outbound.write(piece)
                self.buffered_offset += count
                if count < len(piece):
                    frame.unbuffered_pieces[0] = piece[count:]
                    return
                frame.unbuffered_pieces.popleft()
            frame.ring_end = self.buffered_offset
            self.pending_frames.popleft()
            self._count_queued(-frame.size)

    def _render_frame(self, frame: Frame) -> bool:
        """Makes a frame that is about to begin; False if it was taken back meanwhile, and the link with
        it.
        """
        assert frame.render is not None
        pieces = frame.render()
        if self.is_closed or not self.pending_frames or self.pending_frames[0] is not frame:
            return False
        self._count_queued(-frame.size)
        frame.set_pieces(pieces)
        self._count_queued(frame.size)
        return True

    def _unfill_ring(self) -> None:
        """Frames of which the system took nothing wait outside the ring again. Guards what may still be taken
        back while a peer reads nothing: a drain, a purge or a client that left must find it unbegun.
        """
        while self.buffered_frames:
            frame = self.buffered_frames[-1]
            if frame.ring_start is None or frame.ring_start < self.sent_offset:
                return
            self.buffered_frames.pop()
            self.outbound.unwrite(self.buffered_offset - frame.ring_start)
            self.buffered_offset = frame.ring_start
            if frame.ring_end is not None:
                self.pending_frames.appendleft(frame)
                self._count_queued(frame.size)
            frame.ring_start = frame.ring_end = None
            frame.unbuffered_pieces = deque(frame.all_pieces)

    async def _wait_to_write(self, remedy: Remedy) -> None:
        async def work() -> None:
            if self.sock is None or self.is_closed:
                return
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._next_pause())
            else:
                await self.manager.calls.writable(self.sock)

        await self.run_guarded(work, self.write_wait or self.cancel_scope)
        self.write_wait = None
        self.send_pending()
        self.manager.flush()

    def _next_pause(self) -> float:
        if self.backoff is None:
            self.backoff = Backoff()
        return self.backoff.next()

    def finish(self) -> None:
        """Ends our side of the connection once all that was queued is written; what still comes is read and
        dropped until the peer ends its side. Guards what was just written: a close over unread bytes resets
        the connection and takes it along.
        """
        if not self.is_finishing and not self.is_closed:
            self.is_finishing = True
            self.manager.finishing_count += 1
            self.manager.unflushed[self] = None

    def close(self, ending: AttemptEnd) -> None:
        """Ends the connection now and tells its receiver, once."""
        if self.is_closed:
            return
        self.is_closed = True
        self.manager.finishing_count -= self.is_finishing
        self.cancel_scope.cancel()
        if self.write_wait is not None:
            self.write_wait.cancel()
        if self.sock is not None:
            self.manager.calls.shut_down(self.sock, socket.SHUT_RDWR)  # or it is over already
        self._release_socket()
        self.manager.unflushed.pop(self, None)
        self.manager.connections.pop(self, None)
        self.receiver.on_closed(self, ending)
        self._count_queued(-self.queued_bytes)
        self.pending_frames.clear()
        self.buffered_frames.clear()
        self.inbound = self.outbound = NO_BUFFER  # gives the memory back without waiting for a collection
        self.receiver = NULL_RECEIVER  # nor may a circle wait for one

    def _release_socket(self) -> None:
        """Closes the socket once no task waits on it: its number may be another's at once."""
        if self.is_closed and not self.task_count and self.sock is not None:
            self.manager.calls.close(self.sock)
            self.sock = None
            self.manager.open_sockets -= 1

    async def read_loop(self) -> None:
        """Reads until the connection ends."""
        caller, reads = self.manager.calls, 0
        while self.sock is not None and not self.is_closed:
            if self.is_finishing and reads:  # guards the CPU against senders without end
                await anyio.sleep(FINISHING)
            size = len(self.inbound.writable())
            count, remedy = self._read_once()
            if self.is_closed:
                return
            if remedy is Remedy.WAIT:
                await caller.readable(self.sock)
                continue
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._next_pause())
                continue
            reads += 1
            if self.is_finishing:
                continue
            self.manager.flush()
            if self.is_closed:
                return
            if count < size and self.unread_since is None:  # that was all for now
                await caller.readable(self.sock)
            elif reads % READS == 0:
                await lowlevel.checkpoint()

    def read_now(self) -> None:
        """Reads what has come, outside the turn of the reading task: for who has to know now."""
        for _ in range(LOOKS):
            if (
                self.sock is None
                or not self.is_connected
                or self.is_closed
                or self.is_finishing
                or self.is_receiving
            ):
                return
            if self._read_once()[1] is Remedy.WAIT:
                return

    def _read_once(self) -> tuple[int, Remedy]:
        """Hands on what has come; ends the link where the peer has."""
        assert self.sock is not None
        ring = self.inbound
        count, remedy = self.manager.calls.receive(self.sock, ring.writable())
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            if remedy is Remedy.WAIT:
                self.unread_since = None
            elif self.unread_since is None:
                self.unread_since = self.manager.selector.unread_since()
            return 0, remedy
        if remedy is not Remedy.DONE or not count:
            self.close(AttemptEnd.CLOSED if remedy is Remedy.DONE else AttemptEnd.RESET)
            return 0, remedy
        self.backoff = None
        if self.is_finishing:
            self.discarded_bytes += count
            return count, remedy
        self.last_received_at = monotonic()
        ring.commit_write(count)
        self.is_receiving = True
        try:
            self.receiver.on_data(self, ring.readable())
        finally:
            self.is_receiving = False
            ring.consume(count)
        return count, remedy

    async def run_guarded(self, work: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
        """Runs a task of the link: whatever goes wrong in it ends this link alone."""
        self.task_count += 1
        try:
            with scope:
                await work()
        except Exception:
            logger.exception("a connection's task failed")
            self.close(AttemptEnd.UNPARSABLE)
            self.manager.flush()
        finally:
            self.task_count -= 1
            self._release_socket()
