"""Which connections to the discovery service are kept: decisions without I/O.

A timeout can't tell a slow connection from a dead one. So a connection that has become silent is kept while a
second one is tried, and one of the two is closed once the other is proved: an empty frame has arrived on it,
which shows that it has delivered all that the service held. If both are silent, the one that is less likely
to deliver anything makes room for another attempt.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from .clock import SECOND
from .delivery_delay import KEEPALIVE_INTERVAL

# Until a connection that has delivered frames makes room; the second one was established and is silent too.
PROVED_PATIENCE = 2 * SECOND
CONNECTING_PATIENCE = 2 * SECOND  # for the newer of two connections to be established
NEW_PATIENCE = 10 * SECOND  # for the first bytes of a new connection; longer than paths are late
# Two connections over the same path differ by this much at most: the first empty frame of the newer one is
# written up to `KEEPALIVE_INTERVAL` after the request.
DELAY_TOLERANCE = KEEPALIVE_INTERVAL + SECOND // 4


class Choice(Enum):
    """What to do with the connections."""

    KEEP = auto()
    OPEN_SECOND = auto()  # keep the silent connection, and open another one
    CLOSE_OLDER = auto()
    CLOSE_NEWER = auto()
    REPLACE_OLDER = auto()  # close it, and open another one
    REPLACE_NEWER = auto()


class ConnectionStatus(NamedTuple):
    """The state of one connection at an instant; all times in ticks.

    Attributes:
        age: Time since connecting began.
        is_established: The peer has accepted the connection.
        has_received: A frame has arrived on it.
        is_proved: Since the connection was last silent, an empty frame has shown that nothing is missing.
        overdue_time: Time for which it has been overdue: without bytes, or within one frame; 0: not overdue.
        delay: How late its frames arrive.
    """

    age: int
    is_established: bool
    has_received: bool
    is_proved: bool
    overdue_time: int
    delay: int


def choose(older: ConnectionStatus, newer: ConnectionStatus | None) -> Choice:
    """Returns what to do with one or two connections."""
    if newer is None:
        return Choice.OPEN_SECOND if older.overdue_time else Choice.KEEP
    if newer.is_proved:
        is_older_better = older.is_proved and older.delay + DELAY_TOLERANCE < newer.delay
        return Choice.CLOSE_NEWER if is_older_better else Choice.CLOSE_OLDER
    if older.is_proved:
        is_newer_later = newer.age > older.delay + DELAY_TOLERANCE
        return Choice.CLOSE_NEWER if is_newer_later else Choice.KEEP
    if older.overdue_time and newer.overdue_time:
        return _choose_between_overdue(older, newer)
    return Choice.KEEP


def _choose_between_overdue(older: ConnectionStatus, newer: ConnectionStatus) -> Choice:
    """Returns which of two silent connections makes room.

    If the path is slow, the newer one delivers all that is on its way to the older one too, a little later.
    If the older one is dead, only the newer one does. But one that is not established proves nothing.
    """
    is_older_doubtful = older.has_received and newer.is_established
    if older.overdue_time >= (PROVED_PATIENCE if is_older_doubtful else NEW_PATIENCE):
        return Choice.REPLACE_OLDER
    if newer.age >= (NEW_PATIENCE if newer.is_established else CONNECTING_PATIENCE):
        return Choice.REPLACE_NEWER
    return Choice.KEEP
