"""The connection to the discovery service: it writes where to go on from, and hands on what comes."""

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
    """What follows the discovery service's events."""

    last_index: int

    def apply(self, update: DiscoveryUpdate | discovery_wire.Keepalive) -> None:
        """Takes in one event; those that are known already are passed over."""

    def set_caught_up(self, now: int) -> None:
        """All that there was to tell by now has been told."""


class DiscoveryConnection:
    """One connection to the discovery service."""

    def __init__(self, receiver: UpdateReceiver, clock: Clock):
        self.closed = anyio.Event()
        self.has_received = False
        self.last_received_at = clock.now()  # a whole frame, or the connect
        self.connection: Connection
        self._receiver = receiver
        self._clock = clock
        self._wire = discovery_wire.DiscoveryWire()

    def on_connected(self, connection: Connection) -> None:
        """Asks for what follows the last event that is known."""
        connection.write((discovery_wire.encode_hello(self._receiver.last_index),))

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Reads events and hands them on in order."""
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
        """Wakes whoever waits for the end of the connection."""
        self.closed.set()
