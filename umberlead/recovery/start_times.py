"""When chunk servers started, by this process's own clock: lists tell it by a wall clock that may step.

A start is told in Unix time. The process's clock is anchored to that once and runs on evenly, so after a step
of the wall clock the two disagree by it, and a server that has just started seems an hour old, or to start in
an hour. Which anchor a start was told by is not known: of those that were seen to hold, the one that makes
the server youngest counts, for a cold server that gets too much falls, and one that gets too little only
serves less. No I/O; all times are whole microseconds.
"""

from collections.abc import Sequence

STEP_US = 250_000  # by which two looks at the wall clock must differ for a step; less is its slewing
MAX_STEPS = 16  # that are remembered, the oldest given up first
LATEST_NEWS_US = 60_000_000  # lists are not further behind: a start that is news is no older than that
MAX_KNOWN = 50_000  # starts that are remembered


class StartTimes:
    """Converts starts told in Unix time to this process's clock, each once: what is told again is no news."""

    def __init__(self, ahead_us: Sequence[int] = ()) -> None:
        """Begin with a clock that agrees with the wall clock.

        Args:
            ahead_us: of this clock, the wall clock as earlier processes saw it, the oldest first.
        """
        self._ahead_us = [*ahead_us, 0]  # of this clock, the wall clock: as seen so far, the latest last
        self._known: dict[tuple[str, int], int] = {}
        self._listed = False

    def observe(self, now_us: int, wall_us: int) -> bool:
        """Compare the clocks; return whether the wall clock stepped since the latest look."""
        ahead_us = wall_us - now_us
        if abs(ahead_us - self._ahead_us[-1]) < STEP_US:
            self._ahead_us[-1] = ahead_us
            return False
        self._ahead_us.append(ahead_us)
        del self._ahead_us[:-MAX_STEPS]
        return True

    def to_local_clock(self, name: str, told_us: int, now_us: int) -> int:
        """Return when a chunk server started by this process's clock; 0 where it is told as long ago.

        Args:
            name: the chunk server's.
            told_us: its start as told, in Unix time.
            now_us: the time by this process's clock.
        """
        if told_us <= 0:
            return 0
        key = name, told_us
        at_us = self._known.pop(key, None)
        if at_us is None:
            at_us = self._youngest(told_us, now_us)
        self._known[key] = at_us  # the latest told last
        if len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]
        return at_us

    def _youngest(self, told_us: int, now_us: int) -> int:
        possible = [told_us - ahead_us for ahead_us in self._ahead_us]
        past = [at for at in possible if at <= now_us]
        latest = max(past, default=now_us)
        news_too_old = self._listed and latest < now_us - LATEST_NEWS_US
        return now_us if news_too_old else max(latest, 1)

    def record_list(self) -> None:
        """Take note that a list came: what later ones tell for the first time is news."""
        self._listed = True
