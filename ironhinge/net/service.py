"""The director's process: start-up, signals and shutdown.

It starts the director's tasks, restarts them if they fail, and stops them. It does not handle requests.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..config import Address, DirectorConfig
from .client_connection import ClientConnection
from .clock import Clock
from .connection_manager import ConnectionManager
from .director import Director
from .extensions import BackgroundRunner, LocalCopyStore, TrafficAccount
from .initial_sync import wait_for_initial_sync
from .shutdown import drain
from .socket_calls import listen, open_datagram_socket
from .system_calls import Call, Remedy, remedy_for
from .timed_selector import TimedSelector

# Garbage collection is rare: normal work creates no reference cycles, and a collection takes longer as the
# router's tables grow.
GC_THRESHOLDS = 20_000, 20, 20
RESTART_PAUSE = 0.05  # seconds before a failed task is started again
LISTEN_TIMEOUT = 2.0  # seconds during which a transient error, such as an address in use, is retried
LISTEN_RETRY_PAUSE = 0.02  # seconds
TRANSIENT_REMEDIES = Remedy.PAUSE, Remedy.DESCRIPTORS, Remedy.RETRY
STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of that file, in pages
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1


@dataclass(slots=True)
class Extensions:
    """The optional components that operators have enabled."""

    traffic_account: TrafficAccount | None = None
    local_store: LocalCopyStore | None = None
    runner: BackgroundRunner | None = None

    def close(self) -> None:
        """Closes the components, which writes their unsaved data."""
        for extension in (self.traffic_account, self.local_store):
            if extension is not None:
                extension.close()


@dataclass(slots=True)
class Service:
    """The configuration and components of one run of the process."""

    config: DirectorConfig
    read_config: Callable[[], DirectorConfig]  # reads the configuration file again
    extensions: Extensions = field(default_factory=Extensions)
    clock: Clock = field(default_factory=Clock)
    selector: TimedSelector = field(default_factory=TimedSelector)


def resident_bytes() -> int | None:
    """Returns the resident bytes of this process; None if they are unknown."""
    try:
        return int(STATM.read_text(encoding="ascii").split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


async def _restart_on_failure(task: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Runs a task, and starts it again after an exception, which is logged and must not stop other tasks."""
    while True:
        try:
            return await task(*args)
        except Exception:  # noqa: BLE001 - must not stop the other tasks
            logger.exception("task_failed task={}", getattr(task, "__qualname__", task))
            await anyio.sleep(RESTART_PAUSE)


def block_signals() -> None:
    """Blocks the handled signals until `run` can receive them.

    A signal during start-up must neither end the process nor be lost.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def run(service: Service) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully.

    SIGHUP reads the configuration again; SIGUSR1 writes the counters and the latest events of connections
    and requests to the log.
    """
    options = {"loop_factory": lambda: asyncio.SelectorEventLoop(service.selector)}
    anyio.run(_serve, service, backend_options=options)


async def _serve(service: Service) -> None:
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        async with anyio.create_task_group() as tasks:
            director = _start(service, tasks)
            if await _may_serve(signals, director, service):
                await _serve_clients(signals, director, service)
            service.extensions.close()
            tasks.cancel_scope.cancel()


async def _may_serve(signals: AsyncIterator[signal.Signals], director: Director, service: Service) -> bool:
    """Waits for the discovery service before clients are served; returns whether no shutdown came first."""
    if service.config.discovery_address is None:
        return True
    is_shutdown = False

    async def wait_for_discovery() -> None:
        """Waits, and then ends the handling of signals."""
        if not await wait_for_initial_sync(director.discovery.progress, director.clock):
            director.diagnostics.counters["starts_before_caught_up"] += 1
        waiting.cancel_scope.cancel()

    async with anyio.create_task_group() as waiting:
        waiting.start_soon(wait_for_discovery)
        await _handle_signals_until_shutdown(signals, director, service)
        is_shutdown = True
        waiting.cancel_scope.cancel()
    if is_shutdown:
        logger.info("shutdown_before_serving {}", director.summary())
    return not is_shutdown


async def _serve_clients(
    signals: AsyncIterator[signal.Signals], director: Director, service: Service
) -> None:
    """Accepts clients until SIGTERM or SIGINT, then shuts down gracefully."""
    manager = director.manager
    _limit_resources(manager)
    listener = await _listen(service.config.listen)
    manager.on_listening()
    logger.info(
        "director_started name={} listen={}:{}", service.config.name or "director", *service.config.listen
    )
    tasks = manager.task_group
    tasks.start_soon(
        _restart_on_failure,
        manager.accept,
        listener,
        lambda: ClientConnection(director),
        director.clients.reclaim_descriptor,
    )
    if service.extensions.runner is not None:
        tasks.start_soon(_restart_on_failure, service.extensions.runner.run)
    await _handle_signals_until_shutdown(signals, director, service)
    tasks.start_soon(_handle_signals_while_draining, signals, director)
    await drain(director, listener)


async def _handle_signals_until_shutdown(
    signals: AsyncIterator[signal.Signals], director: Director, service: Service
) -> None:
    async for number in signals:
        if number == signal.SIGUSR1:
            _log_status(director)
        elif number == signal.SIGHUP:
            _reload(director, service)
        else:
            return


def _log_status(director: Director) -> None:
    logger.info("counters {}", director.summary())
    director.event_log.dump("SIGUSR1")


def _reload(director: Director, service: Service) -> None:
    account = service.extensions.traffic_account
    if account is not None:
        director.manager.task_group.start_soon(account.reload)
    try:
        director.discovery.apply_config(service.read_config())
    except Exception as error:  # noqa: BLE001 - no content of the file may stop the process
        logger.error("config_reload_failed kept=old error={!r}", str(error))


async def _handle_signals_while_draining(signals: AsyncIterator[signal.Signals], director: Director) -> None:
    """Handles SIGUSR1 during shutdown; SIGHUP and a second SIGTERM or SIGINT are ignored."""
    async for number in signals:
        if number == signal.SIGUSR1:
            _log_status(director)


async def _listen(address: Address) -> socket.socket:
    """Opens the listener; retries transient errors for `LISTEN_TIMEOUT`.

    Raises:
        OSError: The address is not available.
    """
    with anyio.move_on_after(LISTEN_TIMEOUT):
        while True:
            try:
                return listen(address)
            except OSError as error:
                if remedy_for(Call.LISTEN, error.errno or 0) not in TRANSIENT_REMEDIES:
                    raise
            await anyio.sleep(LISTEN_RETRY_PAUSE)
    return listen(address)


def _start(service: Service, tasks: TaskGroup) -> Director:
    """Creates the director and starts its tasks, except that it takes no connections yet."""
    config, extensions = service.config, service.extensions
    manager = ConnectionManager(tasks, config.limits, service.selector)
    director = Director(config, manager, extensions.traffic_account, extensions.local_store, service.clock)
    if extensions.traffic_account is not None:
        extensions.traffic_account.send_gossip = director.gossip.broadcast
        tasks.start_soon(_restart_on_failure, extensions.traffic_account.run)
    if extensions.local_store is not None:
        tasks.start_soon(_restart_on_failure, extensions.local_store.run)
    if config.gossip_listen is not None:
        director.gossip.sock = open_datagram_socket(config.gossip_listen)
    director.start()
    for task in (
        director.run_timers,
        director.run_maintenance,
        director.discovery.follow,
        director.gossip.receive_loop,
    ):
        tasks.start_soon(_restart_on_failure, task)
    return director


def _limit_resources(manager: ConnectionManager) -> None:
    """Excludes the objects of the start from garbage collection; limits connections by the memory left."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    manager.memory.read_resident = resident_bytes
    manager.limit_connections_to_memory()
