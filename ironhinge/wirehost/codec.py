"""Translates between the wire's words and units (microseconds) and the interface's (tenths of a millisecond).

A field of the wrong shape raises `Malformed`, naming event and field; settings and lists are read by `facts`.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any, Dict, List, Optional, Tuple

from .. import interface as face
from ..facts import REQUIRED, UNIT, Fields, Malformed

RESULTS = {
    "S": "done",
    "E": "error",
    "F": "full",
    "T": "timeout",
    "C": "unconnected",
    "R": "reset",
    "X": "cancelled",
    "N": "unsent",
    "M": "miss",
}


def happening(event: Fields, lists: Dict[int, Tuple[face.NodeRow, ...]]) -> Optional[face.Happening]:
    """One event in the interface's words; None for an event that the interface does not know."""
    name = event.message
    if name == "QUERY":
        return face.ReqCame(
            event.text("tid"),
            event.whole("object"),
            event.whole("range-no"),
            event.whole("label-no"),
            event.number("size-kb"),
            event.down("budget", REQUIRED),
            event.whole("cls"),
            event.mark("again-by-client"),
            event.mark("is-write"),
        )
    if name == "REPORT_BACK":
        return face.Outcome(
            event.text("tid"),
            event.whole("leg"),
            event.text("node"),
            event.word("reason", RESULTS),
            event.down("lag"),
            event.mark("finished"),
            event.whole("remark"),
            event.down("ttfb"),
            event.load(),
        )
    if name == "MEMBERSHIP":
        scope = event.word(
            "scope", {"update": "update", "replace": "whole", "restored": "whole", "unavailable": ""}
        )
        if not scope:
            return face.ListFailed()
        number = event.whole("list")
        if number not in lists:
            raise Malformed(f"{name}: field 'list' names the list {number}, which has not come")
        return face.Listed(scope == "whole", lists[number])
    if name == "VANISHED":
        return face.Left(event.text("tid"))
    if name == "INVALIDATED":
        return face.Purged(
            event.whole("object") if event.has("object") else None, event.whole("set-no"), event.down("age")
        )
    if name == "ALARM":
        return face.Rang(event.text("ref"))
    if name == "STARTED":
        return face.Streaming(event.text("tid"))
    if name == "STATUS_BACK":
        return face.Probed(event.text("node"), event.word("reason", RESULTS), event.down("lag"), event.load())
    if name == "FROM_PEER":
        try:
            return face.PeerSaid(event.whole("who"), base64.b64decode(event.text("bytes", ""), validate=True))
        except binascii.Error:
            raise Malformed(f"{name}: field 'bytes' is not base64") from None
    return None


def message(director: int, act: face.Action) -> Dict[str, Dict[str, Any]]:
    """One action in the wire's words."""
    if isinstance(act, face.Ask):
        name, body = "ISSUE", {"tid": act.id, "node": act.node, "try-until": act.until * UNIT}
    elif isinstance(act, face.Fetch):
        opts = act.join * 1 + act.held_only * 2 + act.renew * 8
        name, body = (
            "ANSWER_FROM",
            {
                "tid": act.id,
                "try-until": act.until * UNIT,
                "opts": opts,
                "supplier": act.source,
                "admit": act.rank,
                "age": act.age * UNIT,
                "node": act.node,
            },
        )
    elif isinstance(act, face.Deny):
        name, body = "DECLINE", {"tid": act.id, "backoff": act.backoff * UNIT}
    elif isinstance(act, face.Abort):
        name, body = "ERROR", {"tid": act.id}
    elif isinstance(act, face.CallOff):
        name, body = "CALL_OFF", {"tid": act.id, "leg": act.number}
    elif isinstance(act, face.Remind):
        name, body = "REMIND", {"offset": act.after * UNIT, "ref": act.token}
    elif isinstance(act, face.Watch):
        name, body = "WATCH", {"active": act.on}
    elif isinstance(act, face.Snapshot):
        name, body = "SNAPSHOT", {}
    elif isinstance(act, face.Probe):
        name, body = "TOUCH", {"node": act.node}
    elif isinstance(act, face.Say):
        target: Any = "*" if act.peer is None else act.peer
        name, body = "POST", {"target": target, "bytes": base64.b64encode(act.data).decode("ascii")}
    elif isinstance(act, face.Log):
        name, body = "DEBUG", {"msg": act.text}
    else:  # copies of our own: no shelf stands on this wire, so that the module never says it
        raise TypeError(f"{type(act).__name__} has no word on this wire")
    return {name: {"director": director, **body}}


def messages(director: int, acts: List[face.Action]) -> List[Dict[str, Dict[str, Any]]]:
    return [message(director, act) for act in acts]
