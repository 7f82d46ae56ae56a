"""Compares the routing of two configurations with their lists, before the new one is deployed.

For each side, every sequence of attempt results of every shape of request is explored with the request
lifecycle (`reach`), so that the comparison covers what the program does, and not only the text of the files.
A shard whose servers and settings are the same on both sides can't differ and is not explored. New objects
may go to any server that accepts them; for them the servers and their shares of the weight are compared.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.routing_tests.reach import Shape, TooManyBranchesError, walk
from umberlead.scheduling.events import EndpointStatus
from umberlead.scheduling.settings import Settings


@dataclass(frozen=True, slots=True)
class Reach:
    """What can happen to a request of one shape, over all sequences of attempt results."""

    servers: frozenset[str] = frozenset()
    attempts: int = 0  # the largest number of attempts
    answers: frozenset[str] = frozenset()  # the kinds of answer that occur

    @staticmethod
    def of(shape: Shape, settings: Settings, listing: CheckedList) -> "Reach":
        """Explores every sequence of attempt results of a shape."""
        servers = set[str]()
        attempts = 0
        answers = set[str]()
        for life in walk(shape, settings, listing):
            sent = life.attempts()
            servers |= {step.server for step in sent}
            attempts = max(attempts, len(sent))
            answers |= {step.result for step in life.answers()}
        return Reach(frozenset(servers), attempts, frozenset(answers))


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference in routing, for one or several shapes of request, or in a class or plan."""

    what: str
    gained: tuple[str, ...] = ()  # servers that only the new side can send to
    lost: tuple[str, ...] = ()  # servers that only the old side can send to
    notes: tuple[str, ...] = ()

    def __str__(self) -> str:
        """The difference in one line."""
        parts = [f"+ {' '.join(self.gained)}"] * bool(self.gained)
        parts += [f"- {' '.join(self.lost)}"] * bool(self.lost)
        return f"{self.what}: " + "; ".join([*parts, *self.notes])

    def row(self) -> dict[str, object]:
        """The difference as `--json` prints it."""
        return {
            "what": self.what,
            "gained": list(self.gained),
            "lost": list(self.lost),
            "notes": list(self.notes),
        }


Side = tuple[Settings, CheckedList]


def _of_shard(listing: CheckedList, shard: int) -> dict[str, EndpointSpec]:
    return {n: s for n, s in listing.endpoints.items() if s.shard == shard}


def differences(old: Side, new: Side) -> list[Difference]:
    """Lists the differences: classes and plans, then new objects, then shards; empty if there are none."""
    return [*_words(old[0], new[0]), *_new_objects(old, new), *_shards(old, new)]


def _words(old: Settings, new: Settings) -> Iterator[Difference]:
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
                    f"{PRINTED_FIELDS.get(f, f)} {_told(getattr(a, f))} -> {_told(getattr(b, f))}"
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


def _told(value: object) -> str:
    return str(getattr(value, "value", value))


def _new_objects(old: Side, new: Side) -> Iterator[Difference]:
    before, after = (_parts(listing) for _, listing in (old, new))
    gained = sorted(set(after) - set(before))
    lost = sorted(set(before) - set(after))
    notes = [
        f"{name} {100 * before[name]:.3g}% -> {100 * after[name]:.3g}%"
        for name in sorted(set(before) & set(after))
        if abs(before[name] - after[name]) > 0.0005
    ]
    if gained or lost or notes:
        more = [f"and {len(notes) - 8} more"] if len(notes) > 8 else []
        yield Difference("new objects", tuple(gained), tuple(lost), (*notes[:8], *more))


def _parts(listing: CheckedList) -> dict[str, float]:
    """The servers that accept new objects, and the share of new objects of each while all are available."""
    takes = {
        n: 1.0 if s.weight is None else s.weight
        for n, s in listing.endpoints.items()
        if s.status is EndpointStatus.UP and s.weight != 0
    }
    whole = sum(takes.values())
    return {n: w / whole for n, w in takes.items()}


def _shards(old: Side, new: Side) -> Iterator[Difference]:
    shards = sorted({s.shard for _, listing in (old, new) for s in listing.endpoints.values()})
    if old[0] == new[0]:
        shards = [n for n in shards if _of_shard(old[1], n) != _of_shard(new[1], n)]
    classes = [c.name for c in old[0].classes if c.name in {k.name for k in new[0].classes}]
    plans = [p.name for p in old[0].plans if p.name in {k.name for k in new[0].plans}]
    for shard in shards:
        alike: dict[tuple[Reach, Reach], list[tuple[str, str]]] = {}
        for class_name in classes:
            for plan in plans:
                shape = Shape(class_name, plan, shard)
                pair = _reach(shape, *old), _reach(shape, *new)
                if pair[0] != pair[1]:
                    alike.setdefault(pair, []).append((class_name, plan))
        for (a, b), who in alike.items():
            of = "any request" if len(who) == len(classes) * len(plans) else ", ".join(_named(who, plans))
            notes = []
            if a.attempts != b.attempts:
                notes.append(f"at most {a.attempts} -> {b.attempts} attempts")
            if a.answers != b.answers:
                notes.append(f"answers {'/'.join(sorted(a.answers))} -> {'/'.join(sorted(b.answers))}")
            if not b.servers:
                notes.append("no server can serve it")
            gained = tuple(sorted(b.servers - a.servers))
            lost = tuple(sorted(a.servers - b.servers))
            yield Difference(f"{of}, shard {shard}", gained, lost, tuple(notes))


def _named(who: list[tuple[str, str]], plans: list[str]) -> list[str]:
    """Names the pairs of class and plan; a class with all plans is named without them."""
    by_class: dict[str, list[str]] = {}
    for class_name, plan in who:
        by_class.setdefault(class_name, []).append(plan)
    return [
        name if len(of) == len(plans) else " and ".join(f"{name} on {plan}" for plan in of)
        for name, of in by_class.items()
    ]


def _reach(shape: Shape, settings: Settings, listing: CheckedList) -> Reach:
    """Explores a shape with the servers of its shard only, since requests go to no others."""
    own = _of_shard(listing, shape.shard)
    if not own:
        return Reach()
    try:
        return Reach.of(shape, settings, CheckedList(listing.version, listing.digest, own))
    except TooManyBranchesError as fault:
        raise TooManyBranchesError(f"{fault}: the difference can't be determined") from None
