"""Unix time while the wall clock is stepped, slewed or wrong."""

import pytest
from loguru import logger

from ironhinge.net.clock import MILLISECOND, SECOND, Clock

TRUE_START = 1_764_576_000 * SECOND  # Unix time, in tenths of a millisecond
NANOSECONDS_PER_TICK = 100_000
MAX_STEP_AND_SLEW = SECOND // 2  # upper bound of the shift of Unix time by a slew that is too fast


class FakeTime:
    """A monotonic clock and a wall clock that a test moves."""

    def __init__(self, wall_error=0):
        self.elapsed, self.wall_error = 0, wall_error
        self.clock = Clock(lambda: self.elapsed * NANOSECONDS_PER_TICK, self.wall_ns)

    def wall_ns(self):
        return (TRUE_START + self.elapsed + self.wall_error) * NANOSECONDS_PER_TICK

    def true_ms(self):
        return (TRUE_START + self.elapsed) // MILLISECOND

    def advance(self, span, check_every=500):
        end = self.elapsed + span
        while self.elapsed < end:
            self.elapsed = min(end, self.elapsed + check_every)
            self.clock.check_wall_clock()


@pytest.mark.parametrize("step", [7, -7, 3600, -3600, 0.4, -0.4])
def test_a_step_of_the_wall_clock_does_not_move_unix_time(step):
    time = FakeTime()
    time.advance(5 * SECOND)
    time.wall_error = int(step * SECOND)
    time.advance(60 * SECOND)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1
    time.clock.observe_event(time.true_ms() - 300, time.elapsed)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1


def test_unix_time_follows_a_slow_slew_fully_and_a_fast_one_up_to_a_bound():
    slow, fast = FakeTime(), FakeTime()
    for _ in range(1000):
        slow.wall_error += 1
        fast.wall_error += 20
        slow.advance(SECOND // 2)
        fast.advance(SECOND // 2)
    assert abs(slow.clock.unix() - TRUE_START - slow.elapsed - slow.wall_error) <= 5
    assert fast.clock.unix() - TRUE_START - fast.elapsed < MAX_STEP_AND_SLEW


@pytest.mark.parametrize("error_s", [3600, -3600, 60])
def test_live_events_correct_a_clock_that_was_wrong_at_start_up(error_s):
    """A purge arrives within seconds: one that seems an hour old or ahead shows that the clock is wrong."""
    time = FakeTime(int(error_s * SECOND))
    time.advance(20 * SECOND)
    caught_up = time.elapsed - SECOND
    time.clock.observe_event(time.true_ms() - 300, caught_up)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1000
    time.advance(SECOND)
    time.clock.observe_event(time.true_ms() - 100, time.elapsed - 100)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1000


@pytest.mark.parametrize(("error_s", "is_corrected"), [(3600, False), (-3600, True)])
def test_start_corrects_a_clock_that_is_behind_only(error_s, is_corrected):
    """A start may be reported long after it happened, but not before."""
    time = FakeTime(int(error_s * SECOND))
    time.advance(20 * SECOND)
    time.clock.observe_start(time.true_ms())
    assert abs(time.clock.unix_ms() - time.true_ms() - (0 if is_corrected else 1000 * error_s)) <= 1


def test_events_that_arrive_late_do_not_move_unix_time():
    """After an outage of the discovery service, events really are old."""
    time = FakeTime()
    time.advance(100 * SECOND)
    time.clock.observe_event(time.true_ms() - 90_000, 5 * SECOND)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1
    time.clock.observe_start(time.true_ms() - 90_000)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1


@pytest.fixture
def log_lines():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)


def test_a_step_of_the_wall_clock_is_logged_once(log_lines):
    time = FakeTime()
    time.wall_error = 7 * SECOND
    time.advance(5 * SECOND)
    assert log_lines == ["wall_clock_stepped offset_s=7.0 followed=no\n"]


@pytest.mark.parametrize(
    ("wall_error", "line"),
    [
        (-60 * SECOND, "unix_time_corrected reason=event_in_future correction_s=60.0\n"),
        (60 * SECOND, "unix_time_corrected reason=event_too_old correction_s=-60.0\n"),
    ],
)
def test_a_correction_of_unix_time_is_logged_with_its_reason(log_lines, wall_error, line):
    time = FakeTime(wall_error)
    time.clock.observe_event(time.true_ms(), time.elapsed)
    assert log_lines == [line]
