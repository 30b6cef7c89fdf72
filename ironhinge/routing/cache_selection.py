"""Selects the caches to which a request is sent: the first eligible ones in the order of its object."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .eligibility import Eligibility
from .hashing import score
from .request_rates import AdmissionRank, rank_of_position
from .request_state import RequestState
from .retries import may_retry_on
from .slow_start import SlowStart
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream


class CacheChoice(NamedTuple):
    """The eligible caches that a request can be sent to."""

    first: Upstream | None  # the first in the object's order
    untried: Upstream | None  # the first that has not reported a miss for the request


class CacheSelector:
    """Selects caches for requests, and the ranks with which they store copies."""

    __slots__ = ("_eligibility", "_slow_start", "_upstreams")

    def __init__(self, upstreams: UpstreamRegistry, eligibility: Eligibility, slow_start: SlowStart):
        self._upstreams, self._eligibility, self._slow_start = upstreams, eligibility, slow_start

    def check_with_side_effects(
        self, now: int, request: RequestState, open_requests: Iterable[RequestState]
    ) -> dict[Upstream, bool]:
        """Checks all caches whose eligibility check has side effects; returns the result for each.

        Those are the caches with an attempt in flight, which the check may record as unresponsive, and the
        caches that may be warming up, whose slow start tokens it refills. Caches that have failed the request
        or must not get it again are left out. The check of any other cache has no side effects, so
        `select_cache` runs it only for as many caches as it needs.
        """
        awaited = [each.attempt.upstream for each in open_requests if each.attempt is not None]
        maybe_warming = self._upstreams.maybe_warming
        caches = [
            upstream
            for upstream in dict.fromkeys([*awaited, *maybe_warming])
            if upstream.is_local_cache and may_retry_on(now, request, upstream)
        ]
        if maybe_warming:  # slow start draws random numbers, so checks run in the order of the object
            key = request.hash_key
            caches.sort(key=lambda cache: score(key, cache.hash_key), reverse=True)
        checked, failed = {}, request.failed_upstreams
        is_eligible = self._eligibility.is_eligible
        for cache in caches:
            if cache not in failed:
                checked[cache] = is_eligible(now, request, cache)
                if cache in maybe_warming and not self._slow_start.is_warming_up(now, cache):
                    del maybe_warming[cache]
        return checked

    def select_cache(self, now: int, request: RequestState, checked: dict[Upstream, bool]) -> CacheChoice:
        """Returns the first eligible caches, given the results of `check_with_side_effects`."""
        first = None
        is_restricted = request.possibly_run_attempt is not None  # else every cache is allowed
        failed, misses, is_eligible = request.failed_upstreams, request.misses, self._eligibility.is_eligible
        for cache in self._upstreams.candidates.in_order(request.hash_key):
            if cache in failed or (is_restricted and not may_retry_on(now, request, cache)):
                continue
            if not (checked[cache] if cache in checked else is_eligible(now, request, cache)):
                continue
            first = first or cache
            if cache not in misses:
                return CacheChoice(first, cache)
        return CacheChoice(first, None)

    def select_last_resort(self, now: int, request: RequestState) -> Upstream | None:
        """Returns a cache with capacity, whatever its health; None if there is none.

        Of several it is the one that failed the request least often, then the one whose ejection ends first.
        """
        candidates = self._upstreams.candidates.in_order(request.hash_key)
        has_capacity = self._eligibility.has_capacity
        allowed = [cache for cache in candidates if may_retry_on(now, request, cache)]
        available = [
            cache for cache in allowed if now >= cache.rejecting_until and has_capacity(now, request, cache)
        ]
        return min(
            available,
            key=lambda cache: (request.failed_upstreams.count(cache), cache.ejected_until),
            default=None,
        )

    @staticmethod
    def admission_rank(now: int, request: RequestState, cache: Upstream) -> AdmissionRank:
        """Returns the rank with which the cache stores the object; counts each request once per cache."""
        rank = request.admission_ranks.get(cache)
        if rank is None:
            entries_above = cache.request_rates.count(request.key, request.size, now)
            rank = rank_of_position(entries_above, request.recently_requested)
            request.admission_ranks[cache] = rank
        return rank
