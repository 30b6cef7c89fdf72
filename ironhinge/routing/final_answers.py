"""The final answer of a request that no upstream could serve."""

from __future__ import annotations

from ..interface import FailRequest, RejectRequest
from .request_state import RequestState
from .retries import is_safe_to_repeat

RETRY_AFTER_SHARE = 0.25  # part of the time to spare before its target that a rejected client is to wait


def final_answer(now: int, request: RequestState, max_retry_after: int) -> RejectRequest | FailRequest:
    """A rejection where the client may safely try again, else a failure.

    A rejected client is told to come back while the target can still be met, or when a fill budget that had
    no room for the request should have some.
    """
    if not is_safe_to_repeat(now, request):
        return FailRequest(request.id)
    slack = max(0, request.target_at - now - request.transfer_time)
    retry_after = max(int(RETRY_AFTER_SHARE * slack), request.fill_budget_wait)
    return RejectRequest(request.id, min(max_retry_after, retry_after))
