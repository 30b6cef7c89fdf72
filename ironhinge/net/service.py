"""Owns the program's life: start, signals and stop.

It must never touch a req; it starts the director's tasks and ends them.
"""

from __future__ import annotations

import gc
import signal

import anyio
from loguru import logger

from ..facts import Assignment
from .director import Client, Director
from .links import Driver, datagrams, listen

STILL_COMING = 1.0  # seconds after SIGTERM in which connections and reqs on them still come


async def run(told: Assignment) -> None:
    async with anyio.create_task_group() as tasks:
        driver = Driver(tasks, told.limits.sockets)
        director = Director(told, driver)
        director.start()
        listener = listen(told.listen)
        if told.peer_listen is not None:
            tasks.start_soon(director.hear_peers, datagrams(told.peer_listen))
        for work in (director.keep_time, director.keep_watch, director.follow):
            tasks.start_soon(work)
        tasks.start_soon(driver.accept, listener, lambda: Client(director), driver.most // 2)
        gc.collect()
        gc.freeze()
        logger.info("{} serves on {}:{}", told.name, *told.listen)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("leaving with {} reqs open", len(director.reqs))
        director.leave()
        await anyio.sleep(STILL_COMING)
        while not director.idle():
            await anyio.sleep(0.01)
        logger.info("left: {}", director.counts)
        tasks.cancel_scope.cancel()
