"""The endpoint list of the account: the route of fills from each endpoint, and each object's preferred hub.

The preferred hub of an object is the parent with the highest rendezvous score. Parents that were removed from
the endpoint list recently are still ranked, so that fills from the remaining parents count as diverted.
"""

from __future__ import annotations

from typing import NamedTuple

from .. import interface
from ..routing.hashing import RendezvousHasher, hash_key, score
from .types import Route

MAX_PREFERRED_HUBS = 4096  # maximum number of objects whose preferred hub is cached
MIN_REMOVED_HUBS = 8  # number of removed parents that are always remembered until they expire


class SourceEndpoint(NamedTuple):
    """An endpoint that can be the source of a fill."""

    zone: int
    hash_key: int
    route: Route
    is_upstream: bool  # a parent or the origin, not a cache


class EndpointDirectory:
    """The endpoint list, with the parents that were recently removed from it."""

    def __init__(self, deployment: interface.Deployment, removed_hub_retention: int):
        """Makes an empty directory; removed parents are still ranked for `removed_hub_retention`."""
        self._deployment = deployment
        self._removed_hub_retention = removed_hub_retention
        self.endpoints: dict[str, SourceEndpoint] = {}
        self.hubs: dict[str, SourceEndpoint] = {}  # listed and recently removed parents
        self.removed_at: dict[str, int] = {}  # time of removal by parent, oldest first
        # kept until `hubs` changes: the hasher over the hubs, and the preferred hub by object
        self._hub_hasher: RendezvousHasher | None = None
        self._preferred_hubs: dict[int, str] = {}

    def update(self, now: int, event: interface.EndpointsUpdated) -> list[str]:
        """Applies the endpoint list or a change to it; returns the ids of removed endpoints."""
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
        # bounds the memory where parents are replaced often
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
        """Drops parents that were removed longer ago than the retention time."""
        retention = self._removed_hub_retention
        expired = [hub_id for hub_id, since in self.removed_at.items() if now > since + retention]
        for hub_id in expired:
            del self.removed_at[hub_id], self.hubs[hub_id]
            self._on_hubs_changed()

    def _on_hubs_changed(self) -> None:
        self._hub_hasher = None
        self._preferred_hubs.clear()

    def is_diverted(self, object_id: int, source_id: str, source: SourceEndpoint) -> bool:
        """Returns whether the source is a parent or the origin, but not the preferred hub of the object."""
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
