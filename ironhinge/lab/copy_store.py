"""The copies that a stand-in cache stores, by admission rank. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

RANK_COUNT = 4  # admission ranks 0 to 3

CopyKey = tuple[str, str]  # object name and part number


class StoredCopy(NamedTuple):
    """The body of a copy and the time at which the origin sent it."""

    body: bytes
    issued_ms: int  # Unix milliseconds


class CopyStore:
    """A cache that evicts the lowest rank first, and within a rank the least recently used copy."""

    def __init__(self, capacity: int) -> None:
        """Create an empty store of `capacity` bytes."""
        self.capacity = capacity
        self.used = 0
        self.copies_by_rank: list[OrderedDict[CopyKey, StoredCopy]] = [
            OrderedDict() for _ in range(RANK_COUNT)
        ]

    def find(self, key: CopyKey) -> StoredCopy | None:
        """Return a copy and mark it as the most recently used of its rank, or return None."""
        for copies in self.copies_by_rank:
            if key in copies:
                copies.move_to_end(key)
                return copies[key]
        return None

    def put(self, key: CopyKey, copy: StoredCopy, rank: int) -> None:
        """Store a copy, replacing any earlier one, and evict copies until the capacity is not exceeded."""
        for copies in self.copies_by_rank:
            replaced = copies.pop(key, None)
            if replaced is not None:
                self.used -= len(replaced.body)
        self.copies_by_rank[rank][key] = copy
        self.used += len(copy.body)
        self._evict()

    def _evict(self) -> None:
        for copies in self.copies_by_rank:
            while self.used > self.capacity and copies:
                _, evicted = copies.popitem(last=False)
                self.used -= len(evicted.body)
