"""Explores every sequence of attempt results of one request, up to its last attempt.

Covered: one request of each matching class, plan and shard, alone on idle servers of the list in force, with
each attempt ending with each of the seven results in `ATTEMPT_RESULTS`. Not covered: effects of load
(concurrency limits, priority weights, reserves), concurrent requests, and list changes during an attempt.
Each sequence is replayed from its start, so that the state of the lifecycle need not be copied.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from umberlead.common.errors import UmberleadError
from umberlead.membership.model import CheckedList
from umberlead.routing_tests.model import (
    Collection,
    Expectation,
    Load,
    Outcome,
    RequestTrace,
    Selector,
    Verdict,
)
from umberlead.routing_tests.verdict import find_unsafe_resend
from umberlead.routing_tests.world import SETTLING_US, START_US, ServerModel, World
from umberlead.scheduling.events import AttemptResult
from umberlead.scheduling.settings import Settings

ATTEMPT_RESULTS = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.TIMEOUT,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.RESET,
    AttemptResult.NOT_SENT,
)
MAX_BRANCH_COUNT = 5000  # per shape; beyond it the exploration stops with TooManyBranchesError


@dataclass(frozen=True, slots=True)
class RequestShape:
    """Class, plan and shard of a request."""

    class_name: str
    plan: str
    shard: int  # -1: a write of a new object, which any server may take

    def describe(self) -> str:
        """The class, plan and shard, as messages print them."""
        return f"{self.class_name} on {self.plan}, " + ("new" if self.shard < 0 else f"shard {self.shard}")


class TooManyBranchesError(UmberleadError, ValueError):
    """A shape of request has more than `MAX_BRANCH_COUNT` sequences of attempt results."""


class _ScriptedWorld(World):
    """A world whose attempts end with the given results, in order; further attempts wait."""

    def __init__(self, settings: Settings, listing: CheckedList, results: tuple[AttemptResult, ...]) -> None:
        super().__init__(settings, listing, 1, explain=True)
        self.results = results
        self.used_count = 0
        self.draw_count = 0

    def _draw_result(self, model: ServerModel) -> AttemptResult:
        self.draw_count += 1
        if self.used_count < len(self.results):
            self.used_count += 1
            return self.results[self.used_count - 1]
        return AttemptResult.OK


def explore(
    shape: RequestShape, settings: Settings, listing: CheckedList, units: float = 1.0
) -> Iterator[RequestTrace]:
    """Yields the trace of a request of this shape for each sequence of attempt results.

    Raises:
        TooManyBranchesError: There are more than `MAX_BRANCH_COUNT` sequences.
    """
    collection = Collection("reach", shape.plan, (max(shape.shard, 0),))
    load = Load("reach", shape.class_name, 1.0, 0, 1, units, shape.shard < 0)
    stack: list[tuple[AttemptResult, ...]] = [(end,) for end in ATTEMPT_RESULTS]
    sequence_count = 0
    while stack:
        results = stack.pop()
        sequence_count += 1
        if sequence_count > MAX_BRANCH_COUNT:
            raise TooManyBranchesError(
                f"{shape.describe()}: more than {MAX_BRANCH_COUNT} sequences of outcomes"
            )
        world = _ScriptedWorld(settings, listing, results)
        trace = world.take(collection, "reach.0", load, shape.shard, 0, "0" * 16)
        tickets = world.lifecycle.open_requests
        world.loop.run(START_US + SETTLING_US, lambda: bool(trace.answers()) and not len(tickets))  # noqa: B023
        yield trace
        if world.draw_count > len(
            results
        ):  # there was one more attempt than the sequence has results: try each result of it
            stack += [(*results, end) for end in ATTEMPT_RESULTS]


def matching_shapes(
    selector: Selector, settings: Settings, listing: CheckedList, collections: dict[str, Collection]
) -> list[RequestShape]:
    """All shapes that match a selector: each class, plan and shard.

    The shards are those of the list, limited to the selected collection or shard; -1 for new objects.
    """
    classes = [c.name for c in settings.classes if selector.class_name in ("", c.name)]
    plans = [p.name for p in settings.plans if selector.plan in ("", p.name)]
    shards = sorted({s.shard for s in listing.endpoints.values()})
    if selector.collection:
        collection = collections[selector.collection]
        plans = [p for p in plans if p == collection.plan]
        shards = [s for s in shards if s in collection.shards]
    if selector.shard is not None:
        shards = [selector.shard]
    if selector.new:
        shards = [-1]
    return [RequestShape(c, p, s) for c in classes for p in plans for s in shards]


def _violation(expectation: Expectation, trace: RequestTrace) -> str:
    if expectation.rule in ("may-only", "may-never"):
        for step in trace.attempts():
            if (step.server in expectation.servers) == (expectation.rule == "may-never"):
                return f"it can be sent to {step.server}"
    elif expectation.rule == "may-attempts":
        count = len(trace.attempts())
        return f"it can be sent {count} times" if count > expectation.limit else ""
    return ""


def check_all_sequences(
    expectation: Expectation,
    settings: Settings,
    listing: CheckedList,
    collections: dict[str, Collection],
    scenario: str,
    traces_by_shape: dict[RequestShape, list[RequestTrace]],
) -> Verdict:
    """Checks an expectation over every sequence of attempt results of every matching shape.

    The shortest trace that violates it becomes the witness. `traces_by_shape` caches the traces by shape.
    """
    shapes = matching_shapes(expectation.selector, settings, listing, collections)
    count = 0
    if not shapes:
        return Verdict(expectation, scenario, Outcome.ERROR, "no class, plan and shard match the expectation")
    shortest: tuple[int, RequestTrace, str] | None = None
    for shape in shapes:
        try:
            if shape not in traces_by_shape:
                traces_by_shape[shape] = list(explore(shape, settings, listing))
            for trace in traces_by_shape[shape]:
                count += 1
                reason = _violation(expectation, trace)
                if expectation.rule == "may-once" and (step := find_unsafe_resend(trace)) is not None:
                    reason = f"it can be sent to {step.server} after an attempt that may have run"
                if reason and (shortest is None or len(trace.steps) < shortest[0]):
                    result_names = ", ".join(s.result for s in trace.steps if s.kind == "ended")
                    shortest = (
                        len(trace.steps),
                        trace,
                        f"{shape.describe()}: {reason} when attempts end in: {result_names}",
                    )
        except TooManyBranchesError as error:
            return Verdict(expectation, scenario, Outcome.ERROR, str(error), None, count)
    if shortest is not None:
        return Verdict(expectation, scenario, Outcome.FAILED, shortest[2], shortest[1], count)
    reason = f"all {count} sequences of outcomes of {len(shapes)} shapes"
    return Verdict(expectation, scenario, Outcome.PASSED, reason, None, count)
