"""Operators' scripts whose hooks don't return, fail, or return what they should not."""

import asyncio
import gc
import signal
import time
import weakref
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from tests.front_processes import (
    FakeServers,
    call_served,
    read_request,
    run_on_uvloop,
    running_process,
    wait_until,
)
from umberlead.common.counters import Counters
from umberlead.configuration import ConfigError
from umberlead.plugins import PluginHooks
from umberlead.plugins.hooks import DEFAULT_MAX_GROWTH_BYTES
from umberlead.requests.types import Answer, AnswerKind, IncomingRequest, InFlightRequest
from umberlead.scheduling.events import AttemptResult

HOOK_TIMEOUT_US = 100_000
LONG_TIMEOUT_US = 5_000_000  # for hooks that fail by themselves
BOUND_SECONDS = 1.0  # of a hook that is abandoned after 2 x 100 ms, on a busy machine
HOOKS = ("request_taken(request)", "outcome(request, outcome)", "answer(request, answer)")
# Bodies of hooks that never return; most catch what is raised in them. A loop of jumps alone can't, as no
# handler covers it.
ENDLESS = {
    "loop": "while True: pass",
    "retries": "while True:\n try:\n  while True: sum(range(9))\n except BaseException: pass",
    "finally": "try:\n while True: sum(range(9))\nfinally:\n while True: sum(range(9))",
    "sleep": "import time\nwhile True:\n try: time.sleep(60)\n except BaseException: pass",
    "lock": (
        "import threading\nlock = threading.Lock()\nlock.acquire()\nwhile True:\n"
        " try: lock.acquire()\n except BaseException: pass"
    ),
    "receive": (
        "import socket\na, b = socket.socketpair()\nwhile True:\n try: a.recv(1)\n except BaseException: pass"
    ),
    "read": "import os\nos.read(os.pipe()[0], 1)",
    "regular expression": (
        'import re\nwhile True:\n try: re.match("(a+)+$", "a" * 60 + "b")\n except BaseException: pass'
    ),
    "power": "while True:\n try: 10 ** (10 ** 9)\n except BaseException: pass",
    "comparison": (
        "class Key:\n def __lt__(self, other):\n  while True:\n   try:\n    while True: sum(range(9))\n"
        "   except BaseException: pass\nsorted([Key(), Key()])"
    ),
    "finalizer": "class Last:\n def __del__(self):\n  while True: pass\nLast()",
    "generator": "def numbers():\n while True: yield 0\nsum(numbers())",
}


@pytest.fixture(autouse=True)
def restored_alarm() -> Iterator[None]:
    handler = signal.getsignal(signal.SIGALRM)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0)
    signal.signal(signal.SIGALRM, handler)


def indented(body: str) -> str:
    return "".join(f"    {line}\n" for line in body.splitlines())


def script(hook: str, body: str) -> str:
    return f"API = 1\ndef {hook}:\n{indented(body)}"


class LoadedScripts:
    """The hooks of scripts, with what was logged and counted."""

    def __init__(
        self,
        folder: Path,
        *sources: str,
        timeout_us: int = HOOK_TIMEOUT_US,
        max_growth_bytes: int = DEFAULT_MAX_GROWTH_BYTES,
    ) -> None:
        paths = [folder / f"script{number}.py" for number in range(len(sources))]
        for path, source in zip(paths, sources, strict=True):
            path.write_text(source)
        self.counters = Counters()
        self.log: list[dict[str, Any]] = []
        self.hooks = PluginHooks(
            tuple(paths),
            timeout_us,
            self.counters,
            lambda event, **fields: self.log.append(fields),
            max_growth_bytes=max_growth_bytes,
        )
        incoming = mock.Mock(spec=IncomingRequest, class_name="read", plan="gold", volume="v")
        incoming.key, incoming.shard, incoming.units = "k", 0, 1.0
        self.request = InFlightRequest(incoming, mock.Mock(), id="r1")

    def call_all(self) -> str | None:
        """Call each hook once, and return the reason why the request is rejected."""
        reason = self.hooks.on_request(self.request)
        self.hooks.on_outcome(self.request, "n0", AttemptResult.OK, 5)
        self.hooks.on_answer(self.request, Answer(AnswerKind.SERVED))
        return reason


# Guards against a hook that never returns, and with it the whole front.
@pytest.mark.parametrize("hook", HOOKS, ids=[hook.partition("(")[0] for hook in HOOKS])
@pytest.mark.parametrize("body", ENDLESS.values(), ids=ENDLESS.keys())
def test_hook_that_does_not_return_is_abandoned_and_disabled(tmp_path: Path, hook: str, body: str) -> None:
    scripts = LoadedScripts(tmp_path, script(hook, body), script(HOOKS[0], 'return {"seen": "yes"}'))
    started = time.monotonic()
    scripts.call_all()
    assert time.monotonic() - started < BOUND_SECONDS
    name = hook.partition("(")[0]
    assert scripts.log == [{"plugin": "script0", "hook": name, "reason": "overrun"}]
    assert scripts.request.annotations == {"seen": "yes"}
    scripts.call_all()
    assert scripts.counters.report()["plugins_disabled"] == 1


# Leaves reference cycles whose finalizers never return, with enough objects for many collections.
CYCLES_BODY = (
    "class Last:\n def __del__(self):\n  while True: pass\n"
    "kept = []\nwhile True:\n last = Last()\n last.itself = last\n del last\n kept.append([])"
)


# Guards against a hook that is abandoned within a collection, after which no garbage is collected any more,
# and against a collection that never ends as it calls finalizers of a script that is disabled.
@pytest.mark.parametrize("hook", HOOKS, ids=[hook.partition("(")[0] for hook in HOOKS])
@pytest.mark.parametrize("max_growth_bytes", [8 << 20, 1 << 30], ids=["out of memory", "abandoned"])
def test_garbage_is_collected_after_a_script_is_disabled(
    tmp_path: Path, hook: str, max_growth_bytes: int
) -> None:
    scripts = LoadedScripts(tmp_path, script(hook, CYCLES_BODY), max_growth_bytes=max_growth_bytes)
    scripts.call_all()
    assert scripts.counters.report()["plugins_disabled"] == 1
    cycle = LoadedScripts(tmp_path)
    cycle.log.append({"itself": cycle})
    reference = weakref.ref(cycle)
    del cycle
    gc.collect()
    assert gc.isenabled() and reference() is None


# Guards against a start that hangs, or ends without a message, in a script's own code.
@pytest.mark.parametrize("body", [ENDLESS["retries"], ENDLESS["sleep"]], ids=["retries", "sleep"])
def test_script_that_does_not_end_is_an_error_that_names_its_key(tmp_path: Path, body: str) -> None:
    with (
        mock.patch("umberlead.plugins.script.LOAD_TIMEOUT_US", 50_000),
        pytest.raises(ConfigError, match=r"plugins.scripts.0: script0.py did not load within"),
    ):
        LoadedScripts(tmp_path, f"{body}\nAPI = 1\n")


# Values that a script may return, whose methods fail or don't return, with what is logged.
BROKEN_VALUES = {
    "text method that loops": (
        "class Text:\n def __str__(self):\n  while True: pass\nreturn {'note': Text()}",
        "overrun",
    ),
    "text method that fails": (
        "class Text:\n def __str__(self): raise ValueError('no text')\nreturn {'note': Text()}",
        "ValueError('no text')",
    ),
    "number too long for text": ("return {'note': 10 ** 5000}", "ValueError("),
    "class that fails": (
        "class Odd:\n @property\n def __class__(self): raise ValueError('no class')\nreturn Odd()",
        "ValueError('no class')",
    ),
    "another type": ("return 5", "answered int"),
    "exception without a text": (
        "class Odd(Exception):\n def __repr__(self): raise ValueError\nraise Odd",
        "Odd",
    ),
}


# Guards against a request without an answer because of what a hook has returned or raised.
@pytest.mark.parametrize(("body", "reason"), BROKEN_VALUES.values(), ids=BROKEN_VALUES.keys())
def test_broken_return_value_disables_the_script(tmp_path: Path, body: str, reason: str) -> None:
    scripts = LoadedScripts(tmp_path, script(HOOKS[0], body))
    assert scripts.call_all() is None
    assert [fields["reason"].startswith(reason) for fields in scripts.log] == [True]


# Guards against a response that can't be encoded.
def test_reason_and_annotations_are_text_that_can_be_sent(tmp_path: Path) -> None:
    class_of_text = "class Text(str):\n def __str__(self): return self\n"
    scripts = LoadedScripts(
        tmp_path, script(HOOKS[0], class_of_text + "return Text('a' * 300 + chr(0xd800))")
    )
    reason = scripts.call_all()
    assert reason == "a" * 256 and type(reason) is str
    scripts = LoadedScripts(tmp_path, script(HOOKS[0], "return {chr(0xd800): chr(0xdfff)}"))
    scripts.call_all()
    assert scripts.request.annotations == {"?": "?"}


# Bodies of hooks that would end the process or change it, with what is logged.
HARMFUL = {
    "exit": ("import sys\nsys.exit('no catalogue')", "SystemExit('no catalogue')"),
    "interrupt": ("raise KeyboardInterrupt", "KeyboardInterrupt()"),
    "generator exit": ("raise GeneratorExit", "GeneratorExit()"),
    "cancellation": ("import asyncio\nraise asyncio.CancelledError", "CancelledError()"),
    "greenlet exit": ("import greenlet\nraise greenlet.GreenletExit", "GreenletExit()"),
    "recursion": ("def again(): again()\nagain()", "RecursionError("),
    "memory": ("bytearray(1 << 60)", "MemoryError()"),
    "growing list": ("import itertools\nlist(itertools.count())", "MemoryError()"),
    "growing text": ("kept = []\nwhile True: kept.append('x' * (1 << 20))", "MemoryError()"),
    "exit at once": ("import os\nos._exit(3)", "called os._exit"),
    "built-in exit": ("import posix\nposix._exit(3)", "called posix._exit"),
    "caught exit": ("import os\ntry: os._exit(3)\nexcept Exception: pass", "called os._exit"),
    "abort": ("import os\nos.abort()", "called os.abort"),
    "kill": ("import os, signal\nos.kill(os.getpid(), signal.SIGKILL)", "called os.kill"),
    "signal": ("import signal\nsignal.raise_signal(signal.SIGKILL)", "called signal.raise_signal"),
    "alarm": ("import signal\nsignal.alarm(1)", "called signal.alarm"),
    "blocked alarm": (
        "import signal\nsignal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGALRM})",
        "called signal.pthread_sigmask",
    ),
    "handler": ("import signal\nsignal.signal(signal.SIGALRM, signal.SIG_DFL)", "called signal.signal"),
    "timer": ("import signal\nsignal.setitimer(signal.ITIMER_REAL, 0)", "called signal.setitimer"),
    "thread": ("import threading\nthreading.Thread(target=print).start()", "called threading."),
    "fork": ("import os\nif not os.fork(): os._exit(0)", "called os.fork"),
    "program": ("import subprocess\nsubprocess.run(['true'])", "called subprocess."),
    "end of the process": ("import atexit\natexit.register(print)", "called atexit.register"),
    "collection": ("import gc\ngc.collect()", "called gc.collect"),
    "tracing": ("import sys\nsys.settrace(print)", "called sys.settrace"),
    "profile": ("import sys\nsys.setprofile(print)", "called sys.setprofile"),
    "running loop": ("import asyncio\nasyncio.get_running_loop().stop()", "RuntimeError("),
}


# Guards against a hook that ends the process, or changes what the whole process relies on.
@pytest.mark.parametrize(("body", "reason"), HARMFUL.values(), ids=HARMFUL.keys())
def test_hook_that_acts_on_the_whole_process_is_disabled(tmp_path: Path, body: str, reason: str) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        for hook in HOOKS:
            scripts = LoadedScripts(tmp_path, script(hook, body), timeout_us=LONG_TIMEOUT_US)
            assert scripts.call_all() is None
            assert len(scripts.log) == 1 and scripts.log[0]["reason"].startswith(reason), scripts.log
            assert asyncio.get_running_loop() is loop

    asyncio.run(test())


# Guards against a start that ends without a message, or as if it had succeeded.
@pytest.mark.parametrize("body", ["raise SystemExit(0)", "import os\nos._exit(0)", "raise KeyboardInterrupt"])
def test_script_that_exits_as_it_loads_is_an_error_that_names_its_key(tmp_path: Path, body: str) -> None:
    with pytest.raises(ConfigError, match=r"plugins.scripts.0: script0.py failed to load: "):
        LoadedScripts(tmp_path, f"{body}\nAPI = 1\n")


REQUESTS_COUNT = 240
REQUEST_INTERVAL_SECONDS = 1 / 240
BROKEN_AFTER_COUNT = 40  # calls of the hook


# Guards against requests without an answer, and a process that can't end, once a hook is abandoned.
@pytest.mark.parametrize("kind", ["retries", "sleep", "regular expression"])
def test_front_serves_all_requests_while_a_hook_never_returns(tmp_path: Path, kind: str) -> None:
    body = f"global calls\ncalls += 1\nif calls > {BROKEN_AFTER_COUNT}:\n{indented(ENDLESS[kind])}"
    check_front_with_script(tmp_path, "calls = 0\n" + script(HOOKS[0], body))


# Guards against a process that ends with the hook, and takes the requests under way with it.
@pytest.mark.parametrize("kind", ["exit", "exit at once", "kill", "interrupt", "growing list"])
@pytest.mark.parametrize("hook", HOOKS, ids=[hook.partition("(")[0] for hook in HOOKS])
def test_front_serves_all_requests_while_a_hook_tries_to_end_it(tmp_path: Path, kind: str, hook: str) -> None:
    body = f"global calls\ncalls += 1\nif calls > {BROKEN_AFTER_COUNT}:\n{indented(HARMFUL[kind][0])}"
    check_front_with_script(tmp_path, "calls = 0\n" + script(hook, body))


def check_front_with_script(folder: Path, source: str) -> None:
    """Check that a process with the script serves each request, disables the script, and ends in order."""

    async def test() -> None:
        (folder / "broken.py").write_text(source)
        async with FakeServers().listen() as (node, _):
            with running_process(folder / "front", 256, 256, node, extra=PLUGINS_TABLE) as front:
                await front.until("limits")
                address = front.address("listening")
                calls = []
                for number in range(REQUESTS_COUNT):
                    calls.append(asyncio.create_task(call_served(address, *read_request(f"r{number}"))))
                    await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
                await asyncio.gather(*calls)
                counters = await front.counters()
                assert (counters["plugins_disabled"], counters["requests_served"]) == (1, REQUESTS_COUNT)
                assert front.logged("plugin_disabled")[0]["plugin"] == "broken"
                front.child.terminate()
                await wait_until(lambda: front.child.poll() is not None, front.log.read_text)
                assert front.child.returncode == 0

    run_on_uvloop(test())


PLUGINS_TABLE = '[plugins]\nscripts = ["../broken.py"]\nlimit_ms = 20\n'
