"""Alarms of an event loop whose timers count whole milliseconds, as uvloop's do."""

import asyncio
import time
from collections.abc import Callable

NS_PER_MS = 1_000_000
NS_PER_US = 1000


def call_after_us(
    loop: asyncio.AbstractEventLoop, delay_us: int, callback: Callable[[], None]
) -> asyncio.TimerHandle:
    """Call `callback` in the first millisecond that begins after a delay, never before it.

    The loop counts from the beginning of the present millisecond. It rounds a delay below half a millisecond
    to none: an alarm that comes early, and is set again for what is left, would keep the loop turning without
    sleep until its time.
    """
    now_ns = time.monotonic_ns()
    due_ms = -(-(now_ns + delay_us * NS_PER_US) // NS_PER_MS)
    delay_ms = due_ms - now_ns // NS_PER_MS if delay_us > 0 else 0
    return loop.call_later(delay_ms / 1000, callback)
