"""Event loop in virtual time."""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

START_US = 10_000_000  # virtual time at which scenarios begin


class Loop:
    """Virtual clock with scheduled calls; calls due at the same time run in the order of scheduling.

    Attributes:
        now: the time in microseconds.
    """

    def __init__(self) -> None:
        """Begin at `START_US` without scheduled calls."""
        self.now = START_US
        self._due: list[tuple[int, int, Callable[[], Any]]] = []
        self._soon = deque[Callable[[], Any]]()
        self._order = count()

    def at(self, when: int, what: Callable[[], Any]) -> None:
        """Schedule a call of `what` at a time, or now if that time is past."""
        heapq.heappush(self._due, (max(when, self.now), next(self._order), what))

    def soon(self, what: Callable[[], Any]) -> None:
        """Schedule a call of `what` in the next turn, without advancing the clock."""
        self._soon.append(what)

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> None:
        """Run the calls due up to `until`; stop early when `over`, checked between turns, returns True."""
        while not over():
            while self._soon:
                self._soon.popleft()()
            if not self._due or self._due[0][0] > until:
                self.now = until
                return
            self.now, _, what = heapq.heappop(self._due)
            what()


class Alarm:
    """Cancellable handle of a scheduled call, as a timer wheel needs it."""

    def __init__(self, what: Callable[[], None]) -> None:
        """Wrap a call of `what`."""
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        """Cancel the call."""
        self.what = None

    def __call__(self) -> None:
        """Make the call unless it was cancelled."""
        if self.what is not None:
            self.what()
