"""The timers of a director: deadlines of operations, and those that the decisions set."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

import anyio
from anyio import lowlevel

from .clock import SECOND, Clock
from .upstream import UpstreamOperation


class TimerHandler(Protocol):
    """What hears of timers that are due."""

    def on_timer(self, token: str) -> None:
        """A timer of the decisions is due."""

    def on_operation_due(self, operation: UpstreamOperation, due: int, now: int) -> None:
        """A deadline of an operation is due; it may have ended already."""


class Timers:
    """A heap of timers; those of operations that have ended are dropped unfired."""

    def __init__(self, clock: Clock, handler: TimerHandler):
        self._clock = clock
        self._handler = handler
        self._heap: list[tuple[int, int, str | UpstreamOperation]] = []
        self._timer_count = 0  # orders timers that are due at the same time
        self._earliest_changed = anyio.Event()  # a timer is due earlier than all others

    def schedule(self, due: int, target: str | UpstreamOperation) -> None:
        """Sets a timer for a token of the decisions or a deadline of an operation."""
        self._timer_count += 1
        heappush(self._heap, (due, self._timer_count, target))
        if self._heap[0][2] is target:
            self._earliest_changed.set()

    def fire_due(self) -> None:
        """Fires the timers that are due, and drops those at the top that nobody needs."""
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
        """Fires timers for as long as the program runs; `flush` writes what they caused."""
        while True:
            self._earliest_changed = anyio.Event()
            self.fire_due()
            flush()
            wait = self._heap[0][0] - self._clock.now() if self._heap else SECOND
            with anyio.move_on_after(max(0, self._clock.seconds(wait))):
                await self._earliest_changed.wait()
            # after a pause of the program, answers are read before timeouts count
            await lowlevel.checkpoint()
