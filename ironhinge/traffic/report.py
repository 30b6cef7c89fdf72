"""The report: sums over the accounts of several directors, their cost, and the projected use of budgets.

It is built from snapshots in memory, of which only the newest of each director counts.
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
    """The sums of one kind of transfer in one interval, with names instead of indices."""

    start_ms: int  # Unix milliseconds
    destination: str
    source: str
    route: str
    outcome: str
    request_class: str
    diversion: str
    fills: int
    transferred: int
    estimated: int
    from_origin: int

    @property
    def zone_pair(self) -> str:
        """The source and the destination zone as one label."""
        return f"{self.source} to {self.destination}"

    def dimension(self, name: str) -> str:
        """Returns the value of one of `labels.DIMENSIONS`."""
        return str(getattr(self, DIMENSION_FIELDS[name]))


@dataclass(slots=True)
class BudgetSummary:
    """The use of a budget in this period, summed over all directors; sizes are in bytes."""

    spent: int = 0
    emergency_spent: int = 0
    refusals: int = 0
    limit: int | None = None
    remaining: int | None = None
    projected: int = 0  # spent by the end of the period, at the average rate so far

    def add(self, usage: BudgetUsage, state: AccountState) -> None:
        """Adds the use of one director."""
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
    """The lines of one interval or of all intervals of a window, and the snapshots that they come from."""

    def __init__(self, lines: list[ReportLine], snapshots: list[Snapshot], window: str, start_ms: int | None):
        self.lines, self.snapshots, self.window, self.start_ms = lines, snapshots, window, start_ms

    def total(self) -> int:
        """Returns the transferred bytes."""
        return sum(line.transferred for line in self.lines)

    def estimated(self) -> int:
        """Returns the part of the transferred bytes that is estimated."""
        return sum(line.estimated for line in self.lines)

    def from_origin(self) -> int:
        """Returns the bytes that hubs fetched from the origin for the fills."""
        return sum(line.from_origin for line in self.lines)

    def fills(self) -> int:
        """Returns the number of fills that transferred bytes."""
        return sum(line.fills for line in self.lines)

    def diverted_share(self) -> float:
        """Returns the share of the bytes that were diverted from the preferred hub, rounded."""
        total = self.total()
        diverted = self.by("forced").get(DIVERTED_LABEL, 0)
        return round(diverted / total, SHARE_DIGITS) if total else 0.0

    def by(self, *dimensions: str) -> dict[str, int]:
        """Returns transferred bytes by one or several of `labels.DIMENSIONS`, in descending order."""
        sums: dict[str, int] = {}
        for line in self.lines:
            key = " | ".join(line.dimension(dimension) for dimension in dimensions)
            sums[key] = sums.get(key, 0) + line.transferred
        return dict(sorted(sums.items(), key=lambda item: -item[1]))

    def cost(self, prices: Sequence[records.Price]) -> dict[str, float]:
        """Returns the cost by route: each line at the last price that applies to it, if there is one."""
        costs: dict[str, float] = {}
        for line in self.lines:
            price = next((each for each in reversed(prices) if _price_applies(each, line)), None)
            if price is not None:
                cost = line.transferred / BYTES_PER_GB * price.per_gb
                costs[line.route] = costs.get(line.route, 0.0) + cost
        return costs

    def budgets(self) -> dict[str, BudgetSummary]:
        """Returns the use of each budget summed over all directors, by name."""
        summaries: dict[str, BudgetSummary] = {}
        for snapshot in self.snapshots:
            for name, usage in snapshot.state.usage.items():
                summaries.setdefault(name, BudgetSummary()).add(usage, snapshot.state)
        return summaries

    def unknown_ms(self) -> int:
        """Returns the time of this period that accounts do not cover, summed over the directors."""
        return sum(snapshot.state.unknown_ms for snapshot in self.snapshots)

    def distributions(self) -> dict[str, dict[str, ClassDistribution]]:
        """Returns sizes and durations of fills, by director and request class."""
        return {
            snapshot.director: snapshot.state.distributions
            for snapshot in self.snapshots
            if snapshot.state.distributions
        }

    def series(self, dimension: str) -> tuple[list[int], dict[str, list[int]]]:
        """Sums up transferred bytes over time by one dimension.

        Returns:
            The starts of the intervals, and for each value of the dimension the bytes per interval.
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
    """Makes a report from the newest snapshot of each director.

    Args:
        snapshots: Snapshots of any directors, in any order.
        window: The name of a window of the account.
        start_ms: The start of the interval to report; None: the latest interval of any director.
        all_intervals: Report all intervals instead of one.
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
    """Returns the latest start of an interval; a billing period counts even without transfers."""
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
