"""Parses the table `[rooms]` of an operator's file: zones as failure domains, and gossip between fronts."""

import os
from dataclasses import dataclass
from pathlib import Path

from umberlead.configuration.keys import Address, Keys

SPILLOVER_MODES = {name: name for name in ("learnt", "all", "never")}
MICROSECONDS_PER_SECOND = 1_000_000
MIN_TIME_SECONDS = 0.05
MAX_TIME_SECONDS = 3600
# The field set by each key whose value is a time in seconds, in the order in which the keys are read.
TIME_FIELDS = {
    "back_s": "recovery_us",
    "come_back_s": "retry_after_us",
    "hold_s": "min_down_us",
    "hold_most_s": "max_down_us",
    "quiet_s": "silence_timeout_us",
    "trial_s": "trial_interval_us",
    "window_s": "evidence_window_us",
}
KNOWN_KEYS = tuple(sorted(("peers", "retry_part", "own", "near", "spill", "spill_part", "far", *TIME_FIELDS)))
KNOWN_PEERS_KEYS = ("bytes_a_second", "join", "keys", "listen")


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """The gossip about zones with other fronts; the platform's configuration has none.

    Attributes:
        listen: The address on which datagrams are received.
        seed_addresses: The addresses of the fronts contacted first.
        keys_path: The file with the shared keys.
        max_bytes_per_second: The maximum send rate.
    """

    listen: Address
    seed_addresses: tuple[Address, ...]
    keys_path: Path
    max_bytes_per_second: int


@dataclass(frozen=True, slots=True)
class ZoneConfig:
    """The configuration of routing by zones; docs/rooms.md describes each key.

    Attributes:
        own_zone: This front's zone; "" for none.
        nearby_zones: The other zones, the nearest first.
        spillover_mode: "learnt", "all" or "never": how requests may spill over to other zones.
        spillover_rate_factor: The factor by which the learnt spillover rate may grow.
        distance_factor: The factor by which each more distant zone costs more.
        silence_timeout_us: The time without any response after which an endpoint counts as silent.
        evidence_window_us: The period over which evidence of a zone failure is collected.
        min_down_us: The minimum time for which a zone is down.
        max_down_us: The maximum time for which a zone is down without a trial request.
        trial_interval_us: The interval between trial requests to a zone that is down.
        recovery_us: The time in which a recovered zone returns to its full load.
        retry_after_us: The Retry-After for clients when no zone has capacity.
        retry_budget_ratio: The allowed retries as a share of the first attempts in 10 s; 0 for no limit.
        gossip: The gossip with other fronts; None for none.
    """

    own_zone: str = ""
    nearby_zones: tuple[str, ...] = ()
    spillover_mode: str = "learnt"
    spillover_rate_factor: float = 8.0
    distance_factor: float = 1.25
    silence_timeout_us: int = 700_000
    evidence_window_us: int = 5_000_000
    min_down_us: int = 2_000_000
    max_down_us: int = 60_000_000
    trial_interval_us: int = 1_000_000
    recovery_us: int = 4_000_000
    retry_after_us: int = 1_000_000
    retry_budget_ratio: float = 0.1
    gossip: GossipConfig | None = None


def parse_zones(keys: Keys, folder: Path | None = None) -> ZoneConfig:
    """Parse the table `[rooms]`; its paths are relative to `folder`, or to the working directory.

    Raises:
        ConfigError: A key is unknown, a value is invalid, or the file with the keys does not exist.
    """
    keys.reject_unknown(KNOWN_KEYS)
    own_zone = keys.text("own", "")
    nearby_zones = tuple(str(zone) for zone in keys.items("near"))
    if own_zone in nearby_zones or len(set(nearby_zones)) != len(nearby_zones):
        raise keys.error("near", "names a room twice, or this front's own")
    times_us = _times_us(keys)
    gossip = _parse_peers(keys.table("peers"), folder or Path()) if "peers" in keys.values else None
    return ZoneConfig(
        own_zone=own_zone,
        nearby_zones=nearby_zones,
        spillover_mode=keys.choice("spill", SPILLOVER_MODES, "learnt"),
        spillover_rate_factor=keys.number("spill_part", 8.0, 0.01, 1000),
        distance_factor=keys.number("far", 1.25, 1, 100),
        retry_budget_ratio=keys.number("retry_part", 0.1, 0, 10),
        gossip=gossip,
        **times_us,
    )


def _times_us(keys: Keys) -> dict[str, int]:
    """Return the values of the fields in `TIME_FIELDS`."""
    defaults = ZoneConfig()
    times_us = {}
    for key, field in TIME_FIELDS.items():
        default_seconds = getattr(defaults, field) / MICROSECONDS_PER_SECOND
        seconds = keys.number(key, default_seconds, MIN_TIME_SECONDS, MAX_TIME_SECONDS)
        times_us[field] = int(seconds * MICROSECONDS_PER_SECOND)
    if times_us["max_down_us"] < times_us["min_down_us"]:
        raise keys.error("hold_most_s", "must not be below hold_s")
    return times_us


def _parse_peers(keys: Keys, folder: Path) -> GossipConfig:
    keys.reject_unknown(KNOWN_PEERS_KEYS)
    seed_addresses = tuple(keys.parse_address("join", str(address)) for address in keys.items("join"))
    keys_path = (folder / keys.text("keys")).absolute()
    if not os.path.isfile(keys_path):
        raise keys.error("keys", f"no such file: {keys_path}")
    max_bytes_per_second = keys.integer("bytes_a_second", 20_000, 500, 10_000_000)
    return GossipConfig(
        listen=keys.address("listen"),
        seed_addresses=seed_addresses,
        keys_path=keys_path,
        max_bytes_per_second=max_bytes_per_second,
    )
