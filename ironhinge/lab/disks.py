"""A disk in memory that fails on demand: power cuts at any call, lost writes, no space, flipped bits.

`MemoryDirectory` answers the calls of `disk.directory.StoreDirectory`.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ..disk.directory import PARTIAL_SUFFIX, StoreDirectory

_SECTOR_SIZE = 512  # bytes that a power cut keeps or loses together
_UNSYNCED_NAME_SURVIVES = 0.5  # probabilities at a power cut
_UNSYNCED_TAIL_SURVIVES = 0.8
_UNSYNCED_SECTOR_SURVIVES = 0.5
_SEED_BITS = 30
_FIRST_DESCRIPTOR = 4
_BITS_PER_BYTE = 8


class PowerCutError(Exception):
    """The machine is off; nothing of the program goes on."""


class FaultPlan:
    """Which calls fail, and how; all fields may be changed at any time."""

    def __init__(self, seed: int = 0):
        self.random = Random(seed)
        self.calls = 0  # that change something
        self.power_cut_at_call: int | None = None
        self.capacity: int | None = None  # bytes that the disk accepts
        self.write_errno: int | None = None  # every write fails with it
        self.sync_errno: int | None = None  # every sync fails with it

    def count_call(self) -> None:
        """Counts a call.

        Raises:
            PowerCutError: the power goes at this call.
        """
        self.calls += 1
        if self.is_power_cut():
            raise PowerCutError

    def is_power_cut(self) -> bool:
        """Returns whether the power goes at the call that was counted last."""
        return self.power_cut_at_call is not None and self.calls >= self.power_cut_at_call


@dataclass(slots=True)
class MemoryFile:
    """What a file holds, and what of it survives a power cut."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    discarded_until: int = 0  # a failed sync dropped what was not durable up to here, and calls it written

    @classmethod
    def with_durable_data(cls, data: bytes | bytearray) -> MemoryFile:
        """Returns a file whose bytes are all durable."""
        return cls(bytearray(data), bytes(data))


class MemoryDirectory(StoreDirectory):
    """The files of one directory on a disk that fails as its plan says."""

    def __init__(self, faults: FaultPlan):
        self.faults = faults
        self.path = Path("/memory")
        self.read_only = False
        self.files: dict[str, MemoryFile] = {}
        self.durable_names: dict[str, MemoryFile] = {}
        self._descriptors: dict[int, MemoryFile] = {}
        self._next_descriptor = _FIRST_DESCRIPTOR

    def after_power_cut(self) -> MemoryDirectory:
        """Returns what the next start finds: synced bytes, and any part of the others, in any order."""
        random = self.faults.random
        recovered = MemoryDirectory(FaultPlan(random.getrandbits(_SEED_BITS)))
        names = dict(self.durable_names)
        for name, file in self.files.items():  # a new name may have reached the disk, a removal may not
            if random.random() < _UNSYNCED_NAME_SURVIVES:
                names[name] = file
        for name in [name for name in names if name not in self.files]:
            if random.random() < _UNSYNCED_NAME_SURVIVES:
                del names[name]
        for name, file in names.items():
            recovered.files[name] = recovered.durable_names[name] = MemoryFile.with_durable_data(
                self._surviving_bytes(file)
            )
        return recovered

    def durable_copy(self) -> MemoryDirectory:
        """Returns what the next start finds when nothing survives but what was synced."""
        recovered = MemoryDirectory(FaultPlan())
        for name, file in self.durable_names.items():
            recovered.files[name] = recovered.durable_names[name] = MemoryFile.with_durable_data(file.durable)
        return recovered

    def flip_bit(self, name: str, offset: int) -> None:
        """Flips one bit of a stored byte."""
        self._file(name).data[offset] ^= 1 << self.faults.random.randrange(_BITS_PER_BYTE)

    def lock(self) -> None:
        """Does nothing: no other process can have this directory."""

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.files)

    def create(self, name: str) -> int:
        """Creates a file and returns its descriptor.

        Raises:
            FileExistsError: there is such a file.
            PowerCutError: the power goes at this call.
        """
        self.faults.count_call()
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "the file exists already", name)
        self.files[name] = MemoryFile()
        self._next_descriptor += 1
        self._descriptors[self._next_descriptor] = self.files[name]
        return self._next_descriptor

    def write(self, descriptor: int, pieces: Sequence[bytes], offset: int) -> None:
        """Writes all pieces at an offset, or a part of them where the plan says so.

        Raises:
            OSError: the planned error, or `ENOSPC` beyond the capacity.
            PowerCutError: the power goes at this call.
        """
        faults, file = self.faults, self._descriptors[descriptor]
        data = b"".join(pieces)
        size = len(data)
        faults.calls += 1
        used = sum(len(each.data) for each in self.files.values())
        if faults.write_errno is not None:
            raise OSError(faults.write_errno, "planned write error")
        if faults.is_power_cut():
            data = data[: faults.random.randrange(size + 1)]
        elif faults.capacity is not None and used + size > faults.capacity:
            data = data[: max(0, faults.capacity - used)]
        file.data[offset : offset + len(data)] = data
        if faults.is_power_cut():
            raise PowerCutError
        if len(data) < size:
            raise OSError(errno.ENOSPC, f"no space left for {size} bytes at {offset}")

    def sync(self, descriptor: int) -> None:
        """Makes a file durable.

        A failed one discards what it could not write, as Linux does: a later one that succeeds brings only
        what was written after it.

        Raises:
            OSError: the planned error.
            PowerCutError: the power goes at this call.
        """
        self.faults.count_call()
        file = self._descriptors[descriptor]
        if self.faults.sync_errno is not None:
            file.discarded_until = len(file.data)
            raise OSError(self.faults.sync_errno, "planned sync error")
        discarded = bytes(max(0, file.discarded_until - len(file.durable)))
        file.durable = file.durable + discarded + bytes(file.data[len(file.durable) + len(discarded) :])

    def sync_file(self, name: str) -> None:
        """Makes a file durable."""
        self.faults.count_call()
        file = self._file(name)
        file.durable = bytes(file.data)

    def sync_directory(self) -> None:
        """Makes the names of the files durable."""
        self.faults.count_call()
        self.durable_names = dict(self.files)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor."""
        self._descriptors.pop(descriptor, None)

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return len(self._file(name).data)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to that many bytes."""
        self.faults.count_call()
        del self._file(name).data[size:]

    def remove(self, name: str) -> None:
        """Removes a file."""
        self.faults.count_call()
        self._file(name)
        del self.files[name]

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file over any that has the new name."""
        self.faults.count_call()
        self.files[new_name] = self._file(name)
        del self.files[name]

    def replace(self, name: str, pieces: Iterable[bytes]) -> int:
        """Writes a whole file in one step; returns its size in bytes."""
        partial_name = name + PARTIAL_SUFFIX
        self.files.pop(partial_name, None)
        descriptor = self.create(partial_name)
        data = b"".join(pieces)
        self.write(descriptor, [data], 0)
        self.sync(descriptor)
        self.close(descriptor)
        self.rename(partial_name, name)
        self.sync_directory()
        return len(data)

    def read(self, name: str) -> bytes:
        """Returns the bytes of a file."""
        return bytes(self._file(name).data)

    def read_at(self, name: str, offset: int, *sizes: int) -> list[bytes]:
        """Returns pieces of these sizes, one behind the other; shorter ones where the file ends."""
        data = self._file(name).data
        pieces = []
        for size in sizes:
            pieces.append(bytes(data[offset : offset + size]))
            offset += size
        return pieces

    def release(self) -> None:
        """Closes every descriptor."""
        self._descriptors.clear()

    def _file(self, name: str) -> MemoryFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def _surviving_bytes(self, file: MemoryFile) -> bytearray:
        """Returns what a power cut leaves of a file: each sector old or new, and any part of the tail."""
        random = self.faults.random
        data = bytearray(file.durable)
        if len(file.data) > len(data) and random.random() < _UNSYNCED_TAIL_SURVIVES:
            data += bytes(random.randrange(len(file.data) - len(data) + 1))
        for start in range(0, len(data), _SECTOR_SIZE):
            sector = slice(start, start + _SECTOR_SIZE)
            if data[sector] != file.data[sector] and random.random() < _UNSYNCED_SECTOR_SURVIVES:
                data[sector] = file.data[sector][: len(data) - start]
        return data
