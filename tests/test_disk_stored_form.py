"""The stored form on disk: files of an earlier version are read, and the same operations write them again.

`tests/data/disk_store` was written by `write_store` before the store was split into modules.
"""

import shutil
from pathlib import Path

import pytest

from ironhinge.disk.directory import StoreDirectory
from ironhinge.disk.index import PartKey
from ironhinge.disk.reader import Copy
from ironhinge.disk.store import Store, StoreLimits

STORED = Path(__file__).parent / "data" / "disk_store"
START_MS = 1_764_576_000_000
IDENTITY = b"director-1"
LIMITS = StoreLimits(8_000, 1_000, 12, 60_000)
OBJECTS = range(1, 9)
PURGED_OBJECT, PURGED_GROUP, DROPPED_OBJECT = 2, 3, 5


class Clock:
    def __init__(self, milliseconds):
        self.milliseconds = milliseconds

    def __call__(self):
        return self.milliseconds


def group_of(object_id):
    return object_id % 4


def body_of(object_id, version):
    return b"%d/%d " % (object_id, version) * (20 + object_id)


def put(store, clock, object_id, version):
    clock.milliseconds += 10
    tag = b"v%d" % version
    body = body_of(object_id, version)
    assert store.put(PartKey(object_id, 0), group_of(object_id), Copy(tag, clock.milliseconds, body))
    store.flush()


def write_store(folder):
    """Writes puts, replacements, a drop, purges, a compaction, two checkpoints and records after them."""
    clock = Clock(START_MS)
    store = Store(StoreDirectory(folder), IDENTITY, LIMITS, clock)
    for object_id in OBJECTS:
        put(store, clock, object_id, 1)
    store.checkpoint()
    put(store, clock, 1, 2)
    store.drop(PartKey(DROPPED_OBJECT, 0))
    store.purge(PURGED_OBJECT, group_of(PURGED_OBJECT), clock.milliseconds)
    store.flush()
    for _ in store.compact(1, lambda entry: True):
        pass
    store.checkpoint()
    clock.milliseconds += 10
    store.purge(None, PURGED_GROUP, clock.milliseconds)
    put(store, clock, 7, 2)  # in the purged group, but newer than the purge
    put(store, clock, 8, 2)
    clock.milliseconds += 1000
    store.record_discovery_progress(clock.milliseconds)
    store.flush()
    store.sync()
    store.directory.release()
    return clock


EXPECTED_VERSIONS = {1: 2, 4: 1, 6: 1, 7: 2, 8: 2}
FINAL_MS = START_MS + 1_120


@pytest.fixture
def stored_folder(tmp_path):
    """A copy of the stored files, because opening a store may change them."""
    return Path(shutil.copytree(STORED, tmp_path / "store"))


def open_store(folder, now_ms=FINAL_MS):
    return Store(StoreDirectory(folder), IDENTITY, LIMITS, Clock(now_ms))


def served_versions(store):
    versions = {}
    for object_id in OBJECTS:
        copy = store.get(PartKey(object_id, 0))
        if copy is not None:
            version = int(copy.tag[1:])
            assert copy.body == body_of(object_id, version)
            versions[object_id] = version
    return versions


def files_of(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name != "LOCK"}


def test_copies_of_an_earlier_version_are_served_unless_purged(stored_folder):
    store = open_store(stored_folder)
    assert served_versions(store) == EXPECTED_VERSIONS
    assert store.get(PartKey(7, 0)).produced_at == START_MS + 110
    assert not store.counters
    store.close()


def test_purges_of_an_earlier_version_reject_older_copies(stored_folder):
    store = open_store(stored_folder)
    assert not store.put(
        PartKey(PURGED_OBJECT, 0), group_of(PURGED_OBJECT), Copy(b"v3", START_MS + 90, b"late")
    )
    assert not store.put(PartKey(11, 0), PURGED_GROUP, Copy(b"v3", START_MS + 100, b"late"))
    assert store.put(PartKey(11, 0), PURGED_GROUP, Copy(b"v3", START_MS + 101, b"new"))
    store.close()


def test_log_of_an_earlier_version_is_recovered_without_its_checkpoints(stored_folder):
    for path in stored_folder.glob("checkpoint*"):
        path.unlink()
    store = open_store(stored_folder)
    assert served_versions(store) == EXPECTED_VERSIONS
    store.close()


def test_copies_of_an_earlier_version_are_discarded_after_the_purge_retention(stored_folder):
    store = open_store(stored_folder, FINAL_MS + 60_001)
    assert served_versions(store) == {}
    store.close()


def test_the_same_operations_write_the_same_bytes(tmp_path):
    clock = write_store(tmp_path / "rewritten")
    assert clock.milliseconds == FINAL_MS
    rewritten, before = files_of(tmp_path / "rewritten"), files_of(STORED)
    assert sorted(rewritten) == sorted(before)
    for name, data in before.items():
        assert rewritten[name] == data, name


def test_opening_and_closing_writes_the_same_checkpoint(stored_folder):
    """The checkpoint that is written after recovery from the stored files has a fixed form as well."""
    open_store(stored_folder).close()
    recovered = files_of(stored_folder)
    assert recovered["checkpoint.1"] == files_of(STORED)["checkpoint"]
    assert recovered["checkpoint"] == (STORED.parent / "disk_store_recovered_checkpoint").read_bytes()
