"""Owns the words of the account: ways, uses, crossings, and what is told to the ledger.

Times are tenths of a millisecond on the front's clock, instants outside Unix milliseconds, sizes bytes unless
they say KB.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union

from ..interface import EndpointsUpdated, RequestReceived


class Way(IntEnum):
    """Where what is carried comes from, as seen from the cache's location."""

    OWN_HUB = 0
    OTHER_HUB = 1
    ORIGIN = 2
    NEIGHBOUR = 3


class Use(IntEnum):
    """What became of it."""

    KEPT = 0  # answered a req, and a copy was to be kept
    UNKEPT = 1  # answered a req and passed through
    REPEATED = 2  # answered a req for which bytes had crossed before
    WASTED = 3  # answered nobody: the client had gone, it timed out, it broke off, it was renewed behind


WAYS = {Way.OWN_HUB: "own-hub", Way.OTHER_HUB: "other-hub", Way.ORIGIN: "origin", Way.NEIGHBOUR: "neighbour"}
USES = {Use.KEPT: "kept", Use.UNKEPT: "unkept", Use.REPEATED: "repeated", Use.WASTED: "wasted"}
PLACES = {name: way for way, name in WAYS.items()}


class Crossing(NamedTuple):
    """One kind of crossing: what the report can tell apart."""

    into: int  # zone of the cache; -1: the rest, once there are too many kinds
    out_of: int  # zone of the source
    way: Way
    use: Use
    vhost: int
    forced: bool  # its object's own hub cache was not to be had


class Sent(NamedTuple):
    """A dispatch went out."""

    came: RequestReceived
    node: str
    source: str  # empty: no fill
    rank: int
    renew: bool


class Ended(NamedTuple):
    """It came to its one end. `body` is None where the answer held none of the bytes."""

    id: str
    result: str
    note: int
    body: int | None
    took: int
    gone: bool  # its client had left or been answered


class Tick(NamedTuple):
    """Time has passed; the system's clock says this."""

    unix_ms: int


class Heard(NamedTuple):
    """A datagram of a peer."""

    sender: int
    data: bytes


Told = Union[EndpointsUpdated, Sent, Ended, Tick, Heard]


class Tell(NamedTuple):
    """To be sent to every peer, if it can be."""

    data: bytes


class Note(NamedTuple):
    """Something that an operator should know."""

    text: str


Doing = Union[Tell, Note]
