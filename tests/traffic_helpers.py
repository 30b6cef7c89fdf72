"""A ledger with a small endpoint list, and attempts that it records, for tests of the traffic account."""

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


def endpoint_in(zone, endpoint_id):
    return new_endpoint(endpoint_id)._replace(zone=zone)


ENDPOINTS = (
    new_endpoint("c0"),
    new_endpoint("c1"),
    endpoint_in(1, "p0"),
    endpoint_in(2, "p1"),
    endpoint_in(1, "o"),
)


def load_config(budgets="", more_settings=""):
    """Returns the traffic section of settings with these budgets."""
    source = 'traffic: {period: "1h"\n%s\nbudgets: {%s}}' % (more_settings, budgets)  # noqa: UP031 - braces
    return load_texts([("f", source)]).operations.traffic


def new_ledger(
    budgets="", deployment=None, peer_index=0, incarnation=1, more_settings="", now=0, unix_ms=UNIX_MS
):
    ledger = TrafficLedger(
        load_config(budgets, more_settings),
        deployment or new_deployment(router_count=1, local_router_count=1),
        DirectorIdentity("n0", ZONES, CLASSES, peer_index),
        incarnation,
        ClockReading(now, unix_ms),
    )
    ledger.handle(now, interface.EndpointsUpdated(True, ENDPOINTS))
    return ledger


def update_endpoints(ledger, now, *endpoints):
    """Reports changed endpoints to the ledger."""
    ledger.handle(now, interface.EndpointsUpdated(False, endpoints))


def new_request(request_id, size=10.0, object_id=1, class_index=0, part=0, connection_id=0):
    return request_received(request_id, object_id, class_index, size)._replace(
        part=part, connection_id=connection_id
    )


def start_attempt(
    ledger, now, request_id, source_id="p1", admission_rank=1, endpoint_id="c0", revalidates=False, **request
):
    """Records the start of an attempt without checking the budgets."""
    event = AttemptStarted(
        new_request(request_id, **request), endpoint_id, source_id, admission_rank, revalidates
    )
    ledger.handle(now, event)


def end_attempt(
    ledger,
    now,
    request_id,
    result="done",
    cache_status=2,
    body_size=10_000,
    duration=100,
    request_closed=False,
):
    ledger.handle(now, AttemptEnded(request_id, result, cache_status, body_size, duration, request_closed))


def try_fill(ledger, now, request_id, source_id="p1", **request):
    """Starts an attempt if the budgets allow it and returns 0; else returns the time until they allow it."""
    wait_time = ledger.wait_time(now, new_request(request_id, **request), source_id)
    if not wait_time:
        start_attempt(ledger, now, request_id, source_id, **request)
    return wait_time


def transferred_bytes(ledger, **kind_fields):
    """Returns the bytes transferred in this billing period whose kind has the given field values."""
    return sum(
        record.transferred
        for record in ledger.account.transfers("period")
        if all(getattr(record.kind, field) == value for field, value in kind_fields.items())
    )
