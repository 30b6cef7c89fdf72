"""The resident memory of this process, as the system counts it."""

from __future__ import annotations

import os
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of that file, in pages
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int | None:
    """Returns the resident bytes; None if that is unknown, as when the file can't be opened."""
    try:
        return int(STATM.read_text(encoding="ascii").split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None
