"""Translates between the wire's words and units (microseconds) and the interface's (tenths of a millisecond).

Instants of learning are rounded down, lasting duties up, allowances down. An absent field means what the wire
says it means; unknown fields and settings are skipped; a field of the wrong shape raises `Malformed`, naming
event and field.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any, Dict, List, Optional, Tuple

from .. import interface as face

UNIT = 100  # microseconds in a tenth of a millisecond
REQUIRED = object()


class Malformed(Exception):
    """A message that the wire does not allow."""


class Fields:
    """The fields of one message, read by name and shape."""

    def __init__(self, message: str, values: Any):
        if not isinstance(values, dict):
            raise Malformed(f"{message}: its fields are not an object")
        self.message, self.values = message, values

    def has(self, name: str) -> bool:
        return self.values.get(name) is not None

    def _get(self, name: str, shapes: tuple, expected: str, absent: Any) -> Any:
        value = self.values.get(name)
        if value is None:
            if absent is REQUIRED:
                raise Malformed(f"{self.message}: field '{name}' is missing")
            return absent
        if not isinstance(value, shapes) or (isinstance(value, bool) and bool not in shapes):
            raise Malformed(f"{self.message}: field '{name}' is not {expected}")
        return value

    def whole(self, name: str, absent: Any = 0) -> int:
        value = self._get(name, (int,), "a whole number", absent)
        if value < 0 and value != absent:
            raise Malformed(f"{self.message}: field '{name}' is negative")
        return value

    def number(self, name: str, absent: Any = 0.0) -> float:
        value = self._get(name, (int, float), "a number", absent)
        if value != value or value < 0:
            raise Malformed(f"{self.message}: field '{name}' is not a number of 0 or more")
        return value

    def text(self, name: str, absent: Any = REQUIRED) -> str:
        return self._get(name, (str,), "text", absent)

    def mark(self, name: str) -> bool:
        return self._get(name, (bool,), "true or false", False)

    def rows(self, name: str, absent: Any = ()) -> list:
        return self._get(name, (list,), "an array", absent)

    def inner(self, name: str, absent: Any = REQUIRED) -> "Fields":
        return Fields(f"{self.message} {name}", self._get(name, (dict,), "an object", absent))

    def word(self, name: str, words: Dict[str, Any], absent: Any = REQUIRED) -> Any:
        value = self.text(name, absent)
        if value not in words:
            raise Malformed(f"{self.message}: field '{name}' has the unknown word '{value}'")
        return words[value]

    def down(self, name: str, absent: Any = 0) -> int:
        return self.whole(name, absent) // UNIT

    def up(self, name: str, absent: Any = 0) -> int:
        return -(-self.whole(name, absent) // UNIT)

    def load(self) -> Optional[Tuple[float, ...]]:
        row = self.values.get("stats")
        if row is None:
            return None
        if not isinstance(row, list) or any(
            isinstance(x, bool) or not isinstance(x, (int, float)) for x in row
        ):
            raise Malformed(f"{self.message}: field 'stats' is not an array of numbers")
        return tuple(row)


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
STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
EFFECTS = {"repeatable": "replayable", "by_key": "uniqued", "once": "non-replayable"}
SCOPES = {"all": "all", "zone": "zone", "cell": "cell", "": "cell"}
NEIGHBOURS = {"off": "none", "location": "location", "any": "any"}
NOTES = {"off": "none", "hit": "hit", "all": "all"}
WEIGHTS = {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"}
DISCOVERY = {"automatic": False, "subscribe": True}
LOADS = {
    "rif": "in_hand",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
    "x0": "hits",
    "x1": "link",
}


def _at(rows: list, place: int, absent: Any) -> Any:
    return rows[place] if place < len(rows) else absent


def deployment(info: Fields) -> face.Deployment:
    """The settings that come with SPAWN, as facts of the deployment."""
    extra, rules = info.inner("extra", {}), info.inner("rules", {})
    limits, report = info.inner("policy-limits", {}), info.inner("telemetry", {})
    fresh, grace = extra.rows("class-fresh"), extra.rows("class-grace")
    writes, aged, parts = extra.rows("class-write"), extra.rows("aged-worth"), extra.rows("segmented")
    vhosts = []
    for place, row in enumerate(info.rows("classes", REQUIRED)):
        one = Fields(f"{info.message} classes[{place}]", row)
        effect = one.word("semantics", EFFECTS)
        vhosts.append(
            face.Vhost(
                target=one.down("aim", REQUIRED),
                stretch=one.number("aim-stretch"),
                timeout=one.down("deadline", REQUIRED),
                value=one.number("importance", 1),
                late_share=one.number("late-worth"),
                effect=effect,
                scope=one.word("dedup-scope", SCOPES, ""),
                window=one.down("window"),
                writes=bool(_at(writes, place, False)),
                fresh=int(_at(fresh, place, 0)) // UNIT,
                grace=int(_at(grace, place, 0)) // UNIT,
                aged_share=_at(aged, place, 1.0),
                parts=bool(_at(parts, place, False)),
            )
        )
    zone, crews = info.whole("zone"), extra.rows("crew-by-zone")
    routers = max(1, info.whole("balancers", 1))
    prices = info.inner("prices", {})
    return face.Deployment(
        vhosts=tuple(vhosts),
        zone=zone,
        routers=routers,
        routers_here=max(1, _at(crews, zone, routers)),
        hub_of=tuple(extra.rows("attached-to")),
        inlet=tuple(extra.rows("inlet-kb-per-s")),
        parent_kind=extra.whole("second-tier-kind", -1),
        origin_kind=extra.whole("store-kind", -1),
        bypass=extra.mark("bypass-allowed"),
        siblings=extra.word("neighbours", NEIGHBOURS, "off"),
        joins=extra.mark("joins"),
        notes=extra.word("note-level", NOTES, "off"),
        pace=extra.number("one-flow-kb-per-s"),
        weights=info.word("weight-kind", WEIGHTS, "off"),
        load_fields=tuple(LOADS.get(name, str(name)) for name in report.rows("fields")),
        must_watch=info.word("discovery", DISCOVERY, "automatic"),
        ask_within=rules.down("ask-within"),
        max_dispatches=max(1, limits.whole("max-attempts", 1)),
        probes=limits.mark("probes"),
        peers=limits.mark("peers"),
        cancels=limits.mark("may-cancel"),
        backoff=limits.down("max-retry-after") if limits.mark("retry-after") else 0,
        cold_from=rules.number("cold-from"),
        cold=rules.up("cold"),
        fall_multiple=rules.number("fall-multiple"),
        fall=rules.up("fall"),
        parent_cold_from=extra.number("parent-cold-from"),
        parent_cold=extra.up("parent-warms-in"),
        parent_fall_multiple=extra.number("parent-limit-factor"),
        origin_fall_multiple=extra.number("origin-limit-factor"),
        drain_grace=rules.down("drain-grace"),
        purge_grace=extra.down("obey-after"),
        purge_settles=extra.up("purge-settles"),
        tick=info.up("granularity"),
        prices=tuple((name, prices.number(name)) for name in prices.values),
    )


def node_rows(event: Fields) -> Tuple[face.NodeRow, ...]:
    rows = []
    for place, values in enumerate(event.rows("rows")):
        row = Fields(f"{event.message} rows[{place}]", values)
        rows.append(
            face.NodeRow(
                id=row.text("node"),
                state=row.word("state", STATES),
                cell=row.whole("stripe"),
                zone=row.whole("campus"),
                started=row.up("online-since"),
                weight=row.number("share", 1),
                kind=row.whole("family-type"),
            )
        )
    return tuple(rows)


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
    kind = type(act)
    if kind is face.Ask:
        name, body = "ISSUE", {"tid": act.id, "node": act.node, "try-until": act.until * UNIT}
    elif kind is face.Fetch:
        opts = act.join * 1 + act.held_only * 2 + act.renew * 8
        name, body = "ANSWER_FROM", {
            "tid": act.id,
            "try-until": act.until * UNIT,
            "opts": opts,
            "supplier": act.source,
            "admit": act.rank,
            "age": act.age * UNIT,
            "node": act.node,
        }
    elif kind is face.Deny:
        name, body = "DECLINE", {"tid": act.id, "backoff": act.backoff * UNIT}
    elif kind is face.Abort:
        name, body = "ERROR", {"tid": act.id}
    elif kind is face.CallOff:
        name, body = "CALL_OFF", {"tid": act.id, "leg": act.number}
    elif kind is face.Remind:
        name, body = "REMIND", {"offset": act.after * UNIT, "ref": act.token}
    elif kind is face.Watch:
        name, body = "WATCH", {"active": act.on}
    elif kind is face.Snapshot:
        name, body = "SNAPSHOT", {}
    elif kind is face.Probe:
        name, body = "TOUCH", {"node": act.node}
    elif kind is face.Say:
        target: Any = "*" if act.peer is None else act.peer
        name, body = "POST", {"target": target, "bytes": base64.b64encode(act.data).decode("ascii")}
    else:
        name, body = "DEBUG", {"msg": act.text}
    return {name: {"director": director, **body}}


def messages(director: int, acts: List[face.Action]) -> List[Dict[str, Dict[str, Any]]]:
    return [message(director, act) for act in acts]
