"""Passes all events to the router and executes the commands that it returns.

Events are handled one at a time and in order, including those that the execution of a command causes. An
error in the router fails the request of the current event, not the program.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from loguru import logger

from ..interface import Event, RequestReceived
from ..routing import Router
from .clock import MILLISECOND, Clock

UNCOUNTED_DELAY = MILLISECOND  # a shorter delay between reading a request and handling it is ignored

CommandHandlers = Mapping[type, Callable[[Any], None]]


class _RequestWithDeadline(NamedTuple):
    """A queued request, and the instant until which its client waits."""

    request: RequestReceived
    deadline: int

    def as_of(self, now: int) -> RequestReceived:
        """Returns the request with the time that remains at `now`."""
        time_remaining = self.deadline - now
        if time_remaining >= self.request.time_remaining - UNCOUNTED_DELAY:
            return self.request
        return self.request._replace(time_remaining=max(0, time_remaining))


class DecisionLoop:
    """Passes events to a router and its commands to their handlers.

    Attributes:
        router: Makes the routing decisions.
        handlers: The function that executes each type of command; set before the first event.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        on_error: Callable[[str], None],
        on_queue_empty: Callable[[], None],
    ):
        self.router = router
        self.handlers: CommandHandlers = {}
        self._clock = clock
        self._on_error = on_error  # called with the id of the current request; empty: the event has none
        self._on_queue_empty = on_queue_empty  # called when all events have been handled
        self._queue: deque[Event | _RequestWithDeadline] = deque()
        self._is_handling = False

    def report(self, event: Event) -> None:
        """Passes an event to the router and executes the commands that it returns."""
        self._queue.append(event)
        self._handle_queue()

    def report_request(self, request: RequestReceived, deadline: int) -> None:
        """Passes a request to the router, with the instant until which its client waits.

        The time remaining is calculated when the router handles the request, as the process may be stopped
        after the request was read.
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
        except Exception:  # noqa: BLE001 - an error fails the current request, not the program
            logger.exception("decision_failed event={}", type(event).__name__)
            self._on_error(getattr(event, "request_id", ""))
