"""Dials to chunk servers: slow ones are raced by others, as in happy eyeballs (RFC 8305).

The first connection that comes up carries the oldest attempt that waits; those that come up later carry the
next ones, also after the end of the attempt that began them.
"""

import asyncio
import errno
from typing import Protocol

from umberlead.common.slot_table import SlotTable
from umberlead.configuration import Address
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.pool_interface import ConnectionPool
from umberlead.requests.types import Attempt
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS
from umberlead.scheduling.events import AttemptResult

CONNECTION_ATTEMPT_DELAY_RATIO = 0.2  # of the connect time-out: a dial that is not up by then may be raced
MAX_RACING_DIALS_COUNT = 2  # that an attempt's first dial is raced by
CONNECT_TIMEOUT_MULTIPLIER = 6  # connect time-outs that a dial may take to come up, for whoever waits then
SUCCESS_EWMA_WEIGHT = 0.1  # of one more slow dial in the part of those that come up
MIN_SUCCESS_RATE = 0.25  # of slow dials, for which racing is worth it: of a lost server none comes up
LOCAL_DIAL_ERRNOS = LOCAL_RESOURCE_ERRNOS | {errno.EADDRNOTAVAIL}


class DialingPool(ConnectionPool[EndpointConnection], Protocol):
    """What dials need of the pool.

    Attributes:
        loop: where dials run.
        slots: all connections, and those that are being dialled.
        max_connections: how many there may be.
    """

    loop: asyncio.AbstractEventLoop
    max_connections: int
    slots: SlotTable[EndpointConnection]


class Dialer:
    """Begins dials for a pool, and races those that are slow.

    Attributes:
        pending: dials that are not up yet by their address, the oldest first.
        success_rate: the part of slow dials that come up, as learnt.
    """

    def __init__(self, pool: DialingPool) -> None:
        """Dial for `pool`."""
        self._pool = pool
        self.pending: dict[Address, list[EndpointConnection]] = {}
        self.success_rate = 2 * MIN_SUCCESS_RATE

    def dial(self, attempt: Attempt, address: Address) -> None:
        """Begin a dial that carries `attempt`."""
        conn = self._begin(address)
        conn.attempt, attempt.transport_state = attempt, conn
        self._schedule(conn, self._next_check_us(conn))

    def unclaimed(self, address: Address | None = None) -> list[EndpointConnection]:
        """Return the dials, there or anywhere, that no attempt waits for."""
        lists = self.pending.values() if address is None else [self.pending.get(address, [])]
        return [conn for dials in lists for conn in dials if conn.attempt is None]

    def _begin(self, address: Address) -> EndpointConnection:
        pool = self._pool
        conn = EndpointConnection(pool, address)
        conn.slot = pool.slots.add(conn)
        self.pending.setdefault(address, []).append(conn)
        conn.dial_task = pool.loop.create_task(self._connect(conn))
        conn.dial_task.add_done_callback(lambda task: self._dial_ended(conn, task))
        return conn

    async def _connect(self, conn: EndpointConnection) -> None:
        try:
            await self._pool.loop.create_connection(lambda: conn, *conn.address)
        except OSError as error:
            conn.connect_error = error.strerror or type(error).__name__
            conn.failed_locally = error.errno in LOCAL_DIAL_ERRNOS
            conn.broke_early = error.errno == errno.ECONNRESET
            self._pool.counters.add("node_connections_failed")

    def _dial_ended(self, conn: EndpointConnection, task: "asyncio.Task[None]") -> None:
        """End a dial without a connection: refused, not up in time, or given up.

        One that comes up in the very turn in which its dial is cancelled is closed by uvloop without a call
        of connection_lost: left to that, its attempt would never have an outcome.
        """
        cancelled = task.cancelled() or task.exception() is not None
        if conn.transport is not None:
            return conn.connection_lost(None) if cancelled else None
        conn.finished = True
        conn.close()
        self._pool.remove(conn)
        conn.end_attempt(AttemptResult.CONNECT_FAILED)

    def _schedule(self, conn: EndpointConnection, at_us: int) -> None:
        conn.timer = self._pool.wheel.call_at(at_us, self._check_next_tick, conn)

    def _next_check_us(self, conn: EndpointConnection) -> int:
        """When a dial that carries an attempt is looked at next: to be raced, or given up."""
        raced = conn.race_count < MAX_RACING_DIALS_COUNT
        delay_ratio = CONNECTION_ATTEMPT_DELAY_RATIO * (conn.race_count + 1) if raced else 1.0
        return conn.state_since_us + int(delay_ratio * self._pool.connect_timeout_us)

    def _check_next_tick(self, conn: EndpointConnection) -> None:
        """Look at a dial that is not up yet, a tick later.

        Where the front itself stood still (a slow core, SIGSTOP), timers run before what came meanwhile is
        looked at: without one more tick, a connection that is up counts as a server that is not.
        """
        conn.timer = self._pool.wheel.call_after(1, self._check, conn)

    def _check(self, conn: EndpointConnection) -> None:
        """Race a slow dial, or end its attempt at the connect time-out.

        Connections may come up late one by one, at a server that is well: another dial is begun beside it,
        and the first that is up carries the attempt. At the time-out the attempt ends; its dial goes on for
        whoever waits when it comes up.
        """
        pool, now_us = self._pool, self._pool.clock()
        if conn.attempt is None:
            self.success_rate -= SUCCESS_EWMA_WEIGHT * self.success_rate
            pool.counters.add("node_connections_never_up")
            return conn.close()
        if now_us < conn.state_since_us + pool.connect_timeout_us:
            if conn.race_count < MAX_RACING_DIALS_COUNT:
                conn.race_count += 1
                self._race(conn.address)
            return self._schedule(conn, self._next_check_us(conn))
        conn.connect_error = "not up in time"
        pool.counters.add("node_connections_timed_out")
        self._keep_dialing(conn)
        conn.end_attempt(AttemptResult.CONNECT_FAILED)

    def _race(self, address: Address) -> None:
        """Begin another dial there, where slow ones have been seen to come up and there is room for it."""
        pool = self._pool
        if self.success_rate >= MIN_SUCCESS_RATE and len(pool.slots) < pool.max_connections:
            pool.counters.add("node_connections_raced")
            self._keep_dialing(self._begin(address))

    def _keep_dialing(self, conn: EndpointConnection) -> None:
        """Let a dial go on without its attempt, which goes elsewhere or has ended: it may still come up."""
        if conn.timer is not None:
            conn.timer.cancel()
        self._schedule(conn, conn.state_since_us + CONNECT_TIMEOUT_MULTIPLIER * self._pool.connect_timeout_us)

    def connection_established(self, conn: EndpointConnection) -> None:
        """Take a dial that came up from the pending ones.

        Without an attempt of its own it takes that of the oldest that still dials.
        """
        now_us = self._pool.clock()
        if now_us - conn.state_since_us > CONNECTION_ATTEMPT_DELAY_RATIO * self._pool.connect_timeout_us:
            self.success_rate += SUCCESS_EWMA_WEIGHT * (1 - self.success_rate)
        conn.state_since_us = now_us
        self.remove(conn)
        dials = self.pending.get(conn.address, [])
        waiting = [other for other in dials if other.attempt is not None and not other.closed]
        if conn.attempt is None and waiting:
            attempt, waiting[0].attempt = waiting[0].attempt, None
            assert attempt is not None
            conn.attempt, attempt.transport_state = attempt, conn
            self._keep_dialing(waiting[0])

    def remove(self, conn: EndpointConnection) -> None:
        """Forget a dial that came up or ended."""
        dials = self.pending.get(conn.address)
        if dials and conn in dials:
            dials.remove(conn)
            if not dials:
                del self.pending[conn.address]
