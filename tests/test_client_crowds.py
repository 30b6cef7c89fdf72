"""Crowds of clients and floods on one connection: memory stays under its limit, and others are answered."""

import signal
import subprocess
import threading
import time
from pathlib import Path

import pytest

from ironhinge.lab.soak import crowds
from ironhinge.lab.soak.crowds import AbuseKind, output_of, request
from ironhinge.lab.soak.wire import FrameType, encode_frame
from ironhinge.net import client_wire

from .helpers import DirectorProcess, FakeClient, FakeUpstream, configuration, endpoint_config, free_port

CROWD_SECONDS = 2.0  # longer than a client may stall within a frame: the closed ones come again
FLOOD_SECONDS = 3.0
USUAL_CLIENTS, THINK_TIME = 8, 0.05  # seconds between an answer and the next request
MAX_SLOWEST_HUNDREDTH = 0.1  # seconds that the slowest hundredth of the other clients' requests may take
QUOTA_PERIOD = 0.1  # seconds
ENDLESS = 10**9  # writes on one connection


def start_director(folder, upstream, memory_mb=192, cores=1.0):
    limits = {"cores": cores, "memory_mb": memory_mb, "sockets": 1024}
    endpoints = [endpoint_config("s-00000001", upstream.address)]
    return DirectorProcess(folder, configuration(endpoints, f"127.0.0.1:{free_port()}", limits=limits))


def peak_memory_mb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


class UsualClient(threading.Thread):
    """A client that sends one request after another, and records their answers and how long they took."""

    def __init__(self, port, seconds):
        super().__init__(daemon=True)
        self.client, self.until = FakeClient(port), time.monotonic() + seconds
        self.codes, self.durations, self.unanswered = [], [], 0
        self.start()

    def run(self):
        try:
            while time.monotonic() < self.until:
                began_at = time.monotonic()
                self.unanswered += 1
                self.codes.append(self.client.read_answer(self.client.send_request())[0])
                self.unanswered -= 1
                self.durations.append(time.monotonic() - began_at)
                time.sleep(THINK_TIME)
        except (OSError, EOFError):
            return  # `unanswered` tells it


class CpuQuota(threading.Thread):
    """Stops a process for the rest of each period in which it has used its share of a core."""

    def __init__(self, process, share):
        super().__init__(daemon=True)
        self.process, self.share, self.is_over = process, share, False
        self.start()

    def cpu_seconds(self):
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def run(self):
        while not self.is_over:
            used, period_end = self.cpu_seconds(), time.monotonic() + QUOTA_PERIOD
            while time.monotonic() < period_end and self.cpu_seconds() < used + self.share * QUOTA_PERIOD:
                time.sleep(0.002)
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(max(0.0, period_end - time.monotonic()))
            self.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(("memory_mb", "size"), [(64, 900), (32, 340)])
@pytest.mark.parametrize("kind", [kind for kind in AbuseKind if kind is not AbuseKind.FLOOD])
def test_crowd_of_bad_clients_does_not_take_the_director_over_its_memory_limit(
    tmp_path, kind, memory_mb, size
):
    """The platform killed directors under hundreds of connections that stalled or wrote slowly."""
    upstream = (
        FakeUpstream(lambda command: None) if kind is AbuseKind.OPEN else FakeUpstream(has_all_objects=True)
    )
    director = start_director(tmp_path, upstream, memory_mb)
    try:
        usual = UsualClient(director.port, CROWD_SECONDS + 0.5)
        subprocess.run(crowds.command(kind, director.port, size, CROWD_SECONDS, "film"), check=True)
        usual.join()
        peak_mb = peak_memory_mb(director.process)
        assert director.process.poll() is None
    finally:
        director.stop()
    assert peak_mb < memory_mb
    assert usual.codes
    assert not usual.unanswered


FLOODS = {
    "cancelled": lambda: output_of(AbuseKind.FLOOD),
    "unknown_class": lambda: b"".join(request(stream, request_class="none") for stream in range(1, 2000)),
    "new_names": lambda: b"".join(
        request(stream, request_class=f"c{stream}", **{f"f{stream}": "1"}) for stream in range(1, 2000)
    ),
    "readiness": lambda: encode_frame(FrameType.READINESS_QUERY, 0, b"\0") * 20_000,
}


class Flood(threading.Thread):
    """One client that writes at full speed and reads all answers; a connection that ends is opened again."""

    def __init__(self, port, output, seconds, writes_per_connection):
        super().__init__(daemon=True)
        self.port, self.output, self.until = port, output, time.monotonic() + seconds
        self.writes_per_connection = writes_per_connection
        self.start()

    def run(self):
        while time.monotonic() < self.until:
            client = FakeClient(self.port)
            reader = threading.Thread(target=self.drop_answers, args=(client.sock,), daemon=True)
            reader.start()
            try:
                for _ in range(self.writes_per_connection):
                    client.sock.settimeout(max(0.01, self.until - time.monotonic()))
                    client.sock.sendall(self.output)
            except OSError:
                pass
            client.sock.close()

    @staticmethod
    def drop_answers(sock):
        try:
            while sock.recv(65536):
                pass
        except OSError:
            return


def check_others_do_not_wait(tmp_path, flood, cores, writes_per_connection):
    director = start_director(tmp_path, FakeUpstream(has_all_objects=True), cores=cores)
    quota = CpuQuota(director.process, cores) if cores < 1 else None
    try:
        usual = [UsualClient(director.port, FLOOD_SECONDS) for _ in range(USUAL_CLIENTS)]
        Flood(director.port, FLOODS[flood](), FLOOD_SECONDS, writes_per_connection).join()
        for each in usual:
            each.join()
    finally:
        if quota is not None:
            quota.is_over = True
            quota.join()
        director.stop()
    durations = sorted(duration for each in usual for duration in each.durations)
    assert not sum(each.unanswered for each in usual)
    assert {code for each in usual for code in each.codes} == {client_wire.DONE}
    assert durations[int(0.99 * len(durations))] <= MAX_SLOWEST_HUNDREDTH


@pytest.mark.parametrize("cores", [1.0, 0.3])
@pytest.mark.parametrize("flood", list(FLOODS))
def test_flood_on_one_connection_does_not_make_other_clients_wait(tmp_path, flood, cores):
    """One client at full speed kept the loop busy for turns of 0.1 s and more: others were answered late."""
    check_others_do_not_wait(tmp_path, flood, cores, ENDLESS)


@pytest.mark.parametrize("cores", [1.0, 0.3])
def test_flood_on_ever_new_connections_does_not_make_other_clients_wait(tmp_path, cores):
    """The same from a client that opens a connection, writes 300 kB at once, closes it and comes again."""
    check_others_do_not_wait(tmp_path, "cancelled", cores, 1)
