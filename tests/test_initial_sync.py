"""A director that starts routes no request before it has applied what the discovery service held."""

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest

from .helpers import (
    TIMEOUT_SECONDS,
    FakeClient,
    FakeServer,
    FakeUpstream,
    configuration,
    endpoint_config,
    endpoint_record,
    free_port,
    receive_exactly,
    reset_connection,
)

READY, DRAINING, REMOVED = 0, 1, 2  # states of an endpoint on the wire
KEEPALIVE, FULL_LIST, LIST_CHANGES, PURGE_OBJECT, PURGE_GROUP = 0, 1, 2, 3, 4  # kinds of frames
KEEPALIVE_INTERVAL = 1.0  # seconds; the protocol's
KNOWN_INDEX = 1  # of the endpoint list in the configuration
READY_LIMIT = 6.0  # seconds from the start of the process
MAX_DIFFERENCE = 6  # requests to cold endpoints beyond those where their start is told at once
PURGE_GRACE = 0.35  # seconds; the shortest grace of the rules, with the slack on sockets
LOAD_SECONDS = 1.0  # for which clients send, from the first connection on
CLIENTS = 4


def frame(index, kind, payload=b""):
    """Encodes a frame of the discovery service."""
    data = index.to_bytes(8, "big") + bytes([kind]) + payload
    return len(data).to_bytes(4, "big") + data


def frames(events):
    """Encodes events (kind, payload), numbered from the one after the configuration's list."""
    return [frame(KNOWN_INDEX + 1 + i, kind, payload) for i, (kind, payload) in enumerate(events)]


class BacklogCoordinator(FakeServer):
    """A discovery service that holds events from before the director's start.

    Args:
        events: The events, as frames.
        delay: Seconds after which the first byte of the events is written.
        piece_bytes: Bytes that are written at a time; 0: whole events.
        pause: Seconds between two writes.
        keepalive_interval: Seconds between two empty frames.
        keepalive_number: Number of the empty frames; None: that of the last event.
    """

    is_keepalive_first = False  # an empty frame comes before the events, with the number of the last one

    def __init__(
        self,
        events,
        delay=0.0,
        piece_bytes=0,
        pause=0.0,
        keepalive_interval=KEEPALIVE_INTERVAL,
        keepalive_number=None,
    ):
        self.events, self.delay, self.piece_bytes, self.pause = events, delay, piece_bytes, pause
        self.keepalive_interval = keepalive_interval
        last_index = KNOWN_INDEX + len(events)
        self.keepalive = frame(last_index if keepalive_number is None else keepalive_number, KEEPALIVE)
        self.connected_at = []  # monotonic seconds
        super().__init__()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected_at.append(time.monotonic())
        last_index = int.from_bytes(receive_exactly(connection, 8), "big")
        if self.is_keepalive_first:
            connection.sendall(self.keepalive)
        time.sleep(self.delay)
        data = b"".join(self.events[last_index - KNOWN_INDEX :])
        size = self.piece_bytes or len(data) or 1
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        for piece in self.events if self.pause and not self.piece_bytes else pieces:
            connection.sendall(piece)
            time.sleep(self.pause)
        next_keepalive_at = self.connected_at[-1] + self.keepalive_interval
        while True:
            time.sleep(max(0.0, next_keepalive_at - time.monotonic()))
            next_keepalive_at += self.keepalive_interval
            connection.sendall(self.keepalive)


class EagerCoordinator(BacklogCoordinator):
    """A discovery service whose empty frames come by the clock, also before the events that they name."""

    is_keepalive_first = True


class SilentCoordinator(FakeServer):
    """A discovery service that takes connections and sends the same few bytes at intervals, or nothing."""

    def __init__(self, data=b"", interval=1.0, first_after=None):
        self.data, self.interval = data, interval
        self.first_after = interval if first_after is None else first_after
        super().__init__()

    def serve(self, connection):
        time.sleep(self.first_after)
        while True:
            connection.sendall(self.data)
            time.sleep(self.interval)


class StartingDirector:
    """A director whose start is not waited for."""

    def __init__(self, folder, config):
        self.port = int(config["listen"].split(":")[1])
        self.log_path = folder / "log"
        self.config_path = folder / "config.json"
        self.config_path.write_text(json.dumps(config))
        env = {**os.environ, "PROXY_CONFIG": str(self.config_path)}
        self.started_at = time.monotonic()
        command = [sys.executable, "-m", "ironhinge", "serve", "--log-level", "debug"]
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(command, env=env, stderr=log)

    def connect(self):
        """Returns a client once the director listens."""
        while time.monotonic() < self.started_at + TIMEOUT_SECONDS:
            assert self.process.poll() is None, self.log_text()
            with contextlib.suppress(ConnectionRefusedError):
                return FakeClient(self.port)
            time.sleep(0.002)
        raise AssertionError(self.log_text())

    def log_text(self):
        return self.log_path.read_text()

    def log_lines(self, name):
        """Returns the fields of each log line of an event."""
        lines = [line.split() for line in self.log_text().splitlines()]
        return [
            dict(field.split("=", 1) for field in line[3:] if "=" in field)
            for line in lines
            if len(line) > 2 and line[2] == name
        ]

    def stop(self):
        self.process.kill()
        self.process.wait()


class Site:
    """Four caches, two of which change before the director's start; a director; and clients."""

    def __init__(self, folder, make_coordinator):
        self.upstreams = [FakeUpstream(has_all_objects=True) for _ in range(4)]
        self.ids = [f"s-{int(upstream.address.split(':')[1]):08x}" for upstream in self.upstreams]
        self.changed = self.upstreams[2:]
        self.coordinator = make_coordinator(self)
        endpoints = [
            endpoint_config(name, upstream.address)
            for name, upstream in zip(self.ids, self.upstreams, strict=True)
        ]
        listen = f"127.0.0.1:{free_port()}"
        self.config = configuration(endpoints, listen, coordinator=self.coordinator.address)
        self.director = StartingDirector(folder, self.config)
        self.codes = []

    def records(self, state):
        """Encodes the two changed endpoints with a state."""
        return b"".join(
            endpoint_record(name, upstream.address, state)
            for name, upstream in zip(self.ids[2:], self.changed, strict=True)
        )

    def send_requests(self, seconds=LOAD_SECONDS):
        """Sends requests from the first moment at which the director takes a connection."""
        threads = [threading.Thread(target=self._run_client, args=(seconds,)) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert self.codes.count(1) > 20, self.director.log_text()
        assert set(self.codes) == {1}

    def _run_client(self, seconds):
        client = self.director.connect()
        end = time.monotonic() + seconds
        entity = 0
        while time.monotonic() < end:
            entity += 1
            stream = client.send_request(entity=f"{id(client) + entity:016x}")
            self.codes.append(client.read_answer(stream)[0])

    def requests_to_changed(self):
        return sum(len(upstream.request_ids) for upstream in self.changed)

    def stop(self):
        self.director.stop()
        for server in (*self.upstreams, self.coordinator):
            with contextlib.suppress(OSError):
                server.close_and_reset()


@pytest.fixture
def start_site(tmp_path):
    """Returns a function that starts a site with a coordinator."""
    sites = []

    def start(make_coordinator):
        sites.append(Site(tmp_path, make_coordinator))
        return sites[-1]

    yield start
    for site in sites:
        site.stop()


def purges(count):
    return [(PURGE_OBJECT, struct.pack(">QQ", i, int(time.time() * 1000))) for i in range(count)]


def changes(site, state):
    return (LIST_CHANGES, site.records(state))


def starts(site):
    """Returns an event by which the changed endpoints have just started."""
    now_ms = int(time.time() * 1000)
    names_and_ports = [
        (name, int(upstream.address.split(":")[1]))
        for name, upstream in zip(site.ids[2:], site.changed, strict=True)
    ]
    loopback = socket.inet_aton("127.0.0.1")
    records = [
        struct.pack(">I4sHBBBHIQ", int(name[2:], 16), loopback, port, READY, 0, 0, 0, 20000, now_ms)
        for name, port in names_and_ports
    ]
    return (LIST_CHANGES, b"".join(records))


def full_list_without_changed(site):
    records = b"".join(
        endpoint_record(name, upstream.address, READY)
        for name, upstream in zip(site.ids[:2], site.upstreams[:2], strict=True)
    )
    return (FULL_LIST, records)


BACKLOGS = {  # how the coordinator tells that two of four endpoints drain or are gone
    "at once": lambda site: BacklogCoordinator(frames([changes(site, DRAINING)])),
    "0.05 s late": lambda site: BacklogCoordinator(frames([changes(site, DRAINING)]), delay=0.05),
    "0.5 s late": lambda site: BacklogCoordinator(frames([changes(site, DRAINING)]), delay=0.5),
    "1.5 s late": lambda site: BacklogCoordinator(frames([changes(site, DRAINING)]), delay=1.5),
    "one by one": lambda site: BacklogCoordinator(frames([*purges(43), changes(site, DRAINING)]), pause=0.02),
    "in pieces": lambda site: BacklogCoordinator(
        frames([changes(site, DRAINING)]), piece_bytes=7, pause=0.05
    ),
    "deleted": lambda site: BacklogCoordinator(frames([changes(site, REMOVED)]), delay=0.5),
    "full list without them": lambda site: BacklogCoordinator(
        frames([full_list_without_changed(site)]), delay=0.5
    ),
    "behind purges": lambda site: BacklogCoordinator(frames([*purges(3000), changes(site, DRAINING)])),
    "behind an empty frame that names it": lambda site: EagerCoordinator(
        frames([changes(site, DRAINING)]), delay=0.5
    ),
    "twice": lambda site: BacklogCoordinator(2 * frames([changes(site, DRAINING)]), delay=0.2),
}


@pytest.mark.parametrize("told", BACKLOGS)
def test_no_request_reaches_an_endpoint_whose_drain_discovery_held_before_the_start(start_site, told):
    """Requests went to draining servers right after a start: the backlog of discovery was still unread."""
    site = start_site(BACKLOGS[told])
    site.send_requests()
    assert site.requests_to_changed() == 0


def test_log_says_when_discovery_was_followed_and_what_each_attempt_was_decided_on(start_site):
    """An operators' report could not be answered: no line said what discovery had told, and when."""
    site = start_site(lambda site: BacklogCoordinator(frames([*purges(2), changes(site, DRAINING)])))
    client = site.director.connect()
    while not site.director.log_lines("discovery_caught_up"):
        time.sleep(0.02)
    client.read_answer(client.send_request())
    (connected,) = site.director.log_lines("discovery_connected")
    assert connected["address"] == site.coordinator.address
    assert connected["after_index"] == str(KNOWN_INDEX)
    (caught_up,) = site.director.log_lines("discovery_caught_up")
    assert (caught_up["index"], caught_up["events"]) == ("4", "3")
    assert 0 < float(caught_up["since_start_s"]) < 1.5
    changed = site.director.log_lines("upstream_state_changed")
    assert [(line["state"], line["index"], line["origin"]) for line in changed] == 2 * [
        ("draining", "4", "discovery")
    ]
    attempt = site.director.log_lines("attempt_started")[-1]
    assert attempt["discovery_index"] == "4"
    assert attempt["upstream"] in site.ids[:2]
    site.director.process.send_signal(signal.SIGUSR1)
    while not site.director.log_lines("counters"):
        time.sleep(0.02)
    assert site.director.log_lines("counters")[0]["discovery_stage"] == "synced"


@pytest.mark.parametrize(
    ("keepalive_interval", "limit"),
    [(0.01, 0.1), (KEEPALIVE_INTERVAL, 1.2)],
)
def test_port_opens_soon_after_discovery_has_told_all(start_site, keepalive_interval, limit):
    """A start must not take longer than it has to: 0.1 s where the proof comes at once, else 1.2 s."""

    def coordinator(site):
        return BacklogCoordinator(frames([changes(site, DRAINING)]), keepalive_interval=keepalive_interval)

    site = start_site(coordinator)
    site.director.connect()
    assert time.monotonic() - site.coordinator.connected_at[0] < limit


@pytest.mark.parametrize("number", [0, 2**40])
def test_number_of_an_empty_frame_that_means_nothing_does_not_keep_the_director_from_serving(
    start_site, number
):
    """The protocol does not say which number an empty frame has: no start may wait for an event for that."""

    def coordinator(site):
        return BacklogCoordinator(frames([changes(site, DRAINING)]), keepalive_number=number)

    site = start_site(coordinator)
    site.director.connect()
    assert time.monotonic() - site.coordinator.connected_at[0] < 1.2 + KEEPALIVE_INTERVAL
    assert not site.director.log_lines("serving_before_caught_up")


class RefusingCoordinator:
    """No discovery service: connections to its address are refused."""

    def __init__(self):
        self.address = f"127.0.0.1:{free_port()}"

    def close_and_reset(self): ...


UNANSWERING = {  # discovery services that never tell what they hold, and the stage that is logged
    "refuses": (lambda site: RefusingCoordinator(), "unreachable"),
    "says nothing": (lambda site: SilentCoordinator(), "silent"),
    "stops within a frame": (
        lambda site: SilentCoordinator(frames([changes(site, DRAINING)])[0][:20], 60.0, first_after=0.05),
        "receiving",
    ),
    "a byte a second": (lambda site: SilentCoordinator(b"\0", 1.0), "receiving"),
}


@pytest.mark.parametrize("coordinator", UNANSWERING)
def test_director_serves_in_time_though_discovery_does_not_answer(start_site, coordinator):
    """A wait for discovery without an end would keep directors from their clients through its outage."""
    make_coordinator, stage = UNANSWERING[coordinator]
    site = start_site(make_coordinator)
    client = site.director.connect()
    assert client.is_ready()
    assert time.monotonic() - site.director.started_at < READY_LIMIT
    assert client.read_answer(client.send_request())[0] == 1
    (warning,) = site.director.log_lines("serving_before_caught_up")
    assert warning["stage"] == stage
    site.director.process.send_signal(signal.SIGUSR1)
    while not site.director.log_lines("counters"):
        time.sleep(0.02)
    assert site.director.log_lines("counters")[0]["starts_before_caught_up"] == "1"


def test_sigterm_while_discovery_is_awaited_ends_the_process_at_once(start_site):
    """Nothing has been taken on in this phase, so nothing has to be waited for."""
    site = start_site(lambda site: SilentCoordinator())
    while not site.director.log_lines("discovery_connected"):
        time.sleep(0.01)
    terminated_at = time.monotonic()
    site.director.process.terminate()
    assert site.director.process.wait(TIMEOUT_SECONDS) == 0
    assert time.monotonic() - terminated_at < 1.0
    assert not site.director.log_lines("director_started")


def test_sighup_while_discovery_is_awaited_moves_the_director_to_the_new_address(start_site):
    """A reload in the first second is followed, and the new address has to tell before clients come."""
    site = start_site(lambda site: SilentCoordinator())
    while not site.director.log_lines("discovery_connected"):
        time.sleep(0.01)
    moved = BacklogCoordinator(frames([changes(site, DRAINING)]), delay=0.3)
    site.config["coordinator"] = moved.address
    site.director.config_path.write_text(json.dumps(site.config))
    site.director.process.send_signal(signal.SIGHUP)
    site.send_requests()
    assert site.requests_to_changed() == 0
    assert not site.director.log_lines("serving_before_caught_up")


def test_purge_that_discovery_held_before_the_start_limits_the_age_of_copies(start_site):
    """Requests right after a start accepted copies from before a purge that was still unread."""
    purge = (PURGE_GROUP, struct.pack(">HQ", 17, int(time.time() * 1000)))
    site = start_site(lambda site: BacklogCoordinator(frames([purge]), delay=0.5))
    site.send_requests()
    commands = [command for upstream in site.upstreams for command in list(upstream.commands.queue)]
    limits = [fields.get("accept") for verb, _, fields, _ in commands if verb == "want"]
    assert len(limits) > 20
    assert None not in limits


def test_endpoint_that_discovery_told_to_have_just_started_gets_slow_start(start_site):
    """Right after a start cold servers got full load: that they had just started was still unread."""

    def told(delay):
        site = start_site(lambda site: BacklogCoordinator(frames([starts(site)]), delay=delay))
        site.send_requests()
        return site.requests_to_changed()

    assert told(0.5) <= told(0.0) + MAX_DIFFERENCE


def test_address_that_passes_to_a_new_endpoint_in_the_backlog_is_used_for_that_one_alone(start_site):
    """The drain of the old endpoint at an address may be told before or after the start of the new one."""
    new_ids = ["s-000000f1", "s-000000f2"]

    def records(site, ids, state):
        addresses = [upstream.address for upstream in site.changed]
        return (LIST_CHANGES, b"".join(map(endpoint_record, ids, addresses, (state, state))))

    for old_first in (True, False):

        def backlog(site, old_first=old_first):
            events = [records(site, site.ids[2:], DRAINING), records(site, new_ids, READY)]
            return BacklogCoordinator(frames(events if old_first else events[::-1]), delay=0.2)

        site = start_site(backlog)
        site.send_requests()
        upstreams = {line["upstream"] for line in site.director.log_lines("attempt_started")}
        assert not upstreams & set(site.ids[2:])
        assert upstreams & set(new_ids)
        site.stop()


class RestartingCoordinator(FakeServer):
    """A discovery service that is current at first, breaks off once, and then tells a long backlog."""

    def __init__(self, events, up_seconds):
        self.events, self.up_seconds = events, up_seconds
        self.asked_again_at = None  # monotonic seconds
        super().__init__()

    def serve(self, connection):
        receive_exactly(connection, 8)
        if len(self.connections) == 1:
            connection.sendall(frame(KNOWN_INDEX, KEEPALIVE))
            time.sleep(self.up_seconds)
            reset_connection(connection)
            return
        self.asked_again_at = time.monotonic()
        connection.sendall(b"".join(self.events))
        while True:
            connection.sendall(frame(KNOWN_INDEX + len(self.events), KEEPALIVE))
            time.sleep(KEEPALIVE_INTERVAL)


def test_drain_at_the_end_of_a_long_backlog_is_kept_after_a_reconnection(start_site):
    """Events count as told once the director asks again, though it routes requests between its reads."""
    site = start_site(
        lambda site: RestartingCoordinator(frames([*purges(3000), changes(site, DRAINING)]), up_seconds=1.0)
    )
    received_at = []
    for upstream in site.changed:

        def handle(command, answer=upstream.answer_command):
            received_at.append(time.monotonic())
            return answer(command)

        upstream.handle_command = handle
    site.send_requests(seconds=2.5)
    assert received_at
    assert max(received_at) < site.coordinator.asked_again_at + PURGE_GRACE


def test_source_whose_drain_discovery_held_before_the_start_fills_nothing(tmp_path):
    """The rule on drains covers the sources of fills, which are named in commands to other servers."""
    caches, parents, origin = [FakeUpstream()], [FakeUpstream(), FakeUpstream()], FakeUpstream()
    ids = [f"s-000000b{number}" for number in range(2)]
    endpoints = [endpoint_config("s-000000a0", caches[0].address)]
    endpoints += [
        endpoint_config(name, parent.address, kind="parent")
        for name, parent in zip(ids, parents, strict=True)
    ]
    endpoints.append(endpoint_config("s-000000c0", origin.address, kind="origin"))
    record = bytearray(endpoint_record(ids[1], parents[1].address, DRAINING))
    record[11], record[12] = 1, 1  # zone and kind, of a parent
    coordinator = BacklogCoordinator(frames([(LIST_CHANGES, bytes(record))]), delay=0.3)
    listen = f"127.0.0.1:{free_port()}"
    director = StartingDirector(tmp_path, configuration(endpoints, listen, coordinator=coordinator.address))
    try:
        client = director.connect()
        for entity in range(1, 60):
            client.read_answer(client.send_request(entity=f"{entity:016x}"))
        named = {fields.get("parent") for _, _, fields, _ in list(caches[0].commands.queue)}
    finally:
        director.stop()
    assert ids[0] in named
    assert ids[1] not in named
