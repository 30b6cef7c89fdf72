"""Converts the platform's settings, endpoint lists and director configuration to types, for both hosts.

The names in these messages are mapped here to those of `ironhinge.interface` and of this package's records;
no other module uses the outer names. Settings have microseconds, the program has ticks of a tenth of a
millisecond: deadlines, latency targets and grace periods are rounded down, durations that other parties need
(such as slow start) are rounded up. An absent field has the default that the protocol gives it; unknown
fields are ignored. Nothing is decided here.
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
