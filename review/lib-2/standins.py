"""Small stand-ins for the cases of the second review: cache nodes, origin, coordinator, clients, a proxy.

They use the standard library alone, run in one process and follow PROTOCOL.md. Each case starts the directors as
processes of their own, with the command `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RECORD = struct.Struct(">I4sHBBBHIQ")
LOOPBACK = bytes([127, 0, 0, 1])
STATES = {"SERVING": 0, "DRAINING": 1, "DELETED": 2}
SERVED, REFUSED, FAILED = 1, 2, 3
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
CHILDREN: list[asyncio.subprocess.Process] = []  # processes beside the directors; ended with the case


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be played: exit code 2."""


class Record:
    """The file record.txt of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path):
        self.started = time.time()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.time() - self.started:9.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# Cache nodes and the origin


class Copy:
    """A copy of a part: its tag, the Unix millisecond at which the origin gave it out, its bytes."""

    def __init__(self, version: int, obj: str, seg: str, size: int, dated: int):
        self.version = version
        self.tag = f"v{version}x{obj}p{seg}"
        self.dated = dated
        self.made_at = time.time()  # a cache node counts the age of a copy as a span of real time
        text = f"{obj}/{seg}/v{version} ".encode()
        self.body = (text * (size // len(text) + 1))[:size]


class Command:
    """A command that has come whole to a node."""

    def __init__(self, node: "Node", link: "NodeLink", request_id: str, fields: dict[str, str], body: bytes, first: float):
        self.node, self.link, self.id, self.fields, self.body = node, link, request_id, fields, body
        self.first_byte_at = first
        self.whole_at = time.time()
        self.given_up = False

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        if not self.given_up and self.link.open.get(self.id) is self:
            del self.link.open[self.id]
            self.link.send_array(self.id.encode(), word.encode(), fields.encode(), body)
            self.node.record(f"node {self.node.name} answers {self.id} {word} {fields[:90]} {len(body)} bytes")


class NodeLink(asyncio.Protocol):
    """One connection from a director to a node."""

    def __init__(self, node: "Node"):
        self.node = node
        self.buffer = b""
        self.first_at = 0.0
        self.open: dict[str, Command] = {}
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.node.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.node.links.discard(self)
        for command in self.open.values():
            command.given_up = True
        self.open.clear()

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_at = time.time()
        self.buffer += data
        while True:
            items, used = self._parse()
            if items is None:
                return
            self.buffer = self.buffer[used:]
            first, self.first_at = self.first_at, time.time()
            self._on_command(items, first)

    def _parse(self) -> tuple[list[bytes] | None, int]:
        data = self.buffer
        end = data.find(b"\r\n")
        if end < 0:
            return None, 0
        count, offset, items = int(data[1:end]), end + 2, []
        for _ in range(count):
            end = data.find(b"\r\n", offset)
            if end < 0:
                return None, 0
            size = int(data[offset + 1 : end])
            offset = end + 2 + size + 2
            if len(data) < offset:
                return None, 0
            items.append(data[end + 2 : end + 2 + size])
        return items, offset

    def _on_command(self, items: list[bytes], first: float) -> None:
        verb, request_id = items[0].decode(), items[1].decode()
        if verb == "never_mind":
            command = self.open.pop(request_id, None)
            self.node.record(f"node {self.node.name} gets never_mind {request_id}")
            if command is not None:
                command.given_up = True
        elif verb in ("there", "busy"):
            self.send_array(items[1], b"READY", b"gauges=busy:0.3;rif:1", b"")
        elif verb == "want":
            text = items[2].decode()
            fields = {} if text == "-" else dict(part.partition("=")[::2] for part in text.split(","))
            command = Command(self.node, self, request_id, fields, items[3] if len(items) > 3 else b"", first)
            self.open[request_id] = command
            self.node.commands.append(command)
            self.node.record(f"node {self.node.name} gets want {request_id} {text}")
            self.node.handle(command)

    def send_array(self, *items: bytes) -> None:
        out = b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
        if not self.transport.is_closing():
            self.transport.write(out)


class Node:
    """A cache node or the origin: it answers after `delay` seconds; a hanging one never does."""

    def __init__(self, world: "World", number: int, kind: str, zone: str, delay: float = 0.02):
        self.world, self.number, self.kind, self.zone, self.delay = world, number, kind, zone, delay
        self.name = f"s-{number:08x}"
        self.port = 0
        self.since_ms = 0
        self.status = "SERVING"
        self.is_hanging = False
        self.weight = 20.0
        self.write_delay = delay  # for requests that run at the origin
        self.copies: dict[tuple[str, str], Copy] = {}
        self.commands: list[Command] = []
        self.links: set[NodeLink] = set()
        self.record = world.record
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodeLink(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """End like a process that is killed: no listener, open connections are reset, all copies are gone."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            with contextlib.suppress(OSError):
                link.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            link.transport.abort()
        self.copies.clear()

    def handle(self, command: Command) -> None:
        if not self.is_hanging:
            is_write = command.fields["kind"] in self.world.write_classes
            asyncio.get_running_loop().call_later(self.write_delay if is_write else self.delay, self._answer, command)

    def _answer(self, command: Command) -> None:
        if command.given_up:
            return
        fields, world = command.fields, self.world
        key = (fields["obj"], fields.get("seg", "0"))
        if fields["kind"] in world.write_classes:
            if self.kind == "origin" or fields.get("parent"):
                world.ran.setdefault(command.id, []).append((time.time(), self.name))
                self.record(f"node {self.name} runs {command.id}")
                command.answer("ACK", "res=o,gauges=busy:0.3;rif:1")
            else:
                command.answer("NOENT", "gauges=busy:0.3;rif:1")
            return
        copy, note = self.copies.get(key), "h"
        limit = int(fields.get("accept", "0")) or world.fresh_ms.get(fields["kind"], 0)
        if copy is not None and limit and 1000 * (time.time() - copy.made_at) > limit:
            copy = None
        if self.kind == "origin":
            copy = Copy(world.version(key[0]), *key, world.body_size, world.unix_ms())
        elif copy is None and fields.get("parent"):
            copy, note = Copy(world.version(key[0]), *key, world.body_size, world.unix_ms()), "o"
            world.filled_bytes += len(copy.body)
            if int(fields.get("shelf", "0")):
                self.copies[key] = copy
        if copy is None:
            command.answer("NOENT", "gauges=busy:0.3;rif:1")
            return
        told = f"res={note},digest={copy.tag},dated={copy.dated},gauges=busy:0.3;rif:1"
        command.answer("ACK", told, copy.body)

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": 0,
            "status": self.status,
            "weight": self.weight,
            "since_ms": self.since_ms,
        }

    def packed(self) -> bytes:
        world = self.world
        return RECORD.pack(
            self.number,
            LOOPBACK,
            self.port,
            STATES[self.status],
            world.zones.index(self.zone),
            world.kinds.index(self.kind),
            0,
            int(1000 * self.weight),
            self.since_ms,
        )


# The coordinator


class Coordinator:
    """Tells one director numbered events; the numbers begin anew at each start of the director."""

    def __init__(self, world: "World"):
        self.world = world
        self.first = 1  # number of the last event that the configuration of the start holds
        self.events: list[tuple[int, bytes]] = []  # kind and payload, from number `first` + 1 on
        self.purges: list[tuple[int, bytes, dict[str, Any]]] = []  # when, payload, as in `known`
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        """Return `known` for a start now: the whole list, and the purges of the last `purge-settles`."""
        endpoints = [node.entry() for node in self.world.nodes if node.status != "DELETED"]
        updates: list[dict[str, Any]] = [
            {"index": 1, "endpoints": {"index": 1, "snapshot": True, "endpoints": endpoints}}
        ]
        since = self.world.unix_ms() - self.world.purge_settles_ms
        for unix_ms, _, purge in self.purges:
            if unix_ms >= since:
                updates.append({"index": len(updates) + 1, "evict": purge})
        self.first, self.events = len(updates), []
        return {"index": self.first, "updates": updates}

    def tell(self, kind: int, payload: bytes) -> int:
        """Add an event; return its number."""
        self.events.append((kind, payload))
        self._changed.set()
        return self.first + len(self.events)

    def tell_nodes(self, nodes: list[Node]) -> int:
        return self.tell(2, b"".join(node.packed() for node in nodes))

    def tell_purge(self, obj: str) -> int:
        unix_ms = self.world.unix_ms()
        payload = struct.pack(">QQ", int(obj, 16), unix_ms)
        self.purges.append((unix_ms, payload, {"ref": obj, "unix_ms": unix_ms}))
        return self.tell(3, payload)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        record = self.world.record
        try:
            number = int.from_bytes(await reader.readexactly(8), "big")
            record(f"coordinator: a director connects and has {number}")
            empty_at = time.monotonic() + 1
            while not writer.is_closing():
                while number < self.first + len(self.events):
                    kind, payload = self.events[number - self.first]
                    number += 1
                    writer.write(_frame(number, kind, payload))
                    record(f"coordinator writes event {number} kind {kind}")
                self._changed.clear()
                try:
                    await asyncio.wait_for(self._changed.wait(), max(0.0, empty_at - time.monotonic()))
                except TimeoutError:
                    writer.write(_frame(number, 0, b""))
                    empty_at += 1
                await writer.drain()
                if reader.at_eof():
                    return
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    data = number.to_bytes(8, "big") + bytes([kind]) + payload
    return len(data).to_bytes(4, "big") + data


class SlowPath:
    """A TCP proxy: what the far side writes arrives `delay` seconds later, in order; connecting takes no time."""

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.delay = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.close()
            return
        arrivals: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def collect() -> None:
            while True:
                data = await far_reader.read(65536)
                await arrivals.put((time.monotonic() + self.delay, data))
                if not data:
                    return

        async def deliver() -> None:
            while True:
                due, data = await arrivals.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        async def forward() -> None:
            while data := await reader.read(65536):
                far_writer.write(data)
                await far_writer.drain()

        tasks = [asyncio.ensure_future(each()) for each in (collect, deliver, forward)]
        try:
            await asyncio.wait(tasks[1:], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            far_writer.close()
            writer.close()


# The world of a case


class World:
    """The nodes and the coordinator of a small deployment, and what ran."""

    def __init__(self, record: Record):
        self.record = record
        self.zones = ["merkez", "edge-1"]
        self.kinds = ["gen-a", "origin"]
        self.write_classes = {"rent-receipt"}
        self.filled_bytes = 0  # that the origin has sent to the caches
        self.fresh_ms: dict[str, int] = {}  # the fresh time of a class; absent: a copy is good until it is purged
        self.body_size = 4000
        self.purge_settles_ms = 6000
        self.clock_step_ms = 0
        self.nodes: list[Node] = []
        self.versions: dict[str, int] = {}
        self.ran: dict[str, list[tuple[float, str]]] = {}
        self.coordinator = Coordinator(self)

    def unix_ms(self) -> int:
        """Return the time of the platform's wall clock, which a case may step."""
        return int(time.time() * 1000) + self.clock_step_ms

    def version(self, obj: str) -> int:
        return self.versions.get(obj, 1)

    async def start(self, caches: int, delay: float = 0.02) -> None:
        self.nodes = [Node(self, number, "gen-a", "edge-1", delay) for number in range(1, caches + 1)]
        self.nodes.append(Node(self, 0xF0, "origin", "merkez", delay))
        for node in self.nodes:
            await node.start()
        await self.coordinator.start()

    def purge(self, obj: str) -> None:
        """Purge an object: all caches drop their copies at once, the origin has a new version."""
        self.versions[obj] = self.version(obj) + 1
        for node in self.nodes:
            for key in [key for key in node.copies if key[0] == obj]:
                del node.copies[key]
        self.coordinator.tell_purge(obj)
        self.record(f"purge of {obj}: the version is {self.version(obj)} from now on")

    def settings(self, **changes: Any) -> dict[str, Any]:
        """Return the settings of a small deployment, in the form of the wire page."""
        settings: dict[str, Any] = {
            "balancers": 1,
            "classes": [
                {"name": "video-part", "aim": 500_000, "aim-stretch": 1.6, "deadline": 3_000_000,
                 "dedup-scope": "all", "window": 5_000_000, "importance": 2.0, "late-worth": 0.15,
                 "semantics": "repeatable", "stream": False},
                {"name": "rent-receipt", "aim": 600_000, "aim-stretch": 1.6, "deadline": 3_000_000,
                 "dedup-scope": "all", "window": 5_000_000, "importance": 3.0, "late-worth": 0.1,
                 "semantics": "once", "stream": False},
            ],
            "discovery": "automatic",
            "extra": {
                "attached-to": [0, 0], "bypass-allowed": True, "class-fresh": [0, 0], "class-grace": [0, 0],
                "class-write": [False, True], "crew-by-zone": [0, 1], "joins": False, "neighbours": "off",
                "note-level": "all", "obey-after": 500_000, "one-flow-kb-per-s": 5900.0,
                "purge-settles": self.purge_settles_ms * 1000, "second-tier-kind": 9, "segmented": [True, False],
                "store-kind": 1, "parent-cold-from": 0.067, "parent-limit-factor": 2.0, "parent-warms-in": 22_000_000,
            },
            "failure-domains": self.zones,
            "granularity": 2000,
            "policy-limits": {
                "conn-idle": 15_000_000, "dial-timeout": 400_000, "max-attempts": 6, "max-retry-after": 1_000_000,
                "may-cancel": True, "multiplex": 32, "peers": False, "probes": False, "retry-after": True,
                "second-copies": False,
            },
            "rules": {"ask-within": 10_000_000, "cold": 15_000_000, "cold-from": 0.2, "drain-grace": 500_000,
                      "fall": 1_000_000, "fall-multiple": 3.0, "grace-to-answer": 8000},
            "shapes": self.kinds,
            "slot-no": 0,
            "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
            "tenants": [],
            "tier": 0,
            "tiers": ["edge-cache"],
            "weight-kind": "nominal",
            "workload": "edge",
            "zone": 1,
        }
        settings.update(changes)
        return settings


class Director:
    """A director: a process of its own, started with the command `run` of the deploy file."""

    def __init__(self, world: World, folder: Path, name: str = "n1", arguments: str = "",
                 coordinator: Coordinator | None = None):
        self.world, self.folder, self.name, self.arguments = world, folder, name, arguments
        self.coordinator = coordinator or world.coordinator
        self.port = free_port()
        self.settings = world.settings()
        self.coordinator_port = self.coordinator.port
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, known: dict[str, Any]) -> Path:
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"127.0.0.1:{self.coordinator_port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": known,
            "settings": self.settings,
        }
        path = self.folder / f"{self.name}.json"
        partial = path.with_suffix(".part")
        partial.write_text(json.dumps(config))
        partial.replace(path)
        return path

    async def start(self) -> None:
        """Start the process and wait until it answers type 1 with code 1."""
        path = self.write_config(self.coordinator.known())
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        env = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with self.log.open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", f"{deploy['run']}{self.arguments}", cwd=ROOT, env=env,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
            )
        self.world.record(f"director {self.name} is started")
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"the director ended with {self.process.returncode}: {self.log.read_text()[-800:]}")
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                client = await Client.connect(self.world, self.port)
                ready = await asyncio.wait_for(client.is_ready(), 2)
                client.close()
                if ready:
                    self.world.record(f"director {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the director was not ready within 30 s")

    def send_signal(self, number: signal.Signals) -> None:
        self.world.record(f"director {self.name} gets {number.name}")
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals, limit: float = 8.0) -> int:
        """Send a signal and wait for the end; SIGKILL follows after `limit` seconds."""
        assert self.process is not None
        self.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.world.record(f"director {self.name} has ended with {self.process.returncode}")
        return int(self.process.returncode or 0)


# Clients


class Answer:
    """How a request ended at its client."""

    def __init__(self, code: int, fields: dict[str, str], body: bytes):
        self.code, self.fields, self.body = code, fields, body
        self.at = time.time()

    @property
    def name(self) -> str:
        return CODE_NAMES.get(self.code, str(self.code))


def encode_fields(fields: dict[str, str]) -> bytes:
    out = bytes([len(fields)])
    for name, value in fields.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return out


def decode_fields(data: bytes) -> tuple[dict[str, str], int]:
    fields, offset = {}, 1
    for _ in range(data[0]):
        end = offset + 1 + data[offset]
        name = data[offset + 1 : end].decode()
        size = int.from_bytes(data[end : end + 2], "big")
        fields[name] = data[end + 2 : end + 2 + size].decode()
        offset = end + 2 + size
    return fields, offset


class Client:
    """One connection of a client."""

    all: "list[Client]" = []  # of the whole run; closed at its end

    def __init__(self, world: World, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.world, self.reader, self.writer = world, reader, writer
        self.stream = 0
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.may_send = True
        self.is_lost = False
        self.task = asyncio.ensure_future(self._read())
        Client.all.append(self)  # a task alone does not keep its connection

    @classmethod
    async def connect(cls, world: World, port: int) -> "Client":
        return cls(world, *await asyncio.open_connection("127.0.0.1", port))

    def _send(self, kind: int, stream: int, payload: bytes = b"") -> None:
        self.writer.write((5 + len(payload)).to_bytes(4, "big") + bytes([kind]) + stream.to_bytes(4, "big") + payload)

    async def _read(self) -> None:
        try:
            while True:
                length = int.from_bytes(await self.reader.readexactly(4), "big")
                data = await self.reader.readexactly(length)
                kind, stream, payload = data[0], int.from_bytes(data[1:5], "big"), data[5:]
                if kind == 3:
                    self.may_send = False
                    continue
                future = self.waiting.pop(stream, None)
                if future is not None and not future.done():
                    fields, offset = decode_fields(payload[1:])
                    future.set_result(Answer(payload[0], fields, payload[1 + offset :]))
        except (OSError, EOFError):
            pass
        finally:
            self.is_lost = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(ConnectionResetError("the connection ended without an answer"))
            self.waiting.clear()

    def close(self) -> None:
        self.writer.close()

    async def is_ready(self) -> bool:
        self.stream += 1
        future = self.waiting[self.stream] = asyncio.get_running_loop().create_future()
        self._send(1, self.stream, encode_fields({}))
        return (await future).code == 1

    def send(self, route: str, obj: str, part: int = 0, group: int = 0, patience: int = 2000, body: bytes = b"",
             **more: str) -> tuple[str, asyncio.Future[Answer]]:
        """Send a request; return its id and the future of its answer."""
        self.stream += 1
        trace = os.urandom(8).hex()
        fields = {"route": route, "trace": trace, "patience": str(patience), "entity": obj, "part": str(part),
                  "group": str(group), "size": "40.0", **more}
        future = self.waiting[self.stream] = asyncio.get_running_loop().create_future()
        self._send(7, self.stream, encode_fields(fields) + body)
        self.world.record(f"client sends {trace} {route} {obj}/{part} patience {patience}")
        return trace, future

    async def ask(self, route: str, obj: str, part: int = 0, **more: Any) -> Answer:
        """Send a request and return its answer; a client waits for half a second after its time."""
        patience = int(more.get("patience", 2000))
        trace, future = self.send(route, obj, part, **more)
        answer = await asyncio.wait_for(future, patience / 1000 + 0.6)
        self.world.record(f"client gets {answer.name} for {trace}: {answer.body[:32]!r}")
        return answer


async def _play(main: Any, folder: Path) -> int:
    record = Record(folder)
    record(f"TROUBLE={int(trouble())}")
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        directors: list[Director] = []
        try:
            return int(await asyncio.wait_for(main(record, Path(scratch), directors), 112))
        except Exception as error:  # an error of the script itself shows nothing about the rule either
            record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            for child in CHILDREN:
                if child.returncode is None:
                    child.kill()
                    await child.wait()
            for client in Client.all:
                client.task.cancel()
                client.writer.close()
            await asyncio.gather(*(client.task for client in Client.all), return_exceptions=True)
            for director in directors:
                process = director.process
                if process is not None and process.returncode is None:
                    process.kill()
                    await process.wait()
                with contextlib.suppress(OSError):
                    for line in director.log.read_text().splitlines():
                        record(f"log of {director.name}: {line}")


def play(main: Any, folder: Path) -> None:
    """Play a case and end with its exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    sys.exit(asyncio.run(_play(main, folder)))
