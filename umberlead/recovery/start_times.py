"""When endpoints started, by this process's own clock: lists report it by a wall clock that may step.

A start is reported in Unix time. The process's clock is set by that once and runs on evenly, so after a step
of the wall clock the two differ by it, and an endpoint that has just started seems an hour old, or to start
in an hour. By which offset a start was reported is not known. Of those that were seen, the one that makes the
endpoint youngest counts: an endpoint that is warming up and gets too much load fails, while one that gets too
little only serves less. No I/O; all times are whole microseconds.
"""

from collections.abc import Sequence

STEP_US = 250_000  # by which two offsets must differ for a step; less is the wall clock's slewing
MAX_STEPS_COUNT = 16  # that are remembered; the oldest is dropped first
MAX_REPORT_DELAY_US = 60_000_000  # a start that a list reports for the first time is no older than that
MAX_REMEMBERED_STARTS_COUNT = 50_000


class StartTimes:
    """Converts starts from Unix time to the clock of this process; a repeated report changes nothing."""

    def __init__(self, ahead_us: Sequence[int] = ()) -> None:
        """Start with a clock that agrees with the wall clock.

        Args:
            ahead_us: by how much the wall clock was ahead of this clock, as earlier processes saw it, the
                oldest first.
        """
        self._ahead_us = [*ahead_us, 0]  # wall clock less this clock, the latest last
        self._known: dict[tuple[str, int], int] = {}
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
        """Return when an endpoint started by this process's clock; 0 where it is reported as long ago.

        Args:
            name: the endpoint's.
            reported_us: its start as reported, in Unix time.
            now_us: the time by this process's clock.
        """
        if reported_us <= 0:
            return 0
        key = name, reported_us
        at_us = self._known.pop(key, None)
        if at_us is None:
            at_us = self._youngest(reported_us, now_us)
        self._known[key] = at_us  # the latest reported last
        if len(self._known) > MAX_REMEMBERED_STARTS_COUNT:
            del self._known[next(iter(self._known))]
        return at_us

    def _youngest(self, reported_us: int, now_us: int) -> int:
        possible = [reported_us - ahead_us for ahead_us in self._ahead_us]
        past = [at_us for at_us in possible if at_us <= now_us]
        latest_us = max(past, default=now_us)
        is_too_old = self._has_list and latest_us < now_us - MAX_REPORT_DELAY_US
        return now_us if is_too_old else max(latest_us, 1)

    def record_list(self) -> None:
        """Note that a list came: starts that later ones report for the first time are recent."""
        self._has_list = True
