"""Races on connections: data, closes and signals that are forced to arrive at the worst time."""

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

DENIED = 2  # result code on the wire


def request_bytes(stream, trace=TRACE):
    """Encodes a request frame."""
    fields = {"route": "film", "trace": trace, "patience": "9000", "entity": "7f3a9c21e0b4d655"}
    return b"".join(client_wire.frame(7, stream, client_wire.write_fields(fields)))


def reclaim_nothing(is_full):
    """A `reclaim_descriptor` that finds no connection to close."""
    return False


class RecordingReceiver:
    """A receiver that records its connection, the received data and the close."""

    def __init__(self):
        self.connection, self.data, self.is_closed = None, b"", False

    def on_connected(self, connection):
        self.connection = connection

    def on_data(self, connection, data):
        self.data += bytes(data)

    def on_closed(self, connection, end):
        self.is_closed = True


def run_with_connection(scenario):
    """Runs a scenario with a connection of a manager and the socket of its peer; socket buffers are small."""

    async def run(selector):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect(listener.getsockname())
        async with anyio.create_task_group() as tasks:
            manager, receiver = ConnectionManager(tasks, ResourceLimits(0, 0), selector), RecordingReceiver()
            manager.adopt(listener.accept()[0], receiver)
            receiver.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            with anyio.fail_after(TIMEOUT_SECONDS):
                await scenario(receiver, peer)
            tasks.cancel_scope.cancel()

    run_with_selector(run)


async def receive_all(peer):
    """Returns the data received up to an orderly end of the connection; a reset raises."""
    peer.setblocking(False)
    data = b""
    while True:
        with anyio.fail_after(TIMEOUT_SECONDS):
            await anyio.wait_readable(peer)
        chunk = peer.recv(65536)
        if not chunk:
            return data
        data += chunk


def test_frame_can_be_withdrawn_until_the_socket_accepts_part_of_it():
    """Guards drains, purges and disconnects of clients while a peer reads nothing: a frame in the ring buffer
    of which the socket has accepted no byte can still be withdrawn."""

    async def scenario(receiver, peer):
        connection = receiver.connection
        frames = [connection.write([bytes([65 + i]) * 3000, b"."]) for i in range(20)]
        connection.send_pending()
        assert connection.write_wait_scope is not None  # the socket accepts no more
        started_frames = [frame for frame in frames if not connection.withdraw(frame)]
        assert 0 < len(started_frames) < 15
        assert started_frames == frames[: len(started_frames)]
        last_frame = connection.write([b"last"])
        connection.finish()
        connection.owner.flush()
        data = await receive_all(peer)
        expected = b"".join(bytes([65 + i]) * 3000 + b"." for i in range(len(started_frames)))
        assert data == expected + b"last"
        assert connection.is_written(last_frame)
        assert not connection.owner.queued_bytes

    run_with_connection(scenario)


def test_queued_attempt_of_a_disconnected_client_is_not_sent_even_if_cancelling_is_not_allowed():
    """An attempt that waits for its connection is not sent after its client has disconnected."""
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
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: upstream_connection.connection.is_connected)
        director.admit(client, request_frame(2, trace=TRACE[::-1]))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["unsent", "done"]
    assert upstream.next_command()[1] == TRACE[::-1]
    assert upstream.request_ids == {TRACE[::-1]}


@pytest.mark.parametrize("cause", ["timeout", "capacity"])
def test_request_that_arrives_while_its_idle_connection_is_closed_is_answered(cause):
    """The request arrives just after the check for unread data.

    The client gets a GOAWAY first, and requests are answered for some time after that. Then this side is shut
    down, and no reset destroys data in flight.
    """
    fake_router = FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]])

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(director)
        director.manager.adopt(listener.accept()[0], client)
        client.connection.has_unread = lambda: False
        now = director.clock.now()
        if cause == "timeout":
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
        client.waiting_since -= 10**6  # the connection has been quiet long enough
        client.check_timeouts(director.clock.now() + 10**6)
        assert client.phase is Phase.HALF_CLOSED
        client.close_not_before = director.clock.now() + 10**6
        director.manager.flush()
        assert await receive_all(peer) == expected
        for _ in range(2):  # later data still causes no reset
            peer.sendall(b"more")
            await anyio.wait_all_tasks_blocked()
        assert not peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        peer.close()
        await wait_until(lambda: client not in director.clients)

    run_director(fake_router, scenario)
    assert len(fake_router.events_of(interface.RequestReceived)) == 1


def test_connection_in_use_is_not_closed_while_requests_arrive_on_it():
    """A client that keeps sending requests after the GOAWAY gets an answer each time."""
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


def test_second_answer_is_not_taken_for_the_answer_of_the_next_attempt():
    """An upstream answers twice; the second answer arrives while the request is in flight there again."""
    connections = []

    def handle_command(command):
        if command[0] != "want":
            return None
        connections.append(command[3])
        if len(connections) == 1:
            return resp_array(command[1], "EIO", "-", b"")
        connections[0].sendall(resp_array(command[1], "NOENT", "-", b""))
        return served_answer(command[1], b"the bytes") if connections[1] is not connections[0] else None

    upstream = FakeUpstream(handle_command)
    fake_router = FakeRouter(RequestReceived=[send_attempt()], AttemptFinished=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["error", "done"]


@pytest.mark.parametrize("when", ["with the answer", "after the answer", "incomplete answer"])
def test_extra_data_after_an_answer_is_not_read_as_part_of_the_next_answer(when):
    """An upstream sends half a line with or after its answer, or begins an answer and never completes it."""
    extra_data_due = threading.Event()

    def handle_command(command):
        if command[0] != "want" or command[1] != TRACE:
            return served_answer(command[1], b"other bytes") if command[0] == "want" else None
        if when == "with the answer":
            return served_answer(command[1], b"the bytes") + b"*4\r\n$9"
        if when == "after the answer":
            threading.Thread(
                target=lambda: extra_data_due.wait(TIMEOUT_SECONDS) and command[3].sendall(b"*4\r\n$9")
            ).start()
            return served_answer(command[1], b"the bytes")
        return b"*4\r\n$16\r\n"

    upstream, other = FakeUpstream(handle_command), TRACE[::-1]
    first_attempt = lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 2000)]  # noqa: E731
    fake_router = FakeRouter(
        RequestReceived=[first_attempt, send_attempt(request_id=other)], AttemptFinished=[lambda now: []]
    )

    async def scenario(director, client, wait_until):
        director.pool.transport = director.pool.transport._replace(connect_timeout=10**6)
        director.admit(client, request_frame(1))
        director.manager.flush()
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        extra_data_due.set()
        if when == "after the answer":
            await wait_until(
                lambda: (
                    upstream_connection.wire.has_partial_answer() or upstream_connection.connection.is_closed
                )
            )
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[1].result == "done"


def test_no_attempt_is_sent_on_a_connection_that_the_upstream_has_closed():
    """Guards requests that must not run twice: the close has arrived, but has not been read yet."""
    connections, other = [], TRACE[::-1]

    def handle_command(command):
        connections.append(command[3])
        return served_answer(command[1], b"the bytes")

    upstream = FakeUpstream(handle_command)
    fake_router = FakeRouter(RequestReceived=[send_attempt(), send_attempt(request_id=other)])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        connections[0].shutdown(socket.SHUT_RDWR)
        while not upstream_connection.connection.peer_has_closed():
            time.sleep(0.001)  # noqa: ASYNC251 - the event loop must not run
        director.admit(client, request_frame(2, trace=other))
        director.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "done"]


@pytest.mark.parametrize(
    "text", ["[]", '{"settings": 5}', '{"listen": 5}', '{"known": {"updates": [5]}}', "5"]
)
def test_invalid_configuration_at_sighup_does_not_end_the_program(director_with_short_timeouts, text):
    program, _ = director_with_short_timeouts
    program.config_path.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while "config_reload_failed kept=old" not in program.log_text() and time.monotonic() < deadline:
        time.sleep(0.01)
    assert FakeClient(program.port).is_ready()
    assert "config_reload_failed kept=old" in program.log_text()


@pytest.mark.parametrize("field", ["digest=aaaa", "res=h"])
def test_not_modified_is_an_error_unless_it_names_the_clients_copy(field):
    upstream = FakeUpstream(
        lambda command: resp_array(command[1], "NOMOD", f"dated={int(time.time() * 1000)},{field}", b"")
    )
    fake_router = FakeRouter(RequestReceived=[send_attempt()])

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1, have="4be0c1927d55a6f3"))
        director.manager.flush()
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not client.connection.frames

    run_director(fake_router, scenario, (upstream, upstream))
    assert fake_router.events_of(interface.AttemptFinished)[0].result == "error"


def test_coordinator_is_reached_while_no_descriptor_is_left_for_other_connections():
    coordinator = FakeCoordinator()

    async def scenario(director, client, wait_until):
        director.manager.descriptor_limit = director.manager.open_sockets
        director.manager.task_group.start_soon(director.discovery.follow)
        await wait_until(
            lambda: any(each.connection.is_connected for each in director.discovery.connections.connections)
        )

    run_director(FakeRouter(), scenario, coordinator=coordinator.address)


def test_idle_upstream_connection_is_closed_to_connect_to_another_upstream():
    """Guards access to all upstreams where there are more of them than descriptors."""
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


def test_requests_after_the_admission_deadline_of_a_shutdown_are_rejected_at_once():
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        director.begin_shutdown(5000)
        director.stop_admitting()
        director.admission_deadline -= 1
        director.admit(client, request_frame(1))
        assert client.connection.frames[-1] == b"".join(client_wire.answer(1, DENIED, {}))

    run_director(fake_router, scenario)
    assert not fake_router.events_of(interface.RequestReceived)


def test_backlog_is_accepted_before_the_listener_closes():
    async def run():
        async with anyio.create_task_group() as tasks:
            manager, receivers = ConnectionManager(tasks, ResourceLimits(0, 0), TimedSelector()), []
            listener = listen(Address("127.0.0.1", 0))
            address = listener.getsockname()
            tasks.start_soon(manager.accept, listener, RecordingReceiver, reclaim_nothing)
            await anyio.wait_all_tasks_blocked()
            # The accept loop does not run before the listener is closed
            peers = [socket.create_connection(address) for _ in range(3)]
            await manager.close_listener(
                listener, lambda: receivers.append(RecordingReceiver()) or receivers[-1], reclaim_nothing, 5.0
            )
            assert len(receivers) == 3
            assert all(receiver.connection.is_connected for receiver in receivers)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)
            for peer in peers:
                peer.sendall(b"a req")
            with anyio.fail_after(TIMEOUT_SECONDS):
                while any(receiver.data != b"a req" for receiver in receivers):  # noqa: ASYNC110 - no event to await
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def short_settings():
    """Returns settings with client timeouts of 0.3 s, so that SIGKILL may follow SIGTERM after 1 s."""
    custom_settings = settings()
    for request_class in custom_settings["classes"]:
        request_class.update(aim=100000, deadline=300000)
    return custom_settings


def test_shutdown_closes_silent_connections_without_reset_before_sigkill_may_follow():
    """The exit of the process would reset connections with unread data. One connection is in the backlog."""
    received = []

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peers = [socket.create_connection(listener.getsockname()) for _ in range(2)]
        director.manager.adopt(listener.accept()[0], ClientConnection(director))
        started_at = time.monotonic()
        director.manager.task_group.start_soon(drain, director, listener)
        for peer in peers:
            received.append(await receive_all(peer))
        assert time.monotonic() - started_at < 1.0

    run_director(Router, scenario, settings=short_settings())
    assert received == [b"".join(client_wire.goaway())] * 2


@pytest.fixture
def director_with_short_timeouts(tmp_path):
    """A director in front of one upstream that never answers; its client timeouts are short."""
    upstream, custom_settings = FakeUpstream(lambda command: None), short_settings()
    address = f"127.0.0.1:{free_port()}"
    endpoints = [endpoint_config("s-00000001", upstream.address)]
    program = DirectorProcess(tmp_path, configuration(endpoints, address, settings=custom_settings))
    yield program, upstream
    program.stop()


def test_requests_are_answered_until_sigkill_and_late_ones_are_not_sent_to_an_upstream(
    director_with_short_timeouts,
):
    """SIGKILL may follow SIGTERM after 1 s; clients send requests until then.

    A second SIGTERM and a SIGHUP arrive meanwhile. A process that is not killed exits by itself and closes
    its connections without a reset.
    """
    program, upstream = director_with_short_timeouts
    idle, busy = FakeClient(program.port), FakeClient(program.port)
    assert idle.is_ready()
    stream = busy.send_request(patience=300)
    upstream.next_command()
    program.process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    assert busy.read_frame()[:2] == (3, 0)
    for number in (signal.SIGTERM, signal.SIGHUP):
        program.process.send_signal(number)
    assert busy.read_answer(stream)[0] == DENIED
    assert idle.read_frame()[:2] == (3, 0)
    time.sleep(max(0.0, started_at + 0.8 - time.monotonic()))
    while time.monotonic() < started_at + 1.1:  # until after the time of SIGKILL
        for client in (idle, busy):
            sent_at = time.monotonic()
            assert client.read_answer(client.send_request(patience=300))[0] == DENIED
            assert time.monotonic() - sent_at < 0.2
    for client in (idle, busy):
        with pytest.raises(EOFError):  # not a reset
            client.read_frame()
        client.sock.close()
    assert program.process.wait(timeout=TIMEOUT_SECONDS) == 0
    assert time.monotonic() - started_at < 2.0
    assert len(upstream.request_ids) == 1


def test_idle_connections_are_closed_for_new_ones_during_shutdown():
    """Idle clients use all descriptors; as they have received a GOAWAY, they can be closed for others."""

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        idle_peers = []
        for _ in range(4):
            peer = socket.create_connection(listener.getsockname())
            client = ClientConnection(director)
            director.manager.adopt(listener.accept()[0], client)
            client.usage, client.waiting_since = Usage.READINESS_ONLY, client.waiting_since - SECOND
            idle_peers.append(peer)
        director.begin_shutdown(5 * SECOND)
        director.manager.descriptor_limit = director.manager.open_sockets
        late_peer = socket.create_connection(listener.getsockname())
        late_peer.sendall(request_bytes(1))
        await director.manager.close_listener(
            listener, lambda: ClientConnection(director), director.clients.reclaim_descriptor, 3.0
        )
        late_peer.setblocking(False)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await anyio.wait_readable(late_peer)
        assert late_peer.recv(1000)

    run_director(FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]]), scenario)


def test_repeat_that_waits_past_the_dedup_window_is_never_sent():
    """A request must not run twice: upstreams recognise repeats only within the window, and the connection is
    established after it."""
    send_within_window = lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 90000, now + 200)]  # noqa: E731
    fake_router = FakeRouter(
        RequestReceived=[send_within_window], AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]]
    )

    async def scenario(director, client, wait_until):
        # Not flushed, so that the connection is not established before the window ends
        director.admit(client, request_frame(1))
        (upstream_connection,) = director.pool.upstreams["s-00000001"].connections
        upstream_connection.connection.send_pending = lambda: None
        await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))
        assert not upstream_connection.connection.pending_frames

    run_director(fake_router, scenario)
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert end.result == "unsent"
    assert end.duration < 10000


@pytest.mark.parametrize("ticks_between", [-1, 0, 1])
def test_attempt_times_out_though_its_deadline_is_the_end_of_its_dedup_window(ticks_between):
    """A request must get an answer: one whose two deadlines were the same tick stayed open for ever."""
    send = lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 1000, now + 1000 + ticks_between)]  # noqa: E731
    fake_router = FakeRouter(
        RequestReceived=[send], AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]]
    )
    silent = FakeUpstream(lambda command: None)

    async def scenario(director, client, wait_until):
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: client.connection.frames)

    run_director(fake_router, scenario, (silent, silent))
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert (end.result, end.duration < 1500) == ("timeout", True)


def test_attempt_times_out_though_the_shutdown_deadline_is_the_end_of_its_dedup_window():
    """A request must get an answer: a shutdown's deadline could be mistaken for the end of the window."""
    fake_router = FakeRouter(AttemptFinished=[lambda now: [interface.FailRequest(TRACE)]])
    silent = FakeUpstream(lambda command: None)

    async def scenario(director, client, wait_until):
        shutdown_deadline = director.clock.now() + 5000
        fake_router.commands_by_event["RequestReceived"] = [
            lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + 90000, shutdown_deadline)]
        ]
        director.admit(client, request_frame(1))
        director.manager.flush()
        await wait_until(lambda: silent.request_ids)
        now = director.clock.now()
        director.clock.now = lambda: now  # so that both deadlines are the same tick
        director.begin_shutdown(shutdown_deadline - now)
        del director.clock.now
        await wait_until(lambda: client.connection.frames)

    run_director(fake_router, scenario, (silent, silent))
    (end,) = fake_router.events_of(interface.AttemptFinished)
    assert (end.result, end.duration < 5500) == ("timeout", True)


def test_start_deadline_of_a_repeat_is_the_end_of_the_dedup_window_of_the_first_attempt():
    router = new_router(new_deployment(cancellation_allowed=False))
    first = router.handle(1000, request_received("a", class_index=2))[0]
    repeat = router.handle(1100, attempt_finished(first, "reset"))[0]
    assert (first.start_deadline, repeat.start_deadline) == (
        0,
        1000 + router.deployment.request_classes[2].dedup_window,
    )


@pytest.mark.parametrize("count", [3, 9, 20, 30, 200])
def test_simultaneous_requests_of_all_routers_do_not_overload_a_cache_during_slow_start(count):
    """Guards against an overload when an object becomes popular.

    All routers would spend the tokens that accumulated without requests at the same time, and in addition
    those refilled within the overload window.
    """
    deployment = new_deployment(
        router_count=count, local_router_count=count, weight_kind="nominal", overload_window=10000
    )
    routers, seeds = [new_router(deployment, ("c0", "o")) for _ in range(count)], Random(count)
    started_at, total = 200000, 0
    for router in routers:
        router.random.state = seeds.getrandbits(64)  # each router has a seed of its own
        router.handle(
            started_at, interface.EndpointsUpdated(False, (new_endpoint("c0", started_at=started_at),))
        )
        router.slow_start.allows(
            started_at, new_request_state(router, started_at), router.upstreams.by_id["c0"]
        )
    for now in range(started_at + 10000, started_at + deployment.slow_start_duration, 2500):
        sent = 0
        for router in routers:
            cache, request = router.upstreams.by_id["c0"], new_request_state(router, now)
            tokens_before = cache.tokens, cache.tokens_updated_at
            while router.slow_start.allows(now, request, cache):  # counts all that it would send at once
                cache.tokens -= router.slow_start.cost(request, cache)
                sent += 1
            cache.tokens, cache.tokens_updated_at = tokens_before
        share = (
            deployment.slow_start_min_share
            + (1 - deployment.slow_start_min_share)
            * (now - deployment.overload_window - started_at)
            / deployment.slow_start_duration
        )
        cost = router.slow_start.cost(request, cache)
        limit = deployment.overload_multiple * share * 20.0 * deployment.overload_window / cost
        assert sent + SAFETY_SHARE * limit <= limit + 2 * limit**0.5 + 2
        total += sent
    assert total > 2 * (deployment.slow_start_duration - 10000) / 2500  # tokens do become available


def test_request_has_a_slow_start_cost_without_latency_target_and_size():
    request_classes = tuple(
        request_class._replace(latency_target=0) for request_class in new_deployment().request_classes
    )
    router = new_router(new_deployment(request_classes=request_classes), ("c0", "o"))
    router.handle(1000, interface.EndpointsUpdated(False, (new_endpoint("c0", started_at=1000),)))
    assert router.handle(2000, request_received("a", size=0.0))


def test_failed_accept_does_not_lose_other_connections_in_the_backlog(monkeypatch):
    """Failures: an aborted connection, an interrupted call, a short lack of memory or descriptors, and errors
    of the network."""
    monkeypatch.setattr(connection_manager.anyio, "notify_closing", lambda sock: None)
    error_numbers = (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.ENOBUFS,
        errno.ENFILE,
        errno.EPROTO,
        errno.ENETUNREACH,
    )

    class Backlog:
        results: ClassVar = [
            *(OSError(error_number, "accept failed") for error_number in error_numbers),
            socket.socket(),
        ]
        results.append(BlockingIOError(errno.EAGAIN, "backlog is empty"))

        def accept(self):
            result = self.results.pop(0)
            if isinstance(result, Exception):
                raise result
            return result, None

        def fileno(self):
            return -1

        def close(self): ...

    async def run():
        async with anyio.create_task_group() as tasks:
            manager, receiver = (
                ConnectionManager(tasks, ResourceLimits(0, 0), TimedSelector()),
                RecordingReceiver(),
            )
            await manager.close_listener(Backlog(), lambda: receiver, reclaim_nothing, 5.0)
            assert receiver.connection is not None
            assert not Backlog.results
            tasks.cancel_scope.cancel()

    anyio.run(run)


def new_request_state(router, now):
    return RequestState(request_received("x", size=500.0), router.request_classes[0], now, 1000)


def test_restarted_router_sends_requests_while_all_caches_are_in_slow_start_without_weights():
    """No throughput has been measured, so capacities are unknown; requests must be sent all the same."""
    deployment = new_deployment(
        weight_kind="none", router_count=4, local_router_count=4, direct_to_source=False
    )
    router, started_at = Router(deployment, 7), 10
    router.handle(
        started_at,
        interface.EndpointsUpdated(
            True, tuple(new_endpoint(n, started_at=started_at) for n in (*CACHES, "p0", "o"))
        ),
    )
    commands = [
        command
        for i in range(200)
        for command in router.handle(started_at + i * 500, request_received(f"a{i}", object_id=i, size=50.0))
    ]
    assert any(
        type(command) in (interface.SendAttempt, interface.SendAttemptWithFill) for command in commands
    )


def test_serve_imports_only_packages_that_it_needs():
    """Features that are off cost no time at start, and the deploy file's list of packages stays correct."""
    code = (
        "import sys, ironhinge.cli, ironhinge.net.service;"
        "print(*sorted({name.split('.')[1] for name in sys.modules if name.startswith('ironhinge.')}))"
    )
    imported_packages = os.popen(f'{os.sys.executable} -c "{code}"').read().split()
    assert imported_packages == ["cli", "config", "interface", "net", "routing"]
