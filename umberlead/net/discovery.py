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
from umberlead.common.timer_wheel import Timer, Wheel
from umberlead.config import Address, Listing, listing_of
from umberlead.recovery.discovery_pacing import UNSURE, Pacing

STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')
LINE_MOST = 4 << 20
READ_SIZE, READS_MOST = 64 << 10, 64  # bytes of one read ahead of the loop, and how many of them


class _Stream(asyncio.Protocol):
    def __init__(self, watch: "Watch") -> None:
        self.watch = watch
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = b""  # a line that has not ended yet
        self.lines: list[bytes] = []  # of an object that has not ended yet: lists may come indented
        self.depth = self.size = 0  # of its braces, and its bytes
        self.call = watch.pacing.call(watch.clock())
        self.check: Timer | None = None  # whether it still says something
        self.dead = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dead:
            self.transport.abort()
            return
        target = b"/v1/servers?watch=1&after=%d" % self.watch.index
        host = b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1])
        self.call.up = self.watch.clock()
        self.transport.writelines([b"GET ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        self.watch.pacing.heard(self.call, self.watch.clock())
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end("malformed")
        partial = not self.call.status or bool(self.lines or self.buffer.strip())
        if partial != self.call.partial:
            self.call.partial = partial
            self.watch.arm(self)

    def read_ahead(self) -> None:
        """Read what the system holds of it now. Timers and signals run before the loop reads: a change that
        has arrived counts as told, so it must not go with a stream that is left or taken for silent."""
        if self.dead or self.transport is None or self.transport.is_closing():
            return
        fd = self.transport.get_extra_info("socket").fileno()
        same = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)  # not a descriptor more
        try:
            with contextlib.suppress(OSError):  # no more is here, or its end: the loop tells of that
                for _ in range(READS_MOST):
                    data = same.recv(READ_SIZE, socket.MSG_DONTWAIT)
                    if not data or self.dead:
                        break
                    self.data_received(data)
        finally:
            same.detach()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.call.asked = max(int(float(value) * 1e6), 0)
            except (ValueError, OverflowError):  # a date, or nothing: the back-off alone
                self.call.asked = 0

    def on_headers_complete(self) -> None:
        self.watch.pacing.head(self.call, self.parser.get_status_code())
        self.watch.answered(self)

    def on_body(self, body: bytes) -> None:
        if self.call.status != 200 or self.dead:
            return
        *lines, self.buffer = (self.buffer + body).split(b"\n")
        for line in lines:
            self._line(line)
            if self.dead:
                return
        if self.buffer.endswith(b"}"):  # all of an object may be here before its line's end
            bare = STRINGS.sub(b"", self.buffer)
            if b'"' not in bare and self.depth + bare.count(b"{") == bare.count(b"}"):
                line, self.buffer = self.buffer, b""
                return self._line(line)
        if self.size + len(self.buffer) > LINE_MOST:
            self.end("line too long")

    def _line(self, line: bytes) -> None:
        """An object ends with the line that closes its last brace. One that is no object, or that breaks off,
        may have told of a drain that no later line tells again: it is asked for anew."""
        if not line.strip():
            if self.depth:
                self.end("malformed")  # the empty line of a quiet list, in the middle of an object
            return
        bare = STRINGS.sub(b"", line)
        self.depth += bare.count(b"{") - bare.count(b"}")
        self.lines.append(line)
        self.size += len(line)
        if self.depth > 0:
            return
        whole, self.lines, self.depth, self.size = b"\n".join(self.lines), [], 0, 0
        if not self.watch.line(self, whole):
            self.end("malformed")

    def on_message_complete(self) -> None:
        self.end("ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("lost")

    def end(self, why: str) -> None:
        if not self.dead:
            self.dead = True
            if self.transport is not None:
                self.transport.abort()
            self.watch.broken(self, why)


class Watch:
    """Keeps the last list through every break; `told` gets what is new."""

    def __init__(
        self,
        address: Address,
        known: Listing,
        loop: asyncio.AbstractEventLoop,
        wheel: Wheel,
        clock: Callable[[], int],
        counters: Counters,
        log: Callable[..., Any],
        told: Callable[[Listing], None],
        fleet: int = 1,
        ours: bool = False,
        agent: bool | None = None,
        learnt: Callable[[bool], None] | None = None,
    ) -> None:
        """`fleet`, `ours`, `agent`: see `Pacing`; `learnt` is told where it was learnt who answers."""
        self.address, self.index, self.told = address, known.index, told
        self.loop, self.wheel, self.clock, self.counters, self.log = loop, wheel, clock, counters, log
        self.stream: _Stream | None = None
        self.late: _Stream | None = None  # given up, and listened to beside the next
        self.task: asyncio.Task[None] | None = None
        self.again: Timer | None = None  # the next try after a break
        self.pacing, self.ours = Pacing(fleet, ours, agent), ours
        self.learnt, self._agent = learnt, agent
        self.first = asyncio.Event()  # a list came
        self.closed = False

    def begin(self) -> None:
        """The first call of this process."""
        wait = self.pacing.start()
        if wait:
            self.again = self.wheel.after(wait, self.open)
        else:
            self.open()

    def open(self) -> None:
        if self.closed:
            return
        stream = self.stream = _Stream(self)
        self.task = self.loop.create_task(self._dial(stream))
        self.arm(stream)

    def arm(self, stream: _Stream) -> None:
        if stream.check is not None:
            stream.check.cancel()
        if not stream.dead and stream is not self.late:
            wait = max(self.pacing.due(stream.call) - self.clock(), 0)
            stream.check = self.wheel.after(wait, self._check, stream)

    async def _dial(self, stream: _Stream) -> None:
        try:
            await self.loop.create_connection(lambda: stream, *self.address)
        except OSError:
            stream.end("refused")

    def _check(self, stream: _Stream) -> None:
        """A cut-off discovery says nothing at all: silence is the only sign."""
        if stream.dead or stream is self.late:
            return
        now = self.clock()
        if now >= self.pacing.due(stream.call):
            stream.read_ahead()
            if stream.dead or stream is self.late:
                return
        if now < self.pacing.due(stream.call):
            self.arm(stream)
        elif self.late is None and self.pacing.listens_on(stream.call, now):
            self.broken(stream, "silent")
            self.late = stream
            self.wheel.after(stream.call.began + UNSURE - now, self._leave_late, stream)
        else:
            if self.task is not None:
                self.task.cancel()
            stream.end("silent")

    def _leave_late(self, stream: _Stream) -> None:
        if self.late is stream:
            self.pacing.no_word(stream.call)
            stream.end("silent")

    def answered(self, stream: _Stream) -> None:
        """Its answer's head is here. A list serves as well where the call was given up; a no has taught who
        answers there, and the next call waits its turn."""
        late, self.late = self.late, None
        if late is stream and stream.call.status == 200:
            self._leave()
            self.stream = stream
            self.arm(stream)
        elif late is not None:
            late.end("left")

    def line(self, stream: _Stream, line: bytes) -> bool:
        """False where it can't be read as a list."""
        try:
            listing = listing_of(json.loads(line), bad=self._malformed)
        except (ValueError, RecursionError) as fault:  # a ConfigError too
            self._malformed(fault)
            return False
        self.first.set()
        self.counters.add("discovery_updates")
        self.pacing.listed(stream.call)
        self.index = listing.index
        self.told(listing)
        agent = self.pacing.agent
        sure = agent is False or (agent and stream.call.quick)
        if self.learnt is not None and agent is not None and sure and agent != self._agent:
            self._agent = agent
            self.learnt(agent)
        return True

    def _malformed(self, fault: Exception) -> None:
        """One odd entry must not hide that another drains."""
        self.counters.add("discovery_entries_malformed")
        self.log("discovery_malformed", why=str(fault))

    def broken(self, stream: _Stream, why: str) -> None:
        if stream is self.late:
            self.late = None
        if not self.closed and stream is self.stream:  # one that was left opens no second watch
            self.stream = None
            self.counters.add("discovery_breaks")
            self.log("discovery_broken", why=why, status=stream.call.status)
            wait = self.pacing.again(stream.call, self.clock(), why == "silent")
            self.again = self.wheel.after(wait, self.open)

    def move(self, address: Address) -> None:
        """Watch there from now on, not once the old address ends. Versions are the old service's, so the new
        one is asked for all it has; the list held stays until that comes."""
        if address == self.address or self.closed:
            return
        self.counters.add("discovery_moves")
        for stream in (self.stream, self.late):
            if stream is not None:
                stream.read_ahead()
        self.address, self.index = address, 0
        self.pacing.moved()
        self._leave()
        self.open()

    def _leave(self) -> None:
        """What stands or is under way, and the next try."""
        old, late = self.stream, self.late
        self.stream = self.late = None
        if self.again is not None:
            self.again.cancel()
        if self.task is not None:
            self.task.cancel()
        for stream in (old, late):
            if stream is not None:
                stream.end("left")

    def close(self) -> None:
        self.closed = True
        self._leave()
