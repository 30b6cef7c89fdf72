"""Tells the time: a monotonic clock for all spans, and Unix time that no step of the wall clock moves.

The wall clock is read here and nowhere else in the network code. It is read once at the start; from then on
Unix time is that reading plus the real time since. The wall clock is looked at again now and then: a slow
slew is followed, a step is logged and not followed. The coordinator's time stamps are a second source: an
event that has happened is not in the future, and one that is told live did not happen an hour ago.

Errors that remain: that of the wall clock at the start, up to `PLAUSIBLE_DELAY` where no live event tells
more; slews faster than `FASTEST_SLEW`; time in which the machine was suspended.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

MILLISECOND = 10  # the unit of time is a tenth of a millisecond
SECOND = 1000 * MILLISECOND
STEP = SECOND // 4  # a difference to the wall clock from which on it has been stepped
FASTEST_SLEW = 500e-6  # seconds a second; what adjtime(3) does at most
PLAUSIBLE_DELAY = (
    10 * SECOND
)  # an event counts as told after 7 s, says the protocol, whether it arrived or not


class Clock:
    """The time of one program, in whole tenths of a millisecond."""

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ):
        self._monotonic_ns, self._wall_ns = monotonic_ns, wall_ns
        self._offset = self._difference()  # Unix time less monotonic time
        self._step = 0  # by how much the wall clock is off, as last logged
        self._checked_at = self.now()

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
        return self.now() + self._offset

    def unix_ms(self) -> int:
        """Unix time in whole milliseconds."""
        return self.unix() // MILLISECOND

    def unix_age(self, unix_ms: int) -> int:
        """Time since a Unix millisecond; below 0 for one to come."""
        return self.unix() - unix_ms * MILLISECOND

    def from_unix(self, unix_ms: int) -> int:
        """The monotonic instant of a Unix millisecond, rounded up."""
        return self.now() - self.unix_age(unix_ms) + 1

    def check_wall_clock(self) -> None:
        """Compares the wall clock with real time: follows a slew, and logs a step."""
        now = self.now()
        most = int((now - self._checked_at) * FASTEST_SLEW) + 1
        self._checked_at = now
        off = self._difference() - self._offset
        if abs(off) < STEP:
            self._offset += max(-most, min(most, off))
            self._step = 0
        elif abs(off - self._step) >= STEP:
            self._step = off
            logger.warning("the wall clock is {} s off real time; it is not followed", off / SECOND)

    def age_of_event(self, unix_ms: int, caught_up_at: int) -> int:
        """How long ago something happened that was just told, when all that had happened before
        `caught_up_at` was told already. A stamp in the future, or one so old that it must have been told
        before, shows that Unix time is off here; it is corrected.
        """
        age, since = self._age_not_ahead(unix_ms), max(0, self.now() - caught_up_at)
        if age > since + PLAUSIBLE_DELAY:
            logger.warning("a new event is stamped {} s behind our time, which is set to it", age / SECOND)
            self._offset -= age - since
            return since
        return age

    def start_instant(self, unix_ms: int, caught_up_at: int) -> int:
        """The monotonic instant at which a process started that was just told to have started at a Unix
        millisecond: no earlier than it can have been told. Rounded up.
        """
        age, since = self._age_not_ahead(unix_ms), max(0, self.now() - caught_up_at)
        return self.now() - (since if age > since + PLAUSIBLE_DELAY else age) + 1

    def _age_not_ahead(self, unix_ms: int) -> int:
        age = self.unix_age(unix_ms)
        if age < -STEP:
            logger.warning("an event is stamped {} s ahead of our time, which is set to it", -age / SECOND)
            self._offset -= age
        return max(0, age)
