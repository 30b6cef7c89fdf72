"""Attempts in flight that may transfer bytes, and how those bytes are classified and charged."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..interface import AttemptResult, CacheStatus, RequestReceived
from .budget import Allowance
from .types import AttemptEnded, Outcome, Route, TransferKind

_DONE = AttemptResult.DONE
_STALE_HIT = CacheStatus.STALE_HIT
_FILLED_FROM_ORIGIN = CacheStatus.FILLED_FROM_ORIGIN


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that was sent and has not ended."""

    request: RequestReceived
    source_id: str
    route: Route
    destination_zone: int
    source_zone: int
    started_at: int
    stores_copy: bool
    revalidates: bool
    diverted: bool
    is_repeat: bool  # an earlier attempt of its request has transferred bytes
    allowances: Sequence[Allowance] = ()  # the allowances that it was charged to
    charged: float = 0.0  # bytes charged to each allowance

    def outcome(self, event: AttemptEnded) -> Outcome:
        """Returns the outcome of the bytes that the attempt transferred."""
        is_unread = event.client_disconnected and event.body_size is None
        if event.result != _DONE or is_unread or event.cache_status == _STALE_HIT:
            return Outcome.WASTED
        if self.is_repeat:
            return Outcome.REPEATED
        return Outcome.STORED if self.stores_copy else Outcome.PASSED_THROUGH

    def kind(self, event: AttemptEnded) -> TransferKind:
        """Returns the kind under which the transferred bytes are counted."""
        return TransferKind(
            self.destination_zone,
            self.source_zone,
            self.route,
            self.outcome(event),
            self.request.class_index,
            self.diverted,
        )

    def origin_bytes(self, event: AttemptEnded, transferred: int) -> int:
        """Returns the bytes that the hub fetched from the origin for this attempt."""
        from_origin = event.cache_status == _FILLED_FROM_ORIGIN and self.route is not Route.ORIGIN
        return transferred if from_origin else 0

    def charge(self, allowances: Sequence[Allowance], size: float) -> None:
        """Charges the largest size that the attempt is expected to need to each allowance."""
        self.allowances, self.charged = allowances, size
        for allowance in allowances:
            allowance.charge(size)

    def settle(self, transferred: int) -> None:
        """Replaces the charge with the transferred bytes in each allowance that was charged."""
        for allowance in self.allowances:
            allowance.settle(self.charged, transferred)
