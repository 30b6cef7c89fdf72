"""Slow start: limits the load on an upstream that started recently, with a token bucket per upstream.

Enforces the rule that no upstream in slow start is overloaded. With endpoint weights, this router may use an
equal share of the capacity. Without, it estimates its share from the load that it puts on warm upstreams of
the same kind: summed over all routers, these estimates stay below the capacity of such an upstream.

A request is sent if the token count is not negative, and may make it negative by its cost. The bucket starts
at a random negative count of up to the cost of a request, so that the first requests of many routers spread
over time. A count beyond a limit wraps around to the negative cost of a request: unused tokens expire. The
limit is chosen so that even if all routers have a request at the same time, their tokens together are at most
half of the margin that the rule allows beyond the sustained rate; the other half is for random variation. The
drawback: where many routers have few requests each, most tokens expire unused.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Deployment, WeightKind
from .deterministic_random import DeterministicRandom
from .request_state import RequestState
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

# An unresponsive upstream counts as warming up for this share of the slow start duration; after that time,
# the endpoint list would have reported a restart.
UNRESPONSIVE_SHARE = 0.25
SAFETY_SHARE = 0.75  # share of the limit that is used, as the capacity is only estimated
MIN_UTILIZATION = 0.1  # lower bound for the utilization of a warm upstream, whatever it reports
UTILIZATION_FIELD = "busy"  # of load reports


@dataclass(frozen=True, slots=True)
class TierLimits:
    """The slow start settings of one tier: caches or parents."""

    min_share: float
    duration: int
    overload_multiple: float
    sending_routers: int  # number of routers that send to the tier

    def share_at(self, age: int) -> float:
        """Returns the share of its full capacity that an upstream of this age has."""
        return self.min_share + (1 - self.min_share) * age / max(1, self.duration)


class SlowStart:
    """Limits what is sent to upstreams that are warming up."""

    __slots__ = (
        "_cache_limits",
        "_has_utilization",
        "_has_weights",
        "_overload_window",
        "_parent_kind",
        "_parent_limits",
        "_peak_capacity_by_kind",
        "_random",
        "_upstreams",
    )

    def __init__(self, deployment: Deployment, upstreams: UpstreamRegistry, random: DeterministicRandom):
        self._upstreams, self._random = upstreams, random
        self._parent_kind = deployment.parent_kind
        self._overload_window = deployment.overload_window
        self._has_weights = deployment.weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH)
        self._has_utilization = UTILIZATION_FIELD in deployment.load_report_fields
        self._peak_capacity_by_kind: dict[int, float] = {}  # highest estimates of warm upstreams so far
        self._cache_limits = TierLimits(
            deployment.slow_start_min_share,
            deployment.slow_start_duration,
            deployment.overload_multiple,
            deployment.local_router_count,
        )
        self._parent_limits = TierLimits(
            deployment.parent_slow_start_min_share,
            deployment.parent_slow_start_duration,
            deployment.parent_overload_multiple,
            deployment.router_count,
        )

    def is_warming_up(self, now: int, upstream: Upstream) -> bool:
        """Returns whether the upstream started or was unresponsive recently."""
        endpoint, unresponsive_since = upstream.endpoint, upstream.unresponsive_since
        limits = self._parent_limits if endpoint.kind == self._parent_kind else self._cache_limits
        duration = limits.duration
        if unresponsive_since and now < unresponsive_since + UNRESPONSIVE_SHARE * duration:
            return True
        return bool(endpoint.started_at) and now < endpoint.started_at + duration

    def cost(self, request: RequestState, upstream: Upstream) -> float:
        """Returns the number of tokens that the request takes.

        At a cache that is the average transfer time of the request's class, at a parent the request's own
        transfer time if that is longer.
        """
        average = request.request_class.average_transfer_time()
        if upstream.endpoint.kind == self._parent_kind:
            return max(request.transfer_time, average)
        return average

    def consume(self, request: RequestState, upstream: Upstream) -> None:
        """Takes the tokens of a request that is sent."""
        if upstream.tokens is not None:
            upstream.tokens -= self.cost(request, upstream)

    def allows(self, now: int, request: RequestState, upstream: Upstream) -> bool:
        """Returns whether the upstream is not in slow start or has tokens left; refills its tokens."""
        if upstream is self._upstreams.origin or not self.is_warming_up(now, upstream):
            upstream.tokens = None
            return True
        return self._refill(now, max(1, self.cost(request, upstream)), upstream) >= 0

    def _refill(self, now: int, cost: float, upstream: Upstream) -> float:
        """Adds the tokens accrued since the last call, expires excess ones and returns the new count."""
        is_parent = upstream.endpoint.kind == self._parent_kind
        limits = self._parent_limits if is_parent else self._cache_limits
        sending_routers, window = limits.sending_routers, self._overload_window
        rate = self._allowed_rate(now, upstream, limits)
        max_requests = rate * sending_routers * window / cost  # of all routers together, within the window
        # half of the margin of the rule, which is (1 - SAFETY_SHARE) n + 2 sqrt(n) + 2 for n requests
        max_tokens = cost * ((1 - SAFETY_SHARE) * max_requests / 2 + max_requests**0.5 + 1) / sending_routers
        if upstream.tokens is None:
            tokens = -self._random.next_float() * cost
        else:  # the rule always allows two requests per window from all routers together; one is used
            refill_rate = max(SAFETY_SHARE * rate, cost / (sending_routers * max(1, window)))
            tokens = upstream.tokens + refill_rate * (now - upstream.tokens_updated_at)
        if tokens > max_tokens:
            tokens = (tokens + cost) % (cost + max_tokens) - cost
        upstream.tokens, upstream.tokens_updated_at = tokens, now
        return tokens

    def _allowed_rate(self, now: int, upstream: Upstream, limits: TierLimits) -> float:
        """Returns the transfer time that this router may send to the upstream per unit of time."""
        endpoint = upstream.endpoint
        started_at = max(endpoint.started_at, upstream.unresponsive_since)
        share = limits.share_at(max(0, now - self._overload_window - started_at))
        if self._has_weights:
            capacity = endpoint.weight / limits.sending_routers
        else:
            capacity = self._capacity_of_kind(now, endpoint.kind)
        return limits.overload_multiple * share * capacity

    def _capacity_of_kind(self, now: int, kind: int) -> float:
        """Returns the capacity that a warm upstream of the kind has for this router.

        That is the total throughput of the warm upstreams divided by their total utilization, or by their
        number if load reports contain no utilization. The highest value so far counts, as a lower one may
        only mean that there were fewer requests.
        """
        peak = self._peak_capacity_by_kind.get(kind, 0.0)
        warm = [each for each in self._upstreams.peers_of_kind(kind) if self._is_warm(now, kind, each)]
        if not warm:
            return peak
        utilization = sum(each.utilization for each in warm) if self._has_utilization else len(warm)
        throughput = sum(each.throughput_at(now) for each in warm)
        peak = max(throughput / max(utilization, MIN_UTILIZATION * len(warm)), peak)
        self._peak_capacity_by_kind[kind] = peak
        return peak

    def _is_warm(self, now: int, kind: int, upstream: Upstream) -> bool:
        is_of_kind = upstream.endpoint.kind == kind
        return is_of_kind and not self.is_warming_up(now, upstream) and not upstream.ejection_length
