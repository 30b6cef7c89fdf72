"""Snapshots on disk: one file per director, replaced atomically."""

from __future__ import annotations

import os
import re
import threading
from pathlib import Path

from .errors import SnapshotError
from .snapshot import Snapshot, unpack

SUFFIX = ".traffic"
PARTIAL_SUFFIX = ".part"
DEFAULT_NAME = "director"
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


def file_name(director: str) -> str:
    """Returns the name of a director's snapshot file."""
    return _UNSAFE_CHARACTERS.sub("_", director or DEFAULT_NAME) + SUFFIX


def read_folder(folder: Path) -> tuple[list[Snapshot], list[str]]:
    """Returns the snapshots in a folder, and an error message for each file that can't be read."""
    snapshots, unreadable = [], []
    for path in sorted(folder.glob("*" + SUFFIX)):
        try:
            snapshots.append(unpack(path.read_bytes()))
        except (OSError, SnapshotError) as error:
            unreadable.append(f"{path}: {error}")
    return snapshots, unreadable


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file atomically: after a crash, or for a reader, it has either the old or the new bytes.

    Raises:
        OSError: The file could not be written; the old bytes stay.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    partial = path.with_suffix(PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    partial.replace(path)


class SnapshotFile:
    """The snapshot file of one director; safe to write from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._written_sequence = 0  # highest sequence number written

    def write(self, path: Path, sequence: int, data: bytes) -> None:
        """Writes a snapshot unless a newer one has been written: on a slow disk an older write may come last.

        Raises:
            OSError: The file could not be written.
        """
        with self._lock:
            if sequence > self._written_sequence:
                write_atomically(path, data)
                self._written_sequence = sequence
