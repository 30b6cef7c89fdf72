"""Liveness: upstreams that owe an answer and show no sign of life are passed over before attempts time out.

Guards against upstreams that accept requests and never answer. Could do harm where the only request at an
upstream is merely slow.
"""

from __future__ import annotations

from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

OVERDUE_MULTIPLE = 2.0  # an attempt is overdue after this many times its transfer time, and its target


class LivenessMonitor:
    """Finds upstreams that are unresponsive; they count as just started, as they may have restarted."""

    __slots__ = ("_upstreams",)

    def __init__(self, upstreams: UpstreamRegistry):
        self._upstreams = upstreams

    def is_unresponsive(self, now: int, upstream: Upstream) -> bool:
        """Whether an attempt is overdue and the upstream has shown no sign of life since it was sent.

        A fill source is only suspected where the cache that asked it is alive. An upstream that is found
        unresponsive may come back warming up before the endpoint list says so.
        """
        if not upstream.in_flight:
            return False
        last_response_at = upstream.last_response_at
        for attempt in reversed(upstream.in_flight.values()):  # the latest first
            if attempt.sent_at < last_response_at:
                break
            if now > attempt.overdue_at:
                receiver = attempt.upstream
                if upstream is receiver or receiver.last_response_at > attempt.sent_at:
                    self.report_unresponsive(now, upstream)
                    return True
        return False

    def report_unresponsive(self, now: int, upstream: Upstream) -> None:
        """Records that an upstream has shown no sign of life."""
        upstream.unresponsive_since = now
        if upstream.is_local_cache:
            self._upstreams.maybe_warming[upstream] = None

    @staticmethod
    def record_response(now: int, sent_at: int, upstream: Upstream) -> None:
        """Records an answer to an attempt that was sent then."""
        upstream.last_response_at = now
        if sent_at < upstream.unresponsive_since:  # a restart would have lost it: it was only slow
            upstream.unresponsive_since = 0
