"""Discovery's watch: a stream of changes, reopened with back-off when it breaks or falls silent."""

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import Callable
from typing import Any, cast

import httptools

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Timer, TimerWheel
from umberlead.configuration import Address, DiscoveryMessage, parse_discovery_message
from umberlead.recovery.discovery_pacing import UNKNOWN_RESPONSE_TIMEOUT_US, WatchPacing

JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
MAX_LINE_BYTES = 4 << 20
READ_BYTES, MAX_READS_COUNT = 64 << 10, 64  # bytes of one read ahead of the loop, and how many of them


class _WatchStream(asyncio.Protocol):
    def __init__(self, watch: "DiscoveryWatch") -> None:
        self.watch = watch
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = b""  # a line that has not ended yet
        self.object_lines: list[bytes] = []  # of an object that has not ended yet: lists may come indented
        self.brace_depth = self.object_bytes = 0  # of its braces, and its bytes
        self.call = watch.pacing.start_call(watch.clock())
        self.silence_timer: Timer | None = None  # whether it still says something
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
            return
        target = b"/v1/servers?watch=1&after=%d" % self.watch.list_index
        host = b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1])
        self.call.connected_us = self.watch.clock()
        self.transport.writelines([b"GET ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])

    def data_received(self, data: bytes) -> None:
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
        """Read what the system holds of it now. Timers and signals run before the loop reads: a change that
        has arrived counts as told, so it must not go with a stream that is left or taken for silent."""
        if self.ended or self.transport is None or self.transport.is_closing():
            return
        descriptor = self.transport.get_extra_info("socket").fileno()
        duplicate = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor
        )  # not a descriptor more
        try:
            with contextlib.suppress(OSError):  # no more is here, or its end: the loop tells of that
                for _ in range(MAX_READS_COUNT):
                    data = duplicate.recv(READ_BYTES, socket.MSG_DONTWAIT)
                    if not data or self.ended:
                        break
                    self.data_received(data)
        finally:
            duplicate.detach()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.call.retry_after_us = max(int(float(value) * 1e6), 0)
            except (ValueError, OverflowError):  # a date, or nothing: the back-off alone
                self.call.retry_after_us = 0

    def on_headers_complete(self) -> None:
        self.watch.pacing.record_status(self.call, self.parser.get_status_code())
        self.watch.response_started(self)

    def on_body(self, body: bytes) -> None:
        if self.call.status != 200 or self.ended:
            return
        *lines, self.partial_line = (self.partial_line + body).split(b"\n")
        for line in lines:
            self._feed_line(line)
            if self.ended:
                return
        if self.partial_line.endswith(b"}"):  # all of an object may be here before its line's end
            without_strings = JSON_STRING_PATTERN.sub(b"", self.partial_line)
            if b'"' not in without_strings and self.brace_depth + without_strings.count(
                b"{"
            ) == without_strings.count(b"}"):
                line, self.partial_line = self.partial_line, b""
                return self._feed_line(line)
        if self.object_bytes + len(self.partial_line) > MAX_LINE_BYTES:
            self.end("line too long")

    def _feed_line(self, line: bytes) -> None:
        """An object ends with the line that closes its last brace. One that is no object, or that breaks off,
        may have told of a drain that no later line tells again: it is asked for anew."""
        if not line.strip():
            if self.brace_depth:
                self.end("malformed")  # the empty line of a quiet list, in the middle of an object
            return
        without_strings = JSON_STRING_PATTERN.sub(b"", line)
        self.brace_depth += without_strings.count(b"{") - without_strings.count(b"}")
        self.object_lines.append(line)
        self.object_bytes += len(line)
        if self.brace_depth > 0:
            return
        object_text, self.object_lines, self.brace_depth, self.object_bytes = (
            b"\n".join(self.object_lines),
            [],
            0,
            0,
        )
        if not self.watch.apply_line(self, object_text):
            self.end("malformed")

    def on_message_complete(self) -> None:
        self.end("ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("lost")

    def end(self, reason: str) -> None:
        if not self.ended:
            self.ended = True
            if self.transport is not None:
                self.transport.abort()
            self.watch.stream_ended(self, reason)


class DiscoveryWatch:
    """Keeps the last list through every break; `told` gets what is new."""

    def __init__(
        self,
        address: Address,
        known_message: DiscoveryMessage,
        loop: asyncio.AbstractEventLoop,
        wheel: TimerWheel,
        clock: Callable[[], int],
        counters: Counters,
        log: Callable[..., Any],
        on_message: Callable[[DiscoveryMessage], None],
        fleet_size: int = 1,
        expects_agent: bool = False,
        is_agent: bool | None = None,
        on_agent_detected: Callable[[bool], None] | None = None,
    ) -> None:
        """`fleet`, `ours`, `agent`: see `Pacing`; `learnt` is told where it was learnt who answers."""
        self.address, self.list_index, self.on_message = address, known_message.index, on_message
        self.loop, self.wheel, self.clock, self.counters, self.log = loop, wheel, clock, counters, log
        self.stream: _WatchStream | None = None
        self.late_stream: _WatchStream | None = None  # given up, and listened to beside the next
        self.dial_task: asyncio.Task[None] | None = None
        self.retry_timer: Timer | None = None  # the next try after a break
        self.pacing, self.expects_agent = WatchPacing(fleet_size, expects_agent, is_agent), expects_agent
        self.on_agent_detected, self._is_agent = on_agent_detected, is_agent
        self.first_list_received = asyncio.Event()  # a list came
        self.closed = False

    def start(self) -> None:
        """The first call of this process."""
        delay_us = self.pacing.first_call_delay_us()
        if delay_us:
            self.retry_timer = self.wheel.call_after(delay_us, self.open)
        else:
            self.open()

    def open(self) -> None:
        if self.closed:
            return
        stream = self.stream = _WatchStream(self)
        self.dial_task = self.loop.create_task(self._dial(stream))
        self.arm_silence_timer(stream)

    def arm_silence_timer(self, stream: _WatchStream) -> None:
        if stream.silence_timer is not None:
            stream.silence_timer.cancel()
        if not stream.ended and stream is not self.late_stream:
            delay_us = max(self.pacing.gives_up_at_us(stream.call) - self.clock(), 0)
            stream.silence_timer = self.wheel.call_after(delay_us, self._check_silence, stream)

    async def _dial(self, stream: _WatchStream) -> None:
        try:
            await self.loop.create_connection(lambda: stream, *self.address)
        except OSError:
            stream.end("refused")

    def _check_silence(self, stream: _WatchStream) -> None:
        """A cut-off discovery says nothing at all: silence is the only sign."""
        if stream.ended or stream is self.late_stream:
            return
        now_us = self.clock()
        if now_us >= self.pacing.gives_up_at_us(stream.call):
            stream.read_unread_bytes()
            if stream.ended or stream is self.late_stream:
                return
        if now_us < self.pacing.gives_up_at_us(stream.call):
            self.arm_silence_timer(stream)
        elif self.late_stream is None and self.pacing.keeps_listening(stream.call, now_us):
            self.stream_ended(stream, "silent")
            self.late_stream = stream
            self.wheel.call_after(
                stream.call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US - now_us, self._close_late_stream, stream
            )
        else:
            if self.dial_task is not None:
                self.dial_task.cancel()
            stream.end("silent")

    def _close_late_stream(self, stream: _WatchStream) -> None:
        if self.late_stream is stream:
            self.pacing.record_no_response(stream.call)
            stream.end("silent")

    def response_started(self, stream: _WatchStream) -> None:
        """Its answer's head is here. A list serves as well where the call was given up; a no has taught who
        answers there, and the next call waits its turn."""
        late_stream, self.late_stream = self.late_stream, None
        if late_stream is stream and stream.call.status == 200:
            self._close_streams()
            self.stream = stream
            self.arm_silence_timer(stream)
        elif late_stream is not None:
            late_stream.end("left")

    def apply_line(self, stream: _WatchStream, line: bytes) -> bool:
        """False where it can't be read as a list."""
        try:
            message = parse_discovery_message(json.loads(line), on_bad_entry=self._record_malformed)
        except (ValueError, RecursionError) as error:  # a ConfigError too
            self._record_malformed(error)
            return False
        self.first_list_received.set()
        self.counters.add("discovery_updates")
        self.pacing.record_list(stream.call)
        self.list_index = message.index
        self.on_message(message)
        is_agent = self.pacing.is_agent
        certain = is_agent is False or (is_agent and stream.call.answered_quickly)
        if (
            self.on_agent_detected is not None
            and is_agent is not None
            and certain
            and is_agent != self._is_agent
        ):
            self._is_agent = is_agent
            self.on_agent_detected(is_agent)
        return True

    def _record_malformed(self, error: Exception) -> None:
        """One odd entry must not hide that another drains."""
        self.counters.add("discovery_entries_malformed")
        self.log("discovery_malformed", why=str(error))

    def stream_ended(self, stream: _WatchStream, reason: str) -> None:
        if stream is self.late_stream:
            self.late_stream = None
        if not self.closed and stream is self.stream:  # one that was left opens no second watch
            self.stream = None
            self.counters.add("discovery_breaks")
            self.log("discovery_broken", why=reason, status=stream.call.status)
            delay_us = self.pacing.next_call_delay_us(stream.call, self.clock(), reason == "silent")
            self.retry_timer = self.wheel.call_after(delay_us, self.open)

    def change_address(self, address: Address) -> None:
        """Watch there from now on, not once the old address ends. Versions are the old service's, so the new
        one is asked for all it has; the list held stays until that comes."""
        if address == self.address or self.closed:
            return
        self.counters.add("discovery_moves")
        for stream in (self.stream, self.late_stream):
            if stream is not None:
                stream.read_unread_bytes()
        self.address, self.list_index = address, 0
        self.pacing.address_changed()
        self._close_streams()
        self.open()

    def _close_streams(self) -> None:
        """What stands or is under way, and the next try."""
        stream_before, late_stream = self.stream, self.late_stream
        self.stream = self.late_stream = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.dial_task is not None:
            self.dial_task.cancel()
        for stream in (stream_before, late_stream):
            if stream is not None:
                stream.end("left")

    def close(self) -> None:
        self.closed = True
        self._close_streams()
