"""Stand-ins (fake servers) for cache nodes, the parent and the origin.

They answer commands by the operators' protocol, fail at the rates of the plan, and record what they receive.
"""

from __future__ import annotations

import asyncio
import time
from enum import IntEnum
from random import Random
from typing import NamedTuple

from ..ports import PortAllocator
from . import wire
from .plan import DIRECT_PATH, GROUPS, PURGE_SETTLE_TIME, DedupScope, Idempotency, NetworkPath, Plan
from .proxy import Proxy
from .records import Arrival, Execution, Records
from .sockets import READ_BYTES, reset_connection

ZONES = ("edge", "hub")
KIND_NAMES = ("std", "parent", "origin")  # indexed by NodeKind
EDGE_ZONE, HUB_ZONE = 0, 1
SERVICE_TIME = 0.015  # seconds: mean of the exponentially distributed time to execute a command
SHORT_TIME_LEFT = 0.02  # seconds: a command with less time left may be dropped without an answer
SHORT_TIME_DROP_SHARE = 0.5  # share of these commands that are dropped
BODY_PADDING = 1500  # bytes after the object name and time in each body
UNLIMITED_AGE = 1e9  # seconds: maximum age of a copy where no limit is set


class NodeKind(IntEnum):
    """Kind of a node; the value is its index on the wire."""

    CACHE = 0
    PARENT = 1
    ORIGIN = 2


class NodeState(IntEnum):
    """State of a node in the endpoint list; the value is its code on the wire."""

    READY = 0
    DRAINING = 1
    REMOVED = 2


class AnswerStatus:
    """Statuses of answers to commands, as on the wire."""

    DONE = b"ACK"
    MISSING = b"NOENT"
    RETRY = b"AGAIN"  # not executed, may be sent again
    FAILED = b"EIO"
    NO_TEXT = b"-"  # placeholder in the text field of an answer without text


class StoredCopy(NamedTuple):
    """A copy of a part of an object."""

    issued_at: float  # Unix time, by a clock that is never stepped
    stamp_ms: int  # the same by the platform's clock


class Purge(NamedTuple):
    """A purge of an object or a group."""

    at: float  # Unix time, by a clock that is never stepped
    stamp_ms: int  # the same by the platform's clock


class Node:
    """A cache node, a parent or the origin."""

    def __init__(self, fleet: Fleet, number: int, kind: NodeKind, zone: int) -> None:
        """Create a node that does not listen yet; its cell is 0 for even numbers and 1 for odd ones."""
        self.fleet = fleet
        self.name = f"s-{number:08x}"
        self.kind = kind
        self.zone = zone
        self.cell = number % 2
        self.port = 0
        self.hanging = False  # while set, commands are recorded but not answered
        self.state = NodeState.READY
        self.since_ms = 0  # Unix milliseconds of its last cold start
        self.copies: dict[tuple[str, str], StoredCopy] = {}  # by object and part
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, path: NetworkPath = DIRECT_PATH) -> None:
        """Listen at a new port, behind a proxy unless `path` is `DIRECT_PATH`.

        Raises:
            PortsExhaustedError: The system has no port left.
        """
        port = self.fleet.ports.allocate()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = port if path == DIRECT_PATH else await self.fleet.start_proxy(port, path)

    def stop(self) -> None:
        """Stop like a killed process: connections are reset and copies are lost."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.end_connections(by_reset=True)
        self.copies.clear()

    def end_connections(self, by_reset: bool) -> None:
        """Reset or close all connections, even with commands in flight."""
        for writer in list(self._writers):
            if by_reset:
                reset_connection(writer)
            else:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        commands = wire.CommandReader()
        open_requests: dict[bytes, asyncio.Task[None]] = {}
        try:
            while data := await reader.read(READ_BYTES):
                for command in commands.feed(data, time.monotonic()):
                    self._handle_command(command, writer, open_requests)
        except ValueError as error:
            self.fleet.malformed_commands.append(f"{self.name}: {error}")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in open_requests.values():
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    def _handle_command(
        self,
        command: wire.Command,
        writer: asyncio.StreamWriter,
        open_requests: dict[bytes, asyncio.Task[None]],
    ) -> None:
        command_name, request_id = command.items[0], command.items[1]
        if command_name == b"never_mind":
            cancelled = open_requests.pop(request_id, None)
            if cancelled is not None:
                cancelled.cancel()
        elif command_name == b"want":
            fields = dict(entry.split("=", 1) for entry in command.items[2].decode().split(","))
            now = time.monotonic()
            arrival = Arrival(self.name, request_id.decode(), command.first_byte_at, now, fields)
            self.fleet.records.arrivals.append(arrival)
            if not self.hanging:
                task = asyncio.ensure_future(self._answer(arrival, writer))
                open_requests[request_id] = task
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Execute and answer one command, or fail it in one of the ways of the plan, drawn at random."""
        rng, plan, request_id = self.fleet.rng, self.fleet.plan, arrival.trace.encode()
        time_left = float(arrival.fields.get("ms", "0")) / 1000
        if time_left < SHORT_TIME_LEFT and rng.random() < SHORT_TIME_DROP_SHARE:
            return
        if rng.random() < plan.reset_share / 2:
            reset_connection(writer)  # before execution
            return
        if rng.random() < plan.error_share:
            writer.write(wire.encode_array(request_id, AnswerStatus.RETRY, AnswerStatus.NO_TEXT))
            return
        await asyncio.sleep(rng.expovariate(1 / SERVICE_TIME))
        is_write = arrival.fields["kind"] in self.fleet.write_classes
        answer = self._execute_write(arrival) if is_write else self._read(arrival)
        if rng.random() < plan.unanswered_share:
            return  # executed, but not answered
        if rng.random() < plan.reset_share:
            reset_connection(writer)
            return
        if rng.random() < plan.error_share / 2:
            answer = AnswerStatus.FAILED, AnswerStatus.NO_TEXT, b""
        writer.write(wire.encode_array(request_id, *answer))

    def _execute_write(self, arrival: Arrival) -> tuple[bytes, bytes, bytes]:
        """Execute a write; a keyed write runs once within its deduplication scope and window.

        A cache answers MISSING unless the command names a node of the fleet as its fill source.
        """
        source = self.fleet.nodes.get(arrival.fields.get("parent", ""))
        if self.kind == NodeKind.CACHE and source is None:
            return AnswerStatus.MISSING, AnswerStatus.NO_TEXT, b""
        operation = arrival.fields["obj"]
        if not self.fleet.is_repeat(arrival.fields["kind"], operation, self):
            execution = Execution(self.name, operation, self.cell, time.monotonic())
            self.fleet.records.executions.append(execution)
        return AnswerStatus.DONE, b"res=f", self.fleet.body(operation, 0.0)

    def _read(self, arrival: Arrival) -> tuple[bytes, bytes, bytes]:
        """Serve the stored copy if it is fresh enough, else a new one.

        A new copy is stored on request; a parent always stores it. A cache without a copy answers MISSING
        if the command names no fill source.
        """
        fields, now = arrival.fields, time.time()
        key = fields["obj"], fields.get("seg", "0")
        class_max_age = self.fleet.freshness_lifetime[fields["kind"]]
        max_age = float(fields.get("accept", "0")) / 1000 or class_max_age or UNLIMITED_AGE
        copy = self._stored_copy(key)
        if copy is not None and copy.issued_at >= now - max_age:
            cache_status = b"h"
        else:
            if self.kind == NodeKind.CACHE and "parent" not in fields:
                return AnswerStatus.MISSING, AnswerStatus.NO_TEXT, b""
            cache_status, copy = b"f", StoredCopy(now, self.fleet.stamp_ms(now))
            if fields.get("shelf", "0") != "0" or self.kind == NodeKind.PARENT:
                self.copies[key] = copy
        stamp_ms = copy.stamp_ms
        text = b"res=%b,digest=4b%x,dated=%d,gauges=busy:0.3;rif:1" % (cache_status, stamp_ms, stamp_ms)
        return AnswerStatus.DONE, text, self.fleet.body(key[0], copy.issued_at)

    def _stored_copy(self, key: tuple[str, str]) -> StoredCopy | None:
        """Return the stored copy; None if there is none, or a settled purge evicts it now."""
        copy = self.copies.get(key)
        if copy is not None and copy.issued_at < self.fleet.purged_before(key[0]):
            del self.copies[key]
            return None
        return copy


class Fleet:
    """All nodes of a run, and the state that they share."""

    def __init__(self, plan: Plan, records: Records) -> None:
        """Create a fleet without nodes."""
        self.plan = plan
        self.records = records
        self.rng = Random(plan.seed + 1)
        self.ports = PortAllocator()
        self.nodes: dict[str, Node] = {}
        self.proxies: list[Proxy] = []
        self.classes = {each.name: each for each in plan.classes}
        self.write_classes = {
            each.name for each in plan.classes if each.idempotency != Idempotency.IDEMPOTENT
        }
        self.freshness_lifetime = {each.name: each.freshness_lifetime for each in plan.classes}
        self.purged_objects: dict[str, Purge] = {}  # the last purge by object
        self.purged_groups: dict[int, Purge] = {}
        self.clock_offset = (
            0.0  # seconds by which the clock was stepped that stamps purges, starts and copies
        )
        self.malformed_commands: list[str] = []
        # by operation and deduplication scope: time of the execution that starts the window
        self._first_executions: dict[tuple[str, str], float] = {}

    def stamp_ms(self, at: float) -> int:
        """Return the time stamp of a Unix time, in milliseconds by the platform's clock as it is now."""
        return int((at + self.clock_offset) * 1000)

    def add(self, kind: NodeKind, zone: int) -> Node:
        """Return a new node that does not listen yet."""
        node = Node(self, len(self.nodes) + 1, kind, zone)
        self.nodes[node.name] = node
        return node

    async def start_proxy(self, port: int, path: NetworkPath) -> int:
        """Start a proxy that forwards to a port, and return the proxy's port."""
        proxy = Proxy(self.ports.allocate(), port, path)
        self.proxies.append(proxy)
        return await proxy.start()

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            node.stop()

    def stop_proxies(self) -> None:
        """Stop all proxies and release the ports of the run."""
        for proxy in self.proxies:
            proxy.stop()
        self.ports.close()

    def body(self, object_name: str, issued_at: float) -> bytes:
        """Return a body that starts with the object's name and time of issue, for the audit to check."""
        text = f"{object_name}@{int(issued_at * 1000)};".encode()
        return text + b"." * BODY_PADDING

    def purged_before(self, object_name: str) -> float:
        """Return the time of the last settled purge of an object or its group; older copies are evicted."""
        now, group = time.time(), int(object_name, 16) % GROUPS
        purges = (self.purged_objects.get(object_name), self.purged_groups.get(group))
        settled = [each.at for each in purges if each is not None and each.at < now - PURGE_SETTLE_TIME]
        return max(settled, default=0.0)

    def is_repeat(self, class_name: str, operation: str, node: Node) -> bool:
        """Return whether a keyed operation was executed within its window in the node's deduplication scope.

        If not, it is remembered as executed now. Operations of other classes are never repeats.
        """
        request_class = self.classes[class_name]
        if request_class.idempotency != Idempotency.KEYED:
            return False
        match request_class.dedup_scope:
            case DedupScope.ZONE:
                dedup_scope = f"zone {node.zone}"
            case DedupScope.CELL:
                dedup_scope = f"cell {node.cell}"
            case _:
                dedup_scope = "all"
        now, key = time.monotonic(), (operation, dedup_scope)
        first_executed_at = self._first_executions.get(key)
        if first_executed_at is not None and now < first_executed_at + request_class.dedup_window:
            return True
        self._first_executions[key] = now
        return False
