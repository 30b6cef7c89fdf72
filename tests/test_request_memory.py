"""Large requests of many clients at once: the director refuses what does not fit into its memory."""

import contextlib
import socket
import threading
import time
from collections import Counter
from pathlib import Path

import anyio

from ironhinge import interface
from ironhinge.config import Address
from ironhinge.net import client_wire
from ironhinge.net.client_connection import MIN_READ_SIZE, ClientConnection
from ironhinge.net.connection import MAX_UNREAD_ANSWERS
from ironhinge.net.memory_budget import MemoryBudget
from ironhinge.net.socket_calls import listen

from .helpers import DirectorProcess, FakeClient, FakeUpstream, configuration, endpoint_config, free_port
from .test_director import TRACE, FakeRouter, request_frame, run_director, send_attempt

MEMORY_MB = 80  # a low limit of the deployments
BODY = bytes(240_000)
CLIENTS, REQUESTS_EACH = 20, 32  # as many open requests on each connection as the protocol allows
PATIENCE_MS = 2000


def resident_mb(process):
    """Returns the resident memory of a process in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(line.split()[1]) / 1024


def answer_codes(client, streams):
    """Returns the result codes of the answers on the streams."""
    return [client.read_answer(stream)[0] for stream in streams]


def test_open_requests_of_many_clients_do_not_take_the_director_over_its_memory_limit(tmp_path):
    """The platform killed the director: nothing bounded the bodies of requests that wait for a server."""
    silent = FakeUpstream(lambda command: None)
    endpoints = [endpoint_config("s-00000001", silent.address)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    config = configuration(endpoints, f"127.0.0.1:{free_port()}", limits=limits)
    director = DirectorProcess(tmp_path, config)
    codes, peaks = [], [0.0]

    def send_large_requests():
        client = FakeClient(director.port)
        streams = [
            client.send_request(BODY, patience=str(PATIENCE_MS), entity=f"{i:016x}")
            for i in range(REQUESTS_EACH)
        ]
        codes.extend(answer_codes(client, streams))

    try:
        threads = [threading.Thread(target=send_large_requests) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            peaks.append(resident_mb(director.process))
            time.sleep(0.01)
    finally:
        director.stop()
    assert len(codes) == CLIENTS * REQUESTS_EACH
    assert client_wire.DENIED in codes
    assert max(peaks) < MEMORY_MB


def test_incomplete_frames_of_many_clients_do_not_take_the_director_over_its_memory_limit(tmp_path):
    """Nothing bounded frames that have not arrived completely: 340 of the largest held nearly 100 MB."""
    upstream = FakeUpstream(has_all_objects=True)
    endpoints = [endpoint_config("s-00000001", upstream.address)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    config = configuration(endpoints, f"127.0.0.1:{free_port()}", limits=limits)
    director = DirectorProcess(tmp_path, config)
    peak_mb, codes = 0.0, Counter()
    try:
        clients = [FakeClient(director.port) for _ in range(340)]
        frames = [client.encode_request(BODY) for client in clients]
        for client, frame in zip(clients, frames, strict=True):
            client.sock.sendall(frame[:-1])
            peak_mb = max(peak_mb, resident_mb(director.process))
        usual_client = FakeClient(director.port)
        assert usual_client.read_answer(usual_client.send_request())[0] == client_wire.DONE
        peak_mb = max(peak_mb, resident_mb(director.process))
        for client, frame in zip(clients, frames, strict=True):
            client.sock.sendall(frame[-1:])
        codes.update(client.read_answer(client.stream)[0] for client in clients)
    finally:
        director.stop()
    assert peak_mb < MEMORY_MB
    assert codes[client_wire.DENIED] > codes[client_wire.DONE] > 0
    assert codes.total() == len(clients)


def test_frame_that_is_not_kept_is_read_to_its_end_and_becomes_a_rejection():
    """Guards what follows it on its connection, whatever the pieces in which it arrives."""
    fields = {"route": "film", "trace": TRACE, "patience": "9000", "entity": "7f3a9c21e0b4d655"}
    request = client_wire.write_fields(fields)
    data = b"".join(
        client_wire.frame(client_wire.REQUEST, 1, request, bytes(50_000))
        + client_wire.frame(client_wire.REQUEST, 2, request, b"body")
        + client_wire.frame(client_wire.CANCEL, 1, bytes(50_000))
        + client_wire.frame(client_wire.REQUEST, 3, request, bytes(9000))
    )
    for piece_size in (1, 3, 1000, 4097, 7919, 30_000):
        budget = MemoryBudget(1, 0.01)  # 10,485 bytes
        wire = client_wire.ClientWire(budget)
        messages = []
        for start in range(0, len(data), piece_size):
            messages += wire.feed(memoryview(data)[start : start + piece_size])
            assert budget.used <= budget.limit
        assert messages == [
            client_wire.DiscardedRequest(1),
            client_wire.RequestFrame(2, fields, b"body"),
            client_wire.RequestCancelled(1),
            client_wire.RequestFrame(3, fields, bytes(9000)),
        ]
        assert (budget.used, wire.has_partial_frame()) == (0, False)
    wire.feed(memoryview(data)[:9000])
    assert budget.used == 9000
    wire.clear()
    assert budget.used == 0


def test_request_whose_body_does_not_fit_is_rejected_with_a_pause_until_others_have_ended():
    """Guards the others: it is told at once to come back, and requests without a body are always let in."""
    second, third = TRACE[::-1], "0" * 16
    fake_router = FakeRouter(
        RequestReceived=[send_attempt(), send_attempt(request_id=second), send_attempt(request_id=third)]
    )

    async def scenario(director, client, wait_until):
        director.request_bodies = MemoryBudget(1, 0.5)
        large = bytes(int(director.request_bodies.limit * 0.6))
        director.admit(client, request_frame(1)._replace(body=large))
        director.admit(client, request_frame(2, trace="f" * 16)._replace(body=large))
        rejection = client_wire.answer(2, client_wire.DENIED, {"pause": "250"})
        assert client.connection.frames == [b"".join(rejection)]
        assert director.diagnostics.counters["requests_rejected_for_memory"] == 1
        director.admit(client, request_frame(3, trace=second))
        director.manager.flush()
        await wait_until(lambda: not director.requests)
        assert director.request_bodies.used == 0
        director.admit(client, request_frame(4, trace=third)._replace(body=large))
        director.manager.flush()
        with anyio.fail_after(5):
            await wait_until(lambda: not director.requests)
        assert len(client.connection.frames) == 4

    run_director(fake_router, scenario)
    assert len(fake_router.events_of(interface.AttemptFinished)) == 3


def test_client_that_reads_no_answer_is_not_read_any_more():
    """Its readiness queries were answered without an end, and each answer that waits takes 1.4 KB."""
    queries = client_wire.frame(client_wire.READINESS_QUERY, 0, b"\0")
    max_waiting = MAX_UNREAD_ANSWERS + MIN_READ_SIZE // len(b"".join(queries))

    async def scenario(director, client, wait_until):
        listener = listen(Address("127.0.0.1", 0))
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect(listener.getsockname())
        accepted = listener.accept()[0]
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        director.manager.adopt(accepted, ClientConnection(director))
        (reader,) = director.clients
        peer.setblocking(False)
        waiting = []
        for _ in range(300):
            with contextlib.suppress(BlockingIOError):
                peer.send(b"".join(queries) * 500)
            await anyio.sleep(0.002)
            waiting.append(len(reader.connection.pending_frames))
        assert MAX_UNREAD_ANSWERS < max(waiting) <= max_waiting

    run_director(FakeRouter(), scenario)
