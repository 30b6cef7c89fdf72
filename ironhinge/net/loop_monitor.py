"""How late the program runs, and what that takes off the time of the requests that it reads."""

from __future__ import annotations

from .clock import MILLISECOND, SECOND, Clock
from .connection import Connection

ALLOWED_LATENESS = 50 * MILLISECOND  # each limit of the protocol is longer by this
LAG_DECAY_PERCENT = 97  # of the lag seen that still counts with the next pulse


class LoopMonitor:
    """The most that the event loop was late, fading."""

    def __init__(self, clock: Clock):
        self.loop_lag = 0
        self._clock = clock

    def on_maintenance_run(self, due: int) -> None:
        """A pulse that was due at that time has come."""
        self.loop_lag = max(self._clock.now() - due, self.loop_lag * LAG_DECAY_PERCENT // 100)

    def on_late_timer(self, lag: int) -> None:
        """A timer fired that late."""
        self.loop_lag = max(self.loop_lag, lag)

    def deadline_margin(self, connection: Connection, now: int) -> int:
        """What comes off the time of a request that was just read, as of that instant.

        What it may have waited, in the backlog too, and what its end may come late by, beyond what the
        protocol allows. It is 0 on a machine that is not short of CPU or descriptors.
        """
        waited = now - int(connection.empty_until() * SECOND)
        return max(0, waited + self.loop_lag - ALLOWED_LATENESS)
