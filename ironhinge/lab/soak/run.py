"""Runs one plan: starts stand-ins and director processes, applies load and faults, and audits the records."""

from __future__ import annotations

import asyncio
import functools
import json
import shutil
import signal
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from ..errors import DirectorStartError
from . import crowds, wire
from .audit import Audit, AuditResult, Finding, Rule
from .clients import Client, ClientTarget
from .director_config import known_updates, platform_settings
from .directors import Director, die_with_parent, time_to_kill
from .discovery import Discovery, endpoint_of
from .faults import FaultInjector
from .plan import DIRECT_PATH, AbuseEvent, DiscoveryDelay, FaultKind, NetworkPath, Plan
from .readiness import hold_idle_connections
from .records import Notification, NotificationKind, Records
from .report import build_report
from .servers import EDGE_ZONE, HUB_ZONE, Fleet, Node, NodeKind, NodeState

MEASURE_INTERVAL = 0.1  # seconds between measurements of the directors' resource usage
LAG_TOLERANCE = 0.02  # seconds: smaller lags of this process are not recorded
EXIT_TIMEOUT = 6.0  # seconds after SIGTERM in which a director without clients has to exit
KILL_MARGIN = 0.3  # seconds for which clients go on sending after a kill
FORCED_EXIT = -1  # exit code recorded for a director that did not exit within EXIT_TIMEOUT
REPORT_FILE = "report.json"
LOG_EXCERPT = 500  # last characters of each log that an error message shows


class SoakRun:
    """The processes, sockets and records of one run."""

    def __init__(self, plan: Plan) -> None:
        """Create a run and its temporary folder; nothing is started yet."""
        self.plan = plan
        self.records = Records()
        self.folder = Path(tempfile.mkdtemp(prefix="ironhinge-soak-"))
        self.fleet = Fleet(plan, self.records)
        # one discovery service per director, so that its notifications can be recorded separately
        self.discoveries: list[Discovery] = []
        self.directors = [Director(self, number) for number in range(plan.director_count)]
        self.caches: list[Node] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def execute(self) -> AuditResult:
        """Run the plan and audit the records.

        Raises:
            DirectorStartError: A director did not become ready at the start.
        """
        try:
            await self._start()
            await self._run_load_and_faults()
        finally:
            await self._stop()
        audit_result = Audit(self.plan, self.records).check_all()
        for text in self.fleet.malformed_commands:
            audit_result.findings.append(Finding(Rule.MALFORMED_COMMAND, text))
        return audit_result

    # Start and stop

    async def _start(self) -> None:
        self.records.unix_offset = time.time() - time.monotonic()
        origin = self.fleet.add(NodeKind.ORIGIN, HUB_ZONE)
        parent = self.fleet.add(NodeKind.PARENT, HUB_ZONE)
        for _ in range(self.plan.cache_count):
            self.caches.append(self.fleet.add(NodeKind.CACHE, EDGE_ZONE))
        for node in (origin, parent, *self.caches):
            await node.start(self.plan.node_path if node in self.caches else DIRECT_PATH)
        for director in self.directors:
            await self._start_discovery_and_proxies(director)
        for period in self.plan.discovery_delays:
            if period.at < 0:
                self._start_discovery_delay(period)
        await asyncio.gather(*(director.start() for director in self.directors))
        if not all(director.accepting for director in self.directors):
            raise DirectorStartError(
                f"a director did not become ready; the logs end with: {self._log_excerpts()}"
            )

    async def _start_discovery_and_proxies(self, director: Director) -> None:
        """Start a director's discovery service, and the proxies between the director and its clients."""
        ports = self.fleet.ports
        discovery = Discovery(
            self.records,
            ports,
            director.number,
            director.current_incarnation,
            self.plan,
        )
        if self.plan.sends_full_lists:
            discovery.encode_full_list = self._encode_full_list
        await discovery.start()
        self.discoveries.append(discovery)
        for index, path in enumerate(self.plan.client_paths):
            port = director.port
            if path != DIRECT_PATH:
                port = await self.fleet.start_proxy(port, path)
            director.client_ports[index] = port

    def _encode_full_list(self, number: int) -> bytes:
        """Encode the state of all nodes as an event of discovery."""
        nodes = [node for node in self.fleet.nodes.values() if node.state != NodeState.REMOVED]
        return wire.encode_full_list(number, [endpoint_of(node) for node in nodes])

    def _log_excerpts(self) -> str:
        logs = (Path(incarnation.log_path) for incarnation in self.records.incarnations)
        return "".join(log.read_text()[-LOG_EXCERPT:] for log in logs)

    def configuration(self, director: Director) -> dict[str, Any]:
        """Return a director's current configuration, and record the drains that it contains."""
        updates = known_updates(self.fleet, director.discovery)
        for node in self.fleet.nodes.values():
            if node.state == NodeState.DRAINING:
                self._record_draining(director, node)
        return {
            "name": f"n{director.number}",
            "listen": f"127.0.0.1:{director.port}",
            "seed": f"{self.plan.seed * 1000 + director.number * 10 + director.incarnation:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.plan.memory_limit_mb,
                "sockets": self.plan.descriptor_limit,
            },
            "known": updates,
            "coordinator": f"127.0.0.1:{director.discovery.director_port}",
            "settings": platform_settings(self.plan),
        }

    def _record_draining(self, director: Director, node: Node) -> None:
        now = time.monotonic()
        kind = NotificationKind.DRAINING
        notification = Notification(director.number, director.incarnation, now, kind, node.name, now)
        self.records.notifications.append(notification)

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for director in self.directors:
            if director.process is not None and director.process.returncode is None:
                director.process.kill()
                await director.process.wait()
        self.fleet.stop()
        for discovery in self.discoveries:
            discovery.stop()
        self.fleet.stop_proxies()

    def remove_folder(self) -> None:
        """Remove the temporary folder, which contains the logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    # Load and faults

    async def _run_load_and_faults(self) -> None:
        began = time.monotonic()
        deadline = began + self._load_duration()
        self._tasks.append(asyncio.ensure_future(self._measure_processes()))
        self._tasks.append(asyncio.ensure_future(self._measure_lag()))
        injector = FaultInjector(self.plan, self.records, self.fleet, self.caches, self.directors)
        faults = [asyncio.ensure_future(injector.apply(event, began)) for event in self.plan.fault_events]
        faults += [
            asyncio.ensure_future(self._apply_discovery_delay(period, began))
            for period in self.plan.discovery_delays
        ]
        clients: list[asyncio.Task[None]] = []
        for director in self.directors:
            for _ in range(self.plan.clients_per_director):
                client = self._new_client(director, len(clients))
                clients.append(asyncio.ensure_future(client.run(deadline)))
            if self.plan.idle_connections:
                self._tasks.append(asyncio.ensure_future(self._hold_idle_connections(director, deadline)))
        bad_clients = [asyncio.ensure_future(self._run_abusive_clients(event)) for event in self.plan.crowds]
        results = await asyncio.gather(*clients, *faults, *bad_clients, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        for director in self.directors:
            if director.accepting and director.record is not None:
                await self._shut_down(director)

    def _start_discovery_delay(self, period: DiscoveryDelay) -> None:
        for discovery in self.discoveries:
            if discovery.path is not None:
                discovery.path.start_delay(period.lateness)

    async def _apply_discovery_delay(self, period: DiscoveryDelay, load_started_at: float) -> None:
        """Make the paths from discovery to the directors late for a time."""
        if period.at >= 0:
            await asyncio.sleep(max(0.0, load_started_at + period.at - time.monotonic()))
            self._start_discovery_delay(period)
        await asyncio.sleep(max(0.0, load_started_at + period.at + period.duration - time.monotonic()))
        for discovery in self.discoveries:
            if discovery.path is not None:
                discovery.path.stop_delay()

    def _load_duration(self) -> float:
        """Return the seconds for which clients send: at least until `KILL_MARGIN` after the last kill.

        A director that does not exit on SIGTERM is killed `time_to_kill` seconds later. Until then, clients
        go on using its connections.
        """
        kills = [
            event.at + time_to_kill(self.plan) + KILL_MARGIN
            for event in self.plan.fault_events
            if event.kind is FaultKind.RESTART_DIRECTOR
        ]
        return max([self.plan.seconds, *kills])

    async def _shut_down(self, director: Director) -> None:
        """Send SIGTERM at the end of the run; without clients the director has to exit within `EXIT_TIMEOUT`.

        If it does not, record `FORCED_EXIT` as its exit code and kill it.
        """
        assert director.record is not None
        assert director.exit_task is not None
        director.record.terminated_at = time.monotonic()
        director.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(director.exit_task), EXIT_TIMEOUT)
        except TimeoutError:
            director.record.exit_code = FORCED_EXIT
            director.send(signal.SIGKILL)

    def _client_port(self, director: Director, path: NetworkPath) -> int | None:
        """Return a director's current port for a path, or None while it cannot be reached."""
        if not director.accepting:
            return None
        return director.client_ports[self.plan.client_paths.index(path)]

    def _new_client(self, director: Director, number: int) -> Client:
        port = functools.partial(self._client_port, director)
        target = ClientTarget(
            director.number, port, director.current_incarnation, director.on_request_written
        )
        return Client(self.plan, self.records, number, target)

    async def _hold_idle_connections(self, director: Director, deadline: float) -> None:
        port = functools.partial(self._client_port, director, self.plan.client_paths[0])
        rng = Random(self.plan.seed)
        await hold_idle_connections(self.plan.idle_connections, port, deadline, rng)

    async def _run_abusive_clients(self, event: AbuseEvent) -> None:
        """Run a crowd in a process of its own, so that it does not make the recording process late."""
        await asyncio.sleep(event.at)
        port = self.directors[event.director].port
        request_class = self.plan.classes[0].name
        arguments = crowds.command(event.kind, port, event.connections, event.duration, request_class)
        process = await asyncio.create_subprocess_exec(*arguments, preexec_fn=die_with_parent)
        await process.wait()

    async def _measure_processes(self) -> None:
        while True:
            for director in self.directors:
                director.measure()
                if self.plan.discovery_delays:
                    director.discovery.measure_connections()
            await asyncio.sleep(MEASURE_INTERVAL)

    async def _measure_lag(self) -> None:
        """Record how late this process wakes from a sleep: recorded times can be late by as much."""
        while True:
            due = time.monotonic() + LAG_TOLERANCE / 2
            await asyncio.sleep(LAG_TOLERANCE / 2)
            lag = time.monotonic() - due
            if lag > LAG_TOLERANCE:
                self.records.lags.append((time.monotonic(), lag))
                self.records.max_lag = max(self.records.max_lag, lag)


def run_to_end(run: SoakRun) -> AuditResult:
    """Execute a run in an event loop of its own and return the result of its audit.

    Raises:
        DirectorStartError: A director did not become ready at the start.
    """
    return asyncio.run(run.execute())


def run_plan(plan: Plan, log_folder: Path | None = None) -> dict[str, Any]:
    """Run a plan and return its report.

    Args:
        plan: The plan to run.
        log_folder: Folder for the report and the directors' logs if the audit has findings.

    Raises:
        DirectorStartError: A director did not become ready at the start.
    """
    run = SoakRun(plan)
    try:
        audit_result = run_to_end(run)
        report = build_report(plan, run.records, audit_result)
        if log_folder is not None and audit_result.findings:
            folder = log_folder / str(plan.seed)
            shutil.copytree(run.folder, folder, dirs_exist_ok=True)
            (folder / REPORT_FILE).write_text(json.dumps(report, indent=1))
        return report
    finally:
        run.remove_folder()
