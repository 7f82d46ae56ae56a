"""The times of the steps of a graceful shutdown, relative to the platform's earliest SIGKILL."""

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

MAX_EXIT_DELAY_US = 150_000  # how long a busy machine may delay a process
SECOND_US = 1_000_000


def _new_process(folder: Path, deadline_us: int, loop: asyncio.AbstractEventLoop) -> FrontProcess:
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
def test_shutdown_ends_before_the_earliest_kill_with_time_to_exit(tmp_path: Path, deadline_us: int) -> None:
    """Guards against a process that is still exiting at SIGKILL.

    A margin of 0.1 s is too short: a busy machine can delay the exit by more than that.
    """
    event_loop = asyncio.new_event_loop()
    virtual_loop = Loop()
    process = _new_process(tmp_path, deadline_us, event_loop)

    def alarm(delay_us: int, callback: Any) -> Alarm:
        timer = Alarm(callback)
        virtual_loop.at(virtual_loop.now + delay_us, timer)
        return timer

    process.wheel = TimerWheel(lambda: virtual_loop.now, alarm, 1000)
    sigterm_us = virtual_loop.now
    kill_us = sigterm_us + min(deadline_us, 3 * SECOND_US) + 700_000
    answered_at_us: list[int] = []
    with mock.patch.object(process.lifecycle, "shut_down", lambda: answered_at_us.append(virtual_loop.now)):
        process.shutdown.start()
        virtual_loop.run(kill_us + SECOND_US, over=process.done.is_set)
    assert answered_at_us and answered_at_us[0] <= kill_us - MAX_EXIT_DELAY_US
    assert process.done.is_set()
    assert answered_at_us[0] < virtual_loop.now <= kill_us - MAX_EXIT_DELAY_US
    process.syslog.close()
    process.reserved_descriptor.close()
    event_loop.close()
