"""The store of copies: a log of records in segment files with an index in memory.

The store is synchronous: one thread writes, any number of threads read, and nothing runs in the background. A
copy is readable once `flush` has written it and survives a power cut once `sync` has returned. A power cut
before that loses the newest copies, but never leaves a wrong one. After a crash, a copy that was replaced or
dropped may reappear with its original production time. Callers therefore compare production times with
purges; `get` does so for the purges that the store knows.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .checkpoint import write_checkpoint
from .compaction import Compactor, RetainPredicate
from .directory import StoreDirectory
from .format import IDENTITY_SIZE, RECORD_HEADER_SIZE, SEGMENT_HEADER_SIZE, Record, RecordKind
from .index import IndexEntry, PartIndex, PartKey
from .reader import Copy, CopyReader
from .recovery import Recovery
from .segments import SegmentTable
from .state import StoreCounter, StoreState
from .writer import LogWriter


class StoreLimits(NamedTuple):
    """Limits of a store."""

    capacity: int = 1 << 30  # bytes on disk, without checkpoints
    segment_size: int = 1 << 24  # bytes
    max_entries: int = 1 << 20
    purge_retention_ms: int = 0  # time for which the control plane repeats a purge


class Store:
    """The store of copies in one directory."""

    def __init__(
        self, directory: StoreDirectory, identity: bytes, limits: StoreLimits, now_ms: Callable[[], int]
    ):
        """Locks the directory, unless it is read-only, and recovers its contents.

        Args:
            directory: the directory of the store.
            identity: identifies the installation, such as the director's name; only 16 bytes are used.
            limits: the limits; a checkpoint written with an index of another size is ignored.
            now_ms: returns the wall-clock time in Unix milliseconds.

        Raises:
            StoreLockedError: another process has locked the directory.
            ForeignStoreError: the directory belongs to another installation or has another format version.
            OSError: a file system call failed.
        """
        self.directory = directory
        self.limits = limits
        self.state = StoreState(limits.max_entries, now_ms)
        self._identity = identity.ljust(IDENTITY_SIZE, b"\0")[:IDENTITY_SIZE]
        self.writer = LogWriter(self.state, directory, self._identity, limits.segment_size)
        self._reader = CopyReader(self.state, directory)
        self._compactor = Compactor(self.state, directory, self.writer)
        if not directory.read_only:
            directory.lock()
        recovery = Recovery(self.state, directory, self._identity, limits.purge_retention_ms)
        self.writer.segment = recovery.run()

    @property
    def counters(self) -> dict[StoreCounter, int]:
        """The counters since the store was opened; a counter is absent while it is zero."""
        return self.state.counters

    @property
    def index(self) -> PartIndex:
        """The index of the copies."""
        return self.state.index

    @property
    def segments(self) -> SegmentTable:
        """The segment files."""
        return self.state.segments

    @property
    def is_full(self) -> bool:
        """Whether the disk accepts no more writes."""
        return self.state.is_full

    @property
    def pending_bytes(self) -> int:
        """Bytes that are queued to be written."""
        return self.writer.pending_bytes

    @property
    def write_lock(self) -> threading.RLock:
        """The lock held while writing, compacting or taking a checkpoint."""
        return self.writer.lock

    def find(self, key: PartKey) -> IndexEntry | None:
        """Returns the entry of a part's copy if it may be served; does no I/O."""
        return self.state.find(key)

    def get(self, key: PartKey) -> Copy | None:
        """Returns a part's verified copy, or None if there is none that may be served."""
        return self._reader.get(key)

    def is_purged(self, entry: IndexEntry) -> bool:
        """Returns whether a copy must no longer be served."""
        return self.state.is_purged(entry)

    def put(self, key: PartKey, group: int, copy: Copy) -> bool:
        """Queues a copy to be written; returns False if it can't be stored or is already purged."""
        record_size = RECORD_HEADER_SIZE + len(copy.tag) + len(copy.body)
        with self.state.lock:
            if self.directory.read_only or self.is_full:
                return False
            if SEGMENT_HEADER_SIZE + record_size > self.limits.segment_size:
                return False
            generation = self.state.next_generation()
            entry = IndexEntry(*key, 0, 0, len(copy.body), copy.produced_at, generation, group, len(copy.tag))
            if self.is_purged(entry):
                return False
            record = Record(RecordKind.PUT, generation, *key, group, copy.produced_at, copy.tag, copy.body)
            self.writer.enqueue(record, entry)
            return True

    def drop(self, key: PartKey) -> bool:
        """Removes a part's copy, written or queued; returns whether there was one."""
        with self.state.lock:
            entry = self.index.get(key)
            was_pending = self.writer.cancel(key)
            if entry is None and not was_pending:
                return False
            if entry is not None:
                self.state.remove(entry)
            self.writer.enqueue(Record(RecordKind.DROP, self.state.next_generation(), *key))
            return True

    def purge(self, object_id: int | None, group: int, purged_at: int) -> None:
        """Invalidates copies that the origin produced up to a time.

        The purge takes effect at once and is durable after the next `flush` and `sync`.

        Args:
            object_id: the purged object; None to purge the whole group.
            group: the purged group, or the group of the purged object.
            purged_at: Unix milliseconds.
        """
        with self.state.lock:
            if object_id is None:
                self.state.purges.record_group(group, purged_at)
                self.writer.enqueue_group_purge(group, purged_at)
            else:
                self.state.purge_object(object_id, purged_at)
                self.writer.enqueue_object_purge(object_id, group, purged_at)

    def record_discovery_progress(self, unix_ms: int) -> None:
        """Records that all purges up to a time are known.

        While the disk is full, this is not written. After a restart the store then assumes an earlier time,
        which is safe.
        """
        with self.state.lock:
            if unix_ms <= self.state.purges.known_until:
                return
            self.state.purges.record_progress(unix_ms)
            if not self.is_full:
                generation = self.state.next_generation()
                self.writer.enqueue(Record(RecordKind.DISCOVERY_PROGRESS, generation, timestamp=unix_ms))

    def flush(self) -> int:
        """Writes the queued records; returns the number of bytes written. See `LogWriter.flush`."""
        return self.writer.flush()

    def sync(self) -> None:
        """Makes the flushed records durable.

        Raises:
            OSError: the sync failed.
        """
        self.writer.sync()

    def checkpoint(self) -> int:
        """Writes a checkpoint, so that the next start replays only the tail of the log; returns its size."""
        with self.write_lock:
            return write_checkpoint(self.state, self.directory, self.writer, self._identity)

    def used_bytes(self) -> int:
        """Returns the total size of all segment files in bytes."""
        with self.state.lock:
            return self.segments.total_bytes()

    def live_bytes(self) -> int:
        """Returns the total size of all live records in bytes."""
        with self.state.lock:
            return self.segments.live_bytes()

    def needs_compaction(self) -> bool:
        """Returns whether the disk is full, or the written and queued bytes exceed the capacity."""
        return self.is_full or self.used_bytes() + self.pending_bytes > self.limits.capacity

    def compaction_candidate(self) -> int | None:
        """Returns the segment to compact next, or None. See `SegmentTable.compaction_candidate`."""
        with self.state.lock:
            return self.segments.compaction_candidate(self.writer.open_segment)

    def compact(self, segment: int, retain: RetainPredicate) -> Iterator[int]:
        """Compacts a segment; yields the number of bytes of each step. See `Compactor.compact`."""
        return self._compactor.compact(segment, retain)

    def scrub(self, segment: int) -> Iterator[int]:
        """Verifies all live copies of a segment; yields the number of bytes of each step."""
        return self._reader.scrub(segment)

    def close(self) -> None:
        """Writes a checkpoint, unless the directory is read-only, and releases the directory."""
        if not self.directory.read_only:
            self.checkpoint()
            self.writer.close()
        self.directory.release()

    def status(self) -> dict[str, int]:
        """Returns the store's statistics by their keys in the status output."""
        with self.state.lock:
            return {
                "entries": len(self.index),
                "segments": len(self.segments),
                "bytes": self.used_bytes(),
                "live": self.live_bytes(),
                "room": self.limits.capacity,
                "index_bytes": len(self.index.block),
                "purges": len(self.state.purges),
                "floor": self.state.purges.floor,
                "heard": self.state.purges.known_until,
                "full": int(self.is_full),
                **{counter.value: count for counter, count in self.counters.items()},
            }
