"""The command line: reads what a director is told and starts it. Nothing is decided here."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any

import click
from loguru import logger

from . import __version__
from .facts import Assignment, Malformed, address, assignment

LEVELS = ("debug", "info", "warning", "error")
GROUPS = ("disk", "jobs", "lab", "settings", "traffic")  # packages that bring commands of their own
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


def read(config: str, name: str | None, listen: str | None) -> Assignment:
    with open(config, encoding="utf-8") as file:
        told = assignment(json.load(file))
    if listen:
        told = told._replace(listen=address(listen, "option 'listen'"))
    return told._replace(name=name or told.name)


def read_or_end(config: str, name: str | None, listen: str | None) -> Assignment:
    """The configuration; what is wrong with it ends the program with one line and exit code 2."""
    try:
        return read(config, name, listen)
    except (OSError, ValueError, Malformed) as fault:
        click.echo(f"ironhinge: {config}: {fault}", err=True)
        sys.exit(2)


class Commands(click.Group):
    """Imports a package's commands when they are called: `serve` starts with nothing that is not on."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *GROUPS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in GROUPS:
            return getattr(import_module(f".{cmd_name}.cli", __package__), cmd_name)
        return super().get_command(ctx, cmd_name)


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router before tiers of caches with one origin behind them."""


def read_operations(config: str, operations: tuple[str, ...]) -> Any:
    """The operators' records, or none without files; ValueError says what is wrong with them."""
    if not operations:
        return None
    from .settings.apart import Refused, read

    try:
        return read(operations, config)
    except Refused as fault:
        raise ValueError(str(fault)) from None


def operations_or_end(config: str, operations: tuple[str, ...]) -> Any:
    """The same; what is wrong ends the program with code 2."""
    try:
        return read_operations(config, operations)
    except ValueError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)


def open_runner(operations: Any, clock: Any) -> Any:
    """What runs background work, where the operations bring any."""
    if operations is None or (operations.traffic is None and operations.disk is None):
        return None
    from .jobs.plan import Budgets
    from .jobs.runner import Runner

    budgets = Budgets(float(operations.disk.background)) if operations.disk is not None else Budgets()
    return Runner(budgets, clock.now)


def open_books(told: Assignment, operations: Any, runner: Any, clock: Any) -> Any:
    """What keeps the account, where the operations turn it on."""
    if operations is None or operations.traffic is None:
        return None
    from .traffic.service import AccountService, Clocks
    from .traffic.types import DirectorIdentity

    me = told.peers.index(told.peer_listen) if told.peer_listen in told.peers else 0
    identity = DirectorIdentity(told.name, told.names.zones, told.names.vhosts, me)
    clocks = Clocks(clock.now, clock.unix_ms)
    return AccountService(operations.traffic, told.deployment, identity, clocks, runner)


def open_shelf(told: Assignment, operations: Any, runner: Any, clock: Any) -> Any:
    """The tier of copies on disk, where the operations turn it on; a folder that can't be had ends the
    program.
    """
    if operations is None or operations.disk is None:
        return None
    from .disk.files import Locked
    from .disk.store import Foreign
    from .disk.tier import Tier

    try:
        return Tier(operations.disk, told.deployment, told.name, clock.now, clock.unix_ms, runner)
    except (OSError, Locked, Foreign) as fault:
        click.echo(f"ironhinge: {operations.disk.folder}: {fault}", err=True)
        sys.exit(1)


@main.command()
@what_is_told
@operations_option
@click.option("--log-level", type=click.Choice(LEVELS), default="info", show_default=True)
def serve(
    config: str, name: str | None, listen: str | None, operations: tuple[str, ...], log_level: str
) -> None:
    """Serve clients until SIGTERM, then answer what was taken and end with code 0. At SIGHUP the
    configuration and the operations files are read again: the coordinator is followed to its new address, and
    new settings take effect whole, or not at all where something is wrong with them.
    """
    from .net.clock import Clock
    from .net.service import hold_signals, run

    hold_signals()

    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format=LINE, diagnose=False, backtrace=False)
    told = read_or_end(config, name, listen)
    wanted = operations_or_end(config, operations)
    clock = Clock()
    runner = open_runner(wanted, clock)
    books, shelf = open_books(told, wanted, runner, clock), open_shelf(told, wanted, runner, clock)
    if books is not None:
        books.reread = lambda: read_operations(config, operations)
    try:
        run(told, lambda: read(config, name, listen), books, shelf, runner, clock)
    except* OSError as faults:  # the address is taken or not ours
        click.echo(f"ironhinge: {told.listen.host}:{told.listen.port}: {faults.exceptions[0]}", err=True)
        sys.exit(1)


@main.command()
@what_is_told
@operations_option
def check(config: str, name: str | None, listen: str | None, operations: tuple[str, ...]) -> None:
    """Say what is wrong with a configuration and its operations files, or what they would start."""
    told = read_or_end(config, name, listen)
    operations_or_end(config, operations)
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
