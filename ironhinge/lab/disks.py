"""Owns a disk that fails as it is told: what is not synced can be lost in part, the power goes at any call,
room runs out, bits flip. It holds files in memory and answers the calls of `disk.files.Files`.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random

from ..disk.files import Files


class PowerCut(Exception):
    """The machine is gone; nothing of the program goes on."""


class Faults:
    def __init__(self, seed: int = 0):
        self.chance = Random(seed)
        self.calls = 0
        self.cut_at: int | None = None  # the power goes at that call
        self.room: int | None = None  # bytes that the disk takes
        self.error: int | None = None  # every write fails with it
        self.sync_error: int | None = None  # every sync fails with it


class File:
    """What a file holds, what of it survives a power cut, and the writes since."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.safe = b""
        self.linked = False  # its name survives
        self.forgotten = 0  # bytes up to which a failed sync has taken what was not durable for written


class MemoryFiles(Files):
    def __init__(self, faults: Faults):
        self.faults, self.folder, self.read_only = faults, Path("/memory"), False
        self.files: dict[str, File] = {}
        self.safe_names: dict[str, File] = {}
        self.fds: dict[int, File] = {}
        self.next_fd = 3

    def _call(self) -> None:
        self.faults.calls += 1
        if self.faults.cut_at is not None and self.faults.calls >= self.faults.cut_at:
            raise PowerCut

    def after_power_cut(self) -> MemoryFiles:
        """What the next start finds: synced bytes, and any part of the others, in sectors, in no order."""
        chance, found = self.faults.chance, MemoryFiles(Faults(self.faults.chance.getrandbits(30)))
        names = dict(self.safe_names)
        for name, file in self.files.items():  # a new name may have reached the disk, or a removal not
            if chance.random() < 0.5:
                names[name] = file
        for name in [name for name in names if name not in self.files]:
            if chance.random() < 0.5:
                del names[name]
        for name, file in names.items():
            kept = File()
            data = bytearray(file.safe)
            if len(file.data) > len(data) and chance.random() < 0.8:
                data += bytes(chance.randrange(len(file.data) - len(data) + 1))
            for at in range(0, len(data), 512):
                if data[at : at + 512] != file.data[at : at + 512] and chance.random() < 0.5:
                    data[at : at + 512] = file.data[at : at + 512][: len(data) - at]
            kept.data, kept.safe, kept.linked = data, bytes(data), True
            found.files[name] = found.safe_names[name] = kept
        return found

    # The calls

    def lock(self) -> None:
        return None

    def names(self) -> list[str]:
        return sorted(self.files)

    def open_append(self, name: str) -> int:
        self._call()
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "it is there", name)
        self.files[name] = File()
        return self._open(self.files[name])

    def _open(self, file: File) -> int:
        self.next_fd += 1
        self.fds[self.next_fd] = file
        return self.next_fd

    def write(self, fd: int, pieces: Sequence[bytes], offset: int) -> None:
        data, file, faults = b"".join(pieces), self.fds[fd], self.faults
        faults.calls += 1
        used = sum(len(each.data) for each in self.files.values())
        short = faults.cut_at is not None and faults.calls >= faults.cut_at
        whole = len(data)
        if faults.error is not None:
            raise OSError(faults.error, "as told")
        if short:
            data = data[: faults.chance.randrange(whole + 1)]
        elif faults.room is not None and used + whole > faults.room:
            data = data[: max(0, faults.room - used)]
        file.data[offset : offset + len(data)] = data
        if short:
            raise PowerCut
        if len(data) < whole:
            raise OSError(errno.ENOSPC, "no space left")

    def sync(self, fd: int) -> None:
        """A failed one forgets what it could not write, as Linux does: a later one that goes well brings only
        what was written after it.
        """
        self._call()
        file = self.fds[fd]
        if self.faults.sync_error is not None:
            file.forgotten = len(file.data)
            raise OSError(self.faults.sync_error, "as told")
        lost = bytes(max(0, file.forgotten - len(file.safe)))
        file.safe = file.safe + lost + bytes(file.data[len(file.safe) + len(lost) :])

    def what_is_durable(self) -> MemoryFiles:
        """What the next start finds when nothing else survives."""
        found = MemoryFiles(Faults())
        for name, file in self.safe_names.items():
            kept = File()
            kept.data, kept.safe, kept.linked = bytearray(file.safe), bytes(file.safe), True
            found.files[name] = found.safe_names[name] = kept
        return found

    def sync_file(self, name: str) -> None:
        self._call()
        self._file(name).safe = bytes(self._file(name).data)

    def close(self, fd: int) -> None:
        self.fds.pop(fd, None)

    def size(self, name: str) -> int:
        return len(self._file(name).data)

    def _file(self, name: str) -> File:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def truncate(self, name: str, size: int) -> None:
        self._call()
        del self._file(name).data[size:]

    def remove(self, name: str) -> None:
        self._call()
        self._file(name)
        del self.files[name]

    def rename(self, name: str, to: str) -> None:
        self._call()
        self.files[to] = self._file(name)
        del self.files[name]

    def sync_folder(self) -> None:
        self._call()
        self.safe_names = dict(self.files)

    def put(self, name: str, pieces: Iterable[bytes]) -> int:
        part = name + ".part"
        self.files.pop(part, None)
        fd = self.open_append(part)
        whole = b"".join(pieces)
        self.write(fd, [whole], 0)
        self.sync(fd)
        self.close(fd)
        self.rename(part, name)
        self.sync_folder()
        return len(whole)

    def read(self, name: str) -> bytes:
        return bytes(self._file(name).data)

    def read_at(self, name: str, offset: int, *sizes: int) -> list[bytes]:
        out, data = [], self._file(name).data
        for size in sizes:
            out.append(bytes(data[offset : offset + size]))
            offset += size
        return out

    def flip(self, name: str, at: int) -> None:
        """A bit of what is stored turns over."""
        self._file(name).data[at] ^= 1 << self.faults.chance.randrange(8)

    def end(self) -> None:
        self.fds.clear()
