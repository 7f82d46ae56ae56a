"""Alarms of the event loop: never before their time, so that the loop sleeps until then."""

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


async def _alarms_for(timers_count: int, tick_us: int) -> tuple[int, list[int]]:
    """How many alarms the wheel set for that many timers, and how late each timer was in microseconds."""
    loop = asyncio.get_running_loop()
    chance = random.Random(7)
    alarms: list[int] = []
    late_us: list[int] = []

    def alarm(delay_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        alarms.append(delay_us)
        return call_after_us(loop, delay_us, callback)

    wheel = TimerWheel(_clock, alarm, tick_us)
    begin = _clock()
    for _ in range(timers_count):
        due_us = begin + chance.randrange(SPREAD_US)
        wheel.call_at(due_us, lambda due_us=due_us: late_us.append(_clock() - due_us))
    setting_up = len(alarms)
    while len(late_us) < timers_count:
        await asyncio.sleep(0.01)
    return len(alarms) - setting_up, late_us


@pytest.mark.parametrize("tick_us", [100, 1000, 2000])
def test_a_wheel_sets_one_alarm_for_each_tick_in_use(tick_us: int) -> None:
    """The loop turned without sleep for up to half a millisecond before each tick: alarms came early."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        alarms_count, late_us = runner.run(_alarms_for(TIMERS_COUNT, tick_us))
    assert alarms_count <= TIMERS_COUNT
    assert min(late_us) >= 0


def test_an_alarm_is_not_early_whatever_part_of_a_millisecond_has_gone_by() -> None:
    async def early_by_us() -> list[int]:
        loop = asyncio.get_running_loop()
        early = []
        for delay_us in range(1, 3000, 37):
            done = loop.create_future()
            due_us = _clock() + delay_us
            call_after_us(loop, delay_us, partial(done.set_result, None))
            await done
            early.append(due_us - _clock())
        return early

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert max(runner.run(early_by_us())) <= 0
