"""The one place where events go to the decisions and their commands are carried out.

Events are handled one at a time and in order, also those that a command causes at once. A fault of the
decisions costs the request at hand, not the program.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from loguru import logger

from ..interface import Event, RequestReceived
from ..routing import Router
from .clock import MILLISECOND, Clock

UNCOUNTED_DELAY = MILLISECOND  # that may pass between the reading of a request and its decision, uncounted

CommandHandlers = Mapping[type, Callable[[Any], None]]


class _RequestWithDeadline(NamedTuple):
    """A request that waits for the decisions, and the instant until which its client waits."""

    request: RequestReceived
    deadline: int

    def as_of(self, now: int) -> RequestReceived:
        """The request with the time that is left now."""
        time_remaining = self.deadline - now
        if time_remaining >= self.request.time_remaining - UNCOUNTED_DELAY:
            return self.request
        return self.request._replace(time_remaining=max(0, time_remaining))


class DecisionLoop:
    """Hands events to a router and its commands to their handlers."""

    def __init__(
        self,
        router: Router,
        clock: Clock,
        on_fault: Callable[[str], None],
        on_queue_empty: Callable[[], None],
    ):
        self.router = router
        self.handlers: CommandHandlers = {}
        self._clock = clock
        self._on_fault = on_fault  # gets the id of the request at hand, empty where there is none
        self._on_queue_empty = on_queue_empty  # all events have been handled
        self._queue: deque[Event | _RequestWithDeadline] = deque()
        self._is_handling = False

    def report(self, event: Event) -> None:
        """Hands an event to the decisions and carries out what they answer."""
        self._queue.append(event)
        self._handle_queue()

    def report_request(self, request: RequestReceived, deadline: int) -> None:
        """Hands over a request whose client waits until that instant.

        What is left of that is worked out when the decisions learn of it: the process may be stopped between
        the reading of a request and that.
        """
        self._queue.append(_RequestWithDeadline(request, deadline))
        self._handle_queue()

    def _handle_queue(self) -> None:
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._queue:
                self._handle(self._queue.popleft())
        finally:
            self._is_handling = False
            self._on_queue_empty()

    def _handle(self, queued: Event | _RequestWithDeadline) -> None:
        handlers = self.handlers
        now = self._clock.now()
        event = queued.as_of(now) if isinstance(queued, _RequestWithDeadline) else queued
        try:
            for command in self.router.handle(now, event):
                handlers[type(command)](command)
        except Exception:  # noqa: BLE001 - a fault costs the request at hand, not the program
            logger.exception("decision_failed event={}", type(event).__name__)
            self._on_fault(getattr(event, "request_id", ""))
