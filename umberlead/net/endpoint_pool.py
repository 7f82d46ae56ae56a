"""The pool of connections to chunk servers: kept ones, new ones, and whose place goes to another."""

import asyncio
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.slot_table import SlotTable
from umberlead.common.timer_wheel import TimerWheel
from umberlead.configuration import Address
from umberlead.net.dialing import CONNECT_TIMEOUT_MULTIPLIER, Dialer
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.send_guard import Denial
from umberlead.requests.types import Attempt
from umberlead.resource_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from umberlead.scheduling.events import AttemptResult

IDLE_KEEPALIVE_RATIO = 0.6  # the chunk server may close at any time up to the whole of its keepalive
RESET_PROBABILITY_THRESHOLD = 0.02  # of kept connections, above which a write takes a new one
RESET_EWMA_WEIGHT = 0.02  # of one more reuse in that probability
REUSE_DELAY_US = 5_000  # behind a reply: what comes in it belongs to no request


class EndpointPool:
    """Carries attempts: on an idle connection to the node's address, or a new one.

    Attributes:
        addresses: where nodes are, by their names.
        endpoint_counts: the addresses that connections may be kept to, and for how many nodes; None: any.
        idle: connections at rest by their address, the one used last at the end.
        slots: all connections, and those that are being dialled.
        max_connections: how many there may be.
        idle_timeout_us: how long one may rest.
        reset_probability: the part of kept connections that break under a request, as learnt.
        dialer: the dials that are not up yet.
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
        """Begin without connections; `clock` tells microseconds, `service` is what Host says."""
        self.log = log
        self.lifecycle, self.loop, self.wheel, self.clock, self.counters = (
            lifecycle,
            loop,
            wheel,
            clock,
            counters,
        )
        self.max_connections, self.connect_timeout_us = max_connections, connect_timeout_us
        self.idle_timeout_us = int(keepalive_us * IDLE_KEEPALIVE_RATIO)
        self.host_line = b"Host: %s\r\n" % service.encode()
        self.addresses: dict[str, Address] = {}
        self.endpoint_counts: dict[Address, int] | None = None
        self.idle_connections: dict[Address, list[EndpointConnection]] = {}
        self.write_denial: Callable[[Attempt], Denial | None] = lambda attempt: None
        self.on_write: Callable[[Attempt, int], None] = lambda attempt, budget_us: None
        self.reset_probability = 0.0
        self.slots: SlotTable[EndpointConnection] = SlotTable()
        self.buffer_limit_bytes, self.buffered_bytes = MAX_BODY_BYTES, 0
        self.max_response_bytes, self.max_header_bytes = MAX_BODY_BYTES, MAX_HEAD_BYTES
        self.on_capacity_shortage: Callable[[], None] = lambda: None  # asks for a higher cap
        self.dialer = Dialer(self)

    # Carrier: what the engine asks

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; `Engine.ended` is owed once."""
        address = self.addresses.get(attempt.endpoint)
        if address is None:  # listed without one, or gone
            self.lifecycle.attempt_ended(attempt, AttemptResult.NOT_SENT)
            return
        # After a break, or where kept connections break and the request can't go out twice, only a new one.
        resets = self.reset_probability > RESET_PROBABILITY_THRESHOLD
        unused_only = attempt.number > 0 or (attempt.must_not_repeat and resets)
        conn = self._take_idle(address, unused_only)
        if conn is None:
            return self._dial(attempt, address)
        conn.attempt, attempt.transport_state = attempt, conn
        self.counters.add("node_connections_reused")
        conn.send_request()

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        """Give an attempt up; `Engine.ended` is owed all the same."""
        attempt.transport_state.cancel_attempt(result)

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Keep an attempt that nobody waits for from being sent; False where it is on its way."""
        conn = attempt.transport_state
        if conn is None or conn.attempt is not attempt or conn.written:
            return False
        self.counters.add("attempts_unwanted")
        conn.cancel_attempt(AttemptResult.NOT_SENT)
        return True

    # ConnectionPool: what connections ask

    def reconnect(self, attempt: Attempt, address: Address) -> None:
        """Connect once more for an attempt of which nothing was sent."""
        if self.endpoint_counts is not None and address not in self.endpoint_counts:
            return self.lifecycle.attempt_ended(
                attempt, AttemptResult.CONNECT_FAILED
            )  # it has left the list meanwhile
        if self.write_denial(attempt) is not None:
            return self.lifecycle.attempt_ended(attempt, AttemptResult.NOT_SENT)
        self._dial(attempt, address)

    def connection_established(self, conn: EndpointConnection) -> None:
        """Take note of a dial that came up."""
        self.dialer.connection_established(conn)

    def put_unclaimed(self, conn: EndpointConnection) -> None:
        """Keep a connection that came up and that nobody waits for: the next attempt there has it."""
        self.counters.add("node_connections_spare")
        self.put_idle(conn)
        conn.idle_since_us -= REUSE_DELAY_US

    def put_idle(self, conn: EndpointConnection) -> None:
        """Keep a connection behind its reply, unless its address is not listed any more."""
        if self.endpoint_counts is not None and conn.address not in self.endpoint_counts:
            conn.close()
            return
        conn.idle_since_us = self.clock()
        self.idle_connections.setdefault(conn.address, []).append(conn)

    def remove(self, conn: EndpointConnection) -> None:
        """Forget a connection that has ended."""
        if conn.slot >= 0:
            self.slots.free(conn.slot)
            conn.slot = -1
        self.dialer.remove(conn)
        idle_here = self.idle_connections.get(conn.address)
        if idle_here and conn in idle_here:
            idle_here.remove(conn)

    def record_reuse(self, conn: EndpointConnection, reset: bool) -> None:
        """Learn whether a kept connection broke under a request.

        Chunk servers, or what stands between, may drop kept connections without a word long before the
        keepalive: those that have stood there for longer have most likely gone the same way.
        """
        self.reset_probability += RESET_EWMA_WEIGHT * (reset - self.reset_probability)
        if reset:
            self.counters.add("node_connections_stale")
            for other in list(self.idle_connections.get(conn.address, [])):
                if other.idle_since_us <= conn.idle_since_us:
                    other.close()

    # Connections

    def _dial(self, attempt: Attempt, address: Address) -> None:
        if len(self.slots) >= self.max_connections:
            self.on_capacity_shortage()
        if len(self.slots) >= self.max_connections and not self._evict():
            self.counters.add("node_connections_over_cap")
            self.lifecycle.attempt_ended(
                attempt, AttemptResult.NOT_SENT
            )  # our own cap, and none of the node's doing
            return
        self.dialer.dial(attempt, address)

    def _take_idle(self, address: Address, unused_only: bool) -> EndpointConnection | None:
        """Take the connection used last, so that the others age and retire.

        With `unused_only` just one that came up a moment ago and has carried nothing yet, which is as good as
        a new one.
        """
        idle_here, reusable_before_us = self.idle_connections.get(address, []), self.clock() - REUSE_DELAY_US
        oldest_us = reusable_before_us - CONNECT_TIMEOUT_MULTIPLIER * self.connect_timeout_us
        for position in range(len(idle_here) - 1, -1, -1):
            conn = idle_here[position]
            if unused_only and (conn.has_carried_attempt or conn.state_since_us < oldest_us):
                continue
            if conn.idle_since_us <= reusable_before_us:
                del idle_here[position]
                if not conn.closed and conn.is_open() and conn.has_no_unread_bytes():
                    return conn
                conn.close()
        return None

    def close_unlisted(self, addresses: set[Address]) -> None:
        """Close what rests and what is dialled for nobody at addresses where no node is listed any longer.

        What is out ends there; other connections end with their replies.
        """
        for address in addresses:
            for conn in [*self.idle_connections.get(address, []), *self.dialer.unclaimed(address)]:
                conn.close()

    def active_count(self) -> int:
        """Count the connections that carry a request, or dial for one."""
        idle_count = sum(map(len, self.idle_connections.values()))
        return len(self.slots) - idle_count - len(self.dialer.unclaimed())

    def evict_excess(self) -> None:
        """Close what is over a cap that came down, as far as it carries nothing."""
        for _ in range(len(self.slots) - self.max_connections):  # their places are free a turn later
            if not self._evict():
                break

    def close_expired(self) -> None:
        """Retire idle connections well before the chunk server may close them."""
        before_us = self.clock() - self.idle_timeout_us
        self.evict_excess()
        for address, idle_here in list(self.idle_connections.items()):
            while idle_here and idle_here[0].idle_since_us <= before_us:
                self.counters.add("node_connections_retired")
                idle_here.pop(0).close()
            if not idle_here:
                del self.idle_connections[address]

    def _evict(self) -> bool:
        """Make a place for another connection; False where none can go.

        Of those at rest the one idle for longest goes, else a dial that nobody waits for, else that of a long
        reply far past its request's time.
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
        """Close all connections; clients of long replies see at once that these are not whole."""
        for conn in self.slots:
            if conn.stream is not None and conn.streaming:
                conn.stream.abort()
            else:
                conn.close()
