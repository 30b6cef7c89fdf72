"""TCP ports of loopback for the programs and stand-ins of one run, chosen by the system.

A port on which nobody listens for a while must not be given to another run or to an outgoing connection. So
each port stays bound by a socket that never listens; who binds the port with SO_REUSEADDR can listen there.
"""

from __future__ import annotations

import socket

from .errors import PortsExhaustedError


class PortAllocator:
    """Reserves ports until it is closed."""

    def __init__(self) -> None:
        """Create an allocator that has reserved nothing yet."""
        self._reserved_sockets: list[socket.socket] = []

    def allocate(self) -> int:
        """Return a port that nobody else gets until this allocator is closed.

        Raises:
            PortsExhaustedError: The system has no port left.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", 0))
        except OSError as error:
            sock.close()
            raise PortsExhaustedError(f"the system has no port left: {error.strerror}") from error
        self._reserved_sockets.append(sock)
        port: int = sock.getsockname()[1]
        return port

    def close(self) -> None:
        """Release all ports."""
        for sock in self._reserved_sockets:
            sock.close()
        self._reserved_sockets.clear()


def free_datagram_ports(count: int) -> list[int]:
    """Return UDP ports that nobody has now; they are not reserved."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
