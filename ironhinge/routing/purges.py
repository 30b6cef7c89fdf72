"""Purges: copies from before a purge are not accepted until the purge has reached every cache.

Enforces the rule that no copy from before a purge is served. Its only drawback is extra fills: the age limit
also excludes valid copies that are older than it.
"""

from __future__ import annotations

from ..interface import PurgeNotified
from .request_state import RequestState


class PurgeLog:
    """The newest purge of each object and group, kept as long as copies from before it may exist."""

    __slots__ = ("_groups", "_objects", "_retention")

    def __init__(self, retention: int):
        self._retention = retention
        self._objects: dict[int, int] = {}  # time of the purge by object; the least recently notified first
        self._groups: dict[int, int] = {}

    def on_purge(self, now: int, event: PurgeNotified) -> None:
        """Records a purge, unless a newer one is known, since a notice may be late; drops expired purges."""
        if event.object_id is None:
            purges, purged_id = self._groups, event.group
        else:
            purges, purged_id = self._objects, event.object_id
        purged_at = now - event.age + 1  # one tick of margin, as the age is rounded down
        purges[purged_id] = max(purges.pop(purged_id, purged_at), purged_at)
        while purges:
            oldest = next(iter(purges))
            if purges[oldest] + self._retention >= now:
                break
            del purges[oldest]

    def max_copy_age(self, now: int, request: RequestState) -> int:
        """Returns the maximum age of a copy for the request; 0 if only the limit of its class applies."""
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
