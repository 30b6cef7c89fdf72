"""Owns the ledger's I/O: what the director tells it, its clock, its snapshots on disk and its metrics.

It must never decide: it hands on what happened, and writes what the ledger says in the background. A disk
that is slow or full costs the report its freshness and a req nothing.
"""

from __future__ import annotations

import os
import re
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from loguru import logger

from .. import interface
from ..jobs.plan import Job
from ..jobs.runner import Runner
from ..settings import records
from .ledger import Ledger
from .snapshot import Snapshot, Torn, newest, pack, unpack
from .types import Doing, Ended, Heard, Note, Sent, Tell, Tick

ENDS = ".traffic"
TICK, SHARING_TICK = 0.5, 0.05  # seconds; each wakes the program, so as few as budgets bear
PATIENCE = 5  # seconds that a slow disk may take before it is said


def file_name(name: str) -> str:
    return re.sub(r"[^A-Za-z0-9_.-]", "_", name or "director") + ENDS


def read_folder(folder: Path) -> tuple[list[Snapshot], list[str]]:
    """The whole snapshots of a folder, and what is wrong with the others."""
    found, wrong = [], []
    for path in sorted(folder.glob("*" + ENDS)):
        try:
            found.append(unpack(path.read_bytes()))
        except (OSError, Torn) as fault:
            wrong.append(f"{path}: {fault}")
    return found, wrong


def replace(path: Path, data: bytes) -> None:
    """In one step: whoever reads finds the old one or the new one. Guards against being killed while
    writing.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_suffix(".part")
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


class Origin(NamedTuple):
    """Who keeps the account."""

    name: str
    zones: tuple[str, ...]
    vhosts: tuple[str, ...]
    me: int  # its place among the peers


class Keeper:
    """The account of one director, as its front uses it."""

    metrics: Any = None
    reread: Callable[[], records.Operations] | None = None  # reads the operators' files again

    def __init__(
        self,
        told: records.Traffic,
        facts: interface.Deployment,
        who: Origin,
        now: Callable[[], int],
        unix_ms: Callable[[], int],
        runner: Runner,
    ):
        self.runner = runner
        self.told, self.facts, self.who = told, facts, who
        self.now, self.unix_ms = now, unix_ms
        self.life, self.number = unix_ms(), 0
        self.send_gossip: Callable[[bytes], None] = lambda data: None
        self.rows: dict[str, interface.Endpoint] = {}
        self.lock, self.written = threading.Lock(), 0  # of the file, and the newest snapshot in it
        self.asked_at = 0
        self.ledger = self._ledger(told)
        self._restore()
        if told.metrics is not None:
            from .metrics import Metrics

            self.metrics = Metrics(told.metrics)

    def _ledger(self, told: records.Traffic) -> Ledger:
        who = self.who
        return Ledger(told, self.facts, who.zones, who.vhosts, self.now(), self.unix_ms(), who.me, self.life)

    def _path(self) -> Path | None:
        return Path(self.told.keep.folder) / file_name(self.who.name) if self.told.keep else None

    def _restore(self) -> None:
        path = self._path()
        if path is None or not path.exists():
            return
        try:
            found = newest([unpack(path.read_bytes())])
        except (OSError, Torn) as fault:
            logger.warning("traffic: {}: {}; the account begins anew", path, fault)
            return
        if found is not None:
            self._do(self.ledger.restore(found.plain, self.now()))

    async def reload(self) -> None:
        """At SIGHUP: reads the operators' files, in a process of its own and so in a thread; no req and no
        other signal waits for it. A bad file changes nothing and is said.
        """
        if self.reread is None:
            return
        try:
            self.follow(await anyio.to_thread.run_sync(self.reread, abandon_on_cancel=True))
        except (OSError, ValueError) as fault:
            logger.error("SIGHUP: {}; the old settings hold", fault)

    def follow(self, operations: records.Operations) -> None:
        """New settings, between two steps: the account goes on, and what a budget of the same name has
        spent.
        """
        told = operations.traffic
        if told is None:
            return logger.warning("SIGHUP: turning the account off takes a restart")
        if told == self.told:
            return None
        if told.metrics != self.told.metrics:
            logger.warning("SIGHUP: where metrics are shown has changed, which takes a restart")
        if told.period != self.told.period:
            return logger.warning("SIGHUP: another length of the billing period takes a restart")
        logger.info("SIGHUP: new budgets hold from now on: {}", ", ".join(told.budgets) or "none")
        old, self.told = self.ledger, told
        self.ledger = self._ledger(told)
        self.ledger.step(self.now(), interface.EndpointsUpdated(True, tuple(self.rows.values())))
        self._do(self.ledger.restore(old.plain(True), self.now()))
        self.ledger.fills = old.fills  # what is out is settled where it was charged
        self.ledger.means, self.ledger.crossed = old.means, old.crossed
        if old.streams is not None and self.ledger.streams is not None:
            budgets = self.ledger.budgets
            books = {
                id(budget.book): budgets[name].book if name in budgets else None
                for name, budget in old.budgets.items()
            }
            self.ledger.streams.adopt(old.streams, books)
        if old.sharing is not None and self.ledger.sharing is not None:
            self.ledger.sharing.peers = old.sharing.peers  # a grant taken once must not be taken again

    def _do(self, acts: list[Doing]) -> None:
        for act in acts:
            if isinstance(act, Tell):
                self.send_gossip(act.data)
            elif isinstance(act, Note):
                logger.info("traffic: {}", act.text)

    # What the director says

    def wait_time(self, now: int, came: interface.RequestReceived, source: str) -> int:
        return self.ledger.wait_time(now, came, source)

    def on_endpoints_updated(self, now: int, what: interface.EndpointsUpdated) -> None:
        if what.is_full:
            self.rows = {}
        for row in what.endpoints:
            self.rows[row.id] = row
            if row.state == "gone":
                del self.rows[row.id]
        self._do(self.ledger.step(now, what))

    def on_attempt_started(
        self,
        now: int,
        request: interface.RequestReceived,
        command: interface.SendAttempt | interface.SendAttemptWithFill,
        source_id: str,
    ) -> None:
        """An attempt went out; `source_id` is empty where no fill is named."""
        rank, revalidates = 0, False
        if isinstance(command, interface.SendAttemptWithFill):
            rank, revalidates = command.admission_rank, command.revalidates
        self._do(self.ledger.step(now, Sent(request, command.endpoint_id, source_id, rank, revalidates)))

    def on_attempt_finished(
        self, now: int, event: interface.AttemptFinished, body_size: int | None, client_left: bool
    ) -> None:
        """An attempt ended; `body_size` is None where the answer held none of the bytes."""
        ended = Ended(event.request_id, event.result, event.fill_note, body_size, event.duration, client_left)
        self._do(self.ledger.step(now, ended))

    def on_gossip(self, now: int, sender: int, data: bytes) -> bool:
        """True when the datagram was one of the account's."""
        if self.ledger.sharing is None:
            return False
        self._do(self.ledger.step(now, Heard(sender, data)))
        return True

    # In the background

    async def run(self) -> None:
        """Ticks, and writes a snapshot now and then, for as long as the program runs."""
        waited = 0.0
        while True:
            tick = SHARING_TICK if self.told.share is not None else TICK
            await anyio.sleep(tick)
            waited += tick
            self._do(self.ledger.step(self.now(), Tick(self.unix_ms())))
            if self.metrics is not None:
                self.metrics.show(self.ledger)
            if self.told.keep is not None and waited >= self.told.keep.every / 10_000:
                waited = 0.0
                now = self.now()
                if "snapshot" in self.runner.plan.jobs and now > self.asked_at + PATIENCE * 10_000:
                    logger.warning("traffic: the disk takes longer than {} s", PATIENCE)
                elif "snapshot" not in self.runner.plan.jobs:
                    self.asked_at = now
                    self.runner.submit(Job("snapshot", 1, deadline=now + 10_000), self._write)

    def packed(self, clean: bool) -> tuple[int, bytes]:
        self.number += 1
        return self.number, pack(Snapshot(self.who.name, self.life, self.number, self.ledger.plain(clean)))

    def put(self, path: Path, number: int, data: bytes) -> None:
        """Guards the last snapshot, which is written at the end, against an older one on a slow disk."""
        with self.lock:
            if number > self.written:
                replace(path, data)
                self.written = number

    def _write(self) -> Iterator[int]:
        """A job: the snapshot is of the moment at which it is asked for, and written in a thread."""
        path = self._path()
        if path is None:
            return iter(())
        return self._put(path, *self.packed(False))

    def _put(self, path: Path, number: int, data: bytes) -> Iterator[int]:
        try:
            self.put(path, number, data)
        except OSError as fault:
            logger.warning("traffic: {}: {}", path, fault)
        yield len(data)

    def close(self) -> None:
        """The last snapshot says that nothing is missing after it."""
        path = self._path()
        if path is None:
            return
        try:
            self.put(path, *self.packed(True))
        except OSError as fault:
            logger.warning("traffic: {}: {}", path, fault)
