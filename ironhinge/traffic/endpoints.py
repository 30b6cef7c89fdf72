"""The endpoints as the account sees them: the routes of their fills, and the hub that each object prefers.

An object prefers the first parent of its hash order. Parents that left the endpoint list lately still count
in that order, so that transfers from the others stand out as diverted.
"""

from __future__ import annotations

from typing import NamedTuple

from .. import interface
from ..routing.hashing import RendezvousHasher, hash_key, score
from .types import Route

MAX_PREFERRED_HUBS = 4096  # objects whose preferred hub is kept at hand
MIN_REMOVED_HUBS = 8  # departed parents that are remembered at least


class SourceEndpoint(NamedTuple):
    """An endpoint that fills may come from."""

    zone: int
    hash_key: int
    route: Route
    is_upstream: bool  # a parent or the origin, behind the caches


class EndpointDirectory:
    """The endpoint list, with the parents that left it lately."""

    def __init__(self, deployment: interface.Deployment, removed_hub_retention: int):
        """Makes an empty directory; parents that depart count for `departed_retention` longer."""
        self._deployment = deployment
        self._removed_hub_retention = removed_hub_retention
        self.endpoints: dict[str, SourceEndpoint] = {}
        self.hubs: dict[str, SourceEndpoint] = {}  # listed parents, and departed ones
        self.removed_at: dict[str, int] = {}  # of departed parents, the longest ago first
        # while the hubs are the same: what orders them, and the first of that order by object
        self._hub_hasher: RendezvousHasher | None = None
        self._preferred_hubs: dict[int, str] = {}

    def update(self, now: int, event: interface.EndpointsUpdated) -> list[str]:
        """Takes in the endpoint list or a change of it; returns the ids that it removes."""
        self._on_hubs_changed()
        removed: list[str] = []
        if event.is_full:
            listed = {endpoint.id for endpoint in event.endpoints}
            removed += [endpoint_id for endpoint_id in self.endpoints if endpoint_id not in listed]
            for endpoint_id in removed:
                self._remove(now, endpoint_id)
        for endpoint in event.endpoints:
            if endpoint.state == interface.EndpointState.REMOVED:
                self._remove(now, endpoint.id)
                removed.append(endpoint.id)
            else:
                self._add(endpoint)
        return removed

    def _add(self, endpoint: interface.Endpoint) -> None:
        deployment = self._deployment
        is_parent = endpoint.kind == deployment.parent_kind
        source = SourceEndpoint(
            endpoint.zone,
            hash_key(endpoint.id),
            self._route(endpoint),
            is_parent or endpoint.kind == deployment.origin_kind,
        )
        self.endpoints[endpoint.id] = source
        if is_parent:
            self.hubs[endpoint.id] = source
            self.removed_at.pop(endpoint.id, None)

    def _remove(self, now: int, endpoint_id: str) -> None:
        self.endpoints.pop(endpoint_id, None)
        if endpoint_id not in self.hubs or endpoint_id in self.removed_at:
            return
        self.removed_at[endpoint_id] = now
        # bounds the memory where parents are replaced all the time
        while len(self.removed_at) > max(MIN_REMOVED_HUBS, 2 * len(self.endpoints)):
            oldest = next(iter(self.removed_at))
            del self.removed_at[oldest], self.hubs[oldest]

    def _route(self, endpoint: interface.Endpoint) -> Route:
        deployment = self._deployment
        if endpoint.kind == deployment.origin_kind:
            return Route.ORIGIN
        if endpoint.kind != deployment.parent_kind:
            return Route.NEIGHBOUR
        zone, hubs = deployment.zone, deployment.hub_by_zone
        own_hub = hubs[zone] if zone < len(hubs) else zone
        return Route.OWN_HUB if endpoint.zone == own_hub else Route.OTHER_HUB

    def expire_removed_hubs(self, now: int) -> None:
        """Drops the parents that departed too long ago to count."""
        retention = self._removed_hub_retention
        expired = [hub_id for hub_id, since in self.removed_at.items() if now > since + retention]
        for hub_id in expired:
            del self.removed_at[hub_id], self.hubs[hub_id]
            self._on_hubs_changed()

    def _on_hubs_changed(self) -> None:
        self._hub_hasher = None
        self._preferred_hubs.clear()

    def is_diverted(self, object_id: int, source_id: str, source: SourceEndpoint) -> bool:
        """Whether a fill from that source comes from behind the caches, but not from the preferred hub."""
        if not source.is_upstream or not self.hubs:
            return False
        return self._preferred_hub(object_id) != source_id

    def _preferred_hub(self, object_id: int) -> str:
        found = self._preferred_hubs.get(object_id)
        if found is None:
            found = self._first_by_hash(object_id)
            if len(self._preferred_hubs) >= MAX_PREFERRED_HUBS:
                self._preferred_hubs.clear()
            self._preferred_hubs[object_id] = found
        return found

    def _first_by_hash(self, object_id: int) -> str:
        if self._hub_hasher is None:
            self._hub_hasher = RendezvousHasher([hub.hash_key for hub in self.hubs.values()])
        object_hash_key = score(object_id, 0)
        scores = self._hub_hasher.scores(object_hash_key)
        return list(self.hubs)[scores.index(max(scores))]
