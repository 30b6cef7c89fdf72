"""All budgets of a director, and the selection of those that apply to a fill."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface
from ..settings import records
from .budget import Budget
from .calendar import BillingPeriod
from .endpoints import SourceEndpoint
from .labels import ROUTES_BY_LABEL
from .state import BudgetState, BudgetUsage
from .types import DirectorIdentity, Route


class BudgetSet:
    """The budgets of the settings, each reduced to this director's part."""

    def __init__(
        self,
        configs: Mapping[str, records.Budget],
        deployment: interface.Deployment,
        identity: DirectorIdentity,
        period: BillingPeriod,
    ):
        self._identity = identity
        self._zone_name = self._name_of_zone(deployment.zone)
        self.budgets: dict[str, Budget] = {}
        for name, config in configs.items():
            is_local = config.scope == "branch"
            directors = deployment.local_router_count if is_local else deployment.router_count
            self.budgets[name] = Budget(name, config, 1.0 / max(1, directors), period)
        for name, config in configs.items():
            self.budgets[name].parent = self.budgets[config.within] if config.within else None
        self._matching: dict[tuple[int, int, Route], tuple[Budget, ...]] = {}

    def matching(self, class_index: int, source: SourceEndpoint) -> tuple[Budget, ...]:
        """Returns the budgets that apply to a fill, including the budgets that those are within."""
        key = class_index, source.zone, source.route
        found = self._matching.get(key)
        if found is None:
            found = self._matching[key] = self._find_matching(class_index, source)
        return found

    def _find_matching(self, class_index: int, source: SourceEndpoint) -> tuple[Budget, ...]:
        found: dict[str, Budget] = {}
        for budget in self.budgets.values():
            if not self._applies(budget.config, class_index, source):
                continue
            each: Budget | None = budget
            while each is not None:
                found[each.name] = each
                each = each.parent
        return tuple(found.values())

    def _applies(self, config: records.Budget, class_index: int, source: SourceEndpoint) -> bool:
        class_names = self._identity.request_classes
        return (
            source.route in [ROUTES_BY_LABEL[label] for label in config.routes]
            and config.destination_zone in (None, self._zone_name)
            and config.source_zone in (None, self._name_of_zone(source.zone))
            and (config.request_classes is None or class_names[class_index] in config.request_classes)
        )

    def _name_of_zone(self, zone: int) -> str:
        zones = self._identity.zones
        return zones[zone] if 0 <= zone < len(zones) else ""

    def begin_period(self, now: int, end: int) -> None:
        """Resets the period quotas at the start of a billing period."""
        for budget in self.budgets.values():
            budget.begin_period(now, end)

    def usage(self) -> dict[str, BudgetUsage]:
        """Returns how much of each budget is used, by name."""
        return {name: budget.usage() for name, budget in self.budgets.items()}

    def state(self) -> dict[str, BudgetState]:
        """Returns the state of the budgets to store in a snapshot, by name."""
        return {name: budget.state() for name, budget in self.budgets.items()}

    def restore(self, state: Mapping[str, BudgetState], now: int, unaccounted_seconds: float) -> None:
        """Restores the budgets from a snapshot; it ignores budgets that the settings no longer have."""
        for name, budget in self.budgets.items():
            if name in state:
                budget.restore(state[name], now, unaccounted_seconds)
