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

from umberlead.membership.files import FileSet, Signature, signature

READS = frozenset(("opened", "closed_no_write"))  # our own reading is no news
YOUNG = 2.0  # s within which a file system may give two contents one time: such a file is read again


class _Events(FileSystemEventHandler):
    def __init__(self, changed: Callable[[], None]) -> None:
        self._changed = changed

    def on_any_event(self, event: FileSystemEvent) -> None:
        if event.event_type not in READS:
            self._changed()


class Watcher:
    """`changed` is called from a thread of its own, as often as it likes."""

    def __init__(
        self,
        changed: Callable[[], None],
        log: Callable[..., Any],
        observer: Callable[[], Any] = Observer,
    ) -> None:
        self._events, self._log, self._make = _Events(changed), log, observer
        self._observer: Any = None
        self._watches: dict[Path, Any] = {}
        self._lock = threading.Lock()
        self.polling = False  # inotify is not to be had: polling alone
        self._failed: set[Path] = set()

    def follow(self, folders: Iterable[Path]) -> None:
        """Watch just these folders. One that can't be watched is found by polling, and tried again with the
        next call."""
        with self._lock:
            wanted = set(folders)
            if self._observer is None and not self.polling:
                self._start()
            if self.polling or self._observer is None:
                return
            for folder in [f for f in self._watches if f not in wanted or not f.is_dir()]:
                self._drop(folder)
            for folder in wanted - self._watches.keys():
                self._add(folder)

    def _start(self) -> None:
        try:
            self._observer = self._make()
            self._observer.start()
        except OSError as fault:  # no inotify instance left, or no descriptor
            self._observer, self.polling = None, True
            self._log("list_watch_polls", why=str(fault))

    def _add(self, folder: Path) -> None:
        try:
            self._watches[folder] = self._observer.schedule(self._events, str(folder), recursive=False)
            self._failed.discard(folder)
        except OSError as fault:  # not there, or the system's number of watches is reached
            if folder not in self._failed:
                self._failed.add(folder)
                self._log("list_watch_failed", folder=str(folder), why=str(fault))

    def _drop(self, folder: Path) -> None:
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


class Poll:
    """Whether a set may differ from what was read of it."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._last: Signature = ()
        self._paths: list[Path] = []
        self._folders: list[Path] = []
        self._young = False

    def read(self, got: FileSet) -> None:
        """Note what was just read. Written a moment ago, it may be written again without a sign."""
        self._last = got.signature
        self._paths = list(got.paths)
        names = {name for name, *_ in got.signature}
        self._folders = [f for f in got.folders if str(f) in names]
        now = self._clock() * 1e9
        newest = max((max(mtime, ctime) for *_, mtime, ctime in got.signature), default=0)
        self._young = now - newest < YOUNG * 1e9

    def differs(self) -> bool:
        return self._young or signature(self._paths, self._folders) != self._last
