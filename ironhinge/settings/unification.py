"""Unification: computes the value that allows what two values both allow.

Unification is commutative and idempotent. If two values have nothing in common, the result is a `Conflict`.
"""

from __future__ import annotations

from .constraints import intersect, satisfies
from .description import describe
from .disjunctions import alternatives_of, is_same, make_disjunction
from .errors import Diagnostic
from .literals import format_scalar
from .syntax import ConjunctionExpr
from .values import (
    Alternative,
    Conflict,
    Conjunct,
    Disjunction,
    ListValue,
    ProperValue,
    Scalar,
    Struct,
    Top,
    TypeConstraint,
    Value,
)


def unify(first: Value, second: Value, path: str) -> Value:
    """Returns the value that allows what both values allow; `path` is used in diagnostics."""
    if isinstance(first, Conflict):
        return first
    if isinstance(first, Top) or isinstance(second, Conflict):
        return second
    if isinstance(second, Top):
        return first
    if isinstance(first, Disjunction) or isinstance(second, Disjunction):
        return _unify_disjunctions(first, second, path)
    return _unify_plain(first, second, path)


def _unify_plain(first: ProperValue, second: ProperValue, path: str) -> Value:
    result: Value
    match first, second:
        case Struct(), Struct():
            result = _unify_structs(first, second, path)
        case ListValue(), ListValue():
            result = _unify_lists(first, second, path)
        case Scalar(), Scalar():
            result = _unify_scalars(first, second, path)
        case TypeConstraint(), TypeConstraint():
            result = intersect(first, second, path)
        case (Scalar() as scalar, TypeConstraint() as constraint):
            result = _constrain(scalar, constraint, path)
        case (TypeConstraint() as constraint, Scalar() as scalar):
            result = _constrain(scalar, constraint, path)
        case _:
            result = _mismatch(first, second, path)
    return result


def _mismatch(first: ProperValue, second: ProperValue, path: str) -> Conflict:
    """Returns the conflict of two values of different classes; a type constraint is reported as expected."""
    found, expected = (second, first) if isinstance(first, TypeConstraint) else (first, second)
    return _conflict(found, describe(found), describe(expected), path)


def _conflict(found: ProperValue, found_text: str, expected_text: str, path: str) -> Conflict:
    return Conflict(Diagnostic(found.location, path, found_text, expected_text))


def _unify_disjunctions(first: ProperValue, second: ProperValue, path: str) -> Value:
    alternatives = [
        Alternative(unify(first_part, second_part, path), first_default and second_default)
        for first_part, first_default in alternatives_of(first)
        for second_part, second_default in alternatives_of(second)
    ]
    result = make_disjunction(alternatives, first.location, path)
    if isinstance(result, Conflict):
        # The diagnostic has the scalar as found, and all alternatives of the other value as expected.
        for scalar, other in ((first, second), (second, first)):
            if isinstance(scalar, Scalar):
                return _conflict(scalar, format_scalar(scalar.value), describe(other), path)
    elif isinstance(result, Disjunction) and all(is_default for _, is_default in result.alternatives):
        unmarked = tuple(Alternative(part, False) for part, _ in result.alternatives)
        return Disjunction(unmarked, result.location)
    return result


def _unify_structs(first: Struct, second: Struct, path: str) -> Struct:
    if first is second:
        return first
    known = {id(source.expression) for source in first.sources}
    added = [source for source in second.sources if id(source.expression) not in known]
    return Struct(first.sources + added, path)


def _unify_scalars(first: Scalar, second: Scalar, path: str) -> Scalar | Conflict:
    if is_same(first, second) or (_is_number(first) and _is_number(second) and first.value == second.value):
        return first if isinstance(first.value, int) else second
    expected = f"{format_scalar(second.value)} as written at {second.location}"
    return _conflict(first, format_scalar(first.value), expected, path)


def _is_number(scalar: Scalar) -> bool:
    return isinstance(scalar.value, int | float) and not isinstance(scalar.value, bool)


def _constrain(scalar: Scalar, constraint: TypeConstraint, path: str) -> Scalar | Conflict:
    if satisfies(scalar.value, constraint):
        return scalar
    return _conflict(scalar, format_scalar(scalar.value), describe(constraint), path)


def _unify_lists(first: ListValue, second: ListValue, path: str) -> Value:
    if first.elements is not None and second.elements is not None:
        return _unify_elements(first, first.elements, second, second.elements, path)
    if first.elements is not None and second.element_template is not None:
        return _apply_template(first, first.elements, second.element_template, path)
    if second.elements is not None and first.element_template is not None:
        return _apply_template(second, second.elements, first.element_template, path)
    return _unify_templates(first, second)


def _unify_elements(
    first: ListValue,
    first_elements: tuple[Value, ...],
    second: ListValue,
    second_elements: tuple[Value, ...],
    path: str,
) -> Value:
    if len(first_elements) != len(second_elements):
        expected = f"a list of {len(second_elements)} elements as written at {second.location}"
        return _conflict(first, f"a list of {len(first_elements)} elements", expected, path)
    elements = tuple(
        unify(first_element, second_element, f"{path}[{index}]")
        for index, (first_element, second_element) in enumerate(
            zip(first_elements, second_elements, strict=True)
        )
    )
    return ListValue(elements, None, first.location)


def _apply_template(
    closed: ListValue, elements: tuple[Value, ...], template: Conjunct, path: str
) -> ListValue:
    unified = tuple(
        unify(element, template.evaluate(f"{path}[{index}]"), f"{path}[{index}]")
        for index, element in enumerate(elements)
    )
    return ListValue(unified, None, closed.location)


def _unify_templates(first: ListValue, second: ListValue) -> ListValue:
    if is_same(first, second) or first.element_template is None or second.element_template is None:
        return first
    operands = (first.element_template.expression, second.element_template.expression)
    both = ConjunctionExpr(operands, first.location)
    return ListValue(None, Conjunct(both, first.element_template.scope), first.location)
