"""One streamed response of service discovery: HTTP framing and JSON objects, without retries."""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from umberlead.common.timer_wheel import Timer
from umberlead.configuration import Address
from umberlead.recovery.discovery_pacing import WatchPacing

JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
MAX_LINE_BYTES = 4 << 20
READ_BYTES = 64 << 10  # of one read that precedes the event loop's
MAX_READS_COUNT = 64  # of such reads in one go


class WatchStreamOwner(Protocol):
    """What a stream needs of its watch; `DiscoveryWatch` implements it.

    Attributes:
        address: host and port of the discovery service.
        list_index: version of the latest list; the service sends what is newer.
        pacing: the rules on timeouts and backoff.
        clock: returns microseconds of one monotonic clock.
    """

    address: Address
    list_index: int
    pacing: WatchPacing
    clock: Callable[[], int]

    def arm_silence_timer(self, stream: "WatchStream") -> None:
        """Set the time at which a stream without input is given up."""

    def response_started(self, stream: "WatchStream") -> None:
        """Handle the end of the response's headers."""

    def apply_line(self, stream: "WatchStream", line: bytes) -> bool:
        """Apply one JSON object; return False if it is no endpoint list."""

    def stream_ended(self, stream: "WatchStream", reason: str) -> None:
        """Handle the end of a stream, which calls this once."""


class WatchStream(asyncio.Protocol):
    """One call to the discovery service and its streamed response.

    Attributes:
        transport: the connection; None while it is being established.
        partial_line: input behind the latest line end.
        object_lines: lines of a JSON object that is incomplete: objects may be indented.
        brace_depth: braces that are open in these lines.
        object_bytes: size of these lines.
        call: what the pacing knows of this call.
        silence_timer: fires when the stream may have fallen silent.
        ended: the stream delivers nothing any more.
    """

    def __init__(self, watch: WatchStreamOwner) -> None:
        """Start a call on behalf of `watch`; its connection follows."""
        self.watch = watch
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = b""
        self.object_lines: list[bytes] = []
        self.brace_depth = 0
        self.object_bytes = 0
        self.call = watch.pacing.start_call(watch.clock())
        self.silence_timer: Timer | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
            return
        target = b"/v1/servers?watch=1&after=%d" % self.watch.list_index
        host = b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1])
        self.call.connected_us = self.watch.clock()
        self.transport.writelines([b"GET ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])

    def data_received(self, data: bytes) -> None:
        """Parse input, and adapt the timeout to whether a line is incomplete."""
        if self.ended:
            return
        self.watch.pacing.record_activity(self.call, self.watch.clock())
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end("malformed")
        partial = not self.call.status or bool(self.object_lines or self.partial_line.strip())
        if partial != self.call.partial:
            self.call.partial = partial
            self.watch.arm_silence_timer(self)

    def read_unread_bytes(self) -> None:
        """Read what waits in the socket's receive buffer now.

        Timers and signals run before the event loop reads. A change that has arrived counts as notified, so
        it must not be lost with a stream that is closed or taken for silent.
        """
        if self.ended or self.transport is None or self.transport.is_closing():
            return
        descriptor = self.transport.get_extra_info("socket").fileno()
        # The same descriptor under a second object: no further one is used.
        duplicate = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        try:
            with contextlib.suppress(OSError):  # no more input, or its end, which the event loop reports
                for _ in range(MAX_READS_COUNT):
                    data = duplicate.recv(READ_BYTES, socket.MSG_DONTWAIT)
                    if not data or self.ended:
                        break
                    self.data_received(data)
        finally:
            duplicate.detach()

    # Callbacks of httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read Retry-After, in seconds."""
        if name.lower() == b"retry-after":
            try:
                self.call.retry_after_us = max(int(float(value) * 1e6), 0)
            except (ValueError, OverflowError):  # a date, or no number: backoff alone applies
                self.call.retry_after_us = 0

    def on_headers_complete(self) -> None:
        """Record the status, and report that the response has started."""
        self.watch.pacing.record_status(self.call, self.parser.get_status_code())
        self.watch.response_started(self)

    def on_body(self, body: bytes) -> None:
        """Split the body into lines, and objects into those that are complete."""
        if self.call.status != 200 or self.ended:
            return
        *lines, self.partial_line = (self.partial_line + body).split(b"\n")
        for line in lines:
            self._feed_line(line)
            if self.ended:
                return
        if self.partial_line.endswith(b"}"):  # an object may be complete before its line ends
            without_strings = JSON_STRING_PATTERN.sub(b"", self.partial_line)
            depth = self.brace_depth + without_strings.count(b"{") - without_strings.count(b"}")
            if b'"' not in without_strings and not depth:
                line = self.partial_line
                self.partial_line = b""
                return self._feed_line(line)
        if self.object_bytes + len(self.partial_line) > MAX_LINE_BYTES:
            self.end("line too long")

    def _feed_line(self, line: bytes) -> None:
        """Collect a line; an object ends with the line that closes its last brace.

        One that is malformed or breaks off may have announced a drain that no later line repeats, so the list
        is requested anew.
        """
        if not line.strip():
            if self.brace_depth:
                self.end("malformed")  # the keepalive of an unchanged list, within an object
            return
        without_strings = JSON_STRING_PATTERN.sub(b"", line)
        self.brace_depth += without_strings.count(b"{") - without_strings.count(b"}")
        self.object_lines.append(line)
        self.object_bytes += len(line)
        if self.brace_depth > 0:
            return
        object_text = b"\n".join(self.object_lines)
        self.object_lines = []
        self.brace_depth = 0
        self.object_bytes = 0
        if not self.watch.apply_line(self, object_text):
            self.end("malformed")

    def on_message_complete(self) -> None:
        """End the stream: a watch's response has no end of its own."""
        self.end("ended")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream."""
        self.end("lost")

    def end(self, reason: str) -> None:
        """Close the connection and report the end, once."""
        if not self.ended:
            self.ended = True
            if self.transport is not None:
                self.transport.abort()
            self.watch.stream_ended(self, reason)
