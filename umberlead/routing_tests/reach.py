"""Explores every sequence of attempt results of one request, up to its last attempt.

Covered: one request of each matching class, plan and shard, alone on idle servers of the list in force, with
each attempt ending with each of the seven results in `ENDS`. Not covered: effects of load (concurrency
limits, priority weights, reserves), concurrent requests, and list changes during an attempt. Each sequence is
replayed from its start, so that the state of the lifecycle need not be copied.
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
from umberlead.routing_tests.verdict import sent_again
from umberlead.routing_tests.world import SETTLING_US, START_US, ServerModel, World
from umberlead.scheduling.events import AttemptResult
from umberlead.scheduling.settings import Settings

ENDS = (
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
class Shape:
    """Class, plan and shard of a request."""

    class_name: str
    plan: str
    shard: int  # -1: a write of a new object, which any server may take

    def describe(self) -> str:
        """The shape as messages name it."""
        return f"{self.class_name} on {self.plan}, " + ("new" if self.shard < 0 else f"shard {self.shard}")


class TooManyBranchesError(UmberleadError, ValueError):
    """A shape of request has more than `MAX_BRANCH_COUNT` sequences of attempt results."""


class _Scripted(World):
    """A world whose attempts end with the given results, in order; further attempts wait."""

    def __init__(self, settings: Settings, listing: CheckedList, ends: tuple[AttemptResult, ...]) -> None:
        super().__init__(settings, listing, 1, explain=True)
        self.ends = ends
        self.used_count = 0
        self.draw_count = 0

    def _drawn(self, model: ServerModel) -> AttemptResult:
        self.draw_count += 1
        if self.used_count < len(self.ends):
            self.used_count += 1
            return self.ends[self.used_count - 1]
        return AttemptResult.OK


def walk(
    shape: Shape, settings: Settings, listing: CheckedList, units: float = 1.0
) -> Iterator[RequestTrace]:
    """Yields the trace of a request of this shape for each sequence of attempt results.

    Raises:
        TooManyBranchesError: There are more than `MAX_BRANCH_COUNT` sequences.
    """
    collection = Collection("reach", shape.plan, (max(shape.shard, 0),))
    load = Load("reach", shape.class_name, 1.0, 0, 1, units, shape.shard < 0)
    stack: list[tuple[AttemptResult, ...]] = [(end,) for end in ENDS]
    seen = 0
    while stack:
        ends = stack.pop()
        seen += 1
        if seen > MAX_BRANCH_COUNT:
            raise TooManyBranchesError(
                f"{shape.describe()}: more than {MAX_BRANCH_COUNT} sequences of outcomes"
            )
        world = _Scripted(settings, listing, ends)
        life = world.take(collection, "reach.0", load, shape.shard, 0, "0" * 16)
        tickets = world.lifecycle.open_requests
        world.loop.run(START_US + SETTLING_US, lambda: bool(life.answers()) and not len(tickets))  # noqa: B023
        yield life
        if world.draw_count > len(
            ends
        ):  # there was one more attempt than the sequence has results: try each result of it
            stack += [(*ends, end) for end in ENDS]


def shapes(
    of: Selector, settings: Settings, listing: CheckedList, collections: dict[str, Collection]
) -> list[Shape]:
    """All shapes that match a selector: each class, plan and shard.

    The shards are those of the list, limited to the selected collection or shard; -1 for new objects.
    """
    classes = [c.name for c in settings.classes if of.class_name in ("", c.name)]
    plans = [p.name for p in settings.plans if of.plan in ("", p.name)]
    shards = sorted({s.shard for s in listing.endpoints.values()})
    if of.collection:
        collection = collections[of.collection]
        plans = [p for p in plans if p == collection.plan]
        shards = [s for s in shards if s in collection.shards]
    if of.shard is not None:
        shards = [of.shard]
    if of.new:
        shards = [-1]
    return [Shape(c, p, s) for c in classes for p in plans for s in shards]


def _fault(of: Expectation, life: RequestTrace) -> str:
    if of.rule in ("may-only", "may-never"):
        for step in life.attempts():
            if (step.server in of.servers) == (of.rule == "may-never"):
                return f"it can be sent to {step.server}"
    elif of.rule == "may-attempts":
        n = len(life.attempts())
        return f"it can be sent {n} times" if n > of.limit else ""
    return ""


def proved(
    of: Expectation,
    settings: Settings,
    listing: CheckedList,
    collections: dict[str, Collection],
    scenario: str,
    walked: dict[Shape, list[RequestTrace]],
) -> Verdict:
    """Checks an expectation over every sequence of attempt results of every matching shape.

    The shortest trace that violates it becomes the witness. `walked` caches the traces by shape.
    """
    fitting = shapes(of.selector, settings, listing, collections)
    count = 0
    if not fitting:
        return Verdict(of, scenario, Outcome.ERROR, "no class, plan and shard match the expectation")
    worst: tuple[int, RequestTrace, str] | None = None
    for shape in fitting:
        try:
            if shape not in walked:
                walked[shape] = list(walk(shape, settings, listing))
            for life in walked[shape]:
                count += 1
                why = _fault(of, life)
                if of.rule == "may-once" and (step := sent_again(life)) is not None:
                    why = f"it can be sent to {step.server} after an attempt that may have run"
                if why and (worst is None or len(life.steps) < worst[0]):
                    ends = ", ".join(s.result for s in life.steps if s.kind == "ended")
                    worst = len(life.steps), life, f"{shape.describe()}: {why} when attempts end in: {ends}"
        except TooManyBranchesError as fault:
            return Verdict(of, scenario, Outcome.ERROR, str(fault), None, count)
    if worst is not None:
        return Verdict(of, scenario, Outcome.FAILED, worst[2], worst[1], count)
    why = f"all {count} sequences of outcomes of {len(fitting)} shapes"
    return Verdict(of, scenario, Outcome.PASSED, why, None, count)
