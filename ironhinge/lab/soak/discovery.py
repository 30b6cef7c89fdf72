"""A fake discovery service that notifies one director of endpoint changes and purges."""

from __future__ import annotations

import asyncio
import math
import struct
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..ports import PortAllocator
from . import wire
from .late_path import LatePath
from .plan import BacklogDelivery, BacklogPattern, DiscoveryDelay
from .records import ExcessConnections, Notification, NotificationKind, Records
from .servers import Node
from .sockets import reset_connection

FIRST_NUMBER = 1  # number of the initial endpoint list; events are numbered from 2
HEARTBEAT_INTERVAL = 1.0  # seconds between heartbeat events on a connection
SLOW_POLL_INTERVAL = 0.2  # the same where events are written slowly, which looks for new ones as often
PIECES_PER_EVENT = 13
MAX_EVENT_DELAY = 7.0  # seconds after which an event counts as notified, whether or not it has arrived
MAX_BACKLOG_PIECES = 40  # in which a backlog is written slowly
UNUSED_OBJECTS = 1 << 40  # numbers from here on are requested by nobody
# seconds for which a director may have more than so many connections: two while one is silent, three in none
MAX_EXCESS_TIMES = {1: 12.0, 2: 1.0}
MOVED_GRACE = 1.5  # seconds that connections to the old address stay open after a move

PURGE_EVENTS = {
    NotificationKind.OBJECT_PURGED: wire.EventType.OBJECT_PURGED,
    NotificationKind.GROUP_PURGED: wire.EventType.GROUP_PURGED,
}


class _Event(NamedTuple):
    """An encoded event, and the values that are recorded when it is written."""

    data: bytes
    kind: NotificationKind
    target: str
    happened_at: float


def endpoint_of(node: Node) -> wire.EndpointRecord:
    """Return a node's current state as it stands in an event."""
    return wire.EndpointRecord(
        node.name,
        node.port,
        node.state,
        node.zone,
        node.kind,
        node.cell,
        node.fleet.plan.node_weight,
        node.since_ms,
    )


class EventDelivery(Protocol):
    """How events are written; a plan."""

    @property
    def event_write_time(self) -> float:
        """Seconds in which each event is written in pieces; 0: at once."""

    @property
    def backlog(self) -> BacklogDelivery | None:
        """How the first connection of a process is told what is held; None: at once."""

    @property
    def discovery_delays(self) -> tuple[DiscoveryDelay, ...]:
        """Times for which the path to the director is late; empty: there is no such path."""


class Discovery:
    """Writes numbered events to all connections of one director."""

    def __init__(
        self,
        records: Records,
        ports: PortAllocator,
        director: int,
        incarnation: Callable[[], int],
        delivery: EventDelivery,
    ) -> None:
        """Create a service that does not listen yet.

        Args:
            records: Receives a notification for each event written to a connection.
            ports: Allocates the ports to listen at.
            director: Number of the director.
            incarnation: Returns the number of the director's current process.
            delivery: How events are written.
        """
        self.records = records
        self.ports = ports
        self.director = director
        self.incarnation = incarnation
        self.port = 0
        self.process_started_at = 0.0  # when the director's current process was started
        self._listens_since = 0.0
        self._event_write_time = delivery.event_write_time
        self._backlog = delivery.backlog
        self.path: LatePath | None = None  # from this service to the director, if it may be late
        # encodes the whole list as an event of a number, to be written to each new connection
        self.encode_full_list: Callable[[int], bytes] | None = None
        self._excess_since: dict[int, float] = {}  # by number of connections: since when there are more
        self._has_path = bool(delivery.discovery_delays)
        self._connected_processes: set[int] = set()  # numbers of those that have connected
        self._events: list[_Event] = []
        self._server: asyncio.Server | None = None
        self._notified: set[tuple[int, _Event]] = set()  # by number of the director's process
        self._writers: dict[asyncio.StreamWriter, int] = {}  # by connection: number of the last event written

    @property
    def last_number(self) -> int:
        """Number of the last event."""
        return FIRST_NUMBER + len(self._events)

    async def start(self, port: int = 0) -> None:
        """Listen at a new port, or at `port`; does nothing if `port` is given and the service listens."""
        if port and self._server is not None:
            return
        self.port = port or self.ports.allocate()
        self._listens_since = time.monotonic()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        if self._has_path:
            await self._start_path()

    async def _start_path(self) -> None:
        """Start the path to the service; after an outage at the same port as before, in the same state."""
        old, new_port = self.path, self.ports.allocate() if self.path is None else 0
        if old is not None and old.target_port != self.port:  # the service has moved
            new_port = self.ports.allocate()
        if new_port:
            self.path = LatePath(new_port, self.port)
            if old is not None:
                self.path.copy_delay_of(old)
        assert self.path is not None
        await self.path.start()

    @property
    def director_port(self) -> int:
        """The port at which the director reaches the service."""
        return self.port if self.path is None else self.path.listen_port

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self.path is not None:
            self.path.stop()
        self.reset_connections()

    def measure_connections(self) -> None:
        """Record once for each excess that the director has had too many connections for too long."""
        now = time.monotonic()
        count = 0 if self.path is None else len(self.path.open_numbers)
        for allowed, max_time in MAX_EXCESS_TIMES.items():
            if count <= allowed:
                self._excess_since.pop(allowed, None)
                continue
            since = self._excess_since.setdefault(allowed, now)
            if now > since + max_time:
                excess = ExcessConnections(self.director, count, now - since)
                self.records.excess_connections.append(excess)
                self._excess_since[allowed] = math.inf

    def reset_connections(self) -> None:
        """Reset all connections; no further events are written to them."""
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    async def move(self) -> None:
        """Listen at a new port instead; existing connections are closed after `MOVED_GRACE` seconds."""
        old_server, writers = self._server, list(self._writers)
        await self.start()
        if old_server is not None:
            old_server.close()

        def close_old_connections() -> None:
            """Close the connections that were made to the old address."""
            for writer in writers:
                writer.close()

        asyncio.get_running_loop().call_later(MOVED_GRACE, close_old_connections)

    def publish_node(self, kind: NotificationKind, node: Node) -> None:
        """Publish the current state of a node."""
        self._publish(wire.encode_endpoints(self.last_number + 1, [endpoint_of(node)]), kind, node.name)

    def publish_purge(self, kind: NotificationKind, target: str, data: bytes) -> None:
        """Publish the purge of an object or a group."""
        self._publish(wire.encode_event(self.last_number + 1, PURGE_EVENTS[kind], data), kind, target)

    def publish_unused_purges(self, count: int) -> None:
        """Publish purges of objects that nobody requests."""
        kind = NotificationKind.OBJECT_PURGED
        for number in range(count):
            data = struct.pack(">QQ", UNUSED_OBJECTS + number, int(time.time() * 1000))
            self.publish_purge(kind, f"{UNUSED_OBJECTS + number:016x}", data)

    def _publish(self, data: bytes, kind: NotificationKind, target: str) -> None:
        self._events.append(_Event(data, kind, target, time.monotonic()))
        if self._event_write_time or self._is_path_late():
            asyncio.get_running_loop().call_later(MAX_EVENT_DELAY, self._notify_late, self._events[-1])
        if self._event_write_time:  # each connection writes it by itself
            return
        for writer in list(self._writers):
            if not writer.is_closing():
                self._write_new_events(writer)

    def _write_new_events(self, writer: asyncio.StreamWriter) -> None:
        last_seen = self._writers[writer]
        for event in self._events[max(0, last_seen - FIRST_NUMBER) :]:
            writer.write(event.data)
            if not self._is_path_late():
                self._record_notification(event)
        self._writers[writer] = self.last_number

    def _is_path_late(self) -> bool:
        """Return whether what is written now may arrive late or never."""
        return self.path is not None and not self.path.is_sound

    def _record_notification(self, event: _Event) -> None:
        """Record that an event counts as notified: now, or since it happened.

        What the service holds counts as notified, whether or not the director is connected. So an event of
        before the start of the director's process has been notified to it from its start on.
        """
        now = time.monotonic()
        was_held = (
            self._listens_since < self.process_started_at and event.happened_at < self.process_started_at
        )
        at = event.happened_at if was_held else now
        notification = Notification(
            self.director, self.incarnation(), at, event.kind, event.target, event.happened_at
        )
        self.records.notifications.append(notification)
        self._notified.add((self.incarnation(), event))

    async def _write_slowly(self, writer: asyncio.StreamWriter) -> None:
        """Write the events that a connection lacks; drains in pieces over `event_write_time` seconds.

        An event that is not written completely counts as notified `MAX_EVENT_DELAY` after it happened.
        """
        while self._writers.get(writer, self.last_number) < self.last_number:
            index = self._writers[writer] - FIRST_NUMBER
            event = self._events[index]
            is_slow = event.kind is NotificationKind.DRAINING
            size = -(-len(event.data) // PIECES_PER_EVENT) if is_slow else len(event.data)
            for start in range(0, len(event.data), size):
                writer.write(event.data[start : start + size])
                if is_slow:
                    await asyncio.sleep(self._event_write_time / PIECES_PER_EVENT)
                if writer.is_closing():
                    return
            self._record_notification(event)
            if writer in self._writers:
                self._writers[writer] += 1

    def _notify_late(self, event: _Event) -> None:
        """Record that an event counts as notified, unless the director's process has received it."""
        if (self.incarnation(), event) not in self._notified:
            self._record_notification(event)

    async def _write_backlog(
        self, writer: asyncio.StreamWriter, last_seen: int, backlog: BacklogDelivery
    ) -> int:
        """Write the events that exist after `last_seen` as the plan says; return the number of the last."""
        events = self._events[max(0, last_seen - FIRST_NUMBER) :]
        for event in events:
            self._record_notification(event)
        pieces = [event.data for event in events]
        match backlog.pattern:
            case BacklogPattern.LATE:
                await asyncio.sleep(backlog.delay)
                pieces = [b"".join(pieces)]
            case BacklogPattern.IN_PIECES:
                data = b"".join(pieces)
                size = max(1, len(data) // MAX_BACKLOG_PIECES)
                pieces = [data[start : start + size] for start in range(0, len(data), size)]
            case BacklogPattern.ONE_BY_ONE:
                pieces = [b"".join(pieces[:-MAX_BACKLOG_PIECES]), *pieces[-MAX_BACKLOG_PIECES:]]
            case _:
                pieces = [b"".join(pieces)]
        is_slow = backlog.pattern in (BacklogPattern.IN_PIECES, BacklogPattern.ONE_BY_ONE)
        for piece in pieces:
            writer.write(piece)
            if is_slow:
                await asyncio.sleep(backlog.duration / len(pieces))
        return max(last_seen, FIRST_NUMBER) + len(events)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (last_seen,) = struct.unpack(">Q", await reader.readexactly(8))
            if self._backlog is not None and self.incarnation() not in self._connected_processes:
                self._connected_processes.add(self.incarnation())
                if self._backlog.pattern is BacklogPattern.SILENT:
                    await reader.read()  # until the director closes the connection
                    return
                last_seen = await self._write_backlog(writer, last_seen, self._backlog)
            self._writers[writer] = last_seen
            if self.encode_full_list is not None:
                self._write_new_events(writer)
                writer.write(self.encode_full_list(self.last_number))
            while writer in self._writers and not writer.is_closing():
                if self._event_write_time:
                    await self._write_slowly(writer)
                else:
                    self._write_new_events(writer)
                number = self._writers.get(writer, last_seen)
                writer.write(wire.encode_event(number, wire.EventType.HEARTBEAT, b""))
                await asyncio.sleep(SLOW_POLL_INTERVAL if self._event_write_time else HEARTBEAT_INTERVAL)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()
