"""The output formats of a report: JSON, CSV and a text table. Key and column names are public."""

from __future__ import annotations

import csv
import io
from collections.abc import Sequence
from typing import Any

import msgspec

from ..settings import records
from .report import BudgetSummary, Report
from .state import ClassDistribution

CSV_HEADER = (
    "start",
    "into",
    "out_of",
    "way",
    "use",
    "vhost",
    "forced",
    "fills",
    "carried",
    "guessed",
    "behind",
)
BYTES_PER_KB = 1000
SIZE_UNITS = ("B", "KB", "MB", "GB", "TB")
MS_PER_SECOND = 1000
MEDIAN, HIGH_PERCENTILE = "50.0", "99.0"


def to_json(
    report: Report, dimensions: Sequence[str], prices: Sequence[records.Price] = ()
) -> dict[str, Any]:
    """Returns the object that `--json` prints."""
    return {
        "window": report.window,
        "start": report.start_ms,
        "directors": [snapshot.director for snapshot in report.snapshots],
        "total_bytes": report.total(),
        "guessed_bytes": report.estimated(),
        "behind_hubs_bytes": report.from_origin(),
        "fills": report.fills(),
        "forced_share": report.diverted_share(),
        "unknown_ms": report.unknown_ms(),
        "cuts": {dimension: report.by(dimension) for dimension in dimensions},
        "budgets": {name: _budget_json(summary) for name, summary in report.budgets().items()},
        "money": report.cost(prices),
        "distributions": msgspec.to_builtins(report.distributions()),
    }


def _budget_json(summary: BudgetSummary) -> dict[str, int | None]:
    return {
        "spent": summary.spent,
        "drawn": summary.emergency_spent,
        "refused": summary.refusals,
        "sum": summary.limit,
        "left": summary.remaining,
        "projected": summary.projected,
    }


def to_csv(report: Report) -> str:
    """Returns all lines of the report as CSV with a header."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(CSV_HEADER)
    writer.writerows(report.lines)
    return out.getvalue()


def format_size(size: float) -> str:
    """Formats a number of bytes with a decimal unit."""
    unit = SIZE_UNITS[0]
    for unit in SIZE_UNITS:
        if abs(size) < BYTES_PER_KB or unit == SIZE_UNITS[-1]:
            break
        size /= BYTES_PER_KB
    return f"{size:.0f} B" if unit == SIZE_UNITS[0] else f"{size:.1f} {unit}"


def to_table(report: Report, dimensions: Sequence[str], prices: Sequence[records.Price] = ()) -> str:
    """Returns the report as a text table."""
    lines = [
        f"{report.window} from {report.start_ms}, {len(report.snapshots)} directors: "
        f"{format_size(report.total())} in {report.fills()} fills, "
        f"{format_size(report.estimated())} of it guessed, {100 * report.diverted_share():.1f}% forced"
    ]
    if report.unknown_ms():
        seconds = report.unknown_ms() / MS_PER_SECOND
        lines.append(f"not covered: {seconds:.1f} s of directors that stopped without a final snapshot")
    for dimension in dimensions:
        lines.append("")
        lines += [
            f"{dimension:12} {name:32} {format_size(size):>12}" for name, size in report.by(dimension).items()
        ]
    for name, summary in report.budgets().items():
        lines += ["", _budget_line(name, summary)]
    cost = report.cost(prices)
    if cost:
        lines.append("")
        lines += [f"money        {route:32} {amount:12.4f}" for route, amount in cost.items()]
    for director, classes in report.distributions().items():
        for name, distribution in classes.items():
            lines += ["", f"{director}, {name}: {_distribution_text(distribution)}"]
    return "\n".join(lines)


def _budget_line(name: str, summary: BudgetSummary) -> str:
    remaining = ""
    if summary.limit:
        remaining = f", {format_size(summary.remaining or 0)} left of {format_size(summary.limit)}"
    return (
        f"budget {name}: {format_size(summary.spent)} spent, "
        f"{format_size(summary.emergency_spent)} of its allowance{remaining}; "
        f"{summary.refusals} times no room; "
        f"{format_size(summary.projected)} by the period's end at this pace"
    )


def _distribution_text(distribution: ClassDistribution) -> str:
    sizes, durations = distribution.sizes, distribution.durations_ms
    return (
        f"{distribution.fills} fills, "
        f"half up to {format_size(sizes[MEDIAN])} and {durations[MEDIAN]} ms, "
        f"99% up to {format_size(sizes[HIGH_PERCENTILE])} and {durations[HIGH_PERCENTILE]} ms"
    )
