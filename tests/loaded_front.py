"""A front as a process with the platform's least memory, a scripted endpoint, and clients under load."""

import asyncio
import contextlib
import os
import re
import resource
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import tomli_w

from umberlead.testing.soak.judge import LATE_ANSWER_NS, MACHINE_SLACK_NS
from umberlead.testing.soak.load_clients import HELD_BLOCK, LONG_BLOCK, LoadKind
from umberlead.testing.soak.processes import Lateness, RequestReader

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MEMORY_MB = 64  # the least that the operators' pages name
DESCRIPTORS = 1024
READY_SECONDS = 30.0
ANSWER_SECONDS = 0.005  # of the endpoint, for a request without a script
LONG_ANSWER_BYTES = 1_000_000
SOUND_RATE = 30.0  # requests per second of all sound clients
SOUND_BUDGETS_SECONDS = (1.0, 1.5)
SOUND_CLIENTS_COUNT = 6
SAFE_CLASS, UNSAFE_CLASS = "image-read", "image-upload"
# Like the platform's environment, which does not have the package rich.
START_SCRIPT = (
    "import runpy, sys; sys.modules['rich'] = None; runpy.run_module('umberlead', run_name='__main__')"
)

Script = Callable[[asyncio.Transport], Awaitable[None]]


class ScriptedConnection(RequestReader):
    """A connection to the endpoint."""

    def __init__(self, endpoint: "ScriptedEndpoint") -> None:
        super().__init__(endpoint.lateness)
        self.endpoint = endpoint
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.endpoint.open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.endpoint.open_connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def request(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, first_ns: int
    ) -> None:
        block = target.partition(b"block=")[2].decode()
        call_id = headers.get(b"x-call-id", b"").decode()
        self.endpoint.runs.append((call_id, time.monotonic()))
        script = self.endpoint.script_for(method, block, body)
        self.task = asyncio.get_running_loop().create_task(self._answer(script))

    async def _answer(self, script: Script) -> None:
        with contextlib.suppress(ConnectionError):
            await script(self.transport)


class ScriptedEndpoint:
    """An endpoint that answers by the first digits of the block.

    Attributes:
        scripts: scripts by the first two digits of the block.
        runs: call id and time of each request that arrived whole.
    """

    def __init__(self) -> None:
        self.lateness = Lateness()
        self.scripts: dict[str, Script] = {HELD_BLOCK[:2]: self.hold, LONG_BLOCK[:2]: self.answer_long}
        self.runs: list[tuple[str, float]] = []
        self.open_connections: set[ScriptedConnection] = set()

    def script_for(self, method: bytes, block: str, body: bytes) -> Script:
        """Return the script that answers a request."""
        return self.script_of(block)

    def script_of(self, block: str) -> Script:
        return self.scripts.get(block[:2], self.answer)

    @staticmethod
    async def answer(transport: asyncio.Transport) -> None:
        await asyncio.sleep(ANSWER_SECONDS)
        transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")

    @staticmethod
    async def hold(transport: asyncio.Transport) -> None:
        await asyncio.sleep(3600.0)

    @staticmethod
    async def answer_long(transport: asyncio.Transport) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES
        transport.write(head + bytes(LONG_ANSWER_BYTES))

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[int]:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ScriptedConnection(self), HOST, 0, backlog=1024)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()
            for connection in list(self.open_connections):
                connection.transport.abort()


def settings(**changes: Any) -> dict[str, Any]:
    second = 1_000_000
    grades = [
        {"name": SAFE_CLASS, "aim": second, "hardLimit": 2 * second, "effect": "idempotent"},
        {"name": UNSAFE_CLASS, "aim": second, "hardLimit": 2 * second, "effect": "at_most_once"},
    ]
    return {
        "instances": 1,
        "grades": grades,
        "plans": [{"name": "basic"}],
        "callers": {"marksRetry": True},
        "bounds": {"maxAttempts": 3, "dialTimeout": 250_000, "keepalive": 15 * second},
        "extra": {"nShards": 1, "meanUnits": 1, "maxUnits": 3},
    } | changes


class LoadedFront:
    """A process of a front with `MEMORY_MB` and `DESCRIPTORS`."""

    def __init__(self, folder: Path, endpoint_port: int, **changes: Any) -> None:
        endpoints = [
            {"name": f"n{number}", "address": f"{HOST}:{endpoint_port}", "group": 0, "status": "ready"}
            for number in range(8)
        ]
        config = {
            "name": "f",
            "listen": f"{HOST}:0",
            "management": f"{HOST}:0",
            "state": str(folder / "state"),
            "limits": {"cores": 1, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
            "settings": settings(),
        } | changes
        config_path = folder / "front.toml"
        config_path.write_text(tomli_w.dumps(config))
        self.log = folder / "log"
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-c", START_SCRIPT],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env=environment | {"UMBERLEAD_CONFIG": str(config_path), "TMPDIR": str(folder)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
            )

    def logged(self, event: str) -> list[dict[str, str]]:
        rows = [line for line in self.log.read_text().splitlines() if line.endswith(f"] {event}")]
        return [dict(re.findall(r'(\w+)="([^"]*)"', row)) for row in rows]

    async def until_logged(self, event: str, times: int = 1) -> dict[str, str]:
        end = time.monotonic() + READY_SECONDS
        while len(rows := self.logged(event)) < times:
            assert self.child.poll() is None and time.monotonic() < end, self.log.read_text()[-3000:]
            await asyncio.sleep(0.01)
        return rows[-1]

    async def port(self, event: str = "listening", number: int = 1) -> int:
        """Return the port of the listener that the front logged as the `number`th with this event."""
        await self.until_logged(event, number)
        return int(self.logged(event)[number - 1]["address"].rpartition(":")[2])

    async def counters(self) -> dict[str, int]:
        before = len(self.logged("counters"))
        self.child.send_signal(signal.SIGUSR1)
        row = await self.until_logged("counters", before + 1)
        return {name: int(value) for name, value in row.items() if value.isdigit()}

    def peak_memory_mb(self) -> float:
        status = Path(f"/proc/{self.child.pid}/status").read_text()
        found = re.search(r"^VmHWM:\s+([0-9]+) kB$", status, re.MULTILINE)
        assert found is not None
        return int(found[1]) / 1024

    def kill(self) -> None:
        self.child.kill()
        self.child.wait()


@dataclass(slots=True)
class Call:
    """A request of a sound client; times are seconds of the monotonic clock."""

    call_id: str
    budget: float
    sent: float
    ended: float = 0.0
    status: int = 0
    body_bytes: int = 0
    first_byte: float = 0.0

    def is_late(self, own_lateness: float) -> bool:
        """Return whether the answer did not come half a second after the request's time."""
        slack = (LATE_ANSWER_NS + MACHINE_SLACK_NS) / 1e9 + own_lateness
        return self.status == 0 or self.ended > self.sent + self.budget + slack


@dataclass(slots=True)
class SoundClients:
    """Clients that send one request after the other, each on a connection of its own."""

    port: int
    class_name: str = SAFE_CLASS
    calls: list[Call] = field(default_factory=list)
    lateness: float = 0.0  # the worst of this process

    async def run(self, seconds: float) -> None:
        measured = Lateness()
        tasks = [self._client(number, seconds) for number in range(SOUND_CLIENTS_COUNT)]
        await asyncio.gather(*tasks)
        self.lateness = measured.worst_ns() / 1e9

    async def _client(self, number: int, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        connection: Connection | None = None
        count = 0
        while loop.time() < until:
            await asyncio.sleep(SOUND_CLIENTS_COUNT / SOUND_RATE)
            count += 1
            budget = SOUND_BUDGETS_SECONDS[count % len(SOUND_BUDGETS_SECONDS)]
            call = Call(f"5{number:03x}{os.getpid():08x}{count:04x}", budget, time.monotonic())
            self.calls.append(call)
            connection = await self._call(connection, call, f"{count:016x}")

    async def _call(self, connection: "Connection | None", call: Call, block: str) -> "Connection | None":
        """Send a request; return the connection if it can be used again.

        A request that crosses the end of a used connection is sent once more, on a new one.
        """
        for is_used in (True, False) if connection is not None else (False,):
            try:
                if not is_used or connection is None:
                    connection = await Connection.open(self.port)
                await connection.call(call, self.class_name, block)
            except (ConnectionError, asyncio.IncompleteReadError):
                if connection is not None:
                    connection.writer.close()
                if not is_used or call.first_byte:
                    return None
            except TimeoutError:
                if connection is not None:
                    connection.writer.close()
                return None
            else:
                return None if connection.closes else connection
        return None

    def late(self) -> list[Call]:
        return [call for call in self.calls if call.is_late(self.lateness)]


@dataclass(slots=True)
class Connection:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    closes: bool = False  # the front has announced that it closes the connection

    @classmethod
    async def open(cls, port: int, **options: Any) -> "Connection":
        return cls(*await asyncio.open_connection(HOST, port, **options))

    async def call(
        self, call: Call, class_name: str, block: str, body: bytes | None = None, grace_seconds: float = 2.0
    ) -> None:
        """Send a request and read its whole answer; raises TimeoutError `grace_seconds` after its time."""
        self.writer.write(request(call.call_id, class_name, block, call.budget, body))
        if body is not None:
            await self.writer.drain()
        call.sent = time.monotonic()
        async with asyncio.timeout(call.budget + grace_seconds):
            await self.read_answer(call)

    async def read_answer(self, call: Call) -> None:
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            call.first_byte = time.monotonic()
            self.closes = b"connection: close" in head.lower()
            length = re.search(rb"(?i)content-length: ([0-9]+)", head)
            if length is not None:
                call.body_bytes = len(await self.reader.readexactly(int(length[1])))
            elif b"chunked" in head.lower():
                while size := int(await self.reader.readline(), 16):
                    call.body_bytes += len(await self.reader.readexactly(size + 2)) - 2
                await self.reader.readline()
            else:
                call.body_bytes = len(await self.reader.read())
            call.status = int(head.split(b" ")[1])
        finally:
            call.ended = time.monotonic()


def request(
    call_id: str, class_name: str, block: str, budget: float, body: bytes | None = None, volume: int = 1
) -> bytes:
    method = "GET" if body is None else "PUT"
    length = "" if body is None else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} /{class_name}?block={block} HTTP/1.1\r\nHost: s\r\nX-Call-Id: {call_id}\r\n"
        f"X-Plan: basic\r\nX-Budget: {budget:.3f}\r\n{length}"
        f"X-IO: volume={volume:016x},units=1,shard=0,hosts=1\r\n\r\n"
    )
    return head.encode() + (body or b"")


@contextlib.asynccontextmanager
async def load(kind: LoadKind, port: int, count: int, seconds: float) -> AsyncIterator[None]:
    """Run clients of one kind in a process of their own; they have ended after the context."""
    module = "umberlead.testing.soak.load_clients"
    words = (kind.value, f"{HOST}:{port}", str(count), str(seconds), SAFE_CLASS, "basic")
    process = await asyncio.create_subprocess_exec(sys.executable, "-B", "-m", module, *words, cwd=ROOT)
    try:
        yield
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def silent_discovery() -> AsyncIterator[int]:
    """Listen as a discovery that accepts calls and answers none."""
    server = await asyncio.get_running_loop().create_server(asyncio.Protocol, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@contextlib.asynccontextmanager
async def loaded_front(
    folder: Path, endpoint: ScriptedEndpoint | None = None, **changes: Any
) -> AsyncIterator[tuple[LoadedFront, ScriptedEndpoint, int]]:
    """Start an endpoint and a front; `changes` replace keys of its configuration."""
    endpoint = endpoint or ScriptedEndpoint()
    async with endpoint.listen() as endpoint_port, silent_discovery() as discovery_port:
        changes = {"discovery": f"{HOST}:{discovery_port}"} | changes
        front = LoadedFront(folder, endpoint_port, **changes)
        try:
            yield front, endpoint, await front.port()
        finally:
            front.kill()


def pause_reading(writer: asyncio.StreamWriter) -> None:
    cast(asyncio.Transport, writer.transport).pause_reading()
