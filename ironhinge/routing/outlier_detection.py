"""Outlier detection: temporarily ejects upstreams that fail much more often than their peers.

Guards against upstreams that are dead or failing. After its ejection, an upstream gets single attempts as
trials until it is trusted again. Failures that affect all peers alike eject none of them, as they are not the
fault of one upstream; the drawback is that no upstream may be ejected when most of a location die at once.
"""

from __future__ import annotations

from .deterministic_random import DeterministicRandom
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

OUTCOME_WEIGHT = 0.25  # weight of the newest outcome in an upstream's failure rate
EJECTION_FAILURE_RATE = 0.7  # an upstream is ejected if its failure rate exceeds its peers' by more than this
TRUSTED_FAILURE_RATE = 0.25  # below this, an upstream that was ejected is trusted again
RECOVERY_FACTOR = 0.5  # each successful trial after an ejection multiplies the failure rate by this
# Lengths of the first and of the longest ejection, as multiples of the longest client timeout; each further
# ejection of an upstream that is not trusted yet is twice as long as the one before.
MIN_EJECTION = 0.25
MAX_EJECTION = 4.0
# Ejections last 0.75 to 1.25 times their nominal length, at random, so that trials of routers do not
# coincide.
MIN_JITTER = 0.75
JITTER_RANGE = 0.5


class OutlierDetector:
    """Maintains the failure rates of upstreams and ejects outliers."""

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
        """Counts an attempt that the upstream served; enough successful trials make it trusted again."""
        upstream.failure_rate *= 1 - OUTCOME_WEIGHT
        if upstream.ejection_length and now >= upstream.ejected_until:
            upstream.failure_rate = min(upstream.failure_rate, EJECTION_FAILURE_RATE) * RECOVERY_FACTOR
            if upstream.failure_rate < TRUSTED_FAILURE_RATE:
                upstream.ejection_length = 0.0

    def eject_if_outlier(self, now: int, upstream: Upstream) -> None:
        """Ejects the upstream if its failure rate is far above the average of its peers."""
        registry = self._upstreams
        peers = registry.parents if upstream in registry.parents else registry.candidates.caches
        rates = [peer.failure_rate for peer in peers if peer is not upstream]
        peer_rate = sum(rates) / len(rates) if rates else 0.0
        if upstream.failure_rate > EJECTION_FAILURE_RATE + peer_rate:
            self.eject(now, upstream)

    def eject(self, now: int, upstream: Upstream) -> None:
        """Ejects the upstream, unless it is ejected already; repeated ejections double in length."""
        if now < upstream.ejected_until:
            return
        upstream.failure_rate = max(upstream.failure_rate, EJECTION_FAILURE_RATE)
        upstream.ejection_length = min(MAX_EJECTION, max(MIN_EJECTION, 2 * upstream.ejection_length))
        length = upstream.ejection_length * (MIN_JITTER + JITTER_RANGE * self._random.next_float())
        upstream.ejected_until = now + int(length * self._longest_client_timeout)
