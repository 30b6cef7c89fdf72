"""Total and live bytes of each segment file, and the choice of the segment to compact next."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from .format import SEGMENT_HEADER_SIZE
from .index import IndexEntry


@dataclass(slots=True)
class SegmentUsage:
    """Sizes of one segment file."""

    total_bytes: int
    live_bytes: int  # bytes of records that the index points to

    @property
    def live_share(self) -> float:
        """The fraction of the file that compaction would have to write again."""
        return self.live_bytes / self.total_bytes


class SegmentTable:
    """The segments of a store by number, in the order in which they were added."""

    def __init__(self, usages: Mapping[int, SegmentUsage] | None = None):
        self._usages = dict(sorted(usages.items())) if usages is not None else {}

    def __iter__(self) -> Iterator[int]:
        return iter(self._usages)

    def __len__(self) -> int:
        return len(self._usages)

    def __contains__(self, number: int) -> bool:
        return number in self._usages

    def add(self, number: int) -> None:
        """Adds a segment that contains only its header, unless the table already has it."""
        self._usages.setdefault(number, SegmentUsage(SEGMENT_HEADER_SIZE, 0))

    def discard(self, number: int) -> None:
        """Removes a segment, if the table has it."""
        self._usages.pop(number, None)

    def set_total(self, number: int, total_bytes: int) -> None:
        """Sets the size of a segment's file."""
        self._usages[number].total_bytes = total_bytes

    def extend_total(self, number: int, total_bytes: int) -> None:
        """Raises the size of a segment's file to at least that many bytes."""
        usage = self._usages[number]
        usage.total_bytes = max(usage.total_bytes, total_bytes)

    def add_live(self, entry: IndexEntry) -> None:
        """Counts an entry's record as live, if its segment still exists."""
        usage = self._usages.get(entry.segment)
        if usage is not None:
            usage.live_bytes += entry.record_size

    def remove_live(self, entry: IndexEntry) -> None:
        """Counts an entry's record as dead, if its segment still exists."""
        usage = self._usages.get(entry.segment)
        if usage is not None:
            usage.live_bytes -= entry.record_size

    def total_bytes_of(self, number: int) -> int:
        """Returns the size of a segment's file; 0 if the table does not have it."""
        usage = self._usages.get(number)
        return usage.total_bytes if usage is not None else 0

    def live_bytes_of(self, number: int) -> int:
        """Returns the size of the live records in a segment; 0 if the table does not have it."""
        usage = self._usages.get(number)
        return usage.live_bytes if usage is not None else 0

    def total_bytes(self) -> int:
        """Returns the total size of all segment files in bytes."""
        return sum(usage.total_bytes for usage in self._usages.values())

    def live_bytes(self) -> int:
        """Returns the total size of all live records in bytes."""
        return sum(usage.live_bytes for usage in self._usages.values())

    def snapshot(self) -> dict[int, SegmentUsage]:
        """Returns a copy that later changes do not affect."""
        return {number: replace(usage) for number, usage in self._usages.items()}

    def compaction_candidate(self, active: int | None) -> int | None:
        """Returns the segment with the smallest live share, the oldest on a tie; None if there is none.

        Args:
            active: the segment that is open for writing, which can't be compacted.
        """
        closed = [number for number in self._usages if number != active]
        if not closed:
            return None
        return min(closed, key=lambda number: (self._usages[number].live_share, number))
