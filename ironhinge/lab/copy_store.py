"""The copies that a stand-in cache keeps, by rank. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

RANK_COUNT = 4

CopyKey = tuple[str, str]  # object and part


class StoredCopy(NamedTuple):
    """A copy and when the origin issued it."""

    body: bytes
    issued_ms: int  # Unix milliseconds


class CopyStore:
    """Copies by rank: the lowest rank is evicted first, and within it the least recently used."""

    def __init__(self, capacity: int) -> None:
        """Create an empty store of `capacity` bytes."""
        self.capacity = capacity
        self.used = 0
        self.copies_by_rank: list[OrderedDict[CopyKey, StoredCopy]] = [
            OrderedDict() for _ in range(RANK_COUNT)
        ]

    def find(self, key: CopyKey) -> StoredCopy | None:
        """Return a copy and mark it as used, or None."""
        for copies in self.copies_by_rank:
            if key in copies:
                copies.move_to_end(key)
                return copies[key]
        return None

    def put(self, key: CopyKey, copy: StoredCopy, rank: int) -> None:
        """Store a copy in place of any older one, and evict what exceeds the capacity."""
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
