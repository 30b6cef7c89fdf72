"""The connection to the discovery service: sends the index of the last event and receives those after it."""

from __future__ import annotations

from typing import Protocol

import anyio
from loguru import logger

from ..config import DiscoveryUpdate
from . import discovery_wire
from .attempt_end import AttemptEnd
from .clock import Clock
from .connection import Connection


class UpdateReceiver(Protocol):
    """Applies the events of the discovery service."""

    last_index: int  # index of the last event applied

    def apply(self, update: DiscoveryUpdate | discovery_wire.Keepalive) -> None:
        """Applies one event, unless it was applied already."""

    def set_caught_up(self, now: int) -> None:
        """Records that all events up to `now` have been received."""


class DiscoveryConnection:
    """One connection to the discovery service."""

    def __init__(self, receiver: UpdateReceiver, clock: Clock):
        self.closed = anyio.Event()
        self.has_received = False
        self.last_received_at = clock.now()  # when connecting began or the last complete frame arrived
        self.connection: Connection
        self._receiver = receiver
        self._clock = clock
        self._wire = discovery_wire.DiscoveryWire()

    def on_connected(self, connection: Connection) -> None:
        """Requests the events after the last one applied."""
        connection.write((discovery_wire.encode_hello(self._receiver.last_index),))

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Decodes events and applies them in order; closes the connection if they can't be parsed."""
        updates, error = self._wire.feed(data)
        for update in updates:
            self.has_received = True
            self.last_received_at = self._clock.now()
            self._receiver.apply(update)
            if isinstance(update, discovery_wire.Keepalive):
                self._receiver.set_caught_up(self.last_received_at)
        if error is not None:
            logger.warning("discovery_unparsable error={}", error)
            connection.close(AttemptEnd.UNPARSABLE)

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Wakes the task that waits for the end of the connection."""
        self.closed.set()
