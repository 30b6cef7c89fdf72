"""Binary format of checkpoints: the state of a store, so that recovery replays only the tail of the log.

A header of fixed size is followed by one row per segment and per purge, the index block, and a checksum of
everything before it. This module does no I/O.
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
# Magic, version, identity, the seven integers of `Checkpoint`, then the number of segments, of object purges
# and of group purges, and the size of the index block.
_HEADER = struct.Struct("<8sI16sQQQQQQQIIIQ")
_SEGMENT_ROW = struct.Struct("<QQQ")  # number, total bytes, live bytes
_PURGE_ROW = struct.Struct("<QQ")  # object ID or group, time of the purge in Unix ms


class Checkpoint(NamedTuple):
    """The state of a store at one moment."""

    identity: bytes
    generation: int  # generation of the newest record included
    segment: int  # replay of the log begins in this segment ...
    offset: int  # ... at this offset
    purges_known_until: int  # Unix ms; see `PurgeTable.known_until`
    purge_floor: int  # Unix ms; see `PurgeTable.floor`
    purge_floor_generation: int  # see `PurgeTable.floor_generation`
    entry_count: int
    segments: dict[int, SegmentUsage]
    object_purges: dict[int, int]  # time of the purge in Unix ms, by object ID
    group_purges: dict[int, int]  # time of the purge in Unix ms, by group
    index_block: bytes = b""


def pack_checkpoint(
    checkpoint: Checkpoint, index_chunks: Iterable[bytes], index_size: int
) -> Iterator[bytes]:
    """Yields the bytes of a checkpoint file in pieces.

    Args:
        checkpoint: the checkpoint; its `index_block` is ignored.
        index_chunks: the index block; iterated lazily, as the pieces are requested.
        index_size: total bytes of the chunks.
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
    """Parses a checkpoint file.

    Raises:
        CorruptRecordError: the file is truncated or corrupt, has another version, or is not a checkpoint.
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
        raise CorruptRecordError(
            f"not a checkpoint of version {FORMAT_VERSION}: magic {magic!r}, version {version}"
        )
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
