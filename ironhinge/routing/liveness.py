"""Liveness: detects unresponsive upstreams before their attempts time out, so that they can be skipped.

Guards against upstreams that accept requests and never answer. Its drawback: an upstream whose only request
is merely slow may be taken for unresponsive.
"""

from __future__ import annotations

from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

# An attempt is overdue after this many times its transfer time plus the latency target of its class.
OVERDUE_MULTIPLE = 2.0


class LivenessMonitor:
    """Detects unresponsive upstreams; they are put into slow start, as they may have restarted."""

    __slots__ = ("_upstreams",)

    def __init__(self, upstreams: UpstreamRegistry):
        self._upstreams = upstreams

    def is_unresponsive(self, now: int, upstream: Upstream) -> bool:
        """Returns whether an attempt is overdue and the upstream has not responded since it was sent.

        A fill source is suspected only if the cache that asked it has responded since. An upstream found to
        be unresponsive is recorded as such: if it has restarted, it may be warming up before the endpoint
        list says so.
        """
        if not upstream.in_flight:
            return False
        last_response_at = upstream.last_response_at
        for attempt in reversed(upstream.in_flight.values()):  # latest first
            if attempt.sent_at < last_response_at:
                break
            if now > attempt.overdue_at:
                receiver = attempt.upstream
                if upstream is receiver or receiver.last_response_at > attempt.sent_at:
                    self.report_unresponsive(now, upstream)
                    return True
        return False

    def report_unresponsive(self, now: int, upstream: Upstream) -> None:
        """Records that an upstream is unresponsive."""
        upstream.unresponsive_since = now
        if upstream.is_local_cache:
            self._upstreams.maybe_warming[upstream] = None

    @staticmethod
    def record_response(now: int, sent_at: int, upstream: Upstream) -> None:
        """Records an answer of the upstream to an attempt sent at `sent_at`."""
        upstream.last_response_at = now
        if sent_at < upstream.unresponsive_since:  # a restart would have lost the attempt, so it was slow
            upstream.unresponsive_since = 0
