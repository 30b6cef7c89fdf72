"""The interfaces of a connection to its owner and to the handler of its events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anyio.abc import TaskGroup

from .attempt_end import AttemptEnd
from .read_pacer import ReadPacer
from .ring_buffer import RingPool
from .socket_calls import SocketCalls
from .timed_selector import TimedSelector

if TYPE_CHECKING:
    from .connection import Connection


class ConnectionOwner(Protocol):
    """The owner of connections, as a connection uses it; all its connections share the counts."""

    calls: SocketCalls
    selector: TimedSelector
    read_buffer: memoryview  # of all connections; its bytes are valid until the next read
    rings: RingPool
    pacer: ReadPacer
    task_group: TaskGroup  # runs the connection's tasks
    connections: dict[Connection, None]  # open connections; one that closes removes itself
    unflushed: dict[Connection, None]  # connections with queued output, in the order of their first write
    queued_bytes: int  # bytes of queued frames
    open_sockets: int
    finishing_count: int  # connections that have finished writing and wait for the peer to close

    def flush(self) -> None:
        """Writes the queued output of all connections, as far as the system accepts it."""


class Receiver(Protocol):
    """Handles the events of one connection."""

    def on_connected(self, connection: Connection, /) -> None:
        """Called once the connection is established."""

    def on_data(self, connection: Connection, data: memoryview, /) -> None:
        """Called with bytes that have arrived; `data` is valid until the next read of any connection."""

    def on_closed(self, connection: Connection, end: AttemptEnd, /) -> None:
        """Called once, when the connection has ended."""


class NullReceiver:
    """The receiver of a connection that has ended: ignores everything."""

    def on_connected(self, connection: Connection, /) -> None:
        """Ignores the event."""

    def on_data(self, connection: Connection, data: memoryview, /) -> None:
        """Ignores the event."""

    def on_closed(self, connection: Connection, end: AttemptEnd, /) -> None:
        """Ignores the event."""


NULL_RECEIVER = NullReceiver()
