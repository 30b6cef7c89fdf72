"""Where a request that may already have run can be sent again, and how long its attempts may take.

Guards the rule that no request takes effect twice: those that are not idempotent are only repeated where and
while the upstreams drop repeats of their idempotency keys.
"""

from __future__ import annotations

from ..interface import DedupScope, Idempotency
from .request_state import ROUND_TRIP_BATCHES, RequestState
from .upstreams import Upstream

ATTEMPT_TIME_MULTIPLE = 1.5  # an attempt may take this many times its transfer time before it can time out


def may_retry_on(now: int, request: RequestState, upstream: Upstream) -> bool:
    """Whether sending the request to the upstream cannot make it take effect twice."""
    first_attempt = request.possibly_run_attempt
    if first_attempt is None or request.request_class.is_idempotent:
        return True
    definition = request.request_class.definition
    if (
        definition.idempotency == Idempotency.NON_IDEMPOTENT
        or now >= first_attempt.sent_at + definition.dedup_window
    ):
        return False
    scope, endpoint, first_endpoint = definition.dedup_scope, upstream.endpoint, first_attempt.endpoint
    if scope == DedupScope.ZONE:
        return endpoint.zone == first_endpoint.zone
    if scope == DedupScope.CELL:
        return endpoint.cell == first_endpoint.cell
    return scope == DedupScope.ALL


def is_safe_to_repeat(now: int, request: RequestState) -> bool:
    """Whether the client may make the request again without a second effect, wherever that is sent."""
    definition, first_attempt = request.request_class.definition, request.possibly_run_attempt
    if first_attempt is None or request.request_class.is_idempotent:
        return True
    is_deduplicated = definition.idempotency == Idempotency.KEYED and definition.dedup_scope == DedupScope.ALL
    return is_deduplicated and now < first_attempt.sent_at + definition.dedup_window


def attempt_deadline(now: int, request: RequestState, min_batch_interval: int) -> int:
    """When an attempt that is sent now times out.

    An attempt that can be repeated leaves time for another one before the client gives up, in case its
    upstream never answers.
    """
    latest_deadline = request.client_deadline - ROUND_TRIP_BATCHES * min_batch_interval
    if not request.request_class.is_idempotent:
        return latest_deadline
    time_for_another = int(ATTEMPT_TIME_MULTIPLE * request.transfer_time)
    return min(latest_deadline, max(latest_deadline - time_for_another, now + (latest_deadline - now) // 2))


def start_deadline(request: RequestState) -> int:
    """When an attempt would run again if it began later, as its idempotency key is forgotten; 0: never."""
    first_attempt = request.possibly_run_attempt
    if first_attempt is None or request.request_class.is_idempotent:
        return 0
    return first_attempt.sent_at + request.request_class.definition.dedup_window
