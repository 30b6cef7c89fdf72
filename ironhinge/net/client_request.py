"""Reads a client's request: the protocol's field names end here.

The fields arrive as text; what the decisions need becomes a `RequestReceived`, and what is passed on to
upstreams as it came becomes `PassedFields`.
"""

from __future__ import annotations

from typing import NamedTuple

from ..config import SettingsNames
from ..interface import Deployment, RequestReceived
from . import client_wire
from .clock import MILLISECOND, SECOND

MAX_GROUP = 255  # objects are in groups 0 to 255, says the protocol
MAX_TIMEOUT_FACTOR = 2  # usual clients go a little over the client timeout of their class
MAX_NAME_SHOWN = 60  # characters of an unknown name in an error
CLIENT_RETRY_VALUE = "1"


class RequestFieldError(ValueError):
    """A request whose fields can't be used; the text names the field and what was expected."""


class PassedFields(NamedTuple):
    """What a client's request holds that upstreams get as it came."""

    route: str
    entity: str
    part: str | None
    nonce: str | None  # the idempotency key by which upstreams know a repeat
    held_tag: str  # of the copy that the client holds; empty where it has none


class ClientRequest(NamedTuple):
    """A client's request, read whole and checked."""

    received: RequestReceived
    passed: PassedFields


def read_request(
    fields: dict[str, str], names: SettingsNames, deployment: Deployment, connection_id: int, margin: int
) -> ClientRequest:
    """Checks a request's fields.

    `margin` comes off the client's timeout, in tenths of a millisecond: time that has passed unseen. Raises
    `ValueError` (`RequestFieldError` or one of `client_wire`) that names the field at fault.
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
        # one such figure would spoil every mean
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
        received, PassedFields(route, fields["entity"], fields.get("part"), fields.get("nonce"), held_tag)
    )
