"""The values of the language: what is still allowed in some place.

A value that allows one thing is a scalar, a record or a list of such; `Top` allows everything and `Conflict`
nothing. Records evaluate their fields when asked for them, so that references may point forward.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from .errors import Diagnostic, SourceLocation
from .syntax import BoundOperator, Expression, RecordExpr, ScalarValue

DEFINITION_PREFIX = "#"  # of names that are not part of the result
MIN_SIMILARITY = 0.5  # from which a known name is suggested in place of an unknown one


class Kind(StrEnum):
    """Kinds of scalars, by their names in the language."""

    INT = "int"
    NUMBER = "number"
    STRING = "string"
    BOOL = "bool"
    NULL = "null"


@dataclass(slots=True)
class Conflict:
    """Nothing is allowed (bottom).

    Attributes:
        diagnostic: Why.
    """

    diagnostic: Diagnostic


@dataclass(slots=True)
class Top:
    """Everything is allowed."""

    location: SourceLocation


@dataclass(slots=True)
class Scalar:
    """One scalar is allowed."""

    value: ScalarValue
    location: SourceLocation


class Bound(NamedTuple):
    """A comparison that a scalar has to meet."""

    operator: BoundOperator
    operand: ScalarValue


@dataclass(slots=True)
class TypeConstraint:
    """Any scalar is allowed that is of a kind and a unit, and within bounds.

    Attributes:
        kind: The kind; None for any.
        unit: The name of the unit that a string has to be a quantity of; None for any string.
        bounds: All of them have to be met.
        location: Where it is written.
    """

    kind: Kind | None
    unit: str | None
    bounds: tuple[Bound, ...]
    location: SourceLocation


class Alternative(NamedTuple):
    """One value of a disjunction, and whether it is a default."""

    value: Value
    is_default: bool


@dataclass(slots=True)
class Disjunction:
    """One of several values is allowed; its default is taken where nothing else decides."""

    alternatives: tuple[Alternative, ...]
    location: SourceLocation


class Evaluator(NamedTuple):
    """The functions that turn expressions to values; records and lists call them when a value is asked for.

    Attributes:
        evaluate: Returns the value of an expression in a scope, at a path.
        evaluate_conjuncts: Returns what all conjuncts allow, at a path; they are declared at that location.
    """

    evaluate: Callable[[Expression, Scope, str], Value]
    evaluate_conjuncts: Callable[[Sequence[Conjunct], str, SourceLocation], Value]


@dataclass(slots=True)
class Scope:
    """Where a name is looked up: a record, then those around it.

    Attributes:
        record: The record; None outside all of them.
        outer: The scope around it.
        closed: Whether records written here allow no fields but those that they name.
        closes_definitions: Whether definitions written here close what they hold: the schema's do, an
            operator's do not.
        evaluator: Evaluates what is written here; that of the outer scope where there is one.
    """

    record: Struct | None
    outer: Scope | None
    closed: bool = False
    closes_definitions: bool = False
    evaluator: Evaluator | None = None

    def __post_init__(self) -> None:
        """Takes over the evaluator of the outer scope."""
        if self.evaluator is None and self.outer is not None:
            self.evaluator = self.outer.evaluator


@dataclass(slots=True)
class Conjunct:
    """An expression that is evaluated when it is needed, and the scope of its names."""

    expression: Expression
    scope: Scope

    def evaluate(self, path: str) -> Value:
        """Returns the value of the expression at that path."""
        assert self.scope.evaluator is not None
        return self.scope.evaluator.evaluate(self.expression, self.scope, path)


@dataclass(slots=True)
class RecordSource:
    """One record as written, in its scope.

    Attributes:
        expression: The record.
        scope: The scope around it.
        closed: Whether it allows no fields but those that it names.
    """

    expression: RecordExpr
    scope: Scope
    closed: bool


class Struct:
    """A record: what all its sources together allow.

    Attributes:
        sources: The records that were unified.
        path: Where it is in the settings.
        location: Where its first source begins.
        fields: What its sources hold for each field.
        required: Whether a field is part of the result, by name.
        locations: Where a field is declared, by name; preferably not in the schema.
        diagnostics: Its unknown fields.
        evaluating: The fields and definitions whose values are being evaluated.
    """

    def __init__(self, sources: list[RecordSource], path: str) -> None:
        self.sources = sources
        self.path = path
        self.location = sources[0].expression.location
        self.fields: dict[str, list[Conjunct]] = {}
        self.required: dict[str, bool] = {}
        self.locations: dict[str, SourceLocation] = {}
        self.diagnostics: list[Diagnostic] = []
        self._values: dict[str, Value] = {}
        self.evaluating: set[str] = set()
        scopes = [
            Scope(self, source.scope, source.closed, source.scope.closes_definitions) for source in sources
        ]
        for source, scope in zip(sources, scopes, strict=True):
            self._declare_fields(source, scope)
        for source, scope in zip(sources, scopes, strict=True):
            self._constrain_other_fields(source, scope)

    def value(self, name: str) -> Value:
        """Returns the value of a field, evaluated at the first call."""
        if name not in self._values:
            path = join_path(self.path, name)
            location = self.locations[name]
            if name in self.evaluating:
                return Conflict(Diagnostic(location, path, "a reference to itself", "something that ends"))
            self.evaluating.add(name)
            try:
                evaluator = self.sources[0].scope.evaluator
                assert evaluator is not None
                self._values[name] = evaluator.evaluate_conjuncts(self.fields[name], path, location)
            finally:
                self.evaluating.discard(name)
        return self._values[name]

    def _declare_fields(self, source: RecordSource, scope: Scope) -> None:
        for field in source.expression.fields:
            name = field.name
            self.fields.setdefault(name, []).append(Conjunct(field.expression, scope))
            self.required[name] = self.required.get(name, False) or not field.optional
            if not source.closed or name not in self.locations:
                self.locations[name] = field.location

    def _constrain_other_fields(self, source: RecordSource, scope: Scope) -> None:
        """Applies a source's pattern to the fields that it does not name, or reports them as unknown."""
        record = source.expression
        known_names = {field.name for field in record.fields}
        for name in self.fields:
            if name in known_names or is_definition(name):
                continue
            if record.pattern is not None:
                self.fields[name].append(Conjunct(record.pattern, scope))
            elif source.closed and not record.is_open:
                self._report_unknown_field(name, sorted(known_names))

    def _report_unknown_field(self, name: str, known_names: list[str]) -> None:
        expected = closest_name(name, known_names) or "one of " + ", ".join(known_names)
        self.diagnostics.append(
            Diagnostic(
                self.locations[name], join_path(self.path, name), f"the unknown field '{name}'", expected
            )
        )


@dataclass(slots=True)
class ListValue:
    """A list: either of these elements, or of any number that are alike.

    Attributes:
        elements: The elements; None for any number.
        element_template: What each of any number of elements is.
        location: Where it is written.
    """

    elements: tuple[Value, ...] | None
    element_template: Conjunct | None
    location: SourceLocation


ProperValue: TypeAlias = Scalar | TypeConstraint | Disjunction | Struct | ListValue
"""What allows something, but not everything."""

Value: TypeAlias = Top | Conflict | ProperValue


def join_path(path: str, name: str) -> str:
    """Returns the path of a field of the record at `path`."""
    return f"{path}.{name}" if path else name


def is_definition(name: str) -> bool:
    """Returns whether a field is a definition: others refer to it, but it is not part of the result."""
    return name.startswith(DEFINITION_PREFIX)


def closest_name(name: str, known_names: Iterable[str]) -> str | None:
    """Returns the known name that is most like an unknown one, in quotes, or None where none is."""
    matches = difflib.get_close_matches(name, list(known_names), 1, MIN_SIMILARITY)
    return f"'{matches[0]}'" if matches else None
