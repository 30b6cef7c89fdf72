"""One run of a scenario: start stand-ins and directors, apply load and faults, stop everything, report.

No process or temporary folder of a run remains, however it ends.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .control_plane import ControlPlane, EndpointState
from .director_process import DirectorProcess
from .director_settings import KINDS, ZONES, platform_settings
from .load_generator import LoadGenerator
from .ports import PortAllocator, free_datagram_ports
from .report import ORIGIN, OTHER_HUB, OWN_HUB, RunMeasurements, build_report, traffic_totals
from .scenarios import Fault, FaultAction, Scenario, ScenarioRequest, generate_requests
from .stand_ins import NodeKind, StandIn, StandInNetwork, StandInSpec

HUB_CACHE_FACTOR = 8  # capacity of a hub's cache as a multiple of a branch cache's
NODE_WEIGHT = 20
DISCOVERY_DELAY = 0.3  # seconds after the kill of a node until the control plane publishes its removal
PROGRESS_INTERVAL = 200  # requests started between two progress messages
SCENARIO_WITHOUT_ACCOUNTS = "off"  # the scenario whose directors keep no traffic accounts

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of a run."""

    seed: int
    seconds: float
    directors: int
    account: bool = True  # directors keep traffic accounts
    share: bool = False  # directors may grant unused budget to each other
    wipe: bool = False  # the disk tier of a restarted director is emptied


class Run:
    """The processes, sockets and files of one run."""

    def __init__(self, scenario: Scenario, options: RunOptions, progress: Progress) -> None:
        """Create a run that is not started yet, and its temporary folder."""
        self.scenario, self.options, self.progress = scenario, options, progress
        self.account = options.account and scenario.name != SCENARIO_WITHOUT_ACCOUNTS
        self.folder = Path(tempfile.mkdtemp(prefix="ironhinge-lab-"))
        self.account_folder = self.folder / "kept"
        self.network = StandInNetwork(scenario.link_rate)
        self.control_plane = ControlPlane(ZONES, KINDS)
        self.directors: list[DirectorProcess] = []
        self.ports = PortAllocator()
        self.load: LoadGenerator
        self._tasks: list[asyncio.Task[None]] = []
        self._totals_at_restart: dict[str, int] | None = None

    async def execute(self) -> dict[str, Any]:
        """Execute the run and return its report.

        Raises:
            DirectorStartError: A director did not become ready.
            OSError: A socket or file could not be used.
        """
        try:
            await self._start()
            return await self._run_load()
        finally:
            await self._stop()

    # Start and stop

    async def _start(self) -> None:
        await self._start_stand_ins()
        await self.control_plane.start()
        count = self.options.directors
        gossip_ports = free_datagram_ports(count) if self.options.share else []
        for index in range(count):
            name = f"n{index}"
            config = self._director_config(index, gossip_ports)
            operations = self._write_operations(name)
            self.directors.append(DirectorProcess(self.folder, name, config, operations, self.ports))
        self.progress(f"{len(self.network.nodes)} stand-ins listening, starting {count} directors")
        await asyncio.gather(*(director.start() for director in self.directors))

    async def _start_stand_ins(self) -> None:
        scenario = self.scenario
        hub_bytes, rate = HUB_CACHE_FACTOR * scenario.cache_bytes, scenario.transfer_rate
        specs = [
            StandInSpec(OWN_HUB, NodeKind.PARENT, "hub-a", hub_bytes, rate),
            StandInSpec(OTHER_HUB, NodeKind.PARENT, "hub-b", hub_bytes, rate),
            StandInSpec(ORIGIN, NodeKind.ORIGIN, "hub-a", 0, rate),
        ]
        for number in range(1, scenario.cache_count + 1):
            cache = StandInSpec(f"s-{number:08x}", NodeKind.CACHE, "branch", scenario.cache_bytes, rate)
            specs.append(cache)
        for spec in specs:
            await self.network.add(spec).start()

    def _director_config(self, index: int, gossip_ports: list[int]) -> dict[str, Any]:
        options = self.options
        config: dict[str, Any] = {
            "name": f"n{index}",
            "seed": f"{options.seed * 1000 + index + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": self._endpoint_list()}]},
            "coordinator": f"127.0.0.1:{self.control_plane.port}",
            "settings": platform_settings(self.scenario, options.directors, options.share),
        }
        if gossip_ports:
            config["peers"] = [f"127.0.0.1:{port}" for port in gossip_ports]
            config["peer_listen"] = config["peers"][index]
        return config

    def _endpoint_list(self) -> dict[str, Any]:
        return {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": node.name,
                    "address": f"127.0.0.1:{node.port}",
                    "zone": node.zone,
                    "type": node.kind,
                    "group": 0,
                    "status": "SERVING",
                    "weight": NODE_WEIGHT,
                    "since_ms": 0,
                }
                for node in self.network.nodes.values()
            ],
        }

    def _write_operations(self, name: str) -> Path | None:
        """Write a director's operations file and return its path, or None in a run without accounts."""
        if not self.account:
            return None
        path = self.folder / f"{name}.cue"
        share_section = '    share: {every: "50ms"}\n' if self.options.share else ""
        keep_section = f'    keep: {{folder: "{self.account_folder}", every: "5s"}}\n'
        budgets_section = f"    budgets: {{\n{self.scenario.budget_settings}    }}\n"
        traffic_section = f'traffic: {{\n    period: "1h"\n{keep_section}{share_section}{budgets_section}}}\n'
        path.write_text(traffic_section + self._disk_settings(name))
        return path

    def _disk_folder(self, name: str) -> Path:
        return self.folder / "tier" / name

    def _disk_settings(self, name: str) -> str:
        size = self.scenario.disk_size
        if not size:
            return ""
        return f'disk: {{folder: "{self._disk_folder(name)}", room: "{size}", segment: "512KiB"}}\n'

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        stops = (director.stop(signal.SIGKILL) for director in self.directors)
        await asyncio.gather(*stops, return_exceptions=True)
        for node in self.network.nodes.values():
            await node.close()
        self.control_plane.close()
        self.ports.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Load and faults

    async def _run_load(self) -> dict[str, Any]:
        """Send all requests and apply the faults, stop the directors, and return the report."""
        started_at = time.monotonic()
        self.load = LoadGenerator([director.port for director in self.directors], self.options.seed)
        requests = generate_requests(self.scenario, self.options.seed, self.options.seconds)
        for request in requests:
            self.network.body_sizes[f"{request.object_id:016x}"] = request.body_bytes
        faults = [asyncio.ensure_future(self._apply_fault(fault)) for fault in self.scenario.faults]
        self._tasks += faults
        cpu_before = self._total_cpu()
        send_tasks = await self._send_requests(requests, started_at)
        await asyncio.gather(*send_tasks, return_exceptions=True)
        await asyncio.gather(*faults, return_exceptions=True)
        elapsed = time.monotonic() - started_at
        self._total_cpu()
        exit_codes = await asyncio.gather(*(director.stop() for director in self.directors))
        cpu_after = sum(director.cpu_seconds for director in self.directors)
        return build_report(self._measurements(elapsed, cpu_after - cpu_before, exit_codes))

    async def _send_requests(
        self, requests: list[ScenarioRequest], started_at: float
    ) -> list[asyncio.Task[None]]:
        """Start to send each request at its `send_at`; return the tasks, which may still be running."""
        send_tasks: list[asyncio.Task[None]] = []
        for request in requests:
            delay = started_at + request.send_at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            task = asyncio.ensure_future(self._send(request))
            send_tasks.append(task)
            self._tasks = [running for running in self._tasks if not running.done()] + [task]
            if len(send_tasks) % PROGRESS_INTERVAL == 0:
                elapsed, sent = time.monotonic() - started_at, self.load.statistics.sent
                self.progress(f"{elapsed:.0f} of {self.options.seconds:.0f} s, {sent} reqs")
        return send_tasks

    async def _send(self, request: ScenarioRequest) -> None:
        try:
            await self.load.send(request)
        except OSError:
            self.load.statistics.unconnected += 1

    def _total_cpu(self) -> float:
        """Update the measurements of all directors and return the sum of their CPU seconds."""
        for director in self.directors:
            director.measure()
        return sum(director.cpu_seconds for director in self.directors)

    def _measurements(self, elapsed: float, cpu_seconds: float, exit_codes: list[int]) -> RunMeasurements:
        return RunMeasurements(
            self.scenario,
            self.options.seed,
            self.options.directors,
            elapsed,
            cpu_seconds,
            max(director.memory_kb for director in self.directors),
            exit_codes,
            self.load.statistics,
            self.network,
            self._traffic_since_restart(),
            self.account_folder if self.account else None,
        )

    def _traffic_since_restart(self) -> dict[str, int] | None:
        before = self._totals_at_restart
        if before is None:
            return None
        return {name: total - before[name] for name, total in traffic_totals(self.network).items()}

    async def _apply_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.start_share * self.options.seconds)
        if fault.action is FaultAction.RESTART_DIRECTOR:
            await self._restart_director(int(fault.target))
            return
        node = self.network.nodes[f"s-000000{fault.target}1"]
        self.progress(f"{fault.action} {node.name} in {node.zone}")
        match fault.action:
            case FaultAction.KILL:
                await self._kill_node(node)
            case FaultAction.RESTORE:
                node.started_ms = int(time.time() * 1000)
                await node.start()
                self.control_plane.publish([node], EndpointState.READY)
            case FaultAction.SLOW_DOWN:
                node.transfer_rate = fault.transfer_rate
            case FaultAction.STALL | FaultAction.RESUME:
                node.stalled = fault.action is FaultAction.STALL

    async def _kill_node(self, node: StandIn) -> None:
        await node.kill()
        await asyncio.sleep(DISCOVERY_DELAY)
        self.control_plane.publish([node], EndpointState.REMOVED)

    async def _restart_director(self, index: int) -> None:
        """Restart a director at the same address; SIGTERM lets it first answer all admitted requests."""
        director = self.directors[index % self.options.directors]
        suffix = " with an empty disk" if self.options.wipe else ""
        self.progress(f"restart {director.name}{suffix}")
        await director.stop()
        if self.options.wipe:
            shutil.rmtree(self._disk_folder(director.name), ignore_errors=True)
        if self._totals_at_restart is None:
            self._totals_at_restart = traffic_totals(self.network)
        await director.start()


def run_scenario(
    scenario: Scenario, options: RunOptions, progress: Progress = lambda text: None
) -> dict[str, Any]:
    """Run a scenario and return its report; after an interrupt too, all processes and files are removed.

    Raises:
        DirectorStartError: A director did not become ready.
        OSError: A socket or file could not be used.
    """
    return asyncio.run(Run(scenario, options, progress).execute())
