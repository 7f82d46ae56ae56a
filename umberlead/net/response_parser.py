"""Parsing of endpoints' HTTP/1.1 responses."""

import re
from typing import Protocol

import httptools

from umberlead.net.streaming import exceeds_stream_limit

CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")
SWITCHING_PROTOCOLS_STATUS = 101
FIRST_FINAL_STATUS = 200
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class ResponseReceiver(Protocol):
    """Receives the events of a response parser."""

    @property
    def attempt_cancelled(self) -> bool:
        """Whether the remainder of the response is not needed."""

    def body_received(self, data: bytes) -> None:
        """Handle a piece of the body."""

    def response_failed(self, failure: str) -> None:
        """Handle a response that can't be used: "malformed" or "too_large"."""


class BufferAccounting(Protocol):
    """Counts the buffered bytes of all responses that are being read."""

    buffered_bytes: int


class ResponseParser:
    """Parses the responses on one connection, one after the other.

    Attributes:
        headers: the header fields that are used, by name in lower case.
        body: the buffered part of the body.
        body_bytes: its size.
        header_bytes: size of the input up to the end of the headers.
        content_length: the value of Content-Length; None without one.
        framed: whether Content-Length or Transfer-Encoding delimits the body, not the end of the connection.
        headers_complete: whether all headers were read.
        complete: whether all of the response was read.
        keep_alive: whether the connection can be reused once the response is complete.
        has_surplus: whether input followed the response.
        started: whether the response, or an interim one, has started.
        first_received_us: when its first byte was received.
        last_received_us: when its latest byte was received.
    """

    def __init__(
        self, receiver: ResponseReceiver, accounting: BufferAccounting, protocol_headers: frozenset[bytes]
    ) -> None:
        """Report to `receiver`; buffered bytes count in `accounting`.

        Of the header fields, only `protocol_headers` and those that delimit the body are kept.
        """
        self._receiver = receiver
        self._kept_headers = protocol_headers | FRAMING_HEADERS
        self._accounting = accounting
        self.body_bytes = 0
        self.first_received_us = self.last_received_us = 0
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.release_body()
        self.header_bytes = 0
        self.content_length: int | None = None
        self.framed = self.headers_complete = self.complete = self.keep_alive = False
        self.has_surplus = self.started = False

    def close(self) -> None:
        """Release the body, and break the reference cycles; the parser can't be used afterwards.

        Otherwise the memory of a closed connection would wait for the garbage collection.
        """
        self.release_body()
        del self._parser, self._receiver

    def release_body(self) -> None:
        """Discard the body, and release its memory."""
        self._accounting.buffered_bytes -= self.body_bytes
        self.body: bytes | bytearray = b""
        self.body_bytes = 0

    def buffer_body(self, data: bytes) -> None:
        """Buffer a piece of the body."""
        self.body_bytes += len(data)
        self._accounting.buffered_bytes += len(data)
        # One buffer grows in place: an object for each small piece would take many times its size.
        if not self.body:
            self.body = data
        elif isinstance(self.body, bytearray):
            self.body += data
        else:
            self.body = bytearray(self.body) + data

    @property
    def status(self) -> int:
        """The response's HTTP status."""
        return self._parser.get_status_code()

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request after this response."""
        return self.keep_alive and not self.has_surplus

    def feed(self, data: bytes, now_us: int) -> bool:
        """Parse input received at `now_us`; return False if it is not HTTP."""
        self.last_received_us = now_us
        if not self.started:
            self.started = True
            self.first_received_us = now_us
        if not self.headers_complete:
            self.header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                return False
            self.has_surplus = True
        return True

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a response: the first one, one that follows an interim response, or an unsolicited one."""
        self.has_surplus |= self.complete
        if not self.started:
            self.started = True
            self.first_received_us = self.last_received_us

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field if it is kept; trailers and fields of a surplus response are ignored."""
        if self.complete or self.headers_complete:
            return
        name = name.lower()
        if name not in self._kept_headers:
            return
        value = value.strip(b" \t")
        if name in self.headers and name in FRAMING_HEADERS:
            value = self.headers[name] + b", " + value  # a repeated field is invalid
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the header fields that delimit the body."""
        if self.complete or self._receiver.attempt_cancelled:
            return
        self.headers_complete = True
        if self.status < FIRST_FINAL_STATUS:
            return
        length = self.headers.get(b"content-length")
        coding = self.headers.get(b"transfer-encoding")
        self.framed = length is not None or coding is not None
        if length is None:
            return
        if coding is not None or CONTENT_LENGTH_PATTERN.fullmatch(length) is None:
            return self._receiver.response_failed("malformed")
        self.content_length = int(length)
        if exceeds_stream_limit(self.content_length):
            self._receiver.response_failed("too_large")

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        if not self.complete and not self._receiver.attempt_cancelled:
            self._receiver.body_received(body)

    def on_message_complete(self) -> None:
        """End the response; input that follows it is never taken for the next one."""
        if self.complete or self._receiver.attempt_cancelled:
            return
        if self.status == SWITCHING_PROTOCOLS_STATUS:
            self._receiver.response_failed("malformed")
        elif self.status < FIRST_FINAL_STATUS:
            self.release_body()
            self.headers = {}
            self.headers_complete = False
            self.started = False
        else:
            self.keep_alive = self._parser.should_keep_alive()
            self.complete = True
