"""The TCP ports of one run, outside of the range from which the system assigns ports by itself.

A port on which nobody listens for a while must not be assigned to another connection or another run.
"""

from __future__ import annotations

import socket

from ..errors import PortsExhaustedError

FIRST_PORT = 12_000
PORTS_PER_RUN = 200
CONCURRENT_RUNS = 100  # seeds that may be played side by side


class PortAllocator:
    """Hands out the ports of one run, each once."""

    def __init__(self, seed: int) -> None:
        """Create an allocator of the range that belongs to a seed."""
        self._next = FIRST_PORT + seed % CONCURRENT_RUNS * PORTS_PER_RUN
        self._end = self._next + PORTS_PER_RUN

    def allocate(self) -> int:
        """Return a port that nobody has now.

        Raises:
            PortsExhaustedError: The run's range is used up.
        """
        while self._next < self._end:
            port = self._next
            self._next += 1
            if _is_free(port):
                return port
        raise PortsExhaustedError("no port is left for this run")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
