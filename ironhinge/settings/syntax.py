"""The syntax tree of the settings language, with source locations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from .errors import SourceLocation

ScalarValue: TypeAlias = int | float | str | bool | None
"""The Python value of a scalar: a number, string, boolean or null."""


class BoundOperator(StrEnum):
    """The comparison operators of bounds, as spelt in the language."""

    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    NOT_EQUAL = "!="
    MATCHES = "=~"


@dataclass(frozen=True, slots=True)
class LiteralExpr:
    """A literal number or string."""

    value: int | float | str
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ReferenceExpr:
    """A reference to a name, followed by the names of nested fields (`a.b.c`)."""

    names: tuple[str, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class BoundExpr:
    """A bound, such as `>= 1`: an operator and the operand that values are compared with."""

    operator: BoundOperator
    operand: Expression
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ConjunctionExpr:
    """A conjunction (`a & b`): a value must satisfy all operands."""

    operands: tuple[Expression, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AlternativeExpr:
    """An alternative of a disjunction, and whether it is marked as the default (`*`)."""

    expression: Expression
    is_default: bool


@dataclass(frozen=True, slots=True)
class DisjunctionExpr:
    """A disjunction (`*a | b`): a value must satisfy one of the alternatives."""

    alternatives: tuple[AlternativeExpr, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class FieldDeclaration:
    """A field of a record: required (`name: expression`) or optional (`name?: expression`)."""

    name: str
    optional: bool
    expression: Expression
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class RecordExpr:
    """A record: the declarations within a pair of braces or of a whole file.

    Attributes:
        fields: The declared fields, in order.
        pattern: The constraint on all fields that are not declared (`[string]: expression`), if there is one.
        is_open: Whether undeclared fields are allowed (`...`).
        location: Where the record begins.
    """

    fields: tuple[FieldDeclaration, ...]
    pattern: Expression | None
    is_open: bool
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ListExpr:
    """A list: either its elements, or a template for any number of elements (`[...expression]`)."""

    elements: tuple[Expression, ...]
    element_template: Expression | None
    location: SourceLocation


Expression: TypeAlias = (
    LiteralExpr | ReferenceExpr | BoundExpr | ConjunctionExpr | DisjunctionExpr | RecordExpr | ListExpr
)
