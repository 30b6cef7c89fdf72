"""Owns the command on background work. It reads what a director last wrote; it starts and stops nothing."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def jobs(folder: Path, as_json: bool) -> None:
    """What background work ran, waits, and why: of the director that keeps its tier in FOLDER."""
    try:
        found = json.loads((folder / "status.json").read_text())["jobs"]
    except (OSError, ValueError, KeyError):
        click.echo(f"ironhinge: no word of background work in {folder}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(found))
        return
    click.echo(f"has {100 * found['share']:.0f}% of its budgets; {found['disk']} bytes of disk to spend now")
    for name, row in found["jobs"].items():
        click.echo(
            f"{name:14} {row['why']:28} class {row['priority']}  {row['slices']} slices, {row['disk']} bytes"
        )
    for name, how in found["ended"].items():
        click.echo(f"{name:14} {how}")
