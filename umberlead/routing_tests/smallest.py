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
from umberlead.routing_tests.suites import Ready
from umberlead.routing_tests.verdict import judged
from umberlead.routing_tests.world import UnlistedServerError

MAX_PLAY_COUNT = 200
MIN_HALVED_LOAD_US = 100_000  # a load is halved only if each half lasts at least this long


@dataclass(frozen=True, slots=True)
class Smallest:
    """The smallest scenario found that still fails."""

    scenario: Scenario
    requests: int  # number of requests of `scenario`
    before: int  # number of requests of the scenario as written
    plays: int
    cut: bool  # whether the search ended at the limit of plays


def smallest(
    ready: Ready, of: Expectation, scenario: Scenario, most: int = MAX_PLAY_COUNT
) -> Smallest | None:
    """Reduces `scenario` with `of` as its only expectation, in at most `most` plays.

    Returns None if the scenario does not fail `of`, or if `of` is a `may` rule, which needs no play.
    """
    plays = 0

    def fails(one: Scenario) -> int:
        """The number of requests if the scenario fails `of`; 0 if `of` holds or can't be decided."""
        nonlocal plays
        plays += 1
        try:
            lives, faults = trace_requests(ready, one)
        except UnlistedServerError:
            return 0
        bad = not faults and judged(of, lives, ready.settings, one.name).outcome is Outcome.FAILED
        return len(lives) if bad else 0

    if of.rule.startswith("may"):
        return None
    best = replace(scenario, expectations=[of])
    count = before = fails(best)
    if not before:
        return None
    moved = True
    while moved and plays < most:
        moved = False
        for smaller in _smaller(best):
            if plays >= most:
                break
            if got := fails(smaller):
                best = smaller
                count = got
                moved = True
                break
    return Smallest(best, count, before, plays, plays >= most)


def _smaller(of: Scenario) -> Iterator[Scenario]:
    """Yields each scenario that has one thing less: loads first, then changes, half loads, and servers."""
    for k in range(len(of.loads)):
        if len(of.loads) > 1:
            yield replace(of, loads=of.loads[:k] + of.loads[k + 1 :])
    for k in range(len(of.happenings)):
        yield replace(of, happenings=of.happenings[:k] + of.happenings[k + 1 :])
    for k, load in enumerate(of.loads):
        half = (load.end_us - load.begin_us) // 2
        if half >= MIN_HALVED_LOAD_US:
            for begin, end in ((load.begin_us, load.begin_us + half), (load.begin_us + half, load.end_us)):
                yield replace(
                    of, loads=[*of.loads[:k], replace(load, begin_us=begin, end_us=end), *of.loads[k + 1 :]]
                )
    for k, what in enumerate(of.happenings):
        for name in what.servers if len(what.servers) > 1 else ():
            fewer = replace(what, servers=tuple(n for n in what.servers if n != name))
            yield replace(of, happenings=[*of.happenings[:k], fewer, *of.happenings[k + 1 :]])


# The reduced scenario as a suite


def suite(found: Smallest, ready: Ready, config: Path, listed: Path, folder: Path) -> str:
    """The text of a suite with the reduced scenario; list files are looked up in `folder`."""
    of = found.scenario
    expected = of.expectations[0]
    used = [ready.suite.collections[n] for n in dict.fromkeys(load.collection for load in of.loads)]
    if expected.selector.collection and all(c.name != expected.selector.collection for c in used):
        used.append(ready.suite.collections[expected.selector.collection])
    lines = ["format 1", f"config {config}", f"list {listed}"]
    for name in dict.fromkeys(re.findall(r"@([^\s#]+)", expected.text)):
        lines.append(f"group {name} {' '.join(ready.suite.groups['@' + name])}")
    lines += [_collection(c) for c in used]
    lines.append(f"scenario {of.name} seed {of.seed}")
    lines += [_load(load) for load in of.loads]
    lines += [_happening(what, folder) for what in of.happenings]
    lines.append(expected.text)
    head = f"# Smallest failing scenario found for {ready.suite.file}:{expected.place.line}: "
    head += f"{found.requests} of {found.before} requests."
    return "\n".join([head, *lines, f"end {len(lines)}", ""])


def _time(us: int) -> str:
    return f"{us / 1000:.3f}".rstrip("0").rstrip(".") + "ms"


def _number(of: float) -> str:
    return f"{of:.6f}".rstrip("0").rstrip(".")


def _collection(of: Collection) -> str:
    shards = ",".join(map(str, of.shards))
    return f"collection {of.name} plan {of.plan} shards {shards} volumes {of.volumes} hosts {of.hosts}"


def _load(of: Load) -> str:
    words = f"load {of.collection} class {of.class_name} rate {_number(of.requests_per_second)}"
    words += f" from {_time(of.begin_us)} to {_time(of.end_us)} units {_number(of.units)}"
    return words + (" new" if of.new else "")


def _happening(of: Happening, folder: Path) -> str:
    at = f"at {_time(of.at_us)}"
    names = " ".join(of.servers)
    if of.kind == "list":
        return f"{at} list {folder / of.label}"
    if of.kind == "slow":
        return f"{at} slow {_number(of.value)} {names}"
    if of.kind == "outcome":
        return f"{at} outcome {of.label} part {_number(100 * of.value)}% {names}"
    return f"{at} {of.kind} {names}"
