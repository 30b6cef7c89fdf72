"""Reads batches, hands each event to its instance and writes one reply a batch."""

from __future__ import annotations

import json
import traceback
from typing import Any, BinaryIO, TextIO

from .. import interface
from ..config import (
    MICROSECONDS_PER_TICK,
    REQUIRED,
    Fields,
    MalformedMessageError,
    read_deployment,
    read_endpoints,
)
from ..routing import Router
from . import codec


class Host:
    """The instances of this process and the numbered lists of nodes, which belong to the process."""

    def __init__(self, errors: TextIO):
        self.errors = errors
        self.routers: dict[int, Router] = {}
        self.endpoint_lists: dict[int, tuple[interface.Endpoint, ...]] = {}

    def handle_batch(self, line: bytes) -> dict[str, Any]:
        try:
            whole = Fields("batch", json.loads(line))
        except ValueError as fault:
            raise MalformedMessageError(f"batch: not JSON in UTF-8 ({fault})") from None
        wall, number = whole.integer("wall", REQUIRED), whole.integer("seq", REQUIRED)
        outbox: list[dict[str, Any]] = []
        for event in whole.array("input"):
            outbox.extend(self.handle_event(wall // MICROSECONDS_PER_TICK, event))
        return {"seq": number, "outbox": outbox}

    def handle_event(self, now: int, event: Any) -> list[dict[str, Any]]:
        if not isinstance(event, dict) or len(event) != 1:
            raise MalformedMessageError("batch: an entry of field 'input' is not an object with one key")
        ((name, values),) = event.items()
        fields = Fields(name, values)
        if name == "MANIFEST":
            self.endpoint_lists[fields.integer("list")] = read_endpoints(fields)
            return []
        director = fields.integer("director", REQUIRED)
        try:
            return codec.messages(director, self.deliver(now, director, fields))
        except MalformedMessageError as fault:
            return [self.fatal_reply(director, str(fault))]
        except (
            Exception
        ) as fault:  # the instance is at fault: say so on the wire, and where on standard error
            text = f"{name}: the decision code failed: {type(fault).__name__}: {fault}"
            reply = self.fatal_reply(director, text)
            self.errors.write(traceback.format_exc())
            return [reply]

    def deliver(self, now: int, director: int, fields: Fields) -> list[interface.Command]:
        name = fields.context
        if name == "SPAWN":
            router = self.routers[director] = Router(
                read_deployment(fields.nested("settings")), fields.integer("seed")
            )
            return router.handle(now, interface.InstanceStarted())
        if name == "STOP":
            self.routers.pop(director, None)
            return []
        happened = codec.happening(fields, self.endpoint_lists)
        if happened is None:
            self.errors.write(f"ironhinge: {name}: unknown event, passed over\n")
            return []
        if director not in self.routers:
            raise MalformedMessageError(
                f"{name}: field 'director' names instance {director}, which has not started"
            )
        router = self.routers[director]
        if type(happened) is interface.RequestReceived and happened.class_index >= len(
            router.deployment.request_classes
        ):
            raise MalformedMessageError(
                f"{name}: field 'cls' names class {happened.class_index}, which the settings lack"
            )
        return router.handle(now, happened)

    def fatal_reply(self, director: int, text: str) -> dict[str, Any]:
        self.errors.write(f"ironhinge: {text}\n")
        return {"FATAL": {"director": director, "msg": text}}


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until input ends; 2 when a batch cannot be read."""
    host = Host(errors)
    for line in source:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except MalformedMessageError as fault:
            errors.write(f"ironhinge: {fault}\n")
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        sink.flush()
    return 0
