"""The list in force: files, discovery and marks by hand merged under generations. Pure: no I/O, no clock.

Precedence, name by name: a mark by hand, then the files, then discovery. The first source that lists a server
gives address, shard, room, weight and limits; it drains if any source that lists it says so, and its start is
the latest that any tells. Every event touches the names that it speaks of and no others, so that its cost
follows what changed and not the length of the list."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from umberlead.membership.flap_damping import FlapDamper, FlapDampingSettings
from umberlead.membership.model import (
    ActiveEndpoint,
    CheckedList,
    EndpointSpec,
    FilePosition,
    ListDelta,
    ListProblem,
    MembershipChange,
    Source,
    diff_endpoints,
)
from umberlead.scheduling.events import EndpointStatus

MIN_DIGEST_PREFIX_SIZE = 8  # hex digits by which a list may be confirmed


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    max_withdrawn_ratio: float = 0.25  # part of the ready servers that one list may withdraw unconfirmed
    identity_retention_us: int = (
        120_000_000  # us that a server's identity is kept once it left: longer than any request
    )
    flap_damping: FlapDampingSettings = field(default_factory=FlapDampingSettings)


class NoPendingListError(ValueError):
    """There is no such list to confirm."""


@dataclass(frozen=True, slots=True)
class PendingList:
    """A sound list that takes away too much to be taken unasked."""

    checked_list: CheckedList
    delta: ListDelta
    problems: tuple[ListProblem, ...]
    since_us: int


class Membership:
    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.generation = 0
        self.file_list: CheckedList | None = None
        self.file_list_origin = "none"  # of the files' part: none, snapshot or files
        self.file_list_changed_us = 0  # when the files' part last changed
        self.pending: PendingList | None = None
        self.rejection_problems: tuple[ListProblem, ...] = ()  # why the files as they stand are not in force
        self.active_endpoints: dict[str, ActiveEndpoint] = {}  # by name
        self.manual_drains: dict[str, int] = {}  # out by hand, and since when
        self._endpoints_by_source: tuple[dict[str, EndpointSpec], dict[str, EndpointSpec]] = (
            {},
            {},
        )  # by source
        self._flap_damper = FlapDamper(settings.flap_damping)
        self._ready_names_by_shard: dict[
            int, set[str]
        ] = {}  # by shard: names that all sources would have work for
        self._shard_by_ready_name: dict[str, int] = {}  # the shard under which a name stands in there
        self._identities: dict[str, tuple[object, str]] = {}  # identity and id, also of names that left
        self._not_ready_since_us: dict[str, int] = {}  # names that ceased to be ready, and when
        self._removed_us: dict[str, int] = {}  # names that are in no source any longer, and since when
        self._drained_ids: dict[str, str] = {}  # the id that a name's mark was told for

    # Events

    def restore(self, now_us: int, checked_list: CheckedList) -> MembershipChange:
        """The last good list, before the files have been read."""
        assert self.file_list is None
        return self._replace_file_list(
            now_us, checked_list, diff_endpoints({}, checked_list.endpoints), "snapshot"
        )

    def apply_files(
        self, now_us: int, checked_list: CheckedList, delta: ListDelta | None = None, base_digest: str = ""
    ) -> MembershipChange:
        """A set of files that passed its checks. `delta` was taken against the list of digest `base`."""
        old = self.file_list
        if old is not None and checked_list.digest == old.digest:
            self.pending, self.rejection_problems, self.file_list_origin = None, (), "files"
            return self._no_change()
        if delta is None or base_digest != (old.digest if old else ""):
            delta = diff_endpoints(old.endpoints if old else {}, checked_list.endpoints)
        if old is not None and (problems := self._confirmation_problems(checked_list, delta)):
            same = self.pending is not None and self.pending.checked_list.digest == checked_list.digest
            since = self.pending.since_us if self.pending is not None and same else now_us
            self.pending, self.rejection_problems = (
                PendingList(checked_list, delta, problems, since),
                problems,
            )
            return self._no_change()
        return self._replace_file_list(now_us, checked_list, delta, "files")

    def reject_files(self, problems: Iterable[ListProblem]) -> None:
        """The files as they stand can't be taken. A list that was held is no longer what they say."""
        self.pending, self.rejection_problems = None, tuple(problems)

    def confirm(self, now_us: int, digest: str) -> MembershipChange:
        """An operator's word for the list that is held, named by the begin of its digest."""
        if self.pending is None:
            raise NoPendingListError("no list is held")
        if len(digest) < MIN_DIGEST_PREFIX_SIZE or not self.pending.checked_list.digest.startswith(digest):
            raise NoPendingListError(f"the list that is held is {self.pending.checked_list.digest[:16]}")
        listing = self.pending.checked_list
        old = self.file_list.endpoints if self.file_list else {}
        return self._replace_file_list(now_us, listing, diff_endpoints(old, listing.endpoints), "files")

    def apply_discovery(
        self, now_us: int, complete: bool, endpoints: Iterable[EndpointSpec]
    ) -> MembershipChange:
        """News of discovery; one in state GONE is no longer listed there."""
        known = self._endpoints_by_source[Source.DISCOVERY]
        touched = dict.fromkeys(known if complete else ())
        if complete:
            known.clear()
        for server in endpoints:
            touched[server.name] = None
            if server.state is EndpointStatus.GONE:
                known.pop(server.name, None)
                continue
            before = known.get(server.name)
            if server.address is None and before is not None:  # what drains may come without one
                server = replace(server, address=before.address)
            known[server.name] = server
        return self._update_endpoints(now_us, touched)

    def set_manual_drain(
        self, now_us: int, name: str, drained: bool, drained_us: int = 0
    ) -> MembershipChange:
        """Out by hand, or back. A mark stays while its server comes and goes."""
        if drained:
            self.manual_drains.setdefault(name, drained_us)
        else:
            self.manual_drains.pop(name, None)
        return self._update_endpoints(now_us, [name])

    def advance_time(self, now_us: int) -> MembershipChange:
        """Time alone: who has been held long enough comes in; what left long ago is forgotten."""
        old = now_us - self.settings.identity_retention_us
        for name in [n for n, at in self._not_ready_since_us.items() if at <= old]:
            del self._not_ready_since_us[name]
        for name in [n for n, at in self._removed_us.items() if at <= old]:
            del self._removed_us[name], self._identities[name]
        return self._update_endpoints(now_us, self._flap_damper.release_due(now_us))

    def next_change_us(self) -> int | None:
        """When `tick` will next change the list, if ever."""
        return self._flap_damper.next_release_us()

    def knows_endpoint(self, name: str) -> bool:
        return name in self.active_endpoints or name in self.manual_drains

    # Merging

    def _no_change(self) -> MembershipChange:
        return MembershipChange(self.generation)

    def _confirmation_problems(self, checked_list: CheckedList, delta: ListDelta) -> tuple[ListProblem, ...]:
        place, found = FilePosition(checked_list.files[0] if checked_list.files else ""), []
        if delta.withdrawn_count > max(int(delta.ready_count * self.settings.max_withdrawn_ratio), 1):
            text = f"{delta.withdrawn_count} of {delta.ready_count} ready servers are withdrawn at once"
            found.append(ListProblem("L301", place, text))
        if delta.lost_shards:
            shards = ", ".join(map(str, delta.lost_shards[:8])) + (
                " ..." if len(delta.lost_shards) > 8 else ""
            )
            found.append(ListProblem("L302", place, f"no ready server is left for shard {shards}"))
        return tuple(found)

    def _replace_file_list(
        self, now_us: int, checked_list: CheckedList, delta: ListDelta, origin: str
    ) -> MembershipChange:
        self._endpoints_by_source = (checked_list.endpoints, self._endpoints_by_source[Source.DISCOVERY])
        self.file_list, self.file_list_origin, self.file_list_changed_us = checked_list, origin, now_us
        self.pending, self.rejection_problems = None, ()
        return self._update_endpoints(now_us, delta.affected_names)

    def _merge_sources(self, name: str) -> tuple[EndpointSpec, Source] | None:
        """What the sources together say of it, before damping."""
        found: EndpointSpec | None = None
        source = Source.DISCOVERY
        for of in Source:
            told = self._endpoints_by_source[of].get(name)
            if told is None:
                continue
            if found is None:
                found, source = told, of
                continue
            if told.state is not EndpointStatus.UP and found.state is EndpointStatus.UP:
                found = replace(found, state=told.state)
            if told.started > found.started:
                found = replace(found, started=told.started)
        return None if found is None else (found, source)

    def _update_endpoints(self, now_us: int, names: Iterable[str]) -> MembershipChange:
        todo = dict.fromkeys(names)
        if not todo:
            return self._no_change()
        merged = {name: self._merge_sources(name) for name in todo}
        shards = {
            shard for name, got in merged.items() for shard in self._record_readiness(now_us, name, got)
        }
        for shard in shards:  # who is held for flapping depends on who else there is
            for name in self._ready_names_by_shard.get(shard, ()):
                if name in self._flap_damper.suppressed and name not in todo:
                    todo[name], merged[name] = None, self._merge_sources(name)
        came, changed, went = (
            list[ActiveEndpoint](),
            list[tuple[ActiveEndpoint, ActiveEndpoint]](),
            list[ActiveEndpoint](),
        )
        for name in todo:
            before, after = self.active_endpoints.get(name), self._active_endpoint(name, merged[name])
            if before == after:
                continue
            if after is None:
                assert before is not None
                del self.active_endpoints[name]
                self._removed_us[name] = now_us
                went.append(before)
                continue
            self.active_endpoints[name] = after
            self._removed_us.pop(name, None)
            if before is None:
                came.append(after)
            elif before.id == after.id:
                changed.append((before, after))
            else:
                went.append(before)
                came.append(after)
        marks = self._manual_drain_changes(todo)
        if came or changed or went:
            self.generation += 1
        return MembershipChange(self.generation, tuple(came), tuple(changed), tuple(went), marks)

    def _record_readiness(
        self, now_us: int, name: str, merged: tuple[EndpointSpec, Source] | None
    ) -> list[int]:
        """Note whether the name is wanted for work, and where; the shards whose holds may change with it."""
        old = self._shard_by_ready_name.get(name)
        new = merged[0].shard if merged is not None and merged[0].state is EndpointStatus.UP else None
        moved = (
            merged is not None
            and name in self._identities
            and self._identities[name][0] != _machine_identity(merged[0])
        )
        if new is not None and (name in self._not_ready_since_us or (moved and old is not None)):
            self._not_ready_since_us.pop(name, None)
            self._flap_damper.record_return(name, now_us)
        if old is not None and new is None:
            self._not_ready_since_us[name] = now_us
        if old is not None and old != new:
            self._ready_names_by_shard[old].discard(name)
            if not self._ready_names_by_shard[old]:
                del self._ready_names_by_shard[old]
            del self._shard_by_ready_name[name]
        if new is not None:
            self._ready_names_by_shard.setdefault(new, set()).add(name)
            self._shard_by_ready_name[name] = new
        return [shard for shard in (old, new) if shard is not None]

    def _is_suppressed(self, name: str, shard: int) -> bool:
        """Held for flapping, unless nobody else is there for the shard."""
        if name not in self._flap_damper.suppressed:
            return False
        others = self._ready_names_by_shard.get(shard, set())
        return any(
            n not in self._flap_damper.suppressed and n not in self.manual_drains for n in others if n != name
        )

    def _active_endpoint(
        self, name: str, merged: tuple[EndpointSpec, Source] | None
    ) -> ActiveEndpoint | None:
        if merged is None:
            return None
        server, source = merged
        held = server.state is EndpointStatus.UP and self._is_suppressed(name, server.shard)
        if held:
            server = replace(server, state=EndpointStatus.DRAINING)
        identity = _machine_identity(server)
        known = self._identities.get(name)
        if known is None:
            self._identities[name] = known = (identity, name)
        elif known[0] != identity:
            # Answers of the old machine say nothing of the new one, and what is out there ends there.
            self._identities[name] = known = (identity, f"{name}~{self.generation + 1}")
        return ActiveEndpoint(known[1], server, source, held)

    def _manual_drain_changes(self, names: Iterable[str]) -> tuple[tuple[str, bool, int], ...]:
        """A mark is told for the id that the name has now; one told for an earlier id is taken back."""
        told = list[tuple[str, bool, int]]()
        for name in names:
            member, known = self.active_endpoints.get(name), self._drained_ids.get(name)
            due = member.id if member is not None and name in self.manual_drains else None
            if known is not None and known != due:
                told.append((known, False, 0))
                del self._drained_ids[name]
            if due is not None and known != due:
                told.append((due, True, self.manual_drains[name]))
                self._drained_ids[name] = due
        return tuple(told)


def _machine_identity(server: EndpointSpec) -> object:
    return server.address, server.shard
