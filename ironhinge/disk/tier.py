"""The disk tier of one director: reads in threads, writes in one thread, and background maintenance.

The tier never blocks the event loop on the disk and does not decide what is served. A read that exceeds its
timeout is a miss, as is every fault of the disk. What is in flight is bounded: beyond the bounds a copy is
not stored, or not looked up.
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

SWITCH_INTERVAL = 0.0005  # seconds after which a thread of the tier lets the event loop run
_PARTIAL_STATUS_FILE = "status.part"
_READ_THREADS = 4
_MAX_CONCURRENT_READS = 64  # running or waiting for a thread
_MAX_PENDING_BYTES = 8 << 20
_WRITE_INTERVAL = 0.05  # seconds; copies that arrive within it are written together
_PROGRESS_INTERVAL_MS = 2000  # between two records of discovery progress
_CHECKPOINT_INTERVAL = 60.0  # seconds
_CHECKPOINT_DEADLINE = 5  # seconds
_SCRUB_INTERVAL = 600.0  # seconds
_STATUS_INTERVAL = 5.0  # seconds
_ADMITTED_SHARE = 0.95  # of the capacity that admission fills
_MAX_RANKED_PARTS = 65_536
_WRITE_BURST_SECONDS = 4
_TICKS_PER_MS = TICKS_PER_SECOND // 1000
_COMPACTION_PRIORITY, _CHECKPOINT_PRIORITY, _SCRUB_PRIORITY = 2, 1, 0
_INITIAL_BYTES_PER_SIZE_UNIT = 1000.0
_MAX_SIZE_WEIGHT = 1e6  # size units over which the estimate of bytes is averaged
NO_COPY = -1


@dataclass(frozen=True, slots=True)
class TierContext:
    """What a tier needs of the director that it belongs to."""

    director_name: str
    deployment: interface.Deployment
    now: Callable[[], int]  # monotonic, tenths of a millisecond
    unix_ms: Callable[[], int]
    runner: Runner


@dataclass(slots=True)
class TierCounters:
    """What a tier counts."""

    hits: int = 0
    misses: int = 0
    slow_reads: int = 0
    stored: int = 0
    rejected: int = 0


class _HitCountKey(NamedTuple):
    """Requests whose share of hits is reported together."""

    class_index: int
    size_class: int


@dataclass(slots=True)
class _HitCount:
    hits: int = 0
    requests: int = 0


class BodySizeEstimator:
    """Estimates the bytes of a body from the size that a request states in the deployment's unit."""

    def __init__(self) -> None:
        self._bytes_per_unit = _INITIAL_BYTES_PER_SIZE_UNIT
        self._weight = 0.0

    def estimate(self, size: float) -> int:
        """Returns the bytes that a body of that stated size is expected to have."""
        return int(size * self._bytes_per_unit)

    def record(self, size: float, body_size: int) -> None:
        """Learns from a body; one without a stated size says nothing."""
        if not size:
            return
        self._weight = min(self._weight + size, _MAX_SIZE_WEIGHT)
        self._bytes_per_unit += (body_size / size - self._bytes_per_unit) * size / self._weight


class DiskTier:
    """The store as the director and the router see it."""

    def __init__(
        self,
        config: records.Disk,
        context: TierContext,
        open_directory: Callable[[Path], StoreDirectory] = StoreDirectory,
    ):
        """Opens the store and recovers it.

        Raises:
            DiskError: the directory is locked or another installation's.
            OSError: the file system failed.
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
        self._pending_produced_at: dict[PartKey, int] = {}  # Unix ms of copies that wait to be written
        self._progress_recorded_at = 0
        self._recovery_ms = (context.now() - started_at) / _TICKS_PER_MS
        fields = " ".join(f"{name}={value}" for name, value in self.store.status().items())
        logger.info("store_opened {}", fields)

    # Called by the router

    def lookup(self, now: int, request: interface.RequestReceived) -> int:
        """Counts a request; returns the age of its copy, in tenths of a millisecond, or `NO_COPY`."""
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
        return max(0, (self.context.unix_ms() - entry.produced_at) * _TICKS_PER_MS)

    def should_store(self, now: int, request: interface.RequestReceived) -> bool:
        """Returns whether the answer to a request is worth storing."""
        if self.store.pending_bytes > _MAX_PENDING_BYTES or self.store.is_full:
            return False
        size = self._body_sizes.estimate(request.size) or 1
        is_admitted = self.admission.should_store(now, PartKey(request.object_id, request.part), size)
        self.counters.rejected += not is_admitted
        return is_admitted

    # Called by the director

    async def read(self, request: interface.RequestReceived) -> Copy | None:
        """Returns the copy for a request, verified; None is a miss, also where the disk is too slow."""
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
        self.context.runner.report_latency(copy is None)
        return copy

    def store_copy(self, request: interface.RequestReceived, tag: str, produced_at: int, body: bytes) -> None:
        """Queues a copy for the disk.

        Args:
            request: what it answered.
            tag: the validator of the body.
            produced_at: Unix milliseconds at which the origin produced it.
            body: all of it.
        """
        self._body_sizes.record(request.size, len(body))
        key = PartKey(request.object_id, request.part)
        if self._pending_produced_at.get(key, 0) >= produced_at:
            return  # the same copy arrived twice before it was written once
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
        """Voids copies of an object, or of the whole group, that were produced up to then."""
        self.store.purge(object_id, group, unix_ms)
        self._write_needed.set()

    def on_discovery_progress(self, unix_ms: int) -> None:
        """Notes that the discovery stream is current: every purge up to then is known."""
        if unix_ms >= self._progress_recorded_at + _PROGRESS_INTERVAL_MS:
            self._progress_recorded_at = unix_ms
            self.store.record_discovery_progress(unix_ms)
            self._write_needed.set()

    async def run(self) -> None:
        """Writes what is queued and submits maintenance, until it is cancelled."""
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
        """Writes what is queued and makes it durable.

        Raises:
            OSError: the disk failed.
        """
        self.store.flush()
        self.store.sync()

    def close(self) -> None:
        """Closes the store and leaves its last status behind."""
        self.store.close()
        self._write_status()

    def status(self) -> dict[str, Any]:
        """Returns figures for operators, under the names that the status output has."""
        written = self.store.counters.get(StoreCounter.BYTES_WRITTEN, 0)
        return {
            **self.store.status(),
            "hits": self.counters.hits,
            "misses": self.counters.misses,
            "slow": self.counters.slow_reads,
            "kept": self.counters.stored,
            "refused": self.counters.rejected,
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
        """Returns an admission that knows what the store holds."""
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
        """Compacts one segment; copies in it that rank too low are evicted."""
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
        """Replaces the status file in one step."""
        state = {**self.status(), "jobs": self.context.runner.scheduler.status(self.context.now())}
        try:
            partial = self.path / _PARTIAL_STATUS_FILE
            partial.write_text(json.dumps(state))
            partial.replace(self.path / STATUS_FILE)
        except OSError:
            pass  # the store has counted a full disk already
