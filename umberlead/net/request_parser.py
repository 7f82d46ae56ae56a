"""Parsing of clients' HTTP/1.1 requests: limits, framing and rejections."""

import re
from typing import Protocol

import httptools

from umberlead.common.errors import UmberleadError
from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import SINGLETON_HEADERS, HttpRequest, RequestRejection
from umberlead.net.timeouts import RequestProgress

CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")
MAX_KEPT_FIELDS_COUNT = 200  # in one head; a field takes some 100 bytes beside its name and value


class RequestLimits(Protocol):
    """Limits of a front end on the requests of its clients.

    Attributes:
        max_body_bytes: limit on a body.
        singleton_headers: header fields, beside those of HTTP, that must not be repeated.
        kept_headers: header fields, beside those of HTTP, that requests are given with; others are dropped.
        kept_header_prefixes: beginnings of the names of further such fields.
    """

    max_body_bytes: int
    singleton_headers: frozenset[bytes]
    kept_headers: frozenset[bytes]
    kept_header_prefixes: tuple[bytes, ...]


class RequestReceiver(Protocol):
    """Receives the events of a request parser."""

    @property
    def accepts_requests(self) -> bool:
        """Whether input is still read as requests."""

    def request_started(self) -> None:
        """Handle the first byte of a request."""

    def headers_complete(self, request: HttpRequest) -> None:
        """Handle a request whose headers are complete and valid."""

    def body_progressed(self) -> None:
        """Handle the arrival of a piece of a body."""

    def request_complete(self, request: HttpRequest) -> None:
        """Handle a complete request."""

    def reject(self, status: int, reason: str) -> None:
        """Respond with `status`: no further input can be read."""


class InputClosedError(UmberleadError):
    """Raised in a callback of httptools to stop parsing: no further input is read as a request."""


class RequestParser:
    """Parses the requests of one connection, one after the other; bodies count as buffered memory.

    Attributes:
        partial_request: the request that is being read.
    """

    def __init__(self, receiver: RequestReceiver, limits: RequestLimits, clients: ClientGroup) -> None:
        """Report to `receiver`, within the limits of a front end and of its listener's clients."""
        self._receiver = receiver
        self._limits = limits
        self._clients = clients
        self._parser = httptools.HttpRequestParser(self)
        self.partial_request: HttpRequest | None = None
        self._header_bytes = self._field_bytes = self._body_bytes = 0
        self._in_headers = False
        self._kept_headers = SINGLETON_HEADERS | limits.singleton_headers | limits.kept_headers
        self._repeated_header = b""  # name of a repeated field that must not be repeated
        self._body: bytes | bytearray = b""
        self._body_since_us = self._received_us = 0

    @property
    def progress(self) -> RequestProgress | None:
        """How far the current request has been read; None between requests."""
        if self.partial_request is None:
            return None
        return RequestProgress(not self._in_headers, self._body_since_us, self._body_bytes)

    def remaining_body_bytes(self) -> int:
        """Return how many of the next bytes belong to the present body; 0 if that is not known."""
        if self._in_headers or self.partial_request is None:
            return 0
        length = self.partial_request.headers.get(b"content-length", b"")
        return max(int(length) - self._body_bytes, 0) if length else 0

    def feed(self, data: bytes, received_us: int) -> None:
        """Parse input received at `received_us`; calls the receiver. Not reentrant."""
        self._received_us = received_us
        if self._in_headers or self.partial_request is None:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._receiver.accepts_requests:
                self._receiver.reject(400, "this is not HTTP/1.1 as it is spoken here")
            return
        too_large = self._header_bytes > self._clients.max_header_bytes
        if self._in_headers and self._receiver.accepts_requests and too_large:
            self._reject_headers()

    def discard(self) -> None:
        """Discard the request that is being read, and release its body."""
        if self.partial_request is not None:
            self._clients.buffered_bytes -= self._body_bytes
            self._body = b""
            self.partial_request = None

    def close(self) -> None:
        """Discard what was read, and break the reference cycles; the parser can't be used afterwards.

        Otherwise the memory of a closed connection would wait for the garbage collection.
        """
        self.discard()
        del self._parser, self._receiver

    def _reject_headers(self) -> None:
        self._receiver.reject(431, f"a head may have {self._clients.max_header_bytes} bytes")

    def _max_body_bytes(self) -> int:
        return min(self._limits.max_body_bytes, self._clients.buffer_limit_bytes)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._receiver.accepts_requests:
            raise InputClosedError
        self.partial_request = HttpRequest()
        self._body = b""
        self._body_bytes = 0
        self._in_headers = True
        self._field_bytes = 0
        self._repeated_header = b""
        self._receiver.request_started()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the target."""
        if self.partial_request is not None:
            self.partial_request.target += url
            self._field_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field if it is kept; trailer fields can't change the headers."""
        request = self.partial_request
        if request is None:
            return
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > self._clients.max_header_bytes:
            return self._reject_headers()
        if not self._in_headers:
            return
        name = name.lower()
        if name not in self._kept_headers and not name.startswith(self._limits.kept_header_prefixes):
            return
        if len(request.headers) >= MAX_KEPT_FIELDS_COUNT:
            return self._receiver.reject(431, f"a head may have {MAX_KEPT_FIELDS_COUNT} fields")
        value = value.strip(b" \t")  # RFC 9112: whitespace around a value is not part of it
        if name in request.headers:
            if name in SINGLETON_HEADERS or name in self._limits.singleton_headers:
                self._repeated_header = self._repeated_header or name
            value = request.headers[name] + b", " + value
        request.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the complete headers."""
        request = self.partial_request
        if request is None or not self._receiver.accepts_requests:
            return
        self._in_headers = False
        self._body_since_us = self._clients.clock()
        if self._field_bytes > self._clients.max_header_bytes:
            return self._reject_headers()
        rejection = self._framing_error(request)
        if rejection is not None:
            return self._receiver.reject(rejection.status, rejection.reason)
        self._receiver.headers_complete(request)

    def _framing_error(self, request: HttpRequest) -> RequestRejection | None:
        """Return why these headers are rejected; None if they are not."""
        if self._repeated_header:
            return RequestRejection(
                400, f"{self._repeated_header.decode('latin-1')} came twice", request.target
            )
        length = request.headers.get(b"content-length")
        coding = request.headers.get(b"transfer-encoding")
        if length is not None and (coding is not None or CONTENT_LENGTH_PATTERN.fullmatch(length) is None):
            # Request smuggling: the body could hide a second request.
            return RequestRejection(
                400, "Content-Length is malformed, or comes with Transfer-Encoding", request.target
            )
        if coding is not None and coding.lower() != b"chunked":
            return RequestRejection(400, "Transfer-Encoding may be chunked here", request.target)
        if length is not None and int(length) > self._max_body_bytes():
            return RequestRejection(413, f"a body may have {self._max_body_bytes()} bytes", request.target)
        return None

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body."""
        if self.partial_request is None or not self._receiver.accepts_requests:
            return
        self._body_bytes += len(body)
        self._receiver.body_progressed()
        self._clients.buffered_bytes += len(body)
        # One buffer grows in place, since joining pieces at the end would need twice the memory.
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
        """Pass a complete request on."""
        request = self.partial_request
        if request is None or not self._receiver.accepts_requests:
            return
        self.partial_request = None
        self._header_bytes = 0
        request.method = self._parser.get_method()
        if request.target[:7].lower() == b"http://":  # absolute form: the authority only repeats Host
            request.target = b"/" + request.target[7:].partition(b"/")[2]
        request.body = self._body
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        # The time budget runs from the last byte, even while the request waits for earlier ones.
        request.received_us = self._received_us
        self._body = b""
        self._receiver.request_complete(request)
