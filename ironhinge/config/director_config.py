"""Converts the JSON configuration of a director on real sockets to `DirectorConfig`."""

from __future__ import annotations

from typing import Any, NamedTuple

from ..interface import Deployment, Endpoint, EndpointState
from .deployment_settings import read_deployment
from .fields import REQUIRED, Fields, MalformedMessageError

MAX_PORT = 65_535

RECORD_STATES = {  # statuses in the discovery service's endpoint list
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
CONFIG_KEYS = {  # fields of `DirectorConfig`, and their keys in the file where these differ
    "gossip_listen": "peer_listen",
    "gossip_peers": "peers",
    "gossip_broadcast": "peers_all",
    "discovery_address": "coordinator",
    "names": "settings",
    "transport": "settings",
    "deployment": "settings",
}


class Address(NamedTuple):
    """A host and port to connect to or to listen on."""

    host: str
    port: int


class ResourceLimits(NamedTuple):
    """The resources that the platform allows a director; 0 if unknown."""

    memory_mb: int
    descriptors: int
    cores: float = 0.0  # share of a processor


class SettingsNames(NamedTuple):
    """The names in the settings, in order. The protocol refers to them by name or by their index."""

    request_classes: tuple[str, ...]
    zones: tuple[str, ...]
    endpoint_kinds: tuple[str, ...]


class TransportSettings(NamedTuple):
    """The settings of connections to upstreams; times are in tenths of a millisecond."""

    connect_timeout: int
    upstream_idle_timeout: int  # time after which upstreams close idle connections
    operations_per_connection: int  # concurrent attempts per connection


class EndpointRecord(NamedTuple):
    """An entry of the discovery service's endpoint list."""

    endpoint: Endpoint
    address: Address
    started_unix_ms: int  # Unix time in milliseconds; 0: long ago


class EndpointListUpdate(NamedTuple):
    """A discovery event: endpoints that were added, changed or removed."""

    event_index: int
    is_full: bool  # the list is complete: endpoints that are not in it are removed
    records: tuple[EndpointRecord, ...]


class PurgeUpdate(NamedTuple):
    """A discovery event: copies that were produced before `unix_ms` must not be served."""

    event_index: int
    object_id: int | None  # None: all objects of the group
    group: int
    unix_ms: int


DiscoveryUpdate = EndpointListUpdate | PurgeUpdate


class DirectorConfig(NamedTuple):
    """The configuration of a director on real sockets."""

    name: str
    listen: Address
    seed: int
    limits: ResourceLimits
    gossip_listen: Address | None
    gossip_peers: tuple[Address, ...]
    gossip_broadcast: Address | None
    discovery_address: Address | None
    names: SettingsNames
    transport: TransportSettings
    deployment: Deployment
    known_index: int  # index of the last discovery event that `known` includes
    known: tuple[DiscoveryUpdate, ...]  # discovery events up to `known_index`


def parse_address(text: str, context: str) -> Address:
    """Parses an address such as `127.0.0.1:7001`.

    Args:
        text: The host and the port.
        context: Where the text comes from, for the error message.

    Raises:
        MalformedMessageError: The host or the port is missing or invalid.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise MalformedMessageError(f"{context}: '{text}' is not a host and a port")
    return Address(host, int(port))


def _parse_hex(text: str, context: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedMessageError(f"{context}: '{text}' is not a hexadecimal number") from None


def _index_of(name: str, names: tuple[str, ...], context: str) -> int:
    if name not in names:
        raise MalformedMessageError(f"{context}: the settings do not define '{name}'")
    return names.index(name)


def _read_record(values: Any, context: str, names: SettingsNames) -> EndpointRecord:
    row = Fields(context, values)
    endpoint = Endpoint(
        id=row.text("name"),
        state=row.keyword("status", RECORD_STATES),
        cell=row.integer("group"),
        zone=_index_of(row.text("zone"), names.zones, context),
        started_at=0,
        weight=row.number("weight", 1),
        kind=_index_of(row.text("type"), names.endpoint_kinds, context),
    )
    return EndpointRecord(endpoint, parse_address(row.text("address"), context), row.integer("since_ms"))


def _read_endpoint_list(
    update: Fields, event_index: int, is_first: bool, names: SettingsNames
) -> EndpointListUpdate:
    """Returns an update of the endpoint list; the first one is always the complete list."""
    change = update.nested("endpoints")
    records = tuple(
        _read_record(row, f"{update.context} endpoints[{index}]", names)
        for index, row in enumerate(change.array("endpoints"))
    )
    return EndpointListUpdate(event_index, is_first or change.boolean("snapshot"), records)


def _read_purge(update: Fields, event_index: int) -> PurgeUpdate:
    purge = update.nested("evict")
    object_id = _parse_hex(purge.text("ref"), update.context) if purge.has("ref") else None
    return PurgeUpdate(event_index, object_id, purge.integer("shard"), purge.integer("unix_ms"))


def _read_known_updates(known: Fields, names: SettingsNames) -> tuple[DiscoveryUpdate, ...]:
    updates: list[DiscoveryUpdate] = []
    for index, values in enumerate(known.array("updates")):
        update = Fields(f"{known.context} updates[{index}]", values)
        event_index = update.integer("index")
        if update.has("endpoints"):
            updates.append(_read_endpoint_list(update, event_index, not updates, names))
        elif update.has("evict"):
            updates.append(_read_purge(update, event_index))
    return tuple(updates)


def _read_names(settings: Fields) -> SettingsNames:
    classes = settings.array("classes", REQUIRED)
    return SettingsNames(
        tuple(
            Fields(f"settings classes[{index}]", values).text("name") for index, values in enumerate(classes)
        ),
        settings.texts("failure-domains"),
        settings.texts("shapes"),
    )


def _read_transport(settings: Fields) -> TransportSettings:
    policy = settings.nested("policy-limits", {})
    return TransportSettings(
        connect_timeout=policy.duration_floor("dial-timeout", REQUIRED),
        upstream_idle_timeout=policy.duration_floor("conn-idle"),
        operations_per_connection=max(1, policy.integer("multiplex", 1)),
    )


def _optional_address(fields: Fields, name: str) -> Address | None:
    return parse_address(fields.text(name), f"field '{name}'") if fields.has(name) else None


def read_director_config(values: Any) -> DirectorConfig:
    """Returns a director's configuration from parsed JSON.

    Raises:
        MalformedMessageError: A field is missing or malformed; the message names it and what was expected.
    """
    fields = Fields("configuration", values)
    settings, limits = fields.nested("settings"), fields.nested("limits", {})
    names = _read_names(settings)
    known = fields.nested("known", {})
    return DirectorConfig(
        name=fields.text("name", ""),
        listen=parse_address(fields.text("listen"), "field 'listen'"),
        seed=_parse_hex(fields.text("seed", "0"), "field 'seed'"),
        limits=ResourceLimits(limits.integer("memory_mb"), limits.integer("sockets"), limits.number("cores")),
        gossip_listen=_optional_address(fields, "peer_listen"),
        gossip_peers=tuple(parse_address(peer, "field 'peers'") for peer in fields.texts("peers")),
        gossip_broadcast=_optional_address(fields, "peers_all"),
        discovery_address=_optional_address(fields, "coordinator"),
        names=names,
        transport=_read_transport(settings),
        deployment=read_deployment(settings),
        known_index=known.integer("index"),
        known=_read_known_updates(known, names),
    )
