"""The stored form of an agent's journal: one line per entry, with a checksum.

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
    """The entries of a journal and the length in bytes of the lines that hold them.

    Bytes after `valid_length` belong to an incomplete line and must be truncated before the next append.
    """

    entries: list[Entry]
    valid_length: int


def encode_entry(entry: Entry) -> bytes:
    """Returns the line that stores an entry."""
    body = msgspec.json.encode(entry)
    return _checksum(body) + CHECKSUM_SEPARATOR + body + LINE_END


def decode_journal(data: bytes) -> JournalContents:
    """Decodes a journal up to its last complete line.

    Only the last line can be incomplete, after a crash during its write. Its command was not answered yet, so
    the line can be dropped.

    Raises:
        CorruptJournalError: A line before the last one has a wrong checksum, or a line with a correct
            checksum is not an entry.
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
                raise CorruptJournalError(offset, "checksum mismatch, allowed only in the last line")
            break
        entries.append(_decode_body(body, offset))
        offset = next_offset
    return JournalContents(entries, offset)


def _decode_body(body: bytes, offset: int) -> Entry:
    try:
        return msgspec.json.decode(body, type=Entry)
    except msgspec.DecodeError as error:
        raise CorruptJournalError(offset, f"not a journal entry: {error}") from None


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh64_hexdigest(body).encode()
