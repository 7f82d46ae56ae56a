"""A start: what it loads, and that it ends in time whatever discovery does."""

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import uvloop

from tests.exchange import PATIENCE
from umberlead import configuration
from umberlead.daemon.process import FrontProcess

ROOT = Path(__file__).resolve().parent.parent
# Modules of the deploy file's folders that the platform's front has no use for.
OBJECT_API = ROOT / "umberlead" / "frontends" / "object_api"
OTHERS = {"umberlead.frontends.object_api"}
OTHERS |= {f"umberlead.frontends.object_api.{path.stem}" for path in OBJECT_API.glob("*.py")}
LIBRARIES = {"uvloop", "httptools", "structlog"}
# As on the platform, where structlog finds no rich. The interpreter's looks for garbage are lines too.
BEGIN = """
import gc, runpy, sys
sys.modules["rich"] = None
gc.callbacks.append(lambda phase, _: phase == "start" and print("collection", file=sys.stderr))
runpy.run_module("umberlead", run_name="__main__")
"""
ANSWER = b"HTTP/1.1 %s\r\nConnection: close\r\n\r\n"
LIST = b'{"index":1,"snapshot":true,"endpoints":[]}\n'


def told(folder: Path, discovery: str, lists: str = "push", fronts: int = 3) -> dict[str, str]:
    """The platform's environment for a front."""
    file = folder / "config.json"
    grade = {"name": "read", "aim": 1_000_000, "hardLimit": 2_000_000, "effect": "idempotent"}
    settings = {"instances": fronts, "discovery": lists, "grades": [grade], "plans": [{"name": "gold"}]}
    known = [{"name": "n0", "address": "127.0.0.1:9", "group": 0}]
    file.write_text(json.dumps({"settings": settings, "known": {"endpoints": known}}))
    return {
        "EDGE_CONFIG": str(file),
        "EDGE_NAME": "f",
        "EDGE_LISTEN": "127.0.0.1:0",
        "EDGE_DISCOVERY": discovery,
        "TMPDIR": str(folder),
    }


def test_a_front_of_the_platform_loads_nothing_that_only_others_need(tmp_path: Path) -> None:
    with socket.socket() as refusing:  # bound, and not listening
        refusing.bind(("127.0.0.1", 0))
        env = os.environ | told(tmp_path, f"127.0.0.1:{refusing.getsockname()[1]}")
        env.pop("UMBERLEAD_CONFIG", None)
        call = [sys.executable, "-B", "-X", "importtime", "-c", BEGIN]
        process = subprocess.Popen(call, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
        assert process.stderr is not None
        lines: list[str] = []
        try:
            while not lines or " started " not in lines[-1]:
                lines.append(process.stderr.readline())
                assert lines[-1], lines
        finally:
            process.kill()
            process.communicate()
    loaded = {line.split("|")[-1].strip() for line in lines if line.startswith("import time:")}
    assert {"umberlead.daemon.process", "umberlead.frontends.platform", *LIBRARIES} <= loaded
    assert "tomllib" not in loaded  # its configuration is JSON
    own = {name for name in loaded if name.startswith("umberlead.")}
    paths = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["node"]
    parts = [path.removesuffix(".py").replace("/", ".") for path in paths]
    assert own & OTHERS == set()
    assert [
        o for o in own if not any(f"{p}.".startswith(f"{o}.") or o.startswith(f"{p}.") for p in parts)
    ] == []
    # The venv's own start may load setuptools' hook.
    installed = set(packages_distributions()) - LIBRARIES - {"umberlead", "_distutils_hack", "rich"}
    assert {name.partition(".")[0] for name in loaded} & installed == set()
    stages = dict(re.findall(r' (\w+)="(\d+)"', lines[-1]))
    assert list(stages) == ["cpu", "began", "imports", "configuration", "parts", "list", "listeners"]
    assert sum(line.startswith("collection") for line in lines) < 5


class Discovery(asyncio.Protocol):
    """Answers a call at once with `answer`; where that is empty, not before it is told to."""

    def __init__(self, answer: bytes, calls: list["Discovery"]) -> None:
        self.answer, self.calls = answer, calls

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(self.answer)
        self.calls.append(self)


class Start:
    """A front that starts on real sockets, on a clock that moves by hand alone."""

    def __init__(self, env: dict[str, str]) -> None:
        self.now = 1_000_000_000
        with (
            mock.patch("umberlead.daemon.assembly.unix_anchored_clock", lambda: lambda: self.now),
            mock.patch("umberlead.daemon.assembly.descriptors_and_memory_in_use", lambda: (4, 0)),
        ):
            self.front = FrontProcess(configuration.load(env), asyncio.get_running_loop())
        self.task = asyncio.create_task(self.front.run())

    async def until(self, what: Any) -> None:
        end = asyncio.get_running_loop().time() + PATIENCE
        while not what():
            assert asyncio.get_running_loop().time() < end, self.front.counters.report()
            if self.task.done():
                self.task.result()
            await asyncio.sleep(0.001)

    async def move(self, us: int) -> None:
        self.now += us
        self.front.wheel.fire_due()
        for _ in range(10):  # what that sets in motion comes some turns later
            await asyncio.sleep(0)

    async def ready(self) -> None:
        await self.until(lambda: self.front.listeners)
        reader, writer = await asyncio.open_connection(*self.front.listeners[0].address)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")
        said = await asyncio.wait_for(reader.read(), PATIENCE)
        assert said.startswith(b"HTTP/1.1 200 "), said
        writer.close()

    async def end(self) -> None:
        self.task.cancel()
        await asyncio.wait([self.task])
        self.front.release_resources()


WAYS: dict[
    str, tuple[bytes | None, int]
] = {  # how discovery takes a call, and from when on the front answers, in us since its start
    "up": (ANSWER % b"200 OK" + LIST, 0),
    "late": (b"", 300_000),
    "hung": (b"", 400_000),
    "no": (ANSWER % b"503 Service Unavailable", 400_000),
    "refused": (None, 400_000),
    "full": (None, 400_000),  # connections don't come up
}


@pytest.mark.parametrize("way", WAYS)
def test_a_start_waits_for_the_list_and_no_longer_than_400_ms(tmp_path: Path, way: str) -> None:
    answer, from_ = WAYS[way]

    async def test() -> None:
        loop, calls = asyncio.get_running_loop(), list[Discovery]()
        with socket.socket() as listener, socket.socket() as other:
            listener.bind(("127.0.0.1", 0))
            server = None
            if answer is not None:
                server = await loop.create_server(lambda: Discovery(answer, calls), sock=listener)
            elif way == "full":
                listener.listen(0)
                other.connect(listener.getsockname())  # its only place is taken
            start = Start(told(tmp_path, f"127.0.0.1:{listener.getsockname()[1]}"))
            front = start.front
            try:
                # called, or refused already: a watch that broke has no stream
                await start.until(
                    lambda: front.discovery_watch
                    and (front.discovery_watch.stream or front.counters["discovery_breaks"])
                )
                if way != "full":
                    await start.until(lambda: calls or front.counters["discovery_breaks"])
                if from_:
                    await start.move(from_ - 2000)  # a tick before
                    assert not front.listeners
                    if way == "late":
                        calls[0].transport.write(ANSWER % b"200 OK" + LIST)
                    else:
                        await start.move(2000)
                await start.ready()
            finally:
                await start.end()
                if server is not None:
                    server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test())


def test_a_start_waits_for_no_list_of_a_service_that_a_large_fleet_calls(tmp_path: Path) -> None:
    """Its first call may be due seconds later."""

    async def test() -> None:
        start = Start(told(tmp_path, "127.0.0.1:9", "ask", 200))
        try:
            await start.ready()
        finally:
            await start.end()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test())
