"""Owns the listener for scrapes. It must never touch the ledger from its own thread: what it shows is a
picture that the director's loop makes of it now and then. Imported only where operators ask for it.
"""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..settings import records
from .ledger import Ledger
from .types import USES, WAYS, Crossing

LABELS = ("way", "use", "vhost", "out_of", "forced")


class Metrics(Collector):
    def __init__(self, told: records.Metrics):
        self.picture: list[Metric] = []
        registry = CollectorRegistry()
        registry.register(self)
        self.server, self.thread = start_http_server(told.port, told.host, registry)

    def collect(self) -> Iterator[Metric]:
        return iter(self.picture)

    def show(self, ledger: Ledger) -> None:
        """Counters of this billing period and all before it in memory; they only rise while it runs."""
        carried = CounterMetricFamily("ironhinge_crossed_bytes", "Bytes that fills carried.", labels=LABELS)
        fills = CounterMetricFamily("ironhinge_crossed_fills", "Fills that carried them.", labels=LABELS)
        cells: dict[Crossing, list[int]] = {}
        for stretch in ledger.account.windows["period"].stretches.values():
            for crossing, cell in stretch.items():
                sums = cells.setdefault(crossing, [0, 0])
                sums[0] += cell.carried
                sums[1] += cell.fills
        for crossing, (count, times) in cells.items():
            vhosts = ledger.vhosts
            labels: tuple[str, ...] = (
                WAYS[crossing.way],
                USES[crossing.use],
                vhosts[crossing.vhost] if 0 <= crossing.vhost < len(vhosts) else "the rest",
                ledger.zone_name(crossing.out_of) or "the rest",
                "forced" if crossing.forced else "chosen",
            )
            carried.add_metric(labels, count)
            fills.add_metric(labels, times)
        refused = CounterMetricFamily("ironhinge_budget_refusals", "Times without room.", labels=["budget"])
        spent = GaugeMetricFamily("ironhinge_budget_spent_bytes", "Of this period.", labels=["budget"])
        drawn = GaugeMetricFamily("ironhinge_budget_drawn_bytes", "Of its allowance.", labels=["budget"])
        for name, row in ledger.spans().items():
            refused.add_metric([name], row["refused"])
            spent.add_metric([name], row["spent"])
            drawn.add_metric([name], row["drawn"])
        self.picture = [carried, fills, refused, spent, drawn]
