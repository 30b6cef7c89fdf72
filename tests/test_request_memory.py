"""Large requests of many clients at once: the director refuses what does not fit into its memory."""

import threading
import time
from pathlib import Path

import anyio

from ironhinge import interface
from ironhinge.net import client_wire
from ironhinge.net.memory_budget import MemoryBudget

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
