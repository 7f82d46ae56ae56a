"""Supervision of work that lasts as long as the process: tasks, periodic calls and threads.

Such work must not end without notice. An exception that it does not expect is logged with its traceback and
counted by the name of the work, and the work goes on: a task is run again after a pause that grows, and a
periodic call is made again at its next time. Repeated failures are counted and logged at most once per
`REPEATED_FAILURE_LOG_INTERVAL_US`.

`asyncio.TaskGroup` is not used here: it cancels all its tasks when one of them fails.
"""

import asyncio
import contextlib
import sys
import threading
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel

MIN_RESTART_DELAY_SECONDS = 0.05
MAX_RESTART_DELAY_SECONDS = 5.0
MAX_RESTART_DELAY_DOUBLINGS_COUNT = 16
REPEATED_FAILURE_LOG_INTERVAL_US = 10_000_000
# Failures of a work at different places in the program are logged with a traceback each, up to this number.
MAX_LOGGED_ORIGINS_COUNT = 20
COUNTER_PREFIX = "task_failures_"
MICROSECONDS_PER_MILLISECOND = 1000

Traceback = TracebackType | None


@dataclass(slots=True)
class WorkHealth:
    """The failures of one work.

    Attributes:
        failure_count: The number of failures since the process started.
        consecutive_failure_count: The number of failures since the work last succeeded.
        failing_since_us: When the first of the consecutive failures occurred; None while the work succeeds.
        is_failure_logged: Whether one of the consecutive failures was logged.
        logged_us: When a failure was last logged; None if none was.
        logged_origins: The types and places of the exceptions whose traceback was logged.
    """

    failure_count: int = 0
    consecutive_failure_count: int = 0
    failing_since_us: int | None = None
    is_failure_logged: bool = False
    logged_us: int | None = None
    logged_origins: set[str] = field(default_factory=set)


def _origin(error: BaseException) -> str:
    """Return the type of an exception, and the file and line that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__} {place}"


def describe_error(error: BaseException) -> str:
    """Return the type and the message of an exception, even if its message can't be built."""
    try:
        return f"{type(error).__name__}: {error}"
    except Exception:
        return type(error).__name__


class Supervisor:
    """Runs work that lasts as long as the process, and reports its failures.

    Methods are called on the event loop's thread, unless they say otherwise.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int], counters: Counters, log: Any
    ) -> None:
        """Supervise nothing yet.

        Args:
            loop: The event loop of the process.
            clock: Returns the time in microseconds.
            counters: Gets a counter of failures for each work that fails.
            log: The process's log.
        """
        self._loop = loop
        self._clock = clock
        self._counters = counters
        self._log = log
        self._health_by_name: dict[str, WorkHealth] = {}

    # Failures

    def record_failure(self, name: str, error: BaseException) -> None:
        """Count a failure of the work `name`, and log it unless the same was logged a moment ago."""
        self._counters.add(COUNTER_PREFIX + name)
        now_us = self._clock()
        health = self._health_by_name.setdefault(name, WorkHealth())
        health.failure_count += 1
        health.consecutive_failure_count += 1
        if health.failing_since_us is None:
            health.failing_since_us = now_us
        fields: dict[str, Any] = {"task": name, "error": describe_error(error)}
        origin = _origin(error)
        is_new = origin not in health.logged_origins and len(health.logged_origins) < MAX_LOGGED_ORIGINS_COUNT
        if is_new:
            health.logged_origins.add(origin)
            fields["trace"] = "".join(traceback.format_exception(error))
        elif health.logged_us is not None and now_us - health.logged_us < REPEATED_FAILURE_LOG_INTERVAL_US:
            return
        health.logged_us = now_us
        health.is_failure_logged = True
        fields["failures"] = health.failure_count
        fields["in_a_row"] = health.consecutive_failure_count
        fields["failing_ms"] = (now_us - health.failing_since_us) // MICROSECONDS_PER_MILLISECOND
        self._log_event(self._log.error, "task_failed", fields)

    def record_success(self, name: str) -> None:
        """Record that the work `name` has done a part of its work; log it if its failure was logged."""
        health = self._health_by_name.get(name)
        if health is None or health.failing_since_us is None:
            return
        failing_us = self._clock() - health.failing_since_us
        failure_count = health.consecutive_failure_count
        health.consecutive_failure_count = 0
        health.failing_since_us = None
        if health.is_failure_logged:
            health.is_failure_logged = False
            fields = {
                "task": name,
                "failures": failure_count,
                "failed_ms": failing_us // MICROSECONDS_PER_MILLISECOND,
            }
            self._log_event(self._log.info, "task_recovered", fields)

    def record_failure_from_thread(self, name: str, error: BaseException) -> None:
        """Record a failure; may be called from any thread."""
        with contextlib.suppress(RuntimeError):  # The event loop was closed: the process ends.
            self._loop.call_soon_threadsafe(self.record_failure, name, error)

    def _log_event(self, log: Callable[..., Any], event: str, fields: dict[str, Any]) -> None:
        """Log an event; an error of the log itself is counted, and does not end the work."""
        try:
            log(event, **fields)
        except Exception:
            self._counters.add("log_events_failed")

    def failure_counts(self) -> dict[str, int]:
        """Return the number of failures of each work that has failed since the process started."""
        return {name: health.failure_count for name, health in sorted(self._health_by_name.items())}

    def failing_us(self, name: str) -> int:
        """Return for how long the work `name` has been failing; 0 while it succeeds."""
        health = self._health_by_name.get(name)
        if health is None or health.failing_since_us is None:
            return 0
        return max(self._clock() - health.failing_since_us, 1)

    def failing_names(self) -> list[str]:
        """Return the names of the work that is failing at present."""
        return [name for name in sorted(self._health_by_name) if self.failing_us(name)]

    # Work

    def call(self, name: str, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback(*args)`, and record whether it succeeds; its exceptions are not passed on."""
        try:
            callback(*args)
        except Exception as error:
            self.record_failure(name, error)
        else:
            self.record_success(name)

    def call_periodically(
        self, wheel: TimerWheel, interval_us: int, name: str, callback: Callable[[], Any]
    ) -> None:
        """Call `callback` every `interval_us`, for the first time after that interval, whatever it raises."""

        def call_and_repeat() -> None:
            try:
                self.call(name, callback)
            finally:
                wheel.call_after(interval_us, call_and_repeat)

        wheel.call_after(interval_us, call_and_repeat)

    def start_task(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        wake: asyncio.Event | None = None,
        max_delay_seconds: float = MAX_RESTART_DELAY_SECONDS,
    ) -> "asyncio.Task[None]":
        """Start a task that runs `run()`, and runs it again each time that it raises, until it returns.

        `run` has to call `record_success` from time to time: the pause grows while it does not.

        Args:
            name: The name of the work.
            run: Does the work.
            wake: Ends a pause when it is set.
            max_delay_seconds: The longest pause.
        """
        return self._loop.create_task(self._run_until_done(name, run, wake, max_delay_seconds), name=name)

    async def _run_until_done(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        wake: asyncio.Event | None,
        max_delay_seconds: float,
    ) -> None:
        while True:
            try:
                await run()
            except asyncio.CancelledError as error:
                if _is_cancelled():
                    raise
                self.record_failure(name, error)  # Something that `run` waited for was cancelled.
            except Exception as error:
                self.record_failure(name, error)
            else:
                self.record_success(name)
                return
            await _pause(self._restart_delay_seconds(name, max_delay_seconds), wake)

    def _restart_delay_seconds(self, name: str, max_delay_seconds: float) -> float:
        doublings = self._health_by_name[name].consecutive_failure_count - 1
        factor = 2 ** min(doublings, MAX_RESTART_DELAY_DOUBLINGS_COUNT)
        return min(MIN_RESTART_DELAY_SECONDS * factor, max_delay_seconds)

    # Threads

    def report_failed_threads(self) -> None:
        """Report each thread of the process that ends by an exception from now on, by its name."""
        threading.excepthook = self._on_thread_failed

    def _on_thread_failed(self, args: threading.ExceptHookArgs) -> None:
        if args.exc_value is None or isinstance(args.exc_value, SystemExit):
            return
        if self._loop.is_closed():
            print(describe_error(args.exc_value), file=sys.stderr)
            return
        # Threads without a name of their own are numbered.
        thread_name = args.thread.name.strip("0123456789-_ ()") if args.thread is not None else ""
        self.record_failure_from_thread(f"thread_{thread_name or 'unnamed'}", args.exc_value)


def _is_cancelled() -> bool:
    """Return whether the cancellation of the current task was requested."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def _pause(delay_seconds: float, wake: asyncio.Event | None) -> None:
    if wake is None:
        await asyncio.sleep(delay_seconds)
        return
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(wake.wait(), delay_seconds)
    await asyncio.sleep(MIN_RESTART_DELAY_SECONDS)  # Also if it is set all the time.
