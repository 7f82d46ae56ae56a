"""Operators' plug-ins: Python scripts with hooks on a request's way. They never send attempts and can't undo
a rule: they see copies, and the engine decides what becomes of their word.

Version 1 of the interface. A script sets `API = 1` and defines any of

    request_taken(request)  -> None to pass, a dict of notes to annotate, or a string: refuse, for that reason
    outcome(request, outcome)
    answer(request, answer)

where each argument is a dict of plain values. A hook that raises, answers something else or runs longer than
`plugins.limit_ms` is logged and counted, and its script is disabled."""

import signal
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from umberlead.common.counters import Counters
from umberlead.config import ConfigError
from umberlead.requests.types import Answer, InFlightRequest
from umberlead.scheduling.events import AttemptResult

API_VERSION = 1
HOOK_NAMES = ("request_taken", "outcome", "answer")
MAX_ANNOTATIONS_COUNT, MAX_ANNOTATION_SIZE = 16, 256


class HookTimeoutError(Exception):
    """The hook ran too long."""


class Plugin:
    def __init__(self, path: Path, key: str) -> None:
        self.name, self.enabled = path.stem, True
        space: dict[str, Any] = {"__name__": f"umberlead_plugin_{path.stem}", "__file__": str(path)}
        try:
            exec(compile(path.read_text(), str(path), "exec"), space)
        except Exception as fault:
            raise ConfigError(key, f"{path.name} does not load: {type(fault).__name__}: {fault}") from None
        if space.get("API") != API_VERSION:
            raise ConfigError(key, f"{path.name} must set API = {API_VERSION}")
        self.hooks: dict[str, Callable[..., Any]] = {
            h: space[h] for h in HOOK_NAMES if callable(space.get(h))
        }


class PluginHooks:
    """The engine's hooks, handed on to every script that is still enabled, in the order they are named."""

    def __init__(
        self,
        paths: tuple[Path, ...],
        hook_timeout_us: int,
        counters: Counters,
        log: Callable[..., Any],
        trace_log: Callable[..., Any] | None = None,
    ) -> None:
        self.trace_log = trace_log  # where every answer is told, with the notes that scripts made
        self.hook_timeout_us, self.counters, self.log = hook_timeout_us, counters, log
        self.plugins = [Plugin(p, f"plugins.scripts.{n}") for n, p in enumerate(paths)]
        self._in_hook = False
        if self.plugins:  # the alarm stops a hook that would never end
            signal.signal(signal.SIGALRM, self._on_alarm)

    def _on_alarm(self, _signal: int, _frame: FrameType | None) -> None:
        if self._in_hook:
            raise HookTimeoutError

    def _run_hook(self, plugin: Plugin, hook: str, *args: Any) -> Any:
        what = plugin.hooks.get(hook)
        if what is None or not plugin.enabled:
            return None
        began = time.monotonic_ns()
        try:
            self._in_hook = True
            signal.setitimer(signal.ITIMER_REAL, self.hook_timeout_us * 2 / 1e6)
            try:
                got = what(*args)
            finally:
                self._in_hook = False
                signal.setitimer(signal.ITIMER_REAL, 0)
            if (time.monotonic_ns() - began) // 1000 > self.hook_timeout_us:
                raise HookTimeoutError
            return got
        except Exception as fault:
            self._disable(plugin, hook, "overrun" if isinstance(fault, HookTimeoutError) else repr(fault))
            return None

    def _disable(self, plugin: Plugin, hook: str, why: str) -> None:
        plugin.enabled = False
        self.counters.add("plugins_disabled")
        self.log("plugin_disabled", plugin=plugin.name, hook=hook, why=why)

    @staticmethod
    def _describe_request(request: InFlightRequest) -> dict[str, Any]:
        ask = request.request
        return {
            "id": request.id,
            "class": ask.class_name,
            "plan": ask.plan,
            "volume": ask.volume,
            "key": ask.key,
            "shard": ask.shard,
            "units": ask.units,
            "notes": dict(request.annotations),
        }

    def on_request(self, request: InFlightRequest) -> str | None:
        for plugin in self.plugins:
            got = self._run_hook(plugin, "request_taken", self._describe_request(request))
            if isinstance(got, str):
                self.counters.add("requests_refused_by_plugin")
                return got[:MAX_ANNOTATION_SIZE] or "refused by a plug-in"
            if isinstance(got, dict):
                for key, value in list(got.items())[:MAX_ANNOTATIONS_COUNT]:
                    request.annotations[str(key)[:MAX_ANNOTATION_SIZE]] = str(value)[:MAX_ANNOTATION_SIZE]
            elif got is not None:
                self._disable(plugin, "request_taken", f"answered {type(got).__name__}")
        return None

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        for plugin in self.plugins:
            told = {
                "node": endpoint,
                "result": result.value,
                "elapsed_us": elapsed_us,
                "attempt": request.attempt_count - 1,
            }
            self._run_hook(plugin, "outcome", self._describe_request(request), told)

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        for plugin in self.plugins:
            told = {"kind": answer.kind.value, "reason": answer.reason, "attempts": request.attempt_count}
            self._run_hook(plugin, "answer", self._describe_request(request), told)
        if self.trace_log is not None:
            ask = request.request
            self.trace_log(
                "answered",
                id=request.id,
                cls=ask.class_name,
                plan=ask.plan,
                kind=answer.kind.value,
                attempts=request.attempt_count,
                **{f"note_{k}": v for k, v in request.annotations.items()},
            )
