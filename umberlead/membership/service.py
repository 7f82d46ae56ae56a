"""Watches the endpoint list's files and keeps the list in force up to date.

Worker threads load the files and save the snapshot; the event loop applies a finished load in one callback.
Any number of wake-ups during a load cause one more load.
"""

import asyncio
import gc
import sys
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from umberlead.common.counters import Counters
from umberlead.membership.change_gate import ChangeGate
from umberlead.membership.checks import NO_VERSION
from umberlead.membership.errors import MembershipError
from umberlead.membership.list_merge import Membership, MembershipSettings
from umberlead.membership.loading import ListLoader, LoadResult
from umberlead.membership.model import CheckedList, EndpointSpec, ListProblem, MembershipChange
from umberlead.membership.name_resolution import Lookup, NameResolver, system_lookup
from umberlead.membership.pending_list import MIN_DIGEST_PREFIX_SIZE
from umberlead.membership.snapshot_store import SnapshotStore
from umberlead.membership.status import JsonObject, endpoint_rows, list_status
from umberlead.membership.watching import FolderWatcher

# The interpreter's thread switch interval: the longest time that the loading thread keeps the event loop
# waiting for the interpreter lock.
THREAD_SWITCH_INTERVAL_SECONDS = 0.0005
# How long files may look half written before their problems are logged.
INCOMPLETE_FILES_GRACE_SECONDS = 0.25
INCOMPLETE_FILES_CHECK_SECONDS = INCOMPLETE_FILES_GRACE_SECONDS / 4
MAX_LOGGED_NAMES_COUNT = 8
# With at least this many endpoints, a load runs with the cyclic garbage collector disabled.
LARGE_LIST_ENDPOINTS_COUNT = 2000


@dataclass(frozen=True, slots=True)
class WatchedListSettings:
    """Settings of the watch over one endpoint list.

    Attributes:
        main_path: The main file.
        snapshot_path: The file in which the last good list is saved; None saves none.
        settle_seconds: The delay between a change notification and the load, so that a burst of changes
            causes one load.
        poll_interval_seconds: The time between two comparisons of file signatures.
        membership: The settings for merging the sources.
        gate: The routing tests that a new list has to pass; None for none.
    """

    main_path: Path
    snapshot_path: Path | None = None
    settle_seconds: float = 0.01
    poll_interval_seconds: float = 0.25
    membership: MembershipSettings = MembershipSettings()
    gate: ChangeGate | None = None


class NoUsableListError(MembershipError):
    """Neither the files nor the snapshot contain a usable list at start-up."""

    def __init__(self, problems: list[ListProblem], reason: str) -> None:
        """Build the message.

        Args:
            problems: The problems of the files; the message shows the first one and counts the others.
            reason: Why the snapshot is not usable; "" if there is none.
        """
        first = f"{problems[0]}" if problems else reason
        more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        super().__init__(f"{first}{more}" + (f"; {reason}" if reason and problems else ""))


def _abbreviated(names: Iterable[str]) -> str:
    """Join names for a field of a log event; a long list is cut and ends with the number left out."""
    names = list(names)
    shown = ",".join(names[:MAX_LOGGED_NAMES_COUNT])
    hidden_count = len(names) - MAX_LOGGED_NAMES_COUNT
    return f"{shown},+{hidden_count}" if hidden_count > 0 else shown


def _new_loader(settings: WatchedListSettings, shard_count: int, lookup: Lookup) -> ListLoader:
    gate = settings.gate.evaluate if settings.gate is not None else None
    return ListLoader(settings.main_path, shard_count, NameResolver(lookup), gate=gate)


class WatchedListService:
    """Watches one list for a front process.

    Attributes:
        settings: The settings of the watch.
        loop: The event loop.
        clock: Returns the time in microseconds.
        counters: Counters of loads, changes and problems.
        log: The process's log.
        membership: The list in force.
        load_count: The number of loads so far.
    """

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
        """Create the service; nothing is loaded or watched yet.

        Args:
            settings: The settings of the watch.
            shard_count: The number of shards; 0 if it is not known.
            loop: The event loop.
            clock: Returns the time in microseconds.
            counters: Counters of loads, changes and problems.
            log: The process's log.
            apply_to_front: Called with each change of the list in force.
            lookup: Resolves a host name.
            new_observer: Creates a watchdog observer; the class `Observer` by default.
        """
        self.settings = settings
        self.loop = loop
        self.clock = clock
        self.counters = counters
        self.log = log
        self.membership = Membership(settings.membership)
        self.load_count = 0
        self._apply_to_front = apply_to_front
        self._loader = _new_loader(settings, shard_count, lookup)
        self._watcher = FolderWatcher(self._on_files_changed, log.warning, new_observer)
        self._snapshot_store = self._new_snapshot_store()
        self._load_executor = ThreadPoolExecutor(1, "list")
        self._wake = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None
        self._reported_problems: tuple[ListProblem, ...] = ()
        self._incomplete_since_seconds: float | None = None
        self._closed = False

    def _new_snapshot_store(self) -> SnapshotStore | None:
        path = self.settings.snapshot_path
        if path is None:
            return None
        return SnapshotStore(path, self.clock, self.counters, self.log, self._latest_list)

    def load_first_list(self) -> None:
        """Load the first list before the front listens; blocks.

        Raises:
            NoUsableListError: Neither the files nor the snapshot contain a usable list.
        """
        sys.setswitchinterval(min(sys.getswitchinterval(), THREAD_SWITCH_INTERVAL_SECONDS))
        store = self._snapshot_store
        saved = store.restore() if store is not None else None
        if saved is not None:
            self._apply_change(self.membership.restore(self.clock(), saved), "snapshot")
        result = self._loader.load(saved)
        self._watcher.watch_folders(result.watched_folders)
        self._apply_load_result(result, is_first=True)
        if self.membership.file_list is None:
            self.close()
            reason = store.restore_error if store is not None else ""
            raise NoUsableListError(result.check_result.problems, reason)
        if self.membership.file_list_origin == "snapshot":
            self.counters.add("list_from_snapshot")
            generation = self.membership.generation
            self.log.error("endpoint_list_restored", generation=generation, **self._problem_fields())

    def start_watching(self) -> None:
        """Start the task that watches the files."""
        self._watch_task = self.loop.create_task(self._watch_files())
        store = self._snapshot_store
        if store is not None and store.unsaved_list() and self.membership.file_list_origin == "files":
            store.save_in_background(self.loop)  # Retries a first save that failed, as on a full disk.

    def close(self) -> None:
        """Stop watching, and save the list in force."""
        self._closed = True
        self._watcher.close()
        if self.settings.gate is not None:
            self.settings.gate.close()
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._snapshot_store is not None:
            self._snapshot_store.close()
        self._load_executor.shutdown(wait=False, cancel_futures=True)
        self._loader.resolver.close()

    def _latest_list(self) -> CheckedList | None:
        return self.membership.file_list

    def _on_files_changed(self) -> None:
        """Wake the watch task; called from the watcher's thread."""
        if not self._closed:
            self.loop.call_soon_threadsafe(self._wake.set)

    def request_load(self) -> None:
        """Load the files now, even if they have not changed."""
        self._wake.set()

    async def _watch_files(self) -> None:
        while not self._closed:
            try:
                await asyncio.wait_for(self._wake.wait(), self.settings.poll_interval_seconds)
                await asyncio.sleep(self.settings.settle_seconds)  # Lets a burst of changes end.
                is_due = True
            except TimeoutError:
                detector = self._loader.change_detector
                is_due = await self.loop.run_in_executor(self._load_executor, detector.has_changed)
            self._wake.clear()
            if is_due:
                result = await self.loop.run_in_executor(self._load_executor, self._load_in_thread)
                if not self._closed:
                    self._apply_load_result(result)
            self._apply_change(self.membership.advance_time(self.clock()), "time")

    def _load_in_thread(self) -> LoadResult:
        """Load the files; runs on the loading thread.

        A cyclic garbage collection during the load of a long list traverses all its objects and holds the
        interpreter lock meanwhile, which blocks the event loop. A load creates no reference cycles, so the
        collector is disabled for it. The objects are then frozen: later collections skip them, and their
        reference counts free them. The few cycles that the event loop has at that moment are frozen too.
        """
        current = self.membership.file_list
        if current is None or len(current.endpoints) < LARGE_LIST_ENDPOINTS_COUNT or not gc.isenabled():
            result = self._loader.load(current)
        else:
            gc.disable()
            try:
                result = self._loader.load(current)
            finally:
                gc.freeze()
                gc.enable()
        self._watcher.watch_folders(result.watched_folders)
        return result

    def _apply_load_result(self, result: LoadResult, is_first: bool = False) -> None:
        self.load_count += 1
        self.counters.add("list_loads")
        check_result = result.check_result
        checked_list = check_result.checked_list
        if checked_list is None:
            self.membership.reject_files(check_result.problems)
            self._report_problems(check_result.is_transient and not is_first)
            return
        self._incomplete_since_seconds = None
        origin_before = self.membership.file_list_origin
        change = self.membership.apply_files(self.clock(), checked_list, result.delta, result.base_digest)
        if self.membership.pending is not None:
            self._report_problems(is_transient=False)
            return
        if self._reported_problems:
            self._reported_problems = ()
            self.log.info("endpoint_list_accepted_again", version=checked_list.version)
        elif origin_before == "snapshot" and not change:
            self.log.info("endpoint_list_matched_snapshot", version=checked_list.version)
        self._apply_change(change, "files", round(result.duration_seconds * 1000, 1))

    def _report_problems(self, is_transient: bool) -> None:
        """Log the problems once for each state of the files.

        Files that may still be written are loaded again for a while before their problems are logged.
        """
        now_seconds = time.monotonic()
        if is_transient:
            if self._incomplete_since_seconds is None:
                self._incomplete_since_seconds = now_seconds
            if now_seconds - self._incomplete_since_seconds < INCOMPLETE_FILES_GRACE_SECONDS:
                self.loop.call_later(INCOMPLETE_FILES_CHECK_SECONDS, self._wake.set)
                return
        problems = self.membership.rejection_problems
        if problems == self._reported_problems:
            return
        self._reported_problems = problems
        is_pending = self.membership.pending is not None
        self.counters.add("list_held" if is_pending else "list_refused")
        event = "endpoint_list_held" if is_pending else "endpoint_list_rejected"
        self.log.error(event, in_force=self.membership.generation, **self._problem_fields())

    def _problem_fields(self) -> dict[str, Any]:
        """Return the log event's fields that describe the problems of the files."""
        problems = self.membership.rejection_problems
        fields: dict[str, Any] = {}
        if problems:
            first = problems[0]
            fields = {"code": first.code, "position": str(first.position), "message": first.message}
            if first.suggestion:
                fields["suggestion"] = first.suggestion
            fields["problems"] = len(problems)
        if self.membership.pending is not None:
            fields["confirm"] = self.membership.pending.checked_list.digest[:MIN_DIGEST_PREFIX_SIZE]
        return fields

    def _apply_change(self, change: MembershipChange, source: str, load_ms: float = 0.0) -> None:
        """Apply a change to the front, log it, and save the list."""
        if not change:
            return
        self._apply_to_front(change)
        self.counters.add("list_changes")
        updated = [after for _, after in change.changed]
        file_list = self.membership.file_list
        self.log.info(
            "endpoint_list_changed",
            generation=change.generation,
            source=source,
            version=file_list.version if file_list else NO_VERSION,
            added=_abbreviated(active.id for active in change.added),
            removed=_abbreviated(active.id for active in change.removed),
            changed=_abbreviated(active.id for active in updated),
            suppressed=_abbreviated(active.id for active in (*change.added, *updated) if active.suppressed),
            load_ms=load_ms,
        )
        store = self._snapshot_store
        if store is None or self.membership.file_list_origin != "files":
            return
        if self._watch_task is None:  # During start-up, blocking is acceptable.
            store.save_now()
        else:
            store.save_in_background(self.loop)

    def apply_discovery(self, complete: bool, endpoints: list[EndpointSpec]) -> None:
        """Apply an update from discovery; see `Membership.apply_discovery`."""
        change = self.membership.apply_discovery(self.clock(), complete, endpoints)
        self._apply_change(change, "discovery")

    def set_manual_drain(self, name: str, drained: bool, drained_us: int) -> None:
        """Set or remove a manual drain; see `Membership.set_manual_drain`."""
        change = self.membership.set_manual_drain(self.clock(), name, drained, drained_us)
        self._apply_change(change, "hand")

    def confirm(self, digest: str) -> int:
        """Put the pending list in force, and return the new generation.

        Raises:
            NoPendingListError: No list is pending, or `digest` is that of another list.
        """
        change = self.membership.confirm(self.clock(), digest)
        self._reported_problems = ()
        self.log.warning("endpoint_list_confirmed", digest=digest, generation=change.generation)
        self._apply_change(change, "confirmed")
        return change.generation

    def status(self) -> JsonObject:
        """Return the list's status for the admin API."""
        return list_status(self.membership, self.clock(), self._watcher.is_polling)

    def endpoint_rows(self) -> list[JsonObject]:
        """Return the endpoints in force for the admin API."""
        return endpoint_rows(self.membership)
