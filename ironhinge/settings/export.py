"""Export: from a value to plain objects, with defaults taken, and all diagnostics on the way."""

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
    """A value as plain objects.

    Attributes:
        plain: Dictionaries, lists and scalars; not to be used where there are diagnostics.
        locations: Where each path is written.
        diagnostics: All conflicts and missing values, by location.
    """

    plain: Any = None
    locations: dict[str, SourceLocation] = field(default_factory=dict)
    diagnostics: list[Diagnostic] = field(default_factory=list)


def export(value: Value) -> ExportedValue:
    """Exports a value with all that is within it."""
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
    """Collects what is exported along the way through a value."""

    def __init__(self) -> None:
        self.exported = ExportedValue()

    def export(self, value: Value, path: str, declared_at: SourceLocation) -> Any:
        """Returns a value at a path as plain objects; it was declared at that location."""
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
                self._report(location, path, describe(value), "one value")
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
    """Returns whether a value still allows several things, so that none was given."""
    return not isinstance(resolve_default(value), Scalar | Struct | ListValue | Conflict)
