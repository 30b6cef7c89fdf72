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

SUMS = ("requests", "answered", "served", "attempts", "crossed")
MUST_BE_NONE = ("lost", "duplicates", "late", "after_client_left", "broken_rules", "crashes")


def _one(seed: int, seconds: float, logs: str | None) -> dict[str, Any]:
    from ironhinge.lab.soak.plan import plan
    from ironhinge.lab.soak.run import play

    return play(plan(seed, seconds), Path(logs) if logs else None)


def _tell(figures: dict[str, Any]) -> None:
    counts = ", ".join(f"{name} {figures[name]}" for name in ("requests", "served", *MUST_BE_NONE, "crossed"))
    click.echo(f"seed {figures['seed']}: {counts}, lag {figures['lag_ms']} ms", err=True)
    for finding in figures["findings"]:
        click.echo(f"  {finding['rule']}: {finding['text']} {finding['trace']}", err=True)
        for line in finding["timeline"]:
            click.echo(f"    {line}", err=True)


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=50, show_default=True, help="How many.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="The first of them.")
@click.option("--seconds", type=click.FloatRange(6.0), default=8.0, show_default=True, help="Of each seed.")
@click.option("--jobs", type=click.IntRange(1), default=3, show_default=True, help="Seeds played at a time.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keeps the directors' logs of failed seeds.")
@click.option("--json", "as_json", is_flag=True, help="The sums as one JSON object on the last line.")
def main(seeds: int, first: int, seconds: float, jobs: int, logs: str | None, as_json: bool) -> None:
    """Play SEEDS seeds and judge them."""
    began = time.monotonic()
    total: dict[str, Any] = dict.fromkeys((*SUMS, *MUST_BE_NONE), 0)
    failed = []
    with ProcessPoolExecutor(jobs) as pool:
        numbers = range(first, first + seeds)
        for figures in pool.map(_one, numbers, [seconds] * seeds, [logs] * seeds):
            _tell(figures)
            for name in total:
                total[name] += figures[name]
            if any(figures[name] for name in MUST_BE_NONE):
                failed.append(figures["seed"])
    total = {"seeds": seeds, **total, "failed_seeds": failed, "seconds": round(time.monotonic() - began, 1)}
    if as_json:
        click.echo(json.dumps(total))
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in total.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
