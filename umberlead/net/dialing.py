"""Dialing endpoints; further dials race a slow one, as in Happy Eyeballs (RFC 8305).

The first connection to be established carries the attempt that has waited longest. Connections established
later carry later attempts, even if the attempt that started their dial has ended.
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

CONNECTION_ATTEMPT_DELAY_RATIO = 0.2  # of the connect timeout; a dial that takes longer may be raced
MAX_RACING_DIALS_COUNT = 2  # in addition to an attempt's first dial
CONNECT_TIMEOUT_MULTIPLIER = 6  # number of connect timeouts after which a dial is abandoned
SUCCESS_EWMA_WEIGHT = 0.1  # of the latest slow dial in the success rate
MIN_SUCCESS_RATE = 0.25  # of slow dials; below it none is raced, since the endpoint may be unreachable
LOCAL_DIAL_ERRNOS = LOCAL_RESOURCE_ERRNOS.union((errno.EADDRNOTAVAIL,))


class DialingPool(ConnectionPool[EndpointConnection], Protocol):
    """The part of the pool that the dialer uses.

    Attributes:
        loop: the event loop that runs the dials.
        slots: all connections, including those being dialed.
        max_connections: limit on the connections in `slots`.
    """

    loop: asyncio.AbstractEventLoop
    max_connections: int
    slots: SlotTable[EndpointConnection]


class Dialer:
    """Starts dials for a pool, and races slow ones.

    Attributes:
        pending: unfinished dials by address, oldest first.
        success_rate: moving average of the share of slow dials that succeed.
    """

    def __init__(self, pool: DialingPool) -> None:
        """Create a dialer for `pool`, without dials."""
        self._pool = pool
        self.pending: dict[Address, list[EndpointConnection]] = {}
        self.success_rate = 2 * MIN_SUCCESS_RATE

    def dial(self, attempt: Attempt, address: Address) -> None:
        """Start a dial that carries `attempt`."""
        conn = self._begin(address)
        conn.attempt = attempt
        attempt.transport_state = conn
        self._schedule(conn, self._next_check_us(conn))

    def unclaimed(self, address: Address | None = None) -> list[EndpointConnection]:
        """Return the dials to `address`, or to all addresses, that no attempt waits for."""
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
        """Handle a dial that ended without a connection: refused, timed out or cancelled.

        If a connection is established in the event-loop iteration that cancels its dial, uvloop closes it
        without calling `connection_lost`. It is called here, or the attempt would never get a result.
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
        """Return when a dial that carries an attempt is checked next, to race it or end its attempt."""
        may_race = conn.race_count < MAX_RACING_DIALS_COUNT
        delay_ratio = CONNECTION_ATTEMPT_DELAY_RATIO * (conn.race_count + 1) if may_race else 1.0
        return conn.state_since_us + int(delay_ratio * self._pool.connect_timeout_us)

    def _check_next_tick(self, conn: EndpointConnection) -> None:
        """Check an unfinished dial one tick later.

        After the process was suspended (slow core, SIGSTOP), timers run before pending I/O is handled.
        Without the extra tick, the endpoint of an established connection would count as unreachable.
        """
        conn.timer = self._pool.wheel.call_after(1, self._check, conn)

    def _check(self, conn: EndpointConnection) -> None:
        """Race a slow dial, or end its attempt at the connect timeout.

        Individual connections to a healthy endpoint may be slow to establish. Another dial therefore starts
        in parallel, and the first to succeed carries the attempt. At the connect timeout the attempt ends,
        but its dial continues, for an attempt that waits when it succeeds.
        """
        pool = self._pool
        now_us = pool.clock()
        if conn.attempt is None:
            self.success_rate -= SUCCESS_EWMA_WEIGHT * self.success_rate
            pool.counters.add("node_connections_never_up")
            return conn.close()
        if now_us < conn.state_since_us + pool.connect_timeout_us:
            if conn.race_count < MAX_RACING_DIALS_COUNT:
                conn.race_count += 1
                self._race(conn.address)
            return self._schedule(conn, self._next_check_us(conn))
        conn.connect_error = "connect timeout exceeded"
        pool.counters.add("node_connections_timed_out")
        self._keep_dialing(conn)
        conn.end_attempt(AttemptResult.CONNECT_FAILED)

    def _race(self, address: Address) -> None:
        """Start another dial if enough slow dials have succeeded and the pool has capacity."""
        pool = self._pool
        if self.success_rate >= MIN_SUCCESS_RATE and len(pool.slots) < pool.max_connections:
            pool.counters.add("node_connections_raced")
            self._keep_dialing(self._begin(address))

    def _keep_dialing(self, conn: EndpointConnection) -> None:
        """Let a dial continue without its attempt: it may still succeed."""
        if conn.timer is not None:
            conn.timer.cancel()
        self._schedule(conn, conn.state_since_us + CONNECT_TIMEOUT_MULTIPLIER * self._pool.connect_timeout_us)

    def connection_established(self, conn: EndpointConnection) -> None:
        """Remove a dial that succeeded from the pending ones.

        A connection without an attempt takes over the attempt of the oldest unfinished dial.
        """
        now_us = self._pool.clock()
        if now_us - conn.state_since_us > CONNECTION_ATTEMPT_DELAY_RATIO * self._pool.connect_timeout_us:
            self.success_rate += SUCCESS_EWMA_WEIGHT * (1 - self.success_rate)
        conn.state_since_us = now_us
        self.remove(conn)
        dials = self.pending.get(conn.address, [])
        waiting = [other for other in dials if other.attempt is not None and not other.closed]
        if conn.attempt is None and waiting:
            attempt = waiting[0].attempt
            waiting[0].attempt = None
            assert attempt is not None
            conn.attempt = attempt
            attempt.transport_state = conn
            self._keep_dialing(waiting[0])

    def remove(self, conn: EndpointConnection) -> None:
        """Remove a dial that has succeeded or ended."""
        dials = self.pending.get(conn.address)
        if dials and conn in dials:
            dials.remove(conn)
            if not dials:
                del self.pending[conn.address]
