"""Reads a process's configuration from the platform's JSON file or from an operator's TOML file."""

import json
import os
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from umberlead.configuration.discovery_message import parse_discovery_message
from umberlead.configuration.errors import ConfigError
from umberlead.configuration.keys import Keys, flatten
from umberlead.configuration.membership_table import parse_membership
from umberlead.configuration.objects_table import parse_objects
from umberlead.configuration.process_config import Config
from umberlead.configuration.request_settings import parse_settings
from umberlead.configuration.rooms_table import parse_zones

DEFAULT_NAME = "front"
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
PLATFORM_VARIABLES = {
    "EDGE_NAME": "name",
    "EDGE_LISTEN": "listen",
    "EDGE_DISCOVERY": "discovery",
    "EDGE_MANAGEMENT": "management",
}
LOG_LEVELS = {name: name for name in ("debug", "info", "warning", "error")}
COLLECTOR_SCHEMES = ("tcp://", "unix://")
DEFAULT_MAX_RETRY_AFTER_US = 500_000
DEFAULT_KEEPALIVE_US = 15_000_000
# A response must reach its client within 15 ms after the request's deadline here. A coarser tick would miss
# that.
MIN_TICK_US = 100
MAX_TICK_US = 2000


def load(environment: Mapping[str, str] | None = None) -> Config:
    """Load the configuration file that the environment names.

    Args:
        environment: The environment variables; by default those of the process. `UMBERLEAD_CONFIG` has
            precedence over `EDGE_CONFIG`.

    Raises:
        ConfigError: The configuration cannot be read, is invalid, or defines no listener or no endpoints.
    """
    environment = os.environ if environment is None else environment
    source = "UMBERLEAD_CONFIG" if environment.get("UMBERLEAD_CONFIG") else "EDGE_CONFIG"
    if source not in environment:
        raise ConfigError("EDGE_CONFIG", "is not set, and neither is UMBERLEAD_CONFIG")
    try:
        if source == "EDGE_CONFIG":
            config = load_platform(environment)
        else:
            config = load_operator_file(environment[source])
    except RecursionError:
        raise ConfigError(source, "is nested too deeply") from None
    _check_has_listener(config)
    _check_has_endpoints(config)
    return config


def _check_has_listener(config: Config) -> None:
    if config.listen is None and config.object_api is None:
        raise ConfigError("listen", "neither the platform front nor the object front is set up")


def _check_has_endpoints(config: Config) -> None:
    if config.discovery is None and not config.known_endpoints.endpoints and config.watched_lists is None:
        raise ConfigError(
            "discovery", "is missing, known lists no endpoints, and there is no membership table"
        )


def load_platform(environment: Mapping[str, str]) -> Config:
    """Load the configuration from the platform's environment variables and the JSON file they name.

    Raises:
        ConfigError: The file cannot be read, or a value is invalid.
    """
    try:
        # json decodes bytes as UTF-8, regardless of the locale.
        values = json.loads(Path(environment["EDGE_CONFIG"]).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError("EDGE_CONFIG", str(error)) from None
    if not isinstance(values, dict):
        raise ConfigError("EDGE_CONFIG", "must hold an object")
    for variable, key in PLATFORM_VARIABLES.items():
        # The file has precedence over the environment, because it can be replaced while the process runs.
        if variable in environment and values.get(key) is None:
            values[key] = environment[variable]
    keys = Keys(values)
    setting_values = flatten(keys.table("settings").values)
    name = keys.text("name", DEFAULT_NAME)
    listen = keys.address("listen")
    discovery = keys.address("discovery")
    admin_listen = keys.address("management") if keys.raw("management") is not None else None
    temporary_folder = environment.get("TMPDIR")
    return replace(
        _common_config(keys, setting_values),
        name=name,
        listen=listen,
        discovery=discovery,
        admin_listen=admin_listen,
        state_folder=Path(temporary_folder) / "umberlead" if temporary_folder else None,
    )


def load_operator_file(path: str) -> Config:
    """Load the configuration from an operator's TOML file.

    The file has the keys of the platform's JSON file and additional tables. Paths in it are relative to its
    folder.

    Raises:
        ConfigError: The file cannot be read, a table is unknown, or a value is invalid.
    """
    file = Path(path)
    values = _read_toml(file)
    keys = Keys(values)
    keys.reject_unknown(OPERATOR_TABLES)
    log = keys.table("log")
    plugins = keys.table("plugins")
    setting_values = flatten(keys.table("settings").values)
    common = _common_config(keys, setting_values)
    plugin_paths = _plugin_paths(plugins, file.parent)
    log_collector = _log_collector(log)
    return replace(
        common,
        name=keys.text("name", DEFAULT_NAME),
        listen=keys.address("listen") if "listen" in values else None,
        discovery=keys.address("discovery") if "discovery" in values else None,
        admin_listen=keys.address("management") if "management" in values else None,
        object_api=(
            parse_objects(keys.table("objects"), setting_values, common.settings)
            if "objects" in values
            else None
        ),
        watched_lists=(
            parse_membership(keys.table("membership"), file.parent) if "membership" in values else None
        ),
        zones=parse_zones(keys.table("rooms"), file.parent) if "rooms" in values else None,
        # Never taken from the environment: processes with other files may share the same $TMPDIR.
        state_folder=file.parent / keys.text("state", "") if "state" in values else None,
        plugin_paths=plugin_paths,
        plugin_timeout_us=int(plugins.number("limit_ms", 5, 0.1, 1000) * 1000),
        log_collector=log_collector,
        log_level=log.choice("level", LOG_LEVELS, "info"),
    )


def _read_toml(file: Path) -> dict[str, Any]:
    import tomllib  # imported here because each import delays the start of a process on the platform

    try:
        return tomllib.loads(file.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError("UMBERLEAD_CONFIG", str(error)) from None


def _common_config(keys: Keys, setting_values: dict[str, Any]) -> Config:
    """Return the part of the configuration that both sources define alike, with the default name."""
    setting_keys = Keys(setting_values, "settings")
    # Like a missing value, 0 selects the default.
    retry_after_us = setting_keys.integer("bounds.maxRetryAfter", DEFAULT_MAX_RETRY_AFTER_US)
    known = keys.values.get("known")
    return Config(
        name=DEFAULT_NAME,
        seed=_seed(keys),
        settings=parse_settings(setting_values),
        load_fields=setting_keys.texts("loadReport.fields"),
        known_endpoints=parse_discovery_message({} if known is None else known, "known"),
        max_descriptors=keys.table("limits").integer("sockets", 1024, 32, 1_000_000),
        cores=keys.table("limits").number("cores", 1.0, 0.01, 1024),
        memory_limit_bytes=keys.table("limits").integer("memory_mb", 192, 16, 1 << 20) << 20,
        keepalive_us=setting_keys.integer("bounds.keepalive", DEFAULT_KEEPALIVE_US, 1),
        # The setting is the simulator's interval between batches, which can be arbitrarily coarse.
        tick_us=min(max(setting_keys.integer("tick", MAX_TICK_US, 1), MIN_TICK_US), MAX_TICK_US),
        retry_after_us=retry_after_us or DEFAULT_MAX_RETRY_AFTER_US,
    )


def _seed(keys: Keys) -> int:
    text = keys.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError:
        raise keys.error("seed", f"must be hex digits, not {text!r}") from None


def _plugin_paths(plugins: Keys, folder: Path) -> tuple[Path, ...]:
    paths = []
    for index, script in enumerate(plugins.items("scripts")):
        path = folder / str(script)
        # Unlike the methods of Path, this one raises no error for a path that no file can have.
        if not os.path.isfile(path):
            raise plugins.error(f"scripts.{index}", f"no such file: {path}")
        paths.append(path.resolve())
    return tuple(paths)


def _log_collector(log: Keys) -> str:
    collector = log.text("collector", "")
    if collector and not collector.startswith(COLLECTOR_SCHEMES):
        raise log.error("collector", "must begin with tcp:// or unix://")
    if collector.startswith("tcp://"):
        log.parse_address("collector", collector.removeprefix("tcp://"))
    return collector
