"""Owns the commands on the account. It must never write to a folder of a director's."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

CUTS = ("way", "use", "vhost", "into", "out_of", "forced", "pair")
WINDOWS = ("second", "minute", "hour", "period")

folders_argument = click.argument(
    "folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False, path_type=Path)
)
window_option = click.option(
    "--window", type=click.Choice(WINDOWS), default="period", show_default=True, help="Which stretch of time."
)
operations_option = click.option(
    "--operations", multiple=True, type=click.Path(dir_okay=False), help="For prices: the operations files."
)


@click.group()
def traffic() -> None:
    """What crossed between zones, by whom and why, and what budgets have left."""


def read(folders: tuple[Path, ...], window: str, start: int | None, all_: bool) -> Any:
    """The report of all directors that keep their accounts in these folders."""
    from .keeper import read_folder
    from .report import collect

    snapshots = []
    for folder in folders:
        found, wrong = read_folder(folder)
        snapshots += found
        for line in wrong:
            click.echo(f"ironhinge: passed over: {line}", err=True)
    if not snapshots:
        click.echo("ironhinge: no account in these folders", err=True)
        sys.exit(1)
    return collect(snapshots, window, start, all_)


def prices_of(operations: tuple[str, ...]) -> Any:
    if not operations:
        return ()
    from ..settings.cli import loaded

    found = loaded(operations, False).operations.traffic
    return found.prices if found is not None else ()


@traffic.command()
@folders_argument
@window_option
@operations_option
@click.option(
    "--start", type=int, help="The Unix millisecond at which the stretch begins; default: the newest."
)
@click.option("--all", "all_", is_flag=True, help="All stretches that are kept, not just one.")
@click.option("--by", "cuts", multiple=True, type=click.Choice(CUTS), help="Cuts to show; may be repeated.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
@click.option("--csv", "as_csv", is_flag=True, help="Every line, uncut.")
@click.option(
    "--plot", type=click.Path(dir_okay=False, path_type=Path), help="Draw bytes by time into a PNG."
)
def report(
    folders: tuple[Path, ...],
    window: str,
    operations: tuple[str, ...],
    start: int | None,
    all_: bool,
    cuts: tuple[str, ...],
    as_json: bool,
    as_csv: bool,
    plot: Path | None,
) -> None:
    """Add up the accounts that directors keep in FOLDERS, each director once."""
    from .report import table

    found = read(folders, window, start, all_)
    cuts = cuts or ("way", "use", "vhost", "pair", "forced")
    prices = prices_of(operations)
    if plot is not None:
        try:
            from .plot import draw
        except ImportError:
            click.echo("ironhinge: plots need matplotlib: see README", err=True)
            sys.exit(1)
        draw(read(folders, window, None, True), cuts[0], plot)
        click.echo(f"drawn: {plot}", err=True)
    if as_csv:
        click.echo(found.csv(), nl=False)
    elif as_json:
        click.echo(json.dumps(found.plain(cuts, prices)))
    else:
        click.echo(table(found, cuts, prices))


@traffic.command()
@folders_argument
@window_option
@click.option("--every", type=click.FloatRange(0.2, 3600), default=2.0, show_default=True, help="Seconds.")
@click.option("--times", type=int, default=0, help="How often; 0: until Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
def watch(folders: tuple[Path, ...], window: str, every: float, times: int, as_json: bool) -> None:
    """Show the report anew every few seconds."""
    from .report import table

    shown = 0
    try:
        while not times or shown < times:
            found = read(folders, window, None, False)
            if as_json:
                click.echo(json.dumps(found.plain(("way", "forced"))))
            else:
                click.clear()
                click.echo(table(found, ("way", "forced", "vhost")))
            shown += 1
            if not times or shown < times:
                time.sleep(every)
    except KeyboardInterrupt:
        pass
