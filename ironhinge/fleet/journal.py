"""The stored form of an agent's journal: one line for each entry, with its checksum.

A line is the xxHash64 of the body in hexadecimal, a space, the body and a newline. The body is the entry as a
JSON array, so the names of the entry's fields are not part of the stored form. The module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import xxhash

from .desired_state import Entry
from .errors import CorruptJournalError

LINE_END = b"\n"
CHECKSUM_SEPARATOR = b" "


class JournalContents(NamedTuple):
    """The entries of a journal and the number of its bytes that hold them.

    What follows `valid_length` was never written whole and is to be cut off.
    """

    entries: list[Entry]
    valid_length: int


def encode_entry(entry: Entry) -> bytes:
    """Returns the line that stores an entry."""
    body = msgspec.json.encode(entry)
    return _checksum(body) + CHECKSUM_SEPARATOR + body + LINE_END


def decode_journal(data: bytes) -> JournalContents:
    """Reads a journal up to its last whole line.

    Only the last line can be incomplete. Its command was never answered, so it can be dropped.

    Raises:
        CorruptJournalError: A line before the last one is damaged, or a whole line holds no entry.
    """
    entries: list[Entry] = []
    offset = 0
    while offset < len(data):
        line_end = data.find(LINE_END, offset)
        if line_end < 0:
            break
        next_offset = line_end + len(LINE_END)
        checksum, _, body = data[offset:line_end].partition(CHECKSUM_SEPARATOR)
        if _checksum(body) != checksum:
            if next_offset < len(data):
                raise CorruptJournalError(offset, "checksum mismatch, expected only in the last line")
            break
        entries.append(_decode_body(body, offset))
        offset = next_offset
    return JournalContents(entries, offset)


def _decode_body(body: bytes, offset: int) -> Entry:
    try:
        return msgspec.json.decode(body, type=Entry)
    except msgspec.DecodeError as error:
        raise CorruptJournalError(offset, f"expected an entry: {error}") from None


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh64_hexdigest(body).encode()
