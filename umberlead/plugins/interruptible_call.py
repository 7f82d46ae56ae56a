"""Calls of functions that may never return, on the thread of the event loop.

A call runs in a greenlet of its own, with a timer that sends SIGALRM. If the call still runs then, the
signal's handler, which runs on top of it, switches back to the caller. The call is not resumed, so it makes
no difference whether it would catch an exception or wait in a system call.

The garbage collector does not run during a call: a collection has its lists of objects on the stack, so one
that is left in the middle would never be taken up again, and would leave pointers to memory with another use.

Only a call of C code that never checks for signals can't be interrupted.
"""

import asyncio
import ctypes
import gc
import signal
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType
from typing import Any, TypeVar

from greenlet import getcurrent, greenlet

from umberlead.plugins.interface import CallFailedError, CallTimeoutError
from umberlead.plugins.memory_limit import MemoryLimit
from umberlead.plugins.process_functions import process_function_guard

T = TypeVar("T")

MIN_TIMEOUT_SECONDS = 1e-6  # a timer of 0 is not set


@dataclass(frozen=True, slots=True)
class _Returned:
    """The outcome of a call that returned a value."""

    value: Any


@dataclass(frozen=True, slots=True)
class _Raised:
    """The outcome of a call that raised an exception."""

    description: str


class _Abandoned:
    """The outcome of a call that did not return in time."""


def _describe(error: BaseException) -> str:
    """Return an exception as text; its own `__repr__` may fail too."""
    try:
        return repr(error)
    except BaseException:
        return type(error).__name__


def _outcome_of(function: Callable[[], Any]) -> _Returned | _Raised:
    """Call a function, whose exception may be any: SystemExit would end the process."""
    try:
        return _Returned(function())
    except BaseException as error:
        return _Raised(_describe(error))


class InterruptibleCaller:
    """Makes the calls; there is one for each process, as the timer and its signal are the process's."""

    def __init__(self, max_growth_bytes: int) -> None:
        """Install the signal's handler; only the main thread can do this.

        Args:
            max_growth_bytes: by how much the process may grow during a call.
        """
        self._memory_limit = MemoryLimit(max_growth_bytes)
        self._caller: greenlet | None = None
        self._worker = self._new_worker()
        signal.signal(signal.SIGALRM, self._on_alarm)
        self._guard = process_function_guard()

    def call(self, function: Callable[[], T], timeout_us: int) -> T:
        """Call a function and return its value.

        Args:
            function: is called without arguments.
            timeout_us: how long the call may run, in microseconds.

        Raises:
            CallTimeoutError: the call did not return within the timeout, and was abandoned.
            CallFailedError: the call raised an exception, of whatever type, or called a function that acts on
                the whole process.
        """
        seconds = max(timeout_us / 1e6, MIN_TIMEOUT_SECONDS)
        self._caller = getcurrent()
        # The timer repeats, as a first signal may come before the call has begun.
        signal.setitimer(signal.ITIMER_REAL, seconds, seconds)
        loop = asyncio._get_running_loop()
        asyncio._set_running_loop(None)  # so that the call can't stop it or give it tasks
        self._memory_limit.begin()
        gc.disable()
        self._guard.is_script_running = True
        outcome = self._worker.switch(function)
        self._guard.is_script_running = False
        gc.enable()
        self._memory_limit.end()
        asyncio._set_running_loop(loop)
        signal.setitimer(signal.ITIMER_REAL, 0)
        if self._guard.refused:
            outcome = self._refused_outcome(outcome)
        if isinstance(outcome, _Returned):
            return outcome.value
        # Collections leave out what the call has left in reference cycles: its finalizers may not return.
        gc.freeze()
        if isinstance(outcome, _Raised):
            raise CallFailedError(outcome.description)
        self._abandon_worker()
        raise CallTimeoutError("the call did not return in time")

    def _refused_outcome(self, outcome: "_Returned | _Raised | _Abandoned") -> "_Raised | _Abandoned":
        """Return the outcome of a call that was refused a function, which it may have caught."""
        names = ", ".join(sorted(set(self._guard.refused)))
        self._guard.refused.clear()
        return outcome if isinstance(outcome, _Abandoned) else _Raised(f"called {names}")

    def _new_worker(self) -> greenlet:
        """Return a greenlet that makes calls, started up to its first one."""
        worker = greenlet(self._run_calls)
        self._caller = getcurrent()
        worker.switch()
        return worker

    def _run_calls(self) -> None:
        outcome: _Returned | _Raised | None = None
        while True:
            assert self._caller is not None
            function = self._caller.switch(outcome)
            outcome = _outcome_of(function)
            del function

    def _abandon_worker(self) -> None:
        """Replace the worker; the call stays suspended in it for as long as the process lives.

        A greenlet that is deallocated gets an exception, with which the call would run on.
        """
        ctypes.pythonapi.Py_IncRef(ctypes.py_object(self._worker))
        self._worker = self._new_worker()

    def _on_alarm(self, _signal: int, _frame: FrameType | None) -> None:
        """Return to the caller, unless the call has returned already."""
        if self._caller is not None and getcurrent() is not self._caller:
            self._guard.is_script_running = False
            self._memory_limit.end()  # the switch itself may need memory
            self._caller.switch(_Abandoned())
