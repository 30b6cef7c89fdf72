"""Stand-ins for the review's cases: clients, cache nodes, origin and coordinator on loopback, and a director process.

Written from the protocol page; it shares no code with the project. Everything runs in one asyncio loop, but the
director, which is started with the command `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVED, REFUSED, FAILED = 1, 2, 3
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


class Record:
    """What was sent, answered and run: one line an event, in record.txt of the case's folder."""

    def __init__(self, folder: Path):
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", buffering=1)

    def __call__(self, *parts: object) -> None:
        self.file.write(f"{time.monotonic() - self.started:9.4f} " + " ".join(map(str, parts)) + "\n")


def free_ports(count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


# --- cache nodes, parents, origin -------------------------------------------------------------------------------


def bulk(item: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(item), item)


def array(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(map(bulk, items))


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    line = await reader.readuntil(b"\r\n")
    items = []
    for _ in range(int(line[1:-2])):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


def fields_of(text: bytes) -> dict[str, str]:
    if text == b"-":
        return {}
    return dict(part.partition("=")[::2] for part in text.decode().split(","))


class Node:
    """One cache node, parent or origin. A sound one: hits, fills from the source that the command names, misses."""

    def __init__(self, record: Record, name: str, kind: str, zone: str = "edge-1", clock=time.time):
        self.record, self.name, self.kind, self.zone, self.clock = record, name, kind, zone, clock
        self.port = 0
        self.copies: dict[tuple[str, str], tuple[bytes, int, str]] = {}  # body, dated, tag
        self.service_s = 0.005
        self.requests = 0
        self.hanging = False  # takes work and answers nothing
        self.on_want = None  # async (connection, id, fields) -> True if it has dealt with the command
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def body_of(self, obj: str, seg: str) -> bytes:
        return f"{obj}/{seg}/".encode() * 20

    def fresh_copy(self, obj: str, seg: str) -> tuple[bytes, int, str]:
        dated = int(self.clock() * 1000)
        return self.body_of(obj, seg), dated, f"{dated:x}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        open_: dict[bytes, asyncio.Task] = {}
        try:
            while True:
                items = await read_array(reader)
                if items[0] == b"want":
                    self.requests += 1
                    task = asyncio.ensure_future(self._want(writer, items[1], fields_of(items[2])))
                    open_[items[1]] = task
                elif items[0] == b"never_mind":
                    self.record("node", self.name, "never_mind", items[1].decode())
                    task = open_.pop(items[1], None)
                    if task is not None:
                        task.cancel()
                elif not self.hanging:
                    writer.write(array(items[1], b"READY", b"-"))
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            for task in open_.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _want(self, writer: asyncio.StreamWriter, ident: bytes, fields: dict[str, str]) -> None:
        name = ident.decode()
        shown = " ".join(f"{k}={fields[k]}" for k in ("kind", "obj", "seg", "ms", "parent", "accept") if k in fields)
        self.record("node", self.name, "want", name, shown)
        if self.on_want is not None and await self.on_want(self, writer, name, fields):
            return
        if self.hanging:
            self.record("node", self.name, "hangs on", name)
            return
        await asyncio.sleep(self.service_s)
        key = fields["obj"], fields.get("seg", "0")
        copy, note = self.copies.get(key), "h"
        accept = float(fields.get("accept") or 0)
        if copy is not None and accept and copy[1] < self.clock() * 1000 - accept:
            copy = None
        if copy is None:
            if self.kind != "origin" and "parent" not in fields:
                self.answer(writer, ident, b"NOENT", "-")
                return
            await asyncio.sleep(self.service_s)
            copy, note = self.fresh_copy(*key), "f"
            if fields.get("shelf", "0") != "0":
                self.copies[key] = copy
        body, dated, tag = copy
        if fields.get("got") == tag:
            self.answer(writer, ident, b"NOMOD", f"digest={tag},dated={dated},res={note}")
        else:
            self.answer(writer, ident, b"ACK", f"digest={tag},dated={dated},res={note}", body)

    def answer(self, writer: asyncio.StreamWriter, ident: bytes, word: bytes, fields: str, body: bytes = b"") -> None:
        if writer.is_closing():
            return
        self.record("node", self.name, word.decode(), ident.decode(), fields)
        writer.write(array(ident, word, fields.encode(), body))


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection (RST), as a process that dies does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- the coordinator --------------------------------------------------------------------------------------------

RECORD = struct.Struct(">I4sHBBBHIQ")
READY, DRAINING, GONE = 0, 1, 2


class Coordinator:
    """Numbered events over TCP, and an empty frame each second."""

    def __init__(self, record: Record, zones: list[str], kinds: list[str], kind_of: dict[str, str]):
        self.record, self.zones, self.kinds, self.kind_of = record, zones, kinds, kind_of
        self.events: list[bytes] = []
        self.first = 2  # 1 is the list in the configuration
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.write = self._write_whole  # async (writer, frame); replaced by a slow one

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def _frame(self, number: int, kind: int, payload: bytes = b"") -> bytes:
        data = number.to_bytes(8, "big") + bytes([kind]) + payload
        return len(data).to_bytes(4, "big") + data

    def _add(self, kind: int, payload: bytes) -> int:
        number = self.first + len(self.events)
        self.events.append(self._frame(number, kind, payload))
        self.changed.set()
        return number

    def row(self, node: Node, state: int, since_ms: int = 0, weight: int = 20) -> bytes:
        return RECORD.pack(
            int(node.name[2:], 16), bytes([127, 0, 0, 1]), node.port, state, self.zones.index(node.zone),
            self.kinds.index(self.kind_of[node.kind]), 0, weight * 1000, since_ms,
        )

    def tell_nodes(self, rows: list[bytes], whole: bool = False) -> int:
        return self._add(1 if whole else 2, b"".join(rows))

    def tell_purge(self, obj: str, unix_ms: int) -> int:
        return self._add(3, int(obj, 16).to_bytes(8, "big") + unix_ms.to_bytes(8, "big"))

    async def _write_whole(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(frame)
        await writer.drain()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            have = int.from_bytes(await reader.readexactly(8), "big")
            self.record("coordinator", "asked for events after", have)
            while not writer.is_closing():
                while have < self.first + len(self.events) - 1:
                    index = max(0, have - self.first + 1)
                    await self.write(writer, self.events[index])
                    have = self.first + index
                    self.record("coordinator", "wrote event", have)
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 1.0)
                except TimeoutError:
                    await self.write(writer, self._frame(have, 0))
        except (OSError, EOFError, asyncio.CancelledError):
            self.record("coordinator", "a connection ended")
        finally:
            self.writers.discard(writer)
            writer.close()


# --- clients ----------------------------------------------------------------------------------------------------


def encode_fields(fields: dict[str, str]) -> bytes:
    out = bytes([len(fields)])
    for name, value in fields.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return out


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def decode_fields(data: bytes) -> tuple[dict[str, str], bytes]:
    fields, at = {}, 1
    for _ in range(data[0]):
        size = data[at]
        name = data[at + 1 : at + 1 + size].decode()
        at += 1 + size
        size = int.from_bytes(data[at : at + 2], "big")
        fields[name] = data[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return fields, data[at:]


class Answer:
    def __init__(self, code: int, fields: dict[str, str], body: bytes):
        self.code, self.fields, self.body, self.at = code, fields, body, time.monotonic()

    @property
    def word(self) -> str:
        return CODE_NAMES.get(self.code, str(self.code))


class Client:
    """One client connection; `ask` sends a request and returns a future of its answer."""

    def __init__(self, record: Record, name: str):
        self.record, self.name = record, name
        self.stream = 0
        self.waiting: dict[int, asyncio.Future] = {}
        self.traces: dict[int, str] = {}
        self.answered_twice = 0
        self.goaway = False
        self.ready = asyncio.Event()
        self.errors: list[str] = []
        self.closed = asyncio.Event()

    async def connect(self, port: int) -> "Client":
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.task = asyncio.ensure_future(self._read())
        return self

    def check_ready(self) -> None:
        self.writer.write(frame(1, 1 << 30, encode_fields({})))

    def ask(self, fields: dict[str, str], body: bytes = b"") -> asyncio.Future:
        self.stream += 1
        trace = fields.setdefault("trace", secrets.token_hex(8))
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.stream], self.traces[self.stream] = future, trace
        future.asked_at = time.monotonic()  # type: ignore[attr-defined]
        self.record("client", self.name, "asks", trace, fields["route"], fields["entity"], f"patience={fields['patience']}")
        self.writer.write(frame(7, self.stream, encode_fields(fields) + body))
        return future

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = struct.unpack(">IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                if kind == 8:
                    fields, body = decode_fields(payload[1:])
                    answer = Answer(payload[0], fields, body)
                    if not stream:
                        self.errors.append(body.decode(errors="replace"))
                        self.record("client", self.name, "is told of an error", body)
                        continue
                    trace = self.traces.get(stream, "?")
                    future = self.waiting.pop(stream, None)
                    self.record("client", self.name, "gets", trace, answer.word, fields, f"{len(body)} bytes")
                    if future is None:
                        self.answered_twice += 1
                    elif not future.done():
                        future.set_result(answer)
                elif kind == 2:
                    if payload[0] == 1:
                        self.ready.set()
                elif kind == 3:
                    self.goaway = True
                    self.record("client", self.name, "is told to bring no new requests")
        except (OSError, EOFError, asyncio.IncompleteReadError):
            self.record("client", self.name, "connection ended,", len(self.waiting), "requests open")
        finally:
            self.closed.set()

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


# --- the director -----------------------------------------------------------------------------------------------


class Director:
    """A director, started with the command of the deploy file (and `extra` behind it)."""

    def __init__(self, record: Record, folder: Path, config: dict, extra: str = ""):
        self.record, self.folder, self.config, self.extra = record, folder, config, extra
        self.port = int(config["listen"].rpartition(":")[2])
        self.path = folder / f"{config['name']}.json"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(self.path)

    async def start(self) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"] + self.extra
        tmp = self.folder / "tmp"
        tmp.mkdir(exist_ok=True)
        env = {**os.environ, "PROXY_NAME": self.config["name"], "PROXY_LISTEN": self.config["listen"],
               "PROXY_CONFIG": str(self.path), "TMPDIR": str(tmp)}
        with (self.folder / "director.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        self.record("director started, process", self.process.pid)

    async def wait_ready(self, max_wait: float = 30.0) -> None:
        deadline = time.monotonic() + max_wait
        while time.monotonic() < deadline:
            if self.process is None or self.process.returncode is not None:
                raise RuntimeError("the director has ended: " + self.log()[-800:])
            client = Client(self.record, "front")
            try:
                await client.connect(self.port)
                client.check_ready()
                await asyncio.wait_for(client.ready.wait(), 2.0)
                client.close()
                self.record("director is ready")
                return
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
        raise RuntimeError("the director did not become ready: " + self.log()[-800:])

    def log(self) -> str:
        return (self.folder / "director.log").read_text()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record("director gets", signal.Signals(number).name)
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        return self.process is not None and self.process.returncode is not None

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


ZONES = ["kuzey", "edge-1"]
KINDS = ["gen-a", "parent", "origin"]
KIND_OF = {"cache": "gen-a", "parent": "parent", "origin": "origin"}


def settings(classes: list[dict], **extra: object) -> dict:
    """Settings of a small deployment: one branch, one hub, figures of davet-edge where nothing else is said."""
    count = len(classes)
    return {
        "balancers": 1, "zone": 1, "tier": 0, "tiers": ["davet-cache"], "failure-domains": ZONES, "shapes": KINDS,
        "classes": classes, "clients": {"marks-retry": True}, "discovery": "automatic", "granularity": 2000,
        "weight-kind": "rough", "workload": "edge", "worth-by": "request", "slot-no": 0, "tenants": [],
        "extra": {
            "aged-worth": [0.7] * count, "attached-to": [0, 0], "bypass-allowed": False, "byte-fee": 0.02,
            "class-fresh": [0] * count, "class-grace": [0] * count, "class-write": [False] * count,
            "crew-by-zone": [0, 1], "inlet-kb-per-s": [0.0, 0.0], "joins": False, "neighbours": "location",
            "note-level": "hit", "obey-after": 300000, "one-flow-kb-per-s": 5900.0, "origin-fall": 3000000,
            "origin-limit-factor": 0.0, "parent-cold-from": 0.067, "parent-limit-factor": 2.0,
            "parent-warms-in": 22000000, "purge-settles": 6000000, "second-tier-kind": 1,
            "segmented": [False] * count, "store-kind": 2, **extra,
        },
        "policy-limits": {
            "conn-idle": 15000000, "cpu-us-per-s": 555207, "dial-timeout": 400000, "max-attempts": 8,
            "max-retry-after": 1000000, "may-cancel": True, "multiplex": 32, "open-cap": 22208, "peers": True,
            "probes": True, "retry-after": True, "second-copies": False,
        },
        "rules": {"ask-within": 10000000, "cold": 17000000, "cold-from": 0.22, "drain-grace": 500000,
                  "fall": 1000000, "fall-multiple": 3.0, "grace-to-answer": 8000},
        "telemetry": {"fields": ["busy", "rif", "x1"], "how": "inline"},
    }


def a_class(name: str, deadline_us: int, semantics: str = "repeatable", **more: object) -> dict:
    return {"name": name, "aim": 300000, "aim-stretch": 2.0, "deadline": deadline_us, "semantics": semantics,
            "dedup-scope": "all", "importance": 1.0, "late-worth": 0.2, "stream": False, "window": 5000000, **more}


def configuration(port: int, coordinator_port: int, nodes: list[Node], deployment: dict, memory_mb: int = 192) -> dict:
    rows = [{"name": node.name, "address": f"127.0.0.1:{node.port}", "zone": node.zone, "type": KIND_OF[node.kind],
             "group": 0, "status": "SERVING", "weight": 20, "since_ms": 0} for node in nodes]
    return {
        "name": "n0", "listen": f"127.0.0.1:{port}", "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "peers": [], "coordinator": f"127.0.0.1:{coordinator_port}",
        "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"index": 1, "snapshot": True, "endpoints": rows}}]},
        "settings": deployment,
    }


class Site:
    """Caches, a parent, an origin, a coordinator and a director; `run_case` makes one and ends all of it."""

    def __init__(self, record: Record, folder: Path, caches: int, clock=time.time):
        self.record, self.folder = record, folder
        self.caches = [Node(record, f"s-{0x0a0000 + i:08x}", "cache", "edge-1", clock) for i in range(caches)]
        self.parent = Node(record, "s-000b0000", "parent", "kuzey", clock)
        self.origin = Node(record, "s-000c0000", "origin", "kuzey", clock)
        self.nodes = [*self.caches, self.parent, self.origin]
        self.coordinator = Coordinator(record, ZONES, KINDS, KIND_OF)
        self.director: Director | None = None

    async def start(self, deployment: dict, memory_mb: int = 192, extra: str = "") -> Director:
        for node in self.nodes:
            await node.start()
        await self.coordinator.start()
        port = free_ports(1)[0]
        config = configuration(port, self.coordinator.port, self.nodes, deployment, memory_mb)
        self.director = Director(self.record, self.folder, config, extra)
        await self.director.start()
        await self.director.wait_ready()
        return self.director

    async def stop(self) -> None:
        if self.director is not None:
            await self.director.stop()
        self.coordinator.stop()
        for node in self.nodes:
            node.stop()


def run_case(main, folder: Path, limit_s: float = 110.0) -> None:
    """Runs `main(record, temporary folder)`, which returns whether the rule held; exits with 0, 1 or 2."""
    record = Record(folder)
    record("TROUBLE =", int(TROUBLE))

    async def bounded(temporary: Path) -> bool:
        return await asyncio.wait_for(main(record, temporary), limit_s)

    with tempfile.TemporaryDirectory(prefix="ironhinge-review-") as name:
        try:
            held = asyncio.run(bounded(Path(name)))
        except BaseException as error:  # noqa: BLE001 - any failure of the test itself is 'could not run'
            record("could not run:", repr(error))
            print("could not run:", repr(error), file=sys.stderr)
            sys.exit(2)
        finally:
            log = Path(name) / "director.log"
            if log.exists():
                record("--- log of the director")
                record.file.write(log.read_text())
    record("the rule", "held" if held else "was broken")
    print("the rule", "held" if held else "was broken")
    sys.exit(0 if held else 1)
