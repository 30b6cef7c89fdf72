"""Translates between the wire's words and units (microseconds) and the interface's (tenths of a millisecond).

A field of the wrong shape raises `Malformed`, naming event and field; settings and lists are read by `facts`.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any

from .. import interface
from ..config import MICROSECONDS_PER_TICK, REQUIRED, Fields, MalformedMessageError
from ..interface import AttemptResult, FillNote

RESULTS = {
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


def _fill_note(number: int) -> FillNote:
    return FillNote(number) if number < FillNote.UNKNOWN else FillNote.UNKNOWN


def happening(event: Fields, lists: dict[int, tuple[interface.Endpoint, ...]]) -> interface.Event | None:
    """One event in the interface's words; None for an event that the interface does not know."""
    name = event.context
    if name == "QUERY":
        return interface.RequestReceived(
            event.text("tid"),
            event.integer("object"),
            event.integer("range-no"),
            event.integer("label-no"),
            event.number("size-kb"),
            event.duration_floor("budget", REQUIRED),
            event.integer("cls"),
            event.boolean("again-by-client"),
            event.boolean("is-write"),
        )
    if name == "REPORT_BACK":
        return interface.AttemptFinished(
            event.text("tid"),
            event.integer("leg"),
            event.text("node"),
            event.keyword("reason", RESULTS),
            event.duration_floor("lag"),
            event.boolean("finished"),
            _fill_note(event.integer("remark")),
            event.duration_floor("ttfb"),
            event.load_report(),
        )
    if name == "MEMBERSHIP":
        scope = event.keyword(
            "scope", {"update": "update", "replace": "whole", "restored": "whole", "unavailable": ""}
        )
        if not scope:
            return interface.DiscoveryFailed()
        number = event.integer("list")
        if number not in lists:
            raise MalformedMessageError(f"{name}: field 'list' names the list {number}, which has not come")
        return interface.EndpointsUpdated(scope == "whole", lists[number])
    if name == "VANISHED":
        return interface.ClientDisconnected(event.text("tid"))
    if name == "INVALIDATED":
        return interface.PurgeNotified(
            event.integer("object") if event.has("object") else None,
            event.integer("set-no"),
            event.duration_floor("age"),
        )
    if name == "ALARM":
        return interface.TimerFired(event.text("ref"))
    if name == "STARTED":
        return interface.ResponseStarted(event.text("tid"))
    if name == "STATUS_BACK":
        return interface.HealthCheckFinished(
            event.text("node"),
            event.keyword("reason", RESULTS),
            event.duration_floor("lag"),
            event.load_report(),
        )
    if name == "FROM_PEER":
        try:
            return interface.GossipReceived(
                event.integer("who"), base64.b64decode(event.text("bytes", ""), validate=True)
            )
        except binascii.Error:
            raise MalformedMessageError(f"{name}: field 'bytes' is not base64") from None
    return None


def message(director: int, act: interface.Command) -> dict[str, dict[str, Any]]:
    """One action in the wire's words."""
    if isinstance(act, interface.SendAttempt):
        name, body = (
            "ISSUE",
            {
                "tid": act.request_id,
                "node": act.endpoint_id,
                "try-until": act.deadline * MICROSECONDS_PER_TICK,
            },
        )
    elif isinstance(act, interface.SendAttemptWithFill):
        opts = act.may_join_fill * 1 + act.source_cached_only * 2 + act.revalidates * 8
        name, body = (
            "ANSWER_FROM",
            {
                "tid": act.request_id,
                "try-until": act.deadline * MICROSECONDS_PER_TICK,
                "opts": opts,
                "supplier": act.source_id,
                "admit": act.admission_rank,
                "age": act.max_copy_age * MICROSECONDS_PER_TICK,
                "node": act.endpoint_id,
            },
        )
    elif isinstance(act, interface.RejectRequest):
        name, body = "DECLINE", {"tid": act.request_id, "backoff": act.retry_after * MICROSECONDS_PER_TICK}
    elif isinstance(act, interface.FailRequest):
        name, body = "ERROR", {"tid": act.request_id}
    elif isinstance(act, interface.CancelAttempt):
        name, body = "CALL_OFF", {"tid": act.request_id, "leg": act.attempt_number}
    elif isinstance(act, interface.SetTimer):
        name, body = "REMIND", {"offset": act.delay * MICROSECONDS_PER_TICK, "ref": act.token}
    elif isinstance(act, interface.SetWatch):
        name, body = "WATCH", {"active": act.enabled}
    elif isinstance(act, interface.RequestFullList):
        name, body = "SNAPSHOT", {}
    elif isinstance(act, interface.SendHealthCheck):
        name, body = "TOUCH", {"node": act.endpoint_id}
    elif isinstance(act, interface.SendGossip):
        target: Any = "*" if act.peer is None else act.peer
        name, body = "POST", {"target": target, "bytes": base64.b64encode(act.data).decode("ascii")}
    elif isinstance(act, interface.WriteLog):
        name, body = "DEBUG", {"msg": act.text}
    else:  # copies of our own: no shelf stands on this wire, so that the module never says it
        raise TypeError(f"{type(act).__name__} has no word on this wire")
    return {name: {"director": director, **body}}


def messages(director: int, acts: list[interface.Command]) -> list[dict[str, dict[str, Any]]]:
    return [message(director, act) for act in acts]
