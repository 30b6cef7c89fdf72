"""Director processes of a soak run: starts and restarts, signals, and resource usage from /proc.

Nothing here may read a director's decisions: a run is audited by the records of clients and stand-ins alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from .discovery import Discovery
from .plan import Plan
from .readiness import is_ready
from .records import DirectorIncarnation, Records
from .servers import Fleet

INJECTION_FOLDER = str(Path(__file__).parent.parent / "injection")
REPOSITORY_ROOT = Path(__file__).parents[3]
START_TIMEOUT = 12.0  # seconds until a new process has to be ready
READINESS_TIMEOUT = 2.0  # seconds per step of a readiness query
READINESS_INTERVAL = 0.03  # seconds between two queries
KILL_DELAY = 0.7  # seconds from SIGTERM to SIGKILL on top of the longest deadline
MAX_DRAIN_TIME = 3.0  # seconds: cap on the longest deadline that delays SIGKILL
ACCEPTING_AFTER_TERM = 0.4  # seconds after SIGTERM during which clients still open connections
EXIT_POLL_INTERVAL = 0.01  # seconds
KB_PER_MB = 1024
MIN_CPU_WAIT = 0.02  # seconds; shorter waits for a processor are not recorded
PR_SET_PDEATHSIG = 1  # option of prctl(2)


def time_to_kill(plan: Plan) -> float:
    """Return the seconds from SIGTERM to the earliest SIGKILL that the operators' documentation allows."""
    longest = max(request_class.deadline for request_class in plan.classes)
    return min(longest, MAX_DRAIN_TIME) + KILL_DELAY


def die_with_parent() -> None:
    """Have the kernel kill the calling process when its parent exits; called between fork and exec.

    A director that outlived its run would connect to ports that another run may have been given since.
    """
    import ctypes

    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class _PendingPause(NamedTuple):
    """A pause that starts `delay` after the next write of a client; times in seconds."""

    duration: float
    delay: float


class SoakEnvironment(Protocol):
    """What a director needs from its run."""

    plan: Plan
    records: Records
    folder: Path
    fleet: Fleet
    discoveries: list[Discovery]

    def configuration(self, director: Director) -> dict[str, Any]:
        """Return the director's current configuration document."""
        ...


class Director:
    """One director: successive processes that listen on the same address."""

    def __init__(self, environment: SoakEnvironment, number: int) -> None:
        self.environment = environment
        self.number = number
        self.port = environment.fleet.ports.allocate()
        self.client_ports: dict[int, int] = {}  # by index in `Plan.client_paths`
        self.incarnation = 0  # number of the current process, from 1; 0: none yet
        self.process: asyncio.subprocess.Process | None = None
        self.record: DirectorIncarnation | None = None
        self.accepting = False  # whether clients may open connections
        self.configured_discovery_port = 0  # in the last written configuration
        self.exit_task: asyncio.Task[None] | None = None
        self._pending_pause: _PendingPause | None = None
        self._pauses: set[asyncio.Task[None]] = set()

    @property
    def config(self) -> Path:
        """Path of the configuration file."""
        return self.environment.folder / f"n{self.number}.json"

    @property
    def discovery(self) -> Discovery:
        """The fake discovery service of this director."""
        return self.environment.discoveries[self.number]

    def current_incarnation(self) -> int:
        """Return the number of the current process, counted from 1."""
        return self.incarnation

    def write_config(self) -> None:
        """Write the configuration file with the current endpoint list, purges and discovery address."""
        self.configured_discovery_port = self.discovery.director_port
        self.config.write_text(json.dumps(self.environment.configuration(self)))

    async def start(self) -> None:
        """Start a process and wait until it is ready, has exited, or `START_TIMEOUT` has passed."""
        self.incarnation += 1
        self.write_config()
        backlog = self.environment.plan.backlog
        if backlog is not None and self.incarnation > 1:
            self.discovery.publish_unused_purges(backlog.purges_before)
            await asyncio.sleep(backlog.config_age)
        record = DirectorIncarnation(self.number, self.incarnation, time.monotonic())
        self.discovery.process_started_at = record.started_at
        record.log_path = str(self.environment.folder / f"n{self.number}.{self.incarnation}.log")
        self.record = record
        self.environment.records.incarnations.append(record)
        self.process = await self._spawn(record.log_path)
        self.exit_task = asyncio.ensure_future(self._record_exit(self.process, record))
        while time.monotonic() < record.started_at + START_TIMEOUT and record.exited_at is None:
            if await is_ready(self.port, READINESS_TIMEOUT):
                self._record_ready(record)
                return
            await asyncio.sleep(READINESS_INTERVAL)

    async def _spawn(self, log_path: str) -> asyncio.subprocess.Process:
        script = self.environment.plan.injection_scripts[self.number]
        env = {**os.environ, "PROXY_CONFIG": str(self.config), "PYTHONPATH": INJECTION_FOLDER}
        env["IRONHINGE_FAULTS"] = json.dumps(script)
        for name in ("PROXY_NAME", "PROXY_LISTEN"):
            env.pop(name, None)
        with open(log_path, "w") as log:  # noqa: ASYNC230, PTH123 - one short open of a local file
            return await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ironhinge", "serve"),
                stderr=log,
                env=env,
                cwd=REPOSITORY_ROOT,
                start_new_session=True,
                preexec_fn=die_with_parent,
            )

    def _record_ready(self, record: DirectorIncarnation) -> None:
        record.ready_at = time.monotonic()
        self.accepting = True
        if self.configured_discovery_port != self.discovery.director_port:  # discovery moved during the start
            self.write_config()
            self.send(signal.SIGHUP)

    async def _record_exit(self, process: asyncio.subprocess.Process, record: DirectorIncarnation) -> None:
        record.exit_code = await process.wait()
        record.exited_at = time.monotonic()
        self.accepting = False
        self.discovery.reset_connections()

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self) -> None:
        """Send SIGTERM, then SIGKILL at the earliest time that is allowed, and start the next process.

        Clients go on opening connections for `ACCEPTING_AFTER_TERM` seconds after SIGTERM.
        """
        assert self.record is not None
        assert self.exit_task is not None
        record = self.record
        record.terminated_at = time.monotonic()
        self.send(signal.SIGTERM)
        kill_at = record.terminated_at + time_to_kill(self.environment.plan)
        await asyncio.sleep(ACCEPTING_AFTER_TERM)
        self.accepting = False
        while time.monotonic() < kill_at and record.exited_at is None:  # noqa: ASYNC110 - has a time limit
            await asyncio.sleep(EXIT_POLL_INTERVAL)
        if record.exited_at is None:
            record.killed_at = time.monotonic()
            self.send(signal.SIGKILL)
        await self.exit_task
        await self.start()

    async def kill(self) -> None:
        """Send SIGKILL without SIGTERM and start the next process."""
        assert self.record is not None
        assert self.exit_task is not None
        self.record.killed_at = time.monotonic()
        self.send(signal.SIGKILL)
        self.accepting = False
        await self.exit_task
        await self.start()

    async def pause(self, duration: float) -> None:
        """Stop the process with SIGSTOP and continue it after `duration` seconds."""
        assert self.record is not None
        began = time.monotonic()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(duration)
        self.send(signal.SIGCONT)
        self.record.pauses.append((began, time.monotonic()))

    def pause_after_write(self, duration: float, delay: float) -> None:
        """Stop the process for `duration` seconds, `delay` seconds after the next write of a client.

        Does nothing while no new connections are accepted, as shortly before a kill: a stopped process cannot
        answer its open requests before it is killed.
        """
        if self.accepting:
            self._pending_pause = _PendingPause(duration, delay)

    def on_request_written(self) -> None:
        """Start the pending pause, if any; called after each request written alone and in one piece."""
        pending, self._pending_pause = self._pending_pause, None
        if pending is None:
            return
        pause_at = time.monotonic() + pending.delay
        while time.monotonic() < pause_at:
            pass  # asyncio.sleep is too coarse for delays below a millisecond
        self._pauses.add(task := asyncio.ensure_future(self.pause(pending.duration)))
        task.add_done_callback(self._pauses.discard)

    def measure(self) -> None:
        """Update the peak descriptor count, the peak memory and the waits for a processor from /proc."""
        process, record = self.process, self.record
        if process is None or record is None or process.returncode is not None:
            return
        try:
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))  # noqa: PTH208 - names suffice
            record.peak_descriptors = max(record.peak_descriptors, descriptors)
            for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    record.peak_memory_mb = max(record.peak_memory_mb, int(line.split()[1]) / KB_PER_MB)
            # nanoseconds on a processor, nanoseconds ready to run without one, and time slices
            cpu_wait = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) / 1e9
        except OSError:
            return  # the process has just exited
        if cpu_wait > record.cpu_wait + MIN_CPU_WAIT:
            record.cpu_waits.append((time.monotonic(), cpu_wait - record.cpu_wait))
        record.cpu_wait = cpu_wait
