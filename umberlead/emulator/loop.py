"""Virtual time."""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

START_US = 10_000_000  # us at which scenarios begin


class Loop:
    """Virtual time, and what is due in it; ties go by the order in which they were set."""

    def __init__(self) -> None:
        self.now = START_US
        self._due: list[tuple[int, int, Callable[[], Any]]] = []
        self._soon = deque[Callable[[], Any]]()
        self._order = count()

    def at(self, when: int, what: Callable[[], Any]) -> None:
        heapq.heappush(self._due, (max(when, self.now), next(self._order), what))

    def soon(self, what: Callable[[], Any]) -> None:
        self._soon.append(what)

    def run(self, until: int, over: Callable[[], bool] = lambda: False) -> None:
        """Up to `until`, or until `over` says so between two turns."""
        while not over():
            while self._soon:
                self._soon.popleft()()
            if not self._due or self._due[0][0] > until:
                self.now = until
                return
            self.now, _, what = heapq.heappop(self._due)
            what()


class Alarm:
    """What a wheel is given for its timer."""

    def __init__(self, what: Callable[[], None]) -> None:
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        self.what = None

    def __call__(self) -> None:
        if self.what is not None:
            self.what()
