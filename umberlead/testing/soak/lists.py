"""Discovery of the soak test: each front has an agent that answers watches without delay."""

import asyncio
import json
import re
import time
from dataclasses import dataclass
from typing import Any, cast

import httptools

HEARTBEAT_SECONDS = 2.0  # between the empty lines (heartbeats) of a watch
KNOWN_AFTER_SILENCE_SECONDS = 6.0  # from the silence of a watch until the front must know all changes


@dataclass(slots=True)
class Entry:
    """A chunk server as listed by discovery."""

    name: str
    address: str
    group: int
    status: str = "ready"
    since_ms: int = 0

    def as_message(self) -> dict[str, Any]:
        """Return the entry in the format of discovery."""
        return {
            "name": self.name,
            "address": self.address,
            "group": self.group,
            "status": self.status,
            "since_ms": self.since_ms,
            "zone": "a",
            "type": "m",
            "weight": 1.0,
        }


class Watcher(asyncio.Protocol):
    """A front's connection to its agent."""

    def __init__(self, agent: "Agent") -> None:
        """Create a connection that `agent` serves."""
        self.agent = agent
        self.target = b""
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the agent."""
        self.transport = cast(asyncio.Transport, transport)
        self.agent.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister from the agent."""
        self.agent.connections.discard(self)
        self.agent.watchers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse the HTTP request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer, unless the agent is silent."""
        if self.agent.silent:
            return
        after = re.search(rb"after=([0-9]{1,9})", self.target)
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.watchers.add(self)
        known = after is not None and int(after[1]) == self.agent.index
        self.line(b"" if known else self.agent.snapshot_message())

    def line(self, text: bytes) -> None:
        """Write a line as an HTTP chunk."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Agent:
    """The discovery service as seen by one front."""

    def __init__(self) -> None:
        """Create an agent with an empty list."""
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.watchers: set[Watcher] = set()
        self.connections: set[Watcher] = set()
        self.silent = False
        self._servers: list[asyncio.Server] = []
        self.known_by = 0.0  # by when the front must know all changes sent so far

    async def listen(self, *addresses: tuple[str, int]) -> None:
        """Listen on all these addresses."""
        loop = asyncio.get_running_loop()
        for address in addresses:
            self._servers.append(await loop.create_server(lambda: Watcher(self), *address))

    def close(self) -> None:
        """Stop listening, and abort all open connections."""
        for server in self._servers:
            server.close()
        self.reset()

    def _message(self, entries: list[Entry], whole: bool) -> bytes:
        shown = [entry.as_message() for entry in entries]
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": shown}).encode()

    def snapshot_message(self) -> bytes:
        """Return the snapshot of the list as a message."""
        return self._message([e for e in self.entries.values() if e.status != "gone"], True)

    def send_change(self, entry: Entry) -> None:
        """Send a change of one entry to all watchers."""
        self.index += 1
        self.entries[entry.name] = entry
        self.known_by = max(self.known_by, time.monotonic())
        text = self._message([entry], False)
        for watcher in list(self.watchers):
            watcher.line(text)

    def send_heartbeat(self) -> None:
        """Send an empty line to every watcher."""
        for watcher in list(self.watchers):
            watcher.line(b"")

    def fall_silent(self) -> None:
        """Stop sending on open watches, and do not answer new ones."""
        self.silent = True
        self.watchers.clear()
        self.known_by = time.monotonic() + KNOWN_AFTER_SILENCE_SECONDS

    def resume(self) -> None:
        """Resume answering new watches."""
        self.silent = False

    def reset(self) -> None:
        """Abort all open connections."""
        for connection in list(self.connections):
            connection.transport.abort()
