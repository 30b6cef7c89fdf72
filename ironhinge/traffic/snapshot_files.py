"""Snapshots on disk: one file for each director, replaced in one step."""

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
    """The name of a director's file."""
    return _UNSAFE_CHARACTERS.sub("_", director or DEFAULT_NAME) + SUFFIX


def read_folder(folder: Path) -> tuple[list[Snapshot], list[str]]:
    """The snapshots of a folder, and for each file that can't be read what is wrong with it."""
    snapshots, unreadable = [], []
    for path in sorted(folder.glob("*" + SUFFIX)):
        try:
            snapshots.append(unpack(path.read_bytes()))
        except (OSError, SnapshotError) as error:
            unreadable.append(f"{path}: {error}")
    return snapshots, unreadable


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file in one step: a reader, or a crash, finds the old bytes or the new ones.

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
    """The file of one director; it may be written from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._written_sequence = 0  # the newest sequence number in it

    def write(self, path: Path, sequence: int, data: bytes) -> None:
        """Writes a snapshot unless a newer one is there: a slow disk may finish an older one last.

        Raises:
            OSError: The file could not be written.
        """
        with self._lock:
            if sequence > self._written_sequence:
                write_atomically(path, data)
                self._written_sequence = sequence
