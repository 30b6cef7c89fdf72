"""Owns the report: cuts of what several directors' accounts hold, money, and where a period is going.

It must never read a file; what it is given are snapshots, and each director counts once.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from ..settings import records
from .snapshot import Snapshot, one_each
from .types import USES, WAYS, Use, Way

CUTS = ("way", "use", "vhost", "into", "out_of", "forced", "pair")
GB = 1e9


class Line(NamedTuple):
    """One kind of crossing in one stretch of time, named."""

    start: int  # Unix millisecond
    into: str
    out_of: str
    way: str
    use: str
    vhost: str
    forced: str
    fills: int
    carried: int
    guessed: int
    behind: int

    @property
    def pair(self) -> str:
        return f"{self.out_of} to {self.into}"


def _name(names: Sequence[str], place: int) -> str:
    return names[place] if 0 <= place < len(names) else "the rest"


class Report:
    def __init__(self, lines: list[Line], snapshots: list[Snapshot], window: str, start: int | None):
        self.lines, self.snapshots, self.window, self.start = lines, snapshots, window, start

    def total(self) -> int:
        return sum(line.carried for line in self.lines)

    def guessed(self) -> int:
        return sum(line.guessed for line in self.lines)

    def by(self, *cuts: str) -> dict[str, int]:
        """Bytes carried by one cut or several together; every cut's sum is the total."""
        out: dict[str, int] = {}
        for line in self.lines:
            key = " | ".join(str(getattr(line, cut)) for cut in cuts)
            out[key] = out.get(key, 0) + line.carried
        return dict(sorted(out.items(), key=lambda each: -each[1]))

    def money(self, prices: Iterable[records.Price]) -> dict[str, float]:
        """By way, each line at the last price that fits it; ways without a price cost nothing."""
        out: dict[str, float] = {}
        for line in self.lines:
            fits = [
                price
                for price in prices
                if line.way in price.ways
                and price.into in (None, line.into)
                and price.out_of in (None, line.out_of)
            ]
            if fits:
                out[line.way] = out.get(line.way, 0.0) + line.carried / GB * fits[-1].per_gb
        return out

    def budgets(self) -> dict[str, dict[str, Any]]:
        """What all directors together have spent and have left, and what the period will come to at this
        pace.
        """
        out: dict[str, dict[str, Any]] = {}
        for one in self.snapshots:
            plain = one.plain
            elapsed = max(1, plain["unix"] - plain["period"])
            for name, figures in plain["spans"].items():
                row = out.setdefault(
                    name,
                    {"spent": 0, "drawn": 0, "refused": 0, "sum": None, "left": None, "projected": 0},
                )
                for each in ("spent", "drawn", "refused"):
                    row[each] += figures[each]
                for each in ("sum", "left"):
                    if figures[each] is not None:
                        row[each] = (row[each] or 0) + int(figures[each])
                spent = figures["spent"] + figures["drawn"]
                row["projected"] += int(spent * plain["period_ms"] / elapsed)
        return out

    def unknown_ms(self) -> int:
        return sum(one.plain["unknown_ms"] for one in self.snapshots)

    def plain(self, cuts: Sequence[str], prices: Iterable[records.Price] = ()) -> dict[str, Any]:
        total = self.total()
        forced = self.by("forced").get("forced", 0)
        return {
            "window": self.window,
            "start": self.start,
            "directors": [one.name for one in self.snapshots],
            "total_bytes": total,
            "guessed_bytes": self.guessed(),
            "behind_hubs_bytes": sum(line.behind for line in self.lines),
            "fills": sum(line.fills for line in self.lines),
            "forced_share": round(forced / total, 4) if total else 0.0,
            "unknown_ms": self.unknown_ms(),
            "cuts": {cut: self.by(cut) for cut in cuts},
            "budgets": self.budgets(),
            "money": self.money(prices),
            "distributions": {one.name: one.plain["shapes"] for one in self.snapshots if one.plain["shapes"]},
        }

    def csv(self) -> str:
        out = io.StringIO()
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(Line._fields)
        writer.writerows(self.lines)
        return out.getvalue()

    def series(self, cut: str) -> tuple[list[int], dict[str, list[int]]]:
        """Bytes by time and one cut, for a plot."""
        starts = sorted({line.start for line in self.lines})
        rows: dict[str, list[int]] = {}
        for line in self.lines:
            row = rows.setdefault(str(getattr(line, cut)), [0] * len(starts))
            row[starts.index(line.start)] += line.carried
        return starts, rows


def collect(
    snapshots: Iterable[Snapshot], window: str = "period", start: int | None = None, all_: bool = False
) -> Report:
    """The stretch of a window, the newest that any director has where none is named, or all of them."""
    kept = one_each(snapshots)
    found: list[tuple[Snapshot, int, list[list[int]]]] = [
        (one, at, rows) for one in kept for at, rows in one.plain["account"].get(window, ())
    ]
    if start is None and not all_:
        if window == "period":
            start = max((one.plain["period"] for one in kept), default=None)
        else:
            start = max((at for _, at, _ in found), default=None)
    lines = []
    for one, at, rows in found:
        if not all_ and at != start:
            continue
        zones, vhosts = one.plain["zones"], one.plain["vhosts"]
        for into, out_of, way, use, vhost, forced, *figures in rows:
            lines.append(
                Line(
                    at,
                    _name(zones, into),
                    _name(zones, out_of),
                    WAYS[Way(way)],
                    USES[Use(use)],
                    _name(vhosts, vhost),
                    "forced" if forced else "chosen",
                    *figures,
                )
            )
    return Report(lines, kept, window, start)


def size(count: float) -> str:
    """Bytes for people."""
    for word in ("B", "KB", "MB", "GB", "TB"):
        if abs(count) < 1000 or word == "TB":
            return f"{count:.0f} B" if word == "B" else f"{count:.1f} {word}"
        count /= 1000
    return ""


def table(report: Report, cuts: Sequence[str], prices: Iterable[records.Price] = ()) -> str:
    plain = report.plain(cuts, prices)
    out = [
        f"{plain['window']} from {plain['start']}, {len(plain['directors'])} directors: "
        f"{size(plain['total_bytes'])} in {plain['fills']} fills, "
        f"{size(plain['guessed_bytes'])} of it guessed, {100 * plain['forced_share']:.1f}% forced"
    ]
    if plain["unknown_ms"]:
        out.append(
            f"not in it: {plain['unknown_ms'] / 1000:.1f} s of directors that ended without a last snapshot"
        )
    for cut, rows in plain["cuts"].items():
        out.append("")
        out += [f"{cut:12} {name:32} {size(count):>12}" for name, count in rows.items()]
    for name, row in plain["budgets"].items():
        left = f", {size(row['left'])} left of {size(row['sum'])}" if row["sum"] else ""
        out.append("")
        out.append(
            f"budget {name}: {size(row['spent'])} spent, {size(row['drawn'])} of its allowance{left}; "
            f"{row['refused']} times no room; {size(row['projected'])} by the period's end at this pace"
        )
    if plain["money"]:
        out.append("")
        out += [f"money        {way:32} {amount:12.4f}" for way, amount in plain["money"].items()]
    for director, vhosts in plain["distributions"].items():
        for vhost, row in vhosts.items():
            sizes, times = row["bytes"], row["ms"]
            out.append("")
            out.append(
                f"{director}, {vhost}: {row['fills']} fills, "
                f"half up to {size(sizes['50.0'])} and {times['50.0']} ms, "
                f"99% up to {size(sizes['99.0'])} and {times['99.0']} ms"
            )
    return "\n".join(out)
