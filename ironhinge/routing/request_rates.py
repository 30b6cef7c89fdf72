"""How often objects are requested, and the rank at which a cache is told to keep a copy.

Top-K most-frequently-requested placement: each router keeps, for each cache, a table of the rates at which it
requested objects there. The more entries lie above an object's, the lower is the rank of its copy.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from enum import IntEnum
from math import log2

RATE_HALF_LIFE = 100_000  # of the rates in a table
HIGH_RANK_ENTRIES = 32  # entries of a table, by falling rate over size, that rank high
MIDDLE_RANK_ENTRIES = 96  # the next entries, that rank middle
MAX_TABLE_ENTRIES = 4096  # entries of a table, and objects remembered as requested: bounds the memory

ObjectKey = tuple[int, int]  # object id and part: parts are kept and filled on their own


class AdmissionRank(IntEnum):
    """How firmly a cache is to keep the copy that it fills."""

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
    """Decaying request rates over size at one cache, sorted so that a rank is one search.

    A score is the log2 of rate over size on a scale that grows with time, so that entries decay untouched.
    """

    __slots__ = ("_scores", "_sorted_scores")

    def __init__(self) -> None:
        self._scores: dict[ObjectKey, float] = {}  # the entry that was counted longest ago comes first
        self._sorted_scores: list[float] = []

    def count(self, key: ObjectKey, size: float, now: int) -> int:
        """Counts a request; returns how many entries rank above its object's."""
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
    """Which parts of objects were requested at this router not long ago."""

    __slots__ = ("_last_requested_at", "_window")

    def __init__(self, local_router_count: int):
        self._window = RATE_HALF_LIFE * local_router_count  # each router sees that much less
        self._last_requested_at: dict[ObjectKey, int] = {}  # oldest first

    def record(self, key: ObjectKey, now: int) -> bool:
        """Records a request; returns whether the part was requested within the window before."""
        last_requested_at = self._last_requested_at.pop(key, None)
        if len(self._last_requested_at) >= MAX_TABLE_ENTRIES:
            del self._last_requested_at[next(iter(self._last_requested_at))]
        self._last_requested_at[key] = now
        return last_requested_at is not None and now - last_requested_at <= self._window


def rank_of_position(entries_above: int, recently_requested: bool) -> AdmissionRank:
    """The rank of an object with so many entries above it in a cache's table.

    A first request is no rate yet, and short tables would rank all of them high: it is kept at the lowest
    rank or not at all.
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
