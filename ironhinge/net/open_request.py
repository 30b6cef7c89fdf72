"""A request from its last byte to its one final answer: how it is read, and the record of it while it is
open.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import interface
from ..config import SettingsNames
from . import client_wire
from .clock import MILLISECOND, SECOND, Clock

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .upstream import Attempt

GROUPS = 256  # of objects, says the protocol
LINGER = SECOND  # what a client has left unread is given up after that


class OpenRequest:
    """From its last byte to its one final answer, and on until its dispatch has ended."""

    __slots__ = (
        "body",
        "received",
        "client",
        "is_closed",
        "attempt_count",
        "fields",
        "client_left",
        "request_id",
        "attempt",
        "stream",
        "answer_expires_at",
    )

    def __init__(
        self,
        came: interface.RequestReceived,
        client: ClientConnection,
        message: client_wire.RequestFrame,
        now: int,
    ):
        self.received, self.request_id, self.client = came, came.request_id, client
        self.stream, self.fields, self.body = message.stream, message.fields, message.body
        self.answer_expires_at = Clock.seconds(
            now + came.time_remaining + LINGER
        )  # by then its client has left for sure
        self.is_closed = False  # answered, or its client has left
        self.client_left = False  # its client has left
        self.attempt_count = 0
        self.attempt: Attempt | None = None


def read_request(
    fields: dict[str, str], names: SettingsNames, deployment: interface.Deployment, viewer: int, margin: int
) -> interface.RequestReceived:
    """A request's fields, checked; ValueError names the field at fault. `margin` is what comes off the
    client's patience, in tenths of a millisecond.
    """
    name = client_wire.digits_of(fields, "trace")
    route = client_wire.text_of(fields, "route")
    if route not in names.request_classes:
        raise ValueError(f"field 'route' has the unknown name '{route[:60]}'")
    vhost = names.request_classes.index(route)
    facts = deployment.request_classes[vhost]
    patience = int(client_wire.number_of(fields, "patience") * MILLISECOND)
    if patience > 2 * facts.client_timeout:  # usual clients go a little over it
        raise ValueError("field 'patience' is far over the client timeout")
    size = client_wire.number_of(fields, "size", 0.0)
    pace = deployment.transfer_rate
    if pace and size * SECOND > pace * facts.client_timeout:  # one such figure would spoil every mean
        raise ValueError("field 'size' is more than can be sent within the client timeout")
    client_wire.tag_of(fields, "have")
    return interface.RequestReceived(
        request_id=name,
        object_id=int(client_wire.digits_of(fields, "entity"), 16),
        part=client_wire.count_of(fields, "part"),
        group=client_wire.count_of(fields, "group", GROUPS - 1),
        size=size,
        time_remaining=max(0, patience - margin),
        class_index=vhost,
        is_client_retry=fields.get("redo") == "1",
        is_write=facts.is_write,
        connection_id=viewer,
    )
