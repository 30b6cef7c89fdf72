"""Graceful shutdown: everything that was taken is answered, and nothing that still comes is lost.

SIGKILL may come at the longest client timeout (or `CLIENT_TIMEOUT_LIMIT`, where that is less) and
`KILL_GRACE` after SIGTERM. Clients send on open connections until then.
"""

from __future__ import annotations

import socket

import anyio
from loguru import logger

from .client_connection import ClientConnection
from .clock import MILLISECOND, SECOND
from .director import Director

CLIENT_TIMEOUT_LIMIT = 3 * SECOND
KILL_GRACE = 700 * MILLISECOND
FINAL_WRITE_TIME = 200 * MILLISECOND  # kept of the time until the kill for writing the last answers
ADMISSION_PERIOD = 0.7  # seconds after SIGTERM in which connections still come: 0.4 says the platform
MIN_BACKLOG_TIME = 0.05  # seconds for taking the backlog, however short the client timeouts are
EXIT_DELAY = 500 * MILLISECOND  # after the time of the kill the program ends by itself
FINAL_CLOSE_TIMEOUT = 200 * MILLISECOND  # for clients to end their side then
CHECK_INTERVAL = 0.02  # seconds


async def drain(director: Director, listener: socket.socket) -> None:
    """Answers what still comes, closes the listener, and waits for the clients to leave.

    Connections stay open for as long as their clients hold them, since requests come on them until the end:
    later ones are rejected at once. It returns when no client is left, or some time after the program should
    have been killed.
    """
    clock = director.clock
    logger.info("shutdown_started {}", director.summary())
    time_to_kill = min(director.decisions.router.longest_client_timeout, CLIENT_TIMEOUT_LIMIT) + KILL_GRACE
    started_at = clock.now()
    answer_deadline = started_at + time_to_kill - FINAL_WRITE_TIME
    director.begin_shutdown(time_to_kill - FINAL_WRITE_TIME)
    await anyio.sleep(ADMISSION_PERIOD)
    backlog_time = max(MIN_BACKLOG_TIME, clock.seconds(answer_deadline - clock.now()))
    await director.manager.close_listener(
        listener, lambda: ClientConnection(director), director.clients.reclaim_descriptor, backlog_time
    )
    director.stop_admitting()
    director.clients.close_unused()
    director.manager.flush()
    while director.clients and clock.now() < started_at + time_to_kill + EXIT_DELAY:  # noqa: ASYNC110
        await anyio.sleep(CHECK_INTERVAL)
    director.close_all_clients()
    with anyio.move_on_after(clock.seconds(FINAL_CLOSE_TIMEOUT)):
        while director.clients:  # noqa: ASYNC110 - a hundred looks at most, at the very end
            await anyio.sleep(CHECK_INTERVAL)
    logger.info("shutdown_finished {}", director.summary())
