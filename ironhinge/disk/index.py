"""The index: maps each part to the location of its record, with open addressing in one block of bytes.

The table never grows: all slots are allocated at the start and at most three quarters of them are used, so
an entry costs 59 to 118 bytes once the configured number of entries is reached. Checkpoints store the block
unchanged.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from .errors import IndexSizeError
from .format import RECORD_HEADER_SIZE

# Object ID, part, segment, offset, body size, timestamp, generation, group, tag size, 1 if the slot is used.
_SLOT = struct.Struct("<QIIIIQQHBB")
_KEY = struct.Struct("<QI")  # object ID and part, the first fields of a slot
SLOT_SIZE = _SLOT.size
_USED_OFFSET = SLOT_SIZE - 1  # offset in a slot of the byte that marks it as used
MAX_LOAD = 0.75  # maximum fraction of slots in use
_MIN_SLOTS = 16
_CHUNK_SLOTS = 1024  # slots that a snapshot copies at once
_CHUNK_SIZE = _CHUNK_SLOTS * SLOT_SIZE
_MASK_64 = (1 << 64) - 1
_OBJECT_MULTIPLIER = 0x9E3779B97F4A7C15
_PART_MULTIPLIER = 0xBF58476D1CE4E5B9
_MIX_MULTIPLIER = 0x94D049BB133111EB


class PartKey(NamedTuple):
    """Identifies one part of an object."""

    object_id: int
    part: int


class IndexEntry(NamedTuple):
    """The location of the record of a part's copy, and fields of the record's header."""

    object_id: int
    part: int
    segment: int
    offset: int
    body_size: int
    produced_at: int  # time at which the origin produced the copy, in Unix ms
    generation: int
    group: int
    tag_size: int

    @property
    def key(self) -> PartKey:
        """The key of the part."""
        return PartKey(self.object_id, self.part)

    @property
    def record_size(self) -> int:
        """Size of the whole record in bytes."""
        return RECORD_HEADER_SIZE + self.tag_size + self.body_size


class PartIndex:
    """An open-addressing hash table of fixed size, with snapshots that stay consistent while it changes."""

    def __init__(self, min_capacity: int, block: bytes | None = None):
        """Allocates empty slots, or copies the block of a checkpoint.

        Args:
            min_capacity: number of entries that must fit.
            block: the slots stored in a checkpoint; the caller then sets `entry_count`.

        Raises:
            IndexSizeError: the size of the block does not match the capacity.
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
        # The chunks copied so far; None if no snapshot is in progress.
        self._snapshot: list[bytes | None] | None = None

    def __len__(self) -> int:
        return self.entry_count

    def begin_snapshot(self) -> int:
        """Begins a copy-on-write snapshot: from now on a chunk is copied before it changes.

        Returns:
            The number of chunks of the snapshot.
        """
        chunk_count = -(-len(self.block) // _CHUNK_SIZE)
        self._snapshot = [None] * chunk_count
        return chunk_count

    def snapshot_chunk(self, number: int) -> bytes:
        """Returns a chunk with its contents at the beginning of the snapshot."""
        assert self._snapshot is not None, "no snapshot has begun"
        chunk = self._snapshot[number]
        if chunk is None:
            chunk = bytes(self.block[number * _CHUNK_SIZE : (number + 1) * _CHUNK_SIZE])
            self._snapshot[number] = chunk
        return chunk

    def release_chunk(self, number: int) -> bytes:
        """Returns a chunk of the snapshot and frees it, to save memory; each chunk can be released once."""
        chunk = self.snapshot_chunk(number)
        if self._snapshot is not None:
            self._snapshot[number] = b""
        return chunk

    def end_snapshot(self) -> None:
        """Ends the snapshot and frees its remaining chunks."""
        self._snapshot = None

    def get(self, key: PartKey) -> IndexEntry | None:
        """Returns the entry of a part, or None if there is none."""
        slot, is_used = self._find_slot(key)
        if not is_used:
            return None
        return IndexEntry(*_SLOT.unpack_from(self.block, slot * SLOT_SIZE)[:-1])

    def put(self, entry: IndexEntry) -> bool:
        """Adds or replaces an entry; returns False if the index is full."""
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

        Entries after it are shifted back into the gap, because an empty slot ends the search for a key.
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
        """Yields all entries in slot order."""
        for start in range(0, len(self.block), SLOT_SIZE):
            if self.block[start + _USED_OFFSET]:
                yield IndexEntry(*_SLOT.unpack_from(self.block, start)[:-1])

    def _preferred_slot(self, key: PartKey) -> int:
        """Returns the slot at which the search for a key starts, from the hash of the key."""
        object_id, part = key
        hash_value = (object_id * _OBJECT_MULTIPLIER + part * _PART_MULTIPLIER) & _MASK_64
        hash_value ^= hash_value >> 29
        hash_value = (hash_value * _MIX_MULTIPLIER) & _MASK_64
        return (hash_value ^ (hash_value >> 32)) & self._slot_mask

    def _find_slot(self, key: PartKey) -> tuple[int, bool]:
        """Returns the slot of a key, or the free slot for it, and whether the slot is used."""
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
        """Copies the chunk of a slot into the snapshot in progress, if any, before the slot changes."""
        if self._snapshot is not None:
            self.snapshot_chunk(slot // _CHUNK_SLOTS)
