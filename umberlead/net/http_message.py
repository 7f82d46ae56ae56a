"""HTTP/1.1 messages: parsed requests, rejections, and the encoding of response headers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from email.utils import formatdate

# Fields that must not be repeated: the endpoint could use a different value than this program does.
SINGLETON_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"host", b"expect"))
BODYLESS_STATUSES = (204, 304)  # responses that have neither body nor Content-Length

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
        body: the complete body, without its transfer coding.
        version: the HTTP version, such as "1.1".
        keep_alive: whether the client keeps the connection after the response.
        received_us: when the last byte was received, in microseconds of the process's clock.
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
    """The response to a request that can't be read or served.

    Attributes:
        status: the HTTP status.
        reason: text of the response body.
        target: the request target; empty if it is not known.
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
    """Encode the status line and the headers of a response.

    Args:
        status: the HTTP status.
        headers: complete header lines, without line ends.
        content_length: the value of Content-Length; None omits it.
        date_us: the time of the Date field, in microseconds since the epoch; None omits it.
        close_connection: whether to send `Connection: close`.

    Returns:
        The pieces, in the order in which they are written.
    """
    pieces = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    if date_us is not None:
        pieces.append(b"Date: %s\r\n" % formatdate(date_us / 1e6, usegmt=True).encode())
    pieces += [line + b"\r\n" for line in headers]
    if content_length is not None:
        pieces.append(b"Content-Length: %d\r\n" % content_length)
    pieces.append(b"Connection: close\r\n\r\n" if close_connection else b"\r\n")
    return pieces
