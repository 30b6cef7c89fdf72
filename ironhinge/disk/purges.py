"""The purges that a store knows, and the floor that stands for those it can't know by name."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from .index import IndexEntry

MAX_OBJECT_PURGES = 65_536  # known by object; the oldest beyond that raise the floor


class PurgeTable:
    """Purges by object and by group, as Unix milliseconds up to which copies are void."""

    def __init__(
        self,
        objects: Mapping[int, int] | None = None,
        groups: Mapping[int, int] | None = None,
    ):
        self.objects: OrderedDict[int, int] = OrderedDict(objects or {})  # the longest unchanged first
        self.groups: dict[int, int] = dict(groups or {})
        self.known_until = 0  # Unix ms; every purge up to then is in this table
        self.floor = 0  # Unix ms; copies produced up to then are void ...
        self.floor_generation = 0  # ... if their record is of this generation or an older one

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups)

    def record_progress(self, unix_ms: int) -> None:
        """Notes that every purge up to then is known."""
        self.known_until = max(self.known_until, unix_ms)

    def record_object(self, object_id: int, purged_at: int) -> list[int]:
        """Notes a purge of an object.

        Returns:
            The times of the oldest purges, which had to be dropped: the floor must be raised to them.
        """
        self.objects[object_id] = max(self.objects.pop(object_id, 0), purged_at)
        dropped = []
        while len(self.objects) > MAX_OBJECT_PURGES:
            _, dropped_at = self.objects.popitem(last=False)
            dropped.append(dropped_at)
        self.record_progress(purged_at)
        return dropped

    def record_group(self, group: int, purged_at: int) -> None:
        """Notes a purge of a whole group."""
        self.groups[group] = max(self.groups.get(group, 0), purged_at)
        self.record_progress(purged_at)

    def raise_floor(self, unix_ms: int, generation: int) -> None:
        """Voids every copy produced up to then whose record is of that generation or an older one."""
        self.floor = max(self.floor, unix_ms)
        self.floor_generation = generation

    def invalidates(self, entry: IndexEntry) -> bool:
        """Returns whether a purge or the floor voids a copy."""
        purged_until = max(self.objects.get(entry.object_id, 0), self.groups.get(entry.group, 0))
        if entry.generation <= self.floor_generation:
            purged_until = max(purged_until, self.floor)
        return entry.produced_at <= purged_until
