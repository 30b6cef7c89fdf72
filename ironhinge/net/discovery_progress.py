"""How far a director has followed the discovery service, and whether it holds all that the service held.

A director is current once an empty frame has arrived on a connection that is not far behind: the service
writes events in order, and an empty frame only if it has nothing new. No event proves that, since another one
may follow it.
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
        is_current: All events that the service held have been applied, and a connection delivers in time.
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
        self._stage_changed = anyio.Event()

    async def wait_for_stage_change(self) -> None:
        """Waits until `stage` changes."""
        await self._stage_changed.wait()

    def on_connected(self, address: Address, last_index: int) -> None:
        """Records that a connection was established, on which the events after `last_index` are requested."""
        self.connections += 1
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

    def on_synced(self) -> None:
        """Records that all events have been applied that the service held at some time since the start."""
        self._advance(SyncStage.SYNCED)

    def set_current(self, is_current: bool, last_index: int, delay: int | None) -> None:
        """Records whether the director is current now, and logs changes.

        Args:
            is_current: Whether it is.
            last_index: Index of the last event applied.
            delay: How late the frames of the best connection arrive in ticks; None: no connection is proved.
        """
        if is_current == self.is_current:
            return
        self.is_current = is_current
        if is_current:
            self._log_caught_up(last_index, delay or 0)
            return
        self._behind_since = self._clock.now()
        self._events_when_behind = self.events
        delay_s = "unknown" if delay is None else f"{self._clock.seconds(delay):.3f}"
        logger.warning("discovery_behind index={} delay_s={}", last_index, delay_s)

    def _log_caught_up(self, last_index: int, delay: int) -> None:
        logger.info(
            "discovery_caught_up index={} events={} behind_s={:.3f} since_start_s={:.3f} delay_s={:.3f}",
            last_index,
            self.events - self._events_when_behind,
            self._seconds_since(self._behind_since),
            self._seconds_since(self._started_at),
            self._clock.seconds(delay),
        )

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
