"""Runs background jobs in threads, slice by slice, in the scheduler's order.

A job is a generator: each `next` runs one slice and yields the number of bytes that the slice read from and
wrote to disk. An exception in a slice ends that job only.
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
"""Starts a job; each step of the iterator runs a slice and yields the disk bytes that it read and wrote."""

MAX_IDLE_SECONDS = 1.0  # longest interval between two `TimePassed` events; a timer can shorten it
EXHAUSTED = -1  # in place of the disk bytes: the job has no further slice


@dataclass(slots=True)
class _TimedSlice:
    """One slice and the CPU time that it used in its thread, measured also if it raises an exception."""

    slices: Iterator[int]
    cpu_seconds: float = 0.0

    def run(self) -> int:
        """Runs the slice and returns the disk bytes that it read and wrote, or `EXHAUSTED`."""
        started_at = time.thread_time()
        try:
            return next(self.slices, EXHAUSTED)
        finally:
            self.cpu_seconds = time.thread_time() - started_at


class Runner:
    """Runs the background jobs of the process; there is one runner per process.

    Attributes:
        scheduler: Selects the job that runs.
    """

    def __init__(self, budgets: Budgets, clock: Callable[[], int]) -> None:
        """Creates a runner without jobs; submitted jobs run only while `run` is running.

        Args:
            budgets: The resources that background jobs may use.
            clock: Returns the current instant, in ticks of a tenth of a millisecond.
        """
        self.scheduler = JobScheduler(budgets, clock())
        self._clock = clock
        self._iterators: dict[str, Iterator[int]] = {}
        self._ready_slices: deque[RunSlice] = deque()
        self._slice_added = anyio.Event()
        self._timer_at = 0  # instant of the latest `SetTimer`
        self._thread_limiter = anyio.CapacityLimiter(max(1, budgets.max_concurrent_slices))

    def submit(self, job: Job, job_function: JobFunction) -> None:
        """Submits a job; ignored if a job of the same name has not ended yet."""
        if job.name not in self.scheduler.jobs:
            self._iterators[job.name] = job_function()
            self._handle(JobSubmitted(job))

    def cancel(self, name: str) -> None:
        """Cancels a job; a slice that is running finishes first."""
        self._handle(CancelRequested(name))

    def report_latency(self, late: bool) -> None:
        """Reports whether a request was late; late requests shrink the budgets of background jobs."""
        self._handle(LatencyReported(late))

    async def run(self) -> None:
        """Runs jobs until it is cancelled; slices that still run in threads are abandoned then."""
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
        """Returns how long to wait: until the timer, or `MAX_IDLE_SECONDS` if it is later or has passed."""
        until_timer = max(0.0, (self._timer_at - self._clock()) / TICKS_PER_SECOND)
        return min(MAX_IDLE_SECONDS, until_timer or MAX_IDLE_SECONDS)

    def _start_ready_slices(self, tasks: TaskGroup) -> None:
        while self._ready_slices:
            tasks.start_soon(self._run_slice, self._ready_slices.popleft().name)

    async def _run_slice(self, name: str) -> None:
        """Runs the next slice of a job in a thread and reports it to the scheduler as finished.

        A job without an iterator has no further slice.
        """
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
        except Exception as exception:  # noqa: BLE001 - an exception in a job ends that job only
            logger.exception("job_failed name={}", name)
            error = str(exception) or type(exception).__name__
        exhausted = disk_bytes < 0
        if exhausted:
            self._iterators.pop(name, None)
        # Each slice is charged at least one tick, as its CPU time may be below the clock's resolution.
        cpu_ticks = int(timed_slice.cpu_seconds * TICKS_PER_SECOND) + 1
        self._handle(SliceFinished(name, max(0, disk_bytes), cpu_ticks, exhausted, error))
