"""Decides whether a request can be sent to an upstream now, from the upstream's health and load."""

from __future__ import annotations

from .congestion import CongestionControl
from .liveness import LivenessMonitor
from .request_state import RequestState
from .slow_start import SlowStart
from .upstreams import Upstream


class Eligibility:
    """Combines the checks of outlier detection, rejections, liveness, slow start and congestion."""

    __slots__ = ("_congestion", "_liveness", "_slow_start")

    def __init__(self, liveness: LivenessMonitor, slow_start: SlowStart, congestion: CongestionControl):
        self._liveness, self._slow_start, self._congestion = liveness, slow_start, congestion

    def is_eligible(self, now: int, request: RequestState, upstream: Upstream) -> bool:
        """Returns whether the upstream is healthy and has capacity for the request.

        An upstream whose ejection has ended gets one attempt at a time until it is trusted again.
        """
        if now < upstream.ejected_until or now < upstream.rejecting_until:
            return False
        if upstream.ejection_length and upstream.in_flight:
            return False
        if self._liveness.is_unresponsive(now, upstream):
            return False
        # `has_capacity` inlined, as this runs for each checked cache
        if not self._slow_start.allows(now, request, upstream):
            return False
        return self._congestion.meets_target(now, request, upstream)

    def has_capacity(self, now: int, request: RequestState, upstream: Upstream) -> bool:
        """Returns whether slow start and congestion control allow sending the request to the upstream."""
        return self._slow_start.allows(now, request, upstream) and self._congestion.meets_target(
            now, request, upstream
        )
