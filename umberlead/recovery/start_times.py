"""Start times of endpoints by this process's own clock; lists report them by a wall clock that may step.

Lists report starts in Unix time. This process's clock is set to Unix time once and then runs evenly, so a
step of the wall clock makes the two differ: after a step of an hour, an endpoint that has just started seems
to be an hour old, or to start in an hour. Which offset between the clocks applies to a reported start is not
known. Of the offsets seen so far, the one that makes the endpoint youngest is used: an endpoint that is
warming up fails under too much load, while one that gets too little load only serves less. No I/O; all times
are whole microseconds.
"""

from collections.abc import Sequence

STEP_US = 250_000  # smallest change of the offset that counts as a step; a smaller one is the clock's slewing
MAX_STEPS_COUNT = 16  # offsets that are remembered; the oldest is dropped first
MAX_REPORT_DELAY_US = 60_000_000  # a start that a list reports for the first time is at most this old
MAX_REMEMBERED_STARTS_COUNT = 50_000


class StartTimes:
    """Converts start times from Unix time to this process's clock; a repeated report gives the same time."""

    def __init__(self, ahead_us: Sequence[int] = ()) -> None:
        """Start with a clock that agrees with the wall clock.

        Args:
            ahead_us: by how much the wall clock was ahead of this process's clock, as recorded by earlier
                processes, the oldest first.
        """
        self._ahead_us = [*ahead_us, 0]  # wall clock minus this clock, the latest last
        self._start_by_report: dict[tuple[str, int], int] = {}
        self._has_list = False

    def observe(self, now_us: int, wall_us: int) -> bool:
        """Compare the clocks; return whether the wall clock stepped since the latest call."""
        ahead_us = wall_us - now_us
        if abs(ahead_us - self._ahead_us[-1]) < STEP_US:
            self._ahead_us[-1] = ahead_us
            return False
        self._ahead_us.append(ahead_us)
        del self._ahead_us[:-MAX_STEPS_COUNT]
        return True

    def to_local_clock(self, name: str, reported_us: int, now_us: int) -> int:
        """Return when an endpoint started by this process's clock; 0 if it started long ago.

        Args:
            name: the endpoint's name.
            reported_us: its start as reported, in Unix time; 0 if it started long ago.
            now_us: the time by this process's clock.
        """
        if reported_us <= 0:
            return 0
        key = name, reported_us
        at_us = self._start_by_report.pop(key, None)
        if at_us is None:
            at_us = self._youngest_start_us(reported_us, now_us)
        self._start_by_report[key] = at_us  # in the order of the latest report
        if len(self._start_by_report) > MAX_REMEMBERED_STARTS_COUNT:
            del self._start_by_report[next(iter(self._start_by_report))]
        return at_us

    def _youngest_start_us(self, reported_us: int, now_us: int) -> int:
        candidates_us = [reported_us - ahead_us for ahead_us in self._ahead_us]
        past_us = [at_us for at_us in candidates_us if at_us <= now_us]
        latest_us = max(past_us, default=now_us)
        is_too_old = self._has_list and latest_us < now_us - MAX_REPORT_DELAY_US
        return now_us if is_too_old else max(latest_us, 1)

    def record_list(self) -> None:
        """Record that a list was received: starts that later lists report for the first time are recent."""
        self._has_list = True
