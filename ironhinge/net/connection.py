"""One TCP connection: reads into a ring buffer, and writes queued frames through another.

A connection never interprets the bytes: it passes data, and the end of the connection, to its `Receiver`. An
error in its tasks closes this connection only. `ConnectionOwner` is the interface of its owner.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from math import inf
from time import monotonic

import anyio
from anyio import lowlevel
from loguru import logger

from .attempt_end import AttemptEnd
from .connection_protocols import NULL_RECEIVER, ConnectionOwner, NullReceiver, Receiver
from .frame import Frame, Pieces
from .ring_buffer import RingBuffer
from .system_calls import Backoff, Remedy

__all__ = ["NULL_RECEIVER", "Connection", "ConnectionOwner", "Frame", "NullReceiver", "Pieces", "Receiver"]

READS_PER_TURN = 8  # reads of one connection before other tasks run
MAX_IMMEDIATE_READS = 4  # reads by `read_now`: a read may be short, or fail temporarily
DISCARD_INTERVAL = 0.01  # seconds between reads of data that is discarded
MAX_RENDERED_AGE = 0.02  # seconds; an older frame is rendered again before it is sent
# Seconds; the rest of an older frame is not sent. The time remaining in a command may be too long by 0.15 s.
MAX_BEGUN_FRAME_AGE = 0.1
MAX_EMPTY_AGE = 0.03  # seconds; if a connection was last known to be empty earlier, a short read is repeated

EMPTY_BUFFER = RingBuffer(0)


class Connection:
    """One connection; owns its socket, its buffers and its tasks."""

    def __init__(self, owner: ConnectionOwner, receiver: Receiver, inbound_size: int, outbound_size: int):
        self.owner = owner
        self.receiver = receiver
        self.sock: socket.socket | None = None
        self.inbound = RingBuffer(inbound_size)
        self.outbound = RingBuffer(outbound_size)
        self.pending_frames: deque[Frame] = deque()  # not completely in the outbound ring
        self.buffered_frames: deque[Frame] = deque()  # with bytes in the outbound ring, not completely sent
        self.queued_bytes = 0  # size of the pending frames
        self.buffered_offset = 0  # total of bytes put into the outbound ring
        self.sent_offset = 0  # total of bytes accepted by the system
        self.rendered_at = inf  # when the oldest unsent frame in the ring was rendered; inf: there is none
        self.is_peer_slow = False  # the peer read too slowly to take the whole of a begun frame
        self.is_connected = self.is_closed = self.is_finishing = False
        self.write_side_closed = False  # this side has been shut down for writing
        self.no_delay = False  # TCP_NODELAY is on
        self.is_receiving = False  # the receiver's `on_data` is running
        self.discarded_bytes = 0  # bytes that arrived after `finish`
        self.last_received_at = 0.0  # when data last arrived, in monotonic seconds
        self.last_read_size = 0  # buffer size of the latest read
        self.last_empty_at = monotonic()  # the next data read arrived after this; see `empty_until`
        self.polled_descriptor: int | None = None  # set while the read loop waits for input
        # when the last data arrived that the system received before the accept (monotonic seconds)
        self.backlog_data_at: float | None = None
        # how long the peer had been silent at the accept (seconds); 0 if that is unknown
        self.silence_at_accept = 0.0
        self.task_count = 0  # tasks that use the socket
        self.cancel_scope = anyio.CancelScope()
        self.write_wait_scope: anyio.CancelScope | None = None  # set while a task waits to send the rest
        self.backoff: Backoff | None = None  # between calls that fail for lack of a resource

    def write(
        self,
        pieces: Pieces,
        tag: int = 0,
        expires_at: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ) -> Frame:
        """Queues a frame; it is sent at the next flush of the owner."""
        frame = Frame(pieces, tag, expires_at, render)
        if not self.is_closed:
            self.pending_frames.append(frame)
            self._count_queued(frame.size)
            self.owner.unflushed[self] = None
        return frame

    def write_now(self, pieces: Pieces) -> bool:
        """Queues a frame and sends this connection's queue at once; False if part of it remains unsent."""
        self.write(pieces)
        self.send_pending()
        return not self.pending_frames and not self.outbound.used

    def _count_queued(self, size: int) -> None:
        self.queued_bytes += size
        self.owner.queued_bytes += size

    def withdraw(self, frame: Frame) -> bool:
        """Removes a frame from the queue; False if part of it has been written already."""
        if frame.ring_start is not None or frame not in self.pending_frames:
            return False
        self.pending_frames.remove(frame)
        self._count_queued(-frame.size)
        return True

    def withdraw_expired(self, now: float) -> None:
        """Withdraws expired frames, which bounds the queue for a client that does not read."""
        for frame in list(self.pending_frames):
            if frame.expires_at is not None and frame.expires_at < now:
                self.withdraw(frame)

    def is_written(self, frame: Frame) -> bool:
        """Returns whether the system has accepted the whole frame."""
        return frame.ring_end is not None and self.sent_offset >= frame.ring_end

    def send_pending(self) -> None:
        """Sends what the system accepts now, and starts a task that waits to send the rest."""
        if self.sock is None or not self.is_connected or self.is_closed or self.write_wait_scope is not None:
            return
        calls = self.owner.calls
        if not self.no_delay:
            self.no_delay = calls.enable_no_delay(self.sock)
        remedy = self._send_all()
        if self.is_closed:
            return
        if remedy is Remedy.DONE and self.is_finishing and not self.write_side_closed:
            remedy = calls.shut_down(self.sock, socket.SHUT_WR)
            self.write_side_closed = remedy is Remedy.DONE
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            self._requeue_unsent_frames()
            has_begun_frame = bool(self.buffered_frames)
            self.is_peer_slow = self.is_peer_slow or (has_begun_frame and remedy is Remedy.WAIT)
            self.write_wait_scope = anyio.CancelScope()
            self.owner.task_group.start_soon(self._wait_to_write, remedy)
        elif remedy is not Remedy.DONE:
            self.close(AttemptEnd.RESET)

    def _send_all(self) -> Remedy:
        """Returns DONE once everything is sent, else why the system accepts no more."""
        is_rerendered = False
        while self.sock is not None and not self.is_closed:
            self._fill_ring()
            data = self.outbound.readable()
            if not data:
                break
            latest = inf if is_rerendered else self.rendered_at + MAX_RENDERED_AGE
            count, remedy = self.owner.calls.send(self.sock, data, latest)
            if remedy is Remedy.LATE:
                self._requeue_unsent_frames()  # the rendered time remaining is out of date
                self._rerender_begun_frame()
                is_rerendered = True  # only once: on a slow machine, rendering alone may take that long
                continue
            is_rerendered = False
            if remedy is not Remedy.DONE:
                return remedy
            self._on_sent(count)
        return Remedy.DONE

    def _on_sent(self, count: int) -> None:
        """Removes what the system has accepted from the ring."""
        self.backoff = None
        self.outbound.consume(count)
        self.sent_offset += count
        while self.buffered_frames and self.is_written(self.buffered_frames[0]):
            self.buffered_frames.popleft()
            self.is_peer_slow = False
        if not self.buffered_frames:
            self.rendered_at = inf

    def _rerender_begun_frame(self) -> None:
        """Renders the rest of a partly sent frame again, so that its time remaining is right on arrival.

        That is not possible if the new content begins otherwise than what was sent. Then the connection is
        closed if the frame is too old, which ends what else is in flight on it. It stays open if the peer
        was slow to read, as frames that the system has accepted are as old by then.
        """
        frame = self.buffered_frames[0] if self.buffered_frames else None
        if frame is None or frame.rendered_at == inf:
            return
        first_rendered_at, rendered_at = frame.rendered_at, monotonic()
        pieces = frame.render() if frame.render is not None else ()
        if self.is_closed or not self.buffered_frames or self.buffered_frames[0] is not frame:
            return
        if frame.ring_start is not None and self._replace_unsent(frame, pieces):
            self.rendered_at = frame.rendered_at = rendered_at
        elif not self.is_peer_slow and rendered_at > first_rendered_at + MAX_BEGUN_FRAME_AGE:
            self.close(AttemptEnd.CONNECTION_SHARED_FAILURE)

    def _replace_unsent(self, frame: Frame, pieces: Pieces) -> bool:
        """Replaces the rest of the partly sent frame; False if the new content begins otherwise."""
        assert frame.ring_start is not None
        old_size = frame.size
        if not frame.replace_unsent(pieces, self.sent_offset - frame.ring_start):
            return False
        self.outbound.unwrite(self.buffered_offset - self.sent_offset)
        self.buffered_offset = self.sent_offset
        if frame.ring_end is None:
            self._count_queued(frame.size - old_size)
        else:
            frame.ring_end = None
            self.pending_frames.appendleft(frame)
            self._count_queued(frame.size)
        return True

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
        """Renders the first pending frame; False if that withdrew the frame or closed the connection."""
        assert frame.render is not None
        frame.rendered_at = monotonic()
        self.rendered_at = min(self.rendered_at, frame.rendered_at)
        pieces = frame.render()
        if self.is_closed or not self.pending_frames or self.pending_frames[0] is not frame:
            return False
        self._count_queued(-frame.size)
        frame.set_pieces(pieces)
        self._count_queued(frame.size)
        return True

    def _requeue_unsent_frames(self) -> None:
        """Moves the frames of which the system has accepted nothing from the ring back to the queue.

        These frames can then still be withdrawn because of a graceful shutdown, a purge or a disconnected
        client, while the peer does not read.
        """
        self.rendered_at = inf
        while self.buffered_frames:
            frame = self.buffered_frames[-1]
            if frame.ring_start is None or frame.ring_start < self.sent_offset:
                self.rendered_at = frame.rendered_at
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
        async def wait() -> None:
            """Waits until the system accepts more output, or a shortage may be over."""
            if self.sock is None or self.is_closed:
                return
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._next_pause())
            else:
                await self.owner.calls.writable(self.sock)

        await self.run_task(wait, self.write_wait_scope or self.cancel_scope)
        self.write_wait_scope = None
        self.send_pending()
        self.owner.flush()

    def _next_pause(self) -> float:
        if self.backoff is None:
            self.backoff = Backoff()
        return self.backoff.next()

    def finish(self) -> None:
        """Shuts down this side once the queue is sent, and discards input until the peer closes its side.

        Closing a socket with unread input resets the connection, which would destroy what was just written.
        """
        if not self.is_finishing and not self.is_closed:
            self.is_finishing = True
            self.owner.finishing_count += 1
            self.owner.unflushed[self] = None

    def close(self, end: AttemptEnd) -> None:
        """Closes the connection now and notifies its receiver, once."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.finishing_count -= self.is_finishing
        self.cancel_scope.cancel()
        if self.write_wait_scope is not None:
            self.write_wait_scope.cancel()
        if self.sock is not None:
            # fails if the peer has closed already, which does not matter
            self.owner.calls.shut_down(self.sock, socket.SHUT_RDWR)
        self._release_socket()
        self.owner.unflushed.pop(self, None)
        self.owner.connections.pop(self, None)
        self.receiver.on_closed(self, end)
        self._count_queued(-self.queued_bytes)
        self.pending_frames.clear()
        self.buffered_frames.clear()
        # frees the buffers and breaks the reference cycle without waiting for the garbage collector
        self.inbound = self.outbound = EMPTY_BUFFER
        self.receiver = NULL_RECEIVER

    def _release_socket(self) -> None:
        """Closes the socket once no task waits on it, as its descriptor may be reused immediately."""
        if self.is_closed and not self.task_count and self.sock is not None:
            self.owner.calls.close(self.sock)
            self.sock = None
            self.owner.open_sockets -= 1

    def has_unread(self) -> bool:
        """Returns whether there are unread bytes; also True if that can't be determined."""
        if self.sock is None:
            return False
        has_data, remedy = self.owner.calls.peek(self.sock)
        return has_data or remedy not in (Remedy.DONE, Remedy.WAIT, Remedy.BROKEN)

    def peer_has_closed(self) -> bool:
        """Returns whether the peer has closed or reset the connection, as far as a peek shows."""
        if self.sock is None:
            return False
        has_data, remedy = self.owner.calls.peek(self.sock)
        return remedy is Remedy.BROKEN or (remedy is Remedy.DONE and not has_data)

    async def read_loop(self) -> None:
        """Reads until the connection ends."""
        reads = 0
        while self.sock is not None and not self.is_closed:
            if self.is_finishing and reads:  # a peer that keeps sending must not use up the CPU
                await anyio.sleep(DISCARD_INTERVAL)
            count, remedy = self._read_once()
            if self.is_closed:
                return
            if remedy is Remedy.WAIT:
                await self._wait_until_readable()
                continue
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._next_pause())
                continue
            reads += 1
            if self.is_finishing:
                continue
            self.owner.flush()
            if self.is_closed:
                return
            if count < self.last_read_size and monotonic() < self.last_empty_at + MAX_EMPTY_AGE:
                await self._wait_until_readable()  # a short read: most probably nothing else is unread
            elif reads % READS_PER_TURN == 0:
                await lowlevel.checkpoint()

    async def _wait_until_readable(self) -> None:
        assert self.sock is not None
        self.polled_descriptor = self.sock.fileno()
        try:
            await self.owner.calls.readable(self.sock)
        finally:
            empty_until = self.owner.selector.end_polling(self.polled_descriptor)
            self.polled_descriptor = None
            if empty_until > self.last_empty_at:
                self.last_empty_at = empty_until

    def empty_until(self) -> float:
        """Returns the latest time (monotonic seconds) when the connection was known to have nothing unread.

        Data that is read now arrived after that time, even if the process was stopped in between.
        """
        if self.polled_descriptor is None:
            return self.last_empty_at
        return max(self.last_empty_at, self.owner.selector.empty_until(self.polled_descriptor))

    def use_backlog_data_time(self) -> None:
        """Dates the next message by the last data that arrived before the accept, if no more is unread.

        The receiver calls this before the last complete message: a message is complete when its last bytes
        arrive, so its waiting time counts from then and not from when the connection entered the backlog.
        """
        if self.backlog_data_at is not None and not self.has_unread():
            self.last_empty_at = max(self.last_empty_at, self.backlog_data_at)
        self.backlog_data_at = None

    def catch_up(self, max_age: float) -> None:
        """Reads what has arrived, unless no data older than `max_age` seconds can be unread."""
        oldest = monotonic() - max_age
        if self.last_empty_at < oldest and self.empty_until() < oldest:
            self.read_now()

    def read_now(self) -> None:
        """Reads what has arrived at once, for a decision that can't wait until the read loop runs."""
        for _ in range(MAX_IMMEDIATE_READS):
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
        """Reads once and passes the data to the receiver; closes the connection if the peer has closed it.

        Returns the number of bytes read, and DONE, or the remedy that says why there are none.
        """
        assert self.sock is not None
        ring = self.inbound
        began_at = monotonic()
        buffer = ring.writable()
        self.last_read_size = len(buffer)
        count, remedy = self.owner.calls.receive(self.sock, buffer)
        if remedy is Remedy.WAIT:
            self.last_empty_at = began_at
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
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

    async def run_task(self, work: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
        """Runs a task of the connection; an exception in it closes this connection only."""
        self.task_count += 1
        try:
            with scope:
                await work()
        except Exception:  # noqa: BLE001 - an error on one connection must not end the tasks of others
            logger.exception("connection_task_failed")
            self.close(AttemptEnd.UNPARSABLE)
            self.owner.flush()
        finally:
            self.task_count -= 1
            self._release_socket()
