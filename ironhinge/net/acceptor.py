"""Accepts connections, and pauses while descriptors are short.

While accepting pauses, new connections wait in the listen backlog: they are neither refused nor reset.
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

FULL_RETRY_INTERVAL = 0.01  # seconds until accepting is tried again after no descriptor was left


class DescriptorReclaimer(Protocol):
    """Closes an idle client's connection to free its descriptor; False if there is none to close."""

    def __call__(self, is_full: bool, /) -> bool:
        """Closes one connection; `is_full`: no descriptor is left."""


class AcceptingHost(Protocol):
    """What accepting needs of the owner of the connections.

    Attributes:
        calls: Makes the system calls.
        selector: Knows since when a connection may have waited in the backlog.
        backlog_empty_at: No connection has waited in the backlog for longer (monotonic seconds).
        is_short_of_descriptors: Accepting has paused, and not recovered since.
        open_sockets: Sockets in use.
        descriptor_limit: Descriptors that connections may use.
    """

    calls: SocketCalls
    selector: TimedSelector
    backlog_empty_at: float
    is_short_of_descriptors: bool
    open_sockets: int
    descriptor_limit: int

    def is_full(self) -> bool:
        """Whether no client's connection can be accepted."""

    def is_nearly_full(self) -> bool:
        """Whether idle connections have to be closed for new ones."""

    def has_recovered(self) -> bool:
        """Whether a shortage of descriptors is over."""

    def adopt(self, sock: socket.socket, receiver: Receiver) -> None:
        """Takes over an accepted socket."""


class Acceptor:
    """Accepts the connections of one listener for a host, which owns them from then on."""

    def __init__(
        self,
        host: AcceptingHost,
        listener: socket.socket,
        make_receiver: Callable[[], Receiver],
        reclaim_descriptor: DescriptorReclaimer,
    ):
        self._host = host
        self._listener = listener
        self._make_receiver = make_receiver
        self._reclaim_descriptor = reclaim_descriptor
        self._backoff = Backoff()

    async def run(self) -> None:
        """Accepts until the listener is closed.

        Raises:
            ListenerError: The listener is open, but can't accept connections.
        """
        host = self._host
        while self._listener.fileno() >= 0:
            if host.is_full():
                await self._wait_for_descriptor()
                continue
            if host.is_nearly_full():
                self._reclaim_descriptor(False)
            began_at = monotonic()
            sock, remedy = host.calls.accept(self._listener)
            if sock is not None:
                self._backoff.reset()
                self._log_recovery()
                host.adopt(sock, self._make_receiver())
                await lowlevel.checkpoint()  # a crowd of new clients must not keep the others from being read
            elif not await self._wait_to_accept(remedy, began_at):
                return

    async def drain_backlog(self, max_wait: float) -> None:
        """Accepts what waits in the backlog, then closes the listener at a moment when the backlog is empty.

        Closing a listener resets the connections in its backlog, which the peers take for established; a
        later peer is refused and connects elsewhere.

        Args:
            max_wait: Seconds after which the listener is closed in any case.
        """
        host = self._host
        deadline = monotonic() + max_wait
        while monotonic() < deadline:
            if host.open_sockets >= host.descriptor_limit:
                self._reclaim_descriptor(True)
                await anyio.sleep(self._backoff.next())
                continue
            sock, remedy = host.calls.accept(self._listener)
            if sock is not None:
                host.adopt(sock, self._make_receiver())
                self._backoff.reset()
            elif remedy in (Remedy.PAUSE, Remedy.DESCRIPTORS):
                await anyio.sleep(self._backoff.next())
            elif remedy is not Remedy.SKIP:
                break  # the backlog is empty
        anyio.notify_closing(self._listener)
        self._listener.close()

    async def _wait_for_descriptor(self) -> None:
        self._log_shortage(f"full open_sockets={self._host.open_sockets}")
        while self._reclaim_descriptor(True):
            pass
        await anyio.sleep(FULL_RETRY_INTERVAL)

    async def _wait_to_accept(self, remedy: Remedy, tried_at: float) -> bool:
        """Waits until accepting is worth another try; False once the listener is closed."""
        if remedy is Remedy.WAIT:
            self._host.backlog_empty_at = tried_at
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
            raise ListenerError(f"accept on the listener failed: {remedy.name}, expected a connection")
        return True

    async def _wait_for_connection(self) -> bool:
        """Waits for a connection in the empty backlog; False once the listener is closed."""
        host = self._host
        descriptor = self._listener.fileno()
        try:
            await host.calls.readable(self._listener)
        except anyio.ClosedResourceError:
            return False
        host.backlog_empty_at = max(host.backlog_empty_at, host.selector.empty_until(descriptor))
        return True

    def _log_shortage(self, reason: str) -> None:
        """Logs the start of a shortage, once."""
        if not self._host.is_short_of_descriptors:
            logger.warning("accepting_paused reason={}", reason)
            self._host.is_short_of_descriptors = True

    def _log_recovery(self) -> None:
        if self._host.is_short_of_descriptors and self._host.has_recovered():
            logger.info("accepting_resumed open_sockets={}", self._host.open_sockets)
            self._host.is_short_of_descriptors = False
