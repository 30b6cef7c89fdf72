"""The report of one seed as a JSON object. The keys are a public format and must not change."""

from __future__ import annotations

from typing import Any

from .audit import AuditResult, Finding, Rule
from .plan import Plan
from .records import Records
from .timeline import timeline

MAX_FINDINGS = 10  # further findings are counted but not listed
OTHER_RULES = (  # violations of these are reported as one number, `broken_rules`
    Rule.PROTOCOL_ERROR,
    Rule.DRAIN,
    Rule.PURGE,
    Rule.SLOW_START,
    Rule.DEADLINE,
    Rule.DESCRIPTORS,
    Rule.MEMORY,
    Rule.NOT_READY,
    Rule.MALFORMED_COMMAND,
    Rule.UNKNOWN_REQUEST,
    Rule.DISCOVERY_CONNECTIONS,
)


def build_report(plan: Plan, records: Records, audit_result: AuditResult) -> dict[str, Any]:
    """Return the counts of a seed and its first findings, each with the timeline of its request."""
    return {
        "seed": plan.seed,
        "requests": audit_result.requests,
        "answered": audit_result.answered,
        "served": audit_result.served,
        "attempts": audit_result.attempts,
        "crossed": audit_result.closed_before_read,
        "lost": audit_result.count(Rule.LOST, Rule.DUPLICATE_ANSWER),
        "duplicates": audit_result.count(Rule.DUPLICATE_EXECUTION),
        "late": audit_result.count(Rule.LATE),
        "after_client_left": audit_result.count(Rule.ATTEMPT_AFTER_CANCEL),
        "broken_rules": audit_result.count(*OTHER_RULES),
        "crashes": audit_result.count(Rule.CRASH),
        "lag_ms": round(records.max_lag * 1000, 1),
        "cpu_wait_ms": round(1000 * max(_cpu_waits(records), default=0.0), 1),
        "findings": [_describe(finding, records) for finding in audit_result.findings[:MAX_FINDINGS]],
    }


def _cpu_waits(records: Records) -> list[float]:
    """Return for how long directors waited for a processor, between two measurements each."""
    return [wait for incarnation in records.incarnations for _, wait in incarnation.cpu_waits]


def _describe(finding: Finding, records: Records) -> dict[str, Any]:
    lines = timeline(finding.trace, records) if finding.trace else []
    return {"rule": finding.rule, "text": finding.text, "trace": finding.trace, "timeline": lines}
