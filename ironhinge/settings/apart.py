"""Owns reading settings in a process of its own, so that a director holds the records and not the language.

It must never change a file or keep the process: the parser costs more memory than all that it reads.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence

import msgspec

from .records import Operations, from_plain

PATIENCE = 20  # seconds


class Refused(Exception):
    """What is wrong with the files, as the other process told it."""


def read(files: Sequence[str], config: str) -> Operations:
    """The settings of these files for the deployment of that configuration."""
    args = [sys.executable, "-m", "ironhinge", "settings", "show", "--json", "--config", config, *files]
    try:
        done = subprocess.run(args, capture_output=True, timeout=PATIENCE, stdin=subprocess.DEVNULL)
    except (OSError, subprocess.TimeoutExpired) as fault:
        raise Refused(f"the settings can't be read: {fault}") from None
    if done.returncode:
        raise Refused(done.stderr.decode(errors="replace").strip() or f"it ended with {done.returncode}")
    return from_plain(msgspec.json.decode(done.stdout))
