"""A simulated chunk server: the published protocol over a small, seeded model of a node.

Two cores serve requests in order of arrival, a bounded queue holds more, and requests that find it full are
rejected. Blocks are stored in memory. Every request that is read completely adds a line to the record, which
tests and measurements evaluate: monotonic time in ns, server, id, class, block, shard and outcome.
"""

import asyncio
import json
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import IO, Any, cast
from urllib.parse import parse_qs

import httptools


@dataclass(frozen=True, slots=True)
class Model:
    """The behaviour of a simulated server.

    Attributes:
        cores: number of requests that are served concurrently.
        waiting: number of requests that may queue.
        unit: mean work of a unit, in seconds.
        spread: sigma of the log-normal factor on the mean work.
        errors: fraction of requests, 0 to 1, answered with 500 after the work.
        resets: fraction of requests, 0 to 1, whose connection is aborted after the work.
        keep: maximum number of stored blocks; the oldest are dropped first.
        synthetic: whether reads of unknown blocks are answered with a generated body.
    """

    cores: int = 2
    waiting: int = 100
    unit: float = 0.002
    spread: float = 0.5
    errors: float = 0.0
    resets: float = 0.0
    keep: int = 200_000
    synthetic: bool = False


class Record:
    """A record of the requests of all servers, in a file or in memory."""

    def __init__(self, file: IO[str] | None = None) -> None:
        """Create a record that writes to `file`, or keeps its rows in memory without one."""
        self.file = file
        self.rows: list[dict[str, Any]] = []
        self.counts: Counter[str] = Counter()

    def add(self, row: dict[str, Any]) -> None:
        """Add a request."""
        self.counts[row["server"]] += 1
        if self.file is None:
            self.rows.append(row)
        else:
            self.file.write(json.dumps(row) + "\n")

    def flush(self) -> None:
        """Flush the file."""
        if self.file is not None:
            self.file.flush()


class ChunkServer:
    """One simulated chunk server at one address."""

    def __init__(self, name: str, shard: int, model: Model, record: Record, seed: int) -> None:
        """Create a server without blocks; `seed` and `name` seed the random choices of `model`."""
        self.name = name
        self.shard = shard
        self.model = model
        self.record = record
        self.chance = random.Random(f"{seed}/{name}")
        self.blocks: dict[str, bytes] = {}
        # Forced outcome of each request: error, reset, full, astray, timeout; "" lets the model decide.
        self.force = ""
        self.address = ("", 0)
        self.busy = 0
        self.waiting: deque[Callable[[], Any]] = deque()
        self.listener: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def listen(self, host: str, port: int) -> int:
        """Listen at an address; return its port, which the system chooses for port 0."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: _Connection(self), host, port, backlog=512)
        self.address = (host, int(self.listener.sockets[0].getsockname()[1]))
        return self.address[1]

    def down(self) -> None:
        """Stop listening and abort all connections; `listen` at the same address restarts the server."""
        self.close()
        self.listener = None

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self.listener is not None:
            self.listener.close()
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()

    def admit(self) -> bool:
        """Return whether one more connection is accepted."""
        return True

    def released(self) -> None:
        """Called when an admitted connection has ended."""

    def figures(self, volume: str) -> bytes:
        """Return header lines that are added to every answer."""
        return b""

    def work(self, units: float) -> float:
        """Return a random service time in seconds for a request of `units`."""
        factor = self.chance.lognormvariate(-(self.model.spread**2) / 2, self.model.spread)
        return self.model.unit * units * factor

    def serve(self, row: dict[str, Any], units: float, done: Callable[[str], None]) -> bool:
        """Work on a request, then call `done` with its outcome; return False if the queue is full.

        A request that has begun runs to its end even if its client has disconnected.
        """
        loop = asyncio.get_running_loop()

        def end() -> None:
            self.finished()
            done(self.force or self._drawn_end())

        return self.begin(lambda: loop.call_later(self.work(units), end))

    def _drawn_end(self) -> str:
        draw = self.chance.random()
        if draw < self.model.errors:
            return "error"
        return "reset" if draw < self.model.errors + self.model.resets else "ok"

    def begin(self, job: Callable[[], Any]) -> bool:
        """Run `job` once a core is free; return False if the queue is full."""
        if self.busy < self.model.cores:
            self.busy += 1
            job()
        elif len(self.waiting) < self.model.waiting:
            self.waiting.append(job)
        else:
            return False
        return True

    def finished(self) -> None:
        """Free a core, or start the next queued request on it."""
        if self.waiting:
            self.waiting.popleft()()
        else:
            self.busy -= 1

    def store(self, block: str, body: bytes) -> None:
        """Store a block; drop the oldest blocks beyond the limit."""
        self.blocks[block] = body
        while len(self.blocks) > self.model.keep:
            del self.blocks[next(iter(self.blocks))]


class _Connection(asyncio.Protocol):
    """One connection of a front."""

    def __init__(self, server: ChunkServer) -> None:
        """Create a connection that `server` serves."""
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.volume = ""
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if no more connections are admitted."""
        self.transport = cast(asyncio.Transport, transport)
        if self.server.admit():
            self.server.connections.add(self)
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        if self in self.server.connections:
            self.server.connections.discard(self)
            self.server.released()

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if it is not HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Serve the request, or reject it."""
        method = self.parser.get_method()
        path = self.target.decode("latin-1").partition("?")
        headers = self.headers
        body = self.body
        self._reset()
        server = self.server
        io = dict(p.partition("=")[::2] for p in headers.get(b"x-io", b"").decode("latin-1").split(","))
        block = parse_qs(path[2]).get("block", [""])[0]
        self.volume = io.get("volume", "")
        row = {
            "t": time.monotonic_ns(),
            "server": server.name,
            "id": headers.get(b"x-call-id", b"").decode("latin-1"),
            "class": path[0].strip("/"),
            "method": method.decode(),
            "block": block,
            "shard": int(io.get("shard", "-1")),
        }
        if server.force == "full":
            server.record.add(row | {"end": "full"})
            return self.answer(503, b"", b"X-Rejected: 1\r\n")
        if row["shard"] not in (-1, server.shard) or server.force == "astray":
            server.record.add(row | {"end": "astray"})
            return self.answer(504, b"", b"X-Rejected: 1\r\n")
        units = float(io.get("units", "1"))
        if not server.serve(row, units, lambda end: self._end(row, method, block, body, end)):
            server.record.add(row | {"end": "full"})
            self.answer(503, b"", b"X-Rejected: 1\r\n")

    def _end(self, row: dict[str, Any], method: bytes, block: str, body: bytes, end: str) -> None:
        server = self.server
        if method == b"PUT":
            server.store(block, body)  # a request with a lost answer or an error may have run, too
        server.record.add(row | {"end": end})
        if end == "timeout":
            return  # it has run, but sends no answer
        if end == "reset":
            if self.transport is not None:
                self.transport.abort()
        elif end == "error":
            self.answer(500, b"failed\n")
        elif method == b"PUT":
            self.answer(200, b"stored\n")
        elif block in server.blocks:
            self.answer(200, server.blocks[block])
        elif server.model.synthetic:
            self.answer(200, block.encode() * 16)
        else:
            self.answer(404, b"")

    def answer(self, status: int, body: bytes, more: bytes = b"") -> None:
        """Write a response; `more` are complete header lines."""
        if self.transport is not None and not self.transport.is_closing():
            more += self.server.figures(self.volume)
            headers = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), more)
            self.transport.write(headers + body)
