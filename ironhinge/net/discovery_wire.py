"""The discovery service's protocol: numbered changes of the endpoint list, and purges.

A frame is a length (4 bytes, big-endian, counting the bytes after it), the event's index (8 bytes), a kind
(1 byte) and a payload. This module does no I/O and does not store the list; the only state of a connection is
an incomplete frame.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, NamedTuple

from ..config import Address, EndpointListUpdate, EndpointRecord, PurgeUpdate
from ..interface import Endpoint, EndpointState
from .errors import UnparsableError

__all__ = ["DiscoveryEvent", "DiscoveryWire", "FrameKind", "Keepalive", "UnparsableError", "encode_hello"]

INDEX_BYTES = 8  # size of an event's index
LENGTH_BYTES = 4  # size of the field that holds a frame's length
HEADER_BYTES = INDEX_BYTES + 1  # index and kind
MAX_FRAME_LENGTH = 16_777_216  # limit of the protocol

# id, IPv4 address, port, state, zone, kind, cell, weight in thousandths, start as Unix time in milliseconds
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")
ENDPOINT_STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED)
OBJECT_PURGE = struct.Struct(">QQ")  # object, Unix time in milliseconds
GROUP_PURGE = struct.Struct(">HQ")  # group, Unix time in milliseconds


class FrameKind(IntEnum):
    """The kind of a frame's payload."""

    KEEPALIVE = 0
    FULL_LIST = 1
    LIST_CHANGES = 2
    PURGE_OBJECT = 3
    PURGE_GROUP = 4


class Keepalive(NamedTuple):
    """Shows that the discovery service is alive and had no new events when it wrote the frame."""

    number: int  # the protocol does not say what it means; services use the index of the last event, or 0


DiscoveryEvent = Keepalive | EndpointListUpdate | PurgeUpdate


def encode_hello(last_index: int) -> bytes:
    """Encodes a client's first message: the index of the last event that it has applied."""
    return last_index.to_bytes(INDEX_BYTES, "big")


def _decode_record(values: tuple[Any, ...]) -> EndpointRecord:
    number, host, port, state, zone, kind, cell, weight, started_unix_ms = values
    if state >= len(ENDPOINT_STATES):
        raise UnparsableError(f"unknown endpoint state {state}")
    endpoint = Endpoint(
        id=f"s-{number:08x}",
        state=ENDPOINT_STATES[state],
        cell=cell,
        zone=zone,
        started_at=0,
        weight=weight / 1000,
        kind=kind,
    )
    return EndpointRecord(endpoint, Address(".".join(map(str, host)), port), started_unix_ms)


def _decode_frame(data: bytes) -> DiscoveryEvent:
    index = int.from_bytes(data[:INDEX_BYTES], "big")
    kind = data[INDEX_BYTES]
    payload = data[HEADER_BYTES:]
    match kind:
        case FrameKind.KEEPALIVE:
            return Keepalive(index)
        case FrameKind.FULL_LIST | FrameKind.LIST_CHANGES:
            if len(payload) % ENDPOINT_RECORD.size:
                raise UnparsableError(
                    f"payload of {len(payload)} bytes is not a whole number of endpoint records"
                )
            records = tuple(map(_decode_record, ENDPOINT_RECORD.iter_unpack(payload)))
            return EndpointListUpdate(index, kind == FrameKind.FULL_LIST, records)
        case FrameKind.PURGE_OBJECT if len(payload) == OBJECT_PURGE.size:
            object_id, unix_ms = OBJECT_PURGE.unpack(payload)
            return PurgeUpdate(index, object_id, 0, unix_ms)
        case FrameKind.PURGE_GROUP if len(payload) == GROUP_PURGE.size:
            group, unix_ms = GROUP_PURGE.unpack(payload)
            return PurgeUpdate(index, None, group, unix_ms)
    raise UnparsableError(f"unknown frame kind {kind}, or wrong payload size of {len(payload)} bytes for it")


class DiscoveryWire:
    """Decodes the bytes of one connection, which may arrive in pieces of any size."""

    __slots__ = ("_buffered",)

    def __init__(self) -> None:
        self._buffered = bytearray()

    def has_partial_frame(self) -> bool:
        """Returns whether a frame has begun to arrive and is not complete."""
        return bool(self._buffered)

    def feed(self, data: memoryview) -> tuple[list[DiscoveryEvent], UnparsableError | None]:
        """Decodes more bytes.

        Returns:
            The events that are now complete, and the error after which nothing can be decoded, if any.
        """
        events: list[DiscoveryEvent] = []
        self._buffered += data
        offset = 0
        error = None
        try:
            while len(self._buffered) - offset >= LENGTH_BYTES:
                start = offset + LENGTH_BYTES
                end = start + int.from_bytes(self._buffered[offset:start], "big")
                if not HEADER_BYTES <= end - start <= MAX_FRAME_LENGTH:
                    raise UnparsableError(f"frame length of {end - start} bytes is out of range")
                if len(self._buffered) < end:
                    break
                events.append(_decode_frame(bytes(self._buffered[start:end])))
                offset = end
        except UnparsableError as exc:
            error = exc
        del self._buffered[:offset]
        return events, error
