"""Streams: consecutive requests for the segments of an object, and the budget reserved for them."""

import tracemalloc

import pytest

from ironhinge.traffic.types import ClockTick

from .helpers import new_deployment
from .traffic_helpers import (
    SECOND,
    UNIX_MS,
    end_attempt,
    new_ledger,
    start_attempt,
    transferred_bytes,
    try_fill,
)

STREAMS = 'l: {rate: "100KB/s", burst: "100KB", begin: "full", streams: {part: 0.8, interval: "500ms"}}'
INTERVAL = SECOND // 2


@pytest.fixture
def ledger():
    return new_ledger(STREAMS)


@pytest.fixture
def reservations(ledger):
    return ledger.budgets["l"].reservations


def first_segment(ledger, now, name, viewer, **request):
    return try_fill(ledger, now, name, object_id=viewer, connection_id=viewer + 1, **request)


def run_streams(budgets, per_second, segments=10, seconds=40, body=10):
    """Starts streams at an even rate and fills each segment.

    A client that is refused at the first segment gives up; at a later one it retries twice, 0.1 s apart.
    Returns the share of started streams that were completed, the number started, and the ledger.
    """
    ledger = new_ledger(budgets)
    pending_requests = [
        (int(number * SECOND / per_second), number, 0, 0) for number in range(seconds * per_second)
    ]
    started_count = completed_count = 0
    while pending_requests:
        pending_requests.sort()
        now, viewer, segment, retry_count = pending_requests.pop(0)
        name = f"{viewer}.{segment}.{retry_count}"
        if first_segment(ledger, now, name, viewer, size=float(body), part=segment):
            if segment and retry_count < 2:
                pending_requests.append((now + 1000, viewer, segment, retry_count + 1))
            continue
        end_attempt(ledger, now, name, body_size=body * 1000)
        started_count += segment == 0
        completed_count += segment == segments - 1
        if segment < segments - 1:
            pending_requests.append((now + INTERVAL, viewer, segment + 1, 0))
    return completed_count / started_count, started_count, ledger


def test_started_streams_complete_and_others_are_refused_at_the_first_segment():
    completed_share, started_count, ledger = run_streams(STREAMS, 3)
    without = STREAMS.replace(', streams: {part: 0.8, interval: "500ms"}', "")
    completed_share_without, _, ledger_without = run_streams(without, 3)
    assert completed_share >= 0.97
    assert completed_share_without + 0.03 < 0.97
    assert transferred_bytes(ledger) <= transferred_bytes(ledger_without)
    assert started_count >= 30
    assert transferred_bytes(ledger) <= 100_000 * 45 + 100_000


def test_stream_that_needs_no_fills_for_a_while_stays_open(ledger, reservations):
    try_fill(ledger, 0, "r0", object_id=1, connection_id=1)
    for segment in range(1, 12):
        now = segment * INTERVAL
        start_attempt(ledger, now, f"r{segment}", source_id="", object_id=1, connection_id=1, part=segment)
    assert reservations.stream_count == 1
    ledger.handle(12 * INTERVAL + 4 * SECOND, ClockTick(UNIX_MS))
    assert reservations.stream_count == 0


def test_streams_continue_under_new_settings(ledger, reservations):
    for viewer in range(3):
        first_segment(ledger, 0, f"r{viewer}", viewer)
    new = new_ledger(STREAMS)
    new_reservations = new.budgets["l"].reservations
    new.streams.adopt(ledger.streams, {id(reservations): new_reservations})
    assert new_reservations.stream_count == 3
    assert not try_fill(new, INTERVAL, "next", object_id=1, connection_id=2, part=1)
    new.handle(9 * SECOND, ClockTick(UNIX_MS))
    assert (new_reservations.stream_count, new_reservations.rate) == (0, 0)


def test_reservations_are_released_when_streams_stop(ledger, reservations):
    for viewer in range(4):
        first_segment(ledger, 0, f"r{viewer}", viewer)
    assert reservations.stream_count == 4
    assert try_fill(ledger, 0, "more", object_id=9, connection_id=9), "80 KB per second are reserved"
    ledger.handle(4 * SECOND, ClockTick(UNIX_MS + 4000))
    found = (reservations.stream_count, reservations.rate, reservations.segment_bytes)
    assert found == (0, 0, 0)
    assert not try_fill(ledger, 4 * SECOND, "then", object_id=9, connection_id=9)


def test_flood_of_first_segments_reserves_only_its_share_and_only_briefly(ledger, reservations):
    for viewer in range(2000):
        first_segment(ledger, viewer, f"f{viewer}", viewer)
        end_attempt(ledger, viewer, f"f{viewer}", cache_status=1)
    assert reservations.rate <= 1.01 * reservations.max_rate
    assert reservations.reserved_bytes() <= reservations.max_bytes
    wait_time = try_fill(ledger, 2000, "card", class_index=0, object_id=5000, connection_id=9999)
    assert not wait_time or reservations.stream_count <= 4
    ledger.handle(2 * SECOND, ClockTick(UNIX_MS + 2000))
    assert reservations.stream_count == 0


def test_other_fills_leave_capacity_for_next_segments_of_open_streams():
    deployment = new_deployment(router_count=1, local_router_count=1)
    classes = list(deployment.request_classes)
    classes[1] = classes[1]._replace(is_segmented=False)
    deployment = new_deployment(router_count=1, local_router_count=1, request_classes=tuple(classes))
    ledger = new_ledger(STREAMS, deployment)
    for viewer in range(3):
        first_segment(ledger, 0, f"s{viewer}", viewer)
    fills = sum(
        not try_fill(ledger, 0, f"o{index}", class_index=1, object_id=100 + index) for index in range(20)
    )
    assert fills == 4  # 30 of 70 KB are reserved for the next segments
    for viewer in range(3):
        assert not first_segment(ledger, 0, f"t{viewer}", viewer, part=1)


def test_ten_thousand_streams_stay_within_the_memory_limit():
    budgets = 'l: {rate: "10GB/s", burst: "10GB", begin: "full", streams: {}}'
    ledger = new_ledger(budgets, more_settings="most_streams: 10000")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for viewer in range(12_000):
        assert not first_segment(ledger, 0, f"r{viewer}", viewer)
        end_attempt(ledger, 0, f"r{viewer}")
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(ledger.streams) == 10_000
    assert ledger.streams.untracked == 2000
    assert allocated_bytes < 6_000_000, allocated_bytes
