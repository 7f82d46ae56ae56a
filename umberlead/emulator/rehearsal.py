"""A script's rehearsal from file to result: played by one of the two drivers, judged, priced, checked.

In virtual time a result is the same, byte for byte, from the same script, figures and seed.
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
    """What a rehearsal showed.

    Attributes:
        scenario: its name.
        seed: that it was drawn from.
        driver: "virtual" or "sockets".
        rows: service, its parts, and latencies.
        seconds: service of each second.
        breaches: how many, by name.
        shown: the first breaches in words.
        verdicts: expectation, outcome and reason of each.
        faults: the engine's errors, fronts that ended, lost connections.
        late: seconds that a rehearsal on sockets was behind at most.
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
        """Return whether no rule was broken and all expectations held."""
        return not self.breaches and not self.faults and all(v[1] == "held" for v in self.verdicts)

    def text(self) -> str:
        """Return it as JSON with no trace of when or where it ran."""
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
    """Return the scenarios with a fleet.

    Raises:
        ScriptError: the file can't be read or has no such scenario; it has all that is wrong.
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
    """Return requests' lives as the expectations know them, from the records."""
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


def _verdicts(of: Scenario, made: Plan, records: Records, figure: float) -> list[Verdict]:
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
        figures: the operators'.
        sockets: whether to play on real sockets instead of in virtual time.
        seed: in place of the scenario's.
        progress: is called with the part that is played.
        keep: is given plan and records.
        root: of the fronts' program, on sockets.
        alter: changes the fronts' settings.

    Raises:
        ScriptError: the scenario can't be played.
        FrontStartError: a front does not come up.
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
        (v.expectation.text, v.outcome.value, v.reason) for v in _verdicts(of, made, records, priced.figure)
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
