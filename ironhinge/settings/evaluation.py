"""Evaluation of expressions, in their scopes, to values. No field name of the schema has a meaning here."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Any

from .description import describe
from .disjunctions import make_disjunction, resolve_default
from .errors import Diagnostic, SourceLocation
from .literals import format_scalar
from .syntax import (
    BoundExpr,
    BoundOperator,
    ConjunctionExpr,
    DisjunctionExpr,
    Expression,
    ListExpr,
    LiteralExpr,
    RecordExpr,
    ReferenceExpr,
    ScalarValue,
)
from .unification import unify
from .units import UNITS
from .values import (
    Alternative,
    Bound,
    Conflict,
    Conjunct,
    Disjunction,
    Evaluator,
    Kind,
    ListValue,
    RecordSource,
    Scalar,
    Scope,
    Struct,
    Top,
    TypeConstraint,
    Value,
    closest_name,
    is_definition,
)

CONSTANTS: dict[str, ScalarValue] = {"true": True, "false": False, "null": None}
KIND_NAMES = [kind.value for kind in Kind]
BUILTIN_NAMES = [*KIND_NAMES, *UNITS, *CONSTANTS]


def evaluate(expression: Expression, scope: Scope, path: str) -> Value:
    """Returns the value of an expression at a path; names are resolved in `scope`."""
    value: Value
    match expression:
        case LiteralExpr():
            value = Scalar(expression.value, expression.location)
        case ReferenceExpr():
            value = _evaluate_reference(expression, scope, path)
        case BoundExpr():
            value = _evaluate_bound(expression, scope, path)
        case ConjunctionExpr():
            conjuncts = [Conjunct(operand, scope) for operand in expression.operands]
            value = evaluate_conjuncts(conjuncts, path, expression.location)
        case DisjunctionExpr():
            value = _evaluate_disjunction(expression, scope, path)
        case RecordExpr():
            value = Struct([RecordSource(expression, scope, scope.closed)], path)
        case ListExpr():
            value = _evaluate_list(expression, scope, path)
    return value


def root_scope(closes_definitions: bool = False) -> Scope:
    """Returns a scope outside all records of a file."""
    evaluator = Evaluator(evaluate, evaluate_conjuncts)
    return Scope(None, None, closes_definitions=closes_definitions, evaluator=evaluator)


def evaluate_conjuncts(conjuncts: Sequence[Conjunct], path: str, location: SourceLocation) -> Value:
    """Returns the unification of all conjuncts, or `Top` at `location` if there are none."""
    value: Value = Top(location)
    for conjunct in conjuncts:
        value = unify(value, evaluate(conjunct.expression, conjunct.scope, path), path)
    return value


def _evaluate_bound(expression: BoundExpr, scope: Scope, path: str) -> Value:
    operand = resolve_default(evaluate(expression.operand, scope, path))
    if not isinstance(operand, Scalar) or not _is_valid_operand(expression.operator, operand.value):
        return _conflict(expression, path, f"a bound of {describe(operand)}", "a number or a string")
    if expression.operator is BoundOperator.MATCHES:
        problem = _regex_problem(operand.value)
        if problem:
            return _conflict(
                expression, path, f"{format_scalar(operand.value)}: {problem}", "a regular expression"
            )
    bounds = (Bound(expression.operator, operand.value),)
    return TypeConstraint(_bounded_kind(expression.operator, operand), None, bounds, expression.location)


def _is_valid_operand(operator: BoundOperator, operand: ScalarValue) -> bool:
    """Returns whether a scalar can be the operand of a bound: null has no order, booleans have no bounds."""
    if operand is None:
        return operator is BoundOperator.NOT_EQUAL
    return not isinstance(operand, bool)


def _bounded_kind(operator: BoundOperator, operand: Scalar) -> Kind | None:
    if operator is BoundOperator.NOT_EQUAL:
        return None  # scalars of other kinds are not equal to the operand either
    if operator is BoundOperator.MATCHES or isinstance(operand.value, str):
        return Kind.STRING
    return Kind.NUMBER


def _regex_problem(regex: ScalarValue) -> str:
    """Returns why a scalar is not a valid regular expression, or an empty string if it is one."""
    untyped_regex: Any = regex  # other types than a string raise TypeError
    try:
        re.compile(untyped_regex)
    except (re.error, TypeError) as error:
        return str(error)
    return ""


def _evaluate_disjunction(expression: DisjunctionExpr, scope: Scope, path: str) -> Value:
    alternatives: list[Alternative] = []
    for alternative in expression.alternatives:
        value = evaluate(alternative.expression, scope, path)
        if isinstance(value, Disjunction):
            alternatives += _flatten(value, alternative.is_default)
        else:
            alternatives.append(Alternative(value, alternative.is_default))
    return make_disjunction(alternatives, expression.location, path)


def _flatten(inner: Disjunction, is_default: bool) -> list[Alternative]:
    """Returns the alternatives of a nested disjunction; its defaults count only if it is a default itself."""
    has_default = any(inner_default for _, inner_default in inner.alternatives)
    return [
        Alternative(value, is_default and (inner_default or not has_default))
        for value, inner_default in inner.alternatives
    ]


def _evaluate_list(expression: ListExpr, scope: Scope, path: str) -> ListValue:
    if expression.element_template is not None:
        return ListValue(None, Conjunct(expression.element_template, scope), expression.location)
    elements = tuple(
        evaluate(element, scope, f"{path}[{index}]") for index, element in enumerate(expression.elements)
    )
    return ListValue(elements, None, expression.location)


def _evaluate_reference(expression: ReferenceExpr, scope: Scope, path: str) -> Value:
    name, *field_names = expression.names
    record = _find_record(name, scope)
    if record is None:
        return _evaluate_builtin(expression, scope, path)
    if is_definition(name):  # evaluated for each reference, at the path of the reference
        value = _evaluate_definition(expression, record, name, path)
    else:
        value = record.value(name)
    for field_name in field_names:
        value = resolve_default(value)
        if not isinstance(value, Struct) or field_name not in value.fields:
            full_name = ".".join(expression.names)
            expected = f"a record with a field '{field_name}'"
            return _conflict(expression, path, f"'{full_name}'", expected)
        value = value.value(field_name)
    return value


def _find_record(name: str, scope: Scope) -> Struct | None:
    """Returns the innermost enclosing record that has a field of that name, or None."""
    current: Scope | None = scope
    while current is not None:
        if current.record is not None and name in current.record.fields:
            return current.record
        current = current.outer
    return None


def _evaluate_builtin(expression: ReferenceExpr, scope: Scope, path: str) -> Value:
    name, *field_names = expression.names
    if not field_names:
        if name in CONSTANTS:
            return Scalar(CONSTANTS[name], expression.location)
        if name in KIND_NAMES:
            return TypeConstraint(Kind(name), None, (), expression.location)
        if name in UNITS:
            return TypeConstraint(Kind.STRING, name, (), expression.location)
    expected = closest_name(name, BUILTIN_NAMES + _visible_names(scope)) or "a defined name"
    return _conflict(expression, path, f"the unknown name '{name}'", expected)


def _evaluate_definition(expression: ReferenceExpr, record: Struct, name: str, path: str) -> Value:
    if name in record.evaluating:
        return _conflict(expression, path, "a reference to itself", "a value that does not depend on itself")
    record.evaluating.add(name)
    try:
        return evaluate_conjuncts(_definition_conjuncts(record, name), path, record.locations[name])
    finally:
        record.evaluating.discard(name)


def _definition_conjuncts(record: Struct, name: str) -> list[Conjunct]:
    """Returns the conjuncts of a definition for a reference to it, closed if its scope closes definitions."""
    return [
        Conjunct(conjunct.expression, _definition_scope(conjunct.scope)) for conjunct in record.fields[name]
    ]


def _definition_scope(scope: Scope) -> Scope:
    closed = scope.closed or scope.closes_definitions
    return Scope(scope.record, scope.outer, closed, scope.closes_definitions)


def _visible_names(scope: Scope) -> list[str]:
    names: list[str] = []
    current: Scope | None = scope
    while current is not None:
        if current.record is not None:
            names += current.record.fields
        current = current.outer
    return names


def _conflict(expression: Expression, path: str, found: str, expected: str) -> Conflict:
    return Conflict(Diagnostic(expression.location, path, found, expected))
