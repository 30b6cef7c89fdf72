"""Owns the picture of a report. Imported only where one is asked for: matplotlib is an optional extra."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import matplotlib

from .report import Report

matplotlib.use("Agg")


def draw(report: Report, cut: str, path: Path) -> None:
    """Bytes by time, stacked by one cut."""
    from matplotlib import pyplot

    starts, rows = report.series(cut)
    times: Any = [datetime.fromtimestamp(start / 1000, UTC) for start in starts]
    figure, axes = pyplot.subplots(figsize=(10, 4.5))
    if starts:
        axes.stackplot(times, *([count / 1e6 for count in row] for row in rows.values()), labels=list(rows))
        axes.legend(loc="upper left", fontsize="small")
    axes.set_ylabel(f"MB a {report.window}")
    axes.set_title(f"What crossed, by {cut}")
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
