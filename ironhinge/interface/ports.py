"""What the decisions may ask of state that operators can turn on beside them."""

from __future__ import annotations

from typing import Protocol

from .events import RequestReceived


class FillBudget(Protocol):
    """Operators' budgets of bytes for fills; a router without one decides as if there were none."""

    def wait_time(self, now: int, request: RequestReceived, source_id: str) -> int:
        """0 when a fill from that source may go now, else the time until there should be room for it."""
        ...


class LocalStore(Protocol):
    """Copies of the router's own, where operators have given them a place."""

    def lookup(self, now: int, request: RequestReceived) -> int:
        """Counts a request; returns the age of the copy at hand, -1 where there is none."""
        ...

    def should_store(self, now: int, request: RequestReceived) -> bool:
        """Whether the answer to this request is worth keeping."""
        ...
