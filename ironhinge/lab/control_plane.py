"""A stand-in for the platform's control plane, which sends changes of the endpoint list to directors."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Sequence
from enum import IntEnum

from .stand_ins import StandIn

# number, IPv4 address, port, state, zone, kind, cell, weight in thousandths, start time in Unix milliseconds
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")
LOOPBACK = bytes([127, 0, 0, 1])
NODE_WEIGHT_MILLIS = 20_000  # the same for all nodes
LIST_CHANGES_EVENT = 2  # kinds of events
HEARTBEAT_EVENT = 0
HEARTBEAT_INTERVAL = 0.5  # seconds
FIRST_EVENT_NUMBER = 2  # number 1 is the endpoint list in the directors' configuration


class EndpointState(IntEnum):
    """State of a node in the endpoint list, as encoded in a record."""

    READY = 0
    DRAINING = 1
    REMOVED = 2


class ControlPlane:
    """Publishes changes of the endpoint list as numbered events."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Create a control plane that does not listen yet; records hold indices into `zones` and `kinds`."""
        self.zones = zones
        self.kinds = kinds
        self.port = 0
        self._events: list[bytes] = []  # encoded; their numbers are consecutive from FIRST_EVENT_NUMBER
        self._published = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def publish(self, nodes: list[StandIn], state: EndpointState) -> None:
        """Publish an event that changes the state of these nodes to `state`."""
        number = len(self._events) + FIRST_EVENT_NUMBER
        records = b"".join(self._record(node, state) for node in nodes)
        self._events.append(_encode_event(number, LIST_CHANGES_EVENT, records))
        self._published.set()

    def _record(self, node: StandIn, state: EndpointState) -> bytes:
        return ENDPOINT_RECORD.pack(
            int(node.name[2:], 16),
            LOOPBACK,
            node.port,
            state,
            self.zones.index(node.zone),
            self.kinds.index(node.kind),
            0,
            NODE_WEIGHT_MILLIS,
            node.started_ms,
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a director all events after the last one that it has, then new ones and heartbeats."""
        try:
            known_number = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                for event in self._events[max(0, known_number - 1) :]:
                    writer.write(event)
                known_number = max(known_number, len(self._events) + 1)
                self._published.clear()
                try:
                    await asyncio.wait_for(self._published.wait(), HEARTBEAT_INTERVAL)
                except TimeoutError:
                    writer.write(_encode_event(known_number, HEARTBEAT_EVENT, b""))
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def _encode_event(number: int, kind: int, data: bytes) -> bytes:
    payload = number.to_bytes(8, "big") + bytes([kind]) + data
    return len(payload).to_bytes(4, "big") + payload
