"""Alarms on an event loop whose timers have millisecond resolution, such as uvloop."""

import asyncio
import time
from collections.abc import Callable

NS_PER_MS = 1_000_000
NS_PER_US = 1000


def call_after_us(
    loop: asyncio.AbstractEventLoop, delay_us: int, callback: Callable[[], None]
) -> asyncio.TimerHandle:
    """Call `callback` in the first millisecond that begins after a delay, never before it.

    The loop counts a delay from the beginning of the current millisecond, and rounds a delay below half a
    millisecond to 0. An alarm that fires early and is set again for the rest would therefore keep the loop
    busy, without sleep, until the alarm is due.
    """
    now_ns = time.monotonic_ns()
    due_ms = -(-(now_ns + delay_us * NS_PER_US) // NS_PER_MS)
    delay_ms = due_ms - now_ns // NS_PER_MS if delay_us > 0 else 0
    return loop.call_later(delay_ms / 1000, callback)
