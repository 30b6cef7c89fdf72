"""Adds to a plan what later versions of the draws contain, by a generator of its own.

It draws steps of the clock that stamps purges, starts and copies, slow discovery, and client timeouts by
which two deadlines of an attempt coincide.
"""

from __future__ import annotations

import dataclasses
from random import Random

from .discovery import MAX_EVENT_DELAY
from .plan import FaultEvent, FaultKind, Idempotency, Plan, RequestClass

PLATFORM_SEED_OFFSET = 0xC10C
CLOCK_STEPS = (-5.0, -7.0, -9.0, -3600.0, 7.0, 3600.0)  # seconds
CLOCK_STEP_SHARE = 0.5
SLOW_DISCOVERY_SHARE = 0.3
COINCIDENCE_SHARE = 0.4
EVENT_WRITE_TIME = 2.6  # seconds; the protocol counts an event as delivered after 7 s
COINCIDENCE_FAILURE_SHARE = 0.2  # of resets, and of commands without an answer
POPULAR_OBJECTS = 4  # most requests are for these


def extend_plan(plan: Plan) -> Plan:
    """Returns the plan with the further draws of its seed."""
    rng = Random(plan.seed + PLATFORM_SEED_OFFSET)
    events = list(plan.fault_events)
    if rng.random() < CLOCK_STEP_SHARE:
        events += _draw_clock_step(rng, plan)
    changes: dict[str, object] = {}
    if rng.random() < SLOW_DISCOVERY_SHARE:
        # a drain that is not read to its end counts as notified before the load ends
        changes.update(event_write_time=EVENT_WRITE_TIME, seconds=plan.seconds + MAX_EVENT_DELAY / 2)
        events.append(FaultEvent(rng.uniform(0.5, 1.5), FaultKind.DRAIN_NODE, 0, plan.seconds))
    if rng.random() < COINCIDENCE_SHARE:
        changes.update(
            has_coinciding_times=True,
            classes=_with_window_before_deadline(rng, plan),
            reset_share=COINCIDENCE_FAILURE_SHARE,
            unanswered_share=COINCIDENCE_FAILURE_SHARE,
        )
    events.sort(key=lambda event: event.at)
    return dataclasses.replace(plan, fault_events=tuple(events), **changes)  # type: ignore[arg-type]


def _with_window_before_deadline(rng: Random, plan: Plan) -> tuple[RequestClass, ...]:
    """Returns the classes; the window of the keyed one ends before its deadline."""
    return tuple(
        dataclasses.replace(each, dedup_window=round(rng.uniform(0.2, 0.8) * each.deadline, 3))
        if each.idempotency is Idempotency.KEYED
        else each
        for each in plan.classes
    )


def _draw_clock_step(rng: Random, plan: Plan) -> list[FaultEvent]:
    """Draws a step, and after it purges of popular objects and the restart of a cache."""
    step_at = rng.uniform(0.8, plan.seconds - 4.0)
    events = [FaultEvent(step_at, FaultKind.STEP_PLATFORM_CLOCK, 0, rng.choice(CLOCK_STEPS))]
    for _ in range(3):
        at = step_at + rng.uniform(0.3, 2.0)
        events.append(FaultEvent(at, FaultKind.PURGE_OBJECT, rng.randrange(POPULAR_OBJECTS)))
    cache = rng.randrange(plan.cache_count)
    events.append(FaultEvent(step_at + rng.uniform(0.1, 0.6), FaultKind.RESTART_NODE, cache, 0.4))
    return events
