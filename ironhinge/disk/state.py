"""The state of a store in memory: index, segments, purges and status counters."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import StrEnum

from .format import RecordHeader, RecordKind
from .index import IndexEntry, PartIndex, PartKey
from .purges import PurgeTable
from .segments import SegmentTable

# A time further in the future than this was stamped before the wall clock was set back.
MAX_CLOCK_SKEW_MS = 60_000


class StoreCounter(StrEnum):
    """Counters of a store; the values are keys of its status output."""

    BYTES_MOVED = "bytes_moved"
    BYTES_TORN = "bytes_torn"
    BYTES_WRITTEN = "bytes_written"
    CORRUPT_CHECKPOINTS = "checkpoints_unsound"
    CORRUPT_RECORDS = "records_unsound"
    CORRUPT_SEGMENTS = "segments_unsound"
    EVICTIONS = "evicted"
    FAILED_SYNCS = "syncs_failed"
    FAILED_WRITES = "writes_failed"
    INDEX_FULL = "index_full"
    MISSING_SEGMENTS = "segments_missing"
    PURGE_FLOOR_RAISED = "floor_raised"
    RECORDS_TORN = "records_torn"
    SEGMENTS_COMPACTED = "segments_compacted"
    UNREADABLE_SEGMENTS = "segments_unreadable"


class StoreState:
    """The state shared by reading, writing, compaction and recovery.

    `lock` guards all of it and is never held during disk I/O.
    """

    def __init__(self, max_entries: int, now_ms: Callable[[], int]):
        self.max_entries = max_entries
        self.now_ms = now_ms
        self.lock = threading.RLock()
        self.counters: dict[StoreCounter, int] = {}
        self.index = PartIndex(max_entries)
        self.segments = SegmentTable()
        self.purges = PurgeTable()
        self.generation = 0  # generation of the newest record
        self.is_full = False  # the disk accepts no more writes

    def count(self, counter: StoreCounter, amount: int = 1) -> None:
        """Increments a counter."""
        self.counters[counter] = self.counters.get(counter, 0) + amount

    def next_generation(self) -> int:
        """Returns the generation for a new record."""
        self.generation += 1
        return self.generation

    def insert(self, entry: IndexEntry, previous: IndexEntry | None) -> None:
        """Adds an entry to the index, replacing the previous entry of its part.

        If the index is full, counts that and does nothing.
        """
        if not self.index.put(entry):
            self.count(StoreCounter.INDEX_FULL)
            return
        self.segments.add_live(entry)
        if previous is not None:
            self.segments.remove_live(previous)

    def remove(self, entry: IndexEntry) -> None:
        """Removes an entry from the index, if present."""
        if self.index.remove(entry.key):
            self.segments.remove_live(entry)

    def remove_unreadable(self, entry: IndexEntry) -> None:
        """Removes an entry that could not be read, unless a newer one has replaced it."""
        with self.lock:
            current = self.index.get(entry.key)
            if current is not None and current.generation == entry.generation:
                self.remove(current)

    def discard_segment(self, number: int) -> None:
        """Removes a segment, and the entries of the copies in it that are still live."""
        with self.lock:
            if self.segments.live_bytes_of(number):
                lost = [entry.key for entry in self.index.entries() if entry.segment == number]
                for key in lost:
                    self.index.remove(key)
            self.segments.discard(number)

    def find(self, key: PartKey) -> IndexEntry | None:
        """Returns the entry of a part if its copy may be served; otherwise removes it and returns None."""
        with self.lock:
            entry = self.index.get(key)
            if entry is None:
                return None
            if self.is_purged(entry) or entry.segment not in self.segments:
                self.remove(entry)
                return None
            return entry

    def is_purged(self, entry: IndexEntry) -> bool:
        """Returns whether a copy must not be served: it is purged, or dated before the clock was set back."""
        return self.purges.invalidates(entry) or entry.produced_at > self.now_ms() + MAX_CLOCK_SKEW_MS

    def purge_object(self, object_id: int, purged_at: int) -> None:
        """Invalidates the copies of an object that the origin produced up to `purged_at` (Unix ms)."""
        for dropped_at in self.purges.record_object(object_id, purged_at):
            self.raise_purge_floor(dropped_at)

    def raise_purge_floor(self, unix_ms: int) -> None:
        """Invalidates all copies stored so far that were produced up to a time.

        Copies stored later are not affected: the caller checks them against its purges before it stores them.
        Does nothing in a store without records.
        """
        if self.generation:
            self.purges.raise_floor(unix_ms, self.generation)
            self.count(StoreCounter.PURGE_FLOOR_RAISED)

    def apply(self, header: RecordHeader, segment: int, offset: int) -> None:
        """Applies a record that recovery reads from the log."""
        self.generation = max(self.generation, header.generation)
        match header.kind:
            case RecordKind.PUT:
                self._apply_put(header, segment, offset)
            case RecordKind.DROP:
                previous = self.index.get(PartKey(header.object_id, header.part))
                if previous is not None and previous.generation <= header.generation:
                    self.remove(previous)
            case RecordKind.PURGE_OBJECT:
                self.purge_object(header.object_id, header.timestamp)
            case RecordKind.PURGE_GROUP:
                self.purges.record_group(header.group, header.timestamp)
            case RecordKind.DISCOVERY_PROGRESS:
                self.purges.record_progress(header.timestamp)

    def _apply_put(self, header: RecordHeader, segment: int, offset: int) -> None:
        entry = IndexEntry(
            header.object_id,
            header.part,
            segment,
            offset,
            header.body_size,
            header.timestamp,
            header.generation,
            header.group,
            header.tag_size,
        )
        previous = self.index.get(entry.key)
        if previous is None or previous.generation <= entry.generation:
            self.insert(entry, previous)
