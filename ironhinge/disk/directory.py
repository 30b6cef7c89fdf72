"""File system calls of the store, in one class so that tests can replace it and make any call fail.

This module does not interpret the bytes.
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
PARTIAL_SUFFIX = ".part"  # of a file that `replace` is still writing
STATUS_FILE = "status.json"  # statistics that the tier writes for operators
_LOCK_FILE = "LOCK"
_FILE_MODE = 0o644
_MAX_RETIRED_DESCRIPTORS = 4  # descriptors of removed files kept open for reads in progress
_PIECES_PER_BATCH = 16  # pieces that `replace` writes in one call
_MAX_PIECES_PER_CALL = 512  # below IOV_MAX, 1024 on Linux; a record has up to three pieces


class StoreDirectory:
    """The files of a store's directory."""

    def __init__(self, path: Path, read_only: bool = False):
        self.path = path
        self.read_only = read_only
        self._lock_descriptor = NO_DESCRIPTOR
        self._read_descriptors: dict[str, int] = {}
        self._retired_descriptors: list[int] = []
        if not read_only:
            path.mkdir(parents=True, exist_ok=True)

    def lock(self) -> None:
        """Takes the directory's lock, which the operating system releases when the process exits.

        Raises:
            StoreLockedError: another process holds the lock.
        """
        descriptor = os.open(self.path / _LOCK_FILE, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise StoreLockedError(
                f"{self.path} is in use by another process: could not lock its file {_LOCK_FILE}"
            ) from None
        self._lock_descriptor = descriptor

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(path.name for path in self.path.iterdir())

    def create(self, name: str) -> int:
        """Creates a file and returns a descriptor for writing, to be closed with `close`.

        Raises:
            FileExistsError: the file exists already.
        """
        return os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_EXCL, _FILE_MODE)

    def write(self, descriptor: int, pieces: Sequence[bytes], offset: int) -> None:
        """Writes all pieces consecutively, starting at an offset."""
        for start in range(0, len(pieces), _MAX_PIECES_PER_CALL):
            batch = pieces[start : start + _MAX_PIECES_PER_CALL]
            size = sum(map(len, batch))
            written = os.pwritev(descriptor, batch, offset)
            while written < size:
                rest = b"".join(batch)[written:]
                written += os.pwrite(descriptor, rest, offset + written)
            offset += size

    def sync(self, descriptor: int) -> None:
        """Makes the data written to an open file durable."""
        os.fdatasync(descriptor)

    def sync_file(self, name: str) -> None:
        """Makes a file durable, including data that another process wrote."""
        self._sync_path(self.path / name)

    def sync_directory(self) -> None:
        """Makes the creation, renaming and removal of files durable."""
        self._sync_path(self.path)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor that `create` returned."""
        os.close(descriptor)

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return (self.path / name).stat().st_size

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to a size in bytes."""
        os.truncate(self.path / name, size)

    def remove(self, name: str) -> None:
        """Removes a file.

        Reads in progress still succeed, as the descriptors of the files removed last are kept open.
        """
        descriptor = self._read_descriptors.pop(name, NO_DESCRIPTOR)
        (self.path / name).unlink()
        if descriptor != NO_DESCRIPTOR:
            self._retired_descriptors.append(descriptor)
        while len(self._retired_descriptors) > _MAX_RETIRED_DESCRIPTORS:
            os.close(self._retired_descriptors.pop(0))

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing any file that has the new name."""
        (self.path / name).replace(self.path / new_name)

    def replace(self, name: str, pieces: Iterable[bytes]) -> int:
        """Replaces a file atomically: readers, also after a crash, find either the old file or the new one.

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
        """Returns consecutive pieces of the given sizes; pieces beyond the end of the file are shorter."""
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
        """Returns the descriptor that all reads of a file share, opening it if needed."""
        descriptor = self._read_descriptors.get(name, NO_DESCRIPTOR)
        if descriptor != NO_DESCRIPTOR:
            return descriptor
        descriptor = os.open(self.path / name, os.O_RDONLY)
        shared = self._read_descriptors.setdefault(name, descriptor)
        if shared != descriptor:  # another thread opened the file at the same time
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
