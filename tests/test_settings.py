"""The settings language: how it is evaluated, what it rejects and which locations it reports."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironhinge.settings import units
from ironhinge.settings.errors import (
    Diagnostic,
    InvalidSettingsError,
    IsolatedReadError,
    SettingsError,
    SettingsSyntaxError,
    SourceLocation,
)
from ironhinge.settings.evaluation import root_scope
from ironhinge.settings.isolated import load_isolated
from ironhinge.settings.load import load_texts, schema_text
from ironhinge.settings.parser import parse
from ironhinge.settings.printer import print_settings
from ironhinge.settings.unification import unify
from ironhinge.settings.validation import check_names
from ironhinge.settings.values import (
    Conflict,
    Disjunction,
    ListValue,
    RecordSource,
    Scalar,
    Struct,
    Top,
    TypeConstraint,
)

FEW_EXAMPLES = settings(max_examples=60)


def load_text(text):
    return load_texts([("f", text)])


def diagnostics(text):
    with pytest.raises(InvalidSettingsError) as raised:
        load_text(text)
    return [str(diagnostic) for diagnostic in raised.value.diagnostics]


def test_empty_file_enables_nothing():
    assert load_text("").operations.traffic is None


def test_defaults_units_and_references():
    traffic = load_text(
        'traffic: budgets: a: {rate: "1.5MB/s", burst: traffic.budgets.a.sum, sum: "2GiB"}'
    ).operations.traffic
    budget = traffic.budgets["a"]
    assert (budget.rate, budget.burst, budget.ahead) == (1_500_000, 2 * 2**30, 0.02)
    assert budget.routes == ("other-hub",)
    assert traffic.period == 30 * 864_000_000


BASE = ("base", 'traffic: {period: "1d", budgets: {a: {rate: "1MB/s"}}}')
SITE = ("site", 'traffic: {budgets: {a: {burst: "2MB"}, b: {sum: "1TB"}}}')


def test_base_and_site_files_are_unified_in_any_order():
    loaded = load_texts([BASE, SITE])
    assert loaded.operations.traffic.budgets["a"].burst == 2_000_000
    assert loaded.operations.traffic.budgets["b"].sum == 10**12
    assert loaded.plain == load_texts([SITE, BASE]).plain


def test_conflict_between_files_is_reported_at_the_location_of_one():
    with pytest.raises(InvalidSettingsError, match=r"base:1:19|site:1:18"):
        load_texts([BASE, ("site", 'traffic: period: "2d"')])


def test_definition_in_a_settings_file_is_a_template():
    text = '#Hub: {rate: "1MB/s", emergency: {rate: "10KB/s"}}\n'
    text += 'traffic: budgets: {a: #Hub, b: #Hub & {sum: "1TB"}}'
    budgets = load_text(text).operations.traffic.budgets
    assert budgets["b"].sum == 10**12
    assert budgets["a"].emergency.rate == 10_000


def test_all_diagnostics_are_reported_together_with_their_locations():
    found = diagnostics(
        'traffic: {\n  budgets: {a: {rate: 4, brust: "1MB"}\n    b: {rate: "1MB/s", ways: ["hub"]}}\n'
        "  most_streams: -1\n}\n"
    )
    assert len(found) == 4
    assert found[0].startswith("f:2:23: traffic.budgets.a.rate: found 4, expected a rate such as")
    assert "f:2:26: traffic.budgets.a.brust: found the unknown field 'brust', expected 'burst'" in found
    assert any(one.startswith("f:3:31: traffic.budgets.b.ways") for one in found)
    assert any(one.startswith("f:4:17: traffic.most_streams: found -1") for one in found)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("traffic: {", "f:1:11"),
        ("traffic: ]", "f:1:10: the file: found ']'"),
        ("traffic: budgets: a: {}", "neither a rate nor a sum"),
        ('traffic: budgets: a: {sum: "1TB", burst: "1MB"}', "a burst without a rate"),
        ('traffic: budgets: a: {sum: "1TB", streams: {}}', "streams without a rate"),
        ('traffic: budgets: a: {sum: "1TB", within: "b"}', 'found "b"'),
        ('traffic: budgets: {a: {sum: "1TB", within: "b"}, b: {sum: "1TB", within: "a"}}', "a cycle"),
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
def test_invalid_settings_are_reported(text, expected):
    found = diagnostics(text)
    assert any(expected in one for one in found), found


@pytest.mark.parametrize(
    ("zones", "missing"),
    [(["west"], [("traffic.budgets.a.into", '"east"', "one of west")]), (["east"], [])],
)
def test_names_missing_from_the_deployment_are_reported(zones, missing):
    loaded = load_text('traffic: budgets: a: {rate: "1MB/s", into: "east", vhosts: ["film"]}')
    found = check_names(loaded.operations, loaded.locations, zones, ["film"])
    assert [(one.path, one.found, one.expected) for one in found] == missing


@FEW_EXAMPLES
@given(st.sampled_from(["Size", "Rate", "Span"]), st.integers(0, 10**15))
def test_printed_quantities_are_parsed_to_the_same_number(name, quantity):
    assert units.parse_quantity(name, units.format_quantity(name, quantity)) == quantity


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


@FEW_EXAMPLES
@given(PLAIN)
def test_printed_settings_are_loaded_to_the_same_records(plain):
    loaded = load_text(print_settings(plain))
    again = load_text(print_settings(loaded.plain))
    assert again.plain == loaded.plain
    assert again.operations == loaded.operations


@FEW_EXAMPLES
@given(PLAIN, st.randoms())
def test_unifying_texts_is_commutative_and_idempotent(plain, random):
    def subset(value):
        if isinstance(value, dict):
            return {key: subset(each) for key, each in value.items() if random.random() < 0.7}
        return value

    whole, part = print_settings(plain), print_settings(subset(plain))
    expected = load_texts([("a", whole), ("b", part)]).plain
    assert load_texts([("b", part), ("a", whole)]).plain == expected
    assert load_texts([("a", whole), ("a2", whole), ("b", part)]).plain == expected


ATOMS = st.sampled_from(
    [
        "1",
        "2",
        "2.0",
        '"a"',
        '"b"',
        "int",
        "number",
        "string",
        "bool",
        "true",
        "null",
        "Size",
        '"1MB"',
        ">1",
        "<=2",
        '=~"a"',
        "!=1",
    ]
)
DISJUNCTIONS = st.recursive(
    ATOMS,
    lambda inner: st.one_of(
        st.tuples(inner, inner).map(lambda two: f"({two[0]} | {two[1]})"),
        st.tuples(inner, inner).map(lambda two: f"(*{two[0]} | {two[1]})"),
        st.tuples(inner, inner).map(lambda two: f"({two[0]} & {two[1]})"),
    ),
    max_leaves=4,
)
EXPRESSIONS = st.recursive(
    st.one_of(DISJUNCTIONS, st.sampled_from(["[1, 2]", "[...int]", "[int, number]"])),
    lambda inner: st.one_of(
        st.tuples(inner, inner).map(lambda two: f"({two[0]} & {two[1]})"),
        inner.map(lambda one: f"{{x: {one}}}"),
        inner.map(lambda one: f"{{x?: {one}, y: 1}}"),
        st.tuples(inner, inner).map(lambda two: f"{{x: {two[0]}, y: {two[1]}}}"),
    ),
    max_leaves=4,
)


def canonical(value):
    """Returns a form of a value that is equal for values that allow the same settings."""
    match value:
        case Struct():
            fields = {name: canonical(value.value(name)) for name in value.fields if value.required[name]}
            return "conflict" if "conflict" in fields.values() else frozenset(fields.items())
        case Disjunction():
            return frozenset((canonical(part), is_default) for part, is_default in value.alternatives)
        case Scalar():
            return float(value.value) if type(value.value) in (int, float) else (value.value,)
        case TypeConstraint():
            return value.kind, value.unit, frozenset(value.bounds)
        case ListValue():
            elements = None if value.elements is None else tuple(map(canonical, value.elements))
            return "conflict" if elements and "conflict" in elements else ("list", elements)
    return {Conflict: "conflict", Top: "top"}[type(value)]


def value_of(text):
    record = parse(f"v: {text}", "f")
    return Struct([RecordSource(record, root_scope(), False)], "").value("v")


@settings(max_examples=200)
@given(EXPRESSIONS, EXPRESSIONS)
def test_unification_is_commutative_and_idempotent(one, other):
    a, b = value_of(one), value_of(other)
    assert canonical(unify(a, b, "")) == canonical(unify(b, a, ""))
    assert canonical(unify(a, a, "")) == canonical(a)


@FEW_EXAMPLES
@given(st.text('{}[]()"#:?*|&<>=~!., \n/abAB019\\-_', max_size=60))
def test_any_text_is_loaded_or_rejected_with_a_location(text):
    try:
        load_text(text)
    except InvalidSettingsError as error:
        locations = [diagnostic.location for diagnostic in error.diagnostics]
        assert {location.file for location in locations} <= {"f", "schema.cue"}
        assert all(location.line >= 1 for location in locations)


def run_command(*args):
    command = [sys.executable, "-m", "ironhinge", "settings", *args]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.fixture
def valid_file(tmp_path):
    path = tmp_path / "good.cue"
    path.write_text('traffic: budgets: a: rate: "1MB/s"')
    return str(path)


@pytest.fixture
def invalid_file(tmp_path):
    path = tmp_path / "bad.cue"
    path.write_text("traffic: budgets: a: rate: 3")
    return str(path)


def test_check_command_accepts_valid_settings(valid_file):
    assert run_command("check", valid_file).returncode == 0


def test_show_command_prints_defaults(valid_file):
    shown = run_command("show", valid_file, "--json")
    assert json.loads(shown.stdout)["traffic"]["budgets"]["a"]["scope"] == "branch"


def test_check_command_prints_diagnostics_as_json(invalid_file):
    rejected = run_command("check", invalid_file, "--json")
    assert rejected.returncode == 2
    result = json.loads(rejected.stdout)
    assert not result["good"]
    (row,) = result["faults"]
    assert list(row) == ["file", "line", "column", "path", "found", "expected"]
    assert (row["file"], row["line"], row["column"]) == (invalid_file, 1, 28)
    assert (row["path"], row["found"]) == ("traffic.budgets.a.rate", "3")


def test_check_command_rejects_a_missing_file(tmp_path):
    missing = f"{tmp_path}/./none.cue"
    rejected = run_command("check", missing)
    assert rejected.returncode == 2
    assert rejected.stderr == f"ironhinge: {missing}: No such file or directory\n"


def test_schema_command_prints_the_schema():
    assert run_command("schema").stdout == schema_text()


def test_isolated_process_reports_invalid_settings(invalid_file):
    with pytest.raises(IsolatedReadError, match=r"bad\.cue:1:28: traffic\.budgets\.a\.rate: found 3"):
        load_isolated([invalid_file], "config.json")


@pytest.mark.parametrize("error", [SettingsSyntaxError, InvalidSettingsError, IsolatedReadError])
def test_all_errors_share_a_base_class(error):
    assert issubclass(error, SettingsError)


def test_shipped_file_is_valid_and_enables_nothing():
    text = Path("deploy/operations.cue").read_text(encoding="utf-8")
    assert load_texts([("operations.cue", text)]).operations.traffic is None


def test_syntax_error_has_the_location_of_its_first_character():
    with pytest.raises(SettingsSyntaxError, match=r"^f:2:5: found '2', expected ") as raised:
        parse("a: 1\n  b 2", "f")
    assert raised.value.location == SourceLocation("f", 2, 5)


def test_diagnostic_text_has_location_path_found_and_expected():
    diagnostic = Diagnostic(SourceLocation("f", 2, 5), "traffic.period", "3", "a span")
    assert str(diagnostic) == "f:2:5: traffic.period: found 3, expected a span"
