"""Upstreams (caches, parents, the origin), the connections to them and the operations in flight on these.

This module makes no routing decision and answers no client: it passes answers to the `OperationHandler`.
"""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from ..config import Address
from ..interface import EndpointState
from . import upstream_wire
from .attempt_end import AttemptEnd
from .clock import SECOND
from .connection import Connection, Frame
from .timers import Timer

HEALTH_CHECK_ENDS = (AttemptEnd.HEALTHY, AttemptEnd.UNHEALTHY)
# an endpoint list of a reload may tell the latest starts of an upstream once more
MAX_START_STAMPS = 8
CONNECT_FAILURES = (AttemptEnd.CONNECTION_REFUSED, AttemptEnd.CONNECT_TIMEOUT)


class OperationHandler(Protocol):
    """Handles the ends of operations."""

    def finish_operation(
        self,
        operation: UpstreamOperation,
        end: AttemptEnd,
        answer: upstream_wire.UpstreamAnswer | None = None,
    ) -> None:
        """Ends an operation, with its answer if there is one."""

    def warn(self, kind: str, text: str) -> None:
        """Logs a warning, at a limited rate per kind, as upstreams can cause any number of them."""


class UpstreamOperation:
    """An attempt or a health check that is sent to an upstream."""

    __slots__ = (
        "answer_is_copy",
        "connection",
        "deadline",
        "frame",
        "is_finished",
        "operation_id",
        "start_deadline",
        "started_at",
        "timers",
        "upstream",
    )

    is_health_check = True

    def __init__(self, operation_id: str, upstream: Upstream, started_at: int):
        self.operation_id = operation_id  # identifies its command and answer on the wire
        self.upstream = upstream
        self.started_at = started_at
        self.deadline = started_at
        self.start_deadline = 0  # not sent later: its idempotency key may be forgotten by then; 0: no limit
        self.answer_is_copy = False  # the body of its answer is a copy, so a tag and a date are required
        self.connection: UpstreamConnection | None = None
        self.frame: Frame | None = None
        self.timers: list[Timer] = []  # cancelled when it ends
        self.is_finished = False

    def is_past_start_deadline(self, now: int) -> bool:
        """Returns whether it must not be sent any more, unless part of its command has been written."""
        return 0 < self.start_deadline <= now

    def withdraw(self) -> bool:
        """Withdraws its command; False if part of it has been written already."""
        if self.connection is None or self.frame is None:
            return True
        return self.connection.connection.withdraw(self.frame)


class UpstreamConnection:
    """One connection to an upstream, and the operations in flight on it."""

    def __init__(self, upstream: Upstream, handler: OperationHandler, connect_timeout: int):
        self.upstream = upstream
        self.wire = upstream_wire.UpstreamWire()
        self.operations: dict[str, UpstreamOperation] = {}
        # ids of ended operations, each with the time after which no late answer is expected; until then it is
        # not used again here, as the late answer would be taken for the answer to the new operation
        self.retired_ids: dict[str, int] = {}
        self.is_retired = False  # takes no new operations
        self.idle_since = 0
        self.connection: Connection
        self._handler = handler
        self._connect_timeout = connect_timeout

    def on_connected(self, connection: Connection) -> None:
        """Does nothing: the next flush writes the queued commands."""

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Decodes answers and ends their operations; closes the connection if they can't be parsed."""
        answers, error = self.wire.feed(data)
        for answer in answers:
            operation = self.operations.get(answer.operation_id)
            if operation is None:
                continue  # a late answer to an operation that has ended
            mismatch = self._find_mismatch(operation, answer)
            if mismatch is not None:
                error = mismatch
                break
            self._handler.finish_operation(operation, answer.end, answer)
        if error is not None:
            self._handler.warn(
                "unparsable_answers", f"answer_unparsable upstream={self.upstream.id} error={error}"
            )
            connection.close(AttemptEnd.UNPARSABLE)
        else:
            self.retire_if_desynchronized()

    @staticmethod
    def _find_mismatch(
        operation: UpstreamOperation, answer: upstream_wire.UpstreamAnswer
    ) -> upstream_wire.UnparsableError | None:
        """Returns the error if an answer can't belong to this operation."""
        lacks_tag = not (answer.produced_unix_ms and answer.has_tag)
        if operation.answer_is_copy and answer.end is AttemptEnd.SERVED and lacks_tag:
            return upstream_wire.UnparsableError("copy without an entity tag or a date")
        if (answer.end in HEALTH_CHECK_ENDS) is not operation.is_health_check:
            return upstream_wire.UnparsableError(f"answer {answer.end.name} does not match its command")
        return None

    def retire_if_desynchronized(self) -> None:
        """Retires the connection if an answer has begun to arrive though no operation is in flight.

        That answer may never be completed: it would delay the next one, or the next one would be decoded as a
        part of it.
        """
        if not self.operations and self.wire.has_partial_answer():
            self.is_retired = True

    def cancel(self, operation: UpstreamOperation) -> bool:
        """Sends a cancel command for an operation whose command may have reached the upstream.

        It is sent at once and not only queued: the request's next attempt may use another connection, and two
        attempts must not be in flight at the same time.

        Returns:
            Whether the system has accepted the whole command.
        """
        self.retired_ids[operation.operation_id] = operation.deadline + SECOND
        return self.connection.write_now((upstream_wire.encode_cancel(operation.operation_id),))

    def is_idle(self) -> bool:
        """Returns whether the connection is established and has no operation in flight."""
        return self.connection.is_connected and not self.operations

    def check_timeouts(self, now: int, idle_since: int) -> None:
        """Closes the connection if it has stalled within an answer, or was last used before `idle_since`.

        Also closes it if it is retired and has no operation in flight, and deletes expired retired ids.
        """
        if not self.connection.is_connected:
            return
        if self._is_stalled(now):
            self.connection.close(AttemptEnd.STALLED)
        elif not self.operations and (self.is_retired or self.idle_since < idle_since):
            self.connection.close(AttemptEnd.CLOSED)
        elif self.retired_ids:
            self.retired_ids = {
                retired_id: expires_at
                for retired_id, expires_at in self.retired_ids.items()
                if expires_at >= now
            }

    def _is_stalled(self, now: int) -> bool:
        """Returns whether an answer is incomplete and no more of it arrives, which blocks all operations."""
        last_received_at = int(self.connection.last_received_at * SECOND)
        is_overdue = self.wire.has_partial_answer() and now > last_received_at + self._connect_timeout
        return is_overdue and not self.connection.has_unread()

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Ends all operations in flight.

        An established connection that breaks counts as one failure of the upstream, however many operations
        it carried. So only the oldest operation ends with the connection's end; the others end with one that
        does not count against the upstream.
        """
        self.upstream.connections.remove(self)
        if end in CONNECT_FAILURES:
            host, port = self.upstream.address
            logger.info(
                "upstream_connect_failed upstream={} address={}:{} reason={}",
                self.upstream.id,
                host,
                port,
                end.name.lower(),
            )
        is_first = end is not AttemptEnd.CONNECTION_SHARED_FAILURE
        for operation in list(self.operations.values()):
            if not connection.is_connected and end is not AttemptEnd.CUT_BEFORE_SEND:
                self._handler.finish_operation(operation, end)
                continue
            was_sent = operation.frame is not None and connection.is_written(operation.frame)
            own_end = end if was_sent else AttemptEnd.CUT_BEFORE_SEND
            shared_end = AttemptEnd.CONNECTION_SHARED_FAILURE if was_sent else AttemptEnd.NOT_SENT
            self._handler.finish_operation(operation, own_end if is_first else shared_end)
            is_first = False


class Upstream:
    """A cache, a parent or the origin."""

    def __init__(self, upstream_id: str, address: Address):
        self.id = upstream_id
        self.address = address
        self.state = EndpointState.READY
        self.started_at = 0  # when its latest start was reported (monotonic ticks); 0: none was
        # time stamps of the latest starts that were reported, oldest first
        self._start_stamps: tuple[int, ...] = ()
        self.connections: list[UpstreamConnection] = []

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.state is EndpointState.READY

    def is_restarted(self, started_unix_ms: int) -> bool:
        """Returns whether a reported start is a new one; its time stamp is 0 if none was reported.

        A new start may have an earlier time stamp than the one before it, if the wall clock was stepped back.
        """
        return bool(started_unix_ms) and started_unix_ms not in self._start_stamps

    def record_start(self, started_unix_ms: int, now: int) -> None:
        """Records a start that was not reported before."""
        self._start_stamps = (*self._start_stamps, started_unix_ms)[-MAX_START_STAMPS:]
        self.started_at = now

    def retire(self) -> None:
        """Retires all its connections; each closes once no operation is in flight on it."""
        for each in list(self.connections):
            each.is_retired = True
            if not each.operations:
                each.connection.close(AttemptEnd.CLOSED)

    def check_timeouts(self, now: int, idle_since: int) -> None:
        """Closes connections that have stalled or were last used before `idle_since`."""
        for each in list(self.connections):
            each.check_timeouts(now, idle_since)
