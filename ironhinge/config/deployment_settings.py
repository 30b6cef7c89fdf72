"""Converts deployment settings and endpoint lists from the protocol's names to `ironhinge.interface`."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

from ..interface import (
    CacheStatusLevel,
    DedupScope,
    Deployment,
    Endpoint,
    EndpointState,
    Idempotency,
    RequestClass,
    SiblingFill,
    WeightKind,
)
from .fields import MICROSECONDS_PER_TICK, REQUIRED, Fields

Value = TypeVar("Value")

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL, "": DedupScope.CELL}
SIBLING_FILLS = {"off": SiblingFill.NONE, "location": SiblingFill.LOCATION, "any": SiblingFill.ANY}
CACHE_STATUS_LEVELS = {"off": CacheStatusLevel.NONE, "hit": CacheStatusLevel.HIT, "all": CacheStatusLevel.ALL}
WEIGHT_KINDS = {
    "off": WeightKind.NONE,
    "nominal": WeightKind.NOMINAL,
    "rough": WeightKind.ROUGH,
    "live": WeightKind.LIVE,
}
WATCH_REQUIRED = {"automatic": False, "subscribe": True}
LOAD_REPORT_FIELDS = {  # names of the values in load reports; most values have several
    "rif": "in_flight",
    "inflight": "in_flight",
    "q": "queued",
    "queue": "queued",
    "busy": "busy",
    "util": "busy",
    "lat_ms": "latency",
    "latency_ms": "latency",
    "rate": "rate",
    "qps": "rate",
    "fail_rate": "errors",
    "eps": "errors",
    "x0": "hits",
    "x1": "link",
}


def _value_at(values: Sequence[Value], index: int, default: Value) -> Value:
    return values[index] if index < len(values) else default


def read_deployment(settings: Fields) -> Deployment:
    """Returns the deployment that a router's settings describe.

    Raises:
        MalformedMessageError: A setting is missing or malformed.
    """
    extra, rules = settings.nested("extra", {}), settings.nested("rules", {})
    limits, report = settings.nested("policy-limits", {}), settings.nested("telemetry", {})
    prices = settings.nested("prices", {})
    return Deployment(
        request_classes=_read_request_classes(settings, extra),
        cache_status_level=extra.keyword("note-level", CACHE_STATUS_LEVELS, "off"),
        transfer_rate=extra.number("one-flow-kb-per-s"),
        weight_kind=settings.keyword("weight-kind", WEIGHT_KINDS, "off"),
        load_report_fields=tuple(LOAD_REPORT_FIELDS.get(name, name) for name in report.texts("fields")),
        watch_required=settings.keyword("discovery", WATCH_REQUIRED, "automatic"),
        discovery_poll_interval=rules.duration_floor("ask-within"),
        drain_grace=rules.duration_floor("drain-grace"),
        purge_grace=extra.duration_floor("obey-after"),
        purge_retention=extra.duration_ceil("purge-settles"),
        min_batch_interval=settings.duration_ceil("granularity"),
        prices=tuple((name, prices.number(name)) for name in prices.values),
        **_read_topology(settings, extra),
        **_read_request_limits(limits),
        **_read_slow_start(rules, extra),
    )


def _read_request_classes(settings: Fields, extra: Fields) -> tuple[RequestClass, ...]:
    freshness_lifetimes, stale_graces = extra.integers("class-fresh"), extra.integers("class-grace")
    stale_shares = extra.numbers("aged-worth")
    writes, segmented = extra.booleans("class-write"), extra.booleans("segmented")
    classes = []
    for index, values in enumerate(settings.array("classes", REQUIRED)):
        fields = Fields(f"{settings.context} classes[{index}]", values)
        idempotency = fields.keyword("semantics", IDEMPOTENCY)
        classes.append(
            RequestClass(
                latency_target=fields.duration_floor("aim", REQUIRED),
                latency_target_stretch=fields.number("aim-stretch"),
                client_timeout=fields.duration_floor("deadline", REQUIRED),
                priority_weight=fields.number("importance", 1),
                late_value_share=fields.number("late-worth"),
                idempotency=idempotency,
                dedup_scope=fields.keyword("dedup-scope", DEDUP_SCOPES, ""),
                dedup_window=fields.duration_floor("window"),
                is_write=_value_at(writes, index, False),
                freshness_lifetime=_value_at(freshness_lifetimes, index, 0) // MICROSECONDS_PER_TICK,
                stale_grace=_value_at(stale_graces, index, 0) // MICROSECONDS_PER_TICK,
                stale_value_share=_value_at(stale_shares, index, 1.0),
                is_segmented=_value_at(segmented, index, False),
            )
        )
    return tuple(classes)


def _read_topology(settings: Fields, extra: Fields) -> dict[str, Any]:
    zone = settings.integer("zone")
    router_count = max(1, settings.integer("balancers", 1))
    return {
        "zone": zone,
        "router_count": router_count,
        "local_router_count": max(1, _value_at(extra.integers("crew-by-zone"), zone, router_count)),
        "hub_by_zone": extra.integers("attached-to"),
        "ingress_bandwidth": extra.numbers("inlet-kb-per-s"),
        "parent_kind": extra.integer("second-tier-kind", -1),
        "origin_kind": extra.integer("store-kind", -1),
        "direct_to_source": extra.boolean("bypass-allowed"),
        "sibling_fill": extra.keyword("neighbours", SIBLING_FILLS, "off"),
        "coalesces_fills": extra.boolean("joins"),
    }


def _read_request_limits(limits: Fields) -> dict[str, Any]:
    return {
        "max_attempts": max(1, limits.integer("max-attempts", 1)),
        "health_checks_allowed": limits.boolean("probes"),
        "gossip_allowed": limits.boolean("peers"),
        "cancellation_allowed": limits.boolean("may-cancel"),
        "max_retry_after": limits.duration_floor("max-retry-after") if limits.boolean("retry-after") else 0,
    }


def _read_slow_start(rules: Fields, extra: Fields) -> dict[str, Any]:
    return {
        "slow_start_min_share": rules.number("cold-from"),
        "slow_start_duration": rules.duration_ceil("cold"),
        "overload_multiple": rules.number("fall-multiple"),
        "overload_window": rules.duration_ceil("fall"),
        "parent_slow_start_min_share": extra.number("parent-cold-from"),
        "parent_slow_start_duration": extra.duration_ceil("parent-warms-in"),
        "parent_overload_multiple": extra.number("parent-limit-factor"),
        "origin_overload_multiple": extra.number("origin-limit-factor"),
    }


def read_endpoints(event: Fields) -> tuple[Endpoint, ...]:
    """Returns the endpoints in the rows of the simulator's endpoint list.

    Raises:
        MalformedMessageError: A field of a row is missing or malformed.
    """
    endpoints = []
    for index, values in enumerate(event.array("rows")):
        row = Fields(f"{event.context} rows[{index}]", values)
        endpoints.append(
            Endpoint(
                id=row.text("node"),
                state=row.keyword("state", ENDPOINT_STATES),
                cell=row.integer("stripe"),
                zone=row.integer("campus"),
                started_at=row.duration_ceil("online-since"),
                weight=row.number("share", 1),
                kind=row.integer("family-type"),
            )
        )
    return tuple(endpoints)


def load_report_in_order(report: Mapping[str, float], deployment: Deployment) -> tuple[float, ...] | None:
    """Returns the values of a load report in the order of `Deployment.load_report_fields`.

    The report may use any of the names in `LOAD_REPORT_FIELDS`.

    Returns:
        The values, or None if one of them is missing.
    """
    values_by_field = {LOAD_REPORT_FIELDS.get(name, name): value for name, value in report.items()}
    if any(name not in values_by_field for name in deployment.load_report_fields):
        return None
    return tuple(values_by_field[name] for name in deployment.load_report_fields)
