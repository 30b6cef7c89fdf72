"""The disk store against a model, power cuts, killed processes, I/O errors and corrupt files."""

import errno
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironhinge.disk.checkpoint import CHECKPOINT_FILE, PREVIOUS_CHECKPOINT_FILE
from ironhinge.disk.directory import StoreDirectory
from ironhinge.disk.errors import ForeignStoreError, StoreLockedError
from ironhinge.disk.format import segment_file_name
from ironhinge.disk.index import PartKey
from ironhinge.disk.reader import Copy
from ironhinge.disk.store import Store, StoreLimits
from ironhinge.lab.disks import FaultPlan, MemoryDirectory, PowerCutError

SMALL_LIMITS = StoreLimits(capacity=60_000, segment_size=8_000, max_entries=200, purge_retention_ms=1000)
START_MS = 1_764_576_000_000
ALL_KEYS = [PartKey(object_id, part) for object_id in range(10) for part in range(2)]


class Clock:
    def __init__(self):
        self.now_ms = START_MS

    def __call__(self):
        return self.now_ms


def body(object_id, part, version, size=None):
    text = b"%d/%d/%d " % (object_id, part, version)
    return (text * 300)[: size or 40 + (object_id * 37 + version * 101) % 1500]


def open_store(directory, clock, limits=SMALL_LIMITS, identity=b"here"):
    return Store(directory, identity, limits, clock)


def exhaust(steps):
    """Runs all steps of background work."""
    for _ in steps:
        pass


def retain_all(entry):
    return True


def compact_until_there_is_space(store, retain=retain_all):
    while store.needs_compaction():
        number = store.compaction_candidate()
        if number is None:
            return
        exhaust(store.compact(number, retain))


class StoreModel(RuleBasedStateMachine):
    """Compares the store with a model under random operations.

    Each copy served must have been put, and be newer than every purge of it. Unless copies were evicted, or
    lost in a power cut or a kill, the copy served must be the newest one that was put.
    """

    def __init__(self):
        super().__init__()
        self.clock, self.directory = Clock(), MemoryDirectory(FaultPlan(1))
        self.store = open_store(self.directory, self.clock)
        self.versions = 0
        self.versions_put = {}  # per key: the production time of each version
        self.purges = []
        self.expected = {}  # per key: the version that the store must have
        self.durable = {}

    keys = st.builds(PartKey, st.integers(0, 12), st.integers(0, 2))

    def last_purge_at(self, key):
        return max(
            [
                at
                for object_id, group, at in self.purges
                if object_id in (key.object_id, None) and group in (key.object_id % 4, None)
            ]
            + [0]
        )

    @rule(key=keys)
    def puts(self, key):
        self.clock.now_ms += 10
        self.versions += 1
        produced_at = self.clock.now_ms
        if self.store.put(
            key, key.object_id % 4, Copy(b"t%d" % self.versions, produced_at, body(*key, self.versions))
        ):
            self.versions_put.setdefault(key, {})[self.versions] = produced_at
            self.expected.pop(key, None)
            self.expected[key] = self.versions

    @rule(key=keys)
    def drops(self, key):
        self.store.drop(key)
        self.expected.pop(key, None)
        self.durable.pop(key, None)

    @rule(key=keys, whole_group=st.booleans())
    def purges_key_or_group(self, key, whole_group):
        self.clock.now_ms += 10
        self.store.purge(None if whole_group else key.object_id, key.object_id % 4, self.clock.now_ms)
        self.purges.append((None if whole_group else key.object_id, key.object_id % 4, self.clock.now_ms))
        for other in list(self.expected):
            if self.versions_put[other][self.expected[other]] <= self.last_purge_at(other):
                del self.expected[other]
        self.durable = {
            k: v for k, v in self.durable.items() if self.versions_put[k][v] > self.last_purge_at(k)
        }

    @rule()
    def flushes(self):
        self.store.flush()

    @rule()
    def syncs(self):
        self.store.flush()
        self.store.sync()
        self.durable = dict(self.expected)

    @rule()
    def checkpoints(self):
        self.store.checkpoint()
        self.durable = dict(self.expected)

    @rule(first=st.booleans())
    def compacts(self, first):
        if first:
            self.store.flush()
        number = self.store.compaction_candidate()
        if number is not None:
            exhaust(self.store.compact(number, retain_all))

    @rule()
    def evicts(self):
        self.store.flush()
        if self.store.needs_compaction():
            compact_until_there_is_space(self.store, lambda entry: entry.object_id % 2 == 0)
            self.expected, self.durable = {}, {}

    @rule()
    def closes_and_opens(self):
        self.store.close()
        self.durable = dict(self.expected)
        self.store = open_store(self.directory, self.clock)

    @rule()
    def loses_power(self):
        self.directory = self.directory.after_power_cut()
        self.store = open_store(self.directory, self.clock)
        self.expected = dict(self.durable)
        # the control plane resends the purges of the retention time, including those not synced
        for object_id, group, at in self.purges:
            self.store.purge(object_id, group, at)

    @rule()
    def is_killed(self):
        """The process is killed; records that it wrote without a sync stay readable, queued ones are lost."""
        self.store.directory.release()
        queued = {record.entry.key for record in self.store.writer.pending if record.entry is not None}
        flushed = {key: v for key, v in self.expected.items() if key not in queued}
        self.store = open_store(self.directory, self.clock)
        for object_id, group, at in self.purges:
            self.store.purge(object_id, group, at)
        self.expected = flushed
        self.durable = {key: v for key, v in self.durable.items() if flushed.get(key) == v}

    @invariant()
    def serves_only_what_was_put(self):
        for key, versions in self.versions_put.items():
            copy = self.store.get(key)
            if copy is None:
                continue
            version = int(copy.tag[1:])
            assert copy.body == body(*key, version)
            assert copy.produced_at == versions[version]
            assert copy.produced_at > self.last_purge_at(key), "served a purged copy"

    @invariant()
    def has_every_expected_copy(self):
        queued = {record.entry.key for record in self.store.writer.pending if record.entry is not None}
        for key, version in self.expected.items():
            copy = self.store.get(key)
            if key not in queued:
                assert copy is not None, (key, version)
                assert int(copy.tag[1:]) == version, (key, version, copy.tag)

    @invariant()
    def counts_live_bytes(self):
        entries = list(self.store.index.entries())
        assert self.store.live_bytes() == sum(entry.record_size for entry in entries)
        assert len(entries) == len(self.store.index)


TestStoreModel = StoreModel.TestCase
TestStoreModel.settings = settings(max_examples=40, stateful_step_count=40)


class PutStep(NamedTuple):
    step: int
    produced_at: int


@dataclass
class Progress:
    """The durable copies and the purges of a workload that a power cut may end at any call."""

    durable: dict[PartKey, PutStep] = field(default_factory=dict)
    purged: dict[int, int] = field(default_factory=dict)


def run_workload(directory, clock, steps=160, seed=1, progress=None):
    """Runs random puts, purges, syncs, checkpoints and compactions; updates `progress` after each step."""
    random = Random(seed)
    store = open_store(directory, clock)
    durable, latest, purged = {}, {}, {}
    for step in range(steps):
        clock.now_ms += 5
        key = PartKey(random.randrange(10), random.randrange(2))
        choice = random.random()
        if choice < 0.75:
            if store.put(key, 0, Copy(b"t%d" % step, clock.now_ms, body(*key, step))):
                latest[key] = PutStep(step, clock.now_ms)
        elif choice < 0.8:
            purged[key.object_id] = clock.now_ms
            store.purge(key.object_id, 0, clock.now_ms)
        elif choice < 0.9:
            store.flush()
            store.sync()
            durable = dict(latest)
        elif choice < 0.95:
            store.checkpoint()
            durable = dict(latest)
        else:
            store.flush()
            number = store.compaction_candidate()
            if number is not None:
                exhaust(store.compact(number, retain_all))
            compact_until_there_is_space(store)
        if progress is not None:
            progress.durable, progress.purged = dict(durable), dict(purged)
    return store


def check_recovered(recovered_directory, clock, progress):
    """Checks that durable copies survived, that all copies are valid and that the store accepts new ones."""
    store = open_store(recovered_directory, clock)
    for object_id, at in progress.purged.items():
        store.purge(object_id, 0, at)  # the control plane resends purges
    for key in ALL_KEYS:
        copy = store.get(key)
        if copy is not None:
            step = int(copy.tag[1:])
            assert copy.body == body(*key, step)
            assert copy.produced_at > progress.purged.get(key.object_id, 0)
        if key not in progress.durable:
            continue
        durable = progress.durable[key]
        if durable.produced_at > progress.purged.get(key.object_id, 0):
            assert copy is not None, "lost a durable copy"
            assert int(copy.tag[1:]) >= durable.step, "a copy older than the durable one"
    assert store.put(PartKey(99, 0), 0, Copy(b"t", clock.now_ms + 1, b"goes on"))
    store.flush()
    assert store.get(PartKey(99, 0)).body == b"goes on"


def test_durable_copies_survive_a_power_cut_at_every_second_call():
    directory = MemoryDirectory(FaultPlan())
    run_workload(directory, Clock())
    calls = directory.faults.calls
    assert calls > 150
    for cut in range(1, calls + 1, 2):
        directory = MemoryDirectory(FaultPlan(cut))
        directory.faults.power_cut_at_call = cut
        clock, progress = Clock(), Progress()
        with pytest.raises(PowerCutError):
            run_workload(directory, clock, progress=progress)
        check_recovered(directory.after_power_cut(), clock, progress)


WORKLOAD_SCRIPT = """
import sys, time
from pathlib import Path
from tests.test_disk import StoreDirectory, run_workload
class Clock:
    now_ms = int(time.time() * 1000) - 10_000_000
    def __call__(self): return self.now_ms
print("ready", flush=True)
for seed in range(10_000):
    store = run_workload(StoreDirectory(Path(sys.argv[1])), Clock(), seed=seed)
    store.directory.release()
"""


def test_killed_process_leaves_no_corrupt_copies(tmp_path):
    for seed in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", WORKLOAD_SCRIPT, str(tmp_path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        process.stdout.readline()
        time.sleep(0.05 + seed * 0.07)
        process.send_signal(signal.SIGKILL)
        process.wait()
        assert not process.stderr.read()
        clock = Clock()
        clock.now_ms = int(time.time() * 1000) - 10_000_000
        store = open_store(StoreDirectory(tmp_path), clock)
        for key in ALL_KEYS:
            copy = store.get(key)
            assert copy is None or copy.body == body(*key, int(copy.tag[1:]))
        assert not store.counters.get("records_unsound")
        store.directory.release()


def test_checkpoint_makes_copies_of_a_killed_process_durable():
    clock, directory = Clock(), MemoryDirectory(FaultPlan(3))
    store = open_store(directory, clock)
    store.put(PartKey(1, 0), 0, Copy(b"t", clock.now_ms, b"written, not synced"))
    store.flush()
    store.directory.release()  # killed
    open_store(directory, clock).checkpoint()
    for seed in range(20):
        directory.faults.random = Random(seed)
        assert open_store(directory.after_power_cut(), clock).get(PartKey(1, 0)) is not None


def filled_store(count=8):
    clock = Clock()
    store = open_store(MemoryDirectory(FaultPlan()), clock)
    for object_id in range(count):
        clock.now_ms += 1
        assert store.put(
            PartKey(object_id, 0), 0, Copy(b"t%d" % object_id, clock.now_ms, body(object_id, 0, object_id))
        )
    store.flush()
    store.sync()
    return store, clock


def test_full_disk_stops_puts_but_not_reads_until_compaction():
    store, clock = filled_store()
    store.directory.faults.capacity = sum(len(each.data) for each in store.directory.files.values()) + 50
    assert store.put(PartKey(50, 0), 0, Copy(b"t", clock.now_ms, body(50, 0, 1, 1500)))
    store.flush()
    assert store.is_full
    assert store.get(PartKey(50, 0)) is None
    assert not store.put(PartKey(51, 0), 0, Copy(b"t", clock.now_ms, b"x"))
    assert store.get(PartKey(3, 0)).body == body(3, 0, 3)
    store.directory.faults.capacity = None
    compact_until_there_is_space(store, lambda entry: False)
    assert not store.is_full
    assert store.put(PartKey(51, 0), 0, Copy(b"t", clock.now_ms, b"x"))
    store.flush()
    assert store.get(PartKey(51, 0)).body == b"x"
    reopened = open_store(store.directory, clock)
    assert reopened.get(PartKey(51, 0)).body == b"x"


@pytest.mark.parametrize("error", [errno.EROFS, errno.EIO])
def test_store_serves_copies_from_an_unwritable_disk(error):
    store, clock = filled_store()
    store.directory.faults.write_errno = error
    store.put(PartKey(50, 0), 0, Copy(b"t", clock.now_ms, b"x"))
    store.flush()
    assert store.is_full
    assert store.counters["writes_failed"] == 1
    assert store.get(PartKey(2, 0))
    assert store.checkpoint() == 0


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_purge_that_failed_to_write_is_written_before_later_records(error):
    """Guards against a later record of discovery progress on disk without the purge before it: a restart
    would then serve the purged copy.
    """
    store, clock = filled_store()
    store.sync()
    store.directory.faults.write_errno = error
    clock.now_ms += 10
    store.purge(2, 2, clock.now_ms)
    store.flush()
    assert store.is_full
    store.directory.faults.write_errno = None
    store.state.is_full = False
    clock.now_ms += 10
    store.record_discovery_progress(clock.now_ms)
    store.flush()
    store.sync()
    assert open_store(store.directory.durable_copy(), clock).get(PartKey(2, 0)) is None


def test_purge_survives_a_failed_sync_before_a_successful_one():
    """After a failed fsync(2), the unwritten data is lost and the next fsync of the file reports success."""
    store, clock = filled_store()
    store.sync()
    clock.now_ms += 10
    store.purge(2, 2, clock.now_ms)
    store.flush()
    store.directory.faults.sync_errno = errno.EIO
    with pytest.raises(OSError, match="planned sync error"):
        store.sync()
    store.directory.faults.sync_errno = None
    clock.now_ms += 10
    store.record_discovery_progress(clock.now_ms)
    store.flush()
    store.sync()
    assert store.counters["syncs_failed"] == 1
    assert open_store(store.directory.durable_copy(), clock).get(PartKey(2, 0)) is None


def test_flipped_bit_is_a_miss_and_counted_once():
    store, _clock = filled_store()
    entry = store.find(PartKey(3, 0))
    store.directory.flip_bit(segment_file_name(entry.segment), entry.offset + 80)
    assert store.get(PartKey(3, 0)) is None
    assert store.counters["records_unsound"] == 1
    assert store.get(PartKey(3, 0)) is None
    assert store.counters["records_unsound"] == 1
    assert store.get(PartKey(4, 0)) is not None
    exhaust(store.scrub(store.find(PartKey(4, 0)).segment))
    assert store.counters["records_unsound"] == 1


def test_scrub_finds_corrupt_copies_without_a_request():
    store, _clock = filled_store()
    entry = store.find(PartKey(5, 0))
    store.directory.flip_bit(segment_file_name(entry.segment), entry.offset + 90)
    exhaust(store.scrub(entry.segment))
    assert store.counters["records_unsound"] == 1
    assert store.find(PartKey(5, 0)) is None


def test_lookup_in_a_deleted_segment_file_is_a_miss():
    store, clock = filled_store()
    del store.directory.files[segment_file_name(store.find(PartKey(1, 0)).segment)]
    assert store.get(PartKey(1, 0)) is None
    assert store.counters["segments_missing"] == 1
    assert open_store(store.directory, clock).get(PartKey(1, 0)) is None


def test_torn_last_record_is_discarded_and_counted():
    store, clock = filled_store()
    name = segment_file_name(store.find(PartKey(7, 0)).segment)
    del store.directory.files[name].data[-3:]
    reopened = open_store(store.directory, clock)
    assert reopened.counters["records_torn"] == 1
    assert reopened.get(PartKey(7, 0)) is None
    assert reopened.get(PartKey(6, 0)) is not None


def test_recovery_falls_back_to_the_previous_checkpoint_and_then_to_the_log():
    store, clock = filled_store()
    store.checkpoint()
    store.put(PartKey(90, 0), 0, Copy(b"t1", clock.now_ms, b"new"))
    store.checkpoint()
    store.directory.flip_bit(CHECKPOINT_FILE, 60)
    reopened = open_store(store.directory, clock)
    assert reopened.counters["checkpoints_unsound"] == 1
    assert reopened.get(PartKey(90, 0)).body == b"new"
    store.directory.flip_bit(PREVIOUS_CHECKPOINT_FILE, 60)
    reopened = open_store(store.directory, clock)
    assert reopened.counters["checkpoints_unsound"] == 2
    assert all(
        reopened.get(PartKey(object_id, 0)).body == body(object_id, 0, object_id) for object_id in range(8)
    )


def test_directory_of_another_installation_is_rejected():
    store, clock = filled_store()
    with pytest.raises(ForeignStoreError, match="another installation"):
        open_store(store.directory, clock, identity=b"there")
    store.checkpoint()
    with pytest.raises(ForeignStoreError, match="another installation"):
        open_store(store.directory, clock, identity=b"there")


def test_directory_in_use_is_rejected(tmp_path):
    store = open_store(StoreDirectory(tmp_path), Clock())
    with pytest.raises(StoreLockedError, match="in use by another process"):
        open_store(StoreDirectory(tmp_path), Clock())
    store.close()
    open_store(StoreDirectory(tmp_path), Clock()).close()


def test_copies_are_discarded_after_a_downtime_beyond_the_purge_retention():
    store, clock = filled_store()
    store.record_discovery_progress(clock.now_ms)
    store.close()
    clock.now_ms += 900
    reopened = open_store(store.directory, clock)
    assert reopened.get(PartKey(1, 0)) is not None
    reopened.close()
    clock.now_ms += 5000
    late = open_store(store.directory, clock)
    assert all(late.get(PartKey(object_id, 0)) is None for object_id in range(8)), (
        "purges sent during the downtime are unknown"
    )
    # the copy is as old as the discarded ones, but its sender has checked it against the purges
    assert late.put(PartKey(1, 0), 0, Copy(b"t", START_MS, b"as old, but checked by who brings it"))
    late.flush()
    assert late.get(PartKey(1, 0)) is not None


def test_copies_are_discarded_when_the_clock_was_set_back():
    store, clock = filled_store()
    store.record_discovery_progress(clock.now_ms)
    store.close()
    clock.now_ms -= 7_200_000
    reopened = open_store(store.directory, clock)
    assert all(reopened.get(PartKey(object_id, 0)) is None for object_id in range(8))


def test_compaction_does_not_replace_a_newer_queued_copy():
    store, clock = filled_store()
    store.writer.start_segment()
    store.put(PartKey(3, 0), 0, Copy(b"t9", clock.now_ms + 1, b"newer"))
    exhaust(store.compact(1, retain_all))
    store.flush()
    assert store.get(PartKey(3, 0)).body == b"newer"
    store.sync()
    assert open_store(store.directory, clock).get(PartKey(3, 0)).body == b"newer"


def test_purges_survive_compaction_and_a_restart():
    store, clock = filled_store()
    clock.now_ms += 1
    store.purge(3, 0, clock.now_ms)
    store.flush()
    number = store.find(PartKey(1, 0)).segment
    store.writer.start_segment()
    exhaust(store.compact(number, retain_all))
    reopened = open_store(store.directory, clock)
    assert reopened.get(PartKey(3, 0)) is None
    assert reopened.get(PartKey(1, 0)) is not None
    assert reopened.state.purges.objects[3] == clock.now_ms
    assert not reopened.put(PartKey(3, 0), 0, Copy(b"t", clock.now_ms - 1, b"older than the purge"))
    assert reopened.put(PartKey(3, 0), 0, Copy(b"t", clock.now_ms + 1, b"newer"))
