"""Token buckets: one with a fixed rate and burst, and one that paces the quota of a billing period.

A level may fall below 0, for example when a fill transfers more bytes than it was charged. Rates are in bytes
per clock unit (a tenth of a millisecond).
"""

from __future__ import annotations

from .calendar import BillingPeriod
from .types import CLOCK_UNITS_PER_SECOND

NEVER = 1 << 40  # wait time longer than any client waits
RETAINED_SHARE = 0.5  # of the capacity: only bytes above this level can be granted to peers


class TokenBucket:
    """A token bucket that holds at most `burst` bytes and refills at a fixed rate."""

    respects_reservations = True  # fills outside open streams must leave the bytes reserved for streams

    def __init__(self, rate: float, burst: float, now: int, starts_full: bool):
        """Makes a bucket of `burst` bytes that refills at `rate` bytes per second."""
        self.rate = rate / CLOCK_UNITS_PER_SECOND
        self.capacity, self.updated_at = max(1.0, burst), now
        self.level = self.capacity if starts_full else 0.0

    def refill(self, now: int) -> None:
        """Adds the bytes that have accrued since the last refill, up to the capacity."""
        if now > self.updated_at:
            added = (now - self.updated_at) * self.rate
            self.level = min(max(self.capacity, self.level), self.level + added)
            self.updated_at = now

    def wait_time(self, now: int, size: float, reserved: float) -> int:
        """Returns the time until the bucket holds `size` bytes in addition to `reserved` bytes.

        A size that can never fit has to wait only until the bucket is full.
        """
        self.refill(now)
        missing = min(size, max(1.0, self.capacity - reserved)) + reserved - self.level
        if missing <= 0:
            return 0
        return min(NEVER, int(missing / self.rate) + 1) if self.rate > 0 else NEVER

    def withdraw(self, size: float) -> None:
        """Removes bytes; the level may become negative."""
        self.level -= size

    def deposit(self, size: float) -> None:
        """Adds bytes that a charge did not need or a peer granted; bytes beyond the capacity are lost."""
        self.level = min(max(self.capacity, self.level), self.level + size)

    def surplus(self, now: int) -> float:
        """Returns the bytes that can be granted to peers."""
        self.refill(now)
        return max(0.0, self.level - RETAINED_SHARE * self.capacity)

    def state(self) -> list[float]:
        """Returns the numbers to store in a snapshot."""
        return [self.level]

    def restore(self, state: list[float], now: int, unaccounted_seconds: float) -> None:
        """Restores the level from a snapshot.

        In `unaccounted_seconds`, the time since the snapshot that no account covers, fills may have spent all
        that the bucket held and received. The level is therefore at most 0 if there was such time.
        """
        self.level = min(state[0], self.capacity, 0.0 if unaccounted_seconds else self.capacity)
        self.updated_at = now


class PeriodQuota(TokenBucket):
    """A quota of bytes per period, whose remaining bytes are spread evenly over the rest of the period."""

    respects_reservations = False

    def __init__(
        self, limit: float, burst_share: float, remaining: float, period: BillingPeriod, starts_full: bool
    ):
        """Makes the quota for a period that has already begun.

        Args:
            limit: Bytes per whole period.
            burst_share: Share of the limit that can accumulate in the bucket for a burst.
            remaining: Bytes that may be spent in the rest of the period.
            period: The current period.
            starts_full: Whether the bucket starts full, so that the burst is available at once.
        """
        super().__init__(0.0, limit * burst_share, period.now, starts_full)
        self.limit, self.remaining, self.period_end = limit, remaining, period.end
        self._update_rate(period.now)

    def _update_rate(self, now: int) -> None:
        undistributed = self.remaining - max(0.0, self.level)
        self.rate = max(0.0, undistributed) / max(1, self.period_end - now)

    def refill(self, now: int) -> None:
        """Adds the bytes that have accrued since the last refill, up to the remaining bytes of the limit."""
        self._update_rate(now)
        super().refill(min(now, self.period_end))
        self.level = min(self.level, self.remaining)

    def withdraw(self, size: float) -> None:
        """Removes bytes from the bucket and from the remaining bytes of the limit."""
        super().withdraw(size)
        self.remaining -= size

    def deposit(self, size: float) -> None:
        """Adds bytes to the bucket and to the remaining bytes of the limit."""
        self.remaining += size
        super().deposit(size)

    def begin_period(self, now: int, end: int, outstanding: float) -> None:
        """Resets the quota to the whole limit, less outstanding charges, and empties the bucket.

        Args:
            now: When the period begins.
            end: When it ends.
            outstanding: Bytes charged and not yet settled. They count against the new period as well, because
                settling them returns unneeded bytes to it and must not raise it above its limit.
        """
        self.remaining, self.period_end, self.updated_at = self.limit - outstanding, end, now
        self.level = min(0.0, self.level)
        self._update_rate(now)

    def state(self) -> list[float]:
        """Returns the numbers to store in a snapshot."""
        return [self.level, self.remaining]

    def restore(self, state: list[float], now: int, unaccounted_seconds: float) -> None:
        """Restores the quota from a snapshot of the same period; see `TokenBucket.restore`.

        The bytes that may have been spent in `unaccounted_seconds` are subtracted from the remaining bytes.
        """
        super().restore(state, now, unaccounted_seconds)
        level, remaining = state
        self.remaining = min(remaining, self.limit)
        self._update_rate(now)
        if unaccounted_seconds:
            refilled = self.rate * CLOCK_UNITS_PER_SECOND * unaccounted_seconds
            self.remaining -= max(0.0, level) + refilled
            self._update_rate(now)
