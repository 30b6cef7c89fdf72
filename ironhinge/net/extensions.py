"""What operators may turn on beside the director, as the director sees it: an account of crossings between
zones, and copies of its own on disk.
"""

from __future__ import annotations

from typing import Any, Protocol

from .. import interface


class TrafficAccount(interface.FillBudget, Protocol):
    """Keeps the account of crossings."""

    def listed(self, now: int, what: interface.EndpointsUpdated) -> None: ...

    def sent(
        self, now: int, came: interface.RequestReceived, node: str, source: str, how: dict[str, str]
    ) -> None: ...

    def ended(
        self,
        now: int,
        came: interface.RequestReceived,
        result: str,
        note: int,
        body: int | None,
        took: int,
        gone: bool,
    ) -> None: ...

    def heard(self, now: int, sender: int, data: bytes) -> bool: ...


class CopyStore(interface.LocalStore, Protocol):
    """Holds copies of our own."""

    async def read(self, came: interface.RequestReceived) -> Any: ...

    def keep(self, came: interface.RequestReceived, tag: str, dated: int, body: bytes) -> None: ...

    def purge(self, obj: int | None, group: int, unix_ms: int) -> None: ...

    def hears(self, unix_ms: int) -> None: ...
