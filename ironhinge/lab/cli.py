"""Owns the lab's commands."""

from __future__ import annotations

import json
import sys
from typing import Any

import click


@click.group()
def lab() -> None:
    """Stand-ins, load and faults on this machine, to see directors at work."""


@lab.command()
def scenes() -> None:
    """List what can be played."""
    from .scenes import SCENES

    for one in SCENES.values():
        click.echo(f"{one.name:15} {one.about}")


@lab.command()
@click.option("--scenario", default="calm", show_default=True, help="See 'ironhinge lab scenes'.")
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=8.0, show_default=True)
@click.option("--directors", type=click.IntRange(1, 32), default=2, show_default=True)
@click.option(
    "--scale", type=click.FloatRange(0.05, 20.0), default=1.0, show_default=True, help="Of the load."
)
@click.option("--share", is_flag=True, help="Directors may hand budget to one another.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
def run(
    scenario: str, seed: int, seconds: float, directors: int, scale: float, share: bool, as_json: bool
) -> None:
    """Play a scene: caches, hubs, an origin, a coordinator, clients and DIRECTORS real directors; then say
    what crossed and what clients were answered. Code 1 where a rule of the lab does not hold.
    """
    from .run import play
    from .scenes import SCENES, scene

    if scenario not in SCENES:
        raise click.BadParameter(f"'{scenario}' is none of {', '.join(SCENES)}", param_hint="--scenario")
    try:
        figures = play(
            scene(scenario, scale),
            seed,
            seconds,
            directors,
            lambda text: click.echo(text, err=True),
            share=share,
        )
    except KeyboardInterrupt:
        click.echo("ended; nothing of it is left running", err=True)
        sys.exit(130)
    except (OSError, RuntimeError) as fault:
        click.echo(f"ironhinge: {fault}", err=True)
        sys.exit(1)
    click.echo(json.dumps(figures) if as_json else table(figures))
    sys.exit(0 if holds(figures) else 1)


def holds(figures: dict[str, Any]) -> bool:
    """What a run has to show, whatever its scene."""
    whole = figures["requests"] == figures["final_answers"] and not figures["doubled_answers"]
    return (
        whole
        and not figures["spoiled_answers"]
        and figures.get("within_budget", True)
        and figures.get("off_share", 0.0) <= 0.01
        and not any(figures["director_exits"])
    )


def table(figures: dict[str, Any]) -> str:
    return "\n".join(f"{name:22} {value}" for name, value in figures.items())
