"""Requests that may have taken effect and come again with the same id, at the router."""

from ironhinge import interface
from ironhinge.interface import AttemptResult
from ironhinge.routing import executed_requests

from .helpers import attempt_finished, new_router, request_received

KEYED, NON_IDEMPOTENT = 2, 3  # classes of the deployment; keyed ones are recognised by all upstreams
PERIOD = executed_requests.MIN_PERIOD


def send(router, now, request_id, class_index=NON_IDEMPOTENT):
    (command,) = router.handle(now, request_received(request_id, class_index=class_index))
    return command


def end(router, now, command, result, request_closed):
    router.handle(now, attempt_finished(command, result, request_closed=request_closed))


def test_request_that_may_have_run_fails_when_its_id_comes_again():
    """Its effect took place twice: the id was forgotten once the request had ended."""
    results = (AttemptResult.DONE, AttemptResult.CANCELLED, AttemptResult.TIMEOUT, AttemptResult.RESET)
    for class_index in (KEYED, NON_IDEMPOTENT):
        router = new_router()
        for number, result in enumerate(results):
            command = send(router, 1000, f"r{number}", class_index)
            end(router, 1100, command, result, request_closed=True)
            for now in (1100, PERIOD - 1, PERIOD + 1099):
                assert send(router, now, f"r{number}", class_index) == interface.FailRequest(f"r{number}")
            assert not router.requests


def test_request_that_has_not_run_or_may_run_again_is_sent_again():
    """Guards clients whose request is known not to have run, and classes that may run twice."""
    router = new_router()
    first = send(router, 1000, "r")
    end(router, 1100, first, AttemptResult.NOT_SENT, request_closed=True)
    assert isinstance(send(router, 1200, "r"), interface.SendAttemptWithFill)
    first = send(router, 1000, "s", class_index=0)
    end(router, 1100, first, AttemptResult.CANCELLED, request_closed=True)
    assert isinstance(send(router, 1200, "s", class_index=0), interface.SendAttemptWithFill)


def test_flood_of_new_ids_neither_grows_nor_empties_the_memory_of_executed_requests(monkeypatch):
    """At the limit new requests are rejected, which have not run; ids are forgotten by their age alone."""
    monkeypatch.setattr(executed_requests, "MAX_IDS", 5)
    router = new_router()
    for number in range(5):
        end(router, 1100, send(router, 1000, f"r{number}"), AttemptResult.DONE, request_closed=True)
    assert isinstance(send(router, 1200, "new"), interface.RejectRequest)
    assert send(router, 1200, "r0") == interface.FailRequest("r0")
    assert len(router.executed_requests) == 5
    later = 1100 + 3 * PERIOD
    assert isinstance(send(router, later, "new"), interface.SendAttemptWithFill)
    assert len(router.executed_requests) == 0
