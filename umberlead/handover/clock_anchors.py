"""Offsets of the wall clock from the monotonic clock, as a front's processes saw them, stored in a file.

Both clocks are the machine's. An offset that an earlier process saw tells a later one, which started after
the wall clock stepped, by which other time an endpoint's start may have been reported. It is only a hint:
an offset that can't be stored or read is not known.
"""

import contextlib
import os
import re
from pathlib import Path

MAX_ANCHORS_COUNT = 16  # that are stored; the oldest is dropped first
MAX_FILE_BYTES = 4096
ANCHOR_PATTERN = re.compile(rb"(-?[0-9]{1,18})\n")
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
UNKNOWN_BOOT_ID = b"-"


class ClockAnchors:
    """Anchors in microseconds: the wall clock less the monotonic clock."""

    def __init__(self, path: Path | None) -> None:
        """Store them at `path`; None stores nothing."""
        self._path = path

    def read(self) -> list[int]:
        """Return the anchors that were seen since the machine booted, the oldest first."""
        if self._path is None:
            return []
        try:
            with open(self._path, "rb") as file:
                boot_id, _, lines = file.read(MAX_FILE_BYTES).partition(b"\n")
        except OSError:
            return []
        if boot_id != self._boot_id():
            return []
        return [int(anchor) for anchor in ANCHOR_PATTERN.findall(lines)][-MAX_ANCHORS_COUNT:]

    def add(self, anchor_us: int) -> None:
        """Store another anchor, where that is possible now."""
        if self._path is None:
            return
        anchors = [*self.read(), anchor_us][-MAX_ANCHORS_COUNT:]
        lines = [b"%d\n" % anchor for anchor in anchors]
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with contextlib.suppress(OSError):
            temporary.write_bytes(self._boot_id() + b"\n" + b"".join(lines))
            temporary.rename(self._path)

    @staticmethod
    def _boot_id() -> bytes:
        try:
            return BOOT_ID_PATH.read_bytes().strip()
        except OSError:
            return UNKNOWN_BOOT_ID
