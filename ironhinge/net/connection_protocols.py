"""What a connection needs of its owner, and of whoever handles its events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anyio.abc import TaskGroup

from .attempt_end import AttemptEnd
from .socket_calls import SocketCalls
from .timed_selector import TimedSelector

if TYPE_CHECKING:
    from .connection import Connection


class ConnectionHost(Protocol):
    """What a connection needs of its owner, which shares the counts among all its connections."""

    calls: SocketCalls
    selector: TimedSelector
    task_group: TaskGroup  # runs the connection's tasks
    connections: dict[Connection, None]  # the open ones; a connection that closes removes itself
    unflushed: dict[Connection, None]  # those with something to write, in the order of their first write
    queued_bytes: int  # bytes of queued frames
    open_sockets: int
    finishing_count: int  # connections that have finished writing and wait for the peer to close

    def flush(self) -> None:
        """Writes everything that is queued on any connection, as far as the system accepts it."""


class Receiver(Protocol):
    """Handles the events of one connection."""

    def on_connected(self, connection: Connection, /) -> None:
        """The connection is established."""

    def on_data(self, connection: Connection, data: memoryview, /) -> None:
        """Bytes have arrived; `data` is valid during the call only."""

    def on_closed(self, connection: Connection, end: AttemptEnd, /) -> None:
        """The connection has ended; called once."""


class NullReceiver:
    """The receiver of a connection that has ended: ignores everything."""

    def on_connected(self, connection: Connection, /) -> None:
        """Ignores the event."""

    def on_data(self, connection: Connection, data: memoryview, /) -> None:
        """Ignores the event."""

    def on_closed(self, connection: Connection, end: AttemptEnd, /) -> None:
        """Ignores the event."""


NULL_RECEIVER = NullReceiver()
