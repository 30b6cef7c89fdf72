"""A director that the lab runs as a separate process."""

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
STOP_TIMEOUT = 12.0  # seconds after which a director that has not exited is killed
LOG_EXCERPT_LENGTH = 600  # characters of the log in an error message
KILLED_EXIT_CODE = -1  # returned by `stop` instead of an exit code if the director had to be killed
# Indices of fields in /proc/PID/stat, counted from 0 after the program name.
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12


class DirectorProcess:
    """A director process that can be stopped and started again at the same address."""

    def __init__(
        self,
        folder: Path,
        name: str,
        config: dict[str, Any],
        operations: Path | None,
        ports: PortAllocator,
    ) -> None:
        """Create a director that is not started yet; its configuration and log are written to `folder`."""
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
        """Start the process and wait until it accepts connections.

        Raises:
            DirectorStartError: It exited or accepted no connections within `START_TIMEOUT`.
        """
        self._process = await self._spawn()
        if await self._wait_until_serving():
            return
        raise DirectorStartError(
            f"{self.name} did not become ready, end of its log: {self.log()[-LOG_EXCERPT_LENGTH:]}"
        )

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
            # The log is checked, not the port: the process that listens there may belong to another run.
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
        """Return the log of all starts so far."""
        return self._log_path.read_text()

    def measure(self) -> None:
        """Update `cpu_seconds` and `memory_kb` (the peak) with the values of the current process in /proc."""
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
            pass  # the process has just exited, or the system has no such /proc

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal and wait for the exit; return the exit code, or `KILLED_EXIT_CODE` after a kill.

        The director is killed after `STOP_TIMEOUT`. Returns 0 if it was never started.
        """
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
