"""The subcommands of `ironhinge lab`."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from .errors import LabError

MAX_ACCOUNT_ERROR = 0.01  # largest relative difference between the accounts and the bytes that were sent
INTERRUPTED = 130  # exit code after Ctrl-C


@click.group()
def lab() -> None:
    """Run directors on this machine against stand-ins, with generated load and faults."""


@lab.command()
def scenes() -> None:
    """List the scenarios."""
    from .scenarios import SCENARIOS

    for scenario in SCENARIOS.values():
        click.echo(f"{scenario.name:15} {scenario.description}")


@lab.command()
@click.option(
    "--scenario", default="calm", show_default=True, help="Name, as listed by 'ironhinge lab scenes'."
)
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=8.0, show_default=True)
@click.option("--directors", type=click.IntRange(1, 32), default=2, show_default=True)
@click.option(
    "--scale",
    type=click.FloatRange(0.05, 20.0),
    default=1.0,
    show_default=True,
    help="Multiplier of the load.",
)
@click.option("--share", is_flag=True, help="Let directors grant unused budget to each other.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object as the last line.")
def run(  # noqa: PLR0913 - one parameter per option
    scenario: str, seed: int, seconds: float, directors: int, scale: float, share: bool, as_json: bool
) -> None:
    """Run a scenario and print how many bytes entered the branch and how requests ended.

    Caches, hubs, the origin, the control plane and clients are stand-ins; --directors sets how many real
    directors are started. The exit code is 1 if the run fails or its report breaks a rule of all scenarios.
    """
    from .run import RunOptions, run_scenario
    from .scenarios import SCENARIOS, scaled_scenario

    if scenario not in SCENARIOS:
        raise click.BadParameter(
            f"'{scenario}' is not one of {', '.join(SCENARIOS)}", param_hint="--scenario"
        )
    options = RunOptions(seed, seconds, directors, share=share)
    try:
        report = run_scenario(scaled_scenario(scenario, scale), options, _print_progress)
    except KeyboardInterrupt:
        click.echo("interrupted; all processes of the run were stopped", err=True)
        sys.exit(INTERRUPTED)
    except (OSError, RuntimeError, LabError) as error:
        click.echo(f"ironhinge: {error}", err=True)
        sys.exit(1)
    click.echo(json.dumps(report) if as_json else format_table(report))
    sys.exit(0 if all_rules_hold(report) else 1)


def _print_progress(text: str) -> None:
    click.echo(text, err=True)


def all_rules_hold(report: dict[str, Any]) -> bool:
    """Return whether a report meets the rules for every scenario.

    Each request has exactly one final answer, and all bodies are right. Traffic stays within the budget, the
    accounts match the bytes that were sent, and all directors exit with code 0.
    """
    answered_once = report["requests"] == report["final_answers"] and not report["doubled_answers"]
    return (
        answered_once
        and not report["spoiled_answers"]
        and report.get("within_budget", True)
        and report.get("off_share", 0.0) <= MAX_ACCOUNT_ERROR
        and not any(report["director_exits"])
    )


def format_table(report: dict[str, Any]) -> str:
    """Return the report with one key per line."""
    return "\n".join(f"{name:22} {value}" for name, value in report.items())
