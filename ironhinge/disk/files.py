"""Owns the calls to the file system, behind one small class so that tests can fail any of them.

It must never know what the bytes mean.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Sequence
from itertools import islice
from pathlib import Path

RETIRED = 4
MOST_TOGETHER = 16  # pieces of a whole file in one call
MOST_PIECES = 512  # that the system takes in one call


class Locked(Exception):
    """Another process has the folder."""


class Files:
    """One folder's files."""

    def __init__(self, folder: Path, read_only: bool = False):
        self.folder, self.read_only = folder, read_only
        self.lock_fd = -1
        self.reading: dict[str, int] = {}
        self.retired: list[int] = []  # of files that are gone; a read may still be under way on the last ones
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> None:
        """Guards the folder against a second process; the system lets go of it with this one's end."""
        fd = os.open(self.folder / "LOCK", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise Locked(f"{self.folder} is in use by another process") from None
        self.lock_fd = fd

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def open_append(self, name: str) -> int:
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o644)

    def write(self, fd: int, pieces: Sequence[bytes], offset: int) -> None:
        """All of it, at that place."""
        for start in range(0, len(pieces), MOST_PIECES):
            some = pieces[start : start + MOST_PIECES]
            whole = sum(map(len, some))
            done = os.pwritev(fd, some, offset)
            while done < whole:  # the system took a part of it
                rest = b"".join(some)[done:]
                done += os.pwrite(fd, rest, offset + done)
            offset += whole

    def sync(self, fd: int) -> None:
        os.fdatasync(fd)

    def sync_file(self, name: str) -> None:
        fd = os.open(self.folder / name, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def size(self, name: str) -> int:
        return os.stat(self.folder / name).st_size

    def truncate(self, name: str, size: int) -> None:
        os.truncate(self.folder / name, size)

    def remove(self, name: str) -> None:
        fd = self.reading.pop(name, -1)
        os.unlink(self.folder / name)
        if fd >= 0:
            self.retired.append(fd)
        while len(self.retired) > RETIRED:
            os.close(self.retired.pop(0))

    def rename(self, name: str, to: str) -> None:
        os.replace(self.folder / name, self.folder / to)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def put(self, name: str, pieces: Iterable[bytes]) -> int:
        """A whole file in one step: readers find the old one or the new one. How many bytes it has."""
        part = name + ".part"
        fd = os.open(self.folder / part, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            done, rest = 0, iter(pieces)
            while some := list(islice(rest, MOST_TOGETHER)):
                self.write(fd, some, done)
                done += sum(map(len, some))
            self.sync(fd)
        finally:
            self.close(fd)
        self.rename(part, name)
        self.sync_folder()
        return done

    def read(self, name: str) -> bytes:
        with open(self.folder / name, "rb") as file:
            return file.read()

    def read_at(self, name: str, offset: int, *sizes: int) -> list[bytes]:
        """Pieces of these sizes, one behind the other; shorter where the file ends."""
        fd = self.reading.get(name, -1)
        if fd < 0:
            fd = os.open(self.folder / name, os.O_RDONLY)
            other = self.reading.setdefault(name, fd)
            if other != fd:  # another thread was quicker
                os.close(fd)
                fd = other
        out = []
        for size in sizes:
            out.append(os.pread(fd, size, offset))
            offset += size
        return out

    def end(self) -> None:
        for fd in (*self.reading.values(), *self.retired):
            os.close(fd)
        self.reading.clear()
        self.retired.clear()
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1
