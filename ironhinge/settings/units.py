"""Quantities with units: sizes, rates and durations (`Span`).

Sizes are in bytes (KB is 1,000 bytes, KiB is 1,024), rates in bytes per second and durations in ticks of a
tenth of a millisecond. Quantities are rounded down to whole bytes, bytes per second or ticks.
"""

from __future__ import annotations

import re
from typing import NamedTuple, TypeAlias

SIZE_SYMBOLS = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "TB": 10**12, "PB": 10**15}
SIZE_SYMBOLS.update({"KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "TiB": 2**40})
SPAN_SYMBOLS = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000, "d": 864_000_000}
NUMBER_PATTERN = r"[0-9]+(?:\.[0-9]+)?"
MAX_QUANTITY_LENGTH = 40  # characters


class Size(int):
    """A size in bytes."""


class Rate(int):
    """A rate in bytes per second."""


class Span(int):
    """A duration in ticks of a tenth of a millisecond."""


Quantity: TypeAlias = Size | Rate | Span


class Unit(NamedTuple):
    """A kind of quantity, and how it is written.

    Attributes:
        quantity_type: The type of its values.
        symbols: For each unit symbol, how many bytes or ticks it is.
        suffix: The text that follows the unit symbol.
        example: An example in the syntax of settings, for diagnostics.
    """

    quantity_type: type[Quantity]
    symbols: dict[str, int]
    suffix: str
    example: str


UNITS: dict[str, Unit] = {
    "Size": Unit(Size, SIZE_SYMBOLS, "", '"2TB"'),
    "Rate": Unit(Rate, SIZE_SYMBOLS, "/s", '"40MB/s"'),
    "Span": Unit(Span, SPAN_SYMBOLS, "", '"30d"'),
}


def parse_quantity(unit_name: str, text: str) -> Quantity | None:
    """Returns the quantity that a text represents, or None if the text is not a quantity of that unit."""
    unit = UNITS[unit_name]
    match = re.fullmatch(rf"({NUMBER_PATTERN})\s*([A-Za-z]+){unit.suffix}", text)
    if not match or match.group(2) not in unit.symbols or len(text) > MAX_QUANTITY_LENGTH:
        return None
    whole, _, fraction = match.group(1).partition(".")
    scale = unit.symbols[match.group(2)]
    # Computed in integers, as a float would lose digits.
    fraction_amount = int(fraction) * scale // 10 ** len(fraction) if fraction else 0
    return unit.quantity_type(int(whole) * scale + fraction_amount)


def format_quantity(unit_name: str, amount: int) -> str:
    """Returns the shortest text that `parse_quantity` converts back to the amount."""
    unit = UNITS[unit_name]
    divisors = [
        (scale, symbol) for symbol, scale in unit.symbols.items() if amount % scale == 0 and amount >= scale
    ]
    if divisors:
        scale, symbol = max(divisors, key=lambda divisor: divisor[0])
        return f"{amount // scale}{symbol}{unit.suffix}"
    # The amount is zero or not a multiple of the smallest symbol. That symbol's scale is a power of ten.
    symbol, scale = min(unit.symbols.items(), key=lambda item: item[1])
    digits = len(str(scale)) - 1
    fraction = f".{amount % scale:0{digits}d}" if amount % scale else ""
    return f"{amount // scale}{fraction}{symbol}{unit.suffix}"


def unit_name_of(quantity_type: type) -> str:
    """Returns the name of the unit whose values have that type."""
    return next(name for name, unit in UNITS.items() if unit.quantity_type is quantity_type)
