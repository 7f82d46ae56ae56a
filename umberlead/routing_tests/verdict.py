"""Checks expectations against the traces of a scenario's requests, without I/O."""

from collections.abc import Callable, Iterable

from umberlead.routing_tests.model import Expectation, Outcome, RequestTrace, Selector, TraceStep, Verdict
from umberlead.routing_tests.proportion import Judged, judge, required_sample_count
from umberlead.scheduling.settings import Settings

NEVER_RAN = frozenset(("full", "no_link", "astray"))


def fits(of: Selector, life: RequestTrace) -> bool:
    """Returns whether a request matches every condition of a selector."""
    return (
        (not of.class_name or life.class_name == of.class_name)
        and (not of.plan or life.plan == of.plan)
        and (not of.collection or life.collection == of.collection)
        and (of.shard is None or (life.shard == of.shard and not life.new))
        and (of.new is None or life.new == of.new)
        and of.begin_us <= life.arrived_us < of.end_us
    )


def may_have_run(steps: Iterable[TraceStep]) -> bool:
    """Returns whether an attempt in `steps` may have taken effect, as one still in flight may."""
    out = 0
    for step in steps:
        if step.kind == "sent":
            out += 1
        elif step.kind == "ended":
            out -= 1
            if step.result not in NEVER_RAN:
                return True
    return out > 0


def sent_again(life: RequestTrace) -> TraceStep | None:
    """The first send that violates "sent once": another attempt is in flight or may have run.

    The repeatability of the class in the configuration is ignored, so that a suite can detect a class whose
    configured repeatability is wrong.
    """
    out = False
    for k, step in enumerate(life.steps):
        if step.kind == "ended":
            out = False
        elif step.kind == "sent":
            if out or may_have_run(life.steps[:k]):
                return step
            out = True
    return None


def _routed(of: Expectation, life: RequestTrace, _: Settings) -> str:
    for step in life.attempts():
        if step.at_us >= of.after_us and (step.server in of.servers) == (of.rule == "never"):
            allowed = ", ".join(of.servers)
            if of.rule == "never":
                return f"it was sent to {step.server} at {step.at_us / 1000:.0f} ms"
            return f"it was sent to {step.server}, which is none of {allowed}"
    return ""


def _attempts(of: Expectation, life: RequestTrace, _: Settings) -> str:
    n = len(life.attempts())
    return f"it was sent {n} times" if n > of.limit else ""


def _once(of: Expectation, life: RequestTrace, _: Settings) -> str:
    step = sent_again(life)
    if step is None:
        return ""
    return (
        f"it was sent to {step.server} at {step.at_us / 1000:.0f} ms though an earlier attempt may have run"
    )


def _within(of: Expectation, life: RequestTrace, _: Settings) -> str:
    answers = life.answers()
    if not answers:
        return "it was never answered"
    took = answers[0].at_us - life.arrived_us
    return f"it was answered after {took / 1000:.0f} ms" if took > of.limit else ""


def _prompt(of: Expectation, life: RequestTrace, settings: Settings) -> str:
    answers = life.answers()
    refused = answers and answers[0].result == "refused"
    return _within(of, life, settings) if refused else ""


def _ends(of: Expectation, life: RequestTrace, _: Settings) -> str:
    words = [step.result for step in life.answers()]
    if len(words) != 1:
        return f"it has {len(words)} answers"
    if of.rule == "answered-once" or words[0] == of.rule:
        return ""
    return f"it was {words[0]}"


RULES: dict[str, Callable[[Expectation, RequestTrace, Settings], str]] = {
    "only": _routed,
    "never": _routed,
    "attempts": _attempts,
    "once": _once,
    "within": _within,
    "prompt": _prompt,
    "served": _ends,
    "refused": _ends,
    "answered-once": _ends,
}


def _share(of: Expectation, lives: list[RequestTrace], scenario: str) -> Verdict:
    first = [life.attempts()[0] for life in lives if life.attempts()]
    hits = sum(step.server in of.servers for step in first)
    got = judge(hits, len(first), of.limit, of.tolerance)
    want = f"wanted {of.limit:.2%} within {of.tolerance:.2%}; {got.describe()}"
    if got.judged is Judged.INSIDE:
        return Verdict(of, scenario, Outcome.PASSED, want, None, len(first))
    if got.judged is Judged.UNDECIDED:
        more = required_sample_count(of.limit, of.tolerance)
        why = f"{want}: the sample is too small to decide; use about {more} requests, or a wider tolerance"
        return Verdict(of, scenario, Outcome.ERROR, why, None, len(first))
    over = got.measured > of.limit
    witness = next(
        (life for life in lives if life.attempts() and (life.attempts()[0].server in of.servers) == over),
        None,
    )
    return Verdict(of, scenario, Outcome.FAILED, want, witness, len(first))


def judged(of: Expectation, lives: list[RequestTrace], settings: Settings, scenario: str) -> Verdict:
    """Checks one expectation against all requests that match its selector.

    It is an error if no request matches, because the expectation would then hold whatever the front does.
    """
    chosen = [life for life in lives if fits(of.selector, life)]
    if not chosen:
        return Verdict(of, scenario, Outcome.ERROR, "no request of this scenario matches the expectation")
    if of.rule == "share":
        return _share(of, chosen, scenario)
    check = RULES[of.rule]
    for life in chosen:
        if why := check(of, life, settings):
            return Verdict(of, scenario, Outcome.FAILED, why, life, len(chosen))
    if of.rule == "prompt" and not any(s.result == "refused" for life in chosen for s in life.answers()):
        return Verdict(
            of, scenario, Outcome.ERROR, "no request was refused, so the expectation checks nothing"
        )
    return Verdict(of, scenario, Outcome.PASSED, "", None, len(chosen))


def contradictions(expectations: list[Expectation]) -> list[tuple[Expectation, Expectation, str]]:
    """Finds pairs of expectations that can't both hold for the same requests, without playing the scenario.

    Returns both expectations and the reason, for each pair.
    """
    found = []
    for k, a in enumerate(expectations):
        for b in expectations[k + 1 :]:
            if a.selector != b.selector:
                continue
            rules = {a.rule, b.rule}
            both = set(a.servers) & set(b.servers)
            if rules in ({"served", "refused"},):
                found.append((a, b, "a request can't be both served and refused"))
            elif rules in ({"only"}, {"may-only"}) and not both:
                found.append((a, b, "no server is allowed by both"))
            elif rules in ({"only", "never"}, {"may-only", "may-never"}):
                only, never = (a, b) if a.rule.endswith("only") else (b, a)
                if set(only.servers) <= set(never.servers) and not never.after_us:
                    found.append((a, b, "every allowed server is also forbidden"))
    shares: dict[Selector, list[Expectation]] = {}
    for of in expectations:
        if of.rule == "share":
            shares.setdefault(of.selector, []).append(of)
    for many in shares.values():
        apart = all(not set(a.servers) & set(b.servers) for k, a in enumerate(many) for b in many[k + 1 :])
        if apart and sum(of.limit - of.tolerance for of in many) > 1 + 1e-9:
            found.append((many[0], many[-1], "the shares add up to more than 100%"))
    return found
