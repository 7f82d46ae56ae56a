"""Calls the hooks of operators' scripts, and turns what they return into plain values."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from umberlead.common.counters import Counters
from umberlead.plugins.interface import (
    ANSWER_HOOK,
    OUTCOME_HOOK,
    REQUEST_HOOK,
    CallFailedError,
    CallTimeoutError,
)
from umberlead.requests.types import Answer, InFlightRequest
from umberlead.scheduling.events import AttemptResult

if TYPE_CHECKING:  # at run time imported only by fronts whose configuration names scripts
    from umberlead.plugins.interruptible_call import InterruptibleCaller
    from umberlead.plugins.script import Plugin

T = TypeVar("T")

MAX_ANNOTATIONS_COUNT = 16  # in one hook's return value
MAX_ANNOTATION_SIZE = 256  # characters, of a name, a value or a reason
ALARM_TIMEOUT_FACTOR = 2  # a hook that still runs after this multiple of its timeout is abandoned
DEFAULT_MAX_GROWTH_BYTES = 8 << 20
DEFAULT_REASON = "refused by a plug-in"


@dataclass(frozen=True, slots=True)
class RequestVerdict:
    """What a script's hook for requests has returned, as plain values.

    Attributes:
        reason: why the request is rejected; None if it is not.
        annotations: the annotations of the request.
        wrong_type: the type that was returned, if it is none of the interface; else None.
    """

    reason: str | None = None
    annotations: dict[str, str] = field(default_factory=dict)
    wrong_type: str | None = None


def _plain_text(value: object) -> str:
    """Return a value as text of limited length that UTF-8 can encode; a script's types may fail here."""
    text = str.__str__(str(value))[:MAX_ANNOTATION_SIZE]
    return text.encode("utf-8", "replace").decode("utf-8")


def parse_verdict(returned: object) -> RequestVerdict:
    """Return the verdict of a hook for requests; may run code of the script's types, which may fail."""
    if returned is None:
        return RequestVerdict()
    if isinstance(returned, str):
        return RequestVerdict(reason=_plain_text(returned) or DEFAULT_REASON)
    if isinstance(returned, dict):
        items = islice(dict.items(returned), MAX_ANNOTATIONS_COUNT)
        return RequestVerdict(annotations={_plain_text(name): _plain_text(value) for name, value in items})
    return RequestVerdict(wrong_type=type(returned).__name__)


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
        max_growth_bytes: int = DEFAULT_MAX_GROWTH_BYTES,
    ) -> None:
        """Load the scripts.

        Args:
            paths: the scripts' files.
            hook_timeout_us: how long a hook may run, in microseconds.
            counters: count rejections and disabled scripts.
            log: called when a script is disabled.
            trace_log: called for each answer with the scripts' annotations; None for no trace.
            max_growth_bytes: by how much the process may grow during a call of a script.

        Raises:
            ConfigError: a script failed to load.
        """
        self.trace_log = trace_log
        self.hook_timeout_us = hook_timeout_us
        self.counters = counters
        self.log = log
        self.plugins: list[Plugin] = []
        self._caller: InterruptibleCaller | None = None
        if paths:
            self._load(paths, max_growth_bytes)

    def _load(self, paths: tuple[Path, ...], max_growth_bytes: int) -> None:
        from umberlead.plugins.interruptible_call import InterruptibleCaller
        from umberlead.plugins.script import Plugin

        caller = InterruptibleCaller(max_growth_bytes)
        self.plugins = [
            Plugin(path, f"plugins.scripts.{number}", caller) for number, path in enumerate(paths)
        ]
        self._caller = caller

    def on_request(self, request: InFlightRequest) -> str | None:
        """Let the scripts annotate or reject a request; return the reason if one rejects it."""
        for plugin in self.plugins:
            verdict = self._run_hook(
                plugin,
                REQUEST_HOOK,
                lambda hook: parse_verdict(hook(self._describe_request(request))),
            )
            if verdict is None:
                continue
            if verdict.reason is not None:
                self.counters.add("requests_refused_by_plugin")
                return verdict.reason
            if verdict.wrong_type is not None:
                self._disable(plugin, REQUEST_HOOK, f"answered {verdict.wrong_type}")
            request.annotations.update(verdict.annotations)
        return None

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Pass the outcome of an attempt to the scripts."""

        def call(hook: Callable[..., object]) -> None:
            """Call a hook for outcomes."""
            outcome = {
                "node": endpoint,
                "result": result.value,
                "elapsed_us": elapsed_us,
                "attempt": request.attempt_count - 1,
            }
            hook(self._describe_request(request), outcome)

        for plugin in self.plugins:
            self._run_hook(plugin, OUTCOME_HOOK, call)

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        """Pass a request's final answer to the scripts, and log it if answers are traced."""

        def call(hook: Callable[..., object]) -> None:
            """Call a hook for answers."""
            answer_fields = {
                "kind": answer.kind.value,
                "reason": answer.reason,
                "attempts": request.attempt_count,
            }
            hook(self._describe_request(request), answer_fields)

        for plugin in self.plugins:
            self._run_hook(plugin, ANSWER_HOOK, call)
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

    def _run_hook(
        self, plugin: "Plugin", hook_name: str, call: Callable[[Callable[..., Any]], T]
    ) -> T | None:
        """Run `call` with a script's hook and return its value; disable the script if that fails.

        All that touches the script's objects, also arguments that it may have changed, is done within `call`.

        Returns:
            None if the script has no such hook, is disabled, or has failed now.
        """
        hook = plugin.hooks.get(hook_name)
        if hook is None or not plugin.enabled or self._caller is None:
            return None
        started_ns = time.monotonic_ns()
        try:
            returned = self._caller.call(lambda: call(hook), self.hook_timeout_us * ALARM_TIMEOUT_FACTOR)
            if (time.monotonic_ns() - started_ns) // 1000 > self.hook_timeout_us:
                raise CallTimeoutError
        except CallTimeoutError:
            self._disable(plugin, hook_name, "overrun")
        except CallFailedError as error:
            self._disable(plugin, hook_name, str(error))
        else:
            return returned
        return None

    def _disable(self, plugin: "Plugin", hook_name: str, reason: str) -> None:
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
