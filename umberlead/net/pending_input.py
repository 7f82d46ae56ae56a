"""Input that a client sent ahead of its turn: complete requests, and unparsed bytes."""

from collections import deque

from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import HttpRequest


class PendingInput:
    """Requests and bytes of one connection that wait for its active response; they count as buffered memory.

    Attributes:
        requests: complete requests, in the order of their arrival.
        unparsed_bytes: size of the input behind them.
    """

    def __init__(self, clients: ClientGroup) -> None:
        """Start empty; memory counts in `clients`."""
        self._clients = clients
        self.requests: deque[HttpRequest] = deque()
        self._unparsed: deque[tuple[bytes, int]] = deque()  # with the time of their read
        self.unparsed_bytes = 0

    def __bool__(self) -> bool:
        """Return whether anything waits."""
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
        """Remove the bytes of the oldest read, and their time; more at once could be too many requests."""
        data, received_us = self._unparsed.popleft()
        self.unparsed_bytes -= len(data)
        self._clients.buffered_bytes -= len(data)
        return data, received_us

    def release_body(self, message: HttpRequest | None) -> None:
        """Release the body of a request."""
        if message is not None:
            self._clients.buffered_bytes -= len(message.body)
            message.body = b""

    def discard_unparsed(self) -> None:
        """Discard the unparsed bytes."""
        self._clients.buffered_bytes -= self.unparsed_bytes
        self._unparsed.clear()
        self.unparsed_bytes = 0

    def discard_all(self) -> None:
        """Discard requests and bytes, and release their memory."""
        while self.requests:
            self.release_body(self.requests.popleft())
        self.discard_unparsed()
