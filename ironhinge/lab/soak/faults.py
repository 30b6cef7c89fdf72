"""Applies the faults of a plan to directors, nodes and discovery."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random

from .directors import Director
from .plan import FaultEvent, FaultKind, Plan
from .records import ColdStart, NotificationKind, Records
from .servers import EDGE_ZONE, Fleet, Node, NodeKind, NodeState, Purge

DISCOVERY_DELAY = 0.2  # seconds until discovery publishes that a node was killed or started
DRAIN_EXTRA = 1.0  # seconds that are added to the drawn duration of a drain
MAX_PAUSE_DELAY = 0.001  # seconds from a client's write, so that the pause hits the director handling it
MIN_READY_CACHES = 2  # no cache is drained while fewer are ready


class FaultInjector:
    """Applies the fault events of a plan at their scheduled times."""

    def __init__(
        self, plan: Plan, records: Records, fleet: Fleet, caches: list[Node], directors: list[Director]
    ) -> None:
        """Create an injector; it appends the replacement caches that it starts to `caches`."""
        self.plan = plan
        self.records = records
        self.fleet = fleet
        self.caches = caches
        self.directors = directors
        self._rng = Random(plan.seed)

    async def apply(self, event: FaultEvent, started_at: float) -> None:
        """Wait until `event.at` seconds after `started_at` (monotonic clock) and apply the fault."""
        await asyncio.sleep(max(0.0, started_at + event.at - time.monotonic()))
        match event.kind:
            case (
                FaultKind.RESTART_DIRECTOR
                | FaultKind.KILL_DIRECTOR
                | FaultKind.PAUSE_DIRECTOR
                | FaultKind.PAUSE_AFTER_WRITE
                | FaultKind.SEND_SIGTERM
                | FaultKind.SEND_SIGHUP
            ):
                await self._apply_to_director(event, self.directors[event.target])
            case FaultKind.STOP_DISCOVERY:
                await self._stop_discovery(event.duration)
            case FaultKind.MOVE_DISCOVERY:
                await self._move_discovery()
            case FaultKind.PURGE_OBJECT:
                self._purge_object(event.target)
            case FaultKind.PURGE_GROUP:
                self._purge_group(event.target)
            case FaultKind.STEP_PLATFORM_CLOCK:
                self.fleet.clock_offset += event.duration
            case _:
                await self._apply_to_node(event, self.caches[event.target])

    # Directors

    async def _apply_to_director(self, event: FaultEvent, director: Director) -> None:
        match event.kind:
            case FaultKind.RESTART_DIRECTOR:
                await director.restart()
            case FaultKind.KILL_DIRECTOR:
                await director.kill()
            case FaultKind.PAUSE_DIRECTOR:
                await director.pause(event.duration)
            case FaultKind.PAUSE_AFTER_WRITE:
                director.pause_after_write(event.duration, self._rng.uniform(0.0, MAX_PAUSE_DELAY))
            case FaultKind.SEND_SIGTERM:
                _repeat_sigterm(director)
            case FaultKind.SEND_SIGHUP:
                _reload_config(director)

    # Nodes

    async def _apply_to_node(self, event: FaultEvent, node: Node) -> None:
        match event.kind:
            case FaultKind.HANG_NODE:
                node.hanging = True
                await asyncio.sleep(event.duration)
                node.hanging = False
            case FaultKind.DRAIN_NODE:
                await self._drain(node, event.duration)
            case FaultKind.KILL_NODE:
                await self._replace(node, event.duration)
            case FaultKind.RESTART_NODE:
                await self._restart(node, event.duration)
            case FaultKind.CLOSE_CONNECTIONS:
                node.end_connections(by_reset=False)
            case FaultKind.RESET_CONNECTIONS:
                node.end_connections(by_reset=True)

    def _publish(self, kind: NotificationKind, node: Node) -> None:
        for director in self.directors:
            director.discovery.publish_node(kind, node)

    async def _drain(self, node: Node, duration: float) -> None:
        ready = sum(cache.state == NodeState.READY for cache in self.caches)
        if node.state != NodeState.READY or ready < MIN_READY_CACHES:
            return
        node.state = NodeState.DRAINING
        self._publish(NotificationKind.DRAINING, node)
        await asyncio.sleep(duration + DRAIN_EXTRA)
        node.state = NodeState.REMOVED
        self._publish(NotificationKind.REMOVED, node)
        node.stop()

    async def _replace(self, node: Node, duration: float) -> None:
        """Kill a node, and later start a replacement with an empty cache, a new name and a new address."""
        if node.state != NodeState.READY:
            return
        node.state = NodeState.REMOVED
        node.stop()
        await asyncio.sleep(DISCOVERY_DELAY)
        self._publish(NotificationKind.REMOVED, node)
        await asyncio.sleep(duration)
        replacement = self.fleet.add(NodeKind.CACHE, EDGE_ZONE)
        await replacement.start(self.plan.node_path)
        self.caches.append(replacement)
        await self._announce_cold_start(replacement)

    async def _restart(self, node: Node, duration: float) -> None:
        """Kill a node and start it again with an empty cache and a new port, under the same name."""
        if node.state != NodeState.READY:
            return
        node.stop()
        await asyncio.sleep(duration / 2)
        await node.start(self.plan.node_path)
        await self._announce_cold_start(node)

    async def _announce_cold_start(self, node: Node) -> None:
        node.since_ms = self.fleet.stamp_ms(time.time())
        cold_start = ColdStart(node.name, time.monotonic())
        self.records.cold_starts.append(cold_start)
        await asyncio.sleep(DISCOVERY_DELAY)
        cold_start.announced_at = time.monotonic()
        self._publish(NotificationKind.READY, node)

    # Discovery and purges

    async def _stop_discovery(self, duration: float) -> None:
        discoveries = [director.discovery for director in self.directors]
        for discovery in discoveries:
            discovery.stop()
        await asyncio.sleep(duration)
        for discovery in discoveries:
            await discovery.start(discovery.port)

    async def _move_discovery(self) -> None:
        for director in self.directors:
            await director.discovery.move()
            _reload_config(director)

    def _purge_object(self, number: int) -> None:
        name = f"{number:016x}"
        purge = self.fleet.purged_objects[name] = self._new_purge()
        self._publish_purge(NotificationKind.OBJECT_PURGED, name, number.to_bytes(8, "big"), purge)

    def _purge_group(self, group: int) -> None:
        purge = self.fleet.purged_groups[group] = self._new_purge()
        self._publish_purge(NotificationKind.GROUP_PURGED, str(group), group.to_bytes(2, "big"), purge)

    def _new_purge(self) -> Purge:
        now = time.time()
        return Purge(now, self.fleet.stamp_ms(now))

    def _publish_purge(
        self, kind: NotificationKind, target: str, encoded_target: bytes, purge: Purge
    ) -> None:
        data = encoded_target + purge.stamp_ms.to_bytes(8, "big")
        for director in self.directors:
            director.discovery.publish_purge(kind, target, data)


def _repeat_sigterm(director: Director) -> None:
    """Send another SIGTERM to a director that is already shutting down; does nothing otherwise."""
    record = director.record
    if record is not None and record.terminated_at is not None and record.exited_at is None:
        director.send(signal.SIGTERM)


def _reload_config(director: Director) -> None:
    if director.accepting:
        director.write_config()
        director.send(signal.SIGHUP)
