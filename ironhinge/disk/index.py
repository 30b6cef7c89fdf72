"""Owns what is where: an open-addressed table of fixed size in one block of bytes.

It must never grow: it takes `slots` of 44 bytes from the start, at most three quarters of them in use, so an
entry costs 59 bytes. The block goes into checkpoints as it stands and comes back as it was.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

_SLOT = struct.Struct(
    "<QIIIIQQHBB"
)  # object, part, segment, offset, length, dated, generation, group, tag's size, used
SLOT = _SLOT.size
_KEY = struct.Struct("<QI")
FULL = 0.75
CHUNK = 1024  # slots copied together
MASK = (1 << 64) - 1


class Entry(NamedTuple):
    obj: int
    part: int
    segment: int
    offset: int
    length: int
    dated: int
    generation: int
    group: int
    tag_size: int


class Index:
    def __init__(self, most: int, slots: bytes | None = None):
        size = 16
        while size * FULL < most:
            size *= 2
        self.mask, self.most = size - 1, int(size * FULL)
        self.block = bytearray(slots) if slots is not None else bytearray(size * SLOT)
        if len(self.block) != size * SLOT:
            raise ValueError("a block of another size")
        self.count = 0
        self.picture: list[bytes | None] | None = None  # chunks copied so far, while one is taken

    def begin_picture(self) -> None:
        """From here on what changes is copied first, so that `chunk` gives the block as it is now."""
        self.picture = [None] * -(-(self.mask + 1) // CHUNK)

    def chunk(self, place: int) -> bytes:
        assert self.picture is not None
        found = self.picture[place]
        if found is None:
            found = bytes(self.block[place * CHUNK * SLOT : (place + 1) * CHUNK * SLOT])
            self.picture[place] = found
        return found

    def take_chunk(self, place: int) -> bytes:
        """The same, and lets go of it: what is written must not stay in memory until the last one is."""
        found = self.chunk(place)
        if self.picture is not None:
            self.picture[place] = b""
        return found

    def end_picture(self) -> None:
        self.picture = None

    def _touch(self, at: int) -> None:
        if self.picture is not None:
            self.chunk(at // CHUNK)

    def __len__(self) -> int:
        return self.count

    def _place(self, obj: int, part: int) -> int:
        x = (obj * 0x9E3779B97F4A7C15 + part * 0xBF58476D1CE4E5B9) & MASK
        x ^= x >> 29
        x = (x * 0x94D049BB133111EB) & MASK
        return (x ^ (x >> 32)) & self.mask

    def _find(self, obj: int, part: int) -> tuple[int, bool]:
        """The slot that holds a key, or the free one where it would go."""
        at, block = self._place(obj, part), self.block
        while block[at * SLOT + SLOT - 1]:
            if _KEY.unpack_from(block, at * SLOT) == (obj, part):
                return at, True
            at = (at + 1) & self.mask
        return at, False

    def get(self, obj: int, part: int) -> Entry | None:
        at, found = self._find(obj, part)
        return Entry(*_SLOT.unpack_from(self.block, at * SLOT)[:-1]) if found else None

    def put(self, entry: Entry) -> bool:
        """False where there is no room for another."""
        at, found = self._find(entry.obj, entry.part)
        if not found:
            if self.count >= self.most:
                return False
            self.count += 1
        self._touch(at)
        _SLOT.pack_into(self.block, at * SLOT, *entry, 1)
        return True

    def drop(self, obj: int, part: int) -> bool:
        """Entries behind it move up, so that no gap ends a search too early."""
        at, found = self._find(obj, part)
        if not found:
            return False
        self.count -= 1
        block, mask = self.block, self.mask
        gap = at
        while True:
            at = (at + 1) & mask
            start = at * SLOT
            if not block[start + SLOT - 1]:
                break
            home = self._place(*_KEY.unpack_from(block, start))
            if (at - home) & mask >= (at - gap) & mask:
                self._touch(gap)
                block[gap * SLOT : gap * SLOT + SLOT] = block[start : start + SLOT]
                gap = at
        self._touch(gap)
        block[gap * SLOT : gap * SLOT + SLOT] = bytes(SLOT)
        return True

    def entries(self) -> Iterator[Entry]:
        for start in range(0, len(self.block), SLOT):
            if self.block[start + SLOT - 1]:
                yield Entry(*_SLOT.unpack_from(self.block, start)[:-1])
