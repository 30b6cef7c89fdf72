"""The director: owns the open requests and connects the components of the host on sockets.

It makes no routing decision: it reports events to the router, executes the router's commands, and ensures
that each request gets exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
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
from .attempts import Attempts
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
from .local_copies import LocalCopies
from .loop_monitor import LoopMonitor
from .memory_budget import INCOMPLETE_FRAME_SHARE, REQUEST_BODY_SHARE, MemoryBudget
from .open_request import Attempt, OpenRequest
from .timers import Timers
from .upstream import UpstreamOperation
from .upstream_pool import UpstreamPool
from .upstream_wire import UpstreamAnswer

MAINTENANCE_INTERVAL = 50 * MILLISECOND  # of `run_maintenance`, which measures the loop lag in each run
RUNS_PER_TIMEOUT_CHECK = 2
MEMORY_RETRY_AFTER = 250 * MILLISECOND  # for a request that is rejected for lack of memory
RUNS_PER_SUMMARY = 1200  # one minute


class Director:
    """One director instance: its open requests, client connections and upstreams."""

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
        self.shutdown_deadline: int | None = None  # for all answers; None: not shutting down
        self.admission_deadline: int | None = None  # requests read after that are rejected at once
        self.memory = manager.memory
        memory_mb, can_hold = config.limits.memory_mb, self.memory.can_hold_data
        self.request_bodies = MemoryBudget(memory_mb, REQUEST_BODY_SHARE, can_hold)
        self.incomplete_frames = MemoryBudget(memory_mb, INCOMPLETE_FRAME_SHARE, can_hold)
        self.memory.observe(self.requests, lambda: self.request_bodies, lambda: self.incomplete_frames)
        self.diagnostics = Diagnostics(self.clock)
        self.monitor = LoopMonitor(self.clock)
        self.clients = ClientRegistry(manager, self.clock)
        self.timers = Timers(self.clock)
        self.attempts = Attempts(config, self.clock, self.monitor, self.diagnostics, self)
        self.pool = UpstreamPool(manager, config.transport, self.clock, self)
        self.discovery = Discovery(config, manager, self.pool, self.clock, self)
        self.attempts.discovery = self.discovery
        self.gossip = Gossip(config, manager.calls, self)
        router = Router(config.deployment, config.seed)
        self.decision_loop = DecisionLoop(
            router, self.clock, self._on_decision_error, self.attempts.recent_answers.clear
        )
        self.attempts.pool = self.pool
        self.attempts.timers = self.timers
        self._attach_extensions(traffic_account, local_store)
        self.local_copies = LocalCopies(local_store, self, self.attempts.recent_answers, manager.task_group)
        self.decision_loop.handlers = self._command_handlers()
        manager.on_call_failed = self.diagnostics.on_call_failed
        manager.shed_idle = self.pool.shed_idle

    def _attach_extensions(
        self, traffic_account: TrafficAccount | None, local_store: LocalCopyStore | None
    ) -> None:
        self.traffic_account = self.attempts.traffic_account = self.discovery.traffic_account = (
            traffic_account
        )
        self.local_store = self.attempts.local_store = self.discovery.local_store = local_store
        self.decision_loop.router.fill_budget = traffic_account
        self.decision_loop.router.local_store = local_store

    def _command_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendAttempt: self.attempts.send,
            SendAttemptWithFill: self.attempts.send,
            CancelAttempt: self.attempts.cancel,
            SendHealthCheck: self.attempts.send_health_check,
            ServeLocalCopy: self.local_copies.serve,
            StoreLocalCopy: self.local_copies.store,
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
        """The log of the latest events of connections and requests."""
        return self.diagnostics.event_log

    def start(self) -> None:
        """Reports the start and the configured endpoint list to the router, before any client is served."""
        self.report(InstanceStarted())
        self.discovery.apply_known()

    def flush(self) -> None:
        """Writes all queued output, as far as the system accepts it."""
        self.manager.flush()

    def report(self, event: Event) -> None:
        """Passes an event to the router and executes the commands that it returns."""
        self.decision_loop.report(event)

    def _on_decision_error(self, request_id: str) -> None:
        self.diagnostics.counters["decision_faults"] += 1
        self.event_log.dump_for_error("decision_failed")
        self.send_final_answer(request_id, client_wire.ABORTED, {})

    # Requests

    def admit(self, client: ClientConnection, message: client_wire.RequestMessage) -> None:
        """Passes a request to the router, or answers it at once if it is invalid or too late in shutdown."""
        now = self.clock.now()
        if self.admission_deadline is not None and now > self.admission_deadline:
            # too little time is left to send it to an upstream
            self.event_log.record(EventKind.REQUEST_REJECTED, f"client {client.number}", "shutdown")
            client.connection.write(client_wire.answer(message.stream, client_wire.DENIED, {}))
            return
        if isinstance(message, client_wire.DiscardedRequest):
            self._reject_for_memory(client, message.stream)
            return
        try:
            request = self._open_request(client, message)
        except ValueError as error:
            self.warn("unreadable_requests", f"request_unreadable error={str(error)!r}")
            text = str(error).encode()
            client.connection.write(client_wire.answer(message.stream, client_wire.ABORTED, {}, text))
            return
        if not self.memory.can_hold_request() or not self.request_bodies.reserve(len(request.body)):
            self._reject_for_memory(client, request.stream)
            return
        client.open_requests[request.stream] = self.requests[request.request_id] = request
        self.diagnostics.counters["requests"] += 1
        client.route_later(request)

    def route(self, request: OpenRequest) -> None:
        """Passes an admitted request to the router, unless it has ended meanwhile."""
        if not request.is_closed:
            self.decision_loop.report_request(request.received, request.deadline)

    def _reject_for_memory(self, client: ClientConnection, stream: int) -> None:
        """Rejects a request that does not fit beside the open ones, or beside frames that are incomplete."""
        self.diagnostics.counters["requests_rejected_for_memory"] += 1
        self.event_log.record(EventKind.REQUEST_REJECTED, f"client {client.number}", "memory")
        pause = min(MEMORY_RETRY_AFTER, self.config.deployment.max_retry_after)
        fields = client_wire.retry_after_fields(pause // MILLISECOND)
        client.connection.write(client_wire.answer(stream, client_wire.DENIED, fields))

    def _open_request(
        self, client: ClientConnection, message: client_wire.RequestFrame | client_wire.MalformedRequest
    ) -> OpenRequest:
        """Parses a request and sets its deadline; raises `ValueError` if it is invalid."""
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
        """Handles a request whose client no longer waits for its answer."""
        if request.is_closed:
            return
        request.is_closed = request.client_disconnected = True
        self.diagnostics.counters["clients_disconnected"] += 1
        self.event_log.record(EventKind.REQUEST_CANCELLED, request.request_id, "client")
        self.report(ClientDisconnected(request.request_id))
        if request.attempt is not None and request.attempt.withdraw():
            # Done even if the settings forbid cancellation: that concerns attempts that have begun, and this
            # one still waits for its connection or behind a blocked socket.
            self.attempts.finish_operation(request.attempt, AttemptEnd.NOT_SENT)
        self.delete_if_done(request)

    def fail(self, request: OpenRequest) -> None:
        """Fails a request whose connection is being closed, which the router gets as `ClientDisconnected`."""
        if not request.is_closed:
            self.on_client_disconnected(request)
            request.client.send_answer(request, client_wire.ABORTED, {}, b"")

    def send_final_answer(
        self, request_id: str, code: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends the final answer of a request, unless it is closed already."""
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
        self.delete_if_done(request)

    def delete_if_done(self, request: OpenRequest) -> None:
        """Removes a request that is closed and has no attempt in flight."""
        if request.is_closed and request.attempt is None:
            removed = self.requests.pop(request.request_id, None)
            if removed is not None:
                self.request_bodies.release(len(removed.body))

    # Reports of the components

    def warn(self, kind: str, text: str) -> None:
        """Logs a warning, once per minute and kind; repeats are only counted."""
        self.diagnostics.warn(kind, text)

    def finish_operation(
        self, operation: UpstreamOperation, end: AttemptEnd, answer: UpstreamAnswer | None = None
    ) -> None:
        """Finishes an attempt or a health check, with its answer if there is one."""
        self.attempts.finish_operation(operation, end, answer)

    def withdraw_unsent(self, is_affected: Callable[[Attempt], bool]) -> None:
        """Withdraws the affected attempts of which nothing has been written."""
        self.attempts.withdraw_unsent(is_affected)

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Passes a datagram from the peer with that index to the traffic account or the router."""
        account = self.traffic_account
        if account is not None and account.on_gossip(self.clock.now(), sender, data):
            return
        self.report(GossipReceived(sender, data))
        self.manager.flush()

    # Called by client connections

    def next_client_number(self) -> int:
        """Returns the number of a connection that was just accepted."""
        return self.clients.next_number()

    def is_shutting_down(self) -> bool:
        """Returns whether shutdown has begun, so that clients should send new requests elsewhere."""
        return self.shutdown_deadline is not None

    def is_short_of_descriptors(self) -> bool:
        """Returns whether idle connections have to be closed for new ones."""
        return self.manager.is_nearly_full()

    def may_linger(self) -> bool:
        """Returns whether a descriptor is left for a connection that waits for its client to close."""
        return self.manager.may_linger()

    def on_client_connected(self, client: ClientConnection) -> None:
        """Adds a client connection that was just accepted."""
        self.clients.add(client)

    def on_client_waiting(self, client: ClientConnection) -> None:
        """Notes that a client connection starts to wait for its client again."""
        self.clients.move_to_end(client)

    def on_client_closed(self, client: ClientConnection) -> None:
        """Removes a client connection that was closed."""
        self.clients.discard(client)

    # Commands of the router

    def _reject_request(self, command: RejectRequest) -> None:
        fields = client_wire.retry_after_fields(command.retry_after // MILLISECOND)
        self.send_final_answer(command.request_id, client_wire.DENIED, fields)

    def _fail_request(self, command: FailRequest) -> None:
        self.send_final_answer(command.request_id, client_wire.ABORTED, {})

    def _set_timer(self, command: SetTimer) -> None:
        self.timers.schedule(self.clock.now() + command.delay, partial(self._on_timer, command.token))

    def _ignore_watch_command(self, command: SetWatch | RequestFullList) -> None:
        """Does nothing: the director always watches the endpoint list and receives every change."""

    def _on_timer(self, token: str) -> None:
        self.report(TimerFired(token))

    def _write_log(self, command: WriteLog) -> None:
        logger.info("decision_note text={!r}", command.text)

    # Maintenance

    async def run_timers(self) -> None:
        """Fires due timers until it is cancelled."""
        await self.timers.run(self.manager.flush)

    async def run_maintenance(self) -> None:
        """Measures the loop lag, closes connections that are due, and logs the counters, until cancelled."""
        runs = 0
        while True:
            due = self.clock.now() + MAINTENANCE_INTERVAL
            await anyio.sleep(self.clock.seconds(MAINTENANCE_INTERVAL))
            self.monitor.on_maintenance_run(due)
            runs += 1
            self.clock.check_wall_clock()
            if self.memory.measure():
                self.warn("memory_pressure", f"memory_pressure {self.memory.summary()}")
            if runs % RUNS_PER_TIMEOUT_CHECK == 0 or self.manager.is_nearly_full():
                self.close_idle_connections()
                self.manager.flush()
            if runs % RUNS_PER_SUMMARY == 0:
                logger.info("counters {}", self.summary())
                self.diagnostics.reset_log_limits()

    def close_idle_connections(self) -> None:
        """Closes idle upstream connections, and takes the due steps of closing client connections."""
        now = self.clock.now()
        self.pool.close_idle(now)
        self.clients.check_timeouts(now)

    def summary(self) -> str:
        """Returns the counters, open requests and sockets, and the loop lag, as key=value fields."""
        lag_ms = self.monitor.loop_lag / MILLISECOND
        peaks = f"request_body_bytes_peak={self.request_bodies.peak}"
        peaks += f" incomplete_frame_bytes_peak={self.incomplete_frames.peak} loop_lag_ms={lag_ms}"
        return f"{self.diagnostics.summary()} {self.manager.summary()} {self.discovery.summary()} {peaks}"

    # Shutdown

    def begin_shutdown(self, time_remaining: int) -> None:
        """Starts the shutdown: the director is no longer ready, and sends GOAWAY to all clients.

        Args:
            time_remaining: Time within which all open requests are answered, in tenths of a millisecond; it
                limits the attempts in flight too.
        """
        self.shutdown_deadline = self.clock.now() + time_remaining
        self.report(ShutdownStarted(time_remaining))
        self.attempts.end_by(self.shutdown_deadline)
        self.clients.announce_shutdown()
        self.manager.flush()

    def stop_admitting(self) -> None:
        """Makes the director reject further requests at once, without passing them to the router."""
        self.admission_deadline = self.clock.now()

    def close_all_clients(self) -> None:
        """Shuts down this side of every client connection, once its queued output is sent."""
        self.clients.close_all()
        self.manager.flush()
