"""The command `ironhinge jobs`: shows the background jobs of a director.

It reads the status file that the director last wrote; it starts and stops no jobs.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

STATUS_FILE = "status.json"
EXIT_NO_STATUS = 1


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def jobs(folder: Path, as_json: bool) -> None:
    """Show the background jobs of the director whose disk tier is in FOLDER.

    Jobs that have not ended are shown with what they wait for, ended jobs with their outcome.
    """
    try:
        status = json.loads((folder / STATUS_FILE).read_text())["jobs"]
    except (OSError, ValueError, KeyError):
        click.echo(f"ironhinge: no readable status of background jobs in {folder}", err=True)
        sys.exit(EXIT_NO_STATUS)
    if as_json:
        click.echo(json.dumps(status))
    else:
        _print_table(status)


def _print_table(status: dict[str, Any]) -> None:
    share_percent = 100 * status["share"]
    click.echo(f"budget share {share_percent:.0f}%; {status['disk']} bytes of the disk budget available")
    for name, job in status["jobs"].items():
        click.echo(
            f"{name:14} {job['why']:28} class {job['priority']}  {job['slices']} slices, {job['disk']} bytes"
        )
    for name, outcome in status["ended"].items():
        click.echo(f"{name:14} {outcome}")
