"""How late the frames of a discovery connection arrive, as far as the connection itself shows it.

The service writes an empty frame each second. The first one is written after the events were requested, so
it is late by no more than the time since the request. From then on each frame is as late as the one before
it, plus the time between the two arrivals, less the time between the two writes.

Time stamps are not used: the clock that they are taken from may be stepped.
"""

from __future__ import annotations

from .clock import MILLISECOND, SECOND

KEEPALIVE_INTERVAL = SECOND  # between two empty frames, by the protocol
# per frame; forgets what differing clock rates and rounding add up to
FORGOTTEN_PER_FRAME = 20 * MILLISECOND
FLOOR_TOLERANCE = 100 * MILLISECOND  # by which a frame has to arrive early to show that the path is faster


class DeliveryDelay:
    """An estimate, which is too high by up to a second, of how late the latest frames have arrived."""

    def __init__(self, now: int):
        """Starts when connecting begins (monotonic ticks)."""
        self._measured_from = now  # when events were requested, or the last empty frame arrived
        self._last_arrival = now
        self._delay = 0
        self._floor = 0  # the frames are late by this much at least
        self._has_measured = False

    def on_requested(self, now: int) -> None:
        """Records that events were requested from the service."""
        self._measured_from = self._last_arrival = now

    def on_bytes(self, now: int) -> None:
        """Records that bytes have arrived."""
        self._last_arrival = now

    def on_keepalive(self, now: int) -> None:
        """Records that an empty frame has arrived."""
        elapsed = now - self._measured_from
        self._measured_from = self._last_arrival = now
        if not self._has_measured:
            self._has_measured = True
            self._delay = elapsed
            self._floor = max(0, elapsed - KEEPALIVE_INTERVAL)
            return
        delay = max(0, self._delay + elapsed - KEEPALIVE_INTERVAL)
        if delay < self._floor - FLOOR_TOLERANCE:
            self._floor = delay
        self._delay = max(self._floor, delay - FORGOTTEN_PER_FRAME)

    def at(self, now: int) -> int:
        """Returns the estimate in ticks; it grows while frames are overdue."""
        return self._delay + max(0, now - self._last_arrival - KEEPALIVE_INTERVAL)
