"""The platform's frames, commands and discovery events, implemented a second time for clients and stand-ins.

The director's own codec is not used, as an error in it would then go unnoticed on both sides. The formats are
those of the operators' protocol documentation.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from ..errors import MalformedCommandError

LENGTH_BYTES = 4
HEADER_BYTES = 9  # length, type and stream
WEIGHT_UNIT = 1000  # weights are encoded in thousandths
LOOPBACK = bytes([127, 0, 0, 1])
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")


class FrameType(IntEnum):
    """Types of frames between clients and directors."""

    READINESS_QUERY = 1
    READINESS = 2
    GOAWAY = 3
    REQUEST = 7
    ANSWER = 8
    CANCEL = 9


class EventType(IntEnum):
    """Types of discovery events."""

    HEARTBEAT = 0
    WHOLE_LIST = 1
    ENDPOINTS = 2
    OBJECT_PURGED = 3
    GROUP_PURGED = 4


class Frame(NamedTuple):
    """A frame from a director."""

    kind: int  # a `FrameType`, or another number for types not known here
    stream: int
    payload: bytes


class AnswerFrame(NamedTuple):
    """The payload of an answer frame."""

    code: int
    fields: dict[str, str]
    body: bytes


def encode_frame(kind: FrameType, stream: int, payload: bytes = b"") -> bytes:
    """Encode a frame from a client to a director."""
    return struct.pack(">IBI", HEADER_BYTES - LENGTH_BYTES + len(payload), kind, stream) + payload


def encode_request(stream: int, fields: dict[str, str]) -> bytes:
    """Encode a request frame; requests have fields but no body."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        parts += [bytes([len(name)]), name.encode(), struct.pack(">H", len(value)), value.encode()]
    return encode_frame(FrameType.REQUEST, stream, b"".join(parts))


class FrameReader:
    """Splits the bytes from a director to a client into frames."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that are complete."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= LENGTH_BYTES:
            (length,) = struct.unpack(">I", self._buffer[:LENGTH_BYTES])
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            kind, stream = struct.unpack(">BI", self._buffer[LENGTH_BYTES:HEADER_BYTES])
            frames.append(Frame(kind, stream, self._buffer[HEADER_BYTES:end]))
            self._buffer = self._buffer[end:]
        return frames


def decode_answer(payload: bytes) -> AnswerFrame:
    """Decode the payload of an answer frame."""
    code, count, at = payload[0], payload[1], 2
    fields = {}
    for _ in range(count):
        name_end = at + 1 + payload[at]
        name = payload[at + 1 : name_end].decode()
        (size,) = struct.unpack(">H", payload[name_end : name_end + 2])
        at = name_end + 2 + size
        fields[name] = payload[name_end + 2 : at].decode()
    return AnswerFrame(code, fields, payload[at:])


def encode_array(*items: bytes) -> bytes:
    """Encode an array of strings: an answer of a node, or a command."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Command(NamedTuple):
    """A command from a director to a node."""

    items: list[bytes]
    first_byte_at: float  # when its first byte arrived, in seconds


class CommandReader:
    """Splits the bytes from a director to a node into commands."""

    def __init__(self) -> None:
        self._buffer = b""
        self._first_byte_at = 0.0

    def feed(self, data: bytes, now: float) -> list[Command]:
        """Add bytes that arrived at `now` and return the commands that are complete.

        Raises:
            MalformedCommandError: The bytes are not a command.
            ValueError: A length is not a number.
        """
        if not self._buffer:
            self._first_byte_at = now
        self._buffer += data
        commands: list[Command] = []
        while True:
            items, size = self._first_array()
            if not size:
                return commands
            commands.append(Command(items, self._first_byte_at))
            self._buffer = self._buffer[size:]
            self._first_byte_at = now

    def _first_array(self) -> tuple[list[bytes], int]:
        """Return the items of the first array and its size in bytes; size 0 while it is incomplete."""
        if not self._buffer:
            return [], 0
        count, at = self._length_line(0, b"*")
        items: list[bytes] = []
        while at and len(items) < count:
            size, at = self._length_line(at, b"$")
            if not at or len(self._buffer) < at + size + 2:
                return [], 0
            items.append(self._buffer[at : at + size])
            at += size + 2
        return items, at

    def _length_line(self, at: int, prefix: bytes) -> tuple[int, int]:
        """Return the length in the line at `at` and the offset of the next line; 0, 0 while incomplete."""
        end = self._buffer.find(b"\r\n", at)
        if end < 0:
            return 0, 0
        if self._buffer[at : at + 1] != prefix:
            raise MalformedCommandError(f"not a command: {self._buffer[at : at + 20]!r}")
        return int(self._buffer[at + 1 : end]), end + 2


class EndpointRecord(NamedTuple):
    """A node of the endpoint list; zone and kind are indices into lists of the settings, cell is a number."""

    name: str
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight: int
    since_ms: int  # Unix milliseconds of the node's last cold start; 0: none


def encode_endpoints(number: int, endpoints: list[EndpointRecord]) -> bytes:
    """Encode an event that updates these nodes of the endpoint list."""
    return encode_event(number, EventType.ENDPOINTS, _encode_records(endpoints))


def encode_full_list(number: int, endpoints: list[EndpointRecord]) -> bytes:
    """Encode an event with the whole endpoint list."""
    return encode_event(number, EventType.WHOLE_LIST, _encode_records(endpoints))


def _encode_records(endpoints: list[EndpointRecord]) -> bytes:
    return b"".join(
        ENDPOINT_RECORD.pack(
            int(endpoint.name[2:], 16),
            LOOPBACK,
            endpoint.port,
            endpoint.state,
            endpoint.zone,
            endpoint.kind,
            endpoint.cell,
            endpoint.weight * WEIGHT_UNIT,
            endpoint.since_ms,
        )
        for endpoint in endpoints
    )


def encode_event(number: int, kind: EventType, data: bytes) -> bytes:
    """Encode a discovery event."""
    payload = struct.pack(">QB", number, kind) + data
    return struct.pack(">I", len(payload)) + payload
