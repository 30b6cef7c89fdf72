"""One connection to the discovery service: sends the index of the last event and receives those after it."""

from __future__ import annotations

import random
from typing import Protocol

from loguru import logger

from ..config import DiscoveryUpdate
from . import discovery_wire
from .attempt_end import AttemptEnd
from .clock import SECOND, Clock
from .connection import Connection
from .delivery_delay import DeliveryDelay
from .discovery_choice import ConnectionStatus

# The service writes every second. Silence is no proof that a connection is dead: another one is tried.
INACTIVITY_TIMEOUT = 3 * SECOND // 2
INACTIVITY_JITTER = SECOND // 5  # by which the timeout of a connection is shorter at most
# For a whole frame, however slowly it arrives: a full list of 3,200 endpoints at 5 KB a second.
FRAME_TIMEOUT = 20 * SECOND


class UpdateReceiver(Protocol):
    """Applies the events of the discovery service, and follows the state of its connections."""

    last_index: int  # index of the last event applied

    def apply(self, update: DiscoveryUpdate) -> None:
        """Applies one event, unless it was applied already."""

    def on_keepalive(self, connection: DiscoveryConnection) -> None:
        """Handles an empty frame, after the state of the connection was updated."""

    def on_discovery_connected(self, connection: DiscoveryConnection) -> None:
        """Records that a connection was established."""

    def on_discovery_bytes(self) -> None:
        """Records that bytes have arrived, before they are decoded."""

    def on_discovery_closed(self, connection: DiscoveryConnection, end: AttemptEnd) -> None:
        """Handles the end of a connection."""


class DiscoveryConnection:
    """One connection to the discovery service.

    Attributes:
        connection: The TCP connection.
        opened_at: When connecting began.
        is_established: The peer has accepted the connection.
        has_received: A frame has arrived.
        is_proved: An empty frame has shown that the service had nothing else for this connection, and the
            connection has not been silent since.
        last_received_at: When connecting began, it succeeded, or the last data arrived.
        delay: How late the frames arrive.
    """

    def __init__(self, receiver: UpdateReceiver, clock: Clock):
        self.connection: Connection
        self.opened_at = clock.now()
        self.is_established = False
        self.has_received = False
        self.is_proved = False
        self.last_received_at = self.opened_at
        self.delay = DeliveryDelay(self.opened_at)
        self._frame_started_at = self.opened_at  # when the latest frame began to arrive
        self._inactivity_timeout = INACTIVITY_TIMEOUT - random.randrange(INACTIVITY_JITTER)
        self._delivered_index = (
            0  # of the last event that this connection delivered, or that was known before
        )
        self._pending_number: int | None = None  # of an empty frame that names an event which is missing
        self._receiver = receiver
        self._clock = clock
        self._wire = discovery_wire.DiscoveryWire()

    def on_connected(self, connection: Connection) -> None:
        """Requests the events after the last one applied."""
        self.is_established = True
        self.last_received_at = self._clock.now()
        self.delay.on_requested(self.last_received_at)
        self._delivered_index = self._receiver.last_index
        self._receiver.on_discovery_connected(self)
        connection.write((discovery_wire.encode_hello(self._delivered_index),))

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Decodes events and applies them in order; closes the connection if they can't be parsed."""
        self.last_received_at = self._clock.now()
        self.delay.on_bytes(self.last_received_at)
        self._receiver.on_discovery_bytes()
        had_partial_frame = self._wire.has_partial_frame()
        updates, error = self._wire.feed(data)
        if updates or not had_partial_frame:
            self._frame_started_at = self.last_received_at
        for update in updates:
            self.has_received = True
            if isinstance(update, discovery_wire.Keepalive):
                self._on_keepalive(update.number)
            else:
                self._pending_number = None
                self._delivered_index = max(self._delivered_index, update.event_index)
                self._receiver.apply(update)
        if error is not None:
            logger.warning("discovery_unparsable error={}", error)
            connection.close(AttemptEnd.UNPARSABLE)

    def _on_keepalive(self, number: int) -> None:
        """Handles an empty frame, which shows that the service had nothing new when it wrote the frame.

        The protocol does not say which number such a frame carries. If it is that of an event that has not
        arrived on this connection, the next empty frame decides: unless an event came before it, the number
        means nothing. What another connection has delivered proves nothing about this one.
        """
        is_event_missing = number > self._delivered_index and number != self._pending_number
        self._pending_number = number
        self.delay.on_keepalive(self.last_received_at)
        self.is_proved = not is_event_missing
        self._receiver.on_keepalive(self)

    def overdue_time(self, now: int) -> int:
        """Returns the ticks for which bytes or the end of a frame have been overdue; 0 if they are not."""
        overdue_since = self.last_received_at + self._inactivity_timeout
        if self._wire.has_partial_frame():
            overdue_since = min(overdue_since, self._frame_started_at + FRAME_TIMEOUT)
        return max(0, now - overdue_since)

    def overdue_at(self) -> int:
        """Returns when the connection becomes silent unless bytes arrive."""
        return self.last_received_at + self._inactivity_timeout

    def status(self, now: int) -> ConnectionStatus:
        """Returns the state that decides whether the connection is kept."""
        return ConnectionStatus(
            age=now - self.opened_at,
            is_established=self.is_established,
            has_received=self.has_received,
            is_proved=self.is_proved,
            overdue_time=self.overdue_time(now),
            delay=self.delay.at(now),
        )

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Passes on the end of the connection."""
        self._receiver.on_discovery_closed(self, end)
