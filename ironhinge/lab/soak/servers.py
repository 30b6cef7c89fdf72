"""Stand-ins for cache nodes, the origin and discovery: they answer as the protocol page says, fail as the
plan says, and write down what came.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from random import Random

from . import wire
from .plan import KINDS, PURGE_SETTLES, STRAIGHT, Path, Plan
from .ports import Ports
from .proxy import Proxy
from .records import Arrival, NodeLife, Records, Run, Told

READY, DRAINING, GONE = 0, 1, 2
STATES = ("ready", "draining", "gone")
SERVING = 0.015  # seconds, mean
SOON = 0.02  # seconds: a request with less time left may be dropped without a word
BODY = 1500  # bytes
MOVED_FOR = 1.5  # seconds that the old address of discovery keeps its connections


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # it has gone already
    writer.transport.abort()


class Node:
    """A cache node or the origin."""

    def __init__(self, fleet: Fleet, name: str, kind: int, zone: int, cell: int):
        self.fleet, self.name, self.kind, self.zone, self.cell = fleet, name, kind, zone, cell
        self.port = 0
        self.server: asyncio.Server | None = None
        self.copies: dict[tuple[str, str], float] = {}  # when the origin gave a copy out, in Unix seconds
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.hanging = False
        self.state, self.since_ms = READY, 0

    async def start(self, path: Path = STRAIGHT) -> None:
        """Listens, behind a proxy where the plan has one."""
        port = self.fleet.ports.next()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        if path == STRAIGHT:
            self.port = port
        else:
            self.port = await self.fleet.proxy(port, path)

    def stop(self) -> None:
        """As a process that dies."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.end_connections(True)
        self.copies.clear()

    def end_connections(self, by_reset: bool) -> None:
        """Ends all connections, whatever is open on them."""
        for writer in list(self.writers):
            if by_reset:
                reset(writer)
            else:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        commands = wire.Commands()
        open_: dict[bytes, asyncio.Task] = {}
        try:
            while data := await reader.read(65536):
                for command in commands.feed(data, time.monotonic()):
                    self._take(command, writer, open_)
        except ValueError as error:
            self.fleet.unreadable.append(f"{self.name}: {error}")
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in open_.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    def _take(
        self, command: wire.Command, writer: asyncio.StreamWriter, open_: dict[bytes, asyncio.Task]
    ) -> None:
        word, name = command.items[0], command.items[1]
        if word == b"never_mind":
            task = open_.pop(name, None)
            if task is not None:
                task.cancel()
        elif word == b"want":
            fields = dict(part.split("=", 1) for part in command.items[2].decode().split(","))
            now = time.monotonic()
            arrival = Arrival(self.name, name.decode(), command.begun_at, now, fields)
            self.fleet.records.arrivals.append(arrival)
            if not self.hanging:
                task = asyncio.ensure_future(self._want(arrival, writer))
                open_[name] = task
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _want(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """One command: it may be turned away, run, and be answered or not."""
        draw, plan, name = self.fleet.draw, self.fleet.plan, arrival.trace.encode()
        if float(arrival.fields.get("ms", "0")) / 1000 < SOON and draw.random() < 0.5:
            return None
        if draw.random() < plan.resets / 2:
            return reset(writer)  # before it ran
        if draw.random() < plan.errors:
            writer.write(wire.resp(name, b"AGAIN", b"-"))
            return None
        await asyncio.sleep(draw.expovariate(1 / SERVING))
        write = arrival.fields["kind"] in self.fleet.writes
        word, text, body = self._run_write(arrival) if write else self._read(arrival)
        if draw.random() < plan.hangs:
            return None  # it has run, and nobody hears of it
        if draw.random() < plan.resets:
            return reset(writer)
        if draw.random() < plan.errors / 2:
            word, text, body = b"EIO", b"-", b""
        writer.write(wire.resp(name, word, text, body))

    def _run_write(self, arrival: Arrival) -> tuple[bytes, bytes, bytes]:
        """Runs what must not run twice; repeats of a keyed one are dropped within its group and window."""
        source = self.fleet.nodes.get(arrival.fields.get("parent", ""))
        if KINDS[self.kind] == "std" and source is None:
            return b"NOENT", b"-", b""
        operation = arrival.fields["obj"]
        if not self.fleet.is_repeat(arrival.fields["kind"], operation, self):
            self.fleet.records.runs.append(Run(self.name, operation, self.cell, time.monotonic()))
        return b"ACK", b"res=f", self.fleet.body(operation, 0.0)

    def _read(self, arrival: Arrival) -> tuple[bytes, bytes, bytes]:
        fields, now = arrival.fields, time.time()
        key = fields["obj"], fields.get("seg", "0")
        fresh = self.fleet.fresh[fields["kind"]]
        oldest = float(fields.get("accept", "0")) / 1000 or fresh or 1e9
        dated = self.copies.get(key)
        if dated is not None and dated < self.fleet.dropped_before(key):
            del self.copies[key]
            dated = None
        if dated is None or dated < now - oldest:
            if KINDS[self.kind] == "std" and "parent" not in fields:
                return b"NOENT", b"-", b""
            note, dated = b"f", now
            if fields.get("shelf", "0") != "0" or KINDS[self.kind] == "parent":
                self.copies[key] = dated
        else:
            note = b"h"
        at = int(dated * 1000)
        text = b"res=%b,digest=4b%x,dated=%d,gauges=busy:0.3;rif:1" % (note, at, at)
        return b"ACK", text, self.fleet.body(key[0], dated)


class Fleet:
    """All nodes, and what they share."""

    def __init__(self, plan: Plan, records: Records):
        self.plan, self.records, self.draw = plan, records, Random(plan.seed + 1)
        self.ports = Ports(plan.seed)
        self.nodes: dict[str, Node] = {}
        self.writes = {one.name for one in plan.classes if one.effect != "repeatable"}
        self.fresh = {one.name: one.fresh for one in plan.classes}
        self.classes = {one.name: one for one in plan.classes}
        self.purged_objects: dict[str, float] = {}
        self.purged_groups: dict[int, float] = {}
        self.first_runs: dict[tuple[str, str], float] = {}
        self.unreadable: list[str] = []
        self.proxies: list[Proxy] = []
        self.numbers = 0

    def add(self, kind: str, zone: int) -> Node:
        """A new node, not yet listening."""
        self.numbers += 1
        place = self.numbers
        node = Node(self, f"s-{place:08x}", KINDS.index(kind), zone, place % 2)
        self.nodes[node.name] = node
        return node

    async def proxy(self, port: int, path: Path) -> int:
        """A proxy before a port; its own port."""
        proxy = Proxy(self.ports.next(), port, path)
        self.proxies.append(proxy)
        return await proxy.start()

    def body(self, obj: str, dated: float) -> bytes:
        """The bytes of a copy; they name it, so that its age can be told from the answer."""
        text = f"{obj}@{int(dated * 1000)};".encode()
        return text + b"." * BODY

    def dropped_before(self, key: tuple[str, str]) -> float:
        """Copies from before this have been dropped by themselves: purges that have settled."""
        now, group = time.time(), int(key[0], 16) % 8
        purges = (self.purged_objects.get(key[0], 0.0), self.purged_groups.get(group, 0.0))
        return max((at for at in purges if at < now - PURGE_SETTLES), default=0.0)

    def is_repeat(self, cls: str, operation: str, node: Node) -> bool:
        """Whether the group of this node has run a keyed operation within its window."""
        told = self.classes[cls]
        if told.effect != "by_key":
            return False
        group = {"all": "all", "zone": f"zone {node.zone}", "cell": f"cell {node.cell}"}[told.scope]
        now, key = time.monotonic(), (operation, group)
        first = self.first_runs.get(key)
        if first is not None and now < first + told.window:
            return True
        self.first_runs[key] = now
        return False


class Discovery:
    """Tells one director changes of the list and purges, as numbered events."""

    def __init__(self, records: Records, ports: Ports, director: int, life: Callable[[], int]):
        self.records, self.ports, self.director, self.life = records, ports, director, life
        self.events: list[tuple[bytes, str, str, float]] = []  # frame, what, whom, when it happened
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, int] = {}  # with the number of the last event written
        self.first = 1

    async def start(self, port: int = 0) -> None:
        """Listens, where it did before if a port is named; does nothing while it listens already."""
        if port and self.server is not None:
            return
        self.port = port or self.ports.next()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Goes down: connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.forget()

    def forget(self) -> None:
        """Resets its connections: nothing is told on them any more."""
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def move(self) -> None:
        """Listens somewhere else; the old address takes no new connection and ends the open ones later."""
        old, writers = self.server, list(self.writers)
        await self.start()
        if old is not None:
            old.close()

        def end() -> None:
            for writer in writers:
                writer.close()

        asyncio.get_running_loop().call_later(MOVED_FOR, end)

    def tell(self, what: str, whom: str, rows: list[Node] | None = None, purge: bytes = b"") -> None:
        """A new event, written to all that listen."""
        number = self.first + len(self.events) + 1
        if rows is not None:
            data = wire.listing(
                number,
                [
                    (node.name, node.port, node.state, node.zone, node.kind, node.cell, node.since_ms)
                    for node in rows
                ],
            )
        else:
            data = wire.event(number, 3 if what == "object" else 4, purge)
        self.events.append((data, what, whom, time.monotonic()))
        for writer in list(self.writers):
            if not writer.is_closing():
                self._write(writer)

    def _write(self, writer: asyncio.StreamWriter) -> None:
        known = self.writers[writer]
        for place in range(max(0, known - self.first), len(self.events)):
            data, what, whom, happened_at = self.events[place]
            writer.write(data)
            now = time.monotonic()
            self.records.told.append(Told(self.director, self.life(), now, what, whom, happened_at))
        self.writers[writer] = self.first + len(self.events)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (known,) = struct.unpack(">Q", await reader.readexactly(8))
            self.writers[writer] = known
            while writer in self.writers and not writer.is_closing():
                self._write(writer)
                writer.write(wire.event(self.writers[writer], 0, b""))
                await asyncio.sleep(1.0)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()


def cold_life(node: Node, records: Records) -> NodeLife:
    """Writes down that a node has started now."""
    life = NodeLife(node.name, time.monotonic())
    records.nodes.append(life)
    return life
