"""The clock that stamps purges, starts and copies is stepped while a director runs."""

import time

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import EndpointListUpdate, PurgeUpdate
from ironhinge.net import client_wire
from ironhinge.net.clock import MILLISECOND, SECOND
from ironhinge.routing import Router

from .helpers import FakeUpstream, resp_array
from .test_director import FakeRouter, request_frame, run_director

STEPS_S = [0, -1, -5, -7, -9, -10.5, -3600, 7, 3600]  # of the clock that stamps events
STAMP_RESOLUTION = 2 * MILLISECOND  # of a stamp, and of the time that it is compared with
OBJECT_ID = 0x7F3A9C21E0B4D655  # the object of `request_frame`


def stamp_ms(step_s):
    """Returns the present time in milliseconds, by a clock that was stepped."""
    return int((time.time() + step_s) * 1000)


@pytest.mark.parametrize("since_caught_up_s", [0.5, 30])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_purge_is_not_forgotten_after_a_step_of_the_clock_that_stamps_it(step_s, since_caught_up_s):
    """A copy from before a purge was served: its stamp made the purge look older than its retention."""
    upstream = FakeUpstream(has_all_objects=True)

    async def scenario(director, client, wait_until):
        director.discovery.set_caught_up(director.clock.now() - int(since_caught_up_s * SECOND))
        purged_at = time.monotonic()
        director.discovery.apply(PurgeUpdate(2, OBJECT_ID, 0, stamp_ms(step_s)))
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: not upstream.commands.empty())
        _, _, fields, _ = upstream.next_command()
        assert 0 < int(fields["accept"]) <= (time.monotonic() - purged_at) * 1000 + 1

    run_director(Router, scenario, (upstream, upstream))


def test_purge_that_a_reload_told_is_not_dated_anew_when_it_arrives():
    """Guards valid copies: an event of a reload arrives once more from discovery, and is no second purge."""
    fake_router = FakeRouter()
    purge = PurgeUpdate(3, OBJECT_ID, 0, stamp_ms(0))

    async def scenario(director, client, wait_until):
        discovery = director.discovery
        (full_list,) = director.config.known
        older_purge = purge._replace(event_index=1, unix_ms=purge.unix_ms - 1)
        reloaded = director.config._replace(known=(full_list, older_purge, purge), known_index=3)
        discovery.apply_config(reloaded)
        other_purge = purge._replace(event_index=3, object_id=OBJECT_ID + 1)
        discovery.apply(other_purge)  # not in the file, where its index is that of another purge
        discovery.apply(purge._replace(event_index=4))
        discovery.apply(purge._replace(event_index=5))

    run_director(fake_router, scenario)
    purged = [event.object_id for event in fake_router.events_of(interface.PurgeNotified)]
    assert purged == [OBJECT_ID, OBJECT_ID + 1, OBJECT_ID]


def answer_stamped(at_ms):
    """Returns a `handle_command` that answers each request with a copy stamped by `at_ms()`."""
    return lambda command: resp_array(command[1], "ACK", f"digest=4b,dated={at_ms()},res=f", b"new")


@pytest.mark.parametrize("step_s", STEPS_S)
def test_copy_made_after_a_purge_is_served_after_a_step_of_the_clock_that_stamps_it(step_s):
    """Requests for a purged object failed: by our clock, each new copy looked older than the purge."""
    upstream = FakeUpstream(answer_stamped(lambda: stamp_ms(step_s)))

    async def scenario(director, client, wait_until):
        director.discovery.apply(PurgeUpdate(2, OBJECT_ID, 0, stamp_ms(step_s)))
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)
        assert client.connection.frames == [b"".join(client_wire.answer(1, client_wire.DONE, {}, b"new"))]

    run_director(Router, scenario, (upstream, upstream))


@pytest.mark.parametrize("step_s", STEPS_S)
def test_copy_made_before_a_purge_is_not_served_after_a_step_of_the_clock_that_stamps_it(step_s):
    """Guards purges against a cache that has forgotten them, whatever the clock of their stamps shows."""
    made_ms = stamp_ms(step_s - 1)
    upstream = FakeUpstream(answer_stamped(lambda: made_ms))

    async def scenario(director, client, wait_until):
        director.discovery.apply(PurgeUpdate(2, OBJECT_ID, 0, stamp_ms(step_s)))
        director.admit(client, request_frame(1, patience="500"))
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)
        (answer,) = client.connection.frames
        assert answer[client_wire.FRAME_HEADER.size] in (client_wire.DENIED, client_wire.ABORTED)

    run_director(Router, scenario, (upstream, upstream))


def list_change(director, index, started_unix_ms):
    """Returns a change of the first endpoint's entry, which states when it started."""
    record = director.config.known[0].records[0]
    return EndpointListUpdate(index, False, (record._replace(started_unix_ms=started_unix_ms),))


def reported_starts(fake_router):
    """Returns the starts of the first endpoint that the router was told, without the list at the start."""
    return [event.endpoints[0].started_at for event in fake_router.events_of(interface.EndpointsUpdated)[1:]]


@pytest.mark.parametrize("since_caught_up_s", [0.5, 30])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_cold_endpoint_is_not_taken_for_a_warm_one_after_a_step_of_the_clock_that_stamps_it(
    step_s, since_caught_up_s
):
    """A cold cache got as many requests as a warm one: its start was dated too early by the step."""
    fake_router = FakeRouter()
    instants = []

    async def scenario(director, client, wait_until):
        director.discovery.set_caught_up(director.clock.now() - int(since_caught_up_s * SECOND))
        instants.append(director.clock.now())
        director.discovery.apply(list_change(director, 2, stamp_ms(step_s)))
        instants.append(director.clock.now())

    run_director(fake_router, scenario)
    (started_at,) = reported_starts(fake_router)
    assert instants[0] - STAMP_RESOLUTION <= started_at <= instants[1] + 1


def test_restart_is_noticed_though_its_stamp_is_earlier_than_that_of_the_start_before():
    """A cold cache was taken for a warm one: after a step back, its start looked older than the last one."""
    fake_router = FakeRouter()
    first_ms, second_ms = stamp_ms(0), stamp_ms(-3600)

    async def scenario(director, client, wait_until):
        for index, started_unix_ms in enumerate((first_ms, second_ms, first_ms, second_ms)):
            director.discovery.apply(list_change(director, 2 + index, started_unix_ms))
            await anyio.sleep(0.002)

    run_director(fake_router, scenario)
    first, second, *repeated = reported_starts(fake_router)
    assert first < second
    assert repeated == [second, second]
