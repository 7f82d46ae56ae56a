"""The list in force: files, discovery and marks by hand merged under generations. Pure: no I/O, no clock.

Precedence, name by name: a mark by hand, then the files, then discovery. The first source that lists a server
gives address, shard, room, weight and limits; it drains if any source that lists it says so, and its start is
the latest that any tells. Every event touches the names that it speaks of and no others, so that its cost
follows what changed and not the length of the list."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from umberlead.membership.flap_damping import Damping, Flaps
from umberlead.membership.model import (
    Change,
    Delta,
    Listing,
    Member,
    Place,
    Problem,
    Server,
    Source,
    difference,
)
from umberlead.scheduling.interface import NodeState

DIGEST_LEAST = 8  # hex digits by which a list may be confirmed


@dataclass(frozen=True, slots=True)
class Rules:
    withdrawn_most: float = 0.25  # part of the ready servers that one list may withdraw unconfirmed
    remember: int = 120_000_000  # us that a server's identity is kept once it left: longer than any request
    damping: Damping = field(default_factory=Damping)


class NotPending(ValueError):
    """There is no such list to confirm."""


@dataclass(frozen=True, slots=True)
class Pending:
    """A sound list that takes away too much to be taken unasked."""

    listing: Listing
    delta: Delta
    problems: tuple[Problem, ...]
    since: int


class Membership:
    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.generation = 0
        self.listing: Listing | None = None
        self.origin = "none"  # of the files' part: none, snapshot or files
        self.since = 0  # when the files' part last changed
        self.pending: Pending | None = None
        self.complaint: tuple[Problem, ...] = ()  # why the files as they stand are not in force
        self.members: dict[str, Member] = {}  # by name
        self.marks: dict[str, int] = {}  # out by hand, and since when
        self._listed: tuple[dict[str, Server], dict[str, Server]] = ({}, {})  # by source
        self._flaps = Flaps(rules.damping)
        self._willing: dict[int, set[str]] = {}  # by shard: names that all sources would have work for
        self._wants: dict[str, int] = {}  # the shard under which a name stands in there
        self._ids: dict[str, tuple[object, str]] = {}  # identity and id, also of names that left
        self._left: dict[str, int] = {}  # names that ceased to be ready, and when
        self._gone: dict[str, int] = {}  # names that are in no source any longer, and since when
        self._marked: dict[str, str] = {}  # the id that a name's mark was told for

    # Events

    def restore(self, now: int, listing: Listing) -> Change:
        """The last good list, before the files have been read."""
        assert self.listing is None
        return self._take(now, listing, difference({}, listing.servers), "snapshot")

    def files(self, now: int, listing: Listing, delta: Delta | None = None, base: str = "") -> Change:
        """A set of files that passed its checks. `delta` was taken against the list of digest `base`."""
        old = self.listing
        if old is not None and listing.digest == old.digest:
            self.pending, self.complaint, self.origin = None, (), "files"
            return self._none()
        if delta is None or base != (old.digest if old else ""):
            delta = difference(old.servers if old else {}, listing.servers)
        if old is not None and (problems := self._too_much(listing, delta)):
            same = self.pending is not None and self.pending.listing.digest == listing.digest
            since = self.pending.since if self.pending is not None and same else now
            self.pending, self.complaint = Pending(listing, delta, problems, since), problems
            return self._none()
        return self._take(now, listing, delta, "files")

    def refused(self, problems: Iterable[Problem]) -> None:
        """The files as they stand can't be taken. A list that was held is no longer what they say."""
        self.pending, self.complaint = None, tuple(problems)

    def confirm(self, now: int, digest: str) -> Change:
        """An operator's word for the list that is held, named by the begin of its digest."""
        if self.pending is None:
            raise NotPending("no list is held")
        if len(digest) < DIGEST_LEAST or not self.pending.listing.digest.startswith(digest):
            raise NotPending(f"the list that is held is {self.pending.listing.digest[:16]}")
        listing = self.pending.listing
        old = self.listing.servers if self.listing else {}
        return self._take(now, listing, difference(old, listing.servers), "files")

    def discovery(self, now: int, whole: bool, servers: Iterable[Server]) -> Change:
        """News of discovery; one in state GONE is no longer listed there."""
        known = self._listed[Source.DISCOVERY]
        touched = dict.fromkeys(known if whole else ())
        if whole:
            known.clear()
        for server in servers:
            touched[server.name] = None
            if server.state is NodeState.GONE:
                known.pop(server.name, None)
                continue
            before = known.get(server.name)
            if server.address is None and before is not None:  # what drains may come without one
                server = replace(server, address=before.address)
            known[server.name] = server
        return self._merge(now, touched)

    def mark(self, now: int, name: str, out: bool, at: int = 0) -> Change:
        """Out by hand, or back. A mark stays while its server comes and goes."""
        if out:
            self.marks.setdefault(name, at)
        else:
            self.marks.pop(name, None)
        return self._merge(now, [name])

    def tick(self, now: int) -> Change:
        """Time alone: who has been held long enough comes in; what left long ago is forgotten."""
        old = now - self.rules.remember
        for name in [n for n, at in self._left.items() if at <= old]:
            del self._left[name]
        for name in [n for n, at in self._gone.items() if at <= old]:
            del self._gone[name], self._ids[name]
        return self._merge(now, self._flaps.due(now))

    def next(self) -> int | None:
        """When `tick` will next change the list, if ever."""
        return self._flaps.next()

    def knows(self, name: str) -> bool:
        return name in self.members or name in self.marks

    # Merging

    def _none(self) -> Change:
        return Change(self.generation)

    def _too_much(self, listing: Listing, delta: Delta) -> tuple[Problem, ...]:
        place, found = Place(listing.files[0] if listing.files else ""), []
        if delta.withdrawn > max(int(delta.ready * self.rules.withdrawn_most), 1):
            text = f"{delta.withdrawn} of {delta.ready} ready servers are withdrawn at once"
            found.append(Problem("L301", place, text))
        if delta.lost:
            shards = ", ".join(map(str, delta.lost[:8])) + (" ..." if len(delta.lost) > 8 else "")
            found.append(Problem("L302", place, f"no ready server is left for shard {shards}"))
        return tuple(found)

    def _take(self, now: int, listing: Listing, delta: Delta, origin: str) -> Change:
        self._listed = (listing.servers, self._listed[Source.DISCOVERY])
        self.listing, self.origin, self.since = listing, origin, now
        self.pending, self.complaint = None, ()
        return self._merge(now, delta.names)

    def _merged(self, name: str) -> tuple[Server, Source] | None:
        """What the sources together say of it, before damping."""
        found: Server | None = None
        source = Source.DISCOVERY
        for of in Source:
            told = self._listed[of].get(name)
            if told is None:
                continue
            if found is None:
                found, source = told, of
                continue
            if told.state is not NodeState.UP and found.state is NodeState.UP:
                found = replace(found, state=told.state)
            if told.started > found.started:
                found = replace(found, started=told.started)
        return None if found is None else (found, source)

    def _merge(self, now: int, names: Iterable[str]) -> Change:
        todo = dict.fromkeys(names)
        if not todo:
            return self._none()
        merged = {name: self._merged(name) for name in todo}
        shards = {shard for name, got in merged.items() for shard in self._will(now, name, got)}
        for shard in shards:  # who is held for flapping depends on who else there is
            for name in self._willing.get(shard, ()):
                if name in self._flaps.held and name not in todo:
                    todo[name], merged[name] = None, self._merged(name)
        came, changed, went = list[Member](), list[tuple[Member, Member]](), list[Member]()
        for name in todo:
            before, after = self.members.get(name), self._member(name, merged[name])
            if before == after:
                continue
            if after is None:
                assert before is not None
                del self.members[name]
                self._gone[name] = now
                went.append(before)
                continue
            self.members[name] = after
            self._gone.pop(name, None)
            if before is None:
                came.append(after)
            elif before.id == after.id:
                changed.append((before, after))
            else:
                went.append(before)
                came.append(after)
        marks = self._marks(todo)
        if came or changed or went:
            self.generation += 1
        return Change(self.generation, tuple(came), tuple(changed), tuple(went), marks)

    def _will(self, now: int, name: str, got: tuple[Server, Source] | None) -> list[int]:
        """Note whether the name is wanted for work, and where; the shards whose holds may change with it."""
        old = self._wants.get(name)
        new = got[0].shard if got is not None and got[0].state is NodeState.UP else None
        moved = got is not None and name in self._ids and self._ids[name][0] != _identity(got[0])
        if new is not None and (name in self._left or (moved and old is not None)):
            self._left.pop(name, None)
            self._flaps.returned(name, now)
        if old is not None and new is None:
            self._left[name] = now
        if old is not None and old != new:
            self._willing[old].discard(name)
            if not self._willing[old]:
                del self._willing[old]
            del self._wants[name]
        if new is not None:
            self._willing.setdefault(new, set()).add(name)
            self._wants[name] = new
        return [shard for shard in (old, new) if shard is not None]

    def _held(self, name: str, shard: int) -> bool:
        """Held for flapping, unless nobody else is there for the shard."""
        if name not in self._flaps.held:
            return False
        others = self._willing.get(shard, set())
        return any(n not in self._flaps.held and n not in self.marks for n in others if n != name)

    def _member(self, name: str, got: tuple[Server, Source] | None) -> Member | None:
        if got is None:
            return None
        server, source = got
        held = server.state is NodeState.UP and self._held(name, server.shard)
        if held:
            server = replace(server, state=NodeState.DRAINING)
        identity = _identity(server)
        known = self._ids.get(name)
        if known is None:
            self._ids[name] = known = (identity, name)
        elif known[0] != identity:
            # Answers of the old machine say nothing of the new one, and what is out there ends there.
            self._ids[name] = known = (identity, f"{name}~{self.generation + 1}")
        return Member(known[1], server, source, held)

    def _marks(self, names: Iterable[str]) -> tuple[tuple[str, bool, int], ...]:
        """A mark is told for the id that the name has now; one told for an earlier id is taken back."""
        told = list[tuple[str, bool, int]]()
        for name in names:
            member, known = self.members.get(name), self._marked.get(name)
            due = member.id if member is not None and name in self.marks else None
            if known is not None and known != due:
                told.append((known, False, 0))
                del self._marked[name]
            if due is not None and known != due:
                told.append((due, True, self.marks[name]))
                self._marked[name] = due
        return tuple(told)


def _identity(server: Server) -> object:
    return server.address, server.shard
