"""Which upstreams a request can be sent to now, by what is known of their health and load."""

from __future__ import annotations

from .congestion import CongestionControl
from .liveness import LivenessMonitor
from .request_state import RequestState
from .slow_start import SlowStart
from .upstreams import Upstream


class Eligibility:
    """Combines outlier detection, liveness, slow start and congestion into one answer."""

    __slots__ = ("_congestion", "_liveness", "_slow_start")

    def __init__(self, liveness: LivenessMonitor, slow_start: SlowStart, congestion: CongestionControl):
        self._liveness, self._slow_start, self._congestion = liveness, slow_start, congestion

    def is_eligible(self, now: int, request: RequestState, upstream: Upstream) -> bool:
        """Whether the upstream is healthy and has capacity for the request.

        One that was ejected and is not yet trusted again gets one attempt at a time.
        """
        if now < upstream.ejected_until or now < upstream.rejecting_until:
            return False
        if upstream.ejection_length and upstream.in_flight:
            return False
        if self._liveness.is_unresponsive(now, upstream):
            return False
        # has_capacity, without the call: this runs for each cache that is checked
        if not self._slow_start.allows(now, request, upstream):
            return False
        return self._congestion.meets_target(now, request, upstream)

    def has_capacity(self, now: int, request: RequestState, upstream: Upstream) -> bool:
        """Whether slow start and congestion leave room for the request at the upstream."""
        return self._slow_start.allows(now, request, upstream) and self._congestion.meets_target(
            now, request, upstream
        )
