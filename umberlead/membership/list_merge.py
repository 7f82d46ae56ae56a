"""Merges list files, discovery and manual drains into the list in force; does no I/O and reads no clock.

Precedence for each name: a manual drain, then the files, then discovery. The first source that lists an
endpoint defines its address, shard, zone, weight and limit. The endpoint drains if any source lists it as
draining, and its start time is the latest of all sources. An event updates only the names that it affects,
so its cost depends on the size of the change and not on the length of the list. All times are in
microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from umberlead.membership.flap_damping import FlapDamper, FlapDampingSettings
from umberlead.membership.model import (
    ActiveEndpoint,
    Address,
    CheckedList,
    EndpointChange,
    EndpointSpec,
    ListDelta,
    ListProblem,
    ManualDrain,
    MembershipChange,
    Source,
    diff_endpoints,
)
from umberlead.membership.pending_list import NoPendingListError, PendingList, confirmation_problems
from umberlead.scheduling.events import EndpointStatus

SOURCES_BY_PRECEDENCE = tuple(sorted(Source))


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings for merging the sources.

    Attributes:
        max_withdrawn_ratio: The largest part of the ready endpoints that one list may withdraw without an
            operator's confirmation.
        identity_retention_us: How long the id of a removed endpoint is kept; longer than any request lasts.
        flap_damping: The parameters of flap damping.
    """

    max_withdrawn_ratio: float = 0.25
    identity_retention_us: int = 120_000_000
    flap_damping: FlapDampingSettings = field(default_factory=FlapDampingSettings)


class _MergedEndpoint(NamedTuple):
    """An endpoint merged from all sources, and the source that takes precedence."""

    endpoint: EndpointSpec
    source: Source


class _MachineIdentity(NamedTuple):
    """The fields that tell two machines of the same name apart."""

    address: Address | None
    shard: int


class _Identity(NamedTuple):
    machine: _MachineIdentity
    id: str


def _machine_identity(endpoint: EndpointSpec) -> _MachineIdentity:
    return _MachineIdentity(endpoint.address, endpoint.shard)


class Membership:
    """The list in force.

    Attributes:
        settings: The settings for merging the sources.
        generation: Grows by 1 with each change of the endpoints in force.
        file_list: The list from the files that is in force; None before the first.
        file_list_origin: The origin of `file_list`: "none", "snapshot" or "files".
        file_list_changed_us: When `file_list` was put in force.
        pending: The list that needs to be confirmed; None if there is none.
        rejection_problems: Why the current files are not in force; empty if they are.
        active_endpoints: The endpoints in force by name.
        manual_drains: The time at which each manual drain was set, in Unix time, by endpoint name.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Create an empty list of generation 0."""
        self.settings = settings
        self.generation = 0
        self.file_list: CheckedList | None = None
        self.file_list_origin = "none"
        self.file_list_changed_us = 0
        self.pending: PendingList | None = None
        self.rejection_problems: tuple[ListProblem, ...] = ()
        self.active_endpoints: dict[str, ActiveEndpoint] = {}
        self.manual_drains: dict[str, int] = {}
        self._endpoints_by_source: dict[Source, dict[str, EndpointSpec]] = {source: {} for source in Source}
        self._flap_damper = FlapDamper(settings.flap_damping)
        # Names that are ready after merging all sources, including suppressed ones.
        self._ready_names_by_shard: dict[int, set[str]] = {}
        self._shard_by_ready_name: dict[str, int] = {}
        # By name; includes endpoints that were removed less than the retention time ago.
        self._identities: dict[str, _Identity] = {}
        # When a name stopped being ready, and when a name was removed from the list in force.
        self._not_ready_since_us: dict[str, int] = {}
        self._removed_us: dict[str, int] = {}
        # The id under which a name's manual drain was last reported.
        self._drained_ids: dict[str, str] = {}

    def restore(self, now_us: int, checked_list: CheckedList) -> MembershipChange:
        """Put the last good list in force, before the files have been read."""
        assert self.file_list is None
        delta = diff_endpoints({}, checked_list.endpoints)
        return self._replace_file_list(now_us, checked_list, delta, "snapshot")

    def apply_files(
        self,
        now_us: int,
        checked_list: CheckedList,
        delta: ListDelta | None = None,
        base_digest: str = "",
    ) -> MembershipChange:
        """Put a list that passed its checks in force, or keep it pending.

        Args:
            now_us: The time.
            checked_list: The list.
            delta: The difference from the list with `base_digest` to this one, if it is known. It is used
                only if that list is still in force.
            base_digest: The digest of the list that `delta` was computed against; "" for none.
        """
        current = self.file_list
        if current is not None and checked_list.digest == current.digest:
            self.pending = None
            self.rejection_problems = ()
            self.file_list_origin = "files"
            return self._no_change()
        if delta is None or base_digest != (current.digest if current else ""):
            delta = diff_endpoints(current.endpoints if current else {}, checked_list.endpoints)
        max_withdrawn_ratio = self.settings.max_withdrawn_ratio
        problems = confirmation_problems(checked_list, delta, max_withdrawn_ratio) if current else ()
        if problems:
            pending = self.pending
            is_same = pending is not None and pending.checked_list.digest == checked_list.digest
            since_us = pending.since_us if pending is not None and is_same else now_us
            self.pending = PendingList(checked_list, delta, problems, since_us)
            self.rejection_problems = problems
            return self._no_change()
        return self._replace_file_list(now_us, checked_list, delta, "files")

    def reject_files(self, problems: Iterable[ListProblem]) -> None:
        """Record why the current files are rejected; drop a pending list, which no longer matches them."""
        self.pending = None
        self.rejection_problems = tuple(problems)

    def confirm(self, now_us: int, digest: str) -> MembershipChange:
        """Put the pending list in force, as an operator confirmed it.

        Args:
            now_us: The time.
            digest: The first digits of the list's digest, see `PendingList.check_digest`.

        Raises:
            NoPendingListError: No list is pending, or `digest` is that of another list.
        """
        if self.pending is None:
            raise NoPendingListError("no list is held")
        self.pending.check_digest(digest)
        checked_list = self.pending.checked_list
        current = self.file_list.endpoints if self.file_list else {}
        delta = diff_endpoints(current, checked_list.endpoints)
        return self._replace_file_list(now_us, checked_list, delta, "files")

    def apply_discovery(
        self, now_us: int, complete: bool, endpoints: Iterable[EndpointSpec]
    ) -> MembershipChange:
        """Apply an update from discovery.

        Args:
            now_us: The time.
            complete: Whether the update replaces all endpoints that discovery listed before.
            endpoints: The endpoints; one with status GONE is removed from discovery's list.
        """
        listed = self._endpoints_by_source[Source.DISCOVERY]
        touched = dict.fromkeys(listed if complete else ())
        if complete:
            listed.clear()
        for endpoint in endpoints:
            touched[endpoint.name] = None
            if endpoint.status is EndpointStatus.GONE:
                listed.pop(endpoint.name, None)
                continue
            before = listed.get(endpoint.name)
            if endpoint.address is None and before is not None:  # A draining one may have no address.
                endpoint = replace(endpoint, address=before.address)
            listed[endpoint.name] = endpoint
        return self._update_endpoints(now_us, touched)

    def set_manual_drain(
        self, now_us: int, name: str, drained: bool, drained_us: int = 0
    ) -> MembershipChange:
        """Set or remove a manual drain; it stays set if its endpoint is removed and added again.

        Args:
            now_us: The time.
            name: The endpoint's name.
            drained: True to set the drain, False to remove it.
            drained_us: When the drain was set, in Unix time; a drain that is already set keeps its time.
        """
        if drained:
            self.manual_drains.setdefault(name, drained_us)
        else:
            self.manual_drains.pop(name, None)
        return self._update_endpoints(now_us, [name])

    def advance_time(self, now_us: int) -> MembershipChange:
        """Release endpoints whose suppression has ended, and delete the state of names removed long ago."""
        cutoff_us = now_us - self.settings.identity_retention_us
        for name in [name for name, at_us in self._not_ready_since_us.items() if at_us <= cutoff_us]:
            del self._not_ready_since_us[name]
        for name in [name for name, at_us in self._removed_us.items() if at_us <= cutoff_us]:
            del self._removed_us[name]
            del self._identities[name]
        return self._update_endpoints(now_us, self._flap_damper.release_due(now_us))

    def next_change_us(self) -> int | None:
        """Return when `advance_time` will next release an endpoint; None if none is suppressed."""
        return self._flap_damper.next_release_us()

    def knows_endpoint(self, name: str) -> bool:
        """Return whether an endpoint of that name is in force or under a manual drain."""
        return name in self.active_endpoints or name in self.manual_drains

    def _no_change(self) -> MembershipChange:
        return MembershipChange(self.generation)

    def _replace_file_list(
        self, now_us: int, checked_list: CheckedList, delta: ListDelta, origin: str
    ) -> MembershipChange:
        self._endpoints_by_source[Source.FILES] = checked_list.endpoints
        self.file_list = checked_list
        self.file_list_origin = origin
        self.file_list_changed_us = now_us
        self.pending = None
        self.rejection_problems = ()
        return self._update_endpoints(now_us, delta.affected_names)

    def _merge_sources(self, name: str) -> _MergedEndpoint | None:
        """Merge what the sources list for a name, before flap damping; None if no source lists it."""
        merged: EndpointSpec | None = None
        first_source = Source.DISCOVERY
        for source in SOURCES_BY_PRECEDENCE:
            listed = self._endpoints_by_source[source].get(name)
            if listed is None:
                continue
            if merged is None:
                merged = listed
                first_source = source
                continue
            if listed.status is not EndpointStatus.UP and merged.status is EndpointStatus.UP:
                merged = replace(merged, status=listed.status)
            if listed.started_us > merged.started_us:
                merged = replace(merged, started_us=listed.started_us)
        return None if merged is None else _MergedEndpoint(merged, first_source)

    def _update_endpoints(self, now_us: int, names: Iterable[str]) -> MembershipChange:
        """Update the list in force for the given names, and return the change."""
        merged_by_name = {name: self._merge_sources(name) for name in dict.fromkeys(names)}
        if not merged_by_name:
            return self._no_change()
        self._add_suppressed_neighbours(now_us, merged_by_name)
        added: list[ActiveEndpoint] = []
        changed: list[EndpointChange] = []
        removed: list[ActiveEndpoint] = []
        for name, merged in merged_by_name.items():
            before = self.active_endpoints.get(name)
            after = self._active_endpoint(name, merged)
            if before == after:
                continue
            self._replace_active(now_us, name, after)
            if before is not None and after is not None and before.id == after.id:
                changed.append(EndpointChange(before, after))
                continue
            if before is not None:
                removed.append(before)
            if after is not None:
                added.append(after)
        manual_drains = self._manual_drain_changes(merged_by_name)
        if added or changed or removed:
            self.generation += 1
        return MembershipChange(self.generation, tuple(added), tuple(changed), tuple(removed), manual_drains)

    def _add_suppressed_neighbours(
        self, now_us: int, merged_by_name: dict[str, _MergedEndpoint | None]
    ) -> None:
        """Record readiness, and add the suppressed endpoints of the affected shards.

        Whether those stay suppressed depends on the other endpoints of their shards.
        """
        shards = {
            shard
            for name, merged in merged_by_name.items()
            for shard in self._record_readiness(now_us, name, merged)
        }
        for shard in shards:
            for name in self._ready_names_by_shard.get(shard, ()):
                if name in self._flap_damper.suppressed and name not in merged_by_name:
                    merged_by_name[name] = self._merge_sources(name)

    def _replace_active(self, now_us: int, name: str, after: ActiveEndpoint | None) -> None:
        if after is None:
            del self.active_endpoints[name]
            self._removed_us[name] = now_us
        else:
            self.active_endpoints[name] = after
            self._removed_us.pop(name, None)

    def _record_readiness(self, now_us: int, name: str, merged: _MergedEndpoint | None) -> list[int]:
        """Record whether a name is ready, and for which shard; return its earlier and its new shard."""
        endpoint = merged.endpoint if merged is not None else None
        old_shard = self._shard_by_ready_name.get(name)
        new_shard = endpoint.shard if endpoint is not None and endpoint.status is EndpointStatus.UP else None
        if new_shard is not None and self._has_returned(name, endpoint, old_shard):
            self._not_ready_since_us.pop(name, None)
            self._flap_damper.record_return(name, now_us)
        if old_shard is not None and new_shard is None:
            self._not_ready_since_us[name] = now_us
        if old_shard is not None and old_shard != new_shard:
            self._ready_names_by_shard[old_shard].discard(name)
            if not self._ready_names_by_shard[old_shard]:
                del self._ready_names_by_shard[old_shard]
            del self._shard_by_ready_name[name]
        if new_shard is not None:
            self._ready_names_by_shard.setdefault(new_shard, set()).add(name)
            self._shard_by_ready_name[name] = new_shard
        return [shard for shard in (old_shard, new_shard) if shard is not None]

    def _has_returned(self, name: str, endpoint: EndpointSpec | None, old_shard: int | None) -> bool:
        """Return whether a ready endpoint was not ready before, or is another machine than before."""
        if name in self._not_ready_since_us:
            return True
        identity = self._identities.get(name)
        if endpoint is None or identity is None or old_shard is None:
            return False
        return identity.machine != _machine_identity(endpoint)

    def _is_suppressed(self, name: str, shard: int) -> bool:
        """Return whether to suppress an endpoint: it flaps, and its shard has another usable endpoint."""
        suppressed = self._flap_damper.suppressed
        if name not in suppressed:
            return False
        return any(
            other not in suppressed and other not in self.manual_drains
            for other in self._ready_names_by_shard.get(shard, ())
            if other != name
        )

    def _active_endpoint(self, name: str, merged: _MergedEndpoint | None) -> ActiveEndpoint | None:
        if merged is None:
            return None
        endpoint, source = merged
        suppressed = endpoint.status is EndpointStatus.UP and self._is_suppressed(name, endpoint.shard)
        if suppressed:
            endpoint = replace(endpoint, status=EndpointStatus.DRAINING)
        machine = _machine_identity(endpoint)
        identity = self._identities.get(name)
        if identity is None:
            identity = self._identities[name] = _Identity(machine, name)
        elif identity.machine != machine:
            # Another machine gets another id, so that responses of the earlier machine don't count for it.
            # Requests in flight to the earlier machine finish under the earlier id.
            identity = self._identities[name] = _Identity(machine, f"{name}~{self.generation + 1}")
        return ActiveEndpoint(identity.id, endpoint, source, suppressed)

    def _manual_drain_changes(self, names: Iterable[str]) -> tuple[ManualDrain, ...]:
        """Return the manual drains to report for the given names.

        A drain is reported for the current id of its name; one reported under an earlier id ends.
        """
        changes: list[ManualDrain] = []
        for name in names:
            active = self.active_endpoints.get(name)
            reported_id = self._drained_ids.get(name)
            current_id = active.id if active is not None and name in self.manual_drains else None
            if reported_id is not None and reported_id != current_id:
                changes.append(ManualDrain(reported_id, False, 0))
                del self._drained_ids[name]
            if current_id is not None and reported_id != current_id:
                changes.append(ManualDrain(current_id, True, self.manual_drains[name]))
                self._drained_ids[name] = current_id
        return tuple(changes)
