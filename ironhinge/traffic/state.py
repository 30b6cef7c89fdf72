"""The records of a snapshot. Their stored field names are defined only here."""

from __future__ import annotations

import msgspec

from .account import StoredInterval


class BudgetState(msgspec.Struct, frozen=True):
    """The state of a budget that is restored after a restart."""

    spent: int  # bytes of this period
    emergency_spent: int = msgspec.field(name="drawn")
    buckets: list[list[float]] = msgspec.field(name="pots")
    emergency_buckets: list[list[float]] = msgspec.field(name="emergency")


class BudgetUsage(msgspec.Struct, frozen=True):
    """How much of a director's part of a budget is used; None where the budget has no such limit."""

    spent: int  # bytes of this period
    emergency_spent: int = msgspec.field(name="drawn")
    refusals: int = msgspec.field(name="refused")
    limit: float | None = msgspec.field(name="sum")
    rate: float | None  # bytes per second
    remaining: float | None = msgspec.field(name="left")
    stream_count: int | None = msgspec.field(name="streams")


class ClassDistribution(msgspec.Struct, frozen=True):
    """Sizes in bytes and durations of the fills of a request class, by percentile."""

    fills: int
    sizes: dict[str, int] = msgspec.field(name="bytes")
    durations_ms: dict[str, float] = msgspec.field(name="ms")


class AccountState(msgspec.Struct, frozen=True):
    """The state of a director's account and budgets, for restarts and reports."""

    zones: tuple[str, ...]
    request_classes: tuple[str, ...] = msgspec.field(name="vhosts")
    zone: int
    unix_ms: int = msgspec.field(name="unix")
    period_start: int = msgspec.field(name="period")
    period_ms: int
    # the last snapshot of its incarnation: nothing was counted after it
    is_final: bool = msgspec.field(name="clean")
    unknown_ms: int  # time of this period that the account does not cover
    # bytes per KB, and the total KB of the answers that this ratio was measured on
    size_scale: tuple[float, float] = msgspec.field(name="per_kb")
    account: dict[str, list[StoredInterval]]
    budgets: dict[str, BudgetState]
    usage: dict[str, BudgetUsage] = msgspec.field(name="spans")
    distributions: dict[str, ClassDistribution] = msgspec.field(name="shapes")
