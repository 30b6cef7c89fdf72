"""Congestion: paths whose observed speed would make a request miss its target are passed over.

Guards against congestion of any cause: overload, a slow upstream, a full link or origin. Could do harm where
a path was slow by chance; that is forgotten within the decay time.
"""

from __future__ import annotations

from .congestion_estimate import CONGESTED_SLOWDOWN
from .request_state import RequestState
from .upstreams import Path

HALF_LIFE_SHARE = 0.25  # half-life of a lone router's observations, in longest client timeouts
PRIOR_SHARE = 0.05  # transfer time at full speed that each path is assumed to have shown, in the same
CACHE_SLOWDOWN_GROWTH = 1.2  # a cache is taken to slow down by this while it sends: others come meanwhile


class CongestionControl:
    """Records what transfers take on each path, and predicts what a request would take."""

    __slots__ = ("half_life", "prior")

    def __init__(self, longest_client_timeout: int, local_router_count: int):
        # the more routers, the less each sees
        self.half_life = HALF_LIFE_SHARE * longest_client_timeout * local_router_count**0.5
        self.prior = PRIOR_SHARE * longest_client_timeout

    def record_transfer(self, now: int, duration: int, request: RequestState, path: Path) -> None:
        """Records a transfer of the request that went over the path."""
        in_flight = (request.in_flight_at_send[path] + len(path.in_flight) + 1) / 2
        path.congestion.record_transfer(now, duration, request.transfer_time, in_flight, self.half_life)

    def meets_target(self, now: int, request: RequestState, path: Path) -> bool:
        """Whether the request, sent over the path now, would be done by its target.

        One that is late already is only sent where there is no congestion.
        """
        slowdown = path.congestion.slowdown(now, len(path.in_flight) + 1, self.half_life, self.prior)
        transfer_time = request.transfer_time
        if now + transfer_time > request.target_at:
            return slowdown < CONGESTED_SLOWDOWN
        growth = CACHE_SLOWDOWN_GROWTH if path.is_local_cache else 1.0
        return now + growth * slowdown * transfer_time <= request.target_at
