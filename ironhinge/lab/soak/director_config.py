"""The directors' configuration and settings documents in a soak run, with the platform's key names."""

from __future__ import annotations

import time
from typing import Any

from .discovery import Discovery
from .plan import (
    DRAIN_GRACE,
    PURGE_GRACE,
    PURGE_SETTLE_TIME,
    SLOW_START_DURATION,
    SLOW_START_MULTIPLE,
    SLOW_START_SHARE,
    SLOW_START_WINDOW,
    TRANSFER_RATE,
    Idempotency,
    Plan,
    RequestClass,
)
from .servers import KIND_NAMES, ZONES, Fleet, NodeState

STATUS_NAMES = ("SERVING", "DRAINING", "DELETED")  # indexed by NodeState
LATENCY_TARGET = 200_000  # microseconds


def microseconds(seconds: float) -> int:
    """Convert seconds to microseconds, the settings' unit of time."""
    return int(seconds * 1e6)


def endpoint_list(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the current endpoint list; removed and unstarted nodes are left out."""
    return [
        {
            "name": node.name,
            "address": f"127.0.0.1:{node.port}",
            "zone": ZONES[node.zone],
            "type": KIND_NAMES[node.kind],
            "group": node.cell,
            "status": STATUS_NAMES[node.state],
            "weight": fleet.plan.node_weight,
            "since_ms": node.since_ms,
        }
        for node in fleet.nodes.values()
        if node.state != NodeState.REMOVED and node.port
    ]


def recent_purges(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the purges within `PURGE_SETTLE_TIME`: nodes may still store copies that these purge."""
    since = time.time() - PURGE_SETTLE_TIME
    purges: list[dict[str, Any]] = [
        {"ref": name, "unix_ms": purge.stamp_ms}
        for name, purge in fleet.purged_objects.items()
        if purge.at > since
    ]
    purges += [
        {"shard": group, "unix_ms": purge.stamp_ms}
        for group, purge in fleet.purged_groups.items()
        if purge.at > since
    ]
    return purges


def known_updates(fleet: Fleet, discovery: Discovery) -> dict[str, Any]:
    """Return the endpoint list and recent purges as numbered updates.

    The numbers end at the number of discovery's last event.
    """
    number = discovery.last_number
    purges = recent_purges(fleet)
    first = number - len(purges)
    snapshot = {"index": first, "snapshot": True, "endpoints": endpoint_list(fleet)}
    updates: list[dict[str, Any]] = [{"index": first, "endpoints": snapshot}]
    updates += [{"index": first + offset, "evict": purge} for offset, purge in enumerate(purges, 1)]
    return {"index": number, "updates": updates}


def platform_settings(plan: Plan) -> dict[str, Any]:
    """Return the settings document for a plan."""
    return {
        "classes": [_class_settings(request_class) for request_class in plan.classes],
        "balancers": plan.director_count,
        "zone": 0,
        "extra": _extra_settings(plan),
        "failure-domains": list(ZONES),
        "shapes": list(KIND_NAMES),
        "policy-limits": {
            "conn-idle": 4_000_000,
            "dial-timeout": 400_000,
            "max-attempts": 5,
            "max-retry-after": 300_000,
            "may-cancel": True,
            "multiplex": 32,
            "retry-after": True,
        },
        "rules": {
            "cold-from": SLOW_START_SHARE,
            "cold": microseconds(SLOW_START_DURATION),
            "fall": microseconds(SLOW_START_WINDOW),
            "fall-multiple": SLOW_START_MULTIPLE,
            "drain-grace": microseconds(DRAIN_GRACE),
        },
        "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
        "weight-kind": "nominal",
        "granularity": 2000,
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim": LATENCY_TARGET,
        "deadline": microseconds(request_class.deadline),
        "semantics": request_class.idempotency,
        "dedup-scope": request_class.dedup_scope or "",
        "window": microseconds(request_class.dedup_window),
    }


def _extra_settings(plan: Plan) -> dict[str, Any]:
    return {
        "store-kind": 2,
        "second-tier-kind": 1,
        "note-level": "all",
        "class-write": [each.idempotency != Idempotency.IDEMPOTENT for each in plan.classes],
        "class-fresh": [microseconds(each.freshness_lifetime) for each in plan.classes],
        "class-grace": [0 for _ in plan.classes],
        "purge-settles": microseconds(PURGE_SETTLE_TIME),
        "obey-after": microseconds(PURGE_GRACE),
        "one-flow-kb-per-s": TRANSFER_RATE,
        "attached-to": [1, 1],
        "crew-by-zone": [plan.director_count, 0],
        "parent-cold-from": 0.2,
        "parent-warms-in": microseconds(SLOW_START_DURATION),
        "parent-limit-factor": 2.0,
        "joins": True,
        "bypass-allowed": True,
    }
