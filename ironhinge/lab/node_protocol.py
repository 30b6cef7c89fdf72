"""Encoding and decoding of commands and answers on the stand-ins' side of the upstream protocol.

The soak has its own, stricter implementation in `soak/wire.py`.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum


class CacheStatusCode(StrEnum):
    """Values of the `res` field of an answer: where its copy came from, or why there is none."""

    HIT = "h"
    JOINED_FILL = "j"
    FILLED_FROM_SOURCE = "f"
    FILLED_FROM_ORIGIN = "o"
    SOURCE_MISS = "l"
    SOURCE_REJECTED = "r"


def make_body(object_name: str, part: str, size: int) -> bytes:
    """Return a body of `size` bytes that repeats the part's name, so that a wrong body is detected."""
    text = f"{object_name}/{part} ".encode()
    return (text * (size // len(text) + 1))[:size]


def bulk_string(item: bytes) -> bytes:
    """Encode one item of an array."""
    return b"$%d\r\n%b\r\n" % (len(item), item)


def encode_array(*items: bytes) -> bytes:
    """Encode a command or an answer from its items."""
    return b"*%d\r\n" % len(items) + b"".join(bulk_string(item) for item in items)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read the items of one command or answer.

    Raises:
        EOFError: The connection was closed before the array was complete.
        OSError: The connection failed.
        ValueError: A length is not a number.
    """
    items = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


def parse_fields(text: bytes) -> dict[str, str]:
    """Return the fields of an item of the form `name=value,...`.

    Raises:
        ValueError: An entry has no `=`, or the text is not UTF-8.
    """
    return dict(entry.split("=", 1) for entry in text.decode().split(","))
