"""Owns one run: stand-ins up, directors up, load and faults played, all of it down again, figures out.

Whatever ends a run, no process and no folder of it stays.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .nodes import LabNode, World
from .people import Coordinator, People
from .scenes import BYTES, CARD, FILM, Ask, Fault, Scene, asks

ZONES = ["hub-a", "hub-b", "branch"]
KINDS = ["std", "parent", "origin"]
HERE = 2
UP = 15.0  # seconds that a director may take to come up
Progress = Callable[[str], None]


def settings(scene: Scene, directors: int, peers: bool = False) -> dict[str, Any]:
    """The platform's settings, as a director is told them."""
    vhosts = [
        {"name": CARD, "aim": 400_000, "deadline": 3_000_000, "semantics": "repeatable"},
        {"name": FILM, "aim": 400_000, "deadline": 3_000_000, "semantics": "repeatable"},
    ]
    return {
        "classes": vhosts,
        "balancers": directors,
        "zone": HERE,
        "extra": {
            "store-kind": 2,
            "second-tier-kind": 1,
            "note-level": "all",
            "class-write": [False, False],
            "segmented": [False, True],
            "purge-settles": 6_000_000,
            "obey-after": 300_000,
            "one-flow-kb-per-s": scene.pace / BYTES,
            "attached-to": [0, 1, 0],
            "crew-by-zone": [0, 0, directors],
            "parent-cold-from": 0.2,
            "parent-warms-in": 2_000_000,
            "parent-limit-factor": 3.0,
            "joins": True,
        },
        "failure-domains": ZONES,
        "shapes": KINDS,
        "policy-limits": {
            "conn-idle": 15_000_000,
            "dial-timeout": 400_000,
            "max-attempts": 6,
            "max-retry-after": 1_000_000,
            "may-cancel": True,
            "multiplex": 32,
            "retry-after": True,
            "peers": peers,
        },
        "rules": {"cold-from": 0.2, "cold": 2_000_000, "fall": 1_000_000, "fall-multiple": 3.0},
        "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
        "weight-kind": "nominal",
        "granularity": 2000,
    }


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class DirectorProcess:
    """A director as a program of its own."""

    def __init__(self, folder: Path, name: str, told: dict[str, Any], operations: Path | None):
        self.folder, self.name, self.told, self.operations = folder, name, told, operations
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.lives = 0
        self.cpu = 0.0
        self.memory_kb = 0

    async def start(self) -> None:
        """Comes up on a free port; one that another took meanwhile is changed for the next."""
        for _ in range(5):
            self.port = self.port or free_port()
            config = self.folder / f"{self.name}.json"
            config.write_text(json.dumps({**self.told, "listen": f"127.0.0.1:{self.port}"}))
            args = [sys.executable, "-m", "ironhinge", "serve", "--config", str(config)]
            if self.operations is not None:
                args += ["--operations", str(self.operations)]
            with open(self.folder / f"{self.name}.log", "a") as log:
                env = {**os.environ, "PROXY_NAME": "", "PROXY_LISTEN": ""}
                env.pop("PROXY_NAME"), env.pop("PROXY_LISTEN")
                self.process = await asyncio.create_subprocess_exec(
                    *args, stderr=log, stdin=asyncio.subprocess.DEVNULL, env=env, start_new_session=True
                )
            if await self._is_up():
                return
            self.port = 0
        raise RuntimeError(f"{self.name} does not come up: {self.log()[-600:]}")

    async def _is_up(self) -> bool:
        until = time.monotonic() + UP
        while time.monotonic() < until and self.process is not None and self.process.returncode is None:
            # its own word for it: whoever answers on that port may be another run's
            if self.log().count(f"listen=127.0.0.1:{self.port}") > self.lives:
                self.lives += 1
                return True
            await asyncio.sleep(0.03)
        return False

    def log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()

    def measure(self) -> None:
        """CPU seconds and the most memory so far, from the system."""
        if self.process is None or self.process.returncode is not None:
            return
        try:
            stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            self.cpu = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.memory_kb = int(line.split()[1])
        except (OSError, ValueError, IndexError):
            pass  # it has just gone, or the system tells nothing

    async def stop(self, by: signal.Signals = signal.SIGTERM) -> int:
        """Ends it; -1 where it had to be forced."""
        process = self.process
        if process is None or process.returncode is not None:
            return process.returncode if process and process.returncode is not None else 0
        self.measure()
        process.send_signal(by)
        try:
            return await asyncio.wait_for(process.wait(), 12.0)
        except TimeoutError:
            process.kill()
            await process.wait()
            return -1


class Run:
    def __init__(
        self,
        scene: Scene,
        seed: int,
        seconds: float,
        directors: int,
        progress: Progress,
        account: bool = True,
        share: bool = False,
        wipe: bool = False,
    ):
        self.scene, self.seed, self.seconds, self.count = scene, seed, seconds, directors
        self.progress, self.account, self.share = progress, account and scene.name != "off", share
        self.wipe = wipe  # whether a restart begins with an empty disk
        self.marks: dict[str, int] = {}  # figures at the first restart
        self.folder = Path(tempfile.mkdtemp(prefix="ironhinge-lab-"))
        self.kept = self.folder / "kept"
        self.world = World(scene.link)
        self.coordinator = Coordinator(ZONES, KINDS)
        self.directors: list[DirectorProcess] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.people: People

    async def __call__(self) -> dict[str, Any]:
        try:
            await self._up()
            return await self._play()
        finally:
            await self._down()

    # Up and down

    async def _up(self) -> None:
        scene, world = self.scene, self.world
        cut = 8 * scene.room
        for name, kind, zone, room in (
            ("s-000000a1", "parent", "hub-a", cut),
            ("s-000000b1", "parent", "hub-b", cut),
            ("s-000000c1", "origin", "hub-a", 0),
            *((f"s-{place + 1:08x}", "std", "branch", scene.room) for place in range(scene.caches)),
        ):
            await world.add(LabNode(world, name, kind, zone, room, scene.pace)).start()
        await self.coordinator.start()
        peers = [free_port() for _ in range(self.count)] if self.share else []
        for place in range(self.count):
            told: dict[str, Any] = {
                "name": f"n{place}",
                "seed": f"{self.seed * 1000 + place + 1:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"index": 1, "updates": [{"index": 1, "endpoints": self._listing()}]},
                "coordinator": f"127.0.0.1:{self.coordinator.port}",
                "settings": settings(scene, self.count, self.share),
            }
            if peers:
                told["peers"] = [f"127.0.0.1:{port}" for port in peers]
                told["peer_listen"] = told["peers"][place]
            operations = self._operations(f"n{place}")
            self.directors.append(DirectorProcess(self.folder, f"n{place}", told, operations))
        self.progress(f"{len(world.nodes)} stand-ins up, starting {self.count} directors")
        await asyncio.gather(*(director.start() for director in self.directors))

    def _operations(self, name: str) -> Path | None:
        if not self.account:
            return None
        path = self.folder / f"{name}.cue"
        share = '    share: {every: "50ms"}\n' if self.share else ""
        path.write_text(
            f'traffic: {{\n    period: "1h"\n    keep: {{folder: "{self.kept}", every: "5s"}}\n{share}'
            f"    budgets: {{\n{self.scene.budget}    }}\n}}\n" + self._disk(name)
        )
        return path

    def _disk(self, name: str) -> str:
        if not self.scene.disk:
            return ""
        folder = self.folder / "tier" / name
        return f'disk: {{folder: "{folder}", room: "{self.scene.disk}", segment: "512KiB"}}\n'

    def _given(self) -> dict[str, int]:
        nodes = self.world.nodes.values()
        return {
            "origin": self.world.origin.given,
            "crossed": sum(node.carried for node in nodes if node.kind != "std"),
            "dispatches": sum(node.dispatches for node in nodes if node.kind == "std"),
        }

    async def _restart(self, place: int) -> None:
        """A planned one: SIGTERM, all that was taken is answered, and up again at the same address."""
        director = self.directors[place % self.count]
        self.progress(f"restart {director.name}" + ", its disk empty" * self.wipe)
        await director.stop()
        if self.wipe:
            shutil.rmtree(self.folder / "tier" / director.name, ignore_errors=True)
        if not self.marks:
            self.marks = self._given()
        await director.start()

    def _listing(self) -> dict[str, Any]:
        return {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": node.name,
                    "address": f"127.0.0.1:{node.port}",
                    "zone": node.zone,
                    "type": node.kind,
                    "group": 0,
                    "status": "SERVING",
                    "weight": 20,
                    "since_ms": 0,
                }
                for node in self.world.nodes.values()
            ],
        }

    async def _down(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(each.stop(signal.SIGKILL) for each in self.directors), return_exceptions=True)
        for node in self.world.nodes.values():
            await node.end()
        if self.coordinator.server is not None:
            self.coordinator.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Load and faults

    async def _play(self) -> dict[str, Any]:
        scene, began = self.scene, time.monotonic()
        people = self.people = People([each.port for each in self.directors], self.seed)
        wanted = asks(scene, self.seed, self.seconds)
        for ask in wanted:
            self.world.sizes[f"{ask.obj:016x}"] = ask.body
        faults = [asyncio.ensure_future(self._fault(fault)) for fault in scene.faults]
        self.tasks += faults
        for director in self.directors:
            director.measure()
        begun = [each.cpu for each in self.directors]
        playing: list[asyncio.Task[None]] = []
        for ask in wanted:
            wait = began + ask.at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            playing.append(asyncio.ensure_future(self._one(people, ask)))
            self.tasks = [task for task in self.tasks if not task.done()] + [playing[-1]]
            if len(playing) % 200 == 0:
                at = time.monotonic() - began
                self.progress(f"{at:.0f} of {self.seconds:.0f} s, {people.tally.counts['sent']} reqs")
        await asyncio.gather(*playing, return_exceptions=True)
        await asyncio.gather(*faults, return_exceptions=True)
        lasted = time.monotonic() - began
        for director in self.directors:
            director.measure()
        codes = await asyncio.gather(*(each.stop() for each in self.directors))
        cpu = sum(each.cpu for each in self.directors) - sum(begun)
        return self._figures(lasted, cpu, list(codes))

    async def _one(self, people: People, ask: Ask) -> None:
        try:
            await people.play(ask)
        except OSError:
            people.tally.counts["unconnected"] += 1

    def _hub(self, which: str) -> LabNode:
        return self.world.nodes[f"s-000000{which}1"]

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at * self.seconds)
        if fault.what == "restart":
            await self._restart(int(fault.whom))
        if fault.what in ("kill", "back", "silence", "wake", "slow"):
            node = self._hub(fault.whom)
            self.progress(f"{fault.what} {node.name} in {node.zone}")
            if fault.what == "kill":
                await node.kill()
                await asyncio.sleep(0.3)  # the list tells it late
                self.coordinator.tell([node], 2)
            elif fault.what == "back":
                node.since_ms = int(time.time() * 1000)
                await node.start()
                self.coordinator.tell([node], 0)
            elif fault.what == "slow":
                node.pace = fault.figure
            else:
                node.silent = fault.what == "silence"

    # Figures

    def _figures(self, lasted: float, cpu: float, codes: list[int]) -> dict[str, Any]:
        scene, counts, times = self.scene, self.people.tally.counts, sorted(self.people.tally.times)
        carried = {node.name: node.carried for node in self.world.nodes.values() if node.kind != "std"}
        by_way = {
            "own-hub": carried["s-000000a1"],
            "other-hub": carried["s-000000b1"],
            "origin": carried["s-000000c1"],
        }
        owed = counts["sent"] - counts["left"]
        out: dict[str, Any] = {
            "scenario": scene.name,
            "seed": self.seed,
            "directors": self.count,
            "seconds": round(lasted, 2),
            "requests": owed,
            "final_answers": counts["answers"],
            "doubled_answers": counts["doubled"],
            "spoiled_answers": counts["spoiled"],
            "left": counts["left"],
            "done": counts["done"],
            "denied": counts["denied"],
            "aborted": counts["aborted"],
            "first_ms_p50": round(1000 * times[len(times) // 2], 1) if times else None,
            "first_ms_p99": round(1000 * times[len(times) * 99 // 100], 1) if times else None,
            "cpu_us_a_req": round(1e6 * cpu / max(1, counts["sent"]), 1),
            "memory_kb": max(each.memory_kb for each in self.directors),
            "director_exits": codes,
            "fills_cut": sum(node.fills_cut for node in self.world.nodes.values()),
            "carried_by_way": by_way,
            "carried_bytes": sum(by_way.values()),
        }
        if self.marks:
            after = self._given()
            out["after_restart"] = {name: after[name] - before for name, before in self.marks.items()}
        if counts["streams"]:
            out["streams"] = counts["streams"]
            out["streams_begun"], out["streams_whole"] = counts["streams_begun"], counts["streams_whole"]
            out["streams_refused"] = counts["streams_refused"]
            out["streams_whole_share"] = round(counts["streams_whole"] / max(1, counts["streams_begun"]), 4)
        if self.account:
            from ..traffic.report import collect
            from ..traffic.snapshot_files import read_folder

            snapshots, wrong = read_folder(self.kept)
            report = collect(snapshots)
            out["reported_bytes"] = report.total()
            out["reported_by_way"] = report.by("way")
            out["guessed_bytes"] = report.guessed()
            out["forced_bytes"] = report.by("forced").get("forced", 0)
            out["off_share"] = round(abs(out["reported_bytes"] / max(1, out["carried_bytes"]) - 1), 5)
            out["snapshots_wrong"] = wrong
            out["crossed_bytes"] = sum(by_way[way] for way in scene.ways)
            out["budget_bytes"] = int(scene.burst + scene.rate * lasted)
            most = max((int(size) for size in self.world.sizes.values()), default=0)
            out["budget_slack_bytes"] = most * self.count
            out["within_budget"] = out["crossed_bytes"] <= out["budget_bytes"] + out["budget_slack_bytes"]
        return out


def play(
    scene: Scene,
    seed: int,
    seconds: float,
    directors: int,
    progress: Progress = lambda text: None,
    account: bool = True,
    share: bool = False,
    wipe: bool = False,
) -> dict[str, Any]:
    """One run from nothing to nothing; Ctrl-C ends it as cleanly."""
    run = Run(scene, seed, seconds, directors, progress, account, share, wipe)
    return asyncio.run(run())
