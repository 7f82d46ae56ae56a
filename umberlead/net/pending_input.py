"""Pipelined input of a client: complete requests and unparsed bytes."""

from collections import deque

from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import HttpRequest


class PendingInput:
    """Pipelined input of one connection, which waits for the active response and counts as buffered memory.

    Attributes:
        requests: complete requests, in order of arrival.
        unparsed_bytes: size of the input after them.
    """

    def __init__(self, clients: ClientGroup) -> None:
        """Start empty; the buffered memory is counted in `clients`."""
        self._clients = clients
        self.requests: deque[HttpRequest] = deque()
        self._unparsed: deque[tuple[bytes, int]] = deque()  # reads, and when they were received
        self.unparsed_bytes = 0

    def __bool__(self) -> bool:
        """Return whether any input waits."""
        return bool(self.requests or self._unparsed)

    @property
    def has_unparsed(self) -> bool:
        """Whether unparsed bytes wait."""
        return bool(self._unparsed)

    def put_unparsed(self, data: bytes, received_us: int) -> None:
        """Append the bytes of one read, and when they were received."""
        self._unparsed.append((data, received_us))
        self.unparsed_bytes += len(data)
        self._clients.buffered_bytes += len(data)

    def take_unparsed(self) -> tuple[bytes, int]:
        """Remove the bytes of the oldest read, and return them with the time at which they were received.

        Several reads at once could exceed the limit on pipelined requests.
        """
        data, received_us = self._unparsed.popleft()
        self.unparsed_bytes -= len(data)
        self._clients.buffered_bytes -= len(data)
        return data, received_us

    def release_body(self, request: HttpRequest | None) -> None:
        """Release the body of a request."""
        if request is not None:
            self._clients.buffered_bytes -= len(request.body)
            request.body = b""

    def discard_unparsed(self) -> None:
        """Discard the unparsed bytes."""
        self._clients.buffered_bytes -= self.unparsed_bytes
        self._unparsed.clear()
        self.unparsed_bytes = 0

    def discard_all(self) -> None:
        """Discard the requests and the unparsed bytes, and release their memory."""
        while self.requests:
            self.release_body(self.requests.popleft())
        self.discard_unparsed()
