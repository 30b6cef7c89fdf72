"""The index from parts to the places of their records: an open-addressed table in one block of bytes.

The table never grows: all slots are allocated at the start and at most three quarters of them are used, so an
entry costs 59 to 118 bytes. Checkpoints store the block as it stands.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from .errors import IndexSizeError
from .format import RECORD_HEADER_SIZE

# object, part, segment, offset, body size, timestamp, generation, group, tag size, whether the slot is used
_SLOT = struct.Struct("<QIIIIQQHBB")
_KEY = struct.Struct("<QI")  # the start of a slot
SLOT_SIZE = _SLOT.size
_USED_OFFSET = SLOT_SIZE - 1  # of the byte that says whether a slot is used
MAX_LOAD = 0.75  # share of slots in use
_MIN_SLOTS = 16
_CHUNK_SLOTS = 1024  # slots that a snapshot copies together
_CHUNK_SIZE = _CHUNK_SLOTS * SLOT_SIZE
_MASK_64 = (1 << 64) - 1
_OBJECT_MULTIPLIER = 0x9E3779B97F4A7C15
_PART_MULTIPLIER = 0xBF58476D1CE4E5B9
_MIX_MULTIPLIER = 0x94D049BB133111EB


class PartKey(NamedTuple):
    """Names one part of one object."""

    object_id: int
    part: int


class IndexEntry(NamedTuple):
    """Where the record of a part's copy is, and what the record's header says of it."""

    object_id: int
    part: int
    segment: int
    offset: int
    body_size: int
    produced_at: int  # Unix ms at which the origin produced the copy
    generation: int
    group: int
    tag_size: int

    @property
    def key(self) -> PartKey:
        """The part that the copy is of."""
        return PartKey(self.object_id, self.part)

    @property
    def record_size(self) -> int:
        """Bytes of the whole record."""
        return RECORD_HEADER_SIZE + self.tag_size + self.body_size


class PartIndex:
    """An open-addressed hash table of fixed size; a snapshot of it can be taken while it changes."""

    def __init__(self, min_capacity: int, block: bytes | None = None):
        """Allocates the slots, or takes over the block of a checkpoint.

        Args:
            min_capacity: how many entries must fit.
            block: the slots as a checkpoint stored them.

        Raises:
            IndexSizeError: the block was stored for another capacity.
        """
        slot_count = _MIN_SLOTS
        while slot_count * MAX_LOAD < min_capacity:
            slot_count *= 2
        size = slot_count * SLOT_SIZE
        if block is not None and len(block) != size:
            raise IndexSizeError(
                f"index block of {len(block)} bytes, expected {size} for {min_capacity} entries"
            )
        self.capacity = int(slot_count * MAX_LOAD)
        self.block = bytearray(size) if block is None else bytearray(block)
        self.entry_count = 0
        self._slot_mask = slot_count - 1
        self._snapshot: list[bytes | None] | None = None  # the chunks copied so far, while one is taken

    def __len__(self) -> int:
        return self.entry_count

    def begin_snapshot(self) -> int:
        """Fixes the block as it is now: from here on a chunk is copied before it changes.

        Returns:
            The number of chunks.
        """
        chunk_count = -(-len(self.block) // _CHUNK_SIZE)
        self._snapshot = [None] * chunk_count
        return chunk_count

    def snapshot_chunk(self, number: int) -> bytes:
        """Returns a chunk as it was when the snapshot began."""
        assert self._snapshot is not None, "no snapshot has begun"
        chunk = self._snapshot[number]
        if chunk is None:
            chunk = bytes(self.block[number * _CHUNK_SIZE : (number + 1) * _CHUNK_SIZE])
            self._snapshot[number] = chunk
        return chunk

    def release_chunk(self, number: int) -> bytes:
        """Returns a chunk of the snapshot and frees it, so that not all of them stay in memory."""
        chunk = self.snapshot_chunk(number)
        if self._snapshot is not None:
            self._snapshot[number] = b""
        return chunk

    def end_snapshot(self) -> None:
        """Frees what is left of the snapshot."""
        self._snapshot = None

    def get(self, key: PartKey) -> IndexEntry | None:
        """Returns the entry of a part."""
        slot, is_used = self._find_slot(key)
        if not is_used:
            return None
        return IndexEntry(*_SLOT.unpack_from(self.block, slot * SLOT_SIZE)[:-1])

    def put(self, entry: IndexEntry) -> bool:
        """Adds or replaces an entry; returns False where the index is full."""
        slot, is_used = self._find_slot(entry.key)
        if not is_used:
            if self.entry_count >= self.capacity:
                return False
            self.entry_count += 1
        self._preserve_chunk(slot)
        _SLOT.pack_into(self.block, slot * SLOT_SIZE, *entry, 1)
        return True

    def remove(self, key: PartKey) -> bool:
        """Removes an entry; returns whether there was one.

        Entries behind it move up, so that no gap ends a later search too early.
        """
        gap, is_used = self._find_slot(key)
        if not is_used:
            return False
        self.entry_count -= 1
        slot = gap
        while True:
            slot = (slot + 1) & self._slot_mask
            start = slot * SLOT_SIZE
            if not self.block[start + _USED_OFFSET]:
                break
            preferred = self._preferred_slot(PartKey(*_KEY.unpack_from(self.block, start)))
            if (slot - preferred) & self._slot_mask >= (slot - gap) & self._slot_mask:
                self._overwrite(gap, self.block[start : start + SLOT_SIZE])
                gap = slot
        self._overwrite(gap, bytes(SLOT_SIZE))
        return True

    def entries(self) -> Iterator[IndexEntry]:
        """Yields all entries in the order of their slots."""
        for start in range(0, len(self.block), SLOT_SIZE):
            if self.block[start + _USED_OFFSET]:
                yield IndexEntry(*_SLOT.unpack_from(self.block, start)[:-1])

    def _preferred_slot(self, key: PartKey) -> int:
        """Returns the slot that the hash of a key names."""
        object_id, part = key
        hash_value = (object_id * _OBJECT_MULTIPLIER + part * _PART_MULTIPLIER) & _MASK_64
        hash_value ^= hash_value >> 29
        hash_value = (hash_value * _MIX_MULTIPLIER) & _MASK_64
        return (hash_value ^ (hash_value >> 32)) & self._slot_mask

    def _find_slot(self, key: PartKey) -> tuple[int, bool]:
        """Returns the slot of a key, or the free one where it belongs, and whether the slot is used."""
        block = self.block
        slot = self._preferred_slot(key)
        while block[slot * SLOT_SIZE + _USED_OFFSET]:
            if _KEY.unpack_from(block, slot * SLOT_SIZE) == key:
                return slot, True
            slot = (slot + 1) & self._slot_mask
        return slot, False

    def _overwrite(self, slot: int, data: bytes | bytearray) -> None:
        self._preserve_chunk(slot)
        self.block[slot * SLOT_SIZE : (slot + 1) * SLOT_SIZE] = data

    def _preserve_chunk(self, slot: int) -> None:
        """Copies the slot's chunk into the snapshot, where one is being taken."""
        if self._snapshot is not None:
            self.snapshot_chunk(slot // _CHUNK_SLOTS)
