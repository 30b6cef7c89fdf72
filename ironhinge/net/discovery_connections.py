"""Keeps a connection to the discovery service, and a second one while the first one is silent.

`discovery_choice` decides which connections are kept, `ConnectPacer` when the next one may be opened. Events
are taken from whichever connection delivers them; the receiver applies each event once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
from loguru import logger

from ..config import Address
from .attempt_end import AttemptEnd
from .clock import SECOND, Clock
from .connect_pacer import ConnectPacer
from .connection_manager import ConnectionManager
from .discovery_choice import Choice, ConnectionStatus, choose
from .discovery_connection import DiscoveryConnection, UpdateReceiver

MAX_CHECK_INTERVAL = SECOND // 4
CONNECT_TIMEOUT = 10.0  # seconds; a second attempt is made long before
CLOSES_OLDER = Choice.CLOSE_OLDER, Choice.REPLACE_OLDER
CLOSES_NEWER = Choice.CLOSE_NEWER, Choice.REPLACE_NEWER
OPENS = Choice.OPEN_SECOND, Choice.REPLACE_OLDER, Choice.REPLACE_NEWER


class LastEnd(NamedTuple):
    """Why a connection was ended last, for the log."""

    reason: str
    idle_s: float  # time without bytes before the end, in seconds


class DiscoveryConnections:
    """The connections to one address of the discovery service, at most two.

    Attributes:
        connections: The connections, oldest first.
        opened: Connections that were begun.
        last_end: Why a connection was ended last; None: none was.
    """

    def __init__(
        self,
        receiver: UpdateReceiver,
        manager: ConnectionManager,
        clock: Clock,
        address: Callable[[], Address | None],
        on_checked: Callable[[], None],
    ):
        """Opens nothing yet.

        Args:
            receiver: Applies the events.
            manager: Opens the connections.
            clock: The time.
            address: Returns the configured address; None: there is no service to follow.
            on_checked: Called after each check of the connections.
        """
        self.connections: list[DiscoveryConnection] = []
        self.opened = 0
        self.last_end: LastEnd | None = None
        self._receiver = receiver
        self._manager = manager
        self._clock = clock
        self._address = address
        self._on_checked = on_checked
        self._pacer = ConnectPacer()
        self._changed = anyio.Event()

    def delay(self, now: int) -> int | None:
        """Returns how late the frames of the best proved connection arrive; None: none is proved."""
        delays = [each.delay.at(now) for each in self.connections if each.is_proved]
        return min(delays, default=None)

    def catch_up(self, max_age: float) -> None:
        """Reads what has arrived, unless nothing older than `max_age` seconds can be unread."""
        for each in tuple(self.connections):
            each.connection.catch_up(max_age)

    def on_keepalive(self) -> None:
        """Checks the connections soon: one of them may have become superfluous."""
        if len(self.connections) > 1:
            self._changed.set()

    def on_established(self) -> None:
        """Records that a connection was established."""
        self._pacer.on_established(self._clock.now(), is_second=len(self.connections) > 1)

    def on_closed(self, closed: DiscoveryConnection, end: AttemptEnd) -> None:
        """Removes a connection that has ended for another reason than a choice of ours."""
        if closed not in self.connections:
            return
        self._pacer.on_lost(self._clock.now(), closed.has_received)
        self._remove(closed, end.name.lower())
        self._changed.set()

    def move(self) -> None:
        """Closes all connections; the next one leads to the address that is configured now."""
        self._pacer.reset()
        for each in tuple(self.connections):
            self._close(each, "moved")
        self._changed.set()

    async def run(self) -> None:
        """Keeps the service connected until cancelled."""
        while True:
            self._changed = anyio.Event()
            self.check()
            with anyio.move_on_after(self._clock.seconds(self._time_to_next_check())):
                await self._changed.wait()

    def check(self) -> None:
        """Opens and closes connections as they need it now."""
        address = self._address()
        if address is not None:
            self._read_overdue_connections()
            self._check_connections(address)
        self._on_checked()

    def _time_to_next_check(self) -> int:
        now = self._clock.now()
        due = [each.overdue_at() + 1 for each in self.connections]
        due += [self._pacer.next_at()]
        return min([each - now for each in due if each > now] + [MAX_CHECK_INTERVAL])

    def _read_overdue_connections(self) -> None:
        """Reads connections that seem to be silent: this process may have been late to read."""
        for each in tuple(self.connections):
            if each.overdue_time(self._clock.now()):
                each.connection.read_now()
            if each.overdue_time(self._clock.now()):
                each.is_proved = False

    def _check_connections(self, address: Address) -> None:
        now = self._clock.now()
        may_open = self._pacer.may_open(now)
        if not self.connections:
            if may_open:
                self._open(address)
            return
        older, newer = self.connections[0], self.connections[-1]
        choice = choose(older.status(now), None if older is newer else newer.status(now))
        if choice in OPENS and not may_open:
            return
        reason = "silent" if choice in OPENS else "superseded"
        if choice in CLOSES_OLDER:
            self._close(older, reason)
        elif choice in CLOSES_NEWER:
            self._close(newer, reason)
        if choice in OPENS:
            self._open(address)

    def _open(self, address: Address) -> None:
        now = self._clock.now()
        if self.connections:
            self._pacer.on_second_opened(now)
        for each in self.connections:
            _log_inactivity(each.status(now))
        opened = DiscoveryConnection(self._receiver, self._clock)
        self.connections.append(opened)
        self.opened += 1
        opened.connection = self._manager.connect(opened, address, CONNECT_TIMEOUT, may_use_reserve=True)

    def _close(self, closed: DiscoveryConnection, reason: str) -> None:
        self._remove(closed, reason)
        closed.connection.close(AttemptEnd.CLOSED)

    def _remove(self, removed: DiscoveryConnection, reason: str) -> None:
        self.connections.remove(removed)
        now = self._clock.now()
        self.last_end = LastEnd(reason, self._clock.seconds(now - removed.last_received_at))
        log = logger.info if reason in ("superseded", "moved") else logger.warning
        log(
            "discovery_connection_lost reason={} index={} silent_s={:.3f} delay_s={:.3f} age_s={:.3f} "
            "remaining={}",
            reason,
            self._receiver.last_index,
            self.last_end.idle_s,
            self._clock.seconds(removed.delay.at(now)),
            self._clock.seconds(now - removed.opened_at),
            len(self.connections),
        )


def _log_inactivity(status: ConnectionStatus) -> None:
    logger.warning(
        "discovery_silent established={} age_s={:.3f} delay_s={:.3f} action=second_connection",
        status.is_established,
        Clock.seconds(status.age),
        Clock.seconds(status.delay),
    )
