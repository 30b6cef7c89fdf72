"""The state of a request until its final answer, and of its attempts."""

from __future__ import annotations

from typing import Protocol

from ..interface import RequestReceived
from .client_request import ClientRequest
from .clock import SECOND, Clock
from .connection import Connection
from .upstream import Upstream, UpstreamOperation

UNREAD_ANSWER_TIMEOUT = SECOND  # after the client's deadline; an answer that is still unsent is dropped then


class AnswerReceiver(Protocol):
    """The client connection that a request arrived on."""

    connection: Connection

    def send_answer(self, request: OpenRequest, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """Writes the final answer of a request."""


class OpenRequest:
    """A client's request; kept until it is closed and its last attempt has ended."""

    __slots__ = (
        "answer_expires_at",
        "attempt",
        "attempt_count",
        "body",
        "client",
        "client_disconnected",
        "deadline",
        "forwarded",
        "is_closed",
        "received",
        "request_id",
        "stream",
    )

    def __init__(
        self, request: ClientRequest, client: AnswerReceiver, stream: int, body: bytes, deadline: int
    ):
        self.received: RequestReceived = request.received
        self.forwarded = request.forwarded
        self.request_id = request.received.request_id
        self.client = client
        self.stream = stream
        self.body = body
        self.deadline = deadline  # the client waits until then
        self.answer_expires_at = Clock.seconds(deadline + UNREAD_ANSWER_TIMEOUT)
        self.is_closed = False  # answered, or the client no longer waits
        self.client_disconnected = False
        self.attempt_count = 0
        self.attempt: Attempt | None = None  # the attempt in flight


class Attempt(UpstreamOperation):
    """One try to have a request answered by one upstream."""

    __slots__ = ("attempt_number", "oldest_copy_unix_ms", "request", "source")

    is_health_check = False

    def __init__(self, request: OpenRequest, upstream: Upstream, source: Upstream | None, started_at: int):
        super().__init__(request.request_id, upstream, started_at)
        self.request = request
        self.attempt_number = request.attempt_count
        self.source = source  # the upstream that a miss is filled from
        self.oldest_copy_unix_ms = 0  # a copy produced earlier must not be served; 0: no limit
        self.answer_is_copy = not request.received.is_write

    def is_outdated(self) -> bool:
        """Returns whether a change of the endpoint list since the command rules this attempt out.

        Its connection has been retired, or its upstream or fill source is no longer ready.
        """
        if self.connection is not None and self.connection.is_retired:
            return True
        return any(each is not None and not each.is_ready for each in (self.upstream, self.source))
