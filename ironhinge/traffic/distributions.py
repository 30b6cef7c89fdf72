"""Distributions of the sizes and durations of fills, in HDR histograms of fixed memory.

Imported only where operators have enabled them: the library is an optional dependency.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from .state import ClassDistribution
from .types import CLOCK_UNITS_PER_MS

SIGNIFICANT_DIGITS = 2
MAX_SIZE = 1_000_000  # bytes
MAX_DURATION = 600_000  # clock units: one minute
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class FillDistributions:
    """A histogram of sizes and one of durations per request class."""

    def __init__(self, request_classes: Sequence[str]):
        self.request_classes = request_classes
        self._sizes: list[Any] = [HdrHistogram(1, MAX_SIZE, SIGNIFICANT_DIGITS) for _ in request_classes]
        self._durations: list[Any] = [
            HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS) for _ in request_classes
        ]

    def add(self, class_index: int, size: int, duration: int) -> None:
        """Counts a fill; a value outside the range of its histogram is clamped to the range."""
        self._sizes[class_index].record_value(max(1, min(size, MAX_SIZE)))
        self._durations[class_index].record_value(max(1, min(duration, MAX_DURATION)))

    def state(self) -> dict[str, ClassDistribution]:
        """Returns the distributions of the classes that had fills, by class name."""
        classes = zip(self.request_classes, self._sizes, self._durations, strict=True)
        return {
            name: ClassDistribution(
                fills=sizes.get_total_count(),
                sizes={str(each): sizes.get_value_at_percentile(each) for each in PERCENTILES},
                durations_ms={
                    str(each): durations.get_value_at_percentile(each) / CLOCK_UNITS_PER_MS
                    for each in PERCENTILES
                },
            )
            for name, sizes, durations in classes
            if sizes.get_total_count()
        }
