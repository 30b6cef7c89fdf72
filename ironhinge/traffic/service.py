"""The account of one director, as its front uses it: the ledger with its clocks, its file and its metrics.

Nothing is decided here. What the front reports goes to the ledger, and what the ledger says is carried out.
Snapshots are written in the background: a slow or full disk makes the report older and holds up no request.
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

# seconds; each tick wakes the program, so there are only as many as budgets need
TICK_SECONDS, EXCHANGE_TICK_SECONDS = 0.5, 0.05
SLOW_DISK_SECONDS = 5  # a snapshot that takes longer is logged
SNAPSHOT_JOB, SNAPSHOT_JOB_PRIORITY = "snapshot", 1
SNAPSHOT_JOB_DEADLINE = CLOCK_UNITS_PER_SECOND


class Clocks(NamedTuple):
    """The clocks of the front."""

    monotonic: Callable[[], int]  # tenths of a millisecond
    unix_ms: Callable[[], int]

    def read(self) -> ClockReading:
        """Both of them now."""
        return ClockReading(self.monotonic(), self.unix_ms())


def _ignore_datagram(data: bytes) -> None:
    """Stands for the network until the front has connected it."""


class AccountService:
    """The account of one director."""

    def __init__(
        self,
        config: records.Traffic,
        deployment: interface.Deployment,
        identity: DirectorIdentity,
        clocks: Clocks,
        runner: Runner,
    ):
        """Opens the account, with what the last snapshot holds of it.

        Args:
            config: The operators' settings.
            deployment: What the router knows of the deployment.
            identity: Whose account it is.
            clocks: The clocks of the front.
            runner: Runs the writing of snapshots in the background.

        Raises:
            OSError: The address for metrics can't be listened on.
        """
        self._config, self._deployment, self._identity = config, deployment, identity
        self._clocks, self._runner = clocks, runner
        self._incarnation, self._sequence = clocks.unix_ms(), 0
        self._endpoints: dict[str, interface.Endpoint] = {}
        self._file = SnapshotFile()
        self._write_requested_at = 0
        # set by the front: sends a datagram to all peers, and reads the operators' files again
        self.send_gossip: Callable[[bytes], None] = _ignore_datagram
        self.read_settings: Callable[[], records.Operations] | None = None
        self.ledger = self._new_ledger(config)
        self._restore()
        self.metrics: Any = None
        if config.metrics is not None:
            from .metrics import MetricsExporter  # an optional extra

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
        """Reads the operators' files again and applies them; a bad file changes nothing and is logged.

        They are read by a process of its own, which a thread waits for: no request and no other signal does.
        """
        if self.read_settings is None:
            return
        try:
            self._apply(await anyio.to_thread.run_sync(self.read_settings, abandon_on_cancel=True))
        except (OSError, ValueError) as error:
            logger.error(log_line(log_events.SETTINGS_RELOAD_FAILED, {"error": error}))

    def _apply(self, operations: records.Operations) -> None:
        """Applies new settings between two events, as far as that can be done without a restart."""
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
        """Goes on under new settings: with the account, and what a budget of the same name has spent."""
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
        """The endpoint list was read, or changed."""
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
        """An attempt went out; `source_id` is empty where no fill is named."""
        admission_rank, revalidates = 0, False
        if isinstance(command, interface.SendAttemptWithFill):
            admission_rank, revalidates = command.admission_rank, command.revalidates
        event = AttemptStarted(request, command.endpoint_id, source_id, admission_rank, revalidates)
        self._execute(self.ledger.handle(now, event))

    def on_attempt_finished(
        self, now: int, event: interface.AttemptFinished, body_size: int | None, client_disconnected: bool
    ) -> None:
        """An attempt ended; `body_size` is None where the answer held none of the bytes."""
        ended = AttemptEnded(
            event.request_id, event.result, event.cache_status, body_size, event.duration, client_disconnected
        )
        self._execute(self.ledger.handle(now, ended))

    def on_gossip(self, now: int, sender: int, data: bytes) -> bool:
        """A datagram came from a peer; returns whether datagrams are for the account at all."""
        if self.ledger.exchange is None:
            return False
        self._execute(self.ledger.handle(now, DatagramReceived(sender, data)))
        return True

    async def run(self) -> None:
        """Ticks, and writes a snapshot now and then, for as long as the program runs."""
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
        """Has a snapshot written in the background, unless the last one is still being written."""
        now = self._clocks.monotonic()
        if SNAPSHOT_JOB not in self._runner.scheduler.jobs:
            self._write_requested_at = now
            job = Job(SNAPSHOT_JOB, SNAPSHOT_JOB_PRIORITY, deadline=now + SNAPSHOT_JOB_DEADLINE)
            self._runner.submit(job, self._write_job)
        elif now > self._write_requested_at + SLOW_DISK_SECONDS * CLOCK_UNITS_PER_SECOND:
            fields = {"limit_s": SLOW_DISK_SECONDS}
            logger.warning(log_line(log_events.SNAPSHOT_WRITE_SLOW, fields))

    def pack_snapshot(self, is_final: bool) -> tuple[int, bytes]:
        """The sequence number and the bytes of a snapshot of this moment."""
        self._sequence += 1
        state = ledger_state.capture(self.ledger, is_final)
        snapshot = Snapshot(self._identity.name, self._incarnation, self._sequence, state)
        return self._sequence, pack(snapshot)

    def write_snapshot(self, path: Path, sequence: int, data: bytes) -> None:
        """Writes a snapshot unless a newer one is there; a failure is logged."""
        try:
            self._file.write(path, sequence, data)
        except OSError as error:
            fields = {"file": path, "error": error}
            logger.warning(log_line(log_events.SNAPSHOT_WRITE_FAILED, fields))

    def _write_job(self) -> Iterator[int]:
        """The job's slices: the snapshot is of the moment at which the job is made."""
        path = self._path()
        if path is None:
            return iter(())
        return self._write_slices(path, *self.pack_snapshot(is_final=False))

    def _write_slices(self, path: Path, sequence: int, data: bytes) -> Iterator[int]:
        self.write_snapshot(path, sequence, data)
        yield len(data)

    def close(self) -> None:
        """Writes the last snapshot, which says that nothing is missing after it."""
        path = self._path()
        if path is not None:
            self.write_snapshot(path, *self.pack_snapshot(is_final=True))
