"""Owns the bytes on disk: records, segment headers and checkpoints. It must never do I/O.

A record is a head of fixed size with a checksum of its own, so that its lengths can be trusted, then the tag
and the body under another. All figures are little-endian. Records never span segments.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple, Union

import xxhash

VERSION = 1
PUT, DROP, PURGE_OBJECT, PURGE_GROUP, HEARD = range(1, 6)
KINDS = (PUT, DROP, PURGE_OBJECT, PURGE_GROUP, HEARD)
_HEAD = struct.Struct(
    "<4sBBHQIIQQQ"
)  # mark, kind, length of tag, group, object, part, length, dated, generation, sum
HEAD = _HEAD.size + 8  # and the head's own checksum
MARK = b"IHr1"
_SEGMENT = struct.Struct("<8sI16sQQ")  # mark, version, store, number, generation of the first record
SEGMENT = _SEGMENT.size + 8
SEGMENT_MARK = b"IHseg\0\0\1"
CHECKPOINT_MARK = b"IHcheck\1"
_CHECKPOINT = struct.Struct("<8sI16sQQQQQQQIIIQ")
Buffer = Union[bytes, memoryview]
MOST_BODY = 1 << 28
MOST_TAG = 255


class Unsound(Exception):
    """Bytes that are not what they should be."""


class Head(NamedTuple):
    kind: int
    tag_size: int
    group: int
    obj: int
    part: int
    length: int  # of the body
    dated: int  # Unix millisecond at which the origin gave the copy out
    generation: int
    sum: int  # of tag and body

    @property
    def size(self) -> int:
        """Of the whole record."""
        return HEAD + self.tag_size + self.length


def pack_record(
    kind: int,
    obj: int,
    part: int,
    group: int,
    dated: int,
    generation: int,
    tag: bytes = b"",
    body: bytes = b"",
) -> tuple[bytes, ...]:
    """A record in pieces, so that a long body is not copied."""
    both = xxhash.xxh3_64(tag)
    both.update(body)
    head = _HEAD.pack(MARK, kind, len(tag), group, obj, part, len(body), dated, generation, both.intdigest())
    return head + xxhash.xxh3_64_digest(head), tag, body


def unpack_head(data: memoryview) -> Head:
    """`Unsound` where the bytes are no head."""
    if len(data) < HEAD:
        raise Unsound("a head cut short")
    mark, *fields = _HEAD.unpack_from(data)
    if mark != MARK or xxhash.xxh3_64_digest(data[: _HEAD.size]) != bytes(data[_HEAD.size : HEAD]):
        raise Unsound("no head of a record")
    head = Head(*fields)
    if head.kind not in KINDS or head.length > MOST_BODY:
        raise Unsound(f"a record of kind {head.kind} and {head.length} bytes")
    return head


def verify(head: Head, tag: Buffer, body: Buffer) -> None:
    both = xxhash.xxh3_64(tag)
    both.update(body)
    if both.intdigest() != head.sum:
        raise Unsound("bytes that do not fit their checksum")


def pack_segment(store: bytes, number: int, generation: int) -> bytes:
    head = _SEGMENT.pack(SEGMENT_MARK, VERSION, store, number, generation)
    return head + xxhash.xxh3_64_digest(head)


class SegmentHead(NamedTuple):
    version: int
    store: bytes
    number: int
    generation: int


def unpack_segment(data: bytes) -> SegmentHead:
    if len(data) < SEGMENT or not data.startswith(SEGMENT_MARK):
        raise Unsound("no segment")
    if xxhash.xxh3_64_digest(data[: _SEGMENT.size]) != data[_SEGMENT.size : SEGMENT]:
        raise Unsound("a segment's head that does not fit its checksum")
    return SegmentHead(*_SEGMENT.unpack_from(data)[1:])


class Found(NamedTuple):
    """A record in a segment: its head and where it begins."""

    head: Head
    offset: int


def walk(data: memoryview, offset: int, whole: bool) -> Iterator[Found]:
    """The records of a segment's bytes from an offset on, up to the first that is not sound. `whole`: bodies
    are verified too.
    """
    while offset + HEAD <= len(data):
        try:
            head = unpack_head(data[offset : offset + HEAD])
            end = offset + head.size
            if end > len(data):
                return
            if whole:
                tag_end = offset + HEAD + head.tag_size
                verify(head, data[offset + HEAD : tag_end], data[tag_end:end])
        except Unsound:
            return
        yield Found(head, offset)
        offset = end


class Checkpoint(NamedTuple):
    store: bytes
    generation: int  # of the newest record in it
    segment: int  # the log goes on from here
    offset: int
    heard: int  # Unix millisecond up to which all purges are known
    floor: int  # copies dated up to here are gone
    floor_generation: int  # those of records up to this one
    entries: int
    segments: dict[int, tuple[int, int]]  # bytes in all, and of them live
    objects: dict[int, int]  # purges
    groups: dict[int, int]
    slots: bytes = b""


def pack_checkpoint(one: Checkpoint, slots: Iterable[bytes], size: int) -> Iterator[bytes]:
    """Its bytes, piece by piece: `slots` are taken as they are written, `size` bytes in all."""
    head = _CHECKPOINT.pack(
        CHECKPOINT_MARK,
        VERSION,
        one.store,
        one.generation,
        one.segment,
        one.offset,
        one.heard,
        one.floor,
        one.floor_generation,
        one.entries,
        len(one.segments),
        len(one.objects),
        len(one.groups),
        size,
    )
    rows = b"".join(struct.pack("<QQQ", number, *sizes) for number, sizes in one.segments.items())
    rows += b"".join(struct.pack("<QQ", *each) for each in one.objects.items())
    rows += b"".join(struct.pack("<QQ", *each) for each in one.groups.items())
    check = xxhash.xxh3_64(head + rows)
    yield head + rows
    for piece in slots:
        check.update(piece)
        yield piece
    yield check.digest()


def unpack_checkpoint(data: memoryview) -> Checkpoint:
    """`Unsound` where it is torn, of another version, or none."""
    if len(data) < _CHECKPOINT.size + 8:
        raise Unsound("a checkpoint cut short")
    fields = _CHECKPOINT.unpack_from(data)
    (mark, version, store), (segments_n, objects_n, groups_n, slots_n) = fields[:3], fields[-4:]
    at = _CHECKPOINT.size
    end = at + 24 * segments_n + 16 * (objects_n + groups_n) + slots_n
    if mark != CHECKPOINT_MARK or version != VERSION or end + 8 != len(data):
        raise Unsound("no checkpoint of this version, or not all of it")
    if xxhash.xxh3_64_digest(data[:end]) != bytes(data[end:]):
        raise Unsound("a checkpoint that does not fit its checksum")
    segments: dict[int, tuple[int, int]] = {}
    for _ in range(segments_n):
        number, total, live = struct.unpack_from("<QQQ", data, at)
        segments[number], at = (total, live), at + 24
    books: list[dict[int, int]] = [{}, {}]
    for book, rows in zip(books, (objects_n, groups_n), strict=True):
        for _ in range(rows):
            name, when = struct.unpack_from("<QQ", data, at)
            book[name], at = when, at + 16
    return Checkpoint(store, *fields[3:-4], segments, books[0], books[1], bytes(data[at:end]))  # type: ignore[call-arg]


def name_of(segment: int) -> str:
    return f"{segment:012x}.seg"


def number_of(name: str) -> int | None:
    stem, _, ending = name.partition(".")
    try:
        return int(stem, 16) if ending == "seg" and len(stem) == 12 else None
    except ValueError:
        return None
