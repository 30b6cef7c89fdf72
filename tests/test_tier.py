"""Background work in its order."""

from ironhinge.jobs.plan import Budgets, Cancelled, Job, Late, Plan, Run, Sliced, Stop, Submitted, Tick, Wake

S = 10_000


def names(acts):
    return [act.name for act in acts if type(act) is Run]


# The plan


def test_a_higher_class_goes_first_and_a_class_shares_by_weight():
    plan = Plan(Budgets(disk=1e6, cpu=1.0), 0)
    plan.step(0, Submitted(Job("low")))
    assert names(plan.step(0, Submitted(Job("high", 2)))) == []  # low runs; a slice is not cut
    assert names(plan.step(0, Sliced("low", 10, 1, False))) == ["high"]
    assert names(plan.step(0, Sliced("high", 10, 1, True))) == ["low"]
    plan.step(0, Sliced("low", 10, 1, True))
    turns = {"one": 0, "two": 0}
    (running,) = names(plan.step(0, Submitted(Job("one", 1, 1.0))))
    plan.step(0, Submitted(Job("two", 1, 3.0)))
    for at in range(1, 400):
        turns[running] += 1
        (running,) = names(plan.step(at * 1000, Sliced(running, 1000, 1, False)))
    assert 2.5 < turns["two"] / turns["one"] < 3.5


def test_budgets_go_into_debt_by_one_slice_and_wait_it_off():
    plan = Plan(Budgets(disk=1000.0, cpu=1.0), 0)
    assert names(plan.step(0, Submitted(Job("a"))))
    acts = plan.step(0, Sliced("a", 3000, 1, False))
    assert acts == [Wake(2 * S + 1)] and plan.why(0, "a") == "waits for the disk budget"
    assert names(plan.step(2 * S, Tick())) == [] and names(plan.step(2 * S + 20, Tick())) == ["a"]


def test_late_reqs_shrink_background_work_and_it_comes_back():
    plan = Plan(Budgets(disk=1000.0, cpu=1.0), 0)
    for _ in range(10):
        plan.step(0, Late(True))
    assert plan.share == 1 / 16
    for _ in range(100):
        plan.step(0, Late(False))
    assert plan.share == 1.0


def test_deadlines_and_waiting_overtake_classes():
    plan = Plan(Budgets(), 0)
    plan.step(0, Submitted(Job("busy", 5)))
    plan.step(0, Submitted(Job("late", 0, deadline=S)))
    plan.step(0, Submitted(Job("old", 4)))
    assert names(plan.step(0, Sliced("busy", 1, 1, False))) == ["busy"]
    assert names(plan.step(2 * S, Sliced("busy", 1, 1, False))) == ["late"]
    plan.step(2 * S, Sliced("late", 1, 1, True))
    assert names(plan.step(70 * S, Sliced("busy", 1, 1, False))) == ["old"], "it has waited long"


def test_jobs_end_once_and_by_name():
    plan = Plan(Budgets(), 0)
    plan.step(0, Submitted(Job("a")))
    plan.step(0, Submitted(Job("a")))
    plan.step(0, Submitted(Job("b")))
    assert plan.step(0, Cancelled("b"))[0] == Stop("b")
    assert plan.step(0, Cancelled("a")) == []
    assert Stop("a") in plan.step(0, Sliced("a", 1, 1, False))
    plan.step(0, Submitted(Job("c")))
    plan.step(0, Sliced("c", 0, 0, False, "it broke"))
    assert plan.ended == {"b": "cancelled", "a": "cancelled", "c": "failed: it broke"} and not plan.jobs
