"""The deployment settings of the lab's directors, in the platform's format."""

from __future__ import annotations

from typing import Any

from .scenarios import CARD, FILM, SOCKET_BYTES_PER_KB, Scenario
from .stand_ins import NodeKind

ZONES = ["hub-a", "hub-b", "branch"]
KINDS = [NodeKind.CACHE.value, NodeKind.PARENT.value, NodeKind.ORIGIN.value]
DIRECTOR_ZONE = 2  # index in ZONES
LATENCY_TARGET = 400_000  # microseconds
CLIENT_TIMEOUT = 3_000_000  # microseconds


def platform_settings(scenario: Scenario, directors: int, gossip: bool = False) -> dict[str, Any]:
    """Return the deployment settings of a scenario under the platform's key names.

    Times are microseconds, bandwidths are KB per second.
    """
    return {
        "classes": [_request_class(CARD), _request_class(FILM)],
        "balancers": directors,
        "zone": DIRECTOR_ZONE,
        "extra": _extra_settings(scenario, directors),
        "failure-domains": ZONES,
        "shapes": KINDS,
        "policy-limits": {
            "conn-idle": 15_000_000,
            "dial-timeout": 400_000,
            "max-attempts": 6,
            "max-retry-after": 1_000_000,
            "may-cancel": True,
            "multiplex": 32,
            "retry-after": True,
            "peers": gossip,
        },
        "rules": {"cold-from": 0.2, "cold": 2_000_000, "fall": 1_000_000, "fall-multiple": 3.0},
        "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
        "weight-kind": "nominal",
        "granularity": 2000,
    }


def _request_class(name: str) -> dict[str, Any]:
    return {"name": name, "aim": LATENCY_TARGET, "deadline": CLIENT_TIMEOUT, "semantics": "repeatable"}


def _extra_settings(scenario: Scenario, directors: int) -> dict[str, Any]:
    return {
        "store-kind": 2,
        "second-tier-kind": 1,
        "note-level": "all",
        "class-write": [False, False],
        "segmented": [False, True],
        "purge-settles": 6_000_000,
        "obey-after": 300_000,
        "one-flow-kb-per-s": scenario.transfer_rate / SOCKET_BYTES_PER_KB,
        "attached-to": [0, 1, 0],
        "crew-by-zone": [0, 0, directors],
        "parent-cold-from": 0.2,
        "parent-warms-in": 2_000_000,
        "parent-limit-factor": 3.0,
        "joins": True,
    }
