"""The account of one director as its host uses it: the ledger with its clocks, snapshot file and metrics.

The service makes no decisions: it passes the host's reports to the ledger and executes the returned commands.
Snapshots are written in the background, so a slow or full disk makes reports outdated but delays no request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from loguru import logger

from .. import interface
from ..jobs.messages import Job
from ..jobs.runner import Runner
from ..settings import records
from . import ledger_state, log_events
from .errors import SnapshotError
from .ledger import TrafficLedger
from .log_events import log_line
from .snapshot import Snapshot, newest, pack, unpack
from .snapshot_files import SnapshotFile, file_name
from .types import (
    CLOCK_UNITS_PER_SECOND,
    AttemptEnded,
    AttemptStarted,
    BroadcastDatagram,
    ClockReading,
    ClockTick,
    DatagramReceived,
    DirectorIdentity,
    LedgerCommand,
    LogNotice,
)

# seconds; each tick wakes the process, so ticks are only as frequent as budgets need
TICK_SECONDS, EXCHANGE_TICK_SECONDS = 0.5, 0.05
SLOW_DISK_SECONDS = 5  # a snapshot write that takes longer is logged
SNAPSHOT_JOB, SNAPSHOT_JOB_PRIORITY = "snapshot", 1
SNAPSHOT_JOB_DEADLINE = CLOCK_UNITS_PER_SECOND


class Clocks(NamedTuple):
    """The clocks of the host."""

    monotonic: Callable[[], int]  # tenths of a millisecond
    unix_ms: Callable[[], int]

    def read(self) -> ClockReading:
        """Reads both clocks."""
        return ClockReading(self.monotonic(), self.unix_ms())


def _ignore_datagram(data: bytes) -> None:
    """Discards a datagram; used until the host sets `AccountService.send_gossip`."""


class AccountService:
    """The account of one director, for its host."""

    def __init__(
        self,
        config: records.Traffic,
        deployment: interface.Deployment,
        identity: DirectorIdentity,
        clocks: Clocks,
        runner: Runner,
    ):
        """Creates the account and restores it from the last snapshot, if there is one.

        Args:
            config: The operators' settings.
            deployment: The configuration of the router.
            identity: The director that the account belongs to.
            clocks: The clocks of the host.
            runner: Runs the jobs that write snapshots in the background.

        Raises:
            OSError: The metrics server cannot listen on its address.
        """
        self._config, self._deployment, self._identity = config, deployment, identity
        self._clocks, self._runner = clocks, runner
        self._incarnation, self._sequence = clocks.unix_ms(), 0
        self._endpoints: dict[str, interface.Endpoint] = {}
        self._file = SnapshotFile()
        self._write_requested_at = 0
        # set by the host: broadcasts a datagram to all peers, and reads the operators' files again
        self.send_gossip: Callable[[bytes], None] = _ignore_datagram
        self.read_settings: Callable[[], records.Operations] | None = None
        self.ledger = self._new_ledger(config)
        self._restore()
        self.metrics: Any = None
        if config.metrics is not None:
            from .metrics import MetricsExporter  # needs an optional dependency

            self.metrics = MetricsExporter(config.metrics)

    def _new_ledger(self, config: records.Traffic) -> TrafficLedger:
        reading = self._clocks.read()
        return TrafficLedger(config, self._deployment, self._identity, self._incarnation, reading)

    def _path(self) -> Path | None:
        keep = self._config.keep
        return Path(keep.folder) / file_name(self._identity.name) if keep else None

    def _restore(self) -> None:
        path = self._path()
        if path is None or not path.exists():
            return
        try:
            snapshot = newest([unpack(path.read_bytes())])
        except (OSError, SnapshotError) as error:
            fields = {"file": path, "error": error}
            logger.warning(log_line(log_events.SNAPSHOT_UNREADABLE, fields))
            return
        if snapshot is not None:
            self._execute(ledger_state.restore(self.ledger, snapshot.state, self._clocks.monotonic()))

    async def reload(self) -> None:
        """Reads the operators' files again and applies them; an invalid file is logged and changes nothing.

        The files are read in a separate process and a thread waits for it, so that requests and other signals
        are not blocked.
        """
        if self.read_settings is None:
            return
        try:
            self._apply(await anyio.to_thread.run_sync(self.read_settings, abandon_on_cancel=True))
        except (OSError, ValueError) as error:
            logger.error(log_line(log_events.SETTINGS_RELOAD_FAILED, {"error": error}))

    def _apply(self, operations: records.Operations) -> None:
        """Applies new settings between two events; logs changes that need a restart and ignores them."""
        config = operations.traffic
        if config is None:
            self._log_ignored_change("traffic")
            return
        if config == self._config:
            return
        if config.metrics != self._config.metrics:
            self._log_ignored_change("traffic.metrics")
        if config.period != self._config.period:
            self._log_ignored_change("traffic.period")
            return
        budgets = ",".join(config.budgets) or "none"
        logger.info(log_line(log_events.BUDGETS_RELOADED, {"budgets": budgets}))
        self._replace_ledger(config)

    def _log_ignored_change(self, setting: str) -> None:
        fields = {"setting": setting, "reason": "restart_required"}
        logger.warning(log_line(log_events.SETTINGS_CHANGE_IGNORED, fields))

    def _replace_ledger(self, config: records.Traffic) -> None:
        """Replaces the ledger for new settings; keeps the account, and the state of budgets by name."""
        previous, self._config = self.ledger, config
        self.ledger = self._new_ledger(config)
        endpoints = interface.EndpointsUpdated(True, tuple(self._endpoints.values()))
        self.ledger.handle(self._clocks.monotonic(), endpoints)
        state = ledger_state.capture(previous, is_final=True)
        self._execute(ledger_state.restore(self.ledger, state, self._clocks.monotonic()))
        self.ledger.adopt(previous)

    def _execute(self, commands: Iterable[LedgerCommand]) -> None:
        for command in commands:
            match command:
                case BroadcastDatagram():
                    self.send_gossip(command.data)
                case LogNotice():
                    logger.info(log_line(command.event, command.fields))

    def wait_time(self, now: int, request: interface.RequestReceived, source_id: str) -> int:
        """See `interface.FillBudget`."""
        return self.ledger.wait_time(now, request, source_id)

    def on_endpoints_updated(self, now: int, event: interface.EndpointsUpdated) -> None:
        """Handles the endpoint list or a change to it."""
        if event.is_full:
            self._endpoints = {}
        for endpoint in event.endpoints:
            if endpoint.state is interface.EndpointState.REMOVED:
                self._endpoints.pop(endpoint.id, None)
            else:
                self._endpoints[endpoint.id] = endpoint
        self._execute(self.ledger.handle(now, event))

    def on_attempt_started(
        self,
        now: int,
        request: interface.RequestReceived,
        command: interface.SendAttempt | interface.SendAttemptWithFill,
        source_id: str,
    ) -> None:
        """Handles the start of an attempt; `source_id` is empty if it has no fill source."""
        admission_rank, revalidates = 0, False
        if isinstance(command, interface.SendAttemptWithFill):
            admission_rank, revalidates = command.admission_rank, command.revalidates
        event = AttemptStarted(request, command.endpoint_id, source_id, admission_rank, revalidates)
        self._execute(self.ledger.handle(now, event))

    def on_attempt_finished(
        self, now: int, event: interface.AttemptFinished, body_size: int | None, client_disconnected: bool
    ) -> None:
        """Handles the end of an attempt; `body_size` is None if no body was received."""
        ended = AttemptEnded(
            event.request_id, event.result, event.cache_status, body_size, event.duration, client_disconnected
        )
        self._execute(self.ledger.handle(now, ended))

    def on_gossip(self, now: int, sender: int, data: bytes) -> bool:
        """Handles a datagram from a peer; returns False if the account does not use datagrams."""
        if self.ledger.exchange is None:
            return False
        self._execute(self.ledger.handle(now, DatagramReceived(sender, data)))
        return True

    async def run(self) -> None:
        """Runs until cancelled: ticks, publishes metrics and requests snapshots at intervals."""
        seconds_since_write = 0.0
        while True:
            tick = EXCHANGE_TICK_SECONDS if self._config.share is not None else TICK_SECONDS
            await anyio.sleep(tick)
            seconds_since_write += tick
            self._execute(self.ledger.handle(self._clocks.monotonic(), ClockTick(self._clocks.unix_ms())))
            if self.metrics is not None:
                self.metrics.publish(self.ledger)
            keep = self._config.keep
            if keep is not None and seconds_since_write >= keep.every / CLOCK_UNITS_PER_SECOND:
                seconds_since_write = 0.0
                self._request_write()

    def _request_write(self) -> None:
        """Submits a job that writes a snapshot, unless the previous job has not finished."""
        now = self._clocks.monotonic()
        if SNAPSHOT_JOB not in self._runner.scheduler.jobs:
            self._write_requested_at = now
            job = Job(SNAPSHOT_JOB, SNAPSHOT_JOB_PRIORITY, deadline=now + SNAPSHOT_JOB_DEADLINE)
            self._runner.submit(job, self._write_job)
        elif now > self._write_requested_at + SLOW_DISK_SECONDS * CLOCK_UNITS_PER_SECOND:
            fields = {"limit_s": SLOW_DISK_SECONDS}
            logger.warning(log_line(log_events.SNAPSHOT_WRITE_SLOW, fields))

    def pack_snapshot(self, is_final: bool) -> tuple[int, bytes]:
        """Returns the sequence number and the bytes of a snapshot of the current state."""
        self._sequence += 1
        state = ledger_state.capture(self.ledger, is_final)
        snapshot = Snapshot(self._identity.name, self._incarnation, self._sequence, state)
        return self._sequence, pack(snapshot)

    def write_snapshot(self, path: Path, sequence: int, data: bytes) -> None:
        """Writes a snapshot unless a newer one has been written; a failure is logged."""
        try:
            self._file.write(path, sequence, data)
        except OSError as error:
            fields = {"file": path, "error": error}
            logger.warning(log_line(log_events.SNAPSHOT_WRITE_FAILED, fields))

    def _write_job(self) -> Iterator[int]:
        """Returns the slices of the job; the state is captured here, before the first slice runs."""
        path = self._path()
        if path is None:
            return iter(())
        return self._write_slices(path, *self.pack_snapshot(is_final=False))

    def _write_slices(self, path: Path, sequence: int, data: bytes) -> Iterator[int]:
        self.write_snapshot(path, sequence, data)
        yield len(data)

    def close(self) -> None:
        """Writes the final snapshot, which marks that nothing was counted after it."""
        path = self._path()
        if path is not None:
            self.write_snapshot(path, *self.pack_snapshot(is_final=True))
