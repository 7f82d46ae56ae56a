"""What this process and the one that replaces it both see, as files in a folder under $TMPDIR.

Which processes stand behind the front's addresses, what of its descriptors each claims, which chunk servers
operators took out, and whether an agent answers for lists. It is the only thing that a front writes. The
folder may take no writes for a while: what stands in it holds, and what this process could not write is tried
again with each look.
"""

import contextlib
import errno
import os
import time
from collections.abc import Callable
from pathlib import Path

from umberlead.handover.clock_anchors import ClockAnchors
from umberlead.handover.drain_overrides import DrainOverrides
from umberlead.handover.process_claims import DescriptorClaim, parse_claim
from umberlead.handover.process_registry import PERMANENT_ERRNOS, ProcessRegistry, write_all

CLAIM_BYTES = 256  # of a claim's file, whose size never changes: there is no moment without room for it
DISK_ERRNOS = frozenset(
    (errno.ENOSPC, errno.EDQUOT, errno.EIO)
)  # the folder takes no writes from any process
FOLDERS = ("fronts", "offline", "claims")


class SharedState:
    """The front's folder as one of its processes sees it.

    Attributes:
        root: the folder; None where there is none, and this process is the only one.
        fault: why nothing is shared, or could be written so far; "" where all is well.
        clock_anchors: where the wall clock stood, as the processes have seen it.
    """

    def __init__(self, root: Path | None) -> None:
        """Register among the processes of the front; without a folder that can be written, later or never."""
        self.root, self.error = root, ""
        self._claim, self._published = "", False
        if root is not None and (permanent := self._make_folders(root)):
            self.root, self.error = None, permanent
        root = self.root
        self._registry = None if root is None else ProcessRegistry(root / "fronts")
        self.clock_anchors = ClockAnchors(None if root is None else root / "clock")
        self._overrides = DrainOverrides(None if root is None else root / "offline")
        if self._registry is not None:
            self.count_siblings()

    @staticmethod
    def _make_folders(root: Path) -> str:
        """Make what is missing; return why nothing can ever be shared, "" where it can, now or later."""
        for name in FOLDERS:
            try:
                (root / name).mkdir(parents=True, exist_ok=True)
            except OSError as fault:
                if fault.errno in PERMANENT_ERRNOS:
                    return str(fault)
        return ""

    def _register(self, registry: ProcessRegistry) -> None:
        """Be seen by the others, which then divide with this process; tried again where that failed."""
        if registry.name:
            return
        try:
            assert self.root is not None
            self._make_folders(self.root)
            registry.register(self._prepare_claim)
            self.error = ""
        except OSError as fault:
            self.error = str(fault)

    def count_siblings(self) -> int:
        """Return how many processes stand beside this one, or stood at the latest look that could be made."""
        if self._registry is None:
            return 0
        self._register(self._registry)
        return self._registry.refresh()

    def share(self) -> float:
        """Return this process's share of what its front may send, as of the latest look at `others`.

        One that leaves has less before the others know of it, so the shares never add up to more than 1.
        """
        return 1.0 if self._registry is None else self._registry.share()

    def changed(self) -> bool:
        """Tell whether a process started or ended since the others were last looked at."""
        return self._registry is not None and self._registry.changed()

    def publish(self, decide: Callable[[list[DescriptorClaim | None]], DescriptorClaim]) -> bool:
        """Publish the claim that `decide` makes of the others', None for each that has published nothing.

        No other process decides meanwhile. False where that can't be done now: one does, or there is no
        descriptor for it. `decide` may have been called then.
        """
        registry = self._registry
        if registry is None:
            decide([])
            return True
        alone = False
        try:
            with registry.exclusive() as folder:
                if registry.changed():
                    self.count_siblings()
                alone = not registry.siblings
                claim = decide([self._claim_of(name) for name in registry.siblings])
                if not self._published:  # a start within one tick of the system's clock goes unseen otherwise
                    now = time.time_ns()
                    os.utime(folder, ns=(now, now))
                    self._published = True
                self._write_claim(claim)
        except FileNotFoundError:  # the folder could not be made so far: nobody can be in it
            decide([])
            return True
        except OSError as fault:
            # Nobody is there who would have to know, or nobody can publish now: no claim rises meanwhile.
            return alone or fault.errno in DISK_ERRNOS
        return True

    def _claim_of(self, name: str) -> DescriptorClaim | None:
        assert self.root is not None
        try:
            file = os.open(self.root / "claims" / name, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            data = b""
            while piece := os.read(file, CLAIM_BYTES - len(data)):
                data += piece
        finally:
            os.close(file)
        return parse_claim(data.decode("ascii", "replace")) if len(data) == CLAIM_BYTES else None

    def _prepare_claim(self, name: str) -> None:
        """Let the others see a process that will divide with them."""
        self._write(name, DescriptorClaim(0, ()).to_text())

    def _write_claim(self, claim: DescriptorClaim) -> None:
        assert self._registry is not None
        if (text := claim.to_text()) == self._claim or not self._registry.name:
            return
        self._claim = ""  # until all of it is written
        self._write(self._registry.name, text)
        self._claim = text

    def _write(self, name: str, text: str) -> None:
        assert self.root is not None
        file = os.open(self.root / "claims" / name, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            write_all(file, text.ljust(CLAIM_BYTES).encode())
        finally:
            os.close(file)

    def announce_leaving(self) -> None:
        """Let the others know that this process was told to end."""
        if self._registry is not None:
            self._registry.announce_leaving()

    def drain_overrides(self) -> dict[str, int]:
        """Return the chunk servers that are out by hand, and since when in microseconds of Unix time."""
        return self._overrides.read()

    def set_drain_override(self, node: str, out: bool) -> None:
        """Take a chunk server out by hand, or put it back.

        Raises:
            OSError: it can't be kept.
        """
        self._overrides.set(node, out)

    def met_agent_before(self) -> bool | None:
        """Tell whether an earlier process met an agent in discovery's place; None: not known."""
        return True if self.root is not None and (self.root / "agent").exists() else None

    def record_agent(self, agent: bool) -> None:
        """Note it for the next process: only a hint, which that learns anew where it can't be kept."""
        if self.root is None:
            return
        with contextlib.suppress(OSError):
            if agent:
                (self.root / "agent").touch()
            else:
                (self.root / "agent").unlink(missing_ok=True)

    def deregister(self) -> None:
        """Be seen no more: the process ends."""
        registry = self._registry
        if registry is None or not registry.name:
            return
        assert self.root is not None
        with contextlib.suppress(OSError):
            if registry.taken_over:
                self._prepare_claim(registry.name)
            else:
                (self.root / "claims" / registry.name).unlink(missing_ok=True)
        registry.close()
