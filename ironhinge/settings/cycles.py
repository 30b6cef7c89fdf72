"""Detection of records that contain themselves, so that every traversal of nested records terminates."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from .errors import Diagnostic
from .values import Struct

MAX_DEPTH = 60  # nested records, as many as `parser.MAX_OPEN_BRACKETS`; prevents a stack overflow

_SourceIds = frozenset[int]
# The sources of the records that are being visited, outermost first.
_visited: ContextVar[tuple[_SourceIds, ...]] = ContextVar("_visited", default=())


@contextmanager
def visit(struct: Struct) -> Iterator[Diagnostic | None]:
    """Marks a record as being visited while the context is open.

    The records being visited are tracked in a context variable and not in an argument, as visiting a field
    may evaluate it, and evaluation visits the alternatives of disjunctions to find conflicts.

    Yields:
        None if the record may be visited, else the reason why not: it is within a record made of the same
        expressions, so that it would contain itself endlessly, or it is nested too deeply.
    """
    outer = _visited.get()
    sources = frozenset(id(source.expression) for source in struct.sources)
    if sources in outer:
        yield Diagnostic(
            struct.location, struct.path, "a record within itself", "a record that does not contain itself"
        )
        return
    if len(outer) >= MAX_DEPTH:
        yield Diagnostic(
            struct.location, struct.path, f"more than {MAX_DEPTH} nested records", "fewer levels"
        )
        return
    token = _visited.set((*outer, sources))
    try:
        yield None
    finally:
        _visited.reset(token)
