"""What operators may turn on beside the director, as the director sees it.

An account of traffic between zones, and copies of the director's own on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .. import interface


class LocalCopy(Protocol):
    """A copy read from the local store."""

    @property
    def tag(self) -> bytes:
        """Names the version of the object's bytes."""

    @property
    def body(self) -> bytes:
        """The object's bytes."""


class BackgroundRunner(Protocol):
    """Runs background work within its budgets."""

    async def run(self) -> None:
        """Works for as long as the program runs."""


class TrafficAccount(interface.FillBudget, Protocol):
    """Keeps the account of traffic between zones."""

    send_gossip: Callable[[bytes], None]

    def on_endpoints_updated(self, now: int, event: interface.EndpointsUpdated) -> None:
        """The endpoint list has changed."""

    def on_attempt_started(
        self,
        now: int,
        request: interface.RequestReceived,
        command: interface.SendAttempt | interface.SendAttemptWithFill,
        source_id: str,
    ) -> None:
        """An attempt went out; `source_id` is empty where no fill is named."""

    def on_attempt_finished(
        self, now: int, event: interface.AttemptFinished, body_size: int | None, client_disconnected: bool
    ) -> None:
        """An attempt ended; `body_size` is None where the answer held none of the bytes."""

    def on_gossip(self, now: int, sender: int, data: bytes) -> bool:
        """True when the datagram was one of the account's."""

    async def run(self) -> None:
        """Works in the background for as long as the program runs."""

    async def reload(self) -> None:
        """Reads the operators' files again."""

    def close(self) -> None:
        """Writes the last snapshot."""


class LocalCopyStore(interface.LocalStore, Protocol):
    """Holds copies of the director's own."""

    async def read(self, request: interface.RequestReceived) -> LocalCopy | None:
        """The copy for a request, None if there is none or it can't be read in time."""

    def store_copy(
        self, request: interface.RequestReceived, tag: str, produced_unix_ms: int, body: bytes
    ) -> None:
        """Keeps a copy; it is written in the background."""

    def on_purge(self, object_id: int | None, group: int, unix_ms: int) -> None:
        """Copies made before that time must not be served; None: all of the group."""

    def on_discovery_progress(self, unix_ms: int) -> None:
        """All purges made before that time are known."""

    async def run(self) -> None:
        """Works in the background for as long as the program runs."""

    def close(self) -> None:
        """Writes what is queued and gives the folder back."""
