"""What this process and the one that replaces it both see, as files under $TMPDIR: which processes stand
behind the front's addresses, what of its descriptors each claims, which chunk servers operators took out, and
whether an agent answers for lists. It is the only thing written."""

import contextlib
import fcntl
import os
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import IO
from urllib.parse import quote, unquote

from umberlead.handover.claims import Claim, parse
from umberlead.limits import LOCAL_RESOURCE_ERRNOS

LEAVING = 0.25  # of another's part, for one that ends: its clients go over with their next answer
CLAIM_BYTES = 256  # of a claim's file, whose size never changes: there is no moment without room for it


class Shared:
    def __init__(self, root: Path | None) -> None:
        """Without a folder that can be written, this process is the only one, and marks die with it."""
        self.root, self.fault = root, ""
        self._name, self._marks = secrets.token_hex(8), dict[str, int]()
        self._lock: IO[str] | None = None
        self._weight, self._beside = 1.0, list[float]()
        self._names, self._listed = list[str](), 0  # the others, and the folder's time as they were listed
        self._claim, self._published = "", False
        if root is None:
            return
        try:
            (root / "fronts").mkdir(parents=True, exist_ok=True)
            (root / "offline").mkdir(exist_ok=True)
            (root / "claims").mkdir(exist_ok=True)
            self._write_claim(Claim(0, ()))  # the others see a process that will divide with them
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
            listed = os.stat(self.root / "fronts").st_mtime_ns
            names = [n for n in self._list("fronts") if n != self._name]
            weights = {n: w for n in names if (w := self._lives(self.root / "fronts" / n))}
            self._names, self._beside, self._listed = list(weights), list(weights.values()), listed
        return len(self._beside)

    def part(self) -> float:
        """This process's part of what its front may send, as of the last look at `others`. One that leaves
        has less before the others know of it, so the parts never add up to more than 1."""
        return self._weight / (self._weight + sum(self._beside))

    def changed(self) -> bool:
        """Whether a process started or ended since the others were last looked at: one that was killed shows
        at the next look alone."""
        try:
            return self.root is not None and os.stat(self.root / "fronts").st_mtime_ns != self._listed
        except OSError:
            return False

    def publish(self, decide: Callable[[list[Claim | None]], Claim]) -> bool:
        """Publish the claim that `decide` makes of the others', None for each that has published nothing.
        No other process decides meanwhile. False where that can't be done now: one does, or there is no
        descriptor for it. `decide` may have been called then."""
        if self.root is None:
            decide([])
            return True
        try:
            folder = os.open(self.root / "fronts", os.O_RDONLY)
        except OSError:
            return False
        try:
            fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if os.fstat(folder).st_mtime_ns != self._listed:
                self.others()
            claim = decide([self._claim_of(name) for name in self._names])
            if not self._published:  # by the system's clock alone a start within one of its ticks goes unseen
                now = time.time_ns()
                os.utime(folder, ns=(now, now))
                self._published = True
            self._write_claim(claim)
        except OSError:
            return False
        finally:
            os.close(folder)
        return True

    def _claim_of(self, name: str) -> Claim | None:
        assert self.root is not None
        try:
            file = os.open(self.root / "claims" / name, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            return parse(os.read(file, CLAIM_BYTES).decode("ascii", "replace"))
        finally:
            os.close(file)

    def _write_claim(self, claim: Claim) -> None:
        assert self.root is not None
        if (text := claim.text()) == self._claim:
            return
        file = os.open(self.root / "claims" / self._name, os.O_WRONLY | os.O_CREAT, 0o644)
        try:
            os.write(file, text.ljust(CLAIM_BYTES).encode())
        finally:
            os.close(file)
        self._claim = text

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
            for folder in ("fronts", "claims"):
                (self.root / folder / self._name).unlink(missing_ok=True)
            self._lock.close()
            self._lock = None
