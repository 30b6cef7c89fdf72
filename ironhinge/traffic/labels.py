"""The texts by which settings, reports and metrics name routes, outcomes and the cuts of a report.

Operators' files, scripts and dashboards hold these texts: they stay as they are when names in the code
change, and nothing but this module maps them.
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

DIMENSION_FIELDS = {  # the cuts of a report, and the field of `report.ReportLine` that each of them goes by
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
    """The name of a zone or a request class; `OTHER_LABEL` where the index names none."""
    return labels[index] if 0 <= index < len(labels) else OTHER_LABEL


def diversion_label(diverted: bool) -> str:
    """How reports name a transfer that was, or was not, diverted from its preferred hub."""
    return DIVERTED_LABEL if diverted else PREFERRED_LABEL
