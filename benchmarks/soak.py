"""Runs the soak: real directors under faults for many seeds, each audited from clients' and servers' records.

    python -m benchmarks.soak --seeds 50 [--first 1] [--seconds 8] [--jobs 3] [--busy 0] [--draws 1]
        [--json]

To run a failed seed again, use `--seeds 1 --first SEED`. The report and the directors' logs of a failed seed
are kept in the folder `--logs`. The exit code is 1 if a rule was violated.
"""

from __future__ import annotations

import json
import multiprocessing
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

TOTALS = ("requests", "answered", "served", "attempts", "crossed")
# versions of the draws; 2 adds to the first ones, 3, 4 and 5 add to 2
FIRST_DRAWS, PLATFORM_DRAWS, CROWD_DRAWS, START_DRAWS, LATE_DRAWS = 1, 2, 3, 4, 5
DEFAULT_LOGS = str(Path(tempfile.gettempdir()) / "ironhinge-soak-logs")
VIOLATIONS = ("lost", "duplicates", "late", "after_client_left", "broken_rules", "crashes")  # must be 0


def _run_seed(seed: int, seconds: float, draws: int, logs: str) -> dict[str, Any]:
    """Run one seed and return its report; runs in a process of the pool."""
    from ironhinge.lab.soak.crowd_draws import add_crowds
    from ironhinge.lab.soak.late_draws import add_late_paths
    from ironhinge.lab.soak.plan import draw_plan
    from ironhinge.lab.soak.platform_draws import extend_plan
    from ironhinge.lab.soak.run import run_plan
    from ironhinge.lab.soak.start_draws import add_starts

    plan = draw_plan(seed, seconds)
    if draws >= PLATFORM_DRAWS:
        plan = extend_plan(plan)
    if draws == CROWD_DRAWS:
        plan = add_crowds(plan)
    if draws == START_DRAWS:
        plan = add_starts(plan)
    if draws == LATE_DRAWS:
        plan = add_late_paths(plan)
    return run_plan(plan, Path(logs) if logs else None)


def _spin() -> None:
    """Use one processor until the process is ended."""
    while True:
        pass


@contextmanager
def _busy_processes(count: int) -> Iterator[None]:
    """Run processes that each use one processor, as other work on the machine would."""
    processes = [multiprocessing.Process(target=_spin, daemon=True) for _ in range(count)]
    for process in processes:
        process.start()
    try:
        yield
    finally:
        for process in processes:
            process.kill()


def _print_seed(report: dict[str, Any]) -> None:
    counts = ", ".join(f"{name} {report[name]}" for name in ("requests", "served", *VIOLATIONS, "crossed"))
    click.echo(
        f"seed {report['seed']}: {counts}, lag {report['lag_ms']} ms, "
        f"directors without a processor {report['cpu_wait_ms']} ms",
        err=True,
    )
    for finding in report["findings"]:
        click.echo(f"  {finding['rule']}: {finding['text']} {finding['trace']}", err=True)
        for line in finding["timeline"]:
            click.echo(f"    {line}", err=True)


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=50, show_default=True, help="Number of seeds.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option(
    "--seconds", type=click.FloatRange(6.0), default=8.0, show_default=True, help="Duration per seed."
)
@click.option(
    "--jobs",
    type=click.IntRange(1),
    default=3,
    show_default=True,
    help="Number of seeds that run in parallel.",
)
@click.option(
    "--busy", type=click.IntRange(0), default=0, help="Number of processes that spin beside the seeds."
)
@click.option(
    "--draws",
    type=click.IntRange(FIRST_DRAWS, LATE_DRAWS),
    default=FIRST_DRAWS,
    show_default=True,
    help="Version of the draws; 2 adds steps of the platform's clock, slow discovery and coinciding times, "
    "3 crowds of bad clients and small limits, 4 (in place of 3) starts with a backlog of discovery, 5 (in "
    "place of 3 and 4) late paths from discovery.",
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False),
    default=DEFAULT_LOGS,
    show_default=True,
    help="Keep the report and the directors' logs of failed seeds in this folder; empty: keep nothing.",
)
@click.option("--stop-at-first", is_flag=True, help="Start no further seeds after a failed one.")
@click.option("--json", "as_json", is_flag=True, help="Print the totals as a JSON object on the last line.")
def main(  # noqa: PLR0913 - one argument per option
    seeds: int,
    first: int,
    seconds: float,
    jobs: int,
    busy: int,
    draws: int,
    logs: str,
    stop_at_first: bool,
    as_json: bool,
) -> None:
    """Run and audit SEEDS seeds."""
    began = time.monotonic()
    totals: dict[str, int] = dict.fromkeys((*TOTALS, *VIOLATIONS), 0)
    failed = []
    with _busy_processes(busy), ProcessPoolExecutor(jobs) as pool:
        numbers = range(first, first + seeds)
        for report in pool.map(_run_seed, numbers, *([each] * seeds for each in (seconds, draws, logs))):
            _print_seed(report)
            for name in totals:
                totals[name] += report[name]
            if any(report[name] for name in VIOLATIONS):
                failed.append(report["seed"])
                if stop_at_first:
                    pool.shutdown(wait=False, cancel_futures=True)
                    break
    elapsed = round(time.monotonic() - began, 1)
    summary = {"seeds": seeds, **totals, "failed_seeds": failed, "seconds": elapsed}
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in summary.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
