"""The event loop's look at its sockets, with the times of the looks."""

from __future__ import annotations

import selectors
from time import monotonic
from typing import Any

STALL = 0.03  # seconds by which the loop is late when it was kept from running
STALL_LASTS = 0.1  # seconds after a stall in which what came in it may still be unread


class TimedSelector(selectors.DefaultSelector):
    """What a task reads was found one look before the latest, since the loop wakes tasks a turn later, and
    was not there yet at the look before that; so it has waited since then at most, however long the program
    was kept from running. Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self.previous_found_at = self.found_at = self.last_polled_at = monotonic()
        self.stalled_from = self.stalled_until = 0.0  # when the program last was kept from running

    def select(self, timeout: float | None = None) -> list[Any]:
        began = monotonic()
        found = super().select(timeout)
        now = monotonic()
        if began > self.last_polled_at + STALL:  # between two looks
            self.stalled_from, self.stalled_until = self.last_polled_at, now
        elif timeout is not None and now > began + max(0.0, timeout) + STALL:  # in this one
            self.stalled_from, self.stalled_until = began, now
        self.previous_found_at, self.found_at, self.last_polled_at = self.found_at, self.last_polled_at, now
        return found

    def unread_since(self) -> float:
        """What is read now has come after this. Some tasks take a turn more to wake: shortly after a stall
        all that is read may have come in it.
        """
        if monotonic() < self.stalled_until + STALL_LASTS:
            return min(self.previous_found_at, self.stalled_from)
        return self.previous_found_at
