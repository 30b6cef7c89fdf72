"""A selector that knows until when each socket had nothing to read, however long the process was stopped."""

from __future__ import annotations

import selectors
from math import inf
from time import monotonic
from typing import Any

LONG_POLL_THRESHOLD = (
    0.005  # seconds from which on the time of a poll has to be known better than by its start
)
NEVER = -inf


class TimedSelector(selectors.DefaultSelector):
    """The event loop's selector, with the times at which polls found nothing to read.

    A socket that was polled and not found readable had nothing to read when that poll began. A poll that took
    long may have waited for other sockets, or the process may have been stopped within it; it is repeated
    without waiting, so that its time is known. What is read from a socket arrived after the last poll that
    found nothing there, however many turns of the event loop pass until a task reads it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._poll_number = 0
        self._polled_at = NEVER  # the start of the latest poll
        self._first_polls: dict[int, int] = {}  # the first poll that a descriptor takes part in
        self._empty_until: dict[int, float] = {}  # of the descriptors that were found readable

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
            else:  # it found nothing for all of its time
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
        """Returns until when a poll knows that a socket had nothing to read; `NEVER` if none does.

        The descriptor has to be registered, or to have been found readable by its latest registration.

        Returns:
            Monotonic seconds.
        """
        if self._first_polls.get(descriptor, self._poll_number + 1) > self._poll_number:
            return NEVER
        return self._empty_until.get(descriptor, self._polled_at)

    def end_polling(self, descriptor: int) -> float:
        """Returns what `empty_until` does, and forgets it: another socket may get that number."""
        if self._first_polls.pop(descriptor, self._poll_number + 1) > self._poll_number:
            return NEVER
        return self._empty_until.pop(descriptor, self._polled_at)
