"""Loads settings: reads files, unifies them with the schema, and converts them to records."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from importlib import resources
from typing import Any, NamedTuple

from .errors import Diagnostic, InvalidSettingsError, SettingsSyntaxError, SourceLocation
from .evaluation import evaluate, root_scope
from .export import ExportedValue, export
from .parser import parse
from .records import Operations, to_operations
from .syntax import RecordExpr, ReferenceExpr
from .unification import unify
from .validation import check_relations
from .values import RecordSource, Scope, Struct

SCHEMA_FILE = "schema.cue"
ROOT_DEFINITION = "#Operations"


class LoadedSettings(NamedTuple):
    """Valid settings.

    Attributes:
        operations: The settings as records.
        plain: The settings as plain objects, with all defaults.
        locations: For each path, where its value is written.
    """

    operations: Operations
    plain: dict[str, Any]
    locations: dict[str, SourceLocation]


def schema_text() -> str:
    """Returns the schema, in the settings language."""
    return resources.files(__package__).joinpath(SCHEMA_FILE).read_text(encoding="utf-8")


def load(files: Sequence[str]) -> LoadedSettings:
    """Loads the settings that several files define together.

    Raises:
        InvalidSettingsError: The settings are invalid, or a file is not valid UTF-8.
        OSError: A file can't be read.
    """
    return load_texts([(file, _read_text(file)) for file in files])


def load_texts(texts: Iterable[tuple[str, str]]) -> LoadedSettings:
    """Loads the settings that several texts define together.

    Args:
        texts: Pairs of a file name, for source locations, and the text.

    Raises:
        InvalidSettingsError: The settings are invalid.
    """
    exported = _unify_with_schema(_parse_all(texts))
    _raise_if_any(exported.diagnostics)
    operations = to_operations(exported.plain)
    _raise_if_any(list(check_relations(operations, exported.locations)))
    return LoadedSettings(operations, exported.plain, exported.locations)


def _read_text(file: str) -> str:
    try:
        # A Path would normalise the file name in error messages.
        with open(file, encoding="utf-8") as text:  # noqa: PTH123 - see above
            return text.read()
    except UnicodeDecodeError:
        location = SourceLocation(file, 1, 1)
        raise InvalidSettingsError(
            [Diagnostic(location, "", "bytes that are not valid UTF-8", "UTF-8 text")]
        ) from None


def _parse_all(texts: Iterable[tuple[str, str]]) -> list[RecordExpr]:
    records: list[RecordExpr] = []
    diagnostics: list[Diagnostic] = []
    for file, text in texts:
        try:
            records.append(parse(text, file))
        except SettingsSyntaxError as error:
            diagnostics.append(Diagnostic(error.location, "", error.found, error.expected))
    _raise_if_any(diagnostics)
    return records


def _unify_with_schema(records: Sequence[RecordExpr]) -> ExportedValue:
    schema_record = parse(schema_text(), SCHEMA_FILE)
    schema = Struct([RecordSource(schema_record, root_scope(closes_definitions=True), False)], "")
    schema_scope = Scope(schema, root_scope())
    root = ReferenceExpr((ROOT_DEFINITION,), SourceLocation(SCHEMA_FILE, 1, 1))
    value = evaluate(root, schema_scope, "")
    if records:
        sources = [RecordSource(record, schema_scope, False) for record in records]
        value = unify(Struct(sources, ""), value, "")
    return export(value)


def _raise_if_any(diagnostics: Sequence[Diagnostic]) -> None:
    if diagnostics:
        raise InvalidSettingsError(diagnostics)
