"""Loads settings in a process of its own, so that a director holds the records and not the language.

The parser costs more memory than all that it reads, so that process ends when it has read.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence

import msgspec

from .errors import IsolatedReadError
from .records import Operations, to_operations

TIMEOUT_SECONDS = 20


def load_isolated(files: Sequence[str], config: str) -> Operations:
    """Loads the settings of files for the deployment of a director's configuration.

    Args:
        files: The files' names.
        config: The name of the configuration's file.

    Raises:
        IsolatedReadError: The settings are not allowed, or the process failed.
    """
    command = [sys.executable, "-m", "ironhinge", "settings", "show", "--json", "--config", config, *files]
    try:
        process = subprocess.run(
            command, capture_output=True, timeout=TIMEOUT_SECONDS, stdin=subprocess.DEVNULL, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise IsolatedReadError(f"the settings can't be read: {error}") from None
    if process.returncode:
        message = process.stderr.decode(errors="replace").strip()
        raise IsolatedReadError(message or f"it ended with {process.returncode}")
    return to_operations(msgspec.json.decode(process.stdout))
