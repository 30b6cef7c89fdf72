"""Which client connections a director closes while descriptors are short, and what their clients are told."""

import contextlib
import re
import socket
import threading
import time

import anyio
import pytest

from ironhinge import interface
from ironhinge.config import Address
from ironhinge.net import client_wire
from ironhinge.net.client_connection import ClientConnection, CloseCause, Phase
from ironhinge.net.client_timeouts import NOTICE_PERIOD_WHEN_FULL
from ironhinge.net.clock import SECOND
from ironhinge.net.event_log import EventKind
from ironhinge.net.socket_calls import listen
from ironhinge.net.system_calls import Remedy

from .helpers import (
    TIMEOUT_SECONDS,
    DirectorProcess,
    FakeClient,
    FakeCoordinator,
    FakeUpstream,
    configuration,
    endpoint_config,
    free_port,
    settings,
)
from .test_director import TRACE, FakeRouter, run_director
from .test_network_races import receive_all, request_bytes

ANSWER_CODES = 1, 2, 3  # served, rejected, failed
GOAWAY, RESPONSE = 3, 8  # frame types
DESCRIPTOR_LIMIT = 96  # of which clients may use 61
CROWD = 100  # idle connections when the clients under test connect: the descriptors and part of the backlog
OPEN_INTERVAL = 0.004  # seconds between the idle connections that follow
CLIENTS = 6


@pytest.fixture
def director(tmp_path):
    """A director process with few descriptors and an upstream that has all objects."""
    upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
    config = configuration(
        [endpoint_config("s-00000001", upstream.address)],
        f"127.0.0.1:{free_port()}",
        coordinator=coordinator.address,
        settings=settings(),
        limits={"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTOR_LIMIT},
    )
    process = DirectorProcess(tmp_path, config)
    yield process
    process.stop()


class IdleCrowd:
    """Connections that never send anything; more are opened all the time, so that some always wait."""

    def __init__(self, port):
        self.port, self.sockets, self.is_stopped = port, [], threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        for _ in range(CROWD):
            self.open()
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.is_stopped.set()
        self.thread.join(TIMEOUT_SECONDS)
        for sock in self.sockets:
            sock.close()

    def open(self):
        self.sockets.append(socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_SECONDS))

    def run(self):
        while not self.is_stopped.wait(OPEN_INTERVAL):
            with contextlib.suppress(OSError):
                self.open()


def frames_until_answer(client, stream):
    """Returns the types of the frames that a client gets, up to an answer on `stream` or the end."""
    kinds = []
    while RESPONSE not in kinds:
        try:
            kind, answer_stream, _ = client.read_frame()
        except (EOFError, OSError):
            break
        assert kind != RESPONSE or answer_stream == stream
        kinds.append(kind)
    return kinds


@pytest.mark.parametrize("silence", [0.05, 0.15, 0.3, 0.55])
def test_no_connection_ends_without_notice_before_its_first_bytes_arrive(director, silence):
    """A network or a busy client may take 0.3 s: a new connection that is silent so far is not idle."""
    with IdleCrowd(director.port):
        clients = [FakeClient(director.port) for _ in range(CLIENTS)]
        time.sleep(silence)
        streams = []
        for client in clients:
            with contextlib.suppress(OSError):  # after a reset; what it received before can still be read
                streams.append(client.send_request())
        frames = [frames_until_answer(client, 1) for client in clients]
    # answered, or told by GOAWAY that the request was not taken
    assert [kinds for kinds in frames if RESPONSE not in kinds and GOAWAY not in kinds] == []
    if silence <= 0.3:  # the longest delay of the network in one direction
        assert [kinds for kinds in frames if RESPONSE not in kinds] == []


def test_each_step_of_a_close_is_recorded_with_its_facts():
    """Guards the search for lost requests: the log had no line for a connection that the director ended."""

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        with socket.create_connection(listener.getsockname()):
            client = ClientConnection(director)
            director.manager.adopt(listener.accept()[0], client)
            client.waiting_since -= SECOND
            assert director.clients.reclaim_descriptor(True)
            client.connection.has_unread = lambda: True
            client.half_close()
        steps = [event for event in director.event_log.events() if event.detail.startswith("usage=")]
        assert [step.kind for step in steps] == [EventKind.CLIENT_GOAWAY_SENT, EventKind.CLIENT_HALF_CLOSED]
        assert {step.cause for step in steps} == {"capacity"}
        assert re.fullmatch("usage=none idle_ms=1[0-9]{3} unread=False open_requests=0", steps[0].detail)
        assert "unread=True" in steps[1].detail

    run_director(FakeRouter(), scenario)


def test_a_descriptor_is_freed_for_each_connection_that_waits_after_a_stop():
    """Guards the time in the backlog: half of those that waited got a descriptor only in a second round, so
    that requests with a short timeout were answered too late."""

    async def scenario(director, _, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peers, idle = [], []
        for _ in range(8):
            peers.append(socket.create_connection(listener.getsockname()))
            idle.append(ClientConnection(director))
            director.manager.adopt(listener.accept()[0], idle[-1])
            idle[-1].waiting_since -= SECOND
        director.manager.descriptor_limit = director.manager.open_sockets
        director.manager.waiting_connections = 7
        assert [director.clients.reclaim_descriptor(True) for _ in range(8)] == [True] * 7 + [False]
        assert [client.phase for client in idle] == [Phase.ANNOUNCED] * 7 + [Phase.OPEN]
        await anyio.sleep(0.08)
        director.clients.reclaim_descriptor(True)  # the steps that are due don't wait for the maintenance
        assert not any(
            client.phase is Phase.ANNOUNCED for client in director.clients if client is not idle[7]
        )
        for peer in peers:
            peer.close()

    run_director(FakeRouter(), scenario)


def test_lingering_connections_do_not_limit_the_closes_while_no_descriptor_is_left():
    """Guards the time in the backlog: connections that linger don't count as in use, so that the limit on
    closes fell to the one that holds while descriptors are left."""

    async def scenario(director, _, wait_until):
        listener, manager = listen(Address("127.0.0.1", 0)), director.manager
        peers = [socket.create_connection(listener.getsockname()) for _ in range(8)]
        for _ in peers:
            client = ClientConnection(director)
            manager.adopt(listener.accept()[0], client)
            client.waiting_since -= SECOND
        manager.waiting_connections = 7
        manager.descriptor_limit, manager.open_sockets, manager.finishing_count = 100, 85, 5
        assert not manager.is_full()
        assert [director.clients.reclaim_descriptor(True) for _ in range(8)] == [True] * 7 + [False]
        manager.open_sockets, manager.finishing_count = len(peers), 0
        for peer in peers:
            peer.close()

    run_director(FakeRouter(), scenario)


def test_a_backlog_of_unknown_length_is_assumed_to_be_long():
    """Guards systems that don't tell the length: one descriptor at a time was freed for a crowd."""
    calls = []

    def reclaim(is_full):
        calls.append(is_full)
        return len(calls) < 100

    async def scenario(director, _, wait_until):
        listener, manager = listen(Address("127.0.0.1", 0)), director.manager
        manager.calls.backlog_length = lambda sock: None
        manager.descriptor_limit, manager.open_sockets = 40, 40
        with socket.create_connection(listener.getsockname()):
            manager.task_group.start_soon(
                manager.accept, listener, lambda: ClientConnection(director), reclaim
            )
            await wait_until(lambda: calls)
            manager.open_sockets = 0
        assert len(calls) % 20 == 0
        listener.close()

    run_director(FakeRouter(), scenario)


def end_by_reclaim_with_descriptors_left(director, client):
    client.waiting_since -= 10 * SECOND
    director.clients.reclaim_descriptor(False)


def end_by_reclaim_without_descriptors(director, client):
    client.waiting_since -= 10 * SECOND
    director.clients.reclaim_descriptor(True)


def end_by_time_out(director, client):
    client.check_timeouts(director.clock.now() + 10 * SECOND)


def end_after_notice(director, client):
    client.announce_close(CloseCause.CAPACITY, NOTICE_PERIOD_WHEN_FULL)
    client.check_timeouts(director.clock.now() + 10 * SECOND)


def end_at_shutdown(director, client):
    director.begin_shutdown(5 * SECOND)
    director.clients.close_unused()
    client.check_timeouts(director.clock.now() + 10 * SECOND)


WAYS_TO_END = (
    end_by_reclaim_with_descriptors_left,
    end_by_reclaim_without_descriptors,
    end_by_time_out,
    end_after_notice,
    end_at_shutdown,
)


@pytest.mark.parametrize("is_partial", [False, True], ids=["whole", "in two pieces"])
@pytest.mark.parametrize("reading", ["not yet", "recv fails"])
@pytest.mark.parametrize("end", WAYS_TO_END)
def test_no_connection_ends_over_an_unread_request(monkeypatch, end, reading, is_partial):
    """Whatever ends a connection: a request that has arrived and could not be read yet is answered."""
    fake_router = FakeRouter(RequestReceived=[lambda now: [interface.RejectRequest(TRACE, 0)]])
    data = request_bytes(1)
    cut = len(data) - 10 if is_partial else len(data)

    async def scenario(director, _, wait_until):
        listener, calls = listen(Address("127.0.0.1", 0)), director.manager.calls
        peer = socket.create_connection(listener.getsockname())
        client = ClientConnection(director)
        director.manager.adopt(listener.accept()[0], client)
        if is_partial:
            peer.sendall(data[:10])
            await wait_until(lambda: client.wire.buffered)
            peer.sendall(data[10:cut])
        else:
            await anyio.wait_all_tasks_blocked()
            peer.sendall(data)
        if reading == "recv fails":
            failing = {"receive": (0, Remedy.PAUSE), "peek": (False, Remedy.PAUSE)}
            with monkeypatch.context() as patch:
                for name, result in failing.items():
                    patch.setattr(calls, name, lambda *args, result=result: result)
                await anyio.sleep(0.02)
                end(director, client)
        else:
            end(director, client)
        assert client.phase is not Phase.HALF_CLOSED
        assert not client.connection.is_closed
        if is_partial:
            peer.sendall(data[cut:])
        await wait_until(lambda: fake_router.events_of(interface.RequestReceived))
        director.manager.flush()
        client.half_close()
        director.manager.flush()
        assert (await receive_all(peer)).endswith(b"".join(client_wire.answer(1, client_wire.DENIED, {})))
        peer.close()

    run_director(fake_router, scenario)
