"""Owns the clients' frames: bytes in become messages, answers become bytes.

It must never know a socket, a clock or an open req of the director; all it remembers of a connection is a
frame begun and not yet whole.
"""

from __future__ import annotations

import re
import struct
from typing import NamedTuple, Union

REQ, ANSWER, LEAVE, ASK_READY, TELL_READY, NO_MORE = 7, 8, 9, 1, 2, 3
DONE, DENIED, ABORTED = 1, 2, 3
CODES = {DONE: "done", DENIED: "denied", ABORTED: "aborted"}
READY, NOT_READY = 1, 2
LEAST, MOST = 5, 262_144  # what a frame's length may say
HEAD = struct.Struct(">IBI")
HEX = re.compile("[0-9a-fA-F]{16}")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
WHOLE = re.compile("[0-9]{1,9}")
TAG = re.compile("[0-9A-Za-z]{1,64}")


class RequestFrame(NamedTuple):
    stream: int
    fields: dict[str, str]
    body: bytes


class MalformedRequest(NamedTuple):
    """A req whose fields can't be read; the framing holds."""

    stream: int
    text: str


class RequestCancelled(NamedTuple):
    """Nobody waits for this stream any more."""

    stream: int


class ReadinessQuery(NamedTuple):
    stream: int


class UnknownFrame(NamedTuple):
    """A frame of a type that clients don't send."""

    text: str


class FramingLost(NamedTuple):
    """The framing is lost; nothing after it can be read."""

    text: str


Message = Union[RequestFrame, MalformedRequest, RequestCancelled, ReadinessQuery, UnknownFrame, FramingLost]


def read_fields(data: bytes) -> tuple[dict[str, str], int]:
    """The fields at the start of `data`, and where they end; ValueError says what is wrong with them."""
    if not data:
        raise ValueError("the count of fields is missing")
    fields: dict[str, str] = {}
    at = 1
    for _ in range(data[0]):
        try:
            name_end = at + 1 + data[at]
            end = name_end + 2 + (data[name_end] << 8) + data[name_end + 1]
            if end > len(data):
                raise IndexError
            name, value = data[at + 1 : name_end].decode(), data[name_end + 2 : end].decode()
        except IndexError:
            raise ValueError(f"field {len(fields) + 1} is cut short") from None
        except UnicodeDecodeError:
            raise ValueError(f"field {len(fields) + 1} is not text") from None
        if name in fields:
            raise ValueError(f"field '{name}' stands twice")
        fields[name] = value
        at = end
    return fields, at


def write_fields(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        key, text = name.encode(), value.encode()
        parts += [bytes((len(key),)), key, len(text).to_bytes(2, "big"), text]
    return b"".join(parts)


def frame(kind: int, stream: int, *payload: bytes) -> tuple[bytes, ...]:
    """A frame in pieces, so that a long body is not copied."""
    return (HEAD.pack(5 + sum(map(len, payload)), kind, stream), *payload)


def answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> tuple[bytes, ...]:
    return frame(ANSWER, stream, bytes((code,)) + write_fields(fields), body)


def error(text: str) -> tuple[bytes, ...]:
    """An error that belongs to no req."""
    return answer(0, ABORTED, {}, text.encode())


def ready(stream: int, yes: bool) -> tuple[bytes, ...]:
    return frame(TELL_READY, stream, bytes((READY if yes else NOT_READY,)) + write_fields({}))


def no_more() -> tuple[bytes, ...]:
    return frame(NO_MORE, 0)


class ClientWire:
    """Fed the bytes of one connection in any pieces."""

    __slots__ = ("buffered", "is_out_of_sync", "bytes_needed")

    def __init__(self) -> None:
        self.buffered = bytearray()
        self.bytes_needed = 4  # bytes to hold before the next step
        self.is_out_of_sync = False

    def feed(self, data: memoryview) -> list[Message]:
        out: list[Message] = []
        if self.is_out_of_sync:
            return out
        self.buffered += data
        at = 0
        while len(self.buffered) - at >= self.bytes_needed:
            length = int.from_bytes(self.buffered[at : at + 4], "big")
            if not LEAST <= length <= MOST:
                self.is_out_of_sync = True
                self.buffered = bytearray()
                out.append(FramingLost(f"a frame's length of {length} is out of bounds"))
                return out
            if len(self.buffered) - at < 4 + length:
                self.bytes_needed = 4 + length
                break
            self.bytes_needed = 4
            out.append(self._message(bytes(self.buffered[at + 4 : at + 4 + length])))
            at += 4 + length
        if at == len(self.buffered):
            self.buffered = bytearray()  # gives back what a crowd or a long frame took
        elif at:
            del self.buffered[:at]
        return out

    def _message(self, data: bytes) -> Message:
        kind, stream = data[0], int.from_bytes(data[1:5], "big")
        if kind == REQ:
            try:
                fields, end = read_fields(data[5:])
            except ValueError as fault:
                return MalformedRequest(stream, str(fault))
            return RequestFrame(stream, fields, data[5 + end :])
        if kind == LEAVE:
            return RequestCancelled(stream)
        if kind == ASK_READY:
            return ReadinessQuery(stream)
        return UnknownFrame(f"type {kind} is not one that clients send")


def text_of(fields: dict[str, str], name: str) -> str:
    """A field's text; ValueError names the field that is missing."""
    if name not in fields:
        raise ValueError(f"field '{name}' is missing")
    return fields[name]


def _form(fields: dict[str, str], name: str, form: re.Pattern[str], what: str) -> str:
    text = text_of(fields, name)
    if not form.fullmatch(text):
        raise ValueError(f"field '{name}' is not {what}")
    return text


def number_of(fields: dict[str, str], name: str, absent: float | None = None) -> float:
    """A field as a plain number of 0 or more; ValueError names the field at fault."""
    if name not in fields and absent is not None:
        return absent
    return float(_form(fields, name, NUMBER, "a number"))


def count_of(fields: dict[str, str], name: str, most: int = 10**9) -> int:
    """A field as a whole number, 0 where it is absent; ValueError names the field at fault."""
    value = int(_form(fields, name, WHOLE, "a whole number")) if name in fields else 0
    if value > most:
        raise ValueError(f"field '{name}' is over {most}")
    return value


def digits_of(fields: dict[str, str], name: str) -> str:
    """A field of 16 hex digits; ValueError names the field at fault."""
    return _form(fields, name, HEX, "16 hex digits")


def tag_of(fields: dict[str, str], name: str) -> str:
    """A field that holds a copy's tag, empty where it is absent; ValueError names the field at fault."""
    return _form(fields, name, TAG, "a tag") if name in fields else ""
