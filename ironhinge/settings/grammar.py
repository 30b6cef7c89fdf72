"""Owns the text of settings: from characters to a tree with places. It must never judge what it reads.

Commas and newlines between fields are optional: no expression goes on after a complete one but by `&` or `|`.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple, Union

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

GRAMMAR = r"""
start: body
body: (decl ","?)*
?decl: named
     | label "?" ":" expr -> optional
     | "[" NAME "]" ":" expr -> pattern
     | "..." -> open
?named: label ":" expr -> field
      | label ":" named -> nested
label: NAME | STRING
expr: "|"? alt ("|" alt)*
alt: conj -> plain
   | "*" conj -> marked
conj: unary ("&" unary)*
?unary: OP atom -> bound
      | atom
?atom: NUMBER -> number
     | STRING -> text
     | NAME ("." NAME)* -> reference
     | "{" body "}" -> record
     | "[" [expr ("," expr)*] ","? "]" -> row
     | "[" "..." expr "]" -> rest
     | "(" expr ")" -> group
OP: "<=" | ">=" | "=~" | "!=" | "<" | ">"
NAME: /#?[A-Za-z_][A-Za-z0-9_]*/
NUMBER: /-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?/
STRING: /"([^"\\\n]|\\["\\nt])*"/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""
ESCAPES = {"\\n": "\n", "\\t": "\t", '\\"': '"', "\\\\": "\\"}
DEEPEST = 60  # braces within braces; guards the stack against a file of nothing but openings


class Where(NamedTuple):
    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Literal:
    value: Any  # int, float, str
    at: Where


@dataclass(frozen=True)
class Reference:
    names: tuple[str, ...]
    at: Where


@dataclass(frozen=True)
class Bound:
    op: str
    of: Expr
    at: Where


@dataclass(frozen=True)
class All:
    parts: tuple[Expr, ...]
    at: Where


@dataclass(frozen=True)
class Any_:
    parts: tuple[tuple[Expr, bool], ...]  # each with whether it is marked as the default
    at: Where


@dataclass(frozen=True)
class Entry:
    name: str
    optional: bool
    of: Expr
    at: Where


@dataclass(frozen=True)
class Record:
    entries: tuple[Entry, ...]
    pattern: Expr | None
    is_open: bool
    at: Where


@dataclass(frozen=True)
class Row:
    parts: tuple[Expr, ...]
    rest: Expr | None
    at: Where


Expr = Union[Literal, Reference, Bound, All, Any_, Record, Row]


class Unreadable(Exception):
    """The text is not of the language; says where and what was expected there."""

    def __init__(self, at: Where, found: str, expected: str):
        super().__init__(f"{at}: found {found}, expected {expected}")
        self.at, self.found, self.expected = at, found, expected


def unquoted(token: str) -> str:
    out, at, text = [], 0, token[1:-1]
    while at < len(text):
        two = text[at : at + 2]
        out.append(ESCAPES.get(two, text[at]))
        at += 2 if two in ESCAPES else 1
    return "".join(out)


def quoted(text: str) -> str:
    back = {value: key for key, value in ESCAPES.items()}
    return '"' + "".join(back.get(each, each) for each in text) + '"'


@v_args(meta=True)
class Builder(Transformer):
    def __init__(self, file: str):
        super().__init__()
        self.file = file

    def at(self, meta: Any) -> Where:
        return Where(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def start(self, meta: Any, parts: list[Any]) -> Record:
        return parts[0]

    def body(self, meta: Any, parts: list[Any]) -> Record:
        entries = tuple(each for each in parts if isinstance(each, Entry))
        others = [each for each in parts if not isinstance(each, Entry)]
        patterns = [each for each in others if each is not None]
        if len(patterns) > 1:
            raise Unreadable(patterns[1].at, "a second pattern", "at most one '[string]: ...' in a record")
        return Record(entries, patterns[0] if patterns else None, None in others, self.at(meta))

    def label(self, meta: Any, parts: list[Token]) -> tuple[str, Where]:
        token = parts[0]
        name = unquoted(token) if token.type == "STRING" else str(token)
        return name, Where(self.file, token.line or 1, token.column or 1)

    def field(self, meta: Any, parts: list[Any]) -> Entry:
        return Entry(parts[0][0], False, parts[1], parts[0][1])

    def nested(self, meta: Any, parts: list[Any]) -> Entry:
        inner = Record((parts[1],), None, False, parts[1].at)
        return Entry(parts[0][0], False, inner, parts[0][1])

    def optional(self, meta: Any, parts: list[Any]) -> Entry:
        return Entry(parts[0][0], True, parts[1], parts[0][1])

    def pattern(self, meta: Any, parts: list[Any]) -> Expr:
        if parts[0] != "string":
            raise Unreadable(self.at(meta), f"[{parts[0]}]", "[string]")
        return parts[1]

    def open(self, meta: Any, parts: list[Any]) -> None:
        return None

    def plain(self, meta: Any, parts: list[Any]) -> tuple[Expr, bool]:
        return parts[0], False

    def marked(self, meta: Any, parts: list[Any]) -> tuple[Expr, bool]:
        return parts[0], True

    def expr(self, meta: Any, parts: list[Any]) -> Expr:
        if len(parts) == 1 and not parts[0][1]:
            return parts[0][0]
        return Any_(tuple(parts), self.at(meta))

    def conj(self, meta: Any, parts: list[Any]) -> Expr:
        return parts[0] if len(parts) == 1 else All(tuple(parts), self.at(meta))

    def bound(self, meta: Any, parts: list[Any]) -> Bound:
        return Bound(str(parts[0]), parts[1], self.at(meta))

    def number(self, meta: Any, parts: list[Token]) -> Literal:
        text = str(parts[0])
        whole = not set(text) & set(".eE")
        if len(text) > 40:
            raise Unreadable(self.at(meta), f"a number of {len(text)} digits", "at most 40")
        return Literal(int(text) if whole else float(text), self.at(meta))

    def text(self, meta: Any, parts: list[Token]) -> Literal:
        return Literal(unquoted(parts[0]), self.at(meta))

    def reference(self, meta: Any, parts: list[Token]) -> Reference:
        return Reference(tuple(map(str, parts)), self.at(meta))

    def record(self, meta: Any, parts: list[Record]) -> Record:
        inner = parts[0]
        return Record(inner.entries, inner.pattern, inner.is_open, self.at(meta))

    def row(self, meta: Any, parts: list[Any]) -> Row:
        return Row(tuple(each for each in parts if each is not None), None, self.at(meta))

    def rest(self, meta: Any, parts: list[Any]) -> Row:
        return Row((), parts[0], self.at(meta))

    def group(self, meta: Any, parts: list[Any]) -> Expr:
        return parts[0]


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


WORDS: dict[str, str] = {
    "NAME": "a name",
    "STRING": "a text in quotes",
    "NUMBER": "a number",
    "OP": "a bound",
    "COLON": "':'",
    "RBRACE": "'}'",
    "RSQB": "']'",
    "RPAR": "')'",
    "COMMA": "','",
    "VBAR": "'|'",
    "AMPERSAND": "'&'",
    "LSQB": "'['",
    "LBRACE": "'{'",
    "LPAR": "'('",
    "QMARK": "'?'",
    "DOT": "'.'",
    "STAR": "'*'",
    "__ANON_0": "'...'",
    "$END": "the end of the file",
}


def parse(text: str, file: str) -> Record:
    """The record that a file holds; `Unreadable` tells the place of the first thing that can't be."""
    depth = 0
    for number, line in enumerate(text.split("\n"), 1):
        depth += line.count("{") + line.count("[") + line.count("(")
        depth -= line.count("}") + line.count("]") + line.count(")")
        if depth > DEEPEST:
            raise Unreadable(Where(file, number, 1), f"more than {DEEPEST} open braces", "fewer")
    try:
        return Builder(file).transform(_parser().parse(text))
    except VisitError as fault:
        raise fault.orig_exc from None
    except UnexpectedInput as fault:
        token = getattr(fault, "token", None)
        names = getattr(fault, "accepts", None) or getattr(fault, "expected", None) or ()
        allowed = getattr(fault, "allowed", None) or ()
        expected = " or ".join(sorted({WORDS.get(name, f"'{name}'") for name in (names or allowed)})[:6])
        if token is not None and token.type == "$END":
            lines = text.rstrip("\n").split("\n")
            raise Unreadable(
                Where(file, len(lines), len(lines[-1]) + 1), "the end of the file", expected
            ) from None
        found = repr(str(token)) if token is not None else repr(getattr(fault, "char", "?"))
        raise Unreadable(
            Where(file, max(1, fault.line), max(1, fault.column)), found, expected or "something else"
        ) from None
