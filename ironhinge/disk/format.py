"""Binary format of records and segment headers.

A record consists of a header of fixed size, the tag and the body. The header has its own checksum, so that
its lengths can be trusted; a second checksum covers tag and body. Integers are little-endian. A record never
spans segments. This module does no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

import xxhash

from .errors import CorruptRecordError

FORMAT_VERSION = 1
IDENTITY_SIZE = 16  # bytes; shorter identities are padded with zeros
MAX_BODY_SIZE = 1 << 28  # bytes
CHECKSUM_SIZE = 8  # bytes; xxh3, 64 bits

_RECORD_MAGIC = b"IHr1"
# Magic, kind, tag size, group, object ID, part, body size, timestamp, generation, checksum of tag and body.
_RECORD_FIELDS = struct.Struct("<4sBBHQIIQQQ")
RECORD_HEADER_SIZE = _RECORD_FIELDS.size + CHECKSUM_SIZE

_SEGMENT_MAGIC = b"IHseg\0\0\1"
_SEGMENT_FIELDS = struct.Struct("<8sI16sQQ")  # magic, version, identity, number, generation
SEGMENT_HEADER_SIZE = _SEGMENT_FIELDS.size + CHECKSUM_SIZE
_SEGMENT_EXTENSION = "seg"
_SEGMENT_NAME_DIGITS = 12

Buffer = bytes | memoryview


class RecordKind(IntEnum):
    """The kind of a record; the values are stored on disk."""

    PUT = 1  # a copy
    DROP = 2  # the tombstone of one copy
    PURGE_OBJECT = 3
    PURGE_GROUP = 4
    DISCOVERY_PROGRESS = 5  # all purges up to the timestamp are known


_KIND_BY_VALUE = {kind.value: kind for kind in RecordKind}


class Record(NamedTuple):
    """A record to be packed; fields that its kind does not use keep their defaults."""

    kind: RecordKind
    generation: int  # sequence number; the newer of two records of a part takes precedence
    object_id: int = 0
    part: int = 0
    group: int = 0  # purge group
    # Unix ms: production time of the copy, time up to which produced copies are purged, or discovery progress
    timestamp: int = 0
    tag: bytes = b""  # validator of the body
    body: bytes = b""


class RecordHeader(NamedTuple):
    """The verified header of a stored record."""

    kind: RecordKind
    tag_size: int
    group: int
    object_id: int
    part: int
    body_size: int
    timestamp: int  # Unix ms, as in `Record`
    generation: int
    checksum: int  # of tag and body

    @property
    def record_size(self) -> int:
        """Size of the whole record in bytes."""
        return RECORD_HEADER_SIZE + self.tag_size + self.body_size


class LocatedRecord(NamedTuple):
    """The header of a record in a segment and the offset at which the record begins."""

    header: RecordHeader
    offset: int


class SegmentHeader(NamedTuple):
    """The verified header of a segment file."""

    version: int
    identity: bytes
    number: int
    generation: int  # generation of the newest record when the segment was started


def _checksum(tag: Buffer, body: Buffer) -> int:
    """Returns the checksum of tag and body without joining them."""
    checksum = xxhash.xxh3_64(tag)
    checksum.update(body)
    return checksum.intdigest()


def pack_record(record: Record) -> tuple[bytes, ...]:
    """Returns the bytes of a record in pieces, which avoids copying a long body."""
    header = _RECORD_FIELDS.pack(
        _RECORD_MAGIC,
        record.kind,
        len(record.tag),
        record.group,
        record.object_id,
        record.part,
        len(record.body),
        record.timestamp,
        record.generation,
        _checksum(record.tag, record.body),
    )
    return header + xxhash.xxh3_64_digest(header), record.tag, record.body


def unpack_record_header(data: memoryview) -> RecordHeader:
    """Returns the record header at the start of `data`.

    Raises:
        CorruptRecordError: the bytes are not a valid record header.
    """
    if len(data) < RECORD_HEADER_SIZE:
        raise CorruptRecordError(f"truncated record header: {len(data)} bytes, expected {RECORD_HEADER_SIZE}")
    magic, kind_value, *fields = _RECORD_FIELDS.unpack_from(data)
    if magic != _RECORD_MAGIC:
        raise CorruptRecordError(f"not a record: begins with {magic!r}, expected {_RECORD_MAGIC!r}")
    expected = bytes(data[_RECORD_FIELDS.size : RECORD_HEADER_SIZE])
    if xxhash.xxh3_64_digest(data[: _RECORD_FIELDS.size]) != expected:
        raise CorruptRecordError("record header does not match its checksum")
    kind = _KIND_BY_VALUE.get(kind_value)
    if kind is None:
        raise CorruptRecordError(
            f"unknown record kind {kind_value}, expected one of {sorted(_KIND_BY_VALUE)}"
        )
    header = RecordHeader(kind, *fields)
    if header.body_size > MAX_BODY_SIZE:
        raise CorruptRecordError(f"record body of {header.body_size} bytes, expected at most {MAX_BODY_SIZE}")
    return header


def verify_content(header: RecordHeader, tag: Buffer, body: Buffer) -> None:
    """Verifies the checksum of tag and body.

    Raises:
        CorruptRecordError: the checksum does not match.
    """
    checksum = _checksum(tag, body)
    if checksum != header.checksum:
        raise CorruptRecordError(
            f"object {header.object_id:016x} part {header.part}: content checksum {checksum:016x}, "
            f"expected {header.checksum:016x}"
        )


def scan_records(data: memoryview, offset: int, *, verify_bodies: bool) -> Iterator[LocatedRecord]:
    """Yields the records of a segment from an offset on and stops before the first corrupt or truncated one.

    Args:
        data: the bytes of the whole segment.
        offset: where the first record begins.
        verify_bodies: whether to verify tags and bodies too, instead of headers only.
    """
    while offset + RECORD_HEADER_SIZE <= len(data):
        try:
            header = unpack_record_header(data[offset : offset + RECORD_HEADER_SIZE])
            end = offset + header.record_size
            if end > len(data):
                return
            if verify_bodies:
                body_offset = offset + RECORD_HEADER_SIZE + header.tag_size
                verify_content(header, data[offset + RECORD_HEADER_SIZE : body_offset], data[body_offset:end])
        except CorruptRecordError:
            return
        yield LocatedRecord(header, offset)
        offset = end


def pack_segment_header(identity: bytes, number: int, generation: int) -> bytes:
    """Returns the bytes of a segment header."""
    header = _SEGMENT_FIELDS.pack(_SEGMENT_MAGIC, FORMAT_VERSION, identity, number, generation)
    return header + xxhash.xxh3_64_digest(header)


def unpack_segment_header(data: bytes) -> SegmentHeader:
    """Returns the header at the start of a segment file.

    Raises:
        CorruptRecordError: the bytes are not a valid segment header.
    """
    if len(data) < SEGMENT_HEADER_SIZE or not data.startswith(_SEGMENT_MAGIC):
        raise CorruptRecordError(
            f"not a segment: {len(data)} bytes, expected a header that begins with {_SEGMENT_MAGIC!r}"
        )
    expected = data[_SEGMENT_FIELDS.size : SEGMENT_HEADER_SIZE]
    if xxhash.xxh3_64_digest(data[: _SEGMENT_FIELDS.size]) != expected:
        raise CorruptRecordError("segment header does not match its checksum")
    return SegmentHeader(*_SEGMENT_FIELDS.unpack_from(data)[1:])


def identity_name(identity: bytes) -> str:
    """Returns the installation name in an identity, which is truncated to `IDENTITY_SIZE` bytes."""
    return identity.rstrip(b"\0").decode(errors="replace")


def segment_file_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"{number:0{_SEGMENT_NAME_DIGITS}x}.{_SEGMENT_EXTENSION}"


def segment_number(file_name: str) -> int | None:
    """Returns the number of the segment with a file name, or None if it is not the name of a segment file."""
    stem, _, extension = file_name.partition(".")
    if extension != _SEGMENT_EXTENSION or len(stem) != _SEGMENT_NAME_DIGITS:
        return None
    try:
        return int(stem, 16)
    except ValueError:
        return None
