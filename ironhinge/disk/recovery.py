"""Recovery at startup: loads the newest valid checkpoint and replays the log from its position."""

from __future__ import annotations

from .checkpoint import load_checkpoint
from .directory import PARTIAL_SUFFIX, StoreDirectory
from .errors import CorruptRecordError, ForeignStoreError
from .format import (
    FORMAT_VERSION,
    SEGMENT_HEADER_SIZE,
    identity_name,
    scan_records,
    segment_file_name,
    segment_number,
    unpack_segment_header,
)
from .state import MAX_CLOCK_SKEW_MS, StoreCounter, StoreState


class Recovery:
    """Restores the state of a store from its directory."""

    def __init__(
        self, state: StoreState, directory: StoreDirectory, identity: bytes, purge_retention_ms: int
    ):
        self._state = state
        self._directory = directory
        self._identity = identity
        self._purge_retention_ms = purge_retention_ms

    def run(self) -> int:
        """Restores the state; unless the directory is read-only, also cleans it up and makes it durable.

        Returns:
            The highest number that a segment has or had at the checkpoint; 0 if there is none. It must not be
            used again: of the segment at the checkpoint's position only the end is replayed.

        Raises:
            ForeignStoreError: the directory belongs to another installation or has another format version.
        """
        names = self._directory.names()
        self._remove_partial_files(names)
        position = load_checkpoint(self._state, self._directory, self._identity, names)
        segment_numbers = sorted(number for number in map(segment_number, names) if number is not None)
        self._forget_missing_segments(segment_numbers)
        # The checkpoint covers all of its segments, except for the end of the one at its position.
        for number in segment_numbers:
            if position is not None and number == position.segment:
                self._replay(number, position.offset)
            elif position is None or number not in self._state.segments:
                self._replay(number, 0)
        if segment_numbers and not self._directory.read_only:
            self._directory.sync_directory()
        self._check_purges()
        checkpoint_segment = position.segment if position is not None else 0
        return max([checkpoint_segment, *segment_numbers])

    def _remove_partial_files(self, names: list[str]) -> None:
        """Removes the temporary files of interrupted replacements."""
        if self._directory.read_only:
            return
        for name in names:
            if name.endswith(PARTIAL_SUFFIX):
                self._directory.remove(name)

    def _forget_missing_segments(self, segment_numbers: list[int]) -> None:
        """Removes segments from the state whose files are gone.

        A checkpoint lists the copies of a segment that was compacted after it; the log has those that moved.
        """
        for number in [number for number in self._state.segments if number not in segment_numbers]:
            self._state.discard_segment(number)
            self._state.count(StoreCounter.MISSING_SEGMENTS)

    def _replay(self, number: int, offset: int) -> None:
        """Applies the records of a segment from an offset on and truncates a torn tail."""
        name = segment_file_name(number)
        try:
            data = memoryview(self._directory.read(name))
        except OSError:
            self._state.count(StoreCounter.UNREADABLE_SEGMENTS)
            self._state.discard_segment(number)
            return
        if not self._has_valid_header(name, number, data):
            return
        self._state.segments.add(number)
        end = max(offset, SEGMENT_HEADER_SIZE)
        for located in scan_records(data, end, verify_bodies=True):
            self._state.apply(located.header, number, located.offset)
            end = located.offset + located.header.record_size
        self._state.segments.extend_total(number, end)
        if end < len(data):
            self._truncate_torn_tail(name, end, len(data))
        if not self._directory.read_only and end > SEGMENT_HEADER_SIZE:
            # A process that was killed may have written to this segment without a sync, but the next
            # checkpoint will treat its records as durable.
            self._directory.sync_file(name)

    def _has_valid_header(self, name: str, number: int, data: memoryview) -> bool:
        """Checks the header of a segment; discards the file if it has no valid header.

        Raises:
            ForeignStoreError: the segment belongs to another installation or has another format version.
        """
        if len(data) < SEGMENT_HEADER_SIZE:  # the file was created, but the header not written
            self._discard_segment(name, number)
            return False
        try:
            header = unpack_segment_header(bytes(data[:SEGMENT_HEADER_SIZE]))
        except CorruptRecordError:
            self._state.count(StoreCounter.CORRUPT_SEGMENTS)
            self._discard_segment(name, number)
            return False
        if header.version != FORMAT_VERSION or header.identity != self._identity:
            raise ForeignStoreError(
                f"{name} has version {header.version} or belongs to another installation: found "
                f"'{identity_name(header.identity)}', expected version {FORMAT_VERSION} and "
                f"'{identity_name(self._identity)}'"
            )
        return True

    def _discard_segment(self, name: str, number: int) -> None:
        self._state.discard_segment(number)
        if not self._directory.read_only:
            self._directory.remove(name)

    def _truncate_torn_tail(self, name: str, end: int, size: int) -> None:
        self._state.count(StoreCounter.RECORDS_TORN)
        self._state.count(StoreCounter.BYTES_TORN, size - end)
        if not self._directory.read_only:
            self._directory.truncate(name, end)

    def _check_purges(self) -> None:
        """Raises the purge floor if purges may have been missed or the ages of copies are unknown."""
        now_ms = self._state.now_ms()
        known_until = self._state.purges.known_until
        if known_until > now_ms + MAX_CLOCK_SKEW_MS:  # the clock was set back
            self._state.raise_purge_floor(known_until)
        elif known_until < now_ms - self._purge_retention_ms:
            # The control plane repeats purges only for the retention time. Older ones that were issued after
            # `known_until` have been missed.
            self._state.raise_purge_floor(now_ms - self._purge_retention_ms)
