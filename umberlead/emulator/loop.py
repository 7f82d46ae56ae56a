"""Virtual time."""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

START_US = 10_000_000  # at which scenarios begin


class Loop:
    """Virtual time, and what is due in it; ties go by the order in which they were set.

    Attributes:
        now: the time in microseconds.
    """

    def __init__(self) -> None:
        """Begin at `START_US` with nothing due."""
        self.now = START_US
        self._due: list[tuple[int, int, Callable[[], Any]]] = []
        self._soon = deque[Callable[[], Any]]()
        self._order = count()

    def at(self, when: int, what: Callable[[], Any]) -> None:
        """Call `what` at a time, or now where that is past."""
        heapq.heappush(self._due, (max(when, self.now), next(self._order), what))

    def soon(self, what: Callable[[], Any]) -> None:
        """Call `what` in the next turn, at the same time."""
        self._soon.append(what)

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> None:
        """Call what is due up to `until`, or until `over` says so between two turns."""
        while not over():
            while self._soon:
                self._soon.popleft()()
            if not self._due or self._due[0][0] > until:
                self.now = until
                return
            self.now, _, what = heapq.heappop(self._due)
            what()


class Alarm:
    """What a timer wheel is given as the handle of its alarm."""

    def __init__(self, what: Callable[[], None]) -> None:
        """Stand for a call of `what`."""
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        """Drop the call."""
        self.what = None

    def __call__(self) -> None:
        """Make the call unless it was dropped."""
        if self.what is not None:
            self.what()
