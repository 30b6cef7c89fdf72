"""Real time while the wall clock is stepped, slewed or wrong."""

import pytest

from ironhinge.net.clock import MILLISECOND, SECOND, Clock

TRUE_START = 1_764_576_000 * SECOND  # Unix time, in tenths of a millisecond
UNIT = 100_000  # nanoseconds


class Time:
    """A monotonic clock and a wall clock that a test moves."""

    def __init__(self, wall_error=0):
        self.elapsed, self.wall_error = 0, wall_error
        self.clock = Clock(lambda: self.elapsed * UNIT, self.wall_ns)

    def wall_ns(self):
        return (TRUE_START + self.elapsed + self.wall_error) * UNIT

    def true_ms(self):
        return (TRUE_START + self.elapsed) // MILLISECOND

    def pass_(self, span, look_every=500):
        end = self.elapsed + span
        while self.elapsed < end:
            self.elapsed = min(end, self.elapsed + look_every)
            self.clock.check_wall_clock()


@pytest.mark.parametrize("step", [7, -7, 3600, -3600, 0.4, -0.4])
def test_a_step_moves_no_unix_time(step):
    time = Time()
    time.pass_(5 * SECOND)
    time.wall_error = int(step * SECOND)
    time.pass_(60 * SECOND)
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1
    assert time.clock.age_of_event(time.true_ms() - 300, time.elapsed) in range(3000, 3020)


def test_a_slow_slew_is_followed_and_a_fast_one_not_further_than_its_bound():
    slow, fast = Time(), Time()
    for _ in range(1000):
        slow.wall_error += 1
        fast.wall_error += 20
        slow.pass_(SECOND // 2)
        fast.pass_(SECOND // 2)
    assert abs(slow.clock.unix() - TRUE_START - slow.elapsed - slow.wall_error) <= 5
    assert fast.clock.unix() - TRUE_START - fast.elapsed < STEP_AND_SLEWS


STEP_AND_SLEWS = SECOND // 2  # what a slew that is too fast can have moved Unix time by


@pytest.mark.parametrize("wrong", [3600, -3600, 60])
def test_live_events_set_right_what_was_wrong_at_the_start(wrong):
    """A purge is told within seconds: one that seems an hour old or an hour ahead shows that we are off."""
    time = Time(int(wrong * SECOND))
    time.pass_(20 * SECOND)
    caught_up = time.elapsed - SECOND
    assert 0 <= time.clock.age_of_event(time.true_ms() - 300, caught_up) <= SECOND
    assert abs(time.clock.unix_ms() - time.true_ms()) <= 1000
    time.pass_(SECOND)
    assert time.clock.age_of_event(time.true_ms() - 100, time.elapsed - 100) <= 2 * SECOND


@pytest.mark.parametrize("wrong", [3600, -3600])
def test_a_node_that_is_told_to_have_started_now_is_not_taken_for_warm(wrong):
    time = Time(int(wrong * SECOND))
    time.pass_(20 * SECOND)
    assert time.elapsed - time.clock.start_instant(time.true_ms(), time.elapsed - SECOND) <= SECOND


def test_what_was_told_late_keeps_its_age():
    """After an outage of discovery events are truly old."""
    time = Time()
    time.pass_(100 * SECOND)
    assert time.clock.age_of_event(time.true_ms() - 90_000, 5 * SECOND) >= 90 * SECOND - 10
    assert time.elapsed - time.clock.start_instant(time.true_ms() - 90_000, 5 * SECOND) >= 90 * SECOND - 10
