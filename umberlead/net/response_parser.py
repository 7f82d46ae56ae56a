"""Reading HTTP/1.1 replies of chunk servers."""

import re
from typing import Protocol

import httptools

from umberlead.net.streaming import exceeds_stream_limit

CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")
SWITCHING_PROTOCOLS_STATUS, FIRST_FINAL_STATUS = 101, 200


class ResponseReceiver(Protocol):
    """Takes what a parser reads."""

    @property
    def attempt_cancelled(self) -> bool:
        """Whether nothing more is wanted of the reply."""

    def body_received(self, data: bytes) -> None:
        """A piece of the body came."""

    def interim_response_complete(self) -> None:
        """An interim reply ended; the reply itself is still to come."""

    def response_failed(self, failure: str) -> None:
        """The reply can't be read: "malformed", "too_large"."""


class BufferAccounting(Protocol):
    """Counts the bytes of all replies that are being read."""

    buffered_bytes: int


class ResponseParser:
    """Parses the replies on one connection, one after the other.

    Attributes:
        headers: the reply's header fields, by name in lower case.
        body: the pieces of the body that are kept, `body_bytes` in all.
        head_bytes: how much came before the head was complete.
        length: what Content-Length says; None without one.
        framed: whether the reply says where its body ends, other than with its connection.
        head_complete: whether all of the head was read.
        complete: whether all of the reply was read.
        keep_alive: whether the connection can be used again, once it is complete.
        surplus: whether more came than the reply.
        begun: whether the reply, or an interim one, has begun.
        first_us: when its first byte came.
        heard_us: when its latest byte came.
    """

    def __init__(self, receiver: ResponseReceiver, accounting: BufferAccounting) -> None:
        """Tell `receiver` of what is read; what is kept counts in `memory`."""
        self._receiver, self._accounting = receiver, accounting
        self.body_bytes = 0
        self.first_received_us = self.last_received_us = 0
        self.reset()

    def reset(self) -> None:
        """Begin the next reply."""
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.release_body()
        self.header_bytes = 0
        self.content_length: int | None = None
        self.framed = self.headers_complete = self.complete = self.keep_alive = False
        self.has_surplus = self.started = False

    def release_body(self) -> None:
        """Drop the body, and what it held."""
        self._accounting.buffered_bytes -= self.body_bytes
        self.body_pieces: list[bytes] = []
        self.body_bytes = 0

    def buffer_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.body_bytes += len(data)
        self._accounting.buffered_bytes += len(data)
        self.body_pieces.append(data)

    @property
    def status(self) -> int:
        """The reply's HTTP status."""
        return self._parser.get_status_code()

    @property
    def reusable(self) -> bool:
        """Whether the reply leaves its connection fit for another."""
        return self.keep_alive and not self.has_surplus

    def feed(self, data: bytes, now_us: int) -> bool:
        """Parse bytes; False if they are no HTTP."""
        self.last_received_us = now_us
        if not self.started:
            self.started, self.first_received_us = True, now_us
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
        """Begin a reply: the first, one behind an interim one, or one that nobody asked for."""
        self.has_surplus |= self.complete
        if not self.started:
            self.started, self.first_received_us = True, self.last_received_us

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field; not a trailer, nor one of a surplus reply."""
        if self.complete or self.headers_complete:
            return
        name, value = name.lower(), value.strip(b" \t")
        if name in self.headers and name in (b"content-length", b"transfer-encoding"):
            value = self.headers[name] + b", " + value  # two lengths are none
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head of the reply, as far as it frames the body."""
        if self.complete or self._receiver.attempt_cancelled:
            return
        self.headers_complete = True
        if self.status < FIRST_FINAL_STATUS:
            return
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        self.framed = length is not None or coding is not None
        if length is None:
            return
        if coding is not None or CONTENT_LENGTH_PATTERN.fullmatch(length) is None:
            return self._receiver.response_failed("malformed")
        self.content_length = int(length)
        if exceeds_stream_limit(self.content_length):
            self._receiver.response_failed("too_large")

    def on_body(self, body: bytes) -> None:
        """Hand a piece of the body over."""
        if not self.complete and not self._receiver.attempt_cancelled:
            self._receiver.body_received(body)

    def on_message_complete(self) -> None:
        """End the reply; what comes behind it is looked at, and never reaches the next one."""
        if self.complete or self._receiver.attempt_cancelled:
            return
        if self.status == SWITCHING_PROTOCOLS_STATUS:
            self._receiver.response_failed("malformed")
        elif self.status < FIRST_FINAL_STATUS:
            self.release_body()
            self.headers, self.headers_complete = {}, False
            self.started = False  # the reply itself may be long in coming: the request's time bounds that
            self._receiver.interim_response_complete()
        else:
            self.keep_alive = self._parser.should_keep_alive()
            self.complete = True
