"""The state of a client's connection, and queries on it."""

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
    """The state of one connection. It neither writes to the connection nor ends it; `ServerConnection` does.

    Attributes:
        clients: the listener's connections, which this one belongs to.
        transport: the connection's transport.
        slot: index among the listener's connections; -1 before the connection has one.
        active_request: the request that is being responded to.
        ended: no further input is read or responded to.
        close_after_response: the connection closes after the present response.
        served_count: number of responses given.
        closed: the transport is closed.
        client_disconnected: the client closed, reset or ended its sending, so no response is owed.
        evicted: the connection gave up its slot.
        write_blocked: a response waits for the client to read it.
        state_since_us: when the present state began.
        handler_context: belongs to the handler.
        backlog_since_us: earliest time since which the connection may have waited for its accept; 0 if it did
            not.
        close_reason: why the connection ended or ends; None while it is established.
        rejected_target: request target of what was rejected unread.
        response_status: HTTP status of the latest response.
        response_length: body length of the latest response.
        chunked: the latest streamed response uses chunked transfer coding.
        body_source: where the remainder of a streamed response comes from.
    """

    _parser: RequestParser
    _socket: SocketState

    def __init__(self, clients: ClientGroup) -> None:
        """Start before the connection is accepted, as one of `clients`."""
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
        self._rejection: RequestRejection | None = None  # sent once the requests before it are responded to
        self._unread_since_us = 0  # since when the next input may have been in the receive buffer
        self._resumed_us = 0  # when reading was resumed last
        self._unsent_bytes = self._unsent_since_us = 0  # of the latest check, and since when

    @property
    def pipelined_requests(self) -> deque[HttpRequest]:
        """Complete requests that wait behind the active one."""
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
        """Return whether the client has sent anything behind the active request."""
        return bool(
            self._pending_input or self._parser.partial_request is not None or self._rejection is not None
        )

    def owes_response(self) -> bool:
        """Return whether a request was read, partially or completely, whose response has not begun.

        The response to a rejected one is written, or waits for those before it.
        """
        if self.client_disconnected or self.ended:
            return False
        waits = self.active_request is not None and self.body_source is None
        return bool(
            waits or self.pipelined_requests or self._rejection or self._parser.partial_request is not None
        )

    def call_ids(self) -> str:
        """Return the call ids of the requests that were read and have no response, for the log."""
        open_requests = [self.active_request, *self.pipelined_requests, self._parser.partial_request]
        ids = [m.headers.get(b"x-call-id", b"-") for m in open_requests if m is not None]
        return b",".join(ids).decode("latin-1")

    def is_write_stalled(self, now_us: int) -> bool:
        """Return whether the client has read nothing for long of what waits for it here or in the socket.

        A client that takes minutes over a response is served as long as it progresses.
        """
        unsent_bytes = self._socket.unsent_bytes()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_us = now_us
        return self._unsent_since_us + timeouts.WRITE_STALL_TIMEOUT_US <= now_us

    def is_idle(self) -> bool:
        """Return whether the connection has no request and none is being read."""
        busy = self.active_request is not None or self._parser.partial_request is not None
        return not (busy or self.pipelined_requests or self.ended)

    def is_evictable(self, before_us: int) -> bool:
        """Return whether no request is open, and the state began by `before_us` or ends anyway."""
        if self.active_request is not None or self.pipelined_requests or self.write_blocked:
            return False
        settled = self.ended or self.state_since_us <= before_us
        slow = settled or timeouts.is_slow_upload(self._parser.progress, before_us)
        return slow and not self.transport.is_closing()

    def eviction_order(self) -> ClientEvictionKey:
        """Return the sort key for eviction; the smallest is evicted first.

        A partially read request is evicted last: its end may be on the way, and it would be accepted and
        lost.
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
        """Return whether input is unread that would be lost if the connection were closed."""
        events = self.pending_events()
        return bool(events & select.POLLIN) and not events & DISCONNECT_POLL_EVENTS

    def is_reading_paused(self) -> bool:
        """Return whether reading is paused, so that a disconnect would go unnoticed."""
        open_ = not self.client_disconnected and not self.transport.is_closing()
        return open_ and not self.transport.is_reading()

    def timeout_us(self, idle_timeout_us: int) -> int:
        """Return how long the connection may stay in its present state, in microseconds."""
        return timeouts.connection_timeout_us(
            answering=self.active_request is not None,
            ended=self.ended,
            progress=self._parser.progress,
            has_served=self.served_count > 0,
            state_since_us=self.state_since_us,
            idle_timeout_us=idle_timeout_us,
        )
