"""The operators' figures, from one file that names each one's source. A day draws from them by its seed
alone."""

import random
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

PUBLISHED = Path(__file__).with_name("figures.toml")


class FigureError(ValueError):
    """A figure that is missing, or not of its form; the text names file and key."""


class Group:
    """Figures of one table. A range is drawn from, a single value is itself."""

    def __init__(self, got: Mapping[str, Any], where: str) -> None:
        self.where, self.got = where, got

    def entry(self, key: str) -> Any:
        entry = self.got.get(key)
        if not isinstance(entry, dict) or "is" not in entry:
            raise FigureError(f"{self.where}.{key}: must be a table with `is` and `source`")
        if not str(entry.get("source", "")).strip():
            raise FigureError(f"{self.where}.{key}: names no source")
        return entry["is"]

    def range(self, key: str) -> tuple[float, float]:
        value = self.entry(key)
        ends = value if isinstance(value, list) else [value, value]
        sound = len(ends) == 2 and all(isinstance(e, int | float) and not isinstance(e, bool) for e in ends)
        if not sound or ends[0] > ends[1]:
            raise FigureError(f"{self.where}.{key}: must be a number or [lowest, highest], not {value!r}")
        return float(ends[0]), float(ends[1])

    def draw(self, key: str, chance: random.Random) -> float:
        return chance.uniform(*self.range(key))

    def draw_int(self, key: str, chance: random.Random) -> int:
        low, high = self.range(key)
        return chance.randint(round(low), round(high))

    def one(self, key: str) -> float:
        low, high = self.range(key)
        if low != high:
            raise FigureError(f"{self.where}.{key}: must be one number")
        return low

    def text(self, key: str) -> str:
        return str(self.entry(key))

    def flag(self, key: str) -> bool:
        return self.entry(key) is True

    @property
    def name(self) -> str:
        if not isinstance(self.got.get("name"), str):
            raise FigureError(f"{self.where}.name: is missing")
        return str(self.got["name"])


class Figures:
    """A whole file of them."""

    def __init__(self, path: Path = PUBLISHED) -> None:
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

        self.node, self.cold, self.links = group("node"), group("cold"), group("links")
        self.reports, self.list, self.clients = group("reports"), group("list"), group("clients")
        self.traffic, self.worth = group("traffic"), group("worth")
        self.classes, self.plans = groups("class"), groups("plan")
