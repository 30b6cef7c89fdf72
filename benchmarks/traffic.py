"""What the account of crossings costs, how far off it is, and what places for streams are worth.

    python -m benchmarks.traffic [--quick]

Everything is a ratio within one run: with against without, pair by pair, the two in turn.
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
from ironhinge.traffic.ledger import Ledger
from ironhinge.traffic.types import Ended, Sent, Tick

BUDGETS = """traffic: budgets: {
    link: {ways: ["own-hub", "other-hub", "origin"], rate: "1GB/s", burst: "1GB", begin: "full", streams: {}}
    far: {within: "link", rate: "1GB/s", burst: "1GB", begin: "full", emergency: {rate: "1MB/s"}}
}"""


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def facts() -> interface.Deployment:
    """Six parents in two hubs, two vhosts of which one has parts."""
    vhost = interface.RequestClass(
        4000,
        1.6,
        30_000,
        1.0,
        0.2,
        interface.Idempotency.IDEMPOTENT,
        interface.DedupScope.ALL,
        0,
        False,
        0,
        0,
        1.0,
        False,
    )
    told: dict[str, Any] = dict.fromkeys(interface.Deployment.__dataclass_fields__, 0)
    told.update(
        request_classes=(vhost, vhost._replace(is_segmented=True)),
        router_count=1,
        local_router_count=1,
        hub_by_zone=(1, 1, 2),
        parent_kind=1,
        origin_kind=2,
        load_report_fields=(),
        prices=(),
        ingress_bandwidth=(),
    )
    return interface.Deployment(**told)


def ledger_cost(fills: int) -> dict[str, float]:
    """Microseconds a fill in the ledger alone, and what 60,000 new names in a minute leave behind."""
    operations = load_texts([("bench", BUDGETS)]).operations
    assert operations.traffic is not None
    one = Ledger(operations.traffic, facts(), ("b", "h", "g"), ("card", "film"), 0, 1_764_576_000_000)
    rows = [interface.Endpoint("c", interface.EndpointState.READY, 0, 0, 0, 20.0, 0)]
    rows += [
        interface.Endpoint(f"p{at}", interface.EndpointState.READY, 0, 1 + at % 2, 0, 20.0, 1)
        for at in range(6)
    ]
    one.step(0, interface.EndpointsUpdated(True, tuple(rows)))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for at in range(60_000):
        fill(one, at, at * 10)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    began = time.perf_counter()
    for at in range(60_000, 60_000 + fills):
        fill(one, at, at * 10)
    return {
        "ledger_us_a_fill": round(1e6 * (time.perf_counter() - began) / fills, 2),
        "ledger_kb_after_60000_names": round(grown / 1000, 1),
    }


def fill(one: Ledger, at: int, now: int) -> None:
    came = interface.RequestReceived(f"r{at}", at, 0, 0, 100.0, 20_000, at % 2, False, False, at)
    if not one.wait_time(now, came, f"p{at % 6}"):
        one.step(now, Sent(came, "c", f"p{at % 6}", 1, False))
        one.step(now, Ended(came.request_id, "done", 2, 10_000, 100, False))
    if at % 100 == 0:
        one.step(now, Tick(1_764_576_000_000 + now // 10))


def paired(pairs: int, seconds: float, scale: float) -> dict[str, Any]:
    """CPU and memory of whole directors, account and budgets on against off, in turn."""
    ratios: list[float] = []
    memory: list[int] = []
    cpu: dict[bool, list[float]] = {False: [], True: []}
    for at in range(pairs):
        figures = {}
        for on in (False, True) if at % 2 else (True, False):
            figures[on] = run_scenario(
                scaled_scenario("calm", scale), RunOptions(7 + at, seconds, 2, account=on)
            )
            cpu[on].append(figures[on]["cpu_us_a_req"])
        ratios.append(figures[True]["cpu_us_a_req"] / figures[False]["cpu_us_a_req"])
        memory.append(figures[True]["memory_kb"] - figures[False]["memory_kb"])
        say(f"pair {at + 1} of {pairs}: CPU {ratios[-1]:.3f}, memory {memory[-1]:+} KB")
    return {
        "cpu_us_a_req_off": statistics.median(cpu[False]),
        "cpu_us_a_req_on": statistics.median(cpu[True]),
        "cpu_ratio_median": round(statistics.median(ratios), 4),
        "cpu_ratio_all": [round(ratio, 3) for ratio in sorted(ratios)],
        "memory_more_kb": int(statistics.median(memory)),
    }


def off(seeds: int, seconds: float) -> dict[str, Any]:
    """How far the report is from what hubs carried, and whether budgets held."""
    out: dict[str, Any] = {}
    for name in ("calm", "hub-loss", "stream-budget"):
        rows = [run_scenario(SCENARIOS[name], RunOptions(seed, seconds, 2)) for seed in range(1, seeds + 1)]
        out[name] = {
            "off_share_worst": max(row["off_share"] for row in rows),
            "within_budget": all(row["within_budget"] for row in rows),
            "without_one_answer": sum(
                abs(row["requests"] - row["final_answers"]) + row["doubled_answers"] for row in rows
            ),
            "crossed_of_budget": [round(row["crossed_bytes"] / row["budget_bytes"], 3) for row in rows],
        }
        say(f"{name}: {out[name]}")
    return out


def streams(seeds: int, seconds: float) -> dict[str, Any]:
    """Streams begun that got all their parts, with places held against without, at half of the demand."""
    rows = {
        name: [run_scenario(SCENARIOS[name], RunOptions(seed, seconds, 2)) for seed in range(1, seeds + 1)]
        for name in ("stream-budget", "stream-plain")
    }
    out = {}
    for name, found in rows.items():
        begun, whole = (sum(row[key] for row in found) for key in ("streams_begun", "streams_whole"))
        out[name] = {
            "begun": begun,
            "whole": whole,
            "share": round(whole / begun, 4),
            "crossed_bytes": sum(row["crossed_bytes"] for row in found),
        }
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    out: dict[str, Any] = ledger_cost(20_000 if quick else 100_000)
    say(str(out))
    out.update(paired(3 if quick else 8, 8.0 if quick else 15.0, 6.0))
    out["reports"] = off(1 if quick else 5, 10.0 if quick else 20.0)
    out["streams"] = streams(1 if quick else 3, 15.0 if quick else 20.0)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
