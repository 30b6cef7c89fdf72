"""A request from its last byte to its one final answer: how it is read, and the record of it while it is
open.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import interface
from ..facts import Names
from . import clientwire
from .clock import MILLISECOND, SECOND, Clock

if TYPE_CHECKING:
    from .client_connection import Client
    from .parties import Dispatch

GROUPS = 256  # of objects, says the protocol
LINGER = SECOND  # what a client has left unread is given up after that


class OpenRequest:
    """From its last byte to its one final answer, and on until its dispatch has ended."""

    __slots__ = (
        "body",
        "came",
        "client",
        "closed",
        "dispatches",
        "fields",
        "gone",
        "id",
        "out",
        "stream",
        "wanted_until",
    )

    def __init__(self, came: interface.RequestReceived, client: Client, message: clientwire.Came, now: int):
        self.came, self.id, self.client = came, came.request_id, client
        self.stream, self.fields, self.body = message.stream, message.fields, message.body
        self.wanted_until = Clock.seconds(
            now + came.time_remaining + LINGER
        )  # by then its client has left for sure
        self.closed = False  # answered, or its client has left
        self.gone = False  # its client has left
        self.dispatches = 0
        self.out: Dispatch | None = None


def read_request(
    fields: dict[str, str], names: Names, deployment: interface.Deployment, viewer: int, margin: int
) -> interface.RequestReceived:
    """A request's fields, checked; ValueError names the field at fault. `margin` is what comes off the
    client's patience, in tenths of a millisecond.
    """
    name = clientwire.digits_of(fields, "trace")
    route = clientwire.text_of(fields, "route")
    if route not in names.vhosts:
        raise ValueError(f"field 'route' has the unknown name '{route[:60]}'")
    vhost = names.vhosts.index(route)
    facts = deployment.request_classes[vhost]
    patience = int(clientwire.number_of(fields, "patience") * MILLISECOND)
    if patience > 2 * facts.client_timeout:  # usual clients go a little over it
        raise ValueError("field 'patience' is far over the client timeout")
    size = clientwire.number_of(fields, "size", 0.0)
    pace = deployment.transfer_rate
    if pace and size * SECOND > pace * facts.client_timeout:  # one such figure would spoil every mean
        raise ValueError("field 'size' is more than can be sent within the client timeout")
    clientwire.tag_of(fields, "have")
    return interface.RequestReceived(
        request_id=name,
        object_id=int(clientwire.digits_of(fields, "entity"), 16),
        part=clientwire.count_of(fields, "part"),
        group=clientwire.count_of(fields, "group", GROUPS - 1),
        size=size,
        time_remaining=max(0, patience - margin),
        class_index=vhost,
        is_client_retry=fields.get("redo") == "1",
        is_write=facts.is_write,
        connection_id=viewer,
    )
