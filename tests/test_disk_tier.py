"""A director with a disk tier, which serves copies from its own disk."""

import json
import signal
import subprocess
import sys
import threading
import time

import anyio
import pytest
from loguru import logger

from ironhinge.disk.directory import StoreDirectory
from ironhinge.disk.tier import DiskTier, TierContext
from ironhinge.jobs.messages import Budgets
from ironhinge.jobs.runner import Runner
from ironhinge.settings.load import load_texts

from .helpers import (
    DirectorProcess,
    FakeClient,
    FakeCoordinator,
    FakeServer,
    FakeUpstream,
    configuration,
    endpoint_config,
    free_port,
    new_deployment,
    request_received,
)

TIMEOUT = 60  # seconds
NOW_MS = 1_764_576_000_000


class DirectorWithTier(DirectorProcess):
    def __init__(self, folder, config, **disk):
        fields = {
            "folder": str(folder / "tier"),
            "room": "4MB",
            "segment": "512KiB",
            "patience": "5s",
            **disk,
        }
        path = folder / "operations.cue"
        settings = ", ".join(f"{key}: {json.dumps(value)}" for key, value in fields.items())
        path.write_text(f"disk: {{{settings}}}")
        self.args = ["--operations", str(path)]
        super().__init__(folder, config)


def config_for(upstream, **other):
    endpoints = [endpoint_config("s-00000001", upstream.address)]
    return configuration(endpoints, f"127.0.0.1:{free_port()}", **other)


def wait_until(condition):
    end = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


def request_copy(client, entity, **other):
    return client.read_answer(client.send_request(entity=entity, **other))


FIRST_ENTITY, SECOND_ENTITY = "00000000000000a1", "00000000000000a2"


def run(*args):
    completed = subprocess.run(
        [sys.executable, "-m", "ironhinge", *args], capture_output=True, text=True, timeout=TIMEOUT
    )
    return completed.returncode, completed.stdout, completed.stderr


def tier_has_copies(folder, count):
    """Returns whether the tier has at least `count` copies on disk."""
    code, out, _ = run("disk", "ls", str(folder / "tier"), "--json")
    return code == 0 and len(json.loads(out)) >= count


def test_copy_is_stored_and_served_and_survives_a_kill(tmp_path):
    upstream = FakeUpstream(has_all_objects=True)
    config = config_for(upstream)
    program = DirectorWithTier(tmp_path, config)
    client = FakeClient(program.port)
    answers = [request_copy(client, FIRST_ENTITY) for _ in range(3)]  # admitted at the second request
    assert {code for code, _, _ in answers} == {1}
    wait_until(lambda: tier_has_copies(tmp_path, 1))
    request_count = len(upstream.request_ids)
    code, _, body = request_copy(client, FIRST_ENTITY)
    assert (code, body) == (1, answers[0][2])
    assert len(upstream.request_ids) == request_count
    assert request_copy(client, FIRST_ENTITY, have="4b")[1] == {"same": "1"}
    program.process.send_signal(signal.SIGKILL)
    program.process.wait()
    program.stop()
    program = DirectorWithTier(tmp_path, config)
    try:
        client = FakeClient(program.port)
        assert request_copy(client, FIRST_ENTITY)[2] == body
        assert len(upstream.request_ids) == request_count, "not served from disk after a kill"
        assert run("disk", "compact", str(tmp_path / "tier"))[0] == 1, "the folder is in use"
    finally:
        program.stop()
    code, out, _ = run("disk", "verify", str(tmp_path / "tier"), "--json")
    assert code == 0
    assert json.loads(out)["entries"] == 1
    assert run("disk", "compact", str(tmp_path / "tier"))[0] == 0
    assert run("disk", "drop", str(tmp_path / "tier"), FIRST_ENTITY)[0] == 0
    assert run("disk", "drop", str(tmp_path / "tier"), FIRST_ENTITY)[0] == 1
    assert json.loads(run("disk", "status", str(tmp_path / "tier"), "--json")[1])["entries"] == 0


def test_copies_are_not_served_while_discovery_is_down_and_a_purge_may_be_missed(tmp_path):
    """A copy from before a purge was served through an outage of discovery, however long it lasted."""
    upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
    program = DirectorWithTier(tmp_path, config_for(upstream, coordinator=coordinator.address))
    try:
        client = FakeClient(program.port)
        for _ in range(3):
            request_copy(client, FIRST_ENTITY)
        wait_until(lambda: tier_has_copies(tmp_path, 1))
        for index in (2, 3):  # events of another object: discovery is up
            at = int(time.time() * 1000)
            coordinator.publish(index, 3, bytes.fromhex(SECOND_ENTITY) + at.to_bytes(8, "big"))
            time.sleep(0.1)
            coordinator.send_keepalive()
            time.sleep(0.1)
            request_count = len(upstream.request_ids)
            assert request_copy(client, FIRST_ENTITY)[0] == 1
            assert len(upstream.request_ids) == request_count, "not served from disk while discovery was up"
            coordinator.answers_at_once = False
            time.sleep(2.1)  # the coordinator writes nothing meanwhile
            assert request_copy(client, FIRST_ENTITY)[0] == 1
            assert len(upstream.request_ids) == request_count + 1
    finally:
        program.stop()


def purge_frame(index, entity):
    payload = index.to_bytes(8, "big") + bytes([3]) + bytes.fromhex(entity)
    payload += int(time.time() * 1000).to_bytes(8, "big")
    return len(payload).to_bytes(4, "big") + payload


class CoordinatorWithBacklog(FakeServer):
    """A discovery service that is up for a while, then down, and then tells a long backlog one by one.

    The backlog holds purges of another object, and the purge of FIRST_ENTITY as the last event.
    """

    def __init__(self, up_seconds, down_seconds, event_count, pause):
        self.up_seconds, self.down_seconds = up_seconds, down_seconds
        self.event_count, self.pause = event_count, pause
        self.is_first, self.told_at = True, None
        self.down = threading.Event()
        super().__init__()

    def serve(self, connection):
        connection.recv(8)
        if self.is_first and self.up_seconds:
            connection.sendall((9).to_bytes(4, "big") + bytes(9))
            self.down.wait(self.up_seconds)
            self.is_first = False
            connection.close()
            return
        if self.down_seconds and self.told_at is None:
            time.sleep(self.down_seconds)
        self.told_at = self.told_at or time.monotonic()
        for index in range(2, 2 + self.event_count):
            connection.sendall(purge_frame(index, SECOND_ENTITY))
            time.sleep(self.pause)
        connection.sendall(purge_frame(2 + self.event_count, FIRST_ENTITY))
        threading.Event().wait(TIMEOUT)


def assert_not_served_from_disk(client, upstream):
    """Sends ten requests over half a second; each has to reach the upstream."""
    request_count = len(upstream.request_ids)
    for _ in range(10):
        assert request_copy(client, FIRST_ENTITY)[0] == 1
        time.sleep(0.05)
    assert len(upstream.request_ids) == request_count + 10


def test_copies_are_not_served_while_a_backlog_of_discovery_is_read_and_a_purge_is_in_it(tmp_path):
    """After an outage a copy was served from disk as soon as the first of many late events was read."""
    upstream = FakeUpstream(has_all_objects=True)
    coordinator = CoordinatorWithBacklog(up_seconds=60, down_seconds=1.9, event_count=60, pause=0.03)
    program = DirectorWithTier(tmp_path, config_for(upstream, coordinator=coordinator.address))
    try:
        client = FakeClient(program.port)
        for _ in range(3):
            request_copy(client, FIRST_ENTITY)
        wait_until(lambda: tier_has_copies(tmp_path, 1))
        coordinator.down.set()
        wait_until(lambda: coordinator.told_at is not None)
        time.sleep(0.5)  # of the 1.8 s in which the backlog comes; a purge has to be kept 0.35 s after it
        assert_not_served_from_disk(client, upstream)
    finally:
        program.stop()


def test_copies_of_an_earlier_run_are_not_served_while_discovery_has_not_told_all(tmp_path):
    """A restarted director served from disk what was purged while it was down: only a part had been told."""
    upstream = FakeUpstream(has_all_objects=True)
    config = config_for(upstream, coordinator=FakeCoordinator().address)
    program = DirectorWithTier(tmp_path, config)
    client = FakeClient(program.port)
    for _ in range(3):
        request_copy(client, FIRST_ENTITY)
    wait_until(lambda: tier_has_copies(tmp_path, 1))
    program.stop()
    coordinator = CoordinatorWithBacklog(up_seconds=0, down_seconds=0, event_count=60, pause=0.2)
    program = DirectorWithTier(tmp_path, {**config, "coordinator": coordinator.address})
    try:
        assert_not_served_from_disk(FakeClient(program.port), upstream)
    finally:
        program.stop()


def test_purges_apply_to_the_tier_including_those_sent_while_it_was_down(tmp_path):
    upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
    config = config_for(upstream, coordinator=coordinator.address)
    program = DirectorWithTier(tmp_path, config)
    try:
        client = FakeClient(program.port)
        for entity in (FIRST_ENTITY, SECOND_ENTITY) * 3:
            request_copy(client, entity)
        wait_until(lambda: tier_has_copies(tmp_path, 2))
        request_count = len(upstream.request_ids)
        at = int(time.time() * 1000) + 1
        coordinator.publish(2, 3, bytes.fromhex(FIRST_ENTITY) + at.to_bytes(8, "big"))
        wait_until(
            lambda: request_copy(client, FIRST_ENTITY)[0] == 1 and len(upstream.request_ids) > request_count
        )
        request_count = len(upstream.request_ids)
        assert request_copy(client, SECOND_ENTITY)[0] == 1
        assert len(upstream.request_ids) == request_count
        program.process.terminate()
        assert program.process.wait(TIMEOUT) == 0
    finally:
        program.stop()
    at = int(time.time() * 1000)
    purge = {"index": 2, "evict": {"ref": SECOND_ENTITY, "unix_ms": at}}
    config = config_for(upstream, updates=[purge])
    program = DirectorWithTier(tmp_path, config)
    try:
        client, request_count = FakeClient(program.port), len(upstream.request_ids)
        assert request_copy(client, SECOND_ENTITY)[0] == 1
        assert len(upstream.request_ids) == request_count + 1, "served a copy purged while it was down"
    finally:
        program.stop()


class HangingDirectory(StoreDirectory):
    """A directory whose reads block until `reads_allowed` is set, or for `TIMEOUT` seconds."""

    reads_allowed = threading.Event()

    def read_at(self, name, offset, *sizes):
        self.reads_allowed.wait(TIMEOUT)
        return super().read_at(name, offset, *sizes)


def test_read_timeout_is_a_miss_and_slows_background_work(tmp_path):
    settings = f'disk: {{folder: "{tmp_path}", room: "1MB", patience: "20ms"}}'
    disk = load_texts([("f", settings)]).operations.disk

    async def scenario():
        runner = Runner(Budgets(), lambda: 0)
        context = TierContext("n0", new_deployment(), lambda: 0, lambda: NOW_MS, runner)
        tier = DiskTier(disk, context, HangingDirectory)
        request = request_received("r", 1)
        tier.store_copy(request, "t", NOW_MS - 5, b"bytes")
        tier.write_pending()
        assert tier.lookup(0, request) == 50
        assert await tier.read(request) is None
        assert tier.counters.slow_reads == 1
        assert runner.scheduler.budget_share < 1
        HangingDirectory.reads_allowed.set()
        copy = None
        while copy is None:  # reads hit again as soon as the disk responds
            copy = await tier.read(request)
        assert copy.body == b"bytes"
        assert tier.status()["hit_share"]
        tier.close()

    anyio.run(scenario)


def test_opening_the_store_logs_its_figures(tmp_path):
    settings = f'disk: {{folder: "{tmp_path}", room: "1MB"}}'
    disk = load_texts([("f", settings)]).operations.disk
    runner = Runner(Budgets(), lambda: 0)
    messages = []
    sink = logger.add(lambda message: messages.append(message.record["message"]))
    try:
        DiskTier(disk, TierContext("n0", new_deployment(), lambda: 0, lambda: NOW_MS, runner)).close()
    finally:
        logger.remove(sink)
    (opened,) = [message for message in messages if message.startswith("store_opened ")]
    fields = dict(field.split("=") for field in opened.split()[1:])
    assert fields["segments"] == "0"
    assert fields["entries"] == "0"
    assert fields["room"] == "1000000"


@pytest.mark.parametrize("damage", ["overwritten", "emptied"])
def test_corrupt_disk_causes_misses_but_no_failed_requests(tmp_path, damage):
    upstream = FakeUpstream(has_all_objects=True)
    program = DirectorWithTier(tmp_path, config_for(upstream))
    try:
        client = FakeClient(program.port)
        for _ in range(3):
            _code, _, body = request_copy(client, FIRST_ENTITY)
        wait_until(lambda: tier_has_copies(tmp_path, 1))
        request_count = len(upstream.request_ids)
        (segment,) = (tmp_path / "tier").glob("*.seg")
        if damage == "emptied":
            segment.unlink()
            segment.write_bytes(b"")
        with segment.open("r+b") as file:
            for at in range(300, segment.stat().st_size, 200):
                file.seek(at)
                file.write(b"\0\0\0\0")
        assert request_copy(client, FIRST_ENTITY)[::2] == (1, body)
        if damage == "overwritten":
            assert len(upstream.request_ids) == request_count + 1, "served bytes without verifying them"
    finally:
        program.stop()


def test_directory_in_use_or_of_another_installation_exits_with_1(tmp_path):
    upstream = FakeUpstream(has_all_objects=True)
    program = DirectorWithTier(tmp_path, config_for(upstream))
    try:
        args = ["serve", "--config", str(program.config_path), *program.args]
        code, _, err = run(*args)
        assert code == 1
        assert "in use by another process" in err
        client = FakeClient(program.port)
        for _ in range(3):
            request_copy(client, FIRST_ENTITY)
        wait_until(lambda: tier_has_copies(tmp_path, 1))
    finally:
        program.stop()
    code, _, err = run(*args, "--name", "another")
    assert code == 1
    assert "another installation" in err
    assert run("jobs", str(tmp_path))[0] == 1
