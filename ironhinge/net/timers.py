"""The timers of a director: the deadlines of operations, and the timers that the router sets."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

import anyio
from anyio import lowlevel

from .clock import SECOND, Clock
from .upstream import UpstreamOperation


class TimerHandler(Protocol):
    """Handles timers that are due."""

    def on_timer(self, token: str) -> None:
        """Handles a due timer of the router."""

    def on_operation_due(self, operation: UpstreamOperation, due: int, now: int) -> None:
        """Handles a due deadline of an operation; the operation may have ended already."""


class Timers:
    """A heap of timers.

    The timer of an operation that has ended is removed as soon as it is at the top, before it is due.
    """

    def __init__(self, clock: Clock, handler: TimerHandler):
        self._clock = clock
        self._handler = handler
        self._heap: list[tuple[int, int, str | UpstreamOperation]] = []
        self._timer_count = 0  # orders timers that are due at the same time
        self._earliest_changed = anyio.Event()  # set when a new timer is due before all others

    def schedule(self, due: int, target: str | UpstreamOperation) -> None:
        """Sets a timer for a token of the router, or for a deadline of an operation."""
        self._timer_count += 1
        heappush(self._heap, (due, self._timer_count, target))
        if self._heap[0][2] is target:
            self._earliest_changed.set()

    def fire_due(self) -> None:
        """Fires the due timers, and removes timers of operations that have ended from the top of the heap."""
        now = self._clock.now()
        while self._heap:
            due, _, target = self._heap[0]
            if isinstance(target, str):
                if due > now:
                    return
                heappop(self._heap)
                self._handler.on_timer(target)
            else:
                if due > now and not target.is_finished:
                    return
                heappop(self._heap)
                self._handler.on_operation_due(target, due, now)

    async def run(self, flush: Callable[[], None]) -> None:
        """Fires timers until cancelled; `flush` writes the output that they cause."""
        while True:
            self._earliest_changed = anyio.Event()
            self.fire_due()
            flush()
            wait = self._heap[0][0] - self._clock.now() if self._heap else SECOND
            with anyio.move_on_after(max(0, self._clock.seconds(wait))):
                await self._earliest_changed.wait()
            # if the process was stopped, other tasks read the answers that have arrived before timers fire
            await lowlevel.checkpoint()
