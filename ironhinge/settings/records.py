"""Owns the frozen records that other packages read; their fields stand in `schema.cue` with bounds and
defaults.

They must never hold more than what an operator wrote or the schema gives.
"""

from __future__ import annotations

from typing import Any, Dict, Optional, Tuple

import msgspec

from . import units
from .units import Rate, Size, Span


class Emergency(msgspec.Struct, frozen=True):
    rate: Rate
    remember: Span
    burst: Optional[Size] = None
    sum: Optional[Size] = None


class Streams(msgspec.Struct, frozen=True):
    part: float
    idle: Span
    interval: Span


class Budget(msgspec.Struct, frozen=True):
    ways: Tuple[str, ...]
    scope: str
    ahead: float
    begin: str
    into: Optional[str] = None
    out_of: Optional[str] = None
    vhosts: Optional[Tuple[str, ...]] = None
    within: Optional[str] = None
    rate: Optional[Rate] = None
    burst: Optional[Size] = None
    sum: Optional[Size] = None
    emergency: Optional[Emergency] = None
    streams: Optional[Streams] = None


class Price(msgspec.Struct, frozen=True):
    ways: Tuple[str, ...]
    per_gb: float
    into: Optional[str] = None
    out_of: Optional[str] = None


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
    prices: Tuple[Price, ...]
    budgets: Dict[str, Budget] = {}
    keep: Optional[Keep] = None
    metrics: Optional[Metrics] = None
    share: Optional[Share] = None


class Disk(msgspec.Struct, frozen=True):
    folder: str
    room: Size
    segment: Size
    entries: int
    patience: Span
    object_share: float
    class_share: float
    background: Rate
    write: Optional[Rate] = None


class Operations(msgspec.Struct, frozen=True):
    traffic: Optional[Traffic] = None
    disk: Optional[Disk] = None


def _decode(kind: type, value: Any) -> Any:
    name, _ = units.of(kind)
    return units.parse(name, value)


def from_plain(plain: Any) -> Operations:
    """The records of a plain value that the schema allows."""
    return msgspec.convert(plain, Operations, dec_hook=_decode)
