"""Errors that the fleet package raises."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all errors of this package."""


class CorruptJournalError(FleetError):
    """A journal is corrupt other than by an incomplete last line, so none of it can be trusted.

    Attributes:
        offset: Start of the corrupt line, in bytes from the start of the journal.
    """

    def __init__(self, offset: int, problem: str) -> None:
        super().__init__(f"corrupt journal: line at byte {offset}: {problem}")
        self.offset = offset


class GenerationOrderError(FleetError, ValueError):
    """The generations of journal entries are not consecutive, so they are not the history of one agent.

    Attributes:
        found: The generation of the first entry that is out of order.
        expected: The generation that it should have.
    """

    def __init__(self, found: int, expected: int) -> None:
        super().__init__(f"journal entries out of order: found generation {found}, expected {expected}")
        self.found = found
        self.expected = expected
