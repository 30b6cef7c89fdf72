"""A ledger with a small list of endpoints, and attempts on it, for tests of the traffic account."""

from ironhinge import interface
from ironhinge.settings.load import load_texts
from ironhinge.traffic.ledger import TrafficLedger
from ironhinge.traffic.types import AttemptEnded, AttemptStarted, ClockReading, DirectorIdentity

from .helpers import new_deployment, new_endpoint, request_received

ZONES, CLASSES = ("branch", "hub", "far"), ("a", "b", "c", "d")
SECOND = 10_000
HOUR_MS = 3_600_000
UNIX_MS = 1_764_576_000_000
REMOVED = interface.EndpointState.REMOVED


def endpoint_in(zone, name):
    return new_endpoint(name)._replace(zone=zone)


ENDPOINTS = (
    new_endpoint("c0"),
    new_endpoint("c1"),
    endpoint_in(1, "p0"),
    endpoint_in(2, "p1"),
    endpoint_in(1, "o"),
)


def load_config(budgets="", more=""):
    text = 'traffic: {period: "1h"\n%s\nbudgets: {%s}}' % (more, budgets)  # noqa: UP031 - full of braces
    return load_texts([("f", text)]).operations.traffic


def new_ledger(budgets="", topology=None, peer_index=0, incarnation=1, more="", now=0, unix_ms=UNIX_MS):
    ledger = TrafficLedger(
        load_config(budgets, more),
        topology or new_deployment(router_count=1, local_router_count=1),
        DirectorIdentity("n0", ZONES, CLASSES, peer_index),
        incarnation,
        ClockReading(now, unix_ms),
    )
    ledger.handle(now, interface.EndpointsUpdated(True, ENDPOINTS))
    return ledger


def update(ledger, now, *endpoints):
    """Changes the endpoint list."""
    ledger.handle(now, interface.EndpointsUpdated(False, endpoints))


def new_request(name, size=10.0, object_id=1, class_index=0, part=0, connection_id=0):
    return request_received(name, object_id, class_index, size)._replace(
        part=part, connection_id=connection_id
    )


def start(ledger, now, name, source="p1", rank=1, endpoint="c0", revalidates=False, **request):
    """Sends an attempt, whatever the budgets say."""
    event = AttemptStarted(new_request(name, **request), endpoint, source, rank, revalidates)
    ledger.handle(now, event)


def end(ledger, now, name, result="done", note=2, body=10_000, took=100, closed=False):
    ledger.handle(now, AttemptEnded(name, result, note, body, took, closed))


def fill(ledger, now, name, source="p1", **request):
    """Sends an attempt if the budgets have room; returns the time until they do, else 0."""
    wait_time = ledger.wait_time(now, new_request(name, **request), source)
    if not wait_time:
        start(ledger, now, name, source, **request)
    return wait_time


def transferred(ledger, **cut):
    """The bytes in the account of this period, by fields of their kind."""
    return sum(
        record.transferred
        for record in ledger.account.transfers("period")
        if all(getattr(record.kind, name) == value for name, value in cut.items())
    )
