"""Owns texts with units: sizes, rates, spans and money. It must never round what was written but to whole
units.

Sizes are bytes (KB is 1,000, KiB 1,024), rates bytes a second, spans tenths of a millisecond.
"""

from __future__ import annotations

import re
from typing import NamedTuple

SIZES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "TB": 10**12, "PB": 10**15}
SIZES.update({"KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "TiB": 2**40})
SPANS = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000, "d": 864_000_000}
NUMBER = r"[0-9]+(?:\.[0-9]+)?"


class Size(int):
    """Bytes."""


class Rate(int):
    """Bytes a second."""


class Span(int):
    """Tenths of a millisecond."""


class Unit(NamedTuple):
    kind: type
    words: dict[str, int]
    per: str  # what stands behind the word
    example: str


UNITS: dict[str, Unit] = {
    "Size": Unit(Size, SIZES, "", '"2TB"'),
    "Rate": Unit(Rate, SIZES, "/s", '"40MB/s"'),
    "Span": Unit(Span, SPANS, "", '"30d"'),
}


def parse(name: str, text: str) -> int | None:
    """The figure of a text of that unit; None where it is not one."""
    unit = UNITS[name]
    found = re.fullmatch(rf"({NUMBER})\s*([A-Za-z]+){unit.per}", text)
    if not found or found.group(2) not in unit.words or len(text) > 40:
        return None
    whole, _, part = found.group(1).partition(".")
    scale = unit.words[found.group(2)]
    return unit.kind(int(whole) * scale + (int(part) * scale // 10 ** len(part) if part else 0))


def write(name: str, figure: int) -> str:
    """The shortest text that `parse` reads as that figure."""
    unit = UNITS[name]
    fits = [(word, scale) for word, scale in unit.words.items() if figure % scale == 0 and figure >= scale]
    if not fits:  # 0, or parts of the smallest unit, which is a power of ten
        word, scale = min(unit.words.items(), key=lambda each: each[1])
        part = f".{figure % scale:0{len(str(scale)) - 1}d}" if figure % scale else ""
        return f"{figure // scale}{part}{word}{unit.per}"
    word, scale = max(fits, key=lambda each: each[1])
    return f"{figure // scale}{word}{unit.per}"


def of(kind: type) -> tuple[str, Unit]:
    return next((name, unit) for name, unit in UNITS.items() if unit.kind is kind)
