"""The command line: reads what a director is told and starts it. Nothing is decided here."""

from __future__ import annotations

import json
import sys
from typing import Any, Callable, Optional, Tuple

import click
from loguru import logger

from . import __version__
from .facts import Assignment, Malformed, address, assignment
from .lab.cli import lab
from .settings.cli import settings
from .traffic.cli import traffic

LEVELS = ("debug", "info", "warning", "error")
LINE = "{time:HH:mm:ss.SSS} {level} {message}"

config_option = click.option(
    "--config", envvar="PROXY_CONFIG", required=True, help="The configuration, a JSON file [PROXY_CONFIG]."
)
name_option = click.option(
    "--name", envvar="PROXY_NAME", help="The director's name, instead of the configuration's [PROXY_NAME]."
)
listen_option = click.option(
    "--listen",
    envvar="PROXY_LISTEN",
    help="Where clients connect, address:port, instead of the configuration's [PROXY_LISTEN].",
)


operations_option = click.option(
    "--operations",
    multiple=True,
    type=click.Path(dir_okay=False),
    help="An operations file, or several that are read as one; see 'ironhinge settings schema'.",
)


def what_is_told(command: Callable[..., None]) -> Callable[..., None]:
    return config_option(name_option(listen_option(command)))


def read(config: str, name: Optional[str], listen: Optional[str]) -> Assignment:
    with open(config, encoding="utf-8") as file:
        told = assignment(json.load(file))
    if listen:
        told = told._replace(listen=address(listen, "option 'listen'"))
    return told._replace(name=name or told.name)


def read_or_end(config: str, name: Optional[str], listen: Optional[str]) -> Assignment:
    """The configuration; what is wrong with it ends the program with one line and exit code 2."""
    try:
        return read(config, name, listen)
    except (OSError, ValueError, Malformed) as fault:
        click.echo(f"ironhinge: {config}: {fault}", err=True)
        sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router before tiers of caches with one origin behind them."""


@main.command()
@what_is_told
@operations_option
@click.option("--log-level", type=click.Choice(LEVELS), default="info", show_default=True)
def serve(
    config: str, name: Optional[str], listen: Optional[str], operations: Tuple[str, ...], log_level: str
) -> None:
    """Serve clients until SIGTERM, then answer what was taken and end with code 0. At SIGHUP the
    configuration and the operations files are read again: the coordinator is followed to its new address, and
    new settings take effect whole, or not at all where something is wrong with them."""
    from .net.service import hold_signals, run

    hold_signals()

    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format=LINE, diagnose=False, backtrace=False)
    told = read_or_end(config, name, listen)
    books = open_books(told, operations)

    def read_again() -> Assignment:
        again = read(config, name, listen)
        if operations:
            follow_operations(again, operations, books)
        return again

    try:
        run(told, read_again, books)
    except* OSError as faults:  # the address is taken or not ours
        click.echo(f"ironhinge: {told.listen.host}:{told.listen.port}: {faults.exceptions[0]}", err=True)
        sys.exit(1)


def open_books(told: Assignment, operations: Tuple[str, ...]) -> Any:
    """What keeps the account, where the operations files turn it on; what is wrong with them ends the program
    with code 2, all of it told."""
    if not operations:
        return None
    from .settings.cli import loaded
    from .settings.load import against

    found = loaded(operations, False)
    faults = against(found, told.names.zones, told.names.vhosts)
    for fault in faults:
        click.echo(str(fault), err=True)
    if faults:
        sys.exit(2)
    if found.operations.traffic is None:
        return None
    from .net.director import Clock
    from .traffic.keeper import Keeper, Origin

    me = told.peers.index(told.peer_listen) if told.peer_listen in told.peers else 0
    who = Origin(told.name, told.names.zones, told.names.vhosts, me)
    return Keeper(found.operations.traffic, told.deployment, who, Clock.now, Clock.unix_ms)


def open_books_check(told: Assignment, operations: Tuple[str, ...]) -> None:
    """The same check without opening anything."""
    if operations:
        from .settings.cli import loaded
        from .settings.load import against

        faults = against(loaded(operations, False), told.names.zones, told.names.vhosts)
        for fault in faults:
            click.echo(str(fault), err=True)
        if faults:
            sys.exit(2)


def follow_operations(told: Assignment, operations: Tuple[str, ...], books: Any) -> None:
    """New settings take effect between two steps; a bad file changes nothing and is said."""
    from .settings.load import Wrong, against, load

    try:
        found = load(operations)
        faults = against(found, told.names.zones, told.names.vhosts)
    except (OSError, Wrong) as fault:
        return logger.error("SIGHUP: {}; the old settings hold", fault)
    for each in faults:
        logger.error("SIGHUP: {}; the old settings hold", each)
    if faults:
        return
    if (found.operations.traffic is None) is not (books is None):
        logger.warning("SIGHUP: turning the account on or off takes a restart")
    elif books is not None:
        books.follow(found.operations.traffic)
        logger.info("SIGHUP: the settings of {} hold from now on", ", ".join(operations))


@main.command()
@what_is_told
@operations_option
def check(config: str, name: Optional[str], listen: Optional[str], operations: Tuple[str, ...]) -> None:
    """Say what is wrong with a configuration and its operations files, or what they would start."""
    told = read_or_end(config, name, listen)
    open_books_check(told, operations)
    nodes = {listing.row.id for news in told.known for listing in getattr(news, "listings", ())}
    click.echo(
        f"{told.name or 'a director'} on {told.listen.host}:{told.listen.port}: "
        f"{len(told.names.vhosts)} vhosts, {len(nodes)} node{'s' * (len(nodes) != 1)} known, "
        f"{told.limits.sockets} descriptors, {told.limits.memory_mb} MB"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"ironhinge {__version__}")


main.add_command(settings)
main.add_command(traffic)
main.add_command(lab)
