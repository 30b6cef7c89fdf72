"""Measures when a director obeys events of a discovery service whose frames arrive late or not at all.

    python -m benchmarks.late_discovery [--only NAME] [--repeat 1] [--jobs 4] [--json]

One director, six caches that hold everything, six clients. The path from the discovery service becomes late
2.5 s after the start of the load, or is late from before the start; 1 s later a cache drains and the objects
of a group are purged. The exit code is 1 if a request was too late in any case.
"""

from __future__ import annotations

import dataclasses
import json
import math
import re
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from ironhinge.lab.soak.discovery import MAX_EVENT_DELAY
from ironhinge.lab.soak.lateness import Lateness, LatenessKind
from ironhinge.lab.soak.plan import (
    DIRECT_PATH,
    DRAIN_GRACE,
    GROUPS,
    PURGE_GRACE,
    DiscoveryDelay,
    FaultEvent,
    FaultKind,
    Plan,
    draw_plan,
)
from ironhinge.lab.soak.records import NotificationKind
from ironhinge.lab.soak.run import SoakRun, run_to_end

SECONDS = 17.0  # of the load
TROUBLE_AT, EVENT_AFTER = 2.5, 1.0  # seconds
BEFORE_THE_START = -1.0  # trouble that is there when the director starts
SLACK = 0.05  # seconds, on sockets
OBEYED_MARGIN = 1.5  # seconds beyond the delay of a connection that lives
SILENT_LIMIT = 4.0  # seconds, where connections fall silent and later ones are sound
CACHES, CLIENTS = 6, 6
DRAINED_CACHE, PURGED_GROUP = 0, 1
LIVING_DELAYS = (2.5, 3.0, 4.5, 6.0)
START_DELAYS = (2.5, 4.5, 9.0)


class Case(NamedTuple):
    """A case of the table."""

    name: str
    lateness: Lateness
    limit: float  # seconds in which an event has to be obeyed
    is_from_start: bool = False


def _cases() -> tuple[Case, ...]:
    told = MAX_EVENT_DELAY + DRAIN_GRACE + SLACK
    by_turns = Lateness(3.6, LatenessKind.BY_TURNS)
    growing = Lateness(5.0, LatenessKind.GROWING)
    cases = [Case(f"{delay} s late", Lateness(delay), delay + OBEYED_MARGIN) for delay in LIVING_DELAYS]
    cases += [
        Case("by turns", by_turns, 3.6 + OBEYED_MARGIN),
        Case("growing to 5 s", growing, 5.0 + OBEYED_MARGIN),
        Case("2.2 s late, new ones answered after 3 s", Lateness(2.2, first_byte_after=3.0), told),
        Case("first silent, others 2.5 s late", Lateness(2.5, blackholed=1), told),
        Case("first two silent, others 2.5 s late", Lateness(2.5, blackholed=2), told),
        Case("first silent, others 4.5 s late", Lateness(4.5, blackholed=1), told),
        Case("first silent, others sound", Lateness(0.0, blackholed=1), SILENT_LIMIT),
        Case("first two silent, others sound", Lateness(0.0, blackholed=2), SILENT_LIMIT),
    ]
    cases += [
        Case(f"from the start, {delay} s late", Lateness(delay), delay + OBEYED_MARGIN, True)
        for delay in START_DELAYS
    ]
    return (*cases, Case("from the start, by turns", by_turns, 3.6 + OBEYED_MARGIN, True))


CASES = _cases()


def allows_rule(name: str) -> bool:
    """Return whether the path of a case brings events before they count as told."""
    return all(case.limit - OBEYED_MARGIN < MAX_EVENT_DELAY for case in CASES if case.name == name)


class Measurement(NamedTuple):
    """What was seen in one play of a case; times in seconds after the events, None: not in the play."""

    name: str
    drain_obeyed: float | None  # when the last command reached the cache, or named it as a source
    drain_too_late: int  # commands after the limit of the rule
    purge_obeyed: float | None  # when the last command for the group had no limit on the age of copies
    purge_too_late: int
    event_known: float | None  # when an attempt was first decided with the last event, by the log
    ready: float  # seconds from the start of the process
    connections: int
    list_bytes: int  # that the service wrote
    is_within_limit: bool


def _plan(case: Case) -> Plan:
    event_at = TROUBLE_AT + EVENT_AFTER
    delay_at = BEFORE_THE_START if case.is_from_start else TROUBLE_AT
    drawn = draw_plan(1, SECONDS)
    return dataclasses.replace(
        drawn,
        director_count=1,
        cache_count=CACHES,
        clients_per_director=CLIENTS,
        idle_connections=0,
        injection_scripts=({"seed": 1, "calls": [], "short": [], "steps": []},),
        client_paths=(DIRECT_PATH,),
        node_path=DIRECT_PATH,
        reset_share=0.0,
        error_share=0.0,
        unanswered_share=0.0,
        fault_events=(
            FaultEvent(event_at, FaultKind.PURGE_GROUP, PURGED_GROUP),
            FaultEvent(event_at, FaultKind.DRAIN_NODE, DRAINED_CACHE, SECONDS - event_at),
        ),
        discovery_delays=(DiscoveryDelay(delay_at, 2 * SECONDS, case.lateness),),
    )


def measure(case: Case) -> Measurement:
    """Play a case once."""
    run = SoakRun(_plan(case))
    try:
        run_to_end(run)
        return _evaluate(case, run)
    finally:
        run.remove_folder()


def _evaluate(case: Case, run: SoakRun) -> Measurement:
    records, director = run.records, run.directors[0]
    drained = run.caches[DRAINED_CACHE].name
    purged_at = _happened_at(run, NotificationKind.GROUP_PURGED)
    drained_at = _happened_at(run, NotificationKind.DRAINING)
    uses = [
        arrival.at - drained_at
        for arrival in records.arrivals
        if drained in (arrival.node, arrival.fields.get("parent")) and arrival.at > drained_at
    ]
    reads = [
        (arrival.at - purged_at, "accept" in arrival.fields)
        for arrival in records.arrivals
        if arrival.at > purged_at and _reads_purged_group(arrival.fields)
    ]
    # caches apply purges by themselves, so that the limit ends again
    first_limited = min((at for at, is_limited in reads if is_limited), default=math.inf)
    unlimited = [at for at, is_limited in reads if not is_limited and at < first_limited]
    drain_limit = MAX_EVENT_DELAY + DRAIN_GRACE + SLACK
    purge_limit = MAX_EVENT_DELAY + PURGE_GRACE + SLACK
    known = _event_known(run, drained_at)
    path = director.discovery.path
    assert path is not None
    assert director.record is not None
    drain_obeyed = max(uses, default=0.0)
    return Measurement(
        case.name,
        round(drain_obeyed, 2),
        sum(use > drain_limit for use in uses),
        round(max(unlimited, default=0.0), 2),
        sum(use > purge_limit for use in unlimited),
        None if known is None else round(known, 2),
        round((director.record.ready_at or 0.0) - director.record.started_at, 2),
        path.connection_count,
        path.bytes_returned,
        known is not None and known <= case.limit,
    )


def _happened_at(run: SoakRun, kind: NotificationKind) -> float:
    return next(each.happened_at for each in run.records.notifications if each.kind is kind)


def _reads_purged_group(fields: dict[str, str]) -> bool:
    return fields.get("kind") == "read" and int(fields.get("obj", "0"), 16) % GROUPS == PURGED_GROUP


def _event_known(run: SoakRun, happened_at: float) -> float | None:
    """Return when the drain was applied, in seconds after it, by the director's log."""
    record = run.directors[0].record
    assert record is not None
    with open(record.log_path) as log:  # noqa: PTH123 - one read of a local file
        match = re.search(r"^(\S+) \S+ upstream_state_changed .*state=draining", log.read(), re.MULTILINE)
    if match is None:
        return None
    hours, minutes, seconds = match[1].split(":")
    happened_unix = happened_at + run.records.unix_offset
    midnight = time.mktime((*time.localtime(happened_unix)[:3], 0, 0, 0, 0, 0, -1))
    return midnight + 3600 * int(hours) + 60 * int(minutes) + float(seconds) - happened_unix


@click.command()
@click.option("--only", type=click.Choice([case.name for case in CASES]), help="Play only this case.")
@click.option("--repeat", type=click.IntRange(1), default=1, show_default=True, help="Plays of each case.")
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True, help="Plays in parallel.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object a play.")
def main(only: str | None, repeat: int, jobs: int, as_json: bool) -> None:
    """Play the cases of the table and print what was seen."""
    cases = [case for case in CASES if only in (None, case.name) for _ in range(repeat)]
    missed = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(measure, cases):
            is_too_late = result.drain_too_late or result.purge_too_late
            missed += bool(is_too_late and allows_rule(result.name)) or not result.is_within_limit
            values = result._asdict()
            click.echo(
                json.dumps(values)
                if as_json
                else " ".join(f"{name}={value}" for name, value in values.items())
            )
    click.echo(f"{len(cases)} plays, {missed} missed a limit", err=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
