"""Operators' plug-ins: Python scripts with hooks for requests, attempt outcomes and final answers.

Scripts can't send attempts or override a rule: they get copies, and the request lifecycle decides how their
return values are used.

In version 1 of the interface, a script sets `API = 1` and defines any of

    request_taken(request)  -> None to accept, a dict of annotations, or a string: the reason to reject
    outcome(request, outcome)
    answer(request, answer)

where each argument is a dict of plain values. If a hook raises an exception, returns another type or runs
longer than `plugins.limit_ms`, this is logged and counted, and its script is disabled.
"""

import signal
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.errors import UmberleadError
from umberlead.configuration import ConfigError
from umberlead.requests.types import Answer, InFlightRequest
from umberlead.scheduling.events import AttemptResult

API_VERSION = 1
REQUEST_HOOK = "request_taken"
OUTCOME_HOOK = "outcome"
ANSWER_HOOK = "answer"
HOOK_NAMES = (REQUEST_HOOK, OUTCOME_HOOK, ANSWER_HOOK)
MAX_ANNOTATIONS_COUNT = 16  # in one hook's return value
MAX_ANNOTATION_SIZE = 256  # characters, of a name, a value or a reason
ALARM_TIMEOUT_FACTOR = 2  # a hook that still runs after this multiple of its timeout is interrupted


class HookTimeoutError(UmberleadError):
    """A hook ran longer than its timeout."""


class Plugin:
    """One script.

    Attributes:
        name: the name of its file without the suffix.
        enabled: whether its hooks are called.
        hooks: the hooks that it defines, by name.
    """

    def __init__(self, path: Path, key: str) -> None:
        """Run a script.

        Args:
            path: the script's file.
            key: the configuration key that names the file, for error messages.

        Raises:
            ConfigError: the script fails, or is written for another version of the interface.
        """
        self.name = path.stem
        self.enabled = True
        namespace: dict[str, Any] = {"__name__": f"umberlead_plugin_{path.stem}", "__file__": str(path)}
        try:
            exec(compile(path.read_text(), str(path), "exec"), namespace)
        except Exception as error:
            raise ConfigError(key, f"{path.name} failed to load: {type(error).__name__}: {error}") from None
        if namespace.get("API") != API_VERSION:
            raise ConfigError(key, f"{path.name} must set API = {API_VERSION}")
        self.hooks: dict[str, Callable[..., Any]] = {
            name: namespace[name] for name in HOOK_NAMES if callable(namespace.get(name))
        }


class PluginHooks:
    """Calls the hooks of the enabled scripts, in the order of the configuration.

    It implements `umberlead.requests.types.RequestHooks`.
    """

    def __init__(
        self,
        paths: tuple[Path, ...],
        hook_timeout_us: int,
        counters: Counters,
        log: Callable[..., Any],
        trace_log: Callable[..., Any] | None = None,
    ) -> None:
        """Load the scripts.

        Args:
            paths: the scripts' files.
            hook_timeout_us: how long a hook may run, in microseconds.
            counters: count rejections and disabled scripts.
            log: called when a script is disabled.
            trace_log: called for each answer with the scripts' annotations; None for no trace.

        Raises:
            ConfigError: a script failed to load.
        """
        self.trace_log = trace_log
        self.hook_timeout_us = hook_timeout_us
        self.counters = counters
        self.log = log
        self.plugins = [Plugin(path, f"plugins.scripts.{number}") for number, path in enumerate(paths)]
        self._in_hook = False
        if self.plugins:  # the alarm interrupts a hook that does not return
            signal.signal(signal.SIGALRM, self._on_alarm)

    def on_request(self, request: InFlightRequest) -> str | None:
        """Let the scripts annotate or reject a request; return the reason if one rejects it."""
        for plugin in self.plugins:
            returned = self._run_hook(plugin, REQUEST_HOOK, self._describe_request(request))
            if isinstance(returned, str):
                self.counters.add("requests_refused_by_plugin")
                return returned[:MAX_ANNOTATION_SIZE] or "refused by a plug-in"
            if isinstance(returned, dict):
                for name, value in list(returned.items())[:MAX_ANNOTATIONS_COUNT]:
                    request.annotations[str(name)[:MAX_ANNOTATION_SIZE]] = str(value)[:MAX_ANNOTATION_SIZE]
            elif returned is not None:
                self._disable(plugin, REQUEST_HOOK, f"answered {type(returned).__name__}")
        return None

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Pass the outcome of an attempt to the scripts."""
        for plugin in self.plugins:
            outcome = {
                "node": endpoint,
                "result": result.value,
                "elapsed_us": elapsed_us,
                "attempt": request.attempt_count - 1,
            }
            self._run_hook(plugin, OUTCOME_HOOK, self._describe_request(request), outcome)

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        """Pass a request's final answer to the scripts, and log it if answers are traced."""
        for plugin in self.plugins:
            answer_fields = {
                "kind": answer.kind.value,
                "reason": answer.reason,
                "attempts": request.attempt_count,
            }
            self._run_hook(plugin, ANSWER_HOOK, self._describe_request(request), answer_fields)
        if self.trace_log is not None:
            incoming = request.incoming
            self.trace_log(
                "request_answered",
                request_id=request.id,
                class_name=incoming.class_name,
                plan=incoming.plan,
                kind=answer.kind.value,
                attempt_count=request.attempt_count,
                **{f"annotation_{name}": value for name, value in request.annotations.items()},
            )

    def _on_alarm(self, _signal: int, _frame: FrameType | None) -> None:
        if self._in_hook:
            raise HookTimeoutError

    def _run_hook(self, plugin: Plugin, hook_name: str, *args: Any) -> Any:
        """Call a script's hook and return its value, or None; disable the script if the hook fails."""
        hook = plugin.hooks.get(hook_name)
        if hook is None or not plugin.enabled:
            return None
        started_ns = time.monotonic_ns()
        try:
            self._in_hook = True
            signal.setitimer(signal.ITIMER_REAL, self.hook_timeout_us * ALARM_TIMEOUT_FACTOR / 1e6)
            try:
                returned = hook(*args)
            finally:
                self._in_hook = False
                signal.setitimer(signal.ITIMER_REAL, 0)
            if (time.monotonic_ns() - started_ns) // 1000 > self.hook_timeout_us:
                raise HookTimeoutError
            return returned
        except Exception as error:
            reason = "overrun" if isinstance(error, HookTimeoutError) else repr(error)
            self._disable(plugin, hook_name, reason)
            return None

    def _disable(self, plugin: Plugin, hook_name: str, reason: str) -> None:
        plugin.enabled = False
        self.counters.add("plugins_disabled")
        self.log("plugin_disabled", plugin=plugin.name, hook=hook_name, reason=reason)

    @staticmethod
    def _describe_request(request: InFlightRequest) -> dict[str, Any]:
        """Return the copy of a request that is passed to hooks."""
        incoming = request.incoming
        return {
            "id": request.id,
            "class": incoming.class_name,
            "plan": incoming.plan,
            "volume": incoming.volume,
            "key": incoming.key,
            "shard": incoming.shard,
            "units": incoming.units,
            "notes": dict(request.annotations),
        }
