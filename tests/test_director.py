"""The director with a scripted module: what it carries out, and what it tells."""

import asyncio
import gc
import socket
import threading
import time
import weakref

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import read_director_config
from ironhinge.net import client_wire
from ironhinge.net.attempt_end import RESULTS, AttemptEnd
from ironhinge.net.client_connection import ClientConnection, Phase, Usage
from ironhinge.net.clock import Clock
from ironhinge.net.connection import Connection
from ironhinge.net.connection_manager import ConnectionManager
from ironhinge.net.director import Director
from ironhinge.net.socket_calls import open_datagram_socket
from ironhinge.net.timed_selector import TimedSelector
from ironhinge.routing import Router

from .helpers import TIMEOUT_SECONDS, FakeUpstream, configuration, endpoint_config, resp_array

TRACE = "9b1f03aa5c7e2d41"


class FakeRouter:
    """In the module's place: answers each kind of happening with the next of its scripted actions."""

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


class FakeWriter:
    """In a client's link's place: keeps what is written."""

    def __init__(self):
        self.pending_frames, self.frames, self.unread_for = [], [], 0.0

    def write(self, pieces, tag=0, expires_at=None):
        self.frames.append(b"".join(pieces))

    def empty_until(self):
        return time.monotonic() - self.unread_for

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
    """Runs a scene with a director before two nodes; returns what the module was told."""
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
            client.connection = FakeWriter()

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


def test_a_fault_of_the_module_costs_the_req_not_the_program():
    fake_router = FakeRouter(RequestReceived=[lambda now: 1 / 0, send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        assert client.connection.frames == [b"".join(client_wire.answer(1, 3, {}))]
        assert not director.requests
        director.admit(client, request_frame(2))
        director.manager.flush()
        await wait_until(lambda: len(client.connection.frames) == 2)

    run_director(fake_router, scenario)


def test_a_req_takes_one_answer_and_late_ends_still_reach_the_module():
    def twice(now):
        return [
            interface.SendAttempt(TRACE, "s-00000001", now + 90000),
            interface.RejectRequest(TRACE, 55),
            interface.FailRequest(TRACE),
        ]

    fake_router = FakeRouter(RequestReceived=[twice])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert client.connection.frames == [b"".join(client_wire.answer(1, 2, {"pause": "5"}))]
        assert fake_router.events_of(interface.AttemptFinished)[0].request_closed
        assert not director.requests
        assert not client.open_requests

    run_director(fake_router, scenario)


def test_every_field_of_a_fetch_is_on_the_wire():
    upstream = FakeUpstream()
    fake_router = FakeRouter(RequestReceived=[send_attempt_with_fill("s-00000002")])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, part="3", have="4be0c1927d55a6f3", nonce="715d2556fdad052d"))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))

    run_director(fake_router, scenario, (upstream, FakeUpstream()))
    _verb, name, fields, _ = upstream.next_command()
    assert name == TRACE
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
def test_only_copies_have_a_tag_and_a_date(route, result):
    """What answers a write is no copy; a read's bytes without them can't be told from spoilt ones."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "ACK", "res=h", b"written"))
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, route=route))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == result


def test_load_reports_come_in_the_order_of_the_settings():
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "AGAIN", "gauges=inflight:7;util:0.61", b"")
    )
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert list(director.requests) == [TRACE]  # the module has not answered it yet

    run_director(fake_router, scenario, (upstream, upstream))
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert (end.result, end.request_closed, end.load_report) == ("full", False, (0.61, 7.0))


def test_same_for_a_client_without_a_copy_is_no_answer():
    """Guards against a node that says the client's copy is the one when there is none."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "NOMOD", "-", b""))
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not client.connection.frames

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == "error"


@pytest.mark.parametrize("news", ["drain", "drain of the source", "move", "purge", "group purge", "other"])
def test_what_waits_for_a_connection_is_taken_back_by_news(news):
    """Guards drains and purges: a dispatch that could not be sent yet is not sent later."""
    fake_router = FakeRouter(RequestReceived=[send_attempt_with_fill("s-00000002")])

    async def scenario(director, client, wait_until):
        upstream = director.pool.upstreams["s-00000001"]
        director.admit(client, request_frame(1, group="17"))
        (waiting,) = upstream.connections  # not up yet: the event loop had no turn
        if news.startswith("drain"):
            entry = endpoint_config(
                "s-00000002" if "source" in news else "s-00000001", "127.0.0.1:9", status="DRAINING"
            )
            event = {"index": 2, "endpoints": {"endpoints": [entry], "snapshot": False}}
        elif news == "move":
            event = {"index": 2, "endpoints": {"endpoints": [endpoint_config("s-00000001", "127.0.0.1:9")]}}
        elif news == "other":
            event = {"index": 2, "evict": {"ref": f"{5:016x}", "unix_ms": 5}}
        else:
            which = {"ref": "7f3a9c21e0b4d655"} if news == "purge" else {"shard": 17}
            event = {"index": 2, "evict": {**which, "unix_ms": 5}}
        config = read_director_config(configuration([], updates=[event]))
        director.discovery.apply(config.known[1])
        taken = [end.result for end in fake_router.events_of(interface.AttemptFinished)]
        assert taken == ([] if news == "other" else ["unsent"])
        assert bool(waiting.connection.pending_frames) is (news == "other")

    run_director(fake_router, scenario)


def test_timers_ring_and_time_outs_end_dispatches_in_order():
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
    assert [what.token for what in fake_router.events_of(interface.TimerFired)] == ["a", "b"]
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert end.result == "timeout"
    assert end.duration >= 390
    assert not end.request_closed
    assert upstream.next_command("never_mind")[1] == TRACE


def test_a_connection_silent_through_a_time_out_takes_nothing_more():
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


@pytest.mark.parametrize("stuck", [False, True])
def test_a_dispatch_is_given_up_on_the_wire_before_the_next_one_is_written(stuck):
    """Guards against two dispatches out together: time-outs that cross between two connections were written
    connection by connection, so that the second dispatch of one came before the end of its first."""
    other = TRACE[::-1]
    fake_router = FakeRouter(
        RequestReceived=[send_attempt("s-00000001"), send_attempt("s-00000002", request_id=other)],
        AttemptFinished=[send_attempt("s-00000002"), send_attempt("s-00000001", request_id=other)],
    )
    reading = threading.Event()  # until then the first node takes one command and reads no further
    upstreams = (
        FakeUpstream(lambda command: stuck and reading.wait(TIMEOUT_SECONDS) and None),
        FakeUpstream(lambda command: None),
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: upstreams[0].request_ids and upstreams[1].request_ids)
        first = director.pool.upstreams["s-00000001"].connections[0]
        if stuck:
            first.connection.write_now((b"x" * 2**24,))  # more than the system takes
        for req in list(director.requests.values()):
            director.attempts.abandon(req.attempt, AttemptEnd.TIMED_OUT)
        links = [
            each.connection for upstream in director.pool.upstreams.values() for each in upstream.connections
        ]
        queued = [b"".join(frame.render()) for link in links for frame in link.pending_frames]
        assert first.connection.is_closed
        assert first.connection.inbound.size == first.connection.outbound.size == 0
        assert any(other.encode() in each for each in queued)
        assert not any(b"never_mind" in each for each in queued)

    run_director(fake_router, scenario, upstreams)
    reading.set()
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)][:2] == [
        "timeout",
        "timeout",
    ]
    if not stuck:
        assert upstreams[0].next_command("never_mind")[1] == TRACE
        assert upstreams[1].next_command("never_mind")[1] == other


def test_probes_and_datagrams():
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "AILING", "gauges=util:0.5;inflight:2", b"")
    )
    ours, theirs = open_datagram_socket(("127.0.0.1", 0)), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    theirs.bind(("127.0.0.1", 0))
    theirs.settimeout(TIMEOUT_SECONDS)
    peers = [f"127.0.0.1:{each.getsockname()[1]}" for each in (ours, theirs)]
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
        assert [theirs.recv(300), theirs.recv(300)] == [b"one", b"all"]
        theirs.sendto(b"back", ours.getsockname())
        await wait_until(lambda: fake_router.events_of(interface.GossipReceived))

    run_director(fake_router, scenario, (upstream, upstream), ours, peers=peers, peers_all=peers[1])
    (probed,) = fake_router.events_of(interface.HealthCheckFinished)
    assert (probed.endpoint_id, probed.result, probed.load_report) == ("s-00000001", "error", (0.5, 2.0))
    assert fake_router.events_of(interface.GossipReceived) == [interface.GossipReceived(1, b"back")]


def test_a_dispatch_past_its_time_or_after_the_end_is_never_sent():
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


def test_a_wait_before_reading_counts_against_the_clients_patience():
    """Guards against pauses of the program: what it reads first has waited already."""
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        client.connection.unread_for = 0.2
        director.admit(client, request_frame(1, patience="900"))
        director.monitor.loop_lag = 1000
        director.admit(client, request_frame(2, patience="900", trace=TRACE[::-1]))

    first, second = (
        what.time_remaining
        for what in run_director(fake_router, scenario).events_of(interface.RequestReceived)
    )
    assert 7000 < first <= 7500
    assert 6000 < second <= 6500


def test_a_start_told_again_is_the_same_instant():
    """Guards against the two clocks drifting: a start that moves on looks like another restart, and a restart
    makes the module forget what it knew of the node."""
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        for index in (2, 3):
            row = endpoint_config("s-00000001", "127.0.0.1:9", since_ms=1764576000123)
            event = {"index": index, "endpoints": {"endpoints": [row], "snapshot": False}}
            director.discovery.apply(read_director_config(configuration([], updates=[event])).known[1])
            director.clock.from_unix = lambda unix_ms: 10**12

    _, first, second = (
        what.endpoints[0].started_at
        for what in run_director(fake_router, scenario).events_of(interface.EndpointsUpdated)
    )
    assert first == second < 10**12


def test_unix_times_become_instants_of_the_module():
    clock = Clock()
    ago = int(clock.unix_age(0) // 10) - 2000
    assert 20_000 <= clock.unix_age(ago) < 30_000
    assert -30_000 < clock.from_unix(ago) - clock.now() <= -19_999


def listed(index, *rows, snapshot=False):
    event = {"index": index, "endpoints": {"endpoints": list(rows), "snapshot": snapshot}}
    return read_director_config(configuration([], updates=[event])).known[1]


def test_nodes_that_are_gone_are_forgotten():
    """Guards the memory on a long day on which new ids replace old ones all the time."""
    router = Router(read_director_config(configuration([])).deployment, 1)

    async def scenario(director, client, wait_until):
        for i in range(1000):
            new = endpoint_config(f"s-{i + 16:08x}", "127.0.0.1:9")
            director.discovery.apply(
                listed(i + 2, new, endpoint_config(f"s-{i + 15:08x}", "127.0.0.1:9", status="DELETED"))
            )
            director.close_idle_connections()
        assert len(director.pool.upstreams) == len(router.upstreams.by_id) == 3

    run_director(router, scenario)


@pytest.mark.parametrize("written", [True, False, "and one times out"])
def test_a_connection_that_breaks_is_one_failure_however_many_are_out_on_it(written):
    """Guards a healthy node's name against a reset, and the reqs beside against another wait."""
    names = [f"{i:016x}" for i in range(6)]
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=name) for name in names])
    upstream = FakeUpstream(lambda command: None)

    async def scenario(director, client, wait_until):
        director.pool.connections_per_upstream = 1
        for i, name in enumerate(names):
            director.admit(client, request_frame(i + 1, trace=name))
        (carrier,) = director.pool.upstreams["s-00000001"].connections
        if written:
            director.manager.flush()
            await wait_until(lambda: len(upstream.request_ids) == 6)
        else:
            carrier.connection.is_connected = True  # and nothing was written yet
        if isinstance(written, str):
            director.attempts.abandon(director.requests[names[0]].attempt, AttemptEnd.TIMED_OUT)
        carrier.connection.close(AttemptEnd.RESET)

    run_director(fake_router, scenario, (upstream, upstream))
    results = [end.result for end in fake_router.events_of(interface.AttemptFinished)]
    ends = {True: ["reset"] + ["cancelled"] * 5, False: ["cut"] + ["unsent"] * 5}
    assert results == ends.get(written, ["timeout"] + ["cancelled"] * 5)


@pytest.mark.parametrize("late", [True, False])
def test_an_answer_that_stops_within_ends_its_connection_unless_it_is_we_who_are_late(late):
    upstream = FakeUpstream(lambda command: b"*4\r\n$1")
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        (carrier,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: carrier.wire.has_partial_answer())
        carrier.connection.last_received_at -= 1
        carrier.connection.has_unread = lambda: late
        carrier.check_timeouts(director.clock.now(), 0)
        assert carrier.connection.is_closed is not late

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == (
        [] if late else ["reset"]
    )


def test_what_is_out_is_spread_over_connections_and_an_idle_one_is_used_again():
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=f"{i:016x}") for i in range(9)])
    upstreams = FakeUpstream(), FakeUpstream()

    async def scenario(director, client, wait_until):
        director.pool.connections_per_upstream, links = 3, director.pool.upstreams["s-00000001"].connections
        for i in range(4):
            director.admit(client, request_frame(i + 1, trace=f"{i:016x}"))
        assert [len(each.operations) for each in links] == [2, 1, 1]
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 4)
        director.admit(client, request_frame(5, trace=f"{4:016x}"))
        assert len(links) == 3
        assert sum(len(each.operations) for each in links) == 1

    run_director(fake_router, scenario, upstreams)


def test_connections_that_end_leave_no_circles():
    """Guards the memory while collection is rare: thousands of connections a minute must free themselves."""
    upstream = FakeUpstream(lambda command: resp_array(command[1], "NOENT", "-", b""))
    fake_router = FakeRouter(
        RequestReceived=[send_attempt()], AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]]
    )
    seen = []

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        seen.extend(
            weakref.ref(each.connection) for each in director.pool.upstreams["s-00000001"].connections
        )
        seen.extend(weakref.ref(each) for each in director.pool.upstreams["s-00000001"].connections)
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)
        gc.collect()
        gc.disable()
        director.pool.upstreams["s-00000001"].connections[0].connection.close(AttemptEnd.CLOSED)
        await wait_until(lambda: not any(each() for each in seen))

    try:
        run_director(fake_router, scenario, (upstream, upstream))
    finally:
        gc.enable()
    assert len(seen) == 2


def test_an_answer_older_than_was_asked_for_is_not_passed_on():
    """Guards purges against a node that forgets them."""
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


def test_room_for_new_clients_is_made_by_those_who_waited_longest_and_no_more_than_needed():
    """Guards usual clients: one whose idle connection is closed comes back at once, so closing many of them
    makes a crowd (the incident r6d922e)."""
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        clients, now = [], director.clock.now()
        for waited, asked in [(20000, True), (9000, True), (5000, False), (3000, True), (100, False)]:
            one = ClientConnection(director)
            one.connection = Connection(director.manager, one, 0, 0)
            one.waiting_since, one.usage = now - waited, Usage.REQUESTS if asked else Usage.NONE
            director.clients.add(one)
            clients.append(one)
        director.admit(clients[0], request_frame(1))

        def left():
            return [clients.index(one) for one in director.clients if one.phase is Phase.OPEN]

        assert director.clients.reclaim_descriptor(False)
        assert left() == [0, 1, 3, 4]
        assert not director.clients.reclaim_descriptor(False)
        director.manager.max_concurrent_closes = lambda: len(clients)  # as many as may be
        assert director.clients.reclaim_descriptor(True)
        assert left() == [0, 3, 4]
        clients[3].on_data(clients[3].connection, memoryview(b"".join(client_wire.frame(9, 1))))
        assert left() == [0, 4, 3]
        assert not director.clients.reclaim_descriptor(True)

    run_director(fake_router, scenario)
