"""Shares the processor among the clients: while it is busy, one that uses more than its share is read later.

Its own receive window then holds its peer back. Each connection has a credit of processor time, which fills
up with its share and from which its turns are paid. A connection without credit pauses until it has some.
"""

from __future__ import annotations

from time import monotonic, thread_time

MAX_TURN_TIME = 0.002  # seconds of processor time that one connection may use before other tasks run
MAX_CREDIT = 0.03  # seconds of processor time that a burst may use beyond the connection's share
INITIAL_CREDIT = 0.0005  # seconds; a client that floods may open a new connection again and again
MAX_DEBT = 0.03  # seconds
SHARED_CREDIT = 0.5  # of the processor: the rate at which all overdrawn credits together fill up
MAX_CREDIT_SHARE = 0.1  # of the processor: the rate at which one credit fills up
MAX_PAUSE = 0.5  # seconds
BUSY_UTILIZATION = 0.5  # of the processor; no connection pauses while less is used
BUSY_PERIOD = 1.0  # seconds for which the processor counts as busy after much use, or after a pause
MEASURE_INTERVAL = 0.05  # seconds between measurements of the utilization
COUNT_INTERVAL = 1.0  # seconds in which the overdrawn connections are counted


class ReadCredit:
    """The processor time that a connection may use before it is read later.

    Attributes:
        seconds: What is left; negative if it is overdrawn.
        updated_at: When it was last updated (monotonic seconds).
        counted_in: The interval in which the connection was last counted as overdrawn.
    """

    __slots__ = ("counted_in", "seconds", "updated_at")

    def __init__(self) -> None:
        self.seconds = INITIAL_CREDIT
        self.updated_at = monotonic()
        self.counted_in = 0


class ReadTurn:
    """One turn of a connection: measures the processor time of its reads, and of what they cause."""

    __slots__ = ("_began_at",)

    def __init__(self) -> None:
        self._began_at = thread_time()

    def cost(self) -> float:
        """Returns the processor time that has been used, in seconds."""
        return thread_time() - self._began_at

    def is_over(self) -> bool:
        """Returns whether other tasks should run before more is read."""
        return self.cost() >= MAX_TURN_TIME


class ReadPacer:
    """Decides how long a connection pauses after a turn.

    Attributes:
        pauses: Pauses so far.
    """

    def __init__(self, cores: float):
        """`cores` is the share of a processor that the process has; 0: a whole one."""
        self.pauses = 0
        self._cores = cores or 1.0
        self._measured_at = monotonic()
        self._measured_cpu = thread_time()
        self._busy_until = 0.0  # monotonic seconds
        self._interval = 1  # number of the interval in which overdrawn connections are counted
        self._interval_began_at = self._measured_at
        self._overdrawn_count = 0
        self._previous_overdrawn_count = 0

    def charge(self, credit: ReadCredit, turn: ReadTurn) -> float:
        """Takes the cost of a turn off a credit; returns for how many seconds the connection should pause."""
        now, cost = monotonic(), turn.cost()
        if now > self._measured_at + MEASURE_INTERVAL:
            self._measure(now)
        overdrawn_count = max(1, self._overdrawn_count, self._previous_overdrawn_count)
        share = min(MAX_CREDIT_SHARE, SHARED_CREDIT / overdrawn_count) * self._cores
        refilled = credit.seconds + (now - credit.updated_at) * share
        credit.seconds = max(-MAX_DEBT, min(MAX_CREDIT, refilled) - cost)
        credit.updated_at = now
        if credit.seconds >= 0 or now > self._busy_until:
            return 0.0
        if credit.counted_in != self._interval:
            credit.counted_in = self._interval
            self._overdrawn_count += 1
        self.pauses += 1
        self._busy_until = now + BUSY_PERIOD
        return min(MAX_PAUSE, -credit.seconds / share)

    def _measure(self, now: float) -> None:
        cpu = thread_time()
        utilization = (cpu - self._measured_cpu) / ((now - self._measured_at) * self._cores)
        self._measured_at, self._measured_cpu = now, cpu
        if utilization > BUSY_UTILIZATION:
            self._busy_until = now + BUSY_PERIOD
        if now > self._interval_began_at + COUNT_INTERVAL:
            self._interval += 1
            self._interval_began_at = now
            self._previous_overdrawn_count, self._overdrawn_count = self._overdrawn_count, 0
