"""The process is stopped or late at the worst time: time that passes before data is read still counts.

`stop` sleeps without yielding to the event loop, as if the process were stopped.
"""

import socket
import time
from math import inf

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import Address
from ironhinge.net import attempts, director
from ironhinge.net.client_connection import ClientConnection
from ironhinge.net.socket_calls import listen
from ironhinge.net.system_calls import Remedy
from ironhinge.net.timed_selector import TimedSelector
from ironhinge.routing import Router

from .helpers import FakeCoordinator, FakeUpstream, endpoint_record
from .test_director import TRACE, FakeRouter, request_frame, run_director, send_attempt
from .test_network_races import receive_all, request_bytes, run_with_connection

PATIENCE_TICKS = 90000  # patience of the requests in this file, in tenths of a millisecond
ALLOWED_TICKS = 500  # by which the protocol lets each limit be exceeded
DEADLINE_SLACK_MS = 150  # by which the time remaining sent to an upstream may exceed that of the client
OTHER = TRACE[::-1]


def rejecting_router(count=1):
    """Returns a scripted router that rejects `count` requests at once."""
    request_ids = (TRACE, OTHER)
    return FakeRouter(
        RequestReceived=[
            lambda now, request_id=request_id: [interface.RejectRequest(request_id, 0)]
            for request_id in request_ids[:count]
        ]
    )


def time_remaining(fake_router):
    """Returns the time remaining of each request that the router received."""
    return [event.time_remaining for event in fake_router.events_of(interface.RequestReceived)]


def stop(seconds):
    """Blocks the event loop, as if the process were stopped."""
    time.sleep(seconds)


async def connect_upstream(director_under_test, client, fake_router, wait_until):
    """Sends one request and waits for its answer, so that the first upstream is connected."""
    director_under_test.admit(client, request_frame(1, trace=OTHER))
    director_under_test.manager.flush()
    await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))


def test_stop_between_reading_and_routing_a_request_counts_against_its_deadline(monkeypatch):
    """The deadline was counted from the routing decision, and the wait before it only up to the read."""
    fake_router, original = rejecting_router(), director.read_request

    def read_and_stop(*args):
        result = original(*args)
        stop(0.2)
        return result

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scenario(director_under_test, client, wait_until):
        director_under_test.admit(client, request_frame(1))

    run_director(fake_router, scenario)
    (remaining,) = time_remaining(fake_router)
    assert remaining <= PATIENCE_TICKS - 2000 + ALLOWED_TICKS


def test_stop_between_rendering_and_sending_a_command_counts_against_its_time_remaining(monkeypatch):
    """The time remaining was computed when a command was rendered, and sent a while later."""
    upstream, original = FakeUpstream(has_all_objects=True), attempts.set_time_remaining
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=20000)])

    async def scenario(director_under_test, client, wait_until):
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        stops = [0.3]

        def render_and_stop(*args):
            original(*args)
            if stops:
                stop(stops.pop())

        monkeypatch.setattr(attempts, "set_time_remaining", render_and_stop)
        director_under_test.admit(client, request_frame(2))
        director_under_test.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    upstream.next_command()
    assert int(upstream.next_command()[2]["ms"]) <= 2000 - 300 + DEADLINE_SLACK_MS


def test_a_stop_between_two_parts_of_a_command_counts(monkeypatch):
    """The time remaining that is sent to an upstream has to be right when the whole command has arrived."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=20000)])

    async def scenario(director_under_test, client, wait_until):
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        original, parts = director_under_test.manager.calls.send, [40]

        def send_a_part_and_stop(sock, data, latest=inf):
            if not parts or b"want" not in bytes(data):
                return original(sock, data, latest)
            sent = original(sock, data[: parts.pop()], latest)
            stop(0.3)
            return sent

        monkeypatch.setattr(director_under_test.manager.calls, "send", send_a_part_and_stop)
        director_under_test.admit(client, request_frame(2))
        director_under_test.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    upstream.next_command()
    time_remaining_ms = [] if upstream.commands.empty() else [int(upstream.next_command()[2]["ms"])]
    assert all(ms <= 2000 - 300 + DEADLINE_SLACK_MS for ms in time_remaining_ms)


def test_command_is_sent_however_long_its_rendering_takes():
    """Guards slow machines: if each slow rendering led to another, a command would never be sent."""
    rendered_at = []

    async def scenario(receiver, peer):
        def render():
            rendered_at.append(time.monotonic())
            stop(0.03)
            return (b"command",)

        receiver.connection.write((), render=render)
        receiver.connection.send_pending()
        receiver.connection.finish()
        receiver.connection.owner.flush()
        assert await receive_all(peer) == b"command"

    run_with_connection(scenario)
    assert len(rendered_at) == 2


@pytest.mark.parametrize("where", ["backlog", "failing recv"])
def test_time_that_a_request_waited_unread_counts_against_its_patience(where, monkeypatch):
    """It waited to be accepted, or could not be read, while its client's timeout was running."""
    fake_router = rejecting_router()

    async def scenario(director_under_test, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(director_under_test)
        if where == "backlog":
            peer.sendall(request_bytes(1))
            director_under_test.manager.backlog_empty_at = time.monotonic() - 0.5
            await anyio.sleep(0.3)  # the event loop runs, but nothing is accepted
        director_under_test.manager.adopt(listener.accept()[0], client)
        if where == "failing recv":
            director_under_test.manager.backlog_empty_at = time.monotonic()
            original, failing_until = director_under_test.manager.calls.receive, time.monotonic() + 0.3
            failing_receive = lambda *args: (  # noqa: E731
                (0, Remedy.PAUSE) if time.monotonic() < failing_until else original(*args)
            )
            monkeypatch.setattr(director_under_test.manager.calls, "receive", failing_receive)
            peer.sendall(request_bytes(1))
        sent_at = time.monotonic()
        await wait_until(lambda: fake_router.events_of(interface.RequestReceived))
        await wait_until(lambda: client.connection.empty_until() > sent_at)

    run_director(fake_router, scenario)
    (remaining,) = time_remaining(fake_router)
    # 0.3 s, less the 50 ms by which the limit may be exceeded
    assert PATIENCE_TICKS - 4000 < remaining <= PATIENCE_TICKS - 2000


def test_arrival_time_of_the_last_data_applies_only_to_the_last_request_in_the_backlog():
    """The system reports when the last data arrived; data before it has waited for longer."""
    fake_router = rejecting_router(2)

    async def scenario(director_under_test, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        director_under_test.manager.backlog_empty_at = time.monotonic()
        peer.sendall(request_bytes(1))
        await anyio.sleep(0.4)
        peer.sendall(request_bytes(3, OTHER))
        director_under_test.manager.adopt(listener.accept()[0], ClientConnection(director_under_test))
        await wait_until(lambda: len(fake_router.events_of(interface.RequestReceived)) == 2)

    run_director(fake_router, scenario)
    first, second = time_remaining(fake_router)
    assert first <= PATIENCE_TICKS - 4000 + ALLOWED_TICKS
    assert second > PATIENCE_TICKS - 1000


class LateListener:
    """A listener whose first `accept` finds nothing; then a request arrives while the process is stopped."""

    def __init__(self):
        self.sock, self.peer = listen(Address("127.0.0.1", 0)), None

    def accept(self):
        if self.peer is None:
            self.peer = socket.create_connection(self.sock.getsockname())
            self.peer.sendall(request_bytes(1))
            stop(0.3)
            raise BlockingIOError
        return self.sock.accept()

    def fileno(self):
        return self.sock.fileno()


def test_stop_after_the_backlog_was_found_empty_counts_against_the_patience():
    """Guards requests on new connections: the backlog was assumed to be empty until the end of the stop."""
    fake_router = rejecting_router()

    async def scenario(director_under_test, _, wait_until):
        make_client = lambda: ClientConnection(director_under_test)  # noqa: E731
        director_under_test.manager.task_group.start_soon(
            director_under_test.manager.accept,
            LateListener(),
            make_client,
            director_under_test.clients.reclaim_descriptor,
        )
        await wait_until(lambda: fake_router.events_of(interface.RequestReceived))

    run_director(fake_router, scenario)
    (remaining,) = time_remaining(fake_router)
    assert remaining <= PATIENCE_TICKS - 3000 + ALLOWED_TICKS


@pytest.mark.parametrize("turns", [1, 2, 5])
def test_data_that_arrived_during_a_stop_is_known_to_have_waited(turns):
    """Until a task reads the data, several long turns of the event loop may pass: the stop still counts."""
    selector, pair = TimedSelector(), socket.socketpair()
    selector.register(pair[0], 1)
    descriptor = pair[0].fileno()
    selector.select(0)
    started_at = time.monotonic()
    pair[1].send(b"x")
    stop(0.1)
    for _ in range(turns):
        selector.select(0)
        assert selector.empty_until(descriptor) <= started_at
        stop(0.04)  # a long turn of the event loop
    selector.unregister(pair[0])
    pair[0].recv(1)
    selector.register(pair[0], 1)
    assert selector.empty_until(descriptor) <= started_at  # it has not been polled since
    selector.select(0)
    assert selector.empty_until(descriptor) > started_at + 0.1
    for sock in pair:
        sock.close()


def test_poll_before_a_socket_is_registered_does_not_count_as_finding_it_empty():
    """Data may arrive after a read and before the socket is registered, with polls in between."""
    selector, pair = TimedSelector(), socket.socketpair()
    descriptor = pair[0].fileno()
    started_at = time.monotonic()
    pair[1].send(b"x")
    stop(0.1)
    selector.select(0)
    selector.register(pair[0], 1)
    selector.select(0)
    assert selector.empty_until(descriptor) <= started_at
    for sock in pair:
        sock.close()


def test_long_poll_counts_as_finding_a_socket_empty_at_its_end():
    """Otherwise each request would seem to have waited for as long as the process was idle before it."""
    selector, pair, other = TimedSelector(), socket.socketpair(), socket.socketpair()
    for sock_pair in (pair, other):
        selector.register(sock_pair[0], 1)
    selector.select(0)
    poll_started_at = time.monotonic()
    selector.select(0.1)
    assert selector.empty_until(pair[0].fileno()) >= poll_started_at + 0.1
    other[1].send(b"x")
    stop(0.05)
    next_poll_started_at = time.monotonic()
    selector.select(0.1)
    assert selector.empty_until(other[0].fileno()) < next_poll_started_at - 0.04
    assert selector.empty_until(pair[0].fileno()) >= next_poll_started_at
    for sock in (*pair, *other):
        sock.close()


@pytest.mark.parametrize("leaves", ["before_routing", "while_routing"])
def test_no_attempt_is_sent_for_a_client_whose_disconnect_is_still_unread(leaves):
    """The close of a client's connection is found with its request, or comes while that is routed."""
    upstream = FakeUpstream(has_all_objects=True)
    peers = []

    def leave_and_send(now):
        peers[0].shutdown(socket.SHUT_RDWR)
        stop(0.2)
        return send_attempt()(now)

    routing = leave_and_send if leaves == "while_routing" else send_attempt()
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), routing])

    async def scenario(director_under_test, client, wait_until):
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        listener = listen(Address("127.0.0.1", 0))
        peers.append(socket.create_connection(listener.getsockname()))
        director_under_test.manager.backlog_empty_at = time.monotonic()
        director_under_test.manager.adopt(listener.accept()[0], ClientConnection(director_under_test))
        await anyio.sleep(0.05)
        peers[0].sendall(request_bytes(1))
        if leaves == "before_routing":
            peers[0].shutdown(socket.SHUT_RDWR)
            stop(0.2)
        await wait_until(lambda: not director_under_test.clients and not director_under_test.requests)

    run_director(fake_router, scenario, (upstream, upstream))
    results = [end.result for end in fake_router.events_of(interface.AttemptFinished)]
    assert results == (["done"] if leaves == "before_routing" else ["done", "unsent"])
    assert upstream.request_ids == {OTHER}


@pytest.mark.parametrize("update", ["drain", "purge"])
def test_no_attempt_is_sent_before_unread_discovery_updates_are_read(update):
    """After a stop, a request may be read before a drain or a purge, and sent after its grace period."""
    upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt()])

    async def scenario(director_under_test, client, wait_until):
        director_under_test.manager.task_group.start_soon(director_under_test.discovery.follow)
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        await wait_until(
            lambda: not coordinator.subscriptions.empty()
        )  # a blocking get would stop the event loop
        _, connection = coordinator.subscriptions.get(timeout=5)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await anyio.sleep(0.05)
        if update == "drain":
            coordinator.publish(2, 2, endpoint_record("s-00000001", upstream.address, 1))
        else:
            now_ms = int(time.time() * 1000)
            coordinator.publish(2, 3, bytes.fromhex("7f3a9c21e0b4d655") + now_ms.to_bytes(8, "big"))
        stop(0.2)
        director_under_test.admit(client, request_frame(2))
        director_under_test.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream), coordinator=coordinator.address)
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "unsent"]
    assert upstream.request_ids == {OTHER}


def test_repeat_is_not_sent_after_its_dedup_window_though_a_stop_hid_the_end_of_the_window():
    """A request could run twice: after a stop, its command was written before the timer had fired."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(
        RequestReceived=[
            send_attempt(request_id=OTHER),
            lambda now: [interface.SendAttempt(TRACE, "s-00000001", now + PATIENCE_TICKS, now + 1000)],
        ]
    )

    async def scenario(director_under_test, client, wait_until):
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        director_under_test.admit(client, request_frame(2))
        stop(0.2)
        director_under_test.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "unsent"]
    assert upstream.request_ids == {OTHER}


def test_answer_that_arrived_in_time_is_read_before_its_attempt_times_out():
    """Guards requests in flight during a stop: the answer arrived in time, and only its read is late."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=1000)])

    async def scenario(director_under_test, client, wait_until):
        await connect_upstream(director_under_test, client, fake_router, wait_until)
        director_under_test.admit(client, request_frame(2))
        director_under_test.manager.flush()
        stop(0.2)
        director_under_test.timers.fire_due()
        assert len(fake_router.events_of(interface.AttemptFinished)) == 2

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "done"]


def test_real_router_sends_no_more_time_remaining_than_the_client_has(monkeypatch):
    """With the real router, the time remaining sent to the cache is that of the client."""
    upstream, original = FakeUpstream(has_all_objects=True), director.read_request

    def read_and_stop(*args):
        result = original(*args)
        stop(0.3)
        return result

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scenario(director_under_test, client, wait_until):
        director_under_test.admit(client, request_frame(1))
        director_under_test.manager.flush()
        await wait_until(lambda: not director_under_test.requests)

    run_director(Router, scenario, (upstream, upstream))
    assert int(upstream.next_command()[2]["ms"]) <= 9000 - 300 + DEADLINE_SLACK_MS
