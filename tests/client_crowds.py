"""Crowds of badly behaved clients: hundreds of connections that one thread drives at the same time."""

import random
import selectors
import socket
import struct
import subprocess
import sys
import time
from enum import Enum
from pathlib import Path

LARGE_BODY = bytes(240_000)
SLOW_PIECE, SLOW_INTERVAL = 3000, 0.05  # bytes, seconds
OPEN_REQUESTS = 32
CONNECTS_PER_TURN = 50


class Crowd(Enum):
    """What each client of a crowd does."""

    SILENT = "connects and says nothing"
    SLOW = "writes a large request in small pieces"
    HALF = "stops half way through a large request"
    OPEN = "has as many requests open as the protocol allows, at a node that is slow"
    FIELDS = "sends requests of very many short fields"
    UNREAD = "asks whether the director is ready, again and again, and reads no answer"


def frame(kind, stream, payload=b""):
    """Encodes a frame of the clients' protocol."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request(stream, body=b"", request_class="film", request_id=None, patience="3000", **fields):
    """Encodes a request."""
    values = {
        "route": request_class,
        "trace": request_id or f"{random.getrandbits(64):016x}",
        "patience": patience,
        "entity": f"{random.getrandbits(64):016x}",
        **fields,
    }
    encoded = b"".join(
        bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
        for name, value in values.items()
    )
    return frame(7, stream, bytes([len(values)]) + encoded + body)


READINESS_QUERIES = frame(1, 0, b"\0") * 5000


def output_of(crowd):
    """Returns what a client of the crowd writes on its connection."""
    if crowd is Crowd.SILENT:
        return b""
    if crowd is Crowd.SLOW:
        return request(1, LARGE_BODY)
    if crowd is Crowd.HALF:
        return request(1, LARGE_BODY)[:120_000]
    if crowd is Crowd.OPEN:
        return b"".join(request(stream, bytes(7000)) for stream in range(1, OPEN_REQUESTS + 1))
    if crowd is Crowd.FIELDS:
        short_fields = {f"f{i:03x}": "v" for i in range(243)}
        return b"".join(request(stream, **short_fields) for stream in range(1, OPEN_REQUESTS + 1))
    return READINESS_QUERIES


class CrowdClient:
    """One connection of a crowd."""

    def __init__(self, crowd, port):
        self.crowd = crowd
        self.output = memoryview(output_of(crowd))
        self.piece_size = SLOW_PIECE if crowd is Crowd.SLOW else len(self.output)
        self.next_write = 0.0
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(("127.0.0.1", port))

    def write(self, now):
        """Writes the next piece, if it is due; returns False if the connection has ended."""
        if not self.output and self.crowd is Crowd.UNREAD:
            self.output = memoryview(READINESS_QUERIES)
        if not self.output or now < self.next_write:
            return True
        self.next_write = now + (SLOW_INTERVAL if self.crowd is Crowd.SLOW else 0)
        try:
            self.output = self.output[self.sock.send(self.output[: self.piece_size]) :]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True

    def read(self):
        """Drops what has arrived; returns False if the connection has ended."""
        if self.crowd is Crowd.UNREAD:
            return True
        try:
            return bool(self.sock.recv(65536))
        except BlockingIOError:
            return True
        except OSError:
            return False


def run_crowd(crowd, port, size, seconds, comes_again=True):
    """Keeps `size` connections of a crowd busy; those that end are opened again, if the crowd comes again."""
    selector = selectors.DefaultSelector()
    clients = []
    until = time.monotonic() + seconds
    opened = 0
    while (now := time.monotonic()) < until:
        for _ in range(CONNECTS_PER_TURN):
            if len(clients) >= size or (opened >= size and not comes_again):
                break
            client = CrowdClient(crowd, port)
            clients.append(client)
            selector.register(client.sock, selectors.EVENT_READ, client)
            opened += 1
        ended = {key.data for key, _ in selector.select(0.01) if not key.data.read()}
        ended.update(client for client in clients if client not in ended and not client.write(now))
        for client in ended:
            selector.unregister(client.sock)
            client.sock.close()
        clients = [client for client in clients if client not in ended]
    for client in clients:
        client.sock.close()


def run_crowd_process(crowd, port, size, seconds):
    """Runs a crowd in a process of its own, so that it does not slow down the other clients of a test."""
    arguments = [crowd.name, str(port), str(size), str(seconds)]
    subprocess.run([sys.executable, __file__, *arguments], check=True)


def peak_memory_mb(pid):
    """Returns the most memory that a process has had resident, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


if __name__ == "__main__":
    run_crowd(Crowd[sys.argv[1]], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
