"""A path on which what a server writes arrives late: by connection, and by the time since the delay began."""

from __future__ import annotations

import math
import time

from .lateness import Lateness
from .plan import DIRECT_PATH
from .proxy import Proxy


class LatePath(Proxy):
    """Forwards connections to a server; what the server writes is late from `start_delay` to `stop_delay`.

    Attributes:
        connection_count: Connections that were established.
        open_numbers: Numbers of the connections that the client has not closed.
        bytes_returned: Bytes that the server has written.
    """

    def __init__(self, listen_port: int, target_port: int) -> None:
        """Create a path without delay that does not listen yet."""
        super().__init__(listen_port, target_port, DIRECT_PATH)
        self.connection_count = 0
        self.open_numbers: set[int] = set()
        self.bytes_returned = 0
        self._lateness: Lateness | None = None
        self._started_at = 0.0
        self._connected_at: dict[int, float] = {}  # by number of the connection
        self._blackholed_numbers = range(0)

    def start_delay(self, lateness: Lateness) -> None:
        """Make the path late from now on."""
        self._lateness = lateness
        self._started_at = time.monotonic()
        first = max(1, self.connection_count) + lateness.first_blackholed
        self._blackholed_numbers = range(first, first + lateness.blackholed)

    def copy_delay_of(self, path: LatePath) -> None:
        """Be as late as another path that this one replaces; no connection of this one is silent."""
        self._lateness, self._started_at = path._lateness, path._started_at

    def stop_delay(self) -> None:
        """Make the path sound again; connections that have fallen silent stay so."""
        self._lateness = None

    @property
    def is_sound(self) -> bool:
        """Whether all that the server writes arrives at once."""
        return self._lateness is None and not self._blackholed_numbers

    def return_delay(self, number: int) -> float:
        """Return the seconds by which bytes for the client of connection `number` are delayed now."""
        if number in self._blackholed_numbers:
            return math.inf
        if self._lateness is None:
            return 0.0
        now, connected_at = time.monotonic(), self._connected_at[number]
        delay = self._lateness.at(now - self._started_at)
        if connected_at >= self._started_at:
            delay = max(delay, connected_at + self._lateness.first_byte_after - now)
        return delay

    def on_connected(self, number: int) -> None:
        """Count a connection."""
        self.connection_count = number
        self._connected_at[number] = time.monotonic()
        self.open_numbers.add(number)

    def on_client_closed(self, number: int) -> None:
        """Count the connection as closed."""
        self.open_numbers.discard(number)

    def on_returned(self, count: int) -> None:
        """Count bytes that the server has written."""
        self.bytes_returned += count
