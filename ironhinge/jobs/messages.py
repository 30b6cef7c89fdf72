"""Jobs and budgets, and the events and commands of the scheduler.

Instants and durations are in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
NO_DEADLINE = 0


@dataclass(frozen=True, slots=True)
class Job:
    """A background job; its generator divides the work into slices, see `runner`.

    Attributes:
        name: Identifies the job; two jobs of the same name never run at the same time.
        priority: The priority class; jobs of a higher class run first.
        weight: The job's share of what its class gets, relative to the weights of the other jobs.
        deadline: Instant from which the job is overdue and runs before all jobs that are not overdue;
            `NO_DEADLINE`: it is never overdue.
    """

    name: str
    priority: int = 0
    weight: float = 1.0
    deadline: int = NO_DEADLINE


@dataclass(frozen=True, slots=True)
class Budgets:
    """The resources that all background jobs together may use.

    Attributes:
        disk_bytes_per_second: Bytes read and written per second.
        cpu_cores: CPU time in cores, that is in CPU seconds per second.
        max_concurrent_slices: Number of slices that may run at the same time.
    """

    disk_bytes_per_second: float = 8e6
    cpu_cores: float = 0.1
    max_concurrent_slices: int = 1


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """Event: a job was submitted."""

    job: Job


@dataclass(frozen=True, slots=True)
class SliceFinished:
    """Event: a slice of a job has run.

    Attributes:
        name: The job.
        disk_bytes: Bytes that the slice read and wrote.
        cpu_ticks: CPU time that the slice used.
        exhausted: Whether the job has no further slice.
        error: Why the job failed; empty if it did not fail.
    """

    name: str
    disk_bytes: int
    cpu_ticks: int
    exhausted: bool
    error: str = ""


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """Event: a job was cancelled and must run no further slice."""

    name: str


@dataclass(frozen=True, slots=True)
class LatencyReported:
    """Event: a request was late or in time."""

    late: bool


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Event: time has passed, so that the budgets may allow a slice again."""


Event: TypeAlias = JobSubmitted | SliceFinished | CancelRequested | LatencyReported | TimePassed


@dataclass(frozen=True, slots=True)
class RunSlice:
    """Command: run the next slice of a job, then report `SliceFinished`."""

    name: str


@dataclass(frozen=True, slots=True)
class DiscardJob:
    """Command: discard a cancelled job; it runs no further slice."""

    name: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Command: report `TimePassed` at this instant; the budgets allow no slice before it."""

    at: int


Command: TypeAlias = RunSlice | DiscardJob | SetTimer
