"""Reads the TOML file of an experiment: the scripts, seeds, versions and configurations to combine.

The whole file is checked; an error names the file and the key.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

KEYS = {"name", "scripts", "seeds", "driver", "baseline", "version", "configuration", "measures"}
DRIVERS = ("virtual", "sockets")
MAX_RUNS = 20_000


class BadMatrix(ValueError):
    """An experiment's file is invalid; the text names the file and the key."""


@dataclass(frozen=True, slots=True)
class Version:
    """A version of this repository: `rev` is a git revision, or empty for the working tree."""

    name: str
    rev: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Changes of the fronts' settings and of the emulator's figures, by dotted keys."""

    name: str
    settings: dict[str, Any] = field(default_factory=dict)
    figures: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the matrix."""

    script: Path
    seed: int
    version: Version
    configuration: Configuration
    driver: str

    @property
    def arm(self) -> str:
        """`VERSION/CONFIGURATION`; experiments compare these arms."""
        return f"{self.version.name}/{self.configuration.name}"


@dataclass(slots=True)
class Matrix:
    """An experiment: all combinations of its scripts, seeds, versions and configurations are run."""

    name: str
    scripts: list[Path]
    seeds: list[int]
    versions: list[Version]
    configurations: list[Configuration]
    driver: str
    baseline: str
    measures: list[str]

    def runs(self) -> Iterator[Run]:
        """Yield the runs seed by seed, so that an experiment stopped early has complete pairs."""
        for seed in self.seeds:
            for script in self.scripts:
                for version in self.versions:
                    for configuration in self.configurations:
                        yield Run(script, seed, version, configuration, self.driver)


def _checked_seeds(value: Any, error: Any) -> list[int]:
    if isinstance(value, dict) and set(value) == {"from", "to"}:
        value = (
            list(range(value["from"], value["to"] + 1))
            if all(isinstance(v, int) for v in value.values())
            else None
        )
    valid = isinstance(value, list) and value and all(isinstance(v, int) and v >= 0 for v in value)
    if not valid:
        raise error("seeds", "must be a list of whole numbers, or { from = 1, to = 8 }")
    if len(set(value)) != len(value):
        raise error("seeds", "names a seed twice")
    return list(value)


def _flatten(value: Any, error: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise error(key, "must be a table")
    flattened: dict[str, Any] = {}
    for name, inner in value.items():
        if isinstance(inner, dict):
            flattened |= {f"{name}.{k}": v for k, v in _flatten(inner, error, f"{key}.{name}").items()}
        else:
            flattened[name] = inner
    return flattened


def read(path: Path) -> Matrix:
    """Read and check an experiment's file.

    Raises:
        BadMatrix: The file can't be read or is invalid.
    """
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError) as read_error:
        raise BadMatrix(f"{path}: {read_error}") from None

    def error(key: str, why: str) -> BadMatrix:
        return BadMatrix(f"{path.name}: {key}: {why}")

    for key in table:
        if key not in KEYS:
            raise error(key, f"is unknown; known are {', '.join(sorted(KEYS))}")
    scripts = table.get("scripts")
    if not isinstance(scripts, list) or not scripts or not all(isinstance(s, str) for s in scripts):
        raise error("scripts", "must be a list of files")
    script_paths = [path.parent / s for s in scripts]
    for n, file in enumerate(script_paths):
        if not file.is_file():
            raise error(f"scripts.{n}", f"no such file: {file}")
    driver = table.get("driver", "virtual")
    if driver not in DRIVERS:
        raise error("driver", f"must be one of {', '.join(DRIVERS)}, not {driver!r}")
    versions = [
        Version(*_checked_name_and_revision(v, n, "version", {"name", "rev"}, error))
        for n, v in _table_rows(table, "version", error)
    ]
    configurations = []
    for n, row in _table_rows(table, "configuration", error):
        _checked_name_and_revision(row, n, "configuration", {"name", "settings", "figures"}, error)
        row_key = f"configuration.{n}"
        configurations.append(
            Configuration(
                row["name"],
                _flatten(row.get("settings", {}), error, f"{row_key}.settings"),
                _flatten(row.get("figures", {}), error, f"{row_key}.figures"),
            )
        )
    versions = versions or [Version("here")]
    configurations = configurations or [Configuration("plain")]
    for key, names in (
        ("version", [v.name for v in versions]),
        ("configuration", [c.name for c in configurations]),
    ):
        if len(set(names)) != len(names):
            raise error(key, "two have the same name")
    arms = [f"{v.name}/{c.name}" for v in versions for c in configurations]
    baseline = table.get("baseline", arms[0])
    if baseline not in arms:
        raise error("baseline", f"must be one of {', '.join(arms)}, not {baseline!r}")
    measures = table.get("measures", ["service", "whole", "worst_10s", "worst_class", "waste"])
    if not isinstance(measures, list) or not all(isinstance(m, str) for m in measures):
        raise error("measures", "must be a list of names")
    matrix = Matrix(
        str(table.get("name", path.stem)),
        script_paths,
        _checked_seeds(table.get("seeds"), error),
        versions,
        configurations,
        driver,
        baseline,
        measures,
    )
    count = len(matrix.seeds) * len(script_paths) * len(arms)
    if count > MAX_RUNS:
        raise error("seeds", f"the matrix has {count} runs, more than {MAX_RUNS}")
    return matrix


def _table_rows(table: dict[str, Any], key: str, error: Any) -> list[tuple[int, Any]]:
    rows = table.get(key, [])
    if not isinstance(rows, list):
        raise error(key, f"must be given as [[{key}]]")
    return list(enumerate(rows))


def _checked_name_and_revision(row: Any, n: int, key: str, known: set[str], error: Any) -> tuple[str, str]:
    if not isinstance(row, dict) or not isinstance(row.get("name"), str) or not row["name"]:
        raise error(f"{key}.{n}", "needs a name")
    if "/" in row["name"]:
        raise error(f"{key}.{n}.name", "must not hold a slash")
    for name in row:
        if name not in known:
            raise error(f"{key}.{n}.{name}", f"is unknown; known are {', '.join(sorted(known))}")
    return row["name"], str(row.get("rev", ""))
