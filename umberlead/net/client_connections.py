"""The client connections of one listener: connection limit, eviction order and buffered memory."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, Protocol, TypeAlias

from umberlead.common.counters import Counters
from umberlead.common.slot_table import SlotTable
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest
from umberlead.net.input_turns import InputTurns
from umberlead.net.relay import BodySource
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS
from umberlead.net.timeouts import idle_timeout_us
from umberlead.resource_limits import MAX_HEADER_BYTES

IDLE_EVICTION_THRESHOLD = 0.5  # of all slots; with more in use, a connection closes after its first response
ACCEPT_GRACE_US = 100_000  # for which a new connection is not evicted, since its request may be in flight


# Whether a request is partially read, whether the connection is still in use (not ending), whether it has
# had a response, and when its state began. False sorts first.
ClientEvictionKey: TypeAlias = tuple[bool, bool, bool, int]


class ClientConnection(Protocol):
    """The part of a connection that the group uses; `ServerConnection` implements it."""

    transport: asyncio.Transport
    slot: int
    state_since_us: int
    active_request: HttpRequest | None
    body_source: BodySource | None
    write_blocked: bool
    served_count: int
    ended: bool
    evicted: bool

    def timeout_us(self, idle_timeout_us: int) -> int:
        """Return how long the connection may stay in its present state, in microseconds."""

    def on_timeout(self) -> None:
        """End the connection, which has exceeded the timeout of its state."""

    def is_write_stalled(self, now_us: int) -> bool:
        """Return whether the client has stopped reading a response that is not completely sent."""

    def is_reading_paused(self) -> bool:
        """Return whether reading is paused, so that a disconnect would go unnoticed."""

    def pending_events(self) -> int:
        """Return the poll(2) events that the event loop has not handled yet."""

    def has_unread_request(self) -> bool:
        """Return whether the socket's receive buffer holds bytes of a request."""

    def record_close(self, reason: CloseReason) -> None:
        """Record why the connection closes; only the first call has an effect."""

    def abort_disconnected(self) -> None:
        """Abort the connection of a client whose disconnect the event loop has not reported yet."""

    def close_if_idle(self) -> None:
        """Close the connection if it has no request."""

    def begin_shutdown(self) -> None:
        """Reject a partially read request, or close an idle connection."""

    def abort_response(self) -> None:
        """Abort the connection in the middle of a response."""

    def abort_evicted(self) -> None:
        """Free the connection's slot; a partially read request is rejected first."""

    def is_evictable(self, before_us: int) -> bool:
        """Return whether no request is open, and the present state began by `before_us`."""

    def eviction_order(self) -> ClientEvictionKey:
        """Return the sort key for eviction; the smallest is evicted first."""


class ClientGroup:
    """The connections of one listener in their slots, their limit, and the memory that they buffer.

    Attributes:
        max_connections: limit on connections that have a slot.
        idle_timeout_us: how long an idle connection may stay; 0 means no limit.
        buffer_limit_bytes: limit on request bodies, unparsed input and unread responses of all connections.
        buffered_bytes: how much of that is in use.
        max_header_bytes: limit on the headers of a request.
        on_capacity_shortage: is called when all slots are in use, and requests a higher connection limit.
        on_close: is called when a connection closes, with whether a response is still owed on it, the reason
            for the close, and the call ids of its open requests.
        evicted_slot_count: number of evicted connections; each keeps its slot for one more event-loop
            iteration.
        stopping: the process is stopping; established connections are still served.
        close_after_response: another process takes over, so each connection closes after its next response.
        rejecting: the process is about to exit; further requests are rejected without being handled.
        input_turns: connections whose buffered input is handled in the next turn of the event loop.
        event_log: logs rejected input and unusual closes; takes an event's name and its fields.
    """

    def __init__(
        self,
        max_connections: int,
        clock: Callable[[], int],
        counters: Counters,
        idle_timeout_us: int,
        buffer_limit_bytes: int,
        log: Callable[..., Any],
    ) -> None:
        """Create a group without connections.

        Args:
            max_connections: limit on connections that have a slot.
            clock: returns microseconds of one monotonic clock.
            counters: where events are counted.
            idle_timeout_us: how long an idle connection may stay; 0 means no limit.
            buffer_limit_bytes: limit on what all connections buffer.
            log: takes an event's name and its fields.
        """
        self.log = log
        self.input_turns = InputTurns()
        self.event_log: Callable[..., Any] = lambda event, **fields: None
        self.max_connections = max_connections
        self.clock = clock
        self.counters = counters
        self.idle_timeout_us = idle_timeout_us
        self.buffer_limit_bytes = buffer_limit_bytes
        self.buffered_bytes = 0
        self.max_header_bytes = MAX_HEADER_BYTES
        self.slots: SlotTable[ClientConnection] = SlotTable()
        self.evicted_slot_count = 0
        self.on_capacity_shortage: Callable[[], None] = lambda: None
        self.on_close: Callable[[bool, str, str], None] | None = None
        self.stopping = self.close_after_response = self.rejecting = False

    @property
    def count(self) -> int:
        """The number of connections that have a slot, not counting evicted ones."""
        return len(self.slots) - self.evicted_slot_count

    def close_expired(self) -> None:
        """End connections that exceed the timeout of their present state.

        Once more than half of the slots are in use, the timeout of idle connections is shorter. Connections
        above a lowered limit are evicted.
        """
        now_us = self.clock()
        self.evict_excess()
        idle_us = idle_timeout_us(self.idle_timeout_us, len(self.slots), self.max_connections)
        for conn in self.slots:
            if conn.is_reading_paused() and conn.pending_events() & DISCONNECT_POLL_EVENTS:
                conn.abort_disconnected()
            elif conn.write_blocked:
                if conn.is_write_stalled(now_us):
                    conn.record_close(CloseReason.WRITE_STALLED)
                    conn.transport.abort()
            elif conn.state_since_us + conn.timeout_us(idle_us) <= now_us:
                conn.on_timeout()

    def evict_excess(self) -> None:
        """Evict the connections above a lowered limit, as far as they are evictable."""
        evictable = self.evictable()
        for _ in range(self.count - self.max_connections):
            if not self.evict(evictable):
                break

    def active_count(self) -> int:
        """Count the connections that can't be evicted now: they have a request, or are new."""
        before_us = self.clock() - ACCEPT_GRACE_US
        return sum(conn.active_request is not None or not conn.is_evictable(before_us) for conn in self.slots)

    def above_idle_threshold(self) -> bool:
        """Return whether so many connections are established that one closes after its first response.

        Otherwise clients that send one request and keep their connection would use up all slots, including
        those of the peer process. Connections that have had a response are exempt, and so are all while the
        process is stopping.
        """
        return self.count > self.max_connections * IDLE_EVICTION_THRESHOLD and not self.stopping

    def is_full(self) -> bool:
        """Return whether requests occupy all slots.

        A connection that has not sent a request does not count, so it never displaces a received request.
        """
        busy = sum(conn.active_request is not None or conn.write_blocked for conn in self.slots)
        return busy >= self.max_connections

    def has_buffer_for(self, size_bytes: int) -> bool:
        """Return whether another `size_bytes` fit into the buffer limit if the client does not read them."""
        return self.buffered_bytes + size_bytes <= self.buffer_limit_bytes

    def drain(self) -> None:
        """Close connections without a request now, and the others with their next response."""
        self.close_after_response = True
        for conn in self.slots:
            conn.close_if_idle()

    def reject_new_requests(self) -> None:
        """Serve no further request.

        Requests that arrive or are partially read are rejected at once; each pipelined request gets its own
        rejection.
        """
        self.rejecting = self.close_after_response = True
        for conn in self.slots:
            conn.begin_shutdown()

    def close(self) -> None:
        """Abort responses that are not completely sent, so that clients notice before the process exits."""
        for conn in self.slots:
            if conn.write_blocked:
                conn.abort_response()
            conn.record_close(CloseReason.PROCESS_EXIT)

    def evictable(self) -> Iterator[ClientConnection]:
        """Iterate over the connections that can be evicted, in order.

        The search runs when the first connection is taken, and serves a whole batch of accepts. Connections
        that are ending come first, then those that have had no response, then the longest idle.
        """
        before_us = self.clock() - ACCEPT_GRACE_US
        found = [conn for conn in self.slots if conn.is_evictable(before_us)]
        found.sort(key=lambda conn: conn.eviction_order())
        yield from found

    def ensure_capacity(self) -> bool:
        """Evict a connection if all slots are in use; return False if none can be evicted.

        An evicted client reconnects when it needs to. If all connections have an open request, a streamed
        response that is far past its request's deadline is aborted. A flood of connections that send nothing
        evicts no client that sends requests.
        """
        return self.count < self.max_connections or self.evict(self.evictable())

    def evict(self, evictable: Iterator[ClientConnection]) -> bool:
        """Evict the next of `evictable`, or else abort an overdue response; return False if there is none.

        Its slot counts as free at once; its descriptor is closed in the next event-loop iteration.
        """
        for victim in evictable:
            if victim.has_unread_request():
                continue
            self._mark_evicted(victim)
            victim.abort_evicted()
            return True
        overdue = [
            (rank, conn.slot, conn, conn.body_source)
            for conn in self.slots
            if conn.body_source and (rank := conn.body_source.eviction_rank()) is not None
        ]
        if not overdue:
            return False
        _, _, victim, source = min(overdue)
        self._mark_evicted(victim)
        victim.ended = True
        source.evict()
        return True

    def _mark_evicted(self, victim: ClientConnection) -> None:
        self.counters.add("clients_evicted")
        victim.evicted = True
        self.evicted_slot_count += 1
