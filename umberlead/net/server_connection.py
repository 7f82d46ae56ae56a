"""The server's side of one HTTP/1.1 connection: the order of requests, replies, and how it ends."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol, cast

from umberlead.net.client_connections import Clients
from umberlead.net.close_reason import CloseReason
from umberlead.net.connection_state import ConnectionState
from umberlead.net.http_message import BODYLESS_STATUSES, Message, Rejection, encode_head
from umberlead.net.relay import BodySource, Relay
from umberlead.net.request_parser import RequestParser
from umberlead.net.socket_state import DISCONNECT_EVENTS, SocketState

LARGEST_READ_BYTES = 256_000  # of one read of the event loop: a shorter one leaves nothing unread
CATCH_UP_US = 50_000  # after reading was resumed, in which what waited meanwhile is read
MAX_PIPELINED_REQUESTS = 256  # whole requests that may wait, all of one read: later reads wait unparsed


class Handler(Protocol):
    """What a front does with requests, and what it allows its clients.

    Attributes:
        max_body_bytes: how long a body may be.
        sends_date: whether its replies carry a Date.
        singleton_headers: header fields, beside those of HTTP, that may come once.
        retry_after: what refused clients are told to wait, in microseconds.
        allows_slow_bodies: whether a body may take long as long as it moves.
    """

    max_body_bytes: int
    sends_date: bool
    singleton_headers: frozenset[bytes]
    retry_after: int
    allows_slow_bodies: bool

    def request(self, conn: "ServerConnection", message: Message) -> None:
        """Answer a request, now or later, once."""

    def client_disconnected(self, conn: "ServerConnection") -> None:
        """Take note that the client left while its request was open."""

    def reject(self, conn: "ServerConnection", status: int, reason: str) -> None:
        """Answer what could not be read."""


class ServerConnection(ConnectionState, asyncio.Protocol):
    """One client's connection: a request at a time, in the order they came."""

    def __init__(self, handler: Handler, clients: Clients) -> None:
        """Serve a client by `handler`, among `clients`."""
        super().__init__(clients)
        self.handler = handler
        self._parser = RequestParser(self, handler, clients)
        self._overtime = False  # its time was over as something of its request was here unread
        self._ignored_bytes = 0  # read after the end
        self._blocked_bytes = 0  # of a reply that the client has not read
        self._writable: asyncio.Future[None] | None = None

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a slot."""
        self.transport = cast(asyncio.Transport, transport)
        self._socket = SocketState(self.transport)
        # With a mark of 0 it is told whenever the client leaves something unread, and what that holds counts.
        self.transport.set_write_buffer_limits(high=0)
        self.slot = self.clients.slots.add(self)
        self.state_since_us = self.clients.clock()
        self.clients.counters.add("clients_accepted")

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the slot back, and end what was open."""
        self.closed = True
        self.record_close(CloseReason.CLIENT_LEFT)
        self.clients.slots.free(self.slot)
        self.clients.evicting -= self.evicted
        self.resume_writing()
        self.disconnect()

    def disconnect(self) -> None:
        """End what is open and what waits behind it at once: the client has left."""
        if self.client_disconnected:
            return
        self.client_disconnected = self.ended = True
        self._parser.discard()
        self._rejection = None
        self._pending.discard()
        if self.source is not None:
            self.source.cancel()
            self.source = None
        if self.current is not None:
            self._pending.release(self.current)
            self.current = None
            self.handler.client_disconnected(self)

    def abort_disconnected(self) -> None:
        """End it: the client has left by the system's word, and the news of that stands unread."""
        self.clients.counters.add("clients_left_unseen")
        self.disconnect()
        self.record_close(CloseReason.CLIENT_LEFT)
        self.transport.abort()

    def record_close(self, reason: CloseReason) -> None:
        """Take note of why the connection ends, once, and check that nothing is owed on it."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.clients.counters.add(f"clients_closed_{reason.value}")
        # Who left is owed nothing, and the client of a reply that breaks off sees that it is not whole.
        owed = reason not in (CloseReason.CLIENT_LEFT, CloseReason.BROKEN_OFF) and self.owes_answer()
        if self.clients.on_close is not None:
            self.clients.on_close(owed, reason.value, self.call_ids())

    def data_received(self, data: bytes) -> None:
        """Parse what came, or keep it until its turn."""
        received_us = self._received_us(data)
        if not self.accepts_requests:
            # Read on for a moment, so that the reply is not lost to a reset; but not 60 MB of it.
            self._ignored_bytes += len(data)
            if self._ignored_bytes > self.clients.max_head_bytes and not self.closed:
                self.transport.pause_reading()
        elif self._pending:
            self._keep(data, received_us)
        else:
            self._parser.feed(data, received_us)

    def _received_us(self, data: bytes) -> int:
        """Return when bytes that are read now may have come.

        Of what waited with the system while nothing was read only that is known: a request's time runs from
        then, for its client's does.
        """
        now_us = self.clients.clock()
        if self.waited_since_us:
            since_us, self.waited_since_us = self.waited_since_us, 0
            age_us = self._socket.last_data_age_us()
            return now_us if age_us is None else max(since_us, now_us - age_us)
        if not self._unread_since_us:
            return now_us
        since_us = self._unread_since_us
        caught_up = now_us > self._resumed_us + CATCH_UP_US
        if caught_up or len(data) < LARGEST_READ_BYTES:  # no more of it waits
            self._unread_since_us = 0
        return now_us if caught_up else since_us

    def _keep(self, data: bytes, received_us: int) -> None:
        """Read on, or a client that leaves goes unseen; past a head's size `Clients.sweep` looks for that."""
        self._pending.put(data, received_us)
        if self.clients.held_bytes > self.clients.memory_limit_bytes:
            self.clients.counters.add("bodies_over_memory")
            self._pending.discard_unparsed()
            self.refuse(503, "too much is held at present")
        elif self._pending.unparsed_bytes > self.clients.max_head_bytes:
            self._unread_since_us = self.clients.clock()
            self.transport.pause_reading()

    def _parse_read_ahead(self) -> None:
        """Parse what came ahead of its turn. Never from within the parser, which is not entered twice."""
        if self._parser.feeding:
            return
        while self._pending.has_unparsed and self.accepts_requests and not (self.pipelined or self.closed):
            self._parser.feed(*self._pending.take())
        caught_up = not (self._pending or self.ended or self.closed)
        if caught_up and not self.transport.is_reading():
            self._resumed_us = self.clients.clock()
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """End it: a client that ends its sending counts as disconnected, as one that closes does."""
        self.disconnect()
        return False

    def pause_writing(self) -> None:
        """Count what the client has not read as held memory."""
        self.write_blocked, self._blocked_bytes = True, self.transport.get_write_buffer_size()
        self._unsent_bytes, self._unsent_since_us = 0, self.clients.clock()
        self.clients.held_bytes += self._blocked_bytes
        if self.source is not None:
            self.source.set_paused(True)

    def resume_writing(self) -> None:
        """Go on: the client has read all."""
        self.clients.held_bytes -= self._blocked_bytes
        self.write_blocked, self._blocked_bytes = False, 0
        if self.source is not None:
            self.source.set_paused(False)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._start_next_request()
        self._parse_read_ahead()

    async def writable(self) -> bool:
        """Wait until the client has read enough; False if it left."""
        while self.write_blocked and not self.closed:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable
        return not self.closed

    # RequestReceiver: what the parser reads

    def request_begun(self) -> None:
        """Begin a request's time; the first one's runs from the connecting."""
        self._overtime = False
        if self.current is None and self.served:
            self.state_since_us = self.clients.clock()

    def head_complete(self, message: Message) -> None:
        """Ask for the body where the client waits with it."""
        expects = message.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.current is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_progress(self) -> None:
        """Count the body's time anew: a slow upload that moves is none that hangs."""
        if self.current is None and self.handler.allows_slow_bodies:
            self.state_since_us = self.clients.clock()

    def request_complete(self, message: Message) -> None:
        """Put a request in line."""
        self.pipelined.append(message)
        if len(self.pipelined) > MAX_PIPELINED_REQUESTS:
            return self.refuse(400, "too many requests sent ahead")
        self._start_next_request()

    def refuse(self, status: int, reason: str, target: bytes = b"") -> None:
        """Answer what can't be read; the connection ends with that."""
        partial = self._parser.message
        rejected = partial.target if partial is not None else target
        self._parser.discard()
        self._rejection = Rejection(status, reason, rejected)
        self.clients.counters.add(f"bad_requests_{status}")
        if self.current is None and not (self.pipelined or self.closed):
            self._send_rejection()

    # Requests, one after the other

    def _start_next_request(self) -> None:
        # Not while a reply stands unread: a client that only asks must not pile them up.
        ready = self.current is None and not (self.write_blocked or self.closed)
        if ready and self.pipelined and not self.ended:
            if self._has_no_place():
                # No place is left that another does not need: this one is served no further, and told so.
                target = self.pipelined[0].target
                self._pending.discard()
                self.refuse(503, "too many connections", target)
            elif self.pending_events() & DISCONNECT_EVENTS:  # it left unseen
                self.abort_disconnected()
            else:
                self._start(self.pipelined.popleft())
        elif ready and self._rejection is not None and not self.pipelined:
            self._send_rejection()

    def _has_no_place(self) -> bool:
        clients = self.clients
        over = clients.count > clients.max_connections and not self.served
        return over and not clients.make_room() and clients.is_full()

    def _start(self, message: Message) -> None:
        self.current = message
        if not message.keep_alive:
            self.close_after_reply = True
        if self.clients.refusing:
            self.rejected_target = message.target
            self.handler.reject(self, 503, "the front stops")
            return
        try:
            self.handler.request(self, message)
        except Exception as fault:  # the parser would pass it off as the client's mistake
            self.clients.counters.add("unexpected_errors")
            self.clients.log("request_broke", why=repr(fault))
            if self.current is message:
                self.reply(500, (), b"the front failed\n")

    def _send_rejection(self) -> None:
        """The last reply of this connection, once those before it are given: they were whole requests."""
        assert self._rejection is not None
        rejection, self._rejection = self._rejection, None
        self.rejected_target = rejection.target
        self._pending.discard()
        self.ended = self.close_after_reply = True
        self.handler.reject(self, rejection.status, rejection.reason)

    # Replies

    def response_head(self, status: int, headers: Iterable[bytes], length: int | None) -> list[bytes]:
        """Begin a reply to the open request, and return the pieces of its head."""
        if self._closes_with_this_reply() and not (self.has_more_input() or self.has_unread_request()):
            self.close_after_reply = True
        self.status, self.length = status, length or 0
        date_us = self.clients.clock() if self.handler.sends_date else None
        return encode_head(status, headers, length, date_us, self.close_after_reply)

    def _closes_with_this_reply(self) -> bool:
        first = not self.served
        return self.clients.close_after_reply or (first and self.clients.above_idle_threshold())

    def reply(self, status: int, headers: Iterable[bytes], body: bytes, length: int | None = None) -> None:
        """Write a whole reply to the open request.

        Args:
            status: the HTTP status.
            headers: whole header lines, without line ends.
            body: the body.
            length: stands in for the body's length where none is sent, as in a reply to HEAD.
        """
        if self.closed or self.client_disconnected:
            return
        size = len(body) if length is None else length
        parts = self.response_head(status, headers, None if status in BODYLESS_STATUSES else size)
        parts.append(body)
        self.transport.writelines(parts)
        self.finish_response()

    def relay(
        self, status: int, length: int | None, first: bytes, source: BodySource, done: Callable[[bool], None]
    ) -> None:
        """Begin a long reply, whose rest comes from `source`.

        Args:
            status: the HTTP status.
            length: the length of the body; None where it is not known.
            first: the first bytes of the body.
            source: gives the rest to its sink, and is held back where the client does not read.
            done: is told whether all of it is out, unless the client leaves.
        """
        self.chunked = Relay.uses_chunks(length, self.current)
        self.close_after_reply |= length is None and not self.chunked
        coding = (b"Transfer-Encoding: chunked",) if self.chunked else ()
        relay = Relay(self, self.chunked, done)
        self.source, source.sink = source, relay
        self.transport.writelines([*self.response_head(status, coding, length), *relay.encode(first)])

    def finish_response(self) -> None:
        """The reply is out: the next request's turn."""
        self._pending.release(self.current)
        self.current = None
        self.served += 1
        self.state_since_us = self.clients.clock()
        if self.closed or self.client_disconnected:
            return
        if self.close_after_reply:
            self.ended = True
            self.record_close(CloseReason.ANNOUNCED)
            self._pending.discard()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            return
        self._start_next_request()
        self._parse_read_ahead()
        if self.clients.refusing:
            self.shut_down()
        elif self.clients.close_after_reply:
            # Its reply did not say so: what the client has sent since is served, and nothing is read past it.
            self.close_if_idle()

    # Ends

    def check_disconnected(self) -> bool:
        """Tell whether the client ended its sending, closed or reset, by the system's word at this moment.

        Where reading is paused, or the front is busy, the news waits. If so, what is open ends within this
        call.
        """
        if not self.client_disconnected:
            closing = self.transport.is_closing()
            if closing or self.pending_events() & DISCONNECT_EVENTS:
                self.abort_disconnected()
        return self.client_disconnected

    def close_if_idle(self) -> None:
        """Close it where it has no request."""
        if self.is_idle() and not self.has_unread_request():
            self.record_close(CloseReason.DRAIN)
            self.ended = True
            self.transport.close()

    def shut_down(self) -> None:
        """Refuse a request that is half read, since its end won't be served, or close it where it is idle."""
        partial = self._parser.message is not None
        if partial and self.current is None and not self.ended:
            self.refuse(503, "the front stops")
        else:
            self.close_if_idle()

    def break_off(self) -> None:
        """End it in the middle of a reply.

        The client sees it: the reply ends short of its length, or of its last chunk; where it would end with
        its connection, that is reset.
        """
        if not (self.chunked or self.length or self.transport.is_closing()):
            self._socket.reset_on_close()
        self.record_close(CloseReason.BROKEN_OFF)
        self.transport.abort()

    def abort_evicted(self) -> None:
        """End it for another's need of its place.

        A request that is half read is refused first: its end may be on the way.
        """
        if self._parser.message is not None and not self.ended:
            self.refuse(503, "too many connections")
        self.record_close(CloseReason.EVICTED)
        self.ended = True
        self.transport.abort()

    def on_timeout(self) -> None:
        """End it: it stayed in its state for too long."""
        if self._parser.message is not None and not self.ended:
            if self.has_unread_request() and not self._overtime:  # its end may be here: once, or a trickle
                self._overtime = True  # would never end
                return
            self.refuse(408, "the request did not come whole in time")
        elif self.ended or not self.has_unread_request():
            self.record_close(CloseReason.IDLE)
            self.transport.abort()  # a plain close waits for a client that may never read
