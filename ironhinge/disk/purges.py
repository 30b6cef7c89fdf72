"""The purges that a store knows, and the purge floor.

The floor is a time: copies produced up to it count as purged. It replaces purges that the table has dropped
and covers those that the store may have missed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from .index import IndexEntry

MAX_OBJECT_PURGES = 65_536  # beyond this, the oldest purges are replaced by a higher floor


class PurgeTable:
    """Purges by object and by group; each is a time in Unix ms up to which produced copies are invalid."""

    def __init__(
        self,
        objects: Mapping[int, int] | None = None,
        groups: Mapping[int, int] | None = None,
    ):
        self.objects: OrderedDict[int, int] = OrderedDict(objects or {})  # least recently updated first
        self.groups: dict[int, int] = dict(groups or {})
        self.known_until = 0  # Unix ms; all purges up to this time are in this table or below the floor
        self.floor = 0  # Unix ms; copies produced up to this time are invalid ...
        self.floor_generation = 0  # ... if their record has this generation or an older one

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups)

    def record_progress(self, unix_ms: int) -> None:
        """Records that all purges up to a time are known."""
        self.known_until = max(self.known_until, unix_ms)

    def record_object(self, object_id: int, purged_at: int) -> list[int]:
        """Records the purge of an object.

        Returns:
            The times of purges dropped because the table is full; the caller must raise the floor to them.
        """
        self.objects[object_id] = max(self.objects.pop(object_id, 0), purged_at)
        dropped = []
        while len(self.objects) > MAX_OBJECT_PURGES:
            _, dropped_at = self.objects.popitem(last=False)
            dropped.append(dropped_at)
        self.record_progress(purged_at)
        return dropped

    def record_group(self, group: int, purged_at: int) -> None:
        """Records the purge of a whole group."""
        self.groups[group] = max(self.groups.get(group, 0), purged_at)
        self.record_progress(purged_at)

    def raise_floor(self, unix_ms: int, generation: int) -> None:
        """Raises the floor to a time, unless it is higher, and applies it to records up to a generation."""
        self.floor = max(self.floor, unix_ms)
        self.floor_generation = generation

    def invalidates(self, entry: IndexEntry) -> bool:
        """Returns whether a purge or the floor makes a copy invalid."""
        purged_until = max(self.objects.get(entry.object_id, 0), self.groups.get(entry.group, 0))
        if entry.generation <= self.floor_generation:
            purged_until = max(purged_until, self.floor)
        return entry.produced_at <= purged_until
