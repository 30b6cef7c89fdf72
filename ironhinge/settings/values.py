"""The values of the language. A value is the set of data that is allowed at a path.

A concrete value allows exactly one thing: it is a scalar, or a record or list of concrete values. `Top`
allows everything, `Conflict` nothing. Records evaluate their fields on demand, so references may point
forward.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from .errors import Diagnostic, SourceLocation
from .syntax import BoundOperator, Expression, RecordExpr, ScalarValue

DEFINITION_PREFIX = "#"  # of fields that are not part of the exported result
MIN_SIMILARITY = 0.5  # minimum similarity (0 to 1) of a known name that is suggested for an unknown one


class Kind(StrEnum):
    """The kinds of scalars, with their names in the language."""

    INT = "int"
    NUMBER = "number"
    STRING = "string"
    BOOL = "bool"
    NULL = "null"


@dataclass(slots=True)
class Conflict:
    """Nothing is allowed (bottom).

    Attributes:
        diagnostic: The problem that caused the conflict.
    """

    diagnostic: Diagnostic


@dataclass(slots=True)
class Top:
    """Everything is allowed (top)."""

    location: SourceLocation


@dataclass(slots=True)
class Scalar:
    """Exactly one scalar is allowed."""

    value: ScalarValue
    location: SourceLocation


class Bound(NamedTuple):
    """A comparison that a scalar must satisfy."""

    operator: BoundOperator
    operand: ScalarValue


@dataclass(slots=True)
class TypeConstraint:
    """Any scalar is allowed that has the kind and the unit and is within the bounds.

    Attributes:
        kind: The kind of the scalar; None for any kind.
        unit: The name of the unit if the scalar must be a quantity; None for any string.
        bounds: The bounds, all of which the scalar must satisfy.
        location: Where the constraint is written.
    """

    kind: Kind | None
    unit: str | None
    bounds: tuple[Bound, ...]
    location: SourceLocation


class Alternative(NamedTuple):
    """An alternative of a disjunction, and whether it is a default."""

    value: Value
    is_default: bool


@dataclass(slots=True)
class Disjunction:
    """One of several alternatives is allowed; the default applies if nothing else selects one."""

    alternatives: tuple[Alternative, ...]
    location: SourceLocation


class Evaluator(NamedTuple):
    """The functions that evaluate expressions; records and lists call them when a value is requested.

    They are passed in, as `evaluation` imports this module.

    Attributes:
        evaluate: Returns the value of an expression in a scope, at a path.
        evaluate_conjuncts: Returns the value that all conjuncts together allow, given its path and the
            location of its declaration.
    """

    evaluate: Callable[[Expression, Scope, str], Value]
    evaluate_conjuncts: Callable[[Sequence[Conjunct], str, SourceLocation], Value]


@dataclass(slots=True)
class Scope:
    """Where names are resolved: a record, then the records that enclose it.

    Attributes:
        record: The innermost record; None for the scope outside all records.
        outer: The enclosing scope.
        closed: Whether records written in this scope are closed (see `RecordSource`).
        closes_definitions: Whether records in definitions of this scope become closed when a reference uses
            the definition. This is so in the schema, not in operators' files.
        evaluator: Evaluates the expressions of this scope; inherited from the outer scope if not given.
    """

    record: Struct | None
    outer: Scope | None
    closed: bool = False
    closes_definitions: bool = False
    evaluator: Evaluator | None = None

    def __post_init__(self) -> None:
        """Inherits the evaluator of the outer scope."""
        if self.evaluator is None and self.outer is not None:
            self.evaluator = self.outer.evaluator


@dataclass(slots=True)
class Conjunct:
    """An unevaluated expression, and the scope in which its names are resolved."""

    expression: Expression
    scope: Scope

    def evaluate(self, path: str) -> Value:
        """Returns the value of the expression at a path."""
        assert self.scope.evaluator is not None
        return self.scope.evaluator.evaluate(self.expression, self.scope, path)


@dataclass(slots=True)
class RecordSource:
    """A record expression, in its scope.

    Attributes:
        expression: The record expression.
        scope: The scope that encloses it.
        closed: Whether undeclared fields are errors, unless the record is open or has a pattern.
    """

    expression: RecordExpr
    scope: Scope
    closed: bool


class Struct:
    """A record: the unification of all its sources.

    Attributes:
        sources: The record expressions that were unified.
        path: The path of the record in the settings.
        location: Where the first source begins.
        fields: For each field, the conjuncts that the sources contribute.
        required: For each field, whether some source declares it as required; only these are exported.
        locations: For each field, where it is declared; outside closed sources (the schema) if possible.
        diagnostics: A diagnostic for each unknown field.
        evaluating: The fields and definitions that are being evaluated, to detect cyclic references.
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
        """Returns the value of a field, which is evaluated at the first call and then cached."""
        if name not in self._values:
            path = join_path(self.path, name)
            location = self.locations[name]
            if name in self.evaluating:
                return Conflict(
                    Diagnostic(
                        location, path, "a reference to itself", "a value that does not depend on itself"
                    )
                )
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
        """Applies a source's pattern to the fields that it does not declare, or reports them as unknown."""
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
    """A list: either with given elements, or of any length with a template for each element.

    Attributes:
        elements: The elements; None for a list of any length.
        element_template: What each element of a list of any length must satisfy.
        location: Where the list is written.
    """

    elements: tuple[Value, ...] | None
    element_template: Conjunct | None
    location: SourceLocation


ProperValue: TypeAlias = Scalar | TypeConstraint | Disjunction | Struct | ListValue
"""A value that is neither top nor a conflict."""

Value: TypeAlias = Top | Conflict | ProperValue


def join_path(path: str, name: str) -> str:
    """Returns the path of a field of the record at `path`."""
    return f"{path}.{name}" if path else name


def is_definition(name: str) -> bool:
    """Returns whether a field is a definition: references may use it, but it is not exported."""
    return name.startswith(DEFINITION_PREFIX)


def closest_name(name: str, known_names: Iterable[str]) -> str | None:
    """Returns the known name that is most similar to an unknown one, in quotes; None if none is similar."""
    matches = difflib.get_close_matches(name, list(known_names), 1, MIN_SIMILARITY)
    return f"'{matches[0]}'" if matches else None
