"""Typed access to the fields of one JSON message, with errors that name the field at fault."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, TypeVar

MICROSECONDS_PER_TICK = 100  # the program's unit of time is a tenth of a millisecond
REQUIRED: Final[Any] = object()  # as the default of a field: its absence is an error

Value = TypeVar("Value")


class MalformedMessageError(Exception):
    """A message that the protocol does not allow; the text says which field and what was expected."""


class Fields:
    """The fields of one message, read by name and shape.

    Every reader raises `MalformedMessageError` where the field has another type, or is absent and required.
    """

    def __init__(self, context: str, values: Any):
        if not isinstance(values, dict):
            raise MalformedMessageError(f"{context}: its fields are not an object")
        self.context = context
        self.values: dict[str, Any] = values

    def has(self, name: str) -> bool:
        """Whether the field is there and not null."""
        return self.values.get(name) is not None

    def _get(self, name: str, json_types: tuple[type, ...], expected: str, default: Any) -> Any:
        value = self.values.get(name)
        if value is None:
            if default is REQUIRED:
                raise MalformedMessageError(f"{self.context}: field '{name}' is missing")
            return default
        if not isinstance(value, json_types) or (isinstance(value, bool) and bool not in json_types):
            raise MalformedMessageError(f"{self.context}: field '{name}' is not {expected}")
        return value

    def integer(self, name: str, default: Any = 0) -> int:
        """A whole number of 0 or more, or the default."""
        value: int = self._get(name, (int,), "a whole number", default)
        if value < 0 and value != default:
            raise MalformedMessageError(f"{self.context}: field '{name}' is negative")
        return value

    def number(self, name: str, default: Any = 0.0) -> float:
        """A number of 0 or more."""
        value: float = self._get(name, (int, float), "a number", default)
        if value != value or value < 0:
            raise MalformedMessageError(f"{self.context}: field '{name}' is not a number of 0 or more")
        return value

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """A string."""
        value: str = self._get(name, (str,), "text", default)
        return value

    def boolean(self, name: str) -> bool:
        """True or false; false where it is absent."""
        value: bool = self._get(name, (bool,), "true or false", False)
        return value

    def array(self, name: str, default: Any = ()) -> list[Any]:
        """An array of anything."""
        value: list[Any] = self._get(name, (list,), "an array", default)
        return value

    def _array_of(self, name: str, element_type: type, expected: str) -> tuple[Any, ...]:
        json_types = (int, float) if element_type is float else (element_type,)
        elements = self.array(name)
        if any(
            not isinstance(element, json_types) or isinstance(element, bool) is not (element_type is bool)
            for element in elements
        ):
            raise MalformedMessageError(f"{self.context}: field '{name}' is not an array of {expected}")
        return tuple(elements)

    def texts(self, name: str) -> tuple[str, ...]:
        """An array of strings; empty where it is absent."""
        return self._array_of(name, str, "texts")

    def numbers(self, name: str) -> tuple[float, ...]:
        """An array of numbers; empty where it is absent."""
        return self._array_of(name, float, "numbers")

    def integers(self, name: str) -> tuple[int, ...]:
        """An array of whole numbers; empty where it is absent."""
        return self._array_of(name, int, "whole numbers")

    def booleans(self, name: str) -> tuple[bool, ...]:
        """An array of true and false; empty where it is absent."""
        return self._array_of(name, bool, "true and false")

    def nested(self, name: str, default: Any = REQUIRED) -> Fields:
        """The fields of an object within this one."""
        return Fields(f"{self.context} {name}", self._get(name, (dict,), "an object", default))

    def keyword(self, name: str, meanings: Mapping[str, Value], default: Any = REQUIRED) -> Value:
        """What one of a set of words means."""
        value = self.text(name, default)
        if value not in meanings:
            raise MalformedMessageError(f"{self.context}: field '{name}' has the unknown word '{value}'")
        return meanings[value]

    def duration_floor(self, name: str, default: Any = 0) -> int:
        """A span told in microseconds, in tenths of a millisecond, rounded down."""
        return self.integer(name, default) // MICROSECONDS_PER_TICK

    def duration_ceil(self, name: str, default: Any = 0) -> int:
        """A span told in microseconds, in tenths of a millisecond, rounded up."""
        return -(-self.integer(name, default) // MICROSECONDS_PER_TICK)

    def load_report(self) -> tuple[float, ...] | None:
        """The values of a load report, None where there is none."""
        return self.numbers("stats") if self.has("stats") else None
