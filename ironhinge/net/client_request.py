"""Parses the fields of a client's request, and maps their names on the wire to those of the code.

The fields arrive as text. The router gets them parsed, as a `RequestReceived`; fields that are forwarded to
upstreams unchanged become `ForwardedFields`.
"""

from __future__ import annotations

from typing import NamedTuple

from ..config import SettingsNames
from ..interface import Deployment, RequestReceived
from . import client_wire
from .clock import MILLISECOND, SECOND

MAX_GROUP = 255  # the protocol has groups 0 to 255
MAX_TIMEOUT_FACTOR = 2  # times the client timeout of the class, which usual clients exceed a little
MAX_NAME_SHOWN = 60  # characters of an unknown name in an error
CLIENT_RETRY_VALUE = "1"  # of the field "redo" in a repeated request


class RequestFieldError(ValueError):
    """A field of a request is not acceptable; the text names the field and what was expected."""


class ForwardedFields(NamedTuple):
    """The fields of a client's request that are forwarded to upstreams unchanged."""

    route: str
    entity: str
    part: str | None
    nonce: str | None  # the idempotency key by which upstreams recognise a repeat
    held_tag: str  # entity tag of the client's own copy; empty if it has none


class ClientRequest(NamedTuple):
    """A client's request whose fields have been checked."""

    received: RequestReceived
    forwarded: ForwardedFields


def read_request(
    fields: dict[str, str], names: SettingsNames, deployment: Deployment, connection_id: int, margin: int
) -> ClientRequest:
    """Parses and checks a request's fields, which have their names on the wire as keys.

    `margin`, in ticks, is subtracted from the request's time remaining: see `LoopMonitor.deadline_margin`.

    Raises:
        RequestFieldError, client_wire.FieldError: A field is missing or not acceptable; the text names it.
    """
    request_id = client_wire.hex_id_of(fields, "trace")
    route = client_wire.text_of(fields, "route")
    if route not in names.request_classes:
        raise RequestFieldError(f"field 'route' has the unknown name '{route[:MAX_NAME_SHOWN]}'")
    class_index = names.request_classes.index(route)
    request_class = deployment.request_classes[class_index]
    time_remaining = int(client_wire.number_of(fields, "patience") * MILLISECOND)
    if time_remaining > MAX_TIMEOUT_FACTOR * request_class.client_timeout:
        raise RequestFieldError("field 'patience' is far over the client timeout")
    size = client_wire.number_of(fields, "size", 0.0)
    transfer_rate = deployment.transfer_rate
    if transfer_rate and size * SECOND > transfer_rate * request_class.client_timeout:
        # a single such value would distort every average
        raise RequestFieldError("field 'size' is more than can be sent within the client timeout")
    held_tag = client_wire.tag_of(fields, "have")
    received = RequestReceived(
        request_id=request_id,
        object_id=int(client_wire.hex_id_of(fields, "entity"), 16),
        part=client_wire.count_of(fields, "part"),
        group=client_wire.count_of(fields, "group", MAX_GROUP),
        size=size,
        time_remaining=max(0, time_remaining - margin),
        class_index=class_index,
        is_client_retry=fields.get("redo") == CLIENT_RETRY_VALUE,
        is_write=request_class.is_write,
        connection_id=connection_id,
    )
    return ClientRequest(
        received, ForwardedFields(route, fields["entity"], fields.get("part"), fields.get("nonce"), held_tag)
    )
