"""The HTTP server for Prometheus; imported only where operators have enabled it.

Its thread never accesses the ledger: it serves the metric families that the director's event loop published
last.
"""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..settings import records
from .account import PERIOD_WINDOW, TransferTotals
from .labels import OTHER_LABEL, OUTCOME_LABELS, ROUTE_LABELS, diversion_label, label_at
from .ledger import TrafficLedger
from .types import TransferKind

TRANSFER_LABELS = ("way", "use", "vhost", "out_of", "forced")
BUDGET_LABELS = ("budget",)


def _totals_by_kind(ledger: TrafficLedger) -> dict[TransferKind, TransferTotals]:
    sums: dict[TransferKind, TransferTotals] = {}
    for by_kind in ledger.account.windows[PERIOD_WINDOW].intervals.values():
        for kind, totals in by_kind.items():
            sums.setdefault(kind, TransferTotals()).add(totals.amount())
    return sums


def _label_values(ledger: TrafficLedger, kind: TransferKind) -> tuple[str, ...]:
    return (
        ROUTE_LABELS[kind.route],
        OUTCOME_LABELS[kind.outcome],
        label_at(ledger.identity.request_classes, kind.class_index),
        label_at(ledger.identity.zones, kind.source_zone) or OTHER_LABEL,
        diversion_label(kind.diverted),
    )


def _transfer_families(ledger: TrafficLedger) -> list[Metric]:
    transferred = CounterMetricFamily(
        "ironhinge_crossed_bytes", "Bytes that fills carried.", labels=TRANSFER_LABELS
    )
    fills = CounterMetricFamily("ironhinge_crossed_fills", "Fills that carried them.", labels=TRANSFER_LABELS)
    for kind, totals in _totals_by_kind(ledger).items():
        values = _label_values(ledger, kind)
        transferred.add_metric(values, totals.transferred)
        fills.add_metric(values, totals.fills)
    return [transferred, fills]


def _budget_families(ledger: TrafficLedger) -> list[Metric]:
    # refusals of fills because a budget had no room
    refusals = CounterMetricFamily("ironhinge_budget_refusals", "Times without room.", labels=BUDGET_LABELS)
    # bytes spent in this billing period: without the emergency allowance, and from that allowance
    spent = GaugeMetricFamily("ironhinge_budget_spent_bytes", "Of this period.", labels=BUDGET_LABELS)
    emergency = GaugeMetricFamily("ironhinge_budget_drawn_bytes", "Of its allowance.", labels=BUDGET_LABELS)
    for name, usage in ledger.budget_set.usage().items():
        refusals.add_metric([name], usage.refusals)
        spent.add_metric([name], usage.spent)
        emergency.add_metric([name], usage.emergency_spent)
    return [refusals, spent, emergency]


class MetricsExporter(Collector):
    """Serves the last published metrics over HTTP."""

    def __init__(self, config: records.Metrics):
        """Starts the HTTP server in a thread.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self._families: list[Metric] = []
        registry = CollectorRegistry()
        registry.register(self)
        self.server, self.thread = start_http_server(config.port, config.host, registry)

    def collect(self) -> Iterator[Metric]:
        """Returns the metrics that were published last; called in the server's thread."""
        return iter(self._families)

    def publish(self, ledger: TrafficLedger) -> None:
        """Publishes the current metrics of a ledger.

        Transfer counters are sums over the billing periods in memory: they rise until the oldest is dropped.
        """
        self._families = _transfer_families(ledger) + _budget_families(ledger)
