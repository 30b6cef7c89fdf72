"""Recovery of the disk store after a kill, forced step by step."""

import pytest

from ironhinge.disk.index import PartKey
from ironhinge.disk.reader import Copy

from .test_disk import Clock, FaultPlan, MemoryDirectory, body, exhaust, open_store, retain_all


def test_recovery_leaves_no_index_entry_of_a_removed_segment():
    """Guards the byte counts after a kill between a compaction and the next flush.

    The compaction removes the segment of a purged copy while the purge is still queued, and the last
    checkpoint lists the copy. Recovery then loads an index entry whose segment no longer exists.
    """
    clock, directory, key = Clock(), MemoryDirectory(FaultPlan(1)), PartKey(1, 0)
    store = open_store(directory, clock)
    clock.now_ms += 10
    assert store.put(key, 1, Copy(b"t1", clock.now_ms, body(*key, 1)))
    store.close()
    store = open_store(directory, clock)
    clock.now_ms += 10
    store.purge(key.object_id, 1, clock.now_ms)
    candidate = store.compaction_candidate()
    assert candidate is not None
    exhaust(store.compact(candidate, retain_all))
    store.directory.release()  # the process is killed, the queued purge is lost
    recovered = open_store(directory, clock)
    entries = list(recovered.index.entries())
    assert recovered.live_bytes() == sum(entry.record_size for entry in entries)
    assert recovered.get(key) is None


def reopen_with_copy(directory, clock, key):
    """Returns a store that was closed after storing a copy, and the segment of that copy."""
    store = open_store(directory, clock)
    clock.now_ms += 10
    assert store.put(key, 1, Copy(b"t1", clock.now_ms, body(*key, 1)))
    store.close()
    store = open_store(directory, clock)
    candidate = store.compaction_candidate()
    assert candidate is not None
    return store, candidate


def test_compaction_of_an_unreadable_segment_leaves_no_index_entry_of_it():
    """Guards the byte counts: none of its records can be moved, and the segment is removed."""
    clock, directory, key = Clock(), MemoryDirectory(FaultPlan(1)), PartKey(1, 0)
    store, candidate = reopen_with_copy(directory, clock, key)
    directory.read = lambda name: exec("raise OSError(5)")  # EIO
    exhaust(store.compact(candidate, retain_all))
    assert store.live_bytes() == sum(entry.record_size for entry in store.index.entries())
    assert store.get(key) is None


def test_the_number_of_a_removed_segment_is_not_used_again():
    """Guards purges: recovery reads the segment of the checkpoint only from the checkpoint's offset on.

    A compaction that has nothing to write removes the newest segment. If the next one got its number, the
    records before that offset would be skipped, and a purged copy accepted again.
    """
    clock, directory, key = Clock(), MemoryDirectory(FaultPlan(1)), PartKey(1, 0)
    store, candidate = reopen_with_copy(directory, clock, key)
    exhaust(store.compact(candidate, lambda entry: False))
    store.directory.release()  # the process is killed before the next checkpoint
    store = open_store(directory, clock)
    old, purged_at = clock.now_ms, clock.now_ms + 10
    clock.now_ms += 20
    store.purge(key.object_id, 1, purged_at)
    store.flush()
    store.sync()
    store.directory.release()  # killed again
    recovered = open_store(directory, clock)
    assert not recovered.put(key, 1, Copy(b"t1", old, body(*key, 1)))


def test_purges_of_a_segment_that_compaction_can_not_read_are_written_again():
    """Guards purges: the segment is removed, and a kill before the next checkpoint must not forget them."""
    clock, directory, key = Clock(), MemoryDirectory(FaultPlan(1)), PartKey(1, 0)
    store = open_store(directory, clock)
    old, purged_at = clock.now_ms, clock.now_ms + 10
    clock.now_ms += 20
    store.purge(key.object_id, 1, purged_at)
    store.flush()
    store.sync()
    store.writer.close()
    candidate = store.compaction_candidate()
    assert candidate is not None
    original = directory.read
    directory.read = lambda name: exec("raise OSError(5)")  # EIO
    exhaust(store.compact(candidate, retain_all))
    directory.read = original
    store.directory.release()  # the process is killed before the next checkpoint
    recovered = open_store(directory, clock)
    assert not recovered.put(key, 1, Copy(b"t1", old, body(*key, 1)))


def test_a_flush_that_finds_no_descriptor_loses_no_purge_and_no_copy():
    """Guards purges while descriptors are short: the queue was emptied before the new segment was created."""
    clock, directory, key, other = Clock(), MemoryDirectory(FaultPlan(1)), PartKey(1, 0), PartKey(2, 0)
    store = open_store(directory, clock)
    old, purged_at = clock.now_ms, clock.now_ms + 10
    clock.now_ms += 20
    assert store.put(other, 1, Copy(b"t1", clock.now_ms, body(*other, 1)))
    store.purge(key.object_id, 1, purged_at)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(directory, "create", lambda name: exec("raise OSError(24)"))  # EMFILE
        with pytest.raises(OSError, match="24"):
            store.flush()
    store.flush()
    store.sync()
    store.directory.release()  # the process is killed
    recovered = open_store(directory, clock)
    assert not recovered.put(key, 1, Copy(b"t1", old, body(*key, 1)))
    assert recovered.get(other) is not None


def test_a_copy_that_is_dropped_before_it_is_written_takes_no_queued_bytes():
    """Guards compaction: it began too early, as cancelled copies counted until the next flush."""
    clock, key = Clock(), PartKey(1, 0)
    store = open_store(MemoryDirectory(FaultPlan(1)), clock)
    assert store.put(key, 1, Copy(b"t1", clock.now_ms, body(*key, 1)))
    assert store.drop(key)
    assert store.pending_bytes == sum(record.size for record in store.writer.pending)
