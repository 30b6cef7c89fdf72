"""Compaction: appends the records of a segment that are still needed to the log, then removes the segment.

A crash during compaction leaves either the old record alone or both the old and the new one. A moved copy
keeps its generation, so its replay can't override a newer record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress

from .directory import StoreDirectory
from .errors import CorruptRecordError
from .format import (
    RECORD_HEADER_SIZE,
    SEGMENT_HEADER_SIZE,
    LocatedRecord,
    Record,
    RecordHeader,
    RecordKind,
    scan_records,
    segment_file_name,
    verify_content,
)
from .index import IndexEntry, PartKey
from .reader import STEP_BYTES
from .state import StoreCounter, StoreState
from .writer import LogWriter

RetainPredicate = Callable[[IndexEntry], bool]  # whether compaction keeps a live copy


class Compactor:
    """Compacts segments; the caller holds the writer's lock during each step."""

    def __init__(self, state: StoreState, directory: StoreDirectory, writer: LogWriter):
        self._state = state
        self._directory = directory
        self._writer = writer

    def compact(self, segment: int, retain: RetainPredicate) -> Iterator[int]:
        """Compacts a segment; yields the number of bytes that each step read or wrote.

        While the disk is full, live copies are evicted instead of written again, and the segment is kept if
        any records are still queued to be written.

        Args:
            segment: number of the segment; nothing is done if it is unknown or open for writing.
            retain: called for each live copy; a copy for which it returns False is evicted.
        """
        with self._state.lock:
            if segment not in self._state.segments or segment == self._writer.open_segment:
                return
        data = self._read_segment(segment)
        yield len(data)
        moved_bytes = 0
        end = SEGMENT_HEADER_SIZE
        for located in scan_records(data, end, verify_bodies=False):
            end = located.offset + located.header.record_size
            moved_bytes += self._move_record(located, data, segment, retain)
            if moved_bytes >= STEP_BYTES:
                self._writer.flush()
                yield moved_bytes
                moved_bytes = 0
        if end < self._state.segments.total_bytes_of(segment):
            self._writer.enqueue_all_purges()  # some may be in the part that could not be read
        if self._state.is_full and self._writer.pending:
            return
        self._writer.flush()
        self._writer.sync()  # the new records must be durable before the old ones are removed
        self._remove_segment(segment)
        yield moved_bytes

    def _read_segment(self, segment: int) -> memoryview:
        """Returns the bytes of a segment file; empty if it can't be read."""
        try:
            return memoryview(self._directory.read(segment_file_name(segment)))
        except OSError:
            return memoryview(b"")

    def _remove_segment(self, segment: int) -> None:
        self._state.discard_segment(segment)  # records that could not be read have not moved
        with suppress(FileNotFoundError):
            self._directory.remove(segment_file_name(segment))
        self._state.is_full = False  # there is space again
        self._state.count(StoreCounter.SEGMENTS_COMPACTED)

    def _move_record(
        self, located: LocatedRecord, data: memoryview, segment: int, retain: RetainPredicate
    ) -> int:
        """Queues a record to be written again if it is still needed; returns its size, else 0."""
        header = located.header
        if header.kind is not RecordKind.PUT:
            return self._requeue_purge(header)
        with self._state.lock:
            entry = self._state.index.get(PartKey(header.object_id, header.part))
            if entry is None or (entry.segment, entry.offset) != (segment, located.offset):
                return 0
            if self._state.is_purged(entry) or self._state.is_full or not retain(entry):
                self._state.remove(entry)
                self._state.count(StoreCounter.EVICTIONS)
                return 0
        return self._move_copy(located, data, entry)

    def _move_copy(self, located: LocatedRecord, data: memoryview, entry: IndexEntry) -> int:
        """Queues a copy to be written again if its checksum matches; returns its record's size, else 0."""
        header = located.header
        tag_offset = located.offset + RECORD_HEADER_SIZE
        body_offset = tag_offset + header.tag_size
        tag = bytes(data[tag_offset:body_offset])
        body = bytes(data[body_offset : located.offset + header.record_size])
        try:
            verify_content(header, tag, body)
        except CorruptRecordError:
            self._state.count(StoreCounter.CORRUPT_RECORDS)
            self._state.remove_unreadable(entry)
            return 0
        record = Record(
            RecordKind.PUT,
            header.generation,
            header.object_id,
            header.part,
            header.group,
            header.timestamp,
            tag,
            body,
        )
        with self._state.lock:
            self._writer.enqueue(record, entry)
        self._state.count(StoreCounter.BYTES_MOVED, header.record_size)
        return header.record_size

    def _requeue_purge(self, header: RecordHeader) -> int:
        """Queues a purge to be written again if it is still in the purge table; returns its size, else 0.

        Drops and discovery progress are not written again.
        """
        with self._state.lock:
            purges = self._state.purges
            match header.kind:
                case RecordKind.PURGE_OBJECT if purges.objects.get(header.object_id) == header.timestamp:
                    self._writer.enqueue_object_purge(header.object_id, header.group, header.timestamp)
                case RecordKind.PURGE_GROUP if purges.groups.get(header.group) == header.timestamp:
                    self._writer.enqueue_group_purge(header.group, header.timestamp)
                case _:
                    return 0
        return RECORD_HEADER_SIZE
