"""Work that lasts as long as the process: after an unexpected error it is reported, and goes on."""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.test_lists_watch import RecordingLog, run_async
from umberlead.common.counters import Counters
from umberlead.common.supervision import REPEATED_FAILURE_LOG_INTERVAL_US, Supervisor
from umberlead.common.timer_wheel import TimerWheel

WAIT_SECONDS = 10.0


class UnexpectedError(Exception):
    """An error that no code handles."""


class SupervisorFixture:
    """A supervisor with a clock that is moved by hand."""

    def __init__(self) -> None:
        self.now_us = 1_000_000
        self.log = RecordingLog()
        self.counters = Counters()
        self.supervisor = Supervisor(asyncio.get_running_loop(), lambda: self.now_us, self.counters, self.log)

    def fields(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.log.lines if name == event]


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


def raise_error(*_: object) -> None:
    raise UnexpectedError("no")


def run_with_supervisor(test: Callable[[SupervisorFixture], Awaitable[None]]) -> None:
    async def run() -> None:
        await test(SupervisorFixture())

    run_async(run)


# Guards against a task that ends by an error which is never seen, as something holds the task.
def test_failed_task_is_logged_with_its_trace_counted_and_run_again() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        runs = 0

        async def work() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise_error()

        await asyncio.wait_for(fixture.supervisor.start_task("work", work), WAIT_SECONDS)
        assert runs == 2
        (failure,) = fixture.fields("task_failed")
        assert (failure["task"], failure["failures"]) == ("work", 1)
        assert "UnexpectedError: no" in failure["error"] and "raise_error()" in failure["trace"]
        assert fixture.counters["task_failures_work"] == 1
        assert fixture.supervisor.failure_counts() == {"work": 1}
        assert fixture.supervisor.failing_names() == []
        assert [fields["failures"] for fields in fixture.fields("task_recovered")] == [1]

    run_with_supervisor(test)


# Guards against a log that is flooded, and a loop that does not pause, while a task fails at each turn.
def test_task_that_fails_for_a_minute_is_logged_with_one_trace_and_then_counted() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        supervisor = fixture.supervisor
        for _ in range(600):
            supervisor.call("work", raise_error)
            fixture.now_us += 100_000
        failures = fixture.fields("task_failed")
        assert len(failures) == 60_000_000 // REPEATED_FAILURE_LOG_INTERVAL_US
        assert ["trace" in fields for fields in failures] == [True, *[False] * 5]
        assert failures[-1]["failures"] == failures[-1]["in_a_row"] == 501
        assert fixture.counters["task_failures_work"] == 600
        assert supervisor.failing_us("work") == 60_000_000 and supervisor.failing_names() == ["work"]
        supervisor.call("work", lambda: None)
        assert fixture.fields("task_recovered") == [{"task": "work", "failures": 600, "failed_ms": 60_000}]
        assert supervisor.failing_names() == []
        for _ in range(100):  # a work that fails every other time
            supervisor.call("work", raise_error)
            supervisor.call("work", lambda: None)
        assert len(fixture.fields("task_failed")) + len(fixture.fields("task_recovered")) <= 9

    run_with_supervisor(test)


def test_another_error_of_the_same_work_has_its_own_trace() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        fixture.supervisor.call("work", raise_error)
        fixture.supervisor.call("work", lambda: int("x"))
        assert ["ValueError" in fields["trace"] for fields in fixture.fields("task_failed")] == [False, True]

    run_with_supervisor(test)


def test_pause_grows_and_a_notification_ends_it() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        loop = asyncio.get_running_loop()
        wake = asyncio.Event()
        started: list[float] = []

        async def work() -> None:
            started.append(loop.time())
            raise UnexpectedError

        task = fixture.supervisor.start_task("work", work, wake)
        await wait_until(lambda: len(started) == 4)
        pauses = [after - before for before, after in zip(started, started[1:], strict=False)]
        assert pauses == sorted(pauses) and pauses[-1] >= 4 * 0.05
        wake.set()
        notified = loop.time()
        await wait_until(lambda: len(started) == 5)
        assert started[-1] - notified < 0.3  # the pause would have been 0.4 s
        task.cancel()

    run_with_supervisor(test)


# Guards against a task that ends in silence because something that it waits for was cancelled.
def test_task_goes_on_after_a_cancellation_that_was_not_its_own() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        runs = 0

        async def work() -> None:
            nonlocal runs
            runs += 1
            future = asyncio.get_running_loop().create_future()
            if runs == 1:
                future.cancel()
            await future

        task = fixture.supervisor.start_task("work", work)
        await wait_until(lambda: runs == 2)
        assert fixture.counters["task_failures_work"] == 1
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert fixture.counters["task_failures_work"] == 1

    run_with_supervisor(test)


# Guards against an error within the handling of an error, as of a log that can't take a field.
def test_error_of_the_log_does_not_end_the_work_and_is_counted() -> None:
    class FailingLog:
        def __getattr__(self, level: str) -> Callable[..., None]:
            return raise_error

    class UnprintableError(Exception):
        def __str__(self) -> str:
            raise UnexpectedError

    async def test(fixture: SupervisorFixture) -> None:
        fixture.supervisor = Supervisor(
            asyncio.get_running_loop(), lambda: fixture.now_us, fixture.counters, FailingLog()
        )

        def fail() -> None:
            raise UnprintableError

        fixture.supervisor.call("work", fail)
        fixture.supervisor.call("work", lambda: None)
        assert fixture.counters["task_failures_work"] == 1
        assert fixture.counters["log_events_failed"] == 2

    run_with_supervisor(test)


def test_periodic_call_is_made_again_after_it_raises() -> None:
    async def test(fixture: SupervisorFixture) -> None:
        calls = 0

        def call() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise_error()

        loop = asyncio.get_running_loop()
        wheel = TimerWheel(
            lambda: int(loop.time() * 1e6),
            lambda delay_us, alarm: loop.call_later(delay_us / 1e6, alarm),
            1000,
        )
        fixture.supervisor.call_periodically(wheel, 2_000, "work", call)
        await wait_until(lambda: calls >= 3)
        assert fixture.counters["task_failures_work"] == 1

    run_with_supervisor(test)


def test_thread_that_ends_by_an_error_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(fixture: SupervisorFixture) -> None:
        monkeypatch.setattr(threading, "excepthook", threading.excepthook)  # restored afterwards
        fixture.supervisor.report_failed_threads()
        threading.Thread(target=raise_error, name="reader-3").start()
        await wait_until(lambda: fixture.counters["task_failures_thread_reader"] == 1)
        assert "raise UnexpectedError" in fixture.fields("task_failed")[0]["trace"]

    run_with_supervisor(test)
