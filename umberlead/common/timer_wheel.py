"""All deadlines of a process in one ordered structure: by coarse tick, then by the order they were set."""

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """A deadline that can be called off."""

    __slots__ = ("callback", "args")

    def __init__(self, what: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = what
        self.args = args

    def cancel(self) -> None:
        self.callback, self.args = None, ()


class TimerWheel:
    """`clock` tells whole microseconds; `alarm(delay, fn)` calls `fn` after so many of them
    and returns what can be cancelled."""

    def __init__(
        self, clock: Callable[[], int], alarm: Callable[[int, Callable[[], None]], Any], tick: int
    ) -> None:
        self._clock, self._alarm, self._tick = clock, alarm, tick
        self._buckets: dict[int, list[Timer]] = {}
        self._ticks: list[int] = []
        self._turned = clock() // tick  # the last tick whose bucket was emptied
        self._armed: int | None = None
        self._handle: Any = None

    def call_at(self, when: int, what: Callable[..., None], *args: Any) -> Timer:
        """Call `what` at the first tick at or past `when`, never within this call."""
        tick = max(-(-when // self._tick), self._turned + 1)
        timer = Timer(what, args)
        if tick not in self._buckets:
            self._buckets[tick] = []
            heapq.heappush(self._ticks, tick)
        self._buckets[tick].append(timer)
        self._arm()
        return timer

    def call_after(self, delay: int, what: Callable[..., None], *args: Any) -> Timer:
        return self.call_at(self._clock() + delay, what, *args)

    def _arm(self) -> None:
        if self._ticks and (self._armed is None or self._ticks[0] < self._armed):
            if self._handle is not None:  # overtaken: left alone, each such alarm would set another for ever
                self._handle.cancel()
            self._armed = self._ticks[0]
            self._handle = self._alarm(max(self._armed * self._tick - self._clock(), 0), self.fire_due)

    def fire_due(self) -> None:
        """Fire what is due, in order."""
        now = self._clock() // self._tick
        try:
            while self._ticks and self._ticks[0] <= now:
                tick = self._ticks[0]
                bucket = self._buckets[tick]
                self._turned = max(self._turned, tick)  # what is set from here on goes to a later bucket
                for timer in bucket:
                    if timer.callback is not None:
                        what, args = timer.callback, timer.args
                        timer.cancel()
                        what(*args)
                heapq.heappop(self._ticks)
                del self._buckets[tick]
        finally:  # one failing deadline must not stop the others
            self._armed = self._handle = None
            self._arm()
