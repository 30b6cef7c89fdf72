"""Congestion control: skips paths whose observed speed would make a request miss its latency target.

Guards against congestion of any cause: overload, a slow upstream, a saturated link or origin. Its drawback: a
path that was slow by chance is avoided until that observation has decayed.
"""

from __future__ import annotations

from .congestion_estimate import CONGESTED_SLOWDOWN
from .request_state import RequestState
from .upstreams import Path

# Half-life of observations if the location has one router, as a share of the longest client timeout
HALF_LIFE_SHARE = 0.25
# Full-speed transfer time that is the prior of each path, as a share of the longest client timeout
PRIOR_SHARE = 0.05
# Expected growth of a cache's slowdown during a transfer, as more requests arrive meanwhile
CACHE_SLOWDOWN_GROWTH = 1.2


class CongestionControl:
    """Records the durations of transfers on each path, and predicts those of new requests."""

    __slots__ = ("half_life", "prior")

    def __init__(self, longest_client_timeout: int, local_router_count: int):
        # the more routers share the traffic, the fewer transfers each of them observes
        self.half_life = HALF_LIFE_SHARE * longest_client_timeout * local_router_count**0.5
        self.prior = PRIOR_SHARE * longest_client_timeout

    def record_transfer(self, now: int, duration: int, request: RequestState, path: Path) -> None:
        """Records a finished transfer of the request over the path."""
        in_flight = (request.in_flight_at_send[path] + len(path.in_flight) + 1) / 2
        path.congestion.record_transfer(now, duration, request.transfer_time, in_flight, self.half_life)

    def meets_target(self, now: int, request: RequestState, path: Path) -> bool:
        """Returns whether the request, sent over the path now, is expected to meet its latency target.

        A request that would miss its target even on an idle path may use any path that is not congested.
        """
        slowdown = path.congestion.slowdown(now, len(path.in_flight) + 1, self.half_life, self.prior)
        transfer_time = request.transfer_time
        if now + transfer_time > request.target_at:
            return slowdown < CONGESTED_SLOWDOWN
        growth = CACHE_SLOWDOWN_GROWTH if path.is_local_cache else 1.0
        return now + growth * slowdown * transfer_time <= request.target_at
