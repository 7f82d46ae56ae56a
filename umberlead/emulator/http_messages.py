"""Whole HTTP requests from a connection; the emulated servers and discovery are made of it."""

import asyncio
from typing import cast

import httptools


class HttpMessages(asyncio.Protocol):
    """Requests as they come whole; what both servers here are made of."""

    transport: asyncio.Transport | None = None

    def __init__(self) -> None:
        """Begins with no connection."""
        self.fresh()

    def fresh(self) -> None:
        """Begins with the next request."""
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers = dict[bytes, bytes]()
        self.body = list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses; a request that is no HTTP breaks the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, by its name in small letters."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.body.append(body)

    def send(self, data: bytes) -> None:
        """Writes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Breaks the connection."""
        if self.transport is not None:
            self.transport.abort()
