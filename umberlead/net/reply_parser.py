"""Reading HTTP/1.1 replies of chunk servers."""

import re
from typing import Protocol

import httptools

from umberlead.net.streaming import exceeds_stream_limit

CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")
SWITCHING_PROTOCOLS, FIRST_FINAL_STATUS = 101, 200


class ReplyReceiver(Protocol):
    """Takes what a parser reads."""

    @property
    def given_up(self) -> bool:
        """Whether nothing more is wanted of the reply."""

    def body_received(self, data: bytes) -> None:
        """A piece of the body came."""

    def interim_complete(self) -> None:
        """An interim reply ended; the reply itself is still to come."""

    def reply_failed(self, fault: str) -> None:
        """The reply can't be read: "malformed", "too_large"."""


class HeldMemory(Protocol):
    """Counts the bytes of all replies that are being read."""

    held_bytes: int


class ReplyParser:
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

    def __init__(self, receiver: ReplyReceiver, memory: HeldMemory) -> None:
        """Tell `receiver` of what is read; what is kept counts in `memory`."""
        self._receiver, self._memory = receiver, memory
        self.body_bytes = 0
        self.first_us = self.heard_us = 0
        self.reset()

    def reset(self) -> None:
        """Begin the next reply."""
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.release()
        self.head_bytes = 0
        self.length: int | None = None
        self.framed = self.head_complete = self.complete = self.keep_alive = False
        self.surplus = self.begun = False

    def release(self) -> None:
        """Drop the body, and what it held."""
        self._memory.held_bytes -= self.body_bytes
        self.body: list[bytes] = []
        self.body_bytes = 0

    def keep(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.body_bytes += len(data)
        self._memory.held_bytes += len(data)
        self.body.append(data)

    @property
    def status(self) -> int:
        """The reply's HTTP status."""
        return self._parser.get_status_code()

    @property
    def reusable(self) -> bool:
        """Whether the reply leaves its connection fit for another."""
        return self.keep_alive and not self.surplus

    def feed(self, data: bytes, now_us: int) -> bool:
        """Parse bytes; False if they are no HTTP."""
        self.heard_us = now_us
        if not self.begun:
            self.begun, self.first_us = True, now_us
        if not self.head_complete:
            self.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                return False
            self.surplus = True
        return True

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a reply: the first, one behind an interim one, or one that nobody asked for."""
        self.surplus |= self.complete
        if not self.begun:
            self.begun, self.first_us = True, self.heard_us

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field; not a trailer, nor one of a surplus reply."""
        if self.complete or self.head_complete:
            return
        name, value = name.lower(), value.strip(b" \t")
        if name in self.headers and name in (b"content-length", b"transfer-encoding"):
            value = self.headers[name] + b", " + value  # two lengths are none
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head of the reply, as far as it frames the body."""
        if self.complete or self._receiver.given_up:
            return
        self.head_complete = True
        if self.status < FIRST_FINAL_STATUS:
            return
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        self.framed = length is not None or coding is not None
        if length is None:
            return
        if coding is not None or CONTENT_LENGTH.fullmatch(length) is None:
            return self._receiver.reply_failed("malformed")
        self.length = int(length)
        if exceeds_stream_limit(self.length):
            self._receiver.reply_failed("too_large")

    def on_body(self, body: bytes) -> None:
        """Hand a piece of the body over."""
        if not self.complete and not self._receiver.given_up:
            self._receiver.body_received(body)

    def on_message_complete(self) -> None:
        """End the reply; what comes behind it is looked at, and never reaches the next one."""
        if self.complete or self._receiver.given_up:
            return
        if self.status == SWITCHING_PROTOCOLS:
            self._receiver.reply_failed("malformed")
        elif self.status < FIRST_FINAL_STATUS:
            self.release()
            self.headers, self.head_complete = {}, False
            self.begun = False  # the reply itself may be long in coming: the request's time bounds that
            self._receiver.interim_complete()
        else:
            self.keep_alive = self._parser.should_keep_alive()
            self.complete = True
