"""Stand-ins for cache nodes, hub caches and the origin on loopback sockets.

They store copies by admission rank, fill from each other, and count the body bytes that hubs and the origin
send. The body of a fill is sent in pieces, limited by the source's transfer rate and the shared ingress link
of the branch zone. A fill is cancelled when no request waits for it any more. Stand-ins must not make routing
decisions for a director.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from .copy_store import CopyKey, CopyStore, StoredCopy
from .errors import FillError
from .node_protocol import CacheStatusCode, bulk_string, encode_array, make_body, parse_fields, read_array

PIECE_BYTES = 500  # size of one write; the bytes sent for a cancelled fill are counted to this accuracy
MIN_SLEEP = 0.001  # seconds; shorter delays of the link are skipped
ORIGIN_LATENCY = 0.01  # seconds
DEFAULT_BODY_BYTES = 1000  # of an object whose size the scenario does not set
PARENT_RANK = 1  # admission rank with which parents store copies

Address = tuple[str, int]
IdleConnection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class NodeKind(StrEnum):
    """The kind of a node, under the platform's name."""

    CACHE = "std"
    PARENT = "parent"
    ORIGIN = "origin"


@dataclass(frozen=True, slots=True)
class StandInSpec:
    """Identity and capacity of one stand-in."""

    name: str
    kind: NodeKind
    zone: str
    cache_bytes: int
    transfer_rate: float  # bytes per second of one transfer


class FillResult(NamedTuple):
    """A copy and the cache status of the answer with it."""

    copy: StoredCopy
    cache_status: CacheStatusCode


class BandwidthLimiter:
    """A link with a fixed number of bytes per second; senders are served in order of arrival."""

    def __init__(self, rate: float) -> None:
        """Create an idle link of `rate` bytes per second."""
        self.rate = rate
        self.free_at = 0.0  # monotonic time until which the link is occupied

    async def transmit(self, count: int) -> None:
        """Wait until the link has transmitted all earlier bytes and these `count` bytes."""
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + count / self.rate
        if self.free_at - now > MIN_SLEEP:
            await asyncio.sleep(self.free_at - now)


class StandIn:
    """A cache, hub or origin node that serves copies and fills missing ones from its source."""

    def __init__(self, network: StandInNetwork, spec: StandInSpec) -> None:
        """Create a node that does not listen yet."""
        self.network = network
        self.name, self.kind, self.zone = spec.name, spec.kind, spec.zone
        self.transfer_rate = spec.transfer_rate
        self.store = CopyStore(spec.cache_bytes)
        self.port = 0
        self.started_ms = 0  # Unix milliseconds; 0: the node has not been restarted
        self.stalled = False  # commands are read but not answered
        # Counters; a restart does not reset them.
        self.bytes_to_branch = 0
        self.bytes_sent = 0
        self.request_count = 0
        self.cancelled_fills = 0
        self._fill_ids = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._reserved_socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._idle_connections: dict[int, list[IdleConnection]] = {}  # by port
        self._fills: dict[CopyKey, asyncio.Task[FillResult]] = {}
        self._waiter_counts: dict[CopyKey, int] = {}

    # Start and stop

    async def start(self) -> None:
        """Start to listen; after a kill at the same port as before."""
        self._release_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Stop like a killed process: reset all connections and lose all copies."""
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self.store = CopyStore(self.store.capacity)
        for fill in self._fills.values():
            fill.cancel()
        self._fills.clear()
        self._reset_idle_connections()
        self._server = None
        self._reserve_port()

    async def close(self) -> None:
        """Stop the node and release its port."""
        await self.kill()
        self._release_port()

    def _reset_idle_connections(self) -> None:
        for connections in self._idle_connections.values():
            for _, writer in connections:
                self.network.hub_addresses.discard(writer.get_extra_info("sockname"))
                writer.transport.abort()
        self._idle_connections.clear()

    def _reserve_port(self) -> None:
        """Keep other programs from taking the port while connections to it are refused."""
        self._reserved_socket = socket.socket()
        self._reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_socket.bind(("127.0.0.1", self.port))

    def _release_port(self) -> None:
        if self._reserved_socket is not None:
            self._reserved_socket.close()
            self._reserved_socket = None

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Commands

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        open_requests: dict[bytes, asyncio.Task[None]] = {}
        body_lock = asyncio.Lock()
        try:
            while True:
                items = await read_array(reader)
                if not self.stalled:
                    self._handle_command(items, writer, open_requests, body_lock)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            for task in list(open_requests.values()):
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    def _handle_command(
        self,
        items: list[bytes],
        writer: asyncio.StreamWriter,
        open_requests: dict[bytes, asyncio.Task[None]],
        body_lock: asyncio.Lock,
    ) -> None:
        match items[0]:
            case b"want":  # a request
                request_id = items[1]
                task = self._spawn(self._answer(items, writer, body_lock))
                open_requests[request_id] = task
                task.add_done_callback(partial(_remove_if_current, open_requests, request_id))
            case b"never_mind" if items[1] in open_requests:  # a cancellation
                open_requests[items[1]].cancel()
            case b"there" | b"busy":  # health checks
                writer.write(encode_array(items[1], b"READY", b"-"))

    async def _answer(
        self, items: list[bytes], writer: asyncio.StreamWriter, body_lock: asyncio.Lock
    ) -> None:
        self.request_count += 1
        request_id = items[1]
        fields = parse_fields(items[2])
        key = fields["obj"], fields.get("seg", "0")
        try:
            (body, issued_ms), cache_status = await self._find_or_fill(key, fields)
        except LookupError as error:
            code = b"NOENT" if "parent" not in fields and self.kind != NodeKind.ORIGIN else b"EIO"
            _write_if_open(writer, encode_array(request_id, code, b"res=%b" % str(error.args[0]).encode()))
            return
        except (OSError, EOFError):
            _write_if_open(writer, encode_array(request_id, b"EIO", b"res=b"))
            return
        gauges = f"inflight:{self.request_count % 7};util:0.4"
        attributes = f"digest=4b,dated={issued_ms},res={cache_status},gauges={gauges}".encode()
        head = b"*4\r\n" + b"".join(bulk_string(item) for item in (request_id, b"ACK", attributes))
        if self.kind == NodeKind.CACHE:
            _write_if_open(writer, head + bulk_string(body))
            return
        async with body_lock:  # bodies must not interleave; a body cut short ends the connection
            await self._send_body(writer, head, body)

    async def _send_body(self, writer: asyncio.StreamWriter, head: bytes, body: bytes) -> None:
        """Send a body in pieces at the transfer rate; one for the branch also passes the ingress link."""
        writer.write(head + b"$%d\r\n" % len(body))
        to_branch = writer.get_extra_info("peername") not in self.network.hub_addresses
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            if writer.is_closing():
                raise ConnectionResetError
            if to_branch:
                await self.network.ingress_link.transmit(len(piece))
            await asyncio.sleep(len(piece) / self.transfer_rate)
            writer.write(piece)
            self.bytes_sent += len(piece)
            if to_branch:
                self.bytes_to_branch += len(piece)
        writer.write(b"\r\n")

    # Copies and fills

    async def _find_or_fill(self, key: CopyKey, fields: dict[str, str]) -> FillResult:
        """Return a copy not older than the field `accept` allows, stored or from a new or joined fill.

        Raises:
            FillError: There is no such copy and it could not be filled.
            EOFError, OSError: The connection to the source failed.
        """
        if self.kind == NodeKind.ORIGIN:
            await asyncio.sleep(ORIGIN_LATENCY)
            size = self.network.body_sizes.get(key[0], DEFAULT_BODY_BYTES)
            return FillResult(StoredCopy(make_body(*key, size), int(time.time() * 1000)), CacheStatusCode.HIT)
        stored = self.store.find(key)
        min_issued_ms = time.time() * 1000 - float(fields["accept"]) if fields.get("accept") else 0.0
        if stored is not None and stored.issued_ms >= min_issued_ms:
            return FillResult(stored, CacheStatusCode.HIT)
        cached_only = "held" in _hints(fields) and self.kind != NodeKind.CACHE
        if cached_only or "parent" not in fields:
            raise FillError(CacheStatusCode.SOURCE_MISS)
        joined = key in self._fills
        if not joined:
            self._fills[key] = asyncio.ensure_future(self._fill(key, fields))
        result = await self._wait_for_fill(key)
        return FillResult(result.copy, CacheStatusCode.JOINED_FILL) if joined else result

    async def _wait_for_fill(self, key: CopyKey) -> FillResult:
        """Wait for the current fill of a copy; the fill is cancelled when its last waiter stops waiting."""
        fill = self._fills[key]
        self._waiter_counts[key] = self._waiter_counts.get(key, 0) + 1
        try:
            return await asyncio.shield(fill)
        finally:
            self._waiter_counts[key] -= 1
            if not self._waiter_counts[key]:
                del self._waiter_counts[key]
                if not fill.done():
                    self.cancelled_fills += 1
                    fill.cancel()
                if self._fills.get(key) is fill:
                    del self._fills[key]

    async def _fill(self, key: CopyKey, fields: dict[str, str]) -> FillResult:
        source = self.network.nodes.get(fields["parent"])
        if source is None:
            raise FillError(CacheStatusCode.SOURCE_REJECTED)
        command = f"kind={fields['kind']},obj={key[0]},seg={key[1]},ms={fields['ms']}"
        if source.kind == NodeKind.PARENT:
            command += f",parent={self.network.origin.name},shelf=2"
            if "held" in _hints(fields):
                command += ",hints=held"
        items = await self._fetch(source.port, command)
        if items[1] != b"ACK":
            is_miss = items[1] == b"NOENT"
            raise FillError(CacheStatusCode.SOURCE_MISS if is_miss else CacheStatusCode.SOURCE_REJECTED)
        answer = parse_fields(items[2])
        rank = int(fields.get("shelf", "0"))
        copy = StoredCopy(items[3], int(answer["dated"]))
        if self.kind == NodeKind.PARENT or rank:
            self.store.put(key, copy, rank if self.kind == NodeKind.CACHE else PARENT_RANK)
        from_origin = answer.get("res") in (
            CacheStatusCode.FILLED_FROM_SOURCE,
            CacheStatusCode.FILLED_FROM_ORIGIN,
        )
        return FillResult(
            copy, CacheStatusCode.FILLED_FROM_ORIGIN if from_origin else CacheStatusCode.FILLED_FROM_SOURCE
        )

    async def _fetch(self, port: int, command: str) -> list[bytes]:
        """Send a fill command on an unused connection, and return the answer.

        If the call fails or is cancelled, the connection is aborted.
        """
        connections = self._idle_connections.setdefault(port, [])
        while connections and connections[-1][1].is_closing():
            self.network.hub_addresses.discard(connections.pop()[1].get_extra_info("sockname"))
        if connections:
            reader, writer = connections.pop()
        else:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if self.kind == NodeKind.PARENT:
            self.network.hub_addresses.add(writer.get_extra_info("sockname"))
        try:
            writer.write(encode_array(b"want", b"f%d" % next(self._fill_ids), command.encode(), b""))
            items = await read_array(reader)
        except BaseException:
            # The port of this connection may be assigned to a cache next.
            self.network.hub_addresses.discard(writer.get_extra_info("sockname"))
            writer.transport.abort()
            raise
        connections.append((reader, writer))
        return items


class StandInNetwork:
    """All stand-ins of one run, and the state that they share."""

    def __init__(self, link_rate: float) -> None:
        """Create a network without nodes, with an ingress link of `link_rate` bytes per second."""
        self.nodes: dict[str, StandIn] = {}
        self.body_sizes: dict[str, int] = {}  # bytes of a part, by object name
        self.ingress_link = BandwidthLimiter(link_rate)
        self.origin: StandIn
        # Local addresses of the connections on which hubs fill: bytes sent there do not enter the branch.
        self.hub_addresses: set[Address] = set()

    def add(self, spec: StandInSpec) -> StandIn:
        """Add a node that does not listen yet."""
        node = StandIn(self, spec)
        self.nodes[node.name] = node
        if node.kind == NodeKind.ORIGIN:
            self.origin = node
        return node


def _hints(fields: dict[str, str]) -> list[str]:
    return fields.get("hints", "").split("+")


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def _remove_if_current(
    tasks: dict[bytes, asyncio.Task[None]], request_id: bytes, task: asyncio.Task[None]
) -> None:
    """Remove a finished task unless a newer task has the same request id."""
    if tasks.get(request_id) is task:
        del tasks[request_id]
