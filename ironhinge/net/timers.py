"""The timers of a director: calls that are due at an instant, and can be cancelled."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

import anyio
from anyio import lowlevel

from .clock import SECOND, Clock

MIN_CANCELLED_TO_COMPACT = 64  # fewer cancelled timers are left in the heap until they are at the top


class Timer:
    """A scheduled call. Once it has been made or cancelled, the timer refers to nothing."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback


class Timers:
    """A heap of timers.

    A cancelled timer stays in the heap until it is at the top, or until half of the heap is cancelled.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._heap: list[tuple[int, int, Timer]] = []
        self._timer_count = 0  # orders timers that are due at the same time
        self._cancelled_count = 0  # timers in the heap that are cancelled
        self._earliest_changed = anyio.Event()  # set when a new timer is due before all others

    def __len__(self) -> int:
        """Returns the number of timers in the heap, cancelled ones included."""
        return len(self._heap)

    def schedule(self, due: int, callback: Callable[[], None]) -> Timer:
        """Schedules a call at an instant on the monotonic clock, in tenths of a millisecond."""
        timer = Timer(callback)
        self._timer_count += 1
        heappush(self._heap, (due, self._timer_count, timer))
        if self._heap[0][2] is timer:
            self._earliest_changed.set()
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancels a timer, unless its call has been made or it is cancelled already."""
        if timer.callback is None:
            return
        timer.callback = None
        self._cancelled_count += 1
        if self._cancelled_count >= max(MIN_CANCELLED_TO_COMPACT, len(self._heap) // 2):
            self._compact()

    def _compact(self) -> None:
        """Removes all cancelled timers, so that their number is bounded by that of the others."""
        self._heap = [entry for entry in self._heap if entry[2].callback is not None]
        heapify(self._heap)
        self._cancelled_count = 0

    def fire_due(self) -> None:
        """Makes the calls that are due, and removes cancelled timers from the top of the heap."""
        now = self._clock.now()
        while self._heap:
            due, _, timer = self._heap[0]
            callback = timer.callback
            if callback is not None and due > now:
                return
            heappop(self._heap)
            if callback is None:
                self._cancelled_count -= 1
            else:
                timer.callback = None
                callback()

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
