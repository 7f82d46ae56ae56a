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
from umberlead.scheduling.interface import Result

API = 1
HOOKS = ("request_taken", "outcome", "answer")
NOTES_MOST, NOTE_LONG = 16, 256


class Overrun(Exception):
    """The hook ran too long."""


class Plugin:
    def __init__(self, path: Path, key: str) -> None:
        self.name, self.on = path.stem, True
        space: dict[str, Any] = {"__name__": f"umberlead_plugin_{path.stem}", "__file__": str(path)}
        try:
            exec(compile(path.read_text(), str(path), "exec"), space)
        except Exception as fault:
            raise ConfigError(key, f"{path.name} does not load: {type(fault).__name__}: {fault}") from None
        if space.get("API") != API:
            raise ConfigError(key, f"{path.name} must set API = {API}")
        self.hooks: dict[str, Callable[..., Any]] = {h: space[h] for h in HOOKS if callable(space.get(h))}


class Plugins:
    """The engine's hooks, handed on to every script that is still enabled, in the order they are named."""

    def __init__(
        self,
        paths: tuple[Path, ...],
        limit: int,
        counters: Counters,
        log: Callable[..., Any],
        trace: Callable[..., Any] | None = None,
    ) -> None:
        self.trace = trace  # where every answer is told, with the notes that scripts made
        self.limit, self.counters, self.log = limit, counters, log
        self.plugins = [Plugin(p, f"plugins.scripts.{n}") for n, p in enumerate(paths)]
        self._in_hook = False
        if self.plugins:  # the alarm stops a hook that would never end
            signal.signal(signal.SIGALRM, self._alarm)

    def _alarm(self, _signal: int, _frame: FrameType | None) -> None:
        if self._in_hook:
            raise Overrun

    def _call(self, plugin: Plugin, hook: str, *args: Any) -> Any:
        what = plugin.hooks.get(hook)
        if what is None or not plugin.on:
            return None
        began = time.monotonic_ns()
        try:
            self._in_hook = True
            signal.setitimer(signal.ITIMER_REAL, self.limit * 2 / 1e6)
            try:
                got = what(*args)
            finally:
                self._in_hook = False
                signal.setitimer(signal.ITIMER_REAL, 0)
            if (time.monotonic_ns() - began) // 1000 > self.limit:
                raise Overrun
            return got
        except Exception as fault:
            self._disable(plugin, hook, "overrun" if isinstance(fault, Overrun) else repr(fault))
            return None

    def _disable(self, plugin: Plugin, hook: str, why: str) -> None:
        plugin.on = False
        self.counters.add("plugins_disabled")
        self.log("plugin_disabled", plugin=plugin.name, hook=hook, why=why)

    @staticmethod
    def _request(ticket: InFlightRequest) -> dict[str, Any]:
        ask = ticket.ask
        return {
            "id": ticket.id, "class": ask.class_name, "plan": ask.plan, "volume": ask.volume, "key": ask.key,
            "shard": ask.shard, "units": ask.units, "notes": dict(ticket.notes),
        }  # fmt: skip

    def taken(self, ticket: InFlightRequest) -> str | None:
        for plugin in self.plugins:
            got = self._call(plugin, "request_taken", self._request(ticket))
            if isinstance(got, str):
                self.counters.add("requests_refused_by_plugin")
                return got[:NOTE_LONG] or "refused by a plug-in"
            if isinstance(got, dict):
                for key, value in list(got.items())[:NOTES_MOST]:
                    ticket.notes[str(key)[:NOTE_LONG]] = str(value)[:NOTE_LONG]
            elif got is not None:
                self._disable(plugin, "request_taken", f"answered {type(got).__name__}")
        return None

    def outcome(self, ticket: InFlightRequest, node: str, result: Result, elapsed: int) -> None:
        for plugin in self.plugins:
            told = {"node": node, "result": result.value, "elapsed_us": elapsed, "attempt": ticket.tries - 1}
            self._call(plugin, "outcome", self._request(ticket), told)

    def answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        for plugin in self.plugins:
            told = {"kind": answer.kind.value, "reason": answer.reason, "attempts": ticket.tries}
            self._call(plugin, "answer", self._request(ticket), told)
        if self.trace is not None:
            ask = ticket.ask
            self.trace(
                "answered", id=ticket.id, cls=ask.class_name, plan=ask.plan, kind=answer.kind.value,
                attempts=ticket.tries, **{f"note_{k}": v for k, v in ticket.notes.items()},
            )  # fmt: skip
