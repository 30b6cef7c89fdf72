"""Owns the bytes of an agent's journal: one line an entry, each with its checksum. It must never do I/O.

A line that was not written whole can only be the last one; it was never answered, so it is cut off. Anything
else that does not fit is a journal that must not be trusted.
"""

from __future__ import annotations

import msgspec
import xxhash

from .desired import Entry


class Broken(Exception):
    """A journal with damage before its last line."""


def line(entry: Entry) -> bytes:
    body = msgspec.json.encode(entry)
    return xxhash.xxh64_hexdigest(body).encode() + b" " + body + b"\n"


def read(data: bytes) -> tuple[list[Entry], int]:
    """The entries, and how many bytes of the data hold them: what follows is to be cut off."""
    out: list[Entry] = []
    at = 0
    while at < len(data):
        end = data.find(b"\n", at)
        whole = data[at:end] if end >= 0 else b""
        digest, _, body = whole.partition(b" ")
        if end < 0 or xxhash.xxh64_hexdigest(body).encode() != digest:
            if end >= 0 and end + 1 < len(data):
                raise Broken(f"a line at byte {at} that does not fit its checksum, with more behind it")
            return out, at
        try:
            out.append(msgspec.json.decode(body, type=Entry))
        except msgspec.DecodeError as fault:
            raise Broken(f"a line at byte {at}: {fault}") from None
        at = end + 1
    return out, at
