"""A selector that remembers when it polled, to bound how long data may have waited to be read."""

from __future__ import annotations

import selectors
from time import monotonic
from typing import Any

STALL_THRESHOLD = 0.03  # seconds by which the event loop is late when the process was kept from running
STALL_EFFECT = 0.1  # seconds after a stall in which data that arrived during it may still be unread


class TimedSelector(selectors.DefaultSelector):
    """The event loop's selector, with the times of its polls.

    The loop wakes tasks one turn after the poll that found their sockets ready. So what a task reads was
    found one poll before the latest, and had not arrived at the poll before that: it has waited since then
    at most, however long the process was kept from running.

    Attributes (seconds of the monotonic clock):
        previous_found_at: The poll before the one that found what tasks read now.
        found_at: The poll that found what tasks read now.
        last_polled_at: The latest poll.
        stalled_from, stalled_until: When the process was last kept from running.
    """

    def __init__(self) -> None:
        super().__init__()
        self.previous_found_at = self.found_at = self.last_polled_at = monotonic()
        self.stalled_from = self.stalled_until = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Polls the sockets like `selectors.DefaultSelector.select`, and records the times."""
        began = monotonic()
        ready = super().select(timeout)
        now = monotonic()
        if began > self.last_polled_at + STALL_THRESHOLD:  # stalled between two polls
            self.stalled_from, self.stalled_until = self.last_polled_at, now
        elif timeout is not None and now > began + max(0.0, timeout) + STALL_THRESHOLD:  # stalled in this one
            self.stalled_from, self.stalled_until = began, now
        self.previous_found_at, self.found_at, self.last_polled_at = self.found_at, self.last_polled_at, now
        return ready

    def unread_since(self) -> float:
        """Returns a time (monotonic seconds) after which everything that is read now has arrived.

        Some tasks need a further turn to wake: shortly after a stall, anything read may have arrived in it.
        """
        if monotonic() < self.stalled_until + STALL_EFFECT:
            return min(self.previous_found_at, self.stalled_from)
        return self.previous_found_at
