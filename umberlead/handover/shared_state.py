"""What this process and the one that replaces it share, as files in a folder under $TMPDIR.

Which processes serve the front's addresses, which descriptors each claims, which endpoints operators drained,
and whether an agent answers for lists. Beside list snapshots it is all that a front writes. The folder may
take no writes for a while: its contents hold, and what this process could not write is retried with each
refresh.
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
from umberlead.handover.process_registry import FILE_MODE, PERMANENT_ERRNOS, ProcessRegistry, write_all

CLAIM_BYTES = 256  # of a claim's file, whose size never changes, so that it always has its disk space
DISK_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EIO))  # no process can write to the folder
# Names within the folder, which processes of other versions read too.
REGISTRY_FOLDER = "fronts"
DRAINS_FOLDER = "offline"
CLAIMS_FOLDER = "claims"
FOLDERS = (REGISTRY_FOLDER, DRAINS_FOLDER, CLAIMS_FOLDER)
CLOCK_FILE = "clock"
AGENT_FILE = "agent"


class SharedState:
    """The front's folder as one of its processes sees it.

    Attributes:
        root: the folder; None where there is none, so that this process counts as the only one.
        error: why nothing is shared, or could be written so far; "" without an error.
        clock_anchors: offsets of the wall clock that the processes saw.
    """

    def __init__(self, root: Path | None) -> None:
        """Register among the processes of the front; where the folder can't be written, later or never."""
        self.error = "" if root is None else self._make_folders(root)
        self.root = None if self.error else root
        self._published_text = ""
        self._has_published = False
        self._has_ended = False
        root = self.root
        self._registry = None if root is None else ProcessRegistry(root / REGISTRY_FOLDER)
        self.clock_anchors = ClockAnchors(None if root is None else root / CLOCK_FILE)
        self._overrides = DrainOverrides(None if root is None else root / DRAINS_FOLDER)
        if self._registry is not None:
            self.count_siblings()

    @staticmethod
    def _make_folders(root: Path) -> str:
        """Create missing folders; return why nothing can ever be shared, or "" where it can, now or later."""
        for name in FOLDERS:
            try:
                (root / name).mkdir(parents=True, exist_ok=True)
            except OSError as error:
                if error.errno in PERMANENT_ERRNOS:
                    return str(error)
        return ""

    def _register(self, registry: ProcessRegistry) -> None:
        """Become visible to siblings, which then divide with this process; retried where that failed.

        Not after `deregister`: a periodic look that comes later would leave an entry that nobody removes.
        """
        if registry.name or self._has_ended:
            return
        try:
            assert self.root is not None
            self._make_folders(self.root)
            registry.register(self._prepare_claim)
            self.error = ""
        except OSError as error:
            self.error = str(error)

    def count_siblings(self) -> int:
        """Return how many siblings run, or ran at the latest refresh that succeeded."""
        if self._registry is None:
            return 0
        self._register(self._registry)
        return self._registry.refresh()

    def share(self) -> float:
        """Return this process's share of what its front may send, as of the latest refresh.

        A process that leaves lowers its own before siblings know, so the shares never add up to more than 1.
        """
        return 1.0 if self._registry is None else self._registry.share()

    def changed(self) -> bool:
        """Tell whether a process started or ended since the latest refresh."""
        return self._registry is not None and self._registry.changed()

    def publish(self, decide: Callable[[list[DescriptorClaim | None]], DescriptorClaim]) -> bool:
        """Publish the claim that `decide` returns for the siblings' claims.

        No sibling decides meanwhile.

        Args:
            decide: gets None for each sibling that has published no claim.

        Returns:
            False where nothing was published: a sibling decides now, or there is no descriptor for it.
            `decide` may have been called then.
        """
        registry = self._registry
        if registry is None:
            decide([])
            return True
        is_alone = False
        try:
            with registry.exclusive() as folder:
                if registry.changed():
                    self.count_siblings()
                is_alone = not registry.siblings
                claim = decide([self._claim_of(name) for name in registry.siblings])
                if not self._has_published:
                    # Else a start within one tick of the file system's clock would go unnoticed.
                    now_ns = time.time_ns()
                    os.utime(folder, ns=(now_ns, now_ns))
                    self._has_published = True
                self._write_claim(claim)
        except FileNotFoundError:  # the folder could not be created so far: no sibling can be in it
            decide([])
            return True
        except OSError as error:
            # No sibling has to know, or no process can publish now, so that no claim rises meanwhile.
            return is_alone or error.errno in DISK_ERRNOS
        return True

    def _claim_of(self, name: str) -> DescriptorClaim | None:
        assert self.root is not None
        try:
            descriptor = os.open(self.root / CLAIMS_FOLDER / name, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            data = b""
            while chunk := os.read(descriptor, CLAIM_BYTES - len(data)):
                data += chunk
        finally:
            os.close(descriptor)
        return parse_claim(data.decode("ascii", "replace")) if len(data) == CLAIM_BYTES else None

    def _prepare_claim(self, name: str) -> None:
        """Let siblings see a process that will divide with them."""
        self._write(name, DescriptorClaim(0, ()).to_text())

    def _write_claim(self, claim: DescriptorClaim) -> None:
        assert self._registry is not None
        text = claim.to_text()
        if text == self._published_text or not self._registry.name:
            return
        self._published_text = ""  # until all of it is written
        self._write(self._registry.name, text)
        self._published_text = text

    def _write(self, name: str, text: str) -> None:
        assert self.root is not None
        path = self.root / CLAIMS_FOLDER / name
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            write_all(descriptor, text.ljust(CLAIM_BYTES).encode())
        finally:
            os.close(descriptor)

    def announce_leaving(self) -> None:
        """Let siblings know that this process was told to end."""
        if self._registry is not None:
            self._registry.announce_leaving()

    def drain_overrides(self) -> dict[str, int]:
        """Return the manually drained endpoints, and since when in microseconds of Unix time."""
        return self._overrides.read()

    def set_drain_override(self, endpoint: str, is_drained: bool) -> None:
        """Drain an endpoint by hand, or take that back.

        Raises:
            OSError: it can't be stored.
        """
        self._overrides.set(endpoint, is_drained)

    def agent_seen_before(self) -> bool | None:
        """Tell whether an earlier process found an agent in discovery's place; None where it is not known."""
        return True if self.root is not None and (self.root / AGENT_FILE).exists() else None

    def record_agent(self, is_agent: bool) -> None:
        """Store it for the next process: a hint, which that learns anew where it can't be stored."""
        if self.root is None:
            return
        with contextlib.suppress(OSError):
            if is_agent:
                (self.root / AGENT_FILE).touch()
            else:
                (self.root / AGENT_FILE).unlink(missing_ok=True)

    def deregister(self) -> None:
        """Give up the entry and the claim for good: the process ends."""
        self._has_ended = True
        registry = self._registry
        if registry is None or not registry.name:
            return
        assert self.root is not None
        with contextlib.suppress(OSError):
            if registry.taken_over:
                self._prepare_claim(registry.name)
            else:
                (self.root / CLAIMS_FOLDER / registry.name).unlink(missing_ok=True)
        registry.close()
