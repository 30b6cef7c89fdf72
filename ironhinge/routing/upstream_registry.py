"""The upstreams in the endpoint list, by tier."""

from __future__ import annotations

from ..interface import Deployment, Endpoint, EndpointState, EndpointsUpdated
from .candidates import Candidates
from .upstreams import Path, Upstream

READY = EndpointState.READY
REMOVED = EndpointState.REMOVED


class UpstreamRegistry:
    """All upstreams by id, the ready ones by tier, and the ingress link of the location."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._has_list = False
        self.by_id: dict[str, Upstream] = {}
        self.candidates = Candidates()  # the ready caches of this location
        self.maybe_warming: dict[Upstream, None] = {}  # caches that started or were unresponsive recently
        self.parents: list[Upstream] = []
        self.origin: Upstream | None = None
        self.ingress_link = Path()  # of this location; shared by all fills

    def peers_of_kind(self, kind: int) -> list[Upstream]:
        """Returns the parents for their kind, the ready local caches for any other kind."""
        return self.parents if kind == self._deployment.parent_kind else self.candidates.caches

    def update(self, now: int, event: EndpointsUpdated) -> None:
        """Applies the endpoint list, or changes to it."""
        if event.is_full:
            listed = {endpoint.id for endpoint in event.endpoints}
            for upstream in [each for each in self.by_id.values() if each.id not in listed]:
                self._remove(upstream)
        for endpoint in event.endpoints:
            self._update_endpoint(now, endpoint, event.is_full)
        self._has_list = True

    def _update_endpoint(self, now: int, endpoint: Endpoint, is_full: bool) -> None:
        registered = self.by_id.get(endpoint.id)
        if registered is None:
            if self._has_list and not is_full and not endpoint.started_at:
                # An added endpoint gets slow start even if the list says that it started long ago.
                endpoint = endpoint._replace(started_at=now)
            registered = self.by_id[endpoint.id] = Upstream(endpoint)
        elif endpoint.state == REMOVED:
            return self._remove(registered)
        else:
            started_at = registered.endpoint.started_at
            if endpoint.started_at > started_at:
                registered.reset()
            registered.endpoint = endpoint._replace(started_at=max(endpoint.started_at, started_at))
        self.reclassify(registered)
        return None

    def _remove(self, upstream: Upstream) -> None:
        upstream.endpoint = upstream.endpoint._replace(state=REMOVED)
        self.reclassify(upstream)

    def reclassify(self, upstream: Upstream) -> None:
        """Moves an upstream whose endpoint has changed into or out of its tier.

        Only this upstream is reclassified, however many there are. The state of a removed upstream is
        discarded: an endpoint that is listed with the same id later starts with a new state.
        """
        deployment, endpoint = self._deployment, upstream.endpoint
        is_ready, kind = endpoint.state == READY, endpoint.kind
        if endpoint.state == REMOVED:
            del self.by_id[upstream.id]
        if kind == deployment.origin_kind:
            self.origin = self._first_ready_origin()
        elif kind == deployment.parent_kind and is_ready is not (upstream in self.parents):
            others = [each for each in self.parents if each is not upstream]
            self.parents = [*others, upstream] if is_ready else others
        is_cache = kind not in (deployment.parent_kind, deployment.origin_kind)
        self._reclassify_cache(upstream, is_ready and is_cache and endpoint.zone == deployment.zone)

    def _reclassify_cache(self, upstream: Upstream, is_local_cache: bool) -> None:
        if is_local_cache and not upstream.is_local_cache:
            self.candidates.add(upstream)
        elif upstream.is_local_cache and not is_local_cache:
            self.candidates.remove(upstream)
        upstream.is_local_cache = is_local_cache
        if is_local_cache and (upstream.endpoint.started_at or upstream.unresponsive_since):
            self.maybe_warming[upstream] = None
        elif not is_local_cache:
            self.maybe_warming.pop(upstream, None)

    def _first_ready_origin(self) -> Upstream | None:
        """Returns the ready origin that was listed first; None if none is ready."""
        for upstream in self.by_id.values():
            endpoint = upstream.endpoint
            if endpoint.state == READY and endpoint.kind == self._deployment.origin_kind:
                return upstream
        return None
