"""A request from its last byte to its one final answer, and the attempts to serve it."""

from __future__ import annotations

from typing import Protocol

from ..interface import RequestReceived
from .client_request import ClientRequest
from .clock import SECOND, Clock
from .connection import Connection
from .upstream import Upstream, UpstreamOperation

UNREAD_ANSWER_TIMEOUT = SECOND  # a client that has not read its answer by then after its timeout never will


class AnswerReceiver(Protocol):
    """The client's side of a request."""

    connection: Connection

    def send_answer(self, request: OpenRequest, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """Writes the final answer of a request."""


class OpenRequest:
    """One request, kept until it has been answered and its last attempt has ended."""

    __slots__ = (
        "answer_expires_at",
        "attempt",
        "attempt_count",
        "body",
        "client",
        "client_disconnected",
        "deadline",
        "is_closed",
        "passed",
        "received",
        "request_id",
        "stream",
    )

    def __init__(
        self, request: ClientRequest, client: AnswerReceiver, stream: int, body: bytes, deadline: int
    ):
        self.received: RequestReceived = request.received
        self.passed = request.passed
        self.request_id = request.received.request_id
        self.client = client
        self.stream = stream
        self.body = body
        self.deadline = deadline  # until then its client waits
        self.answer_expires_at = Clock.seconds(deadline + UNREAD_ANSWER_TIMEOUT)
        self.is_closed = False  # answered, or its client has left
        self.client_disconnected = False
        self.attempt_count = 0
        self.attempt: Attempt | None = None  # the one in flight


class Attempt(UpstreamOperation):
    """One request sent to one upstream, once."""

    __slots__ = ("attempt_number", "oldest_copy_unix_ms", "request", "source")

    is_health_check = False

    def __init__(self, request: OpenRequest, upstream: Upstream, source: Upstream | None, started_at: int):
        super().__init__(request.request_id, upstream, started_at)
        self.request = request
        self.attempt_number = request.attempt_count
        self.source = source  # where a miss is filled from
        self.oldest_copy_unix_ms = 0  # 0: any copy will do
        self.leaves_copy = not request.received.is_write

    def is_outdated(self) -> bool:
        """Whether the endpoint list says by now that it should not go, or not where it was going."""
        if self.connection is not None and self.connection.is_retired:
            return True
        return any(each is not None and not each.is_ready for each in (self.upstream, self.source))
