"""Owns the way from files to records: reads, unifies with the schema, and converts. It must never repair.

What no record can say alone (a budget within one that isn't there, a zone that the deployment lacks) is
checked here too, and told with the place of the field.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from importlib import resources
from typing import Any, NamedTuple

from .grammar import Record, Reference, Unreadable, Where, parse
from .records import Operations, Traffic, from_plain
from .unify import Env, Fault, Read, Struct, Text, evaluate, finish, printed, unify

ROOT = "#Operations"


class Wrong(Exception):
    """What is wrong with the settings: all of it."""

    def __init__(self, faults: Sequence[Fault]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = tuple(faults)


class Loaded(NamedTuple):
    operations: Operations
    plain: dict[str, Any]
    places: dict[str, Where]


def schema_text() -> str:
    return resources.files(__package__).joinpath("schema.cue").read_text(encoding="utf-8")


def read_texts(texts: Iterable[tuple[str, str]]) -> Read:
    """What several texts, each with its file's name, say together under the schema."""
    schema = Struct([Text(parse(schema_text(), "schema.cue"), Env(None, None, shuts=True), False)], "")
    base = evaluate(Reference((ROOT,), Where("schema.cue", 1, 1)), Env(schema, None), "")
    records: list[Record] = []
    faults: list[Fault] = []
    for file, text in texts:
        try:
            records.append(parse(text, file))
        except Unreadable as fault:
            faults.append(Fault(fault.at, "", fault.found, fault.expected))
    if faults:
        raise Wrong(faults)
    value = base
    if records:
        value = unify(Struct([Text(one, Env(schema, None), False) for one in records], ""), base, "")
    read = finish(value)
    if read.faults:
        raise Wrong(read.faults)
    return read


def load_texts(texts: Iterable[tuple[str, str]]) -> Loaded:
    read = read_texts(texts)
    operations = from_plain(read.value)
    faults = list(_relations(operations, read.places))
    if faults:
        raise Wrong(faults)
    return Loaded(operations, read.value, read.places)


def load(files: Sequence[str]) -> Loaded:
    """The settings that these files hold together; `Wrong` and `OSError` say what is the matter."""
    texts = []
    for file in files:
        with open(file, encoding="utf-8") as text:
            try:
                texts.append((file, text.read()))
            except UnicodeDecodeError:
                raise Wrong([Fault(Where(file, 1, 1), "", "bytes that are no UTF-8", "text")]) from None
    return load_texts(texts)


def _relations(operations: Operations, places: dict[str, Where]) -> Iterable[Fault]:
    traffic = operations.traffic
    if traffic is None:
        return
    for name, budget in traffic.budgets.items():
        path = f"traffic.budgets.{name}"
        if budget.rate is None and budget.sum is None:
            yield Fault(places[path], path, "neither a rate nor a sum", "one of them, or both")
        if budget.burst is not None and budget.rate is None:
            yield Fault(
                places[f"{path}.burst"], f"{path}.burst", "a burst without a rate", "a rate beside it"
            )
        if budget.streams is not None and budget.rate is None:
            at = places[f"{path}.streams"]
            yield Fault(at, f"{path}.streams", "streams without a rate", "a rate that they can be promised")
        seen, above = {name}, budget.within
        while above is not None:
            if above not in traffic.budgets:
                known = ", ".join(sorted(traffic.budgets))
                yield Fault(places[f"{path}.within"], f"{path}.within", f'"{above}"', f"one of {known}")
                break
            if above in seen:
                yield Fault(places[f"{path}.within"], f"{path}.within", "a circle", "a budget further up")
                break
            seen.add(above)
            above = traffic.budgets[above].within


def against(loaded: Loaded, zones: Sequence[str], vhosts: Sequence[str]) -> list[Fault]:
    """What of the settings a deployment lacks: names are only ever turned into places here and in the
    ledger.
    """
    faults: list[Fault] = []
    traffic: Traffic | None = loaded.operations.traffic

    def look(path: str, name: str | None, known: Sequence[str]) -> None:
        if name is not None and name not in known:
            faults.append(Fault(loaded.places[path], path, printed(name), "one of " + ", ".join(known)))

    if traffic is not None:
        for name, budget in traffic.budgets.items():
            path = f"traffic.budgets.{name}"
            look(f"{path}.into", budget.into, zones)
            look(f"{path}.out_of", budget.out_of, zones)
            for place, vhost in enumerate(budget.vhosts or ()):
                look(f"{path}.vhosts[{place}]", vhost, vhosts)
        for place, price in enumerate(traffic.prices):
            look(f"traffic.prices[{place}].into", price.into, zones)
            look(f"traffic.prices[{place}].out_of", price.out_of, zones)
    return faults


def write(plain: Any, indent: str = "") -> str:
    """A plain value in the language; `load_texts` reads it back as the same value."""
    if isinstance(plain, dict):
        lines = [
            f"{indent}{_label(name)}: {write(value, indent + '    ').lstrip()}"
            for name, value in plain.items()
        ]
        inside = "\n".join(lines)
        if not indent:
            return inside + "\n" * bool(lines)
        return f"{{\n{inside}\n{indent[4:]}}}" if lines else "{}"
    if isinstance(plain, list):
        return "[" + ", ".join(_inline(value) for value in plain) + "]"
    return printed(plain)


def _inline(plain: Any) -> str:
    if isinstance(plain, dict):
        return "{" + ", ".join(f"{_label(name)}: {_inline(value)}" for name, value in plain.items()) + "}"
    if isinstance(plain, list):
        return "[" + ", ".join(map(_inline, plain)) + "]"
    return printed(plain)


def _label(name: str) -> str:
    bare = name.isidentifier() and name.isascii()
    return name if bare else printed(name)
