"""Owns the tier of one director: reads in threads, writes in one, and the background work that keeps it.

It must never hold the event loop for a disk or decide what is served: a read that takes longer than its
patience is a miss, and so is every fault. What is in flight is bounded; beyond that a copy is not kept, or
not looked for.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
from loguru import logger

from .. import interface
from ..jobs.plan import Job
from ..jobs.runner import Runner
from ..settings import records
from .admission import Admission, Rules
from .files import Files
from .index import Entry
from .store import Copy, Limits, Store

READERS = 4
MOST_READS = 64  # that wait or run
MOST_QUEUED = 8 << 20  # bytes that wait to be written
WRITE_EVERY = 0.05  # seconds; puts of that time are written together
HEARD_EVERY = 2000  # ms between two notes of how far purges are known
CHECKPOINT_EVERY = 60.0  # seconds
SCRUB_EVERY = 600.0
TELL_EVERY = 5.0
SPARE = 0.95  # of its room from which it makes some
TICKS = 10_000
SWITCH = 0.0005  # seconds after which a thread of the tier lets the event loop go on


class Tier:
    """What the director and the module see of the store."""

    def __init__(
        self,
        told: records.Disk,
        facts: interface.Deployment,
        name: str,
        now: Callable[[], int],
        unix_ms: Callable[[], int],
        runner: Runner,
        files: Callable[[Path], Files] = Files,
    ):
        self.told, self.facts, self.now, self.unix_ms = told, facts, now, unix_ms
        self.runner = runner
        began = now()
        sys.setswitchinterval(SWITCH)
        self.folder = Path(told.folder)
        limits = Limits(told.room, told.segment, told.entries, facts.purge_retention // 10)
        self.store = Store(files(self.folder), name.encode(), limits, unix_ms)
        write = float(told.write or 0)
        self.admission = Admission(
            Rules(
                int(told.room * SPARE),
                min(65_536, told.entries),
                told.object_share,
                told.class_share,
                write,
                4 * write,
            )
        )
        for entry in self.store.index.entries():
            self.admission.held((entry.obj, entry.part), entry.length, 1)
        self.readers = anyio.CapacityLimiter(READERS)
        self.writer = anyio.CapacityLimiter(1)
        self.reads = 0
        self.per_kb, self.kb = 1000.0, 0.0
        self.counts: dict[str, int] = {"hits": 0, "misses": 0, "slow": 0, "kept": 0, "refused": 0}
        self.by_kind: dict[tuple[int, int], list[int]] = {}  # hits and reqs by vhost and size class
        self.kept_bytes = 0
        self.recovery_ms = (now() - began) / 10
        self.news = anyio.Event()
        self.pending: dict[tuple[int, int], int] = {}  # dates of copies that wait to be written
        self.heard_at = 0
        logger.info("disk: {}", self.store.status())

    # What the module asks

    def lookup(self, now: int, came: interface.RequestReceived) -> int:
        """Counts the req; the age of the copy at hand, in tenths of a millisecond; -1 where there is none."""
        size = int(came.size * self.per_kb)
        self.admission.asked(now, (came.object_id, came.part), size)
        self._kind(came, size)[1] += 1
        if self.reads >= MOST_READS:
            return -1
        entry = self.store.find(came.object_id, came.part)
        if entry is None:
            self.counts["misses"] += 1
            return -1
        return max(0, (self.unix_ms() - entry.dated) * 10)

    def _kind(self, came: interface.RequestReceived, size: int) -> list[int]:
        return self.by_kind.setdefault((came.class_index, size.bit_length()), [0, 0])

    def should_store(self, now: int, came: interface.RequestReceived) -> bool:
        if self.store.queued > MOST_QUEUED or self.store.full:
            return False
        size = int(came.size * self.per_kb) or 1
        wanted = self.admission.wants(now, (came.object_id, came.part), size)
        self.counts["refused"] += not wanted
        return wanted

    # What the director does

    async def read(self, came: interface.RequestReceived) -> Copy | None:
        """The copy, verified, within the patience; None is a miss."""
        self.reads += 1
        copy: Copy | None = None
        try:
            with anyio.move_on_after(self.told.patience / TICKS) as scope:
                copy = await anyio.to_thread.run_sync(
                    self.store.get, came.object_id, came.part, limiter=self.readers, abandon_on_cancel=True
                )
            if scope.cancelled_caught:
                self.counts["slow"] += 1
                copy = None
        finally:
            self.reads -= 1
        self.counts["hits" if copy is not None else "misses"] += 1
        if copy is not None:
            self._kind(came, int(came.size * self.per_kb))[0] += 1
        self.runner.late(copy is None)
        return copy

    def store_copy(self, came: interface.RequestReceived, tag: str, dated: int, body: bytes) -> None:
        if came.size:
            self.kb = min(self.kb + came.size, 1e6)
            self.per_kb += (len(body) / came.size - self.per_kb) * came.size / self.kb
        key = came.object_id, came.part
        if self.pending.get(key, 0) >= dated:
            return  # the same copy, come twice before it was written once
        old = self.store.find(came.object_id, came.part)
        if self.store.put(came.object_id, came.part, came.group, dated, tag.encode(), body):
            self.pending[key] = dated
            if old is not None:
                self.admission.held(key, old.length, -1)
            self.admission.held(key, len(body), 1)
            self.counts["kept"] += 1
            self.kept_bytes += len(body)
            self.news.set()

    def on_purge(self, obj: int | None, group: int, unix_ms: int) -> None:
        self.store.purge(obj, group, unix_ms)
        self.news.set()

    def on_discovery_progress(self, unix_ms: int) -> None:
        """The coordinator lives: all purges of before are known."""
        if unix_ms >= self.heard_at + HEARD_EVERY:
            self.heard_at = unix_ms
            self.store.still_hears(unix_ms)
            self.news.set()

    # In the background

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._look_after)
            while True:
                await self.news.wait()
                self.news = anyio.Event()
                here = list(self.pending)
                await anyio.to_thread.run_sync(self._write, limiter=self.writer)
                for key in here:
                    self.pending.pop(key, None)
                await anyio.sleep(WRITE_EVERY)

    def _write(self) -> None:
        self.store.flush()
        self.store.sync()

    def _tell(self) -> None:
        """What it does, for people, in one step."""
        state = {**self.status(), "jobs": self.runner.plan.plain(self.now())}
        try:
            beside = self.folder / "status.part"
            beside.write_text(json.dumps(state))
            os.replace(beside, self.folder / "status.json")
        except OSError:
            pass  # a full disk has told so already

    async def _look_after(self) -> None:
        last = scrubbed = told = self.now()
        while True:
            await anyio.sleep(WRITE_EVERY)
            now = self.now()
            if self.store.needs_room():
                self.runner.submit(Job("compact", 2), self._compact)
            if now - last > CHECKPOINT_EVERY * TICKS:
                last = now
                self.runner.submit(Job("checkpoint", 1, deadline=now + 5 * TICKS), self._checkpoint)
            if now - told > TELL_EVERY * TICKS:
                told = now
                await anyio.to_thread.run_sync(self._tell, limiter=self.writer)
            if now - scrubbed > SCRUB_EVERY * TICKS:
                scrubbed = now
                self.runner.submit(Job("scrub", 0), self._scrub)

    def _compact(self) -> Iterator[int]:
        """Makes room: the segment with most that is dead; what ranks low in it is not written anew."""
        number = self.store.victim()
        if number is None:
            return
        steps = self.store.compact(number, self._keeps)
        while True:
            with self._writing():
                step = next(steps, None)
            if step is None:
                return
            self.admission.wrote(step)
            yield step

    def _keeps(self, entry: Entry) -> bool:
        key = entry.obj, entry.part
        kept = self.admission.keeps(key)
        if not kept:
            self.admission.held(key, entry.length, -1)
        return kept

    def _checkpoint(self) -> Iterator[int]:
        with self._writing():
            done = self.store.checkpoint()
        yield done

    def _scrub(self) -> Iterator[int]:
        for number in list(self.store.segments):
            yield from self.store.scrub(number)

    def _writing(self) -> Any:
        return self.store.write_lock

    def close(self) -> None:
        self.store.close()
        self._tell()

    def status(self) -> dict[str, Any]:
        written = self.store.counts.get("bytes_written", 0)
        return {
            **self.store.status(),
            **self.counts,
            "recovery_ms": self.recovery_ms,
            "written_for_kept": round(written / self.kept_bytes, 3) if self.kept_bytes else None,
            "hit_share": {
                f"vhost {vhost}, under {1 << size} bytes": round(hits / reqs, 4)
                for (vhost, size), (hits, reqs) in sorted(self.by_kind.items())
            },
            "admission": dict(self.admission.refused),
        }
