"""Where the wall clock stood against the monotonic one, as a front's processes have seen it, kept in a file.

Both clocks are the machine's, so an anchor that an earlier process saw tells a later one, which began behind
a step of the wall clock, by which other time something may have been told. Only a hint: what can't be kept or
read is not known.
"""

import contextlib
import os
import re
from pathlib import Path

MAX_ANCHORS = 16  # that are kept, the oldest given up first
MAX_BYTES = 4096  # that are read of the file
ANCHOR = re.compile(rb"(-?[0-9]{1,18})\n")
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class ClockAnchors:
    """Anchors in microseconds: the wall clock less the monotonic one."""

    def __init__(self, path: Path | None) -> None:
        """Keep them at `path`; None keeps nothing."""
        self._path = path

    def read(self) -> list[int]:
        """Return the anchors that were seen since the machine started, the oldest first."""
        if self._path is None:
            return []
        try:
            with open(self._path, "rb") as file:
                boot, _, lines = file.read(MAX_BYTES).partition(b"\n")
        except OSError:
            return []
        if boot != self._boot_id():
            return []
        return [int(anchor) for anchor in ANCHOR.findall(lines)][-MAX_ANCHORS:]

    def add(self, anchor_us: int) -> None:
        """Keep another anchor."""
        if self._path is None:
            return
        lines = [b"%d\n" % anchor for anchor in [*self.read(), anchor_us][-MAX_ANCHORS:]]
        beside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with contextlib.suppress(OSError):
            beside.write_bytes(self._boot_id() + b"\n" + b"".join(lines))
            beside.rename(self._path)

    @staticmethod
    def _boot_id() -> bytes:
        try:
            return BOOT_ID.read_bytes().strip()
        except OSError:
            return b"-"
