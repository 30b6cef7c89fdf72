"""The lab's runs on real sockets, and a director that keeps a traffic account."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from ironhinge.jobs.messages import Budgets
from ironhinge.jobs.runner import Runner
from ironhinge.lab.copy_store import CopyStore, StoredCopy
from ironhinge.lab.scenarios import SCENARIOS, generate_requests, scaled_scenario
from ironhinge.settings.load import load_texts
from ironhinge.traffic.report import collect
from ironhinge.traffic.service import AccountService, Clocks
from ironhinge.traffic.snapshot_files import file_name, read_folder
from ironhinge.traffic.types import DirectorIdentity

from .helpers import (
    DirectorProcess,
    FakeClient,
    FakeUpstream,
    configuration,
    endpoint_config,
    free_port,
    new_deployment,
)

TIMEOUT = 60  # seconds for a process to exit or a condition to hold


def run_lab(*args):
    command = [sys.executable, "-m", "ironhinge", "lab", "run", "--json", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT)


@pytest.mark.parametrize("name", ["calm", "hub-loss", "stream-budget"])
def test_each_request_is_answered_once_and_the_accounts_match_the_carried_bytes(name):
    """The number of bytes depends on the machine's speed; that they are accounted and in budget does not."""
    completed = run_lab("--scenario", name, "--seconds", "3", "--seed", "2")
    report = json.loads(completed.stdout.splitlines()[-1])
    assert report["requests"] == report["final_answers"] > 50
    assert not report["doubled_answers"]
    assert not report["spoiled_answers"]
    assert report["director_exits"] == [0, 0]
    assert report["crossed_bytes"] <= report["budget_bytes"] + report["budget_slack_bytes"]
    cancelled = report["fills_cut"] + report["left"]  # how many of their bytes crossed is not known exactly
    tolerance = report["guessed_bytes"] + 16_000 * cancelled
    assert abs(report["reported_bytes"] - report["carried_bytes"]) <= tolerance
    assert report["carried_bytes"] > 100_000


def test_the_same_seed_generates_the_same_requests():
    calm = SCENARIOS["calm"]
    requests = generate_requests(calm, 4, 5.0)
    assert generate_requests(calm, 4, 5.0) == requests
    assert generate_requests(calm, 5, 5.0) != requests
    assert len(generate_requests(scaled_scenario("calm", 3.0), 4, 5.0)) > 2 * len(requests)


def test_an_interrupt_leaves_no_process_and_no_file(tmp_path):
    command = [sys.executable, "-m", "ironhinge", "lab", "run", "--seconds", "60"]
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=env)
    for line in process.stderr:
        if " reqs" in line:
            break
    process.send_signal(signal.SIGINT)
    _, _ = process.communicate(timeout=TIMEOUT)
    assert process.returncode == 130
    assert not list(tmp_path.iterdir())
    processes = subprocess.run(["ps", "-eo", "ppid,args"], capture_output=True, text=True).stdout
    assert not [line for line in processes.splitlines() if str(tmp_path) in line]


def test_a_copy_store_evicts_the_lowest_rank_first():
    store = CopyStore(30)
    copy = StoredCopy(b"x" * 10, 0)
    for name, rank in (("a", 3), ("b", 1), ("c", 2)):
        store.put((name, "0"), copy, rank)
    store.put(("d", "0"), copy, 1)
    assert store.find(("b", "0")) is None
    assert store.find(("a", "0"))
    assert store.used == 30


# A director that keeps a traffic account


def write_operations(folder, budgets):
    path = folder / "operations.cue"
    snapshots = folder / "kept"
    keep_setting = f'keep: {{folder: "{snapshots}", every: "100ms"}}'
    path.write_text(f"traffic: {{{keep_setting}, budgets: {{{budgets}}}}}")
    return path


class AccountingDirector(DirectorProcess):
    """A director that keeps a traffic account, as its operations file enables it."""

    def __init__(self, folder, config, path):
        self.args = ["--operations", str(path)]
        super().__init__(folder, config)

    def wait_for_log(self, text):
        end = time.monotonic() + TIMEOUT
        while text not in self.log_text():
            assert time.monotonic() < end, self.log_text()
            time.sleep(0.02)


def director_config(upstream, parent):
    endpoints = [
        endpoint_config("s-00000001", upstream.address),
        endpoint_config("s-00000002", parent.address, "parent"),
    ]
    return configuration(endpoints, f"127.0.0.1:{free_port()}")


def test_invalid_settings_change_nothing_and_valid_ones_apply_at_once(tmp_path):
    upstream, parent = FakeUpstream(), FakeUpstream(has_all_objects=True)
    path = write_operations(tmp_path, 'a: {rate: "1MB/s", begin: "full"}')
    director = AccountingDirector(tmp_path, director_config(upstream, parent), path)
    try:
        client = FakeClient(director.port)
        assert client.read_answer(client.send_request())[0] == 1
        path.write_text("traffic: {budgets: {a: {rate: 5}}}")
        director.process.send_signal(signal.SIGHUP)
        director.wait_for_log("settings_reload_failed error=")
        path.write_text('traffic: {budgets: {a: {rate: "1B/s", into: "nowhere"}}}')
        director.process.send_signal(signal.SIGHUP)
        director.wait_for_log('found "nowhere", expected one of east, west')
        assert client.read_answer(client.send_request(entity="00000000000000aa"))[0] == 1
        write_operations(tmp_path, 'a: {rate: "1B/s", ways: ["other-hub", "own-hub", "origin"]}')
        director.process.send_signal(signal.SIGHUP)
        director.wait_for_log("budgets_reloaded budgets=a\n")
        client.read_answer(client.send_request(entity="00000000000000bb"))  # may use up the budget
        code, fields, _ = client.read_answer(client.send_request(entity="00000000000000cc"))
        assert code == 2, "an exhausted budget rejects at once"
        assert int(fields["pause"]) > 0
        director.process.terminate()
        assert director.process.wait(TIMEOUT) == 0
        stored, unreadable = read_folder(tmp_path / "kept")
        assert not unreadable
        assert stored[0].state.is_final
        assert collect(stored).total() > 0
    finally:
        director.stop()


def test_a_killed_director_resumes_its_account_and_starts_a_new_one_after_a_torn_snapshot(tmp_path):
    upstream, parent = FakeUpstream(), FakeUpstream(has_all_objects=True)
    path, folder = write_operations(tmp_path, 'a: {rate: "1MB/s", ways: ["neighbour"]}'), tmp_path / "kept"
    config = director_config(upstream, parent)
    totals, log = [], ""
    for incarnation in range(3):
        director = AccountingDirector(tmp_path, config, path)
        try:
            client = FakeClient(director.port)
            assert (
                client.read_answer(client.send_request(entity=f"00000000000000c{incarnation}", size="1"))[0]
                == 1
            )
            end = time.monotonic() + TIMEOUT
            while True:
                stored, _ = read_folder(folder)
                if stored and collect(stored).total() > sum(totals[-1:]):
                    break
                assert time.monotonic() < end
                time.sleep(0.02)
            log += director.log_text()
        finally:
            director.stop()  # with SIGKILL
        totals.append(collect(read_folder(folder)[0]).total())
        if incarnation == 1:
            snapshot = folder / file_name("n0")
            snapshot.write_bytes(snapshot.read_bytes()[:-9])  # cut short, as after a crash during the write
            totals.append(0)
    assert totals[1] == 2 * totals[0]
    assert totals[3] == totals[0]
    assert "checksum mismatch" in log
    assert "time_unaccounted duration_ms=" in log


def test_a_delayed_snapshot_does_not_replace_a_newer_one(tmp_path):
    traffic_settings = load_texts([("f", f'traffic: keep: {{folder: "{tmp_path}"}}')]).operations.traffic
    runner, identity = Runner(Budgets(), lambda: 0), DirectorIdentity("n0", ("a",), ("film",), 0)
    clocks = Clocks(lambda: 0, lambda: 1_764_576_000_000)
    service = AccountService(traffic_settings, new_deployment(), identity, clocks, runner)
    delayed_snapshot = service.pack_snapshot(is_final=False)
    service.close()
    service.write_snapshot(tmp_path / file_name("n0"), *delayed_snapshot)
    assert [each.state.is_final for each in read_folder(tmp_path)[0]] == [True]


def test_serve_imports_only_enabled_features():
    code = (
        "import sys, ironhinge.cli, ironhinge.net.service\n"
        "bad = {'lark', 'msgspec', 'xxhash', 'hdrh', 'prometheus_client', 'matplotlib', 'numpy',"
        " 'ironhinge.traffic.ledger', 'ironhinge.lab.run', 'ironhinge.disk.store',"
        " 'ironhinge.jobs.runner'} & set(sys.modules)\n"
        "assert not bad, bad"
    )
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_the_report_and_watch_commands_print_the_account(tmp_path):
    upstream, parent = FakeUpstream(), FakeUpstream(has_all_objects=True)
    path = write_operations(tmp_path, 'a: {sum: "1GB", ahead: 1, begin: "full"}')
    path.write_text(
        path.read_text().replace("traffic: {", "traffic: {distributions: true, prices: [{per_gb: 5}], ")
    )
    director = AccountingDirector(tmp_path, director_config(upstream, parent), path)
    try:
        client = FakeClient(director.port)
        assert client.read_answer(client.send_request())[0] == 1
        director.process.terminate()
        director.process.wait(TIMEOUT)
    finally:
        director.stop()

    def run(*args):
        command = [sys.executable, "-m", "ironhinge", "traffic", *args]
        return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT)

    snapshot_folder = str(tmp_path / "kept")
    report = json.loads(run("report", snapshot_folder, "--json", "--operations", str(path)).stdout)
    assert report["total_bytes"] == sum(report["cuts"]["vhost"].values()) > 0
    assert report["money"]["other-hub"] == pytest.approx(report["total_bytes"] * 5 / 1e9)
    assert report["budgets"]["a"]["spent"] == report["total_bytes"]
    assert report["distributions"]["n0"]["film"]
    assert run("report", snapshot_folder, "--csv").stdout.startswith("start,into,out_of,way")
    plot_file = tmp_path / "out.png"
    plot_run = run("report", snapshot_folder, "--plot", str(plot_file), "--window", "second")
    assert "other-hub" in plot_run.stdout
    assert plot_file.stat().st_size > 1000
    assert "fills" in run("watch", snapshot_folder, "--times", "1").stdout
    (tmp_path / "kept" / "x.traffic").write_bytes(b"no")
    assert "skipped" in run("report", snapshot_folder).stderr
    assert run("report", str(tmp_path)).returncode == 1
