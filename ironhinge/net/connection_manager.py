"""Owns all connections of the program: connects, adopts accepted sockets, flushes, and bounds queued memory.

It never interprets bytes. Its callers choose which connection is closed to free a descriptor, and pass a
function that does it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from math import inf
from time import monotonic

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup
from loguru import logger

from ..config import Address, ResourceLimits
from .acceptor import Acceptor, DescriptorReclaimer
from .attempt_end import AttemptEnd
from .connection import Connection, Receiver
from .descriptor_budget import DescriptorBudget
from .memory_account import MemoryAccount
from .read_pacer import ReadPacer
from .ring_buffer import MAX_KEPT_BYTES, RingPool
from .socket_calls import SocketCalls
from .system_calls import Backoff, Call, Remedy
from .timed_selector import TimedSelector

__all__ = ["ConnectionManager", "DescriptorReclaimer"]

READ_BUFFER_BYTES = 64 * 1024  # the most that is read at once
COMMAND_BUFFER_BYTES = 8 * 1024  # size of the ring for commands to upstreams
ANSWER_BUFFER_BYTES = 32 * 1024  # size of the ring for answers to clients
QUEUED_MEMORY_SHARE = 0.25  # share of the memory limit that output queued for slow readers may use
SOCKET_RELEASE_TURNS = 3  # turns of the event loop in which a closed connection releases its socket
# Seconds; after a longer wait in the backlog, the system is asked for the age of a connection's data.
BACKLOG_WAIT_THRESHOLD = 0.03
UNKNOWN_IDLE_TIME = -1.0
KERNEL_CLOCK_RESOLUTION = 0.01  # seconds; the kernel counts a connection's times in its timer ticks
CONNECT_FAILURE_ENDS = {  # the end of a connection that was not established
    Remedy.REFUSED: AttemptEnd.CONNECTION_REFUSED,
    Remedy.RESET: AttemptEnd.CUT_BEFORE_SEND,
    Remedy.DESCRIPTORS: AttemptEnd.NOT_SENT,  # a shortage on this machine: the upstream is not at fault
}


def _ignore_call_failure(call: Call, error: str, remedy: Remedy) -> None:
    """Does nothing; the default of `ConnectionManager.on_call_failed`."""


def _close_nothing() -> None:
    """Does nothing; the default of `ConnectionManager.shed_idle`."""


class ConnectionManager(DescriptorBudget):
    """All connections of the program, and the limits that they share.

    Attributes:
        on_call_failed: Called when a system call fails unexpectedly, with the call, the errno's name and the
            remedy.
        shed_idle: Closes an idle connection, to free its descriptor.
        queued_bytes: Bytes of queued frames on all connections.
        queued_bytes_limit: While `queued_bytes` exceeds this, a flush closes the connection with the largest
            queue.
        connections: The open connections.
        unflushed: Connections with queued output, in the order of their first write.
        is_short_of_descriptors: Accepting has paused for lack of descriptors and not recovered since.
        backlog_empty_at: When the listen backlog was last seen empty (monotonic seconds). Connections that
            are accepted now entered it later.
    """

    def __init__(self, task_group: TaskGroup, limits: ResourceLimits, selector: TimedSelector):
        super().__init__(limits.descriptors)
        self.task_group = task_group
        self.selector = selector
        self.on_call_failed: Callable[[Call, str, Remedy], None] = _ignore_call_failure
        self.calls = SocketCalls(lambda call, error, remedy: self.on_call_failed(call, error, remedy))
        self.shed_idle: Callable[[], None] = _close_nothing
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.rings = RingPool()
        self.pacer = ReadPacer(limits.cores)
        self.memory = MemoryAccount(limits.memory_mb)
        self.memory.use.connections = lambda: self.open_sockets
        self.memory.use.max_connections = lambda: self.descriptor_limit
        self.memory.use.output_bytes = self.output_bytes
        self.queued_bytes = 0
        self.queued_bytes_limit = QUEUED_MEMORY_SHARE * limits.memory_mb * 2**20 or inf
        self.connections: dict[Connection, None] = {}
        self.unflushed: dict[Connection, None] = {}
        self.is_short_of_descriptors = False
        self.backlog_empty_at = monotonic()

    def flush(self) -> None:
        """Writes all queued output, as far as the system accepts it."""
        while self.unflushed:
            connections = list(self.unflushed)
            self.unflushed.clear()
            for connection in connections:
                connection.send_pending()
            if self.queued_bytes or self.rings.lent_bytes > MAX_KEPT_BYTES:
                self._limit_output()

    def _limit_output(self) -> None:
        if self.queued_bytes > self.queued_bytes_limit or self.output_bytes() > self.memory.max_output():
            self._close_largest_queue()

    def output_bytes(self) -> int:
        """Returns the bytes that queued output holds, with the rings that are lent for it."""
        return self.queued_bytes + self.rings.lent_bytes

    def summary(self) -> str:
        """Returns what holds memory, the open sockets and the pauses of reading, as key=value fields."""
        return f"{self.memory.summary()} open_sockets={self.open_sockets} read_pauses={self.pacer.pauses}"

    def limit_connections_to_memory(self) -> None:
        """Lowers the descriptor limit to the connections that the memory allows, after the start."""
        self.memory.set_base()
        self.descriptor_limit = int(min(self.descriptor_limit, self.memory.max_connections()))

    def _close_largest_queue(self) -> None:
        """Closes the connection with the most queued output, so that one peer can't exhaust the memory."""
        largest = max(self.connections, key=lambda connection: connection.output_bytes(), default=None)
        if largest is None or not largest.output_bytes():
            return
        logger.warning(
            "connection_closed reason=memory_limit output_bytes={} {}",
            largest.output_bytes(),
            self.memory.summary(),
        )
        largest.close(AttemptEnd.MEMORY_LIMIT)

    # Connecting

    def connect(
        self, receiver: Receiver, address: Address, timeout: float, may_use_reserve: bool = False
    ) -> Connection:
        """Starts to connect.

        Args:
            receiver: Handles the events of the connection, including a failure to connect.
            address: The peer.
            timeout: Seconds after which connecting fails.
            may_use_reserve: The connection may use the reserved descriptors.

        Returns:
            The connection, which is not established yet; frames can be queued on it.
        """
        connection = Connection(self, receiver, COMMAND_BUFFER_BYTES)
        self.connections[connection] = None

        async def connect_and_read() -> None:
            """Connects, then reads until the connection ends."""
            await self._connect(connection, address, timeout, may_use_reserve)
            self.flush()
            await connection.read_loop()

        self.task_group.start_soon(connection.run_task, connect_and_read, connection.cancel_scope)
        return connection

    async def _connect(
        self, connection: Connection, address: Address, max_wait: float, may_use_reserve: bool
    ) -> None:
        """Connects, or closes the connection with the end that says why it failed.

        A shortage on this machine must not count against the peer, so connecting is retried until `max_wait`
        seconds have passed.
        """
        deadline = monotonic() + max_wait
        backoff = Backoff()
        while not connection.is_closed:
            remedy = await self._try_to_connect(connection, address, deadline, may_use_reserve)
            if connection.is_closed:
                return
            if remedy is Remedy.DONE:
                connection.is_connected = True
                self.unflushed[connection] = None
                connection.receiver.on_connected(connection)
                return
            if remedy is not Remedy.PAUSE or monotonic() >= deadline:
                connection.close(CONNECT_FAILURE_ENDS.get(remedy, AttemptEnd.CONNECT_TIMEOUT))
                return
            self._discard_socket(connection)
            await anyio.sleep(backoff.next())

    async def _try_to_connect(
        self, connection: Connection, address: Address, deadline: float, may_use_reserve: bool
    ) -> Remedy:
        """Tries to connect once.

        Returns:
            DONE once connected; PAUSE if this machine is temporarily short of a resource; else the reason.
        """
        remedy = await self._open_socket(connection, may_use_reserve)
        if connection.sock is None:
            return remedy
        remedy = self.calls.connect(connection.sock, address)
        if remedy is not Remedy.WAIT:
            return remedy
        with anyio.move_on_after(max(0.0, deadline - monotonic())) as scope:
            await self.calls.writable(connection.sock)
        return Remedy.UNREACHABLE if scope.cancelled_caught else self.calls.connect_result(connection.sock)

    async def _open_socket(self, connection: Connection, may_use_reserve: bool) -> Remedy:
        """Opens a socket for a connection; the remedy says why if `connection.sock` is still None."""
        if self.open_sockets >= self.descriptor_limit and not may_use_reserve:
            self.shed_idle()
            for _ in range(SOCKET_RELEASE_TURNS):
                await lowlevel.checkpoint()
            if self.open_sockets >= self.descriptor_limit:
                return Remedy.DESCRIPTORS
        sock, remedy = self.calls.new_stream()
        if sock is not None:
            connection.sock = sock
            self.open_sockets += 1
        elif remedy is Remedy.DESCRIPTORS:
            self.shed_idle()
        return Remedy.PAUSE if remedy is Remedy.RETRY else remedy

    def _discard_socket(self, connection: Connection) -> None:
        """Closes the socket of a connection before connecting is retried."""
        if connection.sock is not None:
            self.calls.close(connection.sock)
            connection.sock = None
            self.open_sockets -= 1

    # Accepting

    def on_listening(self) -> None:
        """Records that the listener has just been opened: no connection entered its backlog before."""
        self.backlog_empty_at = monotonic()

    async def accept(
        self,
        listener: socket.socket,
        make_receiver: Callable[[], Receiver],
        reclaim_descriptor: DescriptorReclaimer,
    ) -> None:
        """Accepts connections until the listener is closed; pauses while descriptors are short.

        Args:
            listener: The listening socket.
            make_receiver: Makes the receiver of each connection.
            reclaim_descriptor: Closes an idle client's connection to free its descriptor for a new one.

        Raises:
            ListenerError: The listener is open, but can't accept connections.
        """
        await Acceptor(self, listener, make_receiver, reclaim_descriptor).run()

    async def close_listener(
        self,
        listener: socket.socket,
        make_receiver: Callable[[], Receiver],
        reclaim_descriptor: DescriptorReclaimer,
        max_wait: float,
    ) -> None:
        """Accepts the connections in the backlog and closes the listener, within `max_wait` seconds."""
        await Acceptor(self, listener, make_receiver, reclaim_descriptor).drain_backlog(max_wait)

    def adopt(self, sock: socket.socket, receiver: Receiver) -> None:
        """Takes over an accepted socket and starts to read it."""
        sock.setblocking(False)
        self.open_sockets += 1
        connection = Connection(self, receiver, ANSWER_BUFFER_BYTES)
        connection.sock = sock
        connection.is_connected = True
        connection.no_delay = self.calls.enable_no_delay(sock)
        self._record_backlog_wait(connection, sock)
        self.connections[connection] = None
        receiver.on_connected(connection)
        self.flush()
        self.task_group.start_soon(connection.run_task, connection.read_loop, connection.cancel_scope)

    def _record_backlog_wait(self, connection: Connection, sock: socket.socket) -> None:
        """Records the earliest time at which the first data of a connection can have arrived.

        After a long wait in the backlog, also records when the last data arrived there, and for how long the
        peer has been silent.
        """
        connection.last_empty_at = self.backlog_empty_at
        now = monotonic()
        waited = now - self.backlog_empty_at
        if waited > BACKLOG_WAIT_THRESHOLD:
            idle_time = self.calls.seconds_since_data(sock, UNKNOWN_IDLE_TIME)
            is_known = 0 <= idle_time <= waited + KERNEL_CLOCK_RESOLUTION
            connection.backlog_data_at = now - (idle_time if is_known else waited)
            connection.idle_time_at_accept = min(idle_time, waited) if is_known else 0.0
