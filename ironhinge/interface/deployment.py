"""The configuration of a router: the deployment's request classes, tiers and limits.

Times are whole tenths of a millisecond, sizes are KB, bandwidths are KB per second. The settings that these
values are read from have other names; `ironhinge.config.deployment_settings` maps them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Idempotency(StrEnum):
    """Whether a request that may already have run may be sent again."""

    IDEMPOTENT = "idempotent"  # the request may run any number of times
    KEYED = "keyed"  # upstreams drop repeats of its idempotency key, within the class's window and scope
    NON_IDEMPOTENT = "non-idempotent"  # the request must never run twice


class DedupScope(StrEnum):
    """Which upstreams share the idempotency keys that they have seen."""

    ALL = "all"  # all upstreams
    ZONE = "zone"  # those of one zone
    CELL = "cell"  # those of one cell


class SiblingFill(StrEnum):
    """Which other caches can be the source of a cache's fill."""

    NONE = "none"
    LOCATION = "location"  # caches of the same location
    ANY = "any"


class CacheStatusLevel(StrEnum):
    """Which answers carry a `CacheStatus`."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class WeightKind(StrEnum):
    """How the weight of an endpoint relates to its capacity."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class RequestClass(NamedTuple):
    """One class of requests: its latency target, its value, how it may be repeated and how it is cached."""

    latency_target: int  # latency objective: time to the first byte
    latency_target_stretch: float  # the target grows by this many times the request's own transfer time
    client_timeout: int  # usual time that a client waits for an answer
    priority_weight: float  # value of an answered request
    late_value_share: float  # share of that value that remains after the latency target has passed
    idempotency: Idempotency
    dedup_scope: DedupScope  # of keyed requests
    dedup_window: int  # how long upstreams remember an idempotency key
    is_write: bool  # requests run at the origin and are not cached
    freshness_lifetime: int  # of a copy; 0: no limit
    stale_grace: int  # time past the freshness lifetime in which a copy may still be served
    stale_value_share: float  # share of the value that an answer from a stale copy has
    is_segmented: bool  # objects are requested in parts


@dataclass(frozen=True)
class Deployment:
    """The configuration of one deployment, as one router sees it; it is fixed for the router's lifetime."""

    request_classes: tuple[RequestClass, ...]
    zone: int  # of this router
    router_count: int  # routers in all locations
    local_router_count: int  # routers in this router's location
    hub_by_zone: tuple[int, ...]  # for each zone, the zone of its hub
    ingress_bandwidth: tuple[float, ...]  # by zone; 0: unknown
    parent_kind: int  # `Endpoint.kind` of parents; -1: there are no parents
    origin_kind: int  # `Endpoint.kind` of the origin; -1: there is no origin
    direct_to_source: bool  # attempts may be sent directly to parents and the origin
    sibling_fill: SiblingFill
    coalesces_fills: bool  # a request may join a fill in progress
    cache_status_level: CacheStatusLevel
    transfer_rate: float  # KB per second of one transfer to a client; 0: unknown
    weight_kind: WeightKind
    load_report_fields: tuple[str, ...]  # names of the values of a load report, in order
    watch_required: bool  # the endpoint list is sent only to routers that watch it
    discovery_poll_interval: int
    max_attempts: int
    health_checks_allowed: bool
    gossip_allowed: bool
    cancellation_allowed: bool
    max_retry_after: int  # longest retry delay that clients follow; 0: none may be sent
    slow_start_min_share: float  # share of its full capacity that an endpoint has when it starts
    slow_start_duration: int  # time from its start until an endpoint has its full capacity
    # An endpoint in slow start fails if its load over `overload_window` is more than `overload_multiple`
    # times the capacity that it has at the time.
    overload_multiple: float
    overload_window: int
    parent_slow_start_min_share: float
    parent_slow_start_duration: int
    parent_overload_multiple: float
    origin_overload_multiple: float  # the origin stops serving at this many times its capacity; 0: never
    # Time after the notice of a drain in which attempts may still be sent to the endpoint, and time after the
    # notice of a purge in which older copies may still be served. The router uses neither: it acts at once.
    drain_grace: int
    purge_grace: int
    purge_retention: int  # time after a purge by which no endpoint has a copy from before it
    min_batch_interval: int  # shortest interval between two batches of events
    prices: tuple[tuple[str, float], ...]  # pairs of name and price; not used by the router
