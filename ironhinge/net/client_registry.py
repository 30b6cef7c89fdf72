"""The open client connections of a director, and the choice of those to close when descriptors are short."""

from __future__ import annotations

from collections.abc import Iterator

from .client_connection import (
    STALLED_TIMEOUT_WHEN_FULL,
    UNUSED_SHUTDOWN_NOTICE_PERIOD,
    ClientConnection,
    CloseCause,
    Usage,
)
from .clock import MILLISECOND, SECOND, Clock
from .connection_manager import ConnectionManager

MIN_WAIT = 150 * MILLISECOND  # shortest wait after which a connection may be closed for a new one
MIN_WAIT_WHEN_FULL = 100 * MILLISECOND  # the same when no descriptor is left
MIN_WAIT_AFTER_REQUESTS = SECOND  # for one that has carried requests, while descriptors are left


class ClientRegistry:
    """The open client connections, ordered by waiting time: the one that has waited longest is first."""

    def __init__(self, manager: ConnectionManager, clock: Clock):
        self.accepted_count = 0
        self._manager = manager
        self._clock = clock
        self._clients: dict[ClientConnection, None] = {}

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(list(self._clients))

    def __len__(self) -> int:
        return len(self._clients)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._clients

    def next_number(self) -> int:
        """Returns the number of a connection that was just accepted."""
        self.accepted_count += 1
        return self.accepted_count

    def add(self, client: ClientConnection) -> None:
        """Adds a connection, as the one that has waited shortest."""
        self._clients[client] = None

    def discard(self, client: ClientConnection) -> None:
        """Removes a connection that was closed."""
        self._clients.pop(client, None)

    def move_to_end(self, client: ClientConnection) -> None:
        """Moves a connection that starts to wait again to the end of the order."""
        if client in self._clients:
            del self._clients[client]
            self._clients[client] = None

    def check_timeouts(self, now: int) -> None:
        """Takes the steps of closing that are due, and withdraws queued answers that have expired."""
        for client in self:
            client.connection.withdraw_expired(self._clock.seconds(now))
            client.check_timeouts(now)

    def reclaim_descriptor(self, is_full: bool) -> bool:
        """Starts to close one idle connection, to free its descriptor for a new one.

        Clients may keep connections open without sending anything. Connections that never sent a request
        are closed first, and among equals the one that has waited longest. If none is idle and no descriptor
        is left, a stalled one is closed.

        The protocol allows closing a connection without open requests. But a client that has more requests
        reconnects at once, so closing more than one connection per new one would cause a burst of its own.

        Args:
            is_full: No descriptor is left.

        Returns:
            False if no connection may be closed.
        """
        closing = sum(client.close_cause is CloseCause.CAPACITY for client in self._clients)
        if closing >= self._manager.max_concurrent_closes():
            return False
        now = self._clock.now()
        min_wait = MIN_WAIT_WHEN_FULL if is_full else MIN_WAIT
        candidates = [client for client in self._clients if client.waiting_since <= now - min_wait]
        for usage in Usage:
            client = self._first_idle(candidates, usage, None if is_full else now)
            if client is not None:
                client.close_for_capacity(is_full)
                return True
        if is_full and not closing:
            return any(client.close_if_stalled(now, STALLED_TIMEOUT_WHEN_FULL) for client in self)
        return False

    @staticmethod
    def _first_idle(
        clients: list[ClientConnection], usage: Usage, now: int | None
    ) -> ClientConnection | None:
        """Returns the idle connection of a usage that has waited longest, or None.

        A connection that has carried requests must have waited for `MIN_WAIT_AFTER_REQUESTS`, unless no
        descriptor is left (`now` is None).
        """
        for client in clients:
            if client.usage is not usage or not client.is_idle():
                continue
            is_recent = now is not None and client.waiting_since > now - MIN_WAIT_AFTER_REQUESTS
            return None if usage is Usage.REQUESTS and is_recent else client
        return None

    def announce_shutdown(self) -> None:
        """Sends GOAWAY to all clients, without a time for the close."""
        for client in self:
            client.announce_close(CloseCause.SHUTDOWN, None)

    def close_unused(self) -> None:
        """Starts to close the connections of clients that never sent a frame."""
        for client in self:
            if client.usage is Usage.NONE:
                client.announce_close(CloseCause.SHUTDOWN, UNUSED_SHUTDOWN_NOTICE_PERIOD)

    def close_all(self) -> None:
        """Shuts down this side of every connection, once its queued output is sent."""
        for client in self:
            client.half_close()
