"""Clients of many kinds: steady ones that use a connection until its end, resting, pipelined and slow ones,
and such that leave. Each writes down what it sent and what it got.
"""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import Callable
from random import Random

from . import wire
from .plan import Path, Plan, RequestClass
from .records import REFUSED, SERVED, Connection, Records, Try

KINDS = ("steady", "steady", "obeying", "resting", "pipelined", "slow", "leaving")
AGAIN = 0.05  # seconds before a client connects anew
CROSSED = 0.05  # seconds within which a request that crossed an end is sent again, once
STREAMS = 32

Where = Callable[[], int | None]  # the port at which a director can be reached now


class Front:
    """One connection of a client."""

    def __init__(self, connection: Connection, records: Records):
        self.connection, self.records = connection, records
        self.stream = 0
        self.open: dict[int, Try] = {}
        self.seen: dict[int, Try] = {}
        self.answered = asyncio.Event()
        self.over = asyncio.Event()
        self.announced = asyncio.Event()
        self.writer: asyncio.StreamWriter
        self.reading: asyncio.Task

    async def connect(self, port: int) -> None:
        """OSError where nobody listens."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.connection.opened_at = time.monotonic()
        self.records.connections.append(self.connection)
        self.reading = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames, ending = wire.Frames(), "end"
        try:
            while data := await reader.read(65536):
                for kind, stream, payload in frames.feed(data):
                    self._take(kind, stream, payload)
        except OSError:
            ending = "reset"
        except asyncio.CancelledError:
            ending = "ours"
        finally:
            self.connection.ended_at = self.connection.ended_at or time.monotonic()
            self.connection.ending = self.connection.ending or ending
            self.over.set()
            self.answered.set()
            self.writer.close()

    def _take(self, kind: int, stream: int, payload: bytes) -> None:
        now = time.monotonic()
        if kind == wire.NO_MORE:
            self.connection.announced_at = self.connection.announced_at or now
            self.announced.set()
        elif kind == wire.ANSWER and not stream:
            self.connection.error_at = now
        elif kind == wire.ANSWER and stream in self.seen:
            code, _, body = wire.read_answer(payload)
            self.seen[stream].answers.append((now, code, body[:64].decode(errors="replace").split(";")[0]))
            self.open.pop(stream, None)
            self.answered.set()

    def begin(self, one: Try, fields: dict[str, str]) -> bytes:
        """The bytes of a request on a new stream; the caller writes them and says when."""
        self.stream += 1
        self.open[self.stream] = self.seen[self.stream] = one
        self.records.tries.append(one)
        one.begun_at = time.monotonic()
        return wire.request(self.stream, fields)

    async def wait(self, one: Try, until: float) -> bool:
        """Until it is answered, the connection is over, or time is up; True if it was answered."""
        while not one.answers and not self.over.is_set() and time.monotonic() < until:
            self.answered.clear()
            try:
                await asyncio.wait_for(self.answered.wait(), max(0.001, until - time.monotonic()))
            except TimeoutError:
                pass
        return bool(one.answers)

    def leave(self, one: Try) -> None:
        """Says that nobody waits for it any more."""
        for stream, each in list(self.open.items()):
            if each is one:
                del self.open[stream]
                one.left_at = time.monotonic()
                self.writer.write(wire.frame(wire.CANCEL, stream))

    def close(self, by_reset: bool = False) -> None:
        """Ends the connection and all that is open on it."""
        now = time.monotonic()
        for one in self.open.values():
            one.left_at = one.left_at or now
        if not self.connection.ending:
            self.connection.ending, self.connection.ended_at = "ours", now
        if by_reset:
            self.writer.transport.abort()
        else:
            self.writer.close()


class Client:
    """One client of one director."""

    def __init__(
        self, plan: Plan, records: Records, number: int, director: int, where: Where, life: Callable[[], int]
    ):
        self.plan, self.records, self.number, self.director = plan, records, number, director
        self.where, self.life = where, life
        self.draw = Random(plan.seed * 1000 + number)
        self.kind = KINDS[self.draw.randrange(len(KINDS))]
        self.path: Path = plan.client_paths[self.draw.randrange(len(plan.client_paths))]
        self.front: Front | None = None
        self.until = 0.0

    async def run(self, until: float) -> None:
        """Asks until that time."""
        self.until = until
        while time.monotonic() < until:
            front = await self._front()
            if front is None:
                await asyncio.sleep(AGAIN)
                continue
            await getattr(self, f"_{self.kind}")(front)
            await asyncio.sleep(self.draw.expovariate(1 / 0.06))
        if self.front is not None and not self.front.over.is_set():
            for one in list(self.front.open.values()):
                await self.front.wait(one, one.begun_at + one.patience + 1.0)
            self.front.close()

    async def _front(self) -> Front | None:
        """The open connection, or a new one."""
        front = self.front
        obeys = self.kind != "steady"  # a steady one goes on using it until it ends
        if front is not None and not front.over.is_set() and not (obeys and front.announced.is_set()):
            return front
        if front is not None and not front.over.is_set() and not front.open:
            front.close()
        port = self.where()
        if port is None:
            return None
        number = len(self.records.connections) + 1
        path = self.path
        connection = Connection(
            number, self.director, self.life(), path.delay, path.hold_end, time.monotonic()
        )
        self.front = Front(connection, self.records)
        try:
            await self.front.connect(port)
        except OSError:
            self.front = None
        return self.front

    # What kinds of clients do

    async def _steady(self, front: Front) -> None:
        await self._ask(front)

    async def _obeying(self, front: Front) -> None:
        await self._ask(front)

    async def _resting(self, front: Front) -> None:
        """Asks once, then rests until the director says or does something, and asks just then."""
        await self._ask(front)
        wakes = [asyncio.ensure_future(front.announced.wait()), asyncio.ensure_future(front.over.wait())]
        await asyncio.wait(
            wakes, timeout=max(0.0, self.until - time.monotonic()), return_when=asyncio.FIRST_COMPLETED
        )
        for wake in wakes:
            wake.cancel()
        if front.announced.is_set() and not front.over.is_set() and self.draw.random() < 0.5:
            await asyncio.sleep(self.draw.uniform(0.0, 0.02))
            if not front.over.is_set():
                await self._ask(front)  # crossed the announcement

    async def _pipelined(self, front: Front) -> None:
        count = min(self.draw.randrange(2, 12), STREAMS - len(front.open))
        tries = [self._begin(front, self._class()) for _ in range(count)]
        data = b"".join(data for _, data in tries)
        front.writer.write(data)
        now = time.monotonic()
        for one, _ in tries:
            one.written_at = now
        for one, _ in tries:
            await front.wait(one, now + one.patience + 1.0)

    async def _slow(self, front: Front) -> None:
        one, data = self._begin(front, self._class())
        cuts = sorted(self.draw.randrange(1, len(data)) for _ in range(self.draw.randrange(1, 5)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            if front.over.is_set():
                break
            front.writer.write(data[start:end])
            if end < len(data):
                await asyncio.sleep(self.draw.uniform(0.0, 0.04))
        else:
            one.written_at = time.monotonic()
            if front.over.is_set():
                one.written_at = None
            await front.wait(one, time.monotonic() + one.patience + 1.0)

    async def _leaving(self, front: Front) -> None:
        one, data = self._begin(front, self._class())
        self._write(front, one, data)
        await front.wait(one, time.monotonic() + self.draw.uniform(0.0, 0.05))
        if one.answers or front.over.is_set():
            return
        if self.draw.random() < 0.6:
            front.leave(one)
        else:
            front.close(self.draw.random() < 0.5)

    async def _ask(self, front: Front) -> None:
        """One operation, with the retries that its class allows."""
        cls = self._class()
        one, data = self._begin(front, cls)
        self._write(front, one, data)
        for _ in range(2):
            await front.wait(one, time.monotonic() + one.patience + 1.0)
            code = one.answers[0][1] if one.answers else 0
            may_retry = code == REFUSED or (cls.effect == "repeatable" and code != SERVED)
            if not may_retry or self.draw.random() < 0.5 or front.over.is_set():
                return
            await asyncio.sleep(self.draw.uniform(0.0, 0.05))
            if front.over.is_set():
                return
            one, data = self._begin(front, cls, one)
            self._write(front, one, data)

    def _write(self, front: Front, one: Try, data: bytes) -> None:
        front.writer.write(data)
        one.written_at = time.monotonic()

    def _class(self) -> RequestClass:
        return self.plan.classes[self.draw.choice([0, 0, 0, 1, 1, 2, 3])]

    def _patience(self, cls: RequestClass) -> float:
        kind = self.draw.random()
        if kind < 0.1:
            return self.draw.uniform(0.001, 0.06)
        if kind < 0.3:
            return min(cls.deadline, self.draw.uniform(0.06, 0.4))
        return cls.deadline

    def _begin(self, front: Front, cls: RequestClass, before: Try | None = None) -> tuple[Try, bytes]:
        """A try of a new operation, or of the one of an earlier try."""
        trace = f"{self.draw.getrandbits(64):016x}"
        popular = int(self.draw.paretovariate(0.8)) % 40
        obj = f"{popular:016x}" if cls.effect == "repeatable" else trace
        if before is not None:
            obj = before.operation
        one = Try(trace, obj, cls.name, front.connection, self._patience(cls))
        fields = {
            "route": cls.name,
            "trace": trace,
            "patience": str(max(1, int(one.patience * 1000))),
            "entity": obj,
            "part": "0",
            "group": str(int(obj, 16) % 8),
            "size": str(self.draw.choice([40, 120, 400])),
        }
        if before is not None:
            fields["redo"] = "1"
        if cls.effect == "by_key":
            fields["nonce"] = obj
        return one, front.begin(one, fields)


async def crowd(count: int, where: Where, until: float, draw: Random) -> None:
    """Idle connections that come back whenever they are closed, some after they have asked whether the
    director is ready.
    """

    async def one() -> None:
        while time.monotonic() < until:
            port = where()
            if port is None:
                await asyncio.sleep(AGAIN)
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(AGAIN)
                continue
            try:
                if draw.random() < 0.5:
                    writer.write(wire.frame(wire.ASK_READY, 0, b"\0"))
                await asyncio.wait_for(reader.read(), max(0.01, until - time.monotonic()))
            except (TimeoutError, OSError):
                pass
            finally:
                writer.close()
            await asyncio.sleep(draw.uniform(0.0, 0.3))

    tasks: list[asyncio.Task] = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(one()))
        await asyncio.sleep(0.004)
    await asyncio.gather(*tasks)


async def is_ready(port: int, patience: float) -> bool:
    """Whether a director says that it is ready, on a new connection."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), patience)
    except (TimeoutError, OSError):
        return False
    try:
        writer.write(wire.frame(wire.ASK_READY, 0, b"\0"))
        head = await asyncio.wait_for(reader.readexactly(9), patience)
        (length,) = struct.unpack(">I", head[:4])
        rest = await asyncio.wait_for(reader.readexactly(length - 5), patience)
        return head[4] == wire.TELL_READY and rest[0] == 1
    except (TimeoutError, OSError, EOFError):
        return False
    finally:
        writer.close()
