"""A budget: its token buckets, its reservations for streams, and its emergency allowance.

A fill is charged when its attempt is sent, for the largest size that it is expected to need, and settled to
its actual size when it ends. Concurrent fills can therefore not spend the same bytes.
"""

from __future__ import annotations

from typing import NamedTuple

from ..settings import records
from .buckets import PeriodQuota, TokenBucket
from .calendar import BillingPeriod
from .reservations import StreamReservations
from .state import BudgetState, BudgetUsage


class Allowance:
    """Buckets that are charged together, and the bytes spent from them in this period."""

    __slots__ = ("buckets", "outstanding", "spent")

    def __init__(self, buckets: list[TokenBucket]):
        self.buckets = buckets
        self.outstanding = 0.0  # bytes charged and not yet settled
        self.spent = 0  # bytes of this period

    def charge(self, size: float) -> None:
        """Charges the largest size that a fill is expected to need."""
        self.outstanding += size
        for bucket in self.buckets:
            bucket.withdraw(size)

    def settle(self, charged: float, actual: int) -> None:
        """Replaces the charge of a fill with its actual size: returns or charges the difference."""
        self.outstanding -= charged
        for bucket in self.buckets:
            if actual > charged:
                bucket.withdraw(actual - charged)
            elif actual < charged:
                bucket.deposit(charged - actual)
        self.spent += actual

    def begin_period(self, now: int, end: int) -> None:
        """Resets the period quotas at the start of a billing period."""
        for bucket in self.buckets:
            if isinstance(bucket, PeriodQuota):
                bucket.begin_period(now, end, self.outstanding)
        self.spent = 0

    def state(self) -> list[list[float]]:
        """Returns the state of the buckets to store in a snapshot."""
        return [bucket.state() for bucket in self.buckets]

    def restore(self, state: list[list[float]], now: int, unaccounted_seconds: float) -> None:
        """Restores the buckets from a snapshot, unless the settings now define another number of them."""
        if len(self.buckets) != len(state):
            return
        for bucket, bucket_state in zip(self.buckets, state, strict=True):
            bucket.restore(bucket_state, now, unaccounted_seconds)


class BudgetCheck(NamedTuple):
    """The result of checking a fill against a budget."""

    wait_time: int  # 0: the fill may start now
    allowance: Allowance  # the allowance that the fill would be charged to


class Budget:
    """This director's part of one budget."""

    def __init__(self, name: str, config: records.Budget, share: float, period: BillingPeriod):
        """Makes the director's part of a budget.

        Args:
            name: The name of the budget in the settings.
            config: The settings of the budget.
            share: The director's share of the budget; the shares of all directors in its scope sum up to 1.
            period: The current billing period.
        """
        self.name, self.config, self.share = name, config, share
        self.parent: Budget | None = None  # the budget that this one is within: a fill needs room in both
        rate = (config.rate or 0) * share
        burst = (config.burst if config.burst is not None else config.rate or 0) * share
        self.regular = Allowance(self._regular_buckets(rate, burst, period))
        self.emergency = Allowance(self._emergency_buckets(period))
        self.reservations: StreamReservations | None = None
        if config.streams is not None and config.rate is not None:
            self.reservations = StreamReservations(config.streams, rate, burst)
        self._allowed_by_regular = BudgetCheck(0, self.regular)
        self._allowed_by_emergency = BudgetCheck(0, self.emergency)
        self.refusals = 0
        self.unmet_demand = 0.0  # bytes recently refused, requested from peers that have a surplus

    def _starts_full(self) -> bool:
        return self.config.begin == "full"

    def _regular_buckets(self, rate: float, burst: float, period: BillingPeriod) -> list[TokenBucket]:
        config, starts_full = self.config, self._starts_full()
        buckets: list[TokenBucket] = []
        if config.rate is not None:
            buckets.append(TokenBucket(rate, burst, period.now, starts_full))
        if config.sum is not None:
            limit = config.sum * self.share
            remaining = limit if starts_full else limit * period.remaining_share
            buckets.append(PeriodQuota(limit, config.ahead, remaining, period, starts_full))
        return buckets

    def _emergency_buckets(self, period: BillingPeriod) -> list[TokenBucket]:
        config = self.config.emergency
        if config is None:
            return []
        starts_full = self._starts_full()
        burst = (config.burst if config.burst is not None else config.rate) * self.share
        buckets = [TokenBucket(config.rate * self.share, burst, period.now, starts_full)]
        if config.sum is not None:
            limit = config.sum * self.share
            remaining = limit * (1.0 if starts_full else period.remaining_share)
            buckets.append(PeriodQuota(limit, 1.0, remaining, period, True))
        return buckets

    def check(self, now: int, size: float, is_open_stream: bool, diverted: bool) -> BudgetCheck:
        """Checks whether a fill may start now, and selects the allowance that it would be charged to.

        Args:
            now: The current time.
            size: Bytes that the fill is expected to need.
            is_open_stream: Whether the fill is a segment of an open stream, for which bytes are reserved.
            diverted: Whether the fill is diverted, which lets it use the emergency allowance.
        """
        reserved = 0.0
        if self.reservations is not None and not is_open_stream:
            reserved = self.reservations.reserved_bytes()
        wait_time = 0
        for bucket in self.regular.buckets:
            bucket_wait = bucket.wait_time(now, size, reserved if bucket.respects_reservations else 0.0)
            if bucket_wait > wait_time:
                wait_time = bucket_wait
        if not wait_time:
            return self._allowed_by_regular
        if diverted and self._emergency_allows(now, size):
            return self._allowed_by_emergency
        return BudgetCheck(wait_time, self.regular)

    def _emergency_allows(self, now: int, size: float) -> bool:
        buckets = self.emergency.buckets
        return bool(buckets) and not any(bucket.wait_time(now, size, 0.0) for bucket in buckets)

    def record_refusal(self, size: float) -> None:
        """Counts a refusal of a fill because this or another of its budgets had no room."""
        self.refusals += 1
        self.unmet_demand += size

    def record_charge(self, size: float) -> None:
        """Subtracts a fill that was sent from the unmet demand."""
        self.unmet_demand = max(0.0, self.unmet_demand - size)

    def begin_period(self, now: int, end: int) -> None:
        """Resets the period quotas at the start of a billing period."""
        self.regular.begin_period(now, end)
        self.emergency.begin_period(now, end)

    def usage(self) -> BudgetUsage:
        """Returns how much of the director's part is used, for reports and metrics."""
        config = self.config
        quotas = (bucket for bucket in self.regular.buckets if isinstance(bucket, PeriodQuota))
        quota = next(quotas, None)
        return BudgetUsage(
            spent=self.regular.spent,
            emergency_spent=self.emergency.spent,
            refusals=self.refusals,
            limit=config.sum * self.share if config.sum is not None else None,
            rate=config.rate * self.share if config.rate is not None else None,
            remaining=quota.remaining if quota is not None else None,
            stream_count=self.reservations.stream_count if self.reservations is not None else None,
        )

    def state(self) -> BudgetState:
        """Returns the state to store in a snapshot."""
        return BudgetState(
            spent=self.regular.spent,
            emergency_spent=self.emergency.spent,
            buckets=self.regular.state(),
            emergency_buckets=self.emergency.state(),
        )

    def restore(self, state: BudgetState, now: int, unaccounted_seconds: float) -> None:
        """Restores a snapshot of the same period; bytes that may have been spent since count as spent."""
        self.regular.spent, self.emergency.spent = state.spent, state.emergency_spent
        self.regular.restore(state.buckets, now, unaccounted_seconds)
        self.emergency.restore(state.emergency_buckets, now, unaccounted_seconds)
