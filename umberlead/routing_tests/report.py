"""Formats the results of a suite as text, as JSON and as JUnit XML."""

from pathlib import Path
from typing import Any

from umberlead.routing_tests.model import Outcome, RequestTrace, Verdict
from umberlead.routing_tests.running import ScenarioResult


def format_trace(trace: RequestTrace) -> list[str]:
    """Formats a trace: a heading, then one line per event."""
    where = "new" if trace.new else f"shard {trace.shard}"
    lines = [f"{trace.id}: {trace.class_name} on {trace.plan}, {where}, {trace.units:g} units"]
    for step in trace.steps:
        event = " ".join(w for w in (step.kind, step.server, step.result) if w)
        note = f"    [{step.note}]" if step.note else ""
        lines.append(f"  {step.at_us / 1000:9.1f} ms  {event}{note}")
    return lines


def format_failure(verdict: Verdict, command: str) -> list[str]:
    """Formats a failed or undecided expectation, with its witness and the replay command."""
    expectation = verdict.expectation
    kind = "FAILED" if verdict.outcome is Outcome.FAILED else "ERROR"
    lines = [
        f"{kind} {expectation.place}: scenario {verdict.scenario}: {expectation.text}",
        f"  rule {expectation.rule}: {verdict.reason}",
    ]
    if verdict.witness is not None:
        lines += [f"  {line}" for line in format_trace(verdict.witness)]
        lines.append(f"  replay: {command} --scenario {verdict.scenario}")
    return lines


def count_results(results: list[ScenarioResult]) -> dict[str, int]:
    """Counts the verdicts by outcome, all expectations and all requests."""
    verdicts = [v for result in results for v in result.verdicts]
    counts = {o.value: sum(v.outcome is o for v in verdicts) for o in Outcome}
    return counts | {
        "expectations": len(verdicts),
        "requests": sum(result.request_count for result in results),
    }


def text(results: list[ScenarioResult], command: str, uncovered: dict[str, list[str]]) -> list[str]:
    """The lines of the text report; `uncovered` has what no scenario covers, by kind."""
    lines = []
    for result in results:
        for verdict in result.verdicts:
            if verdict.outcome is not Outcome.PASSED:
                lines += format_failure(verdict, command)
    for kind, names in uncovered.items():
        lines.append(f"not covered: {kind} {', '.join(names)}")
    n = count_results(results)
    seconds = sum(result.elapsed_seconds for result in results)
    summary = f"{n['held']} held, {n['failed']} failed, {n['error']} errors; {n['requests']} requests"
    lines.append(f"{summary} in {len(results)} scenarios, {seconds:.1f} s of work")
    return lines


def rows(results: list[ScenarioResult], uncovered: dict[str, list[str]]) -> dict[str, Any]:
    """The report as `--json` prints it; `uncovered` has what no scenario covers, by kind."""
    verdicts = [
        {
            "scenario": v.scenario,
            "line": v.expectation.place.line,
            "rule": v.expectation.rule,
            "text": v.expectation.text,
            "outcome": v.outcome.value,
            "why": v.reason,
            "requests": v.request_count,
            "witness": format_trace(v.witness) if v.witness is not None else [],
        }
        for result in results
        for v in result.verdicts
    ]
    return count_results(results) | {"untouched": uncovered, "verdicts": verdicts}


def junit(results: list[ScenarioResult], path: Path, suite: str) -> None:
    """Writes the report as JUnit XML."""
    from junitparser import Error, Failure, JUnitXml, TestCase, TestSuite

    document = JUnitXml()
    for scenario_result in results:
        group = TestSuite(f"{suite}.{scenario_result.scenario}")
        for verdict in scenario_result.verdicts:
            case = TestCase(f"{verdict.expectation.place.line}: {verdict.expectation.text}", group.name)
            case.time = scenario_result.elapsed_seconds / max(len(scenario_result.verdicts), 1)
            if verdict.outcome is not Outcome.PASSED:
                kind = Failure if verdict.outcome is Outcome.FAILED else Error
                result = kind(verdict.reason, verdict.expectation.rule)
                result.text = "\n".join(format_trace(verdict.witness)) if verdict.witness is not None else ""
                case.result = [result]
            group.add_testcase(case)
        document.add_testsuite(group)
    document.write(str(path), pretty=True)
