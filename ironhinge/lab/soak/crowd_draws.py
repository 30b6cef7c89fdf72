"""Adds crowds of bad clients and small limits to a plan, by a generator of its own."""

from __future__ import annotations

import dataclasses
from random import Random

from .crowds import AbuseKind
from .plan import AbuseEvent, Plan

CROWD_SEED_OFFSET = 0xC20D
MEMORY_LIMITS_MB = (32, 48, 64, 96, 192)  # the pages name 32 to 192
DESCRIPTOR_LIMITS = (256, 512, 1024)
MAX_CROWDS = 2
CLIENT_SHARE = 3  # clients hold a third of the descriptors at most
OTHER_CONNECTIONS = 30  # of the clients that are audited
MAX_FLOODS = 4  # connections
FLOOD_KINDS = (AbuseKind.FLOOD, AbuseKind.UNREAD)


def add_crowds(plan: Plan) -> Plan:
    """Returns the plan with limits and crowds of its seed."""
    rng = Random(plan.seed + CROWD_SEED_OFFSET)
    memory_limit_mb = rng.choice(MEMORY_LIMITS_MB)
    descriptor_limit = rng.choice(DESCRIPTOR_LIMITS)
    size = descriptor_limit // CLIENT_SHARE - OTHER_CONNECTIONS
    crowds = []
    for _ in range(rng.randrange(1, MAX_CROWDS + 1)):
        kind = rng.choice(list(AbuseKind))
        at, duration = rng.uniform(0.0, 2.0), rng.uniform(2.0, plan.seconds - 2.0)
        connections = rng.randrange(1, MAX_FLOODS + 1) if kind in FLOOD_KINDS else size // MAX_CROWDS
        crowds.append(AbuseEvent(at, duration, kind, rng.randrange(plan.director_count), connections))
    return dataclasses.replace(
        plan,
        memory_limit_mb=memory_limit_mb,
        descriptor_limit=descriptor_limit,
        idle_connections=0,
        crowds=tuple(crowds),
    )
