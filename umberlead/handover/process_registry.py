"""Registry of a front's running processes: each locks a file of its own (its entry) in a shared folder.

A process that was killed leaves its file, but its lock is released. A process that can't create a file,
because the disk is full or fails, takes over an entry that is not locked. Spare files are kept for that, so
that its siblings see such a process too.
"""

import contextlib
import errno
import fcntl
import os
import secrets
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

# The contents of entries: a state, and the marker of a build that shares its call ids. All states have the
# same length, so that overwriting needs no more disk space. Earlier builds read and write the state alone.
ENTRY_RUNNING = b"standing"
ENTRY_LEAVING = b"leaving "
SHARES_CALL_IDS_MARKER = b" ids"
ENTRY_BYTES = len(ENTRY_RUNNING) + len(SHARES_CALL_IDS_MARKER)
# The weight of a process that shuts down, relative to a running one: its clients move to the other processes
# with their next response.
LEAVING_PROCESS_WEIGHT = 0.25
SPARE_ENTRY_COUNT = 2  # for processes that can't create a file
FILE_MODE = 0o644
PERMANENT_ERRNOS = frozenset((errno.EROFS, errno.EACCES, errno.EPERM, errno.ENOTDIR, errno.ENOENT))


def write_all(descriptor: int, data: bytes) -> None:
    """Write data at the start of a file, repeating partial writes until all of it is written.

    Raises:
        OSError: not all data could be written.
    """
    written = 0
    while written < len(data):
        written += os.pwrite(descriptor, data[written:], written)


class RunningProcess(NamedTuple):
    """What a running process tells its siblings with its entry.

    Attributes:
        weight: its part of the front's limits, relative to a process that does not shut down.
        shares_call_ids: whether it shares its call ids.
    """

    weight: float
    shares_call_ids: bool

    @classmethod
    def parse(cls, entry: bytes) -> "RunningProcess":
        """Return what an entry tells; one that is not written yet counts as an entry of this build."""
        is_leaving = entry.startswith(ENTRY_LEAVING)
        shares_call_ids = not entry or entry.endswith(SHARES_CALL_IDS_MARKER)
        return cls(LEAVING_PROCESS_WEIGHT if is_leaving else 1.0, shares_call_ids)


class ProcessRegistry:
    """This process's entry in the folder, and its siblings' entries as of the latest refresh.

    Attributes:
        folder: the folder of the entries.
        name: the name of this process's entry; "" while it has none.
        siblings: the names of the entries of the other running processes.
        all_share_call_ids: whether all of them are of a build that shares its call ids.
        folder_mtime_ns: the folder's modification time at the latest refresh.
        taken_over: whether this process took over an existing entry.
    """

    def __init__(self, folder: Path, shares_call_ids: bool = False) -> None:
        """Start without an entry; `register` creates one.

        Args:
            folder: the folder of the entries.
            shares_call_ids: whether this process shares its call ids, which its entry then tells.
        """
        self.folder = folder
        self.name = ""
        self.siblings: list[str] = []
        self.all_share_call_ids = True
        self.folder_mtime_ns = 0
        self.taken_over = False
        self._running_entry = ENTRY_RUNNING + (SHARES_CALL_IDS_MARKER if shares_call_ids else b"")
        self._weight = 1.0
        self._sibling_weights: list[float] = []
        self._descriptor = -1

    def register(self, prepare: Callable[[str], None]) -> None:
        """Create an entry, or take over one that is not locked; may be retried after a failure.

        Args:
            prepare: called with the entry's name before siblings can see it, and with the names of spare
                files; may raise OSError.

        Raises:
            OSError: neither is possible now.
        """
        if self.name:
            return
        try:
            name = secrets.token_hex(8)
            prepare(name)
            self._lock_entry(name, os.O_CREAT | os.O_EXCL, 0)
        except OSError:
            if not self._take_over(prepare):
                raise
        with contextlib.suppress(OSError):
            self._create_spare_files(prepare)

    def _lock_entry(self, name: str, open_flags: int, lock_flags: int) -> None:
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CLOEXEC | open_flags, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | lock_flags)
            with contextlib.suppress(OSError):  # an entry that can't be written counts as running
                write_all(descriptor, self._running_entry)
                os.ftruncate(
                    descriptor, len(self._running_entry)
                )  # an entry that is taken over may be longer
        except OSError:
            os.close(descriptor)
            raise
        self.name = name
        self._descriptor = descriptor

    def _take_over(self, prepare: Callable[[str], None]) -> bool:
        """Lock an entry that is not locked; return whether there was one."""
        try:
            names = sorted(os.listdir(self.folder))
        except OSError:
            return False
        for name in names:
            try:
                self._lock_entry(name, 0, fcntl.LOCK_NB)
            except OSError:  # a sibling has locked it
                continue
            self.taken_over = True
            with contextlib.suppress(OSError):
                prepare(name)
            return True
        return False

    def _create_spare_files(self, prepare: Callable[[str], None]) -> None:
        """Create spare entries up to their number, for processes that can't create one."""
        names = [name for name in os.listdir(self.folder) if name != self.name]
        unlocked = [name for name in names if self._running_process(name) is None]
        for _ in range(SPARE_ENTRY_COUNT - len(unlocked)):
            name = secrets.token_hex(8)
            prepare(name)
            descriptor = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
            try:
                write_all(descriptor, ENTRY_RUNNING)  # allocates its disk space
            finally:
                os.close(descriptor)

    def refresh(self) -> int:
        """Scan for running siblings and return their number; if that fails, that of the latest refresh."""
        with contextlib.suppress(OSError):
            folder_mtime_ns = os.stat(self.folder).st_mtime_ns
            names = [name for name in os.listdir(self.folder) if name != self.name]
            running = {name: found for name in names if (found := self._running_process(name)) is not None}
            self.siblings = list(running)
            self.all_share_call_ids = all(process.shares_call_ids for process in running.values())
            self._sibling_weights = [process.weight for process in running.values()]
            self.folder_mtime_ns = folder_mtime_ns
        return len(self.siblings)

    def _running_process(self, name: str) -> RunningProcess | None:
        """Return what an entry tells of the process that has locked it; None if it is not locked.

        Raises:
            OSError: the entry can't be read now.
        """
        try:
            with open(self.folder / name, "rb") as file:
                try:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    return RunningProcess.parse(file.read(ENTRY_BYTES))
        except FileNotFoundError:
            pass
        return None

    def has_changed(self) -> bool:
        """Return whether entries were added or removed since the latest refresh; kills don't show here."""
        try:
            return os.stat(self.folder).st_mtime_ns != self.folder_mtime_ns
        except OSError:
            return False

    def share(self) -> float:
        """Return this process's share of its front's limits, above 0 to 1, as of the latest refresh."""
        return self._weight / (self._weight + sum(self._sibling_weights))

    def announce_leaving(self) -> None:
        """Mark this process as shutting down, so that siblings no longer count it with an equal share."""
        self._weight = LEAVING_PROCESS_WEIGHT
        if self.name:
            with contextlib.suppress(OSError):
                write_all(self._descriptor, ENTRY_LEAVING)

    @contextlib.contextmanager
    def exclusive(self) -> Iterator[int]:
        """Enter a critical section that excludes the siblings; yields the folder's descriptor.

        Raises:
            OSError: a sibling is in the section, or the folder can't be opened.
        """
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield descriptor
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Release the entry.

        An entry that was taken over stays as a spare file. One that can't be removed is left without a lock,
        like that of a process that was killed.
        """
        if not self.name:
            return
        if not self.taken_over:
            with contextlib.suppress(OSError):
                os.unlink(self.folder / self.name)
        os.close(self._descriptor)
        self.name = ""
        self._descriptor = -1
