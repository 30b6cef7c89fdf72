"""Measures the resource usage of a real director as the number of cache nodes grows, against limits.

    python -m benchmarks.fleet_size [--nodes 200 --nodes 3200] [--seconds 12] [--quick] [--json]

Each fleet gets the same traffic, director limits and total capacity: ten clients send up to 150 requests
per second in all, and discovery publishes a change of one node ten times per second. Each node is a listening
socket of its own, all in this process. The first fleet is the baseline: the operators' limits for the other
fleets are computed from its usage. With --json, the last line is a JSON object with `measured`, `allowed` and
`held` per other fleet and limit, and `all_held` for all of them. The exit code is 1 if one does not hold.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

import click

from ironhinge.lab.errors import DirectorStartError
from ironhinge.lab.soak import wire
from ironhinge.lab.soak.directors import die_with_parent
from ironhinge.lab.soak.sockets import READ_BYTES

CLIENTS = 10
REQUEST_RATE = 150.0  # requests per second of all clients together if answers took no time
OBJECTS = 2000  # number of objects that clients request
CHANGE_RATE = 10.0  # changes per second, of one node each
CAPACITY = 2000.0  # sum of the weights of all nodes
PUBLISHED_WEIGHT = 4  # weight in published changes of a node
SERVICE_TIME = 0.005  # seconds until a node answers a command
BODY = b"x" * 500
DEFAULT_FLEETS = 200, 3200  # nodes; the first is the baseline
CLIENT_TIMEOUT = 2.0  # seconds
DESCRIPTOR_LIMIT, MEMORY_LIMIT_MB = 1024, 192
START_TIMEOUT = 20.0  # seconds until the director has to listen
QUICK_SECONDS = 5.0  # per fleet, with --quick
MEASURE_INTERVAL = 0.2  # seconds
HEARTBEAT_INTERVAL = 1.0  # seconds
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12  # index in /proc/PID/stat, counted after the program's name
READY, DRAINING = 0, 1  # states of a node
SERVED = 1  # result code of an answer
ROOT = Path(__file__).parent.parent


@dataclass(slots=True)
class ResourceUsage:
    """Resource usage of one director; the field names are keys of the JSON report."""

    nodes: int
    requests: int = 0
    served: int = 0
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_bytes: int = 0  # of endpoint changes sent to the director

    def served_share(self) -> float:
        """Return the share of the requests that were served."""
        return self.served / max(1, self.requests)


def usage_limits(baseline: ResourceUsage, nodes: int) -> dict[str, float]:
    """Return the operators' limits for a fleet of `nodes` nodes, from the usage with the baseline fleet."""
    thousands = nodes / 1000
    return {
        "cpu_s": 1.4 * baseline.cpu_s + 0.02 + 0.12 * thousands,
        "memory_mb": 1.5 * baseline.memory_mb + 8 + 4 * thousands,
        "descriptors": 2 * baseline.descriptors + 40,
        "connections": 2.5 * baseline.connections + 40,
        "list_bytes": 2 * baseline.list_bytes + 64_000 + 500_000 * thousands,
        "share": 0.85 * baseline.served_share(),
    }


class Fleet:
    """Fake cache nodes that have copies of all objects, a fake origin and a fake discovery service."""

    def __init__(self, usage: ResourceUsage) -> None:
        """Create a fleet that does not listen yet; it counts connections and event bytes in `usage`."""
        self.usage = usage
        self.ports: list[int] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery_port = 0
        self._servers: list[asyncio.Server] = []
        self._events: list[bytes] = []
        self._writers: dict[asyncio.StreamWriter, int] = {}  # number of the last event written

    async def start(self) -> None:
        """Listen at one port per node, one for the origin and one for discovery."""
        for _ in range(self.usage.nodes + 1):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])
        server = await asyncio.start_server(self._serve_discovery, "127.0.0.1", 0)
        self._servers.append(server)
        self.discovery_port = server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and cancel all tasks."""
        for server in self._servers:
            server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.usage.connections += 1
        commands = wire.CommandReader()
        try:
            while data := await reader.read(READ_BYTES):
                for command in commands.feed(data, 0.0):
                    if command.items[0] == b"want":
                        task = asyncio.ensure_future(self._answer(writer, command.items[1]))
                        self.tasks.append(task)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, request_id: bytes) -> None:
        await asyncio.sleep(SERVICE_TIME)
        text = b"res=h,digest=4b,dated=%d,gauges=busy:0.2;rif:1" % int(time.time() * 1000)
        writer.write(wire.encode_array(request_id, b"ACK", text, BODY))

    def _publish(self, state: int, index: int) -> None:
        """Publish a state of one node."""
        endpoint = wire.EndpointRecord(
            f"s-{index + 1:08x}", self.ports[index], state, 0, 0, 0, PUBLISHED_WEIGHT, 0
        )
        self._events.append(wire.encode_endpoints(len(self._events) + 2, [endpoint]))
        for writer in list(self._writers):
            self._write_new_events(writer)

    def _write_new_events(self, writer: asyncio.StreamWriter) -> None:
        for data in self._events[self._writers[writer] - 1 :]:
            writer.write(data)
            self.usage.list_bytes += len(data)
        self._writers[writer] = len(self._events) + 1

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self._writers[writer] = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                self._write_new_events(writer)
                number = self._writers[writer]
                writer.write(wire.encode_event(number, wire.EventType.HEARTBEAT, b""))
                await asyncio.sleep(HEARTBEAT_INTERVAL)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def change_nodes(self) -> None:
        """Publish randomly drawn nodes as draining and then as ready again, until cancelled."""
        rng = Random(1)
        while True:
            index = rng.randrange(self.usage.nodes)
            self._publish(DRAINING, index)
            await asyncio.sleep(1 / CHANGE_RATE)
            self._publish(READY, index)
            await asyncio.sleep(1 / CHANGE_RATE)


def director_config(fleet: Fleet, port: int) -> dict[str, Any]:
    """Return the director's configuration document, with the platform's key names."""
    endpoints = {"index": 1, "snapshot": True, "endpoints": _endpoint_list(fleet)}
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTOR_LIMIT},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": endpoints}]},
        "coordinator": f"127.0.0.1:{fleet.discovery_port}",
        "settings": _platform_settings(),
    }


def _endpoint_list(fleet: Fleet) -> list[dict[str, Any]]:
    nodes = fleet.usage.nodes
    return [
        {
            "name": f"s-{index + 1:08x}",
            "address": f"127.0.0.1:{fleet.ports[index]}",
            "zone": "edge",
            "type": "std" if index < nodes else "origin",
            "group": 0,
            "status": "SERVING",
            "weight": CAPACITY / nodes,
            "since_ms": 0,
        }
        for index in range(nodes + 1)
    ]


def _platform_settings() -> dict[str, Any]:
    return {
        "classes": [{"name": "read", "aim": 400_000, "deadline": 2_000_000, "semantics": "repeatable"}],
        "balancers": 1,
        "extra": {
            "store-kind": 2,
            "second-tier-kind": 1,
            "note-level": "all",
            "class-write": [False],
            "purge-settles": 6_000_000,
            "one-flow-kb-per-s": 5000.0,
        },
        "failure-domains": ["edge"],
        "shapes": ["std", "parent", "origin"],
        "policy-limits": {
            "conn-idle": 15_000_000,
            "dial-timeout": 400_000,
            "max-attempts": 6,
            "may-cancel": True,
            "multiplex": 32,
            "retry-after": True,
        },
        "rules": {"cold-from": 0.2, "cold": 5_000_000, "fall": 1_000_000, "fall-multiple": 3.0},
        "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
        "weight-kind": "nominal",
        "granularity": 2000,
    }


async def run_client(usage: ResourceUsage, port: int, number: int, deadline: float, even: bool) -> None:
    """Send one client's share of the requests until the deadline on the monotonic clock.

    Args:
        usage: Counts the requests and the served ones.
        port: Port of the director.
        number: Seed of the random draws.
        deadline: End time.
        even: Whether all objects are equally popular; otherwise their popularity follows Zipf's law.
    """
    rng, stream, frames = Random(number), 0, wire.FrameReader()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while time.monotonic() < deadline:
        stream += 1
        # a log-uniform draw follows Zipf's law
        object_id = rng.randrange(OBJECTS) if even else int(OBJECTS ** rng.random())
        fields = {"route": "read", "trace": f"{rng.getrandbits(64):016x}", "size": "40"}
        fields |= {"patience": str(int(CLIENT_TIMEOUT * 1000)), "entity": f"{object_id:016x}"}
        writer.write(wire.encode_request(stream, fields))
        usage.requests += 1
        answers: list[wire.Frame] = []
        while not answers:
            received = frames.feed(await reader.read(READ_BYTES))
            answers = [frame for frame in received if frame.kind == wire.FrameType.ANSWER]
        usage.served += wire.decode_answer(answers[0].payload).code == SERVED
        await asyncio.sleep(rng.expovariate(REQUEST_RATE / CLIENTS))
    writer.close()


def cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def _measure_peaks(usage: ResourceUsage, pid: int) -> None:
    usage.descriptors = max(usage.descriptors, len(os.listdir(f"/proc/{pid}/fd")))  # noqa: PTH208 - names suffice
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            usage.memory_mb = int(line.split()[1]) / 1024


async def watch_peaks(usage: ResourceUsage, pid: int) -> None:
    """Record the peak descriptor count and peak memory of a process until cancelled."""
    while True:
        _measure_peaks(usage, pid)
        await asyncio.sleep(MEASURE_INTERVAL)


async def measure_fleet(nodes: int, seconds: float, even: bool) -> ResourceUsage:
    """Measure the usage of one director with a fleet of `nodes` nodes.

    Raises:
        DirectorStartError: The director does not listen within `START_TIMEOUT`.
    """
    usage = ResourceUsage(nodes)
    fleet = Fleet(usage)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        port = await _free_port()
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(director_config(fleet, port)))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ironhinge", "serve", "--config", str(config)),
            stderr=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
            preexec_fn=die_with_parent,
        )
        try:
            await _wait_until_listening(port)
            peak_task = asyncio.ensure_future(watch_peaks(usage, process.pid))
            fleet.tasks += [peak_task, asyncio.ensure_future(fleet.change_nodes())]
            before, deadline = cpu_seconds(process.pid), time.monotonic() + seconds
            clients = (run_client(usage, port, number, deadline, even) for number in range(CLIENTS))
            await asyncio.gather(*clients)
            usage.cpu_s = cpu_seconds(process.pid) - before
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
            fleet.stop()
    return usage


async def _free_port() -> int:
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    return port


async def _wait_until_listening(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
    raise DirectorStartError("the director did not listen in time")


def compare_with_limits(usages: list[ResourceUsage]) -> dict[str, Any]:
    """Compare the usage with each fleet with the limits that follow from the first, the baseline."""
    baseline, all_held, fleets = usages[0], True, []
    for usage in usages[1:]:
        limits = {}
        for name, limit in usage_limits(baseline, usage.nodes).items():
            if name == "share":
                measured = usage.served_share()
                held = measured >= limit
            else:
                measured = getattr(usage, name)
                held = measured <= limit
            limits[name] = {"measured": round(measured, 3), "allowed": round(limit, 3), "held": held}
            all_held = all_held and held
        fleets.append({"nodes": usage.nodes, "limits": limits})
    return {"needs": [asdict(usage) for usage in usages], "fleets": fleets, "all_held": all_held}


def _print_usage(usage: ResourceUsage) -> None:
    cpu_ms = 1000 * usage.cpu_s / max(1, usage.requests)
    click.echo(
        f"{usage.nodes} nodes: {usage.requests} requests, {usage.served_share():.3f} served,"
        f" {usage.cpu_s:.2f} s of CPU ({cpu_ms:.2f} ms per request), {usage.memory_mb:.1f} MB,"
        f" {usage.descriptors} descriptors, {usage.connections} connections,"
        f" {usage.list_bytes} bytes of endpoint changes",
        err=True,
    )


def _print_limits(report: dict[str, Any]) -> None:
    for fleet in report["fleets"]:
        for name, limit in fleet["limits"].items():
            held = "held" if limit["held"] else "NOT held"
            click.echo(f"{fleet['nodes']} nodes, {name}: {limit['measured']} of {limit['allowed']}: {held}")


@click.command()
@click.option(
    "--nodes", type=click.IntRange(1, 20_000), multiple=True, default=DEFAULT_FLEETS, show_default=True
)
@click.option(
    "--seconds", type=click.FloatRange(1.0), default=12.0, show_default=True, help="Duration per fleet."
)
@click.option("--even", is_flag=True, help="Request all objects equally often.")
@click.option("--quick", is_flag=True, help="Measure five seconds per fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object as the last line.")
def main(nodes: tuple[int, ...], seconds: float, even: bool, quick: bool, as_json: bool) -> None:
    """Measure a director with fleets of NODES nodes each; the first is the baseline."""
    usages = []
    for count in nodes:
        usage = asyncio.run(measure_fleet(count, QUICK_SECONDS if quick else seconds, even))
        usages.append(usage)
        _print_usage(usage)
    report = compare_with_limits(usages)
    if as_json:
        click.echo(json.dumps(report))
    else:
        _print_limits(report)
    sys.exit(0 if report["all_held"] else 1)


if __name__ == "__main__":
    main()
