"""Watches the endpoint list's files and keeps the list in force up to date.

Worker threads load the files and save the snapshot; the event loop applies a finished load in one callback.
Any number of wake-ups during a load cause one more load.
"""

import asyncio
import contextlib
import gc
import sys
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.supervision import Supervisor, describe_error
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
# The names under which the work of the watch is supervised.
WATCH_TASK_NAME = "list_watch"
OBSERVER_NAME = "list_observer"
CLOSE_NAME = "list_close"
# A watch that fails is run again so soon that a removal is in force within 1 s of the change of its file.
MAX_WATCH_RESTART_DELAY_SECONDS = 0.4
# How long the watch may fail, or a load may last beyond the gate's limit, before the front is not ready.
MAX_WATCH_FAILING_US = 1_000_000
MAX_LOAD_US = 5_000_000
MICROSECONDS_PER_SECOND = 1_000_000
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
        supervisor: Runs the tasks, and reports their failures.
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
        supervisor: Supervisor | None = None,
        resynchronize_front: Callable[[Membership], None] | None = None,
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
            supervisor: Runs the tasks, and reports their failures; by default one of the service's own.
            resynchronize_front: Called with the list in force after `apply_to_front` has raised, which
                may have applied a part of its change.
        """
        self.settings = settings
        self.loop = loop
        self.clock = clock
        self.counters = counters
        self.log = log
        self.membership = Membership(settings.membership)
        self.load_count = 0
        self.supervisor = supervisor or Supervisor(loop, clock, counters, log)
        self._apply_to_front = apply_to_front
        self._resynchronize_front = resynchronize_front
        self._front_is_behind = False
        self._loader = _new_loader(settings, shard_count, lookup)
        self._watcher = FolderWatcher(self._on_files_changed, log.warning, new_observer)
        self._snapshot_store = self._new_snapshot_store()
        self._load_executor = ThreadPoolExecutor(1, "list")
        self._wake = asyncio.Event()
        self._turn_ended_us = clock()
        self._stall_is_logged = False
        self._watch_task: asyncio.Task[None] | None = None
        self._reported_problems: tuple[ListProblem, ...] = ()
        self._incomplete_since_seconds: float | None = None
        self._closed = False

    def _new_snapshot_store(self) -> SnapshotStore | None:
        path = self.settings.snapshot_path
        if path is None:
            return None
        return SnapshotStore(path, self.clock, self.counters, self.log, self._latest_list, self.supervisor)

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
        problems, reason = self._load_first_files(saved)
        if self.membership.file_list is None:
            self.close()
            reason = reason or (store.restore_error if store is not None else "")
            raise NoUsableListError(problems, reason)
        if self.membership.file_list_origin == "snapshot":
            self.counters.add("list_from_snapshot")
            generation = self.membership.generation
            self.log.error("endpoint_list_restored", generation=generation, **self._problem_fields())

    def _load_first_files(self, saved: CheckedList | None) -> tuple[list[ListProblem], str]:
        """Load the files and apply the result; return their problems, or why they could not be loaded.

        A front that has a snapshot starts from it whatever a load raises; the watch then loads the files.
        """
        try:
            result = self._loader.load(saved)
        except Exception as error:
            self.supervisor.record_failure(WATCH_TASK_NAME, error)
            return [], f"{self.settings.main_path}: {describe_error(error)}"
        self._watch_folders(result.watched_folders)
        self._apply_load_result(result, is_first=True)
        return result.check_result.problems, ""

    def start_watching(self) -> None:
        """Start the task that watches the files."""
        self._watch_task = self.supervisor.start_task(
            WATCH_TASK_NAME, self._watch_files, self._wake, MAX_WATCH_RESTART_DELAY_SECONDS
        )
        if self._snapshot_store is not None and self._snapshot_store.unsaved_list():
            self._save_list()  # Retries a first save that failed, as on a full disk.

    def close(self) -> None:
        """Stop watching, and save the list in force; no step depends on the success of another."""
        self._closed = True
        steps: list[Callable[[], object]] = [self._watcher.close]
        if self.settings.gate is not None:
            steps.append(self.settings.gate.close)
        if self._watch_task is not None:
            steps.append(self._watch_task.cancel)
        if self._snapshot_store is not None:
            steps.append(self._snapshot_store.close)
        steps.append(partial(self._load_executor.shutdown, wait=False, cancel_futures=True))
        steps.append(self._loader.resolver.close)
        for step in steps:
            self.supervisor.call(CLOSE_NAME, step)

    def _latest_list(self) -> CheckedList | None:
        return self.membership.file_list

    def _on_files_changed(self) -> None:
        """Wake the watch task; called from the watcher's thread."""
        with contextlib.suppress(RuntimeError):  # The event loop was closed: the process ends.
            if not self._closed:
                self.loop.call_soon_threadsafe(self._wake.set)

    def request_load(self) -> None:
        """Load the files now, even if they have not changed."""
        self._wake.set()

    async def _watch_files(self) -> None:
        """Load the files at each change, until the service is closed.

        Any exception ends this task, and the supervisor runs it again. The files are then loaded in any case,
        as the change that was being handled is not noticed a second time.
        """
        while not self._closed:
            is_repeated = self.supervisor.failing_us(WATCH_TASK_NAME) > 0
            is_due = is_repeated or await self._wait_for_change()
            self._wake.clear()
            if is_due:
                result = await self.loop.run_in_executor(self._load_executor, self._load_in_thread)
                if not self._closed:
                    self._apply_load_result(result)
            self._bring_front_up_to_date()
            self._apply_change(self.membership.advance_time(self.clock()), "time")
            self._turn_ended_us = self.clock()
            self.supervisor.record_success(WATCH_TASK_NAME)

    async def _wait_for_change(self) -> bool:
        """Wait for a notification, or for the next poll; return whether the files have to be loaded."""
        try:
            await asyncio.wait_for(self._wake.wait(), self.settings.poll_interval_seconds)
        except TimeoutError:
            self._watcher.check_threads()
            detector = self._loader.change_detector
            return await self.loop.run_in_executor(self._load_executor, detector.has_changed)
        await asyncio.sleep(self.settings.settle_seconds)  # Lets a burst of changes end.
        return True

    def _bring_front_up_to_date(self) -> None:
        """Apply the whole list in force if the front may have applied only a part of a change."""
        if self._front_is_behind and self._resynchronize_front is not None:
            self._resynchronize_front(self.membership)
            self._front_is_behind = False
            self._save_list()

    def unready_reason(self) -> str:
        """Return why this front does not follow its list at present; "" if it does.

        Files with problems are no such reason: the last good list is in force, as it should be.
        """
        failing_us = self.supervisor.failing_us(WATCH_TASK_NAME)
        if failing_us > MAX_WATCH_FAILING_US:
            seconds = failing_us / MICROSECONDS_PER_SECOND
            return f"{WATCH_TASK_NAME} has been failing for {seconds:.0f} s"
        gate_seconds = self.settings.gate.timeout_seconds if self.settings.gate is not None else 0.0
        max_turn_us = MAX_LOAD_US + int(gate_seconds * MICROSECONDS_PER_SECOND)
        turn_us = self.clock() - self._turn_ended_us
        if self._watch_task is None or turn_us <= max_turn_us:
            return ""
        return f"{WATCH_TASK_NAME} has been loading the list for {turn_us / MICROSECONDS_PER_SECOND:.0f} s"

    def check_progress(self) -> None:
        """Log once that the watch does not follow the list, while its task is neither failing nor done."""
        reason = self.unready_reason()
        if reason and not self._stall_is_logged and not self.supervisor.failing_us(WATCH_TASK_NAME):
            self.counters.add("list_watch_stalls")
            self.log.error("endpoint_list_watch_stalled", reason=reason)
        self._stall_is_logged = bool(reason)

    def _watch_folders(self, folders: set[Path]) -> None:
        """Watch the folders; if that fails, changes are found by polling."""
        try:
            self._watcher.watch_folders(folders)
        except Exception as error:
            self.supervisor.record_failure_from_thread(OBSERVER_NAME, error)

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
        self._watch_folders(result.watched_folders)
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
        was_behind = self._front_is_behind
        self._front_is_behind = True  # if the next line raises
        self._apply_to_front(change)
        self._front_is_behind = was_behind
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
        self._save_list()

    def _save_list(self) -> None:
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
