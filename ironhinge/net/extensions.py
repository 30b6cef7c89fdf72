"""Interfaces of the optional components that operators may enable.

They are the traffic account, which counts and limits the bytes of fills between zones, and the local store,
which keeps copies on the director's own disk.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface


class LocalCopy(Protocol):
    """A copy read from the local store."""

    @property
    def tag(self) -> bytes:
        """The copy's entity tag, which identifies the version of the object."""

    @property
    def body(self) -> bytes:
        """The bytes of the object."""


class BackgroundRunner(Protocol):
    """Runs background work within its budgets."""

    async def run(self) -> None:
        """Runs background work until it is cancelled."""


class TrafficAccount(interface.FillBudget, Protocol):
    """Accounts for the traffic between zones; the router also queries it as its fill budget."""

    send_gossip: Callable[[bytes], None]

    def on_endpoints_updated(self, now: int, event: interface.EndpointsUpdated) -> None:
        """Handles a change of the endpoint list."""

    def on_attempt_started(
        self,
        now: int,
        request: interface.RequestReceived,
        command: interface.SendAttempt | interface.SendAttemptWithFill,
        source_id: str,
    ) -> None:
        """Handles the start of an attempt; `source_id` is empty if its command names no fill source."""

    def on_attempt_finished(
        self, now: int, event: interface.AttemptFinished, body_size: int | None, client_disconnected: bool
    ) -> None:
        """Handles the end of an attempt; `body_size` is None if the answer carried no body."""

    def on_gossip(self, now: int, sender: int, data: bytes) -> bool:
        """Handles a datagram if it is one of the traffic account's; returns whether it was."""

    async def run(self) -> None:
        """Runs the component's background tasks until it is cancelled."""

    async def reload(self) -> None:
        """Reads the operators' files again, after a SIGHUP."""

    def close(self) -> None:
        """Writes the last snapshot."""


class LocalCopyStore(interface.LocalStore, Protocol):
    """Stores and serves copies on the director's own disk."""

    async def read(self, request: interface.RequestReceived) -> LocalCopy | None:
        """Returns the copy for a request, or None if there is none or it can't be read in time."""

    def store_copy(
        self, request: interface.RequestReceived, tag: str, produced_unix_ms: int, body: bytes
    ) -> None:
        """Stores a copy; it is written in the background."""

    def on_purge(self, object_id: int | None, group: int, unix_ms: int) -> None:
        """Handles a purge: copies produced before `unix_ms` must not be served any more.

        It covers one object, or the whole group if `object_id` is None.
        """

    def on_discovery_progress(self, unix_ms: int) -> None:
        """Notes that all purges issued before that time have been received."""

    async def run(self) -> None:
        """Runs the component's background tasks until it is cancelled."""

    def close(self) -> None:
        """Writes queued copies and releases the folder."""
