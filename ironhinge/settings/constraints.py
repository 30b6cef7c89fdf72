"""Type constraints: which scalars satisfy a constraint, and how two constraints are combined or compared."""

from __future__ import annotations

import operator
import re
from collections.abc import Callable
from typing import Any

from .description import describe
from .errors import Diagnostic
from .syntax import BoundOperator, ScalarValue
from .units import parse_quantity
from .values import Bound, Conflict, Kind, TypeConstraint

_PYTHON_TYPES: dict[Kind, tuple[type, ...]] = {
    Kind.INT: (int,),
    Kind.NUMBER: (int, float),
    Kind.STRING: (str,),
    Kind.BOOL: (bool,),
    Kind.NULL: (type(None),),
}
_COMPARISONS: dict[BoundOperator, Callable[[Any, Any], bool]] = {
    BoundOperator.LESS: operator.lt,
    BoundOperator.LESS_OR_EQUAL: operator.le,
    BoundOperator.GREATER: operator.gt,
    BoundOperator.GREATER_OR_EQUAL: operator.ge,
    BoundOperator.NOT_EQUAL: operator.ne,
}


def satisfies(value: ScalarValue, constraint: TypeConstraint) -> bool:
    """Returns whether a scalar satisfies a constraint."""
    if constraint.kind is not None and not _is_of_kind(value, constraint.kind):
        return False
    comparable = value
    if constraint.unit is not None:
        comparable = parse_quantity(constraint.unit, value) if isinstance(value, str) else None
        if comparable is None:
            return False
    return all(_meets_bound(value, comparable, bound, constraint.unit) for bound in constraint.bounds)


def intersect(first: TypeConstraint, second: TypeConstraint, path: str) -> TypeConstraint | Conflict:
    """Returns the constraint that allows what both constraints allow, or a conflict of kinds or units."""
    kinds = {first.kind, second.kind} - {None}
    if kinds == {Kind.INT, Kind.NUMBER}:
        kinds = {Kind.INT}
    if len(kinds) > 1 or (first.unit and second.unit and first.unit != second.unit):
        return Conflict(Diagnostic(first.location, path, describe(first), describe(second)))
    bounds = tuple(sorted(set(first.bounds) | set(second.bounds), key=_bound_order))
    return TypeConstraint(next(iter(kinds), None), first.unit or second.unit, bounds, first.location)


def is_narrower(constraint: TypeConstraint, wider: TypeConstraint) -> bool:
    """Returns whether a constraint allows less than `wider`, as far as their kinds, units and bounds show."""
    if is_same_constraint(constraint, wider):
        return False
    return (
        _includes_kind(wider.kind, constraint.kind)
        and wider.unit in (None, constraint.unit)
        and set(wider.bounds) <= set(constraint.bounds)
    )


def is_same_constraint(first: TypeConstraint, second: TypeConstraint) -> bool:
    """Returns whether two constraints are the same, regardless of their locations."""
    same_type = (first.kind, first.unit) == (second.kind, second.unit)
    return same_type and set(first.bounds) == set(second.bounds)


def _includes_kind(wider: Kind | None, kind: Kind | None) -> bool:
    return wider in (None, kind) or (wider, kind) == (Kind.NUMBER, Kind.INT)


def _is_of_kind(value: ScalarValue, kind: Kind) -> bool:
    # In Python a bool is an int; in the settings language it is not a number.
    return isinstance(value, _PYTHON_TYPES[kind]) and isinstance(value, bool) is (kind is Kind.BOOL)


def _meets_bound(value: ScalarValue, comparable: ScalarValue, bound: Bound, unit: str | None) -> bool:
    """Returns whether a scalar satisfies a bound.

    Args:
        value: The scalar as written; regular expressions are matched against it.
        comparable: The scalar, or its quantity if the constraint has a unit; it is compared with the operand.
        bound: The bound.
        unit: The name of the unit of the constraint, if it has one.
    """
    if bound.operator is BoundOperator.MATCHES:
        return isinstance(value, str) and re.search(str(bound.operand), value) is not None
    operand = bound.operand
    if unit and isinstance(operand, str):
        operand = parse_quantity(unit, operand)
    if isinstance(comparable, str) is not isinstance(operand, str) or isinstance(comparable, bool):
        return bound.operator is BoundOperator.NOT_EQUAL
    return _COMPARISONS[bound.operator](comparable, operand)


def _bound_order(bound: Bound) -> str:
    return repr((bound.operator.value, bound.operand))
