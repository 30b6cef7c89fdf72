"""Owns the cache nodes' commands and answers: RESP arrays of bulk strings.

It must never know a socket or which dispatches are open; all it remembers of a connection is an answer begun
and not yet whole.
"""

from __future__ import annotations

from typing import Dict, List, NamedTuple, Optional, Tuple

from .ending import Ending

MOST_ITEM = 262_144
MOST_ITEMS = 16
MOST_LINE = 24
ENDINGS = {
    b"ACK": Ending.SERVED,
    b"NOMOD": Ending.SAME,
    b"NOENT": Ending.MISSED,
    b"AGAIN": Ending.FULL,
    b"EIO": Ending.ERRED,
    b"STALE": Ending.STALE,
    b"READY": Ending.READY,
    b"AILING": Ending.AILING,
}
NOTES = {letter: place + 1 for place, letter in enumerate("hfojsrblnx")}


class Answer(NamedTuple):
    id: str
    ending: Ending
    note: int
    load: Dict[str, float]
    body: bytes


class Unparsable(Exception):
    """The bytes are no answer; nothing after them can be read."""


def command(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def want(name: str, fields: Dict[str, str], body: bytes) -> bytes:
    text = ",".join(f"{key}={value}" for key, value in fields.items()) or "-"
    return command(b"want", name.encode(), text.encode(), body)


def never_mind(name: str) -> bytes:
    return command(b"never_mind", name.encode())


def busy(tag: str) -> bytes:
    return command(b"busy", tag.encode())


def _loads(text: str) -> Dict[str, float]:
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            found[name] = float(value)
        except ValueError:
            raise Unparsable(f"the load report '{text[:60]}'") from None
    return found


def _answer(items: List[bytes]) -> Answer:
    ending = ENDINGS.get(items[1]) if 2 <= len(items) <= 4 else None
    if ending is None or ending is Ending.SERVED and len(items) < 4:
        raise Unparsable(f"an answer {[item[:20] for item in items[:2]]} of {len(items)} items")
    note, load = 0, {}
    try:
        name, text = items[0].decode(), items[2].decode() if len(items) > 2 else "-"
    except UnicodeDecodeError:
        raise Unparsable("an answer that is not text") from None
    if text and text != "-":
        for part in text.split(","):
            key, _, value = part.partition("=")
            if key == "res":
                note = NOTES.get(value, 0)
            elif key == "gauges" and value:
                load = _loads(value)
    return Answer(name, ending, note, load, items[3] if len(items) > 3 else b"")


class NodeWire:
    """Fed the bytes of one connection in any pieces."""

    __slots__ = ("held", "need", "left", "items", "size")

    def __init__(self) -> None:
        self.held = bytearray()
        self.need = 1  # bytes to hold before the next step
        self.left = 0  # items that the answer begun still lacks; 0: none is begun
        self.items: List[bytes] = []
        self.size: Optional[int] = None  # of the item begun

    def feed(self, data: memoryview) -> Tuple[List[Answer], Optional[Unparsable]]:
        """The answers that are whole now, and what made the rest unreadable, if anything did."""
        out: List[Answer] = []
        self.held += data
        if len(self.held) < self.need:
            return out, None
        at, fault = 0, None
        try:
            while True:
                if self.size is not None:
                    end = at + self.size
                    if len(self.held) < end + 2:
                        self.need = self.size + 2
                        break
                    if self.held[end : end + 2] != b"\r\n":
                        raise Unparsable("an item of another length")
                    self.items.append(bytes(memoryview(self.held)[at:end]))
                    at, self.size = end + 2, None
                    self.left -= 1
                    if not self.left:
                        items, self.items = self.items, []
                        out.append(_answer(items))
                    continue
                end = self.held.find(b"\r\n", at, at + MOST_LINE)
                if end < 0:
                    if len(self.held) - at >= MOST_LINE:
                        raise Unparsable("a line too long")
                    self.need = len(self.held) - at + 1
                    break
                mark, digits = self.held[at : at + 1], bytes(self.held[at + 1 : end])
                most = MOST_ITEM if self.left else MOST_ITEMS
                if mark != (b"$" if self.left else b"*") or not digits.isdigit() or int(digits) > most:
                    raise Unparsable(f"a line {bytes(self.held[at:end])!r}")
                at = end + 2
                if self.left:
                    self.size = int(digits)
                elif int(digits):
                    self.left = int(digits)
                else:
                    raise Unparsable("an empty answer")
        except Unparsable as found:
            fault = found
        if at == len(self.held):
            self.held = bytearray()
        else:
            del self.held[:at]
        return out, fault
