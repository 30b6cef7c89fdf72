"""Binary form of checkpoints: what is known at one moment, so that recovery reads only the log's tail.

A header of fixed size is followed by one row for each segment and purge, the index block, and a checksum of
all of it. This module does no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

from .errors import CorruptRecordError
from .format import CHECKSUM_SIZE, FORMAT_VERSION
from .segments import SegmentUsage

_MAGIC = b"IHcheck\1"
# magic, version, identity, the seven integers of `Checkpoint`, then the counts of segments, object purges and
# group purges, and the size of the index block
_HEADER = struct.Struct("<8sI16sQQQQQQQIIIQ")
_SEGMENT_ROW = struct.Struct("<QQQ")  # number, bytes in all, live bytes
_PURGE_ROW = struct.Struct("<QQ")  # object or group, Unix ms


class Checkpoint(NamedTuple):
    """What is known of a store at one moment."""

    identity: bytes
    generation: int  # of the newest record that is included
    segment: int  # where the log continues
    offset: int
    purges_known_until: int  # Unix ms
    purge_floor: int  # Unix ms; copies produced up to then are void
    purge_floor_generation: int  # the floor applies to records up to this generation
    entry_count: int
    segments: dict[int, SegmentUsage]
    object_purges: dict[int, int]  # Unix ms by object
    group_purges: dict[int, int]  # Unix ms by group
    index_block: bytes = b""


def pack_checkpoint(
    checkpoint: Checkpoint, index_chunks: Iterable[bytes], index_size: int
) -> Iterator[bytes]:
    """Yields the bytes of a checkpoint piece by piece.

    Args:
        checkpoint: everything but the index, whose `index_block` is not read.
        index_chunks: the index block; each chunk is requested only when it is written.
        index_size: bytes of all chunks together.
    """
    header = _HEADER.pack(
        _MAGIC,
        FORMAT_VERSION,
        *checkpoint[:8],
        len(checkpoint.segments),
        len(checkpoint.object_purges),
        len(checkpoint.group_purges),
        index_size,
    )
    rows = [
        _SEGMENT_ROW.pack(number, usage.total_bytes, usage.live_bytes)
        for number, usage in checkpoint.segments.items()
    ]
    for purges in (checkpoint.object_purges, checkpoint.group_purges):
        rows += [_PURGE_ROW.pack(*purge) for purge in purges.items()]
    start = header + b"".join(rows)
    checksum = xxhash.xxh3_64(start)
    yield start
    for chunk in index_chunks:
        checksum.update(chunk)
        yield chunk
    yield checksum.digest()


def unpack_checkpoint(data: memoryview) -> Checkpoint:
    """Returns the checkpoint that a file holds.

    Raises:
        CorruptRecordError: it is truncated, of another version, damaged, or not a checkpoint.
    """
    if len(data) < _HEADER.size + CHECKSUM_SIZE:
        raise CorruptRecordError(
            f"truncated checkpoint: {len(data)} bytes, expected at least {_HEADER.size + CHECKSUM_SIZE}"
        )
    magic, version, *fields = _HEADER.unpack_from(data)
    segment_count, object_count, group_count, index_size = fields[-4:]
    segments_end = _HEADER.size + segment_count * _SEGMENT_ROW.size
    objects_end = segments_end + object_count * _PURGE_ROW.size
    groups_end = objects_end + group_count * _PURGE_ROW.size
    end = groups_end + index_size
    if magic != _MAGIC or version != FORMAT_VERSION:
        raise CorruptRecordError(f"not a checkpoint of version {FORMAT_VERSION}: {magic!r}, {version}")
    if end + CHECKSUM_SIZE != len(data):
        raise CorruptRecordError(f"checkpoint of {len(data)} bytes, expected {end + CHECKSUM_SIZE}")
    if xxhash.xxh3_64_digest(data[:end]) != bytes(data[end:]):
        raise CorruptRecordError("checkpoint does not match its checksum")
    segments = {
        number: SegmentUsage(total_bytes, live_bytes)
        for number, total_bytes, live_bytes in _SEGMENT_ROW.iter_unpack(data[_HEADER.size : segments_end])
    }
    object_purges = dict(_PURGE_ROW.iter_unpack(data[segments_end:objects_end]))
    group_purges = dict(_PURGE_ROW.iter_unpack(data[objects_end:groups_end]))
    index_block = bytes(data[groups_end:end])
    return Checkpoint._make([*fields[:-4], segments, object_purges, group_purges, index_block])
