"""The datagrams with which directors exchange quota: at most 256 bytes, integers in network byte order.

A header is followed by entries. A request entry holds the bytes of a budget that the sender recently refused.
A grant entry is a counter that only rises: the total bytes of a budget that one incarnation of the sender has
granted to one incarnation of the recipient.
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

HEADER = struct.Struct(">2sHQI")  # magic, sender, sender incarnation, sequence number
REQUEST = struct.Struct(">BIQ")  # entry kind, budget key, bytes
GRANT = struct.Struct(">BIHQQ")  # entry kind, budget key, recipient, recipient incarnation, total bytes


class QuotaRequest(NamedTuple):
    """Bytes of a budget that the sender recently refused."""

    budget_key: int
    size: int


class QuotaGrant(NamedTuple):
    """The total bytes of a budget that the sender has granted to one incarnation of a peer."""

    budget_key: int
    recipient: int
    incarnation: int  # of the recipient
    total: int


class QuotaMessage(NamedTuple):
    """A decoded datagram."""

    sender: int
    incarnation: int  # of the sender
    sequence: int
    requests: tuple[QuotaRequest, ...]
    grants: tuple[QuotaGrant, ...]


def budget_key(name: str) -> int:
    """Returns the number that identifies a budget in datagrams, a hash of its name."""
    return xxhash.xxh32_intdigest(name)


def encode_header(sender: int, incarnation: int, sequence: int) -> bytes:
    """Encodes the header of a datagram."""
    return HEADER.pack(MAGIC, sender, incarnation, sequence & SEQUENCE_MASK)


def encode_requests(requests: Iterable[QuotaRequest]) -> list[bytes]:
    """Encodes request entries."""
    return [REQUEST.pack(REQUEST_ENTRY, *request) for request in requests]


def encode_grants(grants: Iterable[QuotaGrant]) -> list[bytes]:
    """Encodes grant entries."""
    return [GRANT.pack(GRANT_ENTRY, *grant) for grant in grants]


def decode(data: bytes) -> QuotaMessage | None:
    """Decodes a datagram; returns None for invalid data, as anyone may send a datagram."""
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
