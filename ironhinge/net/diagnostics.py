"""Counters, the event log and warnings of one director.

What clients and upstreams can cause in any number costs one log line of each kind a minute, and a count.
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
    """What a director tells its operators."""

    def __init__(self, clock: Clock):
        self.event_log = EventLog(clock.now)
        self.counters: Counter[str] = Counter()
        self._logged_kinds: set[str] = set()

    def warn(self, kind: str, text: str) -> None:
        """Counts something that is wrong outside; the first of its kind in a minute is logged."""
        self.counters[kind] += 1
        if kind not in self._logged_kinds:
            self._logged_kinds.add(kind)
            logger.warning("{} (repeats are counted as '{}')", text, kind)

    def on_call_failed(self, call: Call, error: str, remedy: Remedy) -> None:
        """A system call failed otherwise than calls do on an ordinary day."""
        self.event_log.record(EventKind.SYSTEM_CALL_FAILED, call.name, error, remedy.name)
        text = f"system_call_failed call={call.name.lower()} error={error} remedy={remedy.name.lower()}"
        self.warn(f"{call.name} {error}", text)
        if remedy is Remedy.BUG:
            self.event_log.dump_for_error(f"{call.name} failed with {error}")

    def reset_log_limits(self) -> None:
        """Each kind of warning, and a dump for a fault, may be logged again."""
        self._logged_kinds.clear()
        self.event_log.reset_dump_allowance()

    def summary(self) -> str:
        """The counters and the peak of memory, as key=value fields."""
        counts = {**self.counters, **self.event_log.counts}
        fields = [f"{name.replace(' ', '_')}={count}" for name, count in counts.items()]
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KB_PER_MB
        return " ".join([*fields, f"peak_memory_mb={peak_mb}"])
