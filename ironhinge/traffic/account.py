"""Transferred bytes by kind, in windows of a second, a minute, an hour and a billing period.

Memory stays bounded whatever names the outside makes up: an interval holds at most `MAX_KINDS` kinds, and
what comes beyond is added to one coarse kind for each route and outcome, so that totals stay complete.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product
from typing import NamedTuple

from .types import Outcome, Route, TransferKind

MAX_KINDS = 2048  # in one interval
ANY_INDEX = -1  # a zone or class that is not told apart
MAX_PERIODS = 13
PERIOD_WINDOW = "period"


class WindowSpec(NamedTuple):
    """One resolution of the account."""

    name: str
    interval_ms: int
    max_intervals: int
    is_detailed: bool  # tells zones and classes apart


WINDOWS = (
    WindowSpec("second", 1000, 120, False),
    WindowSpec("minute", 60_000, 120, False),
    WindowSpec("hour", 3_600_000, 72, True),
)


class TransferAmount(NamedTuple):
    """What one or more fills transferred."""

    fills: int
    transferred: int  # bytes
    guessed: int = 0  # of the transferred bytes
    from_origin: int = 0  # bytes that the hub drew from the origin for them


@dataclass(slots=True)
class TransferTotals:
    """The sums of one kind in one interval; the fields are those of `TransferAmount`."""

    fills: int = 0
    transferred: int = 0
    guessed: int = 0
    from_origin: int = 0

    def add(self, amount: TransferAmount) -> None:
        """Adds one amount."""
        fills, transferred, guessed, from_origin = amount
        self.fills += fills
        self.transferred += transferred
        self.guessed += guessed
        self.from_origin += from_origin

    def amount(self) -> TransferAmount:
        """The sums as they stand."""
        return TransferAmount(self.fills, self.transferred, self.guessed, self.from_origin)


class TransferRecord(NamedTuple):
    """The sums of one kind in one interval, as they are read."""

    kind: TransferKind
    fills: int
    transferred: int
    guessed: int
    from_origin: int


class StoredTransfer(NamedTuple):
    """A `TransferRecord` as it stands in a snapshot: plain numbers, in this order."""

    destination_zone: int
    source_zone: int
    route: Route
    outcome: Outcome
    class_index: int
    diverted: int  # 0 or 1
    fills: int
    transferred: int
    guessed: int
    from_origin: int

    def kind(self) -> TransferKind:
        """The kind that the first six numbers stand for."""
        return TransferKind(
            self.destination_zone,
            self.source_zone,
            self.route,
            self.outcome,
            self.class_index,
            bool(self.diverted),
        )

    def amount(self) -> TransferAmount:
        """The sums that the last four numbers stand for."""
        return TransferAmount(self.fills, self.transferred, self.guessed, self.from_origin)


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
        totals.guessed,
        totals.from_origin,
    )


IntervalTotals = dict[TransferKind, TransferTotals]
StoredInterval = tuple[int, list[StoredTransfer]]  # when it began (Unix milliseconds), and its kinds

_COARSE_KINDS = {
    (route, outcome, diverted): TransferKind(ANY_INDEX, ANY_INDEX, route, outcome, ANY_INDEX, diverted)
    for route, outcome, diverted in product(Route, Outcome, (False, True))
}


def coarse_kind(kind: TransferKind) -> TransferKind:
    """The same kind with zones and class not told apart."""
    return _COARSE_KINDS[kind.route, kind.outcome, kind.diverted]


class TransferWindow:
    """The latest intervals of one length, each with its totals by kind."""

    def __init__(self, spec: WindowSpec):
        self.interval_ms, self.max_intervals = spec.interval_ms, spec.max_intervals
        self.is_detailed = spec.is_detailed
        self.intervals: OrderedDict[int, IntervalTotals] = OrderedDict()  # by start, the oldest first
        self.intervals_dropped = 0
        # the interval used last, which most transfers fall into
        self._start, self._end = 0, 0
        self._totals: IntervalTotals = {}

    def add(self, unix_ms: int, kind: TransferKind, amount: TransferAmount) -> None:
        """Adds an amount to the interval of a Unix millisecond."""
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
        if start < max(self.intervals):  # the clock stepped back
            self._sort()
        while len(self.intervals) > self.max_intervals:
            self.intervals.popitem(last=False)
            self.intervals_dropped += 1
        return totals

    def _sort(self) -> None:
        self.intervals = OrderedDict(sorted(self.intervals.items()))

    def state(self) -> list[StoredInterval]:
        """All intervals, for a snapshot."""
        return [
            (
                start,
                [_stored(kind, totals) for kind, totals in by_kind.items()],
            )
            for start, by_kind in self.intervals.items()
        ]

    def restore(self, state: Sequence[StoredInterval]) -> None:
        """Adds the intervals of a snapshot to what is here."""
        for start, transfers in state:
            by_kind = self.intervals.setdefault(start, {})
            for stored in transfers:
                by_kind.setdefault(stored.kind(), TransferTotals()).add(stored.amount())
        self._sort()
        self._end = 0  # the interval used last may be another one now


class Account:
    """Transferred bytes by kind, in every window."""

    def __init__(self, period_ms: int):
        specs = (*WINDOWS, WindowSpec(PERIOD_WINDOW, period_ms, MAX_PERIODS, True))
        self.windows = {spec.name: TransferWindow(spec) for spec in specs}

    def add(self, unix_ms: int, kind: TransferKind, amount: TransferAmount) -> None:
        """Adds an amount to the intervals of a Unix millisecond."""
        coarse = coarse_kind(kind)
        for window in self.windows.values():
            window.add(unix_ms, kind if window.is_detailed else coarse, amount)

    def transfers(self, window: str, start: int | None = None) -> list[TransferRecord]:
        """The totals of the interval that began at `start`, by default of the latest one."""
        intervals = self.windows[window].intervals
        if not intervals:
            return []
        by_kind = intervals.get(next(reversed(intervals)) if start is None else start, {})
        return [TransferRecord(kind, *totals.amount()) for kind, totals in by_kind.items()]

    def state(self) -> dict[str, list[StoredInterval]]:
        """All windows by name, for a snapshot."""
        return {name: window.state() for name, window in self.windows.items()}

    def restore(self, state: Mapping[str, Sequence[StoredInterval]]) -> None:
        """Adds what a snapshot holds; windows that this version does not keep are left out."""
        for name, intervals in state.items():
            window = self.windows.get(name)
            if window is not None:
                window.restore(intervals)
