"""Loads settings in a separate process, so that the parser takes no memory in the director.

The parser uses more memory than the records that it returns; the process exits once it has read the settings.
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
        files: The names of the settings files.
        config: The name of the director's configuration file.

    Raises:
        IsolatedReadError: The settings are invalid, or the process failed.
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
        raise IsolatedReadError(
            message or f"the process that reads the settings exited with status {process.returncode}"
        )
    return to_operations(msgspec.json.decode(process.stdout))
