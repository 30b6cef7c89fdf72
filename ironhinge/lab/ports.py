"""Loopback ports for the processes and stand-ins of one run, chosen by the system.

While a server is down, its port must not be given to another run or to an outgoing connection. So each TCP
port stays bound to a socket that never listens; a server that sets SO_REUSEADDR can still listen on the port.
"""

from __future__ import annotations

import socket

from .errors import PortsExhaustedError


class PortAllocator:
    """Reserves TCP ports until it is closed."""

    def __init__(self) -> None:
        """Create an allocator without reserved ports."""
        self._reserved_sockets: list[socket.socket] = []

    def allocate(self) -> int:
        """Return a port that the system gives to no other socket until this allocator is closed.

        Raises:
            PortsExhaustedError: The system has no free port.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", 0))
        except OSError as error:
            sock.close()
            raise PortsExhaustedError(f"the system has no free port: {error.strerror}") from error
        self._reserved_sockets.append(sock)
        port: int = sock.getsockname()[1]
        return port

    def close(self) -> None:
        """Release all ports."""
        for sock in self._reserved_sockets:
            sock.close()
        self._reserved_sockets.clear()


def free_datagram_ports(count: int) -> list[int]:
    """Return UDP ports that are free now; they are not reserved."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
