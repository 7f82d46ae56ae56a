"""Checks expectations against the traces of a scenario's requests, without I/O."""

from collections.abc import Callable, Iterable

from umberlead.routing_tests.model import Expectation, Outcome, RequestTrace, Selector, TraceStep, Verdict
from umberlead.routing_tests.proportion import IntervalPosition, measure_share, required_sample_count
from umberlead.scheduling.settings import Settings

NEVER_RAN_RESULTS = frozenset(("full", "no_link", "astray"))


def matches_selector(selector: Selector, trace: RequestTrace) -> bool:
    """Returns whether a request matches every condition of a selector."""
    return (
        (not selector.class_name or trace.class_name == selector.class_name)
        and (not selector.plan or trace.plan == selector.plan)
        and (not selector.collection or trace.collection == selector.collection)
        and (selector.shard is None or (trace.shard == selector.shard and not trace.new))
        and (selector.new is None or trace.new == selector.new)
        and selector.begin_us <= trace.arrived_us < selector.end_us
    )


def may_have_run(steps: Iterable[TraceStep]) -> bool:
    """Returns whether an attempt in `steps` may have taken effect, as one still in flight may."""
    in_flight_count = 0
    for step in steps:
        if step.kind == "sent":
            in_flight_count += 1
        elif step.kind == "ended":
            in_flight_count -= 1
            if step.result not in NEVER_RAN_RESULTS:
                return True
    return in_flight_count > 0


def find_unsafe_resend(trace: RequestTrace) -> TraceStep | None:
    """The first send that violates "sent once": another attempt is in flight or may have run.

    The repeatability of the class in the configuration is ignored, so that a suite can detect a class whose
    configured repeatability is wrong.
    """
    in_flight = False
    for index, step in enumerate(trace.steps):
        if step.kind == "ended":
            in_flight = False
        elif step.kind == "sent":
            if in_flight or may_have_run(trace.steps[:index]):
                return step
            in_flight = True
    return None


def _check_servers(expectation: Expectation, trace: RequestTrace, _: Settings) -> str:
    for step in trace.attempts():
        if step.at_us >= expectation.after_us and (step.server in expectation.servers) == (
            expectation.rule == "never"
        ):
            allowed = ", ".join(expectation.servers)
            if expectation.rule == "never":
                return f"it was sent to {step.server} at {step.at_us / 1000:.0f} ms"
            return f"it was sent to {step.server}, which is none of {allowed}"
    return ""


def _check_attempt_count(expectation: Expectation, trace: RequestTrace, _: Settings) -> str:
    count = len(trace.attempts())
    return f"it was sent {count} times" if count > expectation.limit else ""


def _check_sent_once(expectation: Expectation, trace: RequestTrace, _: Settings) -> str:
    step = find_unsafe_resend(trace)
    if step is None:
        return ""
    return (
        f"it was sent to {step.server} at {step.at_us / 1000:.0f} ms though an earlier attempt may have run"
    )


def _check_answer_time(expectation: Expectation, trace: RequestTrace, _: Settings) -> str:
    answers = trace.answers()
    if not answers:
        return "it was never answered"
    duration_us = answers[0].at_us - trace.arrived_us
    return f"it was answered after {duration_us / 1000:.0f} ms" if duration_us > expectation.limit else ""


def _check_refusal_time(expectation: Expectation, trace: RequestTrace, settings: Settings) -> str:
    answers = trace.answers()
    refused = answers and answers[0].result == "refused"
    return _check_answer_time(expectation, trace, settings) if refused else ""


def _check_answer(expectation: Expectation, trace: RequestTrace, _: Settings) -> str:
    kinds = [step.result for step in trace.answers()]
    if len(kinds) != 1:
        return f"it has {len(kinds)} answers"
    if expectation.rule == "answered-once" or kinds[0] == expectation.rule:
        return ""
    return f"it was {kinds[0]}"


RULE_CHECKS: dict[str, Callable[[Expectation, RequestTrace, Settings], str]] = {
    "only": _check_servers,
    "never": _check_servers,
    "attempts": _check_attempt_count,
    "once": _check_sent_once,
    "within": _check_answer_time,
    "prompt": _check_refusal_time,
    "served": _check_answer,
    "refused": _check_answer,
    "answered-once": _check_answer,
}


def _check_share(expectation: Expectation, traces: list[RequestTrace], scenario: str) -> Verdict:
    first_attempts = [trace.attempts()[0] for trace in traces if trace.attempts()]
    hits = sum(step.server in expectation.servers for step in first_attempts)
    share = measure_share(hits, len(first_attempts), expectation.limit, expectation.tolerance)
    reason = f"wanted {expectation.limit:.2%} within {expectation.tolerance:.2%}; {share.describe()}"
    if share.position is IntervalPosition.INSIDE:
        return Verdict(expectation, scenario, Outcome.PASSED, reason, None, len(first_attempts))
    if share.position is IntervalPosition.UNDECIDED:
        needed_count = required_sample_count(expectation.limit, expectation.tolerance)
        advice = (
            f"{reason}: the sample is too small to decide; use about {needed_count} requests,"
            " or a wider tolerance"
        )
        return Verdict(expectation, scenario, Outcome.ERROR, advice, None, len(first_attempts))
    above = share.measured > expectation.limit
    witness = next(
        (
            trace
            for trace in traces
            if trace.attempts() and (trace.attempts()[0].server in expectation.servers) == above
        ),
        None,
    )
    return Verdict(expectation, scenario, Outcome.FAILED, reason, witness, len(first_attempts))


def judged(
    expectation: Expectation, traces: list[RequestTrace], settings: Settings, scenario: str
) -> Verdict:
    """Checks one expectation against all requests that match its selector.

    It is an error if no request matches, because the expectation would then hold whatever the front does.
    """
    matching = [trace for trace in traces if matches_selector(expectation.selector, trace)]
    if not matching:
        return Verdict(
            expectation, scenario, Outcome.ERROR, "no request of this scenario matches the expectation"
        )
    if expectation.rule == "share":
        return _check_share(expectation, matching, scenario)
    check = RULE_CHECKS[expectation.rule]
    for trace in matching:
        if reason := check(expectation, trace, settings):
            return Verdict(expectation, scenario, Outcome.FAILED, reason, trace, len(matching))
    if expectation.rule == "prompt" and not any(
        s.result == "refused" for trace in matching for s in trace.answers()
    ):
        return Verdict(
            expectation, scenario, Outcome.ERROR, "no request was refused, so the expectation checks nothing"
        )
    return Verdict(expectation, scenario, Outcome.PASSED, "", None, len(matching))


def contradictions(expectations: list[Expectation]) -> list[tuple[Expectation, Expectation, str]]:
    """Finds pairs of expectations that can't both hold for the same requests, without playing the scenario.

    Returns both expectations and the reason, for each pair.
    """
    found = []
    for index, a in enumerate(expectations):
        for b in expectations[index + 1 :]:
            if a.selector != b.selector:
                continue
            rules = {a.rule, b.rule}
            common_servers = set(a.servers) & set(b.servers)
            if rules in ({"served", "refused"},):
                found.append((a, b, "a request can't be both served and refused"))
            elif rules in ({"only"}, {"may-only"}) and not common_servers:
                found.append((a, b, "no server is allowed by both"))
            elif rules in ({"only", "never"}, {"may-only", "may-never"}):
                only, never = (a, b) if a.rule.endswith("only") else (b, a)
                if set(only.servers) <= set(never.servers) and not never.after_us:
                    found.append((a, b, "every allowed server is also forbidden"))
    shares: dict[Selector, list[Expectation]] = {}
    for expectation in expectations:
        if expectation.rule == "share":
            shares.setdefault(expectation.selector, []).append(expectation)
    for group in shares.values():
        disjoint = all(
            not set(a.servers) & set(b.servers) for index, a in enumerate(group) for b in group[index + 1 :]
        )
        if disjoint and sum(expectation.limit - expectation.tolerance for expectation in group) > 1 + 1e-9:
            found.append((group[0], group[-1], "the shares add up to more than 100%"))
    return found
