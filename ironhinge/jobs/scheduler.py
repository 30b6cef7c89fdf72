"""The scheduler of background jobs, as a pure state machine: it takes events and returns commands.

The budgets for disk and CPU are token buckets. A slice is charged for what it used after it has run, so a
budget can go into debt by one slice; no slice starts until the debt is repaid. Each late request shrinks the
rate of both budgets, and each request in time raises it again by a smaller step.

Overdue jobs run first, then jobs of the highest priority class; a job rises by one class for each
`AGING_INTERVAL` that it waits. Within a class, the job with the lowest use in relation to its weight runs.

Instants and durations are in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .messages import (
    NO_DEADLINE,
    TICKS_PER_MILLISECOND,
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
)

MIN_SHARE = 1 / 16  # of the budgets, also while all requests are late
SHARE_DECREASE_FACTOR = 0.5  # per late request
SHARE_INCREASE = 1 / 32  # per request that was not late
AGING_INTERVAL = 30 * TICKS_PER_SECOND  # a waiting job rises by one priority class per interval
MIN_SLICE_COST = 1e-6  # seconds of a budget; charged also for a slice that used nothing
MAX_REMEMBERED_OUTCOMES = 64


class JobStatus(StrEnum):
    """What a job does or waits for; the values are shown to operators and are part of the JSON status."""

    RUNNING = "running"
    WAITING_FOR_DISK_BUDGET = "waits for the disk budget"
    WAITING_FOR_CPU_BUDGET = "waits for the CPU budget"
    QUEUED = "waits for its turn"


class JobOutcome(StrEnum):
    """How a job ended; the values are shown to operators and are part of the JSON status.

    The status of a failed job is the value of `FAILED` followed by the error.
    """

    COMPLETED = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(slots=True)
class ScheduledJob:
    """A job that has not ended, and what it has used so far.

    Attributes:
        job: The job.
        waiting_since: When the job was submitted or its latest slice finished.
        virtual_time: The cost of its slices divided by its weight, in seconds of the budgets. It starts at
            the virtual time of the latest job that ran in its class, so that a new job does not run alone
            until it has used as much as the others.
        running: Whether a slice of the job is running.
        cancelled: Whether the job ends after the running slice.
        slices: Number of slices that have run.
        disk_bytes: Bytes that the slices read and wrote.
        cpu_ticks: CPU time that the slices used.
    """

    job: Job
    waiting_since: int
    virtual_time: float
    running: bool = False
    cancelled: bool = False
    slices: int = 0
    disk_bytes: int = 0
    cpu_ticks: int = 0


class JobScheduler:
    """Schedules background jobs; `handle` is the entry point.

    Attributes:
        budgets: The budgets of background jobs while no request is late.
        budget_share: The share of the budgets that background jobs get now, from `MIN_SHARE` to 1.
        jobs: All jobs that have not ended, by name.
        ended: How the latest jobs ended, by name, oldest first.
    """

    def __init__(self, budgets: Budgets, now: int) -> None:
        self.budgets = budgets
        self.budget_share = 1.0
        self.jobs: dict[str, ScheduledJob] = {}
        self.ended: dict[str, str] = {}
        # Both token buckets start full; their capacity is the budget of one second.
        self._disk_tokens = budgets.disk_bytes_per_second
        self._cpu_tokens = budgets.cpu_cores * TICKS_PER_SECOND
        self._refilled_at = now
        # By priority class: the virtual time of the latest job that ran.
        self._class_virtual_time: dict[int, float] = {}

    def handle(self, now: int, event: Event) -> list[Command]:
        """Applies an event at the instant `now` and returns the commands for it, in order."""
        self._refill(now)
        commands: list[Command] = []
        match event:
            case JobSubmitted(job=job):
                self._on_submitted(now, job)
            case SliceFinished():
                commands += self._on_slice_finished(now, event)
            case CancelRequested(name=name):
                commands += self._on_cancel_requested(name)
            case LatencyReported(late=late):
                self._adjust_share(late)
        return commands + self._start_slices(now)

    def status_of(self, name: str) -> str | None:
        """Returns what a job does or waits for, or how it ended; None if the job is unknown."""
        scheduled = self.jobs.get(name)
        if scheduled is None:
            return self.ended.get(name)
        if scheduled.running:
            return JobStatus.RUNNING.value
        if self._disk_tokens <= 0:
            return JobStatus.WAITING_FOR_DISK_BUDGET.value
        if self._cpu_tokens <= 0:
            return JobStatus.WAITING_FOR_CPU_BUDGET.value
        return JobStatus.QUEUED.value

    def status(self, now: int) -> dict[str, object]:
        """Returns the scheduler's state as a JSON object; its keys are part of the status file."""
        return {
            "share": round(self.budget_share, 3),
            "disk": int(self._disk_tokens),
            "cpu": round(self._cpu_tokens / TICKS_PER_SECOND, 4),
            "jobs": {
                name: {
                    "why": self.status_of(name),
                    "priority": scheduled.job.priority,
                    "slices": scheduled.slices,
                    "disk": scheduled.disk_bytes,
                    "cpu_ms": scheduled.cpu_ticks / TICKS_PER_MILLISECOND,
                    "waits_ms": (now - scheduled.waiting_since) / TICKS_PER_MILLISECOND,
                }
                for name, scheduled in self.jobs.items()
            },
            "ended": dict(self.ended),
        }

    def _refill(self, now: int) -> None:
        """Adds the tokens for the time since the last refill, at the current share of the budgets."""
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        disk_rate = self.budgets.disk_bytes_per_second * self.budget_share
        cpu_rate = self.budgets.cpu_cores * self.budget_share
        self._disk_tokens = min(
            self.budgets.disk_bytes_per_second,
            self._disk_tokens + disk_rate * elapsed / TICKS_PER_SECOND,
        )
        self._cpu_tokens = min(
            self.budgets.cpu_cores * TICKS_PER_SECOND,
            self._cpu_tokens + cpu_rate * elapsed,
        )

    def _on_submitted(self, now: int, job: Job) -> None:
        if job.name in self.jobs:
            return  # a job of this name has not ended yet
        virtual_time = self._class_virtual_time.get(job.priority, 0.0)
        self.jobs[job.name] = ScheduledJob(job, now, virtual_time)

    def _on_slice_finished(self, now: int, finished: SliceFinished) -> list[Command]:
        self._disk_tokens -= finished.disk_bytes
        self._cpu_tokens -= finished.cpu_ticks
        scheduled = self.jobs.get(finished.name)
        if scheduled is None:
            return []
        self._charge(scheduled, finished)
        scheduled.running = False
        scheduled.waiting_since = now
        if finished.error:
            self._end(finished.name, f"{JobOutcome.FAILED}: {finished.error}")
        elif finished.exhausted:
            self._end(finished.name, JobOutcome.COMPLETED.value)
        elif scheduled.cancelled:
            return self._cancel(finished.name)
        return []

    def _charge(self, scheduled: ScheduledJob, finished: SliceFinished) -> None:
        """Adds what a slice used to the totals and the virtual time of its job."""
        scheduled.slices += 1
        scheduled.disk_bytes += finished.disk_bytes
        scheduled.cpu_ticks += finished.cpu_ticks
        disk_seconds = finished.disk_bytes / self.budgets.disk_bytes_per_second
        cpu_seconds = finished.cpu_ticks / (self.budgets.cpu_cores * TICKS_PER_SECOND)
        cost = max(disk_seconds + cpu_seconds, MIN_SLICE_COST)
        scheduled.virtual_time += cost / scheduled.job.weight

    def _on_cancel_requested(self, name: str) -> list[Command]:
        scheduled = self.jobs.get(name)
        if scheduled is None:
            return []
        if scheduled.running:
            scheduled.cancelled = True
            return []
        return self._cancel(name)

    def _cancel(self, name: str) -> list[Command]:
        self._end(name, JobOutcome.CANCELLED.value)
        return [DiscardJob(name)]

    def _end(self, name: str, outcome: str) -> None:
        del self.jobs[name]
        self.ended.pop(name, None)
        self.ended[name] = outcome
        while len(self.ended) > MAX_REMEMBERED_OUTCOMES:
            del self.ended[next(iter(self.ended))]

    def _adjust_share(self, late: bool) -> None:
        if late:
            self.budget_share = max(MIN_SHARE, self.budget_share * SHARE_DECREASE_FACTOR)
        else:
            self.budget_share = min(1.0, self.budget_share + SHARE_INCREASE)

    def _start_slices(self, now: int) -> list[Command]:
        commands: list[Command] = []
        running = sum(scheduled.running for scheduled in self.jobs.values())
        waiting = [
            scheduled for scheduled in self.jobs.values() if not scheduled.running and not scheduled.cancelled
        ]
        while waiting and running < self.budgets.max_concurrent_slices:
            if self._disk_tokens <= 0 or self._cpu_tokens <= 0:
                commands.append(SetTimer(now + int(self._ticks_until_repaid()) + 1))
                break
            scheduled = min(waiting, key=lambda candidate: self._sort_key(now, candidate))
            waiting.remove(scheduled)
            scheduled.running = True
            running += 1
            self._class_virtual_time[scheduled.job.priority] = scheduled.virtual_time
            commands.append(RunSlice(scheduled.job.name))
        return commands

    def _ticks_until_repaid(self) -> float:
        """Returns the time until no budget is in debt."""
        disk_rate = self.budgets.disk_bytes_per_second * self.budget_share
        cpu_rate = self.budgets.cpu_cores * self.budget_share
        return max(-self._disk_tokens / disk_rate * TICKS_PER_SECOND, -self._cpu_tokens / cpu_rate)

    def _sort_key(self, now: int, scheduled: ScheduledJob) -> tuple[bool, int, float, str]:
        """Returns the sort key of a job; the job with the lowest key runs first."""
        job = scheduled.job
        overdue = job.deadline != NO_DEADLINE and now >= job.deadline
        priority_boost = (now - scheduled.waiting_since) // AGING_INTERVAL
        return (not overdue, -(job.priority + priority_boost), scheduled.virtual_time, job.name)
