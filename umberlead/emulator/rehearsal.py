"""Runs a script's rehearsal: plays it with one of two drivers, judges the records, computes the service.

In virtual time the same script, figures and seed give the same result, byte for byte.
"""

import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from umberlead.emulator import latency
from umberlead.emulator.figures import Figures
from umberlead.emulator.judge import SOCKET_SLACK_US, Judge, count_by_name
from umberlead.emulator.outcomes import NEVER_RAN
from umberlead.emulator.plan import Plan, ScriptError, parsed_settings, plan
from umberlead.emulator.price import service
from umberlead.emulator.records import Records
from umberlead.membership.model import FilePosition, ListProblem
from umberlead.routing_tests.language import parse
from umberlead.routing_tests.model import Expectation, Outcome, RequestTrace, Scenario, TraceStep, Verdict
from umberlead.routing_tests.verdict import judged

Progress = Callable[[float], None]


@dataclass(slots=True)
class Result:
    """Result of a rehearsal.

    Attributes:
        scenario: the scenario's name.
        seed: the seed from which the plan was drawn.
        driver: "virtual" or "sockets".
        rows: service, its parts, and latencies, by name.
        seconds: service of each second.
        breaches: number of breaches, by name.
        shown: descriptions of the first breaches.
        verdicts: text, outcome and reason of each expectation.
        faults: errors of the engine, fronts that ended early, lost connections.
        late: longest delay of the rehearsal's own timers on sockets, in seconds.
    """

    scenario: str
    seed: int
    driver: str
    rows: dict[str, float]
    seconds: list[float]
    breaches: dict[str, int]
    shown: list[str]
    verdicts: list[tuple[str, str, str]]
    faults: list[str] = field(default_factory=list)
    late: float = 0.0

    @property
    def held(self) -> bool:
        """Return whether there are no breaches and no faults, and all expectations held."""
        return not self.breaches and not self.faults and all(v[1] == "held" for v in self.verdicts)

    def text(self) -> str:
        """Return the result as JSON, without anything that depends on the time or the machine."""
        made = {
            "scenario": self.scenario,
            "seed": self.seed,
            "driver": self.driver,
            "service": {k: round(v, 6) for k, v in self.rows.items()},
            "seconds": [round(v, 6) for v in self.seconds],
            "breaches": self.breaches,
            "shown": self.shown,
            "expectations": [list(v) for v in self.verdicts],
            "faults": self.faults,
        }
        return json.dumps(made, indent=1) + "\n"


def read(path: Path) -> list[Scenario]:
    """Return the scenarios of a file that have a fleet.

    Raises:
        ScriptError: the file can't be read or has no such scenario; it lists every problem.
    """
    try:
        suite, problems = parse(path.read_text(), path.name)
    except (OSError, UnicodeDecodeError) as fault:
        raise ScriptError([ListProblem("E100", FilePosition(str(path)), str(fault))]) from None
    made = [s for s in suite.scenarios if s.fleet is not None]
    if not made and not problems:
        problems = [ListProblem("E120", FilePosition(path.name), "no scenario has a fleet")]
    for of in made:
        if of.fleet is not None and not of.fleet.seconds:
            problems.append(ListProblem("E120", of.place, f"scenario {of.name} has no day"))
    if problems:
        raise ScriptError(problems)
    return made


def lives(records: Records) -> list[RequestTrace]:
    """Return the trace of each request, in the form that expectations use, from the records."""
    steps: dict[str, list[TraceStep]] = defaultdict(list)
    for came in records.came:
        steps[came.id].append(TraceStep(came.at, "sent", came.server))
        if came.word in NEVER_RAN:
            word = {"astray": "astray", "early": "no_link", "gone": "no_link"}.get(came.word, "full")
            steps[came.id].append(TraceStep(came.at, "ended", came.server, word))
    for end in records.ended:
        steps[end.id].append(TraceStep(end.at, "ended", end.server, end.word))
    for left in records.left:
        steps[left.id].append(TraceStep(left.at, "ended", left.server, "cancelled"))
    for answer in records.answered:
        steps[answer.id].append(TraceStep(answer.at, "answered", "", answer.kind))
    made = []
    for a in records.asked:
        life = RequestTrace(a.id, a.at, a.volume, a.class_name, a.plan, a.shard, a.units, a.write)
        life.steps = [TraceStep(a.at, "taken"), *sorted(steps.get(a.id, []), key=lambda s: s.at_us)]
        made.append(life)
    return made


def _check_expectations(of: Scenario, made: Plan, records: Records, figure: float) -> list[Verdict]:
    got = lives(records)
    settings = parsed_settings(made)

    def one(expectation: Expectation) -> Verdict:
        if expectation.rule != "service":
            return judged(expectation, got, settings, of.name)
        held = figure >= expectation.limit
        why = f"service is {figure:.1%}"
        return Verdict(expectation, of.name, Outcome.PASSED if held else Outcome.FAILED, why)

    return [one(e) for e in of.expectations]


def rehearse(
    of: Scenario,
    figures: Figures,
    *,
    sockets: bool = False,
    seed: int | None = None,
    progress: Progress | None = None,
    keep: Callable[[Plan, Records], Any] | None = None,
    root: Path | None = None,
    alter: Callable[[dict[str, Any]], None] | None = None,
) -> Result:
    """Play and judge one scenario.

    Args:
        of: the scenario.
        figures: the operators' figures.
        sockets: whether to play on real sockets instead of in virtual time.
        seed: replaces the scenario's seed.
        progress: called with the fraction that is played.
        keep: called with the plan and the records.
        root: directory of the fronts' program, on sockets.
        alter: changes the fronts' settings.

    Raises:
        ScriptError: the scenario can't be played.
        FrontStartError: a front does not start.
    """
    made = plan(of, figures, seed, alter)
    late = 0.0
    if sockets:
        from umberlead.emulator.sockets import play as on_sockets

        records, faults, late = on_sockets(made, progress, root)
    else:
        from umberlead.emulator.virtual import play

        records, faults = play(made, progress)
    if keep is not None:
        keep(made, records)
    breaches = Judge(made, records, SOCKET_SLACK_US if sockets else 0).breaches()
    priced = service(made, records)
    verdicts = [
        (v.expectation.text, v.outcome.value, v.reason)
        for v in _check_expectations(of, made, records, priced.figure)
    ]
    return Result(
        of.name,
        made.seed,
        "sockets" if sockets else "virtual",
        priced.rows() | latency.rows(made, records),
        priced.seconds,
        count_by_name(breaches),
        [b.describe() for b in breaches[:20]],
        verdicts,
        faults[:20],
        late,
    )
