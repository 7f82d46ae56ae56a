"""Formats the results of a suite as text, as JSON and as JUnit XML."""

from pathlib import Path
from typing import Any

from umberlead.routing_tests.model import Outcome, RequestTrace, Verdict
from umberlead.routing_tests.running import Played


def format_trace(of: RequestTrace) -> list[str]:
    """Formats a trace: a heading, then one line per event."""
    where = "new" if of.new else f"shard {of.shard}"
    made = [f"{of.id}: {of.class_name} on {of.plan}, {where}, {of.units:g} units"]
    for step in of.steps:
        words = " ".join(w for w in (step.kind, step.server, step.result) if w)
        note = f"    [{step.note}]" if step.note else ""
        made.append(f"  {step.at_us / 1000:9.1f} ms  {words}{note}")
    return made


def format_failure(of: Verdict, command: str) -> list[str]:
    """Formats a failed or undecided expectation, with its witness and the replay command."""
    at = of.expectation
    kind = "FAILED" if of.outcome is Outcome.FAILED else "ERROR"
    made = [f"{kind} {at.place}: scenario {of.scenario}: {at.text}", f"  rule {at.rule}: {of.reason}"]
    if of.witness is not None:
        made += [f"  {line}" for line in format_trace(of.witness)]
        made.append(f"  replay: {command} --scenario {of.scenario}")
    return made


def counted(played: list[Played]) -> dict[str, int]:
    """Counts the verdicts by outcome, all expectations and all requests."""
    verdicts = [v for of in played for v in of.verdicts]
    made = {o.value: sum(v.outcome is o for v in verdicts) for o in Outcome}
    return made | {"expectations": len(verdicts), "requests": sum(of.request_count for of in played)}


def text(played: list[Played], command: str, left: dict[str, list[str]]) -> list[str]:
    """The lines of the text report; `left` has what no scenario covers, by kind."""
    made = []
    for of in played:
        for verdict in of.verdicts:
            if verdict.outcome is not Outcome.PASSED:
                made += format_failure(verdict, command)
    for kind, names in left.items():
        made.append(f"not covered: {kind} {', '.join(names)}")
    n = counted(played)
    took = sum(of.elapsed_seconds for of in played)
    words = f"{n['held']} held, {n['failed']} failed, {n['error']} errors; {n['requests']} requests"
    made.append(f"{words} in {len(played)} scenarios, {took:.1f} s of work")
    return made


def rows(played: list[Played], left: dict[str, list[str]]) -> dict[str, Any]:
    """The report as `--json` prints it; `left` has what no scenario covers, by kind."""
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
        for of in played
        for v in of.verdicts
    ]
    return counted(played) | {"untouched": left, "verdicts": verdicts}


def junit(played: list[Played], path: Path, suite: str) -> None:
    """Writes the report as JUnit XML."""
    from junitparser import Error, Failure, JUnitXml, TestCase, TestSuite

    made = JUnitXml()
    for of in played:
        group = TestSuite(f"{suite}.{of.scenario}")
        for verdict in of.verdicts:
            case = TestCase(f"{verdict.expectation.place.line}: {verdict.expectation.text}", group.name)
            case.time = of.elapsed_seconds / max(len(of.verdicts), 1)
            if verdict.outcome is not Outcome.PASSED:
                kind = Failure if verdict.outcome is Outcome.FAILED else Error
                result = kind(verdict.reason, verdict.expectation.rule)
                result.text = "\n".join(format_trace(verdict.witness)) if verdict.witness is not None else ""
                case.result = [result]
            group.add_testcase(case)
        made.add_testsuite(group)
    made.write(str(path), pretty=True)
