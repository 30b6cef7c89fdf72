"""Transferred bytes by kind, in intervals of a second, a minute, an hour and a billing period.

Memory is bounded, whatever zones endpoints report: an interval holds at most `MAX_KINDS` kinds. Transfers of
further kinds are added to one coarse kind per route, outcome and diversion, so that totals stay complete.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product
from typing import NamedTuple

from .types import Outcome, Route, TransferKind

MAX_KINDS = 2048  # per interval, not counting coarse kinds
ANY_INDEX = -1  # zone or class of a coarse kind, which does not distinguish them
MAX_PERIODS = 13  # retained billing periods
PERIOD_WINDOW = "period"


class WindowSpec(NamedTuple):
    """Interval length and retention of one window of the account."""

    name: str
    interval_ms: int
    max_intervals: int
    is_detailed: bool  # distinguishes zones and classes


WINDOWS = (
    WindowSpec("second", 1000, 120, False),
    WindowSpec("minute", 60_000, 120, False),
    WindowSpec("hour", 3_600_000, 72, True),
)


class TransferAmount(NamedTuple):
    """The number of fills and the bytes that they transferred."""

    fills: int
    transferred: int  # bytes
    estimated: int = 0  # part of `transferred` that is estimated
    from_origin: int = 0  # bytes that hubs fetched from the origin for these fills


@dataclass(slots=True)
class TransferTotals:
    """The mutable sums of one kind in one interval, with the fields of `TransferAmount`."""

    fills: int = 0
    transferred: int = 0
    estimated: int = 0
    from_origin: int = 0

    def add(self, amount: TransferAmount) -> None:
        """Adds one amount."""
        fills, transferred, estimated, from_origin = amount
        self.fills += fills
        self.transferred += transferred
        self.estimated += estimated
        self.from_origin += from_origin

    def amount(self) -> TransferAmount:
        """Returns the current sums."""
        return TransferAmount(self.fills, self.transferred, self.estimated, self.from_origin)


class TransferRecord(NamedTuple):
    """The sums of one kind in one interval, as returned to readers."""

    kind: TransferKind
    fills: int
    transferred: int
    estimated: int
    from_origin: int


class StoredTransfer(NamedTuple):
    """A `TransferRecord` as stored in a snapshot: an array of numbers in this order."""

    destination_zone: int
    source_zone: int
    route: Route
    outcome: Outcome
    class_index: int
    diverted: int  # 0 or 1
    fills: int
    transferred: int
    estimated: int
    from_origin: int

    def kind(self) -> TransferKind:
        """Returns the kind, which is stored in the first six numbers."""
        return TransferKind(
            self.destination_zone,
            self.source_zone,
            self.route,
            self.outcome,
            self.class_index,
            bool(self.diverted),
        )

    def amount(self) -> TransferAmount:
        """Returns the sums, which are stored in the last four numbers."""
        return TransferAmount(self.fills, self.transferred, self.estimated, self.from_origin)


def _stored(kind: TransferKind, totals: TransferTotals) -> StoredTransfer:
    return StoredTransfer(
        kind.destination_zone,
        kind.source_zone,
        kind.route,
        kind.outcome,
        kind.class_index,
        int(kind.diverted),
        totals.fills,
        totals.transferred,
        totals.estimated,
        totals.from_origin,
    )


IntervalTotals = dict[TransferKind, TransferTotals]
StoredInterval = tuple[int, list[StoredTransfer]]  # start in Unix milliseconds, and the sums by kind

_COARSE_KINDS = {
    (route, outcome, diverted): TransferKind(ANY_INDEX, ANY_INDEX, route, outcome, ANY_INDEX, diverted)
    for route, outcome, diverted in product(Route, Outcome, (False, True))
}


def coarse_kind(kind: TransferKind) -> TransferKind:
    """Returns the coarse kind that a kind belongs to, which does not distinguish zones and class."""
    return _COARSE_KINDS[kind.route, kind.outcome, kind.diverted]


class TransferWindow:
    """The latest intervals of one length, each with its totals by kind."""

    def __init__(self, spec: WindowSpec):
        self.interval_ms, self.max_intervals = spec.interval_ms, spec.max_intervals
        self.is_detailed = spec.is_detailed
        self.intervals: OrderedDict[int, IntervalTotals] = OrderedDict()  # by start, oldest first
        self.intervals_dropped = 0
        # cache of the last used interval, which most transfers fall into
        self._start, self._end = 0, 0
        self._totals: IntervalTotals = {}

    def add(self, unix_ms: int, kind: TransferKind, amount: TransferAmount) -> None:
        """Adds an amount to the interval that contains `unix_ms`."""
        if not self._start <= unix_ms < self._end:
            self._start = unix_ms - unix_ms % self.interval_ms
            self._end = self._start + self.interval_ms
            self._totals = self._interval(self._start)
        by_kind = self._totals
        totals = by_kind.get(kind)
        if totals is None:
            key = kind if len(by_kind) < MAX_KINDS else coarse_kind(kind)
            totals = by_kind.setdefault(key, TransferTotals())
        totals.add(amount)

    def _interval(self, start: int) -> IntervalTotals:
        found = self.intervals.get(start)
        if found is not None:
            return found
        totals = self.intervals[start] = {}
        if start < max(self.intervals):  # the clock was set back
            self._sort()
        while len(self.intervals) > self.max_intervals:
            self.intervals.popitem(last=False)
            self.intervals_dropped += 1
        return totals

    def _sort(self) -> None:
        self.intervals = OrderedDict(sorted(self.intervals.items()))

    def state(self) -> list[StoredInterval]:
        """Returns all intervals in their stored form."""
        return [
            (
                start,
                [_stored(kind, totals) for kind, totals in by_kind.items()],
            )
            for start, by_kind in self.intervals.items()
        ]

    def restore(self, state: Sequence[StoredInterval]) -> None:
        """Adds the intervals of a snapshot to the existing ones."""
        for start, transfers in state:
            by_kind = self.intervals.setdefault(start, {})
            for stored in transfers:
                by_kind.setdefault(stored.kind(), TransferTotals()).add(stored.amount())
        self._sort()
        self._end = 0  # invalidates the cached interval


class Account:
    """Transferred bytes by kind, in every window."""

    def __init__(self, period_ms: int):
        specs = (*WINDOWS, WindowSpec(PERIOD_WINDOW, period_ms, MAX_PERIODS, True))
        self.windows = {spec.name: TransferWindow(spec) for spec in specs}

    def add(self, unix_ms: int, kind: TransferKind, amount: TransferAmount) -> None:
        """Adds an amount to the interval of each window that contains `unix_ms`."""
        coarse = coarse_kind(kind)
        for window in self.windows.values():
            window.add(unix_ms, kind if window.is_detailed else coarse, amount)

    def transfers(self, window: str, start: int | None = None) -> list[TransferRecord]:
        """Returns the totals of the interval that starts at `start`; default: the latest interval."""
        intervals = self.windows[window].intervals
        if not intervals:
            return []
        by_kind = intervals.get(next(reversed(intervals)) if start is None else start, {})
        return [TransferRecord(kind, *totals.amount()) for kind, totals in by_kind.items()]

    def state(self) -> dict[str, list[StoredInterval]]:
        """Returns all windows by name in their stored form."""
        return {name: window.state() for name, window in self.windows.items()}

    def restore(self, state: Mapping[str, Sequence[StoredInterval]]) -> None:
        """Adds the windows of a snapshot; windows that this version does not have are ignored."""
        for name, intervals in state.items():
            window = self.windows.get(name)
            if window is not None:
                window.restore(intervals)
