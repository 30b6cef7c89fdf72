"""When the next connection to the discovery service may be opened: backoff, jitter and a limit on the rate.

Hundreds of directors lose the service at the same time, and connections cost it most when it is overloaded.
Attempts that it refuses cost it nothing.
"""

from __future__ import annotations

import random

from .clock import MILLISECOND, SECOND

MIN_RECONNECT_PAUSE = 50 * MILLISECOND
MAX_RECONNECT_PAUSE = 400 * MILLISECOND  # the protocol counts events as delivered 2 s after a break
OPEN_INTERVAL = 2 * SECOND  # between two established connections, on average
# While second connections are established again and again. The protocol counts events as delivered 4 s after
# the service falls silent.
MAX_OPEN_INTERVAL = 3 * SECOND
BURST = 3  # established connections that may follow one another at once
CALM_TIME = 30 * SECOND  # without a second connection, after which the intervals are short again
JITTER_SHARE = 0.1  # of an interval, which it is prolonged by at most


def _prolonged(interval: int) -> int:
    return int(interval * (1 + JITTER_SHARE * random.random()))


class ConnectPacer:
    """Says when the next connection may be opened; all times are monotonic ticks."""

    def __init__(self) -> None:
        """Allows a connection at once."""
        self.reset()

    def reset(self) -> None:
        """Allows a connection at once, to a service at another address."""
        self._next_at = 0
        self._pause = MIN_RECONNECT_PAUSE
        self._interval = OPEN_INTERVAL
        self._opened_at = 0  # when a second connection was opened last
        self._rate_limited_until = 0  # instant at which no established connection counts any more

    def may_open(self, now: int) -> bool:
        """Returns whether a connection may be opened."""
        return now >= self.next_at()

    def next_at(self) -> int:
        """Returns when a connection may be opened."""
        return max(self._next_at, self._rate_limited_until - (BURST - 1) * OPEN_INTERVAL)

    def on_second_opened(self, now: int) -> None:
        """Records that connecting has begun beside a connection that is silent."""
        if now > self._opened_at + CALM_TIME:
            self._interval = OPEN_INTERVAL
        self._opened_at = now
        self._next_at = now + _prolonged(self._interval)

    def on_established(self, now: int, is_second: bool) -> None:
        """Records that a connection was established, which costs the service something."""
        if is_second:
            self._interval = min(MAX_OPEN_INTERVAL, 2 * self._interval)
        self._rate_limited_until = max(self._rate_limited_until, now) + _prolonged(OPEN_INTERVAL)

    def on_lost(self, now: int, has_received: bool) -> None:
        """Records that the peer ended a connection, or refused it: another one is due after a short pause."""
        self._pause = MIN_RECONNECT_PAUSE if has_received else min(MAX_RECONNECT_PAUSE, 2 * self._pause)
        self._next_at = now + int(self._pause * (1 + random.random()) / 2)
