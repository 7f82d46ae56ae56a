"""Connections from emulated clients to fronts."""

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from umberlead.emulator.scenario_driver import ConnectedFront, ScenarioDriver
from umberlead.load_generator.clients import Try
from umberlead.load_generator.day import SECOND_US

KIND_BY_STATUS = {200: "served", 429: "refused", 503: "refused"}


class ClientConnection(asyncio.Protocol):
    """A client's connection to a front, with one request at a time."""

    def __init__(self, play: ScenarioDriver, front: ConnectedFront) -> None:
        """Create a connection to `front`."""
        self.play = play
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.of: Try | None = None
        self.build_request: Callable[[], bytes] = bytes
        self.reused = self.begun = False
        self._reset_parser()

    def _reset_parser(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, of: Try, build_request: Callable[[], bytes], reused: bool) -> None:
        """Send a try; `build_request` makes the request when it is written."""
        self.of = of
        self.build_request = build_request
        self.reused = reused
        self.begun = False
        assert self.transport is not None
        self.transport.write(build_request())  # X-Budget holds the time left at this moment

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; report an answer that is not valid HTTP as a fault."""
        self.begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.play.faults.append("an answer is not valid HTTP")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Handle a complete answer."""
        status = self.parser.get_status_code()
        keep = self.parser.should_keep_alive()
        body = b"".join(self.body)
        of = self.of
        self.of = None
        self._reset_parser()
        if keep:
            self.front.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if of is not None:
            kind = KIND_BY_STATUS.get(status, "failed")
            self.play.answered(of, kind, body.decode("latin-1") if kind == "served" else "")

    def connection_lost(self, exc: Exception | None) -> None:
        """Send the open request again on a new connection, or report it as unanswered."""
        if self in self.front.idle:
            self.front.idle.remove(self)
        of = self.of
        self.of = None
        if of is not None:
            # The front closed an idle connection before it read this request, so it is safe to send again.
            again = self.reused and not self.begun
            self.play.once_more(of, self.build_request) if again else self.play.broke(of)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


def request_text(of: Try, block: str, shard: int, now: int) -> bytes:
    """Return the request of a try, with the time that it has left at `now`."""
    r = of.of
    body = r.block.encode() if r.write else b""
    left = max(of.until - now, 1000) / SECOND_US
    head = (
        f"{'PUT' if r.write else 'GET'} /{r.class_name}?block={block} HTTP/1.1\r\nHost: service\r\n"
        f"X-Call-Id: {of.id}\r\nX-Plan: {r.plan}\r\nX-Budget: {left:.3f}\r\n"
        f"X-IO: volume={r.volume},units={r.units},shard={shard},hosts={r.hosts}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
