"""Socket helpers for clients and stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536  # maximum size of one read
_LINGER_ZERO = struct.pack("ii", 1, 0)  # struct linger: on, for 0 seconds


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # the socket is already closed
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()
