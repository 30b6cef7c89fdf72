"""Graceful shutdown: open requests are answered, and later ones are answered or rejected, not lost.

SIGKILL may follow SIGTERM after the longest client timeout (at most `CLIENT_TIMEOUT_LIMIT`) plus
`KILL_GRACE`. Clients may send on open connections until then.
"""

from __future__ import annotations

import socket

import anyio
from loguru import logger

from .client_connection import ClientConnection
from .clock import MILLISECOND, SECOND
from .director import Director

CLIENT_TIMEOUT_LIMIT = 3 * SECOND  # longer client timeouts do not delay SIGKILL
KILL_GRACE = 700 * MILLISECOND
FINAL_WRITE_TIME = 200 * MILLISECOND  # before SIGKILL, reserved for writing the last answers
ADMISSION_PERIOD = 0.7  # seconds after SIGTERM in which new connections may arrive; the platform states 0.4
MIN_BACKLOG_TIME = 0.05  # seconds for accepting the backlog, even if the client timeouts are short
EXIT_DELAY = 500 * MILLISECOND  # after the expected SIGKILL; if it does not come, the process exits by itself
FINAL_CLOSE_TIMEOUT = 200 * MILLISECOND  # after `EXIT_DELAY`, for clients to close their side
CHECK_INTERVAL = 0.02  # seconds


async def drain(director: Director, listener: socket.socket) -> None:
    """Accepts connections a little longer, closes the listener, and waits for the clients to disconnect.

    Clients may send requests until they close their connections, so these stay open; requests that arrive
    after the listener is closed are rejected at once. Returns when no client is connected, at the latest
    `EXIT_DELAY` and `FINAL_CLOSE_TIMEOUT` after the time at which SIGKILL was expected.
    """
    clock = director.clock
    logger.info("shutdown_started {}", director.summary())
    time_to_kill = (
        min(director.decision_loop.router.longest_client_timeout, CLIENT_TIMEOUT_LIMIT) + KILL_GRACE
    )
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
        while director.clients:  # noqa: ASYNC110 - a few polls, just before the exit
            await anyio.sleep(CHECK_INTERVAL)
    logger.info("shutdown_finished {}", director.summary())
