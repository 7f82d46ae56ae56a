"""The pool of connections to chunk servers: kept ones, new ones, and whose place goes to another."""

import asyncio
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.slot_table import Slots
from umberlead.common.timer_wheel import Wheel
from umberlead.config import Address
from umberlead.net.dialing import CONNECT_TIMEOUT_MULTIPLIER, Dialer
from umberlead.net.node_connection import NodeConnection
from umberlead.requests.lifecycle import Engine
from umberlead.requests.send_guard import Denial
from umberlead.requests.types import Attempt
from umberlead.resource_limits import BODY_MOST, HEAD_MOST
from umberlead.scheduling.interface import Result

IDLE_KEEPALIVE_FRACTION = 0.6  # the chunk server may close at any time up to the whole of its keepalive
RESET_PROBABILITY_THRESHOLD = 0.02  # of kept connections, above which a write takes a new one
RESET_EWMA_WEIGHT = 0.02  # of one more reuse in that probability
REUSE_DELAY_US = 5_000  # behind a reply: what comes in it belongs to no request


class Pool:
    """Carries attempts: on an idle connection to the node's address, or a new one.

    Attributes:
        addresses: where nodes are, by their names.
        node_counts: the addresses that connections may be kept to, and for how many nodes; None: any.
        idle: connections at rest by their address, the one used last at the end.
        slots: all connections, and those that are being dialled.
        max_connections: how many there may be.
        idle_timeout_us: how long one may rest.
        reset_probability: the part of kept connections that break under a request, as learnt.
        dialer: the dials that are not up yet.
    """

    def __init__(
        self,
        engine: Engine,
        loop: asyncio.AbstractEventLoop,
        wheel: Wheel,
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
        self.engine, self.loop, self.wheel, self.clock, self.counters = engine, loop, wheel, clock, counters
        self.max_connections, self.connect_timeout_us = max_connections, connect_timeout_us
        self.idle_timeout_us = int(keepalive_us * IDLE_KEEPALIVE_FRACTION)
        self.host_line = b"Host: %s\r\n" % service.encode()
        self.addresses: dict[str, Address] = {}
        self.node_counts: dict[Address, int] | None = None
        self.idle: dict[Address, list[NodeConnection]] = {}
        self.may_write: Callable[[Attempt], Denial | None] = lambda attempt: None
        self.on_write: Callable[[Attempt, int], None] = lambda attempt, budget_us: None
        self.reset_probability = 0.0
        self.slots: Slots[NodeConnection] = Slots()
        self.memory_limit_bytes, self.held_bytes = BODY_MOST, 0
        self.max_reply_bytes, self.max_head_bytes = BODY_MOST, HEAD_MOST
        self.on_shortage: Callable[[], None] = lambda: None  # asks for a higher cap
        self.dialer = Dialer(self)

    # Carrier: what the engine asks

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; `Engine.ended` is owed once."""
        address = self.addresses.get(attempt.node)
        if address is None:  # listed without one, or gone
            self.engine.ended(attempt, Result.MOOT)
            return
        # After a break, or where kept connections break and the request can't go out twice, only a new one.
        resets = self.reset_probability > RESET_PROBABILITY_THRESHOLD
        unused_only = attempt.number > 0 or (attempt.once and resets)
        conn = self._take_idle(address, unused_only)
        if conn is None:
            return self._dial(attempt, address)
        conn.attempt, attempt.carried = attempt, conn
        self.counters.add("node_connections_reused")
        conn.send_request()

    def stop(self, attempt: Attempt, why: Result) -> None:
        """Give an attempt up; `Engine.ended` is owed all the same."""
        attempt.carried.give_up(why)

    def unwanted(self, attempt: Attempt) -> bool:
        """Keep an attempt that nobody waits for from being sent; False where it is on its way."""
        conn = attempt.carried
        if conn is None or conn.attempt is not attempt or conn.written:
            return False
        self.counters.add("attempts_unwanted")
        conn.give_up(Result.MOOT)
        return True

    # ConnectionPool: what connections ask

    def redial(self, attempt: Attempt, address: Address) -> None:
        """Connect once more for an attempt of which nothing was sent."""
        if self.node_counts is not None and address not in self.node_counts:
            return self.engine.ended(attempt, Result.NO_LINK)  # it has left the list meanwhile
        if self.may_write(attempt) is not None:
            return self.engine.ended(attempt, Result.MOOT)
        self._dial(attempt, address)

    def came_up(self, conn: NodeConnection) -> None:
        """Take note of a dial that came up."""
        self.dialer.came_up(conn)

    def put_unused(self, conn: NodeConnection) -> None:
        """Keep a connection that came up and that nobody waits for: the next attempt there has it."""
        self.counters.add("node_connections_spare")
        self.put_idle(conn)
        conn.idle_since_us -= REUSE_DELAY_US

    def put_idle(self, conn: NodeConnection) -> None:
        """Keep a connection behind its reply, unless its address is not listed any more."""
        if self.node_counts is not None and conn.address not in self.node_counts:
            conn.close()
            return
        conn.idle_since_us = self.clock()
        self.idle.setdefault(conn.address, []).append(conn)

    def remove(self, conn: NodeConnection) -> None:
        """Forget a connection that has ended."""
        if conn.slot >= 0:
            self.slots.free(conn.slot)
            conn.slot = -1
        self.dialer.remove(conn)
        resting = self.idle.get(conn.address)
        if resting and conn in resting:
            resting.remove(conn)

    def record_reuse(self, conn: NodeConnection, reset: bool) -> None:
        """Learn whether a kept connection broke under a request.

        Chunk servers, or what stands between, may drop kept connections without a word long before the
        keepalive: those that have stood there for longer have most likely gone the same way.
        """
        self.reset_probability += RESET_EWMA_WEIGHT * (reset - self.reset_probability)
        if reset:
            self.counters.add("node_connections_stale")
            for other in list(self.idle.get(conn.address, [])):
                if other.idle_since_us <= conn.idle_since_us:
                    other.close()

    # Connections

    def _dial(self, attempt: Attempt, address: Address) -> None:
        if len(self.slots) >= self.max_connections:
            self.on_shortage()
        if len(self.slots) >= self.max_connections and not self._evict():
            self.counters.add("node_connections_over_cap")
            self.engine.ended(attempt, Result.MOOT)  # our own cap, and none of the node's doing
            return
        self.dialer.dial(attempt, address)

    def _take_idle(self, address: Address, unused_only: bool) -> NodeConnection | None:
        """Take the connection used last, so that the others age and retire.

        With `unused_only` just one that came up a moment ago and has carried nothing yet, which is as good as
        a new one.
        """
        resting, rested_us = self.idle.get(address, []), self.clock() - REUSE_DELAY_US
        oldest_us = rested_us - CONNECT_TIMEOUT_MULTIPLIER * self.connect_timeout_us
        for at in range(len(resting) - 1, -1, -1):
            conn = resting[at]
            if unused_only and (conn.used or conn.since_us < oldest_us):
                continue
            if conn.idle_since_us <= rested_us:
                del resting[at]
                if not conn.closed and conn.is_open() and conn.has_no_unread_bytes():
                    return conn
                conn.close()
        return None

    def close_unlisted(self, addresses: set[Address]) -> None:
        """Close what rests and what is dialled for nobody at addresses where no node is listed any longer.

        What is out ends there; other connections end with their replies.
        """
        for address in addresses:
            for conn in [*self.idle.get(address, []), *self.dialer.unused(address)]:
                conn.close()

    def busy_count(self) -> int:
        """Count the connections that carry a request, or dial for one."""
        resting = sum(map(len, self.idle.values()))
        return len(self.slots) - resting - len(self.dialer.unused())

    def enforce_limit(self) -> None:
        """Close what is over a cap that came down, as far as it carries nothing."""
        for _ in range(len(self.slots) - self.max_connections):  # their places are free a turn later
            if not self._evict():
                break

    def sweep(self) -> None:
        """Retire idle connections well before the chunk server may close them."""
        before_us = self.clock() - self.idle_timeout_us
        self.enforce_limit()
        for address, resting in list(self.idle.items()):
            while resting and resting[0].idle_since_us <= before_us:
                self.counters.add("node_connections_retired")
                resting.pop(0).close()
            if not resting:
                del self.idle[address]

    def _evict(self) -> bool:
        """Make a place for another connection; False where none can go.

        Of those at rest the one idle for longest goes, else a dial that nobody waits for, else that of a long
        reply far past its request's time.
        """
        resting = [conns for conns in self.idle.values() if conns]
        if resting:
            min(resting, key=lambda conns: conns[0].idle_since_us).pop(0).close()
            return True
        unused = [conn for conn in self.dialer.unused() if not conn.closed]
        if unused:
            min(unused, key=lambda conn: conn.since_us).close()
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
