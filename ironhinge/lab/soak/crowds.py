"""Crowds of badly behaved clients: one process that drives hundreds of connections to a director.

    python -m ironhinge.lab.soak.crowds slow 7001 300 4.0 read

Its requests are no part of an audit; what a crowd does to the memory of directors and to other clients is.
"""

from __future__ import annotations

import random
import selectors
import socket
import sys
import time
from enum import StrEnum

from .wire import HEADER_BYTES, FrameType, encode_frame, encode_request

LARGE_BODY = bytes(240_000)
MEDIUM_BODY = bytes(7000)
SLOW_PIECE_BYTES = 3000
SLOW_INTERVAL = 0.05  # seconds between two pieces
SHORT_FIELDS = 243  # in one request, beside those that the protocol asks for
MAX_OPEN_REQUESTS = 32  # on one connection
REPEATED_FRAMES = 2000  # that are written again and again
CONNECTS_PER_TURN = 50
POLL_TIMEOUT = 0.01  # seconds
READ_BYTES = 65536
CLIENT_TIMEOUT_MS = "3000"
CROWD_ID_PREFIX = "c20d"  # of the ids of its requests
CROWD_ID_BITS = 48
OBJECT_ID_BITS = 64


class AbuseKind(StrEnum):
    """What each client of a crowd does."""

    SILENT = "silent"  # connects and says nothing
    SLOW = "slow"  # writes a large request in small pieces
    HALF = "half"  # stops half way through a large request
    OPEN = "open"  # has as many requests open as the protocol allows
    FIELDS = "fields"  # sends requests of very many short fields
    UNREAD = "unread"  # asks again and again whether the director is ready, and reads no answer
    FLOOD = "flood"  # sends requests at full speed, and cancels each at once


ENDLESS_KINDS = (AbuseKind.UNREAD, AbuseKind.FLOOD)  # write the same frames again and again


def request(
    stream: int,
    body: bytes = b"",
    request_class: str = "film",
    request_id: str = "",
    client_timeout_ms: str = CLIENT_TIMEOUT_MS,
    **fields: str,
) -> bytes:
    """Encodes a request for a random object, with a random id if none is given."""
    values = {
        "route": request_class,
        "trace": request_id or f"{CROWD_ID_PREFIX}{random.getrandbits(CROWD_ID_BITS):012x}",
        "patience": client_timeout_ms,
        "entity": f"{random.getrandbits(OBJECT_ID_BITS):016x}",
        **fields,
    }
    encoded = encode_request(stream, values)
    return encode_frame(FrameType.REQUEST, stream, encoded[HEADER_BYTES:] + body)


def output_of(kind: AbuseKind, request_class: str = "film") -> bytes:
    """Returns what a client writes on its connection."""
    streams = range(1, MAX_OPEN_REQUESTS + 1)
    output = b""
    match kind:
        case AbuseKind.SLOW:
            output = request(1, LARGE_BODY, request_class)
        case AbuseKind.HALF:
            output = request(1, LARGE_BODY, request_class)[: len(LARGE_BODY) // 2]
        case AbuseKind.OPEN:
            output = b"".join(request(stream, MEDIUM_BODY, request_class) for stream in streams)
        case AbuseKind.FIELDS:
            fields = {f"f{number:03x}": "v" for number in range(SHORT_FIELDS)}
            output = b"".join(request(stream, b"", request_class, **fields) for stream in streams)
        case AbuseKind.UNREAD:
            output = encode_frame(FrameType.READINESS_QUERY, 0, b"\0") * REPEATED_FRAMES
        case AbuseKind.FLOOD:
            output = b"".join(
                request(stream, b"", request_class) + encode_frame(FrameType.CANCEL, stream)
                for stream in range(1, REPEATED_FRAMES + 1)
            )
    return output


class AbusiveClient:
    """One connection of a crowd."""

    def __init__(self, kind: AbuseKind, port: int, output: bytes):
        """Starts to connect to the director at that port."""
        self.kind = kind
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(("127.0.0.1", port))
        self._output = output
        self._unsent = memoryview(output)
        self._next_write_at = 0.0

    def write(self, now: float) -> bool:
        """Writes the next piece, if it is due; returns False if the connection has ended."""
        if not self._unsent and self.kind in ENDLESS_KINDS:
            self._unsent = memoryview(self._output)
        if not self._unsent or now < self._next_write_at:
            return True
        is_slow = self.kind is AbuseKind.SLOW
        self._next_write_at = now + SLOW_INTERVAL if is_slow else 0.0
        piece = self._unsent[:SLOW_PIECE_BYTES] if is_slow else self._unsent
        try:
            self._unsent = self._unsent[self.sock.send(piece) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def read(self) -> bool:
        """Drops what has arrived; returns False if the connection has ended."""
        if self.kind is AbuseKind.UNREAD:
            return True
        try:
            return bool(self.sock.recv(READ_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False


def run_abusive_clients(kind: AbuseKind, port: int, size: int, seconds: float, request_class: str) -> None:
    """Keeps `size` connections open for `seconds`; one that ends is opened again."""
    selector = selectors.DefaultSelector()
    clients: list[AbusiveClient] = []
    until = time.monotonic() + seconds
    while (now := time.monotonic()) < until:
        for _ in range(min(CONNECTS_PER_TURN, size - len(clients))):
            client = AbusiveClient(kind, port, output_of(kind, request_class))
            selector.register(client.sock, selectors.EVENT_READ, client)
            clients.append(client)
        ended = {key.data for key, _ in selector.select(POLL_TIMEOUT) if not key.data.read()}
        ended.update(client for client in clients if client not in ended and not client.write(now))
        for client in ended:
            selector.unregister(client.sock)
            client.sock.close()
        clients = [client for client in clients if client not in ended]
    for client in clients:
        client.sock.close()


def command(kind: AbuseKind, port: int, size: int, seconds: float, request_class: str) -> list[str]:
    """Returns the command that runs a crowd in a process of its own."""
    arguments = (kind.value, str(port), str(size), str(seconds), request_class)
    return [sys.executable, "-m", "ironhinge.lab.soak.crowds", *arguments]


if __name__ == "__main__":
    run_abusive_clients(
        AbuseKind(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), sys.argv[5]
    )
