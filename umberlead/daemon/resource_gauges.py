"""Gauges of a process for its log: memory, buffered bytes, connections, and how late the event loop ran."""

import contextlib
import re
from pathlib import Path

from umberlead.daemon.assembly import ProcessComponents

STATUS_PATH = Path("/proc/self/status")
MEMORY_PATTERN = re.compile(r"^(VmHWM|VmRSS):\s+([0-9]+) kB$", re.MULTILINE)
FIELD_BY_MEMORY_NAME = {"VmRSS": "memory_kb", "VmHWM": "memory_peak_kb"}


class LoopLateness:
    """The largest lateness of a periodic call of the event loop since the previous report."""

    def __init__(self, interval_us: int) -> None:
        """Expect a call every `interval_us` microseconds."""
        self._interval_us = interval_us
        self._due_us = 0
        self._worst_us = 0

    def record_call(self, now_us: int) -> None:
        """Record that the periodic call runs at `now_us`."""
        if self._due_us:
            self._worst_us = max(self._worst_us, now_us - self._due_us)
        self._due_us = now_us + self._interval_us

    def take_worst_us(self) -> int:
        """Return the largest lateness since the previous call of this method."""
        worst_us = self._worst_us
        self._worst_us = 0
        return worst_us


def memory_gauges() -> dict[str, int]:
    """Return the resident memory and its peak in kB; nothing if the system does not tell them now."""
    with contextlib.suppress(OSError):
        found = MEMORY_PATTERN.findall(STATUS_PATH.read_text())
        return {FIELD_BY_MEMORY_NAME[name]: int(kilobytes) for name, kilobytes in found}
    return {}


def read_gauges(components: ProcessComponents) -> dict[str, int]:
    """Return the gauges of a process by the name of their log field."""
    return {
        **memory_gauges(),
        "client_connections": sum(len(clients.slots) for clients in components.client_groups),
        "client_buffered_bytes": sum(clients.buffered_bytes for clients in components.client_groups),
        "node_connections": len(components.pool.slots),
        "node_buffered_bytes": components.pool.buffered_bytes,
    }
