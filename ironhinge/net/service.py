"""Owns the program's life: start, signals and stop.

It must never touch a req; it starts the director's tasks, keeps them running, and ends them.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from typing import Any, AsyncIterator, Awaitable, Callable, Optional, Tuple

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..facts import Assignment
from .director import MS, SECOND, Director
from .links import Driver, Poll, datagrams, listen
from .parties import Client

STILL_COMING = 0.7  # seconds after SIGTERM in which connections, and reqs on them, still come: 0.6 says the
# platform
LOOK = 0.02  # seconds between looks for clients that have all their answers
COLLECT = 20_000, 20, 20  # ordinary work leaves no cycles, and a pause grows with the module's tables
KILLED = 700 * MS  # SIGKILL may come the longest client timeout, or LONGEST if that is less, and this long
# after SIGTERM
LONGEST = 3 * SECOND
WRITE_OUT = 200 * MS  # kept of that for writing the last answers
LAST = 100 * MS  # kept of that for the end itself
AGAIN = 0.05  # seconds until a task that failed is started again
HEARD = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


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
    be missed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)


def run(
    told: Assignment,
    read_again: Callable[[], Assignment],
    books: Any = None,
    shelf: Any = None,
    runner: Any = None,
) -> None:
    """Serves until SIGTERM; at SIGHUP the configuration is read again."""
    poll = Poll()
    options = {"loop_factory": lambda: asyncio.SelectorEventLoop(poll)}
    anyio.run(_serve, told, read_again, poll, books, shelf, runner, backend_options=options)


async def _serve(
    told: Assignment, read_again: Callable[[], Assignment], poll: Poll, books: Any, shelf: Any, runner: Any
) -> None:
    with anyio.open_signal_receiver(*HEARD) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
        async with anyio.create_task_group() as tasks:
            director, listener = _start(told, poll, tasks, books, shelf)
            if runner is not None:
                tasks.start_soon(_keep, runner.run)
            await _until_told_to_leave(signals, director, read_again, books)
            tasks.start_soon(_until_told_to_leave, signals, None, read_again, books)  # it is ending already
            await _leave(director, listener)
            for each in (books, shelf):
                if each is not None:
                    each.close()
            tasks.cancel_scope.cancel()


async def _until_told_to_leave(
    signals: AsyncIterator[signal.Signals],
    director: Optional[Director],
    read_again: Callable[[], Assignment],
    books: Any,
) -> None:
    async for number in signals:
        if director is None:
            continue
        if number != signal.SIGHUP:
            return
        if books is not None:
            director.driver.tasks.start_soon(books.follow_files)
        try:
            director.follow_anew(read_again())
        except Exception as fault:  # whatever a file holds, it must not end the program
            logger.error("SIGHUP: {}; the old configuration holds", fault)


def _start(
    told: Assignment, poll: Poll, tasks: TaskGroup, books: Any, shelf: Any
) -> Tuple[Director, socket.socket]:
    """What is known goes to the module first; then clients may come."""
    driver = Driver(tasks, told.limits, poll)
    director = Director(told, driver, books, shelf)
    if books is not None:
        books.tell = director.tell_peers
        tasks.start_soon(_keep, books.keep)
    if shelf is not None:
        tasks.start_soon(_keep, shelf.run)
    if told.peer_listen is not None:
        director.peers = datagrams(told.peer_listen)
    director.start()
    listener = listen(told.listen)
    for work in (director.keep_time, director.keep_watch, director.follow, director.hear_peers):
        tasks.start_soon(_keep, work)
    tasks.start_soon(_keep, driver.accept, listener, lambda: Client(director), director.make_room)
    gc.collect()
    gc.freeze()  # what lives for good is not looked at again
    gc.set_threshold(*COLLECT)
    logger.info("{} serves on {}:{}", told.name or "director", *told.listen)
    return director, listener


async def _leave(director: Director, listener: socket.socket) -> None:
    """Takes and answers what still comes, for as long as the platform says that it does, and all before it
    may end the program by force. Then the backlog is taken and closed, each connection is ended in order once
    its last answer is written, and the program ends when no client is left."""
    logger.info("leaving: {}", director.report())
    killed = min(director.router.longest, LONGEST) + KILLED
    director.leave(killed - WRITE_OUT)
    with anyio.move_on_after(director.clock.seconds(killed - LAST)):
        await anyio.sleep(STILL_COMING)
        director.driver.take_the_last(listener, lambda: Client(director))
        while not director.part_idle():
            await anyio.sleep(LOOK)
    logger.info("left: {}", director.report())
