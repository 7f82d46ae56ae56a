"""When to call again at a service that a whole fleet calls, after a break or a no. No I/O.

What one front does by itself is harmless: it calls again after 0.1 s. Where all do it, a service that
answers in turn and turns away what has waited too long is held down for good: its queue is full of calls
that will be turned away, and each comes back as a new one. So a front counts the whole fleet. Each member
has a place of its own in every window, drawn once: in any window the fleet calls once a member, evenly, and
no faster when windows follow one another.

A window is bounded, so that news is known in time, however large the fleet. Only where a call was turned
away after it had waited its turn is the service known to get more than it takes. A fleet that it can't
answer within the bound then waits until its queue is worked off, and calls again no faster than it answers:
sooner, nobody is told. docs/measurements/news.md has the figures."""

import random

MAX_NOTIFICATION_DELAY_US = (
    6_000_000  # us after discovery had a change and could be reached by which it counts as told
)
SERVICE_QUEUE_TIMEOUT_US = 2_000_000  # us that a service lets a call wait its turn before it says no
SCHEDULING_MARGIN_US = 150_000  # us for the network, the timers' ticks and a busy machine
MAX_CALL_GAP_US = (
    MAX_NOTIFICATION_DELAY_US - SERVICE_QUEUE_TIMEOUT_US - SCHEDULING_MARGIN_US
)  # us from the last sign of life to the next call, that call's turn not counted
FIRST_WINDOW_US, LAST_WINDOW_US = 100_000, 2_000_000  # us: windows of a front that is alone
MIN_GAP_US = FIRST_WINDOW_US // 2  # us between a failure and the next call at the least
BURST_CALLS_PER_SECOND = (
    10  # calls a second of the whole fleet after a break: what waits a moment is answered in turn
)
SERVICE_CALLS_PER_SECOND = 5  # calls a second that a service is thought to answer at least: some 7 were seen
IMMEDIATE_BURST_US = 500_000  # us: where the burst is over in that time a new process need not wait
MAX_BACKLOG_US = 60_000_000  # us: no service is thought to be further behind, however large the fleet


class Backoff:
    """Pauses between calls of one member of a fleet of `fleet` that may all have broken at once."""

    def __init__(self, fleet_size: int = 1, rng: random.Random | None = None) -> None:
        self.fleet_size, self.rng = max(fleet_size, 1), rng or random.Random()
        self.slot_in_window = self.rng.random()  # in each window
        self.failures_in_a_row = 0  # calls in a row that brought no list
        self.rejections_after_queueing = 0  # of these, turned away after they had waited their turn

    def window_us(self) -> int:
        """Us within which the next call falls: from a burst that the service's waiting room takes it doubles
        with each failure, to LIMIT at most."""
        steady = self.fleet_size * 1_000_000 // SERVICE_CALLS_PER_SECOND
        return min(
            self._burst_window_us() << min(self.failures_in_a_row, 16),
            max(LAST_WINDOW_US, steady),
            MAX_CALL_GAP_US,
        )

    def next_delay_us(
        self,
        now: int,
        remaining_us: int = MAX_CALL_GAP_US,
        retry_after_us: int = 0,
        waited_in_queue: bool = False,
    ) -> int:
        """Us from `now` until the next call. The first after a break falls anywhere in its window; while
        windows grow, later ones keep at least half of it, so that the mean rate falls with it. `room`: us
        that are left of the bound, as what a call has hung is part of it; `asked`: the service's Retry-After
        in us, kept as far as there is room; `waited`: the call was turned away after it waited its turn."""
        self.rejections_after_queueing += waited_in_queue
        window, remaining_us, again = (
            self.window_us(),
            max(remaining_us, FIRST_WINDOW_US),
            self.failures_in_a_row > 0,
        )
        self.failures_in_a_row += 1
        if self.rejections_after_queueing and (behind := self._backlog_us()):
            return self._slot_delay_us(now, behind, 2 * behind)  # what is in the queue goes first
        wait = self._slot_delay_us(
            now,
            window // 2 if window < MAX_CALL_GAP_US and (again or self.fleet_size == 1) else MIN_GAP_US,
            window,
        )
        if wait > remaining_us:  # its place comes too late: another, still spread over what is left
            wait = self._slot_delay_us(now, MIN_GAP_US, remaining_us)
        return max(wait, min(retry_after_us, remaining_us))

    def _slot_delay_us(self, now: int, low: int, high: int) -> int:
        """Us until this member's place among all that wait from `low` to less than `high`."""
        turn = high - low
        return low + (int(self.slot_in_window * turn) - now - low) % turn

    def _backlog_us(self) -> int:
        """Us that the service is behind with the fleet's calls; 0 where it can't be, or the fleet is so small
        that a no after a wait has another cause. It doubles with each call in a row that was turned away."""
        behind = (
            self.fleet_size * 1_000_000 // SERVICE_CALLS_PER_SECOND
            - MAX_CALL_GAP_US
            - SERVICE_QUEUE_TIMEOUT_US
        )
        return (
            min(max(behind, LAST_WINDOW_US) << min(self.rejections_after_queueing - 1, 8), MAX_BACKLOG_US)
            if behind > 0
            else 0
        )

    def agent_delay_us(self) -> int:
        """Us until the next call at a service of this member's own: nobody else is held up by it."""
        return int(FIRST_WINDOW_US * (0.5 + 0.5 * self.rng.random()))

    def first_delay_us(self) -> int:
        """Us until a new process's first call: a release starts much of a fleet at once. A small one
        need not wait."""
        window = self._burst_window_us()
        return int(window * self.slot_in_window) if window > IMMEDIATE_BURST_US else 0

    def _burst_window_us(self) -> int:
        return min(
            max(self.fleet_size * 1_000_000 // BURST_CALLS_PER_SECOND, FIRST_WINDOW_US), MAX_CALL_GAP_US
        )

    def queue_emptied(self) -> None:
        """Nobody listens there any longer: who waited in turn waits no more."""
        self.rejections_after_queueing = 0

    def record_success(self) -> None:
        """A list came: only that is a sign of life, an answer that says no is none."""
        self.failures_in_a_row = self.rejections_after_queueing = 0
