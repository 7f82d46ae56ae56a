"""All of a front process's configuration, from whichever source."""

from dataclasses import dataclass
from pathlib import Path

from umberlead.configuration.discovery_message import DiscoveryMessage
from umberlead.configuration.keys import Address
from umberlead.configuration.membership_table import WatchedListConfig
from umberlead.configuration.objects_table import ObjectApiConfig
from umberlead.configuration.rooms_table import ZoneConfig
from umberlead.scheduling.settings import Settings


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a front process.

    Attributes:
        name: The front's name in logs and towards endpoints.
        seed: The seed of its random numbers.
        settings: The scheduler's settings.
        load_fields: The names of the fields of an endpoint's load report.
        known_endpoints: The endpoints that are known from the start.
        listen: Where the platform's protocol is served; None where it isn't.
        discovery: Where discovery is watched; None where it isn't.
        admin_listen: Where the admin API is served; None where it isn't.
        state_folder: What this process shares with the one that replaces it; None for nothing.
        object_api: The object API; None for none.
        watched_lists: The watched endpoint lists; None for none.
        zones: What is decided by zones; None where nothing is.
        max_descriptors: How many file descriptors the process may have open.
        memory_limit_bytes: How much memory the process may take.
        cores: How many processor cores it may use.
        keepalive_us: How long a connection to an endpoint stays open unused.
        tick_us: The time between two rounds of scheduling.
        retry_after_us: The longest Retry-After that is sent.
        answer_margin_us: The time before a request's timeout at which its client is answered.
        client_idle_timeout_us: The time after which a silent client's connection is closed; 0 for never.
        plugin_paths: The plugins' scripts.
        plugin_timeout_us: The time that one call of a plugin may take.
        log_collector: Where the log is sent, as tcp:// or unix://; "" for standard error alone.
        log_level: The lowest level that is logged.
    """

    name: str
    seed: int
    settings: Settings
    load_fields: tuple[str, ...]
    known_endpoints: DiscoveryMessage
    listen: Address | None = None
    discovery: Address | None = None
    admin_listen: Address | None = None
    state_folder: Path | None = None
    object_api: ObjectApiConfig | None = None
    watched_lists: WatchedListConfig | None = None
    zones: ZoneConfig | None = None
    max_descriptors: int = 1024
    memory_limit_bytes: int = 192 << 20
    cores: float = 1.0
    keepalive_us: int = 15_000_000
    tick_us: int = 2000
    retry_after_us: int = 500_000
    answer_margin_us: int = 15_000
    client_idle_timeout_us: int = 60_000_000
    plugin_paths: tuple[Path, ...] = ()
    plugin_timeout_us: int = 5000
    log_collector: str = ""
    log_level: str = "info"
