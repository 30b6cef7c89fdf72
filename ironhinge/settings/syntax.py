"""The syntax tree of settings: what was written, with its source locations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from .errors import SourceLocation

ScalarValue: TypeAlias = int | float | str | bool | None
"""A value without parts."""


class BoundOperator(StrEnum):
    """The operators of bounds, as written."""

    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    NOT_EQUAL = "!="
    MATCHES = "=~"


@dataclass(frozen=True, slots=True)
class LiteralExpr:
    """A number or a string."""

    value: int | float | str
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ReferenceExpr:
    """A name, with the names of fields behind it."""

    names: tuple[str, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class BoundExpr:
    """An operator and the expression that values are compared with."""

    operator: BoundOperator
    operand: Expression
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ConjunctionExpr:
    """Expressions that all hold (`a & b`)."""

    operands: tuple[Expression, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AlternativeExpr:
    """One expression of a disjunction, and whether it is marked as the default."""

    expression: Expression
    is_default: bool


@dataclass(frozen=True, slots=True)
class DisjunctionExpr:
    """Expressions of which one holds (`*a | b`)."""

    alternatives: tuple[AlternativeExpr, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class FieldDeclaration:
    """One field of a record (`name: expression` or `name?: expression`)."""

    name: str
    optional: bool
    expression: Expression
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class RecordExpr:
    """A record.

    Attributes:
        fields: Its fields, as written.
        pattern: What all fields hold that it does not name (`[string]: expression`), if anything.
        is_open: Whether it allows further fields (`...`).
        location: Where it begins.
    """

    fields: tuple[FieldDeclaration, ...]
    pattern: Expression | None
    is_open: bool
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ListExpr:
    """A list: either its elements, or what each of any number of elements is (`[...expression]`)."""

    elements: tuple[Expression, ...]
    element_template: Expression | None
    location: SourceLocation


Expression: TypeAlias = (
    LiteralExpr | ReferenceExpr | BoundExpr | ConjunctionExpr | DisjunctionExpr | RecordExpr | ListExpr
)
