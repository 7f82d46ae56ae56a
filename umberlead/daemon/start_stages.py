"""Measures the duration of each stage of a process's start."""

import time
from itertools import pairwise


def monotonic_us() -> int:
    """Return the monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000


class StartStages:
    """The begin of a start and the end of each of its stages, in order, in monotonic microseconds."""

    def __init__(self, began_us: int) -> None:
        """Start the first stage at `began_us`."""
        self._ends_us = {"began": began_us}

    def record(self, stage: str) -> None:
        """Record that a stage ends now."""
        self._ends_us[stage] = monotonic_us()

    def durations_us(self) -> dict[str, int]:
        """Return the microseconds of each stage, for the log; `began` holds the begin of the first stage."""
        ends_us = list(self._ends_us.values())
        durations_us = [end_us - start_us for start_us, end_us in pairwise(ends_us)]
        return dict(zip(self._ends_us, [ends_us[0], *durations_us], strict=True))
