"""The report: sums over the accounts of several directors, their cost, and where a period is going.

It reads no file: it is made of snapshots, of which each director's newest counts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..settings import records
from .account import PERIOD_WINDOW, StoredTransfer
from .labels import (
    DIMENSION_FIELDS,
    DIVERTED_LABEL,
    OUTCOME_LABELS,
    ROUTE_LABELS,
    diversion_label,
    label_at,
)
from .snapshot import Snapshot, newest_by_director
from .state import AccountState, BudgetUsage, ClassDistribution

BYTES_PER_GB = 1e9
SHARE_DIGITS = 4


class ReportLine(NamedTuple):
    """One kind of transfer in one interval, by names."""

    start_ms: int  # Unix milliseconds
    destination: str
    source: str
    route: str
    outcome: str
    request_class: str
    diversion: str
    fills: int
    transferred: int
    guessed: int
    from_origin: int

    @property
    def zone_pair(self) -> str:
        """Both zones together."""
        return f"{self.source} to {self.destination}"

    def dimension(self, name: str) -> str:
        """Its value in one of `labels.CUTS`."""
        return str(getattr(self, DIMENSION_FIELDS[name]))


@dataclass(slots=True)
class BudgetSummary:
    """What all directors together have spent of a budget, in bytes of this period."""

    spent: int = 0
    emergency_spent: int = 0
    refusals: int = 0
    limit: int | None = None
    remaining: int | None = None
    projected: int = 0  # by the period's end, at the pace so far

    def add(self, usage: BudgetUsage, state: AccountState) -> None:
        """Adds the part of one director."""
        self.spent += usage.spent
        self.emergency_spent += usage.emergency_spent
        self.refusals += usage.refusals
        if usage.limit is not None:
            self.limit = (self.limit or 0) + int(usage.limit)
        if usage.remaining is not None:
            self.remaining = (self.remaining or 0) + int(usage.remaining)
        elapsed_ms = max(1, state.unix_ms - state.period_start)
        spent = usage.spent + usage.emergency_spent
        self.projected += int(spent * state.period_ms / elapsed_ms)


class Report:
    """The lines of one interval, or of all intervals, of a window."""

    def __init__(self, lines: list[ReportLine], snapshots: list[Snapshot], window: str, start_ms: int | None):
        self.lines, self.snapshots, self.window, self.start_ms = lines, snapshots, window, start_ms

    def total(self) -> int:
        """Transferred bytes."""
        return sum(line.transferred for line in self.lines)

    def guessed(self) -> int:
        """Transferred bytes that are guessed."""
        return sum(line.guessed for line in self.lines)

    def from_origin(self) -> int:
        """Bytes that hubs drew from the origin for the fills."""
        return sum(line.from_origin for line in self.lines)

    def fills(self) -> int:
        """Fills that transferred bytes."""
        return sum(line.fills for line in self.lines)

    def diverted_share(self) -> float:
        """The share of the bytes that came from another hub than the preferred one, rounded."""
        total = self.total()
        diverted = self.by("forced").get(DIVERTED_LABEL, 0)
        return round(diverted / total, SHARE_DIGITS) if total else 0.0

    def by(self, *dimensions: str) -> dict[str, int]:
        """Transferred bytes by one of `labels.CUTS`, or several together, the most first."""
        sums: dict[str, int] = {}
        for line in self.lines:
            key = " | ".join(line.dimension(dimension) for dimension in dimensions)
            sums[key] = sums.get(key, 0) + line.transferred
        return dict(sorted(sums.items(), key=lambda item: -item[1]))

    def cost(self, prices: Sequence[records.Price]) -> dict[str, float]:
        """The cost by route: each line at the last price that fits it; without one it costs nothing."""
        costs: dict[str, float] = {}
        for line in self.lines:
            price = next((each for each in reversed(prices) if _price_applies(each, line)), None)
            if price is not None:
                cost = line.transferred / BYTES_PER_GB * price.per_gb
                costs[line.route] = costs.get(line.route, 0.0) + cost
        return costs

    def budgets(self) -> dict[str, BudgetSummary]:
        """The budgets of all directors together, by name."""
        summaries: dict[str, BudgetSummary] = {}
        for snapshot in self.snapshots:
            for name, usage in snapshot.state.usage.items():
                summaries.setdefault(name, BudgetSummary()).add(usage, snapshot.state)
        return summaries

    def unknown_ms(self) -> int:
        """Time of this period that is in no account, summed over the directors."""
        return sum(snapshot.state.unknown_ms for snapshot in self.snapshots)

    def distributions(self) -> dict[str, dict[str, ClassDistribution]]:
        """Sizes and durations of fills, by director and request class."""
        return {
            snapshot.director: snapshot.state.distributions
            for snapshot in self.snapshots
            if snapshot.state.distributions
        }

    def series(self, dimension: str) -> tuple[list[int], dict[str, list[int]]]:
        """Transferred bytes over time by one cut.

        Returns:
            When the intervals began, and for each value of the cut the bytes in each of them.
        """
        starts = sorted({line.start_ms for line in self.lines})
        series: dict[str, list[int]] = {}
        for line in self.lines:
            values = series.setdefault(line.dimension(dimension), [0] * len(starts))
            values[starts.index(line.start_ms)] += line.transferred
        return starts, series


def _price_applies(price: records.Price, line: ReportLine) -> bool:
    return (
        line.route in price.routes
        and price.destination_zone in (None, line.destination)
        and price.source_zone in (None, line.source)
    )


class _Interval(NamedTuple):
    state: AccountState
    start_ms: int
    transfers: list[StoredTransfer]


def collect(
    snapshots: Iterable[Snapshot],
    window: str = PERIOD_WINDOW,
    start_ms: int | None = None,
    all_intervals: bool = False,
) -> Report:
    """Makes a report of the newest snapshot of each director.

    Args:
        snapshots: Of any directors, in any order.
        window: The name of a window of the account.
        start_ms: The interval that began then; None: the newest that any director has.
        all_intervals: Take all intervals instead.
    """
    latest = newest_by_director(snapshots)
    intervals = [
        _Interval(snapshot.state, start, transfers)
        for snapshot in latest
        for start, transfers in snapshot.state.account.get(window, ())
    ]
    if not all_intervals:
        if start_ms is None:
            start_ms = _newest_start(latest, intervals, window)
        intervals = [interval for interval in intervals if interval.start_ms == start_ms]
    lines = [
        _line(interval.state, interval.start_ms, stored)
        for interval in intervals
        for stored in interval.transfers
    ]
    return Report(lines, latest, window, start_ms)


def _newest_start(latest: list[Snapshot], intervals: list[_Interval], window: str) -> int | None:
    """When the newest interval began; a billing period counts from its start, though nothing was sent."""
    if window == PERIOD_WINDOW:
        return max((snapshot.state.period_start for snapshot in latest), default=None)
    return max((interval.start_ms for interval in intervals), default=None)


def _line(state: AccountState, start_ms: int, stored: StoredTransfer) -> ReportLine:
    return ReportLine(
        start_ms,
        label_at(state.zones, stored.destination_zone),
        label_at(state.zones, stored.source_zone),
        ROUTE_LABELS[stored.route],
        OUTCOME_LABELS[stored.outcome],
        label_at(state.request_classes, stored.class_index),
        diversion_label(bool(stored.diverted)),
        *stored.amount(),
    )
