"""Reduces a failing scenario to a smaller one that still fails the same expectation.

The search is greedy and bounded: it tries to remove one load, change, server of a change, or half of a load's
time at a time, and keeps each removal after which the expectation still fails. The result is small, but not
proved to be minimal. The same suite gives the same result, since each run uses the scenario's seed.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from umberlead.routing_tests.model import Collection, Expectation, Happening, Load, Outcome, Scenario
from umberlead.routing_tests.running import trace_requests
from umberlead.routing_tests.suites import LoadedSuite
from umberlead.routing_tests.verdict import judged
from umberlead.routing_tests.world import UnlistedServerError

MAX_PLAY_COUNT = 200
MIN_HALVED_LOAD_US = 100_000  # a load is halved only if each half lasts at least this long


@dataclass(frozen=True, slots=True)
class ReducedScenario:
    """The smallest scenario found that still fails."""

    scenario: Scenario
    requests: int  # number of requests of `scenario`
    before: int  # number of requests of the scenario as written
    plays: int
    cut: bool  # whether the search ended at the limit of plays


def smallest(
    loaded: LoadedSuite, expectation: Expectation, scenario: Scenario, max_plays: int = MAX_PLAY_COUNT
) -> ReducedScenario | None:
    """Reduces `scenario` with `expectation` as its only one, in at most `max_plays` plays.

    Returns None if the scenario does not fail it, or if it is a `may` rule, which needs no play.
    """
    plays = 0

    def fails(candidate: Scenario) -> int:
        """The number of requests if the candidate fails the expectation, otherwise 0."""
        nonlocal plays
        plays += 1
        try:
            traces, scheduler_errors = trace_requests(loaded, candidate)
        except UnlistedServerError:
            return 0
        failed = (
            not scheduler_errors
            and judged(expectation, traces, loaded.settings, candidate.name).outcome is Outcome.FAILED
        )
        return len(traces) if failed else 0

    if expectation.rule.startswith("may"):
        return None
    best = replace(scenario, expectations=[expectation])
    best_count = original_count = fails(best)
    if not original_count:
        return None
    reduced = True
    while reduced and plays < max_plays:
        reduced = False
        for smaller in _reductions(best):
            if plays >= max_plays:
                break
            if request_count := fails(smaller):
                best = smaller
                best_count = request_count
                reduced = True
                break
    return ReducedScenario(best, best_count, original_count, plays, plays >= max_plays)


def _reductions(scenario: Scenario) -> Iterator[Scenario]:
    """Yields each scenario that has one thing less: loads first, then changes, half loads, and servers."""
    for index in range(len(scenario.loads)):
        if len(scenario.loads) > 1:
            yield replace(scenario, loads=scenario.loads[:index] + scenario.loads[index + 1 :])
    for index in range(len(scenario.happenings)):
        yield replace(scenario, happenings=scenario.happenings[:index] + scenario.happenings[index + 1 :])
    for index, load in enumerate(scenario.loads):
        half = (load.end_us - load.begin_us) // 2
        if half >= MIN_HALVED_LOAD_US:
            for begin, end in ((load.begin_us, load.begin_us + half), (load.begin_us + half, load.end_us)):
                yield replace(
                    scenario,
                    loads=[
                        *scenario.loads[:index],
                        replace(load, begin_us=begin, end_us=end),
                        *scenario.loads[index + 1 :],
                    ],
                )
    for index, happening in enumerate(scenario.happenings):
        for name in happening.servers if len(happening.servers) > 1 else ():
            fewer = replace(happening, servers=tuple(n for n in happening.servers if n != name))
            yield replace(
                scenario, happenings=[*scenario.happenings[:index], fewer, *scenario.happenings[index + 1 :]]
            )


# The reduced scenario as a suite


def suite(reduced: ReducedScenario, loaded: LoadedSuite, config: Path, listed: Path, folder: Path) -> str:
    """The text of a suite with the reduced scenario; list files are looked up in `folder`."""
    scenario = reduced.scenario
    expected = scenario.expectations[0]
    collections = [
        loaded.suite.collections[n] for n in dict.fromkeys(load.collection for load in scenario.loads)
    ]
    if expected.selector.collection and all(c.name != expected.selector.collection for c in collections):
        collections.append(loaded.suite.collections[expected.selector.collection])
    lines = ["format 1", f"config {config}", f"list {listed}"]
    for name in dict.fromkeys(re.findall(r"@([^\s#]+)", expected.text)):
        lines.append(f"group {name} {' '.join(loaded.suite.groups['@' + name])}")
    lines += [_collection(c) for c in collections]
    lines.append(f"scenario {scenario.name} seed {scenario.seed}")
    lines += [_load(load) for load in scenario.loads]
    lines += [_happening(happening, folder) for happening in scenario.happenings]
    lines.append(expected.text)
    comment = f"# Smallest failing scenario found for {loaded.suite.file}:{expected.place.line}: "
    comment += f"{reduced.requests} of {reduced.before} requests."
    return "\n".join([comment, *lines, f"end {len(lines)}", ""])


def _time(us: int) -> str:
    return f"{us / 1000:.3f}".rstrip("0").rstrip(".") + "ms"


def _number(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def _collection(collection: Collection) -> str:
    shards = ",".join(map(str, collection.shards))
    return (
        f"collection {collection.name} plan {collection.plan} shards {shards}"
        f" volumes {collection.volumes} hosts {collection.hosts}"
    )


def _load(load: Load) -> str:
    statement = f"load {load.collection} class {load.class_name} rate {_number(load.requests_per_second)}"
    statement += f" from {_time(load.begin_us)} to {_time(load.end_us)} units {_number(load.units)}"
    return statement + (" new" if load.new else "")


def _happening(happening: Happening, folder: Path) -> str:
    at = f"at {_time(happening.at_us)}"
    names = " ".join(happening.servers)
    if happening.kind == "list":
        return f"{at} list {folder / happening.label}"
    if happening.kind == "slow":
        return f"{at} slow {_number(happening.value)} {names}"
    if happening.kind == "outcome":
        return f"{at} outcome {happening.label} part {_number(100 * happening.value)}% {names}"
    return f"{at} {happening.kind} {names}"
