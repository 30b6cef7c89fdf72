"""The router with a store of local copies: which copies it serves, and which responses it stores."""

from ironhinge import interface

from .helpers import attempt_finished, new_deployment, new_router, request_received


class FixedAgeStore:
    """A local store that has every copy, of one age, and admits every response."""

    def __init__(self, age):
        self.age = age

    def lookup(self, now, request):
        return self.age

    def should_store(self, now, request):
        return True


def router_with_copy(age, **other):
    router_under_test = new_router(new_deployment(**other))
    router_under_test.local_store = FixedAgeStore(age)
    return router_under_test


def test_a_fresh_copy_is_served_and_a_stale_one_is_not():
    assert router_with_copy(100).handle(0, request_received("r")) == [interface.ServeLocalCopy("r")]
    assert type(router_with_copy(-1).handle(0, request_received("r"))[0]) is interface.SendAttemptWithFill
    assert (
        type(router_with_copy(20_001).handle(0, request_received("r", class_index=1))[0])
        is interface.SendAttemptWithFill
    ), "past its fresh time"
    assert router_with_copy(20_000).handle(0, request_received("r", class_index=1)) == [
        interface.ServeLocalCopy("r")
    ]
    assert (
        type(router_with_copy(100).handle(0, request_received("r", time_remaining=30))[0])
        is interface.RejectRequest
    ), "no time to read it"


def test_a_copy_older_than_a_purge_is_not_served():
    router_under_test = router_with_copy(500)
    router_under_test.handle(1000, interface.PurgeNotified(1, 0, 0))
    assert type(router_under_test.handle(1400, request_received("r"))[0]) is interface.SendAttemptWithFill
    assert router_under_test.handle(1600, request_received("s")) == [interface.ServeLocalCopy("s")], (
        "it was stored after the purge"
    )


def test_a_failed_read_starts_routing_and_a_successful_one_ends_the_request():
    router_under_test = router_with_copy(5)
    router_under_test.handle(0, request_received("r"))
    assert (
        type(router_under_test.handle(10, interface.LocalCopyFinished("r", False))[0])
        is interface.SendAttemptWithFill
    )
    router_under_test.handle(0, request_received("s"))
    assert router_under_test.handle(10, interface.LocalCopyFinished("s", True)) == []
    assert "s" not in router_under_test.requests
    router_under_test.handle(0, request_received("t"))
    router_under_test.handle(1, interface.ClientDisconnected("t"))
    assert router_under_test.handle(10, interface.LocalCopyFinished("t", False)) == []
    assert "t" not in router_under_test.requests
    assert router_under_test.handle(11, interface.LocalCopyFinished("t", False)) == []


def test_a_response_is_stored_where_the_store_admits_it():
    router_under_test = router_with_copy(-1)
    command = router_under_test.handle(0, request_received("r"))[0]
    assert router_under_test.handle(50, attempt_finished(command, "done", cache_status=2)) == [
        interface.StoreLocalCopy("r")
    ]
    command = router_under_test.handle(60, request_received("s"))[0]
    assert interface.StoreLocalCopy("s") not in router_under_test.handle(
        70, attempt_finished(command, "error", cache_status=2)
    )
