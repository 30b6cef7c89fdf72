"""The final answer of a request that no upstream could serve."""

from __future__ import annotations

from ..interface import FailRequest, RejectRequest
from .request_state import RequestState
from .retries import is_safe_to_repeat

RETRY_AFTER_SHARE = 0.25  # share of the slack before the request's target that its client should wait


def final_answer(now: int, request: RequestState, max_retry_after: int) -> RejectRequest | FailRequest:
    """Returns a rejection if the client may safely send the request again, else a failure.

    The retry delay of a rejection ends while the latency target can still be met, or when the fill budget is
    expected to allow the fill that it did not allow now, if that is later.
    """
    slack = max(0, request.target_at - now - request.transfer_time)
    retry_after = min(max_retry_after, max(int(RETRY_AFTER_SHARE * slack), request.fill_budget_wait))
    if not is_safe_to_repeat(now, request, retry_after):
        return FailRequest(request.id)
    return RejectRequest(request.id, retry_after)
