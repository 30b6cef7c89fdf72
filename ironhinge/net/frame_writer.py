"""The output half of a connection: a queue of frames, and the ring through which they are sent.

Frames are withdrawn, rendered again or replaced as long as the system has not accepted them. `FrameWriter` is
the base class of `Connection`, which adds the input half and the end of the connection.
"""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable
from math import inf
from time import monotonic

import anyio

from .attempt_end import AttemptEnd
from .connection_protocols import ConnectionOwner
from .frame import Frame, Pieces
from .ring_buffer import EMPTY_RING, MAX_KEPT_BYTES
from .system_calls import Backoff, Remedy

MAX_RENDERED_AGE = 0.02  # seconds; an older frame is rendered again before it is sent
# Seconds; the rest of an older frame is not sent. The time remaining in a command may be too long by 0.15 s.
MAX_PARTIAL_FRAME_AGE = 0.1


class FrameWriter(ABC):
    """Writes queued frames to a socket, as far as the system accepts them."""

    def __init__(self, owner: ConnectionOwner, outbound_size: int):
        self.owner = owner
        self.sock: socket.socket | None = None
        self.outbound = EMPTY_RING  # a ring of `outbound_size` while there is unsent output
        self._outbound_size = outbound_size
        self.pending_frames: deque[Frame] = deque()  # not completely in the outbound ring
        self.buffered_frames: deque[Frame] = deque()  # with bytes in the outbound ring, not completely sent
        self.queued_bytes = 0  # size of the pending frames
        self.buffered_offset = 0  # total of bytes put into the outbound ring
        self.sent_offset = 0  # total of bytes accepted by the system
        self.rendered_at = inf  # when the oldest unsent frame in the ring was rendered; inf: there is none
        self.is_peer_slow = False  # the peer read too slowly to take the whole of a partly sent frame
        self.is_connected = self.is_closed = self.is_finishing = False
        # `send_pending` is running; rendering a frame may read a cancellation that is written to it at once
        self.is_sending = False
        self.write_side_closed = False  # this side has been shut down for writing
        self.no_delay = False  # TCP_NODELAY is on
        self.cancel_scope = anyio.CancelScope()
        self.write_wait_scope: anyio.CancelScope | None = None  # set while a task waits to send the rest
        self.backoff: Backoff | None = None  # between calls that fail for lack of a resource

    @abstractmethod
    def close(self, end: AttemptEnd) -> None:
        """Closes the connection now and notifies its receiver, once."""

    @abstractmethod
    async def run_task(self, work: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
        """Runs a task of the connection; an exception in it closes this connection only."""

    @abstractmethod
    def _request_flush(self) -> None:
        """Makes the next flush of the owner include this connection."""

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
            self._request_flush()
        return frame

    def write_now(self, pieces: Pieces) -> bool:
        """Queues a frame and sends this connection's queue at once; False if part of it remains unsent.

        While a frame is being rendered, it is only queued, and sent after that frame.
        """
        self.write(pieces)
        self.send_pending()
        return not self.pending_frames and not self.outbound.used

    def output_bytes(self) -> int:
        """Returns the bytes that its queued output holds, with its ring."""
        return self.queued_bytes + self.outbound.size

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
        if self.is_sending or self.write_wait_scope is not None:
            return  # what was queued meanwhile is sent as part of that
        if self.sock is None or not self.is_connected or self.is_closed:
            return
        self.is_sending = True
        try:
            self._send_pending()
        finally:
            self.is_sending = False

    def _send_pending(self) -> None:
        if self.sock is None:
            return
        calls = self.owner.calls
        if not self.no_delay:
            self.no_delay = calls.enable_no_delay(self.sock)
        remedy = self._send_all()
        if self.is_closed:
            return
        self._release_empty_ring()
        if remedy is Remedy.DONE and self.is_finishing and not self.write_side_closed:
            remedy = calls.shut_down(self.sock, socket.SHUT_WR)
            self.write_side_closed = remedy is Remedy.DONE
        if remedy in (Remedy.WAIT, Remedy.PAUSE):
            self._requeue_unsent_frames()
            self._release_empty_ring()
            has_partial_frame = bool(self.buffered_frames)
            self.is_peer_slow = self.is_peer_slow or (has_partial_frame and remedy is Remedy.WAIT)
            self.write_wait_scope = anyio.CancelScope()
            self.owner.task_group.start_soon(self._wait_to_write, remedy)
        elif remedy is not Remedy.DONE:
            self.close(AttemptEnd.RESET)

    def _release_empty_ring(self) -> None:
        if not self.outbound.used and self.owner.rings.lent_bytes > MAX_KEPT_BYTES:
            self._release_ring()

    def _release_ring(self) -> None:
        if self.outbound is not EMPTY_RING:
            self.owner.rings.release(self.outbound)
            self.outbound = EMPTY_RING

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
                self._rerender_partial_frame()
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

    def _rerender_partial_frame(self) -> None:
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
        elif not self.is_peer_slow and rendered_at > first_rendered_at + MAX_PARTIAL_FRAME_AGE:
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
        if self.pending_frames and self.outbound is EMPTY_RING:
            self.outbound = self.owner.rings.acquire(self._outbound_size)
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
