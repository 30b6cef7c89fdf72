"""Readiness queries, and idle connections that exhaust a director's descriptors."""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import Callable
from random import Random

from . import wire

READY = 1  # first payload byte of the readiness answer of a ready director
RECONNECT_DELAY = 0.05  # seconds after the director could not be reached
CONNECT_INTERVAL = 0.004  # seconds between the first connection attempts
QUERY_SHARE = 0.5  # share of the idle connections that query readiness first
MAX_REOPEN_DELAY = 0.3  # seconds until a closed connection is opened again
QUERY = wire.encode_frame(wire.FrameType.READINESS_QUERY, 0, b"\0")


async def is_ready(port: int, timeout: float) -> bool:  # noqa: ASYNC109 - a timeout per step
    """Return whether a director reports on a new connection that it is ready."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout)
    except (TimeoutError, OSError):
        return False
    try:
        writer.write(QUERY)
        head = await asyncio.wait_for(reader.readexactly(wire.HEADER_BYTES), timeout)
        (length,) = struct.unpack(">I", head[: wire.LENGTH_BYTES])
        payload_bytes = length - (wire.HEADER_BYTES - wire.LENGTH_BYTES)
        payload = await asyncio.wait_for(reader.readexactly(payload_bytes), timeout)
        return head[wire.LENGTH_BYTES] == wire.FrameType.READINESS and payload[0] == READY
    except (TimeoutError, OSError, EOFError):
        return False
    finally:
        writer.close()


async def hold_idle_connections(
    count: int, port: Callable[[], int | None], deadline: float, rng: Random
) -> None:
    """Keep idle connections open until the deadline; each is opened again after it is closed.

    Args:
        count: Number of connections.
        port: Returns the director's current port, or None while it cannot be reached.
        deadline: End time on the monotonic clock.
        rng: Draws which connections query readiness, and the delays before they are reopened.
    """
    tasks: list[asyncio.Task[None]] = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(_hold_idle_connection(port, deadline, rng)))
        await asyncio.sleep(CONNECT_INTERVAL)
    await asyncio.gather(*tasks)


async def _hold_idle_connection(port: Callable[[], int | None], deadline: float, rng: Random) -> None:
    while time.monotonic() < deadline:
        current_port = port()
        if current_port is None:
            await asyncio.sleep(RECONNECT_DELAY)
            continue
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", current_port)
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY)
            continue
        try:
            if rng.random() < QUERY_SHARE:
                writer.write(QUERY)
            await asyncio.wait_for(reader.read(), max(0.01, deadline - time.monotonic()))
        except (TimeoutError, OSError):
            pass
        finally:
            writer.close()
        await asyncio.sleep(rng.uniform(0.0, MAX_REOPEN_DELAY))
