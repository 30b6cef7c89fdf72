"""Owns which billing period it is. It must never go back, however the system's clock is set.

The monotonic clock carries the time on from the first Unix reading. A reading ahead of that is taken at once
if it is a little ahead, else once it has stood for several readings; one behind it only slows nothing down:
time goes on until the clock has caught up. So a clock that steps over a period's end and back opens no
period twice.
"""

from __future__ import annotations

STEP = 60_000  # ms: a larger step ahead has to be seen more than once
SEEN = 3


class Calendar:
    def __init__(self, period_ms: int, now: int, unix_ms: int):
        self.length = period_ms
        self.now, self.unix = now, unix_ms
        self.ahead = 0  # readings far ahead in a row
        self.steps = 0  # steps of the clock that were noticed

    def at(self, now: int) -> int:
        """The Unix millisecond that is reckoned with; never falls."""
        if now > self.now:
            self.unix += (now - self.now) // 10
            self.now += (now - self.now) // 10 * 10
        return self.unix

    def read(self, now: int, unix_ms: int) -> int:
        """Takes in what the system's clock says."""
        here = self.at(now)
        gap = unix_ms - here
        if abs(gap) > STEP and not self.ahead:
            self.steps += 1
        if gap > STEP:
            self.ahead += 1
            if self.ahead >= SEEN:
                self.unix, self.ahead = unix_ms, 0
        else:
            self.ahead = 0
            if gap > 0:
                self.unix = unix_ms
        return self.unix

    def start(self) -> int:
        return self.unix - self.unix % self.length

    def ends(self) -> int:
        """When the period ends, on the front's clock."""
        return self.now + (self.start() + self.length - self.unix) * 10

    def left(self) -> float:
        """The part of the period that is left."""
        return (self.start() + self.length - self.unix) / self.length
