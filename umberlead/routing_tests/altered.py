"""Compares the routing of two configurations with their lists, before the new one is deployed.

For each side, every sequence of attempt results of every shape of request is explored with the request
lifecycle (`reach`), so that the comparison covers what the program does, and not only the text of the files.
A shard whose servers and settings are the same on both sides can't differ and is not explored. New objects
may go to any server that accepts them; for them the servers and their shares of the weight are compared.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.routing_tests.reach import RequestShape, TooManyBranchesError, explore
from umberlead.scheduling.events import EndpointStatus
from umberlead.scheduling.settings import Settings


@dataclass(frozen=True, slots=True)
class ReachableResults:
    """What can happen to a request of one shape, over all sequences of attempt results."""

    servers: frozenset[str] = frozenset()
    max_attempts: int = 0  # the largest number of attempts over all sequences
    answer_kinds: frozenset[str] = frozenset()  # the kinds of answer that occur

    @staticmethod
    def compute(shape: RequestShape, settings: Settings, listing: CheckedList) -> "ReachableResults":
        """Explores every sequence of attempt results of a shape."""
        servers = set[str]()
        attempts = 0
        answers = set[str]()
        for trace in explore(shape, settings, listing):
            sent = trace.attempts()
            servers |= {step.server for step in sent}
            attempts = max(attempts, len(sent))
            answers |= {step.result for step in trace.answers()}
        return ReachableResults(frozenset(servers), attempts, frozenset(answers))


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference in routing, for one or several shapes of request, or in a class or plan."""

    subject: str
    gained: tuple[str, ...] = ()  # servers that only the new side can send to
    lost: tuple[str, ...] = ()  # servers that only the old side can send to
    notes: tuple[str, ...] = ()

    def __str__(self) -> str:
        """The difference in one line."""
        parts = [f"+ {' '.join(self.gained)}"] * bool(self.gained)
        parts += [f"- {' '.join(self.lost)}"] * bool(self.lost)
        return f"{self.subject}: " + "; ".join([*parts, *self.notes])

    def row(self) -> dict[str, object]:
        """The difference as `--json` prints it."""
        return {
            "what": self.subject,
            "gained": list(self.gained),
            "lost": list(self.lost),
            "notes": list(self.notes),
        }


Side = tuple[Settings, CheckedList]


def _endpoints_of_shard(listing: CheckedList, shard: int) -> dict[str, EndpointSpec]:
    return {n: s for n, s in listing.endpoints.items() if s.shard == shard}


def differences(old: Side, new: Side) -> list[Difference]:
    """Lists the differences: classes and plans, then new objects, then shards; empty if there are none."""
    return [
        *_changed_definitions(old[0], new[0]),
        *_new_object_differences(old, new),
        *_shard_differences(old, new),
    ]


def _changed_definitions(old: Settings, new: Settings) -> Iterator[Difference]:
    """Yields the classes and plans that only one side has or whose fields differ."""
    for kind, before, after in (
        ("class", {c.name: c for c in old.classes}, {c.name: c for c in new.classes}),
        ("plan", {p.name: p for p in old.plans}, {p.name: p for p in new.plans}),
    ):
        for name in [*before, *(n for n in after if n not in before)]:
            a = before.get(name)
            b = after.get(name)
            if a is None or b is None:
                yield Difference(f"{kind} {name}", notes=("is new" if a is None else "is gone",))
            elif a != b:
                changed = [f for f in a.__dataclass_fields__ if getattr(a, f) != getattr(b, f)]
                notes = tuple(
                    f"{PRINTED_FIELDS.get(f, f)} {_printed(getattr(a, f))} -> {_printed(getattr(b, f))}"
                    for f in changed
                )
                yield Difference(f"{kind} {name}", notes=notes)


# Printed names of the fields of classes and plans, as operators know them from the settings.
PRINTED_FIELDS = {
    "latency_objective_us": "aim",
    "timeout_us": "deadline",
    "repeatability": "effect",
    "deduplication_scope": "group",
    "deduplication_window_us": "memory",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
    "usual_units_per_second": "rate",
    "reserved_units_per_second": "reserve",
    "priority_factor": "price",
    "limit_units_per_second": "limit_rate",
    "limit_burst_units": "limit_burst",
    "limit_slack_units": "limit_slack",
}


def _printed(value: object) -> str:
    return str(getattr(value, "value", value))


def _new_object_differences(old: Side, new: Side) -> Iterator[Difference]:
    before, after = (_weight_shares(listing) for _, listing in (old, new))
    gained = sorted(set(after) - set(before))
    lost = sorted(set(before) - set(after))
    notes = [
        f"{name} {100 * before[name]:.3g}% -> {100 * after[name]:.3g}%"
        for name in sorted(set(before) & set(after))
        if abs(before[name] - after[name]) > 0.0005
    ]
    if gained or lost or notes:
        omitted = [f"and {len(notes) - 8} more"] if len(notes) > 8 else []
        yield Difference("new objects", tuple(gained), tuple(lost), (*notes[:8], *omitted))


def _weight_shares(listing: CheckedList) -> dict[str, float]:
    """The servers that accept new objects, and the share of new objects of each while all are available."""
    weights = {
        n: 1.0 if s.weight is None else s.weight
        for n, s in listing.endpoints.items()
        if s.status is EndpointStatus.UP and s.weight != 0
    }
    total_weight = sum(weights.values())
    return {n: w / total_weight for n, w in weights.items()}


def _shard_differences(old: Side, new: Side) -> Iterator[Difference]:
    shards = sorted({s.shard for _, listing in (old, new) for s in listing.endpoints.values()})
    if old[0] == new[0]:
        shards = [n for n in shards if _endpoints_of_shard(old[1], n) != _endpoints_of_shard(new[1], n)]
    classes = [c.name for c in old[0].classes if c.name in {k.name for k in new[0].classes}]
    plans = [p.name for p in old[0].plans if p.name in {k.name for k in new[0].plans}]
    for shard in shards:
        pairs_by_change: dict[tuple[ReachableResults, ReachableResults], list[tuple[str, str]]] = {}
        for class_name in classes:
            for plan in plans:
                shape = RequestShape(class_name, plan, shard)
                change = _reachable_results(shape, *old), _reachable_results(shape, *new)
                if change[0] != change[1]:
                    pairs_by_change.setdefault(change, []).append((class_name, plan))
        for (a, b), pairs in pairs_by_change.items():
            requests = (
                "any request"
                if len(pairs) == len(classes) * len(plans)
                else ", ".join(_name_pairs(pairs, plans))
            )
            notes = []
            if a.max_attempts != b.max_attempts:
                notes.append(f"at most {a.max_attempts} -> {b.max_attempts} attempts")
            if a.answer_kinds != b.answer_kinds:
                notes.append(
                    f"answers {'/'.join(sorted(a.answer_kinds))} -> {'/'.join(sorted(b.answer_kinds))}"
                )
            if not b.servers:
                notes.append("nobody can serve it")
            gained = tuple(sorted(b.servers - a.servers))
            lost = tuple(sorted(a.servers - b.servers))
            yield Difference(f"{requests}, shard {shard}", gained, lost, tuple(notes))


def _name_pairs(pairs: list[tuple[str, str]], plans: list[str]) -> list[str]:
    """Names the pairs of class and plan; a class with all plans is named without them."""
    by_class: dict[str, list[str]] = {}
    for class_name, plan in pairs:
        by_class.setdefault(class_name, []).append(plan)
    return [
        name if len(class_plans) == len(plans) else " and ".join(f"{name} on {plan}" for plan in class_plans)
        for name, class_plans in by_class.items()
    ]


def _reachable_results(shape: RequestShape, settings: Settings, listing: CheckedList) -> ReachableResults:
    """Explores a shape with the servers of its shard only, since requests go to no others."""
    endpoints = _endpoints_of_shard(listing, shape.shard)
    if not endpoints:
        return ReachableResults()
    try:
        return ReachableResults.compute(
            shape, settings, CheckedList(listing.version, listing.digest, endpoints)
        )
    except TooManyBranchesError as error:
        raise TooManyBranchesError(f"{error}: the difference can't be determined") from None
