"""One client connection: its open requests, its timeouts and its graceful close.

The director closes a connection in steps; `Phase` says which of them have been taken:

1. It sends GOAWAY, which asks the client to send no new request, and still answers requests that arrive.
2. Once the connection has been quiet for a notice period, it shuts down its side for writing, and discards
   further input. During shutdown, no notice period is set for a client that has sent a frame: it may send
   requests until it closes the connection or `half_close` is called.
3. Once the client has closed its side, or after a lingering timeout, it closes the socket.

After a protocol violation, or if a frame is not completed in time, the first step is skipped. While no
descriptor is left, a connection that has carried no request gets a shorter notice period: see
`close_for_capacity`.
"""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from . import client_wire
from .attempt_end import AttemptEnd
from .client_states import CloseCause, Phase, Usage
from .client_timeouts import (
    FRAME_TIMEOUT,
    IDLE_TIMEOUT,
    LINGERING_TIMEOUT,
    LINGERING_TIMEOUT_WHEN_SHORT,
    NOTICE_PERIOD,
    NOTICE_PERIOD_WHEN_FULL,
    STALLED_TIMEOUT,
)
from .clock import MILLISECOND, SECOND, Clock
from .connection import Connection
from .event_log import EventKind, EventLog
from .memory_budget import MemoryBudget
from .open_request import OpenRequest
from .read_pacer import ReadCredit

MAX_OPEN_REQUESTS = 32  # on one connection; the protocol's limit
MAX_ROUTING_DELAY = 20 * MILLISECOND  # for which an admitted request waits for what is still unread
FIRST_READ_SIZE = 1024  # bytes that are read first of a new connection
MIN_READ_SIZE = 4096  # bytes; more is read at once only of a frame that is longer


class ClientConnectionOwner(Protocol):
    """The interface that a client connection needs from the director."""

    clock: Clock
    incomplete_frames: MemoryBudget

    @property
    def event_log(self) -> EventLog:
        """The log of the latest events."""

    def next_client_number(self) -> int:
        """Returns the number of a connection that was just accepted."""

    def is_shutting_down(self) -> bool:
        """Returns whether shutdown has begun, so that clients should send new requests elsewhere."""

    def is_short_of_descriptors(self) -> bool:
        """Returns whether idle connections have to be closed for new ones."""

    def may_linger(self) -> bool:
        """Returns whether a descriptor is left for a connection that waits for its client to close."""

    def on_client_connected(self, client: ClientConnection) -> None:
        """Adds a connection that was just accepted."""

    def on_client_waiting(self, client: ClientConnection) -> None:
        """Notes that the connection starts to wait for its client again."""

    def on_client_closed(self, client: ClientConnection) -> None:
        """Removes a connection that was closed."""

    def admit(self, client: ClientConnection, message: client_wire.RequestMessage) -> None:
        """Handles a received request; the answer goes to its stream."""

    def route(self, request: OpenRequest) -> None:
        """Passes an admitted request to the router, unless it has ended meanwhile."""

    def on_client_disconnected(self, request: OpenRequest) -> None:
        """Handles a request whose client no longer waits for its answer."""

    def fail(self, request: OpenRequest) -> None:
        """Answers a request with a failure, since its connection has to be closed."""

    def warn(self, kind: str, text: str) -> None:
        """Logs a warning about something that clients can cause; repeats of a kind are only counted."""


class ClientConnection:
    """A client connection: the `Receiver` of its bytes, with its open requests and the state of its close."""

    def __init__(self, owner: ClientConnectionOwner):
        self.number = owner.next_client_number()
        self.wire = client_wire.ClientWire(owner.incomplete_frames)
        self.open_requests: dict[int, OpenRequest] = {}  # by stream
        # admitted in the current turn; they are routed after it, as a cancellation or the end may follow them
        self.unrouted: list[OpenRequest] = []
        self.first_unrouted_at = 0
        self.routes_after_batch = False  # set once the connection tells the end of its turns
        self.connection: Connection
        self.phase = Phase.OPEN
        self.close_cause: CloseCause | None = None
        self.close_not_before: int | None = None  # earliest time of the next step of the close; None: not set
        self.quiet_period = 0  # how long the connection must have been quiet before this side is shut down
        self.usage = Usage.NONE
        now = owner.clock.now()
        self.waiting_since = now  # for the first frame, the rest of an incomplete frame, or the next frame
        self.last_received_at = now
        self._owner = owner

    def on_connected(self, connection: Connection) -> None:
        """Registers the accepted connection; during shutdown, sends GOAWAY at once.

        Its client may have been silent since before the accept: it could send once it was in the backlog.
        """
        self.connection = connection
        connection.after_batch = self._route_admitted
        connection.ends_with_peer = self.routes_after_batch = True
        connection.read_size = FIRST_READ_SIZE
        connection.credit = ReadCredit()
        self.waiting_since -= int(connection.idle_time_at_accept * SECOND)
        self._owner.on_client_connected(self)
        if self._owner.is_shutting_down():
            self.announce_close(CloseCause.SHUTDOWN, None)

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Decodes received bytes and handles the complete frames."""
        if self._drops_input():
            return
        had_partial_frame = self.wire.has_partial_frame()
        self.last_received_at = self._owner.clock.now()
        messages = self.wire.feed(data)
        if messages or not had_partial_frame:
            self._restart_wait()
        for message in messages:
            if self._drops_input():  # the previous message may have shut down this side
                return
            if message is messages[-1] and not self.wire.has_partial_frame():
                connection.use_backlog_data_time()
            self._record_usage(message)
            self._on_message(message)

        is_partial = self.wire.has_partial_frame()
        connection.read_size = max(MIN_READ_SIZE, self.wire.missing_bytes()) if is_partial else MIN_READ_SIZE

    def route_later(self, request: OpenRequest) -> None:
        """Makes a request wait for the end of the current reads, if the connection tells it."""
        if not self.routes_after_batch:
            self._owner.route(request)
            return
        if not self.unrouted:
            self.first_unrouted_at = self._owner.clock.now()
        self.unrouted.append(request)

    def _route_admitted(self, may_continue: bool) -> None:
        """Routes the requests that were admitted, unless their client has left.

        Its end or a cancellation may be behind what is still unread, so if another turn follows at once, they
        wait for that, up to `MAX_ROUTING_DELAY`.
        """
        requests = self.unrouted
        if not requests:
            return
        if may_continue and self._owner.clock.now() < self.first_unrouted_at + MAX_ROUTING_DELAY:
            return
        self.unrouted = []
        if len(requests) > 1 and self.connection.close_if_peer_closed():
            return
        for request in requests:
            self._owner.route(request)

    def _drops_input(self) -> bool:
        return self.phase is Phase.HALF_CLOSED

    def _on_message(self, message: client_wire.Message) -> None:
        if isinstance(message, client_wire.RequestCancelled):
            self._cancel_request(message.stream)
        elif isinstance(message, client_wire.ReadinessQuery):
            is_ready = not self._owner.is_shutting_down()
            self.connection.write(client_wire.readiness_report(message.stream, is_ready))
        elif isinstance(message, client_wire.RequestMessage):
            self._on_request(message)
        else:
            self._close_for_violation(message.text)

    def _on_request(self, message: client_wire.RequestMessage) -> None:
        if not message.stream or message.stream in self.open_requests:
            self._close_for_violation(f"stream {message.stream} can't take a request")
        elif len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self._close_for_violation(f"more than {MAX_OPEN_REQUESTS} open requests")
        else:
            self._owner.admit(self, message)

    def _record_usage(self, message: client_wire.Message) -> None:
        if isinstance(message, (client_wire.RequestFrame, client_wire.DiscardedRequest)):
            self.usage = Usage.REQUESTS
        elif self.usage is Usage.NONE:
            self.usage = Usage.READINESS_ONLY

    def _cancel_request(self, stream: int) -> None:
        request = self.open_requests.pop(stream, None)
        if request is not None:
            self._owner.on_client_disconnected(request)
        unsent_answers = [frame for frame in self.connection.pending_frames if frame.tag == stream]
        for frame in unsent_answers:
            self.connection.withdraw(frame)

    def send_answer(self, request: OpenRequest, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """Writes the final answer of a request."""
        self.open_requests.pop(request.stream, None)
        self._restart_wait()
        frame = client_wire.answer(request.stream, code, fields, body)
        self.connection.write(frame, request.stream, request.answer_expires_at)

    def announce_close(
        self, cause: CloseCause, notice_period: int | None, quiet_period: int | None = None
    ) -> None:
        """Sends GOAWAY, unless it was sent before, and sets when this side is shut down.

        Args:
            cause: Why the connection is closed.
            notice_period: This side is shut down after this time (tenths of a millisecond), once the
                connection has been quiet for the quiet period; a period that was set before stays. None: no
                time is set, and one that was set is cleared; a later call may set one again.
            quiet_period: How long the connection must have been quiet by then; None: for the notice period.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        if self.phase is Phase.OPEN:
            self.phase = Phase.ANNOUNCED
            self.close_cause = cause
            self.connection.write(client_wire.goaway())
            self._record_close_step(EventKind.CLIENT_GOAWAY_SENT)
        if notice_period is None:
            self.close_not_before, self.quiet_period = None, 0
        elif self.close_not_before is None:
            self.close_cause = cause
            self.close_not_before = self._owner.clock.now() + notice_period
            self.quiet_period = notice_period if quiet_period is None else quiet_period

    def half_close(self) -> None:
        """Shuts down this side once all queued output is sent.

        A client that sends a request at that moment sees an orderly close; closing the socket at once could
        reset the connection and destroy the last answers.
        """
        if self.phase is Phase.HALF_CLOSED:
            return
        lingering_timeout = (
            LINGERING_TIMEOUT_WHEN_SHORT if self._owner.is_short_of_descriptors() else LINGERING_TIMEOUT
        )
        self.phase = Phase.HALF_CLOSED
        self.close_not_before = self._owner.clock.now() + lingering_timeout
        self._record_close_step(EventKind.CLIENT_HALF_CLOSED)
        self.connection.finish()

    def _close_for_violation(self, text: str) -> None:
        """Sends the client an error and closes the connection.

        All open requests on it fail: nothing else on a connection that broke the protocol can be trusted,
        and requests that arrived together with the violation have not been written to upstreams yet.
        """
        self._owner.warn("protocol_violations", f"client_protocol_violation error={text!r}")
        self.close_cause = CloseCause.PROTOCOL_VIOLATION
        self.wire.clear()
        self.half_close()  # first, so that all effects of the failed requests find the connection closing
        for request in list(self.open_requests.values()):
            self._owner.fail(request)
        # still sent: this side is shut down only after the queue, this frame included
        self.connection.write(client_wire.error(text))

    def _restart_wait(self) -> None:
        self.waiting_since = self._owner.clock.now()
        self._owner.on_client_waiting(self)

    def is_quiet(self) -> bool:
        """Returns whether no request is open, no output is queued, and no input is unread or incomplete."""
        connection = self.connection
        is_busy = (
            self.open_requests
            or self.wire.has_partial_frame()
            or connection.pending_frames
            or connection.outbound.used
        )
        return not (is_busy or connection.has_unread())

    def is_idle(self) -> bool:
        """Returns whether it is quiet and not yet being closed, other than by the GOAWAY of a shutdown."""
        is_shutdown_announced = self.phase is Phase.ANNOUNCED and self.close_not_before is None
        return (self.phase is Phase.OPEN or is_shutdown_announced) and self.is_quiet()

    def check_timeouts(self, now: int) -> None:
        """Takes the next step of the close if it is due, or starts the close after a timeout."""
        if self.phase is Phase.HALF_CLOSED:
            if self.close_not_before is not None and now > self.close_not_before:
                self.connection.close(AttemptEnd.CLOSED)
        elif self.wire.has_partial_frame():
            is_overdue = now > self.waiting_since + FRAME_TIMEOUT
            self.close_if_stalled(now, 0 if is_overdue else STALLED_TIMEOUT)
        elif self.phase is Phase.ANNOUNCED:
            if self.close_not_before is not None and now >= self._quiet_until(self.close_not_before):
                self._close_if_quiet()
        elif now > self.waiting_since + self._idle_timeout() and self.is_idle():
            cause = CloseCause.NEVER_USED if self.usage is Usage.NONE else CloseCause.IDLE
            self.announce_close(cause, NOTICE_PERIOD)

    def _quiet_until(self, close_not_before: int) -> int:
        return max(close_not_before, self.waiting_since + self.quiet_period)

    def _idle_timeout(self) -> int:
        return STALLED_TIMEOUT if self.usage is Usage.NONE else IDLE_TIMEOUT

    def _close_if_quiet(self) -> None:
        if not self.is_quiet():
            return
        if self._is_unused_for_capacity() and not self._owner.may_linger():
            self._record_close_step(EventKind.CLIENT_CLOSED_AT_ONCE)
            self.connection.close(AttemptEnd.CLOSED)  # frees the descriptor at once
        else:
            self.half_close()

    def close_if_stalled(self, now: int, timeout: int) -> bool:
        """Closes the connection if a frame is incomplete and nothing was received for longer than `timeout`.

        Returns False if it does not: also if there is unread input, as then the director is late, not the
        client.
        """
        is_stalled = (
            self.phase is not Phase.HALF_CLOSED
            and self.wire.has_partial_frame()
            and now > self.last_received_at + timeout
        )
        if not is_stalled or self.connection.has_unread():
            return False
        self._close_for_violation("a frame that does not end")
        return True

    def close_for_capacity(self, is_full: bool) -> None:
        """Starts to close the connection, to free its descriptor for a new one.

        A client that has sent requests may send more, and gets the full notice period. The others get a
        shorter one when no descriptor is left, as bursts of such connections arrive faster than the full
        period could free descriptors.
        """
        has_short_notice = is_full and self.usage is not Usage.REQUESTS
        self.announce_close(
            CloseCause.CAPACITY, NOTICE_PERIOD_WHEN_FULL if has_short_notice else NOTICE_PERIOD
        )

    def _is_unused_for_capacity(self) -> bool:
        """Returns whether it is closed to free its descriptor and has never carried a request."""
        return self.close_cause is CloseCause.CAPACITY and self.usage is not Usage.REQUESTS

    def shorten_notice(self, now: int) -> None:
        """Ends the notice period of a connection without requests earlier, as no descriptor is left."""
        if self.phase is not Phase.ANNOUNCED or self.close_not_before is None:
            return
        if self._is_unused_for_capacity() and self.quiet_period > NOTICE_PERIOD_WHEN_FULL:
            announced_at = self.close_not_before - self.quiet_period
            self.quiet_period = NOTICE_PERIOD_WHEN_FULL
            self.close_not_before = max(now, announced_at + self.quiet_period)

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Reports the close, and that the client no longer waits for its open requests."""
        self.wire.clear()
        self._owner.on_client_closed(self)
        self._record(EventKind.CLIENT_CLOSED, end.name)
        if connection.discarded_bytes:
            self._record(EventKind.INPUT_DISCARDED, f"{connection.discarded_bytes} bytes")
        for request in list(self.open_requests.values()):
            self._owner.event_log.record(
                EventKind.REQUEST_UNANSWERED, request.request_id, end.name, self._name()
            )
            self._owner.on_client_disconnected(request)
        self.open_requests.clear()
        self.unrouted.clear()  # breaks the reference cycle without waiting for the garbage collector

    def _record_close_step(self, kind: EventKind) -> None:
        """Records a step of the close, with the facts that explain a request that is lost by it."""
        idle_ms = (self._owner.clock.now() - self.waiting_since) // MILLISECOND
        facts = (
            f"usage={self.usage.name.lower()} idle_ms={idle_ms} "
            f"unread={self.connection.has_unread()} open_requests={len(self.open_requests)}"
        )
        self._record(kind, facts)
        cause = self.close_cause.value if self.close_cause is not None else ""
        logger.debug("{} client={} cause={} {}", kind.value, self.number, cause, facts)

    def _name(self) -> str:
        return f"client {self.number}"

    def _record(self, kind: EventKind, detail: str = "") -> None:
        cause = self.close_cause.value if self.close_cause is not None else "peer"
        self._owner.event_log.record(kind, self._name(), cause, detail)
