"""A selector that records until when each socket had nothing to read, even if the process was stopped."""

from __future__ import annotations

import selectors
from math import inf
from time import monotonic
from typing import Any

LONG_POLL_THRESHOLD = 0.005  # seconds; a longer poll is repeated, as its start is too imprecise
NEVER = -inf


class TimedSelector(selectors.DefaultSelector):
    """The event loop's selector, with the times at which polls found nothing to read.

    A socket that a poll did not find readable had nothing to read when the poll began. A long poll may have
    waited for other sockets, or the process may have been stopped during it; it is repeated without waiting,
    so that its time is precise. Data that is read from a socket arrived after the last poll that found
    nothing there, however many turns of the event loop pass until a task reads it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._poll_number = 0
        self._polled_at = NEVER  # time of the latest poll
        self._first_polls: dict[int, int] = {}  # by descriptor, the number of the first poll that includes it
        self._empty_until: dict[int, float] = {}  # by descriptor found readable, the time of the poll before

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Registers like `selectors.DefaultSelector.register`."""
        key = super().register(fileobj, events, data)
        self._first_polls[key.fd] = self._poll_number + 1
        self._empty_until.pop(key.fd, None)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Changes a registration like `selectors.DefaultSelector.modify`."""
        was_polled = self.get_key(fileobj).events & selectors.EVENT_READ
        key = super().modify(fileobj, events, data)
        if not was_polled:
            self._first_polls[key.fd] = self._poll_number + 1
            self._empty_until.pop(key.fd, None)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls the sockets like `selectors.DefaultSelector.select`, and records the times."""
        polled_at = monotonic()
        ready = super().select(timeout)
        ended_at = monotonic()
        if ended_at > polled_at + LONG_POLL_THRESHOLD:
            if ready or timeout is None:
                polled_at = ended_at
                ready = super().select(0)
            else:  # nothing was readable until the timeout
                polled_at += max(0.0, timeout)
        for key, events in ready:
            descriptor = key.fd
            if events & selectors.EVENT_READ and descriptor not in self._empty_until:
                was_polled_before = self._first_polls[descriptor] <= self._poll_number
                self._empty_until[descriptor] = self._polled_at if was_polled_before else NEVER
        self._poll_number += 1
        self._polled_at = polled_at
        return ready

    def empty_until(self, descriptor: int) -> float:
        """Returns the time of the latest poll that found nothing to read on a socket; `NEVER`: none did.

        The descriptor has to be registered, or to have been found readable during its latest registration.

        Returns:
            Monotonic seconds.
        """
        if self._first_polls.get(descriptor, self._poll_number + 1) > self._poll_number:
            return NEVER
        return self._empty_until.get(descriptor, self._polled_at)

    def end_polling(self, descriptor: int) -> float:
        """Returns what `empty_until` does and deletes it, as another socket may get the same descriptor."""
        if self._first_polls.pop(descriptor, self._poll_number + 1) > self._poll_number:
            return NEVER
        return self._empty_until.pop(descriptor, self._polled_at)
