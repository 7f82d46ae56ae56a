"""The state of a client's connection, and queries about it."""

import asyncio
import select
from collections import deque
from typing import Any, cast

from umberlead.net import timeouts
from umberlead.net.client_connections import ClientEvictionKey, ClientGroup
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest, RequestRejection
from umberlead.net.pending_input import PendingInput
from umberlead.net.relay import BodySource
from umberlead.net.request_parser import RequestParser
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS, SocketState


class ConnectionState:
    """The state of one connection. Writing and closing are left to `ServerConnection`.

    Attributes:
        clients: the group of the listener's connections, to which this one belongs.
        transport: the connection's transport.
        slot: index among the listener's connections; -1 before the connection has one.
        active_request: the request that is being responded to.
        ended: no further input is handled as a request.
        close_after_response: the connection closes after the current response.
        served_count: number of completed responses.
        closed: the transport is closed.
        client_disconnected: the client closed, half-closed or reset the connection, so no response is owed.
        evicted: the connection was closed to free its slot.
        write_blocked: part of a response is unsent until the client reads.
        state_since_us: when the present state began.
        handler_context: data of the request handler, for the active request.
        backlog_since_us: earliest time at which the connection may have entered the listen backlog; 0 if it
            was accepted at once.
        close_reason: why the connection closed or is closing; None before.
        rejected_target: target of the request that was rejected without being handled.
        response_status: HTTP status of the latest response.
        response_length: body length of the latest response.
        chunked: the latest streamed response uses chunked transfer coding.
        body_source: provides the remainder of a streamed response; None if none is in progress.
    """

    _parser: RequestParser
    _socket: SocketState

    def __init__(self, clients: ClientGroup) -> None:
        """Create the state of a connection of `clients` that is not accepted yet."""
        self.clients = clients
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.slot = -1
        self.active_request: HttpRequest | None = None
        self.ended = self.close_after_response = False
        self.served_count = 0
        self.closed = self.evicted = self.client_disconnected = False
        self.state_since_us = 0
        self.handler_context: Any = None
        self.backlog_since_us = 0
        self.close_reason: CloseReason | None = None
        self.rejected_target = b""
        self.response_status = self.response_length = 0
        self.chunked = False
        self.body_source: BodySource | None = None
        self.write_blocked = False
        self._pending_input = PendingInput(clients)
        self._rejection: RequestRejection | None = None  # sent after the responses to earlier requests
        self._unread_since_us = 0  # earliest arrival of the next input; 0 if it is not delayed
        self._resumed_us = 0  # when reading was last resumed
        self._unsent_bytes = self._unsent_since_us = 0  # at the latest check, and when that changed

    @property
    def pipelined_requests(self) -> deque[HttpRequest]:
        """Complete requests that are queued behind the active one."""
        return self._pending_input.requests

    @property
    def partial_request(self) -> HttpRequest | None:
        """The request that is being read."""
        return self._parser.partial_request

    @property
    def accepts_requests(self) -> bool:
        """Whether input is still read as requests."""
        return not self.ended and self._rejection is None

    def has_more_input(self) -> bool:
        """Return whether the client has sent anything after the active request."""
        return bool(
            self._pending_input or self._parser.partial_request is not None or self._rejection is not None
        )

    def owes_response(self) -> bool:
        """Return whether a request was read, partially or completely, whose response has not started.

        This includes a rejection that waits for the responses before it.
        """
        if self.client_disconnected or self.ended:
            return False
        unanswered = self.active_request is not None and self.body_source is None
        return bool(
            unanswered
            or self.pipelined_requests
            or self._rejection
            or self._parser.partial_request is not None
        )

    def call_ids(self) -> str:
        """Return the call ids of the requests that were read and have no response, for the log."""
        open_requests = [self.active_request, *self.pipelined_requests, self._parser.partial_request]
        ids = [request.headers.get(b"x-call-id", b"-") for request in open_requests if request is not None]
        return b",".join(ids).decode("latin-1")

    def is_write_stalled(self, now_us: int) -> bool:
        """Return whether the client has read none of the unsent bytes for `WRITE_STALL_TIMEOUT_US`.

        Unsent are those in the transport's write buffer and in the socket's. A client may take minutes to
        read a response as long as it progresses.
        """
        unsent_bytes = self._socket.unsent_bytes()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_us = now_us
        return self._unsent_since_us + timeouts.WRITE_STALL_TIMEOUT_US <= now_us

    def is_idle(self) -> bool:
        """Return whether the connection has no request and none is being read."""
        busy = self.active_request is not None or self._parser.partial_request is not None
        return not (busy or self._pending_input or self.ended)

    def is_evictable(self, before_us: int) -> bool:
        """Return whether no request is open, and the connection is ending or its state began by `before_us`.

        A connection with a stalled or very slow upload is evictable too.
        """
        if self.active_request is not None or self._pending_input or self.write_blocked:
            return False
        settled = self.ended or self.state_since_us <= before_us
        evictable = settled or timeouts.is_slow_upload(self._parser.progress, before_us)
        return evictable and not self.transport.is_closing()

    def eviction_order(self) -> ClientEvictionKey:
        """Return the sort key for eviction; the smallest is evicted first.

        A connection with a partially read request comes last: the rest may be in flight, and the request
        would be received and lost.
        """
        return (
            self._parser.partial_request is not None,
            not self.ended,
            self.served_count > 0,
            self.state_since_us,
        )

    def pending_events(self) -> int:
        """Return the poll(2) events that the event loop has not handled yet."""
        return self._socket.pending_events()

    def has_unread_request(self) -> bool:
        """Return whether the receive buffer holds input that would be lost if the connection were closed."""
        events = self.pending_events()
        return bool(events & select.POLLIN) and not events & DISCONNECT_POLL_EVENTS

    def is_reading_paused(self) -> bool:
        """Return whether reading is paused, so that a disconnect would go unnoticed."""
        established = not self.client_disconnected and not self.transport.is_closing()
        return established and not self.transport.is_reading()

    def timeout_us(self, idle_timeout_us: int) -> int:
        """Return how long the connection may stay in its present state, in microseconds."""
        return timeouts.connection_timeout_us(
            has_active_request=self.active_request is not None,
            ended=self.ended,
            progress=self._parser.progress,
            has_served=self.served_count > 0,
            state_since_us=self.state_since_us,
            idle_timeout_us=idle_timeout_us,
        )
