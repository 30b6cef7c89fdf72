"""Reads batches, hands each event to its instance and writes one reply a batch."""

from __future__ import annotations

import json
import traceback
from typing import Any, BinaryIO, TextIO

from .. import interface
from ..facts import REQUIRED, UNIT, Fields, Malformed, deployment, node_rows
from ..routing import Router
from . import codec


class Host:
    """The instances of this process and the numbered lists of nodes, which belong to the process."""

    def __init__(self, errors: TextIO):
        self.errors = errors
        self.routers: dict[int, Router] = {}
        self.lists: dict[int, tuple[interface.Endpoint, ...]] = {}

    def batch(self, line: bytes) -> dict[str, Any]:
        try:
            whole = Fields("batch", json.loads(line))
        except ValueError as fault:
            raise Malformed(f"batch: not JSON in UTF-8 ({fault})") from None
        wall, number = whole.whole("wall", REQUIRED), whole.whole("seq", REQUIRED)
        outbox: list[dict[str, Any]] = []
        for event in whole.rows("input"):
            outbox.extend(self.event(wall // UNIT, event))
        return {"seq": number, "outbox": outbox}

    def event(self, now: int, event: Any) -> list[dict[str, Any]]:
        if not isinstance(event, dict) or len(event) != 1:
            raise Malformed("batch: an entry of field 'input' is not an object with one key")
        ((name, values),) = event.items()
        fields = Fields(name, values)
        if name == "MANIFEST":
            self.lists[fields.whole("list")] = node_rows(fields)
            return []
        director = fields.whole("director", REQUIRED)
        try:
            return codec.messages(director, self.hand_over(now, director, fields))
        except Malformed as fault:
            return [self.fatal(director, str(fault))]
        except (
            Exception
        ) as fault:  # the instance is at fault: say so on the wire, and where on standard error
            text = f"{name}: the decision code failed: {type(fault).__name__}: {fault}"
            reply = self.fatal(director, text)
            self.errors.write(traceback.format_exc())
            return [reply]

    def hand_over(self, now: int, director: int, fields: Fields) -> list[interface.Command]:
        name = fields.message
        if name == "SPAWN":
            router = self.routers[director] = Router(
                deployment(fields.inner("settings")), fields.whole("seed")
            )
            return router.handle(now, interface.InstanceStarted())
        if name == "STOP":
            self.routers.pop(director, None)
            return []
        happened = codec.happening(fields, self.lists)
        if happened is None:
            self.errors.write(f"ironhinge: {name}: unknown event, passed over\n")
            return []
        if director not in self.routers:
            raise Malformed(f"{name}: field 'director' names instance {director}, which has not started")
        router = self.routers[director]
        if type(happened) is interface.RequestReceived and happened.class_index >= len(
            router.deployment.request_classes
        ):
            raise Malformed(
                f"{name}: field 'cls' names class {happened.class_index}, which the settings lack"
            )
        return router.handle(now, happened)

    def fatal(self, director: int, text: str) -> dict[str, Any]:
        self.errors.write(f"ironhinge: {text}\n")
        return {"FATAL": {"director": director, "msg": text}}


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until input ends; 2 when a batch cannot be read."""
    host = Host(errors)
    for line in source:
        if not line.strip():
            continue
        try:
            reply = host.batch(line)
        except Malformed as fault:
            errors.write(f"ironhinge: {fault}\n")
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        sink.flush()
    return 0
