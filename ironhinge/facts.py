"""Reads settings, node lists and a director's configuration into the interface's types, for both fronts.

Settings times are microseconds, the interface's are tenths of a millisecond: instants of learning are rounded
down, lasting duties up, allowances down. An absent field means what the pages say it means; unknown fields
are skipped; a field of the wrong shape raises `Malformed`, naming where it stands. Nothing is decided here.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from . import interface
from .interface import DedupScope, EndpointState, FillNoteLevel, Idempotency, SiblingFill, WeightKind

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

    def rows(self, name: str, absent: Any = ()) -> list[Any]:
        return self._get(name, (list,), "an array", absent)

    def several(self, name: str, shape: type, expected: str) -> tuple[Any, ...]:
        """A list of which each value has the same shape."""
        shapes = (int, float) if shape is float else (shape,)
        found = self.rows(name)
        if any(
            not isinstance(each, shapes) or isinstance(each, bool) is not (shape is bool) for each in found
        ):
            raise Malformed(f"{self.message}: field '{name}' is not an array of {expected}")
        return tuple(found)

    def texts(self, name: str) -> tuple[str, ...]:
        return self.several(name, str, "texts")

    def numbers(self, name: str) -> tuple[float, ...]:
        return self.several(name, float, "numbers")

    def wholes(self, name: str) -> tuple[int, ...]:
        return self.several(name, int, "whole numbers")

    def marks(self, name: str) -> tuple[bool, ...]:
        return self.several(name, bool, "true and false")

    def inner(self, name: str, absent: Any = REQUIRED) -> Fields:
        return Fields(f"{self.message} {name}", self._get(name, (dict,), "an object", absent))

    def word(self, name: str, words: dict[str, Any], absent: Any = REQUIRED) -> Any:
        value = self.text(name, absent)
        if value not in words:
            raise Malformed(f"{self.message}: field '{name}' has the unknown word '{value}'")
        return words[value]

    def down(self, name: str, absent: Any = 0) -> int:
        return self.whole(name, absent) // UNIT

    def up(self, name: str, absent: Any = 0) -> int:
        return -(-self.whole(name, absent) // UNIT)

    def load(self) -> tuple[float, ...] | None:
        return self.numbers("stats") if self.has("stats") else None


STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LIST_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL, "": DedupScope.CELL}
NEIGHBOURS = {"off": SiblingFill.NONE, "location": SiblingFill.LOCATION, "any": SiblingFill.ANY}
NOTES = {"off": FillNoteLevel.NONE, "hit": FillNoteLevel.HIT, "all": FillNoteLevel.ALL}
WEIGHTS = {
    "off": WeightKind.NONE,
    "nominal": WeightKind.NOMINAL,
    "rough": WeightKind.ROUGH,
    "live": WeightKind.LIVE,
}
DISCOVERY = {"automatic": False, "subscribe": True}
LOADS = {
    "rif": "in_hand",
    "inflight": "in_hand",
    "q": "queued",
    "queue": "queued",
    "busy": "busy",
    "util": "busy",
    "lat_ms": "latency",
    "latency_ms": "latency",
    "rate": "rate",
    "qps": "rate",
    "fail_rate": "errors",
    "eps": "errors",
    "x0": "hits",
    "x1": "link",
}


def _at(rows: tuple[Any, ...], place: int, absent: Any) -> Any:
    return rows[place] if place < len(rows) else absent


def deployment(info: Fields) -> interface.Deployment:
    """The settings that come with SPAWN, as facts of the deployment."""
    extra, rules = info.inner("extra", {}), info.inner("rules", {})
    limits, report = info.inner("policy-limits", {}), info.inner("telemetry", {})
    fresh, grace = extra.wholes("class-fresh"), extra.wholes("class-grace")
    writes, aged, parts = extra.marks("class-write"), extra.numbers("aged-worth"), extra.marks("segmented")
    vhosts = []
    for place, row in enumerate(info.rows("classes", REQUIRED)):
        one = Fields(f"{info.message} classes[{place}]", row)
        effect = one.word("semantics", EFFECTS)
        vhosts.append(
            interface.RequestClass(
                target=one.down("aim", REQUIRED),
                target_stretch=one.number("aim-stretch"),
                client_timeout=one.down("deadline", REQUIRED),
                priority_weight=one.number("importance", 1),
                late_value_share=one.number("late-worth"),
                idempotency=effect,
                dedup_scope=one.word("dedup-scope", SCOPES, ""),
                dedup_window=one.down("window"),
                is_write=_at(writes, place, False),
                freshness_lifetime=_at(fresh, place, 0) // UNIT,
                stale_grace=_at(grace, place, 0) // UNIT,
                stale_value_share=_at(aged, place, 1.0),
                is_segmented=_at(parts, place, False),
            )
        )
    zone, crews = info.whole("zone"), extra.wholes("crew-by-zone")
    routers = max(1, info.whole("balancers", 1))
    prices = info.inner("prices", {})
    return interface.Deployment(
        request_classes=tuple(vhosts),
        zone=zone,
        router_count=routers,
        local_router_count=max(1, _at(crews, zone, routers)),
        hub_by_zone=extra.wholes("attached-to"),
        ingress_bandwidth=extra.numbers("inlet-kb-per-s"),
        parent_kind=extra.whole("second-tier-kind", -1),
        origin_kind=extra.whole("store-kind", -1),
        direct_to_source=extra.mark("bypass-allowed"),
        sibling_fill=extra.word("neighbours", NEIGHBOURS, "off"),
        coalesces_fills=extra.mark("joins"),
        fill_note_level=extra.word("note-level", NOTES, "off"),
        transfer_rate=extra.number("one-flow-kb-per-s"),
        weight_kind=info.word("weight-kind", WEIGHTS, "off"),
        load_report_fields=tuple(LOADS.get(name, name) for name in report.texts("fields")),
        watch_required=info.word("discovery", DISCOVERY, "automatic"),
        discovery_poll_interval=rules.down("ask-within"),
        max_attempts=max(1, limits.whole("max-attempts", 1)),
        health_checks_allowed=limits.mark("probes"),
        gossip_allowed=limits.mark("peers"),
        cancellation_allowed=limits.mark("may-cancel"),
        max_retry_after=limits.down("max-retry-after") if limits.mark("retry-after") else 0,
        slow_start_min_share=rules.number("cold-from"),
        slow_start_duration=rules.up("cold"),
        overload_multiple=rules.number("fall-multiple"),
        overload_window=rules.up("fall"),
        parent_slow_start_min_share=extra.number("parent-cold-from"),
        parent_slow_start_duration=extra.up("parent-warms-in"),
        parent_overload_multiple=extra.number("parent-limit-factor"),
        origin_overload_multiple=extra.number("origin-limit-factor"),
        drain_grace=rules.down("drain-grace"),
        purge_grace=extra.down("obey-after"),
        purge_retention=extra.up("purge-settles"),
        time_granularity=info.up("granularity"),
        prices=tuple((name, prices.number(name)) for name in prices.values),
    )


def node_rows(event: Fields) -> tuple[interface.Endpoint, ...]:
    rows = []
    for place, values in enumerate(event.rows("rows")):
        row = Fields(f"{event.message} rows[{place}]", values)
        rows.append(
            interface.Endpoint(
                id=row.text("node"),
                state=row.word("state", STATES),
                cell=row.whole("stripe"),
                zone=row.whole("campus"),
                started_at=row.up("online-since"),
                weight=row.number("share", 1),
                kind=row.whole("family-type"),
            )
        )
    return tuple(rows)


# The configuration of a real director


class Address(NamedTuple):
    host: str
    port: int


class Limits(NamedTuple):
    """What the platform allows; 0 where it is not told."""

    memory_mb: int
    sockets: int


class Names(NamedTuple):
    """What the protocol names by text or place, in the order of the settings."""

    vhosts: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class Transport(NamedTuple):
    """What the settings say of connections; times as everywhere."""

    dial: int  # a connection that is not up by then never comes
    idle: int  # nodes close idle connections after this
    streams: int  # dispatches that one connection carries together


class Listing(NamedTuple):
    """A record of the coordinator's list: `started` is its Unix millisecond, 0 for long ago."""

    row: interface.Endpoint
    address: Address
    started_unix: int


class ListNews(NamedTuple):
    number: int
    whole: bool
    listings: tuple[Listing, ...]


class PurgeNews(NamedTuple):
    number: int
    obj: int | None  # None: the whole group
    group: int
    unix_ms: int


class Assignment(NamedTuple):
    """All that a real director is told at its start."""

    name: str
    listen: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    coordinator: Address | None
    names: Names
    transport: Transport
    deployment: interface.Deployment
    known_number: int
    known: tuple[Any, ...]  # ListNews and PurgeNews


def address(text: str, where: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Malformed(f"{where}: '{text}' is not an address and a port")
    return Address(host, int(port))


def _hex(text: str, where: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise Malformed(f"{where}: '{text}' is not hex digits") from None


def _place(names: tuple[str, ...], name: str, where: str) -> int:
    if name not in names:
        raise Malformed(f"{where}: the settings lack '{name}'")
    return names.index(name)


def _listing(values: Any, where: str, names: Names) -> Listing:
    row = Fields(where, values)
    return Listing(
        interface.Endpoint(
            id=row.text("name"),
            state=row.word("status", LIST_STATES),
            cell=row.whole("group"),
            zone=_place(names.zones, row.text("zone"), where),
            started_at=0,
            weight=row.number("weight", 1),
            kind=_place(names.kinds, row.text("type"), where),
        ),
        address(row.text("address"), where),
        row.whole("since_ms"),
    )


def _known(known: Fields, names: Names) -> list[Any]:
    news: list[Any] = []
    for place, values in enumerate(known.rows("updates")):
        where = f"{known.message} updates[{place}]"
        update = Fields(where, values)
        number = update.whole("index")
        if update.has("endpoints"):
            change = update.inner("endpoints")
            rows = change.rows("endpoints")
            news.append(
                ListNews(
                    number,
                    not news or change.mark("snapshot"),
                    tuple(_listing(row, f"{where} endpoints[{at}]", names) for at, row in enumerate(rows)),
                )
            )
        elif update.has("evict"):
            purge = update.inner("evict")
            obj = _hex(purge.text("ref"), where) if purge.has("ref") else None
            news.append(PurgeNews(number, obj, purge.whole("shard"), purge.whole("unix_ms")))
    return news


def assignment(values: Any) -> Assignment:
    """A director's configuration, as read from JSON."""
    whole = Fields("configuration", values)
    settings, limits = whole.inner("settings"), whole.inner("limits", {})
    names = Names(
        tuple(
            Fields(f"settings classes[{place}]", row).text("name")
            for place, row in enumerate(settings.rows("classes", REQUIRED))
        ),
        settings.texts("failure-domains"),
        settings.texts("shapes"),
    )
    policy = settings.inner("policy-limits", {})
    known = whole.inner("known", {})

    def optional(name: str) -> Address | None:
        return address(whole.text(name), f"field '{name}'") if whole.has(name) else None

    return Assignment(
        name=whole.text("name", ""),
        listen=address(whole.text("listen"), "field 'listen'"),
        seed=_hex(whole.text("seed", "0"), "field 'seed'"),
        limits=Limits(limits.whole("memory_mb"), limits.whole("sockets")),
        peer_listen=optional("peer_listen"),
        peers=tuple(address(peer, "field 'peers'") for peer in whole.texts("peers")),
        peers_all=optional("peers_all"),
        coordinator=optional("coordinator"),
        names=names,
        transport=Transport(
            dial=policy.down("dial-timeout", REQUIRED),
            idle=policy.down("conn-idle"),
            streams=max(1, policy.whole("multiplex", 1)),
        ),
        deployment=deployment(settings),
        known_number=known.whole("index"),
        known=tuple(_known(known, names)),
    )


def load_report(found: dict[str, float], facts: interface.Deployment) -> tuple[float, ...] | None:
    """A load report told by name, in the order of the deployment; None where a value is missing."""
    named = {LOADS.get(name, name): value for name, value in found.items()}
    if any(name not in named for name in facts.load_report_fields):
        return None
    return tuple(named[name] for name in facts.load_report_fields)
