"""Explores all sequences of a small set of events in the membership state machine, up to a given depth.

A state that was already explored with as many or more steps left is skipped. `python -m
umberlead.testing.explore DEPTH` prints the numbers of states and steps; a violated invariant ends it with an
error that lists the events that led there."""

import copy
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from umberlead.membership.flap_damping import FlapDampingSettings
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.model import CheckedList, EndpointSpec, FilePosition, ListProblem, MembershipChange
from umberlead.membership.pending_list import NoPendingListError
from umberlead.scheduling.events import EndpointStatus
from umberlead.testing.reference import Broken, Follower, Reference, compare

UP, DRAINING, GONE = EndpointStatus.UP, EndpointStatus.DRAINING, EndpointStatus.GONE
SECOND = 1_000_000
RULES = MembershipSettings(0.5, 40 * SECOND, FlapDampingSettings(10 * SECOND, 1500.0, 1000.0, 4000.0))


def endpoint_spec(
    name: str, port: int, shard: int = 0, state: EndpointStatus = UP, started: int = 0
) -> EndpointSpec:
    return EndpointSpec(name, ("127.0.0.1", port), shard, state, started_us=started)


def checked_list(digest: str, *servers: EndpointSpec) -> CheckedList:
    return CheckedList(1, digest * 16, {s.name: s for s in servers}, ("l",))


A, B, C = endpoint_spec("a", 1), endpoint_spec("b", 2), endpoint_spec("c", 3)
LISTS = {
    "both": checked_list("11111111", A, B),
    "a": checked_list("22222222", A),
    "a drains": checked_list("33333333", endpoint_spec("a", 1, state=DRAINING), B),
    "a moved": checked_list("44444444", endpoint_spec("a", 9), B),
    "a other shard": checked_list("55555555", endpoint_spec("a", 1, 1), B, C),
    "none of them": checked_list("66666666", C),
}


@dataclass
class World:
    membership: Membership
    reference: Reference
    follower: Follower
    now: int = SECOND

    @classmethod
    def new(cls, rules: MembershipSettings = RULES) -> "World":
        membership = Membership(rules)
        return cls(membership, Reference(membership), Follower())

    def copy(self) -> "World":
        membership = copy.deepcopy(self.membership)
        reference = Reference(membership)
        reference.facts = self.reference.facts.copy()
        return World(membership, reference, self.follower.copy(), self.now)

    def apply_change(self, change: MembershipChange) -> None:
        self.follower.take(change, self.now, self.membership.settings.identity_retention_us)

    # Each event is applied to the state machine and to the facts of the reference.

    def files(self, of: CheckedList) -> None:
        facts, membership = self.reference.facts, self.membership
        allowed = self.reference.allows(of)
        same = facts.listing is not None and facts.listing.digest == of.digest
        self.apply_change(membership.apply_files(self.now, of))
        if allowed or same:
            facts.listing = of
            if membership.pending is not None or membership.rejection_problems:
                raise Broken("a list was applied, but a rejection is still reported or pending")
        elif (
            membership.pending is None
            or membership.pending.checked_list is not of
            or not membership.rejection_problems
        ):
            raise Broken("a list that withdraws too many servers is not pending confirmation")

    def reject_files(self) -> None:
        before = dict(self.membership.active_endpoints)
        self.membership.reject_files([ListProblem("L102", FilePosition("l", 1), "half written")])
        if (
            self.membership.active_endpoints != before
            or self.membership.pending is not None
            or not self.membership.rejection_problems
        ):
            raise Broken("a malformed file changed the list, or its problems are not reported")

    def confirm(self, digest: str) -> None:
        pending = self.membership.pending
        try:
            change = self.membership.confirm(self.now, digest)
        except NoPendingListError:
            if pending is not None and len(digest) >= 8 and pending.checked_list.digest.startswith(digest):
                raise Broken("the pending list was not applied when confirmed") from None
            return
        if pending is None or len(digest) < 8 or not pending.checked_list.digest.startswith(digest):
            raise Broken("a list was confirmed that is not pending")
        self.reference.facts.listing = pending.checked_list
        self.apply_change(change)

    def discovery(self, whole: bool, *servers: EndpointSpec) -> None:
        known = self.reference.facts.discovered
        if whole:
            known.clear()
        for s in servers:
            if s.status is GONE:
                known.pop(s.name, None)
            else:
                known[s.name] = s
        self.apply_change(self.membership.apply_discovery(self.now, whole, servers))

    def set_manual_drain(self, name: str, out: bool) -> None:
        (self.reference.facts.marks.add if out else self.reference.facts.marks.discard)(name)
        self.apply_change(self.membership.set_manual_drain(self.now, name, out, self.now))

    def wait(self, by: int) -> None:
        self.now += by
        self.reference.pass_time(self.now)
        self.apply_change(self.membership.advance_time(self.now))

    def settle(self) -> None:
        self.reference.settle(self.now)
        compare(self.membership, self.reference, self.follower)
        self._held()

    def _held(self) -> None:
        """Check that a suppressed server has a due time, at most `max_suppression_us` from now."""
        due = self.membership.next_change_us()
        if due is None and self.reference.facts.held:
            raise Broken("a server is suppressed without a time at which it is readmitted")
        if due is not None and due > self.now + self.membership.settings.flap_damping.max_suppression_us:
            raise Broken("a server is suppressed for longer than the settings allow")

    def key(self) -> object:
        """Return the state that determines future behaviour, without ids and generations, which only grow."""
        m, facts = self.membership, self.reference.facts
        ages = sorted((n, round(v), self.now - at) for n, (v, at) in facts.penalty.items())
        return (
            m.file_list.digest if m.file_list else None,
            m.file_list_origin,
            m.pending.checked_list.digest if m.pending else None,
            bool(m.rejection_problems),
            tuple(sorted(facts.marks)),
            tuple(sorted(facts.held)),
            tuple(ages),
            tuple(sorted((n, s.address, s.shard, s.status.value) for n, s in facts.discovered.items())),
            tuple(sorted((n, self.now - at) for n, at in facts.lost.items())),
            tuple(sorted((n, m.endpoint.address, m.endpoint.shard) for n, m in m.active_endpoints.items())),
        )


Event = tuple[str, Callable[[World], None]]


def alphabet() -> Iterator[Event]:
    for name, of in LISTS.items():
        yield f"files: {name}", lambda w, of=of: w.files(of)  # type: ignore[misc]
    yield "files: broken", World.reject_files
    for name in ("a", "none of them"):
        digest = LISTS[name].digest
        yield f"confirm: {name}", lambda w, d=digest: w.confirm(d[:8])  # type: ignore[misc]
    yield "confirm: too short", lambda w: w.confirm("6")
    yield "discovery: a ready", lambda w: w.discovery(False, replace_started(A, w.now))
    yield "discovery: a drains", lambda w: w.discovery(False, endpoint_spec("a", 1, state=DRAINING))
    yield "discovery: a gone", lambda w: w.discovery(False, endpoint_spec("a", 1, state=GONE))
    yield "discovery: all is b elsewhere", lambda w: w.discovery(True, endpoint_spec("b", 8))
    yield "hand: a out", lambda w: w.set_manual_drain("a", True)
    yield "hand: b out", lambda w: w.set_manual_drain("b", True)
    yield "hand: a back", lambda w: w.set_manual_drain("a", False)
    yield "time: 1 s", lambda w: w.wait(SECOND)
    yield "time: 15 s", lambda w: w.wait(15 * SECOND)
    yield "time: 60 s", lambda w: w.wait(60 * SECOND)


def replace_started(of: EndpointSpec, at: int) -> EndpointSpec:
    return EndpointSpec(of.name, of.address, of.shard, of.status, started_us=at)


def explore(depth: int, rules: MembershipSettings = RULES) -> tuple[int, int]:
    """Return the numbers of explored states and steps.

    Raises:
        Broken: an invariant is violated; the message lists the events that led there.
    """
    events = list(alphabet())
    explored: dict[object, int] = {}
    steps = 0
    stack: list[tuple[World, tuple[str, ...]]] = [(World.new(rules), ())]
    while stack:
        world, path = stack.pop()
        left = depth - len(path)
        key = world.key()
        if explored.get(key, -1) >= left:
            continue
        explored[key] = left
        if not left:
            continue
        for name, act in events:
            follow = world.copy()
            steps += 1
            try:
                act(follow)
                follow.settle()
            except Exception as fault:
                raise Broken(f"after {' | '.join((*path, name))}: {type(fault).__name__}: {fault}") from fault
            stack.append((follow, (*path, name)))
    return len(explored), steps


if __name__ == "__main__":
    states, steps = explore(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
    print(f"{states} states, {steps} steps, no invariant violated")
