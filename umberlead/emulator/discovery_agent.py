"""An agent of discovery as one front sees it."""

import json
import re
from typing import Any

from umberlead.emulator.http_messages import HttpMessages


class AgentConnection(HttpMessages):
    """A front's connection to its agent: the list, or a watch of it."""

    def __init__(self, agent: "Agent") -> None:
        """A connection to this agent."""
        super().__init__()
        self.agent = agent

    def connection_lost(self, exc: Exception | None) -> None:
        """The watch is over."""
        self.agent.watchers.discard(self)

    def on_message_complete(self) -> None:
        """Answers with the list, or begins a watch."""
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
        """One line of a watch, as a chunk."""
        self.send(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Agent:
    """Discovery as one front sees it: it answers at once with what it has been sent."""

    def __init__(self) -> None:
        """Begins with an empty list."""
        self.index = 1
        self.entries = dict[str, dict[str, Any]]()
        self.watchers: set[AgentConnection] = set()

    def message(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        """The text of these entries: the whole list, or a change."""
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode()

    def whole(self) -> bytes:
        """The list without servers that are gone."""
        return self.message([e for e in self.entries.values() if e["status"] != "gone"], True)

    def tell(self, entry: dict[str, Any]) -> None:
        """Takes one entry's change and sends it to all watchers."""
        self.index += 1
        self.entries[entry["name"]] = entry
        text = self.message([entry], False)
        for watcher in list(self.watchers):
            watcher.line(text)

    def beat(self) -> None:
        """Sends an empty line to all watchers."""
        for watcher in list(self.watchers):
            watcher.line(b"")
