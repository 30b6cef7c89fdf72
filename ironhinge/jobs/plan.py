"""Owns the order of background work. One entry point: `Plan.step` takes what happened and tells which job
runs its next slice.

Jobs are cut in slices by whoever wrote them; a slice is charged with what it was after it has run, so a
budget may go into debt by one slice and waits it off. A higher class goes first; within a class the one that
had least for its weight. A job past its deadline goes before all that is not. While reqs are late, all
budgets shrink; they come back slowly.
"""

from __future__ import annotations

from typing import NamedTuple, Union

SECOND = 10_000
LEAST = 1 / 16  # of its budgets that background work always has
SHRINK = 0.5  # of what it had, each time that reqs were late
GROW = 1 / 32  # of the whole, each time that they were not
AGING = 30 * SECOND  # a job that has waited this long rises by a class


class Job(NamedTuple):
    """`priority`: the class, higher goes first. `deadline`: an instant; 0 for none."""

    name: str
    priority: int = 0
    weight: float = 1.0
    deadline: int = 0


class Submitted(NamedTuple):
    job: Job


class Sliced(NamedTuple):
    """A slice has run."""

    name: str
    disk: int  # bytes read and written
    cpu: int  # tenths of a millisecond
    over: bool
    fault: str = ""


class Cancelled(NamedTuple):
    name: str


class Late(NamedTuple):
    """How reqs fare: over what they should take or not."""

    late: bool


class Tick(NamedTuple):
    """Time has passed."""


Event = Union[Submitted, Sliced, Cancelled, Late, Tick]


class Run(NamedTuple):
    name: str


class Stop(NamedTuple):
    """No further slice: it was cancelled."""

    name: str


class Wake(NamedTuple):
    """Nothing can run before that instant."""

    at: int


Doing = Union[Run, Stop, Wake]


class Budgets(NamedTuple):
    disk: float = 8e6  # bytes a second
    cpu: float = 0.1  # of a core
    together: int = 1  # slices that run at once


class Entry:
    def __init__(self, job: Job, now: int, had: float):
        self.job, self.since, self.waits_since = job, now, now
        self.had = had  # cost for its weight, on the scale of its class
        self.running = self.cancelled = False
        self.slices, self.disk, self.cpu = 0, 0, 0


class Plan:
    def __init__(self, budgets: Budgets, now: int):
        self.budgets, self.at = budgets, now
        self.disk, self.cpu = budgets.disk, budgets.cpu * SECOND  # a second's worth to begin with
        self.share = 1.0  # of its budgets that it has now
        self.jobs: dict[str, Entry] = {}
        self.ended: dict[str, str] = {}  # how the latest ones ended, by name
        self.scale: dict[int, float] = {}  # the least that any running job of a class had

    def step(self, now: int, what: Event) -> list[Doing]:
        self._refill(now)
        acts: list[Doing] = []
        if isinstance(what, Submitted):
            if what.job.name not in self.jobs:  # one of a name at a time: it is the same work
                had = self.scale.get(what.job.priority, 0.0)
                self.jobs[what.job.name] = Entry(what.job, now, had)
        elif isinstance(what, Sliced):
            self._sliced(now, what, acts)
        elif isinstance(what, Cancelled):
            entry = self.jobs.get(what.name)
            if entry is not None and entry.running:
                entry.cancelled = True
            elif entry is not None:
                self._end(what.name, "cancelled")
                acts.append(Stop(what.name))
        elif isinstance(what, Late):
            self.share = max(LEAST, self.share * SHRINK) if what.late else min(1.0, self.share + GROW)
        return acts + self._next(now)

    def _refill(self, now: int) -> None:
        span, self.at = max(0, now - self.at), max(now, self.at)
        disk, cpu = self.budgets.disk * self.share, self.budgets.cpu * self.share
        self.disk = min(self.budgets.disk, self.disk + disk * span / SECOND)
        self.cpu = min(self.budgets.cpu * SECOND, self.cpu + cpu * span)

    def _sliced(self, now: int, what: Sliced, acts: list[Doing]) -> None:
        self.disk -= what.disk
        self.cpu -= what.cpu
        entry = self.jobs.get(what.name)
        if entry is None:
            return
        entry.running, entry.waits_since = False, now
        entry.slices, entry.disk, entry.cpu = (
            entry.slices + 1,
            entry.disk + what.disk,
            entry.cpu + what.cpu,
        )
        budgets = self.budgets
        cost = what.disk / budgets.disk + what.cpu / (budgets.cpu * SECOND)
        entry.had += max(cost, 1e-6) / entry.job.weight
        if what.fault:
            self._end(what.name, f"failed: {what.fault}")
        elif what.over:
            self._end(what.name, "done")
        elif entry.cancelled:
            self._end(what.name, "cancelled")
            acts.append(Stop(what.name))

    def _end(self, name: str, how: str) -> None:
        del self.jobs[name]
        self.ended.pop(name, None)
        self.ended[name] = how
        while len(self.ended) > 64:
            del self.ended[next(iter(self.ended))]

    def _next(self, now: int) -> list[Doing]:
        running = sum(entry.running for entry in self.jobs.values())
        acts: list[Doing] = []
        waiting = [entry for entry in self.jobs.values() if not entry.running and not entry.cancelled]
        while waiting and running < self.budgets.together:
            if self.disk <= 0 or self.cpu <= 0:
                lacks = max(
                    -self.disk / (self.budgets.disk * self.share) * SECOND,
                    -self.cpu / (self.budgets.cpu * self.share),
                )
                acts.append(Wake(now + int(lacks) + 1))
                break
            entry = min(waiting, key=lambda one: self._order(now, one))
            waiting.remove(entry)
            entry.running = True
            running += 1
            self.scale[entry.job.priority] = entry.had
            acts.append(Run(entry.job.name))
        return acts

    def _order(self, now: int, entry: Entry) -> tuple:
        late = bool(entry.job.deadline and now >= entry.job.deadline)
        rises = (now - entry.waits_since) // AGING
        return (not late, -(entry.job.priority + rises), entry.had, entry.job.name)

    def why(self, now: int, name: str) -> str | None:
        """What a job waits for, in words."""
        entry = self.jobs.get(name)
        if entry is None:
            return self.ended.get(name)
        if entry.running:
            return "running"
        if self.disk <= 0:
            return "waits for the disk budget"
        if self.cpu <= 0:
            return "waits for the CPU budget"
        return "waits for its turn"

    def plain(self, now: int) -> dict[str, object]:
        return {
            "share": round(self.share, 3),
            "disk": int(self.disk),
            "cpu": round(self.cpu / SECOND, 4),
            "jobs": {
                name: {
                    "why": self.why(now, name),
                    "priority": entry.job.priority,
                    "slices": entry.slices,
                    "disk": entry.disk,
                    "cpu_ms": entry.cpu / 10,
                    "waits_ms": (now - entry.waits_since) / 10,
                }
                for name, entry in self.jobs.items()
            },
            "ended": dict(self.ended),
        }
