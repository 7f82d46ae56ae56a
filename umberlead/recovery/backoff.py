"""Backoff between calls to a service that a whole fleet calls, after a break or a rejection. No I/O.

A single front does no harm if it calls again after 0.1 s. If a whole fleet does, a service that answers in
turn and rejects calls that queued for too long never recovers: its queue is full of calls that it will
reject, and each of them is repeated. So each front takes the size of the whole fleet into account. Each
member has its own slot in every window, drawn at random once: in any window the fleet makes one call per
member, evenly spread, and no more than that when windows follow one another.

A window is bounded, so that watch events arrive in time however large the fleet is. Only a call that was
rejected after it queued shows that the service gets more calls than it answers. If the service can't answer
the fleet within the bound, the members then wait until the queue is worked off, and call again no faster than
the service answers.
"""

import random

MAX_NOTIFICATION_DELAY_US = 6_000_000  # from a change that discovery can deliver until a front must know it
SERVICE_QUEUE_TIMEOUT_US = 2_000_000  # time that a call queues at the service before it is rejected
SCHEDULING_MARGIN_US = 150_000  # for the network, timer ticks and a busy machine
# From the last activity of a call to the next call, whose own time in the queue isn't counted.
MAX_CALL_GAP_US = MAX_NOTIFICATION_DELAY_US - SERVICE_QUEUE_TIMEOUT_US - SCHEDULING_MARGIN_US
FIRST_WINDOW_US = 100_000  # first window of a fleet of one
LAST_WINDOW_US = 2_000_000
MIN_GAP_US = FIRST_WINDOW_US // 2  # from a failure to the next call
# Rate of the whole fleet's first calls after a break, which the service's queue holds for a short time.
BURST_CALLS_PER_SECOND = 10
SERVICE_CALLS_PER_SECOND = 5  # rate that a service is assumed to answer at least
IMMEDIATE_BURST_US = 500_000  # a new process calls at once if the fleet's burst ends within this time
MAX_BACKLOG_US = 60_000_000  # most that a service is assumed to be behind, however large the fleet
MAX_WINDOW_DOUBLINGS_COUNT = 16
MAX_BACKLOG_DOUBLINGS_COUNT = 8
SECOND_US = 1_000_000


class Backoff:
    """Delays between calls of one member of a fleet, all of whose connections may have broken at once.

    Attributes:
        fleet_size: members of the fleet, this one included.
        rng: source of the slot and of jitter.
        slot_in_window: the position of this member's slot in each window, from 0 to 1.
        failures_in_a_row: number of calls in a row that returned no list.
        rejections_after_queueing: number of these calls that were rejected after they had queued.
    """

    def __init__(self, fleet_size: int = 1, rng: random.Random | None = None) -> None:
        """Draw this member's slot; without `rng` the random numbers are seeded by the system."""
        self.fleet_size = max(fleet_size, 1)
        self.rng = rng or random.Random()
        self.slot_in_window = self.rng.random()
        self.failures_in_a_row = 0
        self.rejections_after_queueing = 0

    def window_us(self) -> int:
        """Return the length of the window within which the next call is made.

        It is at first the length of a burst that the service's queue can take, and doubles with each failure.
        """
        steady_us = self.fleet_size * SECOND_US // SERVICE_CALLS_PER_SECOND
        doublings = min(self.failures_in_a_row, MAX_WINDOW_DOUBLINGS_COUNT)
        return min(self._burst_window_us() << doublings, max(LAST_WINDOW_US, steady_us), MAX_CALL_GAP_US)

    def next_delay_us(
        self,
        now_us: int,
        remaining_us: int = MAX_CALL_GAP_US,
        retry_after_us: int = 0,
        waited_in_queue: bool = False,
    ) -> int:
        """Count a failure and return the delay until the next call.

        The first call after a break falls anywhere in its window. While windows grow, later calls wait for
        at least half of it, so that the mean rate falls with the window.

        Args:
            now_us: the time in microseconds.
            remaining_us: the rest of MAX_CALL_GAP_US, of which the time that the call hung is a part.
            retry_after_us: the service's Retry-After, respected as far as `remaining_us` allows.
            waited_in_queue: whether the call was rejected after it had queued.
        """
        self.rejections_after_queueing += waited_in_queue
        window_us = self.window_us()
        remaining_us = max(remaining_us, FIRST_WINDOW_US)
        is_repeated = self.failures_in_a_row > 0
        self.failures_in_a_row += 1
        if self.rejections_after_queueing and (backlog_us := self._backlog_us()):
            return self._slot_delay_us(now_us, backlog_us, 2 * backlog_us)  # after the calls in the queue
        is_growing = window_us < MAX_CALL_GAP_US and (is_repeated or self.fleet_size == 1)
        delay_us = self._slot_delay_us(now_us, window_us // 2 if is_growing else MIN_GAP_US, window_us)
        if delay_us > remaining_us:  # the slot comes too late: take one within the time that is left
            delay_us = self._slot_delay_us(now_us, MIN_GAP_US, remaining_us)
        return max(delay_us, min(retry_after_us, remaining_us))

    def _slot_delay_us(self, now_us: int, min_us: int, max_us: int) -> int:
        """Return the delay, at least `min_us` and below `max_us`, until this member's slot.

        Slots recur with a period of `max_us - min_us`, over which those of the fleet are spread.
        """
        period_us = max_us - min_us
        return min_us + (int(self.slot_in_window * period_us) - now_us - min_us) % period_us

    def _backlog_us(self) -> int:
        """Return how far the service is behind with the fleet's calls.

        It doubles with each call in a row that was rejected after queueing. It is 0 where the fleet is so
        small that such a rejection has another cause.
        """
        answered_within_us = MAX_CALL_GAP_US + SERVICE_QUEUE_TIMEOUT_US
        backlog_us = self.fleet_size * SECOND_US // SERVICE_CALLS_PER_SECOND - answered_within_us
        if backlog_us <= 0:
            return 0
        doublings = min(self.rejections_after_queueing - 1, MAX_BACKLOG_DOUBLINGS_COUNT)
        return min(max(backlog_us, LAST_WINDOW_US) << doublings, MAX_BACKLOG_US)

    def agent_delay_us(self) -> int:
        """Return the delay until the next call of an agent that serves this member alone."""
        return int(FIRST_WINDOW_US * (0.5 + 0.5 * self.rng.random()))

    def first_delay_us(self) -> int:
        """Return the delay until a new process's first call.

        A release starts much of a fleet at once; members of a small fleet need not wait.
        """
        window_us = self._burst_window_us()
        return int(window_us * self.slot_in_window) if window_us > IMMEDIATE_BURST_US else 0

    def _burst_window_us(self) -> int:
        burst_us = self.fleet_size * SECOND_US // BURST_CALLS_PER_SECOND
        return min(max(burst_us, FIRST_WINDOW_US), MAX_CALL_GAP_US)

    def record_connect_failure(self) -> None:
        """Record that no connection to the service could be opened, so that its queue is gone."""
        self.rejections_after_queueing = 0

    def record_success(self) -> None:
        """Record that a list was received; an answer without a list is no success."""
        self.failures_in_a_row = 0
        self.rejections_after_queueing = 0
