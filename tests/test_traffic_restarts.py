"""Billing time, periods, restarts and snapshots."""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironhinge.traffic import ledger_state
from ironhinge.traffic.calendar import BillingCalendar
from ironhinge.traffic.errors import SnapshotError, TrafficError
from ironhinge.traffic.log_events import BUDGETS_RESET, SNAPSHOT_DISCARDED, TIME_UNACCOUNTED
from ironhinge.traffic.snapshot import Snapshot, pack, unpack
from ironhinge.traffic.types import ClockTick, LogNotice

from .traffic_helpers import HOUR_MS, SECOND, UNIX_MS, end_attempt, new_ledger, transferred_bytes, try_fill

SUM = 's: {sum: "100KB", ahead: 1, begin: "full"}'


def test_a_period_is_opened_once_however_the_clock_steps():
    start = UNIX_MS - UNIX_MS % HOUR_MS
    end_ms = start + HOUR_MS
    calendar, opened = BillingCalendar(HOUR_MS, 0, end_ms - 5000), []
    now = 0
    for unix_ms in (end_ms - 4000, end_ms + 1000, end_ms - 9000, start, end_ms + 20_000):
        now += SECOND
        calendar.read_clock(now, unix_ms)
        opened.append(calendar.period_start())
    assert opened == sorted(opened)
    assert calendar.clock_steps == 1
    for _ in range(2):  # a step of a day ahead is believed once it stands
        now += SECOND
        calendar.read_clock(now, start + 25 * HOUR_MS)
        assert calendar.period_start() == end_ms
    calendar.read_clock(now + SECOND, start + 25 * HOUR_MS)
    assert calendar.period_start() == start + 25 * HOUR_MS


@settings(max_examples=40)
@given(st.lists(st.tuples(st.integers(1, 20 * SECOND), st.integers(-10_000_000, 10_000_000)), max_size=30))
def test_billing_time_never_falls(steps):
    calendar, now, last = BillingCalendar(60_000, 0, UNIX_MS), 0, 0
    for span, offset in steps:
        now += span
        assert calendar.read_clock(now, UNIX_MS + now // 10 + offset) >= last
        last = calendar.unix_ms


def test_a_new_period_opens_its_sums_and_counts_what_is_in_flight_in_it():
    ledger = new_ledger(SUM)
    for number in range(10):
        assert not try_fill(ledger, 0, f"r{number}")
    assert try_fill(ledger, 0, "none")
    later = 3600 * SECOND
    ledger.handle(later, ClockTick(UNIX_MS + HOUR_MS))
    quota = ledger.budgets["s"].regular.buckets[0]
    assert quota.remaining == 0, "all that is in flight may still come in the new period"
    for number in range(10):
        end_attempt(ledger, later, f"r{number}", cache_status=1)
    assert quota.remaining == 100_000


def test_a_director_that_is_killed_again_and_again_never_gets_more_than_the_sum():
    random, spent = Random(3), 0
    kills = [*sorted(random.randrange(3600) for _ in range(12)), 3600]
    begun = 0
    for incarnation, killed in enumerate(kills):
        ledger = new_ledger('s: {sum: "3600KB"}', now=begun * SECOND, unix_ms=UNIX_MS + begun * 1000)
        for second in range(begun, killed):
            number = 0
            while not try_fill(ledger, second * SECOND, f"{incarnation}.{second}.{number}"):
                spent += 10_000
                number += 1
        begun = killed
    assert 2_000_000 < spent <= 3_600_000


@pytest.fixture(scope="module")
def packed():
    return pack(Snapshot("n0", 1, 2, ledger_state.capture(new_ledger(), is_final=True)))


def test_snapshots_are_complete_or_told_apart(packed):
    assert unpack(packed).sequence == 2
    for cut in range(0, len(packed), 7):
        with pytest.raises(SnapshotError, match=r"not a snapshot of this version|checksum mismatch"):
            unpack(packed[:cut])
    with pytest.raises(SnapshotError, match="checksum mismatch"):
        unpack(packed[:-1] + bytes([packed[-1] ^ 1]))


def test_snapshot_errors_are_errors_of_the_package():
    with pytest.raises(TrafficError, match="not a snapshot of this version"):
        unpack(b"something else")


def test_a_snapshot_of_an_unknown_route_is_told_apart(states):
    (start, transfers), *_ = states[0].account["period"]
    unknown = [(start, [transfers[0]._replace(route=99)])]
    state = msgspec.structs.replace(states[0], account={"period": unknown})
    with pytest.raises(SnapshotError, match="can't be read"):
        unpack(pack(Snapshot("n0", 1, 2, state)))


def restart(state, unix_ms, budgets=SUM):
    """A new ledger that takes up a state, and what it says of that."""
    ledger = new_ledger(budgets, unix_ms=unix_ms)
    return ledger, ledger_state.restore(ledger, state, 0)


@pytest.fixture(scope="module")
def states():
    """The state of a ledger that has spent 40 KB: the last one of its incarnation, and one that is not."""
    ledger = new_ledger(SUM)
    for number in range(4):
        try_fill(ledger, 0, f"r{number}")
        end_attempt(ledger, 0, f"r{number}")
    return ledger_state.capture(ledger, is_final=True), ledger_state.capture(ledger, is_final=False)


def test_a_restart_goes_on_and_says_what_it_can_not_know(states):
    final, unfinished = states
    again, notices = restart(final, UNIX_MS + 2000)
    assert transferred_bytes(again) == 40_000
    assert not notices
    assert again.unknown_ms == 0
    assert again.budgets["s"].regular.buckets[0].remaining == 60_000
    again, notices = restart(unfinished, UNIX_MS + 2000)
    assert transferred_bytes(again) == 40_000
    assert again.unknown_ms == 2000
    assert notices == [LogNotice(TIME_UNACCOUNTED, {"duration_ms": 2000})]
    assert again.budgets["s"].regular.buckets[0].remaining <= 0, "what may have been spent counts as spent"
    assert try_fill(again, 0, "more")


def test_a_restart_after_the_clock_was_set_back_goes_on_from_the_snapshot(states):
    older, _ = restart(states[0], UNIX_MS - 5000)
    assert older.calendar.unix_ms >= UNIX_MS


def test_a_snapshot_of_another_deployment_is_discarded(states):
    _, notices = restart(msgspec.structs.replace(states[0], zones=("x",)), UNIX_MS, "")
    assert notices == [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_deployment"})]


def test_a_snapshot_of_another_period_length_is_discarded(states):
    _, notices = restart(msgspec.structs.replace(states[0], period_ms=1000), UNIX_MS)
    assert notices == [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_period_length"})]


def test_a_snapshot_of_an_earlier_period_resets_the_budgets(states):
    late, notices = restart(states[1], UNIX_MS + HOUR_MS)
    assert notices == [LogNotice(BUDGETS_RESET, {"reason": "new_billing_period"})]
    assert late.budgets["s"].regular.buckets[0].remaining == 100_000
