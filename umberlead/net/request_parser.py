"""Reading HTTP/1.1 requests from a client's bytes: limits, framing, and what is refused."""

import re
from typing import Protocol

import httptools

from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import SINGLETON_HEADERS, HttpRequest
from umberlead.net.timeouts import RequestProgress

CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")


class RequestLimits(Protocol):
    """What a front allows its clients to send."""

    max_body_bytes: int
    singleton_headers: frozenset[bytes]  # fields, beside those of HTTP, that may come once


class RequestReceiver(Protocol):
    """Takes what a parser reads."""

    @property
    def accepts_requests(self) -> bool:
        """Whether what comes is still read as requests."""

    def request_started(self) -> None:
        """The first byte of a request came."""

    def headers_complete(self, request: HttpRequest) -> None:
        """The head of a request was read and can be used."""

    def body_progressed(self) -> None:
        """A piece of a body came."""

    def request_complete(self, request: HttpRequest) -> None:
        """All of a request was read."""

    def reject(self, status: int, reason: str) -> None:
        """Nothing more can be read: answer with this status."""


class InputClosedError(Exception):
    """Raised in a callback of httptools, and not passed on: nothing behind this is read as a request."""


class RequestParser:
    """Parses the requests of one connection, one after the other; bytes of bodies count as held memory."""

    def __init__(self, receiver: RequestReceiver, limits: RequestLimits, clients: ClientGroup) -> None:
        """Tell `receiver` of what is read, within the limits of a front and of its listener's clients."""
        self._receiver, self._limits, self._clients = receiver, limits, clients
        self._parser = httptools.HttpRequestParser(self)
        self.partial_request: HttpRequest | None = None  # the request that is being read
        self.feeding = False  # within `feed`, which is not entered twice
        self._header_bytes = self._field_bytes = self._body_bytes = 0
        self._in_headers = False
        self._repeated_header = b""  # a field that came again and must not
        self._body: bytes | bytearray = b""
        self._body_since_us = self._received_us = 0

    @property
    def progress(self) -> RequestProgress | None:
        """How far the present request was read; None between requests."""
        if self.partial_request is None:
            return None
        return RequestProgress(not self._in_headers, self._body_since_us, self._body_bytes)

    def feed(self, data: bytes, received_us: int) -> None:
        """Parse bytes that were read at that time; the receiver is told what they hold within this call."""
        self._received_us = received_us
        if self._in_headers or self.partial_request is None:
            self._header_bytes += len(data)
        self.feeding = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._receiver.accepts_requests:
                self._receiver.reject(400, "this is not HTTP/1.1 as it is spoken here")
            return
        finally:
            self.feeding = False
        too_large = self._header_bytes > self._clients.max_header_bytes
        if self._in_headers and self._receiver.accepts_requests and too_large:
            self._reject_headers()

    def discard(self) -> None:
        """Drop the request that is being read, and what its body held."""
        if self.partial_request is not None:
            self._clients.buffered_bytes -= self._body_bytes
            self._body = b""
            self.partial_request = None

    def _reject_headers(self) -> None:
        self._receiver.reject(431, f"a head may have {self._clients.max_header_bytes} bytes")

    def _max_body_bytes(self) -> int:
        return min(self._limits.max_body_bytes, self._clients.buffer_limit_bytes)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._receiver.accepts_requests:
            raise InputClosedError
        self.partial_request, self._body, self._body_bytes, self._in_headers = HttpRequest(), b"", 0, True
        self._field_bytes, self._repeated_header = 0, b""
        self._receiver.request_started()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        if self.partial_request is not None:
            self.partial_request.target += url
            self._field_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field, or a trailer, which must not change what the head said."""
        request = self.partial_request
        if request is None:
            return
        self._field_bytes += len(name) + len(value) + 4
        if not self._in_headers:
            if self._field_bytes > self._clients.max_header_bytes:
                self._reject_headers()
            return
        name, value = name.lower(), value.strip(b" \t")  # RFC 9112: space around a value is none of it
        if name in request.headers:
            if name in SINGLETON_HEADERS or name in self._limits.singleton_headers:
                self._repeated_header = self._repeated_header or name
            value = request.headers[name] + b", " + value
        request.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head."""
        request = self.partial_request
        if request is None or not self._receiver.accepts_requests:
            return
        self._in_headers, self._body_since_us = False, self._clients.clock()
        if self._field_bytes > self._clients.max_header_bytes:
            return self._reject_headers()
        error = self._framing_error(request)
        if error is not None:
            return self._receiver.reject(*error)
        self._receiver.headers_complete(request)

    def _framing_error(self, request: HttpRequest) -> tuple[int, str] | None:
        """Return the status and the reason for which this head is refused."""
        if self._repeated_header:
            return 400, f"{self._repeated_header.decode('latin-1')} came twice"
        length, coding = request.headers.get(b"content-length"), request.headers.get(b"transfer-encoding")
        if length is not None and (coding is not None or CONTENT_LENGTH_PATTERN.fullmatch(length) is None):
            # Read by one and not by the other, the body would hide a second request.
            return 400, "Content-Length is malformed, or comes with Transfer-Encoding"
        if coding is not None and coding.lower() != b"chunked":
            return 400, "Transfer-Encoding may be chunked here"
        if length is not None and int(length) > self._max_body_bytes():
            return 413, f"a body may have {self._max_body_bytes()} bytes"
        return None

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self.partial_request is None or not self._receiver.accepts_requests:
            return
        self._body_bytes += len(body)
        self._receiver.body_progressed()
        self._clients.buffered_bytes += len(body)
        # One buffer that grows in place: pieces joined at the end would take the memory twice.
        if not self._body:
            self._body = body
        elif isinstance(self._body, bytearray):
            self._body += body
        else:
            self._body = bytearray(self._body) + body
        if self._body_bytes > self._max_body_bytes():
            self._receiver.reject(413, f"a body may have {self._max_body_bytes()} bytes")
        elif self._clients.buffered_bytes > self._clients.buffer_limit_bytes:
            self._clients.counters.add("bodies_over_memory")
            self._receiver.reject(503, "too many bodies are held at present")

    def on_message_complete(self) -> None:
        """Hand the request over."""
        request = self.partial_request
        if request is None or not self._receiver.accepts_requests:
            return
        self.partial_request, self._header_bytes = None, 0
        request.method = self._parser.get_method()
        if request.target[:7].lower() == b"http://":  # the absolute form says no more than Host
            request.target = b"/" + request.target[7:].partition(b"/")[2]
        request.body = self._body
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        request.received_us = self._received_us  # its time runs from its last byte, not from its turn
        self._body = b""
        self._receiver.request_complete(request)
