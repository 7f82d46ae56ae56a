"""Reads typed, checked values by key, for JSON, TOML and the simulator's path=value pairs alike."""

import re
from collections.abc import Mapping
from typing import Any

from umberlead.configuration.errors import ConfigError

Address = tuple[str, int]

HOST_PATTERN = re.compile(r"[!-~]{1,255}")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_TABLES_COUNT = 1000
MAX_INTEGER = 1 << 62


class Keys:
    """A mapping of (dotted) keys that checks each value as it is read.

    A value of None or "-" counts as missing. All readers raise `ConfigError` with the key's full name if the
    value is invalid, or if it is missing and there is no default.

    Attributes:
        values: The values by key, unchecked.
        prefix: The full name of the table that the keys belong to; "" for the top level.
    """

    def __init__(self, values: Mapping[str, Any], prefix: str = "") -> None:
        """Read from `values`, the table named `prefix`."""
        self.values = values
        self.prefix = prefix

    def raw(self, key: str) -> Any:
        """Return the unchecked value, or None if it is missing."""
        value = self.values.get(key)
        return None if value in (None, "-") else value

    def full_name(self, key: str) -> str:
        """Return the key prefixed with the name of its table."""
        return f"{self.prefix}.{key}" if self.prefix else key

    def error(self, key: str, reason: str) -> ConfigError:
        """Return an error for the key; `reason` says why its value is invalid."""
        return ConfigError(self.full_name(key), reason)

    def number(self, key: str, default: float | None = None, low: float = 0.0, high: float = 1e18) -> float:
        """Return a number from `low` to `high`; text that represents a number is accepted."""
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
        """Return a number of at least `low`, or 0, which means "none" and is also the default."""
        return self.number(key, 0.0) and self.number(key, 0.0, low)

    def integer(self, key: str, default: int | None = None, low: int = 0, high: int = MAX_INTEGER) -> int:
        """Return a number from `low` to `high` with its fraction dropped."""
        return int(self.number(key, default, low, high))

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value as text.

        Without a default, the text must not be empty, and "-" is ordinary text rather than a missing value.
        """
        value = self.raw(key)
        if value is None and default is None:
            value = self.values.get(key)
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
        """Return a boolean; "true", "1", "false" and "0" are accepted too."""
        value = self.raw(key)
        if value is None:
            return default
        if value in (True, "true", "1"):
            return True
        if value in (False, "false", "0"):
            return False
        raise self.error(key, f"must be true or false, not {value!r}")

    def choice(self, key: str, choices: Mapping[str, Any], default: str) -> Any:
        """Return the entry of `choices` that a text selects."""
        text = self.text(key, default)
        if text not in choices:
            raise self.error(key, f"must be one of {', '.join(choices)}, not {text!r}")
        return choices[text]

    def table(self, key: str) -> "Keys":
        """Return the keys of a table; a missing table has no keys."""
        value = self.raw(key)
        if value is None:
            return Keys({}, self.full_name(key))
        if not isinstance(value, dict):
            raise self.error(key, "must be a table")
        return Keys(value, self.full_name(key))

    def texts(self, key: str) -> tuple[str, ...]:
        """Return the texts of a list, or of one comma-separated text, as the simulator sends it."""
        value = self.raw(key)
        items = value.split(",") if isinstance(value, str) else [] if value is None else value
        if not isinstance(items, list) or not all(isinstance(item, str) for item in items):
            raise self.error(key, f"must be a list of words, not {value!r}")
        return tuple(item for item in items if item)

    def table_indexes(self, key: str) -> range:
        """Return the indexes of a flattened list of tables, which must have at least one table."""
        count = self.integer(f"{key}.count", 0, 0, MAX_TABLES_COUNT)
        if not count:
            raise self.error(key, "must be a list of tables, one at least")
        return range(count)

    def items(self, key: str) -> list[Any]:
        """Return a list, or an empty list if it is missing."""
        value = self.raw(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self.error(key, "must be a list")
        return value

    def address(self, key: str, default: str | None = None) -> Address:
        """Return a HOST:PORT as a pair."""
        return self.parse_address(key, self.text(key, default))

    def parse_address(self, key: str, text: str) -> Address:
        """Return HOST:PORT or [HOST]:PORT as a pair; `key` is named in the error."""
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not HOST_PATTERN.fullmatch(host) or not PORT_PATTERN.fullmatch(port) or int(port) > 65535:
            raise self.error(key, f"must be host:port, not {text!r}")
        return host, int(port)

    def reject_unknown(self, known: tuple[str, ...]) -> None:
        """Raise `ConfigError` for the first key not in `known`; the message lists `known` in its order."""
        for key in self.values:
            if key not in known:
                raise self.error(str(key), f"is unknown; known are {', '.join(known)}")


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return nested settings by dotted path, as the simulator sends them.

    A list of tables becomes `path.count` and one path for each index. Tables and lists are also kept under
    their own path, so that reading one of them as a single value is an error instead of a missing value.
    """
    flattened: dict[str, Any] = {path: value} if path else {}
    if isinstance(value, dict):
        for key, inner in value.items():
            flattened |= flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        flattened[f"{path}.count"] = len(value)
        for index, inner in enumerate(value):
            flattened |= flatten(inner, f"{path}.{index}")
    return flattened
