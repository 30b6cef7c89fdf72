"""The table of promises names checks that exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOAK_DRAWS = "S", "P", "B", "L"  # letters of versions of the soak's draws
TABLE = ROOT / "docs" / "promises.md"


def fields():
    """Returns the fields of the table, each as its words, without the first column."""
    rows = [line for line in TABLE.read_text().splitlines() if line.startswith("| ")][2:]
    return [field.split() for row in rows for field in row.strip("| ").split(" | ")[1:]]


def test_each_test_that_the_table_of_promises_names_exists():
    """Guards the choice of the next work: a field that names a test that is gone would look covered."""
    named = re.findall(r"^- (\d+): `(tests/\w+\.py)::(\w+)`$", TABLE.read_text(), re.MULTILINE)
    assert named
    for _, path, name in named:
        assert f"def {name}(" in (ROOT / path).read_text(), f"{path} has no {name}"
    numbers = {word for field in fields() for word in field if word.isdigit()}
    assert numbers == {number for number, _, _ in named}


def test_each_field_of_the_table_of_promises_says_what_would_see_a_break():
    for field in fields():
        assert field == ["none"] or all(word in SOAK_DRAWS or word.isdigit() for word in field)
