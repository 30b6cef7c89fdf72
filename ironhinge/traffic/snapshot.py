"""The stored form of a snapshot: a magic line, a checksum, and a director's account with its budgets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import xxhash

from .errors import SnapshotError
from .state import AccountState

MAGIC = b"ironhinge-traffic-1\n"
CHECKSUM_BYTES = 8


class Snapshot(NamedTuple):
    """The state of a director's account at one time; its fields are stored in this order."""

    director: str
    incarnation: int  # Unix milliseconds of the director's start
    sequence: int  # number of the snapshot within the incarnation
    state: AccountState


_decoder = msgspec.msgpack.Decoder(Snapshot)


def pack(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + xxhash.xxh64_digest(body) + body


def unpack(data: bytes) -> Snapshot:
    """Decodes a snapshot.

    Raises:
        SnapshotError: The bytes are not a snapshot of this version, or they are incomplete or damaged.
    """
    if not data.startswith(MAGIC):
        raise SnapshotError(
            f"not a snapshot of this version: starts with {data[: len(MAGIC)]!r}, expected {MAGIC!r}"
        )
    checksum, body = data[len(MAGIC) :][:CHECKSUM_BYTES], data[len(MAGIC) + CHECKSUM_BYTES :]
    found = xxhash.xxh64_digest(body)
    if found != checksum:
        raise SnapshotError(
            f"checksum mismatch: the checksum of {len(body)} bytes is {found.hex()}, "
            f"the file has {checksum.hex() or 'none'}"
        )
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise SnapshotError(f"the records of the snapshot can't be read: {error}") from None


def newest(snapshots: Iterable[Snapshot]) -> Snapshot | None:
    """Returns the newest snapshot of one director.

    Billing time is compared before incarnation and sequence: the incarnation is read from the system clock,
    which may have been set back, and an older snapshot must not win then.
    """
    return max(
        snapshots,
        key=lambda snapshot: (snapshot.state.unix_ms, snapshot.incarnation, snapshot.sequence),
        default=None,
    )


def newest_by_director(snapshots: Iterable[Snapshot]) -> list[Snapshot]:
    """Returns the newest snapshot of each director, sorted by name; it includes what older ones counted."""
    by_director: dict[str, list[Snapshot]] = {}
    for snapshot in snapshots:
        by_director.setdefault(snapshot.director, []).append(snapshot)
    latest = (newest(by_director[name]) for name in sorted(by_director))
    return [snapshot for snapshot in latest if snapshot is not None]
