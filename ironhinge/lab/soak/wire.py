"""The platform's frames and commands, written a second time for the stand-ins: an error of the director's own
code must not cancel out here. Follows the operators' protocol page.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from ..errors import MalformedCommandError

REQUEST, ANSWER, CANCEL, ASK_READY, TELL_READY, NO_MORE = 7, 8, 9, 1, 2, 3


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """A client's frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request(stream: int, fields: dict[str, str]) -> bytes:
    """A client's request without a body."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        parts += [bytes([len(name)]), name.encode(), struct.pack(">H", len(value)), value.encode()]
    return frame(REQUEST, stream, b"".join(parts))


class Frames:
    """Cuts what a director sends into frames."""

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> list[tuple[int, int, bytes]]:
        """Whole frames: type, stream, payload."""
        self._held += data
        frames = []
        while len(self._held) >= 4:
            (length,) = struct.unpack(">I", self._held[:4])
            if len(self._held) < 4 + length:
                break
            kind, stream = struct.unpack(">BI", self._held[4:9])
            frames.append((kind, stream, self._held[9 : 4 + length]))
            self._held = self._held[4 + length :]
        return frames


def read_answer(payload: bytes) -> tuple[int, dict[str, str], bytes]:
    """Code, fields and body of an answer."""
    code, count, at = payload[0], payload[1], 2
    fields = {}
    for _ in range(count):
        end = at + 1 + payload[at]
        name = payload[at + 1 : end].decode()
        (size,) = struct.unpack(">H", payload[end : end + 2])
        fields[name] = payload[end + 2 : end + 2 + size].decode()
        at = end + 2 + size
    return code, fields, payload[at:]


def resp(*items: bytes) -> bytes:
    """A node's answer."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Command(NamedTuple):
    """A command of a director, with the time of its first byte."""

    items: list[bytes]
    begun_at: float


class Commands:
    """Cuts what a director sends to a node into commands."""

    def __init__(self) -> None:
        self._held = b""
        self._begun_at = 0.0

    def feed(self, data: bytes, now: float) -> list[Command]:
        """Whole commands; raises MalformedCommandError where the bytes are none."""
        if not self._held:
            self._begun_at = now
        self._held += data
        commands: list[Command] = []
        while True:
            items, size = self._one()
            if not size:
                return commands
            commands.append(Command(items, self._begun_at))
            self._held = self._held[size:]
            self._begun_at = now

    def _line(self, at: int, mark: bytes) -> tuple[int, int]:
        end = self._held.find(b"\r\n", at)
        if end < 0:
            return 0, 0
        if self._held[at : at + 1] != mark:
            raise MalformedCommandError(f"not a command: {self._held[at : at + 20]!r}")
        return int(self._held[at + 1 : end]), end + 2

    def _one(self) -> tuple[list[bytes], int]:
        if not self._held:
            return [], 0
        count, at = self._line(0, b"*")
        items: list[bytes] = []
        while at and len(items) < count:
            size, at = self._line(at, b"$")
            if not at or len(self._held) < at + size + 2:
                return [], 0
            items.append(self._held[at : at + size])
            at += size + 2
        return items, at


RECORD = struct.Struct(">I4sHBBBHIQ")


def listing(number: int, rows: list[tuple[str, int, int, int, int, int, int]]) -> bytes:
    """A change of the list: rows of name, port, state, zone, kind, cell and start in Unix milliseconds."""
    data = b"".join(
        RECORD.pack(int(name[2:], 16), bytes([127, 0, 0, 1]), port, state, zone, kind, cell, 4000, since)
        for name, port, state, zone, kind, cell, since in rows
    )
    return event(number, 2, data)


def event(number: int, kind: int, data: bytes) -> bytes:
    """A frame of discovery."""
    payload = struct.pack(">QB", number, kind) + data
    return struct.pack(">I", len(payload)) + payload
