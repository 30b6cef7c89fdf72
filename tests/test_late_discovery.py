"""Events of a discovery service that arrive late: slow connections are kept, dead ones are replaced."""

import json
import queue
import socket
import struct
import threading
import time
from concurrent.futures import ProcessPoolExecutor

import anyio
import pytest

from benchmarks.late_discovery import CASES, measure
from ironhinge import interface
from ironhinge.config import Address, read_director_config
from ironhinge.net.attempt_end import AttemptEnd
from ironhinge.net.clock import MILLISECOND, SECOND
from ironhinge.net.delivery_delay import DeliveryDelay
from ironhinge.net.discovery_choice import Choice, ConnectionStatus, choose
from ironhinge.net.discovery_connections import DiscoveryConnections

from .helpers import FakeServer, configuration, endpoint_config, endpoint_record, receive_exactly
from .test_director import FakeRouter, run_director

READY, DRAINING = 0, 1  # states of an endpoint on the wire
KEEPALIVE, FULL_LIST, LIST_CHANGES, PURGE_OBJECT = 0, 1, 2, 3  # kinds of frames
ENDPOINT, ADDRESS = "s-00000001", "127.0.0.1:9"
PLAYED_CASES = (
    "3.0 s late",
    "2.2 s late, new ones answered after 3 s",
    "first two silent, others 2.5 s late",
    "first two silent, others sound",
    "from the start, 4.5 s late",
)
PLAYS_AT_ONCE = 5


@pytest.fixture(scope="module")
def plays():
    """Starts to play rows of the table, each with a director process; returns their futures by name."""
    with ProcessPoolExecutor(PLAYS_AT_ONCE) as pool:
        yield {case.name: pool.submit(measure, case) for case in CASES if case.name in PLAYED_CASES}


@pytest.mark.parametrize("case", PLAYED_CASES)
def test_drain_and_purge_are_obeyed_in_time_though_events_arrive_late(plays, case):
    """Requests went to draining servers until they ended: slow connections were closed, with their events."""
    result = plays[case].result()
    assert (result.drain_too_late, result.purge_too_late) == (0, 0), result
    assert result.is_within_limit, result
    assert result.ready < 10.0
    assert result.connections <= 4


def frame(index, kind, payload=b""):
    """Encodes a frame of the discovery service."""
    data = index.to_bytes(8, "big") + bytes([kind]) + payload
    return len(data).to_bytes(4, "big") + data


def drain(index):
    return frame(index, LIST_CHANGES, endpoint_record(ENDPOINT, ADDRESS, DRAINING))


def purge(index, object_id=7, unix_ms=None):
    stamp = int(time.time() * 1000) if unix_ms is None else unix_ms
    return frame(index, PURGE_OBJECT, struct.pack(">QQ", object_id, stamp))


class ScriptedCoordinator(FakeServer):
    """A discovery service that writes nothing by itself: the test writes to its connections."""

    def __init__(self):
        self.subscriptions = queue.Queue()  # last known index, connection
        super().__init__()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.subscriptions.put((int.from_bytes(receive_exactly(connection, 8), "big"), connection))
        threading.Event().wait(30)

    async def next_connection(self, wait_until):
        await wait_until(lambda: not self.subscriptions.empty())
        return self.subscriptions.get()[1]


def run_with_two_connections(scenario, fake_router=None):
    """Runs a scenario with a director whose first connection has fallen silent, so that it has a second."""
    coordinator = ScriptedCoordinator()

    async def run(director, client, wait_until):
        director.manager.task_group.start_soon(director.discovery.follow)
        first = await coordinator.next_connection(wait_until)
        first.sendall(frame(1, KEEPALIVE))
        second = await coordinator.next_connection(wait_until)
        assert len(director.discovery.connections.connections) == 2
        await scenario(director, first, second, wait_until)

    run_director(fake_router or FakeRouter(), run, coordinator=coordinator.address)


def purges_of(fake_router):
    return [event.object_id for event in fake_router.events_of(interface.PurgeNotified)]


def test_event_that_two_connections_deliver_is_applied_once_and_in_order():
    """An event must not count twice, and none may be skipped, whichever connection brings it first."""
    fake_router = FakeRouter()

    async def scenario(director, first, second, wait_until):
        second.sendall(purge(2, 20) + purge(3, 30))
        await wait_until(lambda: director.discovery.last_index == 3)
        first.sendall(purge(2, 20) + purge(3, 30) + purge(4, 40))
        await wait_until(lambda: director.discovery.last_index == 4)
        second.sendall(purge(4, 40) + purge(5, 50))
        await wait_until(lambda: director.discovery.last_index == 5)

    run_with_two_connections(scenario, fake_router)
    assert purges_of(fake_router) == [20, 30, 40, 50]


def test_whole_list_on_one_connection_does_not_undo_a_newer_drain_of_the_other():
    """A slow connection that delivers an old list would make a draining server a target again."""

    async def scenario(director, first, second, wait_until):
        first.sendall(purge(2) + drain(3))
        await wait_until(lambda: director.discovery.last_index == 3)
        second.sendall(frame(2, FULL_LIST, endpoint_record(ENDPOINT, ADDRESS, READY)) + drain(3) + purge(4))
        await wait_until(lambda: director.discovery.last_index == 4)
        assert director.pool.upstreams[ENDPOINT].state is interface.EndpointState.DRAINING

    run_with_two_connections(scenario)


def test_empty_frame_proves_only_what_its_own_connection_has_delivered():
    """Else a new connection would end the one that is still ahead of it."""

    async def scenario(director, first, second, wait_until):
        first.sendall(drain(2))
        await wait_until(lambda: director.discovery.last_index == 2)
        second.sendall(frame(2, KEEPALIVE))
        with anyio.move_on_after(0.5):
            await wait_until(lambda: len(director.discovery.connections.connections) < 2)
        assert len(director.discovery.connections.connections) == 2
        second.sendall(drain(2) + frame(2, KEEPALIVE))
        await wait_until(lambda: len(director.discovery.connections.connections) == 1)
        assert first.recv(1) == b""

    run_with_two_connections(scenario)


def test_first_connection_that_was_slow_and_proves_current_is_kept_and_the_second_one_ends():
    """A connection that recovers costs the service no further one."""

    async def scenario(director, first, second, wait_until):
        for _ in range(4):
            first.sendall(frame(1, KEEPALIVE))
            await anyio.sleep(0.5)
        assert len(director.discovery.connections.connections) == 1
        assert second.recv(1) == b""

    run_with_two_connections(scenario)


def test_reload_that_moves_discovery_ends_both_connections():
    """A connection to the old address would go on delivering its events."""
    moved = ScriptedCoordinator()

    async def scenario(director, first, second, wait_until):
        config = configuration([endpoint_config(ENDPOINT, ADDRESS)], coordinator=moved.address)
        director.discovery.apply_config(read_director_config(json.loads(json.dumps(config))))
        await moved.next_connection(wait_until)
        assert (first.recv(1), second.recv(1)) == (b"", b"")
        assert len(director.discovery.connections.connections) == 1

    run_with_two_connections(scenario)


def test_second_connection_is_made_while_no_descriptor_is_left_for_other_connections():
    """Idle clients that fill the descriptors must not take the place of a second connection."""
    coordinator = ScriptedCoordinator()

    async def scenario(director, client, wait_until):
        director.manager.task_group.start_soon(director.discovery.follow)
        await coordinator.next_connection(wait_until)
        director.manager.descriptor_limit = director.manager.open_sockets
        await coordinator.next_connection(wait_until)
        assert director.manager.open_sockets == 2  # both count in the budget

    run_director(FakeRouter(), scenario, coordinator=coordinator.address)


class ProgressRecorder:
    """Takes the place of the local store; records the times up to which purges are known."""

    def __init__(self):
        self.ages_ms = []

    def on_discovery_progress(self, unix_ms):
        self.ages_ms.append(time.time() * 1000 - unix_ms)

    def on_purge(self, object_id, group, unix_ms): ...


def test_late_empty_frame_does_not_claim_that_recent_purges_are_known():
    """Purged copies came back after a kill: a frame from seconds ago counted as proof of the last second."""
    coordinator = ScriptedCoordinator()
    recorder = ProgressRecorder()

    async def scenario(director, client, wait_until):
        director.discovery.local_store = recorder
        director.manager.task_group.start_soon(director.discovery.follow)
        connection = await coordinator.next_connection(wait_until)
        await anyio.sleep(1.2)
        connection.sendall(frame(1, KEEPALIVE))
        await wait_until(lambda: recorder.ages_ms)

    run_director(FakeRouter(), scenario, coordinator=coordinator.address)
    assert recorder.ages_ms[0] >= 2200


def test_event_that_is_as_old_as_its_path_is_late_does_not_move_the_clock():
    """A purge of seconds ago on a late path was taken for a step of the clock, which aged all copies."""
    coordinator = ScriptedCoordinator()

    async def scenario(director, client, wait_until):
        director.manager.task_group.start_soon(director.discovery.follow)
        connection = await coordinator.next_connection(wait_until)
        await anyio.sleep(1.2)
        connection.sendall(frame(1, KEEPALIVE))
        before_ms = director.clock.unix_ms() - int(time.time() * 1000)
        connection.sendall(purge(2, unix_ms=int(time.time() * 1000) - 11_000))
        await wait_until(lambda: director.discovery.last_index == 2)
        assert abs(director.clock.unix_ms() - int(time.time() * 1000) - before_ms) < 50

    run_director(FakeRouter(), scenario, coordinator=coordinator.address)


# Decisions, and the rate of connections, without sockets

SILENT = ConnectionStatus(
    age=60 * SECOND, is_established=True, has_received=True, is_proved=False, overdue_time=1, delay=0
)
NEW = SILENT._replace(age=SECOND, has_received=False, overdue_time=0)


@pytest.mark.parametrize(
    ("older", "newer", "expected"),
    [
        (SILENT._replace(overdue_time=0), None, Choice.KEEP),
        (SILENT, None, Choice.OPEN_SECOND),
        (SILENT, NEW, Choice.KEEP),
        (SILENT, NEW._replace(is_proved=True), Choice.CLOSE_OLDER),
        (SILENT, NEW._replace(overdue_time=1), Choice.KEEP),
        (SILENT._replace(overdue_time=2 * SECOND), NEW._replace(overdue_time=1), Choice.REPLACE_OLDER),
        # nothing shows that the service can be reached: the older connection is not given up for it
        (
            SILENT._replace(overdue_time=2 * SECOND),
            NEW._replace(is_established=False, overdue_time=1),
            Choice.KEEP,
        ),
        (
            SILENT._replace(overdue_time=2 * SECOND),
            NEW._replace(is_established=False, overdue_time=1, age=2 * SECOND),
            Choice.REPLACE_NEWER,
        ),
        # the newest one gets the time that the slowest path needs
        (
            SILENT._replace(has_received=False, overdue_time=9 * SECOND),
            NEW._replace(overdue_time=8 * SECOND, age=9 * SECOND),
            Choice.KEEP,
        ),
        # the older one is current: the newer one is kept only while it may be less late
        (
            SILENT._replace(is_proved=True, overdue_time=0, delay=3 * SECOND),
            NEW._replace(age=4 * SECOND),
            Choice.KEEP,
        ),
        (
            SILENT._replace(is_proved=True, overdue_time=0, delay=3 * SECOND),
            NEW._replace(age=5 * SECOND),
            Choice.CLOSE_NEWER,
        ),
        (
            SILENT._replace(is_proved=True, overdue_time=0, delay=SECOND),
            NEW._replace(is_proved=True, delay=4 * SECOND),
            Choice.CLOSE_NEWER,
        ),
    ],
)
def test_choice_between_connections(older, newer, expected):
    assert choose(older, newer) is expected


class FakeClock:
    """A clock that a test moves."""

    def __init__(self):
        self.time = SECOND

    def now(self):
        return self.time

    @staticmethod
    def seconds(span):
        return span / SECOND


class FakeTransport:
    """Takes the place of a TCP connection that is established at once and delivers nothing by itself."""

    def __init__(self, manager, receiver):
        self.manager, self.receiver = manager, receiver

    def write(self, pieces): ...

    def read_now(self): ...

    def close(self, end):
        self.manager.open.remove(self)
        self.receiver.on_closed(self, end)


class FakeManager:
    """Opens fake connections, and records when."""

    def __init__(self, clock, is_established):
        self.clock, self.is_established = clock, is_established
        self.open, self.opened_at, self.most_open = [], [], 0

    def connect(self, receiver, address, timeout, may_use_reserve):
        transport = FakeTransport(self, receiver)
        self.open.append(transport)
        self.opened_at.append(self.clock.time)
        self.most_open = max(self.most_open, len(self.open))
        if self.is_established:
            receiver.on_connected(transport)
        return transport


class FakeReceiver:
    """The receiver of the events of fake connections."""

    last_index = 1

    def __init__(self):
        self.connections = None

    def apply(self, update): ...

    def on_keepalive(self, connection): ...

    def on_discovery_bytes(self): ...

    def on_discovery_connected(self, connection):
        self.connections.on_established()

    def on_discovery_closed(self, connection, end):
        self.connections.on_closed(connection, end)


def simulate(seconds, is_established=True, on_step=lambda manager, clock: None):
    """Runs the connections against a service for some time, in steps of 50 ms; returns the manager."""
    clock, receiver = FakeClock(), FakeReceiver()
    manager = FakeManager(clock, is_established)
    connections = receiver.connections = DiscoveryConnections(
        receiver, manager, clock, lambda: Address("127.0.0.1", 9), lambda: None
    )
    while clock.time < SECOND + seconds * SECOND:
        connections.check()
        on_step(manager, clock)
        clock.time += 50 * MILLISECOND
    return manager


def close_all(manager, clock):
    for transport in list(manager.open):
        transport.close(AttemptEnd.RESET)


def deliver_every_four_seconds(manager, clock):
    if clock.time % (4 * SECOND) == 0:
        for transport in manager.open:
            transport.receiver.on_data(transport, memoryview(4 * frame(1, KEEPALIVE)))


@pytest.mark.parametrize(
    ("is_established", "on_step"),
    [
        (True, lambda manager, clock: None),  # silent for ever
        (True, close_all),  # overloaded: each connection is ended at once
        (True, deliver_every_four_seconds),
        (False, lambda manager, clock: None),  # no answer to a SYN
    ],
)
def test_no_more_than_two_connections_and_one_in_two_seconds_on_average(is_established, on_step):
    """Hundreds of directors that lose an overloaded service together would keep it overloaded."""
    manager = simulate(60, is_established, on_step)
    assert manager.most_open <= 2
    assert 2 <= len(manager.opened_at) <= 60 / 2 + 3


def test_service_that_stops_is_asked_again_within_four_seconds_whatever_came_before():
    """What it would have told counts as told 4 s after it stops, or as soon as it is asked again."""

    def stop_again_and_again(manager, clock):
        """Lets each connection prove itself once, right after it was made, and then fall silent."""
        newest = manager.open[-1].receiver if manager.open else None
        if newest is not None and clock.time - newest.opened_at == 50 * MILLISECOND:
            newest.on_data(manager.open[-1], memoryview(frame(1, KEEPALIVE)))

    manager = simulate(60, on_step=stop_again_and_again)
    pauses = [
        later - earlier for earlier, later in zip(manager.opened_at, manager.opened_at[1:], strict=False)
    ]
    assert max(pauses) <= 4 * SECOND


def test_connection_that_is_refused_is_tried_again_soon():
    """Events after an outage count as delivered 2 s after its end."""
    manager = simulate(10, is_established=False, on_step=close_all)
    pauses = [
        later - earlier for earlier, later in zip(manager.opened_at, manager.opened_at[1:], strict=False)
    ]
    assert max(pauses) <= SECOND // 2


def keepalives(*arrivals):
    """Returns the delay after empty frames that arrive at some seconds after the request."""
    delay = DeliveryDelay(0)
    delay.on_requested(0)
    for seconds in arrivals:
        delay.on_keepalive(int(seconds * SECOND))
    return delay.at(int(arrivals[-1] * SECOND)) / SECOND


@pytest.mark.parametrize(
    ("arrivals", "least", "most"),
    [
        ((0.01, 1.01, 2.01), 0.0, 0.1),
        ((1.0, 2.0, 3.0, 4.0), 0.0, 1.0),
        ((3.0, 4.0, 5.0), 2.9, 3.0),  # late from the start
        ((3.0, *range(4, 204)), 2.0, 3.0),  # for minutes
        ((0.01, 1.01, 5.0, 6.0), 2.9, 3.1),  # late since the second frame
        ((0.01, 1.01, 5.0, 5.0, 5.0, 5.01, 6.01), 0.0, 0.1),  # and sound again
        ((0.01, 1.51, 3.01, 4.51, 6.01), 1.9, 2.1),  # growing
        (tuple(0.5 * number for number in range(1, 40)), 0.0, 0.5),  # a service that writes more often
    ],
)
def test_delay_of_frames_is_estimated_from_their_arrivals(arrivals, least, most):
    assert least <= keepalives(*arrivals) <= most


def test_delay_grows_while_frames_are_overdue():
    delay = DeliveryDelay(0)
    delay.on_requested(0)
    delay.on_keepalive(SECOND // 100)
    assert delay.at(6 * SECOND) > 4.9 * SECOND
