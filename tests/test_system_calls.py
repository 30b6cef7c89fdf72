"""The table of system-call errors, its use instead of errnos in the network code, and the event log."""

import errno
import re
from pathlib import Path

import pytest
from loguru import logger

import ironhinge
from ironhinge.net.errors import RemedyTableError
from ironhinge.net.event_log import EventKind, EventLog
from ironhinge.net.system_calls import (
    MAX_PAUSE,
    REMEDIES,
    Backoff,
    Call,
    Remedy,
    Rule,
    make_remedy_table,
    remedy_for,
)

NET = Path(ironhinge.__file__).parent / "net"
MAY_CATCH_OSERROR = {"socket_calls.py", "service.py"}  # the system calls, and the service with its listener


@pytest.mark.parametrize("call", Call)
def test_brief_shortage_of_memory_is_never_fatal(call):
    """Each call that can run out of memory or buffers is repeated, or its failure is ignored."""
    for number in (errno.ENOBUFS, errno.ENOMEM):
        assert remedy_for(call, number) in (Remedy.PAUSE, Remedy.SKIP)


@pytest.mark.parametrize("call", [Call.SEND, Call.RECEIVE, Call.ACCEPT, Call.CONNECT, Call.SHUTDOWN])
def test_an_interrupted_call_is_repeated_or_continues(call):
    assert remedy_for(call, errno.EINTR) in (Remedy.RETRY, Remedy.WAIT)


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
def test_a_broken_connection_is_recognised(number):
    assert remedy_for(Call.SEND, number) is remedy_for(Call.RECEIVE, number) is Remedy.BROKEN


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN])
def test_local_shortage_that_prevents_connecting_does_not_count_against_the_peer(number):
    assert remedy_for(Call.CONNECT, number) is Remedy.PAUSE


def test_an_unknown_error_is_treated_as_temporary():
    assert remedy_for(Call.SEND, errno.EXFULL) is Remedy.PAUSE


def test_every_row_of_the_table_is_in_the_documentation():
    text = (NET.parent.parent / "docs" / "system-calls.md").read_text()
    rows = re.findall(r"^\| (\w+) \| (\w+) \| (\w+) \|", text, re.M)
    documented = {(call, name): remedy for call, name, remedy in rows if call in Call.__members__}
    for (call, number), remedy in REMEDIES.items():
        if number:
            assert documented.pop((call.name, errno.errorcode[number])) == remedy.name
    assert not documented


def test_no_other_network_module_uses_errno_or_catches_oserror():
    for path in NET.glob("*.py"):
        text = path.read_text()
        if path.name != "system_calls.py":
            assert "import errno" not in text, path.name
            assert "errno." not in text.replace("error.errno", ""), path.name
        if path.name not in MAY_CATCH_OSERROR:
            assert "OSError" not in text, path.name


def test_backoff_grows_up_to_a_bound_and_has_jitter():
    backoff = Backoff()
    pauses = [backoff.next() for _ in range(50)]
    assert all(0 < pause <= MAX_PAUSE for pause in pauses)
    assert len(set(pauses)) > 40
    assert sum(pauses[:3]) < sum(pauses[-3:])
    backoff.reset()
    assert backoff.next() < MAX_PAUSE / 2


def test_event_log_stores_the_latest_events_and_counts_all():
    log = EventLog(lambda: 5)
    for i in range(3000):
        log.record(EventKind.CLIENT_CLOSED, f"client {i}", "idle")
    events = log.events()
    assert len(events) == 2000
    assert events[-1].subject == "client 2999"
    assert log.counts == {"client_closed.idle": 3000}


def test_two_remedies_for_one_error_are_rejected():
    rules = (
        Rule(Call.SEND, Remedy.WAIT, (errno.EAGAIN,)),
        Rule(Call.SEND, Remedy.PAUSE, (errno.EAGAIN,)),
    )
    with pytest.raises(RemedyTableError, match="SEND EAGAIN: two remedies, WAIT and PAUSE"):
        make_remedy_table(rules)


@pytest.fixture
def log_lines():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)


def test_dumps_for_errors_are_limited_and_list_each_event(log_lines):
    log = EventLog(lambda: 5)
    for i in range(300):
        log.record(EventKind.REQUEST_REJECTED, f"request {i}", "shutdown")
    log.dump_for_error("first")
    assert log_lines[0] == "event_dump_started events=200 reason='first'\n"
    assert log_lines[-1].startswith("event_dumped kind=request_rejected age_ms=0.0 subject='request 299'")
    assert len(log_lines) == 201
    log.dump_for_error("second")
    assert len(log_lines) == 201
    log.reset_dump_allowance()
    log.dump_for_error("third")
    assert len(log_lines) == 402
