"""Plays suites: each scenario twice with one seed, to detect nondeterminism, in parallel processes."""

import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

from umberlead.routing_tests import reach
from umberlead.routing_tests.model import Expectation, Outcome, RequestTrace, Scenario, Verdict
from umberlead.routing_tests.suites import Ready, load
from umberlead.routing_tests.verdict import judged
from umberlead.routing_tests.world import UnlistedServerError, World


@dataclass(slots=True)
class Played:
    """The verdicts of one scenario, with what its requests covered."""

    scenario: str
    verdicts: list[Verdict]
    request_count: int
    elapsed_seconds: float
    touched: set[tuple[str, str]] = field(default_factory=set)  # (kind, name) of what the requests used


def trace_requests(
    ready: Ready, scenario: Scenario, explain: bool = False
) -> tuple[list[RequestTrace], list[str]]:
    """Plays a scenario once; returns the traces and the errors that the scheduler raised."""
    world = World(ready.settings, ready.listing, scenario.seed, explain)
    return world.play(scenario, ready.suite.collections, ready.lists), world.errors


def _track(lives: Iterable[RequestTrace]) -> list[tuple[object, ...]]:
    return [
        (life.id, life.arrived_us, life.shard, [(s.at_us, s.kind, s.server, s.result) for s in life.steps])
        for life in lives
    ]


def play(ready: Ready, scenario: Scenario) -> Played:
    """Plays a scenario twice and checks its expectations.

    If one fails, the scenario is played once more with `explain`, so that the witnesses have notes.
    """
    began = time.perf_counter()
    try:
        lives, faults = trace_requests(ready, scenario)
    except UnlistedServerError as fault:
        errors = [Verdict(of, scenario.name, Outcome.ERROR, str(fault)) for of in scenario.expectations]
        return Played(scenario.name, errors, 0, time.perf_counter() - began)
    verdicts = list[Verdict]()
    again, _ = trace_requests(ready, scenario)
    if faults:
        of = scenario.expectations[0]
        verdicts.append(
            Verdict(of, scenario.name, Outcome.ERROR, f"the scheduler raised: {faults[0][-400:]}")
        )
    elif _track(lives) != _track(again):
        of = scenario.expectations[0]
        verdicts.append(Verdict(of, scenario.name, Outcome.ERROR, "two runs with the same seed differ"))
    else:
        walked: dict[reach.Shape, list[RequestTrace]] = {}
        for of in scenario.expectations:
            verdicts.append(_judge(of, ready, scenario, lives, walked))
    if any(v.outcome is Outcome.FAILED and not v.expectation.rule.startswith("may") for v in verdicts):
        explained = {life.id: life for life in trace_requests(ready, scenario, explain=True)[0]}
        verdicts = [
            replace(v, witness=explained.get(v.witness.id, v.witness)) if v.witness is not None else v
            for v in verdicts
        ]
    touched = {("class", life.class_name) for life in lives} | {("plan", life.plan) for life in lives}
    touched |= {("server", s.server) for life in lives for s in life.attempts()}
    touched |= {("outcome", s.result) for life in lives for s in life.steps if s.kind == "ended"}
    touched |= {("answer", s.result) for life in lives for s in life.answers()}
    touched |= {("rule", of.rule) for of in scenario.expectations}
    return Played(scenario.name, verdicts, len(lives), time.perf_counter() - began, touched)


def _judge(
    of: Expectation,
    ready: Ready,
    scenario: Scenario,
    lives: list[RequestTrace],
    walked: dict[reach.Shape, list[RequestTrace]],
) -> Verdict:
    if of.rule.startswith("may-"):
        collections = ready.suite.collections
        return reach.proved(of, ready.settings, ready.listing, collections, scenario.name, walked)
    return judged(of, lives, ready.settings, scenario.name)


def _child(call: tuple[str, str | None, str | None, str]) -> Played:
    path, conf, listed, name = call
    ready = load(Path(path), Path(conf) if conf else None, Path(listed) if listed else None)
    return play(ready, next(s for s in ready.suite.scenarios if s.name == name))


def run(
    path: Path,
    conf: Path | None,
    listed: Path | None,
    only: str = "",
    workers: int = 0,
    on_played: Callable[[int, int, Played], None] = lambda done, of, played: None,
) -> tuple[Ready, list[Played]]:
    """Plays the scenarios of a suite; results are in the order of the suite.

    Args:
        path: The suite file.
        conf: Configuration to use in place of the suite's.
        listed: List file to use in place of the suite's.
        only: Name of the one scenario to play; empty for all.
        workers: Number of processes; 0 for one per core.
        on_played: Called after each scenario with the number done, the total and the result.

    Raises:
        UnreadableSuiteError: The suite, its configuration or a list is invalid.
    """
    ready = load(path, conf, listed)
    chosen = [s for s in ready.suite.scenarios if only in ("", s.name)]

    def gathered(each: Iterable[Played]) -> list[Played]:
        made = list[Played]()
        for of in each:
            made.append(of)
            on_played(len(made), len(chosen), of)
        return made

    if workers == 1 or len(chosen) == 1:
        return ready, gathered(play(ready, s) for s in chosen)
    calls = [
        (str(path), str(conf) if conf else None, str(listed) if listed else None, s.name) for s in chosen
    ]
    with ProcessPoolExecutor(workers or None) as pool:
        return ready, gathered(pool.map(_child, calls))


def untouched(ready: Ready, played: list[Played]) -> dict[str, list[str]]:
    """The known servers, classes, plans, outcomes, answers and rules that no scenario covers, by kind."""
    met = {pair for of in played for pair in of.touched}
    known = {
        "server": sorted(ready.listing.endpoints),
        "class": [c.name for c in ready.settings.classes],
        "plan": [p.name for p in ready.settings.plans],
        "outcome": ["ok", "error", "full", "timeout", "no_link", "reset", "astray"],
        "answer": ["served", "refused", "failed"],
        "rule": [
            "only",
            "never",
            "attempts",
            "once",
            "within",
            "served",
            "refused",
            "answered-once",
            "prompt",
        ]
        + ["share", "may-only", "may-never", "may-attempts", "may-once"],
    }
    return {
        kind: left for kind, names in known.items() if (left := [n for n in names if (kind, n) not in met])
    }
