"""An in-memory disk with injected faults: power cuts at any call, lost writes, no space, flipped bits.

`MemoryDirectory` implements the interface of `disk.directory.StoreDirectory`.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ..disk.directory import PARTIAL_SUFFIX, StoreDirectory

_SECTOR_SIZE = 512  # bytes; a power cut keeps or loses a sector as a whole
# Probabilities that a change that was not synced survives a power cut.
_UNSYNCED_NAME_SURVIVES = 0.5
_UNSYNCED_TAIL_SURVIVES = 0.8
_UNSYNCED_SECTOR_SURVIVES = 0.5
_SEED_BITS = 30
_FIRST_DESCRIPTOR = 4
_BITS_PER_BYTE = 8


class PowerCutError(Exception):
    """A simulated power cut; the program must not continue."""


class FaultPlan:
    """Which calls to the disk fail, and how; the attributes may be changed at any time."""

    def __init__(self, seed: int = 0):
        self.random = Random(seed)
        self.calls = 0  # number of calls that change the disk
        self.power_cut_at_call: int | None = None
        self.capacity: int | None = None  # of the disk in bytes; None: unlimited
        self.write_errno: int | None = None  # every write fails with this error; None: writes succeed
        self.sync_errno: int | None = None  # every sync fails with this error; None: syncs succeed

    def count_call(self) -> None:
        """Counts a call that changes the disk.

        Raises:
            PowerCutError: a power cut is planned at this call.
        """
        self.calls += 1
        if self.is_power_cut():
            raise PowerCutError

    def is_power_cut(self) -> bool:
        """Returns whether a power cut is planned at the last counted call or before it."""
        return self.power_cut_at_call is not None and self.calls >= self.power_cut_at_call


@dataclass(slots=True)
class MemoryFile:
    """The contents of a file, and the part of them that survives a power cut."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    # A failed sync discarded the bytes up to this offset that were not durable; later syncs don't write them.
    discarded_until: int = 0

    @classmethod
    def with_durable_data(cls, data: bytes | bytearray) -> MemoryFile:
        """Returns a file with this data, all of it durable."""
        return cls(bytearray(data), bytes(data))


class MemoryDirectory(StoreDirectory):
    """The files of one directory on a disk with planned faults."""

    def __init__(self, faults: FaultPlan):
        self.faults = faults
        self.path = Path("/memory")
        self.read_only = False
        self.files: dict[str, MemoryFile] = {}
        self.durable_names: dict[str, MemoryFile] = {}
        self._descriptors: dict[int, MemoryFile] = {}
        self._next_descriptor = _FIRST_DESCRIPTOR

    def after_power_cut(self) -> MemoryDirectory:
        """Returns the directory that the next start reads.

        It has all synced bytes, and a random part of the other changes, whatever their order.
        """
        random = self.faults.random
        recovered = MemoryDirectory(FaultPlan(random.getrandbits(_SEED_BITS)))
        names = dict(self.durable_names)
        for name, file in self.files.items():  # new names and removals reach the disk or not, independently
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
        """Returns the directory that the next start reads if only synced data survives."""
        recovered = MemoryDirectory(FaultPlan())
        for name, file in self.durable_names.items():
            recovered.files[name] = recovered.durable_names[name] = MemoryFile.with_durable_data(file.durable)
        return recovered

    def flip_bit(self, name: str, offset: int) -> None:
        """Flips a random bit of the byte at `offset`."""
        self._file(name).data[offset] ^= 1 << self.faults.random.randrange(_BITS_PER_BYTE)

    def lock(self) -> None:
        """Does nothing: no other process can use a directory in memory."""

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.files)

    def create(self, name: str) -> int:
        """Creates a file and returns its descriptor.

        Raises:
            FileExistsError: a file of this name exists.
            PowerCutError: a power cut is planned at this call.
        """
        self.faults.count_call()
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "the file already exists", name)
        self.files[name] = MemoryFile()
        self._next_descriptor += 1
        self._descriptors[self._next_descriptor] = self.files[name]
        return self._next_descriptor

    def write(self, descriptor: int, pieces: Sequence[bytes], offset: int) -> None:
        """Writes the pieces at an offset.

        A power cut or a lack of space leaves only the first part of them written.

        Raises:
            OSError: the planned error, or `ENOSPC` if the capacity is exceeded.
            PowerCutError: a power cut is planned at this call.
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
        """Makes the contents of a file durable.

        A failed sync discards the bytes that it could not write, as Linux does: a later successful sync makes
        only the bytes durable that were written after the failed one.

        Raises:
            OSError: the planned error.
            PowerCutError: a power cut is planned at this call.
        """
        self.faults.count_call()
        file = self._descriptors[descriptor]
        if self.faults.sync_errno is not None:
            file.discarded_until = len(file.data)
            raise OSError(self.faults.sync_errno, "planned sync error")
        discarded = bytes(max(0, file.discarded_until - len(file.durable)))
        file.durable = file.durable + discarded + bytes(file.data[len(file.durable) + len(discarded) :])

    def sync_file(self, name: str) -> None:
        """Makes the contents of a file durable."""
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
        """Truncates a file to `size` bytes."""
        self.faults.count_call()
        del self._file(name).data[size:]

    def remove(self, name: str) -> None:
        """Removes a file."""
        self.faults.count_call()
        self._file(name)
        del self.files[name]

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing any file with the new name."""
        self.faults.count_call()
        self.files[new_name] = self._file(name)
        del self.files[name]

    def replace(self, name: str, pieces: Iterable[bytes]) -> int:
        """Replaces the contents of a file, or creates it, atomically; returns its size in bytes."""
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
        """Returns consecutive pieces of these sizes from `offset`, cut short at the end of the file."""
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
        """Returns a file's contents after a power cut.

        A part of the tail that was not synced may remain, and each sector is either old or new.
        """
        random = self.faults.random
        data = bytearray(file.durable)
        if len(file.data) > len(data) and random.random() < _UNSYNCED_TAIL_SURVIVES:
            data += bytes(random.randrange(len(file.data) - len(data) + 1))
        for start in range(0, len(data), _SECTOR_SIZE):
            sector = slice(start, start + _SECTOR_SIZE)
            if data[sector] != file.data[sector] and random.random() < _UNSYNCED_SECTOR_SURVIVES:
                data[sector] = file.data[sector][: len(data) - start]
        return data
