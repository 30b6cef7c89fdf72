"""The ledger: the entry point to a director's account of transferred bytes and to its budgets.

`TrafficLedger.handle` applies events of attempts, endpoints, clocks and peers, and returns commands for
`service` to execute. The router calls `TrafficLedger.wait_time` to check whether the budgets have room for a
fill from a source. The ledger is deterministic: it reads neither clocks nor files.
"""

from __future__ import annotations

from typing import NamedTuple

from .. import interface
from ..settings import records
from .account import Account, TransferAmount
from .attempts import AttemptInFlight
from .buckets import NEVER
from .budget import Allowance, Budget
from .budget_set import BudgetSet
from .calendar import BillingCalendar
from .endpoints import EndpointDirectory, SourceEndpoint
from .log_events import BILLING_PERIOD_STARTED
from .quota_exchange import QuotaExchange
from .size_estimator import TransferEstimator, is_fill
from .streams import StreamKey, StreamTracker
from .types import (
    CLOCK_UNITS_PER_MS,
    AttemptEnded,
    AttemptStarted,
    ClockReading,
    ClockTick,
    DatagramReceived,
    DirectorIdentity,
    LedgerCommand,
    LedgerEvent,
    LogNotice,
)

REMOVED_HUB_RETENTION = 6_000_000  # ten minutes; used if no budget has an emergency allowance

_DONE = interface.AttemptResult.DONE


class PassedCheck(NamedTuple):
    """A check in which all budgets had room, kept for the attempt that should follow immediately."""

    now: int
    request: interface.RequestReceived
    source_id: str
    diverted: bool
    allowances: list[Allowance]  # in the order of the budgets

    def covers(self, now: int, request: interface.RequestReceived, source_id: str) -> bool:
        """Returns whether this check was made for the given attempt, at the same time."""
        return (self.now, self.request, self.source_id) == (now, request, source_id)


def check_budgets(
    budgets: tuple[Budget, ...], now: int, size: float, is_open_stream: bool, diverted: bool
) -> tuple[int, list[Allowance]]:
    """Returns the time until all budgets have room for a fill, and the allowance of each to charge."""
    wait_time, allowances = 0, []
    for budget in budgets:
        check = budget.check(now, size, is_open_stream, diverted)
        if check.wait_time > wait_time:
            wait_time = check.wait_time
        allowances.append(check.allowance)
    return wait_time, allowances


def stream_key(request: interface.RequestReceived) -> StreamKey:
    """Returns the key of the stream that a request for a segment belongs to."""
    return request.connection_id, request.object_id


def _period_ms(config: records.Traffic) -> int:
    return max(1, config.period // CLOCK_UNITS_PER_MS)


def _removed_hub_retention(config: records.Traffic) -> int:
    emergencies = (budget.emergency for budget in config.budgets.values())
    retentions = [emergency.remember for emergency in emergencies if emergency]
    return max(retentions, default=REMOVED_HUB_RETENTION)


def _stream_tracker(config: records.Traffic) -> StreamTracker | None:
    settings = [budget.streams for budget in config.budgets.values() if budget.streams is not None]
    if not settings:
        return None
    idle_timeout = max(each.idle for each in settings)
    return StreamTracker(config.max_streams, idle_timeout, min(each.interval for each in settings))


class TrafficLedger:
    """The account of one director and the budgets that limit its fills."""

    def __init__(
        self,
        config: records.Traffic,
        deployment: interface.Deployment,
        identity: DirectorIdentity,
        incarnation: int,
        clock: ClockReading,
    ):
        """Makes an empty ledger.

        Args:
            config: The operators' settings.
            deployment: The configuration of the router.
            identity: The director that the account belongs to.
            incarnation: Identifies this run of the director; it must be higher than in earlier runs.
            clock: The current reading of the clocks.
        """
        self.config, self.deployment, self.identity = config, deployment, identity
        self.calendar = BillingCalendar(_period_ms(config), clock.now, clock.unix_ms)
        self.account = Account(_period_ms(config))
        self.directory = EndpointDirectory(deployment, _removed_hub_retention(config))
        period = self.calendar.current_period()
        self.budget_set = BudgetSet(config.budgets, deployment, identity, period)
        self.budgets = self.budget_set.budgets
        self.streams = _stream_tracker(config)
        self.exchange: QuotaExchange | None = None
        if config.share:
            self.exchange = QuotaExchange(config.share, self.budgets, identity.peer_index, incarnation)
        self.estimator = TransferEstimator(len(identity.request_classes))
        self.distributions = None
        if config.distributions:
            from .distributions import FillDistributions  # needs an optional dependency

            self.distributions = FillDistributions(identity.request_classes)
        self.attempts: dict[str, AttemptInFlight] = {}  # by request id
        self.requests_with_transfers: dict[str, None] = {}  # ids of open requests with transferred bytes
        self.period_start = self.calendar.period_start()
        self.unknown_ms = 0  # time of this period that the account does not cover
        self._last_check: PassedCheck | None = None

    def handle(self, now: int, event: LedgerEvent) -> list[LedgerCommand]:
        """Applies one event; returns the commands to execute, in order."""
        match event:
            case AttemptStarted():
                self._on_attempt_started(now, event)
            case AttemptEnded():
                self._on_attempt_ended(now, event)
            case interface.EndpointsUpdated():
                self._on_endpoints_updated(now, event)
            case ClockTick():
                return self._on_tick(now, event.unix_ms)
            case DatagramReceived():
                if self.exchange is not None:
                    self.exchange.receive(now, event.sender, event.data)
        return []

    def _on_tick(self, now: int, unix_ms: int) -> list[LedgerCommand]:
        commands: list[LedgerCommand] = []
        self.calendar.read_clock(now, unix_ms)
        start = self.calendar.period_start()
        if start != self.period_start:
            self.period_start, self.unknown_ms = start, 0
            self.budget_set.begin_period(now, self.calendar.period_end())
            commands.append(LogNotice(BILLING_PERIOD_STARTED, {"unix_ms": start}))
        if self.streams is not None:
            self.streams.expire(now)
        self.directory.expire_removed_hubs(now)
        if self.exchange is not None:
            commands += self.exchange.tick(now)
        return commands

    def _on_endpoints_updated(self, now: int, event: interface.EndpointsUpdated) -> None:
        self._last_check = None
        for endpoint_id in self.directory.update(now, event):
            self.estimator.remove_source(endpoint_id)

    def wait_time(self, now: int, request: interface.RequestReceived, source_id: str) -> int:
        """Checks a fill against the budgets that apply to it; counts a refusal.

        Returns:
            0 if all of them have room for the fill, else the expected time until they do.
        """
        source = self.directory.endpoints.get(source_id)
        if source is None:
            return 0
        budgets = self.budget_set.matching(request.class_index, source)
        if not budgets:
            return 0
        size = self.estimator.expected_size(request)
        streams = self._streams_of(request)
        is_open_stream = streams is not None and streams.find(stream_key(request), now) is not None
        if streams is not None and not is_open_stream:
            wait_time = self._stream_admission_wait(streams, request, budgets, size)
            if wait_time:
                return wait_time
        diverted = self.directory.is_diverted(request.object_id, source_id, source)
        wait_time, allowances = check_budgets(budgets, now, size, is_open_stream, diverted)
        if wait_time:
            self._record_refusal(budgets, size)
            return min(wait_time, NEVER)
        self._last_check = PassedCheck(now, request, source_id, diverted, allowances)
        return 0

    def _streams_of(self, request: interface.RequestReceived) -> StreamTracker | None:
        """Returns the stream tracker if the request may belong to a stream, else None."""
        if self.streams is None or not self.deployment.request_classes[request.class_index].is_segmented:
            return None
        return self.streams

    def _stream_admission_wait(
        self,
        streams: StreamTracker,
        request: interface.RequestReceived,
        budgets: tuple[Budget, ...],
        size: float,
    ) -> int:
        """Returns 0 if a new stream may start now, else the time until it may be tried again."""
        rate = streams.stream_rate(request.class_index, size)
        reservations = [budget.reservations for budget in budgets if budget.reservations is not None]
        if all(each.admits(rate) for each in reservations):
            return 0
        self._record_refusal(budgets, size)
        return int(streams.segment_interval(request.class_index)) + 1

    def _record_refusal(self, budgets: tuple[Budget, ...], size: float) -> None:
        for budget in budgets:
            budget.record_refusal(size)

    def _on_attempt_started(self, now: int, event: AttemptStarted) -> None:
        request, endpoint = event.request, self.directory.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return
        streams = self._streams_of(request)
        if streams is not None:
            streams.continue_stream(stream_key(request), request.class_index, now)
        # parents and the origin send the bytes themselves, without a fill source
        source_id = event.endpoint_id if endpoint.is_upstream else event.source_id
        source = self.directory.endpoints.get(source_id)
        if source is None:
            return
        self.estimator.record_request(now, source_id)
        check, self._last_check = self._last_check, None
        if check is not None and not check.covers(now, request, source_id):
            check = None
        if check is not None:
            diverted = check.diverted
        else:
            diverted = self.directory.is_diverted(request.object_id, source_id, source)
        attempt = AttemptInFlight(
            request,
            source_id,
            source.route,
            self.deployment.zone,
            source.zone,
            now,
            stores_copy=bool(event.admission_rank) and not endpoint.is_upstream,
            revalidates=event.revalidates,
            diverted=diverted,
            is_repeat=request.request_id in self.requests_with_transfers,
        )
        self.attempts[request.request_id] = attempt
        self._charge(now, attempt, source, check)

    def _charge(
        self, now: int, attempt: AttemptInFlight, source: SourceEndpoint, check: PassedCheck | None
    ) -> None:
        """Charges an attempt to the budgets that apply to it, and opens or continues its stream."""
        request = attempt.request
        budgets = self.budget_set.matching(request.class_index, source)
        if not budgets:
            return
        size = self.estimator.expected_size(request)
        streams = self._streams_of(request)
        if check is not None:
            allowances = check.allowances
        else:
            is_open_stream = streams is not None and streams.find(stream_key(request), now) is not None
            _, allowances = check_budgets(budgets, now, size, is_open_stream, attempt.diverted)
        attempt.charge(allowances, size)
        for budget in budgets:
            budget.record_charge(size)
        if streams is not None:
            reservations = [budget.reservations for budget in budgets if budget.reservations is not None]
            streams.record_segment(stream_key(request), request.class_index, size, now, reservations)

    def _on_attempt_ended(self, now: int, event: AttemptEnded) -> None:
        attempt = self.attempts.pop(event.request_id, None)
        if attempt is None:
            if event.client_disconnected:
                self.requests_with_transfers.pop(event.request_id, None)
            return
        # before `_record_answer`, so that the attempt's own answer does not affect the estimate
        transferred, estimated = self.estimator.transferred(attempt, event)
        if event.result == _DONE and event.body_size:
            self._record_answer(now, attempt, event.body_size, event)
        if transferred:
            origin_bytes = attempt.origin_bytes(event, transferred)
            amount = TransferAmount(1, transferred, estimated, origin_bytes)
            self.account.add(self.calendar.advance(now), attempt.kind(event), amount)
        attempt.settle(transferred)
        self._track_transfers(event, transferred)

    def _record_answer(self, now: int, attempt: AttemptInFlight, size: int, event: AttemptEnded) -> None:
        self.estimator.record_answer(now, attempt, size, event)
        if self.distributions is not None and is_fill(event):
            self.distributions.add(attempt.request.class_index, size, event.duration)

    def _track_transfers(self, event: AttemptEnded, transferred: int) -> None:
        """Remembers open requests for which bytes were transferred: further bytes count as repeated."""
        if event.client_disconnected or event.result == _DONE:
            self.requests_with_transfers.pop(event.request_id, None)
        elif transferred:
            self.requests_with_transfers[event.request_id] = None
            # bounds the memory if end events are lost
            if len(self.requests_with_transfers) > self.config.max_streams:
                del self.requests_with_transfers[next(iter(self.requests_with_transfers))]

    def adopt(self, previous: TrafficLedger) -> None:
        """Takes over attempts, estimates, streams and peers from the ledger of the previous settings."""
        self.attempts = previous.attempts  # each is settled in the allowances that it was charged to
        self.requests_with_transfers = previous.requests_with_transfers
        self.estimator.classes = previous.estimator.classes
        if previous.streams is not None and self.streams is not None:
            replacements = {
                id(budget.reservations): self.budgets[name].reservations if name in self.budgets else None
                for name, budget in previous.budgets.items()
            }
            self.streams.adopt(previous.streams, replacements)
        if previous.exchange is not None and self.exchange is not None:
            self.exchange.peers = previous.exchange.peers  # keeps their counters: no grant is deposited twice
