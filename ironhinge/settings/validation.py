"""Checks that the schema can't express: relations between fields, and names that the deployment must have.

Each diagnostic has the source location of the field that it concerns.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

from .errors import Diagnostic, SourceLocation
from .literals import quote
from .records import Budget, Operations, Traffic

Locations: TypeAlias = Mapping[str, SourceLocation]


def check_relations(operations: Operations, locations: Locations) -> Iterator[Diagnostic]:
    """Yields a diagnostic for each invalid combination of fields of a budget, and of enclosing budgets."""
    traffic = operations.traffic
    if traffic is None:
        return
    for name, budget in traffic.budgets.items():
        path = f"traffic.budgets.{name}"
        yield from _check_limits(budget, path, locations)
        yield from _check_enclosing_budgets(traffic, name, f"{path}.within", locations)


def check_names(
    operations: Operations, locations: Locations, zones: Sequence[str], vhosts: Sequence[str]
) -> list[Diagnostic]:
    """Returns a diagnostic for each zone or vhost in the settings that the deployment does not have."""
    if operations.traffic is None:
        return []
    return [
        Diagnostic(locations[path], path, quote(name), "one of " + ", ".join(known_names))
        for path, name, known_names in _names_in_use(operations.traffic, zones, vhosts)
        if name is not None and name not in known_names
    ]


def _check_limits(budget: Budget, path: str, locations: Locations) -> Iterator[Diagnostic]:
    if budget.rate is not None:
        return
    if budget.sum is None:
        yield Diagnostic(locations[path], path, "neither a rate nor a sum", "one of them, or both")
    if budget.burst is not None:
        burst_path = f"{path}.burst"
        yield Diagnostic(locations[burst_path], burst_path, "a burst without a rate", "a rate as well")
    if budget.streams is not None:
        streams_path = f"{path}.streams"
        expected = "a rate, of which a share is reserved for streams"
        yield Diagnostic(locations[streams_path], streams_path, "streams without a rate", expected)


def _check_enclosing_budgets(
    traffic: Traffic, name: str, path: str, locations: Locations
) -> Iterator[Diagnostic]:
    """Follows the chain of enclosing budgets; yields a diagnostic if it has an unknown name or a cycle."""
    visited = {name}
    enclosing = traffic.budgets[name].within
    while enclosing is not None:
        if enclosing not in traffic.budgets:
            known_names = ", ".join(sorted(traffic.budgets))
            yield Diagnostic(locations[path], path, f'"{enclosing}"', f"one of {known_names}")
            return
        if enclosing in visited:
            yield Diagnostic(
                locations[path], path, "a cycle", "a budget whose enclosing budgets form no cycle"
            )
            return
        visited.add(enclosing)
        enclosing = traffic.budgets[enclosing].within


def _names_in_use(
    traffic: Traffic, zones: Sequence[str], vhosts: Sequence[str]
) -> Iterator[tuple[str, str | None, Sequence[str]]]:
    """Yields the path and value of each field that refers to a zone or vhost, with the valid names."""
    for budget_name, budget in traffic.budgets.items():
        path = f"traffic.budgets.{budget_name}"
        yield f"{path}.into", budget.destination_zone, zones
        yield f"{path}.out_of", budget.source_zone, zones
        for index, vhost in enumerate(budget.request_classes or ()):
            yield f"{path}.vhosts[{index}]", vhost, vhosts
    for index, price in enumerate(traffic.prices):
        path = f"traffic.prices[{index}]"
        yield f"{path}.into", price.destination_zone, zones
        yield f"{path}.out_of", price.source_zone, zones
