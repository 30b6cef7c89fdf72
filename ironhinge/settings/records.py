"""The records of settings that other packages read.

Their fields are those of `schema.cue`, which has their bounds and defaults; where a field has another name
than its key, the key stands beside it. They hold what an operator wrote or the schema gives. Sizes are bytes,
rates bytes a second, spans ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .units import Rate, Size, Span, parse_quantity, unit_name_of


class Emergency(msgspec.Struct, frozen=True):
    """What forced transfers may draw besides, once a budget is spent."""

    rate: Rate
    remember: Span
    burst: Size | None = None
    sum: Size | None = None


class Streams(msgspec.Struct, frozen=True):
    """How streams of parts that were begun are preferred to all else."""

    part: float
    idle: Span
    interval: Span


class Budget(msgspec.Struct, frozen=True):
    """A budget of the fills that match all it names; it has a rate, a sum, or both."""

    routes: tuple[str, ...] = msgspec.field(name="ways")
    scope: str
    ahead: float
    begin: str
    destination_zone: str | None = msgspec.field(name="into", default=None)
    source_zone: str | None = msgspec.field(name="out_of", default=None)
    request_classes: tuple[str, ...] | None = msgspec.field(name="vhosts", default=None)
    within: str | None = None
    rate: Rate | None = None
    burst: Size | None = None
    sum: Size | None = None
    emergency: Emergency | None = None
    streams: Streams | None = None


class Price(msgspec.Struct, frozen=True):
    """What a gigabyte of the fills costs that match all it names."""

    routes: tuple[str, ...] = msgspec.field(name="ways")
    per_gb: float
    destination_zone: str | None = msgspec.field(name="into", default=None)
    source_zone: str | None = msgspec.field(name="out_of", default=None)


class Keep(msgspec.Struct, frozen=True):
    """Where and how often the account of traffic is stored."""

    folder: str
    every: Span


class Metrics(msgspec.Struct, frozen=True):
    """Where the account of traffic is served to a metrics system."""

    port: int
    host: str


class Share(msgspec.Struct, frozen=True):
    """How directors share budgets among them."""

    every: Span
    grant_ratio: float = msgspec.field(name="give")


class Traffic(msgspec.Struct, frozen=True):
    """The account of bytes that fills carry, and the budgets that they are held to."""

    period: Span
    max_streams: int = msgspec.field(name="most_streams")
    distributions: bool
    prices: tuple[Price, ...]
    budgets: dict[str, Budget] = {}
    keep: Keep | None = None
    metrics: Metrics | None = None
    share: Share | None = None


class Disk(msgspec.Struct, frozen=True):
    """The tier of copies on disk."""

    folder: str
    capacity: Size = msgspec.field(name="room")
    segment_size: Size = msgspec.field(name="segment")
    max_entries: int = msgspec.field(name="entries")
    read_timeout: Span = msgspec.field(name="patience")
    object_share: float
    class_share: float
    background: Rate
    write: Rate | None = None


class Operations(msgspec.Struct, frozen=True):
    """All that operators set; what is None is turned off."""

    traffic: Traffic | None = None
    disk: Disk | None = None


def to_operations(plain: Any) -> Operations:
    """Returns the records of plain objects that the schema allows."""
    return msgspec.convert(plain, Operations, dec_hook=_decode_quantity)


def _decode_quantity(quantity_type: type, text: Any) -> Any:
    return parse_quantity(unit_name_of(quantity_type), text)
