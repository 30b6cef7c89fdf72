"""The directors of a run: their processes one after another, signals, and what the system tells of them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path as FilePath
from typing import TYPE_CHECKING

from .clients import is_ready
from .records import DirectorLife

if TYPE_CHECKING:
    from .run import Run

INJECTION = str(FilePath(__file__).parent.parent / "injection")
UP = 12.0  # seconds that a director may take to come up
KILL_AFTER = 0.7  # seconds beyond the longest deadline, 3 s at most, after SIGTERM
SET_PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)


def die_with_parent() -> None:
    """Runs in a new process: it is killed when the one that started it ends, however that comes about. A
    director that outlived its run would call at ports that are another's by then.
    """
    import ctypes

    ctypes.CDLL(None).prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Director:
    """A director's processes, one after another at the same address."""

    def __init__(self, run: Run, number: int):
        self.run, self.number = run, number
        self.port = run.fleet.ports.next()
        self.reached_at: dict[int, int] = {}  # by place of the client's path
        self.life = 0
        self.process: asyncio.subprocess.Process | None = None
        self.record: DirectorLife | None = None
        self.accepting = False
        self.told_port = 0  # where discovery was when its configuration was written
        self.watch: asyncio.Task | None = None

    @property
    def config(self) -> FilePath:
        """Its configuration."""
        return self.run.folder / f"n{self.number}.json"

    def current_life(self) -> int:
        """Which of its processes runs, from 1."""
        return self.life

    def write_config(self) -> None:
        """As the platform would at this moment."""
        self.told_port = self.run.discoveries[self.number].port
        self.config.write_text(json.dumps(self.run.configuration(self)))

    async def start(self) -> None:
        """Starts a process and waits until it is ready."""
        self.life += 1
        self.write_config()
        script = self.run.plan.scripts[self.number]
        env = {**os.environ, "PROXY_CONFIG": str(self.config), "PYTHONPATH": INJECTION}
        env["IRONHINGE_FAULTS"] = json.dumps(script)
        for name in ("PROXY_NAME", "PROXY_LISTEN"):
            env.pop(name, None)
        record = DirectorLife(self.number, self.life, time.monotonic())
        record.log = str(self.run.folder / f"n{self.number}.{self.life}.log")
        self.record = record
        self.run.records.lives.append(record)
        root = FilePath(__file__).parents[3]
        with open(record.log, "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ironhinge", "serve"),
                stderr=log,
                env=env,
                cwd=root,
                start_new_session=True,
                preexec_fn=die_with_parent,
            )
        self.watch = asyncio.ensure_future(self._wait(self.process, record))
        while time.monotonic() < record.started_at + UP and record.exited_at is None:
            if await is_ready(self.port, 2.0):
                record.ready_at = time.monotonic()
                self.accepting = True
                if self.told_port != self.run.discoveries[self.number].port:  # it moved meanwhile
                    self.write_config()
                    self.send(signal.SIGHUP)
                return
            await asyncio.sleep(0.03)

    async def _wait(self, process: asyncio.subprocess.Process, record: DirectorLife) -> None:
        record.exit_code = await process.wait()
        record.exited_at = time.monotonic()
        self.accepting = False
        self.run.discoveries[self.number].forget()

    def send(self, number: signal.Signals) -> None:
        """A signal, if the process lives."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self) -> None:
        """SIGTERM, SIGKILL as soon as the platform may, and the next process. New connections go on coming
        for 0.4 s.
        """
        assert self.record is not None and self.watch is not None
        record = self.record
        record.terminated_at = time.monotonic()
        self.send(signal.SIGTERM)
        longest = max(one.deadline for one in self.run.plan.classes)
        kill_at = record.terminated_at + min(longest, 3.0) + KILL_AFTER
        await asyncio.sleep(0.4)
        self.accepting = False
        while time.monotonic() < kill_at and record.exited_at is None:
            await asyncio.sleep(0.01)
        if record.exited_at is None:
            record.killed_at = time.monotonic()
            self.send(signal.SIGKILL)
        await self.watch
        await self.start()

    async def kill(self) -> None:
        """SIGKILL, and the next process."""
        assert self.record is not None and self.watch is not None
        self.record.killed_at = time.monotonic()
        self.send(signal.SIGKILL)
        self.accepting = False
        await self.watch
        await self.start()

    async def pause(self, span: float) -> None:
        """SIGSTOP, and SIGCONT later."""
        assert self.record is not None
        began = time.monotonic()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(span)
        self.send(signal.SIGCONT)
        self.record.stops.append((began, time.monotonic()))

    def measure(self) -> None:
        """Descriptors, memory and the connection to discovery, from the system."""
        process, record = self.process, self.record
        if process is None or record is None or process.returncode is not None:
            return
        try:
            record.most_descriptors = max(record.most_descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            for line in FilePath(f"/proc/{process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    record.most_memory_mb = max(record.most_memory_mb, int(line.split()[1]) / 1024)
        except OSError:
            pass  # it has just gone
