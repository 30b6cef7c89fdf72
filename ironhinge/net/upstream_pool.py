"""The upstreams of a director and the choice of the connection that an operation goes out on.

No upstream is chosen here, only one of its connections.
"""

from __future__ import annotations

from ..config import Address, TransportSettings
from ..interface import EndpointState
from .attempt_end import AttemptEnd
from .clock import SECOND, Clock
from .connection_manager import ConnectionManager
from .upstream import OperationHandler, Upstream, UpstreamConnection

IDLE_TIMEOUT_WHEN_FULL = SECOND  # an idle connection is kept that long while descriptors are short


class UpstreamPool:
    """All upstreams that are known, and their connections."""

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
        """An upstream that was not known before."""
        upstream = self.upstreams[upstream_id] = Upstream(upstream_id, address)
        return upstream

    def connection_for(self, upstream: Upstream, operation_id: str) -> UpstreamConnection:
        """The connection for an operation.

        One that carries nothing, the one used last; else a new one while the upstream's share of descriptors
        allows it; else the one that carries least, since an answer that spoils its connection takes down all
        that is in flight on it.
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
            # what is written to a closed connection may have run, and such requests must not be sent again
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
        """Closes connections well before upstreams close them, so that no request crosses the close."""
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
        """Bounds the memory on days on which all upstreams are replaced."""
        removed = [
            upstream.id
            for upstream in self.upstreams.values()
            if upstream.state is EndpointState.REMOVED and not upstream.connections
        ]
        for upstream_id in removed:
            del self.upstreams[upstream_id]

    def shed_idle(self) -> None:
        """Closes the connection that has carried nothing for longest, to make room for another.

        There may be more upstreams than descriptors.
        """
        idle = [
            each for upstream in self.upstreams.values() for each in upstream.connections if each.is_idle()
        ]
        if idle:
            min(idle, key=lambda each: each.idle_since).connection.close(AttemptEnd.CLOSED)
