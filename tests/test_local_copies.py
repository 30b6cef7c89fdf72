"""The router with a store of local copies: which copies it serves, and which responses it stores."""

from ironhinge import interface

from .helpers import attempt_finished, new_deployment, new_router, request_received


class FixedAgeStore:
    """A local store that has a copy of each object, all of the same age, and admits every response.

    With the age -1 it has no copy.
    """

    def __init__(self, age):
        self.age = age

    def lookup(self, now, request):
        return self.age

    def should_store(self, now, request):
        return True


def router_with_copy(age, **overrides):
    router = new_router(new_deployment(**overrides))
    router.local_store = FixedAgeStore(age)
    return router


def test_a_fresh_copy_is_served_and_a_stale_one_is_not():
    assert router_with_copy(100).handle(0, request_received("r")) == [interface.ServeLocalCopy("r")]
    assert type(router_with_copy(-1).handle(0, request_received("r"))[0]) is interface.SendAttemptWithFill
    assert (
        type(router_with_copy(20_001).handle(0, request_received("r", class_index=1))[0])
        is interface.SendAttemptWithFill
    ), "past its freshness lifetime"
    assert router_with_copy(20_000).handle(0, request_received("r", class_index=1)) == [
        interface.ServeLocalCopy("r")
    ]
    assert (
        type(router_with_copy(100).handle(0, request_received("r", time_remaining=30))[0])
        is interface.RejectRequest
    ), "too little time left to read the copy"


def test_a_copy_older_than_a_purge_is_not_served():
    router = router_with_copy(500)
    router.handle(1000, interface.PurgeNotified(1, 0, 0))
    assert type(router.handle(1400, request_received("r"))[0]) is interface.SendAttemptWithFill
    assert router.handle(1600, request_received("s")) == [interface.ServeLocalCopy("s")], (
        "the copy was stored after the purge"
    )


def test_a_failed_read_starts_routing_and_a_successful_one_ends_the_request():
    router = router_with_copy(5)
    router.handle(0, request_received("r"))
    assert (
        type(router.handle(10, interface.LocalCopyFinished("r", False))[0]) is interface.SendAttemptWithFill
    )
    router.handle(0, request_received("s"))
    assert router.handle(10, interface.LocalCopyFinished("s", True)) == []
    assert "s" not in router.requests
    router.handle(0, request_received("t"))
    router.handle(1, interface.ClientDisconnected("t"))
    assert router.handle(10, interface.LocalCopyFinished("t", False)) == []
    assert "t" not in router.requests
    assert router.handle(11, interface.LocalCopyFinished("t", False)) == []


def test_a_response_is_stored_where_the_store_admits_it():
    router = router_with_copy(-1)
    command = router.handle(0, request_received("r"))[0]
    assert router.handle(50, attempt_finished(command, "done", cache_status=2)) == [
        interface.StoreLocalCopy("r")
    ]
    command = router.handle(60, request_received("s"))[0]
    assert interface.StoreLocalCopy("s") not in router.handle(
        70, attempt_finished(command, "error", cache_status=2)
    )
