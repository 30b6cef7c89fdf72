"""The process is stopped or late at the worst moment: what passed before a thing was read still counts.

Where a test sleeps without giving way to the event loop, the process is kept from running.
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

PATIENCE_TICKS = 90000  # of the requests here, in tenths of a millisecond
ALLOWED_TICKS = 500  # by which the protocol extends each limit
DEADLINE_SLACK_MS = 150  # by which the time passed on to a server may exceed what the client has left
OTHER = TRACE[::-1]


def rejects(count=1):
    """Decisions that reject so many requests at once."""
    names = (TRACE, OTHER)
    return FakeRouter(
        RequestReceived=[lambda now, name=name: [interface.RejectRequest(name, 0)] for name in names[:count]]
    )


def time_remaining(fake_router):
    """What the decisions were told that each request had left."""
    return [event.time_remaining for event in fake_router.events_of(interface.RequestReceived)]


def stop(seconds):
    """Keeps the process from running."""
    time.sleep(seconds)


async def connect_upstream(one, client, fake_router, wait_until):
    """Has one request answered, so that the connection to the first node is up."""
    one.admit(client, request_frame(1, trace=OTHER))
    one.manager.flush()
    await wait_until(lambda: fake_router.events_of(interface.AttemptFinished))


def test_a_stop_between_reading_a_request_and_deciding_counts(monkeypatch):
    """Guards the deadline of a request: it was counted from the decision, and the wait up to the reading."""
    fake_router, plain = rejects(), director.read_request

    def read_and_stop(*args):
        found = plain(*args)
        stop(0.2)
        return found

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scenario(one, client, wait_until):
        one.admit(client, request_frame(1))

    run_director(fake_router, scenario)
    (left,) = time_remaining(fake_router)
    assert left <= PATIENCE_TICKS - 2000 + ALLOWED_TICKS


def test_a_stop_between_rendering_a_command_and_sending_it_counts(monkeypatch):
    """Guards the time that a server is told: it was worked out, and sent a while later."""
    upstream, plain = FakeUpstream(has_all_objects=True), attempts.set_time_remaining
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=20000)])

    async def scenario(one, client, wait_until):
        await connect_upstream(one, client, fake_router, wait_until)
        stops = [0.3]

        def render_and_stop(*args):
            plain(*args)
            if stops:
                stop(stops.pop())

        monkeypatch.setattr(attempts, "set_time_remaining", render_and_stop)
        one.admit(client, request_frame(2))
        one.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    upstream.next_command()
    assert int(upstream.next_command()[2]["ms"]) <= 2000 - 300 + DEADLINE_SLACK_MS


def test_a_stop_between_two_parts_of_a_command_counts(monkeypatch):
    """Guards the time that a server is told: it counts when the command has come whole."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=20000)])

    async def scenario(one, client, wait_until):
        await connect_upstream(one, client, fake_router, wait_until)
        plain, parts = one.manager.calls.send, [40]

        def send_a_part_and_stop(sock, data, latest=inf):
            if not parts or b"want" not in bytes(data):
                return plain(sock, data, latest)
            sent = plain(sock, data[: parts.pop()], latest)
            stop(0.3)
            return sent

        monkeypatch.setattr(one.manager.calls, "send", send_a_part_and_stop)
        one.admit(client, request_frame(2))
        one.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    upstream.next_command()
    told = [] if upstream.commands.empty() else [int(upstream.next_command()[2]["ms"])]
    assert all(ms <= 2000 - 300 + DEADLINE_SLACK_MS for ms in told)


def test_a_command_is_sent_however_long_its_rendering_takes():
    """Guards slow machines: a command that is rendered anew each time would never be sent."""
    times = []

    async def scenario(receiver, peer):
        def render():
            times.append(time.monotonic())
            stop(0.03)
            return (b"command",)

        receiver.link.write((), render=render)
        receiver.link.send_pending()
        receiver.link.finish()
        receiver.link.owner.flush()
        assert await receive_all(peer) == b"command"

    run_with_connection(scenario)
    assert len(times) == 2


@pytest.mark.parametrize("where", ["backlog", "failing recv"])
def test_a_request_that_waited_unread_has_that_much_less_time(where, monkeypatch):
    """It waited to be accepted, or could not be read: its client has counted on."""
    fake_router = rejects()

    async def scenario(one, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(one)
        if where == "backlog":
            peer.sendall(request_bytes(1))
            one.manager.backlog_empty_at = time.monotonic() - 0.5
            await anyio.sleep(0.3)  # the event loop has its turns, and the backlog is not looked at
        one.manager.adopt(listener.accept()[0], client)
        if where == "failing recv":
            one.manager.backlog_empty_at = time.monotonic()
            plain, failing_until = one.manager.calls.receive, time.monotonic() + 0.3
            short = lambda *args: (0, Remedy.PAUSE) if time.monotonic() < failing_until else plain(*args)  # noqa: E731
            monkeypatch.setattr(one.manager.calls, "receive", short)
            peer.sendall(request_bytes(1))
        sent_at = time.monotonic()
        await wait_until(lambda: fake_router.events_of(interface.RequestReceived))
        await wait_until(lambda: client.connection.empty_until() > sent_at)

    run_director(fake_router, scenario)
    (left,) = time_remaining(fake_router)
    # 0.3 s, less the 50 ms that are allowed
    assert PATIENCE_TICKS - 4000 < left <= PATIENCE_TICKS - 2000


def test_only_the_last_of_several_requests_in_the_backlog_is_as_young_as_its_data():
    """The system tells when the last data came; what came before it has waited for longer."""
    fake_router = rejects(2)

    async def scenario(one, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        one.manager.backlog_empty_at = time.monotonic()
        peer.sendall(request_bytes(1))
        await anyio.sleep(0.4)
        peer.sendall(request_bytes(3, OTHER))
        one.manager.adopt(listener.accept()[0], ClientConnection(one))
        await wait_until(lambda: len(fake_router.events_of(interface.RequestReceived)) == 2)

    run_director(fake_router, scenario)
    first, second = time_remaining(fake_router)
    assert first <= PATIENCE_TICKS - 4000 + ALLOWED_TICKS
    assert second > PATIENCE_TICKS - 1000


class LateListener:
    """A listener whose first `accept` finds nothing; then a request comes while the process is stopped."""

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


def test_a_stop_after_the_backlog_was_found_empty_counts():
    """Guards requests on new connections: the backlog was taken for empty until the end of the stop."""
    fake_router = rejects()

    async def scenario(one, _, wait_until):
        make_client = lambda: ClientConnection(one)  # noqa: E731
        one.manager.task_group.start_soon(
            one.manager.accept, LateListener(), make_client, one.clients.reclaim_descriptor
        )
        await wait_until(lambda: fake_router.events_of(interface.RequestReceived))

    run_director(fake_router, scenario)
    (left,) = time_remaining(fake_router)
    assert left <= PATIENCE_TICKS - 3000 + ALLOWED_TICKS


@pytest.mark.parametrize("turns", [1, 2, 5])
def test_what_came_while_the_program_was_stopped_is_known_to_have_waited(turns):
    """Some tasks take more turns to wake, and turns are long after a stop: the stop is not forgotten."""
    poll, pair = TimedSelector(), socket.socketpair()
    poll.register(pair[0], 1)
    descriptor = pair[0].fileno()
    poll.select(0)
    began = time.monotonic()
    pair[1].send(b"x")
    stop(0.1)
    for _ in range(turns):
        poll.select(0)
        assert poll.empty_until(descriptor) <= began
        stop(0.04)  # a long turn of the event loop
    poll.unregister(pair[0])
    pair[0].recv(1)
    poll.register(pair[0], 1)
    assert poll.empty_until(descriptor) <= began  # no poll has looked at it since
    poll.select(0)
    assert poll.empty_until(descriptor) > began + 0.1
    for each in pair:
        each.close()


def test_a_poll_says_nothing_of_a_socket_that_it_did_not_look_at():
    """Data may arrive after a read and before the socket is registered, with polls in between."""
    poll, pair = TimedSelector(), socket.socketpair()
    descriptor = pair[0].fileno()
    began = time.monotonic()
    pair[1].send(b"x")
    stop(0.1)
    poll.select(0)
    poll.register(pair[0], 1)
    poll.select(0)
    assert poll.empty_until(descriptor) <= began
    for each in pair:
        each.close()


def test_a_poll_that_waited_for_another_socket_knows_what_its_end_was():
    """Else each request would seem to have waited for as long as the program rested before it."""
    poll, pair, other = TimedSelector(), socket.socketpair(), socket.socketpair()
    for each in (pair, other):
        poll.register(each[0], 1)
    poll.select(0)
    rested_from = time.monotonic()
    poll.select(0.1)
    assert poll.empty_until(pair[0].fileno()) >= rested_from + 0.1
    other[1].send(b"x")
    stop(0.05)
    looked_at = time.monotonic()
    poll.select(0.1)
    assert poll.empty_until(other[0].fileno()) < looked_at - 0.04
    assert poll.empty_until(pair[0].fileno()) >= looked_at
    for each in (*pair, *other):
        each.close()


def test_an_attempt_does_not_begin_for_a_client_whose_end_was_not_read_yet():
    """The request and the end of its connection are found together; the connection to the node is up."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt()])

    async def scenario(one, first, wait_until):
        await connect_upstream(one, first, fake_router, wait_until)
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        one.manager.backlog_empty_at = time.monotonic()
        one.manager.adopt(listener.accept()[0], ClientConnection(one))
        await anyio.sleep(0.05)
        peer.sendall(request_bytes(1))
        peer.shutdown(socket.SHUT_RDWR)
        stop(0.2)
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "unsent"]
    assert upstream.request_ids == {OTHER}


@pytest.mark.parametrize("told", ["drain", "purge"])
def test_an_attempt_does_not_begin_before_what_discovery_has_told_is_read(told):
    """Guards drains and purges: after a stop a request may be read before them, and sent past their grace."""
    upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt()])

    async def scenario(one, client, wait_until):
        one.manager.task_group.start_soon(one.discovery.follow)
        await connect_upstream(one, client, fake_router, wait_until)
        _, conn = coordinator.subscriptions.get(timeout=5)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await anyio.sleep(0.05)
        if told == "drain":
            coordinator.publish(2, 2, endpoint_record("s-00000001", upstream.address, 1))
        else:
            now_ms = int(time.time() * 1000)
            coordinator.publish(2, 3, bytes.fromhex("7f3a9c21e0b4d655") + now_ms.to_bytes(8, "big"))
        stop(0.2)
        one.admit(client, request_frame(2))
        one.manager.flush()
        await wait_until(lambda: len(fake_router.events_of(interface.AttemptFinished)) == 2)

    run_director(fake_router, scenario, (upstream, upstream), coordinator=coordinator.address)
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "unsent"]
    assert upstream.request_ids == {OTHER}


def test_an_answer_that_came_in_time_is_read_before_its_attempt_times_out():
    """Guards requests in flight during a stop: the answer has arrived, and only its reading is late."""
    upstream = FakeUpstream(has_all_objects=True)
    fake_router = FakeRouter(RequestReceived=[send_attempt(request_id=OTHER), send_attempt(after=1000)])

    async def scenario(one, client, wait_until):
        await connect_upstream(one, client, fake_router, wait_until)
        one.admit(client, request_frame(2))
        one.manager.flush()
        stop(0.2)
        one.timers.fire_due()
        assert len(fake_router.events_of(interface.AttemptFinished)) == 2

    run_director(fake_router, scenario, (upstream, upstream))
    assert [end.result for end in fake_router.events_of(interface.AttemptFinished)] == ["done", "done"]


def test_real_decisions_have_no_more_time_than_the_client(monkeypatch):
    """The same with the real router: what it tells the cache is what the client has left."""
    upstream, plain = FakeUpstream(has_all_objects=True), director.read_request

    def read_and_stop(*args):
        found = plain(*args)
        stop(0.3)
        return found

    monkeypatch.setattr(director, "read_request", read_and_stop)

    async def scenario(one, client, wait_until):
        one.admit(client, request_frame(1))
        one.manager.flush()
        await wait_until(lambda: not one.requests)

    run_director(Router, scenario, (upstream, upstream))
    assert int(upstream.next_command()[2]["ms"]) <= 9000 - 300 + DEADLINE_SLACK_MS
