"""Ports of one run, out of the range from which the system gives out ports by itself: a port on which nobody
listens for a while must not become another connection's or another run's.
"""

from __future__ import annotations

import socket

from ..errors import PortsExhaustedError

FIRST, EACH, RUNS = 12_000, 200, 100  # ports, and how many seeds may be played side by side


class Ports:
    """Gives out ports, each once."""

    def __init__(self, seed: int):
        self._next = FIRST + seed % RUNS * EACH
        self._last = self._next + EACH

    def next(self) -> int:
        """A port that nobody has now."""
        while self._next < self._last:
            port, self._next = self._next, self._next + 1
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue
        raise PortsExhaustedError("no port is left for this run")
