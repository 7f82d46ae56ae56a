"""Joins watched lists to a front: threads read and save, the loop takes what they bring in one turn.

One thread loads, another writes the snapshot (a slow disk must not hold up a removal). While a load runs,
any number of wakes make one more load."""

import asyncio
import gc
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from umberlead.common.counters import Counters
from umberlead.membership import snapshot
from umberlead.membership.change_gate import ChangeGate
from umberlead.membership.loading import ListLoader, LoadResult
from umberlead.membership.machine import (
    MIN_DIGEST_PREFIX_SIZE,
    Membership,
    MembershipSettings,
)
from umberlead.membership.model import (
    ActiveEndpoint,
    CheckedList,
    EndpointSpec,
    ListProblem,
    MembershipChange,
)
from umberlead.membership.name_resolution import Lookup, NameResolver, system_lookup
from umberlead.membership.watching import FolderWatcher
from umberlead.scheduling.events import EndpointStatus

THREAD_SWITCH_INTERVAL_SECONDS = 0.0005  # s after which the loading thread gives way to the loop
SAVE_INTERVAL_SECONDS = 0.2  # s between two snapshots
SAVE_RETRY_SECONDS = 5.0  # s until a snapshot that failed is tried again
INCOMPLETE_FILES_GRACE_SECONDS = 0.25  # s that what may be half written is given before it is complained of
MAX_LOGGED_NAMES_COUNT = 8
LARGE_LIST_ENDPOINTS_COUNT = 2000  # servers from which a load is kept from the collector of cycles


@dataclass(frozen=True, slots=True)
class WatchedListSettings:
    """The configuration's table."""

    main_path: Path
    snapshot_path: Path | None = None
    settle_seconds: float = 0.01  # s of a burst that are waited for
    poll_interval_seconds: float = 0.25  # s between comparisons of signatures
    membership: MembershipSettings = MembershipSettings()
    gate: ChangeGate | None = None


class NoUsableListError(ValueError):
    """Neither the files nor a snapshot give a list to begin with."""

    def __init__(self, problems: list[ListProblem], reason: str) -> None:
        first = f"{problems[0]}" if problems else reason
        more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        super().__init__(f"{first}{more}" + (f"; {reason}" if reason and problems else ""))


def _abbreviated(names: list[str]) -> str:
    return ",".join(names[:MAX_LOGGED_NAMES_COUNT]) + (
        f",+{len(names) - MAX_LOGGED_NAMES_COUNT}" if len(names) > MAX_LOGGED_NAMES_COUNT else ""
    )


class WatchedListService:
    def __init__(
        self,
        settings: WatchedListSettings,
        shard_count: int,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        counters: Counters,
        log: Any,
        apply_to_front: Callable[[MembershipChange], None],
        lookup: Lookup = system_lookup,
        new_observer: Callable[[], Any] | None = None,
    ) -> None:
        self.settings, self.loop, self.clock, self.counters, self.log = settings, loop, clock, counters, log
        self.membership = Membership(settings.membership)
        self._apply_to_front = apply_to_front
        self._loader = ListLoader(
            settings.main_path,
            shard_count,
            NameResolver(lookup),
            gate=settings.gate.evaluate if settings.gate is not None else None,
        )
        made = {"new_observer": new_observer} if new_observer is not None else {}
        self._watcher = FolderWatcher(self._on_files_changed, log.warning, **made)
        self._load_executor = ThreadPoolExecutor(1, "list")
        self._save_executor = ThreadPoolExecutor(1, "list-save")
        self._wake = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._saved_digest = ""  # digest of the list that the snapshot holds
        self._reported_problems: tuple[ListProblem, ...] = ()  # what was last complained of
        self._incomplete_since_seconds: float | None = None
        self._closed = False
        self.load_count = 0

    # Start and end

    def load_first_list(self) -> None:
        """The first list, before anything listens. Blocks; `Unusable` where there is none."""
        sys.setswitchinterval(min(sys.getswitchinterval(), THREAD_SWITCH_INTERVAL_SECONDS))
        saved, why = self._restore_snapshot()
        if saved is not None:
            self._apply_change(self.membership.restore(self.clock(), saved), "snapshot")
        got = self._loader.load(saved)
        self._watcher.watch_folders(got.watched_folders)
        self._apply_load_result(got, is_first=True)
        if self.membership.file_list is None:
            self.close()
            raise NoUsableListError(got.check_result.problems, why)
        if self.membership.file_list_origin == "snapshot":
            self.counters.add("list_from_snapshot")
            self.log.error(
                "list_from_snapshot", generation=self.membership.generation, **self._problem_fields()
            )

    def _restore_snapshot(self) -> tuple[CheckedList | None, str]:
        if self.settings.snapshot_path is None:
            return None, ""
        try:
            found = snapshot.read_snapshot(self.settings.snapshot_path)
        except (snapshot.SnapshotDamagedError, OSError) as fault:
            self.counters.add("list_snapshots_damaged")
            self.log.error("list_snapshot_damaged", path=str(self.settings.snapshot_path), why=str(fault))
            return None, f"{self.settings.snapshot_path}: {fault}"
        if found is None:
            return None, ""
        self._saved_digest = found[0].digest
        return found[0], ""

    def start_watching(self) -> None:
        """Watch from here on."""
        self._watch_task = self.loop.create_task(self._watch_files())
        listing = self.membership.file_list
        unsaved = listing is not None and listing.digest != self._saved_digest
        if (
            self.settings.snapshot_path is not None
            and unsaved
            and self.membership.file_list_origin == "files"
        ):
            self._save_task = self.loop.create_task(
                self._save_latest()
            )  # the disk may have been full for a moment

    def close(self) -> None:
        self._closed = True
        self._watcher.close()
        if self.settings.gate is not None:
            self.settings.gate.close()
        for task in (self._watch_task, self._save_task):
            if task is not None:
                task.cancel()
        listing = self.membership.file_list
        if (
            listing is not None
            and self.settings.snapshot_path is not None
            and listing.digest != self._saved_digest
        ):
            try:
                snapshot.write(self.settings.snapshot_path, snapshot.encode_snapshot(listing, self.clock()))
            except OSError as fault:
                self.log.error("list_snapshot_failed", why=str(fault))
        self._load_executor.shutdown(wait=False, cancel_futures=True)
        self._save_executor.shutdown(wait=False, cancel_futures=True)
        self._loader.resolver.close()

    # The watch

    def _on_files_changed(self) -> None:
        """From the watcher's thread."""
        if not self._closed:
            self.loop.call_soon_threadsafe(self._wake.set)

    def request_load(self) -> None:
        """Look at the files now, whatever the watch says: SIGHUP."""
        self._wake.set()

    async def _watch_files(self) -> None:
        while not self._closed:
            try:
                await asyncio.wait_for(self._wake.wait(), self.settings.poll_interval_seconds)
                await asyncio.sleep(self.settings.settle_seconds)  # the rest of a burst
                due = True
            except TimeoutError:
                due = await self.loop.run_in_executor(
                    self._load_executor, self._loader.change_detector.has_changed
                )
            self._wake.clear()
            if due:
                got = await self.loop.run_in_executor(self._load_executor, self._load_in_thread)
                if not self._closed:
                    self._apply_load_result(got)
            self._advance_time()

    def _load_in_thread(self) -> LoadResult:
        """On the loading thread. A collection of cycles there holds the interpreter, and the loop with it, as
        long as it walks what a long list has made: 8 to 60 ms at 20,000 servers. Such a load makes no cycles,
        so none are looked for meanwhile, and what it made is set apart from later collections and goes by
        count. The loop's young cycles of that moment are set apart too: a few objects."""
        listing = self.membership.file_list
        if listing is None or len(listing.endpoints) < LARGE_LIST_ENDPOINTS_COUNT or not gc.isenabled():
            got = self._loader.load(listing)
        else:
            gc.disable()
            try:
                got = self._loader.load(listing)
            finally:
                gc.freeze()
                gc.enable()
        self._watcher.watch_folders(got.watched_folders)
        return got

    def _advance_time(self) -> None:
        self._apply_change(self.membership.advance_time(self.clock()), "time")

    # What was brought

    def _apply_load_result(self, result: LoadResult, is_first: bool = False) -> None:
        self.load_count += 1
        self.counters.add("list_loads")
        machine, verdict = self.membership, result.check_result
        if verdict.checked_list is None:
            machine.reject_files(verdict.problems)
            self._report_problems(verdict.is_transient and not is_first)
            return
        self._incomplete_since_seconds = None
        before = machine.file_list_origin
        change = machine.apply_files(self.clock(), verdict.checked_list, result.delta, result.base_digest)
        if machine.pending is not None:
            self._report_problems(False)
            return
        if self._reported_problems:
            self._reported_problems = ()
            self.log.info("list_sound_again", version=verdict.checked_list.version)
        elif before == "snapshot" and not change:
            self.log.info("list_files_as_saved", version=verdict.checked_list.version)
        self._apply_change(change, "files", round(result.duration_seconds * 1000, 1))

    def _report_problems(self, is_transient: bool) -> None:
        """Once for each state of the files; what may be half written is given a moment first."""
        now = time.monotonic()
        if is_transient:
            if self._incomplete_since_seconds is None:
                self._incomplete_since_seconds = now
            if now - self._incomplete_since_seconds < INCOMPLETE_FILES_GRACE_SECONDS:
                self.loop.call_later(INCOMPLETE_FILES_GRACE_SECONDS / 4, self._wake.set)
                return
        told = self.membership.rejection_problems
        if told == self._reported_problems:
            return
        self._reported_problems = told
        event = "list_held" if self.membership.pending is not None else "list_refused"
        self.counters.add(event)
        self.log.error(event, in_force=self.membership.generation, **self._problem_fields())

    def _problem_fields(self) -> dict[str, Any]:
        told = self.membership.rejection_problems
        made: dict[str, Any] = {}
        if told:
            made = {"code": told[0].code, "at": str(told[0].position), "why": told[0].message}
            if told[0].suggestion:
                made["near"] = told[0].suggestion
            made["problems"] = len(told)
        if self.membership.pending is not None:
            made["confirm"] = self.membership.pending.checked_list.digest[:MIN_DIGEST_PREFIX_SIZE]
        return made

    def _apply_change(self, change: MembershipChange, reason: str, load_ms: float = 0.0) -> None:
        """In force from this turn on."""
        if not change:
            return
        self._apply_to_front(change)
        self.counters.add("list_changes")
        gone = [m.id for m in change.removed]
        self.log.info(
            "list_changed",
            generation=change.generation,
            by=reason,
            version=self._current_version(),
            came=_abbreviated([m.id for m in change.added]),
            went=_abbreviated(gone),
            changed=_abbreviated([m.id for _, m in change.changed]),
            held=_abbreviated([m.id for m in self._suppressed_endpoints(change)]),
            load_ms=load_ms,
        )
        if (
            self.settings.snapshot_path is not None
            and self._save_task is None
            and self.membership.file_list_origin == "files"
        ):
            if self._watch_task is None:  # at the start there is time
                return self._save_now()
            self._save_task = self.loop.create_task(self._save_latest())

    @staticmethod
    def _suppressed_endpoints(change: MembershipChange) -> list[ActiveEndpoint]:
        return [m for m in (*change.added, *(m for _, m in change.changed)) if m.suppressed]

    def _current_version(self) -> int:
        return self.membership.file_list.version if self.membership.file_list else -1

    # The snapshot

    def _save_now(self) -> None:
        listing = self.membership.file_list
        assert listing is not None and self.settings.snapshot_path is not None
        if listing.digest != self._saved_digest:
            try:
                snapshot.write(self.settings.snapshot_path, snapshot.encode_snapshot(listing, self.clock()))
                self._saved_digest = listing.digest
            except OSError as fault:
                self._record_save_error(fault)

    def _record_save_error(self, error: OSError) -> None:
        self.counters.add("list_snapshots_failed")
        self.log.error("list_snapshot_failed", path=str(self.settings.snapshot_path), why=str(error))

    async def _save_latest(self) -> None:
        """The latest list, not each: a burst of changes is a few writes."""
        path = self.settings.snapshot_path
        assert path is not None
        try:
            while (listing := self.membership.file_list) is not None and listing.digest != self._saved_digest:
                now = self.clock()
                try:
                    await self.loop.run_in_executor(self._save_executor, _write_snapshot, path, listing, now)
                except OSError as fault:
                    self._record_save_error(fault)
                    await asyncio.sleep(SAVE_RETRY_SECONDS)
                else:
                    self._saved_digest = listing.digest
                    self.counters.add("list_snapshots_saved")
                    await asyncio.sleep(SAVE_INTERVAL_SECONDS)
        finally:
            self._save_task = None

    # From the front and its door

    def apply_discovery(self, complete: bool, endpoints: list[EndpointSpec]) -> None:
        self._apply_change(self.membership.apply_discovery(self.clock(), complete, endpoints), "discovery")

    def set_manual_drain(self, name: str, drained: bool, drained_us: int) -> None:
        self._apply_change(self.membership.set_manual_drain(self.clock(), name, drained, drained_us), "hand")

    def confirm(self, digest: str) -> int:
        """The generation now in force; `NotPending` where no such list is held."""
        change = self.membership.confirm(self.clock(), digest)
        self._reported_problems = ()
        self.log.warning("list_confirmed", digest=digest, generation=change.generation)
        self._apply_change(change, "confirmed")
        return change.generation

    def status(self) -> dict[str, Any]:
        """What the door answers."""
        machine, now = self.membership, self.clock()
        listing, pending = machine.file_list, machine.pending
        members = list(machine.active_endpoints.values())
        made: dict[str, Any] = {
            "generation": machine.generation,
            "origin": machine.file_list_origin,
            "version": listing.version if listing else None,
            "digest": listing.digest if listing else None,
            "age_s": round((now - machine.file_list_changed_us) / 1e6, 3),
            "servers": len(members),
            "ready": sum(m.endpoint.state is EndpointStatus.UP for m in members),
            "held_for_flapping": sorted(m.id for m in members if m.suppressed),
            "out_by_hand": sorted(machine.manual_drains),
            "polling": self._watcher.is_polling,
            "complaint": [p.to_json_row() for p in machine.rejection_problems],
        }
        if pending is not None:
            made["pending"] = {
                "confirm": pending.checked_list.digest[:16],
                "version": pending.checked_list.version,
                "age_s": round((now - pending.since_us) / 1e6, 3),
                "came": len(pending.delta.added),
                "went": len(pending.delta.removed),
                "changed": len(pending.delta.changed),
            }
        return made

    def endpoint_rows(self) -> list[dict[str, Any]]:
        rows = []
        for name, m in sorted(self.membership.active_endpoints.items()):
            s = m.endpoint
            rows.append(
                {
                    "name": name,
                    "id": m.id,
                    "shard": s.shard,
                    "room": s.room,
                    "weight": s.weight,
                    "address": f"{s.address[0]}:{s.address[1]}" if s.address else None,
                    "state": "draining" if s.state is not EndpointStatus.UP else "ready",
                    "source": m.source.name.lower(),
                    "held": m.suppressed,
                    "by_hand": name in self.membership.manual_drains,
                }
            )
        return rows


def _write_snapshot(path: Path, listing: CheckedList, saved: int) -> None:
    snapshot.write(path, snapshot.encode_snapshot(listing, saved))


__all__ = ["ListService", "NotPending", "Unusable", "Watched"]
