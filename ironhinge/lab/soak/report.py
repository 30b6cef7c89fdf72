"""The report of one seed, for a line of JSON. Key names are a public format."""

from __future__ import annotations

from typing import Any

from .audit import Finding, Rule, Verdict
from .plan import Plan
from .records import Records
from .timeline import timeline

MAX_FINDINGS = 10  # that are reported in full
OTHER_RULES = (
    Rule.ERROR_FRAME,
    Rule.DRAIN,
    Rule.PURGE,
    Rule.SLOW_START,
    Rule.DEADLINE,
    Rule.DESCRIPTORS,
    Rule.NOT_READY,
    Rule.MALFORMED_COMMAND,
    Rule.UNKNOWN_REQUEST,
)


def build_report(plan: Plan, records: Records, verdict: Verdict) -> dict[str, Any]:
    """Return the figures of a seed and its first findings."""
    return {
        "seed": plan.seed,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "served": verdict.served,
        "attempts": verdict.attempts,
        "crossed": verdict.crossed_close,
        "lost": verdict.count(Rule.LOST, Rule.DOUBLED_ANSWER),
        "duplicates": verdict.count(Rule.DUPLICATE),
        "late": verdict.count(Rule.LATE),
        "after_client_left": verdict.count(Rule.AFTER_CLIENT_LEFT),
        "broken_rules": verdict.count(*OTHER_RULES),
        "crashes": verdict.count(Rule.CRASH),
        "lag_ms": round(records.max_lag * 1000, 1),
        "findings": [_describe(finding, records) for finding in verdict.findings[:MAX_FINDINGS]],
    }


def _describe(finding: Finding, records: Records) -> dict[str, Any]:
    lines = timeline(finding.trace, records) if finding.trace else []
    return {"rule": finding.rule, "text": finding.text, "trace": finding.trace, "timeline": lines}
