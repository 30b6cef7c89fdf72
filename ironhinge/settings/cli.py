"""Owns the commands on settings. It must never change a file."""

from __future__ import annotations

import json
import sys
from typing import Any

import click


@click.group()
def settings() -> None:
    """Operators' settings: check them, show what they come to, print what may stand in them."""


files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
config_option = click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="A director's configuration: zones and vhosts that it lacks are errors.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")


def loaded(files: tuple[str, ...], as_json: bool = False, config: str | None = None) -> Any:
    """The settings of these files; what is wrong with them ends the program with code 2, all of it told."""
    from .load import Wrong, against, load

    try:
        found = load(files)
        if config is not None:
            from ..config import MalformedMessageError, read_director_config

            try:
                with open(config, encoding="utf-8") as file:
                    names = read_director_config(json.load(file)).names
            except (ValueError, MalformedMessageError) as malformed:
                click.echo(f"ironhinge: {config}: {malformed}", err=True)
                sys.exit(2)
            faults = against(found, names.zones, names.request_classes)
            if faults:
                raise Wrong(faults)
        return found
    except Wrong as wrong:
        if as_json:
            rows = [
                {**fault.at._asdict(), "path": fault.path, "found": fault.found, "expected": fault.expected}
                for fault in wrong.faults
            ]
            click.echo(json.dumps({"good": False, "faults": rows}))
        else:
            for fault in wrong.faults:
                click.echo(str(fault), err=True)
        sys.exit(2)
    except OSError as fault:
        click.echo(f"ironhinge: {fault.filename}: {fault.strerror}", err=True)
        sys.exit(2)


@settings.command()
@files_argument
@config_option
@json_option
def check(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Say all that is wrong with FILES taken together; code 0 if nothing is."""
    traffic = loaded(files, as_json, config).operations.traffic
    count = len(traffic.budgets) if traffic else 0
    if as_json:
        click.echo(json.dumps({"good": True, "traffic": traffic is not None, "budgets": count}))
    else:
        about = f"account of traffic, {count} budgets" if traffic else "nothing turned on"
        click.echo(f"{', '.join(files)}: good; {about}")


@settings.command()
@files_argument
@config_option
@json_option
def show(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Print what FILES come to, unified and with all defaults."""
    from .load import write

    plain = loaded(files, False, config).plain
    click.echo(json.dumps(plain) if as_json else write(plain), nl=as_json)


@settings.command()
def schema() -> None:
    """Print what may stand in settings."""
    from .load import schema_text

    click.echo(schema_text(), nl=False)
