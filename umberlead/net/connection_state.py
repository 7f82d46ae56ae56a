"""The state of a client's connection, and the questions that others ask of it."""

import asyncio
import select
from collections import deque
from typing import Any, cast

from umberlead.net import timeouts
from umberlead.net.client_connections import ClientGroup
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest, RequestRejection
from umberlead.net.pending_input import PendingInput
from umberlead.net.relay import BodySource
from umberlead.net.request_parser import RequestParser
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS, SocketState


class ConnectionState:
    """What is known of one connection. Nothing here ends it or writes to it; `ServerConnection` does.

    Attributes:
        slot: its number among the listener's connections; -1 before it has one.
        current: the request that is being answered.
        ended: nothing more is read or answered.
        close_after_reply: it closes after the present reply.
        served: how many requests were answered.
        closed: its transport is closed.
        client_disconnected: the client ended its sending, closed or reset, so nothing is owed.
        evicted: it gave its place up.
        write_blocked: a reply waits here for the client to read it.
        state_since_us: when its present state began.
        context: the handler's own.
        waited_since_us: since when, at the earliest, it may have waited for its accept; 0 if it did not.
        close_reason: why it ended, or ends; None while it stands.
        rejected_target: the target of what was refused unread.
        status: the HTTP status of the latest reply.
        length: the body's length in the latest reply.
        chunked: the latest long reply goes in chunks.
        source: where the rest of a long reply comes from, while it is on its way.
    """

    _parser: RequestParser
    _socket: SocketState

    def __init__(self, clients: ClientGroup) -> None:
        """Begin before the connection is made, among `clients`."""
        self.clients = clients
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.slot = -1
        self.active_request: HttpRequest | None = None
        self.ended = self.close_after_reply = False
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
        self._rejection: RequestRejection | None = None  # sent once what came before it is answered
        self._unread_since_us = 0  # since when what is read next may have waited with the system
        self._resumed_us = 0  # when reading was resumed last
        self._unsent_bytes = self._unsent_since_us = 0  # at the latest look, and since when it is so

    @property
    def pipelined_requests(self) -> deque[HttpRequest]:
        """Whole requests that wait behind the present one."""
        return self._pending_input.requests

    @property
    def partial_request(self) -> HttpRequest | None:
        """The request that is being read."""
        return self._parser.partial_request

    @property
    def accepts_requests(self) -> bool:
        """Whether what comes is still read as requests."""
        return not self.ended and self._rejection is None

    def has_more_input(self) -> bool:
        """Tell whether the client has sent, or begun to send, what is not its turn yet."""
        return bool(
            self._pending_input or self._parser.partial_request is not None or self._rejection is not None
        )

    def owes_response(self) -> bool:
        """Tell whether a request was read, in part or whole, whose reply has not begun.

        One that is refused has its reply written, or waits for those before it.
        """
        if self.client_disconnected or self.ended:
            return False
        waits = self.active_request is not None and self.body_source is None
        return bool(
            waits or self.pipelined_requests or self._rejection or self._parser.partial_request is not None
        )

    def call_ids(self) -> str:
        """Return the call ids of the requests that were read and have no answer, for the log."""
        open_requests = [self.active_request, *self.pipelined_requests, self._parser.partial_request]
        ids = [m.headers.get(b"x-call-id", b"-") for m in open_requests if m is not None]
        return b",".join(ids).decode("latin-1")

    def is_write_stalled(self, now_us: int) -> bool:
        """Tell whether the client has read nothing of what waits for it here or with the system for long.

        One that takes minutes over a reply is served as long as it moves.
        """
        unsent_bytes = self._socket.unsent_bytes()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes, self._unsent_since_us = unsent_bytes, now_us
        return self._unsent_since_us + timeouts.WRITE_STALL_TIMEOUT_US <= now_us

    def is_idle(self) -> bool:
        """Tell whether it has no request, and none is being read."""
        busy = self.active_request is not None or self._parser.partial_request is not None
        return not (busy or self.pipelined_requests or self.ended)

    def is_evictable(self, before_us: int) -> bool:
        """Tell whether no request of it is open, and it is in its state since `before_us` or ends anyway."""
        if self.active_request is not None or self.pipelined_requests or self.write_blocked:
            return False
        settled = self.ended or self.state_since_us <= before_us
        slow = settled or timeouts.is_slow_upload(self._parser.progress, before_us)
        return slow and not self.transport.is_closing()

    def eviction_order(self) -> tuple[bool, bool, bool, int]:
        """Return its place in the order of eviction, the smallest first.

        One that is half read goes last: its end may be on the way, and then it is a request taken and lost.
        """
        return (
            self._parser.partial_request is not None,
            not self.ended,
            self.served_count > 0,
            self.state_since_us,
        )

    def pending_events(self) -> int:
        """Return the poll(2) events that were not taken yet."""
        return self._socket.pending_events()

    def has_unread_request(self) -> bool:
        """Tell whether a request, or its begin, is here and not read yet: closed on, it would be lost."""
        events = self.pending_events()
        return bool(events & select.POLLIN) and not events & DISCONNECT_POLL_EVENTS

    def is_reading_paused(self) -> bool:
        """Tell whether nothing is read, so that a client that leaves goes unseen."""
        open_ = not self.client_disconnected and not self.transport.is_closing()
        return open_ and not self.transport.is_reading()

    def timeout_us(self, idle_timeout_us: int) -> int:
        """Return how long it may stay in its present state."""
        return timeouts.connection_timeout_us(
            answering=self.active_request is not None,
            ended=self.ended,
            progress=self._parser.progress,
            has_served=self.served_count > 0,
            state_since_us=self.state_since_us,
            idle_timeout_us=idle_timeout_us,
        )
