"""Reads settings, endpoint lists and a director's configuration into types, once, for both fronts.

The themed names of settings and configuration end here: further in, only the names of `ironhinge.interface`
and of the records of this package are used. Settings count microseconds, the program tenths of a millisecond:
deadlines and objectives are rounded down, durations that others need up, allowances down. An absent
field means what the protocol says it means; unknown fields are skipped. Nothing is decided here.
"""

from .deployment_settings import load_report_in_order, read_deployment, read_endpoints
from .director_config import (
    CONFIG_KEYS,
    Address,
    DirectorConfig,
    DiscoveryUpdate,
    EndpointListUpdate,
    EndpointRecord,
    PurgeUpdate,
    ResourceLimits,
    SettingsNames,
    TransportSettings,
    parse_address,
    read_director_config,
)
from .fields import MICROSECONDS_PER_TICK, REQUIRED, Fields, MalformedMessageError

__all__ = [
    "CONFIG_KEYS",
    "MICROSECONDS_PER_TICK",
    "REQUIRED",
    "Address",
    "DirectorConfig",
    "DiscoveryUpdate",
    "EndpointListUpdate",
    "EndpointRecord",
    "Fields",
    "MalformedMessageError",
    "PurgeUpdate",
    "ResourceLimits",
    "SettingsNames",
    "TransportSettings",
    "load_report_in_order",
    "parse_address",
    "read_deployment",
    "read_director_config",
    "read_endpoints",
]
