"""Writes the log: a queue of records, the segment open for writing, and the handling of failed writes.

A queued record is readable once `flush` has written it and survives a power cut once `sync` has returned.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

from .directory import NO_DESCRIPTOR, StoreDirectory
from .errors import is_unwritable
from .format import (
    SEGMENT_HEADER_SIZE,
    Record,
    RecordKind,
    pack_record,
    pack_segment_header,
    segment_file_name,
)
from .index import IndexEntry, PartKey
from .state import StoreCounter, StoreState

_MAX_RECORDS_PER_WRITE = 256


class PendingRecord(NamedTuple):
    """A packed record that is queued to be written."""

    pieces: tuple[bytes, ...]
    size: int  # size of the whole record in bytes
    entry: IndexEntry | None  # index entry of a copy; None for all other kinds of records


class LogWriter:
    """Appends records to the log; `lock` is held while writing, compacting or taking a checkpoint."""

    def __init__(self, state: StoreState, directory: StoreDirectory, identity: bytes, segment_size: int):
        self.lock = threading.RLock()
        self.pending: list[PendingRecord] = []
        self.pending_bytes = 0
        self.segment = 0  # number of the newest segment, open or closed
        self._state = state
        self._directory = directory
        self._identity = identity
        self._segment_size = segment_size
        self._descriptor = NO_DESCRIPTOR
        self._offset = 0
        self._is_unsynced = False

    @property
    def open_segment(self) -> int | None:
        """The number of the segment that is open for writing, None if none is."""
        return self.segment if self._is_open else None

    @property
    def open_offset(self) -> int:
        """The offset of the next record in the open segment; 0 if none is open."""
        return self._offset if self._is_open else 0

    @property
    def _is_open(self) -> bool:
        return self._descriptor != NO_DESCRIPTOR

    def enqueue(self, record: Record, entry: IndexEntry | None = None) -> None:
        """Queues a record, unless the directory is read-only; the caller holds the state's lock."""
        if self._directory.read_only:
            return
        pieces = pack_record(record)
        size = sum(map(len, pieces))
        self.pending.append(PendingRecord(pieces, size, entry))
        self.pending_bytes += size

    def enqueue_object_purge(self, object_id: int, group: int, purged_at: int) -> None:
        """Queues the purge of an object; the caller holds the state's lock."""
        generation = self._state.next_generation()
        self.enqueue(Record(RecordKind.PURGE_OBJECT, generation, object_id, 0, group, purged_at))

    def enqueue_group_purge(self, group: int, purged_at: int) -> None:
        """Queues the purge of a group; the caller holds the state's lock."""
        generation = self._state.next_generation()
        self.enqueue(Record(RecordKind.PURGE_GROUP, generation, group=group, timestamp=purged_at))

    def enqueue_all_purges(self) -> None:
        """Queues all known purges again, as the records of some may be lost."""
        with self._state.lock:
            for object_id, purged_at in self._state.purges.objects.items():
                self.enqueue_object_purge(object_id, 0, purged_at)
            for group, purged_at in self._state.purges.groups.items():
                self.enqueue_group_purge(group, purged_at)

    def cancel(self, key: PartKey) -> bool:
        """Removes the copies of a part from the queue; returns whether there were any.

        The caller holds the state's lock.
        """
        remaining = [queued for queued in self.pending if queued.entry is None or queued.entry.key != key]
        was_queued = len(remaining) < len(self.pending)
        self.pending = remaining
        self.pending_bytes = sum(queued.size for queued in remaining)
        return was_queued

    def flush(self) -> int:
        """Writes the queued records; returns the number of bytes written.

        If the disk accepts no more writes, the queued copies are dropped and `is_full` stops admission until
        compaction has freed space. Copies written before are still served.

        Raises:
            OSError: a write or sync failed for a reason other than a full or unwritable disk; what was not
                written is still queued.
        """
        with self.lock:
            return self._flush()

    def sync(self) -> None:
        """Makes the flushed records durable.

        Raises:
            OSError: the sync failed; records flushed since the last sync may or may not be durable.
        """
        with self.lock:
            if not self._is_open or not self._is_unsynced:
                return
            try:
                self._directory.sync(self._descriptor)
            except OSError:
                self._close_after_failed_sync()
                raise
            self._is_unsynced = False

    def start_segment(self) -> None:
        """Syncs and closes the open segment, if any, and starts the next one."""
        if self._is_open:
            self.sync()
            self.close()
        with self._state.lock:
            self.segment += 1
            number = self.segment
        name = segment_file_name(number)
        descriptor = self._directory.create(name)
        try:
            header = pack_segment_header(self._identity, number, self._state.generation)
            self._directory.write(descriptor, (header,), 0)
            self._directory.sync_directory()
        except OSError:
            self._directory.close(descriptor)
            self._directory.remove(name)
            raise
        with self._state.lock:
            self._state.segments.add(number)
        self._descriptor = descriptor
        self._offset = SEGMENT_HEADER_SIZE

    def close(self) -> None:
        """Closes the open segment, if any; the next record starts a new one."""
        if self._is_open:
            self._directory.close(self._descriptor)
            self._descriptor = NO_DESCRIPTOR

    def _flush(self) -> int:
        written = 0
        while True:
            with self._state.lock:
                batch, self.pending, self.pending_bytes = self.pending, [], 0
            if not batch:
                return written
            done = 0
            try:
                for run in self._runs(batch):
                    written += self._write_run(run)
                    done += len(run)
            except OSError as error:
                if not is_unwritable(error):
                    self._requeue(batch[done:])
                    raise
                self._state.count(StoreCounter.FAILED_WRITES)
                self._state.is_full = True
                self._close_after_failed_write()
                self._requeue(self._non_copy_records(batch))
                return written

    @staticmethod
    def _non_copy_records(batch: list[PendingRecord]) -> list[PendingRecord]:
        """Returns the records of a failed write that must be written again, which are all but the copies.

        Tombstones must reach the disk before any later record of discovery progress. Otherwise that record
        would state that all purges are known, and after a restart the copies that they cover would be served.
        """
        return [record for record in batch if record.entry is None]

    def _requeue(self, records: list[PendingRecord]) -> None:
        """Puts records at the front of the queue."""
        with self._state.lock:
            self.pending[:0] = records
            self.pending_bytes += sum(record.size for record in records)

    def _runs(self, batch: list[PendingRecord]) -> Iterator[list[PendingRecord]]:
        """Splits a batch into runs, each written at once to the open segment.

        Starts a new segment if none is open or the next record does not fit into the open one.
        """
        start = 0
        while start < len(batch):
            end = self._end_of_run(batch, start) if self._is_open else start
            if end == start:
                self.start_segment()
                continue
            yield batch[start:end]
            start = end

    def _end_of_run(self, batch: list[PendingRecord], start: int) -> int:
        """Returns the end of the longest run from `start` that fits into the open segment and one write."""
        end = start
        offset = self._offset
        while end < len(batch) and end - start < _MAX_RECORDS_PER_WRITE:
            offset += batch[end].size
            if offset > self._segment_size:
                break
            end += 1
        return end

    def _write_run(self, run: list[PendingRecord]) -> int:
        """Writes records to the open segment and indexes their copies; returns the bytes written."""
        pieces = [piece for record in run for piece in record.pieces if piece]
        written = sum(record.size for record in run)
        self._directory.write(self._descriptor, pieces, self._offset)
        with self._state.lock:
            offset = self._offset
            for record in run:
                if record.entry is not None:
                    self._index_copy(record.entry, offset)
                offset += record.size
            self._offset = offset
            self._state.segments.set_total(self.segment, offset)
        self._is_unsynced = True
        self._state.count(StoreCounter.BYTES_WRITTEN, written)
        return written

    def _index_copy(self, entry: IndexEntry, offset: int) -> None:
        """Adds a written copy to the index, unless the index has a newer one or the copy is purged."""
        written = entry._replace(segment=self.segment, offset=offset)
        current = self._state.index.get(entry.key)
        is_moved = entry.segment != 0
        if is_moved:  # by compaction: must not override a newer copy or a drop
            is_newest = current is not None and current.generation == entry.generation
        else:
            is_newest = current is None or current.generation < entry.generation
        if is_newest and not self._state.is_purged(written):
            self._state.insert(written, current)

    def _close_after_failed_write(self) -> None:
        """Truncates the segment of a failed write to the end of its last successful write and closes it.

        If it can't be truncated, recovery distinguishes the torn tail from valid records.
        """
        if self._is_open:
            with suppress(OSError):
                self._directory.truncate(segment_file_name(self.segment), self._offset)
            self.close()

    def _close_after_failed_sync(self) -> None:
        """Closes the segment of a failed sync and queues all known purges again for the next segment.

        It is unknown which records of the segment are durable, and a later successful sync does not change
        that (see fsync(2)). Purges must therefore be written again.
        """
        self._state.count(StoreCounter.FAILED_SYNCS)
        self.close()
        self._is_unsynced = False
        self.enqueue_all_purges()
