"""Complete fronts as processes with a limit on descriptors, and test doubles for endpoints and discovery."""

import asyncio
import contextlib
import os
import re
import resource
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 30.0  # seconds until a wait fails


async def wait_until(done: Callable[[], object], why: Callable[[], object] = str) -> None:
    end = time.monotonic() + PATIENCE
    while not done():
        assert time.monotonic() < end, why()
        await asyncio.sleep(0.005)


def run_on_uvloop(test: Any) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test)


CONFIG_TEXT = """
name = "f"
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
state = "../state"
{discovery}
[limits]
sockets = {sockets}
memory_mb = 64
[known]
endpoints = [{endpoints}]
[settings]
bounds = {{ maxAttempts = 3, dialTimeout = 250000 }}
extra = {{ nShards = 1, maxUnits = 6, meanUnits = 2 }}
plans = [{{ name = "gold" }}]
[[settings.grades]]
name = "read"
aim = 60000000
hardLimit = 60000000
effect = "idempotent"
"""
LIST_MESSAGE = b'{"index":1,"snapshot":true,"endpoints":[%s]}\n'
ENDPOINT_ENTRY = '{name = "n%d", address = "127.0.0.1:%d", group = 0}'


class FrontUnderLimit:
    """A process of a front with a limit on descriptors (RLIMIT_NOFILE), its log and its counters."""

    def __init__(self, folder: Path, text: str, max_descriptors: int) -> None:
        (folder / "front.toml").write_text(text)
        self.log = folder / "log"
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", "umberlead"],
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"UMBERLEAD_CONFIG": str(folder / "front.toml")},
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
                ),
            )

    def logged(self, event: str) -> list[dict[str, str]]:
        rows = [line for line in self.log.read_text().splitlines() if line.endswith(f"] {event}")]
        return [dict(re.findall(r'(\w+)="([^"]*)"', row)) for row in rows]

    async def until(self, event: str, times: int = 1) -> dict[str, str]:
        await wait_until(
            lambda: len(self.logged(event)) >= times or self.child.poll() is not None, self.log.read_text
        )
        return self.logged(event)[times - 1]

    async def count(self, name: str, minimum: int = 1) -> dict[str, int]:
        """Return all counters once the named one is at least `minimum`."""
        end = time.monotonic() + PATIENCE
        while (got := await self.counters()).get(name, 0) < minimum:
            assert time.monotonic() < end, self.log.read_text()
        return got

    async def counters(self) -> dict[str, int]:
        before = len(self.logged("counters"))
        self.child.send_signal(signal.SIGUSR1)
        got = await self.until("counters", before + 1)
        return {name: int(n) for name, n in got.items() if n.isdigit()}

    async def reload(self) -> None:
        before = len(self.logged("reloaded"))
        self.child.send_signal(signal.SIGHUP)
        await self.until("reloaded", before + 1)

    def address(self, event: str) -> tuple[str, int]:
        host, port = self.logged(event)[0]["address"].split(":")
        return host, int(port)

    def descriptors(self) -> list[int]:
        return sorted(map(int, os.listdir(f"/proc/{self.child.pid}/fd")))


async def call(address: tuple[str, int], line: str, *headers: str) -> bytes:
    """Return the complete response, or no bytes if the connection fails or ends without a response."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = "\r\n".join([f"{line} HTTP/1.1", "Connection: close", *headers, "", ""])
            writer.write(text.encode())
            return await asyncio.wait_for(reader.read(), PATIENCE)
        finally:
            writer.close()
    return b""


async def call_served(address: tuple[str, int], line: str, *headers: str) -> None:
    answer = await call(address, line, *headers)
    assert answer.startswith(b"HTTP/1.1 200"), answer


def read_request(name: str) -> tuple[str, ...]:
    io = "X-IO: volume=b4,units=1,shard=0"
    return "GET /read?block=7f3a9c21e0b4d655", f"X-Call-Id: {name}", "X-Plan: gold", io


class FakeServers:
    """An endpoint and a discovery. The endpoint delays requests that contain `hold` until `release_held` is
    set; discovery answers its watches once `discovery_available` is set."""

    def __init__(self) -> None:
        self.held, self.release_held, self.discovery_available = 0, asyncio.Event(), asyncio.Event()

    async def node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if b"hold" in await reader.readuntil(b"\r\n\r\n"):
                self.held += 1
                await self.release_held.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
        writer.close()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await self.discovery_available.wait()
            writer.write(
                b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LIST_MESSAGE % self.entries.encode()
            )
            await reader.read()
        writer.close()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[tuple[int, int]]:
        node = await asyncio.start_server(self.node, "127.0.0.1", 0)
        discovery = await asyncio.start_server(self.discovery, "127.0.0.1", 0)
        ports = [server.sockets[0].getsockname()[1] for server in (node, discovery)]
        entry = '{"name":"n%d","address":"127.0.0.1:%d","group":0,"status":"ready"}'
        self.entries = ",".join(entry % (n, ports[0]) for n in range(40))
        try:
            yield ports[0], ports[1]
        finally:
            self.release_held.set()
            self.discovery_available.set()
            node.close()
            discovery.close()


@contextlib.contextmanager
def running_process(
    folder: Path, sockets: int, max_descriptors: int, node: int, discovery: int = 0, extra: str = ""
) -> Iterator[FrontUnderLimit]:
    endpoints = ",".join(ENDPOINT_ENTRY % (n, node) for n in range(40))
    line = f'discovery = "127.0.0.1:{discovery}"' if discovery else ""
    folder.mkdir()
    text = CONFIG_TEXT.format(sockets=sockets, discovery=line, endpoints=endpoints)
    front = FrontUnderLimit(folder, text + extra, max_descriptors)
    try:
        yield front
    finally:
        front.child.kill()
        front.child.wait()


async def watch_descriptors(descriptor_counts: list[int], *fronts: FrontUnderLimit) -> None:
    while True:
        descriptor_counts.append(open_descriptors(*fronts))
        await asyncio.sleep(0.005)


def open_descriptors(*fronts: FrontUnderLimit) -> int:
    return sum(len(front.descriptors()) for front in fronts)
