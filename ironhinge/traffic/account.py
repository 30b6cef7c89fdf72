"""Owns what has crossed: bytes by crossing in windows of a second, a minute, an hour and a billing period.

It must never hold a cell for each name that the outside makes up: kinds are bounded by what the settings
name, and beyond `MOST_KINDS` a window folds what is new into one rest a way and use, so that sums stay whole.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple

from .types import Crossing, Use, Way

MOST_KINDS = 2048  # of crossings in a window
REST = -1
SECOND, MINUTE, HOUR = 1000, 60_000, 3_600_000
WINDOWS: tuple[tuple[str, int, int, bool], ...] = (  # name, length, how many are kept, whether in full
    ("second", SECOND, 120, False),
    ("minute", MINUTE, 120, False),
    ("hour", HOUR, 72, True),
)
PERIODS = 13


class Cell:
    """What crossed in one way: fills begun, bytes carried, how many of those are guessed, and the bytes that
    the hub drew from the origin for them.
    """

    __slots__ = ("behind", "carried", "fills", "guessed")

    def __init__(self, fills: int = 0, carried: int = 0, guessed: int = 0, behind: int = 0):
        self.fills, self.carried, self.guessed, self.behind = fills, carried, guessed, behind

    def add(self, fills: int, carried: int, guessed: int, behind: int) -> None:
        self.fills += fills
        self.carried += carried
        self.guessed += guessed
        self.behind += behind

    def plain(self) -> list[int]:
        return [self.fills, self.carried, self.guessed, self.behind]


class Row(NamedTuple):
    """One line of a cut."""

    crossing: Crossing
    fills: int
    carried: int
    guessed: int
    behind: int


Cells = dict[Crossing, Cell]


def coarse(crossing: Crossing) -> Crossing:
    return Crossing(REST, REST, crossing.way, crossing.use, REST, crossing.forced)


class Window:
    """The latest stretches of one length, each with its cells."""

    def __init__(self, length: int, most: int, full: bool):
        self.length, self.most, self.full = length, most, full
        self.stretches: OrderedDict[int, Cells] = OrderedDict()  # by start, the oldest first
        self.forgotten = 0  # stretches let go
        self.from_, self.until = 0, 0  # of the stretch used last
        self.last: Cells = {}

    def cells(self, at: int) -> Cells:
        start = at - at % self.length
        found = self.stretches.get(start)
        if found is None:
            found = self.stretches[start] = {}
            last = next(reversed(self.stretches))
            if len(self.stretches) > 1 and start < max(self.stretches):  # a clock stepped back
                self.stretches = OrderedDict(sorted(self.stretches.items()))
                last = next(reversed(self.stretches))
            while (len(self.stretches) > self.most and last != start) or len(self.stretches) > self.most:
                self.stretches.popitem(last=False)
                self.forgotten += 1
        return found

    def add(self, at: int, crossing: Crossing, figures: tuple[int, int, int, int]) -> None:
        if not self.from_ <= at < self.until:
            self.last = self.cells(at)
            self.from_ = at - at % self.length
            self.until = self.from_ + self.length
        cells = self.last
        cell = cells.get(crossing)
        if cell is None:
            key = crossing if len(cells) < MOST_KINDS else coarse(crossing)
            cell = cells.setdefault(key, Cell())
        cell.add(*figures)


class Account:
    def __init__(self, period_ms: int):
        self.windows: dict[str, Window] = {
            name: Window(length, most, full) for name, length, most, full in WINDOWS
        }
        self.windows["period"] = Window(period_ms, PERIODS, True)

    def add(
        self, at: int, crossing: Crossing, fills: int, carried: int, guessed: int = 0, behind: int = 0
    ) -> None:
        """Books bytes at a Unix millisecond."""
        figures = fills, carried, guessed, behind
        short = coarse(crossing)
        for window in self.windows.values():
            window.add(at, crossing if window.full else short, figures)

    def rows(self, window: str, start: int | None = None) -> list[Row]:
        """A stretch of a window, the latest where none is named."""
        stretches = self.windows[window].stretches
        if not stretches:
            return []
        cells = stretches.get(next(reversed(stretches)) if start is None else start, {})
        return [Row(crossing, *cell.plain()) for crossing, cell in cells.items()]

    def plain(self) -> dict[str, Any]:
        """All of it as plain values, for a snapshot."""
        return {
            name: [
                [start, [[*map(int, crossing), *cell.plain()] for crossing, cell in cells.items()]]
                for start, cells in window.stretches.items()
            ]
            for name, window in self.windows.items()
        }

    def restore(self, plain: dict[str, Any]) -> None:
        for name, stretches in plain.items():
            window = self.windows.get(name)
            if window is None:
                continue
            for start, rows in stretches:
                cells = window.stretches.setdefault(start, {})
                for into, out_of, way, use, vhost, forced, *figures in rows:
                    key = Crossing(into, out_of, Way(way), Use(use), vhost, bool(forced))
                    cells.setdefault(key, Cell()).add(*figures)
            window.stretches = OrderedDict(sorted(window.stretches.items()))
            window.until = 0  # the stretch used last may be another


def total(rows: Iterable[Row]) -> int:
    return sum(row.carried for row in rows)
