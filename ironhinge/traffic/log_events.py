"""The log events of this package: each log line is the event name followed by fields as `key=value`."""

from __future__ import annotations

from collections.abc import Mapping

BILLING_PERIOD_STARTED = "billing_period_started"
BUDGETS_RELOADED = "budgets_reloaded"
BUDGETS_RESET = "budgets_reset"
SETTINGS_CHANGE_IGNORED = "settings_change_ignored"
SETTINGS_RELOAD_FAILED = "settings_reload_failed"
SNAPSHOT_DISCARDED = "snapshot_discarded"
SNAPSHOT_UNREADABLE = "snapshot_unreadable"
SNAPSHOT_WRITE_FAILED = "snapshot_write_failed"
SNAPSHOT_WRITE_SLOW = "snapshot_write_slow"
TIME_UNACCOUNTED = "time_unaccounted"


def log_line(event: str, fields: Mapping[str, object]) -> str:
    """Returns the text of a log line; a field with free text should come last."""
    return " ".join([event, *(f"{name}={value}" for name, value in fields.items())])
