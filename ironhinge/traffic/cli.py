"""The `traffic` commands. They read the snapshot folders of directors and never write to them."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .labels import DIMENSIONS

if TYPE_CHECKING:
    from ..settings import records
    from .report import Report

# modules for reports are imported only in the commands that need them: other commands start faster

WINDOWS = ("second", "minute", "hour", "period")
DEFAULT_DIMENSIONS = ("way", "use", "vhost", "pair", "forced")
WATCH_JSON_DIMENSIONS = ("way", "forced")
WATCH_TABLE_DIMENSIONS = ("way", "forced", "vhost")
EXIT_FAILURE = 1

folders_argument = click.argument(
    "folders", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False, path_type=Path)
)
window_option = click.option(
    "--window",
    type=click.Choice(WINDOWS),
    default="period",
    show_default=True,
    help="Length of the intervals.",
)
operations_option = click.option(
    "--operations",
    multiple=True,
    type=click.Path(dir_okay=False),
    help="Operations files to read prices from.",
)


@click.group()
def traffic() -> None:
    """Report the bytes that fills transferred between zones, and the state of their budgets."""


def _load_report(
    folders: tuple[Path, ...], window: str, start_ms: int | None = None, all_intervals: bool = False
) -> Report:
    """Returns the report of all directors whose snapshots are in these folders.

    Lists unreadable files on stderr. Exits with an error if no snapshot can be read.
    """
    from .report import collect
    from .snapshot_files import read_folder

    snapshots = []
    for folder in folders:
        found, unreadable = read_folder(folder)
        snapshots += found
        for reason in unreadable:
            click.echo(f"ironhinge: skipped: {reason}", err=True)
    if not snapshots:
        click.echo("ironhinge: no readable snapshot in these folders", err=True)
        sys.exit(EXIT_FAILURE)
    return collect(snapshots, window, start_ms, all_intervals)


def _load_prices(operations: tuple[str, ...]) -> tuple[records.Price, ...]:
    if not operations:
        return ()
    from ..settings.cli import loaded

    settings = loaded(operations, False).operations.traffic
    return settings.prices if settings is not None else ()


def _draw(folders: tuple[Path, ...], window: str, dimension: str, path: Path) -> None:
    try:
        from .plot import draw_chart
    except ImportError:
        click.echo("ironhinge: plots need matplotlib: see README", err=True)
        sys.exit(EXIT_FAILURE)
    draw_chart(_load_report(folders, window, all_intervals=True), dimension, path)
    click.echo(f"wrote {path}", err=True)


@traffic.command()
@folders_argument
@window_option
@operations_option
@click.option(
    "--start",
    "start_ms",
    type=int,
    help="Start of the interval in Unix milliseconds; default: the latest.",
)
@click.option("--all", "all_intervals", is_flag=True, help="All stored intervals instead of one.")
@click.option(
    "--by",
    "dimensions",
    multiple=True,
    type=click.Choice(DIMENSIONS),
    help="Dimension to group by; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--csv", "as_csv", is_flag=True, help="Print every line, not grouped.")
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write a chart of bytes over time to a PNG file.",
)
def report(  # noqa: PLR0913 - one argument per option
    folders: tuple[Path, ...],
    window: str,
    operations: tuple[str, ...],
    start_ms: int | None,
    all_intervals: bool,
    dimensions: tuple[str, ...],
    as_json: bool,
    as_csv: bool,
    plot: Path | None,
) -> None:
    """Sum up the newest snapshot of each director in FOLDERS."""
    from .report_formats import to_csv, to_json, to_table

    found = _load_report(folders, window, start_ms, all_intervals)
    dimensions = dimensions or DEFAULT_DIMENSIONS
    prices = _load_prices(operations)
    if plot is not None:
        _draw(folders, window, dimensions[0], plot)
    if as_csv:
        click.echo(to_csv(found), nl=False)
    elif as_json:
        click.echo(json.dumps(to_json(found, dimensions, prices)))
    else:
        click.echo(to_table(found, dimensions, prices))


@traffic.command()
@folders_argument
@window_option
@click.option(
    "--every",
    type=click.FloatRange(0.2, 3600),
    default=2.0,
    show_default=True,
    help="Seconds between reports.",
)
@click.option("--times", type=int, default=0, help="Number of reports; 0: until Ctrl-C.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def watch(folders: tuple[Path, ...], window: str, every: float, times: int, as_json: bool) -> None:
    """Show the report again every few seconds."""
    from .report_formats import to_json, to_table

    shown = 0
    try:
        while not times or shown < times:
            found = _load_report(folders, window)
            if as_json:
                click.echo(json.dumps(to_json(found, WATCH_JSON_DIMENSIONS)))
            else:
                click.clear()
                click.echo(to_table(found, WATCH_TABLE_DIMENSIONS))
            shown += 1
            if not times or shown < times:
                time.sleep(every)
    except KeyboardInterrupt:
        pass
