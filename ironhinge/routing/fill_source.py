"""Where a miss is filled from: an object's parents in rendezvous order, else the origin.

Fills of an object meet at its first parent that can take them, so that the origin is asked once.
"""

from __future__ import annotations

from ..interface import FillBudget
from .congestion import CongestionControl
from .eligibility import Eligibility
from .hashing import score
from .request_state import RequestState
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

MIN_FILLS_PER_PARENT = 24  # of this router, in flight at a parent, before the object's next parent is used;
# or the parent's weight, which counts the transfers that it can send at once, if that is more


class FillSourceSelector:
    """Selects the fill source of a request."""

    __slots__ = ("_congestion", "_eligibility", "_upstreams", "fill_budget")

    def __init__(self, upstreams: UpstreamRegistry, eligibility: Eligibility, congestion: CongestionControl):
        self._upstreams, self._eligibility, self._congestion = upstreams, eligibility, congestion
        self.fill_budget: FillBudget | None = None

    def select(self, now: int, request: RequestState) -> Upstream | None:
        """The source of the request's fill.

        None when no upstream will do, or when the ingress link that all fills share is congested, since
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
            if parent in request.failed or len(parent.in_flight) >= limit:
                continue
            if self._can_fill(now, request, parent):
                return parent
        origin = self._upstreams.origin
        return origin if origin is not None and self._can_fill(now, request, origin) else None

    def _can_fill(self, now: int, request: RequestState, source: Upstream) -> bool:
        is_eligible = self._eligibility.is_eligible(now, request, source)
        return is_eligible and self.within_fill_budget(now, request, source)

    def within_fill_budget(self, now: int, request: RequestState, source: Upstream) -> bool:
        """Whether the operators' budget, if there is one, has room for a fill from the source.

        A source whose budget is spent is passed over like a congested one; hits at caches go on. The
        soonest that a source has room again is what a client that is rejected is told.
        """
        if self.fill_budget is None:
            return True
        wait = self.fill_budget.wait_time(now, request.received, source.id)
        if not wait:
            return True
        request.fill_budget_wait = min(request.fill_budget_wait or wait, wait)
        return False
