"""HTTP/1.1 messages as typed values: a parsed request, and how the head of a reply is written."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from email.utils import formatdate

# Header fields that may come once: two values could be read one way here and another way behind us.
SINGLETON_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"host", b"expect"))
BODYLESS_STATUSES = (204, 304)  # a reply with one of these has neither body nor Content-Length

REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    206: b"Partial Content",
    304: b"Not Modified",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    416: b"Range Not Satisfiable",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class HttpRequest:
    """One request.

    Attributes:
        method: the method, in upper case.
        target: the request target in origin form, with its query.
        headers: field values by field name in lower case; repeated fields are joined by a comma.
        body: the whole body, without its transfer coding.
        version: the HTTP version, such as "1.1".
        keep_alive: whether the client keeps the connection after the reply.
        received: when the last byte came, in microseconds of the front's clock.
    """

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes | bytearray = b""
    version: str = "1.1"
    keep_alive: bool = True
    received_us: int = 0

    def split_target(self) -> tuple[bytes, bytes]:
        """Return the target's path and its query, without the question mark."""
        path, _, query = self.target.partition(b"?")
        return path, query


@dataclass(frozen=True, slots=True)
class RequestRejection:
    """What a request that can't be read is answered with.

    Attributes:
        status: the reply's HTTP status.
        reason: a text for the client.
        target: the target of the request, as far as it is known.
    """

    status: int
    reason: str
    target: bytes


def encode_response_headers(
    status: int,
    headers: Iterable[bytes],
    content_length: int | None,
    date_us: int | None,
    close_connection: bool,
) -> list[bytes]:
    """Write the head of a reply.

    Args:
        status: the HTTP status.
        headers: whole header lines, without line ends.
        length: the value of Content-Length; None leaves it out.
        date_us: the time of the Date field, in microseconds since the epoch; None leaves it out.
        close: whether the reply says that its connection ends.

    Returns:
        The pieces of the head, to be written in this order.
    """
    pieces = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    if date_us is not None:
        pieces.append(b"Date: %s\r\n" % formatdate(date_us / 1e6, usegmt=True).encode())
    pieces += [line + b"\r\n" for line in headers]
    if content_length is not None:
        pieces.append(b"Content-Length: %d\r\n" % content_length)
    pieces.append(b"Connection: close\r\n\r\n" if close_connection else b"\r\n")
    return pieces
