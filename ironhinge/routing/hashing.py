"""Rendezvous hashing: all routers order the caches of an object the same way without communication.

Each pair of an object and an endpoint has a score; an object's candidates are the endpoints in descending
order of score. Adding or removing an endpoint moves only the objects for which it has the highest score.
"""

from __future__ import annotations

from hashlib import blake2b
from struct import unpack

MASK = (1 << 64) - 1
LANE_BYTES = 16


def hash_key(text: str) -> int:
    """Returns the 64-bit hash key of an id."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def score(first: int, second: int) -> int:
    """Returns a 64-bit hash of two numbers (the splitmix64 finalizer); it is the same on every router."""
    x = (first * 0x9E3779B97F4A7C15 + second) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


class RendezvousHasher:
    """Computes `score` of one number with each of many keys at once.

    The keys are packed into one long integer, each in a lane of twice its width, so that no product overflows
    into the next lane.
    """

    def __init__(self, keys: list[int]):
        self._count = len(keys)
        self._keys = self._pack_lanes(keys)
        self._ones = self._pack_lanes([1] * self._count)
        self._low_halves = self._ones * MASK

    @staticmethod
    def _pack_lanes(numbers: list[int]) -> int:
        return int.from_bytes(b"".join(number.to_bytes(LANE_BYTES, "little") for number in numbers), "little")

    def scores(self, first: int) -> list[int]:
        """Returns `score(first, key)` for each key, in the order of the keys."""
        low = self._low_halves
        x = (self._keys + self._ones * (first * 0x9E3779B97F4A7C15 & MASK)) & low
        x = ((x ^ (x >> 30 & low)) * 0xBF58476D1CE4E5B9) & low
        x = ((x ^ (x >> 27 & low)) * 0x94D049BB133111EB) & low
        x ^= x >> 31 & low
        return list(unpack(f"<{2 * self._count}Q", x.to_bytes(LANE_BYTES * self._count, "little"))[::2])
