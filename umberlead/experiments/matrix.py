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
RUNS_MOST = 20_000


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
        """The version and configuration, which the comparison is between."""
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


def _seeds(value: Any, bad: Any) -> list[int]:
    if isinstance(value, dict) and set(value) == {"from", "to"}:
        value = (
            list(range(value["from"], value["to"] + 1))
            if all(isinstance(v, int) for v in value.values())
            else None
        )
    whole = isinstance(value, list) and value and all(isinstance(v, int) and v >= 0 for v in value)
    if not whole:
        raise bad("seeds", "must be a list of whole numbers, or { from = 1, to = 8 }")
    if len(set(value)) != len(value):
        raise bad("seeds", "names a seed twice")
    return list(value)


def _flat(value: Any, bad: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise bad(key, "must be a table")
    made: dict[str, Any] = {}
    for name, inner in value.items():
        if isinstance(inner, dict):
            made |= {f"{name}.{k}": v for k, v in _flat(inner, bad, f"{key}.{name}").items()}
        else:
            made[name] = inner
    return made


def read(path: Path) -> Matrix:
    """Read and check an experiment's file.

    Raises:
        BadMatrix: The file can't be read or is invalid.
    """
    try:
        got = tomllib.loads(path.read_text())
    except (OSError, ValueError) as fault:
        raise BadMatrix(f"{path}: {fault}") from None

    def bad(key: str, why: str) -> BadMatrix:
        return BadMatrix(f"{path.name}: {key}: {why}")

    for key in got:
        if key not in KEYS:
            raise bad(key, f"is unknown; known are {', '.join(sorted(KEYS))}")
    scripts = got.get("scripts")
    if not isinstance(scripts, list) or not scripts or not all(isinstance(s, str) for s in scripts):
        raise bad("scripts", "must be a list of files")
    files = [path.parent / s for s in scripts]
    for n, file in enumerate(files):
        if not file.is_file():
            raise bad(f"scripts.{n}", f"no such file: {file}")
    driver = got.get("driver", "virtual")
    if driver not in DRIVERS:
        raise bad("driver", f"must be one of {', '.join(DRIVERS)}, not {driver!r}")
    versions = [
        Version(*_named(v, n, "version", {"name", "rev"}, bad)) for n, v in _rows(got, "version", bad)
    ]
    configurations = []
    for n, row in _rows(got, "configuration", bad):
        _named(row, n, "configuration", {"name", "settings", "figures"}, bad)
        of = f"configuration.{n}"
        configurations.append(
            Configuration(
                row["name"],
                _flat(row.get("settings", {}), bad, f"{of}.settings"),
                _flat(row.get("figures", {}), bad, f"{of}.figures"),
            )
        )
    versions = versions or [Version("here")]
    configurations = configurations or [Configuration("plain")]
    for key, names in (
        ("version", [v.name for v in versions]),
        ("configuration", [c.name for c in configurations]),
    ):
        if len(set(names)) != len(names):
            raise bad(key, "two have the same name")
    arms = [f"{v.name}/{c.name}" for v in versions for c in configurations]
    baseline = got.get("baseline", arms[0])
    if baseline not in arms:
        raise bad("baseline", f"must be one of {', '.join(arms)}, not {baseline!r}")
    measures = got.get("measures", ["service", "whole", "worst_10s", "worst_class", "waste"])
    if not isinstance(measures, list) or not all(isinstance(m, str) for m in measures):
        raise bad("measures", "must be a list of names")
    made = Matrix(
        str(got.get("name", path.stem)),
        files,
        _seeds(got.get("seeds"), bad),
        versions,
        configurations,
        driver,
        baseline,
        measures,
    )
    count = len(made.seeds) * len(files) * len(arms)
    if count > RUNS_MOST:
        raise bad("seeds", f"the matrix has {count} runs, more than {RUNS_MOST}")
    return made


def _rows(got: dict[str, Any], key: str, bad: Any) -> list[tuple[int, Any]]:
    rows = got.get(key, [])
    if not isinstance(rows, list):
        raise bad(key, f"must be given as [[{key}]]")
    return list(enumerate(rows))


def _named(row: Any, n: int, key: str, known: set[str], bad: Any) -> tuple[str, str]:
    if not isinstance(row, dict) or not isinstance(row.get("name"), str) or not row["name"]:
        raise bad(f"{key}.{n}", "needs a name")
    if "/" in row["name"]:
        raise bad(f"{key}.{n}.name", "must not hold a slash")
    for name in row:
        if name not in known:
            raise bad(f"{key}.{n}.{name}", f"is unknown; known are {', '.join(sorted(known))}")
    return row["name"], str(row.get("rev", ""))
