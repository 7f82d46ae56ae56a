"""The complete configuration of a front process, independent of its source."""

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
        seed: The seed of the random number generators.
        settings: The scheduler's settings.
        load_fields: The names of the fields of an endpoint's load report.
        known_endpoints: The endpoints known from the start.
        listen: The address for clients of the platform's protocol; None to serve none.
        discovery: The address of discovery; None to use no discovery.
        admin_listen: The address of the admin API; None to serve none.
        state_folder: The folder of the state that the processes of a front share; None to share none.
        object_api: The object API; None for none.
        watched_lists: The watched endpoint lists; None for none.
        zones: The routing by zones; None to ignore zones.
        max_descriptors: The maximum number of open file descriptors of the process.
        memory_limit_bytes: The maximum memory of the process.
        cores: The number of processor cores that the process may use.
        keepalive_us: How long an idle connection to an endpoint stays open.
        tick_us: The tick of the timer wheel, which is the interval between two rounds of scheduling.
        retry_after_us: The maximum Retry-After sent to clients.
        answer_margin_us: How long before its client's timeout a request is answered.
        client_idle_timeout_us: The time after which an idle client connection is closed; 0 for never.
        plugin_paths: The scripts of the plugins.
        plugin_timeout_us: The time limit for one call of a plugin.
        log_collector: The collector that receives the log, as tcp:// or unix://; "" for standard error only.
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
