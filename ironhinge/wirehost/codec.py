"""Translates between the simulator's messages and the types of `ironhinge.interface`.

The simulator's field names and its unit of time, the microsecond, do not go beyond this module: the types of
`ironhinge.interface` have names of their own, and their times are in ticks of a tenth of a millisecond.
Settings and endpoint lists are read by `ironhinge.config`. A missing or malformed field raises
`MalformedMessageError`, which names the event and the field.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from .. import interface
from ..config import MICROSECONDS_PER_TICK, REQUIRED, Fields, MalformedMessageError
from ..interface import AttemptResult, CacheStatus

EndpointLists = Mapping[int, tuple[interface.Endpoint, ...]]  # received lists by number
Body = dict[str, Any]  # the fields of one command in JSON

# Results of attempts and health checks by the simulator's code.
RESULTS: Final = {
    "S": AttemptResult.DONE,
    "E": AttemptResult.ERROR,
    "F": AttemptResult.REJECTED,
    "T": AttemptResult.TIMEOUT,
    "C": AttemptResult.NOT_CONNECTED,
    "R": AttemptResult.RESET,
    "X": AttemptResult.CANCELLED,
    "N": AttemptResult.NOT_SENT,
    "M": AttemptResult.MISS,
}

# What a `MEMBERSHIP` event reports: the whole list, changes to it, or that it is unavailable.
FULL_LIST = "whole"
LIST_CHANGES = "update"
LIST_UNAVAILABLE = ""
LIST_SCOPES: Final = {
    "update": LIST_CHANGES,
    "replace": FULL_LIST,
    "restored": FULL_LIST,
    "unavailable": LIST_UNAVAILABLE,
}

# Bits of the field `opts` of the command `ANSWER_FROM`.
OPTION_JOIN_FILL = 1
OPTION_SOURCE_CACHED_ONLY = 2
OPTION_REVALIDATE = 8

ALL_PEERS = "*"


def _decode_cache_status(number: int) -> CacheStatus:
    return CacheStatus(number) if number < CacheStatus.UNKNOWN else CacheStatus.UNKNOWN


def _decode_request(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.RequestReceived(
        request_id=event.text("tid"),
        object_id=event.integer("object"),
        part=event.integer("range-no"),
        group=event.integer("label-no"),
        size=event.number("size-kb"),
        time_remaining=event.duration_floor("budget", REQUIRED),
        class_index=event.integer("cls"),
        is_client_retry=event.boolean("again-by-client"),
        is_write=event.boolean("is-write"),
    )


def _decode_attempt_finished(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.AttemptFinished(
        request_id=event.text("tid"),
        attempt_number=event.integer("leg"),
        endpoint_id=event.text("node"),
        result=event.keyword("reason", RESULTS),
        duration=event.duration_floor("lag"),
        request_closed=event.boolean("finished"),
        cache_status=_decode_cache_status(event.integer("remark")),
        time_to_first_byte=event.duration_floor("ttfb"),
        load_report=event.load_report(),
    )


def _decode_endpoints(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    scope = event.keyword("scope", LIST_SCOPES)
    if scope == LIST_UNAVAILABLE:
        return interface.DiscoveryFailed()
    number = event.integer("list")
    if number not in endpoint_lists:
        raise MalformedMessageError(
            f"{event.context}: field 'list' refers to list {number}, which has not been received"
        )
    return interface.EndpointsUpdated(scope == FULL_LIST, endpoint_lists[number])


def _decode_client_disconnected(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.ClientDisconnected(event.text("tid"))


def _decode_purge(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.PurgeNotified(
        object_id=event.integer("object") if event.has("object") else None,
        group=event.integer("set-no"),
        age=event.duration_floor("age"),
    )


def _decode_timer_fired(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.TimerFired(event.text("ref"))


def _decode_response_started(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.ResponseStarted(event.text("tid"))


def _decode_health_check(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    return interface.HealthCheckFinished(
        endpoint_id=event.text("node"),
        result=event.keyword("reason", RESULTS),
        duration=event.duration_floor("lag"),
        load_report=event.load_report(),
    )


def _decode_gossip(event: Fields, endpoint_lists: EndpointLists) -> interface.Event:
    try:
        return interface.GossipReceived(
            sender=event.integer("who"),
            data=base64.b64decode(event.text("bytes", ""), validate=True),
        )
    except binascii.Error:
        raise MalformedMessageError(f"{event.context}: field 'bytes' is not base64") from None


EVENT_DECODERS: Final[dict[str, Callable[[Fields, EndpointLists], interface.Event]]] = {
    "QUERY": _decode_request,
    "REPORT_BACK": _decode_attempt_finished,
    "MEMBERSHIP": _decode_endpoints,
    "VANISHED": _decode_client_disconnected,
    "INVALIDATED": _decode_purge,
    "ALARM": _decode_timer_fired,
    "STARTED": _decode_response_started,
    "STATUS_BACK": _decode_health_check,
    "FROM_PEER": _decode_gossip,
}


def decode_event(event: Fields, endpoint_lists: EndpointLists) -> interface.Event | None:
    """Decodes one event.

    Args:
        event: The event's fields; their context is the event's name.
        endpoint_lists: The numbered endpoint lists that an event may refer to.

    Returns:
        The event, or None if its name is unknown.

    Raises:
        MalformedMessageError: A field is missing or malformed, or refers to an unknown endpoint list.
    """
    decode = EVENT_DECODERS.get(event.context)
    return None if decode is None else decode(event, endpoint_lists)


def _encode_attempt(command: interface.SendAttempt) -> Body:
    return {
        "tid": command.request_id,
        "node": command.endpoint_id,
        "try-until": command.deadline * MICROSECONDS_PER_TICK,
    }


def _encode_attempt_with_fill(command: interface.SendAttemptWithFill) -> Body:
    options = (
        command.may_join_fill * OPTION_JOIN_FILL
        + command.source_cached_only * OPTION_SOURCE_CACHED_ONLY
        + command.revalidates * OPTION_REVALIDATE
    )
    return {
        "tid": command.request_id,
        "try-until": command.deadline * MICROSECONDS_PER_TICK,
        "opts": options,
        "supplier": command.source_id,
        "admit": command.admission_rank,
        "age": command.max_copy_age * MICROSECONDS_PER_TICK,
        "node": command.endpoint_id,
    }


def _encode_rejection(command: interface.RejectRequest) -> Body:
    return {"tid": command.request_id, "backoff": command.retry_after * MICROSECONDS_PER_TICK}


def _encode_failure(command: interface.FailRequest) -> Body:
    return {"tid": command.request_id}


def _encode_cancel(command: interface.CancelAttempt) -> Body:
    return {"tid": command.request_id, "leg": command.attempt_number}


def _encode_timer(command: interface.SetTimer) -> Body:
    return {"offset": command.delay * MICROSECONDS_PER_TICK, "ref": command.token}


def _encode_watch(command: interface.SetWatch) -> Body:
    return {"active": command.enabled}


def _encode_full_list_request(command: interface.RequestFullList) -> Body:
    return {}


def _encode_health_check(command: interface.SendHealthCheck) -> Body:
    return {"node": command.endpoint_id}


def _encode_gossip(command: interface.SendGossip) -> Body:
    target = ALL_PEERS if command.peer is None else command.peer
    return {"target": target, "bytes": base64.b64encode(command.data).decode("ascii")}


def _encode_log_line(command: interface.WriteLog) -> Body:
    return {"msg": command.text}


# The name and the encoder of each command. `ServeLocalCopy` and `StoreLocalCopy` have none: the simulator has
# no local store, so the router never returns them.
COMMAND_ENCODERS: Final[dict[type, tuple[str, Callable[[Any], Body]]]] = {
    interface.SendAttempt: ("ISSUE", _encode_attempt),
    interface.SendAttemptWithFill: ("ANSWER_FROM", _encode_attempt_with_fill),
    interface.RejectRequest: ("DECLINE", _encode_rejection),
    interface.FailRequest: ("ERROR", _encode_failure),
    interface.CancelAttempt: ("CALL_OFF", _encode_cancel),
    interface.SetTimer: ("REMIND", _encode_timer),
    interface.SetWatch: ("WATCH", _encode_watch),
    interface.RequestFullList: ("SNAPSHOT", _encode_full_list_request),
    interface.SendHealthCheck: ("TOUCH", _encode_health_check),
    interface.SendGossip: ("POST", _encode_gossip),
    interface.WriteLog: ("DEBUG", _encode_log_line),
}


def encode_command(instance: int, command: interface.Command) -> dict[str, Body]:
    """Encodes one command of an instance.

    Raises:
        TypeError: The simulator's protocol has no message for this type of command.
    """
    entry = COMMAND_ENCODERS.get(type(command))
    if entry is None:
        raise TypeError(f"{type(command).__name__} has no message in the simulator's protocol")
    name, encode = entry
    return {name: {"director": instance, **encode(command)}}


def encode_commands(instance: int, commands: Iterable[interface.Command]) -> list[dict[str, Body]]:
    """Encodes the commands of an instance, in order."""
    return [encode_command(instance, command) for command in commands]
