"""Descriptions of values for diagnostics."""

from __future__ import annotations

from .literals import format_scalar
from .units import UNITS
from .values import Disjunction, ListValue, Scalar, Struct, Top, TypeConstraint, Value


def describe(value: Value) -> str:
    """Returns a description of what a value allows."""
    match value:
        case Scalar():
            return format_scalar(value.value)
        case TypeConstraint():
            return _describe_constraint(value)
        case Disjunction():
            return " | ".join(dict.fromkeys(describe(part) for part, _ in value.alternatives))
    fixed = {Struct: "a record", ListValue: "a list", Top: "anything"}
    return fixed.get(type(value), "nothing")


def _describe_constraint(constraint: TypeConstraint) -> str:
    parts: list[str] = []
    if constraint.unit:
        parts.append(f"a {constraint.unit.lower()} such as {UNITS[constraint.unit].example}")
    elif constraint.kind:
        parts.append(constraint.kind.value)
    parts += [f"{operator}{format_scalar(operand)}" for operator, operand in constraint.bounds]
    return " & ".join(parts) if parts else "anything"
