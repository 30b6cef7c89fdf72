"""What the decisions know of the deployment before the first request: its request classes, tiers and limits.

Times are whole tenths of a millisecond, sizes are KB, bandwidths KB a second. The settings that these values
are read from have names of their own; the configuration loader maps them once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Idempotency(StrEnum):
    """What may happen when a request that may already have run is sent again."""

    IDEMPOTENT = "idempotent"  # it may run any number of times
    KEYED = "keyed"  # upstreams drop repeats of its idempotency key within the class's window and scope
    NON_IDEMPOTENT = "non-idempotent"  # it must never run twice


class DedupScope(StrEnum):
    """Which upstreams share the idempotency keys that they have seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingFill(StrEnum):
    """Which other caches can be the source of a cache's fill."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class CacheStatusLevel(StrEnum):
    """Which answers say where they came from (`CacheStatus`)."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class WeightKind(StrEnum):
    """What the weight of an endpoint tells of its capacity."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class RequestClass(NamedTuple):
    """One class of requests and what its requests may cost, repeat and be answered with."""

    latency_target: int  # latency objective: time to the first byte
    latency_target_stretch: float  # the target grows by this many times the request's own transfer time
    client_timeout: int
    priority_weight: float  # what a finished request is worth
    late_value_share: float  # share of that worth which is left once the target has passed
    idempotency: Idempotency
    dedup_scope: DedupScope  # of keyed requests
    dedup_window: int  # how long upstreams remember an idempotency key
    is_write: bool  # runs at the origin and leaves no copy
    freshness_lifetime: int  # of a copy; 0 for no limit
    stale_grace: int  # time past the freshness lifetime in which a copy may still be served
    stale_value_share: float  # share of the worth of an answer from a copy past its freshness lifetime
    is_segmented: bool  # objects come in parts


@dataclass(frozen=True)
class Deployment:
    """The facts of one deployment; they do not change while a router lives."""

    request_classes: tuple[RequestClass, ...]
    zone: int  # where this router stands
    router_count: int  # of all locations
    local_router_count: int  # of this location
    hub_by_zone: tuple[int, ...]
    ingress_bandwidth: tuple[float, ...]  # by zone; 0 where it is unknown
    parent_kind: int  # endpoint kind; -1: there are no parents
    origin_kind: int
    direct_to_source: bool  # parents and the origin take attempts too
    sibling_fill: SiblingFill
    coalesces_fills: bool  # a request may join a fill in progress
    cache_status_level: CacheStatusLevel
    transfer_rate: float  # of one transfer to a client; 0 where it is unknown
    weight_kind: WeightKind
    load_report_fields: tuple[str, ...]  # names of the values of a load report, in its order
    watch_required: bool  # the endpoint list comes only to those that watch it
    discovery_poll_interval: int
    max_attempts: int
    health_checks_allowed: bool
    gossip_allowed: bool
    cancellation_allowed: bool
    max_retry_after: int  # longest Retry-After that clients follow; 0 where none may be sent
    slow_start_min_share: float  # least share of its capacity with which an endpoint starts
    slow_start_duration: int  # by then it is warm
    overload_multiple: float  # sent more than this many times its capacity
    overload_window: int  # for this long, a warming endpoint fails
    parent_slow_start_min_share: float
    parent_slow_start_duration: int
    parent_overload_multiple: float
    origin_overload_multiple: float  # sent this many times its capacity, the origin stops; 0: never
    drain_grace: int
    purge_grace: int
    purge_retention: int  # by then older copies are gone everywhere
    min_batch_interval: int  # shortest gap between two batches of events
    prices: tuple[tuple[str, float], ...]
