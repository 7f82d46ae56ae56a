"""How much of its capacity a chunk server has after a start, and what all fronts together may ask of it."""

import math
from collections import deque

from umberlead.scheduling.events import Endpoint
from umberlead.scheduling.settings import Settings

SERVED_IN_TIME_RATIO = (
    0.6  # of what a cold node always bears: that keeps it up, this much it also serves in time
)
MIN_COLD_CAPACITY_RATIO = 0.02  # a cold share below that is taken for that


def available_capacity_ratio(s: Settings, node: Endpoint, now: int) -> float:
    """The part of its capacity, to 1, that `node` is sure to have at `now` (us)."""
    age = now - node.started_us
    if node.started_us <= 0 or age >= s.warm_up_us or s.cold_start_units <= 0:
        return 1.0
    low = max(s.cold_capacity_ratio, MIN_COLD_CAPACITY_RATIO)
    return low + (1 - low) * max(age, 0) / s.warm_up_us


def capacity_growth_factor(s: Settings, node: Endpoint, now: int) -> float:
    """The capacity that `node` is sure to have at `now` (us), over that of its start."""
    return available_capacity_ratio(s, node, now) / max(s.cold_capacity_ratio, MIN_COLD_CAPACITY_RATIO)


def pacing_delay_us(s: Settings, node: Endpoint, now: int, units: float, part: float) -> float:
    """How long (us) `units` take of the `part` that one head has of a warming node; 0 of a warm one.

    All heads may ask for what the node always bears in a window, less what it would not serve in time; that
    grows as slowly as a node may warm up."""
    if available_capacity_ratio(s, node, now) == 1:
        return 0.0
    return (
        units
        * s.cold_window_us
        / (SERVED_IN_TIME_RATIO * s.cold_start_units * capacity_growth_factor(s, node, now) * part)
    )


EVEN_SHARES_RATIO = (
    0.85  # of the bound that the heads' even parts add up to: the rest is left to chance and busy heads
)
MAX_FRONT_SHARE = (
    0.2  # of the bound, most that a head has for what it asks more than others; or its even part
)
MIN_WINDOW_REQUESTS = (
    2.0  # of mean work that any head may send in a window; its rests space those of many heads
)


def max_window_units(s: Settings, node: Endpoint, now: int, part: float) -> float:
    """Units that a head with `part` of a shard's traffic (0 to 1) may send its warming `node` in a window."""
    n = s.cold_start_units * capacity_growth_factor(s, node, now) / s.mean_request_units
    bound = n + 2 * math.sqrt(n) + 2
    own = min(part, max(MAX_FRONT_SHARE, 1 / s.front_count))
    return s.mean_request_units * max(EVEN_SHARES_RATIO * own * bound, MIN_WINDOW_REQUESTS)


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
