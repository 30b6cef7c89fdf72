"""Counters, the event log and rate-limited warnings of one director.

Problems that clients, upstreams or the system can cause any number of times are logged once per kind and
minute; all of them are counted.
"""

from __future__ import annotations

import resource
from collections import Counter

from loguru import logger

from .clock import Clock
from .event_log import EventKind, EventLog
from .system_calls import Call, Remedy

KB_PER_MB = 1024


class Diagnostics:
    """The counters, event log and warnings of a director."""

    def __init__(self, clock: Clock):
        self.event_log = EventLog(clock.now)
        self.counters: Counter[str] = Counter()
        self._logged_kinds: set[str] = set()

    def warn(self, kind: str, text: str) -> None:
        """Counts a problem, and logs the first of its kind per minute."""
        self.counters[kind] += 1
        if kind not in self._logged_kinds:
            self._logged_kinds.add(kind)
            logger.warning("{} (repeats are counted as '{}')", text, kind)

    def on_call_failed(self, call: Call, error: str, remedy: Remedy) -> None:
        """Records and logs a system call that failed with an error that is unusual in normal operation."""
        self.event_log.record(EventKind.SYSTEM_CALL_FAILED, call.name, error, remedy.name)
        text = f"system_call_failed call={call.name.lower()} error={error} remedy={remedy.name.lower()}"
        self.warn(f"{call.name} {error}", text)
        if remedy is Remedy.BUG:
            self.event_log.dump_for_error(f"{call.name} failed with {error}")

    def reset_log_limits(self) -> None:
        """Allows each kind of warning and a dump after an error again; called once per minute."""
        self._logged_kinds.clear()
        self.event_log.reset_dump_allowance()

    def summary(self) -> str:
        """Returns the counters and the peak memory use, as key=value fields."""
        counts = {**self.counters, **self.event_log.counts}
        fields = [f"{name.replace(' ', '_')}={count}" for name, count in counts.items()]
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KB_PER_MB
        return " ".join([*fields, f"peak_memory_mb={peak_mb}"])
