"""The process is stopped or late at the worst moment: what passed before a thing was read still counts.

Where a test sleeps without giving way to the event loop, the process is kept from running.
"""

import time

from ironhinge import interface
from ironhinge.net import director
from ironhinge.routing import Router

from .helpers import FakeNode
from .test_director import TRACE, Scripted, came, play

PATIENCE_TICKS = 90000  # of the requests here, in tenths of a millisecond
ALLOWED_TICKS = 500  # by which the protocol extends each limit
DEADLINE_SLACK_MS = 150  # by which the time passed on to a server may exceed what the client has left
OTHER = TRACE[::-1]


def rejects(count=1):
    """Decisions that reject so many requests at once."""
    names = (TRACE, OTHER)
    return Scripted(
        RequestReceived=[lambda now, name=name: [interface.RejectRequest(name, 0)] for name in names[:count]]
    )


def time_remaining(script):
    """What the decisions were told that each request had left."""
    return [event.time_remaining for event in script.got(interface.RequestReceived)]


def stop(seconds):
    """Keeps the process from running."""
    time.sleep(seconds)


def test_a_stop_between_reading_a_request_and_deciding_counts(monkeypatch):
    """Guards the deadline of a request: it was counted from the decision, and the wait up to the reading."""
    script, plain = rejects(), director.read_request

    def read_and_stop(*args):
        found = plain(*args)
        stop(0.2)
        return found

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scene(one, client, until):
        one.admit(client, came(1))

    play(script, scene)
    (left,) = time_remaining(script)
    assert left <= PATIENCE_TICKS - 2000 + ALLOWED_TICKS


def test_real_decisions_have_no_more_time_than_the_client(monkeypatch):
    """The same with the real router: what it tells the cache is what the client has left."""
    node, plain = FakeNode(holds_all=True), director.read_request

    def read_and_stop(*args):
        found = plain(*args)
        stop(0.3)
        return found

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scene(one, client, until):
        one.admit(client, came(1))
        one.manager.flush()
        await until(lambda: not one.requests)

    play(Router, scene, (node, node))
    assert int(node.next()[2]["ms"]) <= 9000 - 300 + DEADLINE_SLACK_MS
