"""Limits by how much the process may grow while a script's code runs.

The limit is RLIMIT_DATA of the process, which the system checks when memory is allocated: the script then
gets a MemoryError. The limit is in force only while a script runs. What a script keeps from call to call is
not limited.
"""

import os
import resource

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128  # more than its seven numbers take
DATA_FIELD_INDEX = 5  # of private writable memory, in pages
PAGE_BYTES = resource.getpagesize()


class MemoryLimit:
    """Sets the limit and takes it back.

    Attributes:
        max_growth_bytes: by how much the process may grow.
    """

    def __init__(self, max_growth_bytes: int) -> None:
        """Open the file with the process's size; without it nothing is limited."""
        self.max_growth_bytes = max_growth_bytes
        self._own_limits = resource.getrlimit(resource.RLIMIT_DATA)
        try:
            self._statm = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = -1

    def begin(self) -> None:
        """Let the process grow by `max_growth_bytes` from now on."""
        if self._statm < 0:
            return
        pages = int(os.pread(self._statm, STATM_BYTES, 0).split()[DATA_FIELD_INDEX])
        limit_bytes = pages * PAGE_BYTES + self.max_growth_bytes
        soft_limit, hard_limit = self._own_limits
        for other_limit in (soft_limit, hard_limit):
            if other_limit != resource.RLIM_INFINITY:
                limit_bytes = min(limit_bytes, other_limit)
        resource.setrlimit(resource.RLIMIT_DATA, (limit_bytes, hard_limit))

    def end(self) -> None:
        """Take the limit back."""
        if self._statm >= 0:
            resource.setrlimit(resource.RLIMIT_DATA, self._own_limits)
