"""Clients that leave with much unread, and ids that come again after their client has left."""

import gc
import socket
import time

import anyio
import pytest

from ironhinge.config import Address
from ironhinge.lab.soak.crowds import request
from ironhinge.lab.soak.wire import FrameType, encode_frame
from ironhinge.net.client_connection import ClientConnection
from ironhinge.net.open_request import OpenRequest
from ironhinge.net.socket_calls import listen
from ironhinge.routing import Router

from .helpers import (
    DirectorProcess,
    FakeClient,
    FakeUpstream,
    configuration,
    endpoint_config,
    free_port,
    reset_connection,
    served_answer,
)
from .test_director import run_director

REQUESTS = 32
ANSWER_DELAY = 0.5  # seconds
MAX_UNROUTED = 0.1  # seconds
CLIENT_TIMEOUT_MS = "3000"


def leave(client, way):
    """Ends the wait for the request on stream 1: by a cancellation, an orderly close or a reset."""
    if way == "cancel":
        client.sock.sendall(encode_frame(FrameType.CANCEL, 1))
    elif way == "close":
        client.sock.close()
    else:
        reset_connection(client.sock)


def write_and_leave(address, data, way):
    """Connects, writes all at once, and ends the connection before any of it is read."""
    with socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
        peer.connect(address)
        peer.sendall(data)
        if way == "close":
            peer.close()
        else:
            reset_connection(peer)


@pytest.mark.parametrize("body_size", [2000, 20_000])
@pytest.mark.parametrize("way", ["close", "reset"])
def test_no_request_is_sent_whose_client_has_left_with_much_unread(way, body_size):
    """The end of a client stands behind all that it wrote; its requests were sent before it was read."""
    upstream = FakeUpstream(has_all_objects=True)
    data = b"".join(request(stream, bytes(body_size)) for stream in range(1, REQUESTS + 1))

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        write_and_leave(listener.getsockname(), data, way)
        await anyio.sleep(0.2)  # longer than a request may be sent after its client has left
        director.manager.adopt(listener.accept()[0], ClientConnection(director))
        await wait_until(lambda: not director.clients and not director.requests)
        await anyio.sleep(0.05)

    run_director(Router, scenario, (upstream, upstream))
    assert not upstream.request_ids


def test_client_that_leaves_before_its_requests_are_routed_leaves_nothing_in_memory(monkeypatch):
    """Bodies of clients that had left were held until a rare garbage collection: 64 MB were exceeded."""
    monkeypatch.setattr("ironhinge.net.connection.MAX_TURN_TIME", 0.0)  # each read is a turn of its own
    data = b"".join(request(stream, bytes(7000)) for stream in range(1, REQUESTS + 1))
    left = []

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        write_and_leave(listener.getsockname(), data, "close")
        await anyio.sleep(0.05)
        director.manager.adopt(listener.accept()[0], ClientConnection(director))
        await wait_until(lambda: director.diagnostics.counters["requests"] > 1 and not director.clients)
        await anyio.sleep(0.05)
        left.extend(each for each in gc.get_objects() if type(each) is OpenRequest)

    gc.collect()
    gc.disable()
    try:
        run_director(Router, scenario)
    finally:
        gc.enable()
    assert not left


@pytest.mark.parametrize("pause", [0, 0.02, 0.2, 1])
@pytest.mark.parametrize("way", ["cancel", "close", "reset"])
def test_id_of_a_request_that_may_have_run_does_not_run_again(tmp_path, way, pause):
    """An id that came again after its client had left was forgotten, and its effect took place twice."""

    def answer_late(command):
        if command[0] == "want":
            time.sleep(ANSWER_DELAY)
            return served_answer(command[1], b"done")
        return None

    cache, origin = FakeUpstream(answer_late), FakeUpstream()
    endpoints = [
        endpoint_config("s-00000001", cache.address),
        endpoint_config("s-00000002", origin.address, kind="origin"),
    ]
    director = DirectorProcess(tmp_path, configuration(endpoints, f"127.0.0.1:{free_port()}"))
    sent = {"request_id": f"{0xABC0:016x}", "request_class": "order", "client_timeout_ms": CLIENT_TIMEOUT_MS}
    try:
        first, again = FakeClient(director.port), FakeClient(director.port)
        first.sock.sendall(request(1, **sent))
        cache.next_command()
        leave(first, way)
        time.sleep(pause)
        again.sock.sendall(request(1, redo="1", **sent))
        code, _, _ = again.read_answer(1)
        log = director.log_text()
    finally:
        director.stop()
    executions = [command for command in cache.commands.queue if command[0] == "want"]
    assert not executions
    assert code == 3  # a failure: a rejection would say that it may be sent again
    assert "Traceback" not in log


def test_admitted_request_does_not_wait_unrouted_for_the_turns_of_other_clients(monkeypatch):
    """Admitted requests waited for their connection's turn among hundreds: answers were late."""
    monkeypatch.setattr("ironhinge.net.connection.MAX_TURN_TIME", 0.0)  # each read is a turn of its own
    upstream = FakeUpstream(has_all_objects=True)

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        pacer = director.manager.pacer
        with socket.socket() as peer:
            peer.connect(listener.getsockname())
            director.manager.adopt(listener.accept()[0], ClientConnection(director))
            (connection,) = director.manager.connections
            admit = director.admit

            def admit_and_overdraw(*arguments):
                connection.credit.overdrawn_in = pacer.interval + 1000
                admit(*arguments)

            director.admit = admit_and_overdraw
            peer.sendall(b"".join(request(stream, bytes(7000)) for stream in range(1, REQUESTS + 1)))
            async with pacer.overdrawn_lock:  # another connection's turn, and those of many after it
                await wait_until(lambda: director.diagnostics.counters["requests"] > 0)
                waits_since = time.monotonic()
                await wait_until(lambda: director.diagnostics.counters["attempts_started"] > 0)
                assert time.monotonic() - waits_since < MAX_UNROUTED

    run_director(Router, scenario, (upstream, upstream))
