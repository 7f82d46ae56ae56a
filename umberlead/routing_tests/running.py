"""Plays suites: each scenario twice with one seed, to detect nondeterminism, in parallel processes."""

import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path

from umberlead.routing_tests import reach
from umberlead.routing_tests.model import Expectation, Outcome, RequestTrace, Scenario, Verdict
from umberlead.routing_tests.suites import LoadedSuite, load
from umberlead.routing_tests.verdict import judged
from umberlead.routing_tests.world import UnlistedServerError, World


@dataclass(slots=True)
class ScenarioResult:
    """The verdicts of one scenario, with what its requests covered."""

    scenario: str
    verdicts: list[Verdict]
    request_count: int
    elapsed_seconds: float
    covered: set[tuple[str, str]] = field(default_factory=set)  # (kind, name) of what the requests used


def trace_requests(
    loaded: LoadedSuite, scenario: Scenario, explain: bool = False
) -> tuple[list[RequestTrace], list[str]]:
    """Plays a scenario once; returns the traces and the errors that the scheduler raised."""
    world = World(loaded.settings, loaded.listing, scenario.seed, explain)
    return world.play(scenario, loaded.suite.collections, loaded.lists), world.errors


def _comparable_traces(traces: Iterable[RequestTrace]) -> list[tuple[object, ...]]:
    return [
        (
            trace.id,
            trace.arrived_us,
            trace.shard,
            [(s.at_us, s.kind, s.server, s.result) for s in trace.steps],
        )
        for trace in traces
    ]


def play(loaded: LoadedSuite, scenario: Scenario) -> ScenarioResult:
    """Plays a scenario twice and checks its expectations.

    If one fails, the scenario is played once more with `explain`, so that the witnesses have notes.
    """
    started = time.perf_counter()
    try:
        traces, scheduler_errors = trace_requests(loaded, scenario)
    except UnlistedServerError as error:
        errors = [
            Verdict(expectation, scenario.name, Outcome.ERROR, str(error))
            for expectation in scenario.expectations
        ]
        return ScenarioResult(scenario.name, errors, 0, time.perf_counter() - started)
    verdicts = list[Verdict]()
    repeated, _ = trace_requests(loaded, scenario)
    if scheduler_errors:
        expectation = scenario.expectations[0]
        verdicts.append(
            Verdict(
                expectation,
                scenario.name,
                Outcome.ERROR,
                f"the scheduler raised: {scheduler_errors[0][-400:]}",
            )
        )
    elif _comparable_traces(traces) != _comparable_traces(repeated):
        expectation = scenario.expectations[0]
        verdicts.append(
            Verdict(expectation, scenario.name, Outcome.ERROR, "two runs with the same seed differ")
        )
    else:
        traces_by_shape: dict[reach.RequestShape, list[RequestTrace]] = {}
        for expectation in scenario.expectations:
            verdicts.append(_judge(expectation, loaded, scenario, traces, traces_by_shape))
    if any(v.outcome is Outcome.FAILED and not v.expectation.rule.startswith("may") for v in verdicts):
        explained_traces = {trace.id: trace for trace in trace_requests(loaded, scenario, explain=True)[0]}
        verdicts = [
            replace(v, witness=explained_traces.get(v.witness.id, v.witness)) if v.witness is not None else v
            for v in verdicts
        ]
    covered = {("class", trace.class_name) for trace in traces} | {("plan", trace.plan) for trace in traces}
    covered |= {("server", s.server) for trace in traces for s in trace.attempts()}
    covered |= {("outcome", s.result) for trace in traces for s in trace.steps if s.kind == "ended"}
    covered |= {("answer", s.result) for trace in traces for s in trace.answers()}
    covered |= {("rule", expectation.rule) for expectation in scenario.expectations}
    return ScenarioResult(scenario.name, verdicts, len(traces), time.perf_counter() - started, covered)


def _judge(
    expectation: Expectation,
    loaded: LoadedSuite,
    scenario: Scenario,
    traces: list[RequestTrace],
    traces_by_shape: dict[reach.RequestShape, list[RequestTrace]],
) -> Verdict:
    if expectation.rule.startswith("may-"):
        collections = loaded.suite.collections
        return reach.check_all_sequences(
            expectation, loaded.settings, loaded.listing, collections, scenario.name, traces_by_shape
        )
    return judged(expectation, traces, loaded.settings, scenario.name)


def _play_in_worker(arguments: tuple[str, str | None, str | None, str]) -> ScenarioResult:
    path, config_path, list_path, name = arguments
    loaded = load(
        Path(path), Path(config_path) if config_path else None, Path(list_path) if list_path else None
    )
    return play(loaded, next(s for s in loaded.suite.scenarios if s.name == name))


def run(
    path: Path,
    config_path: Path | None,
    list_path: Path | None,
    only: str = "",
    workers: int = 0,
    on_played: Callable[[int, int, ScenarioResult], None] = lambda done, total, played: None,
) -> tuple[LoadedSuite, list[ScenarioResult]]:
    """Plays the scenarios of a suite; results are in the order of the suite.

    Args:
        path: The suite file.
        config_path: Configuration to use in place of the suite's.
        list_path: List file to use in place of the suite's.
        only: Name of the one scenario to play; empty for all.
        workers: Number of processes; 0 for one per core.
        on_played: Called after each scenario with the number done, the total and the result.

    Raises:
        UnreadableSuiteError: The suite, its configuration or a list is invalid.
    """
    loaded = load(path, config_path, list_path)
    scenarios = [s for s in loaded.suite.scenarios if only in ("", s.name)]

    def collect(playing: Iterable[ScenarioResult]) -> list[ScenarioResult]:
        results = list[ScenarioResult]()
        for result in playing:
            results.append(result)
            on_played(len(results), len(scenarios), result)
        return results

    if workers == 1 or len(scenarios) == 1:
        return loaded, collect(play(loaded, s) for s in scenarios)
    arguments = [
        (str(path), str(config_path) if config_path else None, str(list_path) if list_path else None, s.name)
        for s in scenarios
    ]
    with ProcessPoolExecutor(workers or None) as pool:
        return loaded, collect(pool.map(_play_in_worker, arguments))


def untouched(loaded: LoadedSuite, results: list[ScenarioResult]) -> dict[str, list[str]]:
    """The known servers, classes, plans, outcomes, answers and rules that no scenario covers, by kind."""
    covered = {pair for result in results for pair in result.covered}
    known = {
        "server": sorted(loaded.listing.endpoints),
        "class": [c.name for c in loaded.settings.classes],
        "plan": [p.name for p in loaded.settings.plans],
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
        kind: missing
        for kind, names in known.items()
        if (missing := [n for n in names if (kind, n) not in covered])
    }
