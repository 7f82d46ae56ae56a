"""The clients' connections of one listener: their cap, who is evicted for whom, and the memory they hold."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from umberlead.common.counters import Counters
from umberlead.common.slot_table import SlotTable
from umberlead.net.close_reason import CloseReason
from umberlead.net.http_message import HttpRequest
from umberlead.net.relay import BodySource
from umberlead.net.socket_state import DISCONNECT_POLL_EVENTS
from umberlead.net.timeouts import idle_timeout_us
from umberlead.resource_limits import MAX_HEAD_BYTES

IDLE_EVICTION_THRESHOLD = 0.5  # of the places; beyond it new connections end with their first reply
ACCEPT_GRACE_US = 100_000  # a new connection is not evicted: its request may be on the way


class ClientConnection(Protocol):
    """What the registry needs of a connection; `ServerConnection` has it."""

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
        """Return how long it may stay in its present state."""

    def on_timeout(self) -> None:
        """End it: it stayed in its state for too long."""

    def is_write_stalled(self, now_us: int) -> bool:
        """Tell whether the client has stopped reading what waits for it."""

    def is_reading_paused(self) -> bool:
        """Tell whether nothing is read, so that a client that leaves goes unseen."""

    def pending_events(self) -> int:
        """Return the poll(2) events that were not taken yet."""

    def has_unread_request(self) -> bool:
        """Tell whether bytes of a request came that were not read yet."""

    def record_close(self, reason: CloseReason) -> None:
        """Take note of why it ends, once."""

    def abort_disconnected(self) -> None:
        """End it: the client has left, and the news of that stands unread."""

    def close_if_idle(self) -> None:
        """Close it where it has no request."""

    def begin_shutdown(self) -> None:
        """Refuse a request that is half read, or close it where it has none."""

    def abort_response(self) -> None:
        """End it in the middle of a reply."""

    def abort_evicted(self) -> None:
        """End it for another's need of its place; a request that is half read is refused first."""

    def is_evictable(self, before_us: int) -> bool:
        """Tell whether it has no open request and is in its state since `before_us`."""

    def eviction_order(self) -> tuple[bool, bool, bool, int]:
        """Return its place in the order of eviction, the smallest first."""


class ClientGroup:
    """The connections of one listener in their slots, their cap, and the memory of request bodies.

    Attributes:
        max_connections: how many may have a place.
        idle_timeout_us: how long an idle one may stay; 0 stands for no limit.
        memory_limit_bytes: how much all may hold: bodies, bytes read ahead, replies not read yet.
        held_bytes: how much they hold now.
        max_head_bytes: how long the head of a request may be.
        on_shortage: asks for a higher cap.
        on_close: is told of a connection's end: whether a request on it is owed an answer, why it ends, and
            the call ids of the requests on it.
        evicting: connections that were evicted, and have a slot for one more turn of the loop.
        stopping: the front stops; connections that stand are served on.
        close_after_reply: another process takes over, so connections end with their next reply.
        refusing: the process ends; requests that come from now on are refused unread.
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
        """Begin without connections; `clock` tells microseconds."""
        self.log = log
        self.max_connections, self.clock, self.counters = max_connections, clock, counters
        self.idle_timeout_us, self.buffer_limit_bytes = idle_timeout_us, buffer_limit_bytes
        self.buffered_bytes, self.max_header_bytes = 0, MAX_HEAD_BYTES
        self.slots: SlotTable[ClientConnection] = SlotTable()
        self.evicting_count = 0
        self.on_capacity_shortage: Callable[[], None] = lambda: None
        self.on_close: Callable[[bool, str, str], None] | None = None
        self.stopping = self.close_after_reply = self.rejecting = False

    @property
    def count(self) -> int:
        """How many connections have a place, without those that were evicted."""
        return len(self.slots) - self.evicting_count

    def close_expired(self) -> None:
        """End what has stayed too long: lingering, half sent, silent, or idle.

        When most places are taken an idle connection goes sooner. Where the cap came down, what is over it
        goes.
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
        """Evict what is over a cap that came down, as far as it can go."""
        evictable = self.evictable()
        for _ in range(self.count - self.max_connections):
            if not self.evict(evictable):
                break

    def active_count(self) -> int:
        """Count the connections that can't be evicted now: they have a request, or are new."""
        before_us = self.clock() - ACCEPT_GRACE_US
        return sum(conn.active_request is not None or not conn.is_evictable(before_us) for conn in self.slots)

    def above_idle_threshold(self) -> bool:
        """Tell whether the first reply on a connection ends it, since many stand.

        Clients that ask once and keep their connections would fill what they and we may hold, and the next
        one find no place. Not where a connection was used again, and not once no new ones are taken.
        """
        return self.count > self.max_connections * IDLE_EVICTION_THRESHOLD and not self.stopping

    def is_full(self) -> bool:
        """Tell whether requests take all places.

        A connection that has asked nothing yet keeps none from a request that is here.
        """
        busy = sum(conn.active_request is not None or conn.write_blocked for conn in self.slots)
        return busy >= self.max_connections

    def has_buffer_for(self, size_bytes: int) -> bool:
        """Tell whether memory allows so many bytes more, should the client not read them."""
        return self.buffered_bytes + size_bytes <= self.buffer_limit_bytes

    def drain(self) -> None:
        """Close connections without a request now, and the others with their next reply."""
        self.close_after_reply = True
        for conn in self.slots:
            conn.close_if_idle()

    def reject_new_requests(self) -> None:
        """Serve nothing any more.

        What comes is refused at once, also what is half read, and what waits behind a request gets a refusal
        of its own.
        """
        self.rejecting = self.close_after_reply = True
        for conn in self.slots:
            conn.begin_shutdown()

    def close(self) -> None:
        """Break off replies that are not read by now: the process ends, and clients see it at once."""
        for conn in self.slots:
            if conn.write_blocked:
                conn.abort_response()
            conn.record_close(CloseReason.PROCESS_EXIT)

    def evictable(self) -> Iterator[ClientConnection]:
        """Iterate over the connections that can be evicted, the first to go first.

        They are looked for once, as the first is asked for: one search serves a whole turn of accepts. One
        that ends anyway goes first, then one that has sent nothing, then the one idle for longest.
        """
        before_us = self.clock() - ACCEPT_GRACE_US
        found = [conn for conn in self.slots if conn.is_evictable(before_us)]
        found.sort(key=lambda conn: conn.eviction_order())
        yield from found

    def ensure_capacity(self) -> bool:
        """Evict a connection where all places are taken; False where none can go.

        A client that is evicted opens another connection when it needs one. Where all have an open request, a
        long reply goes that is far past its request's time. A flood of silent connections takes no usual
        client's place.
        """
        return self.count < self.max_connections or self.evict(self.evictable())

    def evict(self, evictable: Iterator[ClientConnection]) -> bool:
        """Evict the next of `evictable`, or else a long reply far past its time; False if none can go.

        The connection's place is free now, and its descriptor a turn of the loop later.
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
        self.evicting_count += 1
