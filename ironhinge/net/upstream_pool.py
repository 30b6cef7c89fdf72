"""The upstreams of a director and their connections.

This module selects the connection on which an operation is sent; the router chooses the upstream.
"""

from __future__ import annotations

from ..config import Address, TransportSettings
from ..interface import EndpointState
from .attempt_end import AttemptEnd
from .clock import SECOND, Clock
from .connection_manager import ConnectionManager
from .upstream import OperationHandler, Upstream, UpstreamConnection

IDLE_TIMEOUT_WHEN_FULL = SECOND  # time for which an idle connection is kept while descriptors are short


class UpstreamPool:
    """All known upstreams, and their connections.

    Attributes:
        upstreams: The upstreams by id.
        connections_per_upstream: Each upstream's part of the descriptors; an upstream with this number of
            connections gets no new one while operations can share one of them.
        transport: Timeouts and limits of connections.
    """

    def __init__(
        self,
        manager: ConnectionManager,
        transport: TransportSettings,
        clock: Clock,
        handler: OperationHandler,
    ):
        self.upstreams: dict[str, Upstream] = {}
        self.connections_per_upstream = 1
        self.transport = transport
        self._manager = manager
        self._clock = clock
        self._handler = handler

    def add(self, upstream_id: str, address: Address) -> Upstream:
        """Adds an upstream that was not known before, and returns it."""
        upstream = self.upstreams[upstream_id] = Upstream(upstream_id, address)
        return upstream

    def connection_for(self, upstream: Upstream, operation_id: str) -> UpstreamConnection:
        """Selects the connection for an operation.

        The first choice is the idle connection that was used last. If none is idle, a new one is opened while
        the upstream's share of descriptors allows it, or if none is usable. Otherwise it is the connection
        with the fewest operations in flight, since an answer that can't be parsed ends all of them.
        """
        usable = [
            each
            for each in upstream.connections
            if len(each.operations) < self.transport.operations_per_connection
            and not each.is_retired
            and operation_id not in each.retired_ids
        ]
        idle = [each for each in usable if each.is_idle()]
        for each in sorted(idle, key=lambda each: each.idle_since, reverse=True):
            if not each.connection.peer_has_closed():
                return each
            # a request written to a closed connection counts as possibly run, and some must not be sent again
            usable.remove(each)
            each.connection.close(AttemptEnd.CLOSED)
        if usable and len(upstream.connections) >= self.connections_per_upstream:
            return min(usable, key=lambda each: (not each.connection.is_connected, len(each.operations)))
        return self._connect(upstream)

    def _connect(self, upstream: Upstream) -> UpstreamConnection:
        timeout = self.transport.connect_timeout
        new = UpstreamConnection(upstream, self._handler, timeout)
        upstream.connections.append(new)
        new.connection = self._manager.connect(new, upstream.address, self._clock.seconds(timeout))
        return new

    def close_idle(self, now: int) -> None:
        """Closes idle connections well before upstreams do, so that no request is sent on a closing one."""
        idle_timeout = (self.transport.upstream_idle_timeout or now) // 2
        if self._manager.is_nearly_full():
            idle_timeout = IDLE_TIMEOUT_WHEN_FULL
        connected = [upstream for upstream in self.upstreams.values() if upstream.connections]
        for upstream in connected:
            upstream.check_timeouts(now, now - idle_timeout)
        self._delete_removed()
        in_use = sum(bool(upstream.connections) for upstream in connected)
        self.connections_per_upstream = self._manager.connections_per_upstream(in_use)

    def _delete_removed(self) -> None:
        """Deletes removed upstreams without connections, which bounds memory if all are replaced."""
        removed = [
            upstream.id
            for upstream in self.upstreams.values()
            if upstream.state is EndpointState.REMOVED and not upstream.connections
        ]
        for upstream_id in removed:
            del self.upstreams[upstream_id]

    def shed_idle(self) -> None:
        """Closes the connection that has been idle the longest, to free its descriptor for another.

        There may be more upstreams than descriptors.
        """
        idle = [
            each for upstream in self.upstreams.values() for each in upstream.connections if each.is_idle()
        ]
        if idle:
            min(idle, key=lambda each: each.idle_since).connection.close(AttemptEnd.CLOSED)
