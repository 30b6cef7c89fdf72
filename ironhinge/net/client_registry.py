"""The open client connections of a director, and which of them end to make room for others."""

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

MIN_WAIT = 150 * MILLISECOND  # a connection is not closed for others before it has waited that long,
MIN_WAIT_WHEN_FULL = 100 * MILLISECOND  # or that long, where no descriptor is left,
MIN_WAIT_AFTER_REQUESTS = SECOND  # or that long after requests, while any descriptor is left


class ClientRegistry:
    """The open client connections; the one that has waited longest comes first."""

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
        """The number of a connection that was just accepted."""
        self.accepted_count += 1
        return self.accepted_count

    def add(self, client: ClientConnection) -> None:
        """Takes in a connection."""
        self._clients[client] = None

    def discard(self, client: ClientConnection) -> None:
        """Forgets a connection that is closed."""
        self._clients.pop(client, None)

    def move_to_end(self, client: ClientConnection) -> None:
        """A connection begins to wait anew."""
        if client in self._clients:
            del self._clients[client]
            self._clients[client] = None

    def check_timeouts(self, now: int) -> None:
        """Takes the steps of closing that are due, and drops answers that nobody waits for."""
        for client in self:
            client.connection.withdraw_expired(self._clock.seconds(now))
            client.check_timeouts(now)

    def reclaim_descriptor(self, is_full: bool) -> bool:
        """Begins to close one idle connection to make room for another; False if there is none.

        Clients may hold connections and send nothing. The one that has waited longest goes, and of those
        first that never sent a request. The protocol allows closing where no request is open; but whoever
        will ask again comes back at once, so that closing more than one for each that comes would make a
        crowd of its own. `is_full` says that no descriptor is left.
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
        """The first idle connection of a usage; without a descriptor left (`now` is None) however recent."""
        for client in clients:
            if client.usage is not usage or not client.is_idle():
                continue
            is_recent = now is not None and client.waiting_since > now - MIN_WAIT_AFTER_REQUESTS
            return None if usage is Usage.REQUESTS and is_recent else client
        return None

    def announce_shutdown(self) -> None:
        """Tells all clients to bring no new requests."""
        for client in self:
            client.announce_close(CloseCause.SHUTDOWN, None)

    def close_unused(self) -> None:
        """Begins to close the connections of clients that never sent anything."""
        for client in self:
            if client.usage is Usage.NONE:
                client.announce_close(CloseCause.SHUTDOWN, UNUSED_SHUTDOWN_NOTICE_PERIOD)

    def close_all(self) -> None:
        """Ends our side of every connection, after what is queued on it."""
        for client in self:
            client.half_close()
