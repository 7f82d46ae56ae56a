"""One call to service discovery: HTTP framing and JSON objects of its streamed response, without retries."""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from umberlead.common.timer_wheel import Timer
from umberlead.configuration import Address
from umberlead.net.bounded_reads import BoundedReadProtocol
from umberlead.recovery.discovery_pacing import WatchPacing

JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
MAX_LINE_BYTES = 4 << 20
READ_BYTES = 64 << 10  # size of one read outside the event loop
MAX_READS_COUNT = 64  # limit on consecutive reads outside the event loop


class WatchStreamOwner(Protocol):
    """The part of the watch that a stream uses; `DiscoveryWatch` implements it.

    Attributes:
        address: host and port of the discovery service.
        list_index: version of the latest list; the service sends newer ones.
        pacing: timeouts and backoff.
        clock: returns microseconds of one monotonic clock.
    """

    address: Address
    list_index: int
    pacing: WatchPacing
    clock: Callable[[], int]

    def arm_silence_timer(self, stream: "WatchStream") -> None:
        """Schedule the check of whether a stream has gone silent."""

    def response_started(self, stream: "WatchStream") -> None:
        """Handle the end of the response's headers."""

    def apply_line(self, stream: "WatchStream", line: bytes) -> bool:
        """Apply one JSON object; return False if it is not an endpoint list."""

    def stream_ended(self, stream: "WatchStream", reason: str) -> None:
        """Handle the end of a stream; called once for each stream."""


class WatchStream(BoundedReadProtocol):
    """One call to the discovery service and its streamed response.

    Attributes:
        transport: the connection; None while it is being established.
        partial_line: input after the latest line end.
        object_lines: lines of an incomplete JSON object, since an indented object spans several lines.
        brace_depth: number of unclosed braces in these lines.
        object_bytes: size of these lines.
        call: the pacing's record of this call.
        silence_timer: fires when the stream may have fallen silent.
        ended: no further input is applied.
    """

    def __init__(self, watch: WatchStreamOwner) -> None:
        """Start a call on behalf of `watch`, before its connection is established."""
        super().__init__()
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
        except httptools.HttpParserCallbackError as error:  # an error of this program, not of the service
            message = "a message of discovery could not be applied"
            asyncio.get_running_loop().call_exception_handler({"message": message, "exception": error})
            self.end("failed")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end("malformed")
        partial = not self.call.status or bool(self.object_lines or self.partial_line.strip())
        if partial != self.call.partial:
            self.call.partial = partial
            self.watch.arm_silence_timer(self)

    def reading_transport(self) -> asyncio.BaseTransport | None:
        """Return the transport that is read from."""
        return self.transport

    def read_unread_bytes(self) -> None:
        """Read the socket's receive buffer at once, outside the event loop.

        Timers and signal handlers run before the event loop reads. The front counts as notified of a change
        that has arrived, so the change must not be lost when the stream is closed or considered silent.
        """
        if self.ended or self.transport is None or self.transport.is_closing():
            return
        descriptor = self.transport.get_extra_info("socket").fileno()
        # A second socket object for the same descriptor, which is not duplicated.
        duplicate = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        try:
            with contextlib.suppress(OSError):  # no more input, or an error that the event loop reports
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
            except (ValueError, OverflowError):  # a date or malformed: only the backoff applies
                self.call.retry_after_us = 0

    def on_headers_complete(self) -> None:
        """Record the status, and report that the response has started."""
        self.watch.pacing.record_status(self.call, self.parser.get_status_code())
        self.watch.response_started(self)

    def on_body(self, body: bytes) -> None:
        """Split the body into lines, and apply complete objects."""
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

        An object that is malformed or incomplete may have announced a drain that no later line repeats. The
        stream ends then, and the list is requested again.
        """
        if not line.strip():
            if self.brace_depth:
                self.end("malformed")  # a keepalive, sent while the list is unchanged, within an object
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
        """End the stream: the response of a watch should never end."""
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
