"""Tells the time: a monotonic clock for all spans, and the wall clock's Unix time.

The wall clock is read here and nowhere else in the network code.
"""

from __future__ import annotations

import time
from typing import Callable

MILLISECOND = 10  # the unit of time is a tenth of a millisecond
SECOND = 1000 * MILLISECOND


class Clock:
    """The time of one program, in whole tenths of a millisecond."""

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ):
        self._monotonic_ns, self._wall_ns = monotonic_ns, wall_ns

    def now(self) -> int:
        """Monotonic time."""
        return self._monotonic_ns() // 100_000

    def _difference(self) -> int:
        return (self._wall_ns() - self._monotonic_ns()) // 100_000

    @staticmethod
    def seconds(span: int) -> float:
        """A span in seconds."""
        return span / SECOND

    def unix(self) -> int:
        """Unix time."""
        return self.now() + self._difference()

    def unix_ms(self) -> int:
        """Unix time in whole milliseconds."""
        return self.unix() // MILLISECOND

    def unix_age(self, unix_ms: int) -> int:
        """Time since a Unix millisecond; below 0 for one to come."""
        return self.unix() - unix_ms * MILLISECOND

    def from_unix(self, unix_ms: int) -> int:
        """The monotonic instant of a Unix millisecond, rounded up."""
        return self.now() - self.unix_age(unix_ms) + 1

    def look(self) -> None:
        """A moment to compare the clocks."""

    def age_of_event(self, unix_ms: int, caught_up_at: int) -> int:
        """How long ago something happened that was just told."""
        return max(0, self.unix_age(unix_ms))

    def start_of(self, unix_ms: int, caught_up_at: int) -> int:
        """The monotonic instant at which a process started that was just told to have started then."""
        return self.from_unix(unix_ms)
