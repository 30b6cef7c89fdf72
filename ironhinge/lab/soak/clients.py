"""Clients that send requests to one director, each with the behaviour of its `ClientKind`.

Each client records what it sends and what it receives.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from .client_connection import ClientConnection
from .plan import GROUPS, OBJECTS, Idempotency, NetworkPath, Plan, RequestClass
from .records import AnswerCode, ConnectionRecord, Records, RequestRecord

RECONNECT_DELAY = 0.05  # seconds
MEAN_PAUSE = 0.06  # seconds between two actions of a client
MAX_STREAMS = 32  # open requests per connection
ANSWER_GRACE = 1.0  # seconds beyond its timeout that a client waits for an answer
MAX_RETRIES = 2  # per operation
NO_RETRY_SHARE = 0.5  # share of the retryable requests that a client does not retry
POPULARITY_EXPONENT = 0.8  # of the Pareto distribution that requested objects are drawn from
CLASS_INDICES = (0, 0, 0, 1, 1, 2, 3)  # indices in `Plan.classes`; one is drawn per operation
SIZES_KB = (40, 120, 400)  # one is drawn per request
SHORT_TIMEOUT_SHARE, MEDIUM_TIMEOUT_SHARE = 0.1, 0.3  # cumulative shares of the requests
SEND_AFTER_GOAWAY_SHARE = 0.5  # share of the idle clients that send a request after GOAWAY
CANCEL_BY_FRAME_SHARE = 0.6  # share of cancellations by a CANCEL frame; the others end the connection
RESET_SHARE = 0.5  # share of these connections that are reset, not closed
COINCIDING_SHARE = 0.7  # share of the keyed requests whose deadline coincides with the end of a window
KEYED_SHARE = 0.5  # share of the requests that are keyed, in seeds with such times
TICK = 0.0001  # seconds: the resolution of client timeouts
ATTEMPT_MARGIN = 0.004  # seconds: two batches, by which an attempt ends before its client's timeout
TRACE_BITS = 64  # length of a trace ID


class ClientKind(StrEnum):
    """How a client sends requests and what it does after GOAWAY."""

    STEADY = "steady"  # uses a connection until it is closed, also after GOAWAY
    GOAWAY_AWARE = "obeying"  # opens a new connection after GOAWAY, as all kinds below do
    IDLE = "resting"  # sends one operation and stays idle until GOAWAY
    PIPELINED = "pipelined"  # sends several requests in one write
    SLOW = "slow"  # sends a request in pieces
    CANCELLING = "leaving"  # cancels requests


CLIENT_KINDS = (  # one is drawn per client, equally likely; STEADY is listed twice to double its share
    ClientKind.STEADY,
    ClientKind.STEADY,
    ClientKind.GOAWAY_AWARE,
    ClientKind.IDLE,
    ClientKind.PIPELINED,
    ClientKind.SLOW,
    ClientKind.CANCELLING,
)


@dataclass(frozen=True, slots=True)
class ClientTarget:
    """The director that a client sends to."""

    director: int
    port: Callable[[NetworkPath], int | None]  # current port for a path; None while unreachable
    incarnation: Callable[[], int]  # number of the director's current process
    on_request_written: Callable[[], None]  # called after each request written alone and in one piece


class Client:
    """A client of one director."""

    def __init__(self, plan: Plan, records: Records, number: int, target: ClientTarget) -> None:
        """Create a client; its kind, path and requests are drawn from the plan's seed and its number."""
        self.plan = plan
        self.records = records
        self.target = target
        self._rng = Random(plan.seed * 1000 + number)
        self._platform_rng = Random(f"platform {plan.seed} {number}")  # for draws that were added later
        self.kind = CLIENT_KINDS[self._rng.randrange(len(CLIENT_KINDS))]
        self.path = plan.client_paths[self._rng.randrange(len(plan.client_paths))]
        self._connection: ClientConnection | None = None
        self._replaced_connections: list[ClientConnection] = []  # with requests that are still open
        self._deadline = 0.0

    async def run(self, deadline: float) -> None:
        """Send requests until `deadline` on the monotonic clock, then wait for the open requests."""
        self._deadline = deadline
        while time.monotonic() < deadline:
            connection = await self._usable_connection()
            if connection is None:
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            await self._send_by_kind(connection)
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE))
        connections = [*self._replaced_connections, self._connection]
        for connection in connections:
            if connection is not None and not connection.closed.is_set():
                for request in list(connection.open_requests.values()):
                    await connection.wait(request, request.started_at + request.client_timeout + ANSWER_GRACE)
                connection.close()

    async def _usable_connection(self) -> ClientConnection | None:
        """Return the open connection or a new one, or None if the director cannot be reached."""
        connection = self._connection
        reconnects_on_goaway = self.kind is not ClientKind.STEADY
        if connection is not None and not connection.closed.is_set():
            if not (reconnects_on_goaway and connection.goaway_received.is_set()):
                return connection
            if connection.open_requests:
                self._replaced_connections.append(connection)
            else:
                connection.close()
        port = self.target.port(self.path)
        if port is None:
            return None
        self._connection = self._new_connection()
        try:
            await self._connection.connect(port)
        except OSError:
            self._connection = None
        return self._connection

    def _new_connection(self) -> ClientConnection:
        record = ConnectionRecord(
            len(self.records.connections) + 1,
            self.target.director,
            self.target.incarnation(),
            self.path.delay,
            self.path.end_delay,
            time.monotonic(),
        )
        return ClientConnection(record, self.records)

    async def _send_by_kind(self, connection: ClientConnection) -> None:
        match self.kind:
            case ClientKind.STEADY | ClientKind.GOAWAY_AWARE:
                await self._send_operation(connection)
            case ClientKind.IDLE:
                await self._send_and_idle(connection)
            case ClientKind.PIPELINED:
                await self._send_pipelined(connection)
            case ClientKind.SLOW:
                await self._send_slowly(connection)
            case ClientKind.CANCELLING:
                await self._send_and_cancel(connection)

    # Behaviour of each kind of client

    async def _send_operation(self, connection: ClientConnection) -> None:
        """Send one operation, and retry it where the answer and the request class allow it."""
        request_class = self._draw_class()
        request, data = self._start_request(connection, request_class)
        self._write(connection, request, data)
        for _ in range(MAX_RETRIES):
            await connection.wait(request, time.monotonic() + request.client_timeout + ANSWER_GRACE)
            if not _may_retry(request, request_class):
                return
            if self._rng.random() < NO_RETRY_SHARE or connection.closed.is_set():
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
            if connection.closed.is_set():
                return
            request, data = self._start_request(connection, request_class, request)
            self._write(connection, request, data)

    async def _send_and_idle(self, connection: ClientConnection) -> None:
        """Send once, stay idle until GOAWAY, a close or the deadline, and maybe send just after GOAWAY."""
        await self._send_operation(connection)
        waiters = [
            asyncio.ensure_future(connection.goaway_received.wait()),
            asyncio.ensure_future(connection.closed.wait()),
        ]
        timeout = max(0.0, self._deadline - time.monotonic())
        await asyncio.wait(waiters, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        if not connection.goaway_received.is_set() or connection.closed.is_set():
            return
        if self._rng.random() < SEND_AFTER_GOAWAY_SHARE:
            await asyncio.sleep(self._rng.uniform(0.0, 0.02))
            if not connection.closed.is_set():
                await self._send_operation(connection)

    async def _send_pipelined(self, connection: ClientConnection) -> None:
        count = min(self._rng.randrange(2, 12), MAX_STREAMS - len(connection.open_requests))
        started = [self._start_request(connection, self._draw_class()) for _ in range(count)]
        connection.write(b"".join(data for _, data in started))
        now = time.monotonic()
        for request, _ in started:
            request.written_at = now
        for request, _ in started:
            await connection.wait(request, now + request.client_timeout + ANSWER_GRACE)

    async def _send_slowly(self, connection: ClientConnection) -> None:
        """Send one request in up to five pieces, with pauses between them."""
        request, data = self._start_request(connection, self._draw_class())
        cuts = sorted(self._rng.randrange(1, len(data)) for _ in range(self._rng.randrange(1, 5)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            if connection.closed.is_set():
                return
            connection.write(data[start:end])
            if end < len(data):
                await asyncio.sleep(self._rng.uniform(0.0, 0.04))
        if not connection.closed.is_set():
            request.written_at = time.monotonic()
        await connection.wait(request, time.monotonic() + request.client_timeout + ANSWER_GRACE)

    async def _send_and_cancel(self, connection: ClientConnection) -> None:
        request, data = self._start_request(connection, self._draw_class())
        self._write(connection, request, data)
        await connection.wait(request, time.monotonic() + self._rng.uniform(0.0, 0.05))
        if request.answers or connection.closed.is_set():
            return
        if self._rng.random() < CANCEL_BY_FRAME_SHARE:
            connection.cancel(request)
        else:
            connection.close(by_reset=self._rng.random() < RESET_SHARE)

    # Requests

    def _write(self, connection: ClientConnection, request: RequestRecord, data: bytes) -> None:
        connection.write(data)
        request.written_at = time.monotonic()
        self.target.on_request_written()

    def _draw_class(self) -> RequestClass:
        drawn = self.plan.classes[self._rng.choice(CLASS_INDICES)]
        if self.plan.has_coinciding_times and self._platform_rng.random() < KEYED_SHARE:
            return next(each for each in self.plan.classes if each.idempotency is Idempotency.KEYED)
        return drawn

    def _draw_client_timeout(self, request_class: RequestClass) -> float:
        draw = self._rng.random()
        window = request_class.dedup_window
        may_coincide = self.plan.has_coinciding_times and 0 < window < request_class.deadline
        if may_coincide and self._platform_rng.random() < COINCIDING_SHARE:
            return window + ATTEMPT_MARGIN + self._platform_rng.choice((-TICK, 0.0, 0.0, TICK))
        if draw < SHORT_TIMEOUT_SHARE:
            return self._rng.uniform(0.001, 0.06)
        if draw < MEDIUM_TIMEOUT_SHARE:
            return min(request_class.deadline, self._rng.uniform(0.06, 0.4))
        return request_class.deadline

    def _start_request(
        self, connection: ClientConnection, request_class: RequestClass, retried: RequestRecord | None = None
    ) -> tuple[RequestRecord, bytes]:
        """Start a new operation, or a retry of an earlier request; return its record and encoded bytes."""
        trace = f"{self._rng.getrandbits(TRACE_BITS):016x}"
        object_number = int(self._rng.paretovariate(POPULARITY_EXPONENT)) % OBJECTS
        operation = f"{object_number:016x}" if request_class.idempotency is Idempotency.IDEMPOTENT else trace
        if retried is not None:
            operation = retried.operation
        client_timeout = self._draw_client_timeout(request_class)
        request = RequestRecord(trace, operation, request_class.name, connection.record, client_timeout)
        is_exact = self.plan.has_coinciding_times
        whole_ms = max(1, int(client_timeout * 1000))
        fields = {
            "route": request_class.name,
            "trace": trace,
            "patience": f"{max(1.0, client_timeout * 1000):.1f}" if is_exact else str(whole_ms),
            "entity": operation,
            "part": "0",
            "group": str(int(operation, 16) % GROUPS),
            "size": str(self._rng.choice(SIZES_KB)),
        }
        if retried is not None:
            fields["redo"] = "1"
        if request_class.idempotency is Idempotency.KEYED:
            fields["nonce"] = operation
        return request, connection.start_request(request, fields)


def _may_retry(request: RequestRecord, request_class: RequestClass) -> bool:
    """Return whether a request may be retried after its answer, or after no answer."""
    code = request.answers[0].code if request.answers else None
    if code == AnswerCode.REJECTED:
        return True
    return request_class.idempotency is Idempotency.IDEMPOTENT and code != AnswerCode.SERVED
