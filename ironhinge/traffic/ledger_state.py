"""Captures the state of a ledger for a snapshot, and restores it after a restart."""

from __future__ import annotations

from .ledger import TrafficLedger
from .log_events import BUDGETS_RESET, SNAPSHOT_DISCARDED, TIME_UNACCOUNTED
from .state import AccountState
from .types import LogNotice

MS_PER_SECOND = 1000


def capture(ledger: TrafficLedger, is_final: bool) -> AccountState:
    """Returns the state of a ledger.

    Args:
        ledger: The ledger.
        is_final: Whether this is the last state of the incarnation, after which nothing more is counted.
    """
    estimator, distributions = ledger.estimator, ledger.distributions
    return AccountState(
        zones=ledger.identity.zones,
        request_classes=ledger.identity.request_classes,
        zone=ledger.deployment.zone,
        unix_ms=ledger.calendar.unix_ms,
        period_start=ledger.period_start,
        period_ms=ledger.calendar.period_ms,
        is_final=is_final,
        unknown_ms=ledger.unknown_ms,
        size_scale=(estimator.bytes_per_kb, estimator.observed_kb),
        account=ledger.account.state(),
        budgets=ledger.budget_set.state(),
        usage=ledger.budget_set.usage(),
        distributions=distributions.state() if distributions is not None else {},
    )


def restore(ledger: TrafficLedger, state: AccountState, now: int) -> list[LogNotice]:
    """Restores a state into a new ledger; returns the notices to log for operators.

    What was transferred since a state that is not final is unknown. The budgets count as spent all that fills
    could have spent in that time; the account adds the time to `unknown_ms` and estimates no bytes for it.
    """
    identity, calendar = ledger.identity, ledger.calendar
    if (state.zones, state.request_classes) != (identity.zones, identity.request_classes):
        return [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_deployment"})]
    if state.period_ms != calendar.period_ms:
        return [LogNotice(SNAPSHOT_DISCARDED, {"reason": "other_period_length"})]
    unaccounted_ms = max(0, calendar.advance(now) - state.unix_ms)
    calendar.unix_ms = max(calendar.unix_ms, state.unix_ms)  # the system clock may have been set back since
    ledger.period_start = calendar.period_start()
    ledger.account.restore(state.account)
    ledger.estimator.bytes_per_kb, ledger.estimator.observed_kb = state.size_scale
    if state.period_start != ledger.period_start:
        return [LogNotice(BUDGETS_RESET, {"reason": "new_billing_period"})]
    if state.is_final:
        unaccounted_ms = 0
    ledger.unknown_ms = state.unknown_ms + unaccounted_ms
    ledger.budget_set.restore(state.budgets, now, unaccounted_ms / MS_PER_SECOND)
    if unaccounted_ms:
        return [LogNotice(TIME_UNACCOUNTED, {"duration_ms": unaccounted_ms})]
    return []
