"""The calls to the file system, behind one class so that tests can make any of them fail.

This module does not know what the bytes mean.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from itertools import islice
from pathlib import Path

from .errors import StoreLockedError

NO_DESCRIPTOR = -1
PARTIAL_SUFFIX = ".part"  # of a file that `replace` has not yet put in place
STATUS_FILE = "status.json"  # what the tier writes for operators, beside the store
_LOCK_FILE = "LOCK"
_FILE_MODE = 0o644
_MAX_RETIRED_DESCRIPTORS = 4  # descriptors of removed files that stay open for reads under way
_PIECES_PER_BATCH = 16  # of a whole file, in one call
_MAX_PIECES_PER_CALL = 512  # IOV_MAX is 1024 on Linux; each record has up to three pieces


class StoreDirectory:
    """The files of one directory."""

    def __init__(self, path: Path, read_only: bool = False):
        self.path = path
        self.read_only = read_only
        self._lock_descriptor = NO_DESCRIPTOR
        self._read_descriptors: dict[str, int] = {}
        self._retired_descriptors: list[int] = []
        if not read_only:
            path.mkdir(parents=True, exist_ok=True)

    def lock(self) -> None:
        """Takes the directory's lock, which the system releases when the process ends.

        Raises:
            StoreLockedError: another process holds it.
        """
        descriptor = os.open(self.path / _LOCK_FILE, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise StoreLockedError(
                f"{self.path} is in use by another process: expected to lock its file {_LOCK_FILE}"
            ) from None
        self._lock_descriptor = descriptor

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(path.name for path in self.path.iterdir())

    def create(self, name: str) -> int:
        """Creates a file and returns a descriptor to write it; `close` closes it.

        Raises:
            FileExistsError: there is such a file.
        """
        return os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL, _FILE_MODE)

    def write(self, descriptor: int, pieces: Sequence[bytes], offset: int) -> None:
        """Writes all pieces, one behind the other, at an offset."""
        for start in range(0, len(pieces), _MAX_PIECES_PER_CALL):
            batch = pieces[start : start + _MAX_PIECES_PER_CALL]
            size = sum(map(len, batch))
            written = os.pwritev(descriptor, batch, offset)
            while written < size:
                rest = b"".join(batch)[written:]
                written += os.pwrite(descriptor, rest, offset + written)
            offset += size

    def sync(self, descriptor: int) -> None:
        """Makes what was written durable."""
        os.fdatasync(descriptor)

    def sync_file(self, name: str) -> None:
        """Makes a file durable, whoever wrote it."""
        self._sync_path(self.path / name)

    def sync_directory(self) -> None:
        """Makes the names of the files durable."""
        self._sync_path(self.path)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor that `create` returned."""
        os.close(descriptor)

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return (self.path / name).stat().st_size

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to that many bytes."""
        os.truncate(self.path / name, size)

    def remove(self, name: str) -> None:
        """Removes a file; reads of it that are under way still succeed."""
        descriptor = self._read_descriptors.pop(name, NO_DESCRIPTOR)
        (self.path / name).unlink()
        if descriptor != NO_DESCRIPTOR:
            self._retired_descriptors.append(descriptor)
        while len(self._retired_descriptors) > _MAX_RETIRED_DESCRIPTORS:
            os.close(self._retired_descriptors.pop(0))

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file over any that has the new name."""
        (self.path / name).replace(self.path / new_name)

    def replace(self, name: str, pieces: Iterable[bytes]) -> int:
        """Writes a whole file in one atomic step: a reader finds the old one or the new one.

        Returns:
            The size of the file in bytes.
        """
        partial_name = name + PARTIAL_SUFFIX
        size = 0
        remaining = iter(pieces)
        with _opened(self.path / partial_name, os.O_RDWR | os.O_CREAT | os.O_TRUNC) as descriptor:
            while batch := list(islice(remaining, _PIECES_PER_BATCH)):
                self.write(descriptor, batch, size)
                size += sum(map(len, batch))
            self.sync(descriptor)
        self.rename(partial_name, name)
        self.sync_directory()
        return size

    def read(self, name: str) -> bytes:
        """Returns the bytes of a file."""
        return (self.path / name).read_bytes()

    def read_at(self, name: str, offset: int, *sizes: int) -> list[bytes]:
        """Returns pieces of these sizes, one behind the other; shorter ones where the file ends."""
        descriptor = self._read_descriptor(name)
        pieces = []
        for size in sizes:
            pieces.append(os.pread(descriptor, size, offset))
            offset += size
        return pieces

    def release(self) -> None:
        """Closes every descriptor and releases the lock."""
        for descriptor in (*self._read_descriptors.values(), *self._retired_descriptors):
            os.close(descriptor)
        self._read_descriptors.clear()
        self._retired_descriptors.clear()
        if self._lock_descriptor != NO_DESCRIPTOR:
            os.close(self._lock_descriptor)
            self._lock_descriptor = NO_DESCRIPTOR

    def _read_descriptor(self, name: str) -> int:
        """Returns the descriptor that all reads of a file share."""
        descriptor = self._read_descriptors.get(name, NO_DESCRIPTOR)
        if descriptor != NO_DESCRIPTOR:
            return descriptor
        descriptor = os.open(self.path / name, os.O_RDONLY)
        shared = self._read_descriptors.setdefault(name, descriptor)
        if shared != descriptor:  # another thread opened it in between
            os.close(descriptor)
        return shared

    @staticmethod
    def _sync_path(path: Path) -> None:
        with _opened(path, os.O_RDONLY) as descriptor:
            os.fsync(descriptor)


@contextmanager
def _opened(path: Path, flags: int) -> Iterator[int]:
    """Opens a descriptor and closes it at the end of the block."""
    descriptor = os.open(path, flags, _FILE_MODE)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
