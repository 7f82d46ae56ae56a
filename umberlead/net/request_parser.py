"""Reading HTTP/1.1 requests from a client's bytes: limits, framing, and what is refused."""

import re
from typing import Protocol

import httptools

from umberlead.net.client_connections import Clients
from umberlead.net.http_message import SINGLETON_HEADERS, Message
from umberlead.net.timeouts import RequestProgress

CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")


class RequestLimits(Protocol):
    """What a front allows its clients to send."""

    max_body_bytes: int
    singleton_headers: frozenset[bytes]  # fields, beside those of HTTP, that may come once


class RequestReceiver(Protocol):
    """Takes what a parser reads."""

    @property
    def accepts_requests(self) -> bool:
        """Whether what comes is still read as requests."""

    def request_begun(self) -> None:
        """The first byte of a request came."""

    def head_complete(self, message: Message) -> None:
        """The head of a request was read and can be used."""

    def body_progress(self) -> None:
        """A piece of a body came."""

    def request_complete(self, message: Message) -> None:
        """All of a request was read."""

    def refuse(self, status: int, reason: str) -> None:
        """Nothing more can be read: answer with this status."""


class InputClosedError(Exception):
    """Raised in a callback of httptools, and not passed on: nothing behind this is read as a request."""


class RequestParser:
    """Parses the requests of one connection, one after the other; bytes of bodies count as held memory."""

    def __init__(self, receiver: RequestReceiver, limits: RequestLimits, clients: Clients) -> None:
        """Tell `receiver` of what is read, within the limits of a front and of its listener's clients."""
        self._receiver, self._limits, self._clients = receiver, limits, clients
        self._parser = httptools.HttpRequestParser(self)
        self.message: Message | None = None  # the request that is being read
        self.feeding = False  # within `feed`, which is not entered twice
        self._head_bytes = self._field_bytes = self._body_bytes = 0
        self._in_head = False
        self._repeated_header = b""  # a field that came again and must not
        self._body: bytes | bytearray = b""
        self._body_since_us = self._received_us = 0

    @property
    def progress(self) -> RequestProgress | None:
        """How far the present request was read; None between requests."""
        if self.message is None:
            return None
        return RequestProgress(not self._in_head, self._body_since_us, self._body_bytes)

    def feed(self, data: bytes, received_us: int) -> None:
        """Parse bytes that were read at that time; the receiver is told what they hold within this call."""
        self._received_us = received_us
        if self._in_head or self.message is None:
            self._head_bytes += len(data)
        self.feeding = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._receiver.accepts_requests:
                self._receiver.refuse(400, "this is not HTTP/1.1 as it is spoken here")
            return
        finally:
            self.feeding = False
        too_large = self._head_bytes > self._clients.max_head_bytes
        if self._in_head and self._receiver.accepts_requests and too_large:
            self._refuse_head()

    def discard(self) -> None:
        """Drop the request that is being read, and what its body held."""
        if self.message is not None:
            self._clients.held_bytes -= self._body_bytes
            self._body = b""
            self.message = None

    def _refuse_head(self) -> None:
        self._receiver.refuse(431, f"a head may have {self._clients.max_head_bytes} bytes")

    def _max_body_bytes(self) -> int:
        return min(self._limits.max_body_bytes, self._clients.memory_limit_bytes)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._receiver.accepts_requests:
            raise InputClosedError
        self.message, self._body, self._body_bytes, self._in_head = Message(), b"", 0, True
        self._field_bytes, self._repeated_header = 0, b""
        self._receiver.request_begun()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        if self.message is not None:
            self.message.target += url
            self._field_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field, or a trailer, which must not change what the head said."""
        message = self.message
        if message is None:
            return
        self._field_bytes += len(name) + len(value) + 4
        if not self._in_head:
            if self._field_bytes > self._clients.max_head_bytes:
                self._refuse_head()
            return
        name, value = name.lower(), value.strip(b" \t")  # RFC 9112: space around a value is none of it
        if name in message.headers:
            if name in SINGLETON_HEADERS or name in self._limits.singleton_headers:
                self._repeated_header = self._repeated_header or name
            value = message.headers[name] + b", " + value
        message.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head."""
        message = self.message
        if message is None or not self._receiver.accepts_requests:
            return
        self._in_head, self._body_since_us = False, self._clients.clock()
        if self._field_bytes > self._clients.max_head_bytes:
            return self._refuse_head()
        fault = self._framing_fault(message)
        if fault is not None:
            return self._receiver.refuse(*fault)
        self._receiver.head_complete(message)

    def _framing_fault(self, message: Message) -> tuple[int, str] | None:
        """Return the status and the reason for which this head is refused."""
        if self._repeated_header:
            return 400, f"{self._repeated_header.decode('latin-1')} came twice"
        length, coding = message.headers.get(b"content-length"), message.headers.get(b"transfer-encoding")
        if length is not None and (coding is not None or CONTENT_LENGTH.fullmatch(length) is None):
            # Read by one and not by the other, the body would hide a second request.
            return 400, "Content-Length is malformed, or comes with Transfer-Encoding"
        if coding is not None and coding.lower() != b"chunked":
            return 400, "Transfer-Encoding may be chunked here"
        if length is not None and int(length) > self._max_body_bytes():
            return 413, f"a body may have {self._max_body_bytes()} bytes"
        return None

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self.message is None or not self._receiver.accepts_requests:
            return
        self._body_bytes += len(body)
        self._receiver.body_progress()
        self._clients.held_bytes += len(body)
        # One buffer that grows in place: pieces joined at the end would take the memory twice.
        if not self._body:
            self._body = body
        elif isinstance(self._body, bytearray):
            self._body += body
        else:
            self._body = bytearray(self._body) + body
        if self._body_bytes > self._max_body_bytes():
            self._receiver.refuse(413, f"a body may have {self._max_body_bytes()} bytes")
        elif self._clients.held_bytes > self._clients.memory_limit_bytes:
            self._clients.counters.add("bodies_over_memory")
            self._receiver.refuse(503, "too many bodies are held at present")

    def on_message_complete(self) -> None:
        """Hand the request over."""
        message = self.message
        if message is None or not self._receiver.accepts_requests:
            return
        self.message, self._head_bytes = None, 0
        message.method = self._parser.get_method()
        if message.target[:7].lower() == b"http://":  # the absolute form says no more than Host
            message.target = b"/" + message.target[7:].partition(b"/")[2]
        message.body = self._body
        message.version = self._parser.get_http_version()
        message.keep_alive = self._parser.should_keep_alive()
        message.received = self._received_us  # its time runs from its last byte, not from its turn
        self._body = b""
        self._receiver.request_complete(message)
