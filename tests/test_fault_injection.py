"""The program as a process whose system calls fail and whose wall clock steps: no request may be lost."""

import json
import signal
import socket
import threading
import time
from pathlib import Path

import pytest

import ironhinge

from .helpers import (
    PATIENCE,
    FakeClient,
    FakeCoordinator,
    FakeNode,
    Program,
    configuration,
    endpoint,
    free_port,
    settings,
)

INJECTION = str(Path(ironhinge.__file__).parent / "lab" / "injection")
ANSWERS = 1, 2, 3  # served, refused, failed
CLIENTS, REQUESTS = 6, 50
SLOW_PATH = 0.09  # seconds that bytes take to a client and back: more than a resting connection had


@pytest.fixture
def faulty(tmp_path, monkeypatch):
    """Starts a director with a fault script before one node that holds everything, and a coordinator."""
    started = []

    def start(script, sockets=1024, told=None, **other):
        monkeypatch.setenv("PYTHONPATH", INJECTION)
        monkeypatch.setenv("IRONHINGE_FAULTS", json.dumps({"seed": 3, **script}))
        node, coordinator = FakeNode(holds_all=True), FakeCoordinator()
        config = configuration(
            [endpoint("s-00000001", node.address)],
            f"127.0.0.1:{free_port()}",
            coordinator=coordinator.address,
            settings=told or settings(),
            limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            **other,
        )
        program = Program(tmp_path, config)
        started.append(program)
        return program, node, coordinator

    yield start
    for program in started:
        program.stop()


def failed_calls(path):
    return Path(path).read_text().splitlines() if Path(path).exists() else []


def ask_in_turn(port, count, lost):
    """A client that asks again and again; a connection that ends under a request is a lost request."""
    client = FakeClient(port)
    for _ in range(count):
        try:
            assert client.answer(client.ask(patience=3000))[0] in ANSWERS
        except (EOFError, OSError) as error:
            lost.append(repr(error))
            client = FakeClient(port)


def ask_at_once(port, clients=CLIENTS, count=REQUESTS):
    """What went wrong for clients that ask side by side."""
    lost = []
    threads = [threading.Thread(target=ask_in_turn, args=(port, count, lost)) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE)
    assert not any(thread.is_alive() for thread in threads)
    return lost


@pytest.mark.parametrize(
    "call, name",
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
def test_a_system_call_that_fails_for_a_moment_loses_no_request(faulty, tmp_path, call, name):
    """The incident: a failed send of an answer ended the client's connection, with no line in the log."""
    log = str(tmp_path / "failed")
    share = 0.5 if call in ("accept", "setsockopt") else 0.05
    rule = {"call": call, "errno": name, "share": share, "side": "any" if call == "accept" else "accepted"}
    program, _, _ = faulty({"calls": [rule], "log": log})
    assert ask_at_once(program.port) == []
    assert failed_calls(log)  # the faults were there


def test_a_connection_taken_while_accept_fails_after_sigterm_is_answered(faulty, tmp_path):
    """Connections that the machine accepted wait in the backlog; a failed accept is not its end."""
    flag = tmp_path / "failing"
    program, _, _ = faulty({"calls": [{"call": "accept", "errno": "ENOBUFS", "while": str(flag)}]})
    flag.touch()
    lost, clients = [], []
    program.process.send_signal(signal.SIGTERM)
    for _ in range(50):
        client = FakeClient(program.port)
        clients.append((client, client.ask(patience=1500)))
        time.sleep(0.01)
    time.sleep(0.4)  # the time in which new connections come is over, and not one could be taken
    flag.unlink()
    for client, stream in clients:
        try:
            assert client.answer(stream)[0] in ANSWERS
        except (EOFError, OSError) as error:
            lost.append(repr(error))
    assert lost == []


def test_a_request_in_two_pieces_is_answered_while_idle_connections_fill_the_descriptors(faulty):
    """A connection on which a request has begun is not an idle one, however long its rest takes."""
    program, _, _ = faulty({}, sockets=96)
    clients = []
    for cut in (2, 30, 60, 100):
        client = FakeClient(program.port)
        assert client.is_ready()
        data = client.request()
        client.sock.sendall(data[:cut])
        clients.append((client, client.stream, data[cut:]))
    crowd = []
    for _ in range(120):
        crowd.append(socket.create_connection(("127.0.0.1", program.port), timeout=PATIENCE))
        time.sleep(0.005)
    for client, stream, rest in clients:
        client.sock.sendall(rest)
        assert client.answer(stream)[0] in ANSWERS
