"""How far a director has followed the discovery service, and whether it holds all that the service held.

A director is current once an empty frame has arrived on its connection: the service writes events in order,
and an empty frame only if it has nothing new. No event proves that, since another one may follow it.
"""

from __future__ import annotations

from enum import IntEnum

import anyio
from loguru import logger

from ..config import Address
from .clock import Clock


class SyncStage(IntEnum):
    """The furthest that the connections to the discovery service have come since the start."""

    UNREACHABLE = 0  # none was established
    SILENT = 1  # one was established, nothing has arrived
    RECEIVING = 2  # some bytes have arrived
    SYNCED = 3  # all events that the service held at some time since the start have been applied


class DiscoveryProgress:
    """The progress through the events of the discovery service.

    Attributes:
        stage: The furthest that the connections have come since the start.
        is_current: All events that the service held have been applied, and its connection is open.
        events: Events received from the service.
        connections: Connections established.
    """

    def __init__(self, clock: Clock):
        self.stage = SyncStage.UNREACHABLE
        self.is_current = False
        self.events = 0
        self.connections = 0
        self._clock = clock
        self._started_at = clock.now()
        self._behind_since = self._started_at
        self._events_when_behind = 0
        self._pending_number: int | None = None  # of an empty frame that names an event which is missing
        self._stage_changed = anyio.Event()

    async def wait_for_stage_change(self) -> None:
        """Waits until `stage` changes."""
        await self._stage_changed.wait()

    def on_connected(self, address: Address, last_index: int) -> None:
        """Records that a connection was established, on which the events after `last_index` are requested."""
        self.connections += 1
        self._pending_number = None
        self._advance(SyncStage.SILENT)
        logger.info(
            "discovery_connected address={}:{} after_index={} since_start_s={:.3f}",
            *address,
            last_index,
            self._seconds_since(self._started_at),
        )

    def on_bytes(self) -> None:
        """Records that bytes have arrived."""
        self._advance(SyncStage.RECEIVING)

    def on_event(self) -> None:
        """Records that an event has arrived."""
        self.events += 1
        self._pending_number = None

    def on_keepalive(self, number: int, last_index: int) -> None:
        """Records an empty frame, which shows that the service had nothing new when it wrote the frame.

        The protocol does not say which number such a frame carries. If it is that of an event that has not
        arrived, the next empty frame decides: unless an event came before it, the number means nothing.
        """
        is_event_missing = number > last_index and number != self._pending_number
        self._pending_number = number
        if is_event_missing or self.is_current:
            return
        self.is_current = True
        logger.info(
            "discovery_caught_up index={} events={} behind_s={:.3f} since_start_s={:.3f}",
            last_index,
            self.events - self._events_when_behind,
            self._seconds_since(self._behind_since),
            self._seconds_since(self._started_at),
        )
        self._advance(SyncStage.SYNCED)

    def on_connection_lost(self) -> None:
        """Records that the connection has ended: later events are not known."""
        if self.is_current:
            self.is_current = False
            self._behind_since = self._clock.now()
            self._events_when_behind = self.events

    def summary(self, last_index: int) -> str:
        """Returns the progress as key=value fields."""
        behind_s = 0.0 if self.is_current else self._seconds_since(self._behind_since)
        return (
            f"discovery_stage={self.stage.name.lower()} discovery_index={last_index} "
            f"discovery_behind_s={behind_s:.1f} discovery_events={self.events} "
            f"discovery_connections={self.connections}"
        )

    def _seconds_since(self, instant: int) -> float:
        return self._clock.seconds(self._clock.now() - instant)

    def _advance(self, stage: SyncStage) -> None:
        if stage > self.stage:
            self.stage = stage
            self._stage_changed.set()
            self._stage_changed = anyio.Event()
