"""The commands of `ironhinge settings`. They only read files."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:  # at run time only the commands that need the parser import it
    from .errors import Diagnostic
    from .load import LoadedSettings

EXIT_INVALID = 2


@click.group()
def settings() -> None:
    """Check operators' settings, show them with all defaults, or print their schema."""


files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
config_option = click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="A director's configuration file: zones and vhosts that are not in it are errors.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")


def load_or_exit(files: Sequence[str], as_json: bool = False, config: str | None = None) -> LoadedSettings:
    """Loads settings, or prints all diagnostics and exits with `EXIT_INVALID`.

    Args:
        files: The names of the settings files.
        as_json: Whether diagnostics are printed as a JSON object.
        config: The name of a director's configuration file; only its zones and vhosts are valid names.
    """
    from .errors import InvalidSettingsError
    from .load import load

    try:
        loaded_settings = load(files)
        if config is not None:
            _check_against_config(loaded_settings, config)
    except InvalidSettingsError as error:
        _print_diagnostics(error.diagnostics, as_json)
        sys.exit(EXIT_INVALID)
    except OSError as error:
        _exit_invalid(f"{error.filename}: {error.strerror}")
    return loaded_settings


loaded = load_or_exit  # the earlier name, which `ironhinge.traffic.cli` imports


@settings.command()
@files_argument
@config_option
@json_option
def check(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Print all errors in FILES taken together; exit with code 0 if there are none."""
    traffic = load_or_exit(files, as_json, config).operations.traffic
    count = len(traffic.budgets) if traffic else 0
    if as_json:
        click.echo(json.dumps({"good": True, "traffic": traffic is not None, "budgets": count}))
    else:
        summary = f"traffic accounting with {count} budgets" if traffic else "traffic accounting is off"
        click.echo(f"{', '.join(files)}: valid; {summary}")


@settings.command()
@files_argument
@config_option
@json_option
def show(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Print the settings that FILES define together, with all defaults."""
    from .printer import print_settings

    plain = load_or_exit(files, False, config).plain
    click.echo(json.dumps(plain) if as_json else print_settings(plain), nl=as_json)


@settings.command()
def schema() -> None:
    """Print the schema of settings."""
    from .load import schema_text

    click.echo(schema_text(), nl=False)


def _check_against_config(loaded_settings: LoadedSettings, config: str) -> None:
    from ..config import MalformedMessageError, read_director_config
    from .errors import InvalidSettingsError
    from .validation import check_names

    try:
        # A Path would normalise the file name in error messages.
        with open(config, encoding="utf-8") as file:  # noqa: PTH123 - see above
            names = read_director_config(json.load(file)).names
    except (ValueError, MalformedMessageError) as error:
        _exit_invalid(f"{config}: {error}")
    diagnostics = check_names(
        loaded_settings.operations, loaded_settings.locations, names.zones, names.request_classes
    )
    if diagnostics:
        raise InvalidSettingsError(diagnostics)


def _print_diagnostics(diagnostics: Sequence[Diagnostic], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps({"good": False, "faults": [_to_json(each) for each in diagnostics]}))
        return
    for diagnostic in diagnostics:
        click.echo(str(diagnostic), err=True)


def _to_json(diagnostic: Diagnostic) -> dict[str, Any]:
    return {
        "file": diagnostic.location.file,
        "line": diagnostic.location.line,
        "column": diagnostic.location.column,
        "path": diagnostic.path,
        "found": diagnostic.found,
        "expected": diagnostic.expected,
    }


def _exit_invalid(message: str) -> NoReturn:
    click.echo(f"ironhinge: {message}", err=True)
    sys.exit(EXIT_INVALID)
