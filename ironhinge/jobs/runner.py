"""Runs background jobs in threads, slice by slice, as the scheduler decides.

A job is a generator: each `next` runs a slice and yields the bytes of disk that it moved. An exception in one
ends that job alone.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .messages import (
    TICKS_PER_SECOND,
    Budgets,
    CancelRequested,
    Command,
    DiscardJob,
    Event,
    Job,
    JobSubmitted,
    LatencyReported,
    RunSlice,
    SetTimer,
    SliceFinished,
    TimePassed,
)
from .scheduler import JobScheduler

JobFunction: TypeAlias = Callable[[], Iterator[int]]
"""Begins a job; the iterator runs one slice at each step and yields the bytes of disk that it moved."""

MAX_IDLE_SECONDS = 1.0  # between two looks at the budgets where no timer is due sooner
EXHAUSTED = -1  # in place of the bytes of a slice where the job has no further one


@dataclass(slots=True)
class _TimedSlice:
    """One slice, and the CPU time that it used in its thread, also where it raised an exception."""

    slices: Iterator[int]
    cpu_seconds: float = 0.0

    def run(self) -> int:
        """Runs the slice and returns the bytes of disk that it moved, or `EXHAUSTED`."""
        started_at = time.thread_time()
        try:
            return next(self.slices, EXHAUSTED)
        finally:
            self.cpu_seconds = time.thread_time() - started_at


class Runner:
    """Runs the background work of a program; there is one, and all of it is submitted here.

    Attributes:
        plan: The scheduler that decides which job runs.
    """

    def __init__(self, budgets: Budgets, clock: Callable[[], int]) -> None:
        """Makes a runner without jobs; `run` has to be started for any to run.

        Args:
            budgets: What background work may use.
            clock: Returns the present instant, in ticks of a tenth of a millisecond.
        """
        self.scheduler = JobScheduler(budgets, clock())
        self._clock = clock
        self._iterators: dict[str, Iterator[int]] = {}
        self._ready_slices: deque[RunSlice] = deque()
        self._slice_added = anyio.Event()
        self._timer_at = 0
        self._thread_limiter = anyio.CapacityLimiter(max(1, budgets.max_concurrent_slices))

    def submit(self, job: Job, job_function: JobFunction) -> None:
        """Has a job run, unless one of its name has not ended yet."""
        if job.name not in self.scheduler.jobs:
            self._iterators[job.name] = job_function()
            self._handle(JobSubmitted(job))

    def cancel(self, name: str) -> None:
        """Ends a job after the slice that is running, if any."""
        self._handle(CancelRequested(name))

    def report_latency(self, late: bool) -> None:
        """Reports whether a request was late; background work shrinks while requests are."""
        self._handle(LatencyReported(late))

    async def run(self) -> None:
        """Runs jobs until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._start_ready_slices(tasks)
                wait_seconds = self._idle_seconds()
                self._slice_added = anyio.Event()
                with anyio.move_on_after(wait_seconds):
                    await self._slice_added.wait()
                self._handle(TimePassed())

    def _handle(self, event: Event) -> None:
        for command in self.scheduler.handle(self._clock(), event):
            self._execute(command)

    def _execute(self, command: Command) -> None:
        match command:
            case RunSlice():
                self._ready_slices.append(command)
                self._slice_added.set()
            case DiscardJob(name=name):
                self._iterators.pop(name, None)
            case SetTimer(at=at):
                self._timer_at = at

    def _idle_seconds(self) -> float:
        until_timer = max(0.0, (self._timer_at - self._clock()) / TICKS_PER_SECOND)
        return min(MAX_IDLE_SECONDS, until_timer or MAX_IDLE_SECONDS)

    def _start_ready_slices(self, tasks: TaskGroup) -> None:
        while self._ready_slices:
            tasks.start_soon(self._run_slice, self._ready_slices.popleft().name)

    async def _run_slice(self, name: str) -> None:
        iterator = self._iterators.get(name)
        if iterator is None:
            self._handle(SliceFinished(name, 0, 0, exhausted=True))
            return
        timed_slice = _TimedSlice(iterator)
        disk_bytes = EXHAUSTED
        error = ""
        try:
            disk_bytes = await anyio.to_thread.run_sync(
                timed_slice.run, limiter=self._thread_limiter, abandon_on_cancel=True
            )
        except Exception as exception:  # noqa: BLE001 - whatever a job raises ends that job alone
            logger.exception("job_failed name={}", name)
            error = str(exception) or type(exception).__name__
        exhausted = disk_bytes < 0
        if exhausted:
            self._iterators.pop(name, None)
        # A slice always costs some CPU time, also one below the clock's resolution.
        cpu_ticks = int(timed_slice.cpu_seconds * TICKS_PER_SECOND) + 1
        self._handle(SliceFinished(name, max(0, disk_bytes), cpu_ticks, exhausted, error))
