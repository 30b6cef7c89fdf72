"""Attributes a failed attempt to the upstream to which it was sent or to the source of its fill.

Prevents the ejection of healthy caches because of a faulty parent. An attempt that was never sent, or that
ended before a source could have been asked, is attributed to the upstream. A rejection is otherwise
attributed to the source, unless the cache status says that the cache itself accepts no more fills. For other
failures the cache status of the answer decides; without one, the failure is attributed to the one of the two
with the higher failure rate, the source on a tie.
"""

from __future__ import annotations

from ..interface import AttemptFinished, AttemptResult, CacheStatus, Deployment
from .congestion import CongestionControl
from .liveness import LivenessMonitor
from .outlier_detection import OutlierDetector
from .request_state import ROUND_TRIP_BATCHES, RequestState
from .upstream_registry import UpstreamRegistry
from .upstreams import Attempt, Upstream

# An upstream that rejected a request gets no requests for this share of the average transfer time of the
# class, times the number of routers of the location, as each router sends only its share of the load.
REJECTION_BACKOFF_SHARE = 0.25
REJECTED = AttemptResult.REJECTED
TIMEOUT = AttemptResult.TIMEOUT
NOT_CONNECTED = AttemptResult.NOT_CONNECTED
NEVER_SENT = (AttemptResult.NOT_CONNECTED, AttemptResult.CUT_BEFORE_SEND)
SOURCE_FAILURE_STATUSES = (
    CacheStatus.SOURCE_REJECTED,
    CacheStatus.SOURCE_UNAVAILABLE,
    CacheStatus.SOURCE_MISS,
    CacheStatus.ORIGIN_FAILED,
)


class FailureAttribution:
    """Attributes failed attempts to upstreams and updates their health."""

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
        """Records a failed attempt; returns the upstream to which the failure is attributed."""
        if event.result == REJECTED:
            return self._attribute_rejection(now, request, attempt, event)
        upstream, source, failed_upstream = attempt.upstream, attempt.source, attempt.upstream
        was_never_sent = event.result in NEVER_SENT
        suspects = [upstream]
        if source is not None and not was_never_sent and not self._is_too_fast_for_source(event):
            suspects.append(source)
            status = event.cache_status
            if status in SOURCE_FAILURE_STATUSES or (
                not status and source.failure_rate >= upstream.failure_rate
            ):
                failed_upstream = source
        if event.result == TIMEOUT:
            # Recorded for the source, so that a fill that hangs does not make its cache look slow for hits.
            self._congestion.record_transfer(now, event.duration, request, source or failed_upstream)
            if failed_upstream.last_response_at > attempt.sent_at:
                return failed_upstream  # slow, not unresponsive
        else:
            upstream.last_response_at = now
        if event.result == NOT_CONNECTED:
            self._liveness.report_unresponsive(now, failed_upstream)
        for suspect in suspects:
            self._outliers.record_failure(suspect)
        if event.result == NOT_CONNECTED:
            self._outliers.eject(now, failed_upstream)
        else:
            self._outliers.eject_if_outlier(now, failed_upstream)
        return failed_upstream

    def _attribute_rejection(
        self, now: int, request: RequestState, attempt: Attempt, event: AttemptFinished
    ) -> Upstream:
        """Records a rejection for lack of capacity, by the upstream or by its source."""
        upstream, source, failed_upstream = attempt.upstream, attempt.source, attempt.upstream
        if source is not None and event.cache_status != CacheStatus.FILL_LIMIT_REACHED:
            failed_upstream = upstream if self._is_too_fast_for_source(event) else source
        backoff = REJECTION_BACKOFF_SHARE * request.request_class.average_transfer_time()
        failed_upstream.rejecting_until = now + int(backoff * self._deployment.local_router_count)
        upstream.last_response_at = now
        if failed_upstream is not source:
            return failed_upstream
        origin = self._upstreams.origin
        if origin is not None and self._is_origin_suspected(request, event):
            origin.rejecting_until = failed_upstream.rejecting_until
        if event.duration > request.request_class.definition.latency_target:
            # A rejection after the latency target counts as a failure: waiting for it made the request late.
            self._outliers.record_failure(failed_upstream)
            self._outliers.eject_if_outlier(now, failed_upstream)
        return failed_upstream

    def _is_origin_suspected(self, request: RequestState, event: AttemptFinished) -> bool:
        """Returns whether a parent may have rejected the request because the origin is at capacity.

        That is the case if the answer says so, or has no cache status and another parent has failed the
        request before.
        """
        if not self._deployment.origin_overload_multiple:
            return False
        if event.cache_status == CacheStatus.ORIGIN_FAILED:
            return True
        return not event.cache_status and any(
            each in self._upstreams.parents for each in request.failed_upstreams
        )

    def _is_too_fast_for_source(self, event: AttemptFinished) -> bool:
        """Returns whether the attempt ended too soon for a source to have been asked."""
        return event.duration <= ROUND_TRIP_BATCHES * self._deployment.min_batch_interval
