"""Background work in its order, and a director that serves copies of its own."""

import json
import signal
import subprocess
import sys
import threading
import time

import anyio
import pytest

from ironhinge import interface
from ironhinge.disk.files import Files
from ironhinge.disk.tier import Tier
from ironhinge.jobs.plan import Budgets, Cancelled, Job, Late, Plan, Run, Sliced, Stop, Submitted, Tick, Wake
from ironhinge.jobs.runner import Runner
from ironhinge.settings.load import load_texts

from .helpers import (
    FakeClient,
    FakeCoordinator,
    FakeNode,
    Program,
    configuration,
    deployment,
    endpoint,
    free_port,
    outcome,
    req,
    router,
)

S = 10_000
FAR = 60


def names(acts):
    return [act.name for act in acts if type(act) is Run]


# The plan


def test_a_higher_class_goes_first_and_a_class_shares_by_weight():
    plan = Plan(Budgets(disk=1e6, cpu=1.0), 0)
    plan.step(0, Submitted(Job("low")))
    assert names(plan.step(0, Submitted(Job("high", 2)))) == []  # low runs; a slice is not cut
    assert names(plan.step(0, Sliced("low", 10, 1, False))) == ["high"]
    assert names(plan.step(0, Sliced("high", 10, 1, True))) == ["low"]
    plan.step(0, Sliced("low", 10, 1, True))
    turns = {"one": 0, "two": 0}
    (running,) = names(plan.step(0, Submitted(Job("one", 1, 1.0))))
    plan.step(0, Submitted(Job("two", 1, 3.0)))
    for at in range(1, 400):
        turns[running] += 1
        (running,) = names(plan.step(at * 1000, Sliced(running, 1000, 1, False)))
    assert 2.5 < turns["two"] / turns["one"] < 3.5


def test_budgets_go_into_debt_by_one_slice_and_wait_it_off():
    plan = Plan(Budgets(disk=1000.0, cpu=1.0), 0)
    assert names(plan.step(0, Submitted(Job("a"))))
    acts = plan.step(0, Sliced("a", 3000, 1, False))
    assert acts == [Wake(2 * S + 1)] and plan.why(0, "a") == "waits for the disk budget"
    assert names(plan.step(2 * S, Tick())) == [] and names(plan.step(2 * S + 20, Tick())) == ["a"]


def test_late_reqs_shrink_background_work_and_it_comes_back():
    plan = Plan(Budgets(disk=1000.0, cpu=1.0), 0)
    for _ in range(10):
        plan.step(0, Late(True))
    assert plan.share == 1 / 16
    for _ in range(100):
        plan.step(0, Late(False))
    assert plan.share == 1.0


def test_deadlines_and_waiting_overtake_classes():
    plan = Plan(Budgets(), 0)
    plan.step(0, Submitted(Job("busy", 5)))
    plan.step(0, Submitted(Job("late", 0, deadline=S)))
    plan.step(0, Submitted(Job("old", 4)))
    assert names(plan.step(0, Sliced("busy", 1, 1, False))) == ["busy"]
    assert names(plan.step(2 * S, Sliced("busy", 1, 1, False))) == ["late"]
    plan.step(2 * S, Sliced("late", 1, 1, True))
    assert names(plan.step(70 * S, Sliced("busy", 1, 1, False))) == ["old"], "it has waited long"


def test_jobs_end_once_and_by_name():
    plan = Plan(Budgets(), 0)
    plan.step(0, Submitted(Job("a")))
    plan.step(0, Submitted(Job("a")))
    plan.step(0, Submitted(Job("b")))
    assert plan.step(0, Cancelled("b"))[0] == Stop("b")
    assert plan.step(0, Cancelled("a")) == []
    assert Stop("a") in plan.step(0, Sliced("a", 1, 1, False))
    plan.step(0, Submitted(Job("c")))
    plan.step(0, Sliced("c", 0, 0, False, "it broke"))
    assert plan.ended == {"b": "cancelled", "a": "cancelled", "c": "failed: it broke"} and not plan.jobs


# The module with a shelf


class Shelf:
    def __init__(self, age):
        self.age, self.wanted = age, []

    def lookup(self, now, came):
        return self.age

    def should_store(self, now, came):
        self.wanted.append(came.request_id)
        return True


def with_shelf(age, **other):
    one = router(deployment(**other))
    one.local_store = Shelf(age)
    return one


def test_a_young_copy_is_served_and_an_old_one_walked_past():
    assert with_shelf(100).handle(0, req("r")) == [interface.ServeLocalCopy("r")]
    assert type(with_shelf(-1).handle(0, req("r"))[0]) is interface.SendAttemptWithFill
    assert type(with_shelf(20_001).handle(0, req("r", vhost=1))[0]) is interface.SendAttemptWithFill, (
        "past its fresh time"
    )
    assert with_shelf(20_000).handle(0, req("r", vhost=1)) == [interface.ServeLocalCopy("r")]
    assert type(with_shelf(100).handle(0, req("r", left=30))[0]) is interface.RejectRequest, (
        "no time to read it"
    )


def test_a_copy_older_than_a_purge_is_not_served():
    one = with_shelf(500)
    one.handle(1000, interface.PurgeNotified(1, 0, 0))
    assert type(one.handle(1400, req("r"))[0]) is interface.SendAttemptWithFill
    assert one.handle(1600, req("s")) == [interface.ServeLocalCopy("s")], "it came after the purge"


def test_a_copy_that_could_not_be_read_begins_the_walk_and_one_that_was_ends_it():
    one = with_shelf(5)
    one.handle(0, req("r"))
    assert type(one.handle(10, interface.LocalCopyFinished("r", False))[0]) is interface.SendAttemptWithFill
    one.handle(0, req("s"))
    assert one.handle(10, interface.LocalCopyFinished("s", True)) == [] and "s" not in one.requests
    one.handle(0, req("t"))
    one.handle(1, interface.ClientDisconnected("t"))
    assert one.handle(10, interface.LocalCopyFinished("t", False)) == [] and "t" not in one.requests
    assert one.handle(11, interface.LocalCopyFinished("t", False)) == []


def test_what_came_is_kept_where_the_shelf_wants_it():
    one = with_shelf(-1)
    act = one.handle(0, req("r"))[0]
    assert one.handle(50, outcome(act, "done", note=2)) == [interface.StoreLocalCopy("r")]
    act = one.handle(60, req("s"))[0]
    assert interface.StoreLocalCopy("s") not in one.handle(70, outcome(act, "error", note=2))


# A director with a tier


class Kept(Program):
    def __init__(self, folder, told, **disk):
        fields = {
            "folder": str(folder / "tier"),
            "room": "4MB",
            "segment": "512KiB",
            "patience": "5s",
            **disk,
        }
        path = folder / "operations.cue"
        path.write_text(
            "disk: {%s}" % ", ".join(f"{key}: {json.dumps(value)}" for key, value in fields.items())
        )
        self.args = ["--operations", str(path)]
        super().__init__(folder, told)


def told(node, **other):
    rows = [endpoint("s-00000001", node.address)]
    return configuration(rows, f"127.0.0.1:{free_port()}", **other)


def until(true):
    end = time.monotonic() + FAR
    while not true():
        assert time.monotonic() < end
        time.sleep(0.02)


def ask(client, entity, **other):
    return client.answer(client.ask(entity=entity, **other))


ONE, TWO = "00000000000000a1", "00000000000000a2"


def run(*args):
    done = subprocess.run(
        [sys.executable, "-m", "ironhinge", *args], capture_output=True, text=True, timeout=FAR
    )
    return done.returncode, done.stdout, done.stderr


def in_tier(folder, count):
    """True once that many copies are on disk."""
    code, out, _ = run("disk", "ls", str(folder / "tier"), "--json")
    return code == 0 and len(json.loads(out)) >= count


def test_a_copy_is_kept_served_and_outlives_a_kill(tmp_path):
    node = FakeNode(holds_all=True)
    config = told(node)
    program = Kept(tmp_path, config)
    client = FakeClient(program.port)
    first = [ask(client, ONE) for _ in range(3)]  # the second sighting makes it worth its place
    assert {code for code, _, _ in first} == {1}
    until(lambda: in_tier(tmp_path, 1))
    asked = len(node.wanted)
    code, _, body = ask(client, ONE)
    assert (code, body) == (1, first[0][2]) and len(node.wanted) == asked
    assert ask(client, ONE, have="4b")[1] == {"same": "1"}
    program.process.send_signal(signal.SIGKILL)
    program.process.wait()
    program.stop()
    program = Kept(tmp_path, config)
    try:
        client = FakeClient(program.port)
        assert ask(client, ONE)[2] == body and len(node.wanted) == asked, "not served from disk after a kill"
        assert run("disk", "compact", str(tmp_path / "tier"))[0] == 1, "the folder is in use"
    finally:
        program.stop()
    code, out, _ = run("disk", "verify", str(tmp_path / "tier"), "--json")
    assert code == 0 and json.loads(out)["entries"] == 1
    assert run("disk", "compact", str(tmp_path / "tier"))[0] == 0
    assert run("disk", "drop", str(tmp_path / "tier"), ONE)[0] == 0
    assert run("disk", "drop", str(tmp_path / "tier"), ONE)[0] == 1
    assert json.loads(run("disk", "status", str(tmp_path / "tier"), "--json")[1])["entries"] == 0


def test_a_purge_binds_the_tier_also_one_that_came_while_it_was_down(tmp_path):
    node, coordinator = FakeNode(holds_all=True), FakeCoordinator()
    config = told(node, coordinator=coordinator.address)
    program = Kept(tmp_path, config)
    try:
        client = FakeClient(program.port)
        for entity in (ONE, TWO) * 3:
            ask(client, entity)
        until(lambda: in_tier(tmp_path, 2))
        asked = len(node.wanted)
        at = int(time.time() * 1000) + 1
        coordinator.tell(2, 3, bytes.fromhex(ONE) + at.to_bytes(8, "big"))
        until(lambda: ask(client, ONE)[0] == 1 and len(node.wanted) > asked)
        asked = len(node.wanted)
        assert ask(client, TWO)[0] == 1 and len(node.wanted) == asked
        program.process.terminate()
        assert program.process.wait(FAR) == 0
    finally:
        program.stop()
    at = int(time.time() * 1000)
    purge = {"index": 2, "evict": {"ref": TWO, "unix_ms": at}}
    config = told(node, updates=[purge])
    program = Kept(tmp_path, config)
    try:
        client, asked = FakeClient(program.port), len(node.wanted)
        assert ask(client, TWO)[0] == 1 and len(node.wanted) == asked + 1, (
            "served a copy purged while it was down"
        )
    finally:
        program.stop()


class Slow(Files):
    """A disk whose reads hang until they are let go."""

    held = threading.Event()

    def read_at(self, name, offset, *sizes):
        self.held.wait(FAR)
        return super().read_at(name, offset, *sizes)


def test_a_disk_that_hangs_is_a_miss_within_the_patience_and_slows_background_work(tmp_path):
    disk = load_texts(
        [("f", 'disk: {folder: "%s", room: "1MB", patience: "20ms"}' % tmp_path)]
    ).operations.disk

    async def play():
        runner = Runner(Budgets(), lambda: 0)
        tier = Tier(disk, deployment(), "n0", lambda: 0, lambda: 1_764_576_000_000, runner, Slow)
        came = req("r", 1)
        tier.keep(came, "t", 1_764_576_000_000 - 5, b"bytes")
        tier._write()
        assert tier.lookup(0, came) == 50
        assert await tier.read(came) is None
        assert tier.counts["slow"] == 1 and runner.plan.share < 1
        Slow.held.set()
        copy = None
        while copy is None:  # as soon as the disk goes on, so do hits
            copy = await tier.read(came)
        assert copy.body == b"bytes" and tier.status()["hit_share"]
        tier.close()

    anyio.run(play)


@pytest.mark.parametrize("what", ["flip", "gone"])
def test_a_bad_disk_costs_hits_not_answers(tmp_path, what):
    node = FakeNode(holds_all=True)
    program = Kept(tmp_path, told(node))
    try:
        client = FakeClient(program.port)
        for _ in range(3):
            code, _, body = ask(client, ONE)
        until(lambda: in_tier(tmp_path, 1))
        asked = len(node.wanted)
        (segment,) = (tmp_path / "tier").glob("*.seg")
        if what == "gone":
            segment.unlink()
            segment.write_bytes(b"")
        with open(segment, "r+b") as file:
            for at in range(300, segment.stat().st_size, 200):
                file.seek(at)
                file.write(b"\0\0\0\0")
        assert ask(client, ONE)[::2] == (1, body)
        if what == "flip":
            assert len(node.wanted) == asked + 1, "bytes that were not verified"
    finally:
        program.stop()


def test_a_folder_that_is_in_use_or_foreign_ends_with_code_1(tmp_path):
    node = FakeNode(holds_all=True)
    program = Kept(tmp_path, told(node))
    try:
        args = ["serve", "--config", str(program.config), *program.args]
        code, _, err = run(*args)
        assert code == 1 and "in use by another process" in err
        client = FakeClient(program.port)
        for _ in range(3):
            ask(client, ONE)
        until(lambda: in_tier(tmp_path, 1))
    finally:
        program.stop()
    code, _, err = run(*args, "--name", "another")
    assert code == 1 and "another installation" in err
    assert run("jobs", str(tmp_path))[0] == 1
