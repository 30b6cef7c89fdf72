"""A random sequence that depends on nothing but its seed, so that a run can be repeated exactly."""

from __future__ import annotations

from .hashing import MASK

MULTIPLIER = 6364136223846793005  # of Knuth's MMIX generator
INCREMENT = 1442695040888963407
DISCARDED_BITS = 33  # the low bits of such a generator have short periods
RANGE = 1 << 31


class DeterministicRandom:
    """A linear congruential generator of which only the high bits are used."""

    __slots__ = ("state",)

    def __init__(self, seed: int):
        self.state = seed & MASK

    def next_float(self) -> float:
        """The next number of the sequence, at least 0 and below 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & MASK
        return (self.state >> DISCARDED_BITS) / RANGE
