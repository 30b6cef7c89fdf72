"""Remembers the requests that may have taken effect, so that none of them takes effect again.

A client whose request has ended, because it left or was answered, may send the same id once more. A request
that is not idempotent must then not be sent again. Ids are remembered for one to two periods; at the limit
none is forgotten early, and the router rejects new requests of these classes instead, which have not run.

The drawback is that a client which sends ever new ids can use up the limit for the others of these classes.
"""

from __future__ import annotations

MIN_PERIOD = 300_000  # ticks, 30 s
MAX_IDS = 20_000  # about 120 bytes each


class ExecutedRequests:
    """The ids of ended requests that may have taken effect, in two generations."""

    __slots__ = ("_current", "_current_started_at", "_period", "_previous")

    def __init__(self, longest_client_timeout: int):
        """An id is remembered for at least twice the longest client timeout (ticks)."""
        self._period = max(MIN_PERIOD, 2 * longest_client_timeout)
        self._current: set[str] = set()
        self._previous: set[str] = set()
        self._current_started_at = 0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def add(self, now: int, request_id: str) -> None:
        """Remembers an id."""
        self._forget_expired(now)
        self._current.add(request_id)

    def contains(self, now: int, request_id: str) -> bool:
        """Returns whether an id is remembered."""
        self._forget_expired(now)
        return request_id in self._current or request_id in self._previous

    def is_full(self) -> bool:
        """Returns whether no further request may be sent whose id would have to be remembered."""
        return len(self) >= MAX_IDS

    def _forget_expired(self, now: int) -> None:
        age = now - self._current_started_at
        if age < self._period:
            return
        self._previous = self._current if age < 2 * self._period else set()
        self._current = set()
        self._current_started_at = now
