"""Jobs and budgets, and the events and commands of the scheduler.

Instants and spans are in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
NO_DEADLINE = 0


@dataclass(frozen=True, slots=True)
class Job:
    """A piece of background work, cut into slices by whoever wrote it.

    Attributes:
        name: Identifies it; one job of a name runs at a time.
        priority: Its priority class; a higher class goes first.
        weight: Its part of what its class gets.
        deadline: The instant from which it goes before all jobs that are not late; `NO_DEADLINE` for none.
    """

    name: str
    priority: int = 0
    weight: float = 1.0
    deadline: int = NO_DEADLINE


@dataclass(frozen=True, slots=True)
class Budgets:
    """What background work may use.

    Attributes:
        disk_bytes_per_second: Bytes read and written in a second.
        cpu_cores: CPU time in cores.
        max_concurrent_slices: Slices that may run at once.
    """

    disk_bytes_per_second: float = 8e6
    cpu_cores: float = 0.1
    max_concurrent_slices: int = 1


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """Event: a job is to be run."""

    job: Job


@dataclass(frozen=True, slots=True)
class SliceFinished:
    """Event: a slice of a job has run.

    Attributes:
        name: The job.
        disk_bytes: Bytes that the slice read and wrote.
        cpu_ticks: CPU time that it used.
        exhausted: Whether it was the job's last slice.
        error: Why the job failed; empty if it did not.
    """

    name: str
    disk_bytes: int
    cpu_ticks: int
    exhausted: bool
    error: str = ""


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """Event: a job is to run no further slice."""

    name: str


@dataclass(frozen=True, slots=True)
class LatencyReported:
    """Event: a request was late, or was not."""

    late: bool


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Event: nothing happened, but budgets may allow a slice again."""


Event: TypeAlias = JobSubmitted | SliceFinished | CancelRequested | LatencyReported | TimePassed


@dataclass(frozen=True, slots=True)
class RunSlice:
    """Command: run the next slice of a job, then report `SliceFinished`."""

    name: str


@dataclass(frozen=True, slots=True)
class DiscardJob:
    """Command: drop a job that was cancelled; it runs no further slice."""

    name: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Command: report `TimePassed` at that instant, as no slice may run before."""

    at: int


Command: TypeAlias = RunSlice | DiscardJob | SetTimer
