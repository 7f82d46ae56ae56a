"""What the configuration is read as, and what is said of each key that is wrong."""

import copy
import dataclasses
import enum
import json
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import tomli_w

from tests.golden.stored import HERE, lines, operator_file
from umberlead import configuration

WRONG: tuple[Any, ...] = ("soon", "", -2, 1 << 70, True, [], {}, [{"a": 1}])


def leaves(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Paths of all keys and rows."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in rows:
        yield (*path, key)
        yield from leaves(inner, (*path, key))


def parsed(value: Any, folder: Path) -> Any:
    """A configuration's values in order, without the names that they have in the program."""
    if dataclasses.is_dataclass(value):
        return [parsed(getattr(value, field.name), folder) for field in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [parsed(inner, folder) for inner in value]
    if isinstance(value, dict):
        return {key: parsed(inner, folder) for key, inner in value.items()}
    if isinstance(value, enum.Enum):
        return value.value
    return str(value).replace(str(folder), "FOLDER") if isinstance(value, Path) else value


def settings_table(
    whole: dict[str, Any], read: Callable[[dict[str, Any]], configuration.Config], folder: Path
) -> bytes:
    """What `whole` is read as, and by key what comes of a wrong value, of none and of an unknown key."""

    def outcome(conf: dict[str, Any]) -> Any:
        try:
            return hash_of(read(conf))
        except configuration.ConfigError as fault:
            return [fault.key, str(fault).replace(str(folder), "FOLDER")]

    def hash_of(conf: configuration.Config) -> Any:
        return "as it was" if conf == sound else "taken"

    def altered(path: tuple[str | int, ...], change: Callable[[Any, str | int], None]) -> Any:
        conf = copy.deepcopy(whole)
        inner: Any = conf
        for part in path[:-1]:
            inner = inner[part]
        change(inner, path[-1])
        return outcome(conf)

    def put(value: Any) -> Callable[[Any, str | int], None]:
        return lambda inner, key: inner.__setitem__(key, copy.deepcopy(value))

    sound, table = read(whole), dict[str, Any]()
    for path in leaves(whole):
        row = {repr(value): altered(path, put(value)) for value in WRONG}
        row["left out"] = altered(path, lambda inner, key: inner.__delitem__(key))
        if isinstance(path[-1], str):
            row["unknown"] = altered((*path[:-1], "unknown"), put(1))
        table[".".join(map(str, path))] = row
    return lines([parsed(sound, folder), table])


def settings_platform(folder: Path) -> bytes:
    """The platform's JSON."""
    path = folder / "conf.json"

    def read(conf: dict[str, Any]) -> configuration.Config:
        path.write_text(json.dumps(conf))
        return configuration.load({"EDGE_CONFIG": str(path), "TMPDIR": str(folder)})

    return settings_table(json.loads((HERE / "platform.json").read_bytes()), read, folder)


def settings_operator(folder: Path) -> bytes:
    """An operator's TOML."""

    def read(conf: dict[str, Any]) -> configuration.Config:
        return configuration.load(
            {"UMBERLEAD_CONFIG": str(operator_file(folder, tomli_w.dumps(conf).encode()))}
        )

    whole = tomllib.loads((HERE / "operator.toml").read_text())
    return settings_table(whole, read, folder)


FILES: dict[str, Callable[[Path], bytes]] = {
    "settings_platform.json": settings_platform,
    "settings_operator.json": settings_operator,
}
