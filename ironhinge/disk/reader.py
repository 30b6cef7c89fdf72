"""Reads and verifies copies: bytes that fail their checksum are never returned."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .directory import StoreDirectory
from .errors import CorruptRecordError
from .format import (
    RECORD_HEADER_SIZE,
    RecordHeader,
    RecordKind,
    segment_file_name,
    unpack_record_header,
    verify_content,
)
from .index import IndexEntry, PartKey
from .state import StoreCounter, StoreState

STEP_BYTES = 1 << 20  # bytes that a step of background work reads or writes before it yields


class Copy(NamedTuple):
    """A copy of a part: the body that the origin produced, with its validator and production time."""

    tag: bytes  # validator of the body
    produced_at: int  # Unix ms
    body: bytes


class CopyReader:
    """Reads the copies that the index points to; any number of threads may use it."""

    def __init__(self, state: StoreState, directory: StoreDirectory):
        self._state = state
        self._directory = directory

    def get(self, key: PartKey) -> Copy | None:
        """Returns the copy of a part, or None if there is none that may be served."""
        entry = self._state.find(key)
        if entry is None:
            return None
        copy = self.read(entry)
        if copy is None:  # compaction may have moved the record in the meantime
            entry = self._state.find(key)
            copy = self.read(entry) if entry is not None else None
        if copy is not None and entry is not None and self._state.is_purged(entry):
            return None  # purged while it was read
        return copy

    def read(self, entry: IndexEntry) -> Copy | None:
        """Returns the copy that an entry points to.

        If it is missing, unreadable or corrupt, counts that, removes the entry and returns None.
        """
        try:
            return self._read_verified(entry)
        except FileNotFoundError:
            with self._state.lock:
                if entry.segment in self._state.segments:
                    self._state.count(StoreCounter.MISSING_SEGMENTS)
                    self._state.segments.discard(entry.segment)
        except (CorruptRecordError, OSError):
            self._state.count(StoreCounter.CORRUPT_RECORDS)
        self._state.remove_unreadable(entry)
        return None

    def scrub(self, segment: int) -> Iterator[int]:
        """Verifies all live copies of a segment; yields the number of body bytes that each step read."""
        with self._state.lock:
            entries = [entry for entry in self._state.index.entries() if entry.segment == segment]
        step_bytes = 0
        for entry in entries:
            with self._state.lock:
                if self._state.index.get(entry.key) != entry:
                    continue
            self.read(entry)
            step_bytes += entry.body_size
            if step_bytes >= STEP_BYTES:
                yield step_bytes
                step_bytes = 0
        yield step_bytes

    def _read_verified(self, entry: IndexEntry) -> Copy:
        """Returns the copy that an entry points to.

        Raises:
            CorruptRecordError: the bytes are not a valid record of that copy.
            OSError: the file could not be read.
        """
        name = segment_file_name(entry.segment)
        start_size = RECORD_HEADER_SIZE + entry.tag_size
        start, body = self._directory.read_at(name, entry.offset, start_size, entry.body_size)
        if len(start) < start_size or len(body) < entry.body_size:
            raise CorruptRecordError(
                f"{name} at {entry.offset}: record of {len(start) + len(body)} bytes, "
                f"expected {entry.record_size}"
            )
        header = unpack_record_header(memoryview(start))
        if not _matches_entry(header, entry):
            raise CorruptRecordError(f"{name} at {entry.offset}: found {header}, expected {entry}")
        tag = start[RECORD_HEADER_SIZE:]
        verify_content(header, tag, body)
        return Copy(tag, entry.produced_at, body)


def _matches_entry(header: RecordHeader, entry: IndexEntry) -> bool:
    """Returns whether a record header belongs to the copy of an index entry."""
    return (
        header.kind is RecordKind.PUT
        and (header.object_id, header.part) == entry.key
        and (header.body_size, header.tag_size) == (entry.body_size, entry.tag_size)
        and header.timestamp == entry.produced_at
    )
