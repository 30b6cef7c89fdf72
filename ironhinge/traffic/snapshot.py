"""The bytes of a snapshot: a magic line, a checksum, and a director's account with its budgets."""

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
    """One snapshot; its fields are stored in this order."""

    director: str
    incarnation: int  # Unix millisecond of the director's start
    sequence: int  # of the snapshot in that incarnation
    state: AccountState


_decoder = msgspec.msgpack.Decoder(Snapshot)


def pack(snapshot: Snapshot) -> bytes:
    """The bytes of a snapshot."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + xxhash.xxh64_digest(body) + body


def unpack(data: bytes) -> Snapshot:
    """Reads the bytes of a snapshot.

    Raises:
        SnapshotError: They are no snapshot of this version, or not all of one.
    """
    if not data.startswith(MAGIC):
        raise SnapshotError(f"no snapshot of this version: it begins {data[: len(MAGIC)]!r}, not {MAGIC!r}")
    checksum, body = data[len(MAGIC) :][:CHECKSUM_BYTES], data[len(MAGIC) + CHECKSUM_BYTES :]
    found = xxhash.xxh64_digest(body)
    if found != checksum:
        raise SnapshotError(
            f"not written whole: the checksum of {len(body)} bytes is {found.hex()}, "
            f"expected {checksum.hex() or 'one'}"
        )
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise SnapshotError(f"the records of the snapshot can't be read: {error}") from None


def newest(snapshots: Iterable[Snapshot]) -> Snapshot | None:
    """The newest snapshot of one director.

    Billing time goes before incarnation and sequence, so that a system clock that was set back does not
    bring back the past.
    """
    return max(
        snapshots,
        key=lambda snapshot: (snapshot.state.unix_ms, snapshot.incarnation, snapshot.sequence),
        default=None,
    )


def newest_by_director(snapshots: Iterable[Snapshot]) -> list[Snapshot]:
    """The newest snapshot of each director, by name; it holds all that the director counted before."""
    by_director: dict[str, list[Snapshot]] = {}
    for snapshot in snapshots:
        by_director.setdefault(snapshot.director, []).append(snapshot)
    latest = (newest(by_director[name]) for name in sorted(by_director))
    return [snapshot for snapshot in latest if snapshot is not None]
