"""How the director carries out the commands of a scripted router, and which events it reports to it."""

import asyncio
import gc
import socket
import threading
import time
import tracemalloc
import weakref

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import read_director_config
from ironhinge.net import client_wire
from ironhinge.net.attempt_end import RESULTS, AttemptEnd
from ironhinge.net.client_connection import ClientConnection, Phase, Usage
from ironhinge.net.clock import SECOND, Clock
from ironhinge.net.connection import Connection
from ironhinge.net.connection_manager import ConnectionManager
from ironhinge.net.director import Director
from ironhinge.net.socket_calls import open_datagram_socket
from ironhinge.net.timed_selector import TimedSelector
from ironhinge.net.timers import Timers
from ironhinge.routing import Router

from .helpers import TIMEOUT_SECONDS, FakeUpstream, configuration, endpoint_config, resp_array

TRACE = "9b1f03aa5c7e2d41"


class FakeRouter:
    """Takes the place of the router: answers each event with the next commands scripted for its type."""

    def __init__(self, **commands_by_event):
        self.commands_by_event, self.events = (
            {name: list(commands) for name, commands in commands_by_event.items()},
            [],
        )

    def handle(self, now, event):
        self.events.append(event)
        commands = self.commands_by_event.get(type(event).__name__)
        return commands.pop(0)(now) if commands else []

    def events_of(self, kind):
        return [event for event in self.events if type(event) is kind]


class FakeConnection:
    """Takes the place of a client's connection and records what is written.

    `empty_at` is when it was last empty, in monotonic seconds; None: whenever that is asked.
    """

    def __init__(self):
        self.pending_frames, self.frames, self.empty_at = [], [], None

    def write(self, pieces, tag=0, expires_at=None):
        self.frames.append(b"".join(pieces))

    def empty_until(self):
        return time.monotonic() if self.empty_at is None else self.empty_at

    def use_backlog_data_time(self): ...

    def catch_up(self, max_age): ...

    def finish(self):
        self.frames.append("finish")


def run_with_selector(main):
    """Runs `main(selector)` on an event loop with the selector of the program."""
    selector = TimedSelector()
    anyio.run(main, selector, backend_options={"loop_factory": lambda: asyncio.SelectorEventLoop(selector)})


def request_frame(stream, **fields):
    values = {"route": "film", "trace": TRACE, "patience": "9000", "entity": "7f3a9c21e0b4d655", **fields}
    return client_wire.RequestFrame(stream, values, b"")


def run_director(fake_router, scenario, upstreams=None, datagrams=None, **overrides):
    """Runs a scenario with a director in front of two upstreams; returns the router."""
    first, second = upstreams or (FakeUpstream(has_all_objects=True), FakeUpstream(has_all_objects=True))
    endpoints = [endpoint_config("s-00000001", first.address), endpoint_config("s-00000002", second.address)]
    config = read_director_config(configuration(endpoints, **overrides))

    async def run(selector):
        async with anyio.create_task_group() as tasks:
            director = Director(config, ConnectionManager(tasks, config.limits, selector))
            director.decision_loop.router = (
                fake_router(config.deployment, config.seed) if isinstance(fake_router, type) else fake_router
            )
            director.gossip.sock = datagrams
            director.start()
            for task in (director.run_timers, director.run_maintenance, director.gossip.receive_loop):
                tasks.start_soon(task)
            client = ClientConnection(director)
            client.connection = FakeConnection()

            async def wait_until(condition):
                with anyio.fail_after(TIMEOUT_SECONDS):
                    while not condition():  # noqa: ASYNC110 - what it waits for sets no event
                        await anyio.sleep(0.005)

            await scenario(director, client, wait_until)
            tasks.cancel_scope.cancel()

    run_with_selector(run)
    return fake_router


def send_attempt(endpoint_id="s-00000001", after=90000, request_id=TRACE):
    return lambda now: [interface.SendAttempt(request_id, endpoint_id, now + after)]


def send_attempt_with_fill(source, after=90000, **overrides):
    fields = {
        "admission_rank": 2,
        "max_copy_age": 15,
        "may_join_fill": True,
        "revalidates": True,
        "source_cached_only": True,
        **overrides,
    }
    return lambda now: [interface.SendAttemptWithFill(TRACE, "s-00000001", now + after, source, **fields)]


def test_exception_in_the_router_fails_only_its_request():
    fake_router = FakeRouter(RequestReceived=[lambda now: 1 / 0, send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        assert client.connection.frames == [b"".join(client_wire.answer(1, 3, {}))]
        assert not director.requests
        director.admit(client, request_frame(2))
        director.manager.flush()
        await wait_until(lambda: len(client.connection.frames) == 2)

    run_director(fake_router, scenario)


def test_request_gets_one_answer_and_the_router_is_notified_of_a_later_attempt_end():
    def answer_twice(now):
        return [
            interface.SendAttempt(TRACE, "s-00000001", now + 90000),
            interface.RejectRequest(TRACE, 55),
            interface.FailRequest(TRACE),
        ]

    fake_router = FakeRouter(RequestReceived=[answer_twice])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert client.connection.frames == [b"".join(client_wire.answer(1, 2, {"pause": "5"}))]
        assert fake_router.events_of(interface.AttemptFinished)[0].request_closed
        assert not director.requests
        assert not client.open_requests

    run_director(fake_router, scenario)


def test_every_field_of_an_attempt_with_fill_is_sent():
    upstream = FakeUpstream()
    fake_router = FakeRouter(RequestReceived=[send_attempt_with_fill("s-00000002")])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, part="3", have="4be0c1927d55a6f3", nonce="715d2556fdad052d"))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))

    run_director(fake_router, scenario, (upstream, FakeUpstream()))
    _verb, request_id, fields, _ = upstream.next_command()
    assert request_id == TRACE
    assert 8900 < int(fields.pop("ms")) <= 9000
    assert fields == {
        "kind": "film",
        "obj": "7f3a9c21e0b4d655",
        "seg": "3",
        "token": "715d2556fdad052d",
        "parent": "s-00000002",
        "shelf": "2",
        "accept": "1",
        "hints": "join+held+renew",
        "got": "4be0c1927d55a6f3",
    }
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert (end.result, end.request_closed, end.cache_status, end.load_report) == ("done", True, 1, None)


@pytest.mark.parametrize(("route", "result"), [("order", "done"), ("film", "error")])
def test_digest_and_date_are_required_in_answers_to_reads_only(route, result):
    """The answer to a write is no copy; a copy without these fields can't be told from a corrupted one."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "ACK", "res=h", b"written"))
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, route=route))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == result


def test_load_report_values_have_the_order_of_the_settings():
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "AGAIN", "gauges=inflight:7;util:0.61", b"")
    )
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert list(director.requests) == [TRACE]  # the router has not ended the request yet

    run_director(fake_router, scenario, (upstream, upstream))
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert (end.result, end.request_closed, end.load_report) == ("full", False, (0.61, 7.0))


def test_not_modified_for_a_client_without_a_copy_is_an_error():
    """Guards against an upstream that reports the client's copy as current although the client has none."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "NOMOD", "-", b""))
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not client.connection.frames

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == "error"


@pytest.mark.parametrize(
    "update",
    ["drain", "drain of the source", "new address", "purge", "group purge", "purge of another object"],
)
def test_unsent_attempt_is_withdrawn_after_a_drain_a_move_or_a_purge(update):
    """Guards drains and purges: an attempt that still waits for its connection must not be sent later."""
    fake_router = FakeRouter(RequestReceived=[send_attempt_with_fill("s-00000002")])

    async def scenario(director, client, wait_until):
        upstream = director.pool.upstreams["s-00000001"]
        director.admit(client, request_frame(1, group="17"))
        (upstream_connection,) = upstream.connections  # not connected yet: the event loop has not run
        if update.startswith("drain"):
            entry = endpoint_config(
                "s-00000002" if "source" in update else "s-00000001", "127.0.0.1:9", status="DRAINING"
            )
            event = {"index": 2, "endpoints": {"endpoints": [entry], "snapshot": False}}
        elif update == "new address":
            event = {"index": 2, "endpoints": {"endpoints": [endpoint_config("s-00000001", "127.0.0.1:9")]}}
        elif update == "purge of another object":
            event = {"index": 2, "evict": {"ref": f"{5:016x}", "unix_ms": 5}}
        else:
            purged = {"ref": "7f3a9c21e0b4d655"} if update == "purge" else {"shard": 17}
            event = {"index": 2, "evict": {**purged, "unix_ms": 5}}
        config = read_director_config(configuration([], updates=[event]))
        director.discovery.apply(config.known[1])
        results = [end.result for end in fake_router.events_of(interface.AttemptFinished)]
        assert results == ([] if update == "purge of another object" else ["unsent"])
        assert bool(upstream_connection.connection.pending_frames) is (update == "purge of another object")

    run_director(fake_router, scenario)


def test_timers_fire_in_order_and_a_timeout_cancels_its_attempt():
    fake_router = FakeRouter(
        InstanceStarted=[
            lambda now: [
                interface.SetTimer(600, "b"),
                interface.SetTimer(20, "a"),
                interface.SetWatch(True),
                interface.RequestFullList(),
            ]
        ],
        RequestReceived=[send_attempt(after=400)],
        AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]],
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.TimerFired)) == 2)
        assert client.connection.frames == [b"".join(client_wire.answer(1, 3, {}))]

    upstream = FakeUpstream(lambda command: None)
    run_director(fake_router, scenario, (upstream, upstream))
    assert [event.token for event in fake_router.events_of(interface.TimerFired)] == ["a", "b"]
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert end.result == "timeout"
    assert end.duration >= 390
    assert not end.request_closed
    assert upstream.next_command("never_mind")[1] == TRACE


def test_connection_that_was_silent_until_a_timeout_gets_no_further_attempts():
    """Guards against connections to a machine that has vanished: they stay open and never answer."""
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(after=200)],
        AttemptFinished=[send_attempt(after=200), lambda now: [interface.FailRequest(TRACE)]],
    )
    upstream = FakeUpstream(lambda command: None)

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)

    run_director(fake_router, scenario, (upstream, upstream))
    assert upstream.next_command()[3] is not upstream.next_command()[3]


@pytest.mark.parametrize("is_blocked", [False, True])
def test_attempt_is_cancelled_on_the_wire_before_the_next_one_is_sent(is_blocked):
    """Guards against two attempts of one request in flight together.

    When two requests timed out together and each was retried on the connection of the other, output was
    written connection by connection, so that a second attempt was sent before the cancellation of the first.
    """
    other = TRACE[::-1]
    fake_router = FakeRouter(
        RequestReceived=[send_attempt("s-00000001"), send_attempt("s-00000002", request_id=other)],
        AttemptFinished=[send_attempt("s-00000002"), send_attempt("s-00000001", request_id=other)],
    )
    may_read = threading.Event()  # until it is set, the first upstream reads nothing after its first command
    upstreams = (
        FakeUpstream(lambda command: is_blocked and may_read.wait(TIMEOUT_SECONDS) and None),
        FakeUpstream(lambda command: None),
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: upstreams[0].request_ids and upstreams[1].request_ids)
        first = director.pool.upstreams["s-00000001"].connections[0]
        if is_blocked:
            first.connection.write_now((b"x" * 2**24,))  # more than the socket accepts
        for request in list(director.requests.values()):
            director.attempts.abandon(request.attempt, AttemptEnd.TIMED_OUT)
        connections = [
            upstream_connection.connection
            for upstream in director.pool.upstreams.values()
            for upstream_connection in upstream.connections
        ]
        queued = [
            b"".join(frame.render()) for connection in connections for frame in connection.pending_frames
        ]
        assert first.connection.is_closed
        assert first.connection.outbound.size == 0
        assert any(other.encode() in frame for frame in queued)
        assert not any(b"never_mind" in frame for frame in queued)

    run_director(fake_router, scenario, upstreams)
    may_read.set()
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)][:2] == [
        "timeout",
        "timeout",
    ]
    if not is_blocked:
        assert upstreams[0].next_command("never_mind")[1] == TRACE
        assert upstreams[1].next_command("never_mind")[1] == other


def test_health_checks_and_gossip_are_sent_and_received():
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "AILING", "gauges=util:0.5;inflight:2", b"")
    )
    own_socket, peer_socket = (
        open_datagram_socket(("127.0.0.1", 0)),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
    )
    peer_socket.bind(("127.0.0.1", 0))
    peer_socket.settimeout(TIMEOUT_SECONDS)
    peers = [f"127.0.0.1:{each.getsockname()[1]}" for each in (own_socket, peer_socket)]
    fake_router = FakeRouter(
        EndpointsUpdated=[
            lambda now: [
                interface.SendHealthCheck("s-00000001"),
                interface.SendGossip(1, b"one"),
                interface.SendGossip(None, b"all"),
            ]
        ]
    )

    async def scenario(director, client, wait_until):
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.HealthCheckFinished))
        assert [peer_socket.recv(300), peer_socket.recv(300)] == [b"one", b"all"]
        peer_socket.sendto(b"back", own_socket.getsockname())
        await wait_until(lambda: fake_router.events_of(interface.GossipReceived))

    run_director(fake_router, scenario, (upstream, upstream), own_socket, peers=peers, peers_all=peers[1])
    (health_check,) = fake_router.events_of(interface.HealthCheckFinished)
    assert (health_check.endpoint_id, health_check.result, health_check.load_report) == (
        "s-00000001",
        "error",
        (0.5, 2.0),
    )
    assert fake_router.events_of(interface.GossipReceived) == [interface.GossipReceived(1, b"back")]


def test_attempt_past_its_deadline_is_never_sent_and_a_disconnect_removes_its_request():
    fake_router = FakeRouter(
        RequestReceived=[lambda now: [interface.SendAttempt(TRACE, "s-00000001", now - 1)]]
    )
    upstream = FakeUpstream()

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        client.open_requests.clear()
        director.on_client_disconnected(director.requests[TRACE])
        assert not director.requests

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == RESULTS[AttemptEnd.NOT_SENT]
    assert upstream.commands.empty()


def test_time_before_a_request_was_read_counts_against_its_patience():
    """Guards against stops of the process: requests that it reads just afterwards have waited already."""
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        client.connection.empty_at = time.monotonic() - 0.2
        director.admit(client, request_frame(1, patience="900"))
        director.monitor.loop_lag = 1000
        director.admit(client, request_frame(2, patience="900", trace=TRACE[::-1]))

    first, second = (
        event.time_remaining
        for event in run_director(fake_router, scenario).events_of(interface.RequestReceived)
    )
    assert 7000 < first <= 7500
    assert 6000 < second <= 6500


def test_repeated_start_time_of_an_endpoint_gives_the_same_instant():
    """Guards against drift between the two clocks: a changed start time looks like another restart, and a
    restart makes the router forget what it knows of the endpoint."""
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        for index in (2, 3):
            row = endpoint_config("s-00000001", "127.0.0.1:9", since_ms=1764576000123)
            update = {"index": index, "endpoints": {"endpoints": [row], "snapshot": False}}
            director.discovery.apply(read_director_config(configuration([], updates=[update])).known[1])
            director.clock.from_unix = lambda unix_ms: 10**12

    _, first, second = (
        event.endpoints[0].started_at
        for event in run_director(fake_router, scenario).events_of(interface.EndpointsUpdated)
    )
    assert first == second < 10**12


def test_unix_times_are_converted_to_instants_of_the_router():
    clock = Clock()
    two_seconds_ago = int(clock.unix_age(0) // 10) - 2000
    assert 20_000 <= clock.unix_age(two_seconds_ago) < 30_000
    assert -30_000 < clock.from_unix(two_seconds_ago) - clock.now() <= -19_999


def endpoint_update(index, *entries, snapshot=False):
    event = {"index": index, "endpoints": {"endpoints": list(entries), "snapshot": snapshot}}
    return read_director_config(configuration([], updates=[event])).known[1]


def test_removed_endpoints_are_forgotten():
    """Guards memory use over a long time in which new ids replace old ones continually."""
    router = Router(read_director_config(configuration([])).deployment, 1)

    async def scenario(director, client, wait_until):
        for i in range(1000):
            new = endpoint_config(f"s-{i + 16:08x}", "127.0.0.1:9")
            director.discovery.apply(
                endpoint_update(
                    i + 2, new, endpoint_config(f"s-{i + 15:08x}", "127.0.0.1:9", status="DELETED")
                )
            )
            director.close_idle_connections()
        assert len(director.pool.upstreams) == len(router.upstreams.by_id) == 3

    run_director(router, scenario)


@pytest.mark.parametrize("written", [True, False, "one times out"])
def test_broken_connection_is_one_failure_however_many_attempts_are_in_flight_on_it(written):
    """One reset must not count as many failures of a healthy endpoint, nor make the other requests wait."""
    request_ids = [f"{i:016x}" for i in range(6)]
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(request_id=request_id) for request_id in request_ids]
    )
    upstream = FakeUpstream(lambda command: None)

    async def scenario(director, client, wait_until):
        director.pool.connections_per_upstream = 1
        for i, request_id in enumerate(request_ids):
            director.admit(client, request_frame(i + 1, trace=request_id))
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        if written:
            director.manager.flush()
            await wait_until(lambda: len(upstream.request_ids) == 6)
        else:
            upstream_connection.connection.is_connected = True  # while nothing has been written yet
        if isinstance(written, str):
            director.attempts.abandon(director.requests[request_ids[0]].attempt, AttemptEnd.TIMED_OUT)
        upstream_connection.connection.close(AttemptEnd.RESET)

    run_director(fake_router, scenario, (upstream, upstream))
    results = [end.result for end in fake_router.events_of(interface.AttemptFinished)]
    expected = {True: ["reset"] + ["cancelled"] * 5, False: ["cut"] + ["unsent"] * 5}
    assert results == expected.get(written, ["timeout"] + ["cancelled"] * 5)


@pytest.mark.parametrize("data_is_unread", [True, False])
def test_stalled_answer_closes_its_connection_unless_data_is_unread(data_is_unread):
    upstream = FakeUpstream(lambda command: b"*4\r\n$1")
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: upstream_connection.wire.has_partial_answer())
        upstream_connection.connection.last_received_at -= 1
        upstream_connection.connection.has_unread = lambda: data_is_unread
        upstream_connection.check_timeouts(director.clock.now(), 0)
        assert upstream_connection.connection.is_closed is not data_is_unread

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == (
        [] if data_is_unread else ["reset"]
    )


def test_attempts_are_spread_over_connections_and_an_idle_one_is_reused():
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=f"{i:016x}") for i in range(9)])
    upstreams = FakeUpstream(), FakeUpstream()

    async def scenario(director, client, wait_until):
        director.pool.connections_per_upstream, connections = (
            3,
            director.pool.upstreams["s-00000001"].connections,
        )
        for i in range(4):
            director.admit(client, request_frame(i + 1, trace=f"{i:016x}"))
        assert [len(each.operations) for each in connections] == [2, 1, 1]
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 4)
        director.admit(client, request_frame(5, trace=f"{4:016x}"))
        assert len(connections) == 3
        assert sum(len(each.operations) for each in connections) == 1

    run_director(fake_router, scenario, upstreams)


def test_closed_connections_leave_no_reference_cycles():
    """Guards memory use while garbage collection is rare: thousands of connections per minute must be freed
    by reference counting alone."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "NOENT", "-", b""))
    fake_router = FakeRouter(
        RequestReceived=[send_attempt()], AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]]
    )
    references = []

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        references.extend(
            weakref.ref(each.connection) for each in director.pool.upstreams["s-00000001"].connections
        )
        references.extend(weakref.ref(each) for each in director.pool.upstreams["s-00000001"].connections)
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)
        gc.collect()
        gc.disable()
        director.pool.upstreams["s-00000001"].connections[0].connection.close(AttemptEnd.CLOSED)
        await wait_until(lambda: not any(reference() for reference in references))

    try:
        run_director(fake_router, scenario, (upstream, upstream))
    finally:
        gc.enable()
    assert len(references) == 2


def test_answered_requests_do_not_keep_their_bodies_in_memory_until_their_deadlines():
    """Guards the memory limit: one client's large, answered requests took a director over it."""
    count, body_size = 60, 200_000
    traces = [f"{i:016x}" for i in range(count)]
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(request_id=trace) for trace in traces],
        AttemptFinished=[lambda now, trace=trace: [interface.FailRequest(trace)] for trace in traces],
    )

    async def scenario(director, client, wait_until):
        tracemalloc.start()
        for i, trace in enumerate(traces):
            director.admit(client, request_frame(i + 1, trace=trace)._replace(body=bytes(body_size)))
            director.manager.flush()
            await wait_until(lambda: not director.requests)
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert len(client.connection.frames) == count
        assert held_bytes < 10 * body_size

    run_director(fake_router, scenario)


def test_timers_of_ended_attempts_do_not_accumulate():
    """Guards memory: attempts that ended early left a timer each for as long as the longest deadline."""
    count = 1000
    timers, calls = Timers(Clock()), []
    later = Clock().now() + 90 * SECOND
    open_timers = [timers.schedule(later, lambda: calls.append("later")) for _ in range(10)]
    for _ in range(count):
        timers.cancel(timers.schedule(later, lambda: calls.append("cancelled")))
    assert len(timers) < count / 4
    timers.cancel(open_timers[0])
    timers.cancel(open_timers[0])
    timers.schedule(0, lambda: calls.append("due"))
    timers.fire_due()
    assert calls == ["due"]


def test_answer_older_than_the_maximum_copy_age_is_not_passed_on():
    """Guards purges against a cache that has forgotten them."""
    fake_router = FakeRouter(RequestReceived=[send_attempt_with_fill("s-00000002")])
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "ACK", "digest=4b,dated=1764576000123,res=h", b"old")
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not client.connection.frames

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == "error"


def test_longest_idle_clients_are_closed_for_new_ones_and_no_more_than_needed():
    """Guards ordinary clients: a client whose idle connection is closed reconnects at once, so closing many
    connections causes a burst of new ones (incident r6d922e)."""
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        clients, now = [], director.clock.now()
        for wait, has_requested in [(20000, True), (9000, True), (5000, False), (3000, True), (100, False)]:
            waiting_client = ClientConnection(director)
            waiting_client.connection = Connection(director.manager, waiting_client, 0)
            waiting_client.waiting_since, waiting_client.usage = (
                now - wait,
                Usage.REQUESTS if has_requested else Usage.NONE,
            )
            director.clients.add(waiting_client)
            clients.append(waiting_client)
        director.admit(clients[0], request_frame(1))

        def open_clients():
            return [
                clients.index(waiting_client)
                for waiting_client in director.clients
                if waiting_client.phase is Phase.OPEN
            ]

        assert director.clients.reclaim_descriptor(False)
        assert open_clients() == [0, 1, 3, 4]
        assert not director.clients.reclaim_descriptor(False)
        director.manager.max_concurrent_closes = lambda: len(clients)  # in effect no limit
        assert director.clients.reclaim_descriptor(True)
        assert open_clients() == [0, 3, 4]
        clients[3].on_data(clients[3].connection, memoryview(b"".join(client_wire.frame(9, 1))))
        assert open_clients() == [0, 4, 3]
        assert not director.clients.reclaim_descriptor(True)

    run_director(fake_router, scenario)
