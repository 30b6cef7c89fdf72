"""Which billing period it is; it never goes back, however the system's clock is set.

The monotonic clock carries the time on from the first Unix reading. A reading ahead of that is taken at once
if it is a little ahead, else once several readings in a row agree; one behind it changes nothing, and time
goes on until the system's clock has caught up. So a clock that steps over a period's end and back opens no
period twice.
"""

from __future__ import annotations

from typing import NamedTuple

from .types import CLOCK_UNITS_PER_MS

MAX_UNCONFIRMED_STEP_MS = 60_000  # a larger step ahead has to be confirmed
CONFIRMATION_READINGS = 3


class BillingPeriod(NamedTuple):
    """The billing period as it stands at an instant."""

    now: int
    end: int  # on the front's clock
    remaining_share: float  # of the period


class BillingCalendar:
    """Keeps billing time from readings of the system's clock and the monotonic clock."""

    def __init__(self, period_ms: int, now: int, unix_ms: int):
        self.period_ms = period_ms
        self.now, self.unix_ms = now, unix_ms
        self.readings_ahead = 0  # far ahead, in a row
        self.clock_steps = 0  # steps of the system's clock that were noticed

    def advance(self, now: int) -> int:
        """Carries billing time on to `now`; returns it as a Unix millisecond, which never falls."""
        if now > self.now:
            elapsed_ms = (now - self.now) // CLOCK_UNITS_PER_MS
            self.unix_ms += elapsed_ms
            self.now += elapsed_ms * CLOCK_UNITS_PER_MS
        return self.unix_ms

    def read_clock(self, now: int, unix_ms: int) -> int:
        """Takes in a reading of the system's clock; returns billing time as a Unix millisecond."""
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
        """The Unix millisecond at which the present period began."""
        return self.unix_ms - self.unix_ms % self.period_ms

    def period_end(self) -> int:
        """When the present period ends, on the front's clock."""
        return self.now + self._remaining_ms() * CLOCK_UNITS_PER_MS

    def current_period(self) -> BillingPeriod:
        """The present period as it stands now."""
        return BillingPeriod(self.now, self.period_end(), self._remaining_ms() / self.period_ms)

    def _remaining_ms(self) -> int:
        return self.period_start() + self.period_ms - self.unix_ms
