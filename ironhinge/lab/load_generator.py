"""Clients that send a scenario's requests, and statistics of the answers that they receive.

A client sends a request and waits for the answer, or cancels. If the request is rejected, it retries after
the delay given in the answer. Every answer is counted, so that duplicate and missing answers are detected.
This module must not depend on how a director works.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from random import Random
from typing import NamedTuple

from ..net.client_wire import read_fields, write_fields
from .node_protocol import make_body
from .scenarios import FILM, SOCKET_BYTES_PER_KB, ScenarioRequest

CLIENT_TIMEOUT = 3.0  # seconds that a client waits for a complete answer
ANSWER_GRACE = 1.0  # seconds past `CLIENT_TIMEOUT` after which an answer is counted as missing
CARD_ATTEMPTS = 3
PART_ATTEMPTS = 12  # per part of a stream; the first part is sent only once
DEFAULT_PART_INTERVAL = 0.5  # seconds
IDLE_TIMEOUT = 3.0  # seconds after which a client closes an unused connection
MAX_IDLE_CONNECTIONS = 64  # per director
# Seconds after a request is sent; if the connection closes so soon, the request is taken as not read.
CLOSE_RACE_WINDOW = 0.05
DEFAULT_BACKOFF = 0.1  # seconds; used if the answer gives no retry delay
CONNECT_ROUNDS = 4  # attempts to connect to each of the directors
PURGE_GROUP_COUNT = 256  # objects are assigned to purge groups by their id modulo this number
TRACE_ID_BITS = 64
TRACE_SEED_MASK = 0x5EED  # gives trace ids another random sequence than the requests


class FrameType(IntEnum):
    """The types of client frames that the lab uses."""

    NO_MORE_REQUESTS = 3
    REQUEST = 7
    ANSWER = 8
    CANCEL = 9


class RequestResult(StrEnum):
    """How a request ended for its client."""

    DONE = "done"
    REJECTED = "denied"
    FAILED = "aborted"
    CANCELLED = "left"
    UNANSWERED = "unanswered"
    CLOSED_BEFORE_READ = "crossed"  # the connection was closed before the request was read


ANSWER_CODES = {1: RequestResult.DONE, 2: RequestResult.REJECTED, 3: RequestResult.FAILED}


class Answer(NamedTuple):
    """The decoded payload of an answer frame."""

    result: RequestResult
    fields: dict[str, str]
    body: bytes


class RequestOutcome(NamedTuple):
    """The result of a request and the fields of its answer; without an answer they are empty."""

    result: RequestResult
    fields: dict[str, str]

    @property
    def retry_after(self) -> float:
        """Seconds to wait before a retry; 0 if the answer gives no delay."""
        return int(self.fields.get("pause", 0)) / 1000


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """The contents of one request, and when its client cancels it."""

    route: str
    object_id: int
    part: int
    body_bytes: int
    is_retry: bool
    cancel_after: float  # seconds; 0 if the client does not cancel

    @property
    def object_name(self) -> str:
        """The object's name in the protocol: its id in hexadecimal."""
        return f"{self.object_id:016x}"

    def fields(self, trace_id: str) -> dict[str, str]:
        """Return the fields of the request frame."""
        fields = {
            "route": self.route,
            "trace": trace_id,
            "patience": str(int(CLIENT_TIMEOUT * 1000)),
            "entity": self.object_name,
            "part": str(self.part),
            "group": str(self.object_id % PURGE_GROUP_COUNT),
            "size": f"{self.body_bytes / SOCKET_BYTES_PER_KB:.1f}",
        }
        if self.is_retry:
            fields["redo"] = "1"
        return fields


@dataclass(slots=True)
class LoadStatistics:
    """Counters and latencies of all clients of a run."""

    sent: int = 0  # requests, without those counted in `closed_before_read`
    answers: int = 0
    duplicate_answers: int = 0  # on a stream that awaits no answer
    corrupt_answers: int = 0  # with a wrong body
    closed_before_read: int = 0
    unanswered: int = 0
    cancelled: int = 0
    unconnected: int = 0  # requests that ended because no director accepted a connection
    results: Counter[RequestResult] = field(default_factory=Counter)  # of answered requests
    latencies: list[float] = field(default_factory=list)  # seconds, of requests with the result DONE
    streams: int = 0
    streams_started: int = 0  # with the first part served
    streams_completed: int = 0  # with all parts served
    streams_broken: int = 0  # ended at a later part
    streams_rejected: int = 0  # ended at the first part


class ClientConnection:
    """A client's connection to a director; an answer has the stream number of its request."""

    def __init__(self, statistics: LoadStatistics) -> None:
        """Create a connection that is not open yet."""
        self.statistics = statistics
        # No new request may be sent: the director sent NO_MORE_REQUESTS, or the connection is closed.
        self.closing = False
        self._last_stream = 0
        self._pending_answers: dict[int, asyncio.Future[Answer]] = {}
        # Streams that were cancelled or timed out; their answers may still arrive.
        self._abandoned: set[int] = set()
        self._writer: asyncio.StreamWriter
        self._reader_task: asyncio.Task[None]

    async def open(self, port: int) -> None:
        """Connect to a director.

        Raises:
            OSError: The connection could not be established.
        """
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._reader_task = asyncio.ensure_future(self._read(reader))

    async def close(self) -> None:
        """Close the connection."""
        self._reader_task.cancel()
        self._writer.close()

    def _write_frame(self, kind: FrameType, stream: int, payload: bytes = b"") -> None:
        self._writer.write(struct.pack(">IBI", 5 + len(payload), kind, stream) + payload)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                (length,) = struct.unpack(">I", await reader.readexactly(4))
                self._handle_frame(await reader.readexactly(length))
        except (OSError, EOFError):
            pass
        finally:
            self.closing = True
            for future in self._pending_answers.values():
                if not future.done():
                    future.set_exception(ConnectionResetError())
            self._pending_answers.clear()

    def _handle_frame(self, data: bytes) -> None:
        kind, stream = data[0], int.from_bytes(data[1:5], "big")
        if kind == FrameType.NO_MORE_REQUESTS:
            self.closing = True
        if kind != FrameType.ANSWER:
            return
        fields, end = read_fields(data[6:])
        future = self._pending_answers.pop(stream, None)
        if future is None:
            if stream in self._abandoned:
                self._abandoned.discard(stream)  # late, or sent before the director read the cancellation
            else:
                self.statistics.duplicate_answers += 1
        elif not future.done():
            result = ANSWER_CODES.get(data[5], RequestResult.FAILED)
            future.set_result(Answer(result, fields, data[6 + end :]))

    async def send(self, request: ClientRequest, trace_id: str) -> RequestOutcome:
        """Send one request and wait for its answer, cancellation, timeout or the end of the connection."""
        loop = asyncio.get_running_loop()
        self._last_stream += 1
        stream = self._last_stream
        future = self._pending_answers[stream] = loop.create_future()
        started_at = loop.time()
        self.statistics.sent += 1
        self._write_frame(FrameType.REQUEST, stream, write_fields(request.fields(trace_id)))
        try:
            if request.cancel_after:
                await asyncio.wait_for(asyncio.shield(future), request.cancel_after)
            answer = await asyncio.wait_for(future, CLIENT_TIMEOUT + ANSWER_GRACE)
        except TimeoutError:
            return self._abandon(stream, request)
        except ConnectionResetError:
            return self._record_connection_loss(loop.time() - started_at)
        return self._record_answer(answer, request, loop.time() - started_at)

    def _abandon(self, stream: int, request: ClientRequest) -> RequestOutcome:
        self._pending_answers.pop(stream, None)
        self._abandoned.add(stream)
        if not request.cancel_after:
            self.statistics.unanswered += 1
            return RequestOutcome(RequestResult.UNANSWERED, {})
        self.statistics.cancelled += 1
        self._write_frame(FrameType.CANCEL, stream)
        return RequestOutcome(RequestResult.CANCELLED, {})

    def _record_connection_loss(self, elapsed: float) -> RequestOutcome:
        if elapsed <= CLOSE_RACE_WINDOW:
            self.statistics.sent -= 1  # the caller sends the request again, once
            self.statistics.closed_before_read += 1
            return RequestOutcome(RequestResult.CLOSED_BEFORE_READ, {})
        self.statistics.unanswered += 1
        return RequestOutcome(RequestResult.UNANSWERED, {})

    def _record_answer(self, answer: Answer, request: ClientRequest, elapsed: float) -> RequestOutcome:
        self.statistics.answers += 1
        self.statistics.results[answer.result] += 1
        if answer.result is RequestResult.DONE:
            self.statistics.latencies.append(elapsed)
            expected = make_body(request.object_name, str(request.part), request.body_bytes)
            if answer.body != expected:
                self.statistics.corrupt_answers += 1
        return RequestOutcome(answer.result, answer.fields)


class LoadGenerator:
    """All clients of a run."""

    def __init__(self, ports: list[int], seed: int) -> None:
        """Create clients of the directors at these ports; `seed` determines the trace ids."""
        self.ports = ports
        self.statistics = LoadStatistics()
        self._rng = Random(seed ^ TRACE_SEED_MASK)
        # by director; each connection with the time at which it became idle
        self._idle: dict[int, list[tuple[float, ClientConnection]]] = {}

    async def send(self, request: ScenarioRequest) -> None:
        """Send a request or all requests of a stream, and retry those that are rejected.

        Raises:
            OSError: No director could be reached.
        """
        if request.route == FILM:
            await self._send_stream(request)
        else:
            await self._send_card(request)

    def _new_trace_id(self) -> str:
        return f"{self._rng.getrandbits(TRACE_ID_BITS):016x}"

    async def _connect(self, client_number: int) -> ClientConnection:
        """Connect to the client's director or, if it refuses the connection, to the next one that accepts."""
        count = len(self.ports)
        for attempt in range(CONNECT_ROUNDS * count):
            connection = ClientConnection(self.statistics)
            try:
                await connection.open(self.ports[(client_number + attempt) % count])
            except ConnectionRefusedError:
                if attempt % count == count - 1:
                    await asyncio.sleep(DEFAULT_BACKOFF)
            else:
                return connection
        raise ConnectionRefusedError

    async def _idle_connection(self, director: int) -> ClientConnection:
        """Return an open idle connection to a director, or a new one."""
        idle = self._idle.setdefault(director, [])
        earliest_idle_start = asyncio.get_running_loop().time() - IDLE_TIMEOUT
        while idle and (idle[0][0] < earliest_idle_start or idle[0][1].closing):
            await idle.pop(0)[1].close()
        while idle and idle[-1][1].closing:
            await idle.pop()[1].close()
        return idle.pop()[1] if idle else await self._connect(director)

    async def _send_card(self, request: ScenarioRequest) -> None:
        director = request.client_number % len(self.ports)
        connection = await self._idle_connection(director)
        for attempt in range(CARD_ATTEMPTS):
            card_request = ClientRequest(
                request.route, request.object_id, 0, request.body_bytes, attempt > 0, request.cancel_after
            )
            trace_id = self._new_trace_id()
            outcome = await connection.send(card_request, trace_id)
            if outcome.result is RequestResult.CLOSED_BEFORE_READ:
                connection = await self._connect(director)
                outcome = await connection.send(card_request, trace_id)
            if outcome.result is not RequestResult.REJECTED:
                break
            await asyncio.sleep(outcome.retry_after or DEFAULT_BACKOFF)
        idle = self._idle[director]
        if outcome.result is not RequestResult.UNANSWERED and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append((asyncio.get_running_loop().time(), connection))
        else:
            await connection.close()

    async def _send_stream(self, request: ScenarioRequest) -> None:
        """Request the parts of a stream in order; the stream ends at the first part that is not served."""
        connection = await self._connect(request.client_number)
        self.statistics.streams += 1
        loop = asyncio.get_running_loop()
        interval = request.cancel_after or DEFAULT_PART_INTERVAL
        try:
            for part in range(request.part_count):
                started_at = loop.time()
                if connection.closing:
                    await connection.close()
                    connection = await self._connect(request.client_number)
                result, connection = await self._send_part(request, part, connection)
                if not self._record_part(part, result):
                    return
                if part + 1 < request.part_count:
                    await asyncio.sleep(max(0.0, interval - (loop.time() - started_at)))
            self.statistics.streams_completed += 1
        finally:
            await connection.close()

    async def _send_part(
        self, request: ScenarioRequest, part: int, connection: ClientConnection
    ) -> tuple[RequestResult, ClientConnection]:
        """Request a part, retrying while it is rejected; return its result and the connection to use next."""
        for attempt in range(PART_ATTEMPTS if part else 1):
            part_request = ClientRequest(
                request.route, request.object_id, part, request.body_bytes, attempt > 0, 0.0
            )
            outcome = await connection.send(part_request, self._new_trace_id())
            if outcome.result is RequestResult.CLOSED_BEFORE_READ:
                connection = await self._connect(request.client_number)
                outcome = await connection.send(part_request, self._new_trace_id())
            if outcome.result is not RequestResult.REJECTED:
                break
            await asyncio.sleep(max(DEFAULT_BACKOFF, outcome.retry_after))
        return outcome.result, connection

    def _record_part(self, part: int, result: RequestResult) -> bool:
        """Update the statistics with the result of a part; return whether the stream continues."""
        if result is not RequestResult.DONE:
            if part:
                self.statistics.streams_broken += 1
            else:
                self.statistics.streams_rejected += 1
            return False
        if not part:
            self.statistics.streams_started += 1
        return True
