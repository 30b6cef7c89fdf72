"""Owns stand-ins for cache nodes, hub caches and the origin: they keep copies by rank, fill from one another
over sockets, and count every byte of a body that they carried.

A fill goes out in pieces through the source's pace for one transfer and the branch's shared link in; it is
cut off as soon as nobody waits for it any more.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from collections import OrderedDict
from functools import partial

PIECE = 500  # bytes written at a time: what a fill that is cut off had on its way is told to that
Key = tuple[str, str]


def body_of(obj: str, part: str, size: int) -> bytes:
    text = f"{obj}/{part} ".encode()
    return (text * (size // len(text) + 1))[:size]


def resp(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_resp(reader: asyncio.StreamReader) -> list[bytes]:
    items = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


def forget(open_: dict[bytes, asyncio.Task[None]], name: bytes, task: asyncio.Task[None]) -> None:
    if open_.get(name) is task:
        del open_[name]


class Shaper:
    """A link that carries so many bytes a second, in the order in which they come to it."""

    def __init__(self, rate: float):
        self.rate, self.free_at = rate, 0.0

    async def pass_(self, count: int) -> None:
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + count / self.rate
        if self.free_at - now > 0.001:
            await asyncio.sleep(self.free_at - now)


class Store:
    """Copies by rank: what ranks lowest, and was asked for longest ago, goes first."""

    def __init__(self, room: int):
        self.room, self.held = room, 0
        self.ranks: list[OrderedDict[Key, tuple[bytes, int]]] = [OrderedDict() for _ in range(4)]

    def find(self, key: Key) -> tuple[bytes, int] | None:
        for copies in self.ranks:
            if key in copies:
                copies.move_to_end(key)
                return copies[key]
        return None

    def keep(self, key: Key, body: bytes, dated: int, rank: int) -> None:
        for copies in self.ranks:
            old = copies.pop(key, None)
            if old is not None:
                self.held -= len(old[0])
        self.ranks[rank][key] = body, dated
        self.held += len(body)
        for copies in self.ranks:
            while self.held > self.room and copies:
                _, (gone, _) = copies.popitem(last=False)
                self.held -= len(gone)


class LabNode:
    def __init__(self, lab: World, name: str, kind: str, zone: str, room: int, pace: float):
        self.lab, self.name, self.kind, self.zone = lab, name, kind, zone
        self.store, self.pace = Store(room), pace
        self.port = 0
        self.numbers = itertools.count(1)
        self.carried = 0  # bytes of bodies written to caches, of all lives
        self.given = 0  # and all others
        self.dispatches = self.fills_cut = 0
        self.silent = False
        self.since_ms = 0
        self.server: asyncio.Server | None = None
        self.held: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}  # by port
        self.fills: dict[Key, asyncio.Task[tuple[bytes, int, str]]] = {}
        self.waiters: dict[Key, int] = {}

    def spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self) -> None:
        if self.held is not None:
            self.held.close()
            self.held = None
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """As a process that dies: its connections are reset, what it held is gone."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.store = Store(self.store.room)
        for fill in self.fills.values():
            fill.cancel()
        self.fills.clear()
        for idle in self.idle.values():
            for _, other in idle:
                self.lab.hub_ends.discard(other.get_extra_info("sockname"))
                other.transport.abort()
        self.idle.clear()
        self.server = None
        self.held = socket.socket()  # keeps the port from others, and refuses
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held.bind(("127.0.0.1", self.port))

    async def end(self) -> None:
        await self.kill()
        if self.held is not None:
            self.held.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        open_: dict[bytes, asyncio.Task[None]] = {}
        lock = asyncio.Lock()
        try:
            while True:
                items = await read_resp(reader)
                if self.silent:
                    continue
                if items[0] == b"want":
                    task = open_[items[1]] = self.spawn(self._want(items, writer, lock))
                    task.add_done_callback(partial(forget, open_, items[1]))
                elif items[0] == b"never_mind" and items[1] in open_:
                    open_[items[1]].cancel()
                elif items[0] in (b"there", b"busy"):
                    writer.write(resp(items[1], b"READY", b"-"))
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            for task in list(open_.values()):
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _want(self, items: list[bytes], writer: asyncio.StreamWriter, lock: asyncio.Lock) -> None:
        self.dispatches += 1
        fields = dict(part.split("=", 1) for part in items[2].decode().split(","))
        key = fields["obj"], fields.get("seg", "0")
        hints = fields.get("hints", "").split("+")
        try:
            body, dated, note = await self._find(key, fields, hints)
        except LookupError as fault:
            word = b"NOENT" if "parent" not in fields and self.kind != "origin" else b"EIO"
            return self._write(writer, resp(items[1], word, b"res=%b" % str(fault.args[0]).encode()))
        except (OSError, EOFError):
            return self._write(writer, resp(items[1], b"EIO", b"res=b"))
        word, shown = b"ACK", body
        text = f"digest=4b,dated={dated},res={note},gauges=inflight:{self.dispatches % 7};util:0.4".encode()
        head = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in (items[1], word, text))
        if self.kind == "std":
            return self._write(writer, head + b"$%d\r\n%b\r\n" % (len(shown), shown))
        async with lock:  # a body on the way is cut off by the end of its connection, never within
            await self._send_body(writer, head, shown)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    async def _send_body(self, writer: asyncio.StreamWriter, head: bytes, body: bytes) -> None:
        """The bytes cross: in pieces, at this node's pace, through the branch's link in."""
        writer.write(head + b"$%d\r\n" % len(body))
        inward = writer.get_extra_info("peername") not in self.lab.hub_ends
        for at in range(0, len(body), PIECE):
            piece = body[at : at + PIECE]
            if writer.is_closing():
                raise ConnectionResetError
            if inward:
                await self.lab.link.pass_(len(piece))
            await asyncio.sleep(len(piece) / self.pace)
            writer.write(piece)
            self.given += len(piece)
            if inward:
                self.carried += len(piece)
        writer.write(b"\r\n")

    async def _find(self, key: Key, fields: dict[str, str], hints: list[str]) -> tuple[bytes, int, str]:
        if self.kind == "origin":
            await asyncio.sleep(0.01)
            size = self.lab.sizes.get(key[0], 1000)
            return body_of(*key, size), int(time.time() * 1000), "h"
        found = self.store.find(key)
        oldest = time.time() * 1000 - float(fields["accept"]) if fields.get("accept") else 0.0
        if found is not None and found[1] >= oldest:
            return found[0], found[1], "h"
        if ("held" in hints and self.kind != "std") or "parent" not in fields:
            raise LookupError("l")
        joined = key in self.fills
        if not joined:
            self.fills[key] = asyncio.ensure_future(self._fill(key, fields))
        fill = self.fills[key]
        self.waiters[key] = self.waiters.get(key, 0) + 1
        try:
            body, dated, note = await asyncio.shield(fill)
        finally:
            self.waiters[key] -= 1
            if not self.waiters[key]:
                del self.waiters[key]
                if not fill.done():
                    self.fills_cut += 1
                    fill.cancel()
                if self.fills.get(key) is fill:
                    del self.fills[key]
        return body, dated, "j" if joined else note

    async def _fetch(self, port: int, fields: str) -> list[bytes]:
        """One fill on a connection of its own; calling it off ends that, and with it what is on the way."""
        idle = self.idle.setdefault(port, [])
        while idle and idle[-1][1].is_closing():
            self.lab.hub_ends.discard(idle.pop()[1].get_extra_info("sockname"))
        reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", port)
        if self.kind == "parent":
            self.lab.hub_ends.add(writer.get_extra_info("sockname"))
        try:
            writer.write(resp(b"want", b"f%d" % next(self.numbers), fields.encode(), b""))
            items = await read_resp(reader)
        except BaseException:
            self.lab.hub_ends.discard(writer.get_extra_info("sockname"))  # its port may be a cache's next
            writer.transport.abort()
            raise
        idle.append((reader, writer))
        return items

    async def _fill(self, key: Key, fields: dict[str, str]) -> tuple[bytes, int, str]:
        source = self.lab.nodes.get(fields["parent"])
        if source is None:
            raise LookupError("r")
        ask = f"kind={fields['kind']},obj={key[0]},seg={key[1]},ms={fields['ms']}"
        if source.kind == "parent":
            ask += ",parent=" + self.lab.origin.name + ",shelf=2"
            if "held" in fields.get("hints", "").split("+"):
                ask += ",hints=held"
        items = await self._fetch(source.port, ask)
        if items[1] != b"ACK":
            raise LookupError("l" if items[1] == b"NOENT" else "r")
        told = dict(part.split("=", 1) for part in items[2].decode().split(","))
        rank = int(fields.get("shelf", "0"))
        body, dated = items[3], int(told["dated"])
        if self.kind == "parent" or rank:
            self.store.keep(key, body, dated, rank if self.kind == "std" else 1)
        return body, dated, "o" if told.get("res") in ("f", "o") else "f"


class World:
    """All stand-ins of one run, and what they share."""

    def __init__(self, link: float):
        self.nodes: dict[str, LabNode] = {}
        self.sizes: dict[str, int] = {}
        self.link = Shaper(link)
        self.origin: LabNode
        self.hub_ends: set[tuple[str, int]] = (
            set()
        )  # hubs' ends of their own connections: not into the branch

    def add(self, node: LabNode) -> LabNode:
        self.nodes[node.name] = node
        if node.kind == "origin":
            self.origin = node
        return node
