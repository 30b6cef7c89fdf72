"""Upstreams (caches, parents, the origin), the connections to them and what is in flight there.

Nothing here decides or answers a request: what arrives goes to the `OperationHandler`.
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

HEALTH_CHECK_ENDS = (AttemptEnd.HEALTHY, AttemptEnd.UNHEALTHY)
CONNECT_FAILURES = (AttemptEnd.CONNECTION_REFUSED, AttemptEnd.CONNECT_TIMEOUT)


class OperationHandler(Protocol):
    """What hears of the ends of operations."""

    def finish_operation(
        self,
        operation: UpstreamOperation,
        end: AttemptEnd,
        answer: upstream_wire.UpstreamAnswer | None = None,
    ) -> None:
        """Ends an operation, with the answer where there is one."""

    def warn(self, kind: str, text: str) -> None:
        """Logs something that upstreams can cause in any number."""


class UpstreamOperation:
    """What is in flight at an upstream: an attempt or a health check."""

    __slots__ = (
        "connection",
        "deadline",
        "frame",
        "is_finished",
        "leaves_copy",
        "operation_id",
        "start_deadline",
        "started_at",
        "upstream",
    )

    is_health_check = True

    def __init__(self, operation_id: str, upstream: Upstream, started_at: int):
        self.operation_id = operation_id  # its id on the wire
        self.upstream = upstream
        self.started_at = started_at
        self.deadline = started_at
        self.start_deadline = 0  # not begun by then it must never be; 0: any time
        self.leaves_copy = False  # its answer's bytes are a copy, with tag and date
        self.connection: UpstreamConnection | None = None
        self.frame: Frame | None = None
        self.is_finished = False

    def withdraw(self) -> bool:
        """True when nothing of it had been written, and now never will be."""
        if self.connection is None or self.frame is None:
            return True
        return self.connection.connection.withdraw(self.frame)


class UpstreamConnection:
    """One connection to an upstream, and the operations in flight on it."""

    def __init__(self, upstream: Upstream, handler: OperationHandler, connect_timeout: int):
        self.upstream = upstream
        self.wire = upstream_wire.UpstreamWire()
        self.operations: dict[str, UpstreamOperation] = {}
        # ids given up here, and when no answer can come any more: a late one could pass for a later one's
        self.retired_ids: dict[str, int] = {}
        self.is_retired = False  # takes nothing more
        self.idle_since = 0
        self.connection: Connection
        self._handler = handler
        self._connect_timeout = connect_timeout

    def on_connected(self, connection: Connection) -> None:
        """The connection is up: what waits is written by the manager's next flush."""

    def on_data(self, connection: Connection, data: memoryview) -> None:
        """Reads answers and ends the operations that they belong to."""
        answers, error = self.wire.feed(data)
        for answer in answers:
            operation = self.operations.get(answer.operation_id)
            if operation is None:
                continue  # given up, and answered all the same
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
        """What shows that an answer is none to this operation."""
        lacks_tag = not (answer.produced_unix_ms and answer.has_tag)
        if operation.leaves_copy and answer.end is AttemptEnd.SERVED and lacks_tag:
            return upstream_wire.UnparsableError("bytes without their tag or date")
        if (answer.end in HEALTH_CHECK_ENDS) is not operation.is_health_check:
            return upstream_wire.UnparsableError(f"{answer.end.name} as the answer to another command")
        return None

    def retire_if_desynchronized(self) -> None:
        """Takes nothing more where bytes have begun to come that belong to no operation.

        The next answer would stand behind what may never end, or be read as a part of it.
        """
        if not self.operations and self.wire.has_partial_answer():
            self.is_retired = True

    def cancel(self, operation: UpstreamOperation) -> bool:
        """Tells the upstream that nobody waits for an operation that it may have.

        False if the command is not on its way. A request's next attempt may go out on another connection, and
        two must not be in flight together: so this is written at once and not just queued.
        """
        self.retired_ids[operation.operation_id] = operation.deadline + SECOND
        return self.connection.write_now((upstream_wire.encode_cancel(operation.operation_id),))

    def is_idle(self) -> bool:
        """Whether it is up and carries nothing."""
        return self.connection.is_connected and not self.operations

    def check_timeouts(self, now: int, idle_since: int) -> None:
        """Closes the connection if its peer stopped within an answer, or if it was idle since that time."""
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
        """Whether an answer began and does not go on: what is in flight would wait for it in vain."""
        last_received_at = int(self.connection.last_received_at * SECOND)
        is_overdue = self.wire.has_partial_answer() and now > last_received_at + self._connect_timeout
        return is_overdue and not self.connection.has_unread()

    def on_closed(self, connection: Connection, end: AttemptEnd) -> None:
        """Ends all that is in flight.

        A connection that breaks is one failure of the upstream, however many operations it carried: the one
        that waited longest stands for it, and the others can be tried again.
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
        self.started_unix_ms = 0  # as the endpoint list tells it
        self.started_at = 0  # the instant of it on the monotonic clock
        self.connections: list[UpstreamConnection] = []

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.state is EndpointState.READY

    def retire(self) -> None:
        """Its connections take nothing new and end with what is in flight on them."""
        for each in list(self.connections):
            each.is_retired = True
            if not each.operations:
                each.connection.close(AttemptEnd.CLOSED)

    def check_timeouts(self, now: int, idle_since: int) -> None:
        """Closes connections that stalled or were idle since that time."""
        for each in list(self.connections):
            each.check_timeouts(now, idle_since)
