"""The server side of one HTTP/1.1 connection: order of requests, responses and closing."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol, cast

from umberlead.net.client_connections import ClientGroup
from umberlead.net.close_reason import FORCED_CLOSE_REASONS, CloseReason
from umberlead.net.connection_input import ConnectionInput
from umberlead.net.http_message import (
    BODYLESS_STATUSES,
    HttpRequest,
    encode_response_headers,
)
from umberlead.net.relay import BodySource, ResponseRelay
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS, SocketState


class RequestHandler(Protocol):
    """Handles the requests of a front end, and states its limits on them.

    Attributes:
        max_body_bytes: limit on a request body.
        sends_date: whether responses have a Date field.
        singleton_headers: header fields, beside those of HTTP, that must not be repeated.
        kept_headers: header fields, beside those of HTTP, that requests are given with; others are dropped.
        kept_header_prefixes: beginnings of the names of further such fields.
        retry_after_us: the value of Retry-After in rejections, in microseconds.
        allows_slow_bodies: whether a body may take long as long as it progresses.
    """

    max_body_bytes: int
    sends_date: bool
    singleton_headers: frozenset[bytes]
    kept_headers: frozenset[bytes]
    kept_header_prefixes: tuple[bytes, ...]
    retry_after_us: int
    allows_slow_bodies: bool

    def handle_request(self, conn: "ServerConnection", request: HttpRequest) -> None:
        """Respond to a request exactly once, now or later."""

    def client_disconnected(self, conn: "ServerConnection") -> None:
        """Handle a client's disconnect while its request is open."""

    def reject(self, conn: "ServerConnection", status: int, reason: str) -> None:
        """Respond to a request that could not be read or served."""


class ServerConnection(ConnectionInput):
    """One client's connection, which serves one request at a time, in order of arrival.

    Attributes:
        handler: serves the requests.
    """

    def __init__(self, handler: RequestHandler, clients: ClientGroup) -> None:
        """Create a connection of the group `clients`, whose requests `handler` serves."""
        super().__init__(handler, clients)
        self.handler = handler
        self._blocked_bytes = 0  # of a response that the client has not read
        self._writable_future: asyncio.Future[None] | None = None

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a slot."""
        self.transport = cast(asyncio.Transport, transport)
        self._socket = SocketState(self.transport)
        # With a high-water mark of 0 pause_writing is called for any unsent bytes, which count as buffered.
        self.transport.set_write_buffer_limits(high=0)
        self.slot = self.clients.slots.add(self)
        self.state_since_us = self.clients.clock()
        self.clients.counters.add("clients_accepted")

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the slot and end the open requests."""
        self.closed = True
        self.record_close(CloseReason.CLIENT_DISCONNECTED)
        self.clients.slots.free(self.slot)
        self.clients.evicted_slot_count -= self.evicted
        self.resume_writing()
        self.disconnect()
        self._parser.close()

    def disconnect(self) -> None:
        """End the active request and discard pipelined ones: the client has disconnected."""
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
        """End the connection of a client whose disconnect the event loop has not reported yet."""
        self.clients.counters.add("clients_left_unseen")
        self.disconnect()
        self.record_close(CloseReason.CLIENT_DISCONNECTED)
        self.transport.abort()

    def record_close(self, reason: CloseReason) -> None:
        """Record why the connection closes, only once, and report whether a response is still owed."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        self.clients.counters.add(f"clients_closed_{reason.value}")
        if reason in FORCED_CLOSE_REASONS:
            self.clients.event_log(
                "client_connection_closed",
                reason=reason.value,
                calls=self.call_ids(),
                served=self.served_count,
            )
        # A disconnected client is owed nothing, and the client of an aborted response notices the abort.
        owed = (
            reason not in (CloseReason.CLIENT_DISCONNECTED, CloseReason.RESPONSE_ABORTED)
            and self.owes_response()
        )
        if self.clients.on_close is not None:
            self.clients.on_close(owed, reason.value, self.call_ids())

    def eof_received(self) -> bool:
        """End the connection: a client that half-closes it counts as disconnected."""
        self.disconnect()
        return False

    def pause_writing(self) -> None:
        """Count the unsent bytes as buffered memory, and pause the source of a streamed response."""
        self.write_blocked = True
        self._count_blocked_bytes()
        self._unsent_bytes = 0
        self._unsent_since_us = self.clients.clock()
        if self.body_source is not None:
            self.body_source.set_paused(True)

    def _count_blocked_bytes(self) -> None:
        """Count the bytes in the write buffer as buffered memory."""
        blocked_bytes = self.transport.get_write_buffer_size()
        self.clients.buffered_bytes += blocked_bytes - self._blocked_bytes
        self._blocked_bytes = blocked_bytes

    def write_body(self, pieces: tuple[bytes, ...]) -> None:
        """Write pieces of the response; what the client does not read counts as buffered memory."""
        self.transport.writelines(pieces)
        if self.write_blocked:
            self._count_blocked_bytes()

    def resume_writing(self) -> None:
        """Continue with responses and requests: all bytes have been sent."""
        self.clients.buffered_bytes -= self._blocked_bytes
        self.write_blocked = False
        self._blocked_bytes = 0
        if self.body_source is not None:
            self.body_source.set_paused(False)
        if self._writable_future is not None and not self._writable_future.done():
            self._writable_future.set_result(None)
        self._continue_input()

    async def wait_writable(self) -> bool:
        """Wait until all bytes have been sent; return False if the connection was closed."""
        while self.write_blocked and not self.closed:
            self._writable_future = asyncio.get_running_loop().create_future()
            await self._writable_future
        return not self.closed

    # Requests, in order

    def _start_next_request(self) -> None:
        if not self.pipelined_requests:
            self._send_rejection()
        elif self._lacks_capacity():
            # Requests of other connections occupy all slots.
            target = self.pipelined_requests[0].target
            self._pending_input.discard_all()
            self.reject(503, "too many connections", target)
        elif self.pending_events() & DISCONNECT_POLL_EVENTS:  # a disconnect not reported yet
            self.abort_disconnected()
        else:
            self._start_request(self._pending_input.take_request())

    def _lacks_capacity(self) -> bool:
        clients = self.clients
        over_limit = clients.count > clients.max_connections and not self.served_count
        return over_limit and not clients.ensure_capacity() and clients.is_full()

    def _start_request(self, request: HttpRequest) -> None:
        self.active_request = request
        if not request.keep_alive:
            self.close_after_response = True
        if self.clients.rejecting:
            self.rejected_target = request.target
            self.handler.reject(self, 503, "the front stops")
            return
        try:
            self.handler.handle_request(self, request)
        except Exception as error:  # the parser would otherwise report a malformed request
            self.clients.counters.add("unexpected_errors")
            self.clients.log("request_handler_failed", error=repr(error))
            if self.active_request is request:
                self.send_response(500, (), b"the front failed\n")

    def _send_rejection(self) -> None:
        """Write the rejection, which is the connection's last response, after those to earlier requests."""
        assert self._rejection is not None
        rejection = self._rejection
        self._rejection = None
        self.rejected_target = rejection.target
        self._pending_input.discard_all()
        self.ended = self.close_after_response = True
        self.handler.reject(self, rejection.status, rejection.reason)

    # Responses

    def begin_response(
        self, status: int, headers: Iterable[bytes], content_length: int | None
    ) -> list[bytes]:
        """Start the response to the active request, and return the pieces of its headers."""
        if self._closes_with_this_response() and not (self.has_more_input() or self.has_unread_request()):
            self.close_after_response = True
        self.response_status = status
        self.response_length = content_length or 0
        date_us = self.clients.clock() if self.handler.sends_date else None
        return encode_response_headers(status, headers, content_length, date_us, self.close_after_response)

    def _closes_with_this_response(self) -> bool:
        first = not self.served_count
        return self.clients.close_after_response or (first and self.clients.above_idle_threshold())

    def send_response(
        self, status: int, headers: Iterable[bytes], body: bytes, content_length: int | None = None
    ) -> None:
        """Write a complete response to the active request.

        Args:
            status: the HTTP status.
            headers: complete header lines, without line ends.
            body: the body.
            content_length: replaces the length of `body` if that is not sent, as in a response to HEAD.
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
        """Start a streamed response, whose remainder comes from `source`.

        Args:
            status: the HTTP status.
            content_length: the length of the body; None if unknown.
            first_piece: the first bytes of the body.
            source: passes the remainder to its sink, and is paused while the client does not read.
            on_end: is called with whether the body was completely written, unless the client disconnects.
        """
        self.chunked = ResponseRelay.uses_chunks(content_length, self.active_request)
        self.close_after_response |= content_length is None and not self.chunked
        coding = (b"Transfer-Encoding: chunked",) if self.chunked else ()
        relay = ResponseRelay(self, self.chunked, on_end)
        self.body_source = source
        source.sink = relay
        self.transport.writelines(
            [*self.begin_response(status, coding, content_length), *relay.encode(first_piece)]
        )

    def finish_response(self) -> None:
        """End the response, which has been written, and start the next request."""
        self._pending_input.release_body(self.active_request)
        self.active_request = None
        self.served_count += 1
        self.state_since_us = self.clients.clock()
        if self.closed or self.client_disconnected:
            return
        if self.close_after_response:
            self.ended = True
            self.record_close(CloseReason.CONNECTION_CLOSE_SENT)
            self._pending_input.discard_all()
            if self.transport.can_write_eof():
                self.transport.write_eof()
            return
        self._continue_input()
        if self.clients.rejecting:
            self.begin_shutdown()
        elif self.clients.close_after_response:
            # The response did not announce the close, so a request that the client has sent since is served.
            self.close_if_idle()

    # Closing

    def check_disconnected(self) -> bool:
        """Return whether the client has disconnected, according to the socket's current state.

        While reading is paused or the process is busy, the event loop reports a disconnect late. If there
        is one, this call ends the open requests.
        """
        if not self.client_disconnected:
            closing = self.transport.is_closing()
            if closing or self.pending_events() & DISCONNECT_POLL_EVENTS:
                self.abort_disconnected()
        return self.client_disconnected

    def close_if_idle(self) -> None:
        """Close the connection if it has no request."""
        if self.is_idle() and not self.has_unread_request():
            self.record_close(CloseReason.DRAIN)
            self.ended = True
            self.transport.close()

    def begin_shutdown(self) -> None:
        """Reject a partially read request, or close an idle connection."""
        partial = self._parser.partial_request is not None
        if partial and self.active_request is None and not self.ended:
            self.reject(503, "the front stops")
        else:
            self.close_if_idle()

    def abort_response(self) -> None:
        """Abort the connection in the middle of a response.

        The client notices, since the body is shorter than its length or lacks its last chunk. A body
        delimited by the end of the connection is aborted by a reset.
        """
        if not (self.chunked or self.response_length or self.transport.is_closing()):
            self._socket.reset_on_close()
        self.record_close(CloseReason.RESPONSE_ABORTED)
        self.transport.abort()

    def abort_evicted(self) -> None:
        """Abort the connection to free its slot.

        A partially read request is rejected first, since the rest of it may be in flight.
        """
        if self._parser.partial_request is not None and not self.ended:
            self.reject(503, "too many connections")
        self.record_close(CloseReason.EVICTED)
        self.ended = True
        self.transport.abort()

    def on_timeout(self) -> None:
        """End the connection, which has exceeded the timeout of its state."""
        if self._parser.partial_request is not None and not self.ended:
            if self.has_unread_request() and not self._timeout_deferred:
                # The rest of the request may be unread. The timeout is deferred only once, or a slow sender
                # would never time out.
                self._timeout_deferred = True
                return
            self.reject(408, "the request did not come whole in time")
        elif self.ended or not self.has_unread_request():
            self.record_close(CloseReason.IDLE_TIMEOUT)
            self.transport.abort()  # a plain close would wait for a client that may never read
