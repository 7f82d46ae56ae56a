"""Slow start of a chunk server: the most that one head sends it in a window, served or not.

A cold server falls by the sum of what all heads send it. Where N requests of mean work are what the settings
allow in a window, 2 root N + 2 more are put down to chance. The rest that a head is charged for what it sends
(`warming.rest`) is given back once it was served, so a quick server is sent more than its rests alone would
allow; this is what bounds it.
"""

import math
from collections import deque

from umberlead.scheduling import interface as api
from umberlead.scheduling.slow_start import grown

USED = 0.85  # of the bound that the heads' even parts add up to: the rest is left to chance and busy heads
BUSIEST_PART = 0.2  # of the bound, most that a head has for what it asks more than others; or its even part
LEAST_REQUESTS = 2.0  # of mean work that any head may send in a window; its rests space those of many heads


def window_units(s: api.Settings, node: api.Node, now: int, part: float) -> float:
    """Units that a head with `part` of a shard's traffic (0 to 1) may send its warming `node` in a window."""
    n = s.cold_units * grown(s, node, now) / s.mean_units
    bound = n + 2 * math.sqrt(n) + 2
    own = min(part, max(BUSIEST_PART, 1 / s.heads))
    return s.mean_units * max(USED * own * bound, LEAST_REQUESTS)


class SendWindow:
    """What was sent in the latest window: a rolling log of times and units."""

    def __init__(self, length_us: int) -> None:
        """Begin with nothing sent; a window is `length_us` long."""
        self.length_us = length_us
        self._log: deque[tuple[int, float]] = deque()
        self._units = 0.0

    def add(self, now: int, units: float) -> None:
        """Note that `units` were sent at `now`, in microseconds."""
        self._forget(now)
        self._log.append((now, units))
        self._units += units

    def free_at(self, now: int, units: float, most: float) -> int:
        """When `units` more make no more than `most` in a window; a request that is larger goes alone."""
        self._forget(now)
        held, when = self._units + units, now
        for at, sent in self._log:
            if held <= most:
                break
            held, when = held - sent, at + self.length_us
        return when

    def _forget(self, now: int) -> None:
        while self._log and self._log[0][0] <= now - self.length_us:
            self._units -= self._log.popleft()[1]
        if not self._log:
            self._units = 0.0  # no rounding is carried over
