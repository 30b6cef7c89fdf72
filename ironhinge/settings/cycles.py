"""Records that contain themselves: every walk through the fields of records has to end."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from .errors import Diagnostic
from .values import Struct

MAX_DEPTH = 60  # records within one another, as for brackets; guards the stack

_SourceIds = frozenset[int]
_visited: ContextVar[tuple[_SourceIds, ...]] = ContextVar("_visited", default=())


@contextmanager
def visit(struct: Struct) -> Iterator[Diagnostic | None]:
    """Marks a record as being visited for the time of the context.

    Visits may be nested by evaluation, which looks for conflicts in the alternatives of a disjunction.

    Yields:
        Why the record must not be visited; None if it may be. A record is refused within another that
        is made of the same expressions, as it would contain itself without end.
    """
    outer = _visited.get()
    sources = frozenset(id(source.expression) for source in struct.sources)
    if sources in outer:
        yield Diagnostic(struct.location, struct.path, "a record within itself", "something that ends")
        return
    if len(outer) >= MAX_DEPTH:
        yield Diagnostic(
            struct.location, struct.path, f"more than {MAX_DEPTH} records", "fewer in one another"
        )
        return
    token = _visited.set((*outer, sources))
    try:
        yield None
    finally:
        _visited.reset(token)
