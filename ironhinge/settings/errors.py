"""Errors that the settings package raises, and the diagnostics that they carry."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class SourceLocation(NamedTuple):
    """A position in a file of settings; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Diagnostic(NamedTuple):
    """One problem in the settings.

    Attributes:
        location: Where the problem is.
        path: The field that has the problem, such as `traffic.budgets.a.rate`; empty for the whole file.
        found: What is written there.
        expected: What would be allowed.
    """

    location: SourceLocation
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: {self.path or 'the file'}: found {self.found}, expected {self.expected}"


class SettingsError(Exception):
    """Base class of all errors of this package."""


class SettingsSyntaxError(SettingsError):
    """A text violates the grammar of the settings language.

    Attributes:
        location: Where the first problem is.
        found: What is written there.
        expected: What would be allowed.
    """

    def __init__(self, location: SourceLocation, found: str, expected: str) -> None:
        super().__init__(f"{location}: found {found}, expected {expected}")
        self.location = location
        self.found = found
        self.expected = expected


class InvalidSettingsError(SettingsError):
    """The settings violate the schema or other checks.

    Attributes:
        diagnostics: All problems that were found.
    """

    def __init__(self, diagnostics: Sequence[Diagnostic]) -> None:
        super().__init__("\n".join(map(str, diagnostics)))
        self.diagnostics = tuple(diagnostics)


class IsolatedReadError(SettingsError):
    """The process that reads the settings failed; the message is its error output, if there is any."""
