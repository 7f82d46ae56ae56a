"""Input of a client that waits: complete requests, and bytes that are not parsed yet."""

from collections import deque

from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import HttpRequest

HEAD_END = b"\r\n\r\n"
MAX_PARSED_BYTES = 2048  # in one step, unless they all belong to one body
READ_OVERHEAD_BYTES = 128  # approximate memory of a buffered read beside its bytes
REQUEST_OVERHEAD_BYTES = 1024  # approximate memory of a complete request beside its body


class _UnparsedRead:
    """The bytes of one read from `start` on, and when they were received."""

    __slots__ = ("data", "start", "received_us")

    def __init__(self, data: bytes, received_us: int) -> None:
        self.data = data
        self.start = 0
        self.received_us = received_us


class PendingInput:
    """Input of one connection that was read and is not handled yet; it counts as buffered memory.

    Attributes:
        requests: complete requests, in order of arrival.
        unparsed_bytes: memory of the input after them, with `READ_OVERHEAD_BYTES` for each read.
    """

    def __init__(self, clients: ClientGroup) -> None:
        """Start empty; the buffered memory is counted in `clients`."""
        self._clients = clients
        self.requests: deque[HttpRequest] = deque()
        self._unparsed: deque[_UnparsedRead] = deque()
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
        self._unparsed.append(_UnparsedRead(data, received_us))
        self._add_unparsed_bytes(len(data) + READ_OVERHEAD_BYTES)

    def _add_unparsed_bytes(self, count: int) -> None:
        self.unparsed_bytes += count
        self._clients.buffered_bytes += count

    def take_unparsed(self, body_bytes: int) -> tuple[bytes, int]:
        """Remove bytes of the oldest read, and return them with the time at which they were received.

        Args:
            body_bytes: how many of the next bytes belong to the body that is being read. Of other input at
                most `MAX_PARSED_BYTES` are taken, and none beyond the end of a head, so that the result
                rarely completes more than one request.
        """
        read = self._unparsed[0]
        if body_bytes:
            end = min(read.start + body_bytes, len(read.data))
        else:
            end = min(read.start + MAX_PARSED_BYTES, len(read.data))
            head_end = read.data.find(HEAD_END, read.start, end)
            if head_end >= 0:
                end = head_end + len(HEAD_END)
        data = read.data[read.start : end]
        read.start = end
        if end == len(read.data):
            self._unparsed.popleft()
            self._add_unparsed_bytes(-len(read.data) - READ_OVERHEAD_BYTES)
        return data, read.received_us

    def put_request(self, request: HttpRequest) -> None:
        """Append a complete request, whose body counts as buffered memory already."""
        self.requests.append(request)
        self._clients.buffered_bytes += REQUEST_OVERHEAD_BYTES

    def take_request(self) -> HttpRequest:
        """Remove the oldest complete request; the caller releases its body after its response."""
        self._clients.buffered_bytes -= REQUEST_OVERHEAD_BYTES
        return self.requests.popleft()

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
            self.release_body(self.take_request())
        self.discard_unparsed()
