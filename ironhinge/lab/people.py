"""Owns the stand-ins for the coordinator and the clients, and the count of what clients were answered.

A client asks, waits, stays away as long as it is told, asks again, leaves; it counts every answer, so that
one too many or too few is seen. It must never know how a director works.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from random import Random

from ..net.client_wire import read_fields, write_fields
from .nodes import LabNode, body_of
from .scenes import BYTES, FILM, Ask

PATIENCE = 3.0  # seconds that a client waits for a whole answer
TRIES = 12  # of one part; the last of them ends the stream
IDLE = 3.0  # seconds after which it closes a connection that it does not use
CROSSES = 0.05  # seconds after which a req that a closed connection took with it is lost
AWAY = 0.1  # seconds that a client stays away when it is told nothing
WORDS = {1: "done", 2: "denied", 3: "aborted"}


class Coordinator:
    """Tells the list of nodes as numbered events."""

    RECORD = struct.Struct(">I4sHBBBHIQ")

    def __init__(self, zones: list[str], kinds: list[str]):
        self.zones, self.kinds = zones, kinds
        self.events: list[bytes] = []
        self.told = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.first = 1

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, nodes: list[LabNode], state: int = 0) -> None:
        """A change of these nodes: 0 ready, 1 draining, 2 gone."""
        number = len(self.events) + 2  # the configuration holds the first
        rows = b"".join(
            self.RECORD.pack(
                int(node.name[2:], 16),
                bytes([127, 0, 0, 1]),
                node.port,
                state,
                self.zones.index(node.zone),
                self.kinds.index(node.kind),
                0,
                20_000,
                node.since_ms,
            )
            for node in nodes
        )
        payload = number.to_bytes(8, "big") + b"\2" + rows
        self.events.append(len(payload).to_bytes(4, "big") + payload)
        self.told.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            known = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                for data in self.events[max(0, known - 1) :]:
                    writer.write(data)
                known = max(known, len(self.events) + 1)
                self.told.clear()
                try:
                    await asyncio.wait_for(self.told.wait(), 0.5)
                except TimeoutError:
                    writer.write((9).to_bytes(4, "big") + known.to_bytes(8, "big") + b"\0")
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Front:
    """A client's connection to a director; answers come by stream."""

    def __init__(self, tally: Tally):
        self.tally, self.stream = tally, 0
        self.waiting: dict[int, asyncio.Future[tuple[str, dict[str, str], bytes]]] = {}
        self.left: set = set()
        self.over = False  # takes no new req: the director said so, or the connection has ended
        self.writer: asyncio.StreamWriter
        self.reading: asyncio.Task[None]

    async def open(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.reading = asyncio.ensure_future(self._read(reader))

    def frame(self, kind: int, stream: int, payload: bytes = b"") -> None:
        self.writer.write(struct.pack(">IBI", 5 + len(payload), kind, stream) + payload)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                (length,) = struct.unpack(">I", await reader.readexactly(4))
                data = await reader.readexactly(length)
                kind, stream = data[0], int.from_bytes(data[1:5], "big")
                self.over = self.over or kind == 3
                if kind != 8:
                    continue
                fields, end = read_fields(data[6:])
                future = self.waiting.pop(stream, None)
                if future is None:
                    if stream in self.left:
                        self.left.discard(stream)  # crossed its leave
                    else:
                        self.tally.counts["doubled"] += 1
                elif not future.done():
                    future.set_result((WORDS.get(data[5], "aborted"), fields, data[6 + end :]))
        except (OSError, EOFError):
            pass
        finally:
            self.over = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_exception(ConnectionResetError())
            self.waiting.clear()

    async def ask(
        self, route: str, obj: int, part: int, body: int, redo: bool, trace: str, leaves: float
    ) -> tuple[str, dict[str, str]]:
        """One req; how it ended, and the fields of the answer."""
        self.stream += 1
        stream, tally = self.stream, self.tally
        fields = {
            "route": route,
            "trace": trace,
            "patience": str(int(PATIENCE * 1000)),
            "entity": f"{obj:016x}",
            "part": str(part),
            "group": str(obj % 256),
            "size": f"{body / BYTES:.1f}",
        }
        if redo:
            fields["redo"] = "1"
        future = self.waiting[stream] = asyncio.get_running_loop().create_future()
        began = asyncio.get_running_loop().time()
        tally.counts["sent"] += 1
        self.frame(7, stream, write_fields(fields))
        try:
            if leaves:
                await asyncio.wait_for(asyncio.shield(future), leaves)
            word, told, data = await asyncio.wait_for(future, PATIENCE + 1.0)
        except TimeoutError:
            self.waiting.pop(stream, None)
            self.left.add(stream)
            if leaves:
                tally.counts["left"] += 1
                self.frame(9, stream)
                return "left", {}
            tally.counts["unanswered"] += 1
            return "unanswered", {}
        except ConnectionResetError:
            if asyncio.get_running_loop().time() - began <= CROSSES:
                tally.counts["sent"] -= 1  # it crossed the close of an idle connection: sent again, once
                tally.counts["crossed"] += 1
                return "crossed", {}
            tally.counts["unanswered"] += 1
            return "unanswered", {}
        tally.counts["answers"] += 1
        tally.counts[word] += 1
        if word == "done":
            tally.times.append(asyncio.get_running_loop().time() - began)
            if data != body_of(f"{obj:016x}", str(part), body):
                tally.counts["spoiled"] += 1
        return word, told

    async def close(self) -> None:
        self.reading.cancel()
        self.writer.close()


class Tally:
    """What all clients saw."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.times: list[float] = []


class People:
    """All clients of a run."""

    def __init__(self, ports: list[int], seed: int):
        self.ports, self.tally = ports, Tally()
        self.chance = Random(seed ^ 0x5EED)
        self.shared: dict[int, list[tuple[float, Front]]] = {}  # idle ones, and since when

    def trace(self) -> str:
        return f"{self.chance.getrandbits(64):016x}"

    async def _front(self, viewer: int) -> Front:
        """A connection to the viewer's director; to the next one while that is down."""
        for turn in range(4 * len(self.ports)):
            front = Front(self.tally)
            try:
                await front.open(self.ports[(viewer + turn) % len(self.ports)])
                return front
            except ConnectionRefusedError:
                if turn % len(self.ports) == len(self.ports) - 1:
                    await asyncio.sleep(AWAY)
        raise ConnectionRefusedError

    async def play(self, ask: Ask) -> None:
        if ask.route == FILM:
            return await self._watch(ask)
        place = ask.viewer % len(self.ports)
        idle = self.shared.setdefault(place, [])
        loop = asyncio.get_running_loop()
        while idle and (idle[0][0] < loop.time() - IDLE or idle[0][1].over):  # as usual clients do
            await idle.pop(0)[1].close()
        while idle and idle[-1][1].over:
            await idle.pop()[1].close()
        front = idle.pop()[1] if idle else await self._front(place)
        for tries in range(3):
            args = ask.route, ask.obj, 0, ask.body, tries > 0, self.trace(), ask.leaves
            word, told = await front.ask(*args)
            if word == "crossed":
                front = await self._front(place)
                word, told = await front.ask(*args)
            if word != "denied":
                break
            await asyncio.sleep(int(told.get("pause", 0)) / 1000 or AWAY)
        if word != "unanswered" and len(idle) < 64:
            idle.append((loop.time(), front))
        else:
            await front.close()

    async def _watch(self, ask: Ask) -> None:
        """A stream: its parts in turn, each again while it is refused; who gets no first part goes away."""
        front, counts = await self._front(ask.viewer), self.tally.counts
        counts["streams"] += 1
        loop = asyncio.get_running_loop()
        gap = ask.leaves or 0.5
        try:
            for part in range(ask.parts):
                began = loop.time()
                if front.over:
                    await front.close()
                    front = await self._front(ask.viewer)
                for tries in range(TRIES if part else 1):
                    word, told = await front.ask(
                        ask.route, ask.obj, part, ask.body, tries > 0, self.trace(), 0.0
                    )
                    if word == "crossed":
                        front = await self._front(ask.viewer)
                        word, told = await front.ask(
                            ask.route, ask.obj, part, ask.body, tries > 0, self.trace(), 0.0
                        )
                    if word != "denied":
                        break
                    await asyncio.sleep(max(AWAY, int(told.get("pause", 0)) / 1000))
                if word != "done":
                    counts["streams_broken" if part else "streams_refused"] += 1
                    return
                if not part:
                    counts["streams_begun"] += 1
                if part + 1 < ask.parts:
                    await asyncio.sleep(max(0.0, gap - (loop.time() - began)))
            counts["streams_whole"] += 1
        finally:
            await front.close()
