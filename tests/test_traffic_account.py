"""The account of transfers: bytes booked when attempts end, and their totals in reports and metrics."""

from urllib.request import urlopen

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironhinge.settings import records
from ironhinge.traffic import ledger_state
from ironhinge.traffic.account import MAX_KINDS, Account, TransferAmount
from ironhinge.traffic.labels import DIMENSIONS
from ironhinge.traffic.metrics import MetricsExporter
from ironhinge.traffic.report import collect
from ironhinge.traffic.snapshot import Snapshot
from ironhinge.traffic.types import Outcome, Route, TransferKind

from .helpers import free_port
from .traffic_helpers import (
    HOUR_MS,
    UNIX_MS,
    end_attempt,
    new_ledger,
    start_attempt,
    transferred_bytes,
    try_fill,
)

TRAINING_FILLS = 30


@pytest.fixture
def trained_ledger():
    """A ledger that has recorded fills of 10 KB that took 10 ms each."""
    ledger = new_ledger()
    for number in range(TRAINING_FILLS):
        start_attempt(ledger, 0, f"w{number}")
        end_attempt(ledger, 100, f"w{number}")
    return ledger


def test_fill_is_booked_under_the_route_of_its_source():
    ledger = new_ledger()
    for name, source in (("r0", "p0"), ("r1", "p1"), ("r2", "o")):
        start_attempt(ledger, 0, name, source)
        end_attempt(ledger, 10, name)
    assert [transferred_bytes(ledger, route=route) for route in Route] == [10_000, 10_000, 10_000, 0]
    assert transferred_bytes(ledger, outcome=Outcome.STORED) == 30_000


@pytest.mark.parametrize(
    ("ending", "booked_bytes", "estimated_bytes"),
    [
        pytest.param({"cache_status": 1}, 0, 0, id="hit"),
        pytest.param({"cache_status": 4}, 0, 0, id="joined: booked for the attempt that started the fill"),
        pytest.param({"cache_status": 3}, 10_000, 0, id="filled from the origin"),
        pytest.param(
            {"cache_status": 2, "body_size": None},
            10_000,
            10_000,
            id="not modified: the size is estimated",
        ),
        pytest.param({"result": "miss", "cache_status": 0, "body_size": None}, 0, 0, id="miss"),
        pytest.param({"result": "full", "cache_status": 9, "body_size": None}, 0, 0, id="rejected"),
        pytest.param(
            {"result": "unconnected", "cache_status": 0, "body_size": None}, 0, 0, id="not connected"
        ),
        pytest.param(
            {"result": "error", "cache_status": 6, "body_size": None}, 0, 0, id="rejected by the source"
        ),
        pytest.param(
            {"result": "timeout", "cache_status": 0, "body_size": None, "duration": 50},
            5_000,
            5_000,
            id="timed out at half of the usual time",
        ),
        pytest.param(
            {"result": "reset", "cache_status": 0, "body_size": None, "duration": 5000},
            10_000,
            10_000,
            id="reset late",
        ),
        pytest.param(
            {
                "result": "cancelled",
                "cache_status": 0,
                "body_size": None,
                "duration": 25,
                "request_closed": True,
            },
            2_500,
            2_500,
            id="cancelled at a quarter of the usual time",
        ),
    ],
)
def test_each_attempt_result_books_its_known_or_estimated_bytes(
    trained_ledger, ending, booked_bytes, estimated_bytes
):
    before = transferred_bytes(trained_ledger)
    start_attempt(trained_ledger, 200, "r")
    end_attempt(trained_ledger, 300, "r", **ending)
    records_found = trained_ledger.account.transfers("period")
    assert transferred_bytes(trained_ledger) - before == booked_bytes
    assert sum(record.estimated for record in records_found) == estimated_bytes
    assert not trained_ledger.attempts


def test_no_bytes_are_booked_for_an_unresponsive_or_unavailable_source(trained_ledger):
    before = transferred_bytes(trained_ledger)
    start_attempt(trained_ledger, 200, "r0")
    start_attempt(trained_ledger, 300, "r1")
    end_attempt(trained_ledger, 15_000, "r0", "timeout", 0, None, 14_800)
    assert transferred_bytes(trained_ledger) == before
    end_attempt(trained_ledger, 15_000, "r1", "error", 7, None, 3)
    assert transferred_bytes(trained_ledger) == before
    # a source that delivers to another request is only slow, so that its timeout books an estimate
    start_attempt(trained_ledger, 16_000, "slow")
    start_attempt(trained_ledger, 16_001, "beside")
    end_attempt(trained_ledger, 16_100, "beside")
    end_attempt(trained_ledger, 31_000, "slow", "timeout", 0, None, 15_000)
    assert transferred_bytes(trained_ledger) == before + 20_000


def test_no_bytes_are_estimated_before_the_first_answer():
    ledger = new_ledger()
    start_attempt(ledger, 0, "r", size=100.0)
    end_attempt(ledger, 50, "r", "cancelled", 0, None, 50, True)
    assert transferred_bytes(ledger) == 0


def test_wasted_repeated_revalidated_and_passed_through_bytes_are_booked_separately():
    ledger = new_ledger()
    start_attempt(ledger, 0, "first", source_id="p0")
    end_attempt(ledger, 0, "first", duration=90)
    start_attempt(ledger, 0, "r", admission_rank=0)
    end_attempt(ledger, 5, "r", "timeout", 0, None, 100)
    start_attempt(ledger, 10, "r")
    end_attempt(ledger, 20, "r")
    assert transferred_bytes(ledger, outcome=Outcome.WASTED) == 10_000
    assert transferred_bytes(ledger, outcome=Outcome.REPEATED) == 10_000
    start_attempt(ledger, 30, "old", revalidates=True)
    end_attempt(ledger, 40, "old", cache_status=5)
    assert transferred_bytes(ledger, outcome=Outcome.WASTED) == 20_000
    start_attempt(ledger, 50, "by", source_id="", endpoint_id="p1")  # bypasses the caches
    end_attempt(ledger, 60, "by")
    assert transferred_bytes(ledger, outcome=Outcome.PASSED_THROUGH) == 10_000
    assert not ledger.requests_with_transfers


def test_bytes_that_hubs_fill_from_the_origin_are_booked_separately():
    ledger = new_ledger()
    start_attempt(ledger, 0, "r")
    end_attempt(ledger, 10, "r", cache_status=3)
    records_found = [
        (record.transferred, record.from_origin) for record in ledger.account.transfers("period")
    ]
    assert records_found == [(10_000, 10_000)]


KINDS = st.builds(
    TransferKind,
    st.integers(0, 2),
    st.integers(0, 2),
    st.sampled_from(Route),
    st.sampled_from(Outcome),
    st.integers(0, 3),
    st.booleans(),
)


@settings(max_examples=50)
@given(st.lists(st.tuples(KINDS, st.integers(0, 7_200_000), st.integers(1, 10**9)), max_size=30))
def test_totals_are_equal_for_all_dimensions_and_windows(transfers):
    accounts = [Account(HOUR_MS), Account(HOUR_MS)]
    for index, (kind, later, size) in enumerate(transfers):
        accounts[index % 2].add(UNIX_MS + later, kind, TransferAmount(1, size))
    base = ledger_state.capture(new_ledger(), is_final=True)
    snapshots = [
        Snapshot(f"n{index}", 1, 1, msgspec.structs.replace(base, unix_ms=UNIX_MS, account=account.state()))
        for index, account in enumerate(accounts)
    ]
    total = sum(size for _, _, size in transfers)
    for window in ("period", "hour"):
        report = collect(snapshots, window, all_intervals=True)
        assert report.total() == total
        for dimension in DIMENSIONS:
            assert sum(report.by(dimension).values()) == total
        assert sum(report.by("way", "vhost").values()) == total
    twice = collect(snapshots + snapshots[:1], all_intervals=True)
    assert twice.total() == total, "counted a director twice"


def test_number_of_kinds_and_intervals_is_bounded():
    account = Account(HOUR_MS)
    for index in range(4 * MAX_KINDS):
        kind = TransferKind(index, index, Route.ORIGIN, Outcome.STORED, index, False)
        account.add(UNIX_MS, kind, TransferAmount(1, 5))
    records_found = account.transfers("period")
    assert len(records_found) <= MAX_KINDS + 16
    assert sum(record.transferred for record in records_found) == 20 * MAX_KINDS
    kind = TransferKind(0, 0, Route.ORIGIN, Outcome.STORED, 0, False)
    for second in range(100_000):
        account.add(UNIX_MS + second * 1000, kind, TransferAmount(1, 5))
    assert all(len(window.intervals) <= window.max_intervals for window in account.windows.values())
    assert min(account.windows["second"].intervals) > UNIX_MS, "the oldest intervals were not dropped"


def test_metrics_export_booked_bytes():
    ledger = new_ledger('r: {rate: "100KB/s", burst: "50KB", begin: "full"}')
    port = free_port()
    try_fill(ledger, 0, "r0")
    end_attempt(ledger, 0, "r0")
    metrics = MetricsExporter(records.Metrics(port, "127.0.0.1"))
    try:
        metrics.publish(ledger)
        with urlopen(f"http://127.0.0.1:{port}/metrics") as page:
            text = page.read().decode()
    finally:
        metrics.server.shutdown()
        metrics.server.server_close()
    assert 'ironhinge_crossed_bytes_total{forced="chosen"' in text or 'forced="forced"' in text
    assert 'ironhinge_budget_spent_bytes{budget="r"} 10000.0' in text
