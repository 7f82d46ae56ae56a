"""Slow start: how much of its capacity an endpoint has after a start, and what one front may send it.

Two bounds hold beside each other. Pacing charges each request for the time that its units take of the front's
share of the capacity; being served gives most of that back. `SendWindow` bounds what is sent in a window,
served or not: a cold endpoint falls by the sum of what all fronts send it. Where N requests of mean work are
what the settings allow in a window, 2 root N + 2 more are put down to chance. Times are whole microseconds.
"""

import math
from collections import deque

from umberlead.scheduling.events import Endpoint
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.token_bucket import MAX_WAIT_US

SERVED_IN_TIME_RATIO = 0.6  # of what a cold endpoint always bears, what it also serves in time
MIN_INITIAL_CAPACITY_RATIO = 0.02  # stands in for a smaller one in the settings
EVEN_SHARES_RATIO = 0.85  # of the bound, that the fronts' even shares add up to: the rest is left to chance
MAX_FRONT_SHARE = 0.2  # of the bound, for a front that asks more than others; or its even share
MIN_WINDOW_REQUESTS = 2.0  # of mean work that any front may send; pacing spaces those of many fronts


def _initial_capacity_ratio(settings: Settings) -> float:
    return max(settings.initial_capacity_ratio, MIN_INITIAL_CAPACITY_RATIO)


def available_capacity_ratio(settings: Settings, endpoint: Endpoint, now_us: int) -> float:
    """Return the part of its capacity, to 1, that an endpoint is sure to have now."""
    age_us = now_us - endpoint.started_us
    if endpoint.started_us <= 0 or age_us >= settings.warm_up_us or settings.slow_start_units <= 0:
        return 1.0
    initial_ratio = _initial_capacity_ratio(settings)
    return initial_ratio + (1 - initial_ratio) * max(age_us, 0) / settings.warm_up_us


def capacity_growth_factor(settings: Settings, endpoint: Endpoint, now_us: int) -> float:
    """Return the capacity that an endpoint is sure to have now over that of its start."""
    return available_capacity_ratio(settings, endpoint, now_us) / _initial_capacity_ratio(settings)


def pacing_delay_us(
    settings: Settings, endpoint: Endpoint, now_us: int, units: float, front_share: float
) -> float:
    """Return how long `units` take of a front's share, to 1, of a warming endpoint; 0 of a warm one.

    All fronts may ask for what the endpoint always bears in a window, less what it would not serve in time;
    that grows as slowly as an endpoint may warm up.
    """
    if available_capacity_ratio(settings, endpoint, now_us) == 1:
        return 0.0
    growth_factor = capacity_growth_factor(settings, endpoint, now_us)
    window_units = SERVED_IN_TIME_RATIO * settings.slow_start_units * growth_factor * front_share
    demanded_us = units * settings.slow_start_window_us
    if window_units * MAX_WAIT_US < demanded_us:  # the share of a tiny capacity may round to 0
        return MAX_WAIT_US
    return demanded_us / window_units if demanded_us else 0.0


def max_window_units(settings: Settings, endpoint: Endpoint, now_us: int, front_share: float) -> float:
    """Return the units that a front with this share of a shard's traffic may send in a window."""
    allowed_units = settings.slow_start_units * capacity_growth_factor(settings, endpoint, now_us)
    allowed_requests = allowed_units / settings.mean_request_units
    bound_requests = allowed_requests + 2 * math.sqrt(allowed_requests) + 2
    own_share = min(front_share, max(MAX_FRONT_SHARE, 1 / settings.front_count))
    own_requests = EVEN_SHARES_RATIO * own_share * bound_requests
    return settings.mean_request_units * max(own_requests, MIN_WINDOW_REQUESTS)


class SendWindow:
    """What was sent in the latest window: a sliding log of times and units."""

    def __init__(self, length_us: int) -> None:
        """Begin with nothing sent; a window is `length_us` long."""
        self.length_us = length_us
        self._log: deque[tuple[int, float]] = deque()
        self._units = 0.0

    def add(self, now_us: int, units: float) -> None:
        """Note that `units` were sent now."""
        self._expire(now_us)
        self._log.append((now_us, units))
        self._units += units

    def free_at(self, now_us: int, units: float, max_units: float) -> int:
        """Return when `units` more are within `max_units` of a window; a larger request goes alone."""
        self._expire(now_us)
        window_units = self._units + units
        free_at_us = now_us
        for sent_us, sent_units in self._log:
            if window_units <= max_units:
                break
            window_units -= sent_units
            free_at_us = sent_us + self.length_us
        return free_at_us

    def _expire(self, now_us: int) -> None:
        while self._log and self._log[0][0] <= now_us - self.length_us:
            self._units -= self._log.popleft()[1]
        if not self._log:
            self._units = 0.0  # no rounding is carried over
