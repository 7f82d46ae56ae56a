"""The operators' figures, read from a file that names the source of each.

A scenario draws values from them with its seed as the only source of randomness.
"""

import random
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

PUBLISHED = Path(__file__).with_name("figures.toml")


class FigureError(ValueError):
    """A figure is missing or malformed; the text names the file and the key."""


class Group:
    """Figures of one table: ranges to draw from, and single values.

    All methods raise `FigureError` for a figure that is missing or malformed.
    """

    def __init__(self, got: Mapping[str, Any], where: str) -> None:
        """Read the table `got`; `where` names it in errors."""
        self.where = where
        self.got = got

    def entry(self, key: str) -> Any:
        """Return a value as the file has it; a figure must name its source."""
        entry = self.got.get(key)
        if not isinstance(entry, dict) or "is" not in entry:
            raise FigureError(f"{self.where}.{key}: must be a table with `is` and `source`")
        if not str(entry.get("source", "")).strip():
            raise FigureError(f"{self.where}.{key}: names no source")
        return entry["is"]

    def range(self, key: str) -> tuple[float, float]:
        """Return the lowest and the highest value; they are equal for a single number."""
        value = self.entry(key)
        ends = value if isinstance(value, list) else [value, value]
        sound = len(ends) == 2 and all(isinstance(e, int | float) and not isinstance(e, bool) for e in ends)
        if not sound or ends[0] > ends[1]:
            raise FigureError(f"{self.where}.{key}: must be a number or [lowest, highest], not {value!r}")
        return float(ends[0]), float(ends[1])

    def draw(self, key: str, chance: random.Random) -> float:
        """Draw a value uniformly from a range."""
        return chance.uniform(*self.range(key))

    def draw_int(self, key: str, chance: random.Random) -> int:
        """Draw a whole number from a range, its ends included."""
        low, high = self.range(key)
        return chance.randint(round(low), round(high))

    def one(self, key: str) -> float:
        """Return a single number."""
        low, high = self.range(key)
        if low != high:
            raise FigureError(f"{self.where}.{key}: must be one number")
        return low

    def text(self, key: str) -> str:
        """Return a value as text."""
        return str(self.entry(key))

    def flag(self, key: str) -> bool:
        """Return whether a value is true."""
        return self.entry(key) is True

    @property
    def name(self) -> str:
        """Return the name of the class or plan that the table describes."""
        if not isinstance(self.got.get("name"), str):
            raise FigureError(f"{self.where}.name: is missing")
        return str(self.got["name"])


class Figures:
    """All tables of a file."""

    def __init__(self, path: Path = PUBLISHED) -> None:
        """Read the file at `path`.

        Raises:
            FigureError: the file can't be read, or a table is missing.
        """
        try:
            got = tomllib.loads(path.read_text())
        except (OSError, ValueError) as fault:
            raise FigureError(f"{path}: {fault}") from None

        def group(key: str) -> Group:
            if not isinstance(got.get(key), dict):
                raise FigureError(f"{path.name}: {key}: the table is missing")
            return Group(got[key], f"{path.name}: {key}")

        def groups(key: str) -> list[Group]:
            rows = got.get(key)
            if not isinstance(rows, list) or not rows:
                raise FigureError(f"{path.name}: {key}: needs at least one [[{key}]]")
            return [Group(row, f"{path.name}: {key}.{n}") for n, row in enumerate(rows)]

        self.node = group("node")
        self.cold = group("cold")
        self.links = group("links")
        self.reports = group("reports")
        self.list = group("list")
        self.clients = group("clients")
        self.traffic = group("traffic")
        self.worth = group("worth")
        self.classes = groups("class")
        self.plans = groups("plan")
