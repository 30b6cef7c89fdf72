"""The current billing period, from a billing time that never goes back when the system clock is changed.

Billing time starts at the first reading of the system clock and advances with the monotonic clock. A later
reading that is up to `MAX_UNCONFIRMED_STEP_MS` ahead is adopted at once, one further ahead only after
`CONFIRMATION_READINGS` such readings in a row. A reading that is behind is ignored, and billing time
continues until the system clock has caught up. A clock that steps past the end of a period and back therefore
does not start the same period twice.
"""

from __future__ import annotations

from typing import NamedTuple

from .types import CLOCK_UNITS_PER_MS

MAX_UNCONFIRMED_STEP_MS = 60_000  # a larger step ahead has to be confirmed by further readings
CONFIRMATION_READINGS = 3


class BillingPeriod(NamedTuple):
    """The billing period at a given time."""

    now: int
    end: int  # on the host's monotonic clock
    remaining_share: float  # share of the period that is still left


class BillingCalendar:
    """Maintains billing time from readings of the system clock and the monotonic clock."""

    def __init__(self, period_ms: int, now: int, unix_ms: int):
        self.period_ms = period_ms
        self.now, self.unix_ms = now, unix_ms
        self.readings_ahead = 0  # consecutive readings that are too far ahead to be adopted at once
        self.clock_steps = 0  # readings off by more than the limit; consecutive ones ahead count once

    def advance(self, now: int) -> int:
        """Advances billing time to `now` and returns it in Unix milliseconds; it never decreases."""
        if now > self.now:
            elapsed_ms = (now - self.now) // CLOCK_UNITS_PER_MS
            self.unix_ms += elapsed_ms
            self.now += elapsed_ms * CLOCK_UNITS_PER_MS
        return self.unix_ms

    def read_clock(self, now: int, unix_ms: int) -> int:
        """Applies a reading of the system clock and returns billing time in Unix milliseconds."""
        ahead_ms = unix_ms - self.advance(now)
        if abs(ahead_ms) > MAX_UNCONFIRMED_STEP_MS and not self.readings_ahead:
            self.clock_steps += 1
        if ahead_ms > MAX_UNCONFIRMED_STEP_MS:
            self.readings_ahead += 1
            if self.readings_ahead >= CONFIRMATION_READINGS:
                self.unix_ms, self.readings_ahead = unix_ms, 0
        else:
            self.readings_ahead = 0
            if ahead_ms > 0:
                self.unix_ms = unix_ms
        return self.unix_ms

    def period_start(self) -> int:
        """Returns the start of the current period in Unix milliseconds."""
        return self.unix_ms - self.unix_ms % self.period_ms

    def period_end(self) -> int:
        """Returns the end of the current period on the host's monotonic clock."""
        return self.now + self._remaining_ms() * CLOCK_UNITS_PER_MS

    def current_period(self) -> BillingPeriod:
        """Returns the current period."""
        return BillingPeriod(self.now, self.period_end(), self._remaining_ms() / self.period_ms)

    def _remaining_ms(self) -> int:
        return self.period_start() + self.period_ms - self.unix_ms
