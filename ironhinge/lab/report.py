"""The report of a run: measurements of the lab and, for comparison, the directors' traffic accounts.

The keys are a public format.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .load_generator import LoadStatistics, RequestResult
from .scenarios import Scenario
from .stand_ins import NodeKind, StandInNetwork

OWN_HUB, OTHER_HUB, ORIGIN = "s-000000a1", "s-000000b1", "s-000000c1"  # names of the stand-ins


@dataclass(frozen=True, slots=True)
class RunMeasurements:
    """The measurements of a run."""

    scenario: Scenario
    seed: int
    directors: int
    elapsed: float  # seconds
    cpu_seconds: float  # of all directors while the load ran
    memory_kb: int  # the largest peak of any director
    exit_codes: list[int]
    statistics: LoadStatistics
    network: StandInNetwork
    since_restart: dict[str, int] | None  # `traffic_totals` since the first restart; None: no restart
    account_folder: Path | None  # with the directors' snapshots; None: the run had no accounts


def build_report(run: RunMeasurements) -> dict[str, Any]:
    """Return the report of a run as a dictionary."""
    route_bytes = _bytes_by_route(run.network)
    report = _request_figures(run)
    report |= {
        "cpu_us_a_req": round(1e6 * run.cpu_seconds / max(1, run.statistics.sent), 1),
        "memory_kb": run.memory_kb,
        "director_exits": run.exit_codes,
        "fills_cut": sum(node.cancelled_fills for node in run.network.nodes.values()),
        "carried_by_way": route_bytes,
        "carried_bytes": sum(route_bytes.values()),
    }
    if run.since_restart is not None:
        report["after_restart"] = run.since_restart
    if run.statistics.streams:
        report |= _stream_figures(run.statistics)
    if run.account_folder is not None:
        report |= _account_figures(run, run.account_folder, route_bytes)
    return report


def traffic_totals(network: StandInNetwork) -> dict[str, int]:
    """Return the bytes sent by the origin, the bytes that entered the branch, and the requests to caches."""
    nodes = network.nodes.values()
    return {
        "origin": network.origin.bytes_sent,
        "crossed": sum(node.bytes_to_branch for node in nodes if node.kind != NodeKind.CACHE),
        "dispatches": sum(node.request_count for node in nodes if node.kind == NodeKind.CACHE),
    }


def _bytes_by_route(network: StandInNetwork) -> dict[str, int]:
    return {
        "own-hub": network.nodes[OWN_HUB].bytes_to_branch,
        "other-hub": network.nodes[OTHER_HUB].bytes_to_branch,
        "origin": network.nodes[ORIGIN].bytes_to_branch,
    }


def _request_figures(run: RunMeasurements) -> dict[str, Any]:
    statistics, latencies = run.statistics, sorted(run.statistics.latencies)
    return {
        "scenario": run.scenario.name,
        "seed": run.seed,
        "directors": run.directors,
        "seconds": round(run.elapsed, 2),
        "requests": statistics.sent - statistics.cancelled,
        "final_answers": statistics.answers,
        "doubled_answers": statistics.duplicate_answers,
        "spoiled_answers": statistics.corrupt_answers,
        "left": statistics.cancelled,
        "done": statistics.results[RequestResult.DONE],
        "denied": statistics.results[RequestResult.REJECTED],
        "aborted": statistics.results[RequestResult.FAILED],
        "first_ms_p50": _percentile_ms(latencies, 50),
        "first_ms_p99": _percentile_ms(latencies, 99),
    }


def _percentile_ms(sorted_seconds: list[float], percent: int) -> float | None:
    if not sorted_seconds:
        return None
    return round(1000 * sorted_seconds[len(sorted_seconds) * percent // 100], 1)


def _stream_figures(statistics: LoadStatistics) -> dict[str, Any]:
    started, completed = statistics.streams_started, statistics.streams_completed
    return {
        "streams": statistics.streams,
        "streams_begun": started,
        "streams_whole": completed,
        "streams_refused": statistics.streams_rejected,
        "streams_whole_share": round(completed / max(1, started), 4),
    }


def _account_figures(run: RunMeasurements, folder: Path, route_bytes: dict[str, int]) -> dict[str, Any]:
    # Imported here, as the traffic package needs libraries that a run without accounts does not need.
    from ..traffic.report import collect
    from ..traffic.snapshot_files import read_folder

    snapshots, unreadable = read_folder(folder)
    account = collect(snapshots)
    reported, scenario = account.total(), run.scenario
    crossed = sum(route_bytes[route] for route in scenario.budget_routes)
    budget = int(scenario.budget_burst + scenario.budget_rate * run.elapsed)
    # Each director may start one transfer more than the budget covers.
    slack = max(run.network.body_sizes.values(), default=0) * run.directors
    return {
        "reported_bytes": reported,
        "reported_by_way": account.by("way"),
        "guessed_bytes": account.estimated(),
        "forced_bytes": account.by("forced").get("forced", 0),
        "off_share": round(abs(reported / max(1, sum(route_bytes.values())) - 1), 5),
        "snapshots_wrong": unreadable,
        "crossed_bytes": crossed,
        "budget_bytes": budget,
        "budget_slack_bytes": slack,
        "within_budget": crossed <= budget + slack,
    }
