"""Disjunctions: their defaults, and the removal of alternatives that are impossible or redundant."""

from __future__ import annotations

from collections.abc import Sequence

from .constraints import is_narrower, is_same_constraint
from .cycles import visit
from .errors import Diagnostic, SourceLocation
from .values import (
    Alternative,
    Conflict,
    Disjunction,
    ListValue,
    Scalar,
    Struct,
    TypeConstraint,
    Value,
    is_definition,
)


def resolve_default(value: Value) -> Value:
    """Returns a disjunction's default if it has exactly one, and otherwise the value itself."""
    if isinstance(value, Disjunction):
        defaults = [part for part, is_default in value.alternatives if is_default]
        if len(defaults) == 1:
            return defaults[0]
    return value


def alternatives_of(value: Value) -> list[Alternative]:
    """Returns the alternatives of a value; if none is marked as a default, all of them are."""
    if not isinstance(value, Disjunction):
        return [Alternative(value, True)]
    has_default = any(is_default for _, is_default in value.alternatives)
    return [Alternative(part, is_default or not has_default) for part, is_default in value.alternatives]


def conflicts_in(value: Value) -> list[Diagnostic]:
    """Returns the diagnostics of all conflicts within a value, at any depth."""
    match value:
        case Conflict():
            return [value.diagnostic]
        case Struct():
            return _conflicts_in_struct(value)
        case ListValue(elements=elements) if elements is not None:
            return [diagnostic for element in elements for diagnostic in conflicts_in(element)]
    return []


def _conflicts_in_struct(struct: Struct) -> list[Diagnostic]:
    with visit(struct) as problem:
        if problem is not None:
            return [problem]
        diagnostics = list(struct.diagnostics)
        for name in struct.fields:
            if struct.required[name] and not is_definition(name):
                diagnostics += conflicts_in(struct.value(name))
        return diagnostics


def make_disjunction(alternatives: Sequence[Alternative], location: SourceLocation, path: str) -> Value:
    """Returns the value that allows what any of the alternatives allows.

    Alternatives that are conflicts, equal to an earlier one, or included in a wider one are dropped. If none
    remains, the result is the conflict of the first alternative, which lists what each of them expected.
    Several alternatives of which one is a record are a conflict.
    """
    remaining = _without_included(_distinct(alternatives))
    if len(remaining) > 1 and any(isinstance(part, Struct) for part, _ in remaining):
        # The intended record would have to be guessed from its fields, so errors in its fields could not be
        # reported reliably.
        expected = "one record with optional fields"
        return Conflict(Diagnostic(location, path, "a choice between records", expected))
    if not remaining:
        return _joint_conflict(alternatives, path)
    return remaining[0].value if len(remaining) == 1 else Disjunction(tuple(remaining), location)


def is_same(first: Value, second: Value) -> bool:
    """Returns whether two values are known to allow the same; records are only compared by identity."""
    match first, second:
        case Scalar(value=first_value), Scalar(value=second_value):
            return type(first_value) is type(second_value) and first_value == second_value
        case TypeConstraint(), TypeConstraint():
            return is_same_constraint(first, second)
        case ListValue(), ListValue():
            return _is_same_list(first, second)
    return first is second


def _is_same_list(first: ListValue, second: ListValue) -> bool:
    if first.element_template is not None and second.element_template is not None:
        return first.element_template.expression == second.element_template.expression
    if first.elements is None or second.elements is None:
        return False
    return len(first.elements) == len(second.elements) and all(map(is_same, first.elements, second.elements))


def _distinct(alternatives: Sequence[Alternative]) -> list[Alternative]:
    """Returns the alternatives that are not conflicts, with equal ones merged."""
    distinct: list[Alternative] = []
    for value, is_default in alternatives:
        if conflicts_in(value):
            continue
        index = next(
            (position for position, (other, _) in enumerate(distinct) if is_same(value, other)), None
        )
        if index is None:
            distinct.append(Alternative(value, is_default))
        else:
            distinct[index] = Alternative(distinct[index].value, distinct[index].is_default or is_default)
    return distinct


def _without_included(alternatives: list[Alternative]) -> list[Alternative]:
    """Drops alternatives that a wider one includes; a default is dropped only for a wider default."""
    return [
        Alternative(value, is_default)
        for value, is_default in alternatives
        if not any(
            _is_included(value, wider) and (wider_is_default or not is_default)
            for wider, wider_is_default in alternatives
            if wider is not value
        )
    ]


def _is_included(value: Value, wider: Value) -> bool:
    if isinstance(value, TypeConstraint) and isinstance(wider, TypeConstraint):
        return is_narrower(value, wider)
    return False


def _joint_conflict(alternatives: Sequence[Alternative], path: str) -> Conflict:
    first_conflicts = [conflicts_in(value)[0] for value, _ in alternatives]
    first = first_conflicts[0]
    if len(first_conflicts) == 1:
        return Conflict(first)
    expected = " or ".join(dict.fromkeys(conflict.expected for conflict in first_conflicts))
    return Conflict(Diagnostic(first.location, path or first.path, first.found, expected))
