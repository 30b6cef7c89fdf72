"""Owns the frozen records that other packages read; their fields stand in `schema.cue` with bounds and
defaults.

They must never hold more than what an operator wrote or the schema gives.
"""

from __future__ import annotations

from typing import Any

import msgspec

from . import units
from .units import Rate, Size, Span


class Emergency(msgspec.Struct, frozen=True):
    rate: Rate
    remember: Span
    burst: Size | None = None
    sum: Size | None = None


class Streams(msgspec.Struct, frozen=True):
    part: float
    idle: Span
    interval: Span


class Budget(msgspec.Struct, frozen=True):
    ways: tuple[str, ...]
    scope: str
    ahead: float
    begin: str
    into: str | None = None
    out_of: str | None = None
    vhosts: tuple[str, ...] | None = None
    within: str | None = None
    rate: Rate | None = None
    burst: Size | None = None
    sum: Size | None = None
    emergency: Emergency | None = None
    streams: Streams | None = None


class Price(msgspec.Struct, frozen=True):
    ways: tuple[str, ...]
    per_gb: float
    into: str | None = None
    out_of: str | None = None


class Keep(msgspec.Struct, frozen=True):
    folder: str
    every: Span


class Metrics(msgspec.Struct, frozen=True):
    port: int
    host: str


class Share(msgspec.Struct, frozen=True):
    every: Span
    give: float


class Traffic(msgspec.Struct, frozen=True):
    period: Span
    most_streams: int
    distributions: bool
    prices: tuple[Price, ...]
    budgets: dict[str, Budget] = {}
    keep: Keep | None = None
    metrics: Metrics | None = None
    share: Share | None = None


class Disk(msgspec.Struct, frozen=True):
    folder: str
    room: Size
    segment: Size
    entries: int
    patience: Span
    object_share: float
    class_share: float
    background: Rate
    write: Rate | None = None


class Operations(msgspec.Struct, frozen=True):
    traffic: Traffic | None = None
    disk: Disk | None = None


def _decode(kind: type, value: Any) -> Any:
    name, _ = units.of(kind)
    return units.parse(name, value)


def from_plain(plain: Any) -> Operations:
    """The records of a plain value that the schema allows."""
    return msgspec.convert(plain, Operations, dec_hook=_decode)
