"""What this process and the one that replaces it both see, as files under $TMPDIR: which processes stand
behind the front's addresses, which chunk servers operators took out, and whether an agent answers for lists.
It is the only thing written."""

import contextlib
import fcntl
import os
import secrets
import time
from pathlib import Path
from typing import IO
from urllib.parse import quote, unquote

from umberlead.limits import LOCAL_RESOURCE_ERRNOS

LEAVING = 0.25  # of another's part, for one that ends: its clients go over with their next answer


class Shared:
    def __init__(self, root: Path | None) -> None:
        """Without a folder that can be written, this process is the only one, and marks die with it."""
        self.root, self.fault = root, ""
        self._name, self._marks = secrets.token_hex(8), dict[str, int]()
        self._lock: IO[str] | None = None
        self._weight, self._beside = 1.0, list[float]()
        if root is None:
            return
        try:
            (root / "fronts").mkdir(parents=True, exist_ok=True)
            (root / "offline").mkdir(exist_ok=True)
            self._lock = open(root / "fronts" / self._name, "w")  # noqa: SIM115 (held until the end)
            fcntl.flock(self._lock, fcntl.LOCK_EX)
        except OSError as fault:
            self.root, self.fault = None, str(fault)

    def others(self) -> int:
        """Processes beside this one. One that was killed left its file, but not the lock on it. Where they
        can't be seen, for want of a descriptor, they are what they were."""
        if self.root is None:
            return 0
        with contextlib.suppress(OSError):
            names = [n for n in self._list("fronts") if n != self._name]
            self._beside = [w for n in names if (w := self._lives(self.root / "fronts" / n))]
        return len(self._beside)

    def part(self) -> float:
        """This process's part of what its front may send, as of the last look at `others`. One that leaves
        has less before the others know of it, so the parts never add up to more than 1."""
        return self._weight / (self._weight + sum(self._beside))

    def leaves(self) -> None:
        """This process was told to end, and the others are to know."""
        self._weight = LEAVING
        if self._lock is not None:
            with contextlib.suppress(OSError):  # they give it an even part
                self._lock.write("leaving")
                self._lock.flush()

    def _list(self, folder: str) -> list[str]:
        """OSError where there is no descriptor for it."""
        assert self.root is not None
        try:
            return os.listdir(self.root / folder)
        except OSError as fault:
            if fault.errno in LOCAL_RESOURCE_ERRNOS:
                raise
            return []

    @staticmethod
    def _lives(path: Path) -> float:
        """Its weight, 0 for none. OSError where there is no descriptor for it."""
        try:
            with open(path) as file:
                try:
                    fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                except BlockingIOError:
                    return LEAVING if file.read(1) else 1.0
        except OSError as fault:
            if fault.errno in LOCAL_RESOURCE_ERRNOS:
                raise
        return 0.0

    def marks(self) -> dict[str, int]:
        """Chunk servers taken out by hand, and when, in us of Unix time: as last seen, where there is no
        descriptor to look."""
        if self.root is None:
            return dict(self._marks)
        try:
            names = self._list("offline")
        except OSError:
            return dict(self._marks)
        found = {}
        for name in names:
            try:
                found[unquote(name)] = (self.root / "offline" / name).stat().st_mtime_ns // 1000
            except OSError:  # put back in between
                continue
        self._marks = found
        return dict(found)

    def mark(self, node: str, out: bool) -> None:
        """OSError if it can't be kept."""
        if self.root is None:
            if out:
                self._marks.setdefault(node, time.time_ns() // 1000)
            else:
                self._marks.pop(node, None)
            return
        path = self.root / "offline" / quote(node, safe="")
        if not out:
            path.unlink(missing_ok=True)
        elif not path.exists():
            path.touch()

    def agent(self) -> bool | None:
        """Whether an earlier process met an agent in discovery's place; None: not known."""
        return True if self.root is not None and (self.root / "agent").exists() else None

    def met_agent(self, agent: bool) -> None:
        """Only a hint: where it can't be kept, the next process learns it anew."""
        if self.root is not None:
            with contextlib.suppress(OSError):
                (self.root / "agent").touch() if agent else (self.root / "agent").unlink(missing_ok=True)

    def leave(self) -> None:
        if self._lock is not None and self.root is not None:
            (self.root / "fronts" / self._name).unlink(missing_ok=True)
            self._lock.close()
            self._lock = None
