"""What a real director needs as the number of cache nodes grows, beside the operators' limits.

    python -m benchmarks.fleet_size [--nodes 200 --nodes 3200] [--seconds 12] [--quick] [--json]

The same traffic, limits and summed capacity before each fleet: ten clients ask 150 times a second in all, and
discovery tells a change of one node ten times a second. Each node is a listener of its own in one process of
stand-ins. The first fleet named is the usual one. The last line with --json is one JSON object: for each
other fleet and limit `measured`, `allowed` and `held`; `all_held` over all. Code 1 where a limit does not
hold.
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

from ironhinge.lab.soak import wire
from ironhinge.lab.soak.directors import die_with_parent

CLIENTS, RATE, OBJECTS = 10, 150.0, 2000  # clients, requests a second of all, and objects asked for
CHANGES = 10.0  # of one node each, a second
CAPACITY = 2000.0  # weight of all nodes together
SERVING = 0.005  # seconds
USUAL = 200, 3200  # nodes
PATIENCE = 2.0  # seconds
SOCKETS, MEMORY_MB = 1024, 192
UP = 20.0  # seconds that a director may take to come up
ROOT = Path(__file__).parent.parent


@dataclass
class Need:
    """What one director needed."""

    nodes: int
    requests: int = 0
    served: int = 0
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_bytes: int = 0

    def share(self) -> float:
        """Of the requests, served."""
        return self.served / max(1, self.requests)


def allowed(usual: Need, nodes: int) -> dict[str, float]:
    """The operators' limits for a fleet of that size."""
    thousands = nodes / 1000
    return {
        "cpu_s": 1.4 * usual.cpu_s + 0.02 + 0.12 * thousands,
        "memory_mb": 1.5 * usual.memory_mb + 8 + 4 * thousands,
        "descriptors": 2 * usual.descriptors + 40,
        "connections": 2.5 * usual.connections + 40,
        "list_bytes": 2 * usual.list_bytes + 64_000 + 500_000 * thousands,
        "share": 0.85 * usual.share(),
    }


class Fleet:
    """Nodes that hold everything, an origin, and discovery."""

    def __init__(self, need: Need):
        self.need = need
        self.ports: list[int] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task] = []
        self.events: list[bytes] = []
        self.writers: dict[asyncio.StreamWriter, int] = {}
        self.discovery_port = 0

    async def start(self) -> None:
        """Listens, a port for each node and the origin, and one for discovery."""
        for _ in range(self.need.nodes + 1):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])
        server = await asyncio.start_server(self._discover, "127.0.0.1", 0)
        self.servers.append(server)
        self.discovery_port = server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Ends all."""
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.need.connections += 1
        commands = wire.Commands()
        try:
            while data := await reader.read(65536):
                for command in commands.feed(data, 0.0):
                    if command.items[0] == b"want":
                        task = asyncio.ensure_future(self._answer(writer, command.items[1]))
                        self.tasks.append(task)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, name: bytes) -> None:
        await asyncio.sleep(SERVING)
        text = b"res=h,digest=4b,dated=%d,gauges=busy:0.2;rif:1" % int(time.time() * 1000)
        writer.write(wire.resp(name, b"ACK", text, b"x" * 500))

    def row(self, place: int, state: int) -> tuple[str, int, int, int, int, int, int]:
        """A node's record."""
        return f"s-{place + 1:08x}", self.ports[place], state, 0, 0, 0, 0

    def tell(self, state: int, place: int) -> None:
        """A change of one node."""
        self.events.append(wire.listing(len(self.events) + 2, [self.row(place, state)]))
        for writer in list(self.writers):
            self._write(writer)

    def _write(self, writer: asyncio.StreamWriter) -> None:
        for data in self.events[self.writers[writer] - 1 :]:
            writer.write(data)
            self.need.list_bytes += len(data)
        self.writers[writer] = len(self.events) + 1

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.writers[writer] = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                self._write(writer)
                writer.write(wire.event(self.writers[writer], 0, b""))
                await asyncio.sleep(1.0)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def change(self) -> None:
        """One node after another drains and is back."""
        draw = Random(1)
        while True:
            place = draw.randrange(self.need.nodes)
            self.tell(1, place)
            await asyncio.sleep(1 / CHANGES)
            self.tell(0, place)
            await asyncio.sleep(1 / CHANGES)


def configuration(fleet: Fleet, port: int) -> dict[str, Any]:
    """All that the director is told."""
    nodes = fleet.need.nodes
    rows = [
        {
            "name": f"s-{place + 1:08x}",
            "address": f"127.0.0.1:{fleet.ports[place]}",
            "zone": "edge",
            "type": "std" if place < nodes else "origin",
            "group": 0,
            "status": "SERVING",
            "weight": CAPACITY / nodes,
            "since_ms": 0,
        }
        for place in range(nodes + 1)
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"index": 1, "snapshot": True, "endpoints": rows}}],
        },
        "coordinator": f"127.0.0.1:{fleet.discovery_port}",
        "settings": {
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
        },
    }


async def ask(need: Need, port: int, number: int, until: float, even: bool) -> None:
    """One client, at its share of the rate."""
    draw, stream, frames = Random(number), 0, wire.Frames()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while time.monotonic() < until:
        stream += 1
        obj = (
            draw.randrange(OBJECTS) if even else int(OBJECTS ** draw.random())
        )  # a log-uniform draw is Zipf's
        fields = {"route": "read", "trace": f"{draw.getrandbits(64):016x}", "size": "40"}
        fields |= {"patience": str(int(PATIENCE * 1000)), "entity": f"{obj:016x}"}
        writer.write(wire.request(stream, fields))
        need.requests += 1
        answers: list[tuple[int, int, bytes]] = []
        while not answers:
            answers = [each for each in frames.feed(await reader.read(65536)) if each[0] == wire.ANSWER]
        need.served += wire.read_answer(answers[0][2])[0] == 1
        await asyncio.sleep(draw.expovariate(RATE / CLIENTS))
    writer.close()


def cpu_seconds(pid: int) -> float:
    """What a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def watch(need: Need, pid: int) -> None:
    """Descriptors and memory, at most."""
    while True:
        need.descriptors = max(need.descriptors, len(os.listdir(f"/proc/{pid}/fd")))
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                need.memory_mb = int(line.split()[1]) / 1024
        await asyncio.sleep(0.2)


async def play(nodes: int, seconds: float, even: bool) -> Need:
    """One director before so many nodes."""
    need = Need(nodes)
    fleet = Fleet(need)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(configuration(fleet, port)))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ironhinge", "serve", "--config", str(config)),
            stderr=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
            preexec_fn=die_with_parent,
        )
        try:
            await _until_up(port)
            watching = asyncio.ensure_future(watch(need, process.pid))
            fleet.tasks += [watching, asyncio.ensure_future(fleet.change())]
            before, until = cpu_seconds(process.pid), time.monotonic() + seconds
            await asyncio.gather(*(ask(need, port, number, until, even) for number in range(CLIENTS)))
            need.cpu_s = cpu_seconds(process.pid) - before
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
            fleet.stop()
    return need


async def _until_up(port: int) -> None:
    until = time.monotonic() + UP
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise RuntimeError("the director does not come up")


def judge(needs: list[Need]) -> dict[str, Any]:
    """Each other fleet beside the limits that the first one sets."""
    usual, all_held, fleets = needs[0], True, []
    for need in needs[1:]:
        limits = {}
        for name, most in allowed(usual, need.nodes).items():
            measured = need.share() if name == "share" else getattr(need, name)
            held = measured >= most if name == "share" else measured <= most
            limits[name] = {"measured": round(measured, 3), "allowed": round(most, 3), "held": held}
            all_held = all_held and held
        fleets.append({"nodes": need.nodes, "limits": limits})
    return {"needs": [asdict(need) for need in needs], "fleets": fleets, "all_held": all_held}


@click.command()
@click.option(
    "--nodes", type=click.IntRange(1, 20_000), multiple=True, default=(200, 3200), show_default=True
)
@click.option("--seconds", type=click.FloatRange(1.0), default=12.0, show_default=True, help="Of each fleet.")
@click.option("--even", is_flag=True, help="All objects are asked for alike.")
@click.option("--quick", is_flag=True, help="Five seconds of each fleet.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
def main(nodes: tuple[int, ...], seconds: float, even: bool, quick: bool, as_json: bool) -> None:
    """Measure a director before fleets of NODES nodes."""
    needs = []
    for count in nodes:
        need = asyncio.run(play(count, 5.0 if quick else seconds, even))
        needs.append(need)
        per = 1000 * need.cpu_s / max(1, need.requests)
        click.echo(
            f"{count} nodes: {need.requests} requests, {need.share():.3f} served, {need.cpu_s:.2f} s of CPU"
            f" ({per:.2f} ms a request), {need.memory_mb:.1f} MB, {need.descriptors} descriptors,"
            f" {need.connections} connections, {need.list_bytes} bytes of lists",
            err=True,
        )
    found = judge(needs)
    if as_json:
        click.echo(json.dumps(found))
    else:
        for fleet in found["fleets"]:
            for name, limit in fleet["limits"].items():
                held = "held" if limit["held"] else "NOT held"
                click.echo(
                    f"{fleet['nodes']} nodes, {name}: {limit['measured']} of {limit['allowed']}: {held}"
                )
    sys.exit(0 if found["all_held"] else 1)


if __name__ == "__main__":
    main()
