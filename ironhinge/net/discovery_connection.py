"""The connection to the discovery service: sends the index of the last event and receives those after it."""

from __future__ import annotations

from typing import Protocol

import anyio
from loguru import logger

from ..config import DiscoveryUpdate
from . import discovery_wire
from .attempt_end import AttemptEnd
from .clock import SECOND, Clock
from .connection import Connection

# The service writes every second; the protocol counts events as delivered 4 s after it falls silent.
SILENCE_TIMEOUT = 2 * SECOND
# For a whole frame, however slowly it arrives: a full list of 3,200 endpoints at 5 KB a second.
FRAME_TIMEOUT = 20 * SECOND


class UpdateReceiver(Protocol):
    """Applies the events of the discovery service."""

    last_index: int  # index of the last event applied

    def apply(self, update: DiscoveryUpdate | discovery_wire.Keepalive) -> None:
        """Applies one event, unless it was applied already."""

    def on_discovery_connected(self) -> None:
        """Records that the connection was established."""

    def on_discovery_bytes(self) -> None:
        """Records that bytes have arrived, before they are decoded."""


class DiscoveryConnection:
    """One connection to the discovery service."""

    def __init__(self, receiver: UpdateReceiver, clock: Clock):
        self.closed = anyio.Event()
        self.end = AttemptEnd.CLOSED  # how the connection ended, once it is closed
        self.has_received = False
        self.last_received_at = clock.now()  # when connecting began or the last data arrived
        self._frame_started_at = self.last_received_at  # when the latest frame began to arrive
        self.connection: Connection
        self._receiver = receiver
        self._clock = clock
        self._wire = discovery_wire.DiscoveryWire()

    def on_connected(self, connection: Connection) -> None:
        """Requests the events after the last one applied."""
        self._receiver.on_discovery_connected()
        connection.write((discovery_wire.encode_hello(self._receiver.last_index),))

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Decodes events and applies them in order; closes the connection if they can't be parsed."""
        self.last_received_at = self._clock.now()
        self._receiver.on_discovery_bytes()
        had_partial_frame = self._wire.has_partial_frame()
        updates, error = self._wire.feed(data)
        if updates or not had_partial_frame:
            self._frame_started_at = self.last_received_at
        for update in updates:
            self.has_received = True
            self._receiver.apply(update)
        if error is not None:
            logger.warning("discovery_unparsable error={}", error)
            connection.close(AttemptEnd.UNPARSABLE)

    def is_stalled(self, now: int) -> bool:
        """Returns whether the service is silent, or takes too long for a frame."""
        is_silent = now > self.last_received_at + SILENCE_TIMEOUT
        return is_silent or (self._wire.has_partial_frame() and now > self._frame_started_at + FRAME_TIMEOUT)

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Wakes the task that waits for the end of the connection."""
        self.end = end
        self.closed.set()
