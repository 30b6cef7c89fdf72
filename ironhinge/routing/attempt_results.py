"""Records the results of attempts in the state of upstreams and requests."""

from __future__ import annotations

from ..interface import AttemptFinished, AttemptResult, CacheStatus, Deployment
from .congestion import CongestionControl
from .failure_attribution import FailureAttribution
from .liveness import LivenessMonitor
from .outlier_detection import OutlierDetector
from .request_state import RequestState
from .slow_start import UTILIZATION_FIELD
from .upstream_registry import UpstreamRegistry
from .upstreams import Attempt, Upstream

UTILIZATION_WEIGHT = 0.25  # weight of the newest load report in an upstream's average utilization
DONE = AttemptResult.DONE
MISS = AttemptResult.MISS
# Results that say nothing about the upstream's health.
NEUTRAL_RESULTS = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)
MAY_HAVE_RUN_RESULTS = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
)
FILLED_STATUSES = (CacheStatus.FILLED_FROM_SOURCE, CacheStatus.FILLED_FROM_ORIGIN, CacheStatus.JOINED_FILL)


class AttemptResults:
    """Updates upstreams, fill sources and requests when an attempt ends or a load report arrives."""

    __slots__ = (
        "_attribution",
        "_congestion",
        "_deployment",
        "_liveness",
        "_outliers",
        "_upstreams",
        "_utilization_index",
    )

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
        self._attribution = FailureAttribution(deployment, upstreams, congestion, liveness, outliers)
        fields = deployment.load_report_fields
        self._utilization_index = fields.index(UTILIZATION_FIELD) if UTILIZATION_FIELD in fields else None

    def record_load_report(self, upstream: Upstream, report: tuple[float, ...] | None) -> None:
        """Adds the reported utilization to the upstream's average, if load reports contain it."""
        if report and self._utilization_index is not None:
            utilization = min(1.0, report[self._utilization_index])
            upstream.utilization += UTILIZATION_WEIGHT * (utilization - upstream.utilization)

    def record_result(
        self, now: int, request: RequestState, attempt: Attempt, event: AttemptFinished
    ) -> None:
        """Records how an attempt of the request ended; the attempt must no longer be tracked as in flight."""
        result = event.result
        if result == DONE:
            self._record_done(now, request, attempt, event)
        elif result == MISS:
            self._record_miss(now, request, attempt)
        elif result not in NEUTRAL_RESULTS:
            failed_upstream = self._attribution.attribute_failure(now, request, attempt, event)
            request.failed_upstreams.append(failed_upstream)
        if request.possibly_run_attempt is None and result in MAY_HAVE_RUN_RESULTS:
            request.possibly_run_attempt = attempt

    def _record_done(self, now: int, request: RequestState, attempt: Attempt, event: AttemptFinished) -> None:
        """Records a successful attempt.

        The duration of a fill counts towards the congestion of its source, not of the cache, so that the
        cache's estimate reflects only its hits.
        """
        upstream, duration = attempt.upstream, event.duration
        fill_source = attempt.source if event.cache_status in FILLED_STATUSES else None
        self._record_success(now, attempt, upstream, request.transfer_time)
        if not request.size:
            request.request_class.record_transfer_time(duration)
        if fill_source is not None:
            self._record_success(now, attempt, fill_source, request.transfer_time)
        if fill_source is not None or attempt.endpoint.zone != self._deployment.zone:
            self._congestion.record_transfer(now, duration, request, self._upstreams.ingress_link)
        self._congestion.record_transfer(now, duration, request, fill_source or upstream)

    def _record_miss(self, now: int, request: RequestState, attempt: Attempt) -> None:
        source = attempt.source
        self._record_success(now, attempt, attempt.upstream, 0)
        request.misses.append(attempt.upstream)
        if source is None:
            return
        if source is self._upstreams.origin:
            request.failed_upstreams.append(source)
        else:  # all fills of an object go to one parent, so no other parent has a copy either
            request.failed_upstreams += self._upstreams.parents

    def _record_success(self, now: int, attempt: Attempt, upstream: Upstream, transfer_time: int) -> None:
        self._liveness.record_response(now, attempt.sent_at, upstream)
        upstream.record_throughput(now, transfer_time)
        self._outliers.record_success(now, upstream)
