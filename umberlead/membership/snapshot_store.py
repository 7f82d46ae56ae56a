"""Saves the last good list to its snapshot, on a thread of its own."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.supervision import Supervisor, describe_error
from umberlead.membership import snapshot
from umberlead.membership.model import CheckedList

SAVE_INTERVAL_SECONDS = 0.2
SAVE_RETRY_SECONDS = 5.0
TASK_NAME = "list_snapshot"  # under which the saving is supervised


class SnapshotStore:
    """Reads the snapshot at start-up, and saves each new list to it.

    Saving has a thread of its own, so that a slow disk does not delay the removal of an endpoint.

    Attributes:
        path: The snapshot's file.
        restore_error: Why the snapshot could not be read at start-up; "" if it was read or does not exist.
    """

    def __init__(
        self,
        path: Path,
        clock: Callable[[], int],
        counters: Counters,
        log: Any,
        latest_list: Callable[[], CheckedList | None],
        supervisor: Supervisor,
    ) -> None:
        """Create the store; nothing is read or written yet.

        Args:
            path: The snapshot's file.
            clock: Returns Unix time in microseconds.
            counters: Counters of saves, of failed saves and of snapshots that could not be read.
            log: The process's log.
            latest_list: Returns the list to save.
            supervisor: Runs the task that saves, and reports unexpected errors.
        """
        self.path = path
        self.restore_error = ""
        self._clock = clock
        self._counters = counters
        self._log = log
        self._latest_list = latest_list
        self._supervisor = supervisor
        self._saved_digest = ""
        self._executor = ThreadPoolExecutor(1, "list-save")
        self._task: asyncio.Task[None] | None = None

    def restore(self) -> CheckedList | None:
        """Return the list of the snapshot; None if there is no usable one."""
        try:
            saved = snapshot.read_snapshot(self.path)
        except (ValueError, OSError) as error:  # SnapshotDamagedError is a ValueError
            self._counters.add("list_snapshots_damaged")
            self._log.error("endpoint_list_snapshot_damaged", path=str(self.path), error=str(error))
            self.restore_error = f"{self.path}: {error}"
            return None
        except Exception as error:  # A front can start without the snapshot.
            self._supervisor.record_failure(TASK_NAME, error)
            self.restore_error = f"{self.path}: {describe_error(error)}"
            return None
        if saved is None:
            return None
        self._saved_digest = saved.checked_list.digest
        return saved.checked_list

    def unsaved_list(self) -> CheckedList | None:
        """Return the latest list; None if there is none, or the snapshot already has it."""
        checked_list = self._latest_list()
        if checked_list is None or checked_list.digest == self._saved_digest:
            return None
        return checked_list

    def save_now(self) -> None:
        """Save the latest list before returning; a failure is logged."""
        checked_list = self.unsaved_list()
        if checked_list is None:
            return
        try:
            _write_snapshot(self.path, checked_list, self._clock())
            self._saved_digest = checked_list.digest
        except OSError as error:
            self._record_error(error)
        except Exception as error:  # A front serves without the snapshot, too.
            self._supervisor.record_failure(TASK_NAME, error)

    def save_in_background(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start saving the latest list, unless a save is already running, which will include it."""
        if self._task is None or self._task.done():
            self._task = self._supervisor.start_task(TASK_NAME, lambda: self._save_latest(loop))

    async def _save_latest(self, loop: asyncio.AbstractEventLoop) -> None:
        """Save until the snapshot has the latest list.

        Only the latest list is saved and not each one, so that a burst of changes causes a few writes.
        """
        while (checked_list := self.unsaved_list()) is not None:
            saved_us = self._clock()
            try:
                await loop.run_in_executor(self._executor, _write_snapshot, self.path, checked_list, saved_us)
            except OSError as error:
                self._record_error(error)
                await asyncio.sleep(SAVE_RETRY_SECONDS)
            else:
                self._saved_digest = checked_list.digest
                self._counters.add("list_snapshots_saved")
                self._supervisor.record_success(TASK_NAME)
                await asyncio.sleep(SAVE_INTERVAL_SECONDS)

    def _record_error(self, error: OSError) -> None:
        self._counters.add("list_snapshots_failed")
        self._log.error("endpoint_list_snapshot_failed", path=str(self.path), error=str(error))

    def close(self) -> None:
        """Save the latest list before returning, and stop the thread."""
        if self._task is not None:
            self._task.cancel()
        self.save_now()
        self._executor.shutdown(wait=False, cancel_futures=True)


def _write_snapshot(path: Path, checked_list: CheckedList, saved_us: int) -> None:
    snapshot.write_atomically(path, snapshot.encode_snapshot(checked_list, saved_us))
