"""The server's side of one HTTP/1.1 connection: the order of requests, replies, and how it ends."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol, cast

from umberlead.net.client_connections import ClientGroup
from umberlead.net.close_reason import CloseReason
from umberlead.net.connection_state import ConnectionState
from umberlead.net.http_message import (
    BODYLESS_STATUSES,
    HttpRequest,
    RequestRejection,
    encode_response_headers,
)
from umberlead.net.relay import BodySource, ResponseRelay
from umberlead.net.request_parser import RequestParser
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS, SocketState

MAX_READ_BYTES = 256_000  # of one read of the event loop: a shorter one leaves nothing unread
CATCH_UP_WINDOW_US = 50_000  # after reading was resumed, in which what waited meanwhile is read
MAX_PIPELINED_REQUESTS = 256  # whole requests that may wait, all of one read: later reads wait unparsed


class RequestHandler(Protocol):
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
    retry_after_us: int
    allows_slow_bodies: bool

    def handle_request(self, conn: "ServerConnection", request: HttpRequest) -> None:
        """Answer a request, now or later, once."""

    def client_disconnected(self, conn: "ServerConnection") -> None:
        """Take note that the client left while its request was open."""

    def reject(self, conn: "ServerConnection", status: int, reason: str) -> None:
        """Answer what could not be read."""


class ServerConnection(ConnectionState, asyncio.Protocol):
    """One client's connection: a request at a time, in the order they came."""

    def __init__(self, handler: RequestHandler, clients: ClientGroup) -> None:
        """Serve a client by `handler`, among `clients`."""
        super().__init__(clients)
        self.handler = handler
        self._parser = RequestParser(self, handler, clients)
        self._timeout_deferred = False  # its time was over as something of its request was here unread
        self._ignored_bytes = 0  # read after the end
        self._blocked_bytes = 0  # of a reply that the client has not read
        self._writable_future: asyncio.Future[None] | None = None

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
        self.record_close(CloseReason.CLIENT_DISCONNECTED)
        self.clients.slots.free(self.slot)
        self.clients.evicting_count -= self.evicted
        self.resume_writing()
        self.disconnect()

    def disconnect(self) -> None:
        """End what is open and what waits behind it at once: the client has left."""
        if self.client_disconnected:
            return
        self.client_disconnected = self.ended = True
        self._parser.discard()
        self._rejection = None
        self._pending_input.discard_all()
        if self.body_source is not None:
            self.body_source.cancel()
            self.body_source = None
        if self.active_request is not None:
            self._pending_input.release_body(self.active_request)
            self.active_request = None
            self.handler.client_disconnected(self)

    def abort_disconnected(self) -> None:
        """End it: the client has left by the system's word, and the news of that stands unread."""
        self.clients.counters.add("clients_left_unseen")
        self.disconnect()
        self.record_close(CloseReason.CLIENT_DISCONNECTED)
        self.transport.abort()

    def record_close(self, reason: CloseReason) -> None:
        """Take note of why the connection ends, once, and check that nothing is owed on it."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.clients.counters.add(f"clients_closed_{reason.value}")
        # Who left is owed nothing, and the client of a reply that breaks off sees that it is not whole.
        owed = (
            reason not in (CloseReason.CLIENT_DISCONNECTED, CloseReason.RESPONSE_ABORTED)
            and self.owes_response()
        )
        if self.clients.on_close is not None:
            self.clients.on_close(owed, reason.value, self.call_ids())

    def data_received(self, data: bytes) -> None:
        """Parse what came, or keep it until its turn."""
        received_us = self._received_us(data)
        if not self.accepts_requests:
            # Read on for a moment, so that the reply is not lost to a reset; but not 60 MB of it.
            self._ignored_bytes += len(data)
            if self._ignored_bytes > self.clients.max_header_bytes and not self.closed:
                self.transport.pause_reading()
        elif self._pending_input:
            self._buffer_input(data, received_us)
        else:
            self._parser.feed(data, received_us)

    def _received_us(self, data: bytes) -> int:
        """Return when bytes that are read now may have come.

        Of what waited with the system while nothing was read only that is known: a request's time runs from
        then, for its client's does.
        """
        now_us = self.clients.clock()
        if self.backlog_since_us:
            since_us, self.backlog_since_us = self.backlog_since_us, 0
            age_us = self._socket.last_data_age_us()
            return now_us if age_us is None else max(since_us, now_us - age_us)
        if not self._unread_since_us:
            return now_us
        since_us = self._unread_since_us
        caught_up = now_us > self._resumed_us + CATCH_UP_WINDOW_US
        if caught_up or len(data) < MAX_READ_BYTES:  # no more of it waits
            self._unread_since_us = 0
        return now_us if caught_up else since_us

    def _buffer_input(self, data: bytes, received_us: int) -> None:
        """Read on, or a client that leaves goes unseen; past a head's size `Clients.sweep` looks for that."""
        self._pending_input.put_unparsed(data, received_us)
        if self.clients.buffered_bytes > self.clients.buffer_limit_bytes:
            self.clients.counters.add("bodies_over_memory")
            self._pending_input.discard_unparsed()
            self.reject(503, "too much is held at present")
        elif self._pending_input.unparsed_bytes > self.clients.max_header_bytes:
            self._unread_since_us = self.clients.clock()
            self.transport.pause_reading()

    def _parse_buffered_input(self) -> None:
        """Parse what came ahead of its turn. Never from within the parser, which is not entered twice."""
        if self._parser.feeding:
            return
        while (
            self._pending_input.has_unparsed
            and self.accepts_requests
            and not (self.pipelined_requests or self.closed)
        ):
            self._parser.feed(*self._pending_input.take_unparsed())
        caught_up = not (self._pending_input or self.ended or self.closed)
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
        self.clients.buffered_bytes += self._blocked_bytes
        if self.body_source is not None:
            self.body_source.set_paused(True)

    def resume_writing(self) -> None:
        """Go on: the client has read all."""
        self.clients.buffered_bytes -= self._blocked_bytes
        self.write_blocked, self._blocked_bytes = False, 0
        if self.body_source is not None:
            self.body_source.set_paused(False)
        if self._writable_future is not None and not self._writable_future.done():
            self._writable_future.set_result(None)
        self._start_next_request()
        self._parse_buffered_input()

    async def wait_writable(self) -> bool:
        """Wait until the client has read enough; False if it left."""
        while self.write_blocked and not self.closed:
            self._writable_future = asyncio.get_running_loop().create_future()
            await self._writable_future
        return not self.closed

    # RequestReceiver: what the parser reads

    def request_started(self) -> None:
        """Begin a request's time; the first one's runs from the connecting."""
        self._timeout_deferred = False
        if self.active_request is None and self.served_count:
            self.state_since_us = self.clients.clock()

    def headers_complete(self, request: HttpRequest) -> None:
        """Ask for the body where the client waits with it."""
        expects = request.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.active_request is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_progressed(self) -> None:
        """Count the body's time anew: a slow upload that moves is none that hangs."""
        if self.active_request is None and self.handler.allows_slow_bodies:
            self.state_since_us = self.clients.clock()

    def request_complete(self, request: HttpRequest) -> None:
        """Put a request in line."""
        self.pipelined_requests.append(request)
        if len(self.pipelined_requests) > MAX_PIPELINED_REQUESTS:
            return self.reject(400, "too many requests sent ahead")
        self._start_next_request()

    def reject(self, status: int, reason: str, target: bytes = b"") -> None:
        """Answer what can't be read; the connection ends with that."""
        partial = self._parser.partial_request
        rejected = partial.target if partial is not None else target
        self._parser.discard()
        self._rejection = RequestRejection(status, reason, rejected)
        self.clients.counters.add(f"bad_requests_{status}")
        if self.active_request is None and not (self.pipelined_requests or self.closed):
            self._send_rejection()

    # Requests, one after the other

    def _start_next_request(self) -> None:
        # Not while a reply stands unread: a client that only asks must not pile them up.
        ready = self.active_request is None and not (self.write_blocked or self.closed)
        if ready and self.pipelined_requests and not self.ended:
            if self._lacks_capacity():
                # No place is left that another does not need: this one is served no further, and told so.
                target = self.pipelined_requests[0].target
                self._pending_input.discard_all()
                self.reject(503, "too many connections", target)
            elif self.pending_events() & DISCONNECT_POLL_EVENTS:  # it left unseen
                self.abort_disconnected()
            else:
                self._start_request(self.pipelined_requests.popleft())
        elif ready and self._rejection is not None and not self.pipelined_requests:
            self._send_rejection()

    def _lacks_capacity(self) -> bool:
        clients = self.clients
        over = clients.count > clients.max_connections and not self.served_count
        return over and not clients.ensure_capacity() and clients.is_full()

    def _start_request(self, request: HttpRequest) -> None:
        self.active_request = request
        if not request.keep_alive:
            self.close_after_reply = True
        if self.clients.rejecting:
            self.rejected_target = request.target
            self.handler.reject(self, 503, "the front stops")
            return
        try:
            self.handler.handle_request(self, request)
        except Exception as error:  # the parser would pass it off as the client's mistake
            self.clients.counters.add("unexpected_errors")
            self.clients.log("request_broke", why=repr(error))
            if self.active_request is request:
                self.send_response(500, (), b"the front failed\n")

    def _send_rejection(self) -> None:
        """The last reply of this connection, once those before it are given: they were whole requests."""
        assert self._rejection is not None
        rejection, self._rejection = self._rejection, None
        self.rejected_target = rejection.target
        self._pending_input.discard_all()
        self.ended = self.close_after_reply = True
        self.handler.reject(self, rejection.status, rejection.reason)

    # Replies

    def begin_response(
        self, status: int, headers: Iterable[bytes], content_length: int | None
    ) -> list[bytes]:
        """Begin a reply to the open request, and return the pieces of its head."""
        if self._closes_with_this_response() and not (self.has_more_input() or self.has_unread_request()):
            self.close_after_reply = True
        self.response_status, self.response_length = status, content_length or 0
        date_us = self.clients.clock() if self.handler.sends_date else None
        return encode_response_headers(status, headers, content_length, date_us, self.close_after_reply)

    def _closes_with_this_response(self) -> bool:
        first = not self.served_count
        return self.clients.close_after_reply or (first and self.clients.above_idle_threshold())

    def send_response(
        self, status: int, headers: Iterable[bytes], body: bytes, content_length: int | None = None
    ) -> None:
        """Write a whole reply to the open request.

        Args:
            status: the HTTP status.
            headers: whole header lines, without line ends.
            body: the body.
            length: stands in for the body's length where none is sent, as in a reply to HEAD.
        """
        if self.closed or self.client_disconnected:
            return
        size = len(body) if content_length is None else content_length
        pieces = self.begin_response(status, headers, None if status in BODYLESS_STATUSES else size)
        pieces.append(body)
        self.transport.writelines(pieces)
        self.finish_response()

    def stream_response(
        self,
        status: int,
        content_length: int | None,
        first_piece: bytes,
        source: BodySource,
        on_end: Callable[[bool], None],
    ) -> None:
        """Begin a long reply, whose rest comes from `source`.

        Args:
            status: the HTTP status.
            length: the length of the body; None where it is not known.
            first: the first bytes of the body.
            source: gives the rest to its sink, and is held back where the client does not read.
            done: is told whether all of it is out, unless the client leaves.
        """
        self.chunked = ResponseRelay.uses_chunks(content_length, self.active_request)
        self.close_after_reply |= content_length is None and not self.chunked
        coding = (b"Transfer-Encoding: chunked",) if self.chunked else ()
        relay = ResponseRelay(self, self.chunked, on_end)
        self.body_source, source.sink = source, relay
        self.transport.writelines(
            [*self.begin_response(status, coding, content_length), *relay.encode(first_piece)]
        )

    def finish_response(self) -> None:
        """The reply is out: the next request's turn."""
        self._pending_input.release_body(self.active_request)
        self.active_request = None
        self.served_count += 1
        self.state_since_us = self.clients.clock()
        if self.closed or self.client_disconnected:
            return
        if self.close_after_reply:
            self.ended = True
            self.record_close(CloseReason.CONNECTION_CLOSE_SENT)
            self._pending_input.discard_all()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            return
        self._start_next_request()
        self._parse_buffered_input()
        if self.clients.rejecting:
            self.begin_shutdown()
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
            if closing or self.pending_events() & DISCONNECT_POLL_EVENTS:
                self.abort_disconnected()
        return self.client_disconnected

    def close_if_idle(self) -> None:
        """Close it where it has no request."""
        if self.is_idle() and not self.has_unread_request():
            self.record_close(CloseReason.DRAIN)
            self.ended = True
            self.transport.close()

    def begin_shutdown(self) -> None:
        """Refuse a request that is half read, since its end won't be served, or close it where it is idle."""
        partial = self._parser.partial_request is not None
        if partial and self.active_request is None and not self.ended:
            self.reject(503, "the front stops")
        else:
            self.close_if_idle()

    def abort_response(self) -> None:
        """End it in the middle of a reply.

        The client sees it: the reply ends short of its length, or of its last chunk; where it would end with
        its connection, that is reset.
        """
        if not (self.chunked or self.response_length or self.transport.is_closing()):
            self._socket.reset_on_close()
        self.record_close(CloseReason.RESPONSE_ABORTED)
        self.transport.abort()

    def abort_evicted(self) -> None:
        """End it for another's need of its place.

        A request that is half read is refused first: its end may be on the way.
        """
        if self._parser.partial_request is not None and not self.ended:
            self.reject(503, "too many connections")
        self.record_close(CloseReason.EVICTED)
        self.ended = True
        self.transport.abort()

    def on_timeout(self) -> None:
        """End it: it stayed in its state for too long."""
        if self._parser.partial_request is not None and not self.ended:
            if (
                self.has_unread_request() and not self._timeout_deferred
            ):  # its end may be here: once, or a trickle
                self._timeout_deferred = True  # would never end
                return
            self.reject(408, "the request did not come whole in time")
        elif self.ended or not self.has_unread_request():
            self.record_close(CloseReason.IDLE_TIMEOUT)
            self.transport.abort()  # a plain close waits for a client that may never read
