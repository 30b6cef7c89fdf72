"""Token buckets: a rate with a burst, and the quota of a billing period that is paced by such a bucket.

A level may fall below 0 by what a fill turned out to be larger than it was charged. Rates are bytes for each
clock unit, a tenth of a millisecond.
"""

from __future__ import annotations

from .calendar import BillingPeriod
from .types import CLOCK_UNITS_PER_SECOND

NEVER = 1 << 40  # a wait that no client waits for
RETAINED_SHARE = 0.5  # of its capacity: what a bucket holds above that it can do without


class TokenBucket:
    """A rate with a burst."""

    respects_reservations = True  # its fills leave what is reserved for streams

    def __init__(self, rate: float, burst: float, now: int, starts_full: bool):
        """Makes a bucket of `burst` bytes that refills at `rate` bytes a second."""
        self.rate = rate / CLOCK_UNITS_PER_SECOND
        self.capacity, self.updated_at = max(1.0, burst), now
        self.level = self.capacity if starts_full else 0.0

    def refill(self, now: int) -> None:
        """Adds what the rate has given since the last time."""
        if now > self.updated_at:
            added = (now - self.updated_at) * self.rate
            self.level = min(max(self.capacity, self.level), self.level + added)
            self.updated_at = now

    def wait_time(self, now: int, size: float, reserved: float) -> int:
        """The time until `size` bytes may go while `reserved` bytes stay.

        What is larger than the bucket has to wait until it is full, and no longer.
        """
        self.refill(now)
        missing = min(size, max(1.0, self.capacity - reserved)) + reserved - self.level
        if missing <= 0:
            return 0
        return min(NEVER, int(missing / self.rate) + 1) if self.rate > 0 else NEVER

    def withdraw(self, size: float) -> None:
        """Charges bytes, whether or not the bucket holds them."""
        self.level -= size

    def deposit(self, size: float) -> None:
        """Returns bytes of a charge, or adds those a peer granted; what exceeds the capacity is lost."""
        self.level = min(max(self.capacity, self.level), self.level + size)

    def surplus(self, now: int) -> float:
        """The bytes that could be granted to a peer."""
        self.refill(now)
        return max(0.0, self.level - RETAINED_SHARE * self.capacity)

    def state(self) -> list[float]:
        """What a snapshot holds of it."""
        return [self.level]

    def restore(self, state: list[float], now: int, unaccounted_seconds: float) -> None:
        """Takes up a snapshot.

        In the seconds since then that are unaccounted for, all that could be may have been spent: what was in
        the bucket, and what came into it.
        """
        self.level = min(state[0], self.capacity, 0.0 if unaccounted_seconds else self.capacity)
        self.updated_at = now


class PeriodQuota(TokenBucket):
    """A sum of bytes for a period, paced: what remains goes evenly over what remains of the period."""

    respects_reservations = False

    def __init__(
        self, limit: float, burst_share: float, remaining: float, period: BillingPeriod, starts_full: bool
    ):
        """Makes the quota of a period that has begun already.

        Args:
            limit: Bytes in a whole period.
            burst_share: Share of the limit that may be saved up for a burst.
            remaining: Bytes that may be spent in what remains of the period.
            period: The period as it stands.
            starts_full: Whether the burst can be had at once.
        """
        super().__init__(0.0, limit * burst_share, period.now, starts_full)
        self.limit, self.remaining, self.period_end = limit, remaining, period.end
        self._update_rate(period.now)

    def _update_rate(self, now: int) -> None:
        undistributed = self.remaining - max(0.0, self.level)
        self.rate = max(0.0, undistributed) / max(1, self.period_end - now)

    def refill(self, now: int) -> None:
        """Adds what the pace has given since the last time, up to what remains of the limit."""
        self._update_rate(now)
        super().refill(min(now, self.period_end))
        self.level = min(self.level, self.remaining)

    def withdraw(self, size: float) -> None:
        """Charges bytes to the bucket and to the limit."""
        super().withdraw(size)
        self.remaining -= size

    def deposit(self, size: float) -> None:
        """Returns bytes to the bucket and to the limit."""
        self.remaining += size
        super().deposit(size)

    def begin_period(self, now: int, end: int, outstanding: float) -> None:
        """Opens the whole limit anew.

        Args:
            now: When the period begins.
            end: When it ends.
            outstanding: Bytes charged and not settled; they count in the new period as well, so that their
                settlement can't loosen it.
        """
        self.remaining, self.period_end, self.updated_at = self.limit - outstanding, end, now
        self.level = min(0.0, self.level)
        self._update_rate(now)

    def state(self) -> list[float]:
        """What a snapshot holds of it."""
        return [self.level, self.remaining]

    def restore(self, state: list[float], now: int, unaccounted_seconds: float) -> None:
        """Takes up a snapshot of the same period; see `TokenBucket.restore`."""
        super().restore(state, now, unaccounted_seconds)
        level, remaining = state
        self.remaining = min(remaining, self.limit)
        self._update_rate(now)
        if unaccounted_seconds:
            refilled = self.rate * CLOCK_UNITS_PER_SECOND * unaccounted_seconds
            self.remaining -= max(0.0, level) + refilled
            self._update_rate(now)
