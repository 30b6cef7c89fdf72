"""Errors that the fleet package raises."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all errors of this package."""


class CorruptJournalError(FleetError):
    """A journal is damaged before its last line, so none of it may be trusted.

    Attributes:
        offset: Where the damaged line begins, in bytes from the start of the journal.
    """

    def __init__(self, offset: int, problem: str) -> None:
        super().__init__(f"corrupt journal: line at byte {offset}: {problem}")
        self.offset = offset


class GenerationOrderError(FleetError, ValueError):
    """Journal entries do not have consecutive generations, so they are not one agent's history."""

    def __init__(self, found: int, expected: int) -> None:
        super().__init__(f"journal entries out of order: found generation {found}, expected {expected}")
        self.found = found
        self.expected = expected
