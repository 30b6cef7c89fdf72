"""Reads the platform's settings, endpoint lists and director configuration into typed records.

Both hosts use this package, so each message is read in one place only. The names of settings and
configuration are mapped here; all other code uses the names of `ironhinge.interface` and of the records of
this package. Times are microseconds in the settings and ticks of a tenth of a millisecond in the program:
limits that the router must keep (such as deadlines, latency targets and grace periods) are rounded down,
durations that it must let pass in full (such as slow start) are rounded up. An absent field has the default
that the protocol defines, and unknown fields are ignored. No decisions are made here.
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
