"""The command line."""

from __future__ import annotations

import json
import sys
from typing import Any

import anyio
import click
from loguru import logger

from . import __version__
from .facts import Assignment, Malformed, assignment


def read(path: str) -> Assignment:
    """The configuration of a director; what is wrong with it ends the program with a line and code 2."""
    try:
        with open(path, encoding="utf-8") as file:
            return assignment(json.load(file))
    except (OSError, ValueError, Malformed) as fault:
        click.echo(f"ironhinge: {path}: {fault}", err=True)
        sys.exit(2)


def set_log(level: str) -> None:
    logger.remove()
    logger.add(sys.stderr, level=level.upper(), format="{time:HH:mm:ss.SSS} {level} {message}")


@click.group()
def main() -> None:
    """A router before tiers of caches with one origin behind them."""


@main.command()
@click.option("--config", envvar="PROXY_CONFIG", required=True, help="The configuration, as JSON.")
@click.option("--log-level", default="info", show_default=True)
def serve(config: str, log_level: str) -> Any:
    """Serve clients as the configuration says."""
    from .net.service import run

    set_log(log_level)
    anyio.run(run, read(config))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"ironhinge {__version__}")
