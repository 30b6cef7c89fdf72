"""The soak's audit finds violations of its rules, and a few seeds of the soak pass."""

import asyncio
import dataclasses
import json
import socket
import subprocess
import sys
import time

import pytest

from benchmarks.planted_faults import FAULTS, ROOT, plant
from benchmarks.soak import LATE_DRAWS
from ironhinge.lab.errors import MalformedCommandError
from ironhinge.lab.ports import PortAllocator
from ironhinge.lab.soak.audit import Audit
from ironhinge.lab.soak.crowd_draws import add_crowds
from ironhinge.lab.soak.crowds import AbuseKind
from ironhinge.lab.soak.discovery import MAX_EVENT_DELAY, MAX_EXCESS_TIMES, Discovery
from ironhinge.lab.soak.late_draws import MAX_DELAY, MAX_DURATION, MIN_DURATION, add_late_paths
from ironhinge.lab.soak.late_path import LatePath
from ironhinge.lab.soak.lateness import Lateness, LatenessKind
from ironhinge.lab.soak.plan import BacklogPattern, DiscoveryDelay, FaultKind, draw_plan
from ironhinge.lab.soak.platform_draws import extend_plan
from ironhinge.lab.soak.records import (
    AnswerCode,
    AnswerRecord,
    Arrival,
    ColdStart,
    ConnectionEnding,
    ConnectionRecord,
    DirectorIncarnation,
    Execution,
    Notification,
    NotificationKind,
    Records,
    RequestRecord,
)
from ironhinge.lab.soak.start_draws import add_starts
from ironhinge.lab.soak.timeline import timeline
from ironhinge.lab.soak.wire import (
    CommandReader,
    FrameReader,
    FrameType,
    decode_answer,
    encode_array,
    encode_frame,
    encode_request,
)

SEEDS, FIRST_SEED, JOBS = 8, 101, 2
SHORT_SEEDS, LONG_SEEDS = 4, 2  # of later draws; those of late paths take 16 to 30 s each
START_KINDS = FaultKind.KILL_DIRECTOR, FaultKind.RESTART_DIRECTOR
PLAN = dataclasses.replace(draw_plan(5), node_weight=4)
BODY = "0000000000000001@9000"  # of a copy that the origin issued at 9 s
GOOD_ANSWER = AnswerRecord(10.02, AnswerCode.SERVED, BODY)


def recorded_request(answers=(GOOD_ANSWER,), class_name="read", **changes):
    """Returns the records of one request that was written at 10 s, and its request and connection record.

    By default it was answered 20 ms later.
    """
    connection = ConnectionRecord(1, 0, 1, 0.0, 0.0, 9.0)
    request = RequestRecord(
        "a" * 16, "0000000000000001", class_name, connection, 0.5, 10.0, 10.0, None, list(answers)
    )
    records = Records([connection], [request], incarnations=[DirectorIncarnation(0, 1, 0.0, 0.5)])
    records.arrivals.append(Arrival("s-00000003", request.trace, 10.005, 10.005, {"ms": "490"}))
    for name, value in changes.items():
        setattr(request, name, value)
    return records, request, connection


def broken_rules(records):
    """Returns the rules that the audit reports as violated."""
    return {finding.rule for finding in Audit(PLAN, records).check_all().findings}


def test_a_run_without_violations_has_no_finding():
    records, request, _ = recorded_request()
    audit_result = Audit(PLAN, records).check_all()
    assert not audit_result.findings
    assert (audit_result.requests, audit_result.answered, audit_result.served, audit_result.attempts) == (
        1,
        1,
        1,
        1,
    )
    assert timeline(request.trace, records)


def test_a_request_whose_connection_ends_before_the_answer_is_lost():
    records, _, connection = recorded_request(())
    connection.ended_at, connection.ending = 10.06, ConnectionEnding.RESET
    assert broken_rules(records) == {"lost"}


def test_a_request_that_is_never_answered_is_lost_unless_its_client_cancelled():
    assert broken_rules(recorded_request(())[0]) == {"lost"}
    assert not broken_rules(recorded_request((), cancelled_at=10.004)[0])


@pytest.mark.parametrize(
    ("terminated", "killed", "lost"),
    [
        *((None, 10.1, False), (9.0, 10.04, False), (9.0, 10.1, True), (9.0, 11.0, True)),
        *((9.9, 13.6, True), (13.0, 13.5, False)),
    ],
)
def test_a_kill_excuses_only_requests_that_could_not_be_answered(terminated, killed, lost):
    """A kill without SIGTERM, or too soon after it, excuses all unanswered requests.

    A later kill excuses only requests that arrived shortly before it.
    """
    records, _, connection = recorded_request(())
    connection.ended_at, connection.ending = killed, ConnectionEnding.RESET
    records.incarnations[0].terminated_at, records.incarnations[0].killed_at = terminated, killed
    assert broken_rules(records) == ({"lost"} if lost else set())


def test_duplicate_and_late_answers_are_found():
    assert broken_rules(recorded_request((GOOD_ANSWER, GOOD_ANSWER))[0]) == {"doubled answer"}
    assert broken_rules(recorded_request((AnswerRecord(11.2, AnswerCode.FAILED, ""),))[0]) == {"late"}
    assert not broken_rules(recorded_request((AnswerRecord(10.9, AnswerCode.FAILED, ""),))[0])


def test_a_director_gets_no_extra_time_for_a_stop_of_its_process():
    """Guards the audit: a stop of the process extends no limit, as the documentation grants no extra time."""
    records, _, _ = recorded_request((AnswerRecord(11.2, AnswerCode.FAILED, ""),))
    records.incarnations[0].pauses.append((10.0, 11.1))
    assert broken_rules(records) == {"late"}
    for kind, target, rule in (
        (NotificationKind.DRAINING, "s-00000003", "drain"),
        (NotificationKind.OBJECT_PURGED, "0000000000000001", "purge"),
    ):
        records, _, _ = recorded_request()
        records.notifications.append(Notification(0, 1, 9.4, kind, target, 9.3))
        records.incarnations[0].pauses.append((9.4, 10.0))
        assert broken_rules(records) == {rule}


def test_an_answer_with_another_objects_bytes_is_found():
    assert broken_rules(
        recorded_request((AnswerRecord(10.02, AnswerCode.SERVED, "0000000000000002@9000"),))[0]
    ) == {"lost"}


def test_attempts_after_cancellation_or_with_too_long_a_deadline_are_found():
    records, request, _ = recorded_request((), cancelled_at=10.0)
    records.arrivals[0] = Arrival("s-00000003", request.trace, 10.2, 10.2, {"ms": "1"})
    assert broken_rules(records) == {"after client left"}
    records, request, _ = recorded_request()
    records.arrivals[0] = Arrival("s-00000003", request.trace, 10.01, 10.01, {"ms": "700"})
    assert broken_rules(records) == {"deadline"}


def test_writes_executed_twice_or_before_a_rejection_are_found():
    executions = [
        Execution("s-00000003", "0000000000000001", 0, 10.01),
        Execution("s-00000004", "0000000000000001", 0, 10.02),
    ]
    records, _, _ = recorded_request(class_name="payment")
    records.executions = executions[:1]
    assert not broken_rules(records)
    records.executions = executions
    assert broken_rules(records) == {"duplicate"}
    records, _, _ = recorded_request((AnswerRecord(10.03, AnswerCode.REJECTED, ""),), "payment")
    records.executions = executions[:1]
    assert broken_rules(records) == {"duplicate"}


@pytest.mark.parametrize(("notified", "is_broken"), [(9.9, False), (9.0, True)])
def test_use_of_a_node_after_its_drain_grace_is_found(notified, is_broken):
    records, _, _ = recorded_request()
    kind = NotificationKind.DRAINING
    records.notifications.append(Notification(0, 1, notified, kind, "s-00000003", notified))
    assert broken_rules(records) == ({"drain"} if is_broken else set())


@pytest.mark.parametrize(("notified", "is_broken"), [(9.9, False), (9.5, True)])
def test_a_purged_copy_served_after_the_grace_is_found(notified, is_broken):
    records, _, _ = recorded_request()
    kind = NotificationKind.OBJECT_PURGED
    records.notifications.append(Notification(0, 1, notified, kind, "0000000000000001", 9.3))
    assert broken_rules(records) == ({"purge"} if is_broken else set())


def test_too_many_commands_to_a_cold_node_are_found():
    records, request, _ = recorded_request()
    records.cold_starts.append(ColdStart("s-00000009", 9.5))
    arrivals = [
        Arrival("s-00000009", request.trace, 10.0 + i / 10_000, 10.0, {"ms": "400"}) for i in range(300)
    ]
    records.arrivals += arrivals[:40]
    assert not broken_rules(records)
    records.arrivals += arrivals[40:]
    assert broken_rules(records) == {"slow start"}


def test_crashes_and_excess_descriptors_are_found():
    records, _, _ = recorded_request()
    records.incarnations[0].exited_at, records.incarnations[0].exit_code = 11.0, 1
    assert broken_rules(records) == {"crash"}
    records, _, _ = recorded_request()
    records.incarnations[0].peak_descriptors = PLAN.descriptor_limit + 1
    assert broken_rules(records) == {"descriptors"}


def test_the_same_seed_gives_the_same_plan():
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)


def test_a_port_stays_reserved_for_its_run_while_nothing_listens_on_it():
    """Guards concurrent runs: requests of one would reach servers of another and be reported as findings."""
    first, second = PortAllocator(), PortAllocator()
    reserved = [first.allocate() for _ in range(200)]
    assert not {second.allocate() for _ in range(200)} & set(reserved)
    with socket.create_server(("127.0.0.1", reserved[0])) as listener:
        assert listener.getsockname()[1] == reserved[0]
    for _ in range(200):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            assert sock.getsockname()[1] not in reserved
    first.close()
    second.close()


def test_frames_are_decoded_byte_by_byte():
    answer = encode_frame(FrameType.ANSWER, 5, bytes([2, 1, 5]) + b"pause" + b"\0\x0210")
    reader = FrameReader()
    data = encode_request(3, {"route": "read"}) + answer
    frames = [frame for byte in data for frame in reader.feed(bytes([byte]))]
    assert [(frame.kind, frame.stream) for frame in frames] == [(7, 3), (8, 5)]
    assert decode_answer(frames[1].payload) == (2, {"pause": "10"}, b"")


def test_commands_are_decoded_byte_by_byte():
    reader = CommandReader()
    data = encode_array(b"want", b"a", b"ms=1", b"")
    commands = [command for at, byte in enumerate(data) for command in reader.feed(bytes([byte]), at)]
    assert [(command.items, command.first_byte_at) for command in commands] == [
        ([b"want", b"a", b"ms=1", b""], 0)
    ]
    with pytest.raises(MalformedCommandError):
        reader.feed(b"GET / HTTP/1.1\r\n", 1.0)


def test_two_runs_of_one_seed_can_run_concurrently():
    """Guards a soak that runs beside that of CI: with ports drawn from the seed, the runs would interfere.

    Each would then report findings that the other caused.
    """
    command = [sys.executable, "-m", "benchmarks.soak", "--seeds", "1", "--first", "103", "--seconds", "6"]
    runs = [
        subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) for _ in range(2)
    ]
    for run in runs:
        _, findings = run.communicate(timeout=60)
        assert run.returncode == 0, findings[-4000:]


def test_a_few_seeds_pass():
    """The full soak is run by hand: see docs/soak.md."""
    command = [sys.executable, "-m", "benchmarks.soak", "--seeds", str(SEEDS), "--first", str(FIRST_SEED)]
    command += ["--seconds", "7", "--jobs", str(JOBS), "--json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stderr[-4000:]
    total = json.loads(done.stdout.splitlines()[-1])
    assert total["seeds"] == SEEDS
    assert total["requests"] > 100 * SEEDS
    assert not total["failed_seeds"]


@pytest.mark.parametrize(
    ("draws", "first", "seconds"),
    [
        (2, 5, 7),  # steps of the platform's clock, slow discovery, coinciding times
        (3, 5, 6),  # crowds of bad clients beside small limits
        (4, 4, 8),  # starts with a backlog of discovery: 4 and 7 failed while it was not waited for
        (5, 5, 8),  # late paths from discovery: 5 failed while silent connections were given up
    ],
)
def test_a_few_seeds_of_later_draws_pass(draws, first, seconds):
    """The first draws show neither clocks that step, nor small limits, nor events from before a start."""
    seeds = LONG_SEEDS if draws == LATE_DRAWS else SHORT_SEEDS
    command = [sys.executable, "-m", "benchmarks.soak", "--draws", str(draws), "--seeds", str(seeds)]
    command += ["--first", str(first), "--seconds", str(seconds), "--jobs", str(JOBS), "--json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stderr[-4000:]
    assert json.loads(done.stdout.splitlines()[-1])["requests"] > 400


def test_platform_draws_add_to_a_plan_and_leave_its_other_draws():
    """Guards recorded seeds: what was drawn for them before stays as it was."""
    plans = [draw_plan(seed) for seed in range(40)]
    extended = [extend_plan(plan) for plan in plans]
    assert extended == [extend_plan(plan) for plan in plans]
    kept_fields = ("director_count", "cache_count", "client_paths", "injection_scripts", "node_weight")
    for plan, more in zip(plans, extended, strict=True):
        assert all(getattr(plan, name) == getattr(more, name) for name in kept_fields)
        assert set(plan.fault_events) <= set(more.fault_events)
    steps = [
        event.duration
        for plan in extended
        for event in plan.fault_events
        if event.kind is FaultKind.STEP_PLATFORM_CLOCK
    ]
    assert min(steps) < -3000
    assert max(steps) > 3000
    assert any(plan.event_write_time for plan in extended)
    coinciding = [plan for plan in extended if plan.has_coinciding_times]
    assert coinciding
    assert all(plan.classes[2].dedup_window < plan.classes[2].deadline for plan in coinciding)


def test_memory_over_the_limit_of_the_plan_is_a_violation():
    records, _, _ = recorded_request()
    records.incarnations[0].peak_memory_mb = PLAN.memory_limit_mb + 1
    assert broken_rules(records) == {"memory"}


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_each_planted_fault_still_matches_the_source(fault, tmp_path):
    """Guards `benchmarks.planted_faults`, which checks the soak itself but is run only by hand."""
    plant(fault, tmp_path)
    planted = (tmp_path / "ironhinge" / fault.module).read_text()
    assert planted != (ROOT / "ironhinge" / fault.module).read_text()
    compile(planted, fault.module, "exec")


def test_crowd_draws_add_to_a_plan_and_leave_its_faults():
    """Guards recorded seeds, and that small limits and each kind of crowd are drawn."""
    plans = [extend_plan(draw_plan(seed)) for seed in range(40)]
    crowded = [add_crowds(plan) for plan in plans]
    assert crowded == [add_crowds(plan) for plan in plans]
    assert [plan.fault_events for plan in plans] == [plan.fault_events for plan in crowded]
    assert {plan.memory_limit_mb for plan in crowded} >= {32, 64, 192}
    assert {crowd.kind for plan in crowded for crowd in plan.crowds} == set(AbuseKind)


def test_start_draws_replace_signals_and_draw_each_way_of_telling_a_backlog():
    """Guards that events fall between the configuration and the start of a process, told in all ways."""
    plans = [extend_plan(draw_plan(seed)) for seed in range(40)]
    started = [add_starts(plan) for plan in plans]
    assert started == [add_starts(plan) for plan in plans]
    assert {plan.backlog.pattern for plan in started} == set(BacklogPattern)
    for plan in started:
        kills = [event for event in plan.fault_events if event.kind in START_KINDS]
        assert len(kills) == plan.director_count
        start_at = kills[0].at
        gap = [event for event in plan.fault_events if event.at >= start_at and event not in kills]
        assert any(event.at <= start_at + plan.backlog.config_age + 0.1 for event in gap)


def test_late_draws_add_each_kind_of_lateness_and_drains_within_it():
    """Guards that drains fall into the late time, and that each event can arrive before it counts as told."""
    plans = [extend_plan(draw_plan(seed)) for seed in range(60)]
    late = [add_late_paths(plan) for plan in plans]
    assert late == [add_late_paths(plan) for plan in plans]
    periods = [plan.discovery_delays[0] for plan in late]
    assert {period.lateness.kind for period in periods} == set(LatenessKind)
    assert {period.lateness.blackholed for period in periods} == {0, 1, 2}
    assert any(period.lateness.first_byte_after for period in periods)
    for plan, more, period in zip(plans, late, periods, strict=True):
        assert set(plan.fault_events) <= set(more.fault_events)
        assert MIN_DURATION <= period.duration <= MAX_DURATION
        assert period.lateness.delay <= MAX_DELAY < MAX_EVENT_DELAY
        drains = [event.at for event in more.fault_events if event.kind is FaultKind.DRAIN_NODE]
        assert any(period.at < at < period.at + period.duration - MAX_EVENT_DELAY for at in drains)


@pytest.mark.parametrize(("is_late", "told_after"), [(True, MAX_EVENT_DELAY), (False, 0.0)])
def test_event_on_a_late_path_counts_as_told_when_the_protocol_says(monkeypatch, is_late, told_after):
    """An event that only counted when it was written, or when it arrived, hid that it never came."""
    monkeypatch.setattr("ironhinge.lab.soak.discovery.MAX_EVENT_DELAY", 0.2)

    async def run():
        records = Records()
        period = DiscoveryDelay(0.0, 9.0, Lateness(30.0))
        plan = dataclasses.replace(PLAN, backlog=None, discovery_delays=(period,))
        discovery = Discovery(records, PortAllocator(), 0, lambda: 1, plan)
        await discovery.start()
        _, writer = await asyncio.open_connection("127.0.0.1", discovery.director_port)
        writer.write((1).to_bytes(8, "big"))
        await asyncio.sleep(0.05)
        if is_late:
            discovery.path.start_delay(period.lateness)
        discovery.publish_purge(NotificationKind.OBJECT_PURGED, "a", bytes(16))
        published_at = time.monotonic()
        await asyncio.sleep(0.3)
        discovery.stop()
        return [event.at - published_at for event in records.notifications]

    (told_at,) = asyncio.run(run())
    assert abs(told_at - told_after * 0.2 / MAX_EVENT_DELAY) < 0.05


def test_connections_to_discovery_beyond_two_or_for_too_long_are_found(monkeypatch):
    """Else a director that never ends its second connection would pass."""
    monkeypatch.setitem(MAX_EXCESS_TIMES, 1, 0.0)
    records = Records()
    plan = dataclasses.replace(PLAN, backlog=None, discovery_delays=())
    discovery = Discovery(records, PortAllocator(), 0, lambda: 1, plan)
    discovery.path = LatePath(1, 2)
    discovery.path.open_numbers = {4}
    discovery.measure_connections()
    discovery.path.open_numbers = {4, 5}
    for _ in range(3):
        discovery.measure_connections()
        time.sleep(0.001)
    assert [excess.connections for excess in records.excess_connections] == [2]
    assert {finding.rule for finding in Audit(plan, records).check_all().findings} == {
        "discovery connections"
    }


def test_unknown_planted_fault_is_an_error():
    """A name with a typing error played nothing and ended with 0."""
    command = [sys.executable, "-m", "benchmarks.planted_faults", "--only", "no such fault"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert (done.returncode, done.stdout) == (2, "")


def test_event_of_before_the_start_of_a_process_counts_as_told_from_its_start_on():
    """An event that was only counted when it was written could not break a rule before that."""

    async def run():
        records, plan = Records(), dataclasses.replace(PLAN, backlog=None)
        discovery = Discovery(records, PortAllocator(), 0, lambda: 1, plan)
        await discovery.start()
        discovery.publish_purge(NotificationKind.OBJECT_PURGED, "a", bytes(16))
        published_at = time.monotonic()
        discovery.process_started_at = published_at + 0.01
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write((1).to_bytes(8, "big"))
        await reader.readexactly(4)
        discovery.stop()
        return records.notifications[0].at, published_at

    notified_at, published_at = asyncio.run(run())
    assert notified_at <= published_at
