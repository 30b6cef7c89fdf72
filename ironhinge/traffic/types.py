"""The terms of the account: routes, outcomes, kinds of transfers, and the events and commands of the ledger.

Times are tenths of a millisecond on the front's monotonic clock ("clock units") unless they say Unix
milliseconds; sizes are bytes unless they say KB.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from ..interface import AttemptResult, CacheStatus, EndpointsUpdated, RequestReceived

CLOCK_UNITS_PER_MS = 10
CLOCK_UNITS_PER_SECOND = 10_000


class Route(IntEnum):
    """Where the bytes of a fill come from, as seen from the location of the cache; stored in snapshots."""

    OWN_HUB = 0
    OTHER_HUB = 1
    ORIGIN = 2
    NEIGHBOUR = 3


class Outcome(IntEnum):
    """What became of the bytes of a fill; stored in snapshots."""

    STORED = 0  # answered a request, and the cache was to store a copy
    PASSED_THROUGH = 1  # answered a request and was not stored
    REPEATED = 2  # answered a request for which bytes had been transferred before
    WASTED = 3  # answered nobody: disconnected, timed out, broken off, or revalidated in the background


class TransferKind(NamedTuple):
    """All that a report can tell transfers apart by; a zone or class of -1 stands for any other."""

    destination_zone: int  # of the cache
    source_zone: int
    route: Route
    outcome: Outcome
    class_index: int
    diverted: bool  # it came from another hub than the one that its object prefers


class DirectorIdentity(NamedTuple):
    """Whose account it is, and the names of the zones and request classes that its indices stand for."""

    name: str
    zones: tuple[str, ...]
    request_classes: tuple[str, ...]
    peer_index: int  # its place in the list of peers


class ClockReading(NamedTuple):
    """Both clocks, read at the same moment."""

    now: int
    unix_ms: int


class AttemptStarted(NamedTuple):
    """An attempt was sent to an endpoint."""

    request: RequestReceived
    endpoint_id: str
    source_id: str  # where a miss is filled from; empty: no fill
    admission_rank: int  # 0: no copy is stored
    revalidates: bool  # a stale copy may answer while the fill renews it


class AttemptEnded(NamedTuple):
    """An attempt came to its one end."""

    request_id: str
    result: AttemptResult
    cache_status: CacheStatus
    body_size: int | None  # None: the answer held none of the bytes
    duration: int
    request_closed: bool  # the client had disconnected or had been answered


class ClockTick(NamedTuple):
    """Time has passed; `unix_ms` is what the system's clock reads."""

    unix_ms: int


class DatagramReceived(NamedTuple):
    """A datagram from a peer director."""

    sender: int
    data: bytes


LedgerEvent = EndpointsUpdated | AttemptStarted | AttemptEnded | ClockTick | DatagramReceived


class BroadcastDatagram(NamedTuple):
    """Send the data to every peer director; it may be lost."""

    data: bytes


class LogNotice(NamedTuple):
    """Write an event with its fields to the log."""

    event: str
    fields: Mapping[str, object]


LedgerCommand = BroadcastDatagram | LogNotice
