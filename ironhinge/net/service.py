"""Owns the program's life: start, signals and stop.

It must never touch a req; it starts the director's tasks, keeps them running, and ends them.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..config import Address, DirectorConfig
from .client_connection import ClientConnection
from .clock import MILLISECOND, SECOND, Clock
from .connection_manager import ConnectionManager
from .director import Director
from .socket_calls import datagrams, listen
from .system_calls import Call, Remedy, remedy_for
from .timed_selector import TimedSelector

STILL_COMING = 0.7  # seconds after SIGTERM in which connections still come: 0.4 says the platform
LOOK = 0.02  # seconds between looks for clients that have all their answers
COLLECT = 20_000, 20, 20  # ordinary work leaves no cycles, and a pause grows with the module's tables
KILLED = (
    700 * MILLISECOND
)  # SIGKILL may come the longest client timeout, or LONGEST if that is less, and this
# long after SIGTERM
LONGEST = 3 * SECOND
WRITE_OUT = 200 * MILLISECOND  # kept of that for writing the last answers
LAST_ACCEPTS = 0.05  # seconds for taking the backlog, however short the client timeouts are
NOT_KILLED = 500 * MILLISECOND  # after that time the program ends by itself, whoever still holds a connection
LAST = 200 * MILLISECOND  # for clients to end their side then
AGAIN = 0.05  # seconds until a task that failed is started again
LISTEN_FOR = 2.0  # seconds in which an address that is taken may come free
HEARD = signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1


async def _keep(work: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Runs a task of the program for good: a fault in it is logged and must not end the others."""
    while True:
        try:
            return await work(*args)
        except Exception:
            logger.exception("a task of the program failed")
            await anyio.sleep(AGAIN)


def hold_signals() -> None:
    """From here on signals wait until they are served: one that comes early must neither end the program nor
    be missed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)


def run(
    told: DirectorConfig,
    read_again: Callable[[], DirectorConfig],
    books: Any = None,
    shelf: Any = None,
    runner: Any = None,
    clock: Clock | None = None,
) -> None:
    """Serves until SIGTERM; at SIGHUP the configuration is read again, at SIGUSR1 the latest events of
    connections and requests go to the log.
    """
    poll = TimedSelector()
    options = {"loop_factory": lambda: asyncio.SelectorEventLoop(poll)}
    anyio.run(_serve, told, read_again, poll, books, shelf, runner, clock or Clock(), backend_options=options)


async def _serve(
    told: DirectorConfig,
    read_again: Callable[[], DirectorConfig],
    poll: TimedSelector,
    books: Any,
    shelf: Any,
    runner: Any,
    clock: Clock,
) -> None:
    with anyio.open_signal_receiver(*HEARD) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
        async with anyio.create_task_group() as tasks:
            director, listener = await _start(told, poll, tasks, books, shelf, clock)
            if runner is not None:
                tasks.start_soon(_keep, runner.run)
            await _until_told_to_leave(signals, director, read_again, books)
            tasks.start_soon(_hear_signals_while_ending, signals, director)
            await _leave(director, listener)
            for each in (books, shelf):
                if each is not None:
                    each.close()
            tasks.cancel_scope.cancel()


async def _until_told_to_leave(
    signals: AsyncIterator[signal.Signals],
    director: Director,
    read_again: Callable[[], DirectorConfig],
    books: Any,
) -> None:
    async for number in signals:
        if number == signal.SIGUSR1:
            director.event_log.dump("SIGUSR1")
            continue
        if number != signal.SIGHUP:
            return
        if books is not None:
            director.manager.task_group.start_soon(books.follow_files)
        try:
            director.discovery.apply_config(read_again())
        except Exception as fault:  # whatever a file holds, it must not end the program
            logger.error("SIGHUP: {}; the old configuration holds", fault)


async def _hear_signals_while_ending(signals: AsyncIterator[signal.Signals], director: Director) -> None:
    """It is ending already: a second SIGTERM or a SIGHUP changes nothing."""
    async for number in signals:
        if number == signal.SIGUSR1:
            director.event_log.dump("SIGUSR1")


async def _listen(address: Address) -> socket.socket:
    """A listener; what is in the way for a moment only is waited for, then OSError tells what it is."""
    passing = Remedy.PAUSE, Remedy.DESCRIPTORS, Remedy.RETRY
    with anyio.move_on_after(LISTEN_FOR):
        while True:
            try:
                return listen(address)
            except OSError as fault:
                if remedy_for(Call.LISTEN, fault.errno or 0) not in passing:
                    raise
            await anyio.sleep(LOOK)
    return listen(address)


async def _start(
    told: DirectorConfig, poll: TimedSelector, tasks: TaskGroup, books: Any, shelf: Any, clock: Clock
) -> tuple[Director, socket.socket]:
    """What is known goes to the module first; then clients may come."""
    driver = ConnectionManager(tasks, told.limits, poll)
    director = Director(told, driver, books, shelf, clock)
    if books is not None:
        books.tell = director.gossip.broadcast
        tasks.start_soon(_keep, books.keep)
    if shelf is not None:
        tasks.start_soon(_keep, shelf.run)
    if told.gossip_listen is not None:
        director.gossip.sock = datagrams(told.gossip_listen)
    director.start()
    listener = await _listen(told.listen)
    for work in (
        director.run_timers,
        director.run_maintenance,
        director.discovery.follow,
        director.gossip.receive_loop,
    ):
        tasks.start_soon(_keep, work)
    tasks.start_soon(
        _keep, driver.accept, listener, lambda: ClientConnection(director), director.reclaim_descriptor
    )
    gc.collect()
    gc.freeze()  # what lives for good is not looked at again
    gc.set_threshold(*COLLECT)
    logger.info("{} serves on {}:{}", told.name or "director", *told.listen)
    return director, listener


async def _leave(director: Director, listener: socket.socket) -> None:
    """Takes and answers what still comes, and all before the program may be ended by force. Then the backlog
    is taken and closed. Connections stay open for as long as their clients hold them, since requests come on
    them until the end: later ones are refused at once. The program ends when no client is left, or some time
    after it should have been killed.
    """
    clock = director.clock
    logger.info("leaving: {}", director.summary())
    killed = min(director.router.longest_client_timeout, LONGEST) + KILLED
    began = clock.now()
    director.begin_shutdown(killed - WRITE_OUT)
    await anyio.sleep(STILL_COMING)
    left = max(LAST_ACCEPTS, clock.seconds(began + killed - WRITE_OUT - clock.now()))
    await director.manager.close_listener(
        listener, lambda: ClientConnection(director), director.reclaim_descriptor, left
    )
    director.stop_admitting()
    director.close_unused_clients()
    director.manager.flush()
    while director.clients and clock.now() < began + killed + NOT_KILLED:
        await anyio.sleep(LOOK)
    director.close_all_clients()
    with anyio.move_on_after(clock.seconds(LAST)):
        while director.clients:
            await anyio.sleep(LOOK)
    logger.info("left: {}", director.summary())
