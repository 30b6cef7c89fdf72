"""One TCP connection: reads into the buffer of its owner, ends in one way, and writes as a `FrameWriter`.

All that is read is passed on at once, so a connection that waits holds no input.

A connection never interprets the bytes: it passes data, and the end of the connection, to its `Receiver`. An
error in its tasks closes this connection only. `ConnectionOwner` is the interface of its owner.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from time import monotonic, thread_time

import anyio
from anyio import lowlevel
from loguru import logger

from .attempt_end import AttemptEnd
from .connection_protocols import NULL_RECEIVER, ConnectionOwner, NullReceiver, Receiver
from .frame import Frame, Pieces
from .frame_writer import FrameWriter
from .read_pacer import MAX_TURN_TIME, ReadCredit
from .system_calls import Remedy

__all__ = ["NULL_RECEIVER", "Connection", "ConnectionOwner", "Frame", "NullReceiver", "Pieces", "Receiver"]

MIN_IMMEDIATE_READS = 4  # reads by `read_now`, whatever they cost: a read may be short, or fail temporarily
# Answers that a client may leave unread before no more is read from it. By the protocol it has at most 32
# open requests, and a readiness query or two.
MAX_UNREAD_ANSWERS = 64
UNREAD_ANSWERS_PAUSE = 0.02  # seconds
MAX_TURN_WAIT = 0.02  # seconds for which what was read waits for the next turn of its connection
DISCARD_INTERVAL = 0.01  # seconds between reads of data that is discarded
MAX_EMPTY_AGE = 0.03  # seconds; if a connection was last known to be empty earlier, a short read is repeated


class Connection(FrameWriter):
    """One connection; owns its socket, its output buffer and its tasks."""

    def __init__(self, owner: ConnectionOwner, receiver: Receiver, outbound_size: int):
        super().__init__(owner, outbound_size)
        self.receiver = receiver
        self.is_receiving = False  # the receiver's `on_data` is running
        self.discarded_bytes = 0  # bytes that arrived after `finish`
        self.last_received_at = 0.0  # when data last arrived, in monotonic seconds
        self.read_size = len(owner.read_buffer)  # the most that is read at once; its receiver may set less
        self.last_read_size = 0  # buffer size of the latest read
        # called after the reads of a turn, with whether another turn follows at once
        self.after_batch: Callable[[bool], None] | None = None
        # a peer that has left is of no interest, nor is its unread input; see `close_if_peer_closed`
        self.ends_with_peer = False
        self.credit: ReadCredit | None = None  # what its reads are paid from; None: it is never read later
        self.last_empty_at = monotonic()  # the next data read arrived after this; see `empty_until`
        self.polled_descriptor: int | None = None  # set while the read loop waits for input
        # when the last data arrived that the system received before the accept (monotonic seconds)
        self.backlog_data_at: float | None = None
        # how long the peer had been silent at the accept (seconds); 0 if that is unknown
        self.idle_time_at_accept = 0.0
        self.task_count = 0  # tasks that use the socket

    def _request_flush(self) -> None:
        self.owner.unflushed[self] = None

    def finish(self) -> None:
        """Shuts down this side once the queue is sent, and discards input until the peer closes its side.

        Closing a socket with unread input resets the connection, which would destroy what was just written.
        """
        if not self.is_finishing and not self.is_closed:
            self.is_finishing = True
            self.read_size = len(self.owner.read_buffer)  # what is discarded has no cost
            self.owner.finishing_count += 1
            self._request_flush()

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
        # frees the buffer and breaks the reference cycle without waiting for the garbage collector
        self._release_ring()
        self.receiver = NULL_RECEIVER
        self.after_batch = None

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
        """Reads until the connection ends, one turn after another."""
        while self.sock is not None and not self.is_closed:
            if self.credit is not None and len(self.pending_frames) > MAX_UNREAD_ANSWERS:
                await anyio.sleep(UNREAD_ANSWERS_PAUSE)
                continue
            credit, pacer = self.credit, self.owner.pacer
            if credit is not None and credit.overdrawn_in >= pacer.interval - 1:
                await self._acquire_read_lock(pacer.overdrawn_lock)
                try:
                    remedy, cost = self._timed_batch()
                    await lowlevel.checkpoint()
                finally:
                    pacer.overdrawn_lock.release()
            else:
                remedy, cost = self._timed_batch()
            if self.is_closed:
                return
            if remedy is Remedy.PAUSE:
                await anyio.sleep(self._next_pause())
            elif self.is_finishing:  # a peer that keeps sending must not use up the CPU
                await anyio.sleep(DISCARD_INTERVAL)
            pause = 0.0
            if credit is not None:
                pause = pacer.charge(credit, cost)
            if pause:
                self._end_batch(may_continue=False)
                await anyio.sleep(pause)
            elif remedy is Remedy.WAIT:
                await self._wait_until_readable()
            else:
                await lowlevel.checkpoint()

    async def _acquire_read_lock(self, lock: anyio.Lock) -> None:
        """Acquires the lock; lets the receiver act on what was read if others hold it for long."""
        with anyio.move_on_after(MAX_TURN_WAIT) as scope:
            await lock.acquire()
        if scope.cancelled_caught:
            self._end_batch(may_continue=False)
            await lock.acquire()

    def _timed_batch(self) -> tuple[Remedy, float]:
        """Takes a turn; returns its result, and the processor time that it took in seconds."""
        began_at = thread_time()
        remedy = self._read_batch(began_at)
        return remedy, thread_time() - began_at

    def _read_batch(self, started_at: float) -> Remedy:
        """Reads until nothing is unread or the turn is over, and writes what that causes.

        Returns:
            WAIT if most probably nothing is unread; DONE if more may be; PAUSE if reading failed.
        """
        while True:
            count, remedy = self._read_once()
            if self.is_closed or remedy is not Remedy.DONE or self.is_finishing:
                break
            if count < self.last_read_size and monotonic() < self.last_empty_at + MAX_EMPTY_AGE:
                remedy = Remedy.WAIT  # a short read: most probably nothing else is unread
                break
            if count < self.last_read_size or thread_time() >= started_at + MAX_TURN_TIME:
                self._end_batch(may_continue=True)
                return remedy
        self._end_batch(may_continue=False)
        return remedy

    def _end_batch(self, may_continue: bool) -> None:
        """Lets the receiver act on what was read, and writes the output.

        Args:
            may_continue: More is unread, and will be read in the next turn of the event loop.
        """
        if self.after_batch is not None and not self.is_closed:
            self.after_batch(may_continue)
        self.owner.flush()

    def close_if_peer_closed(self) -> bool:
        """Closes the connection if the peer has closed or reset it, though earlier input may be unread."""
        if self.sock is None or self.is_closed:
            return self.is_closed
        if self.ends_with_peer and self.owner.calls.is_closed_by_peer(self.sock):
            self.close(AttemptEnd.CLOSED)
        return self.is_closed

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
        if self.close_if_peer_closed():
            return
        oldest = monotonic() - max_age
        if self.last_empty_at < oldest and self.empty_until() < oldest:
            self.read_now()

    def read_now(self) -> None:
        """Reads what has arrived at once, for a decision that can't wait until the read loop runs."""
        until = thread_time() + MAX_TURN_TIME
        reads = 0
        while self._may_read_now() and (reads < MIN_IMMEDIATE_READS or thread_time() < until):
            reads += 1
            if self._read_once()[1] is Remedy.WAIT:
                break
        if reads and self.after_batch is not None and not self.is_closed:
            self.after_batch(False)

    def _may_read_now(self) -> bool:
        is_open = self.sock is not None and self.is_connected and not self.is_closed
        return is_open and not self.is_finishing and not self.is_receiving

    def _read_once(self) -> tuple[int, Remedy]:
        """Reads once and passes the data to the receiver; closes the connection if the peer has closed it.

        Returns the number of bytes read, and DONE, or the remedy that says why there are none.
        """
        assert self.sock is not None
        began_at = monotonic()
        buffer = self.owner.read_buffer[: self.read_size]
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
        self.is_receiving = True
        try:
            self.receiver.on_data(self, buffer[:count])
        finally:
            self.is_receiving = False
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
