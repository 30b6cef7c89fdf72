"""Measures the cost and accuracy of traffic accounting, and the benefit of reservations for streams.

    python -m benchmarks.traffic [--quick]

Cost is measured in pairs of runs, with accounting and without it, in alternating order, and given as the
ratio within each pair.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
import tracemalloc
from typing import Any

from ironhinge import interface
from ironhinge.lab.run import RunOptions, run_scenario
from ironhinge.lab.scenarios import SCENARIOS, scaled_scenario
from ironhinge.settings.load import load_texts
from ironhinge.traffic.ledger import TrafficLedger
from ironhinge.traffic.types import (
    CLOCK_UNITS_PER_MS,
    AttemptEnded,
    AttemptStarted,
    ClockReading,
    ClockTick,
    DirectorIdentity,
)

SETTINGS = """traffic: budgets: {
    link: {ways: ["own-hub", "other-hub", "origin"], rate: "1GB/s", burst: "1GB", begin: "full", streams: {}}
    far: {within: "link", rate: "1GB/s", burst: "1GB", begin: "full", emergency: {rate: "1MB/s"}}
}"""
IDENTITY = DirectorIdentity("bench", ("b", "h", "g"), ("card", "film"), 0)
UNIX_MS = 1_764_576_000_000
DONE, FILLED = interface.AttemptResult.DONE, interface.CacheStatus.FILLED_FROM_SOURCE
PARENTS = 6
PARENT_KIND, ORIGIN_KIND = 1, 2
WARM_UP_FILLS = 60_000  # each of another object, within one minute of simulated time
FILL_INTERVAL = 10  # clock units between two fills
FILLS_PER_TICK = 100  # fills between two clock ticks
LOAD_SCALE = 6.0  # multiple of the scenario's load
FIRST_SEED = 7
DIRECTORS = 2


def print_progress(text: str) -> None:
    """Writes a line to stderr; stdout is reserved for the result."""
    print(text, file=sys.stderr, flush=True)


def make_deployment() -> interface.Deployment:
    """Returns a deployment with two hubs and two request classes, of which one is segmented."""
    request_class = interface.RequestClass(
        latency_target=4000,
        latency_target_stretch=1.6,
        client_timeout=30_000,
        priority_weight=1.0,
        late_value_share=0.2,
        idempotency=interface.Idempotency.IDEMPOTENT,
        dedup_scope=interface.DedupScope.ALL,
        dedup_window=0,
        is_write=False,
        freshness_lifetime=0,
        stale_grace=0,
        stale_value_share=1.0,
        is_segmented=False,
    )
    fields: dict[str, Any] = dict.fromkeys(interface.Deployment.__dataclass_fields__, 0)
    fields.update(
        request_classes=(request_class, request_class._replace(is_segmented=True)),
        router_count=1,
        local_router_count=1,
        hub_by_zone=(1, 1, 2),
        parent_kind=PARENT_KIND,
        origin_kind=ORIGIN_KIND,
        load_report_fields=(),
        prices=(),
        ingress_bandwidth=(),
    )
    return interface.Deployment(**fields)


def make_ledger() -> TrafficLedger:
    """Returns a ledger with one cache and `PARENTS` parents as endpoints."""
    operations = load_texts([("bench", SETTINGS)]).operations
    assert operations.traffic is not None
    ledger = TrafficLedger(operations.traffic, make_deployment(), IDENTITY, 0, ClockReading(0, UNIX_MS))
    ready = interface.EndpointState.READY
    endpoints = [interface.Endpoint("c", ready, 0, 0, 0, 20.0, 0)]
    endpoints += [
        interface.Endpoint(f"p{index}", ready, 0, 1 + index % 2, 0, 20.0, PARENT_KIND)
        for index in range(PARENTS)
    ]
    ledger.handle(0, interface.EndpointsUpdated(True, tuple(endpoints)))
    return ledger


def run_fill(ledger: TrafficLedger, index: int) -> None:
    """Runs a fill of a new object through the ledger: budget check, start and end of the attempt."""
    now, source = index * FILL_INTERVAL, f"p{index % PARENTS}"
    request = interface.RequestReceived(
        f"r{index}", index, 0, 0, 100.0, 20_000, index % 2, False, False, connection_id=index
    )
    if not ledger.wait_time(now, request, source):
        ledger.handle(now, AttemptStarted(request, "c", source, 1, False))
        ledger.handle(now, AttemptEnded(request.request_id, DONE, FILLED, 10_000, 100, False))
    if index % FILLS_PER_TICK == 0:
        ledger.handle(now, ClockTick(UNIX_MS + now // CLOCK_UNITS_PER_MS))


def measure_ledger(fills: int) -> dict[str, float]:
    """Measures the ledger alone: microseconds per fill, and memory retained after a minute of new objects."""
    ledger = make_ledger()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for index in range(WARM_UP_FILLS):
        run_fill(ledger, index)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.perf_counter()
    for index in range(WARM_UP_FILLS, WARM_UP_FILLS + fills):
        run_fill(ledger, index)
    return {
        "ledger_us_a_fill": round(1e6 * (time.perf_counter() - started) / fills, 2),
        "ledger_kb_after_60000_names": round(grown / 1000, 1),
    }


def measure_pairs(pairs: int, seconds: float) -> dict[str, Any]:
    """Measures CPU and memory of directors with accounting and budgets on and off, in alternating order."""
    ratios: list[float] = []
    memory: list[int] = []
    cpu: dict[bool, list[float]] = {False: [], True: []}
    for index in range(pairs):
        figures = {}
        for is_on in (False, True) if index % 2 else (True, False):
            scenario = scaled_scenario("calm", LOAD_SCALE)
            options = RunOptions(FIRST_SEED + index, seconds, DIRECTORS, account=is_on)
            figures[is_on] = run_scenario(scenario, options)
            cpu[is_on].append(figures[is_on]["cpu_us_a_req"])
        ratios.append(figures[True]["cpu_us_a_req"] / figures[False]["cpu_us_a_req"])
        memory.append(figures[True]["memory_kb"] - figures[False]["memory_kb"])
        print_progress(f"pair {index + 1} of {pairs}: CPU {ratios[-1]:.3f}, memory {memory[-1]:+} KB")
    return {
        "cpu_us_a_req_off": statistics.median(cpu[False]),
        "cpu_us_a_req_on": statistics.median(cpu[True]),
        "cpu_ratio_median": round(statistics.median(ratios), 4),
        "cpu_ratio_all": [round(ratio, 3) for ratio in sorted(ratios)],
        "memory_more_kb": int(statistics.median(memory)),
    }


def measure_accuracy(seeds: int, seconds: float) -> dict[str, Any]:
    """Measures how far reported bytes differ from the bytes that hubs carried, and whether budgets held."""
    results: dict[str, Any] = {}
    for name in ("calm", "hub-loss", "stream-budget"):
        runs = [
            run_scenario(SCENARIOS[name], RunOptions(seed, seconds, DIRECTORS))
            for seed in range(1, seeds + 1)
        ]
        results[name] = {
            "off_share_worst": max(run["off_share"] for run in runs),
            "within_budget": all(run["within_budget"] for run in runs),
            "without_one_answer": sum(
                abs(run["requests"] - run["final_answers"]) + run["doubled_answers"] for run in runs
            ),
            "crossed_of_budget": [round(run["crossed_bytes"] / run["budget_bytes"], 3) for run in runs],
        }
        print_progress(f"{name}: {results[name]}")
    return results


def measure_streams(seeds: int, seconds: float) -> dict[str, Any]:
    """Measures the share of started streams that got all segments, with reservations and without.

    The budget is half of the demand.
    """
    results = {}
    for name in ("stream-budget", "stream-plain"):
        runs = [
            run_scenario(SCENARIOS[name], RunOptions(seed, seconds, DIRECTORS))
            for seed in range(1, seeds + 1)
        ]
        streams_started = sum(run["streams_begun"] for run in runs)
        streams_completed = sum(run["streams_whole"] for run in runs)
        results[name] = {
            "begun": streams_started,
            "whole": streams_completed,
            "share": round(streams_completed / streams_started, 4),
            "crossed_bytes": sum(run["crossed_bytes"] for run in runs),
        }
    return results


def main() -> None:
    """Runs all measurements and prints one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    results: dict[str, Any] = measure_ledger(20_000 if quick else 100_000)
    print_progress(str(results))
    results.update(measure_pairs(3 if quick else 8, 8.0 if quick else 15.0))
    results["reports"] = measure_accuracy(1 if quick else 5, 10.0 if quick else 20.0)
    results["streams"] = measure_streams(1 if quick else 3, 15.0 if quick else 20.0)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
