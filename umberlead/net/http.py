"""The server's side of an HTTP/1.1 connection, shared by the fronts: parsing, limits, replies."""

import asyncio
import fcntl
import re
import select
import socket
import struct
import sys
import termios
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from email.utils import formatdate
from typing import Any, Protocol, cast

import httptools

from umberlead.config import Address
from umberlead.core.counters import Counters
from umberlead.core.slots import Slots
from umberlead.limits import HEAD_MOST, LACK, surplus

WAITING_MOST = 8  # whole requests that a client may send ahead of their answers
UNREAD = 30_000_000  # us an answer may stand in our memory without the client reading on
LINGER = 300_000  # us a connection stays after an answer that ends it, so that the answer arrives
REQUEST_TIME = 2_500_000  # us a client may take over a request, from its connecting or the request's begin
BODY_TIME = 400_000  # us from the head's end that it has at least, a late head or not
PACE = 32_000  # bytes a second at which a body must come
TRICKLE = 1_000  # bytes a second below which an upload that may take long gives way where places are short
PLENTY = 0.5  # part of the places that connections may take before new ones end with their first answer
SPARE_TIME = 2_000_000  # us an idle connection stands where places are short
GRACE = 100_000  # us a new connection is safe from giving its place up: its request may be on the way
SHARE = 16  # connections accepted in a turn: a flood of them must not hold up those that are here
AGAIN = 0.02  # s until what can't be accepted now is tried again
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer ended its sending, closed or reset
LENGTH = re.compile(rb"[0-9]{1,15}")
# One value each: two could be read one way here and another way behind us.
SINGLE = frozenset((b"content-length", b"transfer-encoding", b"host", b"expect"))

REASONS = {
    200: b"OK", 204: b"No Content", 206: b"Partial Content", 304: b"Not Modified", 400: b"Bad Request",
    403: b"Forbidden", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 411: b"Length Required", 412: b"Precondition Failed", 413: b"Content Too Large",
    416: b"Range Not Satisfiable", 431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
    501: b"Not Implemented", 502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip


@dataclass(slots=True)
class Message:
    """One whole request."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # names in lower case
    body: bytes | bytearray = b""
    version: str = "1.1"
    keep_alive: bool = True
    received: int = 0

    def split(self) -> tuple[bytes, bytes]:
        path, _, query = self.target.partition(b"?")
        return path, query


class Handler(Protocol):
    body_most: int
    dated: bool  # its answers carry a Date
    single: frozenset[bytes]  # headers, beside those of HTTP, that may come once
    retry_after: int  # us
    slow_bodies: bool  # a body may take long as long as it moves

    def request(self, conn: "ServerConnection", message: Message) -> None:
        """Answer it, now or later, once."""

    def gone(self, conn: "ServerConnection") -> None:
        """The client left while its request was open."""

    def bad(self, conn: "ServerConnection", status: int, why: str) -> None:
        """Answer what could not be read."""


class Source(Protocol):
    """Where the rest of a long answer comes from."""

    sink: Any

    def hold(self, stop: bool) -> None: ...

    def abandon(self) -> None: ...

    def overdue(self) -> Any: ...

    def give_way(self) -> None: ...


class Stopped(Exception):
    """Raised in a parser's callback: nothing behind this is read as a request."""


class Clients:
    """The connections of one listener in their slots, their cap, and the memory of request bodies."""

    def __init__(
        self,
        most: int,
        clock: Callable[[], int],
        counters: Counters,
        idle: int,
        memory: int,
        log: Callable[..., Any],
    ) -> None:
        self.log = log
        self.most, self.clock, self.counters, self.idle = most, clock, counters, idle
        self.memory, self.held, self.head_most = memory, 0, HEAD_MOST
        self.slots: Slots[ServerConnection] = Slots()
        self.short: Callable[[], None] = lambda: None  # asks for a higher cap
        self.going = 0  # connections that gave their place up, with a slot for one more turn
        self.stopping = False  # those that stand are served on
        self.leaving = False  # another process takes over: connections end with their next answer
        self.draining = False  # and those without a request now
        self.over = False  # the process ends: what comes from now on is refused unread

    def sweep(self) -> None:
        """Close what has stood too long: lingering, half sent, silent, or idle; when most places are taken
        an idle connection goes sooner."""
        now = self.clock()
        self.shrink()
        idle = self.idle or 1 << 62
        if len(self.slots) > self.most // 2:
            idle = min(idle, SPARE_TIME)
        for conn in self.slots:
            if conn.deaf() and conn.coming() & LEFT:
                conn.drop()
            elif conn.unread:
                if conn.stuck(now):
                    conn.transport.abort()
            elif conn.since + conn.patience(idle) <= now:
                conn.expire()

    def shrink(self) -> None:
        """Where the cap came down, what is over it goes."""
        spares = self.spares()
        for _ in range(len(self.slots) - self.going - self.most):
            if not self.evict(spares):
                break

    def busy(self) -> int:
        """Connections that can't give their place up now: they have a request, or are new."""
        old = self.clock() - GRACE
        return sum(not conn.spare(old) for conn in self.slots)

    def plenty(self) -> bool:
        """With many connections standing, the first answer on another ends it: clients that ask once and keep
        theirs would fill what they and we may hold, and the next one find no place. Not where it was used
        again, and not once no new ones are taken."""
        return len(self.slots) - self.going > self.most * PLENTY and not self.stopping

    def full(self) -> bool:
        """All places are in use. One that has asked nothing yet keeps none from a request that is here."""
        return sum(conn.open is not None or conn.unread for conn in self.slots) >= self.most

    def room(self, size: int) -> bool:
        """Whether memory allows so many bytes more, should the client not read them."""
        return self.held + size <= self.memory

    def drain(self) -> None:
        self.leaving = self.draining = True
        for conn in self.slots:
            conn.close_if_idle()

    def finish(self) -> None:
        """Nothing is served any more: what comes is refused at once, also what is half read, and what waits
        behind an answer gets a refusal of its own."""
        self.over = self.leaving = True
        for conn in self.slots:
            conn.cut_short()

    def spares(self) -> Iterator["ServerConnection"]:
        """Connections whose place may be taken, the first to go first. They are looked for once, as the first
        is asked for: one search serves a whole turn of accepts."""
        old = self.clock() - GRACE
        free = [c for c in self.slots if c.spare(old)]
        # One that is half read goes last: its end may be on the way, and then it is a request taken and lost.
        free.sort(key=lambda c: (c.message is not None, not c.ended, c.served > 0, c.since))
        yield from free

    def make_room(self) -> bool:
        """At the cap one connection without an open request goes: one that ends anyway, else one that has
        sent nothing in its grace, else the one idle for longest: its client opens another when it needs one.
        Where all have one, a long answer gives way that goes on far past its request's time.
        A flood of silent connections takes no usual client's place."""
        return len(self.slots) - self.going < self.most or self.evict(self.spares())

    def evict(self, spares: Iterator["ServerConnection"]) -> bool:
        """The next of `spares` gives its place up now and its descriptor a turn later; False if none can."""
        for victim in spares:
            if victim.arriving():
                continue  # a request is here that was not read yet
            self.counters.add("clients_evicted")
            victim.ended = victim.evicted = True
            self.going += 1
            victim.transport.abort()
            return True
        late = [
            (rank, c.slot, c) for c in self.slots if c.source and (rank := c.source.overdue()) is not None
        ]
        if not late:
            return False
        victim = min(late)[2]
        self.counters.add("clients_evicted")
        victim.ended = victim.evicted = True
        self.going += 1
        cast(Source, victim.source).give_way()
        return True


class Listener:
    """Takes connections while there is room for them: the others wait with the system, where they cost no
    descriptor. With TCP_DEFER_ACCEPT those that send nothing stay there for a second."""

    def __init__(
        self, handler: Handler, clients: Clients, address: Address, loop: asyncio.AbstractEventLoop,
        share: bool = False,
    ) -> None:  # fmt: skip
        self.handler, self.clients, self.loop = handler, clients, loop
        self.open, self.paused, self.coming = True, False, 0
        self.tasks: dict[asyncio.Task[Any], ServerConnection] = {}  # of connections being taken
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share:  # with the process that replaces this one
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
        self.socket.listen(1024)
        self.socket.setblocking(False)
        self.address: Address = self.socket.getsockname()[:2]
        loop.add_reader(self.socket, self._ready)

    def taking(self) -> int:
        """Connections that were accepted and have no slot yet."""
        return sum(conn.slot < 0 for conn in self.tasks.values())

    def _over(self) -> int:
        """Connections past the cap, with those being taken and without those that gave their place up."""
        clients = self.clients
        return len(clients.slots) + self.taking() - clients.going - clients.most

    def _ready(self) -> None:
        """One turn's share of what waits: those that came before are read in between."""
        clients = self.clients
        if self._over() >= 0:
            clients.short()
        spares, over = clients.spares(), self._over()
        extra = surplus(clients.most)  # for telling those at once that there is no room
        for taken in range(min(extra, SHARE)):
            if over + clients.going >= extra:  # what gives its place up lets its descriptor go a turn later
                if over >= extra and not clients.evict(spares):
                    self._pause()
                return
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                if taken:  # a lack of descriptors is told though nobody may wait: the next turn knows
                    return
                clients.counters.add("accepts_failed")
                clients.log("accept_failed", why=str(fault))
                if fault.errno in LACK:  # what is held now must go first
                    clients.evict(spares)
                return self._pause()
            self._take(sock)
            over += 1
            if over > 0 and clients.evict(spares):
                over -= 1

    def _take(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.coming += 1
        conn = ServerConnection(self.handler, self.clients)
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: conn, sock))
        self.tasks[task] = conn
        task.add_done_callback(self._came)

    def _came(self, task: "asyncio.Task[Any]") -> None:
        del self.tasks[task]
        self.coming -= 1
        if not task.cancelled() and task.exception() is not None:  # it left before it was taken
            self.clients.counters.add("accepts_failed")

    def _pause(self) -> None:
        self.paused = True
        self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        if self.paused and self.open:
            self.paused = False
            self.loop.add_reader(self.socket, self._ready)

    def hurry(self) -> None:
        """It will close: what comes from now on must not wait with the system, whose queue closes with it."""
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 0)

    def close(self) -> None:
        if self.open:
            self.open = False
            if not self.paused:
                self.loop.remove_reader(self.socket)
            self._take_rest()

    def _take_rest(self) -> None:
        """What the system has accepted is ours to answer: closed on, it would be reset. Where there is no
        place for it now there will be, as answers end their connections; where none came, the surplus is told
        that there is no room."""
        clients, spares, over = self.clients, self.clients.spares(), self._over()
        extra = surplus(clients.most)
        most = 0 if over < 0 else extra
        try:
            while over < most and over + clients.going < extra:
                self._take(self.socket.accept()[0])
                over += 1
        except BlockingIOError:
            return self.socket.close()
        except OSError:
            clients.counters.add("accepts_failed")
        for _ in range(over):
            clients.evict(spares)
        self.coming += 1  # the process does not end meanwhile
        self.loop.call_later(AGAIN, self._again)

    def _again(self) -> None:
        self.coming -= 1
        self._take_rest()


class ServerConnection(asyncio.Protocol):
    """One client's connection: a request at a time, in the order they came."""

    def __init__(self, handler: Handler, clients: Clients) -> None:
        self.handler, self.clients = handler, clients
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.slot = -1
        self.message: Message | None = None  # being read
        self.open: Message | None = None  # being answered
        self.waiting: deque[Message] = deque()
        self.ended = False  # nothing more is read or answered
        self.closing = False  # closes after the answer
        self.served = 0  # requests answered
        self.lost = self.evicted = False
        self.left = False  # the client ended its sending, closed or reset: nothing is owed
        self._ahead, self._ahead_size = deque[bytes](), 0  # read, not parsed: it came before its turn
        self._feeding = False
        self._bad: tuple[int, str, bytes] | None = None  # told once what came before it is answered
        self._poll: select.poll | None = None
        self.since = 0  # when its present state began
        self.context: Any = None  # the handler's own
        self.turned_away = b""  # the target of what was refused unread
        self.status = self.length = 0  # of the latest answer
        self._head = self._size = self._lines = self._spill = 0
        self._in_head = False
        self._twice = b""  # a header that came again and must not
        self._body: bytes | bytearray = b""
        self._body_since = 0  # when the head was whole
        self._writable: asyncio.Future[None] | None = None
        self.source: Source | None = None  # of the long answer that is on its way
        self._chunked, self._done = False, cast(Callable[[bool], None], None)
        self.unread = False  # an answer waits here for the client to read it
        self._unread = 0  # that many bytes of it
        self._left = self._moved = 0  # how much there was at the last look, and when that changed

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a mark of 0 it is told whenever the client leaves something unread, and what that holds counts.
        self.transport.set_write_buffer_limits(high=0)
        self.slot = self.clients.slots.add(self)
        self.since = self.clients.clock()
        self.clients.counters.add("clients_accepted")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.clients.slots.free(self.slot)
        self.clients.going -= self.evicted
        self.resume_writing()
        self.leave()

    def leave(self) -> None:
        """The client ended its sending, closed or reset: what is open and what waits behind it go at once."""
        if self.left:
            return
        self.left = self.ended = True
        self._unhold(self.message)
        self.message = self._bad = None
        self._drop_waiting()
        if self.source is not None:
            self.source.abandon()
            self.source = None
        if self.open is not None:
            self._unhold(self.open)
            self.open = None
            self.handler.gone(self)

    def drop(self) -> None:
        """It left, by the system's word: the news of that stands unread."""
        self.clients.counters.add("clients_left_unseen")
        self.leave()
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.ended or self._bad is not None:
            # Read on for a moment, so that the answer is not lost to a reset; but not 60 MB of it.
            self._spill += len(data)
            if self._spill > self.clients.head_most and not self.lost:
                self.transport.pause_reading()
            return
        if self.waiting or self._ahead:
            # Read on, or a client that leaves goes unseen; past a head's size `sweep` looks for that.
            self._ahead.append(data)
            self._ahead_size += len(data)
            self.clients.held += len(data)
            if self.clients.held > self.clients.memory:
                self.clients.counters.add("bodies_over_memory")
                self._drop_ahead()
                self.refuse(503, "too much is held at present")
            elif self._ahead_size > self.clients.head_most:
                self.transport.pause_reading()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        if self._in_head or self.message is None:
            self._head += len(data)
        self._feeding = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.ended and self._bad is None:
                self.refuse(400, "this is not HTTP/1.1 as it is spoken here")
            return
        finally:
            self._feeding = False
        if self._in_head and not self.ended and self._bad is None and self._head > self.clients.head_most:
            self.refuse(431, f"a head may have {self.clients.head_most} bytes")

    def _catch_up(self) -> None:
        """What came ahead has its turn. Never from within the parser, which is not entered twice."""
        if self._feeding:
            return
        while self._ahead and not (self.waiting or self.ended or self.lost or self._bad is not None):
            data = self._ahead.popleft()  # as it was read: more at once could be too many requests
            self._ahead_size -= len(data)
            self.clients.held -= len(data)
            self._feed(data)
        if not (self.waiting or self._ahead or self.ended or self.lost or self.transport.is_reading()):
            self.transport.resume_reading()

    def _drop_ahead(self) -> None:
        self.clients.held -= self._ahead_size
        self._ahead.clear()
        self._ahead_size = 0

    def eof_received(self) -> bool:
        self.leave()  # a client that ends its sending counts as gone, as one that closes does
        return False

    def pause_writing(self) -> None:
        self.unread, self._unread = True, self.transport.get_write_buffer_size()
        self._left, self._moved = 0, self.clients.clock()
        self.clients.held += self._unread
        if self.source is not None:
            self.source.hold(True)

    def resume_writing(self) -> None:
        self.clients.held -= self._unread
        self.unread, self._unread = False, 0
        if self.source is not None:
            self.source.hold(False)
        self._wake()
        self._next()
        self._catch_up()

    def _wake(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def writable(self) -> bool:
        """Wait until the client has read enough; False if it left."""
        while self.unread and not self.lost:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable
        return not self.lost

    # httptools

    def on_message_begin(self) -> None:
        if self.ended or self._bad is not None:
            raise Stopped
        self.message, self._body, self._size, self._in_head = Message(), b"", 0, True
        self._lines, self._twice = 0, b""
        if self.open is None and self.served:  # the first one's time runs from the connecting
            self.since = self.clients.clock()

    def on_url(self, url: bytes) -> None:
        if self.message is not None:
            self.message.target += url
            self._lines += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self.message
        if message is None:
            return
        self._lines += len(name) + len(value) + 4
        if not self._in_head:  # a trailer: it must not change what the head said
            if self._lines > self.clients.head_most:
                self.refuse(431, f"a head may have {self.clients.head_most} bytes")
            return
        name, value = name.lower(), value.strip(b" \t")  # RFC 9112: space around a value is none of it
        if name in message.headers:
            if name in SINGLE or name in self.handler.single:
                self._twice = self._twice or name
            value = message.headers[name] + b", " + value
        message.headers[name] = value

    def on_headers_complete(self) -> None:
        message = self.message
        if message is None or self.ended:
            return
        self._in_head, self._body_since = False, self.clients.clock()
        if self._lines > self.clients.head_most:
            return self.refuse(431, f"a head may have {self.clients.head_most} bytes")
        if self._twice:
            return self.refuse(400, f"{self._twice.decode('latin-1')} came twice")
        length, coding = message.headers.get(b"content-length"), message.headers.get(b"transfer-encoding")
        if length is not None and (coding is not None or LENGTH.fullmatch(length) is None):
            # Read by one and not by the other, the body would hide a second request.
            return self.refuse(400, "Content-Length is malformed, or comes with Transfer-Encoding")
        if coding is not None and coding.lower() != b"chunked":
            return self.refuse(400, "Transfer-Encoding may be chunked here")
        if length is not None and int(length) > self._body_most():
            return self.refuse(413, f"a body may have {self._body_most()} bytes")
        if message.headers.get(b"expect", b"").lower() == b"100-continue" and self.open is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.message is None or self.ended:
            return
        self._size += len(body)
        if self.open is None and self.handler.slow_bodies:
            self.since = self.clients.clock()  # a slow upload that moves is none that hangs
        self.clients.held += len(body)
        # One buffer that grows in place: pieces joined at the end would take the memory twice.
        if not self._body:
            self._body = body
        elif isinstance(self._body, bytearray):
            self._body += body
        else:
            self._body = bytearray(self._body) + body
        if self._size > self._body_most():
            self.refuse(413, f"a body may have {self._body_most()} bytes")
        elif self.clients.held > self.clients.memory:
            self.clients.counters.add("bodies_over_memory")
            self.refuse(503, "too many bodies are held at present")

    def _body_most(self) -> int:
        return min(self.handler.body_most, self.clients.memory)

    def on_message_complete(self) -> None:
        message = self.message
        if message is None or self.ended:
            return
        self.message, self._head = None, 0
        message.method = self.parser.get_method()
        if message.target[:7].lower() == b"http://":  # the absolute form says no more than Host
            message.target = b"/" + message.target[7:].partition(b"/")[2]
        message.body = self._body
        message.version = self.parser.get_http_version()
        message.keep_alive = self.parser.should_keep_alive()
        message.received = self.clients.clock()
        self._body = b""
        self.waiting.append(message)
        if len(self.waiting) > WAITING_MOST:
            return self.refuse(400, "too many requests sent ahead")
        self._next()

    # Answers

    def _next(self) -> None:
        # Not while an answer stands unread: a client that only asks must not pile them up.
        if self.open is None and self.waiting and not (self.ended or self.lost or self.unread):
            over = len(self.clients.slots) - self.clients.going > self.clients.most
            if over and not self.served and not self.clients.make_room() and self.clients.full():
                # No place is left that another does not need: this one is served no further, and told so.
                target = self.waiting[0].target
                self._drop_waiting()
                self.refuse(503, "too many connections", target)
                return
            if self.coming() & LEFT:  # it left while this was not read, or not its turn
                self.drop()
                return
            message = self.open = self.waiting.popleft()
            if not message.keep_alive:
                self.closing = True
            if self.clients.over:
                self.turned_away = message.target
                self.handler.bad(self, 503, "the front stops")
                return
            try:
                self.handler.request(self, message)
            except Exception as fault:  # the parser would pass it off as the client's mistake
                self.clients.counters.add("unexpected_errors")
                self.clients.log("request_broke", why=repr(fault))
                if self.open is message:
                    self.reply(500, (), b"the front failed\n")
        elif self._bad is not None and self.open is None and not (self.waiting or self.unread or self.lost):
            self._say_bad()

    def _unhold(self, message: Message | None) -> None:
        if message is not None and message is self.message:
            self.clients.held -= self._size
            self._body = b""
        elif message is not None:
            self.clients.held -= len(message.body)
            message.body = b""

    def _drop_waiting(self) -> None:
        while self.waiting:  # each gives its memory back: dropped with a bare clear, it stayed counted
            self._unhold(self.waiting.popleft())
        self._drop_ahead()

    def _more(self) -> bool:
        """Whether the client has sent, or begun to send, what is not its turn yet: that is answered too."""
        return bool(self.waiting or self._ahead or self.message is not None or self._bad is not None)

    def refuse(self, status: int, why: str, target: bytes = b"") -> None:
        """What can't be read is answered, and the connection ends with that."""
        told = self.message.target if self.message is not None else target
        self._unhold(self.message)
        self.message, self._bad = None, (status, why, told)
        self.clients.counters.add(f"bad_requests_{status}")
        if self.open is None and not (self.waiting or self.lost):
            self._say_bad()

    def _say_bad(self) -> None:
        """The last answer of this connection, once those before it are given: they were whole requests."""
        assert self._bad is not None
        (status, why, self.turned_away), self._bad = self._bad, None
        self._drop_waiting()
        self.ended = self.closing = True
        self.handler.bad(self, status, why)

    def head(self, status: int, headers: Iterable[bytes], length: int | None) -> list[bytes]:
        """The pieces of an answer's head."""
        if not self._more() and (self.clients.leaving or (not self.served and self.clients.plenty())):
            self.closing = True
        self.status, self.length = status, length or 0
        parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
        if self.handler.dated:
            parts.append(b"Date: %s\r\n" % formatdate(self.clients.clock() / 1e6, usegmt=True).encode())
        parts += [h + b"\r\n" for h in headers]
        if length is not None:
            parts.append(b"Content-Length: %d\r\n" % length)
        parts.append(b"Connection: close\r\n\r\n" if self.closing else b"\r\n")
        return parts

    def reply(self, status: int, headers: Iterable[bytes], body: bytes, length: int | None = None) -> None:
        """A whole answer to the open request. `length` stands in for the body's where none is sent."""
        if self.lost or self.left:
            return
        size = len(body) if length is None else length
        parts = self.head(status, headers, None if status in (204, 304) else size)
        parts.append(body)
        self.transport.writelines(parts)
        self.finished()

    # A long answer, as it comes

    def relay(
        self, status: int, length: int | None, first: bytes, source: Source, done: Callable[[bool], None]
    ) -> None:
        """Without a length it goes in chunks, or up to the connection's end where the client knows none.
        `done` is told whether all of it is out, unless the client leaves."""
        self._chunked = length is None and self.open is not None and self.open.version == "1.1"
        self.closing |= length is None and not self._chunked
        coding = (b"Transfer-Encoding: chunked",) if self._chunked else ()
        self.source, source.sink, self._done = source, self, done
        self.transport.writelines([*self.head(status, coding, length), *self._piece(first)])

    def _piece(self, data: bytes) -> tuple[bytes, ...]:
        if not data:
            return ()
        return (b"%x\r\n" % len(data), data, b"\r\n") if self._chunked else (data,)

    def more(self, piece: bytes) -> None:
        if not self.lost:
            self.transport.writelines(self._piece(piece))

    def whole(self) -> None:
        self.source = None
        self._done(True)
        if self._chunked and not self.lost:
            self.transport.write(b"0\r\n\r\n")
        self.finished()

    def broke(self) -> None:
        """The client sees it: the answer ends short of its length, or of its last chunk; where it would end
        with its connection, that is reset."""
        self.source = None
        self._done(False)
        if not (self._chunked or self.length or self.transport.is_closing()):
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def finished(self) -> None:
        """The answer is out: the next request's turn."""
        self._unhold(self.open)
        self.open = None
        self.served += 1
        self.since = self.clients.clock()
        if self.lost or self.left:
            return
        if self.closing or (self.clients.leaving and not self._more()):
            self.ended = True
            self._drop_waiting()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            return
        self._next()
        self._catch_up()
        if self.clients.over:
            self.cut_short()

    # States

    def stuck(self, now: int) -> bool:
        """Whether the client has read nothing of what waits for it here or with the system for long. One
        that takes minutes over an answer is served as long as it moves."""
        left = self.transport.get_write_buffer_size()
        if (sock := self.transport.get_extra_info("socket")) is not None:
            left += int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4), sys.byteorder)
        if left != self._left:
            self._left, self._moved = left, now
        return self._moved + UNREAD <= now

    def idle(self) -> bool:
        return self.open is None and self.message is None and not self.waiting and not self.ended

    def spare(self, old: int) -> bool:
        """No request of it is open, and it is in its present state since `old` or ends anyway."""
        calm = self.open is None and not (self.waiting or self.unread)
        still = self.ended or self.since <= old or self._trickles(old)
        return calm and still and not self.transport.is_closing()

    def _trickles(self, old: int) -> bool:
        """A body that may take long, and hardly moves."""
        if self.message is None or self._in_head:
            return False
        return self._body_since + REQUEST_TIME + self._size * 1_000_000 // TRICKLE <= old

    def coming(self) -> int:
        """What the system holds of this connection that was not read yet, in poll's words."""
        if self._poll is None:
            sock = self.transport.get_extra_info("socket")
            fd = sock.fileno() if sock is not None else -1
            if not isinstance(fd, int) or fd < 0:
                return 0
            self._poll = select.poll()
            self._poll.register(fd, select.POLLIN | select.POLLRDHUP)
        return 0 if self.transport.is_closing() else sum(told for _, told in self._poll.poll(0))

    def arriving(self) -> bool:
        """A request is here, or its begin, that was not read yet: closed on, it would be lost."""
        told = self.coming()
        return bool(told & select.POLLIN) and not told & LEFT

    def has_left(self) -> bool:
        """Whether the client ended its sending, closed or reset, by the system's word at this moment: where
        reading is paused, or the front is busy, the news waits. If so, what is open goes within this call."""
        if not self.left and (self.transport.is_closing() or self.coming() & LEFT):
            self.drop()
        return self.left

    def deaf(self) -> bool:
        """Reading is paused, so a client that leaves goes unseen."""
        return not self.left and not self.transport.is_closing() and not self.transport.is_reading()

    def close_if_idle(self) -> None:
        if self.idle() and not self.arriving():
            self.ended = True
            self.transport.close()

    def cut_short(self) -> None:
        """The process ends: what is half read is refused, its end won't be served."""
        if self.message is not None and self.open is None and not self.ended:
            self.refuse(503, "the front stops")
        else:
            self.close_if_idle()

    def patience(self, idle: int) -> int:
        if self.open is not None:
            return 1 << 62
        if self.ended:
            return LINGER
        if self.message is not None:
            if self._in_head:
                return REQUEST_TIME
            late = self._body_since + BODY_TIME - self.since
            return max(REQUEST_TIME, late) + self._size * 1_000_000 // PACE
        return REQUEST_TIME if not self.served else idle

    def expire(self) -> None:
        if self.message is not None and not self.ended:
            self.refuse(408, "the request did not come whole in time")
        elif self.ended or not self.arriving():
            self.transport.abort()  # a plain close waits for a client that may never read
