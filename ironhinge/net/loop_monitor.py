"""The lag of the event loop, and the margin by which it shortens the deadlines of requests."""

from __future__ import annotations

from .clock import MILLISECOND, SECOND, Clock
from .connection import Connection

ALLOWED_LATENESS = 50 * MILLISECOND  # tolerance that the protocol adds to each of its time limits
LAG_DECAY_PERCENT = 97  # of the recorded lag that remains at the next maintenance run


class LoopMonitor:
    """Tracks how late the event loop runs.

    Attributes:
        loop_lag: The largest recent lag, in tenths of a millisecond; it decays with each maintenance run.
    """

    def __init__(self, clock: Clock):
        self.loop_lag = 0
        self._clock = clock

    def on_maintenance_run(self, due: int) -> None:
        """Records the lag of a maintenance run that was due at `due`."""
        self.loop_lag = max(self._clock.now() - due, self.loop_lag * LAG_DECAY_PERCENT // 100)

    def on_late_timer(self, lag: int) -> None:
        """Records the lag of a timer that fired late."""
        self.loop_lag = max(self.loop_lag, lag)

    def deadline_margin(self, connection: Connection, now: int) -> int:
        """Returns the time to subtract from the time remaining of a request that was read at `now`.

        It is the longest time that the request may have waited unread, also in the listen backlog, plus the
        loop lag, by which its timeout may be handled late, less the tolerance of the protocol. It is 0 on a
        machine that is not short of CPU or descriptors.
        """
        waited = now - int(connection.empty_until() * SECOND)
        return max(0, waited + self.loop_lag - ALLOWED_LATENESS)
