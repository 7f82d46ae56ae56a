"""Which processes of a front stand: each holds a lock on a file of its own in a folder that they share.

A process that was killed leaves its file, but not the lock on it. Where no file can be made for want of room,
or as the disk fails for a while, a process takes over one that nobody holds: spare ones are kept for that, so
it is seen also then.
"""

import contextlib
import errno
import fcntl
import os
import secrets
from collections.abc import Callable, Iterator
from pathlib import Path

STANDING, LEAVING = b"standing", b"leaving "  # of one length: overwriting takes no more room
LEAVING_PROCESS_SHARE = (
    0.25  # of another's share, for one that ends: its clients go over with their next answer
)
SPARE_FILES_COUNT = 2  # that are kept for processes which can make none
PERMANENT_ERRNOS = frozenset((errno.EROFS, errno.EACCES, errno.EPERM, errno.ENOTDIR, errno.ENOENT))


def write_all(descriptor: int, data: bytes) -> None:
    """Write from the start of a file, however little of it the system takes at once.

    Raises:
        OSError: not all of it could be written.
    """
    at = 0
    while at < len(data):
        at += os.pwrite(descriptor, data[at:], at)


class ProcessRegistry:
    """This process's entry in a folder, and a view of the others'.

    Attributes:
        name: of this process's file; "" while it has none.
        others: the names of the processes that stood beside this one at the latest look.
        listed_ns: the folder's time as they were looked for.
        taken_over: whether this process's file was there before it.
    """

    def __init__(self, folder: Path) -> None:
        """Begin without an entry: `register` makes one."""
        self.folder = folder
        self.name = ""
        self.siblings: list[str] = []
        self.listed_ns = 0
        self._weight = 1.0
        self._weights: list[float] = []
        self._descriptor, self.taken_over = -1, False

    def register(self, prepare: Callable[[str], None]) -> None:
        """Make an entry, or take over one that nobody holds; again where that failed before.

        Args:
            prepare: is called with the entry's name before the others can see it, and with those of spare
                ones; OSError where it can't be done now.

        Raises:
            OSError: there is neither; it may be there later.
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

    def _lock_entry(self, name: str, flags: int, waiting: int) -> None:
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CLOEXEC | flags, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | waiting)
            with contextlib.suppress(OSError):  # one that can't be written counts as standing
                write_all(descriptor, STANDING)
        except OSError:
            os.close(descriptor)
            raise
        self.name, self._descriptor = name, descriptor

    def _take_over(self, prepare: Callable[[str], None]) -> bool:
        try:
            names = sorted(os.listdir(self.folder))
        except OSError:
            return False
        for name in names:
            try:
                self._lock_entry(name, 0, fcntl.LOCK_NB)
            except OSError:  # another holds it
                continue
            self.taken_over = True
            with contextlib.suppress(OSError):
                prepare(name)
            return True
        return False

    def _create_spare_files(self, prepare: Callable[[str], None]) -> None:
        """Make files for processes that can make none, unless there are some."""
        free = [name for name in os.listdir(self.folder) if name != self.name and not self._weight_of(name)]
        for _ in range(SPARE_FILES_COUNT - len(free)):
            name = secrets.token_hex(8)
            prepare(name)
            spare = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
            try:
                write_all(spare, STANDING)  # so that it has its room
            finally:
                os.close(spare)

    def refresh(self) -> int:
        """Look for the others and return how many stand; where that fails, those of the latest look."""
        with contextlib.suppress(OSError):
            listed_ns = os.stat(self.folder).st_mtime_ns
            names = [name for name in os.listdir(self.folder) if name != self.name]
            found = {name: weight for name in names if (weight := self._weight_of(name))}
            self.siblings, self._weights, self.listed_ns = list(found), list(found.values()), listed_ns
        return len(self.siblings)

    def _weight_of(self, name: str) -> float:
        """Return the weight of the process that holds a file; 0 where none does.

        Raises:
            OSError: it can't be looked at now.
        """
        try:
            with open(self.folder / name, "rb") as file:
                try:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    return LEAVING_PROCESS_SHARE if file.read(len(LEAVING)) == LEAVING else 1.0
        except FileNotFoundError:
            pass
        return 0.0

    def changed(self) -> bool:
        """Tell whether the folder changed since the latest look; a kill shows at a look alone."""
        try:
            return os.stat(self.folder).st_mtime_ns != self.listed_ns
        except OSError:
            return False

    def share(self) -> float:
        """Return this process's share, above 0 to 1, of what its front may do, as of the latest look."""
        return self._weight / (self._weight + sum(self._weights))

    def announce_leaving(self) -> None:
        """Let the others know that this process was told to end; else they give it an even share."""
        self._weight = LEAVING_PROCESS_SHARE
        if self.name:
            with contextlib.suppress(OSError):
                write_all(self._descriptor, LEAVING)

    @contextlib.contextmanager
    def exclusive(self) -> Iterator[int]:
        """Within, no other process of the front is in such a section; yields the folder's descriptor.

        Raises:
            OSError: one is, or the folder can't be opened.
        """
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield descriptor
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Give the entry up.

        One that was taken over stays as a spare; one that can't be removed is left unheld, as that of a
        process that was killed.
        """
        if not self.name:
            return
        if not self.taken_over:
            with contextlib.suppress(OSError):
                os.unlink(self.folder / self.name)
        os.close(self._descriptor)
        self.name, self._descriptor = "", -1
