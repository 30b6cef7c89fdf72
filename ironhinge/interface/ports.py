"""Optional components that the router queries while it decides, where operators have enabled them."""

from __future__ import annotations

from typing import Protocol

from .events import RequestReceived


class FillBudget(Protocol):
    """The operators' limits on the bytes of fills; a router without a budget does not limit fills."""

    def wait_time(self, now: int, request: RequestReceived, source_id: str) -> int:
        """Returns 0 if the budget allows a fill from the source now, else the expected time until it does."""
        ...


class LocalStore(Protocol):
    """The router's own store of cached copies, where operators have configured one."""

    def lookup(self, now: int, request: RequestReceived) -> int:
        """Returns the age of the request's copy, -1 if there is none.

        Also counts the request; `should_store` uses these counts.
        """
        ...

    def should_store(self, now: int, request: RequestReceived) -> bool:
        """Returns whether the answer to the request is worth storing."""
        ...
