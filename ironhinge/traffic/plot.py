"""The chart of a report. Imported only when a chart is drawn: matplotlib is an optional dependency."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import matplotlib

from .report import Report

matplotlib.use("Agg")

SIZE_INCHES = (10, 4.5)
DOTS_PER_INCH = 110
BYTES_PER_MB = 1e6
MS_PER_SECOND = 1000


def draw_chart(report: Report, dimension: str, path: Path) -> None:
    """Writes a PNG chart of transferred bytes over time, stacked by one dimension.

    Raises:
        OSError: The file could not be written.
    """
    from matplotlib import pyplot

    starts, rows = report.series(dimension)
    times: Any = [datetime.fromtimestamp(start / MS_PER_SECOND, UTC) for start in starts]
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    if starts:
        megabytes = ([size / BYTES_PER_MB for size in row] for row in rows.values())
        axes.stackplot(times, *megabytes, labels=list(rows))
        axes.legend(loc="upper left", fontsize="small")
    axes.set_ylabel(f"MB per {report.window}")
    axes.set_title(f"Transferred bytes by {dimension}")
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
