"""Export of a value to plain objects, with defaults applied; collects the diagnostics of all problems."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .cycles import visit
from .description import describe
from .disjunctions import resolve_default
from .errors import Diagnostic, SourceLocation
from .values import Conflict, ListValue, Scalar, Struct, Value, is_definition, join_path


@dataclass(slots=True)
class ExportedValue:
    """The result of an export.

    Attributes:
        plain: The value as dictionaries, lists and scalars; incomplete if there are diagnostics.
        locations: For each path, where its value is written.
        diagnostics: All conflicts and missing values, ordered by location.
    """

    plain: Any = None
    locations: dict[str, SourceLocation] = field(default_factory=dict)
    diagnostics: list[Diagnostic] = field(default_factory=list)


def export(value: Value) -> ExportedValue:
    """Exports a value, including all nested values."""
    exporter = _Exporter()
    exported = exporter.exported
    exported.plain = exporter.export(value, "", _location_of(value))
    exported.diagnostics = sorted(
        dict.fromkeys(exported.diagnostics), key=lambda diagnostic: (diagnostic.location, diagnostic.path)
    )
    return exported


def _location_of(value: Value) -> SourceLocation:
    return value.diagnostic.location if isinstance(value, Conflict) else value.location


class _Exporter:
    """Traverses a value and collects the locations and diagnostics."""

    def __init__(self) -> None:
        self.exported = ExportedValue()

    def export(self, value: Value, path: str, declared_at: SourceLocation) -> Any:
        """Returns a value as plain objects.

        Args:
            value: The value.
            path: Its path.
            declared_at: The location of its declaration, which is used if the value is a conflict.
        """
        value = resolve_default(value)
        location = declared_at if isinstance(value, Conflict) else value.location
        self.exported.locations[path] = location
        match value:
            case Scalar():
                return value.value
            case Struct():
                return self._export_struct(value, path)
            case ListValue():
                return self._export_list(value, path)
            case Conflict():
                self.exported.diagnostics.append(value.diagnostic)
            case _:
                self._report(location, path, describe(value), "a concrete value")
        return None

    def _export_struct(self, struct: Struct, path: str) -> dict[str, Any]:
        with visit(struct) as problem:
            if problem is not None:
                self.exported.diagnostics.append(problem._replace(path=path))
                return {}
            return self._export_fields(struct, path)

    def _export_fields(self, struct: Struct, path: str) -> dict[str, Any]:
        self.exported.diagnostics += struct.diagnostics
        plain: dict[str, Any] = {}
        for name in struct.fields:
            if is_definition(name) or not struct.required[name]:
                continue
            value = struct.value(name)
            field_path = join_path(path, name)
            if _is_missing(value):
                expected = f"{describe(value)}: the field is missing"
                self._report(struct.location, field_path, "nothing", expected)
                continue
            plain[name] = self.export(value, field_path, struct.locations[name])
        return plain

    def _export_list(self, list_value: ListValue, path: str) -> list[Any]:
        return [
            self.export(element, f"{path}[{index}]", list_value.location)
            for index, element in enumerate(list_value.elements or ())
        ]

    def _report(self, location: SourceLocation, path: str, found: str, expected: str) -> None:
        self.exported.diagnostics.append(Diagnostic(location, path, found, expected))


def _is_missing(value: Value) -> bool:
    """Returns whether no concrete value was given and there is no default."""
    return not isinstance(resolve_default(value), Scalar | Struct | ListValue | Conflict)
