"""Serves requests from the local store, and stores copies there, as the router commands.

This module makes no decision: which request may be served locally, and which copy is stored, comes from the
router.
"""

from __future__ import annotations

from typing import Protocol

from anyio.abc import TaskGroup
from loguru import logger

from ..interface import Event, LocalCopyFinished, ServeLocalCopy, StoreLocalCopy
from . import client_wire
from .attempts import NOT_MODIFIED_FIELDS, RecentAnswer
from .extensions import LocalCopyStore
from .open_request import OpenRequest


class LocalCopyOwner(Protocol):
    """The operations of the director that `LocalCopies` uses."""

    requests: dict[str, OpenRequest]

    def report(self, event: Event) -> None:
        """Reports an event to the router."""

    def send_final_answer(
        self, request_id: str, code: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends the final answer of a request that is still open."""

    def flush(self) -> None:
        """Writes all queued output."""


class LocalCopies:
    """Executes the router's commands on the local store; without a store, no request is served from it."""

    def __init__(
        self,
        store: LocalCopyStore | None,
        owner: LocalCopyOwner,
        recent_answers: dict[str, RecentAnswer],
        task_group: TaskGroup,
    ):
        self._store = store
        self._owner = owner
        self._recent_answers = recent_answers
        self._task_group = task_group

    def serve(self, command: ServeLocalCopy) -> None:
        """Starts to answer a request from the local store, if it is still open."""
        request = self._owner.requests.get(command.request_id)
        if request is not None:
            self._task_group.start_soon(self._read, request)

    async def _read(self, request: OpenRequest) -> None:
        """Answers a request from the local store; reports to the router once whether it was served."""
        served = False
        try:
            copy = await self._store.read(request.received) if self._store is not None else None
            if copy is not None:
                served = True
                client_has_copy = request.forwarded.held_tag == copy.tag.decode(errors="replace")
                fields, body = (NOT_MODIFIED_FIELDS, b"") if client_has_copy else ({}, copy.body)
                self._owner.send_final_answer(request.request_id, client_wire.DONE, fields, body)
        except Exception:  # noqa: BLE001 - the router sends the request to a cache instead
            logger.exception("local_copy_failed request={}", request.request_id)
        self._owner.report(LocalCopyFinished(request.request_id, served))
        self._owner.flush()

    def store(self, command: StoreLocalCopy) -> None:
        """Stores the answer that a request has just received."""
        recent = self._recent_answers.pop(command.request_id, None)
        if recent is not None and self._store is not None:
            received, answer = recent
            self._store.store_copy(received, answer.tag, answer.produced_unix_ms, answer.body)
