"""Offsets between the wall clock and the monotonic clock that a front's processes saw, stored in a file.

Both are clocks of this machine. If the wall clock stepped before this process started, an endpoint may have
reported its start in the old wall-clock time; the offset that an earlier process stored relates that to the
monotonic clock.
An offset is only a hint: one that can't be stored or read is ignored.
"""

import contextlib
import os
import re
from pathlib import Path

from umberlead.handover.boot_id import read_boot_id

MAX_ANCHOR_COUNT = 16  # in the file; the oldest is dropped first
MAX_FILE_BYTES = 4096
ANCHOR_PATTERN = re.compile(rb"(-?[0-9]{1,18})\n")


class ClockAnchors:
    """The stored anchors; an anchor is the wall clock minus the monotonic clock, in microseconds."""

    def __init__(self, path: Path | None) -> None:
        """Store anchors in the file at `path`; if it is None, store nothing."""
        self._path = path

    def read(self) -> list[int]:
        """Return the anchors stored since the machine booted, the oldest first."""
        if self._path is None:
            return []
        try:
            with open(self._path, "rb") as file:
                boot_id, _, lines = file.read(MAX_FILE_BYTES).partition(b"\n")
        except OSError:
            return []
        if boot_id != read_boot_id():
            return []
        return [int(anchor) for anchor in ANCHOR_PATTERN.findall(lines)][-MAX_ANCHOR_COUNT:]

    def add(self, anchor_us: int) -> None:
        """Store another anchor; ignore file system errors."""
        if self._path is None:
            return
        anchors = [*self.read(), anchor_us][-MAX_ANCHOR_COUNT:]
        lines = [b"%d\n" % anchor for anchor in anchors]
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with contextlib.suppress(OSError):
            temporary.write_bytes(read_boot_id() + b"\n" + b"".join(lines))
            temporary.rename(self._path)
