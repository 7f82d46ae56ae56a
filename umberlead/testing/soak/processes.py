"""Shared by the processes of a soak run: an HTTP reader, orders on standard input, measured lateness."""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from typing import Any, cast

import httptools

MEASURE_INTERVAL_SECONDS = 0.005  # between measurements of the lateness of this process


class RequestReader(asyncio.Protocol):
    """Reads requests one after the other; subclasses handle each complete request.

    Attributes:
        first_ns: arrival of the first byte of the request that is being read; 0 for none.
        late_ns: lateness of this process at that time.
    """

    def __init__(self, lateness: "Lateness") -> None:
        """Create the protocol before the connection is established."""
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._lateness = lateness
        self.first_ns = 0
        self.late_ns = 0
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers = dict[bytes, bytes]()
        self.body = b""
        self.first_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data; abort the connection if it is not HTTP."""
        if not self.first_ns:
            self.first_ns, self.late_ns = time.monotonic_ns(), self._lateness.now_ns()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
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
        """Pass the request to `request`, and prepare for the next one."""
        method = self._parser.get_method()
        target = self.target
        headers = self.headers
        body = self.body
        first_ns = self.first_ns
        self._reset()
        self.request(method, target, headers, body, first_ns)

    def request(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, first_ns: int
    ) -> None:
        """Handle a complete request whose first byte arrived at `first_ns`."""
        raise NotImplementedError


class Lateness:
    """Measures how late the event loop of this process runs, so that its stalls are not blamed on others."""

    def __init__(self) -> None:
        """Start measuring, every MEASURE_INTERVAL_SECONDS."""
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time()
        self._worst_until = 0.0
        self._worst = 0.0
        self._worst_ever = 0.0
        self._measure()

    def _measure(self) -> None:
        now = self._loop.time()
        late = now - self._due
        self._worst_ever = max(self._worst_ever, late)
        if late >= self._worst or now >= self._worst_until:
            self._worst, self._worst_until = late, now + 0.1
        self._due = now + MEASURE_INTERVAL_SECONDS
        self._loop.call_at(self._due, self._measure)

    def worst_ns(self) -> int:
        """Return the worst lateness since the previous call of this method."""
        worst, self._worst_ever = self._worst_ever, 0.0
        return int(max(worst, self._loop.time() - self._due) * 1e9)

    def now_ns(self) -> int:
        """Return the worst lateness of the last 0.1 s."""
        current = self._loop.time() - self._due
        return int(max(current, self._worst, 0.0) * 1e9)


class Orders:
    """Orders from the run, one JSON object per line on standard input; EOF ends the process."""

    def __init__(self, take: Callable[[dict[str, Any]], None]) -> None:
        """Create a reader that passes each order to `take`."""
        self._take = take
        self.done = asyncio.Event()

    async def follow(self) -> None:
        """Read orders until EOF."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            self._take(json.loads(line))
        self.done.set()
