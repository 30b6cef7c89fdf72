"""What a budget reserves for open streams: a part of its rate, and the next segment of each of them."""

from __future__ import annotations

from ..settings import records
from .types import CLOCK_UNITS_PER_SECOND


class StreamReservations:
    """The reservations of one budget.

    They are bounded by a share of the budget, so that a flood of first segments can't reserve all of it.
    """

    def __init__(self, config: records.Streams, rate: float, burst: float):
        """Makes the reservations of a budget of `rate` bytes a second with a burst of `burst` bytes."""
        self.max_rate = config.part * rate / CLOCK_UNITS_PER_SECOND
        self.max_bytes = config.part * burst
        self.stream_count = 0
        self.rate = 0.0  # of all streams, bytes for each clock unit
        self.segment_bytes = 0.0  # of the next segment of each stream

    def admits(self, rate: float) -> bool:
        """Whether another stream may begin; a single one always may, however small the budget is."""
        return not self.stream_count or self.rate + rate <= self.max_rate

    def reserve(self, rate: float, segment_size: float) -> None:
        """Reserves for one more stream."""
        self.stream_count += 1
        self.rate += rate
        self.segment_bytes += segment_size

    def release(self, rate: float, segment_size: float) -> None:
        """Gives up the reservation of one stream."""
        self.stream_count -= 1
        self.rate -= rate
        self.segment_bytes -= segment_size
        if not self.stream_count:
            self.rate = self.segment_bytes = 0.0  # no rounding errors stay

    def reserved_bytes(self) -> float:
        """The bytes that fills of others have to leave."""
        return min(self.segment_bytes, self.max_bytes)
