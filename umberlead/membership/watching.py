"""Tells that list files may have changed: inotify through watchdog, and a comparison of signatures for all
that inotify misses (an overflowing queue, watches that ran out, a folder made again, a network file system).

watchdog's events only wake whoever reads the files; they decide nothing."""

import contextlib
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from watchdog.events import FileSystemEvent, FileSystemEventHandler
from watchdog.observers import Observer

from umberlead.membership.files import FileSet, Signature, paths_signature

READ_EVENT_TYPES = frozenset(("opened", "closed_no_write"))  # our own reading is no news
RECENT_CHANGE_SECONDS = (
    2.0  # s within which a file system may give two contents one time: such a file is read again
)


class _EventHandler(FileSystemEventHandler):
    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change

    def on_any_event(self, event: FileSystemEvent) -> None:
        if event.event_type not in READ_EVENT_TYPES:
            self._on_change()


class FolderWatcher:
    """`changed` is called from a thread of its own, as often as it likes."""

    def __init__(
        self,
        on_change: Callable[[], None],
        log: Callable[..., Any],
        new_observer: Callable[[], Any] = Observer,
    ) -> None:
        self._event_handler, self._log, self._new_observer = _EventHandler(on_change), log, new_observer
        self._observer: Any = None
        self._watches: dict[Path, Any] = {}
        self._lock = threading.Lock()
        self.is_polling = False  # inotify is not to be had: polling alone
        self._failed_folders: set[Path] = set()

    def watch_folders(self, folders: Iterable[Path]) -> None:
        """Watch just these folders. One that can't be watched is found by polling, and tried again with the
        next call."""
        with self._lock:
            wanted = set(folders)
            if self._observer is None and not self.is_polling:
                self._start_observer()
            if self.is_polling or self._observer is None:
                return
            for folder in [f for f in self._watches if f not in wanted or not f.is_dir()]:
                self._remove_watch(folder)
            for folder in wanted - self._watches.keys():
                self._add_watch(folder)

    def _start_observer(self) -> None:
        try:
            self._observer = self._new_observer()
            self._observer.start()
        except OSError as fault:  # no inotify instance left, or no descriptor
            self._observer, self.is_polling = None, True
            self._log("list_watch_polls", why=str(fault))

    def _add_watch(self, folder: Path) -> None:
        try:
            self._watches[folder] = self._observer.schedule(self._event_handler, str(folder), recursive=False)
            self._failed_folders.discard(folder)
        except OSError as fault:  # not there, or the system's number of watches is reached
            if folder not in self._failed_folders:
                self._failed_folders.add(folder)
                self._log("list_watch_failed", folder=str(folder), why=str(fault))

    def _remove_watch(self, folder: Path) -> None:
        watch = self._watches.pop(folder)
        with contextlib.suppress(OSError, KeyError):  # it ended with its folder
            self._observer.unschedule(watch)

    def close(self) -> None:
        with self._lock:
            if self._observer is not None:
                self._observer.stop()
                self._observer.join(1.0)
                self._observer = None
            self._watches.clear()


class ChangeDetector:
    """Whether a set may differ from what was read of it."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._last_signature: Signature = ()
        self._paths: list[Path] = []
        self._folders: list[Path] = []
        self._recently_changed = False

    def record(self, file_set: FileSet) -> None:
        """Note what was just read. Written a moment ago, it may be written again without a sign."""
        self._last_signature = file_set.paths_signature
        self._paths = list(file_set.paths)
        names = {name for name, *_ in file_set.paths_signature}
        self._folders = [f for f in file_set.watched_folders if str(f) in names]
        now = self._clock() * 1e9
        newest = max((max(mtime, ctime) for *_, mtime, ctime in file_set.paths_signature), default=0)
        self._recently_changed = now - newest < RECENT_CHANGE_SECONDS * 1e9

    def has_changed(self) -> bool:
        return self._recently_changed or paths_signature(self._paths, self._folders) != self._last_signature
