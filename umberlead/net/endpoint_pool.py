"""The pool of connections to endpoints: reuse, dialing and eviction."""

import asyncio
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.slot_table import SlotTable
from umberlead.common.timer_wheel import TimerWheel
from umberlead.configuration import Address
from umberlead.net.dialing import CONNECT_TIMEOUT_MULTIPLIER, Dialer
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.streaming import AbortReason
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.send_guard import Denial
from umberlead.requests.types import Attempt
from umberlead.resource_limits import MAX_BODY_BYTES, MAX_HEADER_BYTES
from umberlead.scheduling.events import AttemptResult

IDLE_KEEPALIVE_RATIO = 0.6  # of the endpoints' keepalive timeout, within which they may close at any time
RESET_PROBABILITY_THRESHOLD = 0.02  # above it, requests that must not be repeated take a new connection
RESET_EWMA_WEIGHT = 0.02  # of the latest reuse in that probability
REUSE_DELAY_US = 5_000  # after a response; input that arrives in between is unsolicited
READ_UNREAD_US = 2_000  # in which the event loop reads what a connection has received before a deadline


class EndpointPool:
    """Carries attempts on an idle connection to the endpoint's address, or on a new one.

    Attributes:
        lifecycle: receives the attempts' results.
        addresses: the endpoints' addresses by name.
        endpoint_counts: number of listed endpoints by address; connections are pooled only for these
            addresses, or for all if it is None.
        idle_connections: idle connections by address, most recently used last.
        write_denial: returns why an attempt may not be written now; None permits it.
        on_write: is called with an attempt before its first byte is written, and its time budget in
            microseconds.
        slots: all connections, including those being dialed.
        max_connections: limit on the connections in `slots`.
        idle_timeout_us: how long a connection may be idle: a ratio of the endpoints' keepalive timeout.
        connect_timeout_us: how long a connection may take to be established.
        host_line: the Host field of each request, with its line end.
        reset_probability: moving average of the share of reused connections that are reset during a request.
        buffered_bytes: size of the responses that are being read, of at most `buffer_limit_bytes`.
        max_response_bytes: limit on a response that is buffered until it is complete.
        max_header_bytes: limit on the headers of a response.
        on_capacity_shortage: is called when all slots are in use, and requests a higher connection limit.
        dialer: the unfinished dials.
        buffers_responses: the process stops; responses are buffered as far as memory allows, so that the
            request of one that is not complete at its end can be answered as failed.
    """

    def __init__(
        self,
        lifecycle: RequestLifecycle,
        loop: asyncio.AbstractEventLoop,
        wheel: TimerWheel,
        clock: Callable[[], int],
        counters: Counters,
        max_connections: int,
        connect_timeout_us: int,
        keepalive_us: int,
        service: str,
        log: Callable[..., Any],
    ) -> None:
        """Create a pool without connections."""
        self.log = log
        self.lifecycle = lifecycle
        self.loop = loop
        self.wheel = wheel
        self.clock = clock
        self.counters = counters
        self.max_connections = max_connections
        self.connect_timeout_us = connect_timeout_us
        self.idle_timeout_us = int(keepalive_us * IDLE_KEEPALIVE_RATIO)
        self.host_line = b"Host: %s\r\n" % service.encode()
        self.addresses: dict[str, Address] = {}
        self.endpoint_counts: dict[Address, int] | None = None
        self.idle_connections: dict[Address, list[EndpointConnection]] = {}
        self.write_denial: Callable[[Attempt], Denial | None] = lambda attempt: None
        self.on_write: Callable[[Attempt, int], None] = lambda attempt, budget_us: None
        self.reset_probability = 0.0
        self.slots: SlotTable[EndpointConnection] = SlotTable()
        self.buffer_limit_bytes = MAX_BODY_BYTES
        self.buffered_bytes = 0
        self.max_response_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.on_capacity_shortage: Callable[[], None] = lambda: None
        self.dialer = Dialer(self)
        self.buffers_responses = False

    # Transport interface: called by the request lifecycle

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; `RequestLifecycle.attempt_ended` is called once for it."""
        address = self.addresses.get(attempt.endpoint)
        if address is None:  # listed without an address, or not listed any more
            self.lifecycle.attempt_ended(attempt, AttemptResult.NOT_SENT)
            return
        # A retry takes only an unused connection. So does a request that must not be repeated, while reused
        # connections are often reset.
        reuse_is_risky = self.reset_probability > RESET_PROBABILITY_THRESHOLD
        unused_only = attempt.number > 0 or (attempt.must_not_repeat and reuse_is_risky)
        conn = self._take_idle(address, unused_only)
        if conn is None:
            return self._dial(attempt, address)
        conn.attempt = attempt
        attempt.transport_state = conn
        self.counters.add("node_connections_reused")
        conn.send_request()

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        """Cancel an attempt; `RequestLifecycle.attempt_ended` is called for it too.

        An attempt whose response has begun is not cancelled to make another one. At its deadline it goes on
        if its response may be streamed. If this process was held up, what it has not read is read before.
        """
        conn = attempt.transport_state
        has_unread = conn.is_open() and not conn.has_no_unread_bytes()
        if result is AttemptResult.CANCELLED and (conn.response.started or has_unread):
            self.counters.add("attempts_not_cancelled")
        elif result is not AttemptResult.TIMEOUT:
            conn.cancel_attempt(result)
        elif has_unread:
            self.counters.add("attempts_unread_at_deadline")
            self.wheel.call_after(READ_UNREAD_US, self._time_out, attempt, conn)
        else:
            self._time_out(attempt, conn)

    @staticmethod
    def _time_out(attempt: Attempt, conn: EndpointConnection) -> None:
        """Time out an attempt at its deadline, unless it has ended or its response goes on."""
        if conn.attempt is attempt and not (conn.stream_past_deadline() or conn.await_past_deadline()):
            conn.cancel_attempt(AttemptResult.TIMEOUT)

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Cancel an attempt whose result is not needed; return False if it was sent already."""
        conn = attempt.transport_state
        if conn is None or conn.attempt is not attempt or conn.written:
            return False
        self.counters.add("attempts_unwanted")
        conn.cancel_attempt(AttemptResult.NOT_SENT)
        return True

    # ConnectionPool interface: called by connections

    def reconnect(self, attempt: Attempt, address: Address) -> None:
        """Connect once more for an attempt of which nothing was sent."""
        if self.endpoint_counts is not None and address not in self.endpoint_counts:
            # The endpoint has been removed from the list meanwhile.
            return self.lifecycle.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
        if self.write_denial(attempt) is not None:
            return self.lifecycle.attempt_ended(attempt, AttemptResult.NOT_SENT)
        self._dial(attempt, address)

    def connection_established(self, conn: EndpointConnection) -> None:
        """Record a dial that succeeded."""
        self.dialer.connection_established(conn)

    def put_unclaimed(self, conn: EndpointConnection) -> None:
        """Pool a new connection that no attempt waits for; the next attempt to its address takes it."""
        self.counters.add("node_connections_spare")
        self.put_idle(conn)
        conn.idle_since_us -= REUSE_DELAY_US

    def put_idle(self, conn: EndpointConnection) -> None:
        """Pool a connection after its response, unless its address is not listed any more."""
        if self.endpoint_counts is not None and conn.address not in self.endpoint_counts:
            conn.close()
            return
        conn.idle_since_us = self.clock()
        self.idle_connections.setdefault(conn.address, []).append(conn)

    def remove(self, conn: EndpointConnection) -> None:
        """Remove a connection that has closed."""
        if conn.slot >= 0:
            self.slots.free(conn.slot)
            conn.slot = -1
        self.dialer.remove(conn)
        pooled = self.idle_connections.get(conn.address)
        if pooled and conn in pooled:
            pooled.remove(conn)

    def record_reuse(self, conn: EndpointConnection, reset: bool) -> None:
        """Record whether a reused connection was reset during a request.

        Endpoints or middleboxes may silently drop idle connections long before the keepalive timeout. After
        a reset, connections that have been idle for as long or longer have most likely been dropped too, and
        are closed.
        """
        self.reset_probability += RESET_EWMA_WEIGHT * (reset - self.reset_probability)
        if reset:
            self.counters.add("node_connections_stale")
            for other in list(self.idle_connections.get(conn.address, [])):
                if other.idle_since_us <= conn.idle_since_us:
                    other.close()

    # Connection management

    def _dial(self, attempt: Attempt, address: Address) -> None:
        if len(self.slots) >= self.max_connections:
            self.on_capacity_shortage()
        if len(self.slots) >= self.max_connections and not self._evict():
            self.counters.add("node_connections_over_cap")
            # The limit is this process's own and says nothing about the endpoint.
            self.lifecycle.attempt_ended(attempt, AttemptResult.NOT_SENT)
            return
        attempt.write_delayed = True
        self.dialer.dial(attempt, address)

    def _take_idle(self, address: Address, unused_only: bool) -> EndpointConnection | None:
        """Take the most recently used connection, so that the others stay idle and expire.

        With `unused_only`, it must have been established recently and have carried no attempt, which makes
        it equivalent to a new one.
        """
        pooled = self.idle_connections.get(address, [])
        reusable_before_us = self.clock() - REUSE_DELAY_US
        oldest_us = reusable_before_us - CONNECT_TIMEOUT_MULTIPLIER * self.connect_timeout_us
        for position in range(len(pooled) - 1, -1, -1):
            conn = pooled[position]
            if unused_only and (conn.has_carried_attempt or conn.state_since_us < oldest_us):
                continue
            if conn.idle_since_us <= reusable_before_us:
                del pooled[position]
                if not conn.closed and conn.is_open() and conn.has_no_unread_bytes():
                    return conn
                conn.close()
        return None

    def close_unlisted(self, addresses: set[Address]) -> None:
        """Close idle connections and unclaimed dials to addresses that have no listed endpoint any more.

        Attempts in flight are completed; their connections close after the responses.
        """
        for address in addresses:
            for conn in [*self.idle_connections.get(address, []), *self.dialer.unclaimed(address)]:
                conn.close()

    def active_count(self) -> int:
        """Count the connections that carry a request, or are dialed for one."""
        idle_count = sum(map(len, self.idle_connections.values()))
        return len(self.slots) - idle_count - len(self.dialer.unclaimed())

    def evict_excess(self) -> None:
        """Close connections above a lowered limit, as far as they are idle or can be evicted."""
        for _ in range(len(self.slots) - self.max_connections):  # slots are freed one iteration later
            if not self._evict():
                break

    def close_expired(self) -> None:
        """Close connections that have been idle for too long, before the endpoint may close them."""
        before_us = self.clock() - self.idle_timeout_us
        self.evict_excess()
        for address, pooled in list(self.idle_connections.items()):
            while pooled and pooled[0].idle_since_us <= before_us:
                self.counters.add("node_connections_retired")
                pooled.pop(0).close()
            if not pooled:
                del self.idle_connections[address]

    def _evict(self) -> bool:
        """Free a slot for another connection; return False if there is none to free.

        The longest idle connection is closed, or else the oldest unclaimed dial, or else the connection of a
        streamed response that is far past its request's deadline.
        """
        idle_lists = [conns for conns in self.idle_connections.values() if conns]
        if idle_lists:
            min(idle_lists, key=lambda conns: conns[0].idle_since_us).pop(0).close()
            return True
        unclaimed = [conn for conn in self.dialer.unclaimed() if not conn.closed]
        if unclaimed:
            min(unclaimed, key=lambda conn: conn.state_since_us).close()
            return True
        streams = [(conn.stream, conn.slot) for conn in self.slots if conn.stream is not None]
        overdue = [
            (rank, slot, stream) for stream, slot in streams if (rank := stream.eviction_rank()) is not None
        ]
        if overdue:
            min(overdue)[2].evict()
        return bool(overdue)

    def close(self) -> None:
        """Close all connections; clients of streamed responses notice at once that these are incomplete."""
        for conn in self.slots:
            if conn.stream is not None and conn.streaming:
                conn.stream.abort(AbortReason.PROCESS_EXIT)
            else:
                conn.close()
