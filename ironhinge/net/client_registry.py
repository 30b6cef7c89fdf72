"""The open client connections of a director, and the choice of those to close when descriptors are short."""

from __future__ import annotations

from collections.abc import Iterator

from .client_connection import ClientConnection
from .client_states import CloseCause, Usage
from .client_timeouts import (
    MIN_IDLE_TIME,
    MIN_IDLE_TIME_AFTER_REQUESTS,
    STALLED_TIMEOUT_WHEN_FULL,
    UNUSED_SHUTDOWN_NOTICE_PERIOD,
)
from .clock import Clock
from .connection_manager import ConnectionManager

CLOSING_CAUSES = (CloseCause.CAPACITY, CloseCause.PROTOCOL_VIOLATION)  # a stalled client has the latter


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

        Clients may keep connections open without sending anything. Connections that never carried a request
        are closed first, and among equals the one that has been silent longest. If no descriptor is left and
        no connection without requests is idle, a stalled one is closed.

        The protocol allows closing a connection without open requests. But a client that has more requests
        reconnects at once, so closing more than one connection per new one would cause a burst of its own.

        Args:
            is_full: No descriptor is left.

        Returns:
            False if no connection may be closed.
        """
        now = self._clock.now()
        if is_full:
            self._hasten_closes(now)
        closing = self._closing()
        max_closing = self._manager.max_concurrent_closes()
        if is_full:  # also where connections that only linger leave some descriptors by now
            max_closing = max(max_closing, self._manager.waiting_connections)
        # a client that goes on sending delays its close, which must not keep the unused connections open
        if sum(client.usage is not Usage.REQUESTS for client in closing) >= max_closing:
            return False
        idle = self._longest_idle(now, has_requests=False)
        may_close_others = len(closing) < max_closing
        if idle is None and may_close_others:
            min_idle_time = MIN_IDLE_TIME if is_full else MIN_IDLE_TIME_AFTER_REQUESTS
            idle = self._longest_idle(now, has_requests=True, min_idle_time=min_idle_time)
        if idle is not None:
            idle.close_for_capacity(is_full)
            return True
        if is_full and may_close_others and not self._has_unused():
            return any(client.close_if_stalled(now, STALLED_TIMEOUT_WHEN_FULL) for client in self)
        return False

    def _closing(self) -> list[ClientConnection]:
        """Returns the connections that are being closed to free their descriptors."""
        return [client for client in self._clients if client.close_cause in CLOSING_CAUSES]

    def _hasten_closes(self, now: int) -> None:
        """Shortens notices and takes the steps that are due, without waiting for the next maintenance."""
        for client in self._closing():
            client.shorten_notice(now)
            client.check_timeouts(now)

    def _has_unused(self) -> bool:
        """Returns whether an idle connection without requests is open; it may be closed soon."""
        return any(client.usage is not Usage.REQUESTS and client.is_idle() for client in self._clients)

    def _longest_idle(
        self, now: int, has_requests: bool, min_idle_time: int = MIN_IDLE_TIME
    ) -> ClientConnection | None:
        """Returns the idle connection that has been silent longest, at least for `min_idle_time`; or None.

        Args:
            now: The time.
            has_requests: Whether the connection has to have carried requests, or must not have.
            min_idle_time: Tenths of a millisecond.
        """
        candidates = [
            client
            for client in self._clients
            if (client.usage is Usage.REQUESTS) is has_requests
            and client.waiting_since <= now - min_idle_time
        ]
        for client in sorted(candidates, key=lambda client: client.waiting_since):
            if client.is_idle():
                return client
        return None

    def announce_shutdown(self) -> None:
        """Sends GOAWAY to all clients, without a time for the close."""
        for client in self:
            client.announce_close(CloseCause.SHUTDOWN, None)

    def close_unused(self) -> None:
        """Starts to close the connections of clients that never sent a frame."""
        for client in self:
            if client.usage is Usage.NONE:
                client.announce_close(CloseCause.SHUTDOWN, UNUSED_SHUTDOWN_NOTICE_PERIOD, MIN_IDLE_TIME)

    def close_all(self) -> None:
        """Shuts down this side of every connection, once its queued output is sent."""
        for client in self:
            client.half_close()
