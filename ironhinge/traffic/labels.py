"""The labels of routes, outcomes and report dimensions in settings, reports and metrics.

These labels are a public format: operators' files, scripts and dashboards contain them, so they stay the same
when names in the code change. Only this module maps them.
"""

from __future__ import annotations

from collections.abc import Sequence

from .types import Outcome, Route

ROUTE_LABELS = {
    Route.OWN_HUB: "own-hub",
    Route.OTHER_HUB: "other-hub",
    Route.ORIGIN: "origin",
    Route.NEIGHBOUR: "neighbour",
}
ROUTES_BY_LABEL = {label: route for route, label in ROUTE_LABELS.items()}
OUTCOME_LABELS = {
    Outcome.STORED: "kept",
    Outcome.PASSED_THROUGH: "unkept",
    Outcome.REPEATED: "repeated",
    Outcome.WASTED: "wasted",
}
DIVERTED_LABEL, PREFERRED_LABEL = "forced", "chosen"
OTHER_LABEL = "the rest"

DIMENSION_FIELDS = {  # dimensions that reports can group by, and their fields in `report.ReportLine`
    "way": "route",
    "use": "outcome",
    "vhost": "request_class",
    "into": "destination",
    "out_of": "source",
    "forced": "diversion",
    "pair": "zone_pair",
}
DIMENSIONS = tuple(DIMENSION_FIELDS)


def label_at(labels: Sequence[str], index: int) -> str:
    """Returns the name of a zone or a request class; `OTHER_LABEL` if the index is out of range."""
    return labels[index] if 0 <= index < len(labels) else OTHER_LABEL


def diversion_label(diverted: bool) -> str:
    """Returns the label of transfers that were, or were not, diverted from the preferred hub."""
    return DIVERTED_LABEL if diverted else PREFERRED_LABEL
