"""Reservations of a budget for open streams: a share of its rate, and the next segment of each stream."""

from __future__ import annotations

from ..settings import records
from .types import CLOCK_UNITS_PER_SECOND


class StreamReservations:
    """The reservations of one budget.

    They are limited to a share of the budget, so that a flood of new streams can't reserve all of it.
    """

    def __init__(self, config: records.Streams, rate: float, burst: float):
        """Makes the reservations of a budget of `rate` bytes per second with a burst of `burst` bytes."""
        self.max_rate = config.part * rate / CLOCK_UNITS_PER_SECOND
        self.max_bytes = config.part * burst
        self.stream_count = 0
        self.rate = 0.0  # of all streams, in bytes per clock unit
        self.segment_bytes = 0.0  # of the next segments of all streams

    def admits(self, rate: float) -> bool:
        """Returns whether a new stream may start; the first one always may, even if it exceeds the limit."""
        return not self.stream_count or self.rate + rate <= self.max_rate

    def reserve(self, rate: float, segment_size: float) -> None:
        """Adds the reservation of a stream."""
        self.stream_count += 1
        self.rate += rate
        self.segment_bytes += segment_size

    def release(self, rate: float, segment_size: float) -> None:
        """Removes the reservation of a stream."""
        self.stream_count -= 1
        self.rate -= rate
        self.segment_bytes -= segment_size
        if not self.stream_count:
            self.rate = self.segment_bytes = 0.0  # drops accumulated rounding errors

    def reserved_bytes(self) -> float:
        """Returns the bytes that fills outside open streams have to leave in the bucket."""
        return min(self.segment_bytes, self.max_bytes)
