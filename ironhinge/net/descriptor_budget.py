"""Limits on the file descriptors that connections may use.

A few descriptors of the process limit are reserved. Client connections may use most of the rest; the
remainder is for connections to upstreams, so that many clients can't make the caches unreachable.
"""

from __future__ import annotations

import resource

RESERVED_DESCRIPTORS = 24  # for the listener, the log, the datagram socket and the event loop

# Share of the descriptors in use at which accepting pauses; the remainder is for upstreams. According to
# the protocol, clients usually use at most a third of the descriptors.
CLIENT_SHARE = 0.85
# Share of the clients' descriptors in use at which idle connections start to be closed for new ones.
RECLAIM_THRESHOLD = 0.9

# Connections that only wait for their peers to close don't count as in use, up to this share of the
# descriptors.
FINISHING_ALLOWANCE = 0.05


class DescriptorBudget:
    """Compares the number of open sockets with the limit on descriptors.

    Attributes:
        descriptor_limit: Descriptors that connections may use.
        open_sockets: Open sockets, closing ones included.
        finishing_count: Connections that send the rest of their output, then wait for the peer to close.
        waiting_connections: Connections that waited to be accepted when accepting last paused, at least 1.
    """

    def __init__(self, configured_limit: int):
        """Reads the process limit; `configured_limit` lowers it, 0 does not."""
        process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        usable = min(configured_limit or process_limit, process_limit)
        self.descriptor_limit = max(RESERVED_DESCRIPTORS, usable - RESERVED_DESCRIPTORS)
        self.open_sockets = 0
        self.finishing_count = 0
        self.waiting_connections = 1

    def descriptors_in_use(self) -> int:
        """Returns the open sockets, less those (within the allowance) that wait for their peers to close."""
        return self.open_sockets - min(self.finishing_count, self._max_finishing())

    def may_linger(self) -> bool:
        """Returns whether one more connection may wait for its peer to close and not count as in use."""
        return self.finishing_count < self._max_finishing()

    def _max_finishing(self) -> int:
        return int(FINISHING_ALLOWANCE * self.descriptor_limit)

    def is_nearly_full(self) -> bool:
        """Returns whether idle connections have to be closed for new ones."""
        return self.descriptors_in_use() >= RECLAIM_THRESHOLD * CLIENT_SHARE * self.descriptor_limit

    def is_full(self) -> bool:
        """Returns whether no client connection can be accepted."""
        return (
            self.descriptors_in_use() >= CLIENT_SHARE * self.descriptor_limit
            or self.open_sockets >= self.descriptor_limit
        )

    def has_recovered(self) -> bool:
        """Returns whether so many descriptors are free that a shortage is over, not just interrupted."""
        return self.open_sockets < CLIENT_SHARE * self.descriptor_limit / 2

    def max_concurrent_closes(self) -> int:
        """Returns how many connections may be closing at a time to free descriptors."""
        if self.is_full():
            return self.waiting_connections
        excess = self.descriptors_in_use() - RECLAIM_THRESHOLD * CLIENT_SHARE * self.descriptor_limit
        return max(1, int(excess))

    def connections_per_upstream(self, upstream_count: int) -> int:
        """Returns how many connections each upstream may have: an equal part of the remainder for upstreams.

        Args:
            upstream_count: Number of upstreams that are connected.
        """
        return max(1, int((1 - CLIENT_SHARE) * self.descriptor_limit) // max(1, upstream_count))
