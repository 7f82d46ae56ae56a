"""Emulated discovery agent of one front."""

import json
import re
from typing import Any

from umberlead.emulator.http_messages import HttpMessages


class AgentConnection(HttpMessages):
    """A front's connection to its discovery agent, for the endpoint list or a watch of it."""

    def __init__(self, agent: "Agent") -> None:
        """Create a connection to `agent`."""
        super().__init__()
        self.agent = agent

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self.agent.watchers.discard(self)

    def on_message_complete(self) -> None:
        """Answer with the endpoint list, or start a watch."""
        target = self.target.decode("latin-1")
        self.fresh()
        if "watch=1" not in target:
            body = self.agent.whole()
            return self.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.watchers.add(self)
        after = re.search(r"after=([0-9]{1,9})", target)
        known = after is not None and int(after[1]) == self.agent.index
        self.line(b"" if known else self.agent.whole())

    def line(self, text: bytes) -> None:
        """Send a line of a watch as one chunk."""
        self.send(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Agent:
    """Discovery agent of one front; it answers at once with the entries that it holds."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.index = 1
        self.entries = dict[str, dict[str, Any]]()
        self.watchers: set[AgentConnection] = set()

    def message(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        """Return the message with these entries: the whole list, or a change."""
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode()

    def whole(self) -> bytes:
        """Return the message with the whole list, without servers that are gone."""
        return self.message([e for e in self.entries.values() if e["status"] != "gone"], True)

    def tell(self, entry: dict[str, Any]) -> None:
        """Store a changed entry and send it to all watchers."""
        self.index += 1
        self.entries[entry["name"]] = entry
        text = self.message([entry], False)
        for watcher in list(self.watchers):
            watcher.line(text)

    def beat(self) -> None:
        """Send an empty line to all watchers as a heartbeat."""
        for watcher in list(self.watchers):
            watcher.line(b"")
