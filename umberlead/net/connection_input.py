"""The input side of a client's connection: parsing, buffering and the time of receipt."""

import asyncio
from typing import Protocol

from umberlead.net.bounded_reads import READ_BUFFER_BYTES, BoundedReadProtocol
from umberlead.net.client_connections import ClientGroup
from umberlead.net.connection_state import ConnectionState
from umberlead.net.http_message import HttpRequest, RequestRejection
from umberlead.net.input_turns import STEPS_PER_READ
from umberlead.net.request_parser import RequestLimits, RequestParser

CATCH_UP_WINDOW_US = 50_000  # after reading is resumed, for emptying the receive buffer


class InputRules(RequestLimits, Protocol):
    """The part of a front end's handler that the input side uses.

    Attributes:
        allows_slow_bodies: whether a body may take long as long as it progresses.
    """

    allows_slow_bodies: bool


class ConnectionInput(ConnectionState, BoundedReadProtocol):
    """Reads and queues a client's requests; `ServerConnection` responds to them."""

    def __init__(self, rules: InputRules, clients: ClientGroup) -> None:
        """Read requests within `rules` and the limits of `clients`."""
        ConnectionState.__init__(self, clients)
        BoundedReadProtocol.__init__(self)
        self._rules = rules
        self._parser = RequestParser(self, rules, clients)
        self._timeout_deferred = False  # the request's timeout passed while part of it was unread
        self._ignored_bytes = 0  # received after the connection stopped accepting requests
        self._is_serving_input = False  # `serve_input` is running, which is not reentrant

    def _start_next_request(self) -> None:
        """Pass the next request to the handler, or send the rejection that follows the requests."""
        raise NotImplementedError

    def _send_rejection(self) -> None:
        """Write the rejection, which is the last response of the connection."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Handle input as far as one turn of the event loop allows, and buffer the rest."""
        received_us = self._received_us(data)
        if not self.accepts_requests:
            # Closing with unread input would send a reset, and the client could lose the response. Input is
            # therefore read and ignored, up to a limit.
            self._ignored_bytes += len(data)
            if self._ignored_bytes > self.clients.max_header_bytes and not self.closed:
                self.transport.pause_reading()
        else:
            self._pending_input.put_unparsed(data, received_us)
            self.serve_input(STEPS_PER_READ)
            self._limit_pending_input()

    def _received_us(self, data: bytes) -> int:
        """Return when input that is read now may have arrived, in microseconds.

        For input that was in the receive buffer while reading was paused, only the start of the pause is
        known. The request's time budget runs from then, because the client's timeout runs as well.
        """
        now_us = self.clients.clock()
        if self.backlog_since_us:
            since_us = self.backlog_since_us
            self.backlog_since_us = 0
            age_us = self._socket.last_data_age_us()
            return now_us if age_us is None else max(since_us, now_us - age_us)
        if not self._unread_since_us:
            return now_us
        since_us = self._unread_since_us
        caught_up = now_us > self._resumed_us + CATCH_UP_WINDOW_US
        if caught_up or len(data) < READ_BUFFER_BYTES:  # the receive buffer is empty
            self._unread_since_us = 0
        return now_us if caught_up else since_us

    def serve_input(self, max_steps: int) -> None:
        """Parse buffered input and start requests, in at most `max_steps` steps.

        The remaining steps follow in a later turn of the event loop. Not reentrant.
        """
        self._is_serving_input = True
        try:
            while max_steps and self._can_serve_input():
                self._take_step()
                max_steps -= 1
        finally:
            self._is_serving_input = False
        self._continue_input()

    def _continue_input(self) -> None:
        """Let buffered input wait for a later turn of the event loop, or read on if there is none.

        Within `serve_input` this does nothing, as its loop continues.
        """
        if self._is_serving_input:
            return
        if self._can_serve_input():
            self.clients.input_turns.defer(self)
        else:
            self._resume_reading_if_caught_up()

    def _can_serve_input(self) -> bool:
        return not self.closed and (self._can_start_request() or self._can_parse_input())

    def _can_start_request(self) -> bool:
        """Return whether a request or a rejection waits, and no earlier response is open or unsent.

        A client that never reads must not pile up responses.
        """
        waits = bool(self.pipelined_requests) or self._rejection is not None
        return waits and self.active_request is None and not (self.write_blocked or self.ended)

    def _can_parse_input(self) -> bool:
        return self._pending_input.has_unparsed and self.accepts_requests and not self.pipelined_requests

    def _take_step(self) -> None:
        if self._can_start_request():
            self._start_next_request()
        else:
            self._parser.feed(*self._pending_input.take_unparsed(self._parser.remaining_body_bytes()))

    def _limit_pending_input(self) -> None:
        """Reject input beyond the memory limit, and pause reading while much input waits.

        Reading continues as long as possible, so that a disconnect is noticed. While it is paused,
        `ClientGroup.close_expired` polls for disconnects.
        """
        if not self._pending_input or self.closed:
            return
        if self.clients.buffered_bytes > self.clients.buffer_limit_bytes:
            self.clients.counters.add("bodies_over_memory")
            self._pending_input.discard_unparsed()
            self.reject(503, "too much is held at present")
        elif self._is_backlog_full() and self.transport.is_reading():
            self._unread_since_us = self.clients.clock()
            self.transport.pause_reading()

    def _is_backlog_full(self) -> bool:
        return self._pending_input.unparsed_bytes > self.clients.max_header_bytes

    def _resume_reading_if_caught_up(self) -> None:
        caught_up = not (self._pending_input or self.ended or self.closed)
        if caught_up and not self.transport.is_reading():
            self._resumed_us = self.clients.clock()
            self.transport.resume_reading()

    def reading_transport(self) -> asyncio.BaseTransport | None:
        """Return the transport that is read from."""
        return self.transport

    def may_resume_reading(self) -> bool:
        """Return whether reading is not paused because of input that waits."""
        return not (self.closed or self._is_backlog_full())

    # RequestReceiver interface: called by the parser

    def request_started(self) -> None:
        """Start a request's timeout; that of the first request runs from the accept."""
        self._timeout_deferred = False
        if self.active_request is None and self.served_count:
            self.state_since_us = self.clients.clock()

    def headers_complete(self, request: HttpRequest) -> None:
        """Send 100 Continue to a client that expects it."""
        expects_continue = request.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects_continue and self.active_request is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_progressed(self) -> None:
        """Restart the body's timeout if slow uploads are allowed, since this one progresses."""
        if self.active_request is None and self._rules.allows_slow_bodies:
            self.state_since_us = self.clients.clock()

    def request_complete(self, request: HttpRequest) -> None:
        """Queue a complete request; `serve_input` starts it."""
        self._pending_input.put_request(request)

    def reject(self, status: int, reason: str, target: bytes = b"") -> None:
        """Reject input that can't be read or served; the connection closes after that response."""
        partial = self._parser.partial_request
        rejected_target = partial.target if partial is not None else target
        self._parser.discard()
        self._rejection = RequestRejection(status, reason, rejected_target)
        self.clients.counters.add(f"bad_requests_{status}")
        self.clients.event_log(
            "client_input_rejected",
            status=status,
            reason=reason,
            calls=self.call_ids(),
            buffered_bytes=self.clients.buffered_bytes,
        )
        if self.active_request is None and not (self.pipelined_requests or self.closed):
            self._send_rejection()
