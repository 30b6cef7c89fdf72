"""Parses the text of settings to a syntax tree. Only the syntax is checked here, not the values."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from lark import Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from .errors import SettingsSyntaxError, SourceLocation
from .grammar import TOKEN_DESCRIPTIONS, parser
from .literals import unquote
from .syntax import (
    AlternativeExpr,
    BoundExpr,
    BoundOperator,
    ConjunctionExpr,
    DisjunctionExpr,
    Expression,
    FieldDeclaration,
    ListExpr,
    LiteralExpr,
    RecordExpr,
    ReferenceExpr,
)

MAX_OPEN_BRACKETS = 60  # prevents a stack overflow by a file of nothing but opening brackets
MAX_NUMBER_LENGTH = 40  # characters
MAX_EXPECTED_TOKENS = 6  # listed in one diagnostic
END_TOKEN = "$END"  # the type of the token at the end of the input
OPENING_BRACKETS, CLOSING_BRACKETS = "{[(", "}])"
PATTERN_NAME = "string"  # the only name that the brackets of a pattern (`[string]: ...`) may have


class _Meta(Protocol):
    """The position of the text that a rule matched; it has neither attribute if that text is empty."""

    line: int
    column: int


@v_args(meta=True)
class TreeBuilder(Transformer[Token, RecordExpr]):
    """Builds the syntax tree of one file; each public method handles the grammar rule of the same name."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self._file = file

    def _location(self, meta: _Meta) -> SourceLocation:
        return SourceLocation(self._file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def start(self, _meta: _Meta, children: list[RecordExpr]) -> RecordExpr:
        """Returns the record that the whole file declares."""
        return children[0]

    def body(self, meta: _Meta, children: list[FieldDeclaration | Expression | None]) -> RecordExpr:
        """Returns the record of a list of declarations; a child that is None is the open marker (`...`)."""
        fields = tuple(child for child in children if isinstance(child, FieldDeclaration))
        patterns = [
            child for child in children if child is not None and not isinstance(child, FieldDeclaration)
        ]
        if len(patterns) > 1:
            raise SettingsSyntaxError(
                patterns[1].location, "a second pattern", "at most one '[string]: ...' in a record"
            )
        pattern = patterns[0] if patterns else None
        return RecordExpr(fields, pattern, None in children, self._location(meta))

    def label(self, _meta: _Meta, children: list[Token]) -> tuple[str, SourceLocation]:
        """Returns the name of a field and its location."""
        token = children[0]
        name = unquote(token) if token.type == "STRING" else str(token)
        return name, SourceLocation(self._file, token.line or 1, token.column or 1)

    def field(self, _meta: _Meta, children: list[Any]) -> FieldDeclaration:
        """Returns a required field."""
        (name, location), expression = children
        return FieldDeclaration(name, False, expression, location)

    def optional_field(self, _meta: _Meta, children: list[Any]) -> FieldDeclaration:
        """Returns an optional field."""
        (name, location), expression = children
        return FieldDeclaration(name, True, expression, location)

    def nested_field(self, _meta: _Meta, children: list[Any]) -> FieldDeclaration:
        """Returns a field whose value is a record of one field, written without braces (`a: b: 1`)."""
        (name, location), inner = children
        record = RecordExpr((inner,), None, False, inner.location)
        return FieldDeclaration(name, False, record, location)

    def pattern(self, meta: _Meta, children: list[Any]) -> Expression:
        """Returns the constraint on all fields that are not declared."""
        name, expression = children
        if name != PATTERN_NAME:
            raise SettingsSyntaxError(self._location(meta), f"[{name}]", f"[{PATTERN_NAME}]")
        result: Expression = expression
        return result

    def open_marker(self, _meta: _Meta, _children: list[Any]) -> None:
        """Returns None, which marks a record that allows undeclared fields."""

    def plain_alternative(self, _meta: _Meta, children: list[Expression]) -> AlternativeExpr:
        """Returns an alternative that is not a default."""
        return AlternativeExpr(children[0], False)

    def default_alternative(self, _meta: _Meta, children: list[Expression]) -> AlternativeExpr:
        """Returns an alternative that is marked as a default."""
        return AlternativeExpr(children[0], True)

    def disjunction(self, meta: _Meta, children: list[AlternativeExpr]) -> Expression:
        """Returns a disjunction, or the expression itself if it is the only one and not marked as default."""
        if len(children) == 1 and not children[0].is_default:
            return children[0].expression
        return DisjunctionExpr(tuple(children), self._location(meta))

    def conjunction(self, meta: _Meta, children: list[Expression]) -> Expression:
        """Returns a conjunction, or the expression itself if there is only one."""
        if len(children) == 1:
            return children[0]
        return ConjunctionExpr(tuple(children), self._location(meta))

    def bound(self, meta: _Meta, children: list[Any]) -> BoundExpr:
        """Returns a bound: an operator with its operand."""
        operator, operand = children
        return BoundExpr(BoundOperator(str(operator)), operand, self._location(meta))

    def number(self, meta: _Meta, children: list[Token]) -> LiteralExpr:
        """Returns a number, which is a float if it is written with a decimal point or an exponent."""
        text = str(children[0])
        if len(text) > MAX_NUMBER_LENGTH:
            raise SettingsSyntaxError(
                self._location(meta), f"a number of {len(text)} characters", f"at most {MAX_NUMBER_LENGTH}"
            )
        is_integer = not set(text) & set(".eE")
        return LiteralExpr(int(text) if is_integer else float(text), self._location(meta))

    def string(self, meta: _Meta, children: list[Token]) -> LiteralExpr:
        """Returns a string."""
        return LiteralExpr(unquote(children[0]), self._location(meta))

    def reference(self, meta: _Meta, children: list[Token]) -> ReferenceExpr:
        """Returns a reference: a name, followed by the names of nested fields."""
        return ReferenceExpr(tuple(map(str, children)), self._location(meta))

    def record(self, meta: _Meta, children: list[RecordExpr]) -> RecordExpr:
        """Returns a record in braces, with the location of the opening brace."""
        body = children[0]
        return RecordExpr(body.fields, body.pattern, body.is_open, self._location(meta))

    def closed_list(self, meta: _Meta, children: list[Expression | None]) -> ListExpr:
        """Returns a list with given elements."""
        elements = tuple(child for child in children if child is not None)
        return ListExpr(elements, None, self._location(meta))

    def open_list(self, meta: _Meta, children: list[Expression]) -> ListExpr:
        """Returns a list of any length with a template for its elements."""
        return ListExpr((), children[0], self._location(meta))

    def group(self, _meta: _Meta, children: list[Expression]) -> Expression:
        """Returns an expression in parentheses."""
        return children[0]


def parse(text: str, file: str) -> RecordExpr:
    """Parses a text of settings.

    Args:
        text: The text to parse.
        file: The name of its file, for source locations.

    Raises:
        SettingsSyntaxError: The text violates the grammar or is nested too deeply.
    """
    _check_nesting(text, file)
    try:
        return TreeBuilder(file).transform(parser().parse(text))
    except VisitError as error:
        if isinstance(error.orig_exc, RecursionError):  # `a: b: c: ...` nests records without brackets
            raise _depth_error(file) from None
        raise error.orig_exc from None
    except RecursionError:
        raise _depth_error(file) from None
    except UnexpectedInput as error:
        raise _syntax_error(error, text, file) from None


def _depth_error(file: str) -> SettingsSyntaxError:
    return SettingsSyntaxError(SourceLocation(file, 1, 1), "records nested too deeply", "fewer levels")


def _check_nesting(text: str, file: str) -> None:
    """Raises `SettingsSyntaxError` if too many brackets are open at the end of a line.

    Brackets in strings and comments are counted as well, since the text is not tokenised here.
    """
    depth = 0
    for number, line in enumerate(text.split("\n"), 1):
        depth += _count(line, OPENING_BRACKETS)
        depth -= _count(line, CLOSING_BRACKETS)
        if depth > MAX_OPEN_BRACKETS:
            location = SourceLocation(file, number, 1)
            raise SettingsSyntaxError(
                location, f"more than {MAX_OPEN_BRACKETS} open braces and brackets", "fewer"
            )


def _count(line: str, brackets: str) -> int:
    return sum(map(line.count, brackets))


def _syntax_error(error: UnexpectedInput, text: str, file: str) -> SettingsSyntaxError:
    expected = _describe_expected(error)
    token = getattr(error, "token", None)
    if token is not None and token.type == END_TOKEN:
        lines = text.rstrip("\n").split("\n")
        location = SourceLocation(file, len(lines), len(lines[-1]) + 1)
        return SettingsSyntaxError(location, TOKEN_DESCRIPTIONS[END_TOKEN], expected)
    found = repr(str(token)) if token is not None else repr(getattr(error, "char", "?"))
    location = SourceLocation(file, max(1, error.line), max(1, error.column))
    return SettingsSyntaxError(location, found, expected or "something else")


def _describe_expected(error: UnexpectedInput) -> str:
    # Each class of the parser's exceptions has the expected tokens in another attribute.
    tokens: Iterable[str] = ()
    for attribute in ("accepts", "expected", "allowed"):
        tokens = tokens or getattr(error, attribute, None) or ()
    descriptions = {TOKEN_DESCRIPTIONS.get(token, f"'{token}'") for token in tokens}
    return " or ".join(sorted(descriptions)[:MAX_EXPECTED_TOKENS])
