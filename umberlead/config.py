"""The one place where configuration is read, checked and given defaults.

Three sources: the platform's environment and JSON (`EDGE_*`), an operator's TOML file (`UMBERLEAD_CONFIG`),
and the settings of the simulator's wire. All settings go through `settings_of`. What is wrong is a
`ConfigError` that names the key."""

import json
import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from umberlead.scheduling.events import Endpoint, EndpointStatus
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings, validate_settings

Address = tuple[str, int]

OPERATOR_TABLES = (
    "name",
    "listen",
    "management",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
    "objects",
    "plugins",
    "log",
    "membership",
    "state",
    "rooms",
)
REPEATABILITY_BY_WORD = {
    "idempotent": Repeatability.IDEMPOTENT,
    "deduplicated": Repeatability.IDEMPOTENT_BY_KEY,
    "at_most_once": Repeatability.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPES = {word: word for word in ("all", "zone", "cell")}
HOST, PORT = re.compile(r"[!-~]{1,255}"), re.compile(r"[0-9]{1,5}")
MIN_SPAN_US = 1000  # us of an aim or a deadline: no answer comes in less, and parts of it round to nothing
MIN_DIVISOR_RATIO = (
    1e-9  # of what others are divided by, so that no quotient of two figures is without bounds
)
MIN_TICK_US, MAX_TICK_US = 100, 2000  # us; answers are due within 15 ms of a request's end here
ENDPOINT_STATUSES = {
    "ready": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


class ConfigError(ValueError):
    """`key` can't be used."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key = key


class Keys:
    """A mapping of dotted keys, each read once checked."""

    def __init__(self, got: Mapping[str, Any], under: str = "") -> None:
        self.values, self.prefix = got, under

    def raw(self, key: str) -> Any:
        value = self.values.get(key)
        return None if value in (None, "-") else value

    def full_name(self, key: str) -> str:
        return f"{self.prefix}.{key}" if self.prefix else key

    def error(self, key: str, why: str) -> ConfigError:
        return ConfigError(self.full_name(key), why)

    def number(self, key: str, default: float | None = None, low: float = 0.0, high: float = 1e18) -> float:
        value = self.raw(key)
        if value is None:
            if default is None:
                raise self.error(key, "is missing")
            return default
        try:
            number = float(value)
        except (TypeError, ValueError, OverflowError):
            raise self.error(key, f"is no number: {value!r}") from None
        if isinstance(value, bool) or not low <= number <= high:
            raise self.error(key, f"must be a number from {low:g} to {high:g}, not {value!r}")
        return number

    def zero_or_number(self, key: str, low: float) -> float:
        """0, which is none, as is what is missing, or a number from `low`."""
        return self.number(key, 0.0) and self.number(key, 0.0, low)

    def integer(self, key: str, default: int | None = None, low: int = 0, high: int = 1 << 62) -> int:
        return int(self.number(key, default, low, high))

    def text(self, key: str, default: str | None = None) -> str:
        value = self.raw(key)
        if value is None and default is None:
            value = self.values.get(key)  # what may not be missing is no "-" that stands for nothing
        if value is None:
            if default is None:
                raise self.error(key, "is missing")
            return default
        if isinstance(value, dict | list | bool):
            raise self.error(key, f"must be text, not {value!r}")
        if value == "" and default is None:
            raise self.error(key, "must not be empty")
        return str(value)

    def flag(self, key: str, default: bool = False) -> bool:
        value = self.raw(key)
        if value is None:
            return default
        if value in (True, "true", "1"):
            return True
        if value in (False, "false", "0"):
            return False
        raise self.error(key, f"must be true or false, not {value!r}")

    def choice(self, key: str, words: Mapping[str, Any], default: str) -> Any:
        word = self.text(key, default)
        if word not in words:
            raise self.error(key, f"must be one of {', '.join(words)}, not {word!r}")
        return words[word]

    def table(self, key: str) -> "Keys":
        value = self.raw(key)
        if value is None:
            return Keys({}, self.full_name(key))
        if not isinstance(value, dict):
            raise self.error(key, "must be a table")
        return Keys(value, self.full_name(key))

    def words(self, key: str) -> tuple[str, ...]:
        """A list, or as on the wire words with commas between them."""
        value = self.raw(key)
        words = value.split(",") if isinstance(value, str) else [] if value is None else value
        if not isinstance(words, list) or not all(isinstance(word, str) for word in words):
            raise self.error(key, f"must be a list of words, not {value!r}")
        return tuple(word for word in words if word)

    def table_indexes(self, key: str) -> range:
        """The places of a list of tables, one at least."""
        count = self.integer(f"{key}.count", 0, 0, 1000)
        if not count:
            raise self.error(key, "must be a list of tables, one at least")
        return range(count)

    def items(self, key: str) -> list[Any]:
        value = self.raw(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self.error(key, "must be a list")
        return value

    def address(self, key: str, default: str | None = None) -> Address:
        return self.parse_address(key, self.text(key, default))

    def parse_address(self, key: str, text: str) -> Address:
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not HOST.fullmatch(host) or not PORT.fullmatch(port) or int(port) > 65535:
            raise self.error(key, f"must be host:port, not {text!r}")
        return host, int(port)


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Nested settings as the wire's dotted paths. What has parts also stands under its own: read as one
    value, it is an error, and not missing."""
    found: dict[str, Any] = {path: value} if path else {}
    if isinstance(value, dict):
        for key, inner in value.items():
            found |= flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        found[f"{path}.count"] = len(value)
        for k, inner in enumerate(value):
            found |= flatten(inner, f"{path}.{k}")
    return found


def _memory(k: Keys, n: int) -> int:
    """How long repeats of a class are dropped (us). Decisions know no zones: where only the chunk servers of
    one zone drop them, and there are others, nothing that may have run is sent again."""
    told = k.integer(f"grades.{n}.memorySpan", 0)
    return 0 if k.raw(f"grades.{n}.group") == "zone" and len(k.words("azs")) != 1 else told


def parse_settings(got: Mapping[str, Any]) -> Settings:
    """The module's settings from path=value pairs; what is unknown is left alone."""
    k = Keys(got, "settings")
    for name in ("bounds", "callers", "extra", "guarantees", "loadReport"):
        k.table(name)
    classes = tuple(
        RequestClass(
            name=k.text(f"grades.{n}.name"),
            latency_objective_us=k.integer(f"grades.{n}.aim", None, MIN_SPAN_US),
            timeout_us=k.integer(f"grades.{n}.hardLimit", None, MIN_SPAN_US),
            repeatability=k.choice(f"grades.{n}.effect", REPEATABILITY_BY_WORD, "at_most_once"),
            deduplication_scope=k.choice(f"grades.{n}.group", DEDUPLICATION_SCOPES, "cell"),
            deduplication_window_us=_memory(k, n),
            ordered=k.flag(f"grades.{n}.sequential"),
            priority_weight=k.number(f"grades.{n}.credit", 1),
            late_priority_weight=k.number(f"grades.{n}.lateWorth", 0),
        )
        for n in k.table_indexes("grades")
    )
    plans = tuple(
        Plan(
            name=k.text(f"plans.{n}.name"),
            weight=k.number(f"plans.{n}.weight", 1, MIN_DIVISOR_RATIO),
            usual_units_per_second=k.number(f"plans.{n}.usualRate", 0),
            reserved_units_per_second=k.number(f"plans.{n}.reservation", 0),
            priority_factor=k.number(f"plans.{n}.valueFactor", 1),
            limit_units_per_second=k.zero_or_number(f"plans.{n}.neverOver", MIN_DIVISOR_RATIO),
            limit_burst_units=k.number(f"plans.{n}.mostAtOnce", 0),
            limit_slack_units=k.number(f"plans.{n}.capSlack", 0),
        )
        for n in k.table_indexes("plans")
    )
    for key, names in (("grades", [c.name for c in classes]), ("plans", [p.name for p in plans])):
        for n, name in enumerate(names):
            if name in names[:n]:
                raise k.error(f"{key}.{n}.name", f"is there twice: {name!r}")
    warm_up, cold_units = k.integer("guarantees.warmUp", 0), k.number("extra.coldUnits", 0)
    made = Settings(
        classes=classes,
        plans=plans,
        front_count=k.integer("instances", 1, 1),
        mean_request_units=k.number("extra.meanUnits", 1, MIN_DIVISOR_RATIO),
        max_request_units=k.number("extra.maxUnits", 1, MIN_DIVISOR_RATIO),
        within_share_factor=k.number("extra.fairWorth", 1),
        beyond_share_factor=k.number("extra.idleWorth", 1),
        max_attempts=k.integer("bounds.maxAttempts", 1, 1),
        cancellation_allowed=k.flag("bounds.cancel"),
        connect_timeout_us=k.integer("bounds.dialTimeout", 0),
        clients_mark_retries=k.flag("callers.marksRetry"),
        max_retry_after_us=k.integer("bounds.maxRetryAfter", 0) if k.flag("bounds.retryAfter") else 0,
        polls_endpoint_list=k.choice("discovery", {"push": False, "ask": True}, "push"),
        answer_grace_us=k.integer("guarantees.graceToAnswer", 0),
        shard_count=k.integer("extra.nShards", 0, 0, 1 << 20),
        cold_start_units=cold_units if warm_up else 0.0,  # without an end to it, nothing is ever cold
        cold_capacity_ratio=k.number("guarantees.coldShare", 1, 0, 1),
        cold_overload_factor=k.number("guarantees.fallMultiple", 1),
        cold_window_us=k.integer("guarantees.overloadFor", 0),
        warm_up_us=warm_up,
        ordering_pause_us=k.integer("guarantees.orderPause", 0),
        retry_budget_window_us=k.integer("guarantees.resendSpan", 0),
        retry_budget_min_retries=k.integer("guarantees.freeResends", 0),
        retry_budget_ratio=k.number("guarantees.resendRatio", 0),
    )
    try:
        validate_settings(made)
    except ValueError as fault:
        raise ConfigError("settings", str(fault)) from None
    return made


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A chunk server as discovery's form tells of it."""

    endpoint: Endpoint
    address: Address | None  # what is not ready may come without one


def parse_endpoint(got: Any, key: str) -> ListedEndpoint:
    if not isinstance(got, dict):
        raise ConfigError(key, "must be a table")
    k = Keys(got, key)
    node = Endpoint(
        name=k.text("name"),
        status=k.choice("status", ENDPOINT_STATUSES, "ready"),
        shard=k.integer("group", -1, -1),
        started_us=k.integer("since_ms", 0) * 1000,
        zone=k.text("zone", ""),
    )
    if node.status is not EndpointStatus.UP and k.raw("address") is None:
        return ListedEndpoint(node, None)
    return ListedEndpoint(node, k.address("address"))


@dataclass(frozen=True, slots=True)
class DiscoveryMessage:
    """One message of discovery."""

    index: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


def parse_discovery_message(
    got: Any, key: str = "discovery", bad: Callable[[ConfigError], None] | None = None
) -> DiscoveryMessage:
    """With `bad`, an entry that can't be read is told to it and passed by: the others still count."""
    if not isinstance(got, dict):
        raise ConfigError(key, "must be a table")
    k = Keys(got, key)
    endpoints = []
    for n, entry in enumerate(k.items("endpoints")):
        try:
            endpoints.append(parse_endpoint(entry, f"{key}.endpoints.{n}"))
        except ConfigError as fault:
            if bad is None:
                raise
            bad(fault)
    return DiscoveryMessage(k.integer("index", 0), k.flag("snapshot", True), tuple(endpoints))


@dataclass(frozen=True, slots=True)
class ObjectOperation:
    """How the object front asks for one kind of work."""

    class_name: str
    timeout_us: int  # us: the answer is due by then; 0 stands for the class's deadline


@dataclass(frozen=True, slots=True)
class ObjectApiConfig:
    """The object front, from an operator's file."""

    listen: Address
    shard_count: int
    plan_by_bucket: dict[str, str]  # bucket to plan
    read: ObjectOperation
    write: ObjectOperation
    upload: ObjectOperation
    bulk_threshold_bytes: int  # bytes from which a read counts as bulk
    bulk: ObjectOperation
    block_bytes: int
    buffer_bytes: int
    max_object_bytes: int
    max_part_bytes: int
    max_parts: int
    max_uploads: int
    upload_idle_us: int  # us
    unit_bytes: int
    max_parallel_blocks: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class WatchedListConfig:
    """Watched lists of chunk servers; times in us."""

    manifest_path: Path
    snapshot_path: Path | None
    settle_us: int
    poll_interval_us: int
    max_withdrawn_ratio: float
    flap_half_life_us: int
    flap_suppress_threshold: float
    flap_reuse_threshold: float
    gate_suite_path: Path | None = None  # a suite of routing tests that must hold under a new list
    gate_timeout_seconds: float = 30.0  # s


@dataclass(frozen=True, slots=True)
class ZoneConfig:
    """What is decided by rooms; docs/rooms.md. Times in us."""

    own_zone: str = ""
    nearby_zones: tuple[str, ...] = ()  # the others, the nearest first
    spillover_mode: str = "learnt"  # or "all", "never"
    spillover_rate_factor: float = 8.0
    distance_factor: float = 1.25
    silence_timeout_us: int = 700_000
    evidence_window_us: int = 5_000_000
    min_down_us: int = 2_000_000
    max_down_us: int = 60_000_000
    trial_interval_us: int = 1_000_000
    recovery_us: int = 4_000_000
    retry_after_us: int = 1_000_000
    retry_budget_ratio: float = 0.1  # attempts beyond the first, of first ones, in 10 s; 0: no bound
    gossip: "GossipConfig | None" = None


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Other fronts that rooms are talked over with; off on the platform."""

    listen: Address
    seed_addresses: tuple[Address, ...]
    keys_path: Path
    max_bytes_per_second: int


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    seed: int
    settings: Settings
    load_fields: tuple[str, ...]
    known_endpoints: DiscoveryMessage
    listen: Address | None = None
    discovery: Address | None = None
    admin_listen: Address | None = None  # the operators' door
    state_folder: Path | None = None  # what this process and the one that replaces it share
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
    client_idle_timeout_us: int = (
        60_000_000  # us after which a silent client's connection is closed; 0: never
    )
    plugin_paths: tuple[Path, ...] = ()
    plugin_timeout_us: int = 5000
    log_collector: str = ""
    log_level: str = "info"


def _common(k: Keys, settings: dict[str, Any], known: Any) -> dict[str, Any]:
    s = Keys(settings, "settings")
    most = s.integer("bounds.maxRetryAfter", 500_000) or 500_000
    return {
        "seed": _seed(k),
        "settings": parse_settings(settings),
        "load_fields": s.words("loadReport.fields"),
        "known_endpoints": parse_discovery_message({} if known is None else known, "known"),
        "max_descriptors": k.table("limits").integer("sockets", 1024, 32, 1_000_000),
        "cores": k.table("limits").number("cores", 1.0, 0.01, 1024),
        "memory_limit_bytes": k.table("limits").integer("memory_mb", 192, 16, 1 << 20) << 20,
        "keepalive_us": s.integer("bounds.keepalive", 15_000_000, 1),
        # The settings' is the simulator's gap between batches, which may be as coarse as it likes.
        "tick_us": min(max(s.integer("tick", MAX_TICK_US, 1), MIN_TICK_US), MAX_TICK_US),
        "retry_after_us": most,
    }


def _seed(k: Keys) -> int:
    text = k.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError:
        raise k.error("seed", f"must be hex digits, not {text!r}") from None


def load_platform(env: Mapping[str, str]) -> Config:
    """What the platform tells a front."""
    path = env["EDGE_CONFIG"]
    try:
        got = json.loads(Path(path).read_bytes())  # UTF-8, whatever the locale is
    except (OSError, ValueError) as fault:
        raise ConfigError("EDGE_CONFIG", str(fault)) from None
    if not isinstance(got, dict):
        raise ConfigError("EDGE_CONFIG", "must hold an object")
    for variable, key in (
        ("EDGE_NAME", "name"),
        ("EDGE_LISTEN", "listen"),
        ("EDGE_DISCOVERY", "discovery"),
        ("EDGE_MANAGEMENT", "management"),
    ):
        if variable in env and got.get(key) is None:
            got[key] = env[variable]  # the file is the newer word: it may be replaced while the front runs
    k = Keys(got)
    settings = flatten(k.table("settings").values)
    return Config(
        name=k.text("name", "front"),
        listen=k.address("listen"),
        discovery=k.address("discovery"),
        admin_listen=k.address("management") if k.raw("management") is not None else None,
        state_folder=Path(env["TMPDIR"]) / "umberlead" if env.get("TMPDIR") else None,
        **_common(k, settings, got.get("known")),
    )


def load_operator_file(path: str) -> Config:
    """An operator's TOML file: the same keys as the platform's JSON, and tables of its own."""
    import tomllib  # loaded only for it: a front that is back sooner is missed less

    file = Path(path)
    try:
        got = tomllib.loads(file.read_text())
    except (OSError, ValueError) as fault:
        raise ConfigError("UMBERLEAD_CONFIG", str(fault)) from None
    for key in got:
        if key not in OPERATOR_TABLES:
            raise ConfigError(key, f"is unknown; known are {', '.join(OPERATOR_TABLES)}")
    k, log, hooks = Keys(got), Keys(got).table("log"), Keys(got).table("plugins")
    settings = flatten(k.table("settings").values)
    common = _common(k, settings, got.get("known"))
    scripts = tuple((file.parent / str(s)).resolve() for s in hooks.items("scripts"))
    for n, script in enumerate(scripts):
        if not script.is_file():
            raise hooks.error(f"scripts.{n}", f"no such file: {script}")
    collector = log.text("collector", "")
    if collector and not collector.startswith(("tcp://", "unix://")):
        raise log.error("collector", "must begin with tcp:// or unix://")
    if collector.startswith("tcp://"):
        log.parse_address("collector", collector.removeprefix("tcp://"))
    return Config(
        name=k.text("name", "front"),
        listen=k.address("listen") if "listen" in got else None,
        discovery=k.address("discovery") if "discovery" in got else None,
        admin_listen=k.address("management") if "management" in got else None,
        object_api=_objects(k.table("objects"), settings, common["settings"]) if "objects" in got else None,
        watched_lists=_lists(k.table("membership"), file.parent) if "membership" in got else None,
        zones=parse_zones(k.table("rooms"), file.parent) if "rooms" in got else None,
        # Named, never taken from the environment: fronts of other files may have the same $TMPDIR.
        state_folder=file.parent / k.text("state", "") if "state" in got else None,
        plugin_paths=scripts,
        plugin_timeout_us=int(hooks.number("limit_ms", 5, 0.1, 1000) * 1000),
        log_collector=collector,
        log_level=log.choice("level", {w: w for w in ("debug", "info", "warning", "error")}, "info"),
        **common,
    )


def _lists(k: Keys, folder: Path) -> WatchedListConfig:
    known = {
        "list",
        "snapshot",
        "settle_ms",
        "poll_ms",
        "withdrawn_most",
        "flap_half_life_s",
        "flap_suppress",
        "flap_reuse",
        "gate",
        "gate_within_s",
    }
    for key in k.values:
        if key not in known:
            raise k.error(str(key), f"is unknown; known are {', '.join(sorted(known))}")
    text = k.text("snapshot", "")
    made = WatchedListConfig(
        manifest_path=(folder / k.text("list")).absolute(),
        snapshot_path=(folder / text).absolute() if text else None,
        settle_us=int(k.number("settle_ms", 10, 0, 200) * 1000),
        poll_interval_us=int(k.number("poll_ms", 250, 20, 400) * 1000),
        max_withdrawn_ratio=k.number("withdrawn_most", 0.25, 0, 1),
        flap_half_life_us=int(k.number("flap_half_life_s", 15, 0.1, 3600) * 1_000_000),
        flap_suppress_threshold=k.number("flap_suppress", 3, 1, 8),
        flap_reuse_threshold=k.number("flap_reuse", 1, 0.1, 8),
        gate_suite_path=(folder / k.text("gate")).absolute() if "gate" in k.values else None,
        gate_timeout_seconds=k.number("gate_within_s", 30, 1, 600),
    )
    if made.gate_suite_path is not None and not made.gate_suite_path.is_file():
        raise k.error("gate", f"no such file: {made.gate_suite_path}")
    if made.flap_reuse_threshold >= made.flap_suppress_threshold:
        raise k.error("flap_reuse", "must be below flap_suppress")
    if made.snapshot_path is not None and not made.snapshot_path.parent.is_dir():
        raise k.error("snapshot", f"no such folder: {made.snapshot_path.parent}")
    return made


SPILLOVER_MODES = {"learnt": "learnt", "all": "all", "never": "never"}


def parse_zones(k: Keys, folder: Path | None = None) -> ZoneConfig:
    """The table [rooms]; what is unknown or out of range is an error that names its key."""
    known = {"peers", "retry_part", "own", "near", "spill", "spill_part", "far"}
    times = {
        "quiet": "silence_timeout_us",
        "window": "evidence_window_us",
        "hold": "min_down_us",
        "hold_most": "max_down_us",
        "trial": "trial_interval_us",
        "back": "recovery_us",
        "come_back": "retry_after_us",
    }
    for key in k.values:
        if key not in known | {f"{t}_s" for t in times}:
            names = ", ".join(sorted(known | {f"{t}_s" for t in times}))
            raise k.error(str(key), f"is unknown; known are {names}")
    plain, own = ZoneConfig(), k.text("own", "")
    near = tuple(str(r) for r in k.items("near"))
    if own in near or len(set(near)) != len(near):
        raise k.error("near", "names a room twice, or this front's own")
    made: dict[str, int] = {
        times[t]: int(k.number(f"{t}_s", getattr(plain, times[t]) / 1e6, 0.05, 3600) * 1_000_000)
        for t in sorted(times)
    }
    if made["max_down_us"] < made["min_down_us"]:
        raise k.error("hold_most_s", "must not be below hold_s")
    peers = None
    if "peers" in k.values:
        p = k.table("peers")
        for key in p.values:
            if key not in ("listen", "join", "keys", "bytes_a_second"):
                raise p.error(str(key), "is unknown; known are bytes_a_second, join, keys, listen")
        join = tuple(p.parse_address("join", str(a)) for a in p.items("join"))
        keys = ((folder or Path()) / p.text("keys")).absolute()
        if not keys.is_file():
            raise p.error("keys", f"no such file: {keys}")
        most = p.integer("bytes_a_second", 20_000, 500, 10_000_000)
        peers = GossipConfig(p.address("listen"), join, keys, most)
    return ZoneConfig(
        own,
        near,
        k.choice("spill", SPILLOVER_MODES, "learnt"),
        k.number("spill_part", 8.0, 0.01, 1000),
        k.number("far", 1.25, 1, 100),
        retry_budget_ratio=k.number("retry_part", 0.1, 0, 10),
        gossip=peers,
        **made,
    )


def _objects(k: Keys, settings: dict[str, Any], made: Settings) -> ObjectApiConfig:
    if not made.clients_mark_retries:
        # the front asks for many blocks of one answer, each with less time left: unmarked, the module would
        # take the later ones for a client's second tries
        raise ConfigError("settings.callers.marksRetry", "must be true with the object front")
    classes, plans = {c.name: c for c in made.classes}, {p.name for p in made.plans}

    def operation(name: str) -> ObjectOperation:
        t = k.table(name)
        cls = t.text("class")
        if cls not in classes:
            raise t.error("class", f"is no class of the settings: {cls!r}")
        within = int(t.number("within_ms", 0, 0, 3_600_000) * 1000)
        return ObjectOperation(cls, within or classes[cls].timeout_us)

    buckets = {}
    for bucket, plan in k.table("buckets").values.items():
        if str(plan) not in plans:
            raise k.error(f"buckets.{bucket}", f"is no plan of the settings: {plan!r}")
        buckets[str(bucket)] = str(plan)
    if not buckets:
        raise k.error("buckets", "needs at least one bucket and its plan")
    read, write = operation("read"), operation("write")
    if classes[write.class_name].repeatability is Repeatability.IDEMPOTENT_BY_KEY:
        raise k.error("write.class", "must not be a deduplicated class")
    block = k.integer("block_bytes", 65536, 1024, 65536)
    return ObjectApiConfig(
        listen=k.address("listen"),
        shard_count=int(Keys(settings, "settings").number("extra.nShards", None, 1, 1e6)),
        plan_by_bucket=buckets,
        read=read,
        write=write,
        upload=operation("upload") if "upload" in k.values else write,
        bulk=operation("bulk") if "bulk" in k.values else read,
        bulk_threshold_bytes=k.integer("bulk_over_bytes", 4 << 20),
        block_bytes=block,
        buffer_bytes=k.integer("buffer_bytes", 1 << 20, block, 16 << 20),
        max_object_bytes=k.integer("max_object_bytes", 8 << 30, 1),
        max_part_bytes=k.integer("max_part_bytes", 8 << 20, 1, 32 << 20),
        max_parts=k.integer("max_parts", 500, 1, 500),
        max_uploads=k.integer("max_uploads", 64, 1, 4096),
        upload_idle_us=k.integer("upload_idle_s", 3600, 1) * 1_000_000,
        unit_bytes=k.integer("unit_bytes", 32768, 1),
        max_parallel_blocks=k.integer("parallel", 4, 1, 32),
        memory_bytes=k.integer("memory_bytes", 32 << 20, 1 << 20, 64 << 20),
    )


RELOADABLE_FIELDS = (
    "discovery",
    "max_descriptors",
    "memory_limit_bytes",
    "keepalive_us",
    "retry_after_us",
    "client_idle_timeout_us",
    "log_level",
)
START_ONLY_FIELDS = ("seed", "known_endpoints")  # the start's alone: a new one is no change


def changed_fields(old: Config, new: Config) -> tuple[list[str], list[str]]:
    """What a reload applies, and what stands in the file but waits for the next start."""
    differ = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
    return [n for n in differ if n in RELOADABLE_FIELDS], [
        n for n in differ if n not in RELOADABLE_FIELDS + START_ONLY_FIELDS
    ]


def load(env: Mapping[str, str] | None = None) -> Config:
    env = os.environ if env is None else env
    source = "UMBERLEAD_CONFIG" if env.get("UMBERLEAD_CONFIG") else "EDGE_CONFIG"
    if source not in env:
        raise ConfigError("EDGE_CONFIG", "is not set, and neither is UMBERLEAD_CONFIG")
    try:
        made = load_platform(env) if source == "EDGE_CONFIG" else load_operator_file(env[source])
    except RecursionError:
        raise ConfigError(source, "is nested too deeply") from None
    if made.listen is None and made.object_api is None:
        raise ConfigError("listen", "neither the platform front nor the object front is set up")
    if made.discovery is None and not made.known_endpoints.endpoints and made.watched_lists is None:
        raise ConfigError(
            "discovery", "is missing, known lists no endpoints, and there is no membership table"
        )
    return made
