"""How many file descriptors connections may use, and which share of them is whose.

Of the process limit a few descriptors are reserved. Clients get most of the rest; what they may not use is
left for connections to upstreams, so that a crowd of clients can't cut the way to the caches.
"""

from __future__ import annotations

import resource

RESERVED_DESCRIPTORS = 24  # for the listener, the log, the datagram socket and the event loop

# Share of the descriptors in use at which accepting pauses. The protocol says that clients usually hold a
# third of them at most; the remainder is for upstreams.
CLIENT_SHARE = 0.85
RECLAIM_THRESHOLD = (
    0.9  # share of the clients' descriptors from which idle connections are closed for new ones
)

# Share of the descriptors that connections may hold, without counting as in use, while they wait for their
# peers to close.
FINISHING_ALLOWANCE = 0.05
MAX_CLOSING_SHARE = 0.5  # share of the descriptors whose connections may be closing when none is left


class DescriptorBudget:
    """Counts sockets against the limit on descriptors.

    Attributes:
        descriptor_limit: Descriptors that connections may use.
        open_sockets: Sockets in use.
        finishing_count: Connections that have finished writing and wait for the peer to close.
    """

    def __init__(self, configured_limit: int):
        """Reads the process limit; `configured_limit` lowers it, 0 leaves it."""
        process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        usable = min(configured_limit or process_limit, process_limit)
        self.descriptor_limit = max(RESERVED_DESCRIPTORS, usable - RESERVED_DESCRIPTORS)
        self.open_sockets = 0
        self.finishing_count = 0

    def descriptors_in_use(self) -> int:
        """Returns the open sockets, less the few that only wait for their peers to close."""
        return self.open_sockets - min(self.finishing_count, int(FINISHING_ALLOWANCE * self.descriptor_limit))

    def is_nearly_full(self) -> bool:
        """Whether idle connections have to be closed for new ones."""
        return self.descriptors_in_use() >= RECLAIM_THRESHOLD * CLIENT_SHARE * self.descriptor_limit

    def is_full(self) -> bool:
        """Whether no client's connection can be accepted."""
        return (
            self.descriptors_in_use() >= CLIENT_SHARE * self.descriptor_limit
            or self.open_sockets >= self.descriptor_limit
        )

    def has_recovered(self) -> bool:
        """Whether so many descriptors are free that a shortage is over, and not only interrupted."""
        return self.open_sockets < CLIENT_SHARE * self.descriptor_limit / 2

    def max_concurrent_closes(self) -> int:
        """Returns how many connections may be closing at a time to free descriptors."""
        if self.is_full():
            return max(1, int(MAX_CLOSING_SHARE * self.descriptor_limit))
        excess = self.descriptors_in_use() - RECLAIM_THRESHOLD * CLIENT_SHARE * self.descriptor_limit
        return max(1, int(excess))

    def connections_per_upstream(self, upstream_count: int) -> int:
        """Returns how many connections each upstream may have: an equal part of what clients may not use.

        Args:
            upstream_count: Number of upstreams that are connected.
        """
        return max(1, int((1 - CLIENT_SHARE) * self.descriptor_limit) // max(1, upstream_count))
