"""Accepts client connections, and pauses while file descriptors are short.

During a pause new connections wait in the listen backlog; they are neither refused nor reset.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from time import monotonic
from typing import Protocol

import anyio
from anyio import lowlevel
from loguru import logger

from .connection import Receiver
from .errors import ListenerError
from .socket_calls import SocketCalls
from .system_calls import Backoff, Remedy
from .timed_selector import TimedSelector

FULL_RETRY_INTERVAL = 0.01  # seconds between checks for a free descriptor while none is left
# Length that a backlog of unknown length is assumed to have while no descriptor is left, as a share of the
# descriptors
ASSUMED_BACKLOG_SHARE = 0.5


class DescriptorReclaimer(Protocol):
    """Closes an idle client connection to free its descriptor."""

    def __call__(self, is_full: bool, /) -> bool:
        """Starts to close one connection; False if none may be closed. `is_full`: no descriptor is left."""


class AcceptorOwner(Protocol):
    """The interface that an `Acceptor` needs from the owner of the connections.

    Attributes:
        calls: Makes the system calls.
        selector: Records when the listener last had no connection waiting.
        backlog_empty_at: When the backlog was last known to be empty (monotonic seconds).
        is_short_of_descriptors: Accepting has paused, and the shortage is not over yet.
        open_sockets: Sockets in use.
        descriptor_limit: Descriptors that connections may use.
        waiting_connections: Connections that waited to be accepted when accepting last paused.
    """

    calls: SocketCalls
    selector: TimedSelector
    backlog_empty_at: float
    is_short_of_descriptors: bool
    open_sockets: int
    descriptor_limit: int
    waiting_connections: int

    def is_full(self) -> bool:
        """Returns whether no client connection can be accepted."""

    def is_nearly_full(self) -> bool:
        """Returns whether idle connections have to be closed for new ones."""

    def has_recovered(self) -> bool:
        """Returns whether a shortage of descriptors is over."""

    def adopt(self, sock: socket.socket, receiver: Receiver) -> None:
        """Takes ownership of an accepted socket."""


class Acceptor:
    """Accepts the connections of one listener and passes them to their owner."""

    def __init__(
        self,
        owner: AcceptorOwner,
        listener: socket.socket,
        make_receiver: Callable[[], Receiver],
        reclaim_descriptor: DescriptorReclaimer,
    ):
        self._owner = owner
        self._listener = listener
        self._make_receiver = make_receiver
        self._reclaim_descriptor = reclaim_descriptor
        self._backoff = Backoff()

    async def run(self) -> None:
        """Accepts until the listener is closed.

        Raises:
            ListenerError: The listener is open, but can't accept connections.
        """
        owner = self._owner
        while self._listener.fileno() >= 0:
            if owner.is_full():
                if not await self._wait_for_connection():
                    return
                if owner.is_full():
                    await self._wait_for_descriptor()
                continue
            began_at = monotonic()
            sock, remedy = owner.calls.accept(self._listener)
            if sock is not None:
                self._backoff.reset()
                self._log_recovery()
                owner.adopt(sock, self._make_receiver())
                if owner.is_nearly_full():
                    self._reclaim_descriptor(False)
                await lowlevel.checkpoint()  # many new clients must not delay reads from the others
            elif not await self._wait_to_accept(remedy, began_at):
                return

    async def drain_backlog(self, max_wait: float) -> None:
        """Accepts the connections in the backlog, and closes the listener as soon as the backlog is empty.

        Closing a listener resets the connections in its backlog, which the peers consider established. A
        peer that connects after the close is refused and connects elsewhere.

        Args:
            max_wait: Seconds after which the listener is closed in any case.
        """
        owner = self._owner
        deadline = monotonic() + max_wait
        while monotonic() < deadline:
            if owner.open_sockets >= owner.descriptor_limit:
                self._reclaim_for_waiting()
                await anyio.sleep(self._backoff.next())
                continue
            sock, remedy = owner.calls.accept(self._listener)
            if sock is not None:
                owner.adopt(sock, self._make_receiver())
                self._backoff.reset()
            elif remedy in (Remedy.PAUSE, Remedy.DESCRIPTORS):
                await anyio.sleep(self._backoff.next())
            elif remedy is not Remedy.SKIP:
                break  # the backlog is empty
        anyio.notify_closing(self._listener)
        self._listener.close()

    async def _wait_for_descriptor(self) -> None:
        self._log_shortage(f"full open_sockets={self._owner.open_sockets}")
        self._reclaim_for_waiting()
        await anyio.sleep(FULL_RETRY_INTERVAL)

    def _reclaim_for_waiting(self) -> None:
        """Starts to close a connection for each one that waits in the backlog, as far as that is allowed."""
        waiting = self._owner.calls.backlog_length(self._listener)
        if waiting is None:
            waiting = int(ASSUMED_BACKLOG_SHARE * self._owner.descriptor_limit)
        self._owner.waiting_connections = waiting = max(1, waiting)
        for _ in range(waiting):
            if not self._reclaim_descriptor(True):
                return

    async def _wait_to_accept(self, remedy: Remedy, tried_at: float) -> bool:
        """Waits until accept can be called again; returns False once the listener is closed."""
        if remedy is Remedy.WAIT:
            self._owner.backlog_empty_at = tried_at
            return await self._wait_for_connection()
        if remedy is Remedy.SKIP:
            await lowlevel.checkpoint()
        elif remedy is Remedy.DESCRIPTORS:
            self._log_shortage("system_out_of_descriptors")
            self._reclaim_descriptor(True)
            await anyio.sleep(self._backoff.next())
        elif remedy is Remedy.PAUSE:
            await anyio.sleep(self._backoff.next())
        elif self._listener.fileno() >= 0:
            raise ListenerError(f"accept on the listener failed, remedy {remedy.name}")
        return True

    async def _wait_for_connection(self) -> bool:
        """Waits until the empty backlog has a connection; returns False once the listener is closed."""
        owner = self._owner
        descriptor = self._listener.fileno()
        try:
            await owner.calls.readable(self._listener)
        except anyio.ClosedResourceError:
            return False
        owner.backlog_empty_at = max(owner.backlog_empty_at, owner.selector.empty_until(descriptor))
        return True

    def _log_shortage(self, reason: str) -> None:
        """Logs that a shortage has begun, once per shortage."""
        if not self._owner.is_short_of_descriptors:
            logger.warning("accepting_paused reason={}", reason)
            self._owner.is_short_of_descriptors = True

    def _log_recovery(self) -> None:
        if self._owner.is_short_of_descriptors and self._owner.has_recovered():
            logger.info("accepting_resumed open_sockets={}", self._owner.open_sockets)
            self._owner.is_short_of_descriptors = False
