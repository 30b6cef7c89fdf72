"""Owns the cache nodes' commands and answers: RESP arrays of bulk strings.

It must never know a socket or which dispatches are open; all it remembers of a connection is an answer begun
and not yet whole.
"""

from __future__ import annotations

from typing import NamedTuple

from ..interface import FillNote
from .attempt_end import AttemptEnd

MOST_ITEM = 262_144
MOST_ITEMS = 16
MOST_LINE = 24
MOST_FIGURE = 1e9  # of a load report
ENDINGS = {
    b"ACK": AttemptEnd.SERVED,
    b"NOMOD": AttemptEnd.NOT_MODIFIED,
    b"NOENT": AttemptEnd.MISS,
    b"AGAIN": AttemptEnd.REJECTED,
    b"EIO": AttemptEnd.ERROR,
    b"STALE": AttemptEnd.EXPIRED,
    b"READY": AttemptEnd.HEALTHY,
    b"AILING": AttemptEnd.UNHEALTHY,
}
NOTES = {
    "h": FillNote.HIT,
    "f": FillNote.FILLED_FROM_SOURCE,
    "o": FillNote.FILLED_FROM_ORIGIN,
    "j": FillNote.JOINED_FILL,
    "s": FillNote.STALE_HIT,
    "r": FillNote.SOURCE_REJECTED,
    "b": FillNote.SOURCE_UNAVAILABLE,
    "l": FillNote.SOURCE_MISS,
    "n": FillNote.FILL_LIMIT_REACHED,
    "x": FillNote.ORIGIN_FAILED,
}


class UpstreamAnswer(NamedTuple):
    operation_id: str
    end: AttemptEnd
    fill_note: FillNote
    load_report: dict[str, float]
    produced_unix_ms: int  # the Unix millisecond of the copy; 0: not told
    has_tag: bool
    body: bytes
    tag: str = ""


class UnparsableError(Exception):
    """The bytes are no answer; nothing after them can be read."""


def command(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def want(name: str, fields: dict[str, str], body: bytes) -> bytes:
    text = ",".join(f"{key}={value}" for key, value in fields.items()) or "-"
    return command(b"want", name.encode(), text.encode(), body)


def never_mind(name: str) -> bytes:
    return command(b"never_mind", name.encode())


def busy(tag: str) -> bytes:
    return command(b"busy", tag.encode())


def _loads(text: str) -> dict[str, float]:
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            found[name] = float(value)
        except ValueError:
            found[name] = -1.0
        if not 0 <= found[name] < MOST_FIGURE:
            raise UnparsableError(f"the load report '{text[:60]}'")
    return found


def _answer(items: list[bytes]) -> UpstreamAnswer:
    ending = ENDINGS.get(items[1]) if 2 <= len(items) <= 4 else None
    if ending is None or (ending is AttemptEnd.SERVED and len(items) < 4):
        raise UnparsableError(f"an answer {[item[:20] for item in items[:2]]} of {len(items)} items")
    note, dated, digest = FillNote.NONE, 0, ""
    load: dict[str, float] = {}
    try:
        name, text = items[0].decode(), items[2].decode() if len(items) > 2 else "-"
    except UnicodeDecodeError:
        raise UnparsableError("an answer that is not text") from None
    if text and text != "-":
        for part in text.split(","):
            key, _, value = part.partition("=")
            if key == "res":
                note = NOTES.get(value, FillNote.NONE)
            elif key == "gauges" and value:
                load = _loads(value)
            elif key == "dated" and value.isdigit() and len(value) < 16:
                dated = int(value)
            elif key == "digest":
                digest = value
    return UpstreamAnswer(
        name, ending, note, load, dated, bool(digest), items[3] if len(items) > 3 else b"", digest
    )


class UpstreamWire:
    """Fed the bytes of one connection in any pieces."""

    __slots__ = ("_items", "_items_left", "_length", "_bytes_needed", "_pieces", "_item_size")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []  # what came since the last step
        self._length = 0  # of all pieces
        self._bytes_needed = 1  # bytes to hold before the next step
        self._items_left = 0  # items that the answer begun still lacks; 0: none is begun
        self._items: list[bytes] = []
        self._item_size = -1  # of the item begun; -1: its line is not whole

    def has_partial_answer(self) -> bool:
        """True while an answer has begun and is not whole."""
        return bool(self._length or self._items_left)

    def feed(self, data: memoryview) -> tuple[list[UpstreamAnswer], UnparsableError | None]:
        """The answers that are whole now, and what made the rest unreadable, if anything did."""
        self._pieces.append(bytes(data))
        self._length += len(data)
        if self._length < self._bytes_needed:
            return [], None
        held = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        out: list[UpstreamAnswer] = []
        at, fault = 0, None
        try:
            at = self._parse(held, out)
        except UnparsableError as found:
            fault = found
        self._length = len(held) - at
        self._pieces = [held[at:]] if self._length else []
        return out, fault

    def _parse(self, held: bytes, out: list[UpstreamAnswer]) -> int:
        """Takes all whole answers; returns where it stopped."""
        at = 0
        while True:
            if self._item_size >= 0:
                end = at + self._item_size
                if len(held) < end + 2:
                    self._bytes_needed = self._item_size + 2
                    return at
                if held[end : end + 2] != b"\r\n":
                    raise UnparsableError("an item of another length")
                self._items.append(held[at:end])
                at, self._item_size = end + 2, -1
                self._items_left -= 1
                if not self._items_left:
                    items, self._items = self._items, []
                    out.append(_answer(items))
                continue
            end = held.find(b"\r\n", at, at + MOST_LINE)
            if end < 0:
                if len(held) - at >= MOST_LINE:
                    raise UnparsableError("a line too long")
                self._bytes_needed = len(held) - at + 1
                return at
            mark, most = (b"$", MOST_ITEM) if self._items_left else (b"*", MOST_ITEMS)
            number = held[at + 1 : end]
            if held[at : at + 1] != mark or not number.isdigit() or int(number) > most:
                raise UnparsableError(f"a line {held[at:end]!r}")
            at = end + 2
            if self._items_left:
                self._item_size = int(number)
            elif int(number):
                self._items_left = int(number)
            else:
                raise UnparsableError("an empty answer")
