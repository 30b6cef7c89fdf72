"""The event loop's look at its sockets, with the times of the looks."""

from __future__ import annotations

import selectors
from time import monotonic
from typing import Any, List, Optional


class Poll(selectors.DefaultSelector):
    """What a task reads was found one look before the latest, since the loop wakes tasks a turn later, and
    was not there yet at the look before that; so it has waited since then at most, however long the program
    was kept from running. Times are in seconds of the monotonic clock."""

    def __init__(self) -> None:
        super().__init__()
        self.since = self.found_at = self.looked_at = monotonic()

    def select(self, timeout: Optional[float] = None) -> List[Any]:
        found = super().select(timeout)
        self.since, self.found_at, self.looked_at = self.found_at, self.looked_at, monotonic()
        return found
