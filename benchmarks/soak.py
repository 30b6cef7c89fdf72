"""The soak: many seeds of real directors under faults, each judged from the clients' and servers' records.

    python -m benchmarks.soak --seeds 50 [--first 1] [--seconds 8] [--jobs 3] [--json]

A seed that failed is played again with `--seeds 1 --first SEED`; `--logs FOLDER` keeps its directors' logs.
Code 1 where a rule does not hold.
"""

from __future__ import annotations

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

TOTALS = ("requests", "answered", "served", "attempts", "crossed")
VIOLATIONS = ("lost", "duplicates", "late", "after_client_left", "broken_rules", "crashes")  # must be 0


def _run_seed(seed: int, seconds: float, logs: str | None) -> dict[str, Any]:
    """Play one seed; runs in a process of the pool."""
    from ironhinge.lab.soak.plan import draw_plan
    from ironhinge.lab.soak.run import run_plan

    return run_plan(draw_plan(seed, seconds), Path(logs) if logs else None)


def _print_seed(report: dict[str, Any]) -> None:
    counts = ", ".join(f"{name} {report[name]}" for name in ("requests", "served", *VIOLATIONS, "crossed"))
    click.echo(f"seed {report['seed']}: {counts}, lag {report['lag_ms']} ms", err=True)
    for finding in report["findings"]:
        click.echo(f"  {finding['rule']}: {finding['text']} {finding['trace']}", err=True)
        for line in finding["timeline"]:
            click.echo(f"    {line}", err=True)


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=50, show_default=True, help="How many.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="The first of them.")
@click.option("--seconds", type=click.FloatRange(6.0), default=8.0, show_default=True, help="Of each seed.")
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True, help="Seeds played at a time.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keeps the directors' logs of failed seeds.")
@click.option("--stop-at-first", is_flag=True, help="Plays no further seeds after one that failed.")
@click.option("--json", "as_json", is_flag=True, help="The sums as one JSON object on the last line.")
def main(  # noqa: PLR0913 - one argument for each option
    seeds: int, first: int, seconds: float, jobs: int, logs: str | None, stop_at_first: bool, as_json: bool
) -> None:
    """Play SEEDS seeds and judge them."""
    began = time.monotonic()
    totals: dict[str, int] = dict.fromkeys((*TOTALS, *VIOLATIONS), 0)
    failed = []
    with ProcessPoolExecutor(jobs) as pool:
        numbers = range(first, first + seeds)
        for report in pool.map(_run_seed, numbers, [seconds] * seeds, [logs] * seeds):
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
