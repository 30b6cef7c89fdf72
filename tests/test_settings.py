"""The settings language: what it means, what it refuses and where it says so."""

import json
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironhinge.settings import units
from ironhinge.settings.grammar import Unreadable, Where, parse
from ironhinge.settings.load import Wrong, against, load_texts, schema_text, write
from ironhinge.settings.unify import Bottom, Choice, Env, Rows, Scalar, Struct, Text, Top, Wanted, unify

FEW = settings(max_examples=60)


def faults(text):
    with pytest.raises(Wrong) as wrong:
        load_texts([("f", text)])
    return [str(fault) for fault in wrong.value.faults]


def test_an_empty_file_turns_nothing_on():
    assert load_texts([("f", "")]).operations.traffic is None


def test_defaults_units_and_references():
    told = load_texts(
        [("f", 'traffic: budgets: a: {rate: "1.5MB/s", burst: traffic.budgets.a.sum, sum: "2GiB"}')]
    ).operations.traffic
    budget = told.budgets["a"]
    assert (budget.rate, budget.burst, budget.ahead) == (1_500_000, 2 * 2**30, 0.02)
    assert budget.ways == ("other-hub",) and told.period == 30 * 864_000_000


def test_a_base_and_a_sites_file_are_one():
    base = ("base", 'traffic: {period: "1d", budgets: {a: {rate: "1MB/s"}}}')
    site = ("site", 'traffic: {budgets: {a: {burst: "2MB"}, b: {sum: "1TB"}}}')
    told = load_texts([base, site]).operations.traffic
    assert told.budgets["a"].burst == 2_000_000 and told.budgets["b"].sum == 10**12
    assert load_texts([base, site]).plain == load_texts([site, base]).plain
    with pytest.raises(Wrong) as wrong:
        load_texts([base, ("site", 'traffic: period: "2d"')])
    assert "base:1:19" in str(wrong.value) or "site:1:18" in str(wrong.value)


def test_an_operators_own_definition_is_a_template():
    text = '#Hub: {rate: "1MB/s", emergency: {rate: "10KB/s"}}\n'
    text += 'traffic: budgets: {a: #Hub, b: #Hub & {sum: "1TB"}}'
    told = load_texts([("f", text)]).operations.traffic
    assert told.budgets["b"].sum == 10**12 and told.budgets["a"].emergency.rate == 10_000


def test_all_errors_come_at_once_with_their_places():
    found = faults(
        'traffic: {\n  budgets: {a: {rate: 4, brust: "1MB"}\n    b: {rate: "1MB/s", ways: ["hub"]}}\n'
        "  most_streams: -1\n}\n"
    )
    assert len(found) == 4
    assert found[0].startswith("f:2:23: traffic.budgets.a.rate: found 4, expected a rate such as")
    assert "f:2:26: traffic.budgets.a.brust: found the unknown field 'brust', expected 'burst'" in found
    assert any(one.startswith("f:3:31: traffic.budgets.b.ways") for one in found)
    assert any(one.startswith("f:4:17: traffic.most_streams: found -1") for one in found)


@pytest.mark.parametrize(
    "text, said",
    [
        ("traffic: {", "f:1:11"),
        ("traffic: ]", "f:1:10: the file: found ']'"),
        ("traffic: budgets: a: {}", "neither a rate nor a sum"),
        ('traffic: budgets: a: {sum: "1TB", burst: "1MB"}', "a burst without a rate"),
        ('traffic: budgets: a: {sum: "1TB", streams: {}}', "streams without a rate"),
        ('traffic: budgets: a: {sum: "1TB", within: "b"}', 'found "b"'),
        ('traffic: budgets: {a: {sum: "1TB", within: "b"}, b: {sum: "1TB", within: "a"}}', "a circle"),
        ("traffic: period: traffic.period2", "a record with a field 'period2'"),
        ("traffic: period: Spam", "expected 'Span'"),
        ('traffic: {period: "1h" & "2h"}', 'found "1h", expected "2h"'),
        ("traffic: period: a\na: b\nb: a", "a reference to itself"),
        ("traffic: keep: {}", "the field is missing"),
        ("traffic: {period: =~1}", "f:1:"),
        ('traffic: keep: {folder: "", every: "1s"}', "traffic.keep.folder"),
        ("{" * 70, "open braces"),
    ],
)
def test_what_is_wrong_is_said(text, said):
    assert any(said in one for one in faults(text)), faults(text)


def test_names_that_the_deployment_lacks():
    loaded = load_texts([("f", 'traffic: budgets: a: {rate: "1MB/s", into: "east", vhosts: ["film"]}')])
    assert [fault.path for fault in against(loaded, ["west"], ["film"])] == ["traffic.budgets.a.into"]
    assert not against(loaded, ["east"], ["film"])


@FEW
@given(st.sampled_from(["Size", "Rate", "Span"]), st.integers(0, 10**15))
def test_figures_are_read_back(name, figure):
    assert units.parse(name, units.write(name, figure)) == figure


RATES = st.integers(1, 10**9).map(lambda n: f"{n}KB/s")
SIZES = st.integers(1, 10**9).map(lambda n: f"{n}KB")
BUDGET = st.fixed_dictionaries(
    {"rate": RATES},
    optional={
        "burst": SIZES,
        "sum": SIZES,
        "ways": st.lists(st.sampled_from(["own-hub", "other-hub", "origin", "neighbour"]), max_size=3),
        "into": st.text('ab "\\\n\tü', max_size=4),
        "ahead": st.floats(0.001, 1.0),
        "emergency": st.fixed_dictionaries({"rate": RATES}, optional={"sum": SIZES}),
        "streams": st.fixed_dictionaries({}, optional={"part": st.floats(0.1, 1.0)}),
    },
)
PLAIN = st.fixed_dictionaries(
    {},
    optional={
        "traffic": st.fixed_dictionaries(
            {},
            optional={
                "most_streams": st.integers(0, 1000),
                "distributions": st.booleans(),
                "budgets": st.dictionaries(st.text("abc-é 1", min_size=1, max_size=4), BUDGET, max_size=3),
                "prices": st.lists(st.fixed_dictionaries({"per_gb": st.floats(0, 9)}), max_size=2),
            },
        )
    },
)


@FEW
@given(PLAIN)
def test_printing_and_reading_back_gives_the_same(plain):
    loaded = load_texts([("f", write(plain))])
    again = load_texts([("g", write(loaded.plain))])
    assert again.plain == loaded.plain and again.operations == loaded.operations


@FEW
@given(PLAIN, st.randoms())
def test_texts_unify_in_any_order_and_twice(plain, chance):
    def part(value):
        if isinstance(value, dict):
            return {key: part(each) for key, each in value.items() if chance.random() < 0.7}
        return value

    whole, some = write(plain), write(part(plain))
    first = load_texts([("a", whole), ("b", some)]).plain
    assert load_texts([("b", some), ("a", whole)]).plain == first
    assert load_texts([("a", whole), ("a2", whole), ("b", some)]).plain == first


ATOMS = st.sampled_from(
    ["1", "2", "2.0", '"a"', '"b"', "int", "number", "string", "bool", "true", ">1", "<=2", '=~"a"', "!=1"]
    + ['"1MB"', "Size", "null"]
)
CHOICES = st.recursive(
    ATOMS,
    lambda inner: st.one_of(
        st.tuples(inner, inner).map(lambda two: f"({two[0]} | {two[1]})"),
        st.tuples(inner, inner).map(lambda two: f"(*{two[0]} | {two[1]})"),
        st.tuples(inner, inner).map(lambda two: f"({two[0]} & {two[1]})"),
    ),
    max_leaves=4,
)
EXPRS = st.recursive(
    st.one_of(CHOICES, st.sampled_from(["[1, 2]", "[...int]", "[int, number]"])),
    lambda inner: st.one_of(
        st.tuples(inner, inner).map(lambda two: f"({two[0]} & {two[1]})"),
        inner.map(lambda one: "{x: %s}" % one),
        inner.map(lambda one: "{x?: %s, y: 1}" % one),
        st.tuples(inner, inner).map(lambda two: "{x: %s, y: %s}" % two),
    ),
    max_leaves=4,
)


def canon(value):
    if isinstance(value, Struct):
        live = {name: canon(value.value(name)) for name in value.fields if value.needed[name]}
        if "bottom" in live.values():
            return "bottom"
        return frozenset(live.items())
    if isinstance(value, Choice):
        return frozenset((canon(part), mark) for part, mark in value.parts)
    if isinstance(value, Scalar):
        return float(value.value) if type(value.value) in (int, float) else (value.value,)
    if isinstance(value, Wanted):
        return value.kind, value.unit, frozenset(value.bounds)
    if isinstance(value, Rows):
        parts = None if value.parts is None else tuple(map(canon, value.parts))
        return "bottom" if parts and "bottom" in parts else ("rows", parts)
    return {Bottom: "bottom", Top: "top"}[type(value)]


def value_of(text):
    record = parse(f"v: {text}", "f")
    return Struct([Text(record, Env(None, None), False)], "").value("v")


@settings(max_examples=200)
@given(EXPRS, EXPRS)
def test_unification_is_commutative_and_idempotent(one, other):
    a, b = value_of(one), value_of(other)
    assert canon(unify(a, b, "")) == canon(unify(b, a, ""))
    assert canon(unify(a, a, "")) == canon(a)


@FEW
@given(st.text('{}[]()"#:?*|&<>=~!., \n/abAB019\\-_', max_size=60))
def test_any_text_is_read_or_refused_with_a_place(text):
    try:
        load_texts([("f", text)])
    except Wrong as wrong:
        assert all(fault.at.file in ("f", "schema.cue") and fault.at.line >= 1 for fault in wrong.faults)


def test_command_line(tmp_path):
    good, bad = tmp_path / "good.cue", tmp_path / "bad.cue"
    good.write_text('traffic: budgets: a: rate: "1MB/s"')
    bad.write_text("traffic: budgets: a: rate: 3")

    def run(*args):
        return subprocess.run(
            [sys.executable, "-m", "ironhinge", "settings", *args], capture_output=True, text=True
        )

    assert run("check", str(good)).returncode == 0
    shown = run("show", str(good), "--json")
    assert json.loads(shown.stdout)["traffic"]["budgets"]["a"]["scope"] == "branch"
    refused = run("check", str(bad), "--json")
    assert refused.returncode == 2 and json.loads(refused.stdout)["faults"][0]["line"] == 1
    assert run("check", str(tmp_path / "none.cue")).returncode == 2
    assert run("schema").stdout == schema_text()


def test_the_shipped_file_is_good_and_turns_nothing_on():
    with open("deploy/operations.cue", encoding="utf-8") as file:
        assert load_texts([("operations.cue", file.read())]).operations.traffic is None


def test_places_are_of_the_first_character():
    with pytest.raises(Unreadable) as fault:
        parse("a: 1\n  b 2", "f")
    assert fault.value.at == Where("f", 2, 5)
