"""Compares the arms of an experiment by differences between the same days, without I/O.

A day is identified by script, scenario and seed; an arm by version and configuration.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from scipy import stats

LEVEL = 0.95
Day = tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class Mean:
    """A mean with its confidence interval, which is unbounded if there is only one value."""

    mean: float
    low: float
    high: float
    n: int

    def words(self) -> str:
        """The mean, its interval and the number of values as text."""
        return f"{self.mean:+.4f} ({self.low:+.4f} to {self.high:+.4f}, n {self.n})"


@dataclass(frozen=True, slots=True)
class Pair:
    """The difference of an arm from the baseline over the days that both have results for."""

    arm: str
    measure: str
    difference: Mean
    better: int  # number of days on which the arm has the higher value
    worse: int

    @property
    def told(self) -> str:
        """The sign of the difference, if its interval excludes 0."""
        if self.difference.n < 2 or self.difference.low <= 0 <= self.difference.high:
            return "not told apart"
        return "higher" if self.difference.low > 0 else "lower"


def mean_of(values: list[float]) -> Mean:
    """Return the mean of `values` with Student's confidence interval at LEVEL."""
    n = len(values)
    if not n:
        raise ValueError("no values")
    mean = math.fsum(values) / n
    if n == 1:
        return Mean(mean, -math.inf, math.inf, 1)
    standard_error = math.sqrt(math.fsum((v - mean) ** 2 for v in values) / (n - 1) / n)
    half_width = float(stats.t.ppf((1 + LEVEL) / 2, n - 1)) * standard_error
    return Mean(mean, mean - half_width, mean + half_width, n)


def by_arm(rows: Iterable[dict[str, Any]], measure: str) -> dict[str, dict[Day, float]]:
    """Return a measure's whole-day values by arm and day."""
    values: dict[str, dict[Day, float]] = defaultdict(dict)
    for row in rows:
        if row["measure"] == measure and row["second"] < 0:
            arm = f"{row['version']}/{row['configuration']}"
            values[arm][row["script"], row["scenario"], row["seed"]] = row["value"]
    return dict(values)


def pairs(rows: list[dict[str, Any]], measure: str, baseline: str) -> list[Pair]:
    """Compare every other arm with the baseline; the highest mean difference comes first."""
    arms = by_arm(rows, measure)
    baseline_days = arms.get(baseline, {})
    compared = []
    for arm, days in arms.items():
        differences = [days[d] - baseline_days[d] for d in sorted(days) if d in baseline_days]
        if arm != baseline and differences:
            better, worse = sum(a > 0 for a in differences), sum(a < 0 for a in differences)
            compared.append(Pair(arm, measure, mean_of(differences), better, worse))
    return sorted(compared, key=lambda p: (-p.difference.mean, p.arm))


def ranking(rows: list[dict[str, Any]], measure: str = "service") -> list[tuple[str, Mean]]:
    """Rank the arms by their mean over the days that all arms have, the highest first."""
    arms = by_arm(rows, measure)
    shared = set.intersection(*(set(days) for days in arms.values())) if arms else set()
    if not shared:
        return []
    means = [(arm, mean_of([days[d] for d in sorted(shared)])) for arm, days in arms.items()]
    return sorted(means, key=lambda row: (-row[1].mean, row[0]))


def over_time(rows: list[dict[str, Any]], script: str, scenario: str) -> dict[str, list[float]]:
    """Return, for each arm, the mean service in each second of the day."""
    values: dict[str, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        series = (row["measure"], row["script"], row["scenario"])
        if series == ("service", script, scenario) and row["second"] >= 0:
            values[f"{row['version']}/{row['configuration']}"][row["second"]].append(row["value"])
    return {
        arm: [math.fsum(v) / len(v) for _, v in sorted(seconds.items())]
        for arm, seconds in sorted(values.items())
    }
