"""The datagrams by which directors exchange quota: at most 256 bytes, integers in network byte order.

A header is followed by entries. A request entry tells the bytes of a budget that its sender refused lately. A
grant entry is a counter that only rises: all bytes of a budget that went from one incarnation of the sender
to one incarnation of the recipient.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

MAX_BYTES = 256
MAGIC = b"i1"
REQUEST_ENTRY, GRANT_ENTRY = 1, 2
SEQUENCE_MASK = 0xFFFFFFFF

HEADER = struct.Struct(">2sHQI")  # magic, sender, its incarnation, sequence number
REQUEST = struct.Struct(">BIQ")  # entry kind, budget, bytes
GRANT = struct.Struct(">BIHQQ")  # entry kind, budget, recipient, its incarnation, bytes in all


class QuotaRequest(NamedTuple):
    """Bytes of a budget that the sender refused lately."""

    budget_key: int
    size: int


class QuotaGrant(NamedTuple):
    """All bytes of a budget that the sender granted to one incarnation of a peer."""

    budget_key: int
    recipient: int
    incarnation: int
    total: int


class QuotaMessage(NamedTuple):
    """One datagram, read."""

    sender: int
    incarnation: int
    sequence: int
    requests: tuple[QuotaRequest, ...]
    grants: tuple[QuotaGrant, ...]


def budget_key(name: str) -> int:
    """The number that stands for a budget's name."""
    return xxhash.xxh32_intdigest(name)


def encode_header(sender: int, incarnation: int, sequence: int) -> bytes:
    """The beginning of a datagram."""
    return HEADER.pack(MAGIC, sender, incarnation, sequence & SEQUENCE_MASK)


def encode_requests(requests: Iterable[QuotaRequest]) -> list[bytes]:
    """The entries of requests."""
    return [REQUEST.pack(REQUEST_ENTRY, *request) for request in requests]


def encode_grants(grants: Iterable[QuotaGrant]) -> list[bytes]:
    """The entries of grants."""
    return [GRANT.pack(GRANT_ENTRY, *grant) for grant in grants]


def decode(data: bytes) -> QuotaMessage | None:
    """Reads a datagram; None for what is not one of ours, as a datagram may hold anything."""
    if not HEADER.size <= len(data) <= MAX_BYTES:
        return None
    magic, sender, incarnation, sequence = HEADER.unpack_from(data)
    if magic != MAGIC:
        return None
    requests: list[QuotaRequest] = []
    grants: list[QuotaGrant] = []
    offset = HEADER.size
    try:
        while offset < len(data):
            if data[offset] == REQUEST_ENTRY:
                requests.append(QuotaRequest(*REQUEST.unpack_from(data, offset)[1:]))
                offset += REQUEST.size
            elif data[offset] == GRANT_ENTRY:
                grants.append(QuotaGrant(*GRANT.unpack_from(data, offset)[1:]))
                offset += GRANT.size
            else:
                return None
    except struct.error:
        return None
    return QuotaMessage(sender, incarnation, sequence, tuple(requests), tuple(grants))
