"""Discovery's watch: a stream of changes, reopened with back-off when it breaks or falls silent."""

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any, cast

import httptools

from umberlead.config import Address, Listing, listing_of
from umberlead.core.counters import Counters
from umberlead.core.wheel import Timer, Wheel
from umberlead.recovery.backoff import Backoff

SILENCE = 3_000_000  # us without even an empty line, of which one comes every 2 s
UNANSWERED = 600_000  # us an agent on this machine may take over a call's first word: with the pause, less
# than the second in which a drain told at the return of discovery must be known
UNSURE = 2_500_000  # us the same, where it may be a service that answers in turn, or says no, after 2 s
WAITING = 5_000_000  # us a service that answers in turn may take over it
QUICK = 60_000  # us in which only an agent answers: the service was seen to take seven calls a second
SPREAD = (
    2_500_000  # us over which a fleet opens watches anew that fell silent: what they miss counts after 6 s
)
STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')
LINE_MOST = 4 << 20


class _Stream(asyncio.Protocol):
    def __init__(self, watch: "Watch") -> None:
        self.watch = watch
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = b""  # a line that has not ended yet
        self.lines: list[bytes] = []  # of an object that has not ended yet: lists may come indented
        self.depth = self.size = 0  # of its braces, and its bytes
        self.status = 0
        self.answered = self.quick = False
        self.called = 0
        self.asked = 0  # us of a Retry-After
        self._name = b""
        self.dead = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dead:
            self.transport.abort()
            return
        target = b"/v1/servers?watch=1&after=%d" % self.watch.index
        host = b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1])
        self.called = self.watch.clock()
        self.transport.writelines([b"GET ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n\r\n"])

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        self.watch.heard()
        if not self.answered:
            self.answered, self.quick = True, self.watch.clock() - self.called <= QUICK
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end("malformed")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.asked = max(int(float(value) * 1e6), 0)
            except ValueError:  # a date, or nothing: the back-off alone
                self.asked = 0

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status != 200:
            self.watch.agent = False
        elif self.quick and self.watch.agent is None:
            self.watch.agent = True

    def on_body(self, body: bytes) -> None:
        if self.status != 200 or self.dead:
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
        if not self.watch.line(whole):
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
    ) -> None:
        """`ours`: lists are pushed, so it should be an agent on this machine that answers, at once and at no
        cost; else it is one service for the whole fleet. Pushed lists were met behind such a service too, so
        it is learnt from how it answers."""
        self.address, self.index, self.told = address, known.index, told
        self.loop, self.wheel, self.clock, self.counters, self.log = loop, wheel, clock, counters, log
        self.stream: _Stream | None = None
        self.task: asyncio.Task[None] | None = None
        self.again: Timer | None = None  # the next try after a break
        self.backoff, self.ours = Backoff(fleet), ours
        self.agent: bool | None = None if ours else False  # not known yet
        self.first = asyncio.Event()  # a list came
        self.last = 0
        self.closed = False

    def begin(self) -> None:
        """The first call of this process."""
        wait = 0 if self.ours else self.backoff.start()
        if wait:
            self.again = self.wheel.after(wait, self.open)
        else:
            self.open()

    def open(self) -> None:
        if self.closed:
            return
        self.last = self.clock()
        stream = self.stream = _Stream(self)
        self.task = self.loop.create_task(self._dial(stream))
        self.wheel.after(self._patience(stream), self._check, stream)

    def _patience(self, stream: _Stream) -> int:
        """While discovery is down an agent says nothing. What it gets at the return counts as told at once:
        a call that hangs must not stand in the way of the next. A service that is overbooked has it wait."""
        if stream.answered:
            return SILENCE
        if self.agent is None:
            return UNANSWERED if stream.transport is None else UNSURE  # a service that is up takes the call
        return UNANSWERED if self.agent else WAITING

    async def _dial(self, stream: _Stream) -> None:
        try:
            await self.loop.create_connection(lambda: stream, *self.address)
        except OSError:
            stream.end("refused")

    def _check(self, stream: _Stream) -> None:
        """A cut-off discovery says nothing at all: silence is the only sign."""
        if stream.dead:
            return
        patience = self._patience(stream)
        if self.clock() - self.last >= patience:
            if self.task is not None:
                self.task.cancel()
            stream.end("silent")
        else:
            self.wheel.at(self.last + patience, self._check, stream)

    def heard(self) -> None:
        """Anything at all counts against silence; only a list resets the back-off (see `line`)."""
        self.last = self.clock()

    def line(self, line: bytes) -> bool:
        """False where it can't be read as a list."""
        try:
            listing = listing_of(json.loads(line), bad=self._malformed)
        except (ValueError, RecursionError) as fault:  # a ConfigError too
            self._malformed(fault)
            return False
        self.first.set()
        self.counters.add("discovery_updates")
        self.backoff.worked()
        self.index = listing.index
        self.told(listing)
        return True

    def _malformed(self, fault: Exception) -> None:
        """One odd entry must not hide that another drains."""
        self.counters.add("discovery_entries_malformed")
        self.log("discovery_malformed", why=str(fault))

    def broken(self, stream: _Stream, why: str) -> None:
        if not self.closed and stream is self.stream:  # one that was left opens no second watch
            self.counters.add("discovery_breaks")
            self.log("discovery_broken", why=why, status=stream.status)
            if why == "silent" and not stream.answered and self.agent is None:
                self.agent = True  # no word at all, where a service would have said no
            if self.agent:
                wait = self.backoff.alone(stream.asked)
            else:
                wait = self.backoff.next(stream.asked)
                if why == "silent" and stream.answered:  # not a service that is overbooked
                    wait = min(wait, SPREAD)
            self.again = self.wheel.after(wait, self.open)

    def move(self, address: Address) -> None:
        """Watch there from now on, not once the old address ends. Versions are the old service's, so the new
        one is asked for all it has; the list held stays until that comes."""
        if address == self.address or self.closed:
            return
        self.counters.add("discovery_moves")
        self.address, self.index = address, 0
        self.backoff.worked()
        self._leave()
        self.open()

    def _leave(self) -> None:
        old, self.stream = self.stream, None
        if self.again is not None:
            self.again.cancel()
        if self.task is not None:
            self.task.cancel()
        if old is not None:
            old.end("left")

    def close(self) -> None:
        self.closed = True
        self._leave()
