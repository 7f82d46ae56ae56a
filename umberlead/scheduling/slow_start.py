"""Slow start: the capacity of an endpoint after its start, and how much one front may send to it.

Two limits apply at the same time. Pacing charges each request the time for which its units use up the front's
share of the capacity; a request that is served gets most of the charge back. `SendWindow` limits the units
sent in a window, served or not, as a cold endpoint fails by the sum of what all fronts send. If the settings
allow N requests of mean size in a window, the bound is N + 2 sqrt(N) + 2, as arrivals vary at random. Times
are whole microseconds.
"""

import math
from collections import deque

from umberlead.scheduling.events import Endpoint
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.token_bucket import MAX_WAIT_US

SERVED_IN_TIME_RATIO = 0.6  # part of the load that a cold endpoint can take which it also serves in time
MIN_INITIAL_CAPACITY_RATIO = 0.02  # smaller values in the settings count as this one
EVEN_SHARES_RATIO = 0.85  # sum of the fronts' even shares over the bound; the rest allows for variation
MAX_FRONT_SHARE = 0.2  # of the bound for a front with much traffic, unless its even share is larger
MIN_WINDOW_REQUESTS = 2.0  # of mean size, allowed to any front; pacing keeps many fronts apart


def _initial_capacity_ratio(settings: Settings) -> float:
    return max(settings.initial_capacity_ratio, MIN_INITIAL_CAPACITY_RATIO)


def available_capacity_ratio(settings: Settings, endpoint: Endpoint, now_us: int) -> float:
    """Return the part of its capacity, up to 1, that an endpoint has at least now."""
    age_us = now_us - endpoint.started_us
    if endpoint.started_us <= 0 or age_us >= settings.warm_up_us or settings.slow_start_units <= 0:
        return 1.0
    initial_ratio = _initial_capacity_ratio(settings)
    return initial_ratio + (1 - initial_ratio) * max(age_us, 0) / settings.warm_up_us


def capacity_growth_factor(settings: Settings, endpoint: Endpoint, now_us: int) -> float:
    """Return the capacity that an endpoint has at least now, relative to that at its start."""
    return available_capacity_ratio(settings, endpoint, now_us) / _initial_capacity_ratio(settings)


def pacing_delay_us(
    settings: Settings, endpoint: Endpoint, now_us: int, units: float, front_share: float
) -> float:
    """Return how long `units` use up a front's share (up to 1) of a warming endpoint; 0 for a warm one.

    All fronts together may send the units per window that the endpoint can always take, reduced to the part
    that it serves in time. That rate grows with the capacity that the endpoint has at least.
    """
    if available_capacity_ratio(settings, endpoint, now_us) == 1:
        return 0.0
    growth_factor = capacity_growth_factor(settings, endpoint, now_us)
    window_units = SERVED_IN_TIME_RATIO * settings.slow_start_units * growth_factor * front_share
    demanded_us = units * settings.slow_start_window_us
    if window_units * MAX_WAIT_US < demanded_us:  # a share of a tiny capacity may round to 0
        return MAX_WAIT_US
    return demanded_us / window_units if demanded_us else 0.0


def max_window_units(settings: Settings, endpoint: Endpoint, now_us: int, front_share: float) -> float:
    """Return how many units a front may send in a window, by its share of the shard's traffic."""
    allowed_units = settings.slow_start_units * capacity_growth_factor(settings, endpoint, now_us)
    allowed_requests = allowed_units / settings.mean_request_units
    bound_requests = allowed_requests + 2 * math.sqrt(allowed_requests) + 2
    own_share = min(front_share, max(MAX_FRONT_SHARE, 1 / settings.front_count))
    own_requests = EVEN_SHARES_RATIO * own_share * bound_requests
    return settings.mean_request_units * max(own_requests, MIN_WINDOW_REQUESTS)


class SendWindow:
    """A sliding window over sent units: a log of send times and units."""

    def __init__(self, length_us: int) -> None:
        """Create an empty window of `length_us`."""
        self.length_us = length_us
        self._log: deque[tuple[int, float]] = deque()
        self._units = 0.0

    def add(self, now_us: int, units: float) -> None:
        """Record that `units` are sent now."""
        self._expire(now_us)
        self._log.append((now_us, units))
        self._units += units

    def available_at(self, now_us: int, units: float, max_units: float) -> int:
        """Return when `units` more fit into `max_units` per window; a larger request needs an empty one."""
        self._expire(now_us)
        window_units = self._units + units
        available_at_us = now_us
        for sent_us, sent_units in self._log:
            if window_units <= max_units:
                break
            window_units -= sent_units
            available_at_us = sent_us + self.length_us
        return available_at_us

    def _expire(self, now_us: int) -> None:
        while self._log and self._log[0][0] <= now_us - self.length_us:
            self._units -= self._log.popleft()[1]
        if not self._log:
            self._units = 0.0  # drops rounding errors
