"""State that the processes of a front share, stored as files in a folder under $TMPDIR.

It consists of the running processes, the file descriptors that each claims, the call ids of open and recent
requests, the endpoints that operators drained, clock offsets, and whether an agent serves the endpoint lists.
A front writes no other files but list snapshots. While the folder is not writable, its contents stay valid,
and what this process could not write is retried with each refresh.
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
from umberlead.handover.shared_call_ids import SharedCallIds
from umberlead.requests.call_ids import Reservation

CLAIM_BYTES = 256  # the constant size of a claim file, so that its disk space stays allocated
DISK_ERRNOS = frozenset(
    (errno.ENOSPC, errno.EDQUOT, errno.EIO)
)  # with which no process can write to the folder
# File names within the folder. Processes of other versions read them too.
REGISTRY_FOLDER = "fronts"
DRAINS_FOLDER = "offline"
CLAIMS_FOLDER = "claims"
FOLDERS = (REGISTRY_FOLDER, DRAINS_FOLDER, CLAIMS_FOLDER)
CLOCK_FILE = "clock"
AGENT_FILE = "agent"


class SharedState:
    """The front's folder as one of its processes sees it.

    Attributes:
        root: the folder; None if there is none, in which case this process counts as the only one.
        error: why no state can be shared, or why registration has failed so far; "" without an error.
        clock_anchors: the stored offsets of the wall clock.
        call_ids: the call ids that the processes have reserved.
    """

    def __init__(self, root: Path | None, shares_call_ids: bool = False) -> None:
        """Register this process; if that fails, retry with each refresh unless it can never succeed.

        Args:
            root: the folder; None to share no state.
            shares_call_ids: whether this process reserves the call ids of its requests here.
        """
        self.error = "" if root is None else self._make_folders(root)
        self.root = None if self.error else root
        self._published_text = ""
        self._has_published = False
        self._is_deregistered = False
        root = self.root
        self._registry = None if root is None else ProcessRegistry(root / REGISTRY_FOLDER, shares_call_ids)
        self.clock_anchors = ClockAnchors(None if root is None else root / CLOCK_FILE)
        self.call_ids = SharedCallIds(root)
        if shares_call_ids:
            self.call_ids.open()
        self._overrides = DrainOverrides(None if root is None else root / DRAINS_FOLDER)
        if self._registry is not None:
            self.count_siblings()

    @staticmethod
    def _make_folders(root: Path) -> str:
        """Create missing folders; return the error if that can never succeed, else ""."""
        for name in FOLDERS:
            try:
                (root / name).mkdir(parents=True, exist_ok=True)
            except OSError as error:
                if error.errno in PERMANENT_ERRNOS:
                    return str(error)
        return ""

    def _register(self, registry: ProcessRegistry) -> None:
        """Register if that has not succeeded yet, so that siblings divide the descriptors with this process.

        It does nothing after `deregister`: a periodic refresh that comes later would leave an entry that is
        never removed.
        """
        if registry.name or self._is_deregistered:
            return
        try:
            assert self.root is not None
            self._make_folders(self.root)
            registry.register(self._write_empty_claim)
            self.error = ""
        except OSError as error:
            self.error = str(error)

    def count_siblings(self) -> int:
        """Return how many siblings run; if that can't be read now, how many ran at the latest refresh."""
        if self._registry is None:
            return 0
        self._register(self._registry)
        return self._registry.refresh()

    def share(self) -> float:
        """Return this process's share of the front's rate limits, as of the latest refresh.

        A process that shuts down lowers its own share before siblings raise theirs, so that the shares never
        add up to more than 1.
        """
        return 1.0 if self._registry is None else self._registry.share()

    def has_changed(self) -> bool:
        """Return whether a process started or ended since the latest refresh."""
        return self._registry is not None and self._registry.has_changed()

    def publish(self, decide: Callable[[list[DescriptorClaim | None]], DescriptorClaim]) -> bool:
        """Publish the claim that `decide` returns for the siblings' claims.

        No sibling can publish meanwhile.

        Args:
            decide: called with the siblings' claims, None for each sibling that has published none.

        Returns:
            False if nothing was published, because a sibling publishes now or no descriptor is free; `decide`
            may have been called then.
        """
        registry = self._registry
        if registry is None:
            decide([])
            return True
        is_alone = False
        try:
            with registry.exclusive() as folder:
                if registry.has_changed():
                    self.count_siblings()
                is_alone = not registry.siblings
                claim = decide([self._read_claim(name) for name in registry.siblings])
                if not self._has_published:
                    # Else siblings would miss a start within the granularity of file timestamps.
                    now_ns = time.time_ns()
                    os.utime(folder, ns=(now_ns, now_ns))
                    self._has_published = True
                self._write_claim(claim)
        except FileNotFoundError:  # the folder was never created, so that there are no siblings
            decide([])
            return True
        except OSError as error:
            # Without siblings no process reads the claim; on a disk error no process can raise its claim.
            return is_alone or error.errno in DISK_ERRNOS
        return True

    def _read_claim(self, name: str) -> DescriptorClaim | None:
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

    def _write_empty_claim(self, name: str) -> None:
        """Write an empty claim, which tells siblings that the process takes part in the division."""
        self._write_claim_file(name, DescriptorClaim(0, ()).to_text())

    def _write_claim(self, claim: DescriptorClaim) -> None:
        assert self._registry is not None
        text = claim.to_text()
        if text == self._published_text or not self._registry.name:
            return
        self._published_text = ""  # until the write is complete
        self._write_claim_file(self._registry.name, text)
        self._published_text = text

    def _write_claim_file(self, name: str, text: str) -> None:
        assert self.root is not None
        path = self.root / CLAIMS_FOLDER / name
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            write_all(descriptor, text.ljust(CLAIM_BYTES).encode())
        finally:
            os.close(descriptor)

    def reserve_call_id(self, call_id: bytes, open_for_us: int) -> Reservation:
        """Reserve the call id of a request that is open for at most `open_for_us` microseconds.

        If the ids can't be shared, it is reserved while this process has no siblings. A sibling of an earlier
        build shares none.
        """
        reservation = self.call_ids.reserve(call_id, open_for_us)
        registry = self._registry
        if registry is None or not registry.siblings:
            return Reservation.RESERVED if reservation is Reservation.UNAVAILABLE else reservation
        if reservation is Reservation.RESERVED and not registry.all_share_call_ids:
            return Reservation.UNAVAILABLE
        return reservation

    def announce_leaving(self) -> None:
        """Tell siblings that this process shuts down."""
        if self._registry is not None:
            self._registry.announce_leaving()

    def drain_overrides(self) -> dict[str, int]:
        """Return the manually drained endpoints, and since when, in microseconds of Unix time."""
        return self._overrides.read()

    def set_drain_override(self, endpoint: str, is_drained: bool) -> None:
        """Start or end the manual drain of an endpoint.

        Raises:
            OSError: the change can't be stored.
        """
        self._overrides.set(endpoint, is_drained)

    def found_agent_before(self) -> bool | None:
        """Return True if an earlier process found an agent at the discovery address; None if unknown."""
        return True if self.root is not None and (self.root / AGENT_FILE).exists() else None

    def record_agent(self, is_agent: bool) -> None:
        """Store whether an agent was found, as a hint for the next process; ignore errors of the folder."""
        if self.root is None:
            return
        with contextlib.suppress(OSError):
            if is_agent:
                (self.root / AGENT_FILE).touch()
            else:
                (self.root / AGENT_FILE).unlink(missing_ok=True)

    def deregister(self) -> None:
        """Release the entry and the claim for good, as the process ends."""
        self._is_deregistered = True
        self.call_ids.close()
        registry = self._registry
        if registry is None or not registry.name:
            return
        assert self.root is not None
        with contextlib.suppress(OSError):
            if registry.taken_over:
                self._write_empty_claim(registry.name)
            else:
                (self.root / CLAIMS_FOLDER / registry.name).unlink(missing_ok=True)
        registry.close()
