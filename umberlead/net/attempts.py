"""Attempts on sockets: connections to chunk servers, their pool, and what their ends mean.

Whether a request's bytes were all handed to the system decides between a failed connection, which proves
that nothing ran, and a reset, which does not. Nothing is ever sent again from here."""

import asyncio
import contextlib
import errno
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

import httptools

from umberlead.config import Address
from umberlead.core.counters import Counters
from umberlead.core.engine import Attempt, Engine, Reply, Ticket
from umberlead.core.interface import Result
from umberlead.core.slots import Slots
from umberlead.core.wheel import Timer, Wheel
from umberlead.limits import BODY_MOST, HEAD_MOST, LACK

IDLE_PART = 0.6  # of the keepalive: the chunk server may close at any time up to the whole of it
RISK = 0.02  # part of kept connections that break under a request from which a write takes a new one
SMOOTH = 0.02  # weight of one more reuse in that part
STILL = 10_000_000  # us in which a long answer must move on
PAUSE = 500_000  # us that a server may stop within an answer that it is still giving
# us past its request's time from which a long answer gives its place up where places are short: one of no
# told length may never end; one of a told length has an end, however slow.
LATE, OLD = 10_000_000, 60_000_000
SLOW = 20_000  # us after which an answer of no told length, still coming, counts as a long one
LONG_MOST = 32 << 20  # the protocol's bytes of a long answer
RACE = 0.2  # of the link time-out: a dial that is not up by then may be raced by another
RACERS = 2  # most that an attempt's first dial is raced by
COMES_UP = 6  # link time-outs that a dial may take to come up, for whoever waits then
LEARN = 0.1  # weight of one more dial in the part of slow ones that come up
WORTH = 0.25  # least part of them that makes racing worth its connections: of a lost server none comes up
REST = 5_000  # us a connection rests after an answer: what comes behind that belongs to no request
LENGTH = re.compile(rb"[0-9]{1,15}")
FIGURE = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
FIELDS_MOST = 16  # values of a load report
OURS = LACK | {errno.EADDRNOTAVAIL}


@dataclass(slots=True)
class Outgoing:
    """What a front hands down with a request, as it goes to a chunk server."""

    method: bytes
    target: bytes
    headers: list[bytes]  # whole lines, without the line's end
    body: bytes | bytearray = b""
    served: frozenset[int] = field(default=frozenset((200,)))


class Sink(Protocol):
    """Who passes a long answer on as it comes."""

    def more(self, piece: bytes) -> None: ...

    def whole(self) -> None: ...

    def broke(self) -> None:
        """What is missing will not come."""


class NodeConnection(asyncio.Protocol):
    """One connection to a chunk server; it carries an attempt at a time."""

    def __init__(self, pool: "Pool", address: Address) -> None:
        self.pool, self.address = pool, address
        self.size = 0
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.why: Result | None = None  # given up for
        self.written = False
        self.dial: asyncio.Task[None] | None = None
        self.timer: Timer | None = None
        self.slot = -1
        self.since = pool.clock()  # when its dial began, then when it came up
        self.raced = 0  # times that another dial was thought of beside this one
        self.idle_since = 0  # 0 before its first answer
        self.used = False  # it has carried an attempt
        self.until = self.passed = 0  # the request's time, and the bytes passed on, of a long answer
        self.heard = self._first = 0  # when the latest of an answer came, and the first of it
        self.closed = self.over = False
        self.fault = ""  # why no connection came up
        self.ours = False  # and that was our own lack of something
        self.broke = False  # neither refused nor silent: it came up, or nearly, and broke
        self._paused = False
        self._poll: select.poll | None = None
        self.sink: Sink | None = None  # the long answer's
        self._held = False  # its reader has enough for now
        self._held_since = 0
        self._reset_answer()

    def _reset_answer(self) -> None:
        self.pool.held -= self.size
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = self.head_size = 0
        self.length: int | None = None
        self.framed = self.head_done = self.whole = self.keep = self.surplus = self.begun = False

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # given up while it came up
            self.transport.abort()
            return
        # With a mark of 0 a write is tried at once, and resume_writing says when all of it is out.
        self.transport.set_write_buffer_limits(high=0)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pool.counters.add("node_connections_opened")
        self.pool.came_up(self)
        if self.attempt is None:
            return self.pool.spare(self)
        if not self.pool.takes_new(self.attempt.node):
            self.pool.counters.add("node_connections_too_late")  # it drains, or went, while this came up
            return self.give_up(Result.MOOT)
        if not self.pool.client_waits(self.attempt.ticket):
            return self.give_up(Result.MOOT)
        self._write()

    def quiet(self) -> bool:
        """Nothing has come that was not read yet: it would be taken for the next answer."""
        if self._poll is None:
            assert self.transport is not None
            self._poll = select.poll()
            self._poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not self._poll.poll(0)

    def idle(self) -> bool:
        """Not on its way to its end: of that the protocol is told a turn later."""
        return self.transport is not None and not self.transport.is_closing()

    def _write(self) -> None:
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        self.used = True
        out: Outgoing = attempt.ticket.ask.payload
        left = max(attempt.give_up - self.pool.clock(), 0) / 1e6
        parts = [out.method, b" ", out.target, b" HTTP/1.1\r\n", self.pool.host]
        for line in out.headers:
            parts += (line, b"\r\n")
        parts.append(b"X-Budget: %.3f\r\n" % left)
        if out.body or out.method != b"GET":
            parts.append(b"Content-Length: %d\r\n" % len(out.body))
        parts += (b"\r\n", out.body)
        self.written = False
        transport.writelines(parts)
        if not self._paused and not transport.is_closing():
            self._whole_out()

    def _whole_out(self) -> None:
        self.written = True
        self.pool.counters.add("attempts_written")

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        if self.transport is not None and not self.transport.is_closing() and not self.written:
            self._whole_out()

    def data_received(self, data: bytes) -> None:
        if self.sink is not None:
            return self._pass_on(data)
        if self.attempt is None or self.why is not None:
            if self.why is None:
                self.pool.counters.add("node_answers_surplus")
            self.close()  # nobody asked: the connection is of no further use
            return
        begun, self.begun, self.heard = self.begun, True, self.pool.clock()
        if not begun:
            self._first = self.heard
        if not self.head_done:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                return self._spoilt("malformed")
            self.surplus = True
        if self.sink is not None and self.whole:  # all of a long answer in the read that began it
            return self._passed(self.keep and self.written and not self.surplus)
        if self.why is not None or self.attempt is None:
            return
        if self.whole:
            self._answered(self.keep)
        elif not self.head_done and self.head_size > self.pool.head_most:
            self._spoilt("head_too_large")
        elif self.begun and self.timer is None and not self.closed:
            self.timer = self.pool.wheel.after(self.pool.link_timeout, self._stalled)

    def eof_received(self) -> bool:
        if self.sink is not None and not self.framed:
            self._passed(False)
        if self.attempt is not None and self.why is None and self.head_done and not self.framed:
            self._answered(keep=False)  # an answer may end with its connection
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.over:
            return
        self.over = True
        self.close()
        self.pool.forget(self)
        self.pool.held, self.size = self.pool.held - self.size, 0
        self.broke = not self.fault  # one that came up too late has not broken
        if self.sink is not None:
            self._break()
        if self.attempt is not None:
            # A stale pooled connection ends here too: what was written may have been read.
            self._end(Result.RESET if self.written else Result.NO_LINK)

    # httptools

    def on_message_begin(self) -> None:
        self.surplus |= self.whole
        if not self.begun:  # behind an interim answer
            self.begun, self._first = True, self.heard

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole or self.head_done:  # of what is none of ours, or a trailer
            return
        name, value = name.lower(), value.strip(b" \t")
        if name in self.headers and name in (b"content-length", b"transfer-encoding"):
            value = self.headers[name] + b", " + value  # two lengths are none
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        if self.whole or self.why is not None:
            return
        self.head_done = True
        status, got = self.parser.get_status_code(), self.headers
        if status < 200:
            return
        length, coding = got.get(b"content-length"), got.get(b"transfer-encoding")
        self.framed = length is not None or coding is not None
        if length is not None and (coding is not None or LENGTH.fullmatch(length) is None):
            self._spoilt("malformed")
        elif length is not None:
            self.length = int(length)
            if self.length > LONG_MOST:
                self._spoilt("too_large")

    def on_body(self, body: bytes) -> None:
        if self.whole or self.why is not None:
            return
        if self.sink is not None:
            self.passed += len(body)
            return self.sink.more(body)
        if self.attempt is None:
            return  # given up within this read
        self.size += len(body)
        self.pool.held += len(body)
        self.body.append(body)
        slow = self.length is None and self.heard - self._first > SLOW
        if slow or self.size > BODY_MOST or (self.length or 0) > BODY_MOST:
            ask, status = self.attempt.ticket.ask, self.parser.get_status_code()
            if ask.streams and status in ask.payload.served and not self.attempt.ticket.answered:
                return self._begin()
        if self.size > self.pool.answer_most or self.pool.held > self.pool.memory:
            self._spoilt("too_large")

    def on_message_complete(self) -> None:
        if self.whole or self.why is not None:
            return
        status = self.parser.get_status_code()
        if status == 101:
            self._spoilt("malformed")
        elif status < 200:
            self.pool.held -= self.size
            self.headers, self.body, self.size, self.head_done = {}, [], 0, False
            self.begun = False  # the answer itself may be long in coming: the request's time bounds that
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
        else:
            self.keep = self.parser.should_keep_alive()
            self.whole = True  # what comes behind it is looked at, and never reaches the next answer

    def _stalled(self) -> None:
        """Once begun, an answer goes on. A length that says too much would hold the request, and its place at
        the node, to the end of its time."""
        wait, attempt = self.pool.link_timeout, self.attempt
        if attempt is not None and attempt.once and self.head_done:
            wait = max(wait, PAUSE)  # nothing is tried elsewhere in its place, and the server may only pause
        until = self.heard + wait
        if until > self.pool.clock():
            self.timer = self.pool.wheel.at(until, self._stalled)
        else:
            self._spoilt("cut_short")

    def _spoilt(self, how: str) -> None:
        """The node has answered, and may have run the request: an error of its own, and no news of its links.
        Where the answer ends can't be told, so the connection ends."""
        if self.attempt is not None and self.why is None:
            self.pool.counters.add(f"node_answers_{how}")
            self.give_up(Result.ERROR)

    def _reply(self) -> Reply:
        got = self.headers
        return Reply(
            self.parser.get_status_code(), b"".join(self.body), _load(got.get(b"x-load-report", b"")),
            _whole(got.get(b"x-volume-use"), -1) + 1,  # the header leaves out the simulator's 1
            _whole(got.get(b"x-served-elsewhere"), 0),
        )  # fmt: skip

    # A long answer: the attempt has ended with its first bytes, the rest goes through as its reader takes it.

    def _begin(self) -> None:
        attempt, reply = self.attempt, self._reply()
        assert attempt is not None
        reply.rest, reply.length = self, self.length
        self.passed = self.size
        self.pool.held, self.size, self.body = self.pool.held - self.size, 0, []
        self.attempt, self.why = None, None
        if self.timer is not None:
            self.timer.cancel()
        self.pool.counters.add("node_answers_long")
        self.pool.engine.ended(attempt, Result.OK, reply)
        if self.sink is None:
            self.close()  # its client has left
        else:
            self.until = attempt.give_up
            self.timer = self.pool.wheel.at(min(self.pool.clock() + STILL, self.until), self._still)

    def _pass_on(self, data: bytes) -> None:
        self.heard = self.pool.clock()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                return self._break()
            self.surplus = True
        if self.whole:
            self._passed(self.keep and self.written and not self.surplus)
        elif self.passed > LONG_MOST:  # none of a told length: that is looked at with the head
            self._break()

    def _passed(self, keep: bool) -> None:
        sink, self.sink = self.sink, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if keep:
            self.hold(False)
            self._reset_answer()
            self.pool.rest(self)
        else:
            self.close()
        if sink is not None:
            sink.whole()

    def _break(self) -> None:
        sink, self.sink = self.sink, None
        self.pool.counters.add("node_answers_broke_off")
        self.close()
        if sink is not None:
            sink.broke()

    def _still(self) -> None:
        """A node that stopped in the middle. While it goes on, so does the answer, also past the request's
        time: what is still given is not cut off. One of no told length and of no more than 64 KiB yet may be
        a small one, whose client waits for its last byte: past that time it may only pause. Of a client that
        stands still its own connection tells."""
        now = self.pool.clock()
        until = now + STILL if self._held else self.heard + STILL
        if not self._held and self.length is None and self.passed <= BODY_MOST:
            until = min(until, max(self.heard + PAUSE, self.until))
        if until <= now:
            self._break()
        else:
            self.timer = self.pool.wheel.at(until, self._still)

    def overdue(self) -> tuple[bool, int] | None:
        """Whether a long answer gives its place up to another's need, by `give_way`; of several the smallest
        goes first: those of no told length, then by their requests' time. None: it doesn't."""
        if self.sink is None or self.closed:
            return None
        now, told = self.pool.clock(), self.length is not None
        until = self.until + (now - self._held_since if self._held else 0)
        return (told, until) if until + (OLD if told else LATE) <= now else None

    def give_way(self) -> None:
        self.pool.counters.add("node_answers_gave_way")
        self._break()

    def hold(self, stop: bool) -> None:
        """Its reader has enough for now, or reads on."""
        if self.transport is None or self.transport.is_closing():
            return
        if stop and not self._held:
            self._held, self._held_since = True, self.pool.clock()
            self.transport.pause_reading()
        elif not stop and self._held:
            self._held, self.heard = False, self.pool.clock()
            self.until += self.heard - self._held_since  # its reader's time, not the node's
            self.transport.resume_reading()

    def abandon(self) -> None:
        """Its reader has left."""
        self.sink = None
        self.close()

    def _answered(self, keep: bool) -> None:
        status, got, attempt = self.parser.get_status_code(), self.headers, self.attempt
        assert attempt is not None
        out: Outgoing = attempt.ticket.ask.payload
        reply = self._reply()
        if status in out.served:
            result = Result.OK
        elif status == 504 and got.get(b"x-rejected") == b"1":
            # Not for this chunk server, or not any more: of the request, and no news of the node's health.
            result, attempt.astray = Result.MOOT, True
            self.pool.counters.add("attempts_astray")
        elif status == 503 and got.get(b"x-rejected") == b"1":
            result = Result.FULL
        else:
            result = Result.ERROR
        if self.surplus:
            self.pool.counters.add("node_answers_surplus")
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        keep = keep and self.written and not self.surplus
        if not keep:
            self.close()
        self.attempt = None
        self._reset_answer()
        self.why = None
        if self.idle_since:
            self.pool.reused(self, False)
        if keep:
            self.pool.rest(self)
        self.pool.engine.ended(attempt, result, reply)

    # Ends

    def _end(self, result: Result) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            if self.why is not None:
                result = self.why if self.written or self.why is Result.MOOT else Result.NO_LINK
            if result is Result.NO_LINK and self.why is None and self.broke and not attempt.again:
                # Dropped before the request was on it: nothing was sent, and the node itself may be well.
                self.pool.counters.add("node_connections_broke_early")
                attempt.again = True
                if self.pool.live is not None and self.address not in self.pool.live:
                    return self.pool.engine.ended(attempt, Result.NO_LINK)  # it has left the list meanwhile
                if not self.pool.takes_new(attempt.node):
                    return self.pool.engine.ended(attempt, Result.MOOT)
                return self.pool.dial(attempt, self.address)
            if result is Result.NO_LINK and self.ours:
                result = Result.MOOT  # the node has no part in it
            if result is Result.RESET and self.idle_since and not self.head_size:
                self.pool.reused(self, True)
            if result is Result.NO_LINK:
                took = (self.pool.clock() - attempt.sent) // 1000
                state = "dialling" if self.transport is None else "writing"
                why = self.why.value if self.why else self.fault or "broken"
                self.pool.log("link_failed", node=attempt.node, state=state, why=why, ms=took)
            self.pool.engine.ended(attempt, result)

    def give_up(self, why: Result) -> None:
        """The outcome comes once the connection is closed, so the next attempt never overlaps this one."""
        if self.why is None and not self.closed:
            self.why = why
            if self._paused and not self.written:
                self._cut()
            self.close()

    def _cut(self) -> None:
        """The rest of what is partly written must not follow: uvloop closes an aborted connection a turn
        later, and may find room for all of it in between. It would run, and count as proven not to have."""
        if self.transport is not None and not self.transport.is_closing():
            fd = self.transport.get_extra_info("socket").fileno()
            same = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)  # not a descriptor more
            with contextlib.suppress(OSError):  # it has ended already
                same.shutdown(socket.SHUT_WR)
            same.detach()

    def slow(self) -> None:
        """Not up yet. Where the front itself stood still (a slow core, SIGSTOP), timers run before what came
        meanwhile is looked at: one more tick, or a connection that is up counts as a server that is not."""
        self.timer = self.pool.wheel.after(1, self._slow)

    def _slow(self) -> None:
        """Connections may come up late one by one, at a server that is well: another dial is begun beside it,
        and the first that is up carries the attempt. At the link time-out the attempt ends; its dial goes on
        for whoever waits when it comes up."""
        pool, now = self.pool, self.pool.clock()
        if self.attempt is None:
            pool.never_up(self)
            return self.close()
        if now < self.since + pool.link_timeout:
            if self.raced < RACERS:
                self.raced += 1
                pool.race(self.address)
            self.timer = pool.wheel.at(pool.look_again(self), self.slow)
            return
        self.fault = "not up in time"
        pool.counters.add("node_connections_timed_out")
        self.wait_on()
        self._end(Result.NO_LINK)

    def wait_on(self) -> None:
        """Its attempt goes elsewhere, or has ended: it may still come up."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.pool.wheel.at(self.since + COMES_UP * self.pool.link_timeout, self.slow)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.dial is not None:
            self.dial.cancel()

    def dial_ended(self, task: "asyncio.Task[None]") -> None:
        """Without a connection: refused, not up in time, or given up. One that comes up in the very turn in
        which its dial is cancelled is closed by uvloop without a call of connection_lost: left to that, its
        attempt would never have an outcome."""
        cut = task.cancelled() or task.exception() is not None
        if self.transport is not None:
            return self.connection_lost(None) if cut else None
        self.over = True
        self.close()
        self.pool.forget(self)
        self._end(Result.NO_LINK)


def _whole(value: bytes | None, default: int) -> int:
    """Figures are optional: one that can't be read is left out."""
    return int(float(value)) if value is not None and FIGURE.fullmatch(value) else default


def _load(text: bytes) -> dict[str, float]:
    load = {}
    for pair in text.split(b",", FIELDS_MOST)[:FIELDS_MOST]:
        name, _, value = pair.partition(b"=")
        if FIGURE.fullmatch(value.strip()):
            load[name.strip().decode("latin-1")] = float(value)
    return load


class Pool:
    """Carries attempts: an idle connection to the node's address, or a new one."""

    def __init__(
        self,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        wheel: Wheel,
        clock: Callable[[], int],
        counters: Counters,
        most: int,
        link_timeout: int,
        keepalive: int,
        service: str,
        log: Callable[..., Any],
    ) -> None:
        self.log = log
        self.engine, self.loop, self.wheel, self.clock, self.counters = engine, loop, wheel, clock, counters
        self.most, self.link_timeout, self.idle_time = most, link_timeout, int(keepalive * IDLE_PART)
        self.host = b"Host: %s\r\n" % service.encode()
        self.addresses: dict[str, Address] = {}
        self.live: dict[Address, int] | None = None  # where connections may be kept, and for how many nodes;
        # None: anywhere
        self.idle: dict[Address, list[NodeConnection]] = {}
        self.takes_new: Callable[[str], bool] = lambda node: True  # by the list as it stands
        self.client_waits: Callable[[Ticket], bool] = lambda ticket: True  # looked for as it is written
        self.risk = 0.0
        self.late = 2 * WORTH  # part of slow dials that come up
        self.dials: dict[Address, list[NodeConnection]] = {}  # not up yet, the oldest first
        self.slots: Slots[NodeConnection] = Slots()
        self.short: Callable[[], None] = lambda: None  # asks for a higher cap
        self.memory, self.held = BODY_MOST, 0  # of answers that are being read
        self.answer_most, self.head_most = BODY_MOST, HEAD_MOST

    def start(self, attempt: Attempt) -> None:
        address = self.addresses.get(attempt.node)
        if address is None:  # listed without one, or gone
            self.engine.ended(attempt, Result.MOOT)
            return
        # After a break, or where kept connections break and the request can't go out twice, only a new one.
        fresh = attempt.number > 0 or (attempt.once and self.risk > RISK)
        conn = self._kept(address, fresh)
        if conn is not None:
            conn.attempt, attempt.carried = attempt, conn
            self.counters.add("node_connections_reused")
            conn._write()
            return
        self.dial(attempt, address)

    def left(self, addresses: set[Address]) -> None:
        """Nobody is listed there any longer. What is out ends there; connections that rest end now, the
        others with their answers."""
        for address in addresses:
            dials = [c for c in self.dials.get(address, []) if c.attempt is None]
            for conn in [*self.idle.get(address, []), *dials]:
                conn.close()

    def dial(self, attempt: Attempt, address: Address) -> None:
        if len(self.slots) >= self.most:
            self.short()
        if len(self.slots) >= self.most and not self._evict():
            self.counters.add("node_connections_over_cap")
            self.engine.ended(attempt, Result.MOOT)  # our own cap, and none of the node's doing
            return
        conn = self._open(address)
        conn.attempt, attempt.carried = attempt, conn
        conn.timer = self.wheel.at(self.look_again(conn), conn.slow)

    def _open(self, address: Address) -> NodeConnection:
        conn = NodeConnection(self, address)
        conn.slot = self.slots.add(conn)
        self.dials.setdefault(address, []).append(conn)
        conn.dial = self.loop.create_task(self._dial(conn))
        conn.dial.add_done_callback(conn.dial_ended)
        return conn

    def look_again(self, conn: NodeConnection) -> int:
        """When a dial that carries an attempt is looked at next: to be raced, or given up."""
        part = RACE * (conn.raced + 1) if conn.raced < RACERS else 1.0
        return conn.since + int(part * self.link_timeout)

    def race(self, address: Address) -> None:
        """Begin another dial there, where slow ones have been seen to come up and there is room for it."""
        if self.late >= WORTH and len(self.slots) < self.most:
            self.counters.add("node_connections_raced")
            self._open(address).wait_on()

    def came_up(self, conn: NodeConnection) -> None:
        """Out of the dials; without an attempt of its own it takes that of the oldest that still dials."""
        now = self.clock()
        if now - conn.since > RACE * self.link_timeout:
            self.late += LEARN * (1 - self.late)
        conn.since = now
        self._no_dial(conn)
        waiting = [c for c in self.dials.get(conn.address, []) if c.attempt is not None and not c.closed]
        if conn.attempt is None and waiting:
            attempt, waiting[0].attempt = waiting[0].attempt, None
            assert attempt is not None
            conn.attempt, attempt.carried = attempt, conn
            waiting[0].wait_on()

    def never_up(self, conn: NodeConnection) -> None:
        self.late -= LEARN * self.late
        self.counters.add("node_connections_never_up")

    def spare(self, conn: NodeConnection) -> None:
        """Up, and nobody waits for it now: the next attempt there has a connection."""
        self.counters.add("node_connections_spare")
        self.rest(conn)
        conn.idle_since -= REST

    def _no_dial(self, conn: NodeConnection) -> None:
        dials = self.dials.get(conn.address)
        if dials and conn in dials:
            dials.remove(conn)
            if not dials:
                del self.dials[conn.address]

    def _kept(self, address: Address, fresh: bool) -> NodeConnection | None:
        """The one used last: the others age and retire. `fresh`: only one that came up a moment ago and has
        carried nothing yet, which is as good as a new one."""
        resting, rested = self.idle.get(address, []), self.clock() - REST
        for at in range(len(resting) - 1, -1, -1):
            conn = resting[at]
            if fresh and (conn.used or conn.since < rested - COMES_UP * self.link_timeout):
                continue
            if conn.idle_since <= rested:
                del resting[at]
                if not conn.closed and conn.idle() and conn.quiet():
                    return conn
                conn.close()
        return None

    def reused(self, conn: NodeConnection, broke: bool) -> None:
        """Chunk servers, or what stands between, may drop kept connections without a word long before the
        keepalive: those that have stood there for longer have most likely gone the same way."""
        self.risk += SMOOTH * (broke - self.risk)
        if broke:
            self.counters.add("node_connections_stale")
            for other in list(self.idle.get(conn.address, [])):
                if other.idle_since <= conn.idle_since:
                    other.close()

    async def _dial(self, conn: NodeConnection) -> None:
        try:
            await self.loop.create_connection(lambda: conn, *conn.address)
        except OSError as fault:
            conn.fault, conn.ours = fault.strerror or type(fault).__name__, fault.errno in OURS
            conn.broke = fault.errno == errno.ECONNRESET
            self.counters.add("node_connections_failed")

    def stop(self, attempt: Attempt, why: Result) -> None:
        attempt.carried.give_up(why)

    def unwanted(self, attempt: Attempt) -> bool:
        conn = attempt.carried
        if conn is None or conn.attempt is not attempt or conn.written:
            return False
        self.counters.add("attempts_unwanted")
        conn.give_up(Result.MOOT)
        return True

    def rest(self, conn: NodeConnection) -> None:
        if self.live is not None and conn.address not in self.live:
            conn.close()
            return
        conn.idle_since = self.clock()
        self.idle.setdefault(conn.address, []).append(conn)

    def forget(self, conn: NodeConnection) -> None:
        if conn.slot >= 0:
            self.slots.free(conn.slot)
            conn.slot = -1
        self._no_dial(conn)
        resting = self.idle.get(conn.address)
        if resting and conn in resting:
            resting.remove(conn)

    def busy(self) -> int:
        """Connections that carry a request, or dial for one."""
        resting = sum(map(len, self.idle.values()))
        unasked = sum(c.attempt is None for dials in self.dials.values() for c in dials)
        return len(self.slots) - resting - unasked

    def shrink(self) -> None:
        """Where the cap came down, what is over it and carries nothing goes."""
        for _ in range(len(self.slots) - self.most):  # their places are free a turn later
            if not self._evict():
                break

    def sweep(self) -> None:
        """Retire idle connections well before the chunk server may close them."""
        old = self.clock() - self.idle_time
        self.shrink()
        for address, resting in list(self.idle.items()):
            while resting and resting[0].idle_since <= old:
                self.counters.add("node_connections_retired")
                resting.pop(0).close()
            if not resting:
                del self.idle[address]

    def _evict(self) -> bool:
        """A place for another: of the connections at rest the one idle for longest, else a dial that nobody
        waits for, else that of a long answer far past its request's time."""
        resting = [r for r in self.idle.values() if r]
        if resting:
            min(resting, key=lambda r: r[0].idle_since).pop(0).close()
            return True
        spare = [c for dials in self.dials.values() for c in dials if c.attempt is None and not c.closed]
        if spare:
            min(spare, key=lambda c: c.since).close()
            return True
        late = [(rank, conn.slot, conn) for conn in self.slots if (rank := conn.overdue()) is not None]
        if late:
            min(late)[2].give_way()
        return bool(late)

    def close(self) -> None:
        """Clients of long answers see at once that these are not whole."""
        for conn in self.slots:
            if conn.sink is not None:
                conn._break()
            else:
                conn.close()
