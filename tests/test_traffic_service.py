"""The service that runs the account: reloaded settings and log lines."""

import anyio
import pytest
from loguru import logger

from ironhinge.interface import (
    AttemptFinished,
    AttemptResult,
    CacheStatus,
    EndpointsUpdated,
    SendAttemptWithFill,
)
from ironhinge.jobs.messages import Budgets
from ironhinge.jobs.runner import Runner
from ironhinge.settings.load import load_texts
from ironhinge.traffic.log_events import log_line
from ironhinge.traffic.service import AccountService, Clocks
from ironhinge.traffic.types import DirectorIdentity

from .helpers import new_deployment
from .traffic_helpers import CLASSES, ENDPOINTS, UNIX_MS, ZONES, new_request

SETTINGS = 'traffic: {period: "1h", budgets: a: {rate: "100KB/s", begin: "full", sum: "1MB", ahead: 1}}'


def load(text):
    return load_texts([("f", text)]).operations


@pytest.fixture
def lines():
    """The lines logged at level INFO and above."""
    found = []
    sink = logger.add(lambda message: found.append(message.record["message"]), level="INFO")
    yield found
    logger.remove(sink)


@pytest.fixture
def service():
    """A service whose account has one fill of 10 KB."""
    clocks = Clocks(lambda: 0, lambda: UNIX_MS)
    identity = DirectorIdentity("n0", ZONES, CLASSES, 0)
    deployment = new_deployment(router_count=1, local_router_count=1)
    found = AccountService(load(SETTINGS).traffic, deployment, identity, clocks, Runner(Budgets(), lambda: 0))
    found.on_endpoints_updated(0, EndpointsUpdated(True, ENDPOINTS))
    request = new_request("r")
    assert found.wait_time(0, request, "p1") == 0
    command = SendAttemptWithFill("r", "c0", 100, "p1", 1, 0, False, False, False)
    found.on_attempt_started(0, request, command, "p1")
    end = AttemptFinished("r", 0, "c0", AttemptResult.DONE, 10, True, CacheStatus.FILLED_FROM_SOURCE, 0, None)
    found.on_attempt_finished(10, end, 10_000, client_disconnected=True)
    return found


def reload(service, text):
    service.read_settings = lambda: load(text)
    anyio.run(service.reload)


def test_reloaded_budgets_keep_the_account_and_the_spent_bytes(service, lines):
    reload(service, SETTINGS.replace("100KB/s", "1B/s"))
    assert lines == ["budgets_reloaded budgets=a"]
    assert service.ledger.budgets["a"].regular.spent == 10_000
    assert [record.transferred for record in service.ledger.account.transfers("period")] == [10_000]
    assert service.ledger.directory.endpoints.keys() == {endpoint.id for endpoint in ENDPOINTS}


@pytest.mark.parametrize(
    ("text", "setting"),
    [
        ("", "traffic"),
        (SETTINGS.replace("1h", "2h"), "traffic.period"),
    ],
)
def test_settings_that_require_a_restart_are_ignored(service, lines, text, setting):
    before = service.ledger
    reload(service, text)
    assert lines == [f"settings_change_ignored setting={setting} reason=restart_required"]
    assert service.ledger is before


def test_unreadable_settings_change_nothing(service, lines):
    def fail():
        raise ValueError("f:1:31: found 5")

    before = service.ledger
    service.read_settings = fail
    anyio.run(service.reload)
    assert lines == ["settings_reload_failed error=f:1:31: found 5"]
    assert service.ledger is before


def test_log_line_is_the_event_and_its_fields_in_order():
    assert log_line("event", {"b": 1, "a": "x"}) == "event b=1 a=x"
