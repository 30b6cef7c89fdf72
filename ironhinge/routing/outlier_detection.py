"""Outlier detection: upstreams that fail more than their peers are ejected for a while.

They are let back in by single attempts. Guards against upstreams that are dead or failing. What fails
everywhere is no upstream's own fault and ejects none; that could do harm where most upstreams of a location
die at once.
"""

from __future__ import annotations

from .deterministic_random import DeterministicRandom
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

OUTCOME_WEIGHT = 0.25  # weight of the newest outcome in an upstream's failure rate
EJECTION_FAILURE_RATE = 0.7  # over that of its peers: an upstream is ejected
TRUSTED_FAILURE_RATE = 0.25  # below it, an upstream that was ejected is trusted again
RECOVERY_FACTOR = 0.5  # of the failure rate of an ejected upstream, for each success of its trials
MIN_EJECTION = 0.25  # length of the first ejection, in longest client timeouts; each next is twice as long
MAX_EJECTION = 4.0  # of the same
# Ejections are spread from 0.75 to 1.25 of their length, so that the trials of many routers do not coincide.
MIN_JITTER = 0.75
JITTER_RANGE = 0.5


class OutlierDetector:
    """Keeps the failure rates of upstreams and ejects outliers."""

    __slots__ = ("_longest_client_timeout", "_random", "_upstreams")

    def __init__(self, upstreams: UpstreamRegistry, random: DeterministicRandom, longest_client_timeout: int):
        self._upstreams, self._random = upstreams, random
        self._longest_client_timeout = longest_client_timeout

    @staticmethod
    def record_failure(upstream: Upstream) -> None:
        """Counts an attempt that the upstream may have failed."""
        upstream.failure_rate += OUTCOME_WEIGHT * (1 - upstream.failure_rate)

    @staticmethod
    def record_success(now: int, upstream: Upstream) -> None:
        """Counts an attempt that the upstream served; successful trials end an ejection for good."""
        upstream.failure_rate *= 1 - OUTCOME_WEIGHT
        if upstream.ejection_length and now >= upstream.ejected_until:
            upstream.failure_rate = min(upstream.failure_rate, EJECTION_FAILURE_RATE) * RECOVERY_FACTOR
            if upstream.failure_rate < TRUSTED_FAILURE_RATE:
                upstream.ejection_length = 0.0

    def eject_if_outlier(self, now: int, upstream: Upstream) -> None:
        """Ejects the upstream if it fails more than its peers by far."""
        registry = self._upstreams
        peers = registry.parents if upstream in registry.parents else registry.candidates.caches
        rates = [peer.failure_rate for peer in peers if peer is not upstream]
        peer_rate = sum(rates) / len(rates) if rates else 0.0
        if upstream.failure_rate > EJECTION_FAILURE_RATE + peer_rate:
            self.eject(now, upstream)

    def eject(self, now: int, upstream: Upstream) -> None:
        """Ejects the upstream, unless it is ejected already."""
        if now < upstream.ejected_until:
            return
        upstream.failure_rate = max(upstream.failure_rate, EJECTION_FAILURE_RATE)
        upstream.ejection_length = min(MAX_EJECTION, max(MIN_EJECTION, 2 * upstream.ejection_length))
        length = upstream.ejection_length * (MIN_JITTER + JITTER_RANGE * self._random.next_float())
        upstream.ejected_until = now + int(length * self._longest_client_timeout)
