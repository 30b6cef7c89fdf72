"""The soak's audit finds what must not be, and a few seeds of it pass."""

import json
import subprocess
import sys

import pytest

from ironhinge.lab.soak.audit import Audit, timeline
from ironhinge.lab.soak.plan import plan
from ironhinge.lab.soak.ports import EACH, FIRST, Ports
from ironhinge.lab.soak.records import (
    FAILED,
    REFUSED,
    SERVED,
    Arrival,
    Connection,
    DirectorLife,
    NodeLife,
    Records,
    Run,
    Told,
    Try,
)
from ironhinge.lab.soak.wire import Commands, Frames, frame, read_answer, request, resp

SEEDS, FIRST_SEED, JOBS = 8, 101, 2
PLAN = plan(5)
BODY = "0000000000000001@9000"  # of a copy from 9 s
GOOD = 10.02, SERVED, BODY


def scene(answers=(GOOD,), cls="read", **changes):
    """Records of one request that was written at 10 s and answered 20 ms later."""
    connection = Connection(1, 0, 1, 0.0, 0.0, 9.0)
    one = Try("a" * 16, "0000000000000001", cls, connection, 0.5, 10.0, 10.0, None, list(answers))
    records = Records([connection], [one], lives=[DirectorLife(0, 1, 0.0, 0.5)])
    records.copies["unix less monotonic"] = 0.0
    records.arrivals.append(Arrival("s-00000003", one.trace, 10.005, 10.005, {"ms": "490"}))
    for name, value in changes.items():
        setattr(one, name, value)
    return records, one, connection


def rules(records):
    """The rules that the audit says are broken."""
    return {finding.rule for finding in Audit(PLAN, records).judge().findings}


def test_a_good_run_has_no_finding():
    records, one, _ = scene()
    verdict = Audit(PLAN, records).judge()
    assert not verdict.findings
    assert (verdict.requests, verdict.answered, verdict.served, verdict.attempts) == (1, 1, 1, 1)
    assert timeline(one.trace, records)


def test_a_connection_that_ends_under_a_request_loses_it():
    records, _, connection = scene(())
    connection.ended_at, connection.ending = 10.06, "reset"
    assert rules(records) == {"lost"}


def test_a_request_that_is_never_answered_is_lost_unless_its_client_left():
    assert rules(scene(())[0]) == {"lost"}
    assert not rules(scene((), left_at=10.004)[0])


@pytest.mark.parametrize(
    "terminated, killed, lost",
    [(None, 10.1, False), (9.0, 10.1, False), (9.0, 11.0, True), (9.9, 13.6, True), (13.0, 13.5, False)],
)
def test_what_a_kill_finds_unanswered(terminated, killed, lost):
    """An outright kill frees its requests; one after SIGTERM only what came too shortly before it."""
    records, _, connection = scene(())
    connection.ended_at, connection.ending = killed, "reset"
    records.lives[0].terminated_at, records.lives[0].killed_at = terminated, killed
    assert rules(records) == ({"lost"} if lost else set())


def test_two_answers_and_late_ones():
    assert rules(scene((GOOD, GOOD))[0]) == {"doubled answer"}
    assert rules(scene(((11.2, FAILED, ""),))[0]) == {"late"}
    assert not rules(scene(((10.9, FAILED, ""),))[0])


def test_an_answer_with_other_bytes():
    assert rules(scene(((10.02, SERVED, "0000000000000002@9000"),))[0]) == {"lost"}


def test_an_attempt_for_a_client_that_left_and_one_with_too_long_a_deadline():
    records, one, _ = scene((), left_at=10.0)
    records.arrivals[0] = Arrival("s-00000003", one.trace, 10.2, 10.2, {"ms": "1"})
    assert rules(records) == {"after client left"}
    records, one, _ = scene()
    records.arrivals[0] = Arrival("s-00000003", one.trace, 10.01, 10.01, {"ms": "700"})
    assert rules(records) == {"deadline"}


def test_effects_that_happen_twice_or_before_a_refusal():
    runs = [Run("s-00000003", "0000000000000001", 0, 10.01), Run("s-00000004", "0000000000000001", 0, 10.02)]
    records, _, _ = scene(cls="payment")
    records.runs = runs[:1]
    assert not rules(records)
    records.runs = runs
    assert rules(records) == {"duplicate"}
    records, _, _ = scene(((10.03, REFUSED, ""),), "payment")
    records.runs = runs[:1]
    assert rules(records) == {"duplicate"}


@pytest.mark.parametrize("told, broken", [(9.9, False), (9.0, True)])
def test_a_drain_that_is_not_kept(told, broken):
    records, _, _ = scene()
    records.told.append(Told(0, 1, told, "draining", "s-00000003", told))
    assert rules(records) == ({"drain"} if broken else set())


@pytest.mark.parametrize("told, broken", [(9.9, False), (9.5, True)])
def test_a_purge_that_is_not_kept(told, broken):
    records, _, _ = scene()
    records.told.append(Told(0, 1, told, "object", "0000000000000001", 9.3))
    assert rules(records) == ({"purge"} if broken else set())


def test_a_cold_node_that_is_sent_too_much():
    records, one, _ = scene()
    records.nodes.append(NodeLife("s-00000009", 9.5))
    some = [Arrival("s-00000009", one.trace, 10.0 + i / 10_000, 10.0, {"ms": "400"}) for i in range(300)]
    records.arrivals += some[:40]
    assert not rules(records)
    records.arrivals += some[40:]
    assert rules(records) == {"slow start"}


def test_a_process_that_ends_by_itself_or_holds_too_many_descriptors():
    records, _, _ = scene()
    records.lives[0].exited_at, records.lives[0].exit_code = 11.0, 1
    assert rules(records) == {"crash"}
    records, _, _ = scene()
    records.lives[0].most_descriptors = PLAN.sockets + 1
    assert rules(records) == {"descriptors"}


def test_a_seed_gives_the_same_plan_and_ports_of_its_own():
    assert plan(7) == plan(7) != plan(8)
    assert FIRST <= Ports(7).next() < Ports(8).next() < FIRST + 100 * EACH


def test_frames_and_commands_are_read_in_any_pieces():
    data = request(3, {"route": "read"}) + frame(8, 5, bytes([2, 1, 5]) + b"pause" + b"\0\x0210")
    frames = Frames()
    found = [each for byte in data for each in frames.feed(bytes([byte]))]
    assert [each[:2] for each in found] == [(7, 3), (8, 5)]
    assert read_answer(found[1][2]) == (2, {"pause": "10"}, b"")
    commands = Commands()
    data = resp(b"want", b"a", b"ms=1", b"")
    found = [each for place, byte in enumerate(data) for each in commands.feed(bytes([byte]), place)]
    assert [(each.items, each.begun_at) for each in found] == [([b"want", b"a", b"ms=1", b""], 0)]
    with pytest.raises(ValueError):
        commands.feed(b"GET / HTTP/1.1\r\n", 1.0)


def test_a_few_seeds_pass():
    """The whole of it is run by hand: see docs/soak.md."""
    command = [sys.executable, "-m", "benchmarks.soak", "--seeds", str(SEEDS), "--first", str(FIRST_SEED)]
    command += ["--seconds", "7", "--jobs", str(JOBS), "--json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stderr[-4000:]
    total = json.loads(done.stdout.splitlines()[-1])
    assert total["seeds"] == SEEDS and total["requests"] > 100 * SEEDS and not total["failed_seeds"]
