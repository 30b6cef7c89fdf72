"""A discovery service that is slow: an event that keeps arriving is read to its end, and no peer holds us."""

import queue
import socket
import threading
import time

import pytest

from ironhinge import interface
from ironhinge.net.clock import SECOND
from ironhinge.net.discovery_choice import Choice, ConnectionStatus, choose
from ironhinge.net.discovery_connection import (
    FRAME_TIMEOUT,
    INACTIVITY_JITTER,
    INACTIVITY_TIMEOUT,
    DiscoveryConnection,
)
from ironhinge.net.discovery_wire import ENDPOINT_RECORD

from .helpers import FakeServer, endpoint_record
from .test_director import FakeRouter, run_director

DRAINING = 1  # state of an endpoint on the wire
LIST_CHANGES = 2  # kind of a frame
LARGEST_FLEET = 3200  # endpoints


def event_frame(index, payload):
    """Encodes an event with changes of the endpoint list."""
    data = index.to_bytes(8, "big") + bytes([LIST_CHANGES]) + payload
    return len(data).to_bytes(4, "big") + data


def in_pieces(data, piece_count):
    """Splits data into pieces of the same size."""
    size = -(-len(data) // piece_count)
    return [data[start : start + size] for start in range(0, len(data), size)]


class SlowCoordinator(FakeServer):
    """A discovery service that sends each subscriber an event in pieces, with a pause before each."""

    def __init__(self, pieces, pause):
        self.pieces, self.pause, self.subscribed_indices = pieces, pause, queue.Queue()
        super().__init__()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.subscribed_indices.put(int.from_bytes(connection.recv(8), "big"))
        for piece in self.pieces:
            time.sleep(self.pause)
            connection.sendall(piece)
        threading.Event().wait(5)


def test_event_that_arrives_in_pieces_over_three_seconds_is_applied():
    """Requests went to draining servers: the event was given up after 2 s and asked for again, for ever."""
    event = event_frame(2, endpoint_record("s-00000001", "127.0.0.1:9", DRAINING))
    coordinator = SlowCoordinator(in_pieces(event, 10), pause=0.3)
    fake_router = FakeRouter()

    async def scenario(director, client, wait_until):
        director.manager.task_group.start_soon(director.discovery.follow)
        await wait_until(lambda: director.discovery.last_index == 2)

    run_director(fake_router, scenario, coordinator=coordinator.address)
    assert [coordinator.subscribed_indices.get() for _ in range(coordinator.subscribed_indices.qsize())] == [
        1
    ]
    (change,) = fake_router.events_of(interface.EndpointsUpdated)[1:]
    assert change.endpoints[0].state == interface.EndpointState.DRAINING


class FakeClock:
    """A clock that a test moves."""

    def __init__(self):
        self.time = 0

    def now(self):
        return self.time


class AppliedUpdates(list):
    """Records the updates of a connection; the `UpdateReceiver`."""

    last_index = 1

    def apply(self, update):
        self.append(update)

    def on_keepalive(self, connection): ...

    def on_discovery_connected(self, connection): ...

    def on_discovery_bytes(self): ...

    def on_discovery_closed(self, connection, end): ...


def is_given_up(connection, now):
    """Returns whether a second connection would take the place of this one: it is as new, and silent."""
    second = ConnectionStatus(
        age=SECOND, is_established=True, has_received=False, is_proved=False, overdue_time=1, delay=0
    )
    return choose(connection.status(now), second) is Choice.REPLACE_OLDER


def is_doubted(connection, now):
    """Returns whether a second connection would be tried."""
    return choose(connection.status(now), None) is Choice.OPEN_SECOND


def play(pieces, pause, is_over=is_given_up):
    """Feeds pieces with a pause before each; returns the updates, and when `is_over` was true or None."""
    clock, updates = FakeClock(), AppliedUpdates()
    connection = DiscoveryConnection(updates, clock)
    for piece in pieces:
        end = clock.time + pause
        while clock.time < end:
            clock.time = min(end, clock.time + SECOND // 4)
            if is_over(connection, clock.time):
                return updates, clock.time
        connection.on_data(None, memoryview(piece))
    return updates, None


@pytest.mark.parametrize(
    ("endpoints", "piece_count", "pause"),
    [
        (8, 15, SECOND // 5),  # 3 s
        (8, 8, SECOND * 3 // 2),  # 12 s
        (LARGEST_FLEET, 173, SECOND // 100),  # 50 KB a second
        (LARGEST_FLEET, 87, SECOND // 5),  # 5 KB a second
    ],
)
def test_event_is_read_to_its_end_as_long_as_it_keeps_arriving(endpoints, piece_count, pause):
    event = event_frame(2, bytes(ENDPOINT_RECORD.size) * endpoints)
    updates, given_up_at = play(in_pieces(event, piece_count), pause)
    assert (len(updates), given_up_at) == (1, None)


def test_peer_that_sends_a_byte_a_second_does_not_hold_the_director_for_ever():
    event = event_frame(2, bytes(ENDPOINT_RECORD.size) * LARGEST_FLEET)
    _, doubted_at = play(in_pieces(event, len(event)), SECOND, is_doubted)
    assert FRAME_TIMEOUT < doubted_at <= FRAME_TIMEOUT + 2 * SECOND


@pytest.mark.parametrize("first_piece_size", [20, None])
def test_second_connection_is_tried_when_the_peer_is_silent_within_or_between_frames(first_piece_size):
    event = event_frame(2, bytes(ENDPOINT_RECORD.size))
    clock = FakeClock()
    connection = DiscoveryConnection(AppliedUpdates(), clock)
    clock.time = SECOND
    connection.on_data(None, memoryview(event)[:first_piece_size])
    assert choose(connection.status(SECOND + INACTIVITY_TIMEOUT - INACTIVITY_JITTER), None) is Choice.KEEP
    assert choose(connection.status(SECOND + INACTIVITY_TIMEOUT + 1), None) is Choice.OPEN_SECOND
