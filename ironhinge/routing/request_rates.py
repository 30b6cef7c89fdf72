"""Request rates of objects, and the admission ranks of copies that follow from them.

Top-K most-frequently-requested placement: each router has, for each cache, a table of the rates at which it
requests objects there, relative to their sizes. The more entries rank above that of an object, the lower is
the admission rank of its copy.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from enum import IntEnum
from math import log2

RATE_HALF_LIFE = 100_000  # half-life of the rates in a table
HIGH_RANK_ENTRIES = 32  # number of top entries by rate over size that rank high
MIDDLE_RANK_ENTRIES = 96  # number of next entries that rank middle
MAX_TABLE_ENTRIES = 4096  # of a rate table and of recent requests; bounds memory

ObjectKey = tuple[int, int]  # object id and part, as each part is stored and filled on its own


class AdmissionRank(IntEnum):
    """How strongly a cache should retain the copy that it fills."""

    NOT_STORED = 0
    LOWEST = 1
    MIDDLE = 2
    HIGH = 3


# Access to an enum member through its class is slow in Python 3.11.
NOT_STORED = AdmissionRank.NOT_STORED
LOWEST = AdmissionRank.LOWEST
MIDDLE = AdmissionRank.MIDDLE
HIGH = AdmissionRank.HIGH


class RequestRateTable:
    """Decaying request rates over size at one cache, sorted so that a rank takes one binary search.

    A score is log2(rate / size) plus the time in half-lives, so that entries decay relative to newer ones
    without being updated.
    """

    __slots__ = ("_scores", "_sorted_scores")

    def __init__(self) -> None:
        self._scores: dict[ObjectKey, float] = {}  # least recently requested first
        self._sorted_scores: list[float] = []

    def count(self, key: ObjectKey, size: float, now: int) -> int:
        """Counts a request; returns how many entries rank above that of its object."""
        scores, sorted_scores = self._scores, self._sorted_scores
        new_score = now / RATE_HALF_LIFE - log2(size or 1.0)
        old_score = scores.pop(key, None)
        if old_score is not None:
            del sorted_scores[bisect_left(sorted_scores, old_score)]
            new_score = max(old_score, new_score) + log2(1 + 2 ** -abs(old_score - new_score))
        elif len(scores) >= MAX_TABLE_ENTRIES:
            oldest = scores.pop(next(iter(scores)))
            del sorted_scores[bisect_left(sorted_scores, oldest)]
        scores[key] = new_score
        insort(sorted_scores, new_score)
        return len(sorted_scores) - bisect_right(sorted_scores, new_score)


class RecentRequests:
    """The parts of objects that were recently requested at this router."""

    __slots__ = ("_last_requested_at", "_window")

    def __init__(self, local_router_count: int):
        self._window = RATE_HALF_LIFE * local_router_count  # each router gets only a share of the requests
        self._last_requested_at: dict[ObjectKey, int] = {}  # oldest first

    def record(self, key: ObjectKey, now: int) -> bool:
        """Records a request; returns whether the part was already requested within the window."""
        last_requested_at = self._last_requested_at.pop(key, None)
        if len(self._last_requested_at) >= MAX_TABLE_ENTRIES:
            del self._last_requested_at[next(iter(self._last_requested_at))]
        self._last_requested_at[key] = now
        return last_requested_at is not None and now - last_requested_at <= self._window


def rank_of_position(entries_above: int, recently_requested: bool) -> AdmissionRank:
    """Returns the admission rank of an object from the number of entries above it in the cache's table.

    A first request gives no rate yet, and a short table would rank every such object high. Its copy is
    therefore stored with the lowest rank, or not at all if the table would rank it lowest.
    """
    if entries_above < HIGH_RANK_ENTRIES:
        rank = HIGH
    elif entries_above < HIGH_RANK_ENTRIES + MIDDLE_RANK_ENTRIES:
        rank = MIDDLE
    else:
        rank = LOWEST
    if recently_requested:
        return rank
    return NOT_STORED if rank is LOWEST else LOWEST
