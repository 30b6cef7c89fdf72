"""Bytes, closes and signals that come in just the wrong moment, each forced to come then."""

import errno
import os
import signal
import socket
import threading
import time
from random import Random
from typing import ClassVar

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import Address, ResourceLimits
from ironhinge.net import client_wire, connection_manager
from ironhinge.net.client_connection import ClientConnection, CloseCause, Phase, Usage
from ironhinge.net.clock import SECOND
from ironhinge.net.connection_manager import ConnectionManager
from ironhinge.net.shutdown import drain
from ironhinge.net.socket_calls import listen
from ironhinge.net.timed_selector import TimedSelector
from ironhinge.routing import Router
from ironhinge.routing.request_state import RequestState
from ironhinge.routing.slow_start import SAFETY_SHARE

from .helpers import (
    CACHES,
    TIMEOUT_SECONDS,
    DirectorProcess,
    FakeClient,
    FakeCoordinator,
    FakeUpstream,
    attempt_finished,
    configuration,
    endpoint_config,
    free_port,
    new_deployment,
    new_endpoint,
    new_router,
    request_received,
    resp_array,
    served_answer,
    settings,
)
from .test_director import TRACE, FakeRouter, request_frame, run_director, run_with_selector, send_attempt

DENIED = 2


def request_bytes(stream, trace=TRACE):
    """A request's bytes."""
    fields = {"route": "film", "trace": trace, "patience": "9000", "entity": "7f3a9c21e0b4d655"}
    return b"".join(client_wire.frame(7, stream, client_wire.write_fields(fields)))


def reclaim_nothing(is_full):
    """Nobody can be ended to make room."""
    return False


class RecordingReceiver:
    """A receiver that keeps what came."""

    def __init__(self):
        self.link, self.data, self.is_closed = None, b"", False

    def on_connected(self, link):
        self.link = link

    def on_data(self, link, data):
        self.data += bytes(data)

    def on_closed(self, link, ending):
        self.is_closed = True


def run_with_connection(scenario):
    """Runs a scene with a link of a driver's and the plain socket at its other end; buffers are small."""

    async def run(selector):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect(listener.getsockname())
        async with anyio.create_task_group() as tasks:
            manager, receiver = ConnectionManager(tasks, ResourceLimits(0, 0), selector), RecordingReceiver()
            manager.adopt(listener.accept()[0], receiver)
            receiver.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            with anyio.fail_after(TIMEOUT_SECONDS):
                await scenario(receiver, peer)
            tasks.cancel_scope.cancel()

    run_with_selector(run)


async def receive_all(peer):
    """What comes on a socket up to its orderly end; a reset raises."""
    peer.setblocking(False)
    data = b""
    while True:
        with anyio.fail_after(TIMEOUT_SECONDS):
            await anyio.wait_readable(peer)
        more = peer.recv(65536)
        if not more:
            return data
        data += more


def test_what_the_system_has_not_taken_can_be_taken_back():
    """Guards drains, purges and clients that left while a peer reads nothing: a frame that lies in the ring
    behind others has not begun."""

    async def scenario(receiver, peer):
        link = receiver.link
        frames = [link.write([bytes([65 + i]) * 3000, b"."]) for i in range(20)]
        link.send_pending()
        assert link.write_wait_scope is not None  # the system takes no more
        begun = [frame for frame in frames if not link.withdraw(frame)]
        assert 0 < len(begun) < 15
        assert begun == frames[: len(begun)]
        last = link.write([b"last"])
        link.finish()
        link.owner.flush()
        data = await receive_all(peer)
        expected = b"".join(bytes([65 + i]) * 3000 + b"." for i in range(len(begun)))
        assert data == expected + b"last"
        assert link.is_written(last)
        assert not link.owner.queued_bytes

    run_with_connection(scenario)


def test_nothing_begins_for_a_client_that_left_where_nothing_may_be_called_off():
    """A dispatch that waits for its connection is not written once its client has gone."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(
        RequestReceived=[
            send_attempt(),
            lambda now: [interface.SendAttempt(TRACE[::-1], "s-00000001", now + 90000)],
        ]
    )

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        client.on_data(client.connection, memoryview(b"".join(client_wire.frame(9, 1))))
        director.manager.flush()
        (link,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: link.connection.is_connected)
        director.admit(client, request_frame(2, trace=TRACE[::-1]))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["unsent", "done"]
    assert upstream.next_command()[1] == TRACE[::-1]
    assert upstream.request_ids == {TRACE[::-1]}


@pytest.mark.parametrize("by", ["sweep", "crowd"])
def test_a_request_that_comes_as_a_resting_connection_is_ended_is_answered(by):
    """The bytes come right after the look for unread ones. The client is told first, and all that comes for a
    while after that is answered; then our side ends, and no reset takes anything along."""
    fake_router = FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]])

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(director)
        director.manager.adopt(listener.accept()[0], client)
        client.connection.has_unread = lambda: False
        now = director.clock.now()
        if by == "sweep":
            client.check_timeouts(now + 10**6)
        else:
            client.waiting_since, client.usage = now - 10**6, Usage.REQUESTS
            assert director.clients.reclaim_descriptor(True)
        assert client.phase is Phase.ANNOUNCED
        peer.sendall(request_bytes(1))
        director.manager.flush()
        expected = b"".join(client_wire.goaway()) + b"".join(client_wire.answer(1, DENIED, {}))
        await wait_until(
            lambda: not client.open_requests and fake_router.events_of(interface.RequestReceived)
        )
        client.waiting_since -= 10**6  # quiet for long enough
        client.check_timeouts(director.clock.now() + 10**6)
        assert client.phase is Phase.HALF_CLOSED
        client.close_not_before = director.clock.now() + 10**6
        director.manager.flush()
        assert await receive_all(peer) == expected
        for _ in range(2):  # what comes later still meets no reset
            peer.sendall(b"more")
            await anyio.wait_all_tasks_blocked()
        assert not peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        peer.close()
        await wait_until(lambda: client not in director.clients)

    run_director(fake_router, scenario)
    assert len(fake_router.events_of(interface.RequestReceived)) == 1


def test_a_connection_in_use_does_not_end_while_requests_come_on_it():
    """A client that goes on asking after the announcement is answered each time."""
    fake_router = FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]] * 3)

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(director)
        director.manager.adopt(listener.accept()[0], client)
        client.announce_close(CloseCause.IDLE, 100)
        for stream in (1, 2, 3):
            peer.sendall(request_bytes(stream))
            await wait_until(lambda: director.diagnostics.counters["denied"] == stream)  # noqa: B023
            client.check_timeouts(client.waiting_since + client.quiet_period - 1)
            assert client.phase is Phase.ANNOUNCED

    run_director(fake_router, scenario)


def test_a_second_answer_is_not_taken_for_the_next_dispatchs():
    """A node answers twice, and the second answer comes when the same req is out there again."""
    conns = []

    def handle_command(command):
        if command[0] != "want":
            return None
        conns.append(command[3])
        if len(conns) == 1:
            return resp_array(command[1], "EIO", "-", b"")
        conns[0].sendall(resp_array(command[1], "NOENT", "-", b""))
        return served_answer(command[1], b"the bytes") if conns[1] is not conns[0] else None

    upstream = FakeUpstream(handle_command)
    fake_router = FakeRouter(RequestReceived=[send_attempt()], AttemptFinished=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["error", "done"]


@pytest.mark.parametrize("when", ["with the answer", "after it", "and never more"])
def test_what_follows_an_answer_is_not_read_as_a_part_of_the_next(when):
    """A node sends more than belongs to its answer, half a line, or begins an answer and never ends it."""
    more = threading.Event()

    def handle_command(command):
        if command[0] != "want" or command[1] != TRACE:
            return served_answer(command[1], b"other bytes") if command[0] == "want" else None
        if when == "with the answer":
            return served_answer(command[1], b"the bytes") + b"*4\r\n$9"
        if when == "after it":
            threading.Thread(
                target=lambda: more.wait(TIMEOUT_SECONDS) and command[3].sendall(b"*4\r\n$9")
            ).start()
            return served_answer(command[1], b"the bytes")
        return b"*4\r\n$16\r\n"

    upstream, other = FakeUpstream(handle_command), TRACE[::-1]
    first = lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 2000)]  # noqa: E731
    fake_router = FakeRouter(
        RequestReceived=[first, send_attempt(request_id=other)], AttemptFinished=[lambda now: []]
    )

    async def scenario(director, client, wait_until):
        director.pool.transport = director.pool.transport._replace(connect_timeout=10**6)
        director.admit(client, request_frame(1))
        director.manager.flush()
        (link,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        more.set()
        if when == "after it":
            await wait_until(lambda: link.wire.has_partial_answer() or link.connection.is_closed)
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[1].result == "done"


def test_a_connection_that_its_node_has_closed_takes_no_dispatch():
    """Guards reqs that must not run twice: the close has come, and was not read yet."""
    conns, other = [], TRACE[::-1]

    def handle_command(command):
        conns.append(command[3])
        return served_answer(command[1], b"the bytes")

    upstream = FakeUpstream(handle_command)
    fake_router = FakeRouter(RequestReceived=[send_attempt(), send_attempt(request_id=other)])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        (link,) = director.pool.upstreams["s-00000001"].connections
        conns[0].shutdown(socket.SHUT_RDWR)
        while not link.connection.peer_has_closed():
            time.sleep(0.001)  # noqa: ASYNC251 - the event loop must have no turn
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "done"]


@pytest.mark.parametrize(
    "text", ["[]", '{"settings": 5}', '{"listen": 5}', '{"known": {"updates": [5]}}', "5"]
)
def test_no_file_at_sighup_ends_the_program(short, text):
    program, _ = short
    program.config_path.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while "config_reload_failed kept=old" not in program.log_text() and time.monotonic() < deadline:
        time.sleep(0.01)
    assert FakeClient(program.port).is_ready()
    assert "config_reload_failed kept=old" in program.log_text()


@pytest.mark.parametrize("named", ["digest=aaaa", "res=h"])
def test_a_clients_copy_is_current_only_if_the_node_names_it(named):
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "NOMOD", f"dated={int(time.time() * 1000)},{named}", b"")
    )
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, have="4be0c1927d55a6f3"))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not client.connection.frames

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == "error"


def test_the_coordinator_is_reached_while_no_descriptor_is_left_for_others():
    coordinator = FakeCoordinator()

    async def scenario(director, client, wait_until):
        director.manager.descriptor_limit = director.manager.open_sockets
        director.manager.task_group.start_soon(director.discovery.follow)
        await wait_until(
            lambda: (
                director.discovery.connection is not None
                and director.discovery.connection.connection.is_connected
            )
        )

    run_director(FakeRouter(), scenario, coordinator=coordinator.address)


def test_an_idle_connection_to_a_node_makes_room_for_another_nodes():
    """Guards the way to nodes where there are more of them than descriptors."""
    upstreams = FakeUpstream(has_all_objects=True), FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(), send_attempt("s-00000002", request_id=TRACE[::-1])]
    )

    async def scenario(director, client, wait_until):
        director.manager.descriptor_limit = director.manager.open_sockets + 1
        for stream, trace in enumerate((TRACE, TRACE[::-1])):
            director.admit(client, request_frame(stream + 1, trace=trace))
            director.manager.flush()
            await wait_until(
                lambda: (
                    len(fake_router.events_of(interface.AttemptFinished))
                    == director.diagnostics.counters["requests"]
                )
            )

    run_director(fake_router, scenario, upstreams)
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "done"]


def test_reqs_read_when_all_is_said_are_answered_at_once_and_sent_nowhere():
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        director.begin_shutdown(5000)
        director.stop_admitting()
        director.admission_deadline -= 1
        director.admit(client, request_frame(1))
        assert client.connection.frames[-1] == b"".join(client_wire.answer(1, DENIED, {}))

    run_director(fake_router, scenario)
    assert not fake_router.events_of(interface.RequestReceived)


def test_the_backlog_is_taken_before_the_listener_closes():
    async def run():
        async with anyio.create_task_group() as tasks:
            manager, receivers = ConnectionManager(tasks, ResourceLimits(0, 0), TimedSelector()), []
            listener = listen(Address("127.0.0.1", 0))
            at = listener.getsockname()
            tasks.start_soon(manager.accept, listener, RecordingReceiver, reclaim_nothing)
            await anyio.wait_all_tasks_blocked()
            peers = [socket.create_connection(at) for _ in range(3)]  # no turn for accept
            await manager.close_listener(
                listener, lambda: receivers.append(RecordingReceiver()) or receivers[-1], reclaim_nothing, 5.0
            )
            assert len(receivers) == 3
            assert all(each.link.is_connected for each in receivers)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(at)
            for peer in peers:
                peer.sendall(b"a req")
            with anyio.fail_after(TIMEOUT_SECONDS):
                while any(each.data != b"a req" for each in receivers):  # noqa: ASYNC110 - no event to await
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def short_settings():
    """Reqs live for 0.3 s, so that SIGKILL may come 1 s after SIGTERM."""
    custom_settings = settings()
    for request_class in custom_settings["classes"]:
        request_class.update(aim=100000, deadline=300000)
    return custom_settings


def test_leaving_ends_each_silent_connection_in_order_before_the_program_may_be_killed():
    """And not the end of the program: it resets what holds unread bytes. The backlog's one is ended too."""
    seen = []

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peers = [socket.create_connection(listener.getsockname()) for _ in range(2)]
        director.manager.adopt(listener.accept()[0], ClientConnection(director))
        began = time.monotonic()
        director.manager.task_group.start_soon(drain, director, listener)
        for peer in peers:
            seen.append(await receive_all(peer))
        assert time.monotonic() - began < 1.0

    run_director(Router, scenario, settings=short_settings())
    assert seen == [b"".join(client_wire.goaway())] * 2


@pytest.fixture
def short(tmp_path):
    """A director before one silent node."""
    upstream, custom_settings = FakeUpstream(lambda command: None), short_settings()
    listen_at = f"127.0.0.1:{free_port()}"
    endpoints = [endpoint_config("s-00000001", upstream.address)]
    program = DirectorProcess(tmp_path, configuration(endpoints, listen_at, settings=custom_settings))
    yield program, upstream
    program.stop()


def test_requests_on_open_connections_are_answered_until_the_kill_and_late_ones_reach_no_node(short):
    """SIGKILL may come 1 s after SIGTERM; clients send until then. A second SIGTERM and a SIGHUP come
    meanwhile. One that is never killed ends by itself, in order."""
    program, upstream = short
    resting, busy = FakeClient(program.port), FakeClient(program.port)
    assert resting.is_ready()
    stream = busy.send_request(patience=300)
    upstream.next_command()
    program.process.send_signal(signal.SIGTERM)
    began = time.monotonic()
    assert busy.read_frame()[:2] == (3, 0)
    for number in (signal.SIGTERM, signal.SIGHUP):
        program.process.send_signal(number)
    assert busy.read_answer(stream)[0] == DENIED
    assert resting.read_frame()[:2] == (3, 0)
    time.sleep(max(0.0, began + 0.8 - time.monotonic()))
    while time.monotonic() < began + 1.1:  # until after the kill
        for client in (resting, busy):
            asked_at = time.monotonic()
            assert client.read_answer(client.send_request(patience=300))[0] == DENIED
            assert time.monotonic() - asked_at < 0.2
    for client in (resting, busy):
        with pytest.raises(EOFError):  # and not a reset
            client.read_frame()
        client.sock.close()
    assert program.process.wait(timeout=TIMEOUT_SECONDS) == 0
    assert time.monotonic() - began < 2.0
    assert len(upstream.request_ids) == 1


def test_room_is_made_for_new_connections_while_the_program_ends():
    """Clients that rest hold all descriptors: they have been told of the end, and can go for others."""

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        resting = []
        for _ in range(4):
            peer = socket.create_connection(listener.getsockname())
            client = ClientConnection(director)
            director.manager.adopt(listener.accept()[0], client)
            client.usage, client.waiting_since = Usage.READINESS_ONLY, client.waiting_since - SECOND
            resting.append(peer)
        director.begin_shutdown(5 * SECOND)
        director.manager.descriptor_limit = director.manager.open_sockets
        late = socket.create_connection(listener.getsockname())
        late.sendall(request_bytes(1))
        await director.manager.close_listener(
            listener, lambda: ClientConnection(director), director.clients.reclaim_descriptor, 3.0
        )
        late.setblocking(False)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await anyio.wait_readable(late)
        assert late.recv(1000)

    run_director(FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]]), scenario)


def test_a_repeat_that_waits_past_the_window_is_never_sent():
    """Guards 'no effect twice': repeats are dropped for a while, and the connection comes up after that."""
    late = lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 90000, now + 200)]  # noqa: E731
    fake_router = FakeRouter(
        RequestReceived=[late], AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]]
    )

    async def scenario(director, client, wait_until):
        director.admit(
            client, request_frame(1)
        )  # not flushed: the connection is not up before the window ends
        (link,) = director.pool.upstreams["s-00000001"].connections
        link.connection.send_pending = lambda: None
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not link.connection.pending_frames

    run_director(fake_router, scenario)
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert end.result == "unsent"
    assert end.duration < 10000


def test_a_repeat_is_to_begin_within_the_window_of_the_first():
    router = new_router(new_deployment(cancellation_allowed=False))
    first = router.handle(1000, request_received("a", class_index=2))[0]
    then = router.handle(1100, attempt_finished(first, "reset"))[0]
    assert (first.start_deadline, then.start_deadline) == (
        0,
        1000 + router.deployment.request_classes[2].dedup_window,
    )


@pytest.mark.parametrize("count", [3, 9, 20, 30, 200])
def test_routers_that_all_have_a_request_at_once_overload_no_warming_cache(count):
    """Tokens that pile up while nothing is requested would be spent together, in a hot object's first moment.

    What is refilled within the overload window comes on top.
    """
    deployment = new_deployment(
        router_count=count, local_router_count=count, weight_kind="nominal", overload_window=10000
    )
    routers, seeds = [new_router(deployment, ("c0", "o")) for _ in range(count)], Random(count)
    start, total = 200000, 0
    for router in routers:
        router.random.state = seeds.getrandbits(64)  # each has a seed of its own
        router.handle(start, interface.EndpointsUpdated(False, (new_endpoint("c0", started_at=start),)))
        router.slow_start.allows(start, one_request(router, start), router.upstreams.by_id["c0"])
    for at in range(start + 10000, start + deployment.slow_start_duration, 2500):
        sent = 0
        for router in routers:
            cache, request = router.upstreams.by_id["c0"], one_request(router, at)
            before = cache.tokens, cache.tokens_updated_at
            while router.slow_start.allows(at, request, cache):  # all that it would send at once
                cache.tokens -= router.slow_start.cost(request, cache)
                sent += 1
            cache.tokens, cache.tokens_updated_at = before
        share = (
            deployment.slow_start_min_share
            + (1 - deployment.slow_start_min_share)
            * (at - deployment.overload_window - start)
            / deployment.slow_start_duration
        )
        cost = router.slow_start.cost(request, cache)
        most = deployment.overload_multiple * share * 20.0 * deployment.overload_window / cost
        assert sent + SAFETY_SHARE * most <= most + 2 * most**0.5 + 2
        total += sent
    assert total > 2 * (deployment.slow_start_duration - 10000) / 2500  # and the tokens are there


def test_a_warming_cache_has_a_cost_where_no_target_and_no_size_is_known():
    request_classes = tuple(
        request_class._replace(latency_target=0) for request_class in new_deployment().request_classes
    )
    router = new_router(new_deployment(request_classes=request_classes), ("c0", "o"))
    router.handle(1000, interface.EndpointsUpdated(False, (new_endpoint("c0", started_at=1000),)))
    assert router.handle(2000, request_received("a", size=0.0))


def test_a_failed_accept_takes_no_others_of_the_backlog_along(monkeypatch):
    """One that has gone, an interrupted call, and a moment without memory or descriptors."""
    monkeypatch.setattr(connection_manager.anyio, "notify_closing", lambda sock: None)
    numbers = errno.ECONNABORTED, errno.EINTR, errno.ENOBUFS, errno.ENFILE, errno.EPROTO, errno.ENETUNREACH

    class Backlog:
        found: ClassVar = [*(OSError(number, "as told") for number in numbers), socket.socket()]
        found.append(BlockingIOError(errno.EAGAIN, "all is taken"))

        def accept(self):
            one = self.found.pop(0)
            if isinstance(one, Exception):
                raise one
            return one, None

        def fileno(self):
            return -1

        def close(self): ...

    async def run():
        async with anyio.create_task_group() as tasks:
            one, receiver = (
                ConnectionManager(tasks, ResourceLimits(0, 0), TimedSelector()),
                RecordingReceiver(),
            )
            await one.close_listener(Backlog(), lambda: receiver, reclaim_nothing, 5.0)
            assert receiver.link is not None
            assert not Backlog.found
            tasks.cancel_scope.cancel()

    anyio.run(run)


def one_request(router, now):
    return RequestState(request_received("x", size=500.0), router.request_classes[0], now, 1000)


def test_a_restarted_router_serves_also_where_all_caches_warm_up_and_none_has_a_weight():
    """No throughput was seen yet, so that the capacity is unknown: still no upstream is starved."""
    deployment = new_deployment(
        weight_kind="none", router_count=4, local_router_count=4, direct_to_source=False
    )
    router, start = Router(deployment, 7), 10
    router.handle(
        start,
        interface.EndpointsUpdated(
            True, tuple(new_endpoint(n, started_at=start) for n in (*CACHES, "p0", "o"))
        ),
    )
    commands = [
        command
        for i in range(200)
        for command in router.handle(start + i * 500, request_received(f"a{i}", object_id=i, size=50.0))
    ]
    assert any(
        type(command) in (interface.SendAttempt, interface.SendAttemptWithFill) for command in commands
    )


def test_serve_imports_only_what_is_on():
    """What is off costs no time at the start, and the deploy file's list of parts stays true."""
    code = (
        "import sys, ironhinge.cli, ironhinge.net.service;"
        "print(*sorted({name.split('.')[1] for name in sys.modules if name.startswith('ironhinge.')}))"
    )
    found = os.popen(f'{os.sys.executable} -c "{code}"').read().split()
    assert found == ["cli", "config", "interface", "net", "routing"]
