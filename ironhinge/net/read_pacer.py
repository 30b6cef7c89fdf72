"""Shares the processor among the clients: while it is busy, one that uses more than its share is read later.

Its own receive window then holds its peer back. Each connection has a credit of processor time, which fills
up with its share and from which its turns are paid. A connection without credit pauses until it has some,
unless all that are active have none: then they only take turns.
"""

from __future__ import annotations

from time import monotonic, thread_time

import anyio

MAX_TURN_TIME = 0.002  # seconds of processor time that one connection may use before other tasks run
MAX_CREDIT = 0.03  # seconds of processor time that a burst may use beyond the connection's share
INITIAL_CREDIT = 0.0005  # seconds; a client that floods may open a new connection again and again
MAX_DEBT = 0.03  # seconds
SHARED_CREDIT = 0.5  # of the processor: the rate at which all overdrawn credits together fill up
MAX_PAUSE = 0.5  # seconds
BUSY_UTILIZATION = 0.5  # of the processor; no connection pauses while less is used
BUSY_PERIOD = 1.0  # seconds for which the processor counts as busy after much use, or after a pause
MEASURE_INTERVAL = 0.05  # seconds between measurements of the utilization
ACTIVITY_PERIOD = 0.5  # seconds for which a connection with credit counts as active after a turn
COUNT_INTERVAL = 1.0  # seconds in which the overdrawn connections are counted


class ReadCredit:
    """The processor time that a connection may use before it is read later.

    Attributes:
        seconds: What is left; negative if it is overdrawn.
        updated_at: When it was last updated (monotonic seconds).
        overdrawn_in: The interval in which the connection was last overdrawn.
    """

    __slots__ = ("overdrawn_in", "seconds", "updated_at")

    def __init__(self) -> None:
        self.seconds = INITIAL_CREDIT
        self.updated_at = monotonic()
        self.overdrawn_in = -1


class ReadPacer:
    """Decides how long a connection pauses after a turn.

    Attributes:
        pauses: Pauses so far.
        interval: The number of the interval in which overdrawn connections are counted.
        overdrawn_lock: Held during a turn by a connection that was overdrawn in this interval or the one
            before: however many there are, only one has a turn before other tasks run.
    """

    def __init__(self, cores: float):
        """`cores` is the share of a processor that the process has; 0: a whole one."""
        self.pauses = 0
        self._cores = cores or 1.0
        self._measured_at = monotonic()
        self._measured_cpu = thread_time()
        self._busy_until = 0.0  # monotonic seconds
        self.interval = 1
        self.overdrawn_lock = anyio.Lock()
        self._interval_started_at = self._measured_at
        self._overdrawn_count = 0
        self._previous_overdrawn_count = 0
        self._share = 0.0  # of the processor, that each credit fills up with
        self._update_share()
        self._others_active_until = 0.0  # monotonic seconds; connections with credit

    def charge(self, credit: ReadCredit, cost: float) -> float:
        """Takes the cost of a turn off a credit; returns for how many seconds the connection should pause."""
        now = monotonic()
        if now > self._measured_at + MEASURE_INTERVAL:
            self._measure(now)
        seconds = credit.seconds + (now - credit.updated_at) * self._share
        credit.seconds = seconds = (seconds if seconds < MAX_CREDIT else MAX_CREDIT) - cost
        credit.updated_at = now
        if seconds >= 0:
            self._others_active_until = now + ACTIVITY_PERIOD
            return 0.0
        return self._pause_of(credit, now) if now < self._busy_until else 0.0

    def _pause_of(self, credit: ReadCredit, now: float) -> float:
        """Returns the pause of a connection without credit; 0 while there are no others."""
        credit.seconds = max(-MAX_DEBT, credit.seconds)
        if credit.overdrawn_in != self.interval:
            credit.overdrawn_in = self.interval
            self._overdrawn_count += 1
            self._update_share()
        if now > self._others_active_until:
            return 0.0
        self.pauses += 1
        self._busy_until = now + BUSY_PERIOD
        return min(MAX_PAUSE, -credit.seconds / self._share)

    def _update_share(self) -> None:
        overdrawn_count = max(1, self._overdrawn_count, self._previous_overdrawn_count)
        self._share = SHARED_CREDIT * self._cores / overdrawn_count

    def _measure(self, now: float) -> None:
        cpu = thread_time()
        utilization = (cpu - self._measured_cpu) / ((now - self._measured_at) * self._cores)
        self._measured_at, self._measured_cpu = now, cpu
        if utilization > BUSY_UTILIZATION:
            self._busy_until = now + BUSY_PERIOD
        if now > self._interval_started_at + COUNT_INTERVAL:
            self.interval += 1
            self._interval_started_at = now
            self._previous_overdrawn_count, self._overdrawn_count = self._overdrawn_count, 0
            self._update_share()
