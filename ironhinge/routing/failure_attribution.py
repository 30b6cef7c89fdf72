"""Finds who failed an attempt: the upstream that it was sent to, or the source of its fill.

Guards against a bad parent condemning good caches. The cache status of the answer decides if there is one,
else whoever fails more is held to have failed.
"""

from __future__ import annotations

from ..interface import AttemptFinished, AttemptResult, CacheStatus, Deployment
from .congestion import CongestionControl
from .liveness import LivenessMonitor
from .outlier_detection import OutlierDetector
from .request_state import ROUND_TRIP_BATCHES, RequestState
from .upstream_registry import UpstreamRegistry
from .upstreams import Attempt, Upstream

REJECTION_SHARE = 0.25  # an upstream that rejected a request is passed over for this share of the class's
# average transfer time, times the routers of the location, as each of them sends that much less
REJECTED = AttemptResult.REJECTED
TIMEOUT = AttemptResult.TIMEOUT
NOT_CONNECTED = AttemptResult.NOT_CONNECTED
NEVER_SENT = (AttemptResult.NOT_CONNECTED, AttemptResult.CUT_BEFORE_SEND)
SOURCE_FAILED = (
    CacheStatus.SOURCE_REJECTED,
    CacheStatus.SOURCE_UNAVAILABLE,
    CacheStatus.SOURCE_MISS,
    CacheStatus.ORIGIN_FAILED,
)


class FailureAttribution:
    """Attributes failed attempts to upstreams, and keeps their health accordingly."""

    __slots__ = ("_congestion", "_deployment", "_liveness", "_outliers", "_upstreams")

    def __init__(
        self,
        deployment: Deployment,
        upstreams: UpstreamRegistry,
        congestion: CongestionControl,
        liveness: LivenessMonitor,
        outliers: OutlierDetector,
    ):
        self._deployment, self._upstreams = deployment, upstreams
        self._congestion, self._liveness, self._outliers = congestion, liveness, outliers

    def attribute_failure(
        self, now: int, request: RequestState, attempt: Attempt, event: AttemptFinished
    ) -> Upstream:
        """Records a failed attempt; returns the upstream that is held to have failed."""
        if event.result == REJECTED:
            return self._attribute_rejection(now, request, attempt, event)
        upstream, source, culprit = attempt.upstream, attempt.source, attempt.upstream
        is_never_sent = event.result in NEVER_SENT
        suspects = [upstream]
        if source is not None and not is_never_sent and not self._is_too_quick_for_source(event):
            suspects.append(source)
            note = event.cache_status
            if note in SOURCE_FAILED or (not note and source.failure_rate >= upstream.failure_rate):
                culprit = source
        if event.result == TIMEOUT:
            # a fill that hangs must not make its cache look slow for hits: its source is what it waits for
            self._congestion.record_transfer(now, event.duration, request, source or culprit)
            if culprit.last_response_at > attempt.sent_at:
                return culprit  # slow, not unresponsive
        else:
            upstream.last_response_at = now
        if event.result == NOT_CONNECTED:
            self._liveness.report_unresponsive(now, culprit)
        for suspect in suspects:
            self._outliers.record_failure(suspect)
        if event.result == NOT_CONNECTED:
            self._outliers.eject(now, culprit)
        else:
            self._outliers.eject_if_outlier(now, culprit)
        return culprit

    def _attribute_rejection(
        self, now: int, request: RequestState, attempt: Attempt, event: AttemptFinished
    ) -> Upstream:
        """Records that the upstream or its source had no capacity: it is alive, but full."""
        upstream, source, culprit = attempt.upstream, attempt.source, attempt.upstream
        if source is not None and event.cache_status != CacheStatus.FILL_LIMIT_REACHED:
            culprit = upstream if self._is_too_quick_for_source(event) else source
        backoff = REJECTION_SHARE * request.request_class.average_transfer_time()
        culprit.rejecting_until = now + int(backoff * self._deployment.local_router_count)
        upstream.last_response_at = now
        if culprit is not source:
            return culprit
        origin = self._upstreams.origin
        if origin is not None and self._is_origin_suspected(request, event):
            origin.rejecting_until = culprit.rejecting_until
        if event.duration > request.request_class.definition.latency_target:  # waited for in vain
            self._outliers.record_failure(culprit)
            self._outliers.eject_if_outlier(now, culprit)
        return culprit

    def _is_origin_suspected(self, request: RequestState, event: AttemptFinished) -> bool:
        """Whether the origin behind a parent that had no capacity may be the one that is full.

        It is where the answer says so, and where a second parent in turn rejects the request.
        """
        if not self._deployment.origin_overload_multiple:
            return False
        if event.cache_status == CacheStatus.ORIGIN_FAILED:
            return True
        return not event.cache_status and any(each in self._upstreams.parents for each in request.failed)

    def _is_too_quick_for_source(self, event: AttemptFinished) -> bool:
        """Whether the answer came too soon for a source to have been asked."""
        return event.duration <= ROUND_TRIP_BATCHES * self._deployment.min_batch_interval
