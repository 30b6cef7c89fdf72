"""The forms that other programs read: snapshots on disk, datagrams between directors, and reports.

The files under `tests/data/traffic` were written by version 1 of each form. They are not regenerated when
the code changes: an updated director must read what the previous version wrote.
"""

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from ironhinge import interface
from ironhinge.settings.load import load_texts
from ironhinge.traffic import ledger_state
from ironhinge.traffic.cli import traffic
from ironhinge.traffic.ledger import TrafficLedger
from ironhinge.traffic.quota_datagram import decode
from ironhinge.traffic.snapshot import MAGIC, Snapshot, pack, unpack
from ironhinge.traffic.types import (
    AttemptEnded,
    AttemptStarted,
    ClockReading,
    ClockTick,
    DatagramReceived,
    DirectorIdentity,
)

from .helpers import new_deployment, new_endpoint, request_received
from .traffic_helpers import CLASSES, REMOVED, UNIX_MS, ZONES, endpoint_in

DATA = Path(__file__).parent / "data" / "traffic"
SETTINGS = """
traffic: {
    period: "1h"
    distributions: true
    share: {every: "50ms"}
    budgets: {
        link: {ways: ["own-hub", "other-hub", "origin"], rate: "100KB/s", burst: "100KB", begin: "full",
               streams: {part: 0.8, interval: "500ms"}}
        far: {within: "link", rate: "20KB/s", burst: "50KB", begin: "full", sum: "400KB", ahead: 0.5,
              emergency: {rate: "10KB/s", burst: "60KB", sum: "200KB"}}
    }
}
"""


def new_account(index=0, incarnation=UNIX_MS):
    operations = load_texts([("stored-form", SETTINGS)]).operations
    ledger = TrafficLedger(
        operations.traffic,
        new_deployment(router_count=2, local_router_count=2),
        DirectorIdentity("n0", ZONES, CLASSES, index),
        incarnation,
        ClockReading(0, UNIX_MS),
    )
    endpoints = (
        new_endpoint("c0"),
        new_endpoint("c1"),
        endpoint_in(1, "p0"),
        endpoint_in(2, "p1"),
        endpoint_in(2, "p2"),
        endpoint_in(1, "o"),
    )
    ledger.handle(0, interface.EndpointsUpdated(True, endpoints))
    return ledger


def run_attempt(ledger, now, number, source, **end):
    """Checks the budgets for one request; unless it has to wait, starts and ends its attempt."""
    size = 0.0 if number % 5 == 4 else 10.0
    request = request_received(f"r{number // 2 if number % 7 == 0 else number}", number % 6, number % 4, size)
    request = request._replace(connection_id=1 + number % 3)
    if ledger.wait_time(now, request, source):
        return
    is_direct = number % 11 == 10
    ledger.handle(
        now,
        AttemptStarted(
            request, source if is_direct else "c0", "" if is_direct else source, number % 3, number % 13 == 9
        ),
    )
    ended = {
        "result": "done",
        "note": 2,
        "body": 9_000 + 17 * number,
        "duration": 90 + number,
        "closed": False,
        **end,
    }
    ledger.handle(now + 40, AttemptEnded(request.request_id, *ended.values()))


ENDS = (
    {},
    {"note": 3},
    {"note": 1},
    {"note": 4},
    {"note": 5},
    {"body": None},
    {"result": "timeout", "note": 0, "body": None, "duration": 60},
    {"result": "cancelled", "note": 0, "body": None, "duration": 30, "closed": True},
    {"result": "miss", "note": 0, "body": None},
    {"note": 2, "closed": True},
    {"result": "reset", "note": 0, "body": None, "duration": 5000},
    {"result": "error", "note": 10, "body": None},
)


def sample_account():
    """Returns a ledger after three minutes with all routes, outcomes and results.

    A parent is removed in that time, and streams are open at its end.
    """
    ledger = new_account()
    for number in range(240):
        now = number * 7_500
        ledger.handle(now, ClockTick(UNIX_MS + now // 10))
        if number == 120:
            removed = endpoint_in(1, "p0")._replace(state=REMOVED)
            ledger.handle(now, interface.EndpointsUpdated(False, (removed,)))
        run_attempt(ledger, now, number, ("p1", "p0", "o", "c1", "p2")[number % 5], **ENDS[number % 12])
    return ledger


def stored_bytes():
    return (DATA / "account-1.traffic").read_bytes()


def stored_records():
    """Returns the stored records under their names in the file."""
    body = stored_bytes()[len(MAGIC) + 8 :]
    return msgspec.msgpack.decode(body)[3]


def written_bytes(ledger):
    return pack(Snapshot("n0", UNIX_MS, 7, ledger_state.capture(ledger, is_final=True)))


def test_the_same_steps_write_the_same_snapshot():
    assert written_bytes(sample_account()) == stored_bytes()


def test_stored_snapshot_has_every_route_and_outcome_and_all_kinds_of_budgets():
    plain = stored_records()
    rows = [row for _, rows in plain["account"]["period"] for row in rows]
    assert {row[2] for row in rows} == {0, 1, 2, 3}
    assert {row[3] for row in rows} == {0, 1, 2, 3}
    assert {row[5] for row in rows} == {0, 1}
    assert [len(levels) for levels in plain["budgets"]["far"]["pots"]] == [1, 2]
    assert [len(levels) for levels in plain["budgets"]["far"]["emergency"]] == [1, 2]
    assert plain["budgets"]["far"]["drawn"] > 0
    assert plain["spans"]["link"]["streams"] > 0
    assert plain["shapes"]


def test_stored_snapshot_is_read_to_the_same_account_and_budgets():
    snapshot = unpack(stored_bytes())
    assert snapshot[:3] == ("n0", UNIX_MS, 7)
    ledger = new_account()
    assert ledger_state.restore(ledger, snapshot.state, 0) == []
    stored = stored_records()
    again = msgspec.to_builtins(ledger_state.capture(ledger, is_final=True))
    for key in ("account", "period", "period_ms", "per_kb", "unknown_ms", "zones", "vhosts", "unix"):
        assert json.loads(json.dumps(again[key])) == stored[key], key
    for name, budget in stored["budgets"].items():
        assert again["budgets"][name] == budget
        assert again["spans"][name]["spent"] == budget["spent"]


def sample_exchange():
    """Returns two directors after 6 seconds in which the second had to delay fills, and the last datagram
    of the first.
    """
    granter, recipient = new_account(0, 7), new_account(1, 9)
    data = b""
    for tick in range(60):
        now = tick * 1_000
        for number in range(4):
            request = request_received(f"x{tick}.{number}", number, 0, 10.0)
            if not recipient.wait_time(now, request, "p1"):
                recipient.handle(now, AttemptStarted(request, "c0", "p1", 1, False))
                recipient.handle(now, AttemptEnded(request.request_id, "done", 2, 10_000, 100, False))
        for command in recipient.handle(now, ClockTick(UNIX_MS + now // 10)):
            granter.handle(now, DatagramReceived(1, command.data))
        for command in granter.handle(now, ClockTick(UNIX_MS + now // 10)):
            data = command.data
    return granter, recipient, data


def test_the_same_steps_send_the_same_datagram():
    assert sample_exchange()[2] == (DATA / "quota-1.datagram").read_bytes()


def test_stored_datagram_is_decoded_to_the_same_message():
    message = decode((DATA / "quota-1.datagram").read_bytes())
    assert json.loads(json.dumps(message)) == json.loads((DATA / "quota-1.json").read_text())


def test_stored_datagram_deposits_its_grants_at_the_recipient():
    recipient = new_account(1, 9)
    budgets = [recipient.budgets[name] for name in ("link", "far")]
    for budget in budgets:
        for bucket in budget.regular.buckets:
            bucket.withdraw(1_000_000)
    before = [[bucket.level for bucket in budget.regular.buckets] for budget in budgets]
    recipient.handle(0, DatagramReceived(0, (DATA / "quota-1.datagram").read_bytes()))
    gained = [
        [bucket.level - level for bucket, level in zip(budget.regular.buckets, levels, strict=True)]
        for budget, levels in zip(budgets, before, strict=True)
    ]
    assert gained == [[314_999], [50_160, 50_160]]


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "n0.traffic").write_bytes(stored_bytes())
    return tmp_path


PRICES = 'traffic: prices: [{per_gb: 5}, {ways: ["other-hub"], out_of: "far", per_gb: 20}]'


@pytest.mark.parametrize(
    ("stored", "command"),
    [
        ("report-1.json", ["report", "--json"]),
        ("report-prices-1.json", ["report", "--json", "--operations", "prices.cue"]),
        (
            "report-pairs-1.json",
            ["report", "--json", "--all", "--window", "minute", "--by", "pair", "--by", "into"],
        ),
        ("report-1.txt", ["report", "--operations", "prices.cue"]),
        ("report-1.csv", ["report", "--csv"]),
        ("watch-1.json", ["watch", "--json", "--times", "1"]),
    ],
)
def test_the_report_of_a_stored_snapshot_stays_the_same(folder, monkeypatch, stored, command):
    monkeypatch.chdir(folder)
    Path("prices.cue").write_text(PRICES)
    shown = CliRunner().invoke(traffic, [command[0], str(folder), *command[1:]])
    assert shown.exit_code == 0, shown.output
    assert shown.output == (DATA / stored).read_text()
