"""The upstreams' protocol: commands and answers are RESP arrays of bulk strings.

Only this module uses the names of the protocol's commands, statuses and answer attributes. It does no I/O and
keeps no record of operations; the only state of a connection is an incomplete answer.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ..interface import CacheStatus
from .attempt_end import AttemptEnd
from .errors import UnparsableError

__all__ = [
    "UnparsableError",
    "UpstreamAnswer",
    "UpstreamWire",
    "command",
    "encode_cancel",
    "encode_health_check",
    "encode_request",
]

CRLF = b"\r\n"
CRLF_BYTES = 2
ARRAY_MARKER = b"*"
ITEM_MARKER = b"$"
MAX_COPIED_BODY = 1024  # bytes; a longer body is a piece of its own
MAX_ITEM_BYTES = 262_144  # limit of the protocol
MAX_ITEMS = 16  # well above the items of any answer
MAX_LINE_BYTES = 24  # above the length of a marker, a number and CRLF
MAX_LOAD_VALUE = 1e9  # of a load report
MAX_DATE_DIGITS = 15  # of a Unix time in milliseconds
MAX_ERROR_EXCERPT = 60  # characters of a load report in an error text

COMMAND_REQUEST = b"want"
COMMAND_CANCEL = b"never_mind"
COMMAND_HEALTH_CHECK = b"busy"
NO_ATTRIBUTES = "-"

# An answer has an operation id and a status, and optionally attributes and a body.
MIN_ANSWER_ITEMS = 2
MAX_ANSWER_ITEMS = 4
BODY_INDEX = 3

ANSWER_STATUSES: Final = {
    b"ACK": AttemptEnd.SERVED,
    b"NOMOD": AttemptEnd.NOT_MODIFIED,
    b"NOENT": AttemptEnd.MISS,
    b"AGAIN": AttemptEnd.REJECTED,
    b"EIO": AttemptEnd.ERROR,
    b"STALE": AttemptEnd.EXPIRED,
    b"READY": AttemptEnd.HEALTHY,
    b"AILING": AttemptEnd.UNHEALTHY,
}
STATUS_SERVED = AttemptEnd.SERVED  # a module constant, since access through the enum is slow

ATTRIBUTE_CACHE_STATUS = "res"
ATTRIBUTE_LOAD_REPORT = "gauges"
ATTRIBUTE_DATE = "dated"
ATTRIBUTE_TAG = "digest"
CACHE_STATUSES: Final = {
    "h": CacheStatus.HIT,
    "f": CacheStatus.FILLED_FROM_SOURCE,
    "o": CacheStatus.FILLED_FROM_ORIGIN,
    "j": CacheStatus.JOINED_FILL,
    "s": CacheStatus.STALE_HIT,
    "r": CacheStatus.SOURCE_REJECTED,
    "b": CacheStatus.SOURCE_UNAVAILABLE,
    "l": CacheStatus.SOURCE_MISS,
    "n": CacheStatus.FILL_LIMIT_REACHED,
    "x": CacheStatus.ORIGIN_FAILED,
}
NO_CACHE_STATUS = CacheStatus.NONE


class UpstreamAnswer(NamedTuple):
    """An upstream's answer to one command.

    Attributes:
        operation_id: The id of the command.
        end: How the operation ended.
        cache_status: Where the body came from, or why there is none.
        load_report: The upstream's load by gauge name; empty if it sent none.
        produced_unix_ms: Unix time in milliseconds at which the copy was produced; 0: unknown.
        has_tag: Whether the copy has an entity tag.
        body: The answer's body.
        tag: The copy's entity tag.
    """

    operation_id: str
    end: AttemptEnd
    cache_status: CacheStatus
    load_report: dict[str, float]
    produced_unix_ms: int
    has_tag: bool
    body: bytes
    tag: str = ""


def _bulk_string(item: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(item), item)


def command(*items: bytes) -> bytes:
    """Encodes a command as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(map(_bulk_string, items))


def encode_request(operation_id: str, fields: dict[str, str], body: bytes) -> tuple[bytes, ...]:
    """Encodes a request for an object in pieces, so that a long body is not copied."""
    text = ",".join(f"{key}={value}" for key, value in fields.items()) or NO_ATTRIBUTES
    items = (COMMAND_REQUEST, operation_id.encode(), text.encode())
    if len(body) <= MAX_COPIED_BODY:
        return (command(*items, body),)
    head = b"*%d\r\n" % (len(items) + 1) + b"".join(map(_bulk_string, items))
    return head + b"$%d\r\n" % len(body), body, CRLF


def encode_cancel(operation_id: str) -> bytes:
    """Encodes the cancellation of an operation."""
    return command(COMMAND_CANCEL, operation_id.encode())


def encode_health_check(operation_id: str) -> bytes:
    """Encodes a health check."""
    return command(COMMAND_HEALTH_CHECK, operation_id.encode())


def _decode_load_report(text: str) -> dict[str, float]:
    report = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            report[name] = -1.0
        if not 0 <= report[name] < MAX_LOAD_VALUE:
            raise UnparsableError(f"invalid load report '{text[:MAX_ERROR_EXCERPT]}'")
    return report


def _decode_answer(items: list[bytes]) -> UpstreamAnswer:
    count = len(items)
    end = ANSWER_STATUSES.get(items[1]) if MIN_ANSWER_ITEMS <= count <= MAX_ANSWER_ITEMS else None
    if end is None or (end is STATUS_SERVED and count <= BODY_INDEX):
        raise UnparsableError(
            f"unknown status or wrong number of items: {[item[:20] for item in items[:2]]}, {count} items"
        )
    try:
        operation_id = items[0].decode()
        attributes = items[2].decode() if count > 2 else NO_ATTRIBUTES  # noqa: PLR2004 - the third item
    except UnicodeDecodeError:
        raise UnparsableError("operation id or attributes are not UTF-8") from None
    cache_status = NO_CACHE_STATUS
    load_report: dict[str, float] = {}
    produced_unix_ms = 0
    tag = ""
    if attributes and attributes != NO_ATTRIBUTES:
        for part in attributes.split(","):
            key, _, value = part.partition("=")
            if key == ATTRIBUTE_CACHE_STATUS:
                cache_status = CACHE_STATUSES.get(value, NO_CACHE_STATUS)
            elif key == ATTRIBUTE_LOAD_REPORT and value:
                load_report = _decode_load_report(value)
            elif key == ATTRIBUTE_DATE and value.isdigit() and len(value) <= MAX_DATE_DIGITS:
                produced_unix_ms = int(value)
            elif key == ATTRIBUTE_TAG:
                tag = value
    body = items[BODY_INDEX] if count > BODY_INDEX else b""
    return UpstreamAnswer(
        operation_id, end, cache_status, load_report, produced_unix_ms, bool(tag), body, tag
    )


class UpstreamWire:
    """Decodes the bytes of one connection to an upstream, which may arrive in pieces of any size."""

    __slots__ = ("_bytes_needed", "_item_size", "_items", "_length", "_missing_items", "_pieces")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []  # not decoded yet; joined only once enough has arrived
        self._length = 0  # bytes of all pieces
        self._bytes_needed = 1  # bytes that must be buffered before more can be decoded
        self._missing_items = 0  # items that the current answer still lacks; 0: no answer has begun
        self._items: list[bytes] = []  # complete items of the current answer
        self._item_size = -1  # bytes of the current item; -1: its length has not been read yet

    def has_partial_answer(self) -> bool:
        """Returns whether an answer has begun and is not complete."""
        return bool(self._length or self._missing_items)

    def feed(self, data: memoryview) -> tuple[list[UpstreamAnswer], UnparsableError | None]:
        """Decodes more bytes.

        Returns:
            The answers that are now complete, and the error after which nothing can be decoded, if any.
        """
        self._pieces.append(bytes(data))
        self._length += len(data)
        if self._length < self._bytes_needed:
            return [], None
        buffered = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        answers: list[UpstreamAnswer] = []
        offset = 0
        error = None
        try:
            offset = self._decode(buffered, answers)
        except UnparsableError as exc:
            error = exc
        self._length = len(buffered) - offset
        self._pieces = [buffered[offset:]] if self._length else []
        return answers, error

    def _decode(self, buffered: bytes, answers: list[UpstreamAnswer]) -> int:
        """Decodes all complete answers; returns the offset at which it stopped."""
        offset = 0
        while True:
            if self._item_size >= 0:
                end = offset + self._item_size
                if len(buffered) < end + CRLF_BYTES:
                    self._bytes_needed = self._item_size + CRLF_BYTES
                    return offset
                if buffered[end : end + CRLF_BYTES] != CRLF:
                    raise UnparsableError("item does not end where its length says")
                self._items.append(buffered[offset:end])
                offset = end + CRLF_BYTES
                self._item_size = -1
                self._missing_items -= 1
                if not self._missing_items:
                    items, self._items = self._items, []
                    answers.append(_decode_answer(items))
                continue
            end = buffered.find(CRLF, offset, offset + MAX_LINE_BYTES)
            if end < 0:
                if len(buffered) - offset >= MAX_LINE_BYTES:
                    raise UnparsableError("length line is too long")
                self._bytes_needed = len(buffered) - offset + 1
                return offset
            self._decode_length(buffered[offset:end])
            offset = end + CRLF_BYTES

    def _decode_length(self, line: bytes) -> None:
        """Decodes the line that begins an item, or an answer if none has begun."""
        is_item = self._missing_items > 0
        marker, maximum = (ITEM_MARKER, MAX_ITEM_BYTES) if is_item else (ARRAY_MARKER, MAX_ITEMS)
        number = line[1:]
        if line[:1] != marker or not number.isdigit() or int(number) > maximum:
            raise UnparsableError(f"invalid line {line!r}")
        if is_item:
            self._item_size = int(number)
        elif int(number):
            self._missing_items = int(number)
        else:
            raise UnparsableError("empty answer")
