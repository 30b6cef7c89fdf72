"""Runs router instances for the simulator: reads batches of events and writes one reply per batch.

Batches and replies are JSON, one per line.
"""

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

EXIT_OK = 0
EXIT_MALFORMED_BATCH = 2

# Events that the host handles itself; all others go to an instance's router.
EVENT_ENDPOINT_LIST = "MANIFEST"
EVENT_START_INSTANCE = "SPAWN"
EVENT_STOP_INSTANCE = "STOP"

Message = dict[str, Any]  # one event or command in JSON


class Host:
    """The router instances of this process.

    Attributes:
        error_stream: Receives a line for each error, and the traceback of an unexpected exception.
        routers: The instances by number.
        endpoint_lists: The endpoint lists by number, shared by all instances.
    """

    def __init__(self, error_stream: TextIO):
        self.error_stream = error_stream
        self.routers: dict[int, Router] = {}
        self.endpoint_lists: dict[int, tuple[interface.Endpoint, ...]] = {}

    def handle_batch(self, line: bytes) -> Message:
        """Handles the events of one batch in order.

        Args:
            line: The batch in JSON.

        Returns:
            The reply: the batch's number and the commands for all its events.

        Raises:
            MalformedMessageError: The batch itself is malformed. An error in a single event becomes a fatal
                message in the reply.
        """
        try:
            batch = Fields("batch", json.loads(line))
        except ValueError as error:
            raise MalformedMessageError(f"batch: not JSON in UTF-8 ({error})") from None
        wall_time_us = batch.integer("wall", REQUIRED)
        number = batch.integer("seq", REQUIRED)
        commands: list[Message] = []
        for event in batch.array("input"):
            commands.extend(self.handle_event(wall_time_us // MICROSECONDS_PER_TICK, event))
        return {"seq": number, "outbox": commands}

    def handle_event(self, now: int, event: Any) -> list[Message]:
        """Handles one event; an error in its instance becomes a fatal message, which ends the instance.

        Args:
            now: The time in ticks of a tenth of a millisecond.
            event: An object with one key, the event's name; the value is the object of its fields.

        Returns:
            The commands for it, or the fatal message.

        Raises:
            MalformedMessageError: The event is not such an object, its endpoint list is malformed, or it does
                not say which instance it is for.
        """
        if not isinstance(event, dict) or len(event) != 1:
            raise MalformedMessageError("batch: an entry of field 'input' is not an object with one key")
        ((name, values),) = event.items()
        fields = Fields(name, values)
        if name == EVENT_ENDPOINT_LIST:
            self.endpoint_lists[fields.integer("list")] = read_endpoints(fields)
            return []
        instance = fields.integer("director", REQUIRED)
        try:
            return codec.encode_commands(instance, self.dispatch_event(now, instance, fields))
        except MalformedMessageError as error:
            return [self.report_fatal_error(instance, str(error))]
        except Exception as error:  # noqa: BLE001 - an exception in one instance must not end the others
            text = f"{name}: unexpected error: {type(error).__name__}: {error}"
            reply = self.report_fatal_error(instance, text)
            self.error_stream.write(traceback.format_exc())
            return [reply]

    def dispatch_event(self, now: int, instance: int, fields: Fields) -> list[interface.Command]:
        """Starts or stops an instance, or passes an event to it; returns its commands.

        An unknown event is reported on `error_stream` and ignored.

        Raises:
            MalformedMessageError: A field is missing or malformed, or refers to an instance, a class or an
                endpoint list that does not exist.
        """
        name = fields.context
        if name == EVENT_START_INSTANCE:
            return self._start_instance(now, instance, fields)
        if name == EVENT_STOP_INSTANCE:
            self.routers.pop(instance, None)
            return []
        event = codec.decode_event(fields, self.endpoint_lists)
        if event is None:
            self.error_stream.write(f"ironhinge: {name}: unknown event, ignored\n")
            return []
        if instance not in self.routers:
            raise MalformedMessageError(
                f"{name}: field 'director' refers to instance {instance}, which is not running"
            )
        router = self.routers[instance]
        if type(event) is interface.RequestReceived and event.class_index >= len(
            router.deployment.request_classes
        ):
            raise MalformedMessageError(
                f"{name}: field 'cls' refers to class {event.class_index}, which the settings do not define"
            )
        return router.handle(now, event)

    def _start_instance(self, now: int, instance: int, fields: Fields) -> list[interface.Command]:
        deployment = read_deployment(fields.nested("settings"))
        router = self.routers[instance] = Router(deployment, fields.integer("seed"))
        return router.handle(now, interface.InstanceStarted())

    def report_fatal_error(self, instance: int, text: str) -> Message:
        """Reports an error on `error_stream`; returns the message that ends the instance."""
        self.error_stream.write(f"ironhinge: {text}\n")
        return {"FATAL": {"director": instance, "msg": text}}


def serve(input_stream: BinaryIO, output_stream: BinaryIO, error_stream: TextIO) -> int:
    """Answers batches, one per line, until the input ends.

    Returns:
        The exit code: 0, or 2 after a malformed batch, which ends the process.
    """
    host = Host(error_stream)
    for line in input_stream:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except MalformedMessageError as error:
            error_stream.write(f"ironhinge: {error}\n")
            return EXIT_MALFORMED_BATCH
        output_stream.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        output_stream.flush()
    return EXIT_OK
