"""Purges: copies older than a purge are refused until the purge has reached every cache.

Guards the rule that no copy from before a purge is served. The only harm is extra fills: good copies that are
older than the limit are fetched anew.
"""

from __future__ import annotations

from ..interface import PurgeNotified
from .request_state import RequestState


class PurgeLog:
    """The newest purge of each object and group, for as long as older copies may exist."""

    __slots__ = ("_groups", "_objects", "_retention")

    def __init__(self, retention: int):
        self._retention = retention
        self._objects: dict[int, int] = {}  # when each was purged; the least recently notified first
        self._groups: dict[int, int] = {}

    def on_purge(self, now: int, event: PurgeNotified) -> None:
        """Records a purge. A late notice of an older one must not loosen a newer one: hence the max."""
        if event.object_id is None:
            purges, purged_id = self._groups, event.group
        else:
            purges, purged_id = self._objects, event.object_id
        purged_at = now - event.age + 1  # the age is rounded down
        purges[purged_id] = max(purges.pop(purged_id, purged_at), purged_at)
        while purges:
            oldest = next(iter(purges))
            if purges[oldest] + self._retention >= now:
                break
            del purges[oldest]

    def max_copy_age(self, now: int, request: RequestState) -> int:
        """The oldest copy that may be served; 0 for what the class of the request allows by itself."""
        object_id, group = request.key[0], request.group
        purges = []
        if object_id in self._objects:
            purges.append(self._objects[object_id])
        if group in self._groups:
            purges.append(self._groups[group])
        if not purges:
            return 0
        purged_at = max(purges)
        if now > purged_at + self._retention:
            return 0
        limit = max(1, now - purged_at)
        freshness_lifetime = request.request_class.definition.freshness_lifetime
        return min(limit, freshness_lifetime) if freshness_lifetime else limit
