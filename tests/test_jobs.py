"""The scheduling of background jobs: classes, weights, budgets, deadlines and the end of jobs."""

import json

import anyio
import pytest
from click.testing import CliRunner

from ironhinge.jobs.cli import jobs
from ironhinge.jobs.messages import (
    TICKS_PER_SECOND,
    Budgets,
    CancelRequested,
    DiscardJob,
    Job,
    JobSubmitted,
    LatencyReported,
    RunSlice,
    SetTimer,
    SliceFinished,
    TimePassed,
)
from ironhinge.jobs.runner import Runner
from ironhinge.jobs.scheduler import JobScheduler


def started(commands):
    """Returns the names of the jobs whose next slices the commands start."""
    return [command.name for command in commands if type(command) is RunSlice]


@pytest.fixture
def scheduler(request):
    return JobScheduler(getattr(request, "param", Budgets()), 0)


def with_budgets(disk_bytes_per_second):
    budgets = Budgets(disk_bytes_per_second=disk_bytes_per_second, cpu_cores=1.0)
    return pytest.mark.parametrize("scheduler", [budgets], indirect=True)


@with_budgets(1e6)
def test_higher_class_runs_first_and_jobs_of_one_class_share_by_weight(scheduler):
    scheduler.handle(0, JobSubmitted(Job("low")))
    assert started(scheduler.handle(0, JobSubmitted(Job("high", 2)))) == [], "a running slice was interrupted"
    assert started(scheduler.handle(0, SliceFinished("low", 10, 1, False))) == ["high"]
    assert started(scheduler.handle(0, SliceFinished("high", 10, 1, True))) == ["low"]
    scheduler.handle(0, SliceFinished("low", 10, 1, True))
    slices = {"one": 0, "two": 0}
    (running,) = started(scheduler.handle(0, JobSubmitted(Job("one", 1, 1.0))))
    scheduler.handle(0, JobSubmitted(Job("two", 1, 3.0)))
    for at in range(1, 400):
        slices[running] += 1
        (running,) = started(scheduler.handle(at * 1000, SliceFinished(running, 1000, 1, False)))
    assert 2.5 < slices["two"] / slices["one"] < 3.5


@with_budgets(1000.0)
def test_one_slice_may_overdraw_a_budget_and_the_next_waits(scheduler):
    assert started(scheduler.handle(0, JobSubmitted(Job("a"))))
    commands = scheduler.handle(0, SliceFinished("a", 3000, 1, False))
    assert commands == [SetTimer(2 * TICKS_PER_SECOND + 1)]
    assert scheduler.status_of("a") == "waits for the disk budget"
    assert started(scheduler.handle(2 * TICKS_PER_SECOND, TimePassed())) == []
    assert started(scheduler.handle(2 * TICKS_PER_SECOND + 20, TimePassed())) == ["a"]


@with_budgets(1000.0)
def test_late_requests_reduce_the_budget_share_until_latency_recovers(scheduler):
    for _ in range(10):
        scheduler.handle(0, LatencyReported(True))
    assert scheduler.budget_share == 1 / 16
    for _ in range(100):
        scheduler.handle(0, LatencyReported(False))
    assert scheduler.budget_share == 1.0


def test_deadlines_and_aging_override_classes(scheduler):
    scheduler.handle(0, JobSubmitted(Job("busy", 5)))
    scheduler.handle(0, JobSubmitted(Job("late", 0, deadline=TICKS_PER_SECOND)))
    scheduler.handle(0, JobSubmitted(Job("old", 4)))
    assert started(scheduler.handle(0, SliceFinished("busy", 1, 1, False))) == ["busy"]
    assert started(scheduler.handle(2 * TICKS_PER_SECOND, SliceFinished("busy", 1, 1, False))) == ["late"]
    scheduler.handle(2 * TICKS_PER_SECOND, SliceFinished("late", 1, 1, True))
    commands = scheduler.handle(70 * TICKS_PER_SECOND, SliceFinished("busy", 1, 1, False))
    assert started(commands) == ["old"], "aging did not raise the class of a job that waited long"


def test_each_job_name_ends_once_with_its_reason(scheduler):
    scheduler.handle(0, JobSubmitted(Job("a")))
    scheduler.handle(0, JobSubmitted(Job("a")))
    scheduler.handle(0, JobSubmitted(Job("b")))
    assert scheduler.handle(0, CancelRequested("b"))[0] == DiscardJob("b")
    assert scheduler.handle(0, CancelRequested("a")) == []
    assert DiscardJob("a") in scheduler.handle(0, SliceFinished("a", 1, 1, False))
    scheduler.handle(0, JobSubmitted(Job("c")))
    scheduler.handle(0, SliceFinished("c", 0, 0, False, "it broke"))
    assert scheduler.ended == {"b": "cancelled", "a": "cancelled", "c": "failed: it broke"}
    assert not scheduler.jobs


def test_failing_job_does_not_end_the_other_jobs():
    ran = []

    def succeeding():
        for number in range(3):
            ran.append(number)
            yield 10

    def failing():
        yield 1
        raise OSError("the disk is full")

    async def run_jobs():
        runner = Runner(Budgets(), lambda: 0)
        runner.submit(Job("failing", 1), failing)
        runner.submit(Job("good"), succeeding)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            with anyio.fail_after(10):
                while len(runner.scheduler.ended) < 2:  # noqa: ASYNC110 - no event at the end of a job
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return runner.scheduler.ended

    assert anyio.run(run_jobs) == {"failing": "failed: the disk is full", "good": "done"}
    assert ran == [0, 1, 2]


@pytest.fixture
def status(scheduler):
    scheduler.handle(0, JobSubmitted(Job("compact", 2)))
    scheduler.handle(0, JobSubmitted(Job("scrub")))
    scheduler.handle(0, SliceFinished("compact", 100, 10, True))
    return scheduler.status(10)


def test_status_has_its_documented_form(status):
    assert status == {
        "share": 1.0,
        "disk": 7999900,
        "cpu": 0.099,
        "jobs": {
            "scrub": {
                "why": "running",
                "priority": 0,
                "slices": 0,
                "disk": 0,
                "cpu_ms": 0.0,
                "waits_ms": 1.0,
            }
        },
        "ended": {"compact": "done"},
    }


def test_command_shows_the_status_that_a_director_wrote(tmp_path, status):
    (tmp_path / "status.json").write_text(json.dumps({"jobs": status}))
    shown = CliRunner().invoke(jobs, [str(tmp_path), "--json"])
    assert json.loads(shown.output) == status
    table = CliRunner().invoke(jobs, [str(tmp_path)])
    assert table.output.splitlines() == [
        "budget share 100%; 7999900 bytes of the disk budget available",
        "scrub          running                      class 0  0 slices, 0 bytes",
        "compact        done",
    ]
