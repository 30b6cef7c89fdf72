"""Budgets: rates, sums per period, shares of directors, and the emergency allowance for diverted fills."""

from random import Random

import pytest

from ironhinge import interface
from ironhinge.traffic.types import AttemptEnded, AttemptStarted, ClockTick

from .helpers import attempt_finished, new_deployment, new_router, request_received
from .traffic_helpers import (
    ENDPOINTS,
    REMOVED,
    SECOND,
    UNIX_MS,
    end_attempt,
    endpoint_in,
    new_ledger,
    transferred_bytes,
    try_fill,
    update_endpoints,
)

RATE = 'r: {rate: "100KB/s", burst: "50KB", begin: "full"}'


def test_rate_and_burst_limit_fills_and_give_the_time_to_wait():
    ledger = new_ledger(RATE)
    waits = [try_fill(ledger, 0, f"r{number}") for number in range(7)]
    assert waits == [0] * 5 + [1001] * 2  # 10 KB at 100 KB per second
    assert try_fill(ledger, 999, "early")
    assert not try_fill(ledger, 1001, "then")
    assert not try_fill(ledger, 0, "own", source_id="p0"), (
        "the budget does not apply to fills from the own hub"
    )


def test_fills_in_flight_are_charged_and_settled_at_their_end():
    ledger = new_ledger(RATE)
    regular = ledger.budgets["r"].regular
    for number in range(5):
        try_fill(ledger, 0, f"r{number}")
    end_attempt(ledger, 0, "r0", cache_status=1)  # a hit, so nothing was filled
    assert not try_fill(ledger, 0, "again")
    end_attempt(ledger, 0, "r1", body_size=20_000)  # more than the size given by the request
    assert regular.buckets[0].level == -10_000
    assert regular.spent == 20_000
    assert regular.outstanding == 40_000


def test_unknown_size_is_charged_as_the_largest_size_seen():
    ledger = new_ledger(RATE)
    try_fill(ledger, 0, "r0", size=0)
    end_attempt(ledger, 0, "r0", body_size=30_000)
    assert try_fill(ledger, 0, "r1", size=0) == 1001, "30 of 50 KB are spent, and another 30 KB are needed"
    assert not try_fill(ledger, 1001, "r2", size=0)
    assert ledger.budgets["r"].regular.outstanding == 30_000


def test_sum_is_paced_over_the_rest_of_its_period():
    ledger = new_ledger('s: {sum: "3600KB", ahead: 0.01}')
    assert try_fill(ledger, 0, "r0")
    assert not try_fill(ledger, 10 * SECOND + 1, "r1")
    fills = 0
    for second in range(3600):
        ledger.handle(second * SECOND, ClockTick(UNIX_MS + second * 1000))
        while not try_fill(ledger, second * SECOND, f"x{fills}"):
            end_attempt(ledger, second * SECOND, f"x{fills}")
            fills += 1
    assert 3_500_000 <= fills * 10_000 + 10_000 <= 3_600_000


def test_fill_of_a_nested_budget_needs_capacity_in_both():
    ledger = new_ledger(
        'all: {rate: "20KB/s", burst: "20KB", begin: "full", ways: ["own-hub", "other-hub"]}\n'
        'far: {rate: "1MB/s", begin: "full", within: "all"}'
    )
    assert not try_fill(ledger, 0, "r0")
    assert not try_fill(ledger, 0, "r1", source_id="p0")
    assert try_fill(ledger, 0, "r2")
    assert try_fill(ledger, 0, "r3", source_id="p0")


def test_concurrent_directors_stay_within_their_shares():
    deployment = new_deployment(router_count=8, local_router_count=2)
    ledgers = [new_ledger(RATE, deployment), new_ledger(RATE, deployment)]
    fills = sum(not try_fill(ledger, 0, f"r{number}") for number in range(20) for ledger in ledgers)
    assert fills == 4  # 2 directors with 25 KB each


def test_refilling_a_purged_group_stays_within_the_budget():
    deployment = new_deployment(direct_to_source=False, router_count=1, local_router_count=1)
    ledger = new_ledger(RATE.replace("{", '{ways: ["own-hub", "other-hub", "origin"], '), deployment)
    router = new_router(deployment, ("c0", "c1", "p0", "p1", "o"))
    router.fill_budget = ledger
    fills = rejected = 0
    for number in range(60):
        request = request_received(f"r{number}", number, size=10.0)
        commands = router.handle(0, request)
        while commands and type(commands[0]) in (interface.SendAttemptWithFill, interface.SendAttempt):
            command = commands[0]
            has_fill = (
                type(command) is interface.SendAttemptWithFill and command.source_id != command.endpoint_id
            )
            source = command.source_id if has_fill else ""
            rank = getattr(command, "admission_rank", 0)
            ledger.handle(0, AttemptStarted(request, command.endpoint_id, source, rank, False))
            if source:
                fills += 1
                break
            ledger.handle(0, AttemptEnded(command.request_id, "miss", 0, None, 1, False))
            number_of_attempt = router.requests[command.request_id].attempt_count - 1
            commands = router.handle(0, attempt_finished(command, "miss", number_of_attempt))
        if commands and type(commands[0]) is interface.RejectRequest:
            rejected += 1
            assert commands[0].retry_after >= 1000, "the retry time is before the budget has capacity"
    assert fills <= 5
    assert rejected >= 55
    assert fills + rejected == 60


def test_ledger_without_budgets_does_not_change_routing():
    plain, with_ledger = new_router(), new_router()
    with_ledger.fill_budget = new_ledger(deployment=new_deployment())
    random, in_flight = Random(5), []
    for step in range(600):
        object_id, class_index = random.randrange(30), random.randrange(4)
        event = request_received(f"r{step}", object_id, class_index, random.choice([50.0, 4000.0]))
        if in_flight and random.random() < 0.5:
            command, number = in_flight.pop(0)
            result = random.choice(["done", "miss", "error", "full"])
            event = attempt_finished(command, result, number, cache_status=random.randrange(6))
        commands = plain.handle(step * 50, event)
        assert with_ledger.handle(step * 50, event) == commands
        in_flight += [
            (command, plain.requests[command.request_id].attempt_count - 1)
            for command in commands
            if type(command) in (interface.SendAttempt, interface.SendAttemptWithFill)
        ]


# Diverted fills

EMERGENCY = 'e: {rate: "10KB/s", burst: "10KB", begin: "full", emergency: {rate: "20KB/s", burst: "30KB"}}'
P0_REMOVED = ENDPOINTS[2]._replace(state=REMOVED)


def is_diverted(ledger, object_id, source_id):
    directory = ledger.directory
    return directory.is_diverted(object_id, source_id, directory.endpoints[source_id])


@pytest.fixture
def ledger():
    return new_ledger(EMERGENCY)


@pytest.fixture
def objects_by_preferred_hub(ledger):
    """Object ids by their preferred hub."""
    objects_by_hub = {"p0": [], "p1": []}
    for object_id in range(200):
        objects_by_hub["p1" if is_diverted(ledger, object_id, "p0") else "p0"].append(object_id)
    return objects_by_hub


def test_fills_diverted_from_a_removed_hub_use_the_emergency_allowance(ledger, objects_by_preferred_hub):
    object_id = objects_by_preferred_hub["p0"][0]
    assert not try_fill(ledger, 0, "r0", object_id=objects_by_preferred_hub["p1"][0])
    assert try_fill(ledger, 0, "r1", object_id=objects_by_preferred_hub["p1"][1]), (
        "a fill from the preferred hub used the emergency allowance"
    )
    update_endpoints(ledger, 0, P0_REMOVED)
    allowed = [not try_fill(ledger, 0, f"f{number}", object_id=object_id) for number in range(6)]
    assert allowed == [True, True, True, False, False, False]
    for number in range(3):
        end_attempt(ledger, 10, f"f{number}")
    assert transferred_bytes(ledger, diverted=True) == 30_000
    assert ledger.budgets["e"].emergency.spent == 30_000
    update_endpoints(ledger, 20, ENDPOINTS[2]._replace(started_at=20))
    assert not is_diverted(ledger, object_id, "p0")
    assert is_diverted(ledger, object_id, "p1"), (
        "fills from other hubs during its slow start count as diverted"
    )


def test_flapping_hub_gets_no_second_allowance(ledger, objects_by_preferred_hub):
    object_id, fills = objects_by_preferred_hub["p0"][0], 0
    for turn in range(20):
        update_endpoints(ledger, turn, P0_REMOVED)
        fills += sum(
            not try_fill(ledger, turn, f"{turn}.{number}", object_id=object_id) for number in range(5)
        )
        update_endpoints(ledger, turn, ENDPOINTS[2]._replace(started_at=turn))
    assert fills <= 4 + 1


def test_number_of_removed_hubs_is_bounded_and_they_expire(ledger):
    for now in range(500):
        hub = endpoint_in(2, f"p{now + 9}")
        update_endpoints(ledger, now, hub)
        update_endpoints(ledger, now, hub._replace(state=REMOVED))
    assert len(ledger.directory.removed_at) <= 10
    assert len(ledger.directory.hubs) <= 12
    ledger.handle(700 * SECOND, ClockTick(UNIX_MS))
    assert not ledger.directory.removed_at
    assert set(ledger.directory.hubs) == {"p0", "p1"}
