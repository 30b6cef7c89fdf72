"""Sends attempts: builds their commands and tracks the paths on which they are in flight."""

from __future__ import annotations

from ..interface import Deployment, SendAttempt, SendAttemptWithFill
from .liveness import OVERDUE_MULTIPLE
from .purges import PurgeLog
from .request_rates import AdmissionRank
from .request_state import RequestState
from .retries import attempt_deadline, start_deadline
from .slow_start import SlowStart
from .upstream_registry import UpstreamRegistry
from .upstreams import Attempt, Upstream


class AttemptSender:
    """Builds the commands that send attempts, and tracks the attempts in flight."""

    __slots__ = ("_deployment", "_purges", "_slow_start", "_upstreams")

    def __init__(
        self, deployment: Deployment, upstreams: UpstreamRegistry, slow_start: SlowStart, purges: PurgeLog
    ):
        self._deployment, self._upstreams = deployment, upstreams
        self._slow_start, self._purges = slow_start, purges

    def send(
        self, now: int, request: RequestState, upstream: Upstream, source: Upstream, rank: AdmissionRank
    ) -> SendAttempt | SendAttemptWithFill:
        """Builds the command that sends a request to an upstream, and tracks the attempt.

        It is `SendAttempt` if there is no fill source and the upstream is the origin, or a cache whose copies
        no purge restricts; else `SendAttemptWithFill`. A parent without a source fills from the origin.

        Args:
            now: The current time.
            request: The request; it has no attempt in flight.
            upstream: The upstream to which it is sent.
            source: The source from which a miss is filled; the upstream itself for no fill.
            rank: The rank with which the upstream stores the copy.
        """
        deployment, origin = self._deployment, self._upstreams.origin
        deadline = attempt_deadline(now, request, deployment.min_batch_interval)
        max_copy_age = self._purges.max_copy_age(now, request)
        kind = upstream.endpoint.kind
        is_cache = kind not in (deployment.parent_kind, deployment.origin_kind)
        command: SendAttempt | SendAttemptWithFill
        if source is upstream and (upstream is origin or (is_cache and not max_copy_age)):
            command = SendAttempt(request.id, upstream.id, deadline, start_deadline(request))
        else:
            if source is upstream and upstream in self._upstreams.parents and origin is not None:
                source = origin
            command = SendAttemptWithFill(
                request.id,
                upstream.id,
                deadline,
                source.id,
                rank,
                max_copy_age,
                deployment.coalesces_fills,
                source is not upstream and bool(request.request_class.definition.freshness_lifetime),
                self._is_cached_only(now, source),
                start_deadline(request),
            )
        self._track(now, request, upstream, source if source is not upstream else None)
        return command

    def _is_cached_only(self, now: int, source: Upstream) -> bool:
        """Returns whether the source may serve only a cached copy.

        This applies to parents while the origin may be at capacity, as each of them would send the
        origin another request on a miss.
        """
        origin = self._upstreams.origin
        return source in self._upstreams.parents and origin is not None and now < origin.rejecting_until

    def _track(self, now: int, request: RequestState, upstream: Upstream, source: Upstream | None) -> None:
        target = request.request_class.definition.latency_target
        overdue_at = now + OVERDUE_MULTIPLE * request.transfer_time + target
        attempt = request.attempt = Attempt(upstream, source, now, overdue_at, upstream.endpoint)
        request.attempt_count += 1
        request_id, in_flight_at_send = request.id, request.in_flight_at_send
        upstream.in_flight[request_id] = attempt
        in_flight_at_send[upstream] = len(upstream.in_flight)
        if source is not None:
            source.in_flight[request_id] = attempt
            in_flight_at_send[source] = len(source.in_flight)
        if source is not None or upstream.endpoint.zone != self._deployment.zone:
            ingress_link = self._upstreams.ingress_link
            ingress_link.in_flight[request_id] = attempt
            in_flight_at_send[ingress_link] = len(ingress_link.in_flight)
        self._slow_start.consume(request, upstream)
        if source is not None:
            self._slow_start.consume(request, source)

    def untrack(self, request: RequestState, attempt: Attempt) -> None:
        """Removes an attempt that has ended from its request and its paths."""
        request.attempt = None
        attempt.upstream.in_flight.pop(request.id, None)
        if attempt.source is not None:
            attempt.source.in_flight.pop(request.id, None)
        self._upstreams.ingress_link.in_flight.pop(request.id, None)
