"""Owns the threads in which background work runs, slice by slice, as the plan says. It must never decide an
order.

A job is a generator: each `next` is a slice and yields the bytes of disk that it moved. A fault in one ends
that job alone.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .plan import Budgets, Cancelled, Doing, Event, Job, Late, Plan, Run, Sliced, Stop, Submitted, Tick, Wake

Work = Callable[[], Iterator[int]]
IDLE = 1.0  # seconds between two looks where nothing is known to come sooner


class Runner:
    """One a program; whoever has background work submits it here."""

    def __init__(self, budgets: Budgets, now: Callable[[], int]):
        self.now, self.plan = now, Plan(budgets, now())
        self.work: dict[str, Iterator[int]] = {}
        self.wake_at = 0
        self.threads = anyio.CapacityLimiter(max(1, budgets.together))
        self.todo: list[Run] = []
        self.news = anyio.Event()

    def submit(self, job: Job, work: Work) -> None:
        if job.name not in self.plan.jobs:
            self.work[job.name] = work()
            self._tell(Submitted(job))

    def cancel(self, name: str) -> None:
        self._tell(Cancelled(name))

    def late(self, late: bool) -> None:
        self._tell(Late(late))

    def _tell(self, what: Event) -> None:
        self._do(self.plan.step(self.now(), what))

    def _do(self, acts: list[Doing]) -> None:
        for act in acts:
            if isinstance(act, Run):
                self.todo.append(act)
                self.news.set()
            elif isinstance(act, Stop):
                self.work.pop(act.name, None)
            elif isinstance(act, Wake):
                self.wake_at = act.at

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                self._start(tasks)
                wait = min(IDLE, max(0.0, (self.wake_at - self.now()) / 10_000) or IDLE)
                self.news = anyio.Event()
                if not self.todo:
                    with anyio.move_on_after(wait):
                        await self.news.wait()
                    self._tell(Tick())

    def _start(self, tasks: TaskGroup) -> None:
        while self.todo:
            tasks.start_soon(self._slice, self.todo.pop(0).name)

    async def _slice(self, name: str) -> None:
        work, began, cpu = self.work.get(name), time.thread_time(), 0.0
        if work is None:
            return self._tell(Sliced(name, 0, 0, True))

        def once() -> int:
            nonlocal began, cpu
            began = time.thread_time()
            try:
                return next(work, -1)
            finally:
                cpu = time.thread_time() - began

        disk, fault = -1, ""
        try:
            disk = await anyio.to_thread.run_sync(once, limiter=self.threads, abandon_on_cancel=True)
        except Exception as found:
            logger.exception("the job {} failed", name)
            fault = str(found) or type(found).__name__
        over = disk < 0
        if over:
            self.work.pop(name, None)
        self._tell(Sliced(name, max(0, disk), int(cpu * 10_000) + 1, over, fault))
