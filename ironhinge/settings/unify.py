"""Owns what settings mean: values that stand for what is still allowed, and how two of them become one.

It must never read a file or know a field by name. Unification is commutative and idempotent; a record is what
all its texts say together, and is worked out field by field when asked for, so that references may point
forward. What can't be is told by `Fault`s, all of a text at once.
"""

from __future__ import annotations

import difflib
import re
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from . import units
from .grammar import All, Any_, Bound, Expr, Literal, Record, Reference, Where, quoted

KINDS = {"int": (int,), "number": (int, float), "string": (str,), "bool": (bool,), "null": (type(None),)}
CONSTANTS = {"true": True, "false": False, "null": None}
COMPARE = {
    "<": lambda a, b: a < b,
    "<=": lambda a, b: a <= b,
    ">": lambda a, b: a > b,
    ">=": lambda a, b: a >= b,
    "!=": lambda a, b: a != b,
}


class Fault(NamedTuple):
    """What is wrong, where, and what would be right."""

    at: Where
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.at}: {self.path or 'the file'}: found {self.found}, expected {self.expected}"


@dataclass
class Bottom:
    fault: Fault


@dataclass
class Top:
    at: Where


@dataclass
class Scalar:
    value: Any
    at: Where


@dataclass
class Wanted:
    """Any scalar of a kind, of a unit, within bounds."""

    kind: str | None
    unit: str | None
    bounds: tuple[tuple[str, Any], ...]
    at: Where


@dataclass
class Choice:
    """One of several; `marked` ones are taken when nothing else tells."""

    parts: tuple[tuple[Any, bool], ...]
    at: Where


@dataclass
class Rows:
    parts: tuple[Any, ...] | None  # None: any number of `rest`
    rest: Any
    at: Where


@dataclass
class Env:
    """Where a name is looked up: a record, then those around it."""

    record: Struct | None
    outer: Env | None
    closed: bool = False  # what stands here is within a definition, and says all that there is
    shuts: bool = False  # definitions that stand here close what they hold: the schema's, not an operator's


@dataclass
class Conjunct:
    of: Expr
    env: Env


@dataclass
class Text:
    """One record as written, in its place."""

    record: Record
    env: Env
    closed: bool


class Struct:
    """A record: all texts that say something of it. Its fields are worked out when asked for."""

    def __init__(self, texts: list[Text], path: str):
        self.texts, self.path = texts, path
        self.at = texts[0].record.at
        self.fields: dict[str, list[Conjunct]] = {}
        self.needed: dict[str, bool] = {}
        self.places: dict[str, Where] = {}
        self.known: dict[str, Any] = {}
        self.busy: set = set()
        self.faults: list[Fault] = []
        inner = [Env(self, text.env, text.closed, text.env.shuts) for text in texts]
        for text, env in zip(texts, inner, strict=True):
            for entry in text.record.entries:
                self.fields.setdefault(entry.name, []).append(Conjunct(entry.of, env))
                self.needed[entry.name] = self.needed.get(entry.name, False) or not entry.optional
                if not text.closed or entry.name not in self.places:
                    self.places[entry.name] = entry.at
        for text, env in zip(texts, inner, strict=True):
            names = {entry.name for entry in text.record.entries}
            for name in self.fields:
                if name in names or name.startswith("#"):
                    continue
                if text.record.pattern is not None:
                    self.fields[name].append(Conjunct(text.record.pattern, env))
                elif text.closed and not text.record.is_open:
                    near = difflib.get_close_matches(name, sorted(names), 1, 0.5)
                    hint = f"'{near[0]}'" if near else "one of " + ", ".join(sorted(names))
                    self.faults.append(
                        Fault(self.places[name], join(path, name), f"the unknown field '{name}'", hint)
                    )

    def value(self, name: str) -> Any:
        if name not in self.known:
            if name in self.busy:
                at = self.places[name]
                return Bottom(
                    Fault(at, join(self.path, name), "a reference to itself", "something that ends")
                )
            self.busy.add(name)
            try:
                self.known[name] = together(self.fields[name], join(self.path, name), self.places[name])
            finally:
                self.busy.discard(name)
        return self.known[name]


def join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def together(conjuncts: list[Conjunct], path: str, at: Where) -> Any:
    """What several texts say of one thing."""
    value: Any = Top(at)
    for each in conjuncts:
        value = unify(value, evaluate(each.of, each.env, path), path)
    return value


def evaluate(of: Expr, env: Env, path: str) -> Any:
    if isinstance(of, Literal):
        return Scalar(of.value, of.at)
    if isinstance(of, Reference):
        return _resolve(of, env, path)
    if isinstance(of, Bound):
        against = chosen(evaluate(of.of, env, path))
        if not isinstance(against, Scalar) or isinstance(against.value, bool):
            return Bottom(Fault(of.at, path, f"a bound of {said(against)}", "a number or a text"))
        if of.op == "=~":
            try:
                re.compile(against.value)
            except (re.error, TypeError) as fault:
                return Bottom(Fault(of.at, path, f"{printed(against.value)}: {fault}", "a pattern"))
        kind = "string" if of.op == "=~" or isinstance(against.value, str) else "number"
        return Wanted(None if of.op == "!=" else kind, None, ((of.op, against.value),), of.at)
    if isinstance(of, All):
        return together([Conjunct(part, env) for part in of.parts], path, of.at)
    if isinstance(of, Any_):
        found: list[tuple[Any, bool]] = []
        for part, marked in of.parts:
            value = evaluate(part, env, path)
            if isinstance(value, Choice):  # a choice within: its own default holds where this one is taken
                some = any(mark for _, mark in value.parts)
                found += [(each, marked and (mark or not some)) for each, mark in value.parts]
            else:
                found.append((value, marked))
        return narrowed(found, of.at, path)
    if isinstance(of, Record):
        return Struct([Text(of, env, env.closed)], path)
    if of.rest is not None:
        return Rows(None, Conjunct(of.rest, env), of.at)
    parts = tuple(evaluate(part, env, f"{path}[{place}]") for place, part in enumerate(of.parts))
    return Rows(parts, None, of.at)


def _resolve(of: Reference, env: Env, path: str) -> Any:
    first, *rest = of.names
    scope: Env | None = env
    while scope is not None and (scope.record is None or first not in scope.record.fields):
        scope = scope.outer
    if scope is None or scope.record is None:
        if first in CONSTANTS and not rest:
            return Scalar(CONSTANTS[first], of.at)
        if first in KINDS and not rest:
            return Wanted(first, None, (), of.at)
        if first in units.UNITS and not rest:
            return Wanted("string", first, (), of.at)
        names = [name for name in (*KINDS, *units.UNITS, *CONSTANTS)]
        near = difflib.get_close_matches(first, names + _names(env), 1, 0.5)
        hint = f"'{near[0]}'" if near else "a name that is defined"
        return Bottom(Fault(of.at, path, f"the unknown name '{first}'", hint))
    if first.startswith("#"):  # what a definition holds is all that there is
        texts, at = scope.record.fields[first], scope.record.places[first]
        shut = [
            Conjunct(
                each.of,
                Env(each.env.record, each.env.outer, each.env.closed or each.env.shuts, each.env.shuts),
            )
            for each in texts
        ]
        value = together(shut, path, at)
    else:
        value = scope.record.value(first)
    for name in rest:
        value = chosen(value)
        if not isinstance(value, Struct) or name not in value.fields:
            return Bottom(Fault(of.at, path, f"'{'.'.join(of.names)}'", f"a record with a field '{name}'"))
        value = value.value(name)
    return value


def _names(env: Env) -> list[str]:
    out: list[str] = []
    scope: Env | None = env
    while scope is not None:
        out += list(scope.record.fields) if scope.record is not None else []
        scope = scope.outer
    return out


def chosen(value: Any) -> Any:
    """A choice's default, if it has exactly one."""
    if isinstance(value, Choice):
        marked = [each for each, mark in value.parts if mark]
        return marked[0] if len(marked) == 1 else value
    return value


def narrowed(parts: list[tuple[Any, bool]], at: Where, path: str) -> Any:
    """A choice of what is possible among these; nothing possible is the last one's fault, told as a
    choice.
    """
    kept: list[tuple[Any, bool]] = []
    for value, mark in parts:
        if isinstance(value, Bottom) or faults_of(value):
            continue
        twins = [place for place, (other, _) in enumerate(kept) if same(value, other)]
        if twins:
            kept[twins[0]] = (kept[twins[0]][0], kept[twins[0]][1] or mark)
        else:
            kept.append((value, mark))
    kept = [
        (value, mark)
        for value, mark in kept
        if not any(within(value, wider) and (also or not mark) for wider, also in kept if wider is not value)
    ]
    if len(kept) > 1 and any(isinstance(value, Struct) for value, _ in kept):
        # which of them is meant could only be told from fields, and what is wrong with one never
        return Bottom(Fault(at, path, "a choice between records", "one record with optional fields"))
    if not kept:
        faults = [faults_of(value) for value, _ in parts]
        if len(faults) == 1:
            return Bottom(faults[0][0])
        expected = " or ".join(dict.fromkeys(each[0].expected for each in faults))
        best = faults[0][0]
        return Bottom(Fault(best.at, path or best.path, best.found, expected))
    return kept[0][0] if len(kept) == 1 else Choice(tuple(kept), at)


def within(one: Any, wider: Any) -> bool:
    """True when a kind with bounds allows nothing that the other does not: told twice it would be one
    thing.
    """
    if not isinstance(one, Wanted) or not isinstance(wider, Wanted) or same(one, wider):
        return False
    kind = wider.kind in (None, one.kind) or (wider.kind, one.kind) == ("number", "int")
    return kind and wider.unit in (None, one.unit) and set(wider.bounds) <= set(one.bounds)


def same(one: Any, other: Any) -> bool:
    if isinstance(one, Scalar) and isinstance(other, Scalar):
        return type(one.value) is type(other.value) and one.value == other.value
    if isinstance(one, Wanted) and isinstance(other, Wanted):
        return (one.kind, one.unit, set(one.bounds)) == (other.kind, other.unit, set(other.bounds))
    if isinstance(one, Rows) and isinstance(other, Rows):
        if one.parts is None or other.parts is None:
            return one.parts is other.parts and one.rest.of == other.rest.of
        return len(one.parts) == len(other.parts) and all(map(same, one.parts, other.parts))
    return one is other


def faults_of(value: Any) -> list[Fault]:
    """All that can't be within a value, however deep."""
    if isinstance(value, Bottom):
        return [value.fault]
    if isinstance(value, Struct):
        out = list(value.faults)
        for name in value.fields:
            if value.needed[name] and not name.startswith("#"):
                out += faults_of(value.value(name))
        return out
    if isinstance(value, Rows) and value.parts is not None:
        return [fault for part in value.parts for fault in faults_of(part)]
    return []


def said(value: Any) -> str:
    """What a value allows, in words."""
    if isinstance(value, Scalar):
        return printed(value.value)
    if isinstance(value, Wanted):
        words = [value.kind] if value.kind and not value.unit else []
        if value.unit:
            words.append(f"a {value.unit.lower()} such as {units.UNITS[value.unit].example}")
        words += [f"{op}{printed(of)}" for op, of in value.bounds]
        return " & ".join(words) if words else "anything"
    if isinstance(value, Choice):
        return " | ".join(dict.fromkeys(said(part) for part, _ in value.parts))
    return {Struct: "a record", Rows: "a list", Top: "anything"}.get(type(value), "nothing")


def printed(value: Any) -> str:
    """A plain value in the language."""
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    if isinstance(value, str):
        return quoted(value)
    if isinstance(value, float):
        return repr(value)
    return str(value)


def unify(one: Any, other: Any, path: str) -> Any:
    """What both allow."""
    for value, rest in ((one, other), (other, one)):
        if isinstance(value, Bottom):
            return value
        if isinstance(value, Top):
            return rest
    if isinstance(one, Choice) or isinstance(other, Choice):
        parts = []
        mine, theirs = _marks(one), _marks(other)
        for left, left_mark in mine:
            for right, right_mark in theirs:
                parts.append((unify(left, right, path), left_mark and right_mark))
        kept = narrowed(parts, one.at, path)
        if isinstance(kept, Bottom):
            # the value that does not fit is what was found; all that would do is what was expected
            value = one if isinstance(one, Scalar) else other if isinstance(other, Scalar) else None
            if value is not None:
                expected = said(other if value is one else one)
                return Bottom(Fault(value.at, path, printed(value.value), expected))
        elif isinstance(kept, Choice) and all(mark for _, mark in kept.parts):
            kept = Choice(tuple((part, False) for part, _ in kept.parts), kept.at)
        return kept
    if isinstance(one, Struct) and isinstance(other, Struct):
        if one is other:
            return one
        known = {id(text.record): text for text in one.texts}
        more = [text for text in other.texts if id(text.record) not in known]
        return Struct(one.texts + more, path)
    if isinstance(one, Rows) and isinstance(other, Rows):
        return _rows(one, other, path)
    if isinstance(one, Scalar) and isinstance(other, Scalar):
        if same(one, other) or (_number(one) and _number(other) and one.value == other.value):
            return one if isinstance(one.value, int) else other
        return Bottom(Fault(one.at, path, printed(one.value), f"{printed(other.value)} as at {other.at}"))
    if isinstance(one, Wanted) and isinstance(other, Wanted):
        return _narrower(one, other, path)
    for value, want in ((one, other), (other, one)):
        if isinstance(value, Scalar) and isinstance(want, Wanted):
            return value if _fits(value.value, want) else _misfit(value, want, path)
    value, want = (other, one) if isinstance(one, (Wanted, Top)) else (one, other)
    return Bottom(Fault(value.at, path, said(value), said(want)))


def _number(value: Scalar) -> bool:
    return isinstance(value.value, (int, float)) and not isinstance(value.value, bool)


def _marks(value: Any) -> list[tuple[Any, bool]]:
    """A choice's parts; without any mark all count as marked."""
    if not isinstance(value, Choice):
        return [(value, True)]
    some = any(mark for _, mark in value.parts)
    return [(part, mark or not some) for part, mark in value.parts]


def _misfit(value: Scalar, want: Wanted, path: str) -> Bottom:
    return Bottom(Fault(value.at, path, printed(value.value), said(want)))


def _fits(value: Any, want: Wanted) -> bool:
    if want.kind is not None:
        if not isinstance(value, KINDS[want.kind]) or isinstance(value, bool) is not (want.kind == "bool"):
            return False
    figure = value
    if want.unit is not None:
        figure = units.parse(want.unit, value) if isinstance(value, str) else None
        if figure is None:
            return False
    for op, of in want.bounds:
        if op == "=~":
            if not isinstance(value, str) or not re.search(of, value):
                return False
            continue
        against = units.parse(want.unit, of) if want.unit and isinstance(of, str) else of
        if isinstance(figure, str) is not isinstance(against, str) or isinstance(figure, bool):
            if op != "!=":
                return False
        elif not COMPARE[op](figure, against):
            return False
    return True


def _narrower(one: Wanted, other: Wanted, path: str) -> Any:
    kinds = {one.kind, other.kind} - {None}
    if kinds == {"int", "number"}:
        kinds = {"int"}
    if len(kinds) > 1 or (one.unit and other.unit and one.unit != other.unit):
        return Bottom(Fault(one.at, path, said(one), said(other)))
    bounds = tuple(sorted(set(one.bounds) | set(other.bounds), key=repr))
    return Wanted(next(iter(kinds), None), one.unit or other.unit, bounds, one.at)


def _rows(one: Rows, other: Rows, path: str) -> Any:
    if one.parts is not None and other.parts is not None:
        if len(one.parts) != len(other.parts):
            found, expected = f"a list of {len(one.parts)}", f"one of {len(other.parts)} as at {other.at}"
            return Bottom(Fault(one.at, path, found, expected))
        parts = [
            unify(a, b, f"{path}[{place}]")
            for place, (a, b) in enumerate(zip(one.parts, other.parts, strict=True))
        ]
        return Rows(tuple(parts), None, one.at)
    if one.parts is None and other.parts is None:
        if same(one, other):
            return one
        return Rows(None, Conjunct(All((one.rest.of, other.rest.of), one.at), one.rest.env), one.at)
    whole, rest = (one, other.rest) if one.parts is not None else (other, one.rest)
    parts = [
        unify(part, evaluate(rest.of, rest.env, f"{path}[{place}]"), f"{path}[{place}]")
        for place, part in enumerate(whole.parts or ())
    ]
    return Rows(tuple(parts), None, whole.at)


@dataclass
class Read:
    """A whole text worked out: its plain value, and where each path stands."""

    value: Any = None
    places: dict[str, Where] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def finish(value: Any, path: str = "", at: Where | None = None) -> Read:
    """The plain value of a record, defaults taken; every fault of it, each told once."""
    read = Read()
    read.value = _plain(value, path, at or value.at, read)
    read.faults = sorted(dict.fromkeys(read.faults), key=lambda fault: (fault.at, fault.path))
    return read


def _plain(value: Any, path: str, at: Where, read: Read) -> Any:
    value = chosen(value)
    read.places[path] = value.at if hasattr(value, "at") else at
    if isinstance(value, Scalar):
        return value.value
    if isinstance(value, Bottom):
        read.faults.append(value.fault)
        return None
    if isinstance(value, Struct):
        read.faults += value.faults
        out: dict[str, Any] = {}
        for name in value.fields:
            if name.startswith("#"):
                continue
            if not value.needed[name]:
                continue
            below = value.value(name)
            if not _is_concrete(below) and not isinstance(chosen(below), Bottom):
                read.faults.append(
                    Fault(value.at, join(path, name), "nothing", f"{said(below)}: the field is missing")
                )
                continue
            out[name] = _plain(below, join(path, name), value.places[name], read)
        return out
    if isinstance(value, Rows):
        return [
            _plain(part, f"{path}[{place}]", value.at, read) for place, part in enumerate(value.parts or ())
        ]
    read.faults.append(Fault(read.places[path], path, said(value), "one value"))
    return None


def _is_concrete(value: Any) -> bool:
    return isinstance(chosen(value), (Scalar, Struct, Rows))
