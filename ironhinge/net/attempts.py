"""Sends attempts and health checks as the router commands, and reports how each of them ended.

This module makes no routing decision: the upstream and the deadline of an attempt come from its command.
Each operation, which is an attempt or a health check, ends exactly once.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from loguru import logger

from ..config import DirectorConfig, load_report_in_order
from ..interface import (
    AttemptFinished,
    CacheStatus,
    CancelAttempt,
    Event,
    HealthCheckFinished,
    RequestReceived,
    SendAttempt,
    SendAttemptWithFill,
    SendHealthCheck,
)
from . import client_wire, upstream_wire
from .attempt_end import RESULTS, AttemptEnd
from .clock import MILLISECOND, SECOND, Clock
from .diagnostics import Diagnostics
from .event_log import EventKind
from .extensions import LocalCopyStore, TrafficAccount
from .loop_monitor import ALLOWED_LATENESS, LoopMonitor
from .open_request import Attempt, OpenRequest
from .timers import Timers
from .upstream import UpstreamOperation
from .upstream_command import command_fields, max_copy_age_ms, set_time_remaining
from .upstream_pool import UpstreamPool

# Seconds; unread input that may be older is read before an attempt starts, since none may start more than
# 0.1 s after its client disconnected.
MAX_UNREAD_AGE = 0.03
RETIRED_ID_LIFETIME = SECOND  # time after the end of an attempt in which a second answer to it may arrive
DELIVERED = (AttemptEnd.SERVED, AttemptEnd.NOT_MODIFIED)  # no other attempt follows these ends
ATTEMPTS_STARTED = "attempts_started"  # counter
NOT_MODIFIED_FIELDS = {"same": "1"}  # of the answer to a client whose copy is current

RecentAnswer = tuple[RequestReceived, upstream_wire.UpstreamAnswer]


class DiscoveryView(Protocol):
    """What `Attempts` uses of the discovery service's events."""

    last_index: int

    def catch_up(self, max_age: float) -> None:
        """Reads the events that have arrived, unless none older than `max_age` seconds can be unread."""


class RequestOwner(Protocol):
    """The operations of the director that `Attempts` uses."""

    requests: dict[str, OpenRequest]

    def report(self, event: Event) -> None:
        """Reports an event to the router."""

    def send_final_answer(
        self, request_id: str, code: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends the final answer of a request that is still open."""

    def delete_if_done(self, request: OpenRequest) -> None:
        """Deletes the request if it has been answered and has no attempt in flight."""


class Attempts:
    """The attempts and health checks of one director.

    Attributes:
        pool: The upstreams and their connections; set before first use.
        timers: Schedules the deadlines of operations; set before first use.
        traffic_account: Records attempts, if this extension is in use.
        local_store: Stores copies of answers, if this extension is in use.
        discovery: The discovery events that have been applied; set before first use.
        recent_answers: Answers that the router may command to store, by request id; cleared once the event
            queue of the decision loop is empty.
    """

    def __init__(
        self,
        config: DirectorConfig,
        clock: Clock,
        monitor: LoopMonitor,
        diagnostics: Diagnostics,
        owner: RequestOwner,
    ):
        self.pool: UpstreamPool
        self.timers: Timers
        self.traffic_account: TrafficAccount | None = None
        self.local_store: LocalCopyStore | None = None
        self.discovery: DiscoveryView
        self.recent_answers: dict[str, RecentAnswer] = {}
        self._config = config
        self._clock = clock
        self._monitor = monitor
        self._diagnostics = diagnostics
        self._owner = owner
        self._health_check_count = 0

    def send(self, command: SendAttempt | SendAttemptWithFill) -> None:
        """Executes a command to send a request to an upstream."""
        request = self._owner.requests.get(command.request_id)
        if request is None:
            return
        now = self._clock.now()
        source = None
        if isinstance(command, SendAttemptWithFill):
            source = self.pool.upstreams.get(command.source_id)
        attempt = Attempt(request, self.pool.upstreams[command.endpoint_id], source, now)
        attempt.oldest_copy_unix_ms = self._oldest_allowed_copy(command)
        request.attempt = attempt
        request.attempt_count += 1
        self._diagnostics.counters[ATTEMPTS_STARTED] += 1
        logger.debug(
            "attempt_started request={} number={} upstream={} source={} discovery_index={}",
            request.request_id,
            attempt.attempt_number,
            attempt.upstream.id,
            source.id if source is not None else "-",
            self.discovery.last_index,
        )
        if self.traffic_account is not None:
            source_id = source.id if source is not None else ""
            self.traffic_account.on_attempt_started(now, request.received, command, source_id)
        if request.is_closed or command.deadline <= now:
            self.finish_operation(attempt, AttemptEnd.NOT_SENT)
            return
        fields = command_fields(request.forwarded, command)
        self._start(attempt, command.deadline, lambda: self._render_command(attempt, fields))
        if command.start_deadline:
            attempt.start_deadline = command.start_deadline
            self._schedule(attempt, command.start_deadline, partial(self._on_start_deadline, attempt))

    def _oldest_allowed_copy(self, command: SendAttempt | SendAttemptWithFill) -> int:
        """Returns the Unix time in milliseconds of the oldest usable copy; 0 if there is no limit.

        It is earlier by `ALLOWED_LATENESS` than the command's limit, and by the step if the clock that stamps
        copies was stepped back before the purge that limits their age.
        """
        max_age_ms = max_copy_age_ms(command)
        if not max_age_ms:
            return 0
        return self._clock.earliest_unix_ms() - max_age_ms - ALLOWED_LATENESS // MILLISECOND

    def send_health_check(self, command: SendHealthCheck) -> None:
        """Executes a command to send a health check to an upstream."""
        self._health_check_count += 1
        upstream = self.pool.upstreams[command.endpoint_id]
        check = UpstreamOperation(f"probe-{self._health_check_count}", upstream, self._clock.now())
        frame = (upstream_wire.encode_health_check(check.operation_id),)
        self._start(check, check.started_at + self._config.transport.connect_timeout, lambda: frame)

    def _start(
        self, operation: UpstreamOperation, deadline: int, render: Callable[[], tuple[bytes, ...]]
    ) -> None:
        operation.deadline = deadline
        connection = self.pool.connection_for(operation.upstream, operation.operation_id)
        operation.connection = connection
        connection.operations[operation.operation_id] = operation
        operation.frame = connection.connection.write((), render=render)
        self._schedule(operation, deadline, partial(self._on_deadline, operation, deadline))

    def _schedule(self, operation: UpstreamOperation, due: int, callback: Callable[[], None]) -> None:
        """Sets a timer of an operation, which the end of the operation cancels."""
        operation.timers.append(self.timers.schedule(due, callback))

    def end_by(self, deadline: int) -> None:
        """Makes all attempts in flight time out at `deadline`, if they do not end before."""
        for request in list(self._owner.requests.values()):
            attempt = request.attempt
            if attempt is not None:
                self._schedule(attempt, deadline, partial(self._on_deadline, attempt, deadline))

    def _render_command(self, attempt: Attempt, fields: dict[str, str]) -> tuple[bytes, ...]:
        """Encodes an attempt's command just before it is written; returns nothing if the attempt has ended.

        While the command waited for its connection, its client may have disconnected, or a drain or purge may
        have arrived and not been read yet. So unread input is read first, and may end the attempt. If the
        process was stopped, its start deadline may have passed without its timer having fired. An attempt
        whose command is partly sent is not ended here: its connection sends the rest, or closes.
        """
        attempt.request.client.connection.catch_up(MAX_UNREAD_AGE)
        self.discovery.catch_up(MAX_UNREAD_AGE)
        now = self._clock.now()
        is_over = attempt.request.is_closed or now >= attempt.deadline
        if not attempt.is_finished and (is_over or attempt.is_past_start_deadline(now)):
            if attempt.withdraw():
                self.finish_operation(attempt, AttemptEnd.NOT_SENT)
            elif is_over:
                return ()
        if attempt.is_finished:
            return ()
        set_time_remaining(fields, attempt.deadline - now)
        return upstream_wire.encode_request(attempt.operation_id, fields, attempt.request.body)

    def finish_operation(
        self,
        operation: UpstreamOperation,
        end: AttemptEnd,
        answer: upstream_wire.UpstreamAnswer | None = None,
    ) -> None:
        """Ends an attempt or a health check, unless it has ended already, and reports its result."""
        if operation.is_finished:
            return
        operation.is_finished = True
        for timer in operation.timers:
            # a timer that is due later must not keep the request's body and command in memory until then
            self.timers.cancel(timer)
        operation.timers.clear()
        if operation.frame is not None:
            # breaks the reference cycle with the operation without waiting for the garbage collector
            operation.frame.render = None
        now = self._clock.now()
        self._release_connection(operation, end, answer, now)
        if isinstance(operation, Attempt):
            self._finish_attempt(operation, end, answer, now)
            return
        duration = now - operation.started_at
        report = self._load_report(answer)
        self._owner.report(HealthCheckFinished(operation.upstream.id, RESULTS[end], duration, report))

    def _load_report(self, answer: upstream_wire.UpstreamAnswer | None) -> tuple[float, ...] | None:
        if answer is None or not answer.load_report:
            return None
        return load_report_in_order(answer.load_report, self._config.deployment)

    @staticmethod
    def _release_connection(
        operation: UpstreamOperation, end: AttemptEnd, answer: upstream_wire.UpstreamAnswer | None, now: int
    ) -> None:
        connection = operation.connection
        if connection is None:
            return
        # breaks the reference cycle with the connection
        operation.connection = None
        connection.operations.pop(operation.operation_id, None)
        connection.idle_since = now
        connection.retire_if_desynchronized()
        if answer is not None and end not in DELIVERED:
            # the request's next attempt has the same id: while the id is retired here, it uses another
            # connection, so that a second answer to this attempt can't be taken for its answer
            connection.retired_ids[operation.operation_id] = now + RETIRED_ID_LIFETIME

    def _finish_attempt(
        self,
        attempt: Attempt,
        end: AttemptEnd,
        answer: upstream_wire.UpstreamAnswer | None,
        now: int,
    ) -> None:
        request = attempt.request
        body_size = len(answer.body) if answer is not None and end is AttemptEnd.SERVED else None
        end = self._validated_end(attempt, end, answer)
        self._diagnostics.counters[end.name] += 1
        if end not in DELIVERED:
            self._diagnostics.event_log.record(
                EventKind.ATTEMPT_FAILED, request.request_id, end.name, attempt.upstream.id
            )
        request.attempt = None
        if end is AttemptEnd.SERVED and answer is not None:
            self._owner.send_final_answer(request.request_id, client_wire.DONE, {}, answer.body)
        elif end is AttemptEnd.NOT_MODIFIED:
            self._owner.send_final_answer(request.request_id, client_wire.DONE, NOT_MODIFIED_FIELDS)
        self._owner.delete_if_done(request)
        if self.local_store is not None and body_size and answer is not None:
            self.recent_answers[request.request_id] = request.received, answer
        event = AttemptFinished(
            request_id=request.request_id,
            attempt_number=attempt.attempt_number,
            endpoint_id=attempt.upstream.id,
            result=RESULTS[end],
            duration=now - attempt.started_at,
            request_closed=request.is_closed,
            cache_status=answer.cache_status if answer is not None else CacheStatus.NONE,
            time_to_first_byte=0,
            load_report=self._load_report(answer),
        )
        if self.traffic_account is not None:
            self.traffic_account.on_attempt_finished(now, event, body_size, request.client_disconnected)
        self._owner.report(event)

    @staticmethod
    def _validated_end(
        attempt: Attempt, end: AttemptEnd, answer: upstream_wire.UpstreamAnswer | None
    ) -> AttemptEnd:
        """Returns how an attempt ended; `ERROR` if its answer must not be passed on."""
        held_tag = attempt.request.forwarded.held_tag
        if end is AttemptEnd.NOT_MODIFIED and (answer is None or not held_tag or answer.tag != held_tag):
            return AttemptEnd.ERROR  # the answer does not confirm the tag of the client's copy
        if answer is not None and 0 < answer.produced_unix_ms < attempt.oldest_copy_unix_ms:
            return AttemptEnd.ERROR  # the copy is too old: the upstream has not applied a purge
        return end

    def abandon(self, operation: UpstreamOperation, end: AttemptEnd) -> None:
        """Ends an operation that has no answer.

        If none of its command has been written, the command is never sent. Otherwise an attempt is cancelled
        at the upstream; if that fails, its connection is closed.
        """
        if operation.is_finished:
            return
        connection = operation.connection
        is_cancelled = True  # cancelled at the upstream, or nothing has to be cancelled
        if operation.withdraw():
            end = AttemptEnd.NOT_SENT
        elif isinstance(operation, Attempt) and connection is not None:
            is_cancelled = connection.cancel(operation) or operation.request.is_closed
            last_received_at = connection.connection.last_received_at * SECOND
            if end is AttemptEnd.TIMED_OUT and last_received_at < operation.started_at:
                # nothing arrived since the attempt began, the connection may be dead: the next attempt uses a
                # new one, which shows whether the upstream is reachable
                is_cancelled = False
        self.finish_operation(operation, end)
        if not is_cancelled and connection is not None:
            # ends all operations on it before anything else is written
            connection.connection.close(AttemptEnd.CONNECTION_SHARED_FAILURE)

    def cancel(self, command: CancelAttempt) -> None:
        """Executes a command to cancel an attempt."""
        request = self._owner.requests.get(command.request_id)
        if request is None or request.attempt is None:
            return
        if request.attempt.attempt_number == command.attempt_number:
            self.abandon(request.attempt, AttemptEnd.CANCELLED)

    def withdraw_unsent(self, is_affected: Callable[[Attempt], bool]) -> None:
        """Withdraws the affected attempts of which nothing has been written.

        An attempt counts as sent before a drain or a purge if its first byte was.
        """
        for request in list(self._owner.requests.values()):
            attempt = request.attempt
            if attempt is not None and is_affected(attempt) and attempt.withdraw():
                self.finish_operation(attempt, AttemptEnd.NOT_SENT)

    def _on_start_deadline(self, attempt: Attempt) -> None:
        """Withdraws an attempt of which nothing has been sent yet.

        Upstreams remember an idempotency key for a limited time: an attempt sent later could run twice.
        """
        if attempt.withdraw():
            self.finish_operation(attempt, AttemptEnd.NOT_SENT)

    def _on_deadline(self, operation: UpstreamOperation, due: int) -> None:
        """Ends an operation that has not been answered by its deadline."""
        if operation.connection is not None:
            operation.connection.connection.read_now()  # an answer may have arrived in time and not been read
        if operation.is_finished:
            return
        self._monitor.on_late_timer(self._clock.now() - due)
        self.abandon(operation, AttemptEnd.TIMED_OUT)
