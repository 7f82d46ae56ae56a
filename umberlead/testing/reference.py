"""A slow, simple reference model of the active endpoint list, to check the membership state machine against.

It stores only facts (the last report of each source, manual drains, when servers returned) and computes the
whole list anew after each event. `Follower` applies the changes that the state machine reports, as a front
does, and finds errors that no single state shows: ids used twice, generations that jump, manual drains
reported for the wrong server."""

from dataclasses import dataclass, field, replace

from umberlead.membership.list_merge import Membership
from umberlead.membership.model import CheckedList, EndpointSpec, MembershipChange, Source
from umberlead.scheduling.events import EndpointStatus


class Broken(AssertionError):
    """An invariant of the active endpoint list is violated."""


@dataclass
class Facts:
    """The inputs so far by source, and the facts that follow from them."""

    listing: CheckedList | None = None
    discovered: dict[str, EndpointSpec] = field(default_factory=dict)
    marks: set[str] = field(default_factory=set)
    ready_before: set[str] = field(default_factory=set)
    places: dict[str, tuple[object, ...]] = field(default_factory=dict)  # last address and shard by name
    lost: dict[str, int] = field(default_factory=dict)  # no longer ready, since when
    gone: dict[str, int] = field(default_factory=dict)  # in no source, since when
    penalty: dict[str, tuple[float, int]] = field(default_factory=dict)
    held: set[str] = field(default_factory=set)

    def copy(self) -> "Facts":
        return Facts(
            self.listing,
            dict(self.discovered),
            set(self.marks),
            set(self.ready_before),
            dict(self.places),
            dict(self.lost),
            dict(self.gone),
            dict(self.penalty),
            set(self.held),
        )


class Reference:
    def __init__(self, membership: Membership) -> None:
        self.rules, self.facts = membership.settings, Facts()

    def merged_entry(self, name: str) -> tuple[EndpointSpec, Source] | None:
        """Return the merged entry of a server and the source that it comes from."""
        listed = self.facts.listing.endpoints.get(name) if self.facts.listing else None
        other = self.facts.discovered.get(name)
        if listed is None and other is None:
            return None
        if listed is None:
            assert other is not None
            return other, Source.DISCOVERY
        if other is None:
            return listed, Source.FILES
        state = listed.status if listed.status is not EndpointStatus.UP else other.status
        return replace(
            listed, status=state, started_us=max(listed.started_us, other.started_us)
        ), Source.FILES

    def names(self) -> set[str]:
        listed = set(self.facts.listing.endpoints) if self.facts.listing else set()
        return listed | set(self.facts.discovered)

    def _current_penalty(self, name: str, now: int) -> float:
        value, at = self.facts.penalty.get(name, (0.0, now))
        faded = float(value * 2.0 ** (-(now - at) / self.rules.flap_damping.half_life_us))
        return faded if faded >= 50.0 else 0.0

    def settle(self, now: int, spoken_of: set[str] | None = None) -> None:
        """Update the facts after an event: penalize servers that returned, and note lost and gone ones."""
        facts, damping = self.facts, self.rules.flap_damping
        ready = set()
        for name in self.names() | facts.ready_before:
            got = self.merged_entry(name)
            is_ready = got is not None and got[0].status is EndpointStatus.UP
            if got is not None:
                place = (got[0].address, got[0].shard)
                moved = name in facts.places and facts.places[name] != place
                facts.places[name] = place
            else:
                moved = False
            if is_ready:
                ready.add(name)
                if name in facts.lost or (moved and name in facts.ready_before):
                    facts.lost.pop(name, None)
                    value = min(self._current_penalty(name, now) + 1000.0, damping.max_penalty)
                    facts.penalty[name] = (value, now)
                    if value > damping.suppress_threshold:
                        facts.held.add(name)
            elif name in facts.ready_before:
                facts.lost[name] = now
        facts.ready_before = ready
        facts.gone = {n: facts.gone.get(n, now) for n in facts.places.keys() - self.names()}

    def pass_time(self, now: int) -> None:
        facts = self.facts
        for name in list(facts.held):
            if self._current_penalty(name, now) < self.rules.flap_damping.reuse_threshold:
                facts.held.discard(name)
        for name, at in list(facts.lost.items()):
            if at <= now - self.rules.identity_retention_us:
                del facts.lost[name]
        for name, at in list(facts.gone.items()):
            if at <= now - self.rules.identity_retention_us:
                del facts.gone[name], facts.places[name]

    def in_force(self) -> dict[str, tuple[EndpointSpec, bool]]:
        """Return the expected active list; the flag marks suppressed servers."""
        facts, made = self.facts, {}
        for name in self.names():
            got = self.merged_entry(name)
            assert got is not None
            server = got[0]
            held = False
            if server.status is EndpointStatus.UP and name in facts.held:
                others = [n for n in facts.ready_before if n != name and self._shard(n) == server.shard]
                held = any(n not in facts.held and n not in facts.marks for n in others)
            if held:
                server = replace(server, status=EndpointStatus.DRAINING)
            made[name] = (server, held)
        return made

    def _shard(self, name: str) -> int:
        got = self.merged_entry(name)
        return got[0].shard if got is not None else -1

    def allows(self, listing: CheckedList) -> bool:
        """Return whether a list may be applied without confirmation by an operator."""
        old = self.facts.listing
        if old is None:
            return True
        ready = {n for n, s in old.endpoints.items() if s.status is EndpointStatus.UP}
        kept = {n for n, s in listing.endpoints.items() if s.status is EndpointStatus.UP}
        served, will = (
            {of.endpoints[n].shard for n in names} for of, names in ((old, ready), (listing, kept))
        )
        few = len(ready - kept) <= max(int(len(ready) * self.rules.max_withdrawn_ratio), 1)
        return few and not served - will


class Follower:
    """The view of a front that applies all reported changes: servers by id, and manual drains by id."""

    def __init__(self) -> None:
        self.servers: dict[str, EndpointSpec] = {}
        self.marks: set[str] = set()
        self.identities: dict[str, tuple[object, int]] = {}  # address and shard by id
        self.gone: dict[str, int] = {}  # removed ids, with the time of removal
        self.generation = 0

    def copy(self) -> "Follower":
        made = Follower()
        made.servers, made.marks = dict(self.servers), set(self.marks)
        made.identities, made.gone, made.generation = dict(self.identities), dict(self.gone), self.generation
        return made

    def take(self, change: MembershipChange, now: int, remember: int) -> None:
        """Apply a change and check it.

        An id may be reused for another server once it has been gone for `remember`: by then no request with
        the old meaning is open.
        """
        for node in [n for n, at in self.gone.items() if at <= now - remember]:
            del self.gone[node], self.identities[node]
        moved = bool(change.added or change.changed or change.removed)
        if change.generation != self.generation + moved:
            raise Broken(f"generation {change.generation} after {self.generation}, moved {moved}")
        self.generation = change.generation
        for node, out, _ in change.manual_drains:
            if out == (node in self.marks):
                raise Broken(f"the manual drain of {node} is reported twice")
            (self.marks.add if out else self.marks.discard)(node)
        for member in change.removed:
            if self.servers.pop(member.id, None) is None:
                raise Broken(f"{member.id} was removed but did not exist")
            self.gone[member.id] = now
        for before, after in change.changed:
            if before.id != after.id or self.servers.get(before.id) != before.endpoint:
                raise Broken(f"{before.id} changed from a value that it did not have")
            self.servers[after.id] = after.endpoint
        for member in change.added:
            if member.id in self.servers:
                raise Broken(f"{member.id} was added twice")
            self.servers[member.id] = member.endpoint
            self.gone.pop(member.id, None)
        for node, server in self.servers.items():
            place = (server.address, server.shard)
            if self.identities.setdefault(node, place) != place:
                raise Broken(f"{node} was {self.identities[node]} and is {place}")


def compare(machine: Membership, reference: Reference, follower: Follower) -> None:
    """Compare the state machine, the changes that it reported, and the reference model.

    Raises:
        Broken: they differ.
    """
    want = reference.in_force()
    have = {name: (m.endpoint, m.suppressed) for name, m in machine.active_endpoints.items()}
    if have != want:
        raise Broken(f"the active list is {have}, expected {want}")
    if {m.id: m.endpoint for m in machine.active_endpoints.values()} != follower.servers:
        raise Broken("the reported changes do not add up to the active list")
    marked = {machine.active_endpoints[n].id for n in reference.facts.marks if n in machine.active_endpoints}
    if marked != follower.marks:
        raise Broken(f"manual drains by the reported changes: {follower.marks}; expected {marked}")
