"""The lab's runs on real sockets, and a director with its account turned on."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from ironhinge.jobs.plan import Budgets
from ironhinge.jobs.runner import Runner
from ironhinge.lab.nodes import Store
from ironhinge.lab.scenes import SCENES, asks, scene
from ironhinge.settings.load import load_texts
from ironhinge.traffic.report import collect
from ironhinge.traffic.service import AccountService, Clocks
from ironhinge.traffic.snapshot_files import file_name, read_folder
from ironhinge.traffic.types import DirectorIdentity

from .helpers import FakeClient, FakeNode, Program, configuration, deployment, endpoint, free_port

FAR = 60  # seconds after which something has gone wrong


def lab(*args):
    command = [sys.executable, "-m", "ironhinge", "lab", "run", "--json", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=FAR)


@pytest.mark.parametrize("name", ["calm", "hub-loss", "stream-budget"])
def test_a_run_answers_once_and_reports_what_crossed(name):
    """How much crosses depends on the machine; not that it is booked, answered once and held."""
    done = lab("--scenario", name, "--seconds", "3", "--seed", "2")
    found = json.loads(done.stdout.splitlines()[-1])
    assert found["requests"] == found["final_answers"] > 50 and not found["doubled_answers"]
    assert not found["spoiled_answers"] and found["director_exits"] == [0, 0]
    assert found["crossed_bytes"] <= found["budget_bytes"] + found["budget_slack_bytes"]
    unsure = found["fills_cut"] + found["left"]  # what no one can know exactly
    cut = found["guessed_bytes"] + 16_000 * unsure
    assert abs(found["reported_bytes"] - found["carried_bytes"]) <= cut
    assert found["carried_bytes"] > 100_000


def test_the_same_seed_makes_the_same_reqs():
    assert asks(SCENES["calm"], 4, 5.0) == asks(SCENES["calm"], 4, 5.0) != asks(SCENES["calm"], 5, 5.0)
    assert len(asks(scene("calm", 3.0), 4, 5.0)) > 2 * len(asks(SCENES["calm"], 4, 5.0))


def test_an_interrupt_leaves_no_process(tmp_path):
    command = [sys.executable, "-m", "ironhinge", "lab", "run", "--seconds", "60"]
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=env)
    for line in process.stderr:
        if " reqs" in line:
            break
    process.send_signal(signal.SIGINT)
    _, _ = process.communicate(timeout=FAR)
    assert process.returncode == 130 and not list(tmp_path.iterdir())
    found = subprocess.run(["ps", "-eo", "ppid,args"], capture_output=True, text=True).stdout
    assert not [line for line in found.splitlines() if str(tmp_path) in line]


def test_a_store_lets_go_of_what_ranks_lowest_first():
    store = Store(30)
    for name, rank in (("a", 3), ("b", 1), ("c", 2)):
        store.keep((name, "0"), b"x" * 10, 0, rank)
    store.keep(("d", "0"), b"x" * 10, 0, 1)
    assert store.find(("b", "0")) is None and store.find(("a", "0")) and store.held == 30


# A director with its account on


def operations(folder, budgets):
    path = folder / "operations.cue"
    path.write_text(
        'traffic: {keep: {folder: "%s", every: "100ms"}, budgets: {%s}}' % (folder / "kept", budgets)
    )
    return path


class Kept(Program):
    """A director that is started with an operations file."""

    def __init__(self, folder, told, path):
        self.args = ["--operations", str(path)]
        super().__init__(folder, told)

    def until(self, text):
        end = time.monotonic() + FAR
        while text not in self.text():
            assert time.monotonic() < end, self.text()
            time.sleep(0.02)


def told(node, parent, zones=("east", "west")):
    rows = [endpoint("s-00000001", node.address), endpoint("s-00000002", parent.address, "parent")]
    return configuration(rows, f"127.0.0.1:{free_port()}")


def test_bad_settings_change_nothing_and_good_ones_hold_at_once(tmp_path):
    node, parent = FakeNode(), FakeNode(holds_all=True)
    path = operations(tmp_path, 'a: {rate: "1MB/s", begin: "full"}')
    program = Kept(tmp_path, told(node, parent), path)
    try:
        client = FakeClient(program.port)
        assert client.answer(client.ask())[0] == 1
        path.write_text("traffic: {budgets: {a: {rate: 5}}}")
        program.process.send_signal(signal.SIGHUP)
        program.until("settings_reload_failed error=")
        path.write_text('traffic: {budgets: {a: {rate: "1B/s", into: "nowhere"}}}')
        program.process.send_signal(signal.SIGHUP)
        program.until('found "nowhere", expected one of east, west')
        assert client.answer(client.ask(entity="00000000000000aa"))[0] == 1
        operations(tmp_path, 'a: {rate: "1B/s", ways: ["other-hub", "own-hub", "origin"]}')
        program.process.send_signal(signal.SIGHUP)
        program.until("budgets_reloaded budgets=a\n")
        client.answer(client.ask(entity="00000000000000bb"))  # may take all that there was
        code, fields, _ = client.answer(client.ask(entity="00000000000000cc"))
        assert code == 2 and int(fields["pause"]) > 0, (
            "a budget that has run out denies at once, with a pause"
        )
        program.process.terminate()
        assert program.process.wait(FAR) == 0
        found, wrong = read_folder(tmp_path / "kept")
        assert not wrong and found[0].state.is_final and collect(found).total() > 0
    finally:
        program.stop()


def test_a_killed_director_goes_on_with_its_account_and_a_torn_one_begins_anew(tmp_path):
    node, parent = FakeNode(), FakeNode(holds_all=True)
    path, folder = operations(tmp_path, 'a: {rate: "1MB/s", ways: ["neighbour"]}'), tmp_path / "kept"
    config = told(node, parent)
    totals, said = [], ""
    for life in range(3):
        program = Kept(tmp_path, config, path)
        try:
            client = FakeClient(program.port)
            assert client.answer(client.ask(entity=f"00000000000000c{life}", size="1"))[0] == 1
            end = time.monotonic() + FAR
            while True:
                found, _ = read_folder(folder)
                if found and collect(found).total() > sum(totals[-1:]):
                    break
                assert time.monotonic() < end
                time.sleep(0.02)
            said += program.text()
        finally:
            program.stop()  # by force
        totals.append(collect(read_folder(folder)[0]).total())
        if life == 1:
            kept = folder / file_name("n0")
            kept.write_bytes(kept.read_bytes()[:-9])  # as a disk might leave it
            totals.append(0)
    assert totals[1] == 2 * totals[0] and totals[3] == totals[0]
    assert "not written whole" in said and "time_unaccounted duration_ms=" in said


def test_a_snapshot_that_was_slow_to_be_written_replaces_no_newer_one(tmp_path):
    one = load_texts([("f", 'traffic: keep: {folder: "%s"}' % tmp_path)]).operations.traffic
    runner, identity = Runner(Budgets(), lambda: 0), DirectorIdentity("n0", ("a",), ("film",), 0)
    clocks = Clocks(lambda: 0, lambda: 1_764_576_000_000)
    service = AccountService(one, deployment(), identity, clocks, runner)
    slow = service.pack_snapshot(is_final=False)
    service.close()
    service.write_snapshot(tmp_path / file_name("n0"), *slow)
    assert [each.state.is_final for each in read_folder(tmp_path)[0]] == [True]


def test_serve_imports_only_what_is_on():
    code = (
        "import sys, ironhinge.cli, ironhinge.net.service\n"
        "bad = {'lark', 'msgspec', 'xxhash', 'hdrh', 'prometheus_client', 'matplotlib', 'numpy',"
        " 'ironhinge.traffic.ledger', 'ironhinge.lab.run', 'ironhinge.disk.store',"
        " 'ironhinge.jobs.runner'} & set(sys.modules)\n"
        "assert not bad, bad"
    )
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_reports_on_the_command_line(tmp_path):
    node, parent = FakeNode(), FakeNode(holds_all=True)
    path = operations(tmp_path, 'a: {sum: "1GB", ahead: 1, begin: "full"}')
    path.write_text(
        path.read_text().replace("traffic: {", "traffic: {distributions: true, prices: [{per_gb: 5}], ")
    )
    program = Kept(tmp_path, told(node, parent), path)
    try:
        client = FakeClient(program.port)
        assert client.answer(client.ask())[0] == 1
        program.process.terminate()
        program.process.wait(FAR)
    finally:
        program.stop()

    def run(*args):
        command = [sys.executable, "-m", "ironhinge", "traffic", *args]
        return subprocess.run(command, capture_output=True, text=True, timeout=FAR)

    kept = str(tmp_path / "kept")
    found = json.loads(run("report", kept, "--json", "--operations", str(path)).stdout)
    assert found["total_bytes"] == sum(found["cuts"]["vhost"].values()) > 0
    assert found["money"]["other-hub"] == pytest.approx(found["total_bytes"] * 5 / 1e9)
    assert found["budgets"]["a"]["spent"] == found["total_bytes"] and found["distributions"]["n0"]["film"]
    assert run("report", kept, "--csv").stdout.startswith("start,into,out_of,way")
    picture = tmp_path / "out.png"
    shown = run("report", kept, "--plot", str(picture), "--window", "second")
    assert "other-hub" in shown.stdout and picture.stat().st_size > 1000
    assert "fills" in run("watch", kept, "--times", "1").stdout
    (tmp_path / "kept" / "x.traffic").write_bytes(b"no")
    assert "passed over" in run("report", kept).stderr
    assert run("report", str(tmp_path)).returncode == 1
