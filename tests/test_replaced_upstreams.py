"""A new process at the address of one that has gone: nothing of the old one is taken for the new one.

The old process vanished: its connections stay open, and it may still answer.
"""

import contextlib
import time

import pytest

from ironhinge import interface
from ironhinge.config import Address, EndpointListUpdate, EndpointRecord
from ironhinge.routing import Router

from .helpers import FakeUpstream, new_endpoint, served_answer
from .test_director import TRACE, FakeRouter, request_frame, run_director, send_attempt

OLD_ID, NEW_ID = "s-00000001", "s-00000003"
OTHER = TRACE[::-1]


def address_of(upstream):
    host, port = upstream.address.split(":")
    return Address(host, int(port))


def listed(endpoint_id, address, state="ready", started_unix_ms=0):
    endpoint = new_endpoint("c1")._replace(id=endpoint_id, state=interface.EndpointState(state))
    return EndpointRecord(endpoint, address, started_unix_ms)


def replacements(address):
    """Returns how discovery may tell the replacement: the updates, and the id of the new process."""
    now_ms = int(time.time() * 1000)
    gone, new = listed(OLD_ID, address, "gone"), listed(NEW_ID, address, started_unix_ms=now_ms)
    restarted = listed(OLD_ID, address, started_unix_ms=now_ms)
    return {
        "in one event": ([(gone, new)], NEW_ID),
        "in two events": ([(gone,), (new,)], NEW_ID),
        "restarted": ([(restarted,)], OLD_ID),
        "only the new one": ([(new,)], NEW_ID),
    }


@pytest.mark.parametrize("told", ["in one event", "in two events", "restarted", "only the new one"])
def test_request_in_flight_at_a_replaced_process_is_retried_on_a_new_connection(told):
    """Its connections lead to the old process, whose late answer must not end the new attempt either."""
    wants = []

    def answer_the_second(command):
        wants.append(command[3])
        return served_answer(command[1], b"new") if len(wants) > 1 else None

    upstream = FakeUpstream(answer_the_second)
    new_ids = {told: new_id for told, (_, new_id) in replacements(Address("127.0.0.1", 1)).items()}
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(OLD_ID, after=3000)],
        AttemptFinished=[send_attempt(new_ids[told], after=50_000)],
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: wants)
        updates, _ = replacements(address_of(upstream))[told]
        for index, records in enumerate(updates, start=10):
            director.discovery.apply(EndpointListUpdate(index, False, records))
        await wait_until(lambda: len(wants) == 2 or not director.requests)
        with contextlib.suppress(OSError):  # the connection may be closed by now
            wants[0].sendall(served_answer(TRACE, b"old"))
        await wait_until(lambda: not director.requests)
        assert len(set(wants)) == 2
        assert len(client.connection.frames) == 1
        assert client.connection.frames[0].endswith(b"new")

    run_director(fake_router, scenario, (upstream, FakeUpstream()))


def test_new_process_at_the_address_of_a_listed_one_replaces_it():
    """Two ids at one address can't both be right: requests for the old id went on to its old connections."""
    upstream, other = FakeUpstream(has_all_objects=True), FakeUpstream(has_all_objects=True)

    async def scenario(director, client, wait_until):
        director.discovery.apply(EndpointListUpdate(10, False, (listed(NEW_ID, address_of(upstream)),)))
        upstreams = director.pool.upstreams
        states = {each: upstreams[each].is_ready for each in (OLD_ID, NEW_ID, "s-00000002")}
        assert states == {OLD_ID: False, NEW_ID: True, "s-00000002": True}
        assert OLD_ID not in director.decision_loop.router.upstreams.by_id
        director.discovery.apply(EndpointListUpdate(11, False, (listed(OLD_ID, address_of(upstream)),)))
        assert not upstreams[OLD_ID].is_ready
        later = listed(OLD_ID, address_of(upstream), started_unix_ms=int(time.time() * 1000) + 1000)
        director.discovery.apply(EndpointListUpdate(12, False, (later,)))
        assert [upstreams[each].is_ready for each in (OLD_ID, NEW_ID)] == [True, False]

    run_director(Router, scenario, (upstream, other))
