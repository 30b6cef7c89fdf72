"""Decides where a request that may already have run can be retried, and when its attempts time out.

Enforces the rule that no request takes effect twice: a request that is not idempotent is retried only on
upstreams that drop repeats of its idempotency key, and only while they remember the key.
"""

from __future__ import annotations

from ..interface import DedupScope, Idempotency
from .request_state import ROUND_TRIP_BATCHES, RequestState
from .upstreams import Upstream

ATTEMPT_TIME_MULTIPLE = 1.5  # time reserved for a further attempt, in transfer times of the request

# Ticks from a rejection to the arrival of the client's repeat at an upstream: each direction of the network
# may take 0.3 s.
MAX_REPEAT_DELAY = 6500


def may_retry_on(now: int, request: RequestState, upstream: Upstream) -> bool:
    """Returns whether the request can be sent to the upstream without a risk that it takes effect twice."""
    first = request.possibly_run_attempt
    if first is None or request.request_class.is_idempotent:
        return True
    definition = request.request_class.definition
    if definition.idempotency == Idempotency.NON_IDEMPOTENT or now >= first.sent_at + definition.dedup_window:
        return False
    scope, endpoint, first_endpoint = definition.dedup_scope, upstream.endpoint, first.endpoint
    if scope == DedupScope.ZONE:
        return endpoint.zone == first_endpoint.zone
    if scope == DedupScope.CELL:
        return endpoint.cell == first_endpoint.cell
    return scope == DedupScope.ALL


def is_safe_to_repeat(now: int, request: RequestState, retry_after: int) -> bool:
    """Returns whether a client that waits `retry_after` may repeat the request without a second effect.

    Its repeat, to any upstream, has to arrive while upstreams remember the request's idempotency key.
    """
    definition, first = request.request_class.definition, request.possibly_run_attempt
    if first is None or request.request_class.is_idempotent:
        return True
    is_deduplicated = definition.idempotency == Idempotency.KEYED and definition.dedup_scope == DedupScope.ALL
    repeated_at = now + retry_after + MAX_REPEAT_DELAY
    return is_deduplicated and repeated_at < first.sent_at + definition.dedup_window


def attempt_deadline(now: int, request: RequestState, min_batch_interval: int) -> int:
    """Returns the deadline of an attempt that is sent now.

    An attempt of an idempotent request leaves time for another one before the client's own timeout, in case
    the upstream never answers, but takes at least half of the time remaining.
    """
    latest_deadline = request.client_deadline - ROUND_TRIP_BATCHES * min_batch_interval
    if not request.request_class.is_idempotent:
        return latest_deadline
    time_for_another = int(ATTEMPT_TIME_MULTIPLE * request.transfer_time)
    return min(latest_deadline, max(latest_deadline - time_for_another, now + (latest_deadline - now) // 2))


def start_deadline(request: RequestState) -> int:
    """Returns when upstreams may forget the idempotency key of a request that may have run.

    An attempt that starts later might make the request take effect twice. 0 means that there is no limit.
    """
    first = request.possibly_run_attempt
    if first is None or request.request_class.is_idempotent:
        return 0
    return first.sent_at + request.request_class.definition.dedup_window
