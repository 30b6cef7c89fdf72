"""Typed access to the fields of a JSON message, with errors that name the field."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, TypeVar

MICROSECONDS_PER_TICK = 100  # the program's unit of time, a tick, is a tenth of a millisecond
REQUIRED: Final[Any] = object()  # a default that makes the absence of a field an error

Value = TypeVar("Value")


class MalformedMessageError(Exception):
    """A message violates the protocol; the text names the field and what was expected."""


class Fields:
    """The fields of a JSON object, read by name and type.

    An absent or null field has the default, or is an error if the default is `REQUIRED`. Every method that
    reads a field raises `MalformedMessageError` if the field has the wrong type, or is absent and required.

    Attributes:
        context: The message and the path of the object, for error messages.
        values: The fields by name, as parsed from JSON.
    """

    def __init__(self, context: str, values: Any):
        if not isinstance(values, dict):
            raise MalformedMessageError(f"{context}: the value is not an object")
        self.context = context
        self.values: dict[str, Any] = values

    def has(self, name: str) -> bool:
        """Returns whether the field is present and not null."""
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
        """Returns a whole number of 0 or more, or the default, which may be negative."""
        value: int = self._get(name, (int,), "a whole number", default)
        if value < 0 and value != default:
            raise MalformedMessageError(f"{self.context}: field '{name}' is negative")
        return value

    def number(self, name: str, default: Any = 0.0) -> float:
        """Returns a number of 0 or more."""
        value: float = self._get(name, (int, float), "a number", default)
        if value != value or value < 0:
            raise MalformedMessageError(f"{self.context}: field '{name}' is not a number of 0 or more")
        return value

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Returns a string."""
        value: str = self._get(name, (str,), "a string", default)
        return value

    def boolean(self, name: str) -> bool:
        """Returns a boolean; False if it is absent."""
        value: bool = self._get(name, (bool,), "a boolean", False)
        return value

    def array(self, name: str, default: Any = ()) -> list[Any]:
        """Returns an array whose elements are not checked."""
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
        """Returns an array of strings; empty if it is absent."""
        return self._array_of(name, str, "strings")

    def numbers(self, name: str) -> tuple[float, ...]:
        """Returns an array of numbers; empty if it is absent."""
        return self._array_of(name, float, "numbers")

    def integers(self, name: str) -> tuple[int, ...]:
        """Returns an array of whole numbers; empty if it is absent."""
        return self._array_of(name, int, "whole numbers")

    def booleans(self, name: str) -> tuple[bool, ...]:
        """Returns an array of booleans; empty if it is absent."""
        return self._array_of(name, bool, "booleans")

    def nested(self, name: str, default: Any = REQUIRED) -> Fields:
        """Returns the fields of a nested object."""
        return Fields(f"{self.context} {name}", self._get(name, (dict,), "an object", default))

    def keyword(self, name: str, meanings: Mapping[str, Value], default: Any = REQUIRED) -> Value:
        """Returns the meaning of a string that must be one of the keys of `meanings`."""
        value = self.text(name, default)
        if value not in meanings:
            raise MalformedMessageError(f"{self.context}: field '{name}' has the unknown value '{value}'")
        return meanings[value]

    def duration_floor(self, name: str, default: Any = 0) -> int:
        """Returns a duration in ticks, rounded down; the field is in microseconds."""
        return self.integer(name, default) // MICROSECONDS_PER_TICK

    def duration_ceil(self, name: str, default: Any = 0) -> int:
        """Returns a duration in ticks, rounded up; the field is in microseconds."""
        return -(-self.integer(name, default) // MICROSECONDS_PER_TICK)

    def load_report(self) -> tuple[float, ...] | None:
        """Returns the values of a load report, or None if the message has none."""
        return self.numbers("stats") if self.has("stats") else None
