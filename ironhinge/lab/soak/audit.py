"""Audits a run: checks the records of clients and stand-ins (fake servers) against the operators' rules.

The audit uses only the plan and these records and shares no code with the director. Each limit is a number
from the operators' documentation (a comment at the constant states the rule), plus the delay of the run's own
proxies. A director that was stopped by SIGSTOP gets no extra time, as the documentation grants none. When the
recording process itself runs late, the times that it records are too late by its lag; the attempt, drain and
purge checks allow for that lag.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from .crowds import CROWD_ID_PREFIX
from .plan import (
    DRAIN_GRACE,
    PURGE_GRACE,
    SLOW_START_DURATION,
    SLOW_START_WINDOW,
    Idempotency,
    Plan,
)
from .record_queries import SLACK, excused_by_kill, is_purge_of, start_time
from .records import (
    AnswerCode,
    Arrival,
    ColdStart,
    ConnectionEnding,
    ConnectionRecord,
    DirectorIncarnation,
    NotificationKind,
    Records,
    RequestRecord,
)
from .slow_start_limit import slow_start_limit

# seconds
ANSWER_GRACE = 0.5  # an answer up to 0.5 s after the client's timeout is only worthless; later or none: lost
CANCEL_GRACE = 0.1  # an attempt started over 0.1 s after the client closed or cancelled is a lost request
DEADLINE_SLACK = 0.15  # the deadline sent to a server may exceed the client's remaining time by 0.15 s
CLOSE_CROSSING_WINDOW = 0.05  # a request written up to 50 ms before a close may cross it, and is resent
READY_TIMEOUT = 10.0  # nine in ten restarted directors are ready within 10 s; each later one is a finding
LAG_WINDOW = 0.3  # a lag of the recording process applies to times less than 0.3 s from its measurement
CLOCK_RESOLUTION = 0.002  # resolution of the time of issue that a copy contains


class Rule(StrEnum):
    """Rules that a run must not violate; reports contain the values."""

    LOST = "lost"
    DUPLICATE_ANSWER = "doubled answer"
    LATE = "late"
    PROTOCOL_ERROR = "error"
    UNKNOWN_REQUEST = "unknown request"
    ATTEMPT_AFTER_CANCEL = "after client left"
    DEADLINE = "deadline"
    DUPLICATE_EXECUTION = "duplicate"
    DRAIN = "drain"
    PURGE = "purge"
    SLOW_START = "slow start"
    CRASH = "crash"
    NOT_READY = "not ready"
    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    MALFORMED_COMMAND = "unreadable command"
    DISCOVERY_CONNECTIONS = "discovery connections"


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule."""

    rule: Rule
    text: str
    trace: str = ""  # trace ID of the request; empty if the finding is not about a request


@dataclass(slots=True)
class AuditResult:
    """Counts of a run and the findings of its audit."""

    findings: list[Finding] = field(default_factory=list)
    requests: int = 0  # written to a connection completely
    answered: int = 0
    served: int = 0
    # requests written while the director's close was in flight: the protocol has the client resend them
    closed_before_read: int = 0
    attempts: int = 0  # commands that nodes received

    def count(self, *rules: Rule) -> int:
        """Return the number of findings of these rules."""
        return sum(finding.rule in rules for finding in self.findings)


class Audit:
    """Checks the records of one run against all rules."""

    def __init__(self, plan: Plan, records: Records) -> None:
        """Create an audit for a run that has ended."""
        self.plan = plan
        self.records = records
        written = sum(request.written_at is not None for request in records.requests)
        self.result = AuditResult(requests=written)
        self._incarnations = {(each.director, each.number): each for each in records.incarnations}
        self._by_trace = {request.trace: request for request in records.requests}
        self._classes = {each.name: each for each in plan.classes}

    def check_all(self) -> AuditResult:
        """Check all rules and return the findings."""
        for request in self.records.requests:
            self._check_answers(request)
        for connection in self.records.connections:
            if connection.error_at is not None:
                text = f"protocol error on connection {connection.number} of director {connection.director}"
                self._add_finding(Rule.PROTOCOL_ERROR, text)
        for arrival in self.records.arrivals:
            self._check_attempt(arrival)
        self._check_executions()
        self._check_drains()
        self._check_copies()
        for cold_start in self.records.cold_starts:
            self._check_slow_start(cold_start)
        for incarnation in self.records.incarnations:
            self._check_process(incarnation)
        for excess in self.records.excess_connections:
            text = (
                f"director {excess.director} had {excess.connections} connections for {excess.seconds:.1f} s"
            )
            self._add_finding(Rule.DISCOVERY_CONNECTIONS, text)
        return self.result

    def _add_finding(self, rule: Rule, text: str, trace: str = "") -> None:
        self.result.findings.append(Finding(rule, text, trace))

    # Exactly one final answer, in time; cancelled or incompletely written requests need none

    def _check_answers(self, request: RequestRecord) -> None:
        if len(request.answers) > 1:
            self._add_finding(Rule.DUPLICATE_ANSWER, f"{len(request.answers)} answers", request.trace)
        if request.answers:
            self._check_first_answer(request)
        elif request.written_at is not None and request.cancelled_at is None:
            self._check_unanswered(request, request.written_at)

    def _check_first_answer(self, request: RequestRecord) -> None:
        answer = request.answers[0]
        self.result.answered += 1
        self.result.served += answer.code == AnswerCode.SERVED
        elapsed = answer.at - start_time(request)
        allowed = request.client_timeout + ANSWER_GRACE + 2 * request.connection.path_delay
        late = elapsed - allowed
        if late > SLACK and request.cancelled_at is None:
            text = f"answered {late + ANSWER_GRACE:.3f} s after the client's timeout"
            self._add_finding(Rule.LATE, text, request.trace)

    def _check_unanswered(self, request: RequestRecord, written_at: float) -> None:
        connection = request.connection
        incarnation = self._incarnations.get((connection.director, connection.incarnation))
        if incarnation is None or excused_by_kill(incarnation, written_at + connection.path_delay):
            return
        ended_at = connection.ended_at
        if ended_at is None:
            reason = "never answered"
        elif self._was_closed_before_read(request, written_at, ended_at):
            self.result.closed_before_read += 1
            return
        else:
            reason = f"connection ended ({connection.ending}) {ended_at - written_at:.3f} s after the request"
        process_name = f"process {incarnation.number} of director {incarnation.director}"
        self._add_finding(Rule.LOST, f"{reason}, {process_name}", request.trace)

    def _was_closed_before_read(self, request: RequestRecord, written_at: float, ended_at: float) -> bool:
        """Return whether a request was written while the director's close of its connection was in flight.

        Counts only where the director had announced the close and no other request was open.
        """
        connection = request.connection
        round_trip = 2 * connection.path_delay + connection.end_delay
        goaway_received = connection.goaway_at is not None and connection.goaway_at < written_at
        return (
            goaway_received
            and connection.ending == ConnectionEnding.BY_DIRECTOR
            and ended_at - written_at < CLOSE_CROSSING_WINDOW + round_trip
            and not self._has_other_open_request(request, connection, written_at)
        )

    def _has_other_open_request(
        self, request: RequestRecord, connection: ConnectionRecord, at: float
    ) -> bool:
        """Return whether another request was open on the connection at time `at`."""
        return any(
            other is not request
            and other.connection is connection
            and other.started_at < at
            and (not other.answers or other.answers[0].at > at)
            for other in self.records.requests
        )

    def _recorder_lag(self, at: float) -> float:
        """Return the largest lag of the recording process around `at`: recorded times may be late by it."""
        return max((lag for when, lag in self.records.lags if abs(when - at) < LAG_WINDOW), default=0.0)

    # Attempts

    def _check_attempt(self, arrival: Arrival) -> None:
        self.result.attempts += 1
        request = self._by_trace.get(arrival.trace)
        if request is None and self.plan.crowds and arrival.trace.startswith(CROWD_ID_PREFIX):
            return  # a crowd's requests are not recorded
        if request is None:
            self._add_finding(Rule.UNKNOWN_REQUEST, f"{arrival.node} received unknown trace {arrival.trace}")
            return
        delay = request.connection.path_delay + self.plan.node_path.delay
        if request.cancelled_at is not None:
            self._check_attempt_after_cancel(arrival, request, request.cancelled_at, delay)
        time_left = start_time(request) + request.client_timeout - arrival.complete_at
        sent_time_left = float(arrival.fields.get("ms", "0")) / 1000
        excess = sent_time_left - time_left - DEADLINE_SLACK - delay - self._recorder_lag(arrival.at)
        if excess > 0:
            text = f"{arrival.node} was sent a deadline of {sent_time_left:.3f} s with {time_left:.3f} s left"
            self._add_finding(Rule.DEADLINE, text, request.trace)

    def _check_attempt_after_cancel(
        self, arrival: Arrival, request: RequestRecord, cancelled_at: float, delay: float
    ) -> None:
        connection = request.connection
        closed_by_client = connection.ending == ConnectionEnding.BY_CLIENT
        end_delay = connection.end_delay if closed_by_client else 0.0
        after = arrival.at - cancelled_at
        if after - CANCEL_GRACE - delay - end_delay - self._recorder_lag(arrival.at) > 0:
            text = f"attempt {after:.3f} s after the client cancelled"
            self._add_finding(Rule.ATTEMPT_AFTER_CANCEL, text, request.trace)

    def _check_executions(self) -> None:
        """Check that no operation was executed twice, and no non-idempotent one before its rejection.

        A rejection states that the request was not executed, so that the client may send it again.
        """
        executed_at: dict[str, list[float]] = defaultdict(list)
        for execution in self.records.executions:
            executed_at[execution.operation].append(execution.at)
        for operation, times in executed_at.items():
            if len(times) > 1:
                self._add_finding(Rule.DUPLICATE_EXECUTION, f"executed {len(times)} times", operation)
        for request in self.records.requests:
            if (
                not request.answers
                or self._classes[request.class_name].idempotency != Idempotency.NON_IDEMPOTENT
            ):
                continue
            answer = request.answers[0]
            executed_before = any(at < answer.at for at in executed_at.get(request.operation, ()))
            if answer.code == AnswerCode.REJECTED and executed_before:
                self._add_finding(Rule.DUPLICATE_EXECUTION, "rejected after it was executed", request.trace)

    # Drains, purges, slow start

    def _check_drains(self) -> None:
        """Check that no node is sent to or filled from over `DRAIN_GRACE` after the notice of its drain."""
        drained_at: dict[tuple[int, int, str], float] = {}
        ready_at: dict[tuple[int, int, str], list[float]] = defaultdict(list)
        for event in self.records.notifications:
            key = event.director, event.incarnation, event.target
            if event.kind in (NotificationKind.DRAINING, NotificationKind.REMOVED):
                drained_at[key] = min(drained_at.get(key, event.at), event.at)
            elif event.kind == NotificationKind.READY:
                ready_at[key].append(event.at)
        for arrival in self.records.arrivals:
            request = self._by_trace.get(arrival.trace)
            if request is None:
                continue
            connection = request.connection
            for node in (arrival.node, arrival.fields.get("parent", "")):
                key = connection.director, connection.incarnation, node
                at = drained_at.get(key)
                if at is not None and not any(at < ready <= arrival.at for ready in ready_at[key]):
                    self._check_use_after_drain(arrival, request, node, at)

    def _check_use_after_drain(
        self, arrival: Arrival, request: RequestRecord, node: str, drained_at: float
    ) -> None:
        late = arrival.at - drained_at - DRAIN_GRACE - SLACK - self.plan.node_path.delay
        if late > self._recorder_lag(arrival.at):
            text = f"{node} was used {late + DRAIN_GRACE:.3f} s after the notice of its drain"
            self._add_finding(Rule.DRAIN, text, request.trace)

    def _check_copies(self) -> None:
        """Check that answers contain the requested object, and that no purged copy was served."""
        last_attempt: dict[str, float] = {}
        for arrival in self.records.arrivals:
            last_attempt[arrival.trace] = max(arrival.at, last_attempt.get(arrival.trace, 0.0))
        for request in self.records.requests:
            idempotent = self._classes[request.class_name].idempotency == Idempotency.IDEMPOTENT
            if not idempotent or not request.answers or request.answers[0].code != AnswerCode.SERVED:
                continue
            object_name, _, issued_ms = request.answers[0].body.partition("@")
            if object_name != request.operation:
                self._add_finding(Rule.LOST, f"answered with the body of {object_name}", request.trace)
                continue
            sent_at = last_attempt.get(request.trace)
            if sent_at is not None:
                issued_at = int(issued_ms) / 1000 - self.records.unix_offset
                self._check_purges(request, issued_at, sent_at)

    def _check_purges(self, request: RequestRecord, issued_at: float, sent_at: float) -> None:
        for event in self.records.notifications:
            if not is_purge_of(event, request):
                continue
            enforced_from = event.at + PURGE_GRACE + SLACK + self._recorder_lag(event.at)
            if sent_at > enforced_from and issued_at < event.happened_at - CLOCK_RESOLUTION:
                older, since = event.happened_at - issued_at, sent_at - event.at
                text = f"served a copy {older:.3f} s older than a purge notified {since:.3f} s before"
                self._add_finding(Rule.PURGE, text, request.trace)

    def _check_slow_start(self, cold_start: ColdStart) -> None:
        """Check that a node in slow start gets no more commands per window than its share allows."""
        started_at = cold_start.started_at
        told_at = self._start_notified_at(cold_start)
        times = sorted(
            arrival.at
            for arrival in self.records.arrivals
            if arrival.node == cold_start.node
            and started_at <= arrival.at < started_at + SLOW_START_DURATION
            and told_at <= arrival.at
        )
        for index, at in enumerate(times):
            limit = slow_start_limit(at - started_at, self.plan.node_weight)
            count = index + 1 - bisect_left(times, at - SLOW_START_WINDOW)
            if count > limit:
                text = (
                    f"{cold_start.node} got {count} commands, limit {limit:.0f}, at {at - started_at:.2f} s"
                )
                self._add_finding(Rule.SLOW_START, text)
                break

    def _start_notified_at(self, cold_start: ColdStart) -> float:
        """Return from when on commands count: all, or those after all directors count as told of the start.

        The rule is broken by directors that have been told; only on a late path that takes long.
        """
        if not self.plan.discovery_delays:
            return cold_start.started_at
        told = [
            event.at
            for event in self.records.notifications
            if event.kind == NotificationKind.READY
            and event.target == cold_start.node
            and event.happened_at >= cold_start.started_at
        ]
        return max(told, default=math.inf) + SLACK

    # Processes

    def _check_process(self, incarnation: DirectorIncarnation) -> None:
        name = f"director {incarnation.director} process {incarnation.number}"
        killed = incarnation.killed_at is not None
        if incarnation.exit_code not in (None, 0) and not killed:
            self._add_finding(Rule.CRASH, f"{name} exited with code {incarnation.exit_code}")
        if incarnation.exited_at is not None and incarnation.terminated_at is None and not killed:
            self._add_finding(Rule.CRASH, f"{name} exited without SIGTERM or SIGKILL")
        elapsed = (incarnation.ready_at or incarnation.started_at) - incarnation.started_at
        if elapsed > READY_TIMEOUT:
            self._add_finding(Rule.NOT_READY, f"{name} took {elapsed:.1f} s to become ready")
        if incarnation.peak_descriptors > self.plan.descriptor_limit:
            used = f"{incarnation.peak_descriptors} descriptors, limit {self.plan.descriptor_limit}"
            self._add_finding(Rule.DESCRIPTORS, f"{name} had {used}")
        if incarnation.peak_memory_mb > self.plan.memory_limit_mb:
            used = f"{incarnation.peak_memory_mb:.0f} MB, limit {self.plan.memory_limit_mb}"
            self._add_finding(Rule.MEMORY, f"{name} had {used}")
