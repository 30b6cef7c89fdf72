"""The records of loaded settings, which other packages read.

Their fields are those of `schema.cue`, which defines their bounds and defaults; `name=` gives the key of a
field whose key differs from its name. The values are those of the operators' files or the schema's defaults.
Sizes are in bytes, rates in bytes per second and durations (`Span`) in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .units import Rate, Size, Span, parse_quantity, unit_name_of


class Emergency(msgspec.Struct, frozen=True):
    """The extra allowance of a budget for diverted fills, which is used once the budget is exhausted.

    A fill is diverted if it comes from the origin or a hub, but not from the preferred hub of its object.
    """

    rate: Rate
    remember: Span  # how long a hub that was removed from the endpoint list can remain preferred
    burst: Size | None = None
    sum: Size | None = None


class Streams(msgspec.Struct, frozen=True):
    """How much of a budget is reserved for open streams of parts, ahead of all other fills."""

    part: float  # share of the rate and burst that may be reserved
    idle: Span  # a stream ends at the latest after this time without a request
    interval: Span  # assumed time between two parts until it has been measured


class Budget(msgspec.Struct, frozen=True):
    """A limit on the bytes of the fills that match all its criteria: a rate, a sum per period, or both."""

    routes: tuple[str, ...] = msgspec.field(name="ways")
    scope: str  # "branch" or "all": the directors that share the budget
    ahead: float  # share of the sum that may be spent ahead of an even pace over the period
    begin: str  # "empty" or "full": the buckets of a director that starts without a snapshot
    destination_zone: str | None = msgspec.field(name="into", default=None)
    source_zone: str | None = msgspec.field(name="out_of", default=None)
    request_classes: tuple[str, ...] | None = msgspec.field(name="vhosts", default=None)
    within: str | None = None  # name of an enclosing budget, which must have room as well
    rate: Rate | None = None
    burst: Size | None = None
    sum: Size | None = None
    emergency: Emergency | None = None
    streams: Streams | None = None


class Price(msgspec.Struct, frozen=True):
    """The price per gigabyte of the fills that match all its criteria."""

    routes: tuple[str, ...] = msgspec.field(name="ways")
    per_gb: float
    destination_zone: str | None = msgspec.field(name="into", default=None)
    source_zone: str | None = msgspec.field(name="out_of", default=None)


class SnapshotSettings(msgspec.Struct, frozen=True):
    """Where and how often snapshots of the traffic account are stored."""

    folder: str
    every: Span


class Metrics(msgspec.Struct, frozen=True):
    """The address on which the traffic account is exposed to a metrics system."""

    port: int
    host: str


class QuotaSharing(msgspec.Struct, frozen=True):
    """How directors exchange unused budget with each other."""

    every: Span
    grant_ratio: float = msgspec.field(name="give")  # share of a surplus that is granted to peers


class Traffic(msgspec.Struct, frozen=True):
    """Accounting of the bytes that fills transfer, and the budgets that limit them."""

    period: Span  # of billing
    max_streams: int = msgspec.field(name="most_streams")
    distributions: bool
    prices: tuple[Price, ...]
    budgets: dict[str, Budget] = {}
    keep: SnapshotSettings | None = None
    metrics: Metrics | None = None
    share: QuotaSharing | None = None


class Disk(msgspec.Struct, frozen=True):
    """The director's own cache tier on disk."""

    folder: str
    capacity: Size = msgspec.field(name="room")
    segment_size: Size = msgspec.field(name="segment")
    max_entries: int = msgspec.field(name="entries")
    read_timeout: Span = msgspec.field(name="patience")
    object_share: float  # largest share of the capacity for the parts of one object
    class_share: float  # largest share of the capacity for parts of one size class
    background: Rate  # bytes read and written by compaction, checkpoints and scrubs
    write: Rate | None = None  # limits the admission of new copies, as writes wear out the disk


class Operations(msgspec.Struct, frozen=True):
    """All settings of the operators; a feature whose field is None is disabled."""

    traffic: Traffic | None = None
    disk: Disk | None = None


def to_operations(plain: Any) -> Operations:
    """Converts plain objects to records; the objects must satisfy the schema."""
    return msgspec.convert(plain, Operations, dec_hook=_decode_quantity)


def _decode_quantity(quantity_type: type, text: Any) -> Any:
    return parse_quantity(unit_name_of(quantity_type), text)
