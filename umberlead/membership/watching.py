"""Detects that list files may have changed.

inotify, used through watchdog, reports most changes at once. File signatures are also compared from time to
time, for the changes that inotify misses: after a queue overflow, without free watches, in a folder that was
deleted and created again, or on a network file system. An event from watchdog only triggers a new load; its
content is not used.
"""

import contextlib
import os
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from watchdog.events import FileSystemEvent, FileSystemEventHandler
from watchdog.observers import Observer
from watchdog.observers.api import BaseObserver

from umberlead.membership.files import FileSet, Signature, paths_signature

# Events caused by reading a file, which this program does itself.
READ_EVENT_TYPES = frozenset(("opened", "closed_no_write"))
# A file system may give two contents of a file, written within this time, the same timestamps: a file that
# changed this recently is read again.
RECENT_CHANGE_SECONDS = 2.0
NANOSECONDS_PER_SECOND_FACTOR = 1e9
STOP_TIMEOUT_SECONDS = 1.0


class _EventHandler(FileSystemEventHandler):
    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change

    def on_any_event(self, event: FileSystemEvent) -> None:
        """Report each event that is not caused by reading; called by watchdog."""
        if event.event_type not in READ_EVENT_TYPES:
            self._on_change()


class FolderWatcher:
    """Calls a function when something in the watched folders may have changed.

    Attributes:
        is_polling: Whether inotify is not available, so that changes are found only by polling signatures.
    """

    def __init__(
        self,
        on_change: Callable[[], None],
        log: Callable[..., Any],
        new_observer: Callable[[], Any] | None = None,
    ) -> None:
        """Create the watcher; it watches no folder yet.

        Args:
            on_change: Called from a thread of the watcher, any number of times for one change.
            log: Called with an event name and its fields.
            new_observer: Creates a watchdog observer; the class `Observer` by default.
        """
        self.is_polling = False
        self._event_handler = _EventHandler(on_change)
        self._log = log
        self._new_observer = new_observer or Observer
        self._observer: Any = None
        self._watches: dict[Path, Any] = {}
        self._lock = threading.Lock()
        self._failed_folders: set[Path] = set()

    def watch_folders(self, folders: Iterable[Path]) -> None:
        """Watch these folders and no others.

        Changes in a folder that can't be watched are found by polling; the next call tries to watch it again.
        """
        with self._lock:
            wanted = set(folders)
            if self._observer is None and not self.is_polling:
                self._start_observer()
            if self.is_polling or self._observer is None:
                return
            for folder in list(self._watches):
                if folder not in wanted or not os.path.isdir(folder):
                    self._remove_watch(folder)
            for folder in wanted - self._watches.keys():
                self._add_watch(folder)

    def _start_observer(self) -> None:
        try:
            self._observer = self._new_observer()
            self._observer.start()
        except (OSError, RuntimeError) as error:  # No inotify instance, file descriptor or thread is left.
            self._observer = None
            self._start_polling(str(error))

    def _start_polling(self, error: str) -> None:
        self.is_polling = True
        self._log("endpoint_list_polling_started", error=error)

    def check_threads(self) -> None:
        """Poll from now on if a thread of the observer has ended: it would report no change any more."""
        with self._lock:
            observer = self._observer
            if not isinstance(observer, BaseObserver) or observer.is_alive():
                return
            self._observer = None
            self._watches.clear()
            observer.stop()
            self._start_polling("the observer's thread has ended")

    def _add_watch(self, folder: Path) -> None:
        try:
            watch = self._observer.schedule(self._event_handler, str(folder), recursive=False)
        except (OSError, RuntimeError, ValueError) as error:
            # The folder doesn't exist or can't be named, or no more watches or threads are to be had.
            if folder not in self._failed_folders:
                self._failed_folders.add(folder)
                self._log("endpoint_list_watch_failed", folder=str(folder), error=str(error))
            return
        self._watches[folder] = watch
        self._failed_folders.discard(folder)

    def _remove_watch(self, folder: Path) -> None:
        watch = self._watches.pop(folder)
        with contextlib.suppress(OSError, KeyError):  # The watch ended when its folder was deleted.
            self._observer.unschedule(watch)

    def close(self) -> None:
        """Stop watching all folders."""
        with self._lock:
            if self._observer is not None:
                self._observer.stop()
                self._observer.join(STOP_TIMEOUT_SECONDS)
                self._observer = None
            self._watches.clear()


class ChangeDetector:
    """Compares file signatures to decide whether a set of files may differ from what was last read."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        """Start as if an empty set had been read; `clock` returns Unix time in seconds."""
        self._clock = clock
        self._last_signature: Signature = ()
        self._paths: list[Path] = []
        self._folders: list[Path] = []
        self._recently_changed = False
        self._has_temporary_error = False

    def record(self, file_set: FileSet) -> None:
        """Record the signature of a set that was just read.

        A file that changed a moment ago may change again without a change of its signature, and an error of
        the system may end without one.
        """
        self._has_temporary_error = file_set.has_temporary_error
        signature = file_set.paths_signature
        self._last_signature = signature
        self._paths = list(file_set.paths)
        signed_paths = {entry.path for entry in signature}
        self._folders = [folder for folder in file_set.watched_folders if str(folder) in signed_paths]
        now_ns = self._clock() * NANOSECONDS_PER_SECOND_FACTOR
        newest_ns = max((max(entry.modified_ns, entry.status_changed_ns) for entry in signature), default=0)
        self._recently_changed = now_ns - newest_ns < RECENT_CHANGE_SECONDS * NANOSECONDS_PER_SECOND_FACTOR

    def has_changed(self) -> bool:
        """Return whether the set needs to be read again."""
        if self._recently_changed or self._has_temporary_error:
            return True
        return paths_signature(self._paths, self._folders) != self._last_signature
