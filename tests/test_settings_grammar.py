"""Any text of the settings grammar is loaded or rejected with a location, and never crashes the program."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ironhinge.settings.errors import InvalidSettingsError
from ironhinge.settings.load import load_texts

MANY_EXAMPLES = settings(max_examples=400)

NAMES = st.sampled_from(["a", "b", "#c", "traffic", "budgets", "disk", "folder", "room", "rate", "x"])
PATHS = st.lists(NAMES, min_size=1, max_size=3).map(".".join)
LITERALS = st.sampled_from(
    [
        *("0", "-1", "2", "1.5", "1e999", "9" * 39, '""', '"a"', '"2TB"', '"40MB/s"', '"1s"', '"("'),
        *("null", "true", "int", "number", "string", "bool", "Size", "Rate", "Span"),
        *("#Budget", "#Traffic", "#Operations", "#Way", "#none"),
    ]
)
ORDER_OPERATORS = ["<", "<=", ">", ">="]
OPERATORS = st.sampled_from([*ORDER_OPERATORS, "!=", "=~"])


def join_fields(fields):
    """Returns the declarations of the fields of a record."""
    return ", ".join(f"{name}{mark}: {text}" for name, mark, text in fields)


def composites(inner):
    """Returns a strategy for expressions that are composed of `inner` expressions."""
    fields = st.lists(st.tuples(NAMES, st.sampled_from(["", "?"]), inner), max_size=3)
    pair = st.tuples(inner, inner)
    return st.one_of(
        pair.map(lambda parts: f"({parts[0]} & {parts[1]})"),
        pair.map(lambda parts: f"({parts[0]} | {parts[1]})"),
        pair.map(lambda parts: f"(*{parts[0]} | {parts[1]})"),
        st.tuples(OPERATORS, inner).map(lambda parts: f"{parts[0]}({parts[1]})"),
        st.lists(inner, max_size=2).map(lambda parts: f"[{', '.join(parts)}]"),
        inner.map(lambda text: f"[...{text}]"),
        fields.map(lambda parts: f"{{{join_fields(parts)}}}"),
        st.tuples(fields, inner).map(lambda parts: f"{{{join_fields(parts[0])}, [string]: {parts[1]}}}"),
        fields.map(lambda parts: f"{{{join_fields(parts)}, ...}}"),
    )


EXPRESSIONS = st.recursive(st.one_of(LITERALS, PATHS), composites, max_leaves=8)
FILES = st.lists(st.tuples(NAMES, st.sampled_from(["", "?"]), EXPRESSIONS), max_size=4).map(join_fields)


def load_or_reject(text):
    """Loads a text; if it is rejected, each diagnostic has a location in the text or in the schema."""
    try:
        load_texts([("f", text)])
    except InvalidSettingsError as error:
        locations = [diagnostic.location for diagnostic in error.diagnostics]
        assert locations
        assert {location.file for location in locations} <= {"f", "schema.cue"}
        assert all(location.line >= 1 for location in locations)


@MANY_EXAMPLES
@given(FILES)
@example("a: {b: a}")
@example("a: [a]")
@example("a: {[string]: a, b: {}}")
@example("a: b, b: {c: a}")
@example("#c: {b: #c}, x: #c")
@example("#c: {b: #c, d: #c}, x: #c")
@example("#c: {b: #c | null}, x: #c")
@example("#c: #c, x: #c")
@example("#c: [#c], x: #c")
@example("a: {b: c}, c: {d: a}")
@example("a: " * 2000 + "1")
def test_any_text_of_the_grammar_is_loaded_or_rejected(text):
    load_or_reject(text)


@pytest.mark.parametrize("operator", ORDER_OPERATORS)
def test_order_bound_of_null_is_rejected(operator):
    """Guards against the comparison of a number with null, which crashed the program."""
    with pytest.raises(InvalidSettingsError, match="a bound of null"):
        load_texts([("f", f"disk: entries: int & {operator}null & 3")])


@pytest.mark.parametrize(
    "field", ["traffic", "disk", "traffic: budgets", "traffic: budgets: a", "traffic: prices"]
)
def test_record_that_contains_itself_does_not_crash_the_loader(field):
    load_or_reject(f"{field}: {{b: {field.split(':')[0]}}}")
