"""Owns the coordinator's frames: numbered changes of the list of nodes, and purges.

It must never know a socket or hold the list; all it remembers is a frame begun and not yet whole.
"""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from .. import interface
from ..config import Address, EndpointListUpdate, EndpointRecord, PurgeUpdate
from ..interface import EndpointState

RECORD = struct.Struct(">I4sHBBBHIQ")
HEAD = 9  # number and kind
MOST = 16_777_216
STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED)
NOTHING, WHOLE, CHANGES, OBJECT, GROUP = range(5)


class UnparsableError(Exception):
    """The bytes are no frame of the coordinator's."""


class Keepalive(NamedTuple):
    """Nothing new, but the coordinator lives."""


def hello(number: int) -> bytes:
    """What a director writes first: the last event that it has."""
    return number.to_bytes(8, "big")


def _listing(values: tuple[Any, ...]) -> EndpointRecord:
    name, host, port, state, zone, kind, cell, weight, started = values
    if state >= len(STATES):
        raise UnparsableError(f"a record with state {state}")
    row = interface.Endpoint(f"s-{name:08x}", STATES[state], cell, zone, 0, weight / 1000, kind)
    return EndpointRecord(row, Address(".".join(map(str, host)), port), started)


def _news(data: bytes) -> Any:
    number, kind, rest = int.from_bytes(data[:8], "big"), data[8], data[HEAD:]
    if kind == NOTHING:
        return Keepalive()
    if kind in (WHOLE, CHANGES):
        if len(rest) % RECORD.size:
            raise UnparsableError(f"records of {len(rest)} bytes")
        return EndpointListUpdate(number, kind == WHOLE, tuple(map(_listing, RECORD.iter_unpack(rest))))
    width = {OBJECT: 8, GROUP: 2}.get(kind)
    if width is None or len(rest) != width + 8:
        raise UnparsableError(f"a frame of kind {kind} and {len(rest)} bytes")
    what, at = int.from_bytes(rest[:width], "big"), int.from_bytes(rest[width:], "big")
    return PurgeUpdate(number, what, 0, at) if kind == OBJECT else PurgeUpdate(number, None, what, at)


class DiscoveryWire:
    """Fed the bytes of one connection in any pieces."""

    __slots__ = ("_buffered",)

    def __init__(self) -> None:
        self._buffered = bytearray()

    def feed(self, data: memoryview) -> tuple[list[Any], UnparsableError | None]:
        """The news that are whole now, and what made the rest unreadable, if anything did."""
        out: list[Any] = []
        self._buffered += data
        at, fault = 0, None
        try:
            while len(self._buffered) - at >= 4:
                length = int.from_bytes(self._buffered[at : at + 4], "big")
                if not HEAD <= length <= MOST:
                    raise UnparsableError(f"a frame of {length} bytes")
                if len(self._buffered) - at < 4 + length:
                    break
                out.append(_news(bytes(self._buffered[at + 4 : at + 4 + length])))
                at += 4 + length
        except UnparsableError as found:
            fault = found
        del self._buffered[:at]
        return out, fault
