"""Selects the source that fills a miss: the first eligible parent in rendezvous order, else the origin.

All routers prefer the same parent for the fills of an object, so that the origin is asked only once.
"""

from __future__ import annotations

from ..interface import FillBudget
from .congestion import CongestionControl
from .eligibility import Eligibility
from .hashing import score
from .request_state import RequestState
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

# The object's next parent is used once this router has this many attempts in flight at a parent; or as many
# as its weight, if that is more, since the weight is the number of transfers that it can send at once.
MIN_FILLS_PER_PARENT = 24


class FillSourceSelector:
    """Selects the fill sources of requests, within the fill budget."""

    __slots__ = ("_congestion", "_eligibility", "_upstreams", "fill_budget")

    def __init__(self, upstreams: UpstreamRegistry, eligibility: Eligibility, congestion: CongestionControl):
        self._upstreams, self._eligibility, self._congestion = upstreams, eligibility, congestion
        self.fill_budget: FillBudget | None = None

    def select(self, now: int, request: RequestState) -> Upstream | None:
        """Returns the source for a fill of the request's object.

        Returns None if no source is eligible, or if the ingress link is congested: all fills share it, so
        another source would not help.
        """
        request.fill_budget_wait = 0
        if not self._congestion.meets_target(now, request, self._upstreams.ingress_link):
            return None
        key = request.parent_hash_key
        for parent in sorted(
            self._upstreams.parents, key=lambda each: score(key, each.hash_key), reverse=True
        ):
            limit = max(MIN_FILLS_PER_PARENT, parent.endpoint.weight)
            if parent in request.failed_upstreams or len(parent.in_flight) >= limit:
                continue
            if self._can_fill(now, request, parent):
                return parent
        origin = self._upstreams.origin
        return origin if origin is not None and self._can_fill(now, request, origin) else None

    def _can_fill(self, now: int, request: RequestState, source: Upstream) -> bool:
        is_eligible = self._eligibility.is_eligible(now, request, source)
        return is_eligible and self.within_fill_budget(now, request, source)

    def within_fill_budget(self, now: int, request: RequestState, source: Upstream) -> bool:
        """Returns whether the operators' budget, if there is one, allows a fill from the source.

        A source without budget is skipped like a congested one; hits at caches are not affected. The shortest
        wait until a source has budget again is stored in the request: it becomes the retry delay if the
        request is rejected.
        """
        if self.fill_budget is None:
            return True
        wait = self.fill_budget.wait_time(now, request.received, source.id)
        if not wait:
            return True
        request.fill_budget_wait = min(request.fill_budget_wait or wait, wait)
        return False
