"""The table of system calls and errors, and that no other network code knows an error."""

import errno
import re
from pathlib import Path

import pytest

import ironhinge
from ironhinge.net.event_log import EventKind, EventLog
from ironhinge.net.system_calls import LONGEST_PAUSE, REMEDIES, Backoff, Call, Remedy, remedy_for

NET = Path(ironhinge.__file__).parent / "net"
MAY_CATCH = {"socket_calls.py", "service.py"}  # where calls are made, and where the listener is


@pytest.mark.parametrize("call", Call)
def test_what_is_short_for_a_moment_never_ends_anything(call):
    """Each call that can run out of memory or buffers is made again, or does not matter."""
    for number in (errno.ENOBUFS, errno.ENOMEM):
        assert remedy_for(call, number) in (Remedy.PAUSE, Remedy.SKIP)


@pytest.mark.parametrize("call", [Call.SEND, Call.RECEIVE, Call.ACCEPT, Call.CONNECT, Call.SHUTDOWN])
def test_an_interrupted_call_is_made_again_or_goes_on(call):
    assert remedy_for(call, errno.EINTR) in (Remedy.RETRY, Remedy.WAIT)


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
def test_a_broken_connection_is_known_as_one(number):
    assert remedy_for(Call.SEND, number) is remedy_for(Call.RECEIVE, number) is Remedy.BROKEN


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN])
def test_what_keeps_us_from_connecting_is_no_fault_of_the_peer(number):
    assert remedy_for(Call.CONNECT, number) is Remedy.PAUSE


def test_an_unknown_error_may_pass():
    assert remedy_for(Call.SEND, errno.EXFULL) is Remedy.PAUSE


def test_every_row_of_the_table_is_in_the_documentation():
    text = (NET.parent.parent / "docs" / "system-calls.md").read_text()
    found = re.findall(r"^\| (\w+) \| (\w+) \| (\w+) \|", text, re.M)
    listed = {(call, name): remedy for call, name, remedy in found if call in Call.__members__}
    for (call, number), remedy in REMEDIES.items():
        if number:
            assert listed.pop((call.name, errno.errorcode[number])) == remedy.name
    assert not listed


def test_no_other_network_code_knows_an_error_of_the_system():
    for path in NET.glob("*.py"):
        text = path.read_text()
        if path.name != "system_calls.py":
            assert "import errno" not in text and "errno." not in text.replace("error.errno", ""), path.name
        if path.name not in MAY_CATCH:
            assert "OSError" not in text, path.name


def test_pauses_grow_up_to_a_bound_and_differ():
    backoff = Backoff()
    pauses = [backoff.next() for _ in range(50)]
    assert all(0 < pause <= LONGEST_PAUSE for pause in pauses) and len(set(pauses)) > 40
    assert sum(pauses[:3]) < sum(pauses[-3:])
    backoff.reset()
    assert backoff.next() < LONGEST_PAUSE / 2


def test_the_event_log_keeps_the_latest_and_counts_all():
    log = EventLog(lambda: 5)
    for i in range(3000):
        log.record(EventKind.CLIENT_CLOSED, f"client {i}", "idle")
    events = log.events()
    assert len(events) == 2000 and events[-1].subject == "client 2999"
    assert log.counts == {"client_closed.idle": 3000}
