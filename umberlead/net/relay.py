"""Passing a long reply on to a client as it comes from a chunk server."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from umberlead.net.http_message import HttpRequest


class BodySource(Protocol):
    """Where the rest of a long reply comes from."""

    sink: Any

    def set_paused(self, paused: bool) -> None:
        """Stop reading, or read on."""

    def cancel(self) -> None:
        """End it: its reader has left."""

    def eviction_rank(self) -> Any:
        """Return its place in the order of eviction, the smallest first; None keeps it."""

    def evict(self) -> None:
        """End it for another's need of its place."""


class StreamingConnection(Protocol):
    """What a relay needs of the client's connection."""

    transport: asyncio.Transport
    closed: bool
    body_source: BodySource | None

    def abort_response(self) -> None:
        """End it in the middle of a reply."""

    def finish_response(self) -> None:
        """The reply is out: the next request's turn."""


class ResponseRelay:
    """A long reply on its way to one client: takes pieces from a `BodySource`, whose sink it is.

    Without a length it goes in chunks, or up to the connection's end where the client knows no chunks.
    """

    def __init__(
        self, connection: StreamingConnection, chunked: bool, on_end: Callable[[bool], None]
    ) -> None:
        """Relay to `connection`; `on_end` is told whether all is out, unless the client leaves."""
        self._connection, self._chunked, self._on_end = connection, chunked, on_end

    @staticmethod
    def uses_chunks(length: int | None, request: HttpRequest | None) -> bool:
        """Tell whether a reply to `request` goes in chunks."""
        return length is None and request is not None and request.version == "1.1"

    def encode(self, data: bytes) -> tuple[bytes, ...]:
        """Frame a piece of the body as it goes to the client."""
        if not data:
            return ()
        return (b"%x\r\n" % len(data), data, b"\r\n") if self._chunked else (data,)

    def write(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        if not self._connection.closed:
            self._connection.transport.writelines(self.encode(piece))

    def finish(self) -> None:
        """End the reply: all of the body has come."""
        connection = self._connection
        connection.body_source = None
        self._on_end(True)
        if self._chunked and not connection.closed:
            connection.transport.write(b"0\r\n\r\n")
        connection.finish_response()

    def abort(self) -> None:
        """Break the reply off, since its rest will not come."""
        self._connection.body_source = None
        self._on_end(False)
        self._connection.abort_response()
