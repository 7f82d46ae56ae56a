"""Alarms of the event loop are never early, so that the loop sleeps until they are due."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial

import pytest
import uvloop

from umberlead.common.loop_alarm import call_after_us
from umberlead.common.timer_wheel import TimerWheel

TIMERS_COUNT = 300
SPREAD_US = 400_000


def _clock() -> int:
    return time.monotonic_ns() // 1000


async def _count_alarms(timers_count: int, tick_us: int) -> tuple[int, list[int]]:
    """Return the number of alarms set after the timers were set up, and each timer's lateness in us."""
    loop = asyncio.get_running_loop()
    rng = random.Random(7)
    alarm_delays_us: list[int] = []
    late_us: list[int] = []

    def alarm(delay_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        alarm_delays_us.append(delay_us)
        return call_after_us(loop, delay_us, callback)

    wheel = TimerWheel(_clock, alarm, tick_us)
    begin_us = _clock()
    for _ in range(timers_count):
        due_us = begin_us + rng.randrange(SPREAD_US)
        wheel.call_at(due_us, lambda due_us=due_us: late_us.append(_clock() - due_us))
    setup_alarms_count = len(alarm_delays_us)
    while len(late_us) < timers_count:
        await asyncio.sleep(0.01)
    return len(alarm_delays_us) - setup_alarms_count, late_us


@pytest.mark.parametrize("tick_us", [100, 1000, 2000])
def test_wheel_sets_at_most_one_alarm_per_timer_and_is_never_early(tick_us: int) -> None:
    """Guards against early alarms: with them, the loop runs without sleep for up to 0.5 ms before a tick."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        alarms_count, late_us = runner.run(_count_alarms(TIMERS_COUNT, tick_us))
    assert alarms_count <= TIMERS_COUNT
    assert min(late_us) >= 0


def test_alarm_is_never_early_at_any_fraction_of_a_millisecond() -> None:
    async def early_by_us() -> list[int]:
        loop = asyncio.get_running_loop()
        early_us = []
        for delay_us in range(1, 3000, 37):
            fired = loop.create_future()
            due_us = _clock() + delay_us
            call_after_us(loop, delay_us, partial(fired.set_result, None))
            await fired
            early_us.append(due_us - _clock())
        return early_us

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert max(runner.run(early_by_us())) <= 0
