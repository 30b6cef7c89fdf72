"""Time: a monotonic clock for all durations, and Unix time that does not follow steps of the wall clock.

Only this module of the network code reads the wall clock. It reads it at start-up; from then on Unix time is
that reading plus the monotonic time since. Periodic comparisons with the wall clock follow a slew, and log a
step without following it. The time stamps of the discovery service correct Unix time too: an event that was
received can't lie in the future, and one that was just sent can't be an hour old.

Errors that remain: the error of the wall clock at start-up (up to `MAX_EVENT_DELAY` if no live event shows
it), later steps of the clock that stamps events (up to the same bound), slews faster than `MAX_SLEW_RATE`,
and time during which the machine was suspended. So no instant is derived from a foreign time stamp.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

NANOSECONDS_PER_TICK = 100_000  # the unit of time is a tick: a tenth of a millisecond
MILLISECOND = 10  # in ticks
SECOND = 1000 * MILLISECOND
STEP_THRESHOLD = SECOND // 4  # smallest difference from the wall clock that counts as a step
MAX_SLEW_RATE = 500e-6  # seconds per second: the largest rate of adjtime(3)
# The protocol counts an event as delivered after 7 s, even if it has not arrived.
MAX_EVENT_DELAY = 10 * SECOND


class Clock:
    """The time of one process, in whole ticks of a tenth of a millisecond."""

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ):
        self._monotonic_ns = monotonic_ns
        self._wall_ns = wall_ns
        self._offset = self._wall_offset()  # Unix time minus monotonic time
        self._stamp_offset: int | None = None  # the latest event's time stamp minus the time of its receipt
        self._logged_step = 0  # difference from the wall clock when a step was last logged
        self._checked_at = self.now()

    def now(self) -> int:
        """Returns the monotonic time in ticks."""
        return self._monotonic_ns() // NANOSECONDS_PER_TICK

    def _wall_offset(self) -> int:
        return (self._wall_ns() - self._monotonic_ns()) // NANOSECONDS_PER_TICK

    @staticmethod
    def seconds(span: int) -> float:
        """Converts ticks to seconds."""
        return span / SECOND

    def unix(self) -> int:
        """Returns the Unix time in ticks."""
        return self.now() + self._offset

    def unix_ms(self) -> int:
        """Returns the Unix time in whole milliseconds."""
        return self.unix() // MILLISECOND

    def earliest_unix_ms(self) -> int:
        """Returns the Unix time in milliseconds: by this clock, or by the latest event if that is earlier.

        After a step back of the clock that stamps events and copies, this clock is ahead of it. Only what is
        too old by both is certainly too old.
        """
        if self._stamp_offset is None:
            return self.unix_ms()
        return min(self.unix(), self.now() + self._stamp_offset) // MILLISECOND

    def unix_age(self, unix_ms: int) -> int:
        """Returns the ticks since a Unix time in milliseconds; negative if that is in the future."""
        return self.unix() - unix_ms * MILLISECOND

    def from_unix(self, unix_ms: int) -> int:
        """Converts a Unix time in milliseconds to monotonic ticks, rounded up."""
        return self.now() - self.unix_age(unix_ms) + 1

    def check_wall_clock(self) -> None:
        """Compares Unix time with the wall clock: follows a slew, logs a step."""
        now = self.now()
        max_slew = int((now - self._checked_at) * MAX_SLEW_RATE) + 1
        self._checked_at = now
        difference = self._wall_offset() - self._offset
        if abs(difference) < STEP_THRESHOLD:
            self._offset += max(-max_slew, min(max_slew, difference))
            self._logged_step = 0
        elif abs(difference - self._logged_step) >= STEP_THRESHOLD:
            self._logged_step = difference
            logger.warning("wall_clock_stepped offset_s={} followed=no", difference / SECOND)

    def observe_event(self, unix_ms: int, caught_up_at: int) -> None:
        """Corrects Unix time by the time stamp of an event that was just received.

        A time stamp in the future, or one so old that the event would have been received earlier, shows that
        this clock's Unix time is wrong.

        A time stamp does not show when an event happened: the clock that it was taken from may have been
        stepped since, and an event that was delivered late looks the same.

        Args:
            unix_ms: The event's Unix time stamp in milliseconds.
            caught_up_at: All earlier events had been received by this instant (monotonic ticks).
        """
        self._stamp_offset = unix_ms * MILLISECOND - self.now()
        age = self._age_not_in_future(unix_ms)
        since_caught_up = max(0, self.now() - caught_up_at)
        if age > since_caught_up + MAX_EVENT_DELAY:
            self._log_correction("event_too_old", since_caught_up - age)
            self._offset -= age - since_caught_up

    def observe_start(self, unix_ms: int) -> None:
        """Corrects Unix time if the time stamp of a process start lies in the future.

        Starts may be reported long after they happened, so an old time stamp shows nothing.
        """
        self._age_not_in_future(unix_ms)

    def _age_not_in_future(self, unix_ms: int) -> int:
        age = self.unix_age(unix_ms)
        if age < -STEP_THRESHOLD:
            self._log_correction("event_in_future", -age)
            self._offset -= age
        return max(0, age)

    @staticmethod
    def _log_correction(reason: str, correction: int) -> None:
        logger.warning("unix_time_corrected reason={} correction_s={}", reason, correction / SECOND)
