"""Billing time, billing periods, and restarts from snapshots."""

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


def test_each_period_starts_once_despite_clock_steps():
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
    for _ in range(2):  # a step of a day ahead is adopted at the third such reading
        now += SECOND
        calendar.read_clock(now, start + 25 * HOUR_MS)
        assert calendar.period_start() == end_ms
    calendar.read_clock(now + SECOND, start + 25 * HOUR_MS)
    assert calendar.period_start() == start + 25 * HOUR_MS


@settings(max_examples=40)
@given(st.lists(st.tuples(st.integers(1, 20 * SECOND), st.integers(-10_000_000, 10_000_000)), max_size=30))
def test_billing_time_never_decreases(steps):
    calendar, now, last = BillingCalendar(60_000, 0, UNIX_MS), 0, 0
    for span, offset in steps:
        now += span
        assert calendar.read_clock(now, UNIX_MS + now // 10 + offset) >= last
        last = calendar.unix_ms


def test_new_period_resets_sums_and_charges_fills_in_flight():
    ledger = new_ledger(SUM)
    for number in range(10):
        assert not try_fill(ledger, 0, f"r{number}")
    assert try_fill(ledger, 0, "none")
    later = 3600 * SECOND
    ledger.handle(later, ClockTick(UNIX_MS + HOUR_MS))
    quota = ledger.budgets["s"].regular.buckets[0]
    assert quota.remaining == 0, "fills in flight may transfer all their bytes in the new period"
    for number in range(10):
        end_attempt(ledger, later, f"r{number}", cache_status=1)
    assert quota.remaining == 100_000


def test_repeated_kills_never_spend_more_than_the_sum():
    random, spent = Random(3), 0
    kill_times = [*sorted(random.randrange(3600) for _ in range(12)), 3600]
    started_at = 0
    for incarnation, killed_at in enumerate(kill_times):
        ledger = new_ledger(
            's: {sum: "3600KB"}', now=started_at * SECOND, unix_ms=UNIX_MS + started_at * 1000
        )
        for second in range(started_at, killed_at):
            number = 0
            while not try_fill(ledger, second * SECOND, f"{incarnation}.{second}.{number}"):
                spent += 10_000
                number += 1
        started_at = killed_at
    assert 2_000_000 < spent <= 3_600_000


@pytest.fixture(scope="module")
def packed():
    return pack(Snapshot("n0", 1, 2, ledger_state.capture(new_ledger(), is_final=True)))


def test_truncated_or_corrupt_snapshots_are_rejected(packed):
    assert unpack(packed).sequence == 2
    for cut in range(0, len(packed), 7):
        with pytest.raises(SnapshotError, match=r"not a snapshot of this version|checksum mismatch"):
            unpack(packed[:cut])
    with pytest.raises(SnapshotError, match="checksum mismatch"):
        unpack(packed[:-1] + bytes([packed[-1] ^ 1]))


def test_snapshot_error_is_a_traffic_error():
    with pytest.raises(TrafficError, match="not a snapshot of this version"):
        unpack(b"something else")


def test_snapshot_with_an_unknown_route_is_rejected(states):
    (start, transfers), *_ = states[0].account["period"]
    unknown = [(start, [transfers[0]._replace(route=99)])]
    state = msgspec.structs.replace(states[0], account={"period": unknown})
    with pytest.raises(SnapshotError, match="can't be read"):
        unpack(pack(Snapshot("n0", 1, 2, state)))


def restart(state, unix_ms, budgets=SUM):
    """Returns a new ledger restored from a state, and the notices to log."""
    ledger = new_ledger(budgets, unix_ms=unix_ms)
    return ledger, ledger_state.restore(ledger, state, 0)


@pytest.fixture(scope="module")
def states():
    """The final state (the last of an incarnation) and a non-final one of a ledger that has spent 40 KB."""
    ledger = new_ledger(SUM)
    for number in range(4):
        try_fill(ledger, 0, f"r{number}")
        end_attempt(ledger, 0, f"r{number}")
    return ledger_state.capture(ledger, is_final=True), ledger_state.capture(ledger, is_final=False)


def test_restart_restores_the_ledger_and_reports_unaccounted_time(states):
    final, unfinished = states
    restarted, notices = restart(final, UNIX_MS + 2000)
    assert transferred_bytes(restarted) == 40_000
    assert not notices
    assert restarted.unknown_ms == 0
    assert restarted.budgets["s"].regular.buckets[0].remaining == 60_000
    restarted, notices = restart(unfinished, UNIX_MS + 2000)
    assert transferred_bytes(restarted) == 40_000
    assert restarted.unknown_ms == 2000
    assert notices == [LogNotice(TIME_UNACCOUNTED, {"duration_ms": 2000})]
    assert restarted.budgets["s"].regular.buckets[0].remaining <= 0, (
        "what fills could have spent since the snapshot counts as spent"
    )
    assert try_fill(restarted, 0, "more")


def test_restart_after_the_clock_was_set_back_continues_from_the_snapshot_time(states):
    continued, _ = restart(states[0], UNIX_MS - 5000)
    assert continued.calendar.unix_ms >= UNIX_MS


def test_snapshot_of_another_deployment_is_discarded(states):
    _, notices = restart(msgspec.structs.replace(states[0], zones=("x",)), UNIX_MS, "")
    assert notices == [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_deployment"})]


def test_snapshot_of_another_period_length_is_discarded(states):
    _, notices = restart(msgspec.structs.replace(states[0], period_ms=1000), UNIX_MS)
    assert notices == [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_period_length"})]


def test_snapshot_of_an_earlier_period_resets_the_budgets(states):
    next_period, notices = restart(states[1], UNIX_MS + HOUR_MS)
    assert notices == [LogNotice(BUDGETS_RESET, {"reason": "new_billing_period"})]
    assert next_period.budgets["s"].regular.buckets[0].remaining == 100_000
