"""Owns the program's life: start, signals and stop.

It must never touch a req; it starts the director's tasks, keeps them running, and ends them.
"""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import Any, Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..facts import Assignment
from .director import Director
from .links import Driver, Poll, datagrams, listen
from .parties import Client

STILL_COMING = 1.0  # seconds after SIGTERM in which connections, and reqs on them, still come
COLLECT = 20_000, 20, 20  # ordinary work leaves no cycles, and a pause grows with the module's tables
AGAIN = 0.05  # seconds until a task that failed is started again


async def _keep(work: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Runs a task of the program for good: a fault in it is logged and must not end the others."""
    while True:
        try:
            return await work(*args)
        except Exception:
            logger.exception("a task of the program failed")
            await anyio.sleep(AGAIN)


def run(told: Assignment) -> None:
    """Serves until SIGTERM."""
    poll = Poll()
    anyio.run(_serve, told, poll, backend_options={"loop_factory": lambda: asyncio.SelectorEventLoop(poll)})


async def _serve(told: Assignment, poll: Poll) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            director = _start(told, poll, tasks)
            async for _ in signals:
                break
            await _leave(director)
            tasks.cancel_scope.cancel()


def _start(told: Assignment, poll: Poll, tasks: TaskGroup) -> Director:
    """What is known goes to the module first; then clients may come."""
    driver = Driver(tasks, told.limits, poll)
    director = Director(told, driver)
    if told.peer_listen is not None:
        director.peers = datagrams(told.peer_listen)
    director.start()
    listener = listen(told.listen)
    for work in (director.keep_time, director.keep_watch, director.follow, director.hear_peers):
        tasks.start_soon(_keep, work)
    tasks.start_soon(_keep, driver.accept, listener, lambda: Client(director))
    gc.collect()
    gc.freeze()  # what lives for good is not looked at again
    gc.set_threshold(*COLLECT)
    logger.info("{} serves on {}:{}", told.name or "director", *told.listen)
    return director


async def _leave(director: Director) -> None:
    """Takes and answers what still comes, for as long as the platform says that it does."""
    logger.info("leaving: {}", director.report())
    director.leave()
    await anyio.sleep(STILL_COMING)
    with anyio.move_on_after(director.clock.seconds(director.router.longest)):
        while not director.all_answered():
            await anyio.sleep(AGAIN)
    logger.info("left: {}", director.report())
