"""What a client sent ahead of its turn: whole requests, and bytes that were read and not parsed."""

from collections import deque

from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import HttpRequest


class PendingInput:
    """The requests and bytes of one connection that wait for its present reply, counted as held memory.

    Attributes:
        requests: whole requests, in the order they came.
        unparsed_bytes: how many bytes wait behind them.
    """

    def __init__(self, clients: ClientGroup) -> None:
        """Begin empty, counting among `clients`."""
        self._clients = clients
        self.requests: deque[HttpRequest] = deque()
        self._unparsed: deque[tuple[bytes, int]] = deque()  # and when they were read
        self.unparsed_bytes = 0

    def __bool__(self) -> bool:
        """Whether anything waits."""
        return bool(self.requests or self._unparsed)

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes wait that were not parsed."""
        return bool(self._unparsed)

    def put_unparsed(self, data: bytes, received_us: int) -> None:
        """Keep bytes as they were read, at that time."""
        self._unparsed.append((data, received_us))
        self.unparsed_bytes += len(data)
        self._clients.buffered_bytes += len(data)

    def take_unparsed(self) -> tuple[bytes, int]:
        """Return the bytes of the oldest read, and its time: more at once could be too many requests."""
        data, received_us = self._unparsed.popleft()
        self.unparsed_bytes -= len(data)
        self._clients.buffered_bytes -= len(data)
        return data, received_us

    def release_body(self, message: HttpRequest | None) -> None:
        """Give back what the body of a request held."""
        if message is not None:
            self._clients.buffered_bytes -= len(message.body)
            message.body = b""

    def discard_unparsed(self) -> None:
        """Drop the bytes."""
        self._clients.buffered_bytes -= self.unparsed_bytes
        self._unparsed.clear()
        self.unparsed_bytes = 0

    def discard_all(self) -> None:
        """Drop all: each request gives its memory back, which a bare clear would leave counted."""
        while self.requests:
            self.release_body(self.requests.popleft())
        self.discard_unparsed()
