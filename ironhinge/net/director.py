"""The director: owns the open requests and joins the parts of the real front.

It never chooses an upstream, a time or an answer: it reports what happened, does what the decisions command,
and sees that each request gets one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
from loguru import logger

from ..config import DirectorConfig
from ..interface import (
    CancelAttempt,
    ClientDisconnected,
    Event,
    FailRequest,
    GossipReceived,
    InstanceStarted,
    LocalCopyFinished,
    RejectRequest,
    RequestFullList,
    SendAttempt,
    SendAttemptWithFill,
    SendGossip,
    SendHealthCheck,
    ServeLocalCopy,
    SetTimer,
    SetWatch,
    ShutdownStarted,
    StoreLocalCopy,
    TimerFired,
    WriteLog,
)
from ..routing import Router
from . import client_wire
from .attempt_end import AttemptEnd
from .attempts import NOT_MODIFIED_FIELDS, Attempts
from .client_connection import ClientConnection
from .client_registry import ClientRegistry
from .client_request import RequestFieldError, read_request
from .clock import MILLISECOND, Clock
from .connection_manager import ConnectionManager
from .decision_loop import DecisionLoop
from .diagnostics import Diagnostics
from .discovery import Discovery
from .event_log import EventKind, EventLog
from .extensions import LocalCopyStore, TrafficAccount
from .gossip import Gossip
from .loop_monitor import LoopMonitor
from .open_request import Attempt, OpenRequest
from .timers import Timers
from .upstream import UpstreamOperation
from .upstream_pool import UpstreamPool
from .upstream_wire import UpstreamAnswer

MAINTENANCE_INTERVAL = 50 * MILLISECOND  # how often lateness is measured
RUNS_PER_TIMEOUT_CHECK = 2
RUNS_PER_SUMMARY = 1200


class Director:
    """One director: its requests, clients and upstreams."""

    def __init__(
        self,
        config: DirectorConfig,
        manager: ConnectionManager,
        traffic_account: TrafficAccount | None = None,
        local_store: LocalCopyStore | None = None,
        clock: Clock | None = None,
    ):
        self.config = config
        self.manager = manager
        self.clock = clock or Clock()
        self.requests: dict[str, OpenRequest] = {}
        self.shutdown_deadline: int | None = None  # by then all is answered
        self.admission_deadline: int | None = None  # requests read after that are not taken
        self.diagnostics = Diagnostics(self.clock)
        self.monitor = LoopMonitor(self.clock)
        self.clients = ClientRegistry(manager, self.clock)
        self.timers = Timers(self.clock, self)
        self.attempts = Attempts(config, self.clock, self.monitor, self.diagnostics, self)
        self.pool = UpstreamPool(manager, config.transport, self.clock, self)
        self.discovery = Discovery(config, manager, self.pool, self.clock, self)
        self.attempts.catch_up_with_discovery = self.discovery.catch_up
        self.gossip = Gossip(config, manager.calls, self)
        router = Router(config.deployment, config.seed)
        self.decisions = DecisionLoop(
            router, self.clock, self._on_decision_error, self.attempts.recent_answers.clear
        )
        self.decisions.handlers = self._command_handlers()
        self.attempts.pool = self.pool
        self.attempts.timers = self.timers
        self._attach_extensions(traffic_account, local_store)
        manager.on_call_failed = self.diagnostics.on_call_failed
        manager.shed_idle = self.pool.shed_idle

    def _attach_extensions(
        self, traffic_account: TrafficAccount | None, local_store: LocalCopyStore | None
    ) -> None:
        self.traffic_account = self.attempts.traffic_account = self.discovery.traffic_account = (
            traffic_account
        )
        self.local_store = self.attempts.local_store = self.discovery.local_store = local_store
        self.decisions.router.fill_budget = traffic_account
        self.decisions.router.local_store = local_store

    def _command_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendAttempt: self.attempts.send,
            SendAttemptWithFill: self.attempts.send,
            CancelAttempt: self.attempts.cancel,
            SendHealthCheck: self.attempts.send_health_check,
            ServeLocalCopy: self._serve_local_copy,
            StoreLocalCopy: self._store_local_copy,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            SetTimer: self._set_timer,
            SetWatch: self._ignore_watch_command,
            RequestFullList: self._ignore_watch_command,
            SendGossip: self.gossip.send,
            WriteLog: self._write_log,
        }

    @property
    def event_log(self) -> EventLog:
        """The latest events of connections and requests."""
        return self.diagnostics.event_log

    def start(self) -> None:
        """Reports all that is known to the decisions before any client is served."""
        self.report(InstanceStarted())
        self.discovery.apply_known()

    def report(self, event: Event) -> None:
        """Hands an event to the decisions and carries out what they answer."""
        self.decisions.report(event)

    def _on_decision_error(self, request_id: str) -> None:
        self.diagnostics.counters["decision_faults"] += 1
        self.event_log.dump_for_error("decision_failed")
        self.send_final_answer(request_id, client_wire.ABORTED, {})

    # Requests

    def admit(
        self, client: ClientConnection, message: client_wire.RequestFrame | client_wire.MalformedRequest
    ) -> None:
        """Takes a request that was read, or answers it at once where it can't be taken."""
        now = self.clock.now()
        if self.admission_deadline is not None and now > self.admission_deadline:
            # hardly any time is left: it is answered at once, and sent nowhere
            self.event_log.record(EventKind.REQUEST_REJECTED, f"client {client.number}", "shutdown")
            client.connection.write(client_wire.answer(message.stream, client_wire.DENIED, {}))
            return
        try:
            request = self._open_request(client, message)
        except ValueError as error:
            self.warn("unreadable_requests", f"request_unreadable error={str(error)!r}")
            text = str(error).encode()
            client.connection.write(client_wire.answer(message.stream, client_wire.ABORTED, {}, text))
            return
        client.open_requests[request.stream] = self.requests[request.request_id] = request
        self.diagnostics.counters["requests"] += 1
        self.decisions.report_request(request.received, request.deadline)

    def _open_request(
        self,
        client: ClientConnection,
        message: client_wire.RequestFrame | client_wire.MalformedRequest,
    ) -> OpenRequest:
        """Reads a request; `ValueError` says what is wrong with it."""
        if isinstance(message, client_wire.MalformedRequest):
            raise RequestFieldError(message.text)
        read_at = self.clock.now()
        margin = self.monitor.deadline_margin(client.connection, read_at)
        request = read_request(
            message.fields, self.config.names, self.config.deployment, client.number, margin
        )
        received = request.received
        if received.request_id in self.requests:
            raise RequestFieldError("field 'trace' names an open req")
        deadline = read_at + received.time_remaining
        if self.shutdown_deadline is not None:
            deadline = min(deadline, self.shutdown_deadline)
        return OpenRequest(request, client, message.stream, message.body, deadline)

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Nobody waits for a request's answer any more."""
        if request.is_closed:
            return
        request.is_closed = request.client_disconnected = True
        self.diagnostics.counters["clients_disconnected"] += 1
        self.event_log.record(EventKind.REQUEST_CANCELLED, request.request_id, "client")
        self.report(ClientDisconnected(request.request_id))
        if request.attempt is not None and request.attempt.withdraw():
            # also where the settings allow no cancellation of what has begun: what waits for its connection
            # or behind a blocked socket has not
            self.attempts.finish_operation(request.attempt, AttemptEnd.NOT_SENT)
        self.forget_if_done(request)

    def fail(self, request: OpenRequest) -> None:
        """Answers a request whose connection has to end; the decisions learn that nobody waits for it."""
        if not request.is_closed:
            self.on_client_disconnected(request)
            request.client.send_answer(request, client_wire.ABORTED, {}, b"")

    def send_final_answer(
        self, request_id: str, code: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Answers a request that is still open."""
        request = self.requests.get(request_id)
        if request is None or request.is_closed:
            return
        request.is_closed = True
        outcome = client_wire.CODES[code]
        self.diagnostics.counters[outcome] += 1
        if code != client_wire.DONE:
            kind = EventKind.REQUEST_REJECTED if code == client_wire.DENIED else EventKind.REQUEST_FAILED
            self.event_log.record(kind, request_id, f"after {request.attempt_count} attempts")
        logger.debug(
            "request_finished request={} outcome={} attempts={}", request_id, outcome, request.attempt_count
        )
        request.client.send_answer(request, code, fields, body)
        self.forget_if_done(request)

    def forget_if_done(self, request: OpenRequest) -> None:
        """Forgets a request that is answered and has no attempt in flight."""
        if request.is_closed and request.attempt is None:
            self.requests.pop(request.request_id, None)

    # What the parts report

    def warn(self, kind: str, text: str) -> None:
        """Logs something that is wrong outside, once a minute of each kind."""
        self.diagnostics.warn(kind, text)

    def finish_operation(
        self, operation: UpstreamOperation, end: AttemptEnd, answer: UpstreamAnswer | None = None
    ) -> None:
        """Ends an operation, with the answer where there is one."""
        self.attempts.finish_operation(operation, end, answer)

    def withdraw_unsent(self, is_affected: Callable[[Attempt], bool]) -> None:
        """Withdraws attempts of which nothing has been written."""
        self.attempts.withdraw_unsent(is_affected)

    def on_timer(self, token: str) -> None:
        """A timer of the decisions is due."""
        self.report(TimerFired(token))

    def on_operation_due(self, operation: UpstreamOperation, due: int, now: int) -> None:
        """A deadline of an operation is due."""
        self.attempts.on_operation_due(operation, due, now)

    def on_datagram(self, sender: int, data: bytes) -> None:
        """A datagram came from the peer with that index."""
        account = self.traffic_account
        if account is not None and account.on_gossip(self.clock.now(), sender, data):
            return
        self.report(GossipReceived(sender, data))
        self.manager.flush()

    # What client connections ask

    def next_client_number(self) -> int:
        """The number of a connection that was just accepted."""
        return self.clients.next_number()

    def is_shutting_down(self) -> bool:
        """Whether new requests go elsewhere."""
        return self.shutdown_deadline is not None

    def is_short_of_descriptors(self) -> bool:
        """Whether connections have to end for new ones."""
        return self.manager.is_nearly_full()

    def on_client_connected(self, client: ClientConnection) -> None:
        """A client's connection was accepted."""
        self.clients.add(client)

    def on_client_waiting(self, client: ClientConnection) -> None:
        """A client's connection begins to wait anew."""
        self.clients.move_to_end(client)

    def on_client_closed(self, client: ClientConnection) -> None:
        """A client's connection is closed."""
        self.clients.discard(client)

    # Commands of the decisions

    def _serve_local_copy(self, command: ServeLocalCopy) -> None:
        request = self.requests.get(command.request_id)
        if request is not None:
            self.manager.task_group.start_soon(self._read_local_copy, request)

    async def _read_local_copy(self, request: OpenRequest) -> None:
        """Answers with our own copy, or reports that it could not be had; it is reported once either way."""
        served = False
        try:
            copy = await self.local_store.read(request.received) if self.local_store is not None else None
            if copy is not None:
                served = True
                client_has_copy = request.passed.held_tag == copy.tag.decode(errors="replace")
                fields, body = (NOT_MODIFIED_FIELDS, b"") if client_has_copy else ({}, copy.body)
                self.send_final_answer(request.request_id, client_wire.DONE, fields, body)
        except Exception:  # noqa: BLE001 - the request goes on to the caches
            logger.exception("local_copy_failed request={}", request.request_id)
        self.report(LocalCopyFinished(request.request_id, served))
        self.manager.flush()

    def _store_local_copy(self, command: StoreLocalCopy) -> None:
        recent = self.attempts.recent_answers.pop(command.request_id, None)
        if recent is not None and self.local_store is not None:
            received, answer = recent
            self.local_store.store_copy(received, answer.tag, answer.produced_unix_ms, answer.body)

    def _reject_request(self, command: RejectRequest) -> None:
        pause = command.retry_after // MILLISECOND
        self.send_final_answer(command.request_id, client_wire.DENIED, {"pause": str(pause)} if pause else {})

    def _fail_request(self, command: FailRequest) -> None:
        self.send_final_answer(command.request_id, client_wire.ABORTED, {})

    def _set_timer(self, command: SetTimer) -> None:
        self.timers.schedule(self.clock.now() + command.delay, command.token)

    def _ignore_watch_command(self, command: SetWatch | RequestFullList) -> None:
        """The discovery service is always followed, and tells all changes."""

    def _write_log(self, command: WriteLog) -> None:
        logger.info("decision_note text={!r}", command.text)

    # Maintenance

    async def run_timers(self) -> None:
        """Fires timers for as long as the program runs."""
        await self.timers.run(self.manager.flush)

    async def run_maintenance(self) -> None:
        """Measures how late the program runs, closes connections that are due, and logs the counters."""
        runs = 0
        while True:
            due = self.clock.now() + MAINTENANCE_INTERVAL
            await anyio.sleep(self.clock.seconds(MAINTENANCE_INTERVAL))
            self.monitor.on_maintenance_run(due)
            runs += 1
            self.clock.check_wall_clock()
            if runs % RUNS_PER_TIMEOUT_CHECK == 0 or self.manager.is_nearly_full():
                self.close_idle_connections()
                self.manager.flush()
            if runs % RUNS_PER_SUMMARY == 0:
                logger.info("counters {}", self.summary())
                self.diagnostics.reset_log_limits()

    def close_idle_connections(self) -> None:
        """Takes the steps of closing that are due, at upstreams and clients."""
        now = self.clock.now()
        self.pool.close_idle(now)
        self.clients.check_timeouts(now)

    def summary(self) -> str:
        """The counters, as key=value fields."""
        lag_ms = self.monitor.loop_lag / MILLISECOND
        open_now = f"open_requests={len(self.requests)} open_sockets={self.manager.open_sockets}"
        return f"{self.diagnostics.summary()} {open_now} loop_lag_ms={lag_ms}"

    # Shutdown

    def begin_shutdown(self, time_remaining: int) -> None:
        """Not ready any more: clients are told, and what was taken is answered within that time."""
        self.shutdown_deadline = self.clock.now() + time_remaining
        self.report(ShutdownStarted(time_remaining))
        for request in list(self.requests.values()):
            if request.attempt is not None:
                self.timers.schedule(self.shutdown_deadline, request.attempt)
        self.clients.announce_shutdown()
        self.manager.flush()

    def stop_admitting(self) -> None:
        """From now on requests are rejected at once and sent nowhere."""
        self.admission_deadline = self.clock.now()

    def close_all_clients(self) -> None:
        """Ends our side of every client's connection, after what is queued on it."""
        self.clients.close_all()
        self.manager.flush()
