"""Owns the bytes of a snapshot: a mark, a checksum and the account with its budgets.

It must never hand out what it can't prove whole: a torn, foreign or future one is told apart from a good one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
import xxhash

MARK = b"ironhinge-traffic-1\n"
SUM = 8


class Snapshot(NamedTuple):
    name: str  # the director's
    life: int  # Unix millisecond of its start
    number: int  # of the snapshot in that life
    plain: dict[str, Any]


class Torn(Exception):
    """The bytes are no whole snapshot."""


def pack(snapshot: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(list(snapshot))
    return MARK + xxhash.xxh64_digest(body) + body


def unpack(data: bytes) -> Snapshot:
    if not data.startswith(MARK):
        raise Torn("no snapshot of this version")
    body = data[len(MARK) + SUM :]
    if xxhash.xxh64_digest(body) != data[len(MARK) : len(MARK) + SUM]:
        raise Torn("its checksum does not fit: it was not written whole")
    try:
        name, life, number, plain = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, ValueError, TypeError) as fault:
        raise Torn(f"its bytes can't be read: {fault}") from None
    return Snapshot(name, life, number, plain)


def newest(found: Iterable[Snapshot]) -> Snapshot | None:
    """Of one director's: by time, then life and number, so that a clock set back does not bring back the
    past.
    """
    return max(found, key=lambda one: (one.plain["unix"], one.life, one.number), default=None)


def one_each(found: Iterable[Snapshot]) -> list[Snapshot]:
    """The newest of every director: what it had counted before is in it, and never counts twice."""
    by_name: dict[str, list[Snapshot]] = {}
    for one in found:
        by_name.setdefault(one.name, []).append(one)
    best: list[tuple[str, Snapshot | None]] = [(name, newest(all_)) for name, all_ in by_name.items()]
    return [one for _, one in sorted(best, key=lambda each: each[0]) if one is not None]
