"""A pseudorandom number generator that depends only on its seed, so that runs are reproducible."""

from __future__ import annotations

from .hashing import MASK

MULTIPLIER = 6364136223846793005  # this and the increment are those of Knuth's MMIX generator
INCREMENT = 1442695040888963407
DISCARDED_BITS = 33  # the low bits of a linear congruential generator have short periods
RANGE = 1 << 31


class DeterministicRandom:
    """A linear congruential generator that uses only the high bits of its state."""

    __slots__ = ("state",)

    def __init__(self, seed: int):
        self.state = seed & MASK

    def next_float(self) -> float:
        """Returns the next number of the sequence, at least 0 and below 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & MASK
        return (self.state >> DISCARDED_BITS) / RANGE
