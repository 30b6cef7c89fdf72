"""Plays one plan: stand-ins, directors as processes, clients, signals; then asks the audit."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
import time
from pathlib import Path as FilePath
from random import Random

from ..errors import DirectorStartError
from .audit import Audit, Finding, Verdict, timeline
from .clients import Client, crowd
from .directors import Director
from .plan import PURGE_SETTLES, STRAIGHT, Happening, Plan
from .records import Records, Told
from .servers import DRAINING, GONE, READY, Discovery, Fleet, Node, cold_life

LOOK = 0.1  # seconds between looks at processes
LATE = 0.02  # seconds that this process may be late without writing it down
TELL_AFTER = 0.2  # seconds until discovery tells of a change


class Run:
    """One seed."""

    def __init__(self, plan: Plan):
        self.plan, self.records = plan, Records()
        self.folder = FilePath(tempfile.mkdtemp(prefix="ironhinge-soak-"))
        self.fleet = Fleet(plan, self.records)
        # each director has an address of discovery of its own, so that what it was told is known
        self.discoveries: list[Discovery] = []
        self.directors = [Director(self, number) for number in range(plan.directors)]
        self.caches: list[Node] = []
        self.tasks: list[asyncio.Task] = []
        self.draw = Random(plan.seed + 7)

    async def __call__(self) -> Verdict:
        try:
            await self._up()
            await self._play()
        finally:
            await self._down()
        verdict = Audit(self.plan, self.records).judge()
        for text in self.fleet.unreadable:
            verdict.findings.append(Finding("unreadable command", text))
        return verdict

    async def _up(self) -> None:
        self.records.copies["unix less monotonic"] = time.time() - time.monotonic()
        origin, parent = self.fleet.add("origin", 1), self.fleet.add("parent", 1)
        for _ in range(self.plan.caches):
            self.caches.append(self.fleet.add("std", 0))
        for node in (origin, parent, *self.caches):
            await node.start(self.plan.node_path if node in self.caches else STRAIGHT)
        for director in self.directors:
            discovery = Discovery(self.records, self.fleet.ports, director.number, director.current_life)
            await discovery.start()
            self.discoveries.append(discovery)
            for place, path in enumerate(self.plan.client_paths):
                port = director.port if path == STRAIGHT else await self.fleet.proxy(director.port, path)
                director.client_ports[place] = port
        await asyncio.gather(*(director.start() for director in self.directors))
        if not all(director.accepting for director in self.directors):
            logs = "".join(FilePath(life.log).read_text()[-500:] for life in self.records.lives)
            raise DirectorStartError(f"a director did not come up: {logs}")

    def configuration(self, director: Director) -> dict:
        """All that a director is told, as of now."""
        rows = [
            {
                "name": node.name,
                "address": f"127.0.0.1:{node.port}",
                "zone": ["edge", "hub"][node.zone],
                "type": ["std", "parent", "origin"][node.kind],
                "group": node.cell,
                "status": ["SERVING", "DRAINING", "DELETED"][node.state],
                "weight": 4,
                "since_ms": node.since_ms,
            }
            for node in self.fleet.nodes.values()
            if node.state != GONE and node.port
        ]
        discovery = self.discoveries[director.number]
        number = discovery.first + len(discovery.events)
        purges = self._recent_purges()
        for node in self.fleet.nodes.values():  # what the configuration tells counts as told
            if node.state == DRAINING:
                self._told(director, "draining", node.name)
        first = number - len(purges)
        updates = [{"index": first, "endpoints": {"index": first, "snapshot": True, "endpoints": rows}}]
        updates += [{"index": first + 1 + place, "evict": one} for place, one in enumerate(purges)]
        return {
            "name": f"n{director.number}",
            "listen": f"127.0.0.1:{director.port}",
            "seed": f"{self.plan.seed * 1000 + director.number * 10 + director.life:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.plan.sockets},
            "known": {"index": number, "updates": updates},
            "coordinator": f"127.0.0.1:{discovery.port}",
            "settings": self.plan.settings(),
        }

    def _recent_purges(self) -> list[dict]:
        """Those that copies may not have heeded by themselves yet."""
        since = time.time() - PURGE_SETTLES
        objects, groups = self.fleet.purged_objects, self.fleet.purged_groups
        purges: list[dict] = [
            {"ref": obj, "unix_ms": int(at * 1000)} for obj, at in objects.items() if at > since
        ]
        purges += [{"shard": one, "unix_ms": int(at * 1000)} for one, at in groups.items() if at > since]
        return purges

    def _told(self, director: Director, what: str, whom: str) -> None:
        now = time.monotonic()
        self.records.told.append(Told(director.number, director.life, now, what, whom, now))

    # Play

    async def _play(self) -> None:
        began = time.monotonic()
        until = began + self.plan.seconds
        self.tasks.append(asyncio.ensure_future(self._watch_processes()))
        self.tasks.append(asyncio.ensure_future(self._watch_lag()))
        happenings = [asyncio.ensure_future(self._happen(one, began)) for one in self.plan.happenings]
        clients: list[asyncio.Future] = []
        for director in self.directors:
            for _ in range(self.plan.clients):
                clients.append(asyncio.ensure_future(self._client(director, len(clients)).run(until)))
            if self.plan.crowd:
                where = self._where(director, 0)
                self.tasks.append(
                    asyncio.ensure_future(crowd(self.plan.crowd, where, until, Random(self.plan.seed)))
                )
        results = await asyncio.gather(*clients, *happenings, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        for director in self.directors:
            if director.accepting and director.record is not None:
                await self._end(director)

    async def _end(self, director: Director) -> None:
        """The planned end of a run: all clients have gone, so the program has to end by itself."""
        assert director.record is not None and director.exit_watch is not None
        director.record.terminated_at = time.monotonic()
        director.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(director.exit_watch), 6.0)
        except TimeoutError:
            director.record.exit_code = -1
            director.send(signal.SIGKILL)

    def _where(self, director: Director, place: int):
        return lambda: director.client_ports[place] if director.accepting else None

    def _client(self, director: Director, number: int) -> Client:
        client = Client(self.plan, self.records, number, director.number, lambda: None, director.current_life)
        client.where = self._where(director, self.plan.client_paths.index(client.path))
        return client

    async def _watch_processes(self) -> None:
        while True:
            for director in self.directors:
                director.measure()
            await asyncio.sleep(LOOK)

    async def _watch_lag(self) -> None:
        while True:
            due = time.monotonic() + LATE / 2
            await asyncio.sleep(LATE / 2)
            lag = time.monotonic() - due
            if lag > LATE:
                self.records.lags.append((time.monotonic(), lag))
                self.records.lag = max(self.records.lag, lag)

    # Happenings

    async def _happen(self, one: Happening, began: float) -> None:
        await asyncio.sleep(max(0.0, began + one.at - time.monotonic()))
        name = one.what.replace(" ", "_")
        await getattr(self, f"_do_{name}")(one)

    async def _do_term(self, one: Happening) -> None:
        await self.directors[one.whom].restart()

    async def _do_kill(self, one: Happening) -> None:
        await self.directors[one.whom].kill()

    async def _do_stop(self, one: Happening) -> None:
        await self.directors[one.whom].pause(one.span)

    async def _do_signal_term(self, one: Happening) -> None:
        director = self.directors[one.whom]
        record = director.record  # only for one that is ending already
        if record is not None and record.terminated_at is not None and record.exited_at is None:
            director.send(signal.SIGTERM)

    async def _do_signal_hup(self, one: Happening) -> None:
        director = self.directors[one.whom]
        if director.accepting:
            director.write_config()
            director.send(signal.SIGHUP)

    def _tell(self, what: str, nodes: list[Node]) -> None:
        for discovery in self.discoveries:
            discovery.tell(what, nodes[0].name, nodes)

    async def _do_hang(self, one: Happening) -> None:
        node = self.caches[one.whom]
        node.hanging = True
        await asyncio.sleep(one.span)
        node.hanging = False

    async def _do_drain(self, one: Happening) -> None:
        node = self.caches[one.whom]
        if node.state != READY or sum(each.state == READY for each in self.caches) < 2:
            return
        node.state = DRAINING
        self._tell("draining", [node])
        await asyncio.sleep(one.span + 1.0)
        node.state = GONE
        self._tell("gone", [node])
        node.stop()

    async def _do_die(self, one: Happening) -> None:
        """A process that dies, and is back cold at another address under another name."""
        node = self.caches[one.whom]
        if node.state != READY:
            return
        node.state = GONE
        node.stop()
        await asyncio.sleep(TELL_AFTER)
        self._tell("gone", [node])
        await asyncio.sleep(one.span)
        fresh = self.fleet.add("std", 0)
        await fresh.start(self.plan.node_path)
        self.caches.append(fresh)
        await self._tell_start(fresh)

    async def _do_restart(self, one: Happening) -> None:
        """A process that restarts at once, cold, under its old name."""
        node = self.caches[one.whom]
        if node.state != READY:
            return
        node.stop()
        await asyncio.sleep(one.span / 2)
        await node.start(self.plan.node_path)
        await self._tell_start(node)

    async def _tell_start(self, node: Node) -> None:
        node.since_ms = int(time.time() * 1000)
        life = cold_life(node, self.records)
        await asyncio.sleep(TELL_AFTER)
        life.cold_told_at = time.monotonic()
        self._tell("ready", [node])

    async def _do_idle_close(self, one: Happening) -> None:
        self.caches[one.whom].end_connections(False)

    async def _do_idle_reset(self, one: Happening) -> None:
        self.caches[one.whom].end_connections(True)

    async def _do_discovery_down(self, one: Happening) -> None:
        for discovery in self.discoveries:
            discovery.stop()
        await asyncio.sleep(one.span)
        for discovery in self.discoveries:
            await discovery.start(discovery.port)

    async def _do_discovery_moves(self, one: Happening) -> None:
        for director, discovery in zip(self.directors, self.discoveries, strict=True):
            await discovery.move()
            if director.accepting:
                director.write_config()
                director.send(signal.SIGHUP)

    async def _do_purge(self, one: Happening) -> None:
        obj = f"{one.whom:016x}"
        self.fleet.purged_objects[obj] = time.time()
        data = one.whom.to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big")
        for discovery in self.discoveries:
            discovery.tell("object", obj, purge=data)

    async def _do_purge_group(self, one: Happening) -> None:
        self.fleet.purged_groups[one.whom] = time.time()
        data = one.whom.to_bytes(2, "big") + int(time.time() * 1000).to_bytes(8, "big")
        for discovery in self.discoveries:
            discovery.tell("group", str(one.whom), purge=data)

    # Down

    async def _down(self) -> None:
        for task in self.tasks:
            task.cancel()
        for director in self.directors:
            if director.process is not None and director.process.returncode is None:
                director.process.kill()
                await director.process.wait()
        for node in self.fleet.nodes.values():
            node.stop()
        for discovery in self.discoveries:
            discovery.stop()
        for proxy in self.fleet.proxies:
            proxy.stop()

    def forget(self) -> None:
        """Removes the folder with the logs."""
        shutil.rmtree(self.folder, ignore_errors=True)


def report(plan: Plan, records: Records, verdict: Verdict) -> dict:
    """The figures of one seed, for a line of JSON."""
    told = []
    for finding in verdict.findings[:10]:
        lines = timeline(finding.trace, records) if finding.trace else []
        told.append({"rule": finding.rule, "text": finding.text, "trace": finding.trace, "timeline": lines})
    other = (
        "error",
        "drain",
        "purge",
        "slow start",
        "deadline",
        "descriptors",
        "not ready",
        "unreadable command",
    )
    return {
        "seed": plan.seed,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "served": verdict.served,
        "attempts": verdict.attempts,
        "crossed": verdict.crossed,
        "lost": verdict.count("lost", "doubled answer"),
        "duplicates": verdict.count("duplicate"),
        "late": verdict.count("late"),
        "after_client_left": verdict.count("after client left"),
        "broken_rules": verdict.count(*other, "unknown request"),
        "crashes": verdict.count("crash"),
        "lag_ms": round(records.lag * 1000, 1),
        "findings": told,
    }


def play(plan: Plan, keep: FilePath | None = None) -> dict:
    """Plays a seed and judges it; with `keep` the directors' logs go there when something was found."""
    run = Run(plan)
    try:
        verdict = asyncio.run(run())
        figures = report(plan, run.records, verdict)
        if keep is not None and verdict.findings:
            shutil.copytree(run.folder, keep / str(plan.seed), dirs_exist_ok=True)
        return figures
    finally:
        run.forget()
