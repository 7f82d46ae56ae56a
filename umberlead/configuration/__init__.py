"""Reads and checks the configuration and applies its defaults.

There are three sources: the platform's environment variables and JSON file (`EDGE_*`), an operator's TOML
file (`UMBERLEAD_CONFIG`), and the settings that the simulator sends. `sources` reads the first two into a
`Config`; `request_settings` reads the settings that all three share. The larger tables of the operator's
file each have their own module. A missing or invalid value raises a `ConfigError` that names the key.
"""

from umberlead.configuration.discovery_message import (
    DiscoveryMessage,
    ListedEndpoint,
    parse_discovery_message,
    parse_endpoint,
)
from umberlead.configuration.errors import ConfigError
from umberlead.configuration.keys import Address, Keys, flatten
from umberlead.configuration.membership_table import WatchedListConfig
from umberlead.configuration.objects_table import ObjectApiConfig, ObjectOperation
from umberlead.configuration.process_config import Config
from umberlead.configuration.reload import ChangedFields, changed_fields
from umberlead.configuration.request_settings import parse_settings
from umberlead.configuration.rooms_table import GossipConfig, ZoneConfig, parse_zones
from umberlead.configuration.sources import load, load_operator_file, load_platform

__all__ = [
    "Address",
    "ChangedFields",
    "Config",
    "ConfigError",
    "DiscoveryMessage",
    "GossipConfig",
    "Keys",
    "ListedEndpoint",
    "ObjectApiConfig",
    "ObjectOperation",
    "WatchedListConfig",
    "ZoneConfig",
    "changed_fields",
    "flatten",
    "load",
    "load_operator_file",
    "load_platform",
    "parse_discovery_message",
    "parse_endpoint",
    "parse_settings",
    "parse_zones",
]
