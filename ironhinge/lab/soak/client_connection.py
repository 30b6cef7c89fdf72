"""A client's connection to a director, which records what is sent and received on it."""

from __future__ import annotations

import asyncio
import contextlib
import time

from . import wire
from .records import AnswerRecord, ConnectionEnding, ConnectionRecord, Records, RequestRecord
from .sockets import READ_BYTES

RECORDED_BODY_BYTES = 64  # read of an answer's body: enough for the object name and time at its start
MIN_WAIT = 0.001  # seconds


class ClientConnection:
    """A client's connection to a director, with several streams."""

    def __init__(self, record: ConnectionRecord, records: Records) -> None:
        """Create a connection that is not open yet; requests are added to `records`."""
        self.record = record
        self.records = records
        self.open_requests: dict[int, RequestRecord] = {}  # by stream
        self.closed = asyncio.Event()
        self.goaway_received = asyncio.Event()  # the director accepts no new requests on this connection
        self._sent_requests: dict[int, RequestRecord] = {}
        self._last_stream = 0
        self._answered = asyncio.Event()
        self._writer: asyncio.StreamWriter
        self._reading: asyncio.Task[None]

    async def connect(self, port: int) -> None:
        """Open the connection.

        Raises:
            OSError: The connection failed, for example because no process listens on the port.
        """
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self.record.opened_at = time.monotonic()
        self.records.connections.append(self.record)
        self._reading = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames, ending = wire.FrameReader(), ConnectionEnding.BY_DIRECTOR
        try:
            while data := await reader.read(READ_BYTES):
                for frame in frames.feed(data):
                    self._handle_frame(frame)
        except OSError:
            ending = ConnectionEnding.RESET
        except asyncio.CancelledError:
            ending = ConnectionEnding.BY_CLIENT
        finally:
            self.record.ended_at = self.record.ended_at or time.monotonic()
            self.record.ending = self.record.ending or ending
            self.closed.set()
            self._answered.set()
            self._writer.close()

    def _handle_frame(self, frame: wire.Frame) -> None:
        now = time.monotonic()
        if frame.kind == wire.FrameType.GOAWAY:
            self.record.goaway_at = self.record.goaway_at or now
            self.goaway_received.set()
        elif frame.kind == wire.FrameType.ANSWER and not frame.stream:
            self.record.error_at = now
        elif frame.kind == wire.FrameType.ANSWER and frame.stream in self._sent_requests:
            answer = wire.decode_answer(frame.payload)
            body_start = answer.body[:RECORDED_BODY_BYTES].decode(errors="replace").split(";")[0]
            self._sent_requests[frame.stream].answers.append(AnswerRecord(now, answer.code, body_start))
            self.open_requests.pop(frame.stream, None)
            self._answered.set()

    def start_request(self, request: RequestRecord, fields: dict[str, str]) -> bytes:
        """Encode a request on a new stream and record its start; the caller sends it and records when."""
        self._last_stream += 1
        self.open_requests[self._last_stream] = self._sent_requests[self._last_stream] = request
        self.records.requests.append(request)
        request.started_at = time.monotonic()
        return wire.encode_request(self._last_stream, fields)

    def write(self, data: bytes) -> None:
        """Write encoded requests or parts of them."""
        self._writer.write(data)

    async def wait(self, request: RequestRecord, deadline: float) -> bool:
        """Wait until a request is answered, the connection is closed, or the deadline has passed.

        Returns:
            Whether the request was answered.
        """
        while not request.answers and not self.closed.is_set() and time.monotonic() < deadline:
            self._answered.clear()
            with contextlib.suppress(TimeoutError):
                timeout = max(MIN_WAIT, deadline - time.monotonic())
                await asyncio.wait_for(self._answered.wait(), timeout)
        return bool(request.answers)

    def cancel(self, request: RequestRecord) -> None:
        """Send a CANCEL frame for a request and record it, if the request is still open."""
        for stream, open_request in list(self.open_requests.items()):
            if open_request is request:
                del self.open_requests[stream]
                request.cancelled_at = time.monotonic()
                self._writer.write(wire.encode_frame(wire.FrameType.CANCEL, stream))

    def close(self, by_reset: bool = False) -> None:
        """Close or reset the connection, which cancels all requests that are open on it."""
        now = time.monotonic()
        for request in self.open_requests.values():
            request.cancelled_at = request.cancelled_at or now
        if self.record.ending is None:
            self.record.ending, self.record.ended_at = ConnectionEnding.BY_CLIENT, now
        if by_reset:
            self._writer.transport.abort()
        else:
            self._writer.close()
