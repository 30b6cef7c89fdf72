"""The command line: reads the configuration of a director and starts the director."""

from __future__ import annotations

import gc
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
# Packages whose `cli` module defines a command of the package's name.
COMMAND_PACKAGES = ("disk", "jobs", "lab", "settings", "traffic")

EXIT_FAILED = 1
EXIT_INVALID_CONFIG = 2

CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])

config_option = click.option(
    "--config", envvar="PROXY_CONFIG", required=True, help="The configuration file, in JSON [PROXY_CONFIG]."
)
name_option = click.option(
    "--name", envvar="PROXY_NAME", help="The director's name; overrides the configuration [PROXY_NAME]."
)
listen_option = click.option(
    "--listen",
    envvar="PROXY_LISTEN",
    help="The address:port to accept clients on; overrides the configuration [PROXY_LISTEN].",
)
operations_option = click.option(
    "--operations",
    multiple=True,
    type=click.Path(dir_okay=False),
    help="An operations file; may be repeated, the files are read as one. See 'ironhinge settings schema'.",
)


def config_options(command: CommandFunction) -> CommandFunction:
    """Adds the options for a director's configuration to a command."""
    return config_option(name_option(listen_option(command)))


class OperationsError(ValueError):
    """The operations files are unreadable or invalid; the text says why."""


@dataclass(slots=True, frozen=True)
class ConfigSource:
    """The source of a director's configuration: a file and the options that override it.

    Attributes:
        path: The configuration file.
        name: The director's name; None or empty: from the file.
        listen: The address and port to listen on; None or empty: from the file.
    """

    path: str
    name: str | None
    listen: str | None

    def read(self) -> DirectorConfig:
        """Reads the configuration.

        Raises:
            OSError: The file can't be read.
            ValueError: The file is not valid JSON in UTF-8.
            MalformedMessageError: The configuration or the option `--listen` is invalid.
        """
        config = read_director_config(json.loads(Path(self.path).read_text(encoding="utf-8")))
        if self.listen:
            config = config._replace(listen=parse_address(self.listen, "option 'listen'"))
        return config._replace(name=self.name or config.name)

    def read_or_exit(self) -> DirectorConfig:
        """Reads the configuration; an error is printed in one line and ends the program with exit code 2."""
        try:
            return self.read()
        except (OSError, ValueError, MalformedMessageError) as error:
            click.echo(f"ironhinge: {self.path}: {error}", err=True)
            sys.exit(EXIT_INVALID_CONFIG)


class LazyGroup(click.Group):
    """A command group that imports a package's command on use, so that `serve` loads no unused package."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted([*super().list_commands(ctx), *COMMAND_PACKAGES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command of that name, or None if there is none."""
        if cmd_name in COMMAND_PACKAGES:
            command: click.Command = getattr(import_module(f".{cmd_name}.cli", __package__), cmd_name)
            return command
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router in front of tiers of caches with one origin behind them."""


def read_operations(config: str, operations: tuple[str, ...]) -> Any:
    """Reads the operations files.

    Args:
        config: Path of the configuration file.
        operations: Paths of the operations files.

    Returns:
        The validated operations, or None if there are no files.

    Raises:
        OperationsError: The files are unreadable or invalid.
    """
    if not operations:
        return None
    from .settings.errors import IsolatedReadError
    from .settings.isolated import load_isolated

    try:
        return load_isolated(operations, config)
    except IsolatedReadError as error:
        raise OperationsError(str(error)) from None


def read_operations_or_exit(config: str, operations: tuple[str, ...]) -> Any:
    """Reads the operations files; an error is printed and ends the program with exit code 2."""
    try:
        return read_operations(config, operations)
    except OperationsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_CONFIG)


def open_runner(operations: Any, clock: Clock) -> Any:
    """Returns the runner of background jobs, or None if the operations turn on no extension that has any."""
    if operations is None or (operations.traffic is None and operations.disk is None):
        return None
    from .jobs.messages import Budgets
    from .jobs.runner import Runner

    budgets = Budgets(float(operations.disk.background)) if operations.disk is not None else Budgets()
    return Runner(budgets, clock.now)


def open_traffic_account(config: DirectorConfig, operations: Any, runner: Any, clock: Clock) -> Any:
    """Returns the account of traffic between zones, or None if the operations do not turn it on."""
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
    """Opens the director's local store on disk, or returns None if the operations do not turn it on.

    If the folder can't be opened, the error is printed and ends the program with exit code 1.
    """
    if operations is None or operations.disk is None:
        return None
    from .disk.errors import DiskError
    from .disk.tier import DiskTier, TierContext

    follows_discovery = config.discovery_address is not None
    context = TierContext(config.name, config.deployment, clock.now, clock.unix_ms, runner, follows_discovery)
    try:
        return DiskTier(operations.disk, context)
    except (OSError, DiskError) as error:
        click.echo(f"ironhinge: {operations.disk.folder}: {error}", err=True)
        sys.exit(EXIT_FAILED)


def open_extensions(
    config: DirectorConfig, config_path: str, operations_paths: tuple[str, ...], clock: Clock
) -> Extensions:
    """Creates the extensions of the director that the operations files turn on."""
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
    """Serve clients until SIGTERM, then answer all accepted requests and exit with code 0.

    On SIGHUP, the configuration and the operations files are read again: a new address of the discovery
    service is used, and new settings are applied as a whole, or not at all if any of them is invalid.
    """
    gc.disable()  # a start makes no garbage; `run` enables it
    from .net.clock import Clock
    from .net.service import Service, block_signals, run

    block_signals()

    logger.remove()
    logger.add(sys.stderr, level=log_level.upper(), format=LOG_FORMAT, diagnose=False, backtrace=False)
    source = ConfigSource(config, name, listen)
    director_config = source.read_or_exit()
    clock = Clock()
    extensions = open_extensions(director_config, config, operations, clock)
    try:
        run(Service(director_config, source.read, extensions, clock))
    except* OSError as errors:  # the address is in use or not local
        host, port = director_config.listen
        click.echo(f"ironhinge: {host}:{port}: {errors.exceptions[0]}", err=True)
        sys.exit(EXIT_FAILED)


@main.command()
@config_options
@operations_option
def check(config: str, name: str | None, listen: str | None, operations: tuple[str, ...]) -> None:
    """Validate a configuration and its operations files; print the error or what they would start."""
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
