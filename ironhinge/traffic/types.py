"""Types of the account: routes, outcomes and kinds of transfers, and the events and commands of the ledger.

Times are in clock units, tenths of a millisecond on the host's monotonic clock, unless named as Unix
milliseconds. Other packages call this unit a tick; here a tick is the periodic event `ClockTick`. Sizes are
in bytes unless named as KB.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from ..interface import AttemptResult, CacheStatus, EndpointsUpdated, RequestReceived

CLOCK_UNITS_PER_MS = 10
CLOCK_UNITS_PER_SECOND = 10_000


class Route(IntEnum):
    """Where the bytes of a fill come from, relative to the location of the cache; stored in snapshots."""

    OWN_HUB = 0  # a parent in the hub of this location
    OTHER_HUB = 1  # a parent in another hub
    ORIGIN = 2
    NEIGHBOUR = 3  # another cache


class Outcome(IntEnum):
    """What the bytes of a fill were used for; stored in snapshots."""

    STORED = 0  # answered a request; the cache was asked to store a copy
    PASSED_THROUGH = 1  # answered a request; the cache was not asked to store a copy
    REPEATED = 2  # answered a request for which an earlier attempt had transferred bytes
    WASTED = 3  # used in no answer: client disconnected, timeout, broken transfer, background revalidation


class TransferKind(NamedTuple):
    """The attributes by which reports distinguish transfers; -1 is a zone or class not distinguished."""

    destination_zone: int  # zone of the cache
    source_zone: int
    route: Route
    outcome: Outcome
    class_index: int
    diverted: bool  # the source is a parent or the origin, but not the preferred hub of the object


class DirectorIdentity(NamedTuple):
    """The director that an account belongs to, and the names of zones and request classes by index."""

    name: str
    zones: tuple[str, ...]
    request_classes: tuple[str, ...]
    peer_index: int  # index of this director in the list of peers


class ClockReading(NamedTuple):
    """A simultaneous reading of the monotonic clock and the system clock."""

    now: int  # monotonic clock
    unix_ms: int  # system clock


class AttemptStarted(NamedTuple):
    """An attempt was sent to an endpoint."""

    request: RequestReceived
    endpoint_id: str
    source_id: str  # endpoint that a miss is filled from; empty: no fill
    admission_rank: int  # 0: the endpoint does not store a copy
    revalidates: bool  # a stale copy may be served while the fill revalidates it


class AttemptEnded(NamedTuple):
    """An attempt ended; reported once per attempt."""

    request_id: str
    result: AttemptResult
    cache_status: CacheStatus
    body_size: int | None  # None: no body was received
    duration: int
    client_disconnected: bool  # or cancelled the request


class ClockTick(NamedTuple):
    """A periodic event with the current reading of the system clock."""

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
    """Write a log event with its fields."""

    event: str
    fields: Mapping[str, object]


LedgerCommand = BroadcastDatagram | LogNotice
