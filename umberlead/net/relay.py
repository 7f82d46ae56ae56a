"""Forwarding a streamed response to a client as it is received from an endpoint."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from umberlead.net.http_message import HttpRequest


class BodySource(Protocol):
    """Provides the remainder of a streamed response."""

    sink: Any

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading."""

    def cancel(self) -> None:
        """End the source: its reader has disconnected."""

    def eviction_rank(self) -> Any:
        """Return the sort key for eviction, smallest first; None if it may not be evicted."""

    def evict(self) -> None:
        """Abort the response to free its connection's slot."""


class StreamingConnection(Protocol):
    """The part of a client's connection that a relay uses."""

    transport: asyncio.Transport
    closed: bool
    body_source: BodySource | None

    def write_body(self, pieces: tuple[bytes, ...]) -> None:
        """Write pieces of the response; what the client does not read counts as buffered memory."""

    def abort_response(self) -> None:
        """Abort the connection in the middle of a response."""

    def finish_response(self) -> None:
        """End the response, which has been written, and start the next request."""


class ResponseRelay:
    """Forwards a streamed response to one client; it is the sink of a `BodySource`.

    A body of unknown length is sent in chunks, or for HTTP/1.0 delimited by the end of the connection.
    """

    def __init__(
        self, connection: StreamingConnection, chunked: bool, on_end: Callable[[bool], None]
    ) -> None:
        """Relay to `connection`.

        `on_end` is called with whether the body was completely written, unless the client disconnects.
        """
        self._connection = connection
        self._chunked = chunked
        self._on_end = on_end

    @staticmethod
    def uses_chunks(length: int | None, request: HttpRequest | None) -> bool:
        """Return whether a response to `request` uses chunked transfer coding."""
        return length is None and request is not None and request.version == "1.1"

    def encode(self, data: bytes) -> tuple[bytes, ...]:
        """Frame a piece of the body."""
        if not data:
            return ()
        return (b"%x\r\n" % len(data), data, b"\r\n") if self._chunked else (data,)

    def write(self, piece: bytes) -> None:
        """Forward a piece of the body."""
        if not self._connection.closed:
            self._connection.write_body(self.encode(piece))

    def finish(self) -> None:
        """End the response: its body is complete."""
        connection = self._connection
        connection.body_source = None
        self._on_end(True)
        if self._chunked and not connection.closed:
            connection.transport.write(b"0\r\n\r\n")
        connection.finish_response()

    def abort(self) -> None:
        """Abort the response: its remainder will not be received."""
        self._connection.body_source = None
        self._on_end(False)
        self._connection.abort_response()
