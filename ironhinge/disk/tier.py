"""The disk tier of a director: reads in several threads, writes in one thread, background maintenance.

Disk I/O never blocks the event loop. The tier does not decide which requests are served from it. A read that
fails or exceeds its timeout is a miss. Reads in progress and queued writes are bounded: beyond the bounds,
lookups find no copy and copies are not stored.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from loguru import logger

from .. import interface
from ..jobs.messages import Job
from ..jobs.runner import Runner
from ..settings import records
from .admission import TICKS_PER_SECOND, Admission, AdmissionPolicy, size_class
from .directory import STATUS_FILE, StoreDirectory
from .index import IndexEntry, PartKey
from .reader import Copy
from .state import StoreCounter
from .store import Store, StoreLimits

SWITCH_INTERVAL = 0.0005  # seconds after which a thread of the tier yields the GIL to the event loop
_PARTIAL_STATUS_FILE = "status.part"
_READ_THREADS = 4
_MAX_CONCURRENT_READS = 64  # reads that run or wait for a thread
_MAX_PENDING_BYTES = 8 << 20  # queued bytes above which no copy is admitted
_WRITE_INTERVAL = 0.05  # seconds; copies that arrive in one interval are written together
_PROGRESS_INTERVAL_MS = 2000  # minimum time between two records of discovery progress
# The service writes every second; the protocol counts events as delivered 2 s after a break.
_MAX_DISCOVERY_SILENCE = 2 * TICKS_PER_SECOND
_CHECKPOINT_INTERVAL = 60.0  # seconds
_CHECKPOINT_DEADLINE = 5  # seconds until the deadline of the checkpoint's job
_SCRUB_INTERVAL = 600.0  # seconds
_STATUS_INTERVAL = 5.0  # seconds
_ADMITTED_SHARE = 0.95  # share of the disk capacity that admission fills
_MAX_RANKED_PARTS = 65_536
_WRITE_BURST_SECONDS = 4  # the write burst is this many seconds at the write rate
_TICKS_PER_MS = TICKS_PER_SECOND // 1000
_COMPACTION_PRIORITY, _CHECKPOINT_PRIORITY, _SCRUB_PRIORITY = 2, 1, 0
_DEFAULT_BYTES_PER_KB = 1000.0
_MAX_SIZE_WEIGHT = 1e6  # KB; bounds the weight of old bodies in the average of bytes per KB
NO_COPY = -1  # the result of a lookup that found no copy


@dataclass(frozen=True, slots=True)
class TierContext:
    """The parameters and services of the director that a tier uses."""

    director_name: str
    deployment: interface.Deployment
    now: Callable[[], int]  # monotonic clock, in tenths of a millisecond
    unix_ms: Callable[[], int]
    runner: Runner
    follows_discovery: bool = False  # purges are learned from a discovery service


@dataclass(slots=True)
class TierCounters:
    """Counters of a tier."""

    hits: int = 0
    misses: int = 0
    slow_reads: int = 0  # reads that exceeded their timeout
    stored: int = 0
    rejected: int = 0  # copies that admission rejected
    unconfirmed: int = 0  # copies that were not served, as a purge may not have arrived


class _HitCountKey(NamedTuple):
    """The request class and size class by which hits are counted."""

    class_index: int
    size_class: int


@dataclass(slots=True)
class _HitCount:
    hits: int = 0
    requests: int = 0


class BodySizeEstimator:
    """Estimates the bytes of a body from the request's `size` in KB; bodies show the actual bytes per KB."""

    def __init__(self) -> None:
        self._bytes_per_kb = _DEFAULT_BYTES_PER_KB
        self._weight = 0.0

    def estimate(self, size: float) -> int:
        """Returns the estimated bytes of a body for the size in its request."""
        return int(size * self._bytes_per_kb)

    def record(self, size: float, body_size: int) -> None:
        """Updates the estimate from a body; ignores requests without a size."""
        if not size:
            return
        self._weight = min(self._weight + size, _MAX_SIZE_WEIGHT)
        self._bytes_per_kb += (body_size / size - self._bytes_per_kb) * size / self._weight


class DiskTier:
    """The local store of the director and its router.

    Maps requests to parts, applies admission, runs disk I/O in threads and schedules maintenance.
    """

    def __init__(
        self,
        config: records.Disk,
        context: TierContext,
        open_directory: Callable[[Path], StoreDirectory] = StoreDirectory,
    ):
        """Opens the store and recovers it.

        Args:
            config: the operators' settings.
            context: the director's parameters and services.
            open_directory: opens the directory of the store; replaced in tests.

        Raises:
            DiskError: the directory is locked, belongs to another installation or has another format version.
            OSError: a file system call failed.
        """
        started_at = context.now()
        sys.setswitchinterval(SWITCH_INTERVAL)
        self.config = config
        self.context = context
        self.path = Path(config.folder)
        self.store = self._open_store(open_directory(self.path))
        self.admission = self._open_admission()
        self.counters = TierCounters()
        self._body_sizes = BodySizeEstimator()
        self._hit_counts: dict[_HitCountKey, _HitCount] = {}
        self._stored_bytes = 0
        self._read_limiter = anyio.CapacityLimiter(_READ_THREADS)
        self._write_limiter = anyio.CapacityLimiter(1)
        self._concurrent_reads = 0
        self._write_needed = anyio.Event()
        self._pending_produced_at: dict[PartKey, int] = {}  # Unix ms, of queued copies
        self._progress_recorded_at = 0
        # nothing is served before the first progress: purges of the time before the start may be unread
        self._discovery_seen_at = context.now() - _MAX_DISCOVERY_SILENCE - 1
        self._recovery_ms = (context.now() - started_at) / _TICKS_PER_MS
        fields = " ".join(f"{name}={value}" for name, value in self.store.status().items())
        logger.info("store_opened {}", fields)

    # Called by the router

    def lookup(self, now: int, request: interface.RequestReceived) -> int:
        """Counts a request; returns the age of its copy in tenths of a millisecond, or `NO_COPY`."""
        key = PartKey(request.object_id, request.part)
        size = self._body_sizes.estimate(request.size)
        self.admission.record_request(now, key, size)
        self._hit_count(request, size).requests += 1
        if self._concurrent_reads >= _MAX_CONCURRENT_READS:
            return NO_COPY
        entry = self.store.find(key)
        if entry is None:
            self.counters.misses += 1
            return NO_COPY
        if self._may_miss_purges(now):
            self.counters.unconfirmed += 1
            return NO_COPY
        return max(0, (self.context.unix_ms() - entry.produced_at) * _TICKS_PER_MS)

    def _may_miss_purges(self, now: int) -> bool:
        """Returns whether discovery has been silent for so long that a purge may be due and not known."""
        return self.context.follows_discovery and now > self._discovery_seen_at + _MAX_DISCOVERY_SILENCE

    def should_store(self, now: int, request: interface.RequestReceived) -> bool:
        """Returns whether to store the answer to a request.

        Returns False without asking admission if the disk or the write queue is full.
        """
        if self.store.pending_bytes > _MAX_PENDING_BYTES or self.store.is_full:
            return False
        size = self._body_sizes.estimate(request.size) or 1
        is_admitted = self.admission.should_store(now, PartKey(request.object_id, request.part), size)
        self.counters.rejected += not is_admitted
        return is_admitted

    # Called by the director

    async def read(self, request: interface.RequestReceived) -> Copy | None:
        """Returns the verified copy for a request, or None if there is none that can be read in time."""
        key = PartKey(request.object_id, request.part)
        copy: Copy | None = None
        self._concurrent_reads += 1
        try:
            with anyio.move_on_after(self.config.read_timeout / TICKS_PER_SECOND) as scope:
                copy = await anyio.to_thread.run_sync(
                    self.store.get, key, limiter=self._read_limiter, abandon_on_cancel=True
                )
            if scope.cancelled_caught:
                self.counters.slow_reads += 1
                copy = None
        finally:
            self._concurrent_reads -= 1
        if copy is None:
            self.counters.misses += 1
        else:
            self.counters.hits += 1
            self._hit_count(request, self._body_sizes.estimate(request.size)).hits += 1
        # a read that returns no copy counts as late, which shrinks the budgets of background jobs
        self.context.runner.report_latency(copy is None)
        return copy

    def store_copy(self, request: interface.RequestReceived, tag: str, produced_at: int, body: bytes) -> None:
        """Queues a copy to be written to the disk.

        Args:
            request: the request whose answer is stored.
            tag: the validator of the body.
            produced_at: time at which the origin produced the body, in Unix milliseconds.
            body: the complete body.
        """
        self._body_sizes.record(request.size, len(body))
        key = PartKey(request.object_id, request.part)
        if self._pending_produced_at.get(key, 0) >= produced_at:
            return  # this copy or a newer one is already queued
        previous = self.store.find(key)
        if self.store.put(key, request.group, Copy(tag.encode(), produced_at, body)):
            self._pending_produced_at[key] = produced_at
            if previous is not None:
                self.admission.record_removed(key, previous.body_size)
            self.admission.record_stored(key, len(body))
            self.counters.stored += 1
            self._stored_bytes += len(body)
            self._write_needed.set()

    def on_purge(self, object_id: int | None, group: int, unix_ms: int) -> None:
        """Invalidates copies of an object, or of the whole group, that were produced up to a time."""
        self.store.purge(object_id, group, unix_ms)
        self._write_needed.set()

    def on_discovery_progress(self, unix_ms: int) -> None:
        """Records that the discovery stream has delivered all purges up to a time.

        The time is not written for calls within `_PROGRESS_INTERVAL_MS` of the last record, to limit writes.
        """
        self._discovery_seen_at = self.context.now()
        if unix_ms >= self._progress_recorded_at + _PROGRESS_INTERVAL_MS:
            self._progress_recorded_at = unix_ms
            self.store.record_discovery_progress(unix_ms)
            self._write_needed.set()

    async def run(self) -> None:
        """Writes queued records and submits maintenance jobs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._schedule_maintenance)
            while True:
                await self._write_needed.wait()
                self._write_needed = anyio.Event()
                written_keys = list(self._pending_produced_at)
                await anyio.to_thread.run_sync(self.write_pending, limiter=self._write_limiter)
                for key in written_keys:
                    self._pending_produced_at.pop(key, None)
                await anyio.sleep(_WRITE_INTERVAL)

    def write_pending(self) -> None:
        """Writes the queued records and makes them durable.

        Raises:
            OSError: the write or the sync failed.
        """
        self.store.flush()
        self.store.sync()

    def close(self) -> None:
        """Closes the store and writes the status file a last time."""
        self.store.close()
        self._write_status()

    def status(self) -> dict[str, Any]:
        """Returns the tier's statistics by their keys in the status output."""
        written = self.store.counters.get(StoreCounter.BYTES_WRITTEN, 0)
        return {
            **self.store.status(),
            "hits": self.counters.hits,
            "misses": self.counters.misses,
            "slow": self.counters.slow_reads,
            "kept": self.counters.stored,
            "refused": self.counters.rejected,
            "unconfirmed": self.counters.unconfirmed,
            "recovery_ms": self._recovery_ms,
            "written_for_kept": round(written / self._stored_bytes, 3) if self._stored_bytes else None,
            "hit_share": {
                f"vhost {hit_count_key.class_index}, under {1 << hit_count_key.size_class} bytes": round(
                    count.hits / count.requests, 4
                )
                for hit_count_key, count in sorted(self._hit_counts.items())
            },
            "admission": {reason.value: count for reason, count in self.admission.rejections.items()},
        }

    def _open_store(self, directory: StoreDirectory) -> Store:
        config, context = self.config, self.context
        purge_retention_ms = context.deployment.purge_retention // _TICKS_PER_MS
        limits = StoreLimits(config.capacity, config.segment_size, config.max_entries, purge_retention_ms)
        return Store(directory, context.director_name.encode(), limits, context.unix_ms)

    def _open_admission(self) -> Admission:
        """Returns an admission that has counted the copies in the store."""
        config = self.config
        write_rate = float(config.write or 0)
        policy = AdmissionPolicy(
            capacity=int(config.capacity * _ADMITTED_SHARE),
            table_size=min(_MAX_RANKED_PARTS, config.max_entries),
            object_share=config.object_share,
            class_share=config.class_share,
            write_rate=write_rate,
            write_burst=_WRITE_BURST_SECONDS * write_rate,
        )
        admission = Admission(policy)
        for entry in self.store.index.entries():
            admission.record_stored(entry.key, entry.body_size)
        return admission

    def _hit_count(self, request: interface.RequestReceived, size: int) -> _HitCount:
        hit_count_key = _HitCountKey(request.class_index, size_class(size))
        return self._hit_counts.setdefault(hit_count_key, _HitCount())

    # Maintenance

    async def _schedule_maintenance(self) -> None:
        checkpointed_at = scrubbed_at = status_written_at = self.context.now()
        while True:
            await anyio.sleep(_WRITE_INTERVAL)
            now = self.context.now()
            runner = self.context.runner
            if self.store.needs_compaction():
                runner.submit(Job("compact", _COMPACTION_PRIORITY), self._compact)
            if now - checkpointed_at > _CHECKPOINT_INTERVAL * TICKS_PER_SECOND:
                checkpointed_at = now
                deadline = now + _CHECKPOINT_DEADLINE * TICKS_PER_SECOND
                job = Job("checkpoint", _CHECKPOINT_PRIORITY, deadline=deadline)
                runner.submit(job, self._checkpoint)
            if now - status_written_at > _STATUS_INTERVAL * TICKS_PER_SECOND:
                status_written_at = now
                await anyio.to_thread.run_sync(self._write_status, limiter=self._write_limiter)
            if now - scrubbed_at > _SCRUB_INTERVAL * TICKS_PER_SECOND:
                scrubbed_at = now
                runner.submit(Job("scrub", _SCRUB_PRIORITY), self._scrub)

    def _compact(self) -> Iterator[int]:
        """Compacts one segment and evicts the copies in it that rank too low."""
        segment = self.store.compaction_candidate()
        if segment is None:
            return
        steps = self.store.compact(segment, self._should_retain)
        while True:
            with self._write_lock:
                step_bytes = next(steps, None)
            if step_bytes is None:
                return
            self.admission.record_write(step_bytes)
            yield step_bytes

    def _should_retain(self, entry: IndexEntry) -> bool:
        is_retained = self.admission.should_retain(entry.key)
        if not is_retained:
            self.admission.record_removed(entry.key, entry.body_size)
        return is_retained

    def _checkpoint(self) -> Iterator[int]:
        with self._write_lock:
            size = self.store.checkpoint()
        yield size

    def _scrub(self) -> Iterator[int]:
        for segment in list(self.store.segments):
            yield from self.store.scrub(segment)

    @property
    def _write_lock(self) -> threading.RLock:
        return self.store.write_lock

    def _write_status(self) -> None:
        """Replaces the status file atomically."""
        status_fields = {**self.status(), "jobs": self.context.runner.scheduler.status(self.context.now())}
        try:
            partial = self.path / _PARTIAL_STATUS_FILE
            partial.write_text(json.dumps(status_fields))
            partial.replace(self.path / STATUS_FILE)
        except OSError:
            pass  # the status file is optional, and the store counts a full disk itself
