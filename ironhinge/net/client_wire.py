"""The clients' protocol: decodes received bytes into messages, and encodes responses.

A frame is a length (4 bytes, big-endian, counting what follows), a type (1 byte), a stream (4 bytes) and a
payload. Requests and responses begin their payload with fields: a count (1 byte), then for each a name
(length of 1 byte) and a value (length of 2 bytes).

This module uses no socket, clock or open request; the only state that it keeps of a connection is that of its
framing (`ClientWire`). Incomplete frames share a memory budget.
"""

from __future__ import annotations

import re
import struct
from typing import NamedTuple

from .errors import FieldError
from .memory_budget import MemoryBudget

# Frame types. Plain integers, since enum members are slow to access and every frame is compared to these.
READINESS_QUERY = 1
READINESS_REPORT = 2
GOAWAY = 3  # asks the client to send no new requests on this connection
REQUEST = 7
RESPONSE = 8
CANCEL = 9

# Result codes of a response, and their names in the counters.
DONE = 1
DENIED = 2
ABORTED = 3
CODES = {DONE: "done", DENIED: "denied", ABORTED: "aborted"}

# Codes of a readiness report.
READY = 1
NOT_READY = 2

LENGTH_BYTES = 4  # size of the field that holds a frame's length
STREAM_END = 5  # offset after type and stream, counted from the end of the length
MIN_FRAME_LENGTH = STREAM_END
MAX_FRAME_LENGTH = 262_144  # the protocol's limit
UNCOUNTED_FRAME_BYTES = 1024  # a shorter incomplete frame is not counted against the memory budget
FRAME_HEADER = struct.Struct(">IBI")  # length, type, stream

HEX_ID_PATTERN = re.compile("[0-9a-fA-F]{16}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
WHOLE_NUMBER_PATTERN = re.compile("[0-9]{1,9}")
TAG_PATTERN = re.compile("[0-9A-Za-z]{1,64}")
MAX_COUNT = 10**9  # above every number that `WHOLE_NUMBER_PATTERN` allows


class RequestFrame(NamedTuple):
    """A request, with its decoded fields and its body."""

    stream: int
    fields: dict[str, str]
    body: bytes


class MalformedRequest(NamedTuple):
    """A request whose fields can't be decoded; the frames after it can."""

    stream: int
    text: str


class DiscardedRequest(NamedTuple):
    """A request whose frame was not kept, since the memory for incomplete frames was used up."""

    stream: int


class RequestCancelled(NamedTuple):
    """The client no longer waits for the response on this stream."""

    stream: int


class ReadinessQuery(NamedTuple):
    """The client asks whether this process accepts requests."""

    stream: int


class UnknownFrame(NamedTuple):
    """A frame of a type that clients don't send."""

    text: str


class FramingLost(NamedTuple):
    """A frame's length is out of bounds: nothing after it can be decoded."""

    text: str


RequestMessage = RequestFrame | MalformedRequest | DiscardedRequest
Message = RequestMessage | RequestCancelled | ReadinessQuery | UnknownFrame | FramingLost


def read_fields(data: bytes) -> tuple[dict[str, str], int]:
    """Decodes the fields at the start of `data`.

    Returns:
        The fields, and the offset at which they end.

    Raises:
        FieldError: The fields are cut short, not UTF-8, or repeated; the text says which.
    """
    if not data:
        raise FieldError("the count of fields is missing")
    fields: dict[str, str] = {}
    offset = 1
    for _ in range(data[0]):
        try:
            name_end = offset + 1 + data[offset]
            end = name_end + 2 + (data[name_end] << 8) + data[name_end + 1]
            if end > len(data):
                raise IndexError
            name, value = data[offset + 1 : name_end].decode(), data[name_end + 2 : end].decode()
        except IndexError:
            raise FieldError(f"field {len(fields) + 1} is cut short") from None
        except UnicodeDecodeError:
            raise FieldError(f"field {len(fields) + 1} is not text") from None
        if name in fields:
            raise FieldError(f"field '{name}' stands twice")
        fields[name] = value
        offset = end
    return fields, offset


def write_fields(fields: dict[str, str]) -> bytes:
    """Encodes fields: the inverse of `read_fields`."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        encoded_name = name.encode()
        encoded_value = value.encode()
        parts += [
            bytes((len(encoded_name),)),
            encoded_name,
            len(encoded_value).to_bytes(2, "big"),
            encoded_value,
        ]
    return b"".join(parts)


def frame(kind: int, stream: int, *payload: bytes) -> tuple[bytes, ...]:
    """Encodes a frame in pieces, so that a long body is not copied."""
    return (FRAME_HEADER.pack(STREAM_END + sum(map(len, payload)), kind, stream), *payload)


def answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> tuple[bytes, ...]:
    """Encodes a response with one of the result codes `DONE`, `DENIED` and `ABORTED`."""
    return frame(RESPONSE, stream, bytes((code,)) + write_fields(fields), body)


def retry_after_fields(milliseconds: int) -> dict[str, str]:
    """Returns the fields of a rejection that tell the client how long to wait; 0: they do not."""
    return {"pause": str(milliseconds)} if milliseconds else {}


def error(text: str) -> tuple[bytes, ...]:
    """Encodes an error that concerns the connection, not one request: a response on stream 0."""
    return answer(0, ABORTED, {}, text.encode())


def readiness_report(stream: int, is_ready: bool) -> tuple[bytes, ...]:
    """Encodes the response to a readiness query."""
    return frame(READINESS_REPORT, stream, bytes((READY if is_ready else NOT_READY,)) + write_fields({}))


def goaway() -> tuple[bytes, ...]:
    """Encodes GOAWAY, which asks the client to send no new requests on this connection."""
    return frame(GOAWAY, 0)


class ClientWire:
    """Decodes the bytes of one client connection, which may arrive in any pieces.

    A long frame that does not fit into the memory budget is read to its end but not kept. If it is a request,
    it becomes a `DiscardedRequest`.

    Attributes:
        buffered: Bytes of a frame that is not complete yet.
        bytes_needed: Bytes that must be buffered before more can be decoded.
        is_out_of_sync: The framing is lost; all further bytes are ignored.
    """

    __slots__ = (
        "_budget",
        "_bytes_to_discard",
        "_discarded_header",
        "_reserved",
        "buffered",
        "bytes_needed",
        "is_out_of_sync",
    )

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Starts between frames; `budget` bounds the incomplete frames of all connections together."""
        self.buffered = bytearray()
        self.bytes_needed = LENGTH_BYTES
        self.is_out_of_sync = False
        self._budget = budget
        self._reserved = 0  # bytes that the incomplete frame has in the budget
        self._bytes_to_discard = 0  # of the frame that is not kept
        self._discarded_header = b""  # type and stream of that frame

    def has_partial_frame(self) -> bool:
        """Returns whether a frame has begun to arrive and is not complete."""
        return bool(self.buffered or self._bytes_to_discard)

    def missing_bytes(self) -> int:
        """Returns how many bytes the frame still lacks that has begun to arrive; 0 between frames."""
        return self._bytes_to_discard or (self.bytes_needed - len(self.buffered) if self.buffered else 0)

    def feed(self, data: memoryview) -> list[Message]:
        """Adds bytes; returns the messages that are complete now."""
        messages: list[Message] = []
        if self.is_out_of_sync:
            return messages
        if self._bytes_to_discard:
            data = self._discard(data, messages)
        self.buffered += data
        offset = 0
        while len(self.buffered) - offset >= self.bytes_needed:
            length = int.from_bytes(self.buffered[offset : offset + LENGTH_BYTES], "big")
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH:
                self.is_out_of_sync = True
                self.clear()
                messages.append(FramingLost(f"a frame's length of {length} is out of bounds"))
                return messages
            if len(self.buffered) - offset < LENGTH_BYTES + length:
                self.bytes_needed = LENGTH_BYTES + length
                break
            self.bytes_needed = LENGTH_BYTES
            messages.append(
                self._decode(bytes(self.buffered[offset + LENGTH_BYTES : offset + LENGTH_BYTES + length]))
            )
            offset += LENGTH_BYTES + length
        if offset == len(self.buffered):
            self.buffered = bytearray()  # releases the memory that a burst or a long frame needed
        elif offset:
            del self.buffered[:offset]
        if self._reserved or len(self.buffered) > UNCOUNTED_FRAME_BYTES:
            self._reserve_memory()
        return messages

    def clear(self) -> None:
        """Drops the incomplete frame, as nothing after it is decoded."""
        self.buffered = bytearray()
        self._bytes_to_discard = 0
        if self._reserved:
            self._reserve_memory()

    def _reserve_memory(self) -> None:
        """Counts the incomplete frame against the budget, and stops keeping it if it does not fit."""
        if self._budget is None:
            return
        needed = len(self.buffered) if len(self.buffered) > UNCOUNTED_FRAME_BYTES else 0
        self._budget.release(self._reserved)
        self._reserved = needed if self._budget.reserve(needed) else 0
        if needed and not self._reserved:
            self._discarded_header = bytes(self.buffered[LENGTH_BYTES : LENGTH_BYTES + STREAM_END])
            self._bytes_to_discard = self.bytes_needed - len(self.buffered)
            self.buffered = bytearray()
            self.bytes_needed = LENGTH_BYTES

    def _discard(self, data: memoryview, messages: list[Message]) -> memoryview:
        """Drops bytes of the frame that is not kept; returns those after its end."""
        count = min(len(data), self._bytes_to_discard)
        self._bytes_to_discard -= count
        if not self._bytes_to_discard:
            is_request = self._discarded_header[0] == REQUEST
            stream = int.from_bytes(self._discarded_header[1:STREAM_END], "big")
            messages.append(DiscardedRequest(stream) if is_request else self._decode(self._discarded_header))
        return data[count:]

    def _decode(self, data: bytes) -> Message:
        kind = data[0]
        stream = int.from_bytes(data[1:STREAM_END], "big")
        if kind == REQUEST:
            try:
                fields, end = read_fields(data[STREAM_END:])
            except FieldError as field_error:
                return MalformedRequest(stream, str(field_error))
            return RequestFrame(stream, fields, data[STREAM_END + end :])
        if kind == CANCEL:
            return RequestCancelled(stream)
        if kind == READINESS_QUERY:
            return ReadinessQuery(stream)
        return UnknownFrame(f"type {kind} is not one that clients send")


def text_of(fields: dict[str, str], name: str) -> str:
    """Returns a field's text.

    Raises:
        FieldError: The field is missing.
    """
    if name not in fields:
        raise FieldError(f"field '{name}' is missing")
    return fields[name]


def _matching_text(fields: dict[str, str], name: str, pattern: re.Pattern[str], expected: str) -> str:
    text = text_of(fields, name)
    if not pattern.fullmatch(text):
        raise FieldError(f"field '{name}' is not {expected}")
    return text


def number_of(fields: dict[str, str], name: str, default: float | None = None) -> float:
    """Returns a field as a plain number of 0 or more.

    Raises:
        FieldError: The field is not a number, or missing without a default.
    """
    if name not in fields and default is not None:
        return default
    return float(_matching_text(fields, name, NUMBER_PATTERN, "a number"))


def count_of(fields: dict[str, str], name: str, maximum: int = MAX_COUNT) -> int:
    """Returns a field as a whole number; 0 if it is missing.

    Raises:
        FieldError: The field is not a whole number, or over the maximum.
    """
    if name not in fields:
        return 0
    value = int(_matching_text(fields, name, WHOLE_NUMBER_PATTERN, "a whole number"))
    if value > maximum:
        raise FieldError(f"field '{name}' is over {maximum}")
    return value


def hex_id_of(fields: dict[str, str], name: str) -> str:
    """Returns a field of 16 hex digits.

    Raises:
        FieldError: The field is something else, or missing.
    """
    return _matching_text(fields, name, HEX_ID_PATTERN, "16 hex digits")


def tag_of(fields: dict[str, str], name: str) -> str:
    """Returns a field with a copy's entity tag; empty if it is missing.

    Raises:
        FieldError: The field is not a tag.
    """
    return _matching_text(fields, name, TAG_PATTERN, "a tag") if name in fields else ""
