"""Server side of an HTTP connection that handles one complete request after another."""

import asyncio
from typing import cast

import httptools


class HttpMessages(asyncio.Protocol):
    """Collects HTTP requests; base of the emulated servers' and the discovery agent's connections."""

    transport: asyncio.Transport | None = None

    def __init__(self) -> None:
        """Prepare for the first request."""
        self.fresh()

    def fresh(self) -> None:
        """Reset the parser for the next request."""
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers = dict[bytes, bytes]()
        self.body = list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if they are not valid HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body.append(body)

    def send(self, data: bytes) -> None:
        """Write `data` unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
