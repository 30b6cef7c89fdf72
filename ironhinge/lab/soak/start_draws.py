"""Adds starts of directors with events that discovery holds from before, by a generator of its own.

All directors are killed or restarted at once. Their configuration is some seconds old when their processes
start: caches drain, are replaced and restart in the meantime, and objects are purged. Discovery tells the
backlog late, in pieces, one event after another, behind many purges, or not on the first connection.
"""

from __future__ import annotations

import dataclasses
from random import Random

from .plan import BacklogDelivery, BacklogPattern, FaultEvent, FaultKind, Plan

START_SEED_OFFSET = 0x57A7
MAX_CONFIG_AGE = 5.0  # seconds
MAX_DELAY = 1.5  # seconds
MAX_DELIVERY_TIME = 1.5  # seconds for all events together
MANY_PURGES = 3000
FIRST_START_AT, LAST_START_AT = 1.5, 3.0  # seconds after the start of the load
TIME_AFTER_START = 5.0  # seconds of load after the processes have started
MAX_SHUTDOWN = 4.0  # seconds from SIGTERM to SIGKILL at most
MAX_PURGES = 4
POPULAR_OBJECTS = 4  # most requests are for these
NODE_EVENTS = (FaultKind.DRAIN_NODE, FaultKind.DRAIN_NODE, FaultKind.KILL_NODE, FaultKind.RESTART_NODE)


def add_starts(plan: Plan) -> Plan:
    """Returns the plan with starts of its seed, in place of its other signals to directors."""
    rng = Random(plan.seed + START_SEED_OFFSET)
    config_age = rng.choice([0.0, rng.uniform(0.0, 1.0), rng.uniform(1.0, MAX_CONFIG_AGE)])
    start_at = rng.uniform(FIRST_START_AT, LAST_START_AT)
    signal = rng.choice([FaultKind.KILL_DIRECTOR, FaultKind.KILL_DIRECTOR, FaultKind.RESTART_DIRECTOR])
    events = [
        event
        for event in plan.fault_events
        if event.kind not in (*_SIGNALS, *_OUTAGES) and not _may_last_until_kill(event, start_at)
    ]
    events += [FaultEvent(start_at, signal, director) for director in range(plan.director_count)]
    events += _draw_events_in_gap(rng, plan, start_at, config_age)
    pattern = rng.choice(list(BacklogPattern))
    return dataclasses.replace(
        plan,
        seconds=max(plan.seconds, start_at + config_age + TIME_AFTER_START),
        fault_events=tuple(sorted(events, key=lambda event: event.at)),
        backlog=BacklogDelivery(
            config_age=config_age,
            pattern=pattern,
            delay=rng.uniform(0.02, MAX_DELAY),
            duration=rng.uniform(0.2, MAX_DELIVERY_TIME),
            purges_before=MANY_PURGES if rng.random() < 1 / 3 else 0,
        ),
    )


# replaced, or left out: while discovery is down, an event counts as notified only once it is up again
_SIGNALS = (
    FaultKind.RESTART_DIRECTOR,
    FaultKind.KILL_DIRECTOR,
    FaultKind.SEND_SIGTERM,
    FaultKind.SEND_SIGHUP,
)
_OUTAGES = (FaultKind.STOP_DISCOVERY, FaultKind.MOVE_DISCOVERY)


def _may_last_until_kill(event: FaultEvent, start_at: float) -> bool:
    """Returns whether a pause may hold a director until SIGKILL, so that it could answer nothing."""
    return event.kind is FaultKind.PAUSE_DIRECTOR and start_at < event.at < start_at + MAX_SHUTDOWN


def _draw_events_in_gap(rng: Random, plan: Plan, start_at: float, config_age: float) -> list[FaultEvent]:
    """Draws events between the writing of the configuration and the start of the processes."""

    def draw_time() -> float:
        """Returns a time in that gap, or just after it."""
        return start_at + rng.uniform(0.0, config_age + 0.1)

    caches = rng.sample(range(plan.cache_count), max(1, plan.cache_count // 2))
    events = [FaultEvent(draw_time(), rng.choice(NODE_EVENTS), cache, plan.seconds) for cache in caches]
    events += [
        FaultEvent(draw_time(), FaultKind.PURGE_OBJECT, rng.randrange(POPULAR_OBJECTS))
        for _ in range(rng.randrange(MAX_PURGES + 1))
    ]
    return events
