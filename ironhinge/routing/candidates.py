"""The candidate caches of each object: the ready caches of this location in rendezvous order.

Ordering thousands of caches takes milliseconds, so the first few of each order are remembered per object and
updated as caches are added and removed.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import nlargest

from .hashing import MASK, RendezvousHasher, score
from .upstreams import Upstream

REMEMBERED_CANDIDATES = 8  # caches remembered per object; later ones are rarely used
# Average number of caches that are preselected by score, before the remembered ones are picked from them.
EXPECTED_PRESELECTED = 4 * REMEMBERED_CANDIDATES
MAX_ORDERS = 4096  # number of objects whose first candidates are remembered
MAX_ADDED_CACHES = 512  # number of added caches after which all orders are discarded
MAX_MERGED_CACHES = 64  # an order is recomputed if more caches were added since its last update


class CandidateOrder:
    """The first candidates of an object: the caches whose scores are not below `floor`, highest first.

    Caches that have been removed since may still be included.
    """

    __slots__ = ("first", "floor", "merged_count")

    def __init__(self, first: list[Upstream], floor: int, merged_count: int):
        self.first, self.floor = first, floor
        self.merged_count = merged_count  # entries of `Candidates.added` that are already merged

    def merge(self, key: int, added: list[Upstream]) -> None:
        """Inserts the caches that were added since the last update."""
        new = [cache for cache in added[self.merged_count :] if cache not in self.first]
        new = [cache for cache in new if score(key, cache.hash_key) >= self.floor]
        if new:
            merged = {**dict.fromkeys(self.first), **dict.fromkeys(new)}
            remaining = [cache for cache in merged if cache.is_local_cache]
            self.first = sorted(remaining, key=lambda cache: score(key, cache.hash_key), reverse=True)
        self.merged_count = len(added)


class Candidates:
    """The ready caches of the location, and their order for each object."""

    __slots__ = ("_hasher", "_orders", "added", "caches", "hash_keys")

    def __init__(self) -> None:
        self.caches: list[Upstream] = []
        self.hash_keys: list[int] = []  # of `caches`, in the same order
        self.added: list[Upstream] = []  # in the order of addition, to update the remembered orders
        self._hasher: RendezvousHasher | None = None  # of `hash_keys`; built on first use
        self._orders: dict[int, CandidateOrder] = {}  # by hash key of the object; least recently used first

    def add(self, cache: Upstream) -> None:
        """Adds a cache that has become ready."""
        self.caches.append(cache)
        self.hash_keys.append(cache.hash_key)
        self._hasher = None
        if len(self.added) >= MAX_ADDED_CACHES:  # bounds memory: orders still refer to removed caches
            self.added.clear()
            self._orders.clear()
        self.added.append(cache)

    def remove(self, cache: Upstream) -> None:
        """Removes a cache; remembered orders skip it once its `is_local_cache` is False."""
        index = self.caches.index(cache)
        del self.caches[index], self.hash_keys[index]
        self._hasher = None

    def in_order(self, key: int) -> Iterator[Upstream]:
        """Yields all caches in the rendezvous order of the object with this hash key."""
        order = self._remembered_order(key)
        yield from [cache for cache in order.first if cache.is_local_cache]
        scores = self._scores(key) if len(order.first) < len(self.caches) else []
        rest = [index for index in range(len(scores)) if scores[index] < order.floor]
        rest.sort(key=scores.__getitem__, reverse=True)
        yield from [self.caches[index] for index in rest]

    def _remembered_order(self, key: int) -> CandidateOrder:
        order = self._orders.pop(key, None)
        if order is None or len(self.added) - order.merged_count > MAX_MERGED_CACHES:
            order = self._compute_order(key)
            if len(self._orders) >= MAX_ORDERS:
                del self._orders[next(iter(self._orders))]
        elif order.merged_count < len(self.added):
            order.merge(key, self.added)
        self._orders[key] = order
        return order

    def _compute_order(self, key: int) -> CandidateOrder:
        scores = self._scores(key)
        preselection_floor = MASK - MASK // max(1, len(scores)) * EXPECTED_PRESELECTED
        preselected = [index for index, value in enumerate(scores) if value > preselection_floor]
        if len(preselected) < REMEMBERED_CANDIDATES:
            preselected = list(range(len(scores)))
        first = nlargest(REMEMBERED_CANDIDATES, preselected, key=scores.__getitem__)
        floor = scores[first[-1]] if len(first) == REMEMBERED_CANDIDATES else 0
        return CandidateOrder([self.caches[index] for index in first], floor, len(self.added))

    def _scores(self, key: int) -> list[int]:
        if self._hasher is None:
            self._hasher = RendezvousHasher(self.hash_keys)
        return self._hasher.scores(key)
