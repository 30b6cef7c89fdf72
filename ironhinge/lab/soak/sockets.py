"""Helpers for the connections of stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536  # asked for at a time
_LINGER_ZERO = struct.pack("ii", 1, 0)  # struct linger: on, for 0 seconds


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # it is closed already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()
