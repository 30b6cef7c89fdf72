"""The records of a snapshot. The names of their fields in stored bytes are given here, and nowhere else."""

from __future__ import annotations

import msgspec

from .account import StoredInterval


class BudgetState(msgspec.Struct, frozen=True):
    """What a restart has to know of a budget."""

    spent: int  # bytes of this period
    emergency_spent: int = msgspec.field(name="drawn")
    buckets: list[list[float]] = msgspec.field(name="pots")
    emergency_buckets: list[list[float]] = msgspec.field(name="emergency")


class BudgetUsage(msgspec.Struct, frozen=True):
    """How much of a director's part of a budget is used; None where the budget has no such thing."""

    spent: int  # bytes of this period
    emergency_spent: int = msgspec.field(name="drawn")
    refusals: int = msgspec.field(name="refused")
    limit: float | None = msgspec.field(name="sum")
    rate: float | None  # bytes a second
    remaining: float | None = msgspec.field(name="left")
    stream_count: int | None = msgspec.field(name="streams")


class ClassDistribution(msgspec.Struct, frozen=True):
    """Sizes and durations of the fills of a request class, by percentile."""

    fills: int
    sizes: dict[str, int] = msgspec.field(name="bytes")
    durations_ms: dict[str, float] = msgspec.field(name="ms")


class AccountState(msgspec.Struct, frozen=True):
    """All that a restart and the reports have to know of a director's account and budgets."""

    zones: tuple[str, ...]
    request_classes: tuple[str, ...] = msgspec.field(name="vhosts")
    zone: int
    unix_ms: int = msgspec.field(name="unix")
    period_start: int = msgspec.field(name="period")
    period_ms: int
    is_final: bool = msgspec.field(name="clean")  # the last one of its incarnation: nothing came after it
    unknown_ms: int  # of this period: time that is not in the account
    size_scale: tuple[float, float] = msgspec.field(name="per_kb")  # bytes a KB, and KB they were seen over
    account: dict[str, list[StoredInterval]]
    budgets: dict[str, BudgetState]
    usage: dict[str, BudgetUsage] = msgspec.field(name="spans")
    distributions: dict[str, ClassDistribution] = msgspec.field(name="shapes")
