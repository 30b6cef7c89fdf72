"""The store of copies: a log of records in segment files, an index of it in memory, and its recovery.

The store is synchronous: one thread writes, any number read, and no work runs in the background. A copy that
was put is readable once `flush` has written it and survives a power cut once `sync` has returned. A power cut
before that costs the newest copies, never a wrong one. A copy that was replaced or dropped may come back
after a crash as the older one with its own date, so callers hold dates against purges; `get` does so for all
that the store knows of.
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
    """Bounds of a store."""

    capacity: int = 1 << 30  # bytes on disk, checkpoints not counted
    segment_size: int = 1 << 24  # bytes
    max_entries: int = 1 << 20
    purge_retention_ms: int = 0  # for how long the control plane repeats a purge


class Store:
    """The copies in one directory."""

    def __init__(
        self, directory: StoreDirectory, identity: bytes, limits: StoreLimits, now_ms: Callable[[], int]
    ):
        """Locks the directory, unless it is read-only, and recovers what it holds.

        Args:
            directory: where the files are.
            identity: of the installation; only its first 16 bytes count.
            limits: the bounds; `max_entries` must be that of the checkpoint for the checkpoint to count.
            now_ms: the wall clock, in Unix milliseconds.

        Raises:
            StoreLockedError: another process has the directory.
            ForeignStoreError: it is another installation's or of another version.
            OSError: the file system failed.
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
        """What has been counted since the start; a counter appears with its first event."""
        return self.state.counters

    @property
    def index(self) -> PartIndex:
        """Where each copy is."""
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
        """Bytes that wait to be written."""
        return self.writer.pending_bytes

    @property
    def write_lock(self) -> threading.RLock:
        """The lock of whoever writes, compacts or takes a checkpoint."""
        return self.writer.lock

    def find(self, key: PartKey) -> IndexEntry | None:
        """Returns the entry of a part's copy if it may be served; does not touch the disk."""
        return self.state.find(key)

    def get(self, key: PartKey) -> Copy | None:
        """Returns a part's copy, verified, or None where there is none that may be served."""
        return self._reader.get(key)

    def is_purged(self, entry: IndexEntry) -> bool:
        """Returns whether a copy must not be served any more."""
        return self.state.is_purged(entry)

    def put(self, key: PartKey, group: int, copy: Copy) -> bool:
        """Queues a copy; returns False where it can't be stored or is purged already."""
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
        """Removes a part's copy; returns whether there was one."""
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
        """Voids copies that the origin produced up to a time: at once, and on disk with the next sync.

        Args:
            object_id: whose copies; None for those of the whole group.
            group: the group, or the one that the object belongs to.
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
        """Notes that every purge up to then is known.

        While the disk is full it is not written: to know less after a restart is safe.
        """
        with self.state.lock:
            if unix_ms <= self.state.purges.known_until:
                return
            self.state.purges.record_progress(unix_ms)
            if not self.is_full:
                generation = self.state.next_generation()
                self.writer.enqueue(Record(RecordKind.DISCOVERY_PROGRESS, generation, timestamp=unix_ms))

    def flush(self) -> int:
        """Writes what is queued; returns how many bytes. See `LogWriter.flush`."""
        return self.writer.flush()

    def sync(self) -> None:
        """Makes what was flushed durable.

        Raises:
            OSError: the disk failed.
        """
        self.writer.sync()

    def checkpoint(self) -> int:
        """Writes a checkpoint, so that the next start reads only the log's tail; returns its bytes."""
        with self.write_lock:
            return write_checkpoint(self.state, self.directory, self.writer, self._identity)

    def used_bytes(self) -> int:
        """Returns the bytes of all segment files."""
        with self.state.lock:
            return self.segments.total_bytes()

    def live_bytes(self) -> int:
        """Returns the bytes of all records that may still be served."""
        with self.state.lock:
            return self.segments.live_bytes()

    def needs_compaction(self) -> bool:
        """Returns whether the disk is full, or what is written and queued exceeds the capacity."""
        return self.is_full or self.used_bytes() + self.pending_bytes > self.limits.capacity

    def compaction_candidate(self) -> int | None:
        """Returns the closed segment with the smallest live share, of equal ones the oldest."""
        with self.state.lock:
            return self.segments.compaction_candidate(self.writer.open_segment)

    def compact(self, segment: int, retain: RetainPredicate) -> Iterator[int]:
        """Compacts a segment; yields the bytes of each step. See `Compactor.compact`."""
        return self._compactor.compact(segment, retain)

    def scrub(self, segment: int) -> Iterator[int]:
        """Verifies all live copies of a segment; yields the bytes of each step."""
        return self._reader.scrub(segment)

    def close(self) -> None:
        """Writes a checkpoint, unless the directory is read-only, and releases the directory."""
        if not self.directory.read_only:
            self.checkpoint()
            self.writer.close()
        self.directory.release()

    def status(self) -> dict[str, int]:
        """Returns figures for operators, under the names that the status output has."""
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
