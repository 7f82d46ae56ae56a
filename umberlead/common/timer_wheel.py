"""All timers of a process, ordered by tick and, within a tick, by the order in which they were set.

This is a timer wheel after Varghese and Lauck, with a heap of the ticks in use instead of a ring.
"""

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """A call that is due at a deadline and can be cancelled before it."""

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Hold `callback` and its arguments; `callback` is None once it has been called or cancelled."""
        self.callback: Callable[..., None] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Cancel the call and drop the references to its callback and arguments."""
        self.callback = None
        self.args = ()


class TimerWheel:
    """Timers in microseconds, driven by one alarm of the event loop that is set for the earliest timer."""

    def __init__(
        self,
        clock: Callable[[], int],
        alarm: Callable[[int, Callable[[], None]], Any],
        tick_us: int,
    ) -> None:
        """Start without timers.

        Args:
            clock: Returns the time in whole microseconds.
            alarm: `alarm(delay_us, callback)` calls `callback` after a delay and returns a handle with
                `cancel()`.
            tick_us: The resolution; timers within one tick are due together, at the end of the tick.
        """
        self._clock = clock
        self._alarm = alarm
        self._tick_us = tick_us
        self._buckets: dict[int, list[Timer]] = {}
        self._tick_heap: list[int] = []
        self._last_fired_tick = clock() // tick_us
        self._armed_tick: int | None = None
        self._handle: Any = None

    def call_at(self, when_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call `callback(*args)` at the first tick at or after `when_us`, never within this call."""
        tick = max(-(-when_us // self._tick_us), self._last_fired_tick + 1)
        timer = Timer(callback, args)
        if tick not in self._buckets:
            self._buckets[tick] = []
            heapq.heappush(self._tick_heap, tick)
        self._buckets[tick].append(timer)
        self._arm()
        return timer

    def call_after(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call `callback(*args)` at the first tick after a delay."""
        return self.call_at(self._clock() + delay_us, callback, *args)

    def _arm(self) -> None:
        if self._tick_heap and (self._armed_tick is None or self._tick_heap[0] < self._armed_tick):
            if self._handle is not None:  # an alarm left set would set another one each time it fires
                self._handle.cancel()
            self._armed_tick = self._tick_heap[0]
            delay_us = max(self._armed_tick * self._tick_us - self._clock(), 0)
            self._handle = self._alarm(delay_us, self.fire_due)

    def fire_due(self) -> None:
        """Call the callbacks of all due timers, in order."""
        current_tick = self._clock() // self._tick_us
        try:
            while self._tick_heap and self._tick_heap[0] <= current_tick:
                tick = self._tick_heap[0]
                # Timers set by the callbacks below go to a later bucket.
                self._last_fired_tick = max(self._last_fired_tick, tick)
                self._fire_bucket(self._buckets[tick])
                heapq.heappop(self._tick_heap)
                del self._buckets[tick]
        finally:  # an exception in one callback must not stop the other timers
            self._armed_tick = None
            self._handle = None
            self._arm()

    @staticmethod
    def _fire_bucket(bucket: list[Timer]) -> None:
        for timer in bucket:
            callback = timer.callback
            if callback is not None:
                args = timer.args
                timer.cancel()
                callback(*args)
