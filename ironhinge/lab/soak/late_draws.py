"""Adds late paths from discovery to a plan, by a generator of its own.

The path to all directors becomes late for many seconds; caches drain, objects are purged and caches restart
in that time, beside the other faults of the plan. An event counts as told 7 s after it is in the coordinator,
so that the paths are drawn late by so much that it arrives before.
"""

from __future__ import annotations

import dataclasses
from random import Random

from .lateness import Lateness, LatenessKind
from .plan import DiscoveryDelay, FaultEvent, FaultKind, Plan

LATE_SEED_OFFSET = 0x1A7E
MIN_DELAY, MAX_DELAY = 2.7, 5.5  # seconds
# where discovery moves or is down, what is on its way is lost and has to come again
MAX_DELAY_WITH_MOVE = 3.2
MIN_DURATION, MAX_DURATION = 14.0, 26.0  # seconds
FIRST_TROUBLE_AT, LAST_TROUBLE_AT = 1.0, 2.5  # seconds after the start of the load
TIME_AFTER_TROUBLE = 1.0  # seconds of load
DRAINS, PURGES = 2, 4
POPULAR_OBJECTS = 4  # most requests are for these
SECOND_OPENED_AFTER = 1.6  # seconds of trouble, after which a second connection may have been opened
WHOLE_LIST_SHARE = 0.5


def add_late_paths(plan: Plan) -> Plan:
    """Returns the plan with a late path of its seed."""
    rng = Random(plan.seed + LATE_SEED_OFFSET)
    at = rng.uniform(FIRST_TROUBLE_AT, LAST_TROUBLE_AT)
    duration = rng.uniform(MIN_DURATION, MAX_DURATION)
    loses_events = any(
        event.kind in (FaultKind.STOP_DISCOVERY, FaultKind.MOVE_DISCOVERY) for event in plan.fault_events
    )
    lateness = _draw_lateness(rng, MAX_DELAY_WITH_MOVE if loses_events else MAX_DELAY)
    events = [*plan.fault_events, *_draw_events(rng, plan, at, lateness)]
    return dataclasses.replace(
        plan,
        seconds=max(plan.seconds, at + duration + TIME_AFTER_TROUBLE),
        fault_events=tuple(sorted(events, key=lambda event: event.at)),
        discovery_delays=(DiscoveryDelay(at, duration, lateness),),
        sends_full_lists=rng.random() < WHOLE_LIST_SHARE,
        event_write_time=0.0,
    )


def _draw_lateness(rng: Random, max_delay: float) -> Lateness:
    delay = rng.uniform(MIN_DELAY, max_delay)
    return rng.choice(
        [
            Lateness(delay),
            Lateness(delay),
            Lateness(max_delay, LatenessKind.GROWING),
            Lateness(3.6, LatenessKind.BY_TURNS),
            Lateness(1.6, first_byte_after=3.0),
            Lateness(1.6, first_byte_after=3.0),
            Lateness(0.0, blackholed=rng.choice([1, 2])),
            Lateness(2.5, blackholed=rng.choice([1, 2])),
            Lateness(rng.uniform(2.7, 3.2), blackholed=2, first_blackholed=1),
        ]
    )


def _draw_events(rng: Random, plan: Plan, delay_at: float, lateness: Lateness) -> list[FaultEvent]:
    """Draws drains, purges and the restart of a cache while the path is late."""
    end = delay_at + MIN_DURATION / 2
    caches = rng.sample(range(plan.cache_count), min(DRAINS, plan.cache_count - 1))
    drain_at = delay_at + SECOND_OPENED_AFTER + rng.uniform(0.0, 0.7)
    events = [FaultEvent(drain_at, FaultKind.DRAIN_NODE, caches[0], MAX_DURATION)]
    events += [
        FaultEvent(rng.uniform(delay_at, end), FaultKind.DRAIN_NODE, cache, MAX_DURATION)
        for cache in caches[1:]
    ]
    events += [
        FaultEvent(rng.uniform(delay_at, end), FaultKind.PURGE_OBJECT, rng.randrange(POPULAR_OBJECTS))
        for _ in range(PURGES)
    ]
    events.append(FaultEvent(rng.uniform(delay_at, end), FaultKind.RESTART_NODE, caches[-1], 0.4))
    return events
