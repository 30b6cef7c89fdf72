"""The command line: reads a director's configuration and starts it. Nothing is decided here."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click
from loguru import logger

from . import __version__
from .config import (
    DirectorConfig,
    EndpointListUpdate,
    MalformedMessageError,
    parse_address,
    read_director_config,
)

if TYPE_CHECKING:
    from .net.clock import Clock
    from .net.service import Extensions

LOG_LEVELS = ("debug", "info", "warning", "error")
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
COMMAND_PACKAGES = ("disk", "jobs", "lab", "settings", "traffic")  # packages that bring commands of their own

EXIT_FAILED = 1
EXIT_INVALID_CONFIG = 2

CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])

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


def config_options(command: CommandFunction) -> CommandFunction:
    """Adds the options that name a director's configuration."""
    return config_option(name_option(listen_option(command)))


class OperationsError(ValueError):
    """Operations files that can't be used; the text says what is wrong with them."""


@dataclass(slots=True, frozen=True)
class ConfigSource:
    """Where a director's configuration comes from; options stand above the file."""

    path: str
    name: str | None
    listen: str | None

    def read(self) -> DirectorConfig:
        """Reads the configuration.

        Raises `OSError`, `ValueError` or `MalformedMessageError` where it can't be used.
        """
        config = read_director_config(json.loads(Path(self.path).read_text(encoding="utf-8")))
        if self.listen:
            config = config._replace(listen=parse_address(self.listen, "option 'listen'"))
        return config._replace(name=self.name or config.name)

    def read_or_exit(self) -> DirectorConfig:
        """Reads the configuration; what is wrong with it ends the program with one line and exit code 2."""
        try:
            return self.read()
        except (OSError, ValueError, MalformedMessageError) as error:
            click.echo(f"ironhinge: {self.path}: {error}", err=True)
            sys.exit(EXIT_INVALID_CONFIG)


class LazyGroup(click.Group):
    """Imports a package's commands when they are called: `serve` starts with nothing that is not on."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands."""
        return sorted([*super().list_commands(ctx), *COMMAND_PACKAGES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of a name, None where there is none."""
        if cmd_name in COMMAND_PACKAGES:
            command: click.Command = getattr(import_module(f".{cmd_name}.cli", __package__), cmd_name)
            return command
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router before tiers of caches with one origin behind them."""


def read_operations(config: str, operations: tuple[str, ...]) -> Any:
    """The operators' records, None without files; `OperationsError` says what is wrong with them."""
    if not operations:
        return None
    from .settings.errors import IsolatedReadError
    from .settings.isolated import load_isolated

    try:
        return load_isolated(operations, config)
    except IsolatedReadError as error:
        raise OperationsError(str(error)) from None


def read_operations_or_exit(config: str, operations: tuple[str, ...]) -> Any:
    """The same; what is wrong ends the program with code 2."""
    try:
        return read_operations(config, operations)
    except OperationsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_CONFIG)


def open_runner(operations: Any, clock: Clock) -> Any:
    """What runs background work, where the operations bring any."""
    if operations is None or (operations.traffic is None and operations.disk is None):
        return None
    from .jobs.messages import Budgets
    from .jobs.runner import Runner

    budgets = Budgets(float(operations.disk.background)) if operations.disk is not None else Budgets()
    return Runner(budgets, clock.now)


def open_traffic_account(config: DirectorConfig, operations: Any, runner: Any, clock: Clock) -> Any:
    """The account of traffic between zones, where the operations turn it on."""
    if operations is None or operations.traffic is None:
        return None
    from .traffic.service import AccountService, Clocks
    from .traffic.types import DirectorIdentity

    peers = config.gossip_peers
    peer_index = peers.index(config.gossip_listen) if config.gossip_listen in peers else 0
    identity = DirectorIdentity(config.name, config.names.zones, config.names.request_classes, peer_index)
    clocks = Clocks(clock.now, clock.unix_ms)
    return AccountService(operations.traffic, config.deployment, identity, clocks, runner)


def open_local_store(config: DirectorConfig, operations: Any, runner: Any, clock: Clock) -> Any:
    """The director's own copies on disk, where the operations turn them on.

    A folder that can't be had ends the program with code 1.
    """
    if operations is None or operations.disk is None:
        return None
    from .disk.errors import DiskError
    from .disk.tier import DiskTier, TierContext

    context = TierContext(config.name, config.deployment, clock.now, clock.unix_ms, runner)
    try:
        return DiskTier(operations.disk, context)
    except (OSError, DiskError) as error:
        click.echo(f"ironhinge: {operations.disk.folder}: {error}", err=True)
        sys.exit(EXIT_FAILED)


def open_extensions(
    config: DirectorConfig, config_path: str, operations_paths: tuple[str, ...], clock: Clock
) -> Extensions:
    """What the operators' files turn on beside the director."""
    from .net.service import Extensions

    operations = read_operations_or_exit(config_path, operations_paths)
    runner = open_runner(operations, clock)
    account = open_traffic_account(config, operations, runner, clock)
    store = open_local_store(config, operations, runner, clock)
    if account is not None:
        account.read_settings = lambda: read_operations(config_path, operations_paths)
    return Extensions(account, store, runner)


@main.command()
@config_options
@operations_option
@click.option("--log-level", type=click.Choice(LOG_LEVELS), default="info", show_default=True)
def serve(
    config: str, name: str | None, listen: str | None, operations: tuple[str, ...], log_level: str
) -> None:
    """Serve clients until SIGTERM, then answer what was taken and end with code 0.

    At SIGHUP the configuration and the operations files are read again: the discovery service is followed to
    its new address, and new settings take effect whole, or not at all where something is wrong with them.
    """
    from .net.clock import Clock
    from .net.service import Service, hold_signals, run

    hold_signals()

    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format=LOG_FORMAT, diagnose=False, backtrace=False)
    source = ConfigSource(config, name, listen)
    director_config = source.read_or_exit()
    clock = Clock()
    extensions = open_extensions(director_config, config, operations, clock)
    try:
        run(Service(director_config, source.read, extensions, clock))
    except* OSError as errors:  # the address is taken or not ours
        host, port = director_config.listen
        click.echo(f"ironhinge: {host}:{port}: {errors.exceptions[0]}", err=True)
        sys.exit(EXIT_FAILED)


@main.command()
@config_options
@operations_option
def check(config: str, name: str | None, listen: str | None, operations: tuple[str, ...]) -> None:
    """Say what is wrong with a configuration and its operations files, or what they would start."""
    director_config = ConfigSource(config, name, listen).read_or_exit()
    read_operations_or_exit(config, operations)
    endpoint_lists = [update for update in director_config.known if isinstance(update, EndpointListUpdate)]
    endpoint_ids = {record.endpoint.id for update in endpoint_lists for record in update.records}
    host, port = director_config.listen
    limits = director_config.limits
    click.echo(
        f"{director_config.name or 'a director'} on {host}:{port}: "
        f"{len(director_config.names.request_classes)} vhosts, "
        f"{len(endpoint_ids)} node{'s' * (len(endpoint_ids) != 1)} known, "
        f"{limits.descriptors} descriptors, {limits.memory_mb} MB"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"ironhinge {__version__}")
