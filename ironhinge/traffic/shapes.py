"""Owns the distributions of fills: sizes and times by vhost, in HDR histograms of fixed memory. Imported only
where operators turn them on: the library is an optional extra.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

DIGITS = 2
LARGEST, LONGEST = 1_000_000, 600_000  # bytes; tenths of a millisecond
PARTS = (50.0, 90.0, 99.0, 99.9, 100.0)


class Shapes:
    def __init__(self, vhosts: Sequence[str]):
        self.vhosts = vhosts
        self.pairs: list[tuple[Any, Any]] = [
            (HdrHistogram(1, LARGEST, DIGITS), HdrHistogram(1, LONGEST, DIGITS)) for _ in vhosts
        ]

    def add(self, vhost: int, size: int, took: int) -> None:
        sizes, times = self.pairs[vhost]
        sizes.record_value(max(1, min(size, LARGEST)))
        times.record_value(max(1, min(took, LONGEST)))

    def plain(self) -> dict[str, Any]:
        """By vhost: how many, and the values at `PARTS` per cent; times in milliseconds."""
        out: dict[str, Any] = {}
        for name, (sizes, times) in zip(self.vhosts, self.pairs, strict=True):
            if sizes.get_total_count():
                out[name] = {
                    "fills": sizes.get_total_count(),
                    "bytes": {str(part): sizes.get_value_at_percentile(part) for part in PARTS},
                    "ms": {str(part): times.get_value_at_percentile(part) / 10 for part in PARTS},
                }
        return out
