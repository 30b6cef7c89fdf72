"""The director as a process, while system calls fail or the wall clock steps: no request may be lost."""

import json
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

import ironhinge

from .helpers import (
    TIMEOUT_SECONDS,
    DirectorProcess,
    FakeClient,
    FakeCoordinator,
    FakeUpstream,
    configuration,
    endpoint_config,
    endpoint_record,
    free_port,
    settings,
)

INJECTION = str(Path(ironhinge.__file__).parent / "lab" / "injection")
ANSWER_CODES = 1, 2, 3  # served, rejected, failed
SERVED = 1
CLIENTS, REQUESTS = 6, 50
# seconds for a round trip to a client; an idle connection once stayed open for less after GOAWAY
SLOW_ROUND_TRIP = 0.09


@pytest.fixture
def start_director(tmp_path, monkeypatch):
    """Returns a function that starts a director with a fault script, an upstream and a coordinator."""
    started = []

    def start(script, sockets=1024, custom_settings=None, **other):
        monkeypatch.setenv("PYTHONPATH", INJECTION)
        monkeypatch.setenv("IRONHINGE_FAULTS", json.dumps({"seed": 3, **script}))
        upstream, coordinator = FakeUpstream(has_all_objects=True), FakeCoordinator()
        config = configuration(
            [endpoint_config("s-00000001", upstream.address)],
            f"127.0.0.1:{free_port()}",
            coordinator=coordinator.address,
            settings=custom_settings or settings(),
            limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            **other,
        )
        director = DirectorProcess(tmp_path, config)
        started.append(director)
        return director, upstream, coordinator

    yield start
    for director in started:
        director.stop()


def failed_calls(path):
    """Returns the lines that the fault script logged, one for each injected error."""
    return Path(path).read_text().splitlines() if Path(path).exists() else []


def send_requests(port, count, lost):
    """Sends requests one after another; a connection that ends before the answer loses the request."""
    client = FakeClient(port)
    for _ in range(count):
        try:
            assert client.read_answer(client.send_request(patience=3000))[0] in ANSWER_CODES
        except (EOFError, OSError) as error:
            lost.append(repr(error))
            client = FakeClient(port)


def send_requests_concurrently(port, clients=CLIENTS, count=REQUESTS):
    """Sends requests from several clients concurrently; returns the errors of the lost requests."""
    lost = []
    threads = [threading.Thread(target=send_requests, args=(port, count, lost)) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TIMEOUT_SECONDS)
    assert not any(thread.is_alive() for thread in threads)
    return lost


@pytest.mark.parametrize(
    ("call", "name"),
    [
        ("send", "ENOBUFS"),
        ("send", "ENOMEM"),
        ("send", "EINTR"),
        ("recv_into", "ENOBUFS"),
        ("recv_into", "ENOMEM"),
        ("recv_into", "EINTR"),
        ("setsockopt", "ENOBUFS"),
        ("accept", "ENOBUFS"),
        ("accept", "ENFILE"),
        ("accept", "ECONNABORTED"),
        ("accept", "EPROTO"),
    ],
)
def test_a_system_call_that_fails_sometimes_loses_no_request(start_director, tmp_path, call, name):
    """Guards an incident: a failed send of an answer closed the client's connection, with no log line."""
    log = str(tmp_path / "failed")
    share = 0.5 if call in ("accept", "setsockopt") else 0.05
    rule = {"call": call, "errno": name, "share": share, "side": "any" if call == "accept" else "accepted"}
    director, _, _ = start_director({"calls": [rule], "log": log})
    assert send_requests_concurrently(director.port) == []
    assert failed_calls(log)  # errors were injected


@pytest.mark.parametrize(
    ("call", "name"),
    [
        ("connect", "EADDRNOTAVAIL"),
        ("connect", "ENETUNREACH"),
        ("connect", "ENOBUFS"),
        ("connect", "EAGAIN"),
        ("connect", "EINTR"),
        ("socket", "ENOBUFS"),
        ("getsockopt", "ENOMEM"),
        ("send", "ENOBUFS"),
        ("recv_into", "ENOMEM"),
    ],
)
def test_local_errors_on_upstream_connections_fail_no_request_and_no_upstream(
    start_director, tmp_path, call, name
):
    """Errors with a local cause: this machine is briefly short of ports, routes or buffers.

    The upstream must still be asked, and must not count as refusing connections or as unreachable.
    """
    log = str(tmp_path / "failed")
    rule = {"call": call, "errno": name, "share": 0.5, "side": "made"}
    director, _upstream, _ = start_director({"calls": [rule], "log": log})
    client = FakeClient(director.port)
    for i in range(60):
        assert client.read_answer(client.send_request(entity=f"{i:016x}", patience=3000))[0] == SERVED
    assert failed_calls(log)
    logged = director.log_text()
    assert "REFUSED" not in logged
    assert "NEVER_UP" not in logged


@pytest.mark.parametrize("call", ["send", "recv_into"])
def test_a_call_that_fails_for_a_while_delays_answers_and_loses_none(start_director, tmp_path, call):
    """Every call fails for 0.4 s: no connection is closed, and calls are not retried in a busy loop."""
    flag = tmp_path / "failing"
    rule = {"call": call, "errno": "ENOBUFS", "side": "accepted", "while": str(flag)}
    log = str(tmp_path / "failed")
    director, _, _ = start_director({"calls": [rule], "log": log})
    clients = [FakeClient(director.port) for _ in range(10)]
    assert all(client.is_ready() for client in clients)
    flag.touch()
    streams = [client.send_request(patience=3000) for client in clients]
    time.sleep(0.4)
    flag.unlink()
    assert [client.read_answer(stream)[0] for client, stream in zip(clients, streams, strict=True)] == [
        SERVED
    ] * 10
    assert len(failed_calls(log)) < 10 * 100  # of 10 connections in 0.4 s: a busy loop would fail more often


def test_connections_that_arrive_while_accept_fails_after_sigterm_are_answered(start_director, tmp_path):
    """Established connections wait in the backlog; a failed accept does not mean that it is empty."""
    flag = tmp_path / "failing"
    director, _, _ = start_director({"calls": [{"call": "accept", "errno": "ENOBUFS", "while": str(flag)}]})
    flag.touch()
    lost, clients = [], []
    director.process.send_signal(signal.SIGTERM)
    for _ in range(50):
        client = FakeClient(director.port)
        clients.append((client, client.send_request(patience=1500)))
        time.sleep(0.01)
    time.sleep(0.4)  # the admission period is over, and no connection could be accepted in it
    flag.unlink()
    for client, stream in clients:
        try:
            assert client.read_answer(stream)[0] in ANSWER_CODES
        except (EOFError, OSError) as error:
            lost.append(repr(error))
    assert lost == []


def test_a_request_in_two_pieces_is_answered_while_idle_connections_fill_the_descriptors(start_director):
    """A connection with a partly received request is not idle, however late the rest arrives."""
    director, _, _ = start_director({}, sockets=96)
    clients = []
    for cut in (2, 30, 60, 100):
        client = FakeClient(director.port)
        assert client.is_ready()
        data = client.encode_request()
        client.sock.sendall(data[:cut])
        clients.append((client, client.stream, data[cut:]))
    idle_connections = []
    for _ in range(120):
        idle_connections.append(
            socket.create_connection(("127.0.0.1", director.port), timeout=TIMEOUT_SECONDS)
        )
        time.sleep(0.005)
    for client, stream, rest in clients:
        client.sock.sendall(rest)
        assert client.read_answer(stream)[0] in ANSWER_CODES


def test_a_request_that_crosses_goaway_on_a_slow_path_is_answered(start_director):
    """On a slow path the client receives GOAWAY late, and what it wrote before that arrives late as well."""
    director, _, _ = start_director({})
    client = FakeClient(director.port)
    assert client.is_ready()
    client.sock.settimeout(TIMEOUT_SECONDS)
    first_byte = client.sock.recv(1, socket.MSG_PEEK)  # GOAWAY, or empty if the connection was closed at once
    time.sleep(SLOW_ROUND_TRIP)
    stream = client.send_request()
    assert first_byte
    assert client.read_answer(stream)[0] in ANSWER_CODES


def purge_record(object_id):
    return object_id.to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big")


@pytest.mark.parametrize("step", [7.0, 3600.0, -7.0, -3600.0])
def test_a_purge_is_enforced_when_the_wall_clock_steps(start_director, step):
    """A copy from before the purge must not be served, whatever time the wall clock shows."""
    director, upstream, coordinator = start_director({"steps": [[2.0, step]]})
    started_at = time.monotonic()
    coordinator.subscriptions.get(timeout=TIMEOUT_SECONDS)
    time.sleep(max(0.0, 2.2 - (time.monotonic() - started_at)))  # the clock has stepped
    coordinator.publish(2, 3, purge_record(0x7F3A9C21E0B4D655))
    time.sleep(0.4)
    client = FakeClient(director.port)
    for _ in range(5):
        assert client.read_answer(client.send_request())[0] in ANSWER_CODES
        accept = int(upstream.next_command()[2].get("accept", 0))
        assert 0 < accept <= 2000


def test_a_cold_upstream_gets_slow_start_when_the_wall_clock_steps(start_director):
    """An upstream that has just started must not count as started an hour ago because of the step."""
    director, upstream, coordinator = start_director({"steps": [[1.0, 3600.0]]})
    started_at = time.monotonic()
    client = FakeClient(director.port)
    coordinator.subscriptions.get(timeout=TIMEOUT_SECONDS)
    cold = FakeUpstream(has_all_objects=True)
    time.sleep(max(0.0, 1.2 - (time.monotonic() - started_at)))
    record = bytearray(endpoint_record("s-00000002", cold.address, 0))
    record[-8:] = int(time.time() * 1000).to_bytes(8, "big")
    coordinator.publish(2, 2, bytes(record))
    time.sleep(0.2)
    streams = []
    for i in range(200):
        streams.append(client.send_request(entity=f"{i:016x}", size="400", patience=3000))
        if len(streams) == 20:
            assert all(client.read_answer(stream)[0] in ANSWER_CODES for stream in streams)
            streams = []
    # 20 transfers at full capacity, a fifth of that when cold, three times that is allowed:
    # 12 transfers of 80 ms each in its first second
    assert len(cold.request_ids) <= 40
    assert len(upstream.request_ids) >= 100
