"""When the steps of a graceful shutdown are due, before the platform's earliest SIGKILL."""

import asyncio
import json
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from umberlead import configuration
from umberlead.common.timer_wheel import TimerWheel
from umberlead.daemon.process import FrontProcess
from umberlead.emulator.loop import Alarm, Loop

HOLD_UP_US = 150_000  # for which a busy machine may hold a process up
SECOND_US = 1_000_000


def _process(folder: Path, deadline_us: int, loop: asyncio.AbstractEventLoop) -> FrontProcess:
    grade = {"name": "read", "aim": deadline_us, "hardLimit": deadline_us, "effect": "idempotent"}
    settings = {"grades": [grade], "plans": [{"name": "gold"}]}
    known = {"endpoints": [{"name": "n0", "address": "127.0.0.1:9", "group": 0}]}
    file = folder / "config.json"
    file.write_text(
        json.dumps(
            {"settings": settings, "known": known, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}
        )
    )
    return FrontProcess(configuration.load({"EDGE_CONFIG": str(file)}), loop)


@pytest.mark.parametrize("deadline_us", [400_000, 860_000, 3_000_000, 9_000_000])
def test_a_process_is_done_a_hold_up_before_the_earliest_kill(tmp_path: Path, deadline_us: int) -> None:
    """It was done 0.1 s before, and stood at the kill where a busy machine held its exit up for longer."""
    event_loop = asyncio.new_event_loop()
    virtual = Loop()
    process = _process(tmp_path, deadline_us, event_loop)

    def alarm(delay_us: int, callback: Any) -> Alarm:
        made = Alarm(callback)
        virtual.at(virtual.now + delay_us, made)
        return made

    process.wheel = TimerWheel(lambda: virtual.now, alarm, 1000)
    told_us = virtual.now
    kill_us = told_us + min(deadline_us, 3 * SECOND_US) + 700_000
    answered: list[int] = []
    with mock.patch.object(process.lifecycle, "shut_down", lambda: answered.append(virtual.now)):
        process.shutdown.start()
        virtual.run(kill_us + SECOND_US, over=process.done.is_set)
    assert answered and answered[0] <= kill_us - HOLD_UP_US
    assert process.done.is_set()
    assert answered[0] < virtual.now <= kill_us - HOLD_UP_US
    process.syslog.close()
    process.reserved_descriptor.close()
    event_loop.close()
