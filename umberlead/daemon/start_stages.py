"""How long each stage of a process's start takes."""

import time
from itertools import pairwise


def monotonic_us() -> int:
    """Return the monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000


class StartStages:
    """When a start began and when each of its stages ended, in monotonic us and in their order."""

    def __init__(self, began_us: int) -> None:
        """Begin the first stage."""
        self._ends_us = {"began": began_us}

    def record(self, stage: str) -> None:
        """Note that a stage ends now."""
        self._ends_us[stage] = monotonic_us()

    def durations_us(self) -> dict[str, int]:
        """Return the us that each stage took, for the log; under `began`, when the first one began."""
        ends_us = list(self._ends_us.values())
        durations_us = [end_us - start_us for start_us, end_us in pairwise(ends_us)]
        return dict(zip(self._ends_us, [ends_us[0], *durations_us], strict=True))
