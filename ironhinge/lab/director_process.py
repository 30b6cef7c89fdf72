"""A director that the lab starts as a program of its own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from .errors import DirectorStartError
from .ports import PortAllocator

START_TIMEOUT = 15.0  # seconds
START_POLL_INTERVAL = 0.03  # seconds
STOP_TIMEOUT = 12.0  # seconds until a director that does not end is killed
LOG_EXCERPT_LENGTH = 600  # characters of the log in an error message
KILLED_EXIT_CODE = -1  # exit code reported for a director that had to be killed
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12  # of /proc/PID/stat, after the program's name


class DirectorProcess:
    """A director, restarted at the same address."""

    def __init__(
        self,
        folder: Path,
        name: str,
        config: dict[str, Any],
        operations: Path | None,
        ports: PortAllocator,
    ) -> None:
        """Create a director that is not started; `folder` gets its configuration and its log."""
        self.folder = folder
        self.name = name
        self.config = config
        self.operations = operations
        self.port = ports.allocate()
        self.cpu_seconds = 0.0
        self.memory_kb = 0
        self._process: asyncio.subprocess.Process | None = None
        self._start_count = 0

    async def start(self) -> None:
        """Start, and wait until it serves.

        Raises:
            DirectorStartError: It did not come up.
        """
        self._process = await self._spawn()
        if await self._wait_until_serving():
            return
        raise DirectorStartError(f"{self.name} does not come up: {self.log()[-LOG_EXCERPT_LENGTH:]}")

    async def _spawn(self) -> asyncio.subprocess.Process:
        config_path = self.folder / f"{self.name}.json"
        config_path.write_text(json.dumps({**self.config, "listen": f"127.0.0.1:{self.port}"}))
        command = [sys.executable, "-m", "ironhinge", "serve", "--config", str(config_path)]
        if self.operations is not None:
            command += ["--operations", str(self.operations)]
        env = {
            name: value for name, value in os.environ.items() if name not in ("PROXY_NAME", "PROXY_LISTEN")
        }
        with self._log_path.open("a") as log:
            return await asyncio.create_subprocess_exec(
                *command, stderr=log, stdin=asyncio.subprocess.DEVNULL, env=env, start_new_session=True
            )

    async def _wait_until_serving(self) -> bool:
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline and self._is_running():
            # the director's own log line: whoever answers on that port may belong to another run
            if self.log().count(f"listen=127.0.0.1:{self.port}") > self._start_count:
                self._start_count += 1
                return True
            await asyncio.sleep(START_POLL_INTERVAL)
        return False

    def _is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def _log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def log(self) -> str:
        """Return the log of all its processes so far."""
        return self._log_path.read_text()

    def measure(self) -> None:
        """Update `cpu_seconds` and the peak `memory_kb` of the current process from /proc."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        try:
            stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            ticks = int(stat[USER_TIME_FIELD]) + int(stat[SYSTEM_TIME_FIELD])
            self.cpu_seconds = ticks / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.memory_kb = int(line.split()[1])
        except (OSError, ValueError, IndexError):
            pass  # the process has just exited, or there is no such /proc

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """End the process and return its exit code, `KILLED_EXIT_CODE` if it had to be killed."""
        process = self._process
        if process is None:
            return 0
        if process.returncode is not None:
            return process.returncode
        self.measure()
        process.send_signal(signal_number)
        try:
            return await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
        except TimeoutError:
            process.kill()
            await process.wait()
            return KILLED_EXIT_CODE
