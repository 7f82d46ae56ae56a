"""Dialing endpoints: each attempt has exactly one result, in whichever order its dials succeed or fail."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.net.dialing import (
    CONNECT_TIMEOUT_MULTIPLIER,
    CONNECTION_ATTEMPT_DELAY_RATIO,
    MAX_RACING_DIALS_COUNT,
    MIN_SUCCESS_RATE,
)
from umberlead.net.endpoint_pool import EndpointPool
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.scheduling.events import AttemptResult

CONNECT_TIMEOUT_US = 250_000


class Ends:
    """Stands in for the request lifecycle and records the results of attempts, in order."""

    def __init__(self) -> None:
        self.seen: list[tuple[int, AttemptResult]] = []

    def attempt_ended(self, attempt: Any, result: AttemptResult, reply: Any = None) -> None:
        self.seen.append((attempt.number, result))


class Wire(asyncio.Transport):
    """A transport that behaves as uvloop's does when the dial task is cancelled: it is aborted, and
    `connection_lost` is never called."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.aborted = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def writelines(self, list_of_data: Any) -> None:
        self.sent += list_of_data

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class Dials:
    """Stands in for the event loop, with a manual clock. Dials stay pending until a test establishes them;
    with `up_when_cancelled`, one is established while it is cancelled."""

    def __init__(self, up_when_cancelled: bool) -> None:
        self.now = 1_000_000
        self.late, self.wire = up_when_cancelled, Wire()
        self.conns: list[Any] = []  # in the order in which their dials started
        self.alarms: list[tuple[int, Callable[[], None]]] = []

    def create_task(self, work: Any) -> "asyncio.Task[None]":
        return asyncio.get_running_loop().create_task(work)

    async def create_connection(self, factory: Callable[[], Any], *where: Any) -> Any:
        conn = factory()
        self.conns.append(conn)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.late:
                conn.connection_made(self.wire)
            raise

    def alarm(self, delay: int, what: Callable[[], None]) -> Any:
        entry = (self.now + delay, what)
        self.alarms.append(entry)
        return SimpleNamespace(cancel=lambda: self.alarms.remove(entry) if entry in self.alarms else None)

    def until(self, now: int) -> None:
        while due := [e for e in self.alarms if e[0] <= now]:
            entry = min(due, key=lambda e: e[0])
            self.alarms.remove(entry)
            self.now = max(self.now, entry[0])
            entry[1]()
        self.now = max(self.now, now)


def _pool(dials: Dials) -> tuple[EndpointPool, Ends, Any]:
    ends: Any = Ends()
    loop: Any = dials
    wheel = TimerWheel(lambda: dials.now, dials.alarm, 2000)
    pool = EndpointPool(
        ends,
        loop,
        wheel,
        lambda: dials.now,
        Counters(),
        10,
        CONNECT_TIMEOUT_US,
        4_000_000,
        "s",
        lambda *_, **__: None,
    )
    pool.addresses["n"] = ("127.0.0.1", 1)
    return pool, ends, _attempt(dials)


def _attempt(dials: Dials, number: int = 0) -> Any:
    ask = SimpleNamespace(payload=OutgoingRequest(b"PUT", b"/w", []))
    return SimpleNamespace(
        endpoint="n",
        number=number,
        must_not_repeat=True,
        reconnected=False,
        misdirected=False,
        started_us=dials.now,
        deadline_us=9_000_000,
        transport_state=None,
        request=SimpleNamespace(incoming=ask, answered=False),
    )


async def _turns() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize("late", [True, False])
@pytest.mark.parametrize("ended_by", ["link time-out", "engine"])
def test_a_dial_cancelled_as_its_connection_is_established_has_one_outcome(late: bool, ended_by: str) -> None:
    """After a front was suspended for a second, dials were cancelled just as their connections were
    established. Their attempts never had a result, and the uploads were answered with 502 at their
    deadline."""

    async def test() -> None:
        dials = Dials(late)
        pool, ends, attempt = _pool(dials)
        pool.dialer.success_rate = 0.0  # no racing dial
        pool.start(attempt)
        await asyncio.sleep(0)
        if ended_by == "engine":
            pool.stop(attempt, AttemptResult.TIMEOUT)
        else:
            dials.until(dials.now + 2 * CONNECT_TIMEOUT_US)
            assert ends.seen == [(0, AttemptResult.CONNECT_FAILED)]  # at the timeout; the dial continues
            dials.until(dials.now + CONNECT_TIMEOUT_MULTIPLIER * CONNECT_TIMEOUT_US)
        await _turns()
        assert ends.seen == [(0, AttemptResult.CONNECT_FAILED)]
        assert not dials.wire.sent and dials.wire.aborted == late
        assert not len(pool.slots)  # the slot is free again
        dials.conns[0].connection_lost(None)  # some event loops call it nevertheless
        assert len(ends.seen) == 1

    asyncio.run(test())


def test_a_connection_that_was_established_when_a_late_process_looks_is_used() -> None:
    """After a suspension past the connect timeout, a dial's timer runs before its connection is reported."""

    async def test() -> None:
        dials = Dials(False)
        pool, ends, attempt = _pool(dials)
        pool.start(attempt)
        await asyncio.sleep(0)
        dials.now += 4 * CONNECT_TIMEOUT_US
        pool.wheel.fire_due()
        dials.conns[0].connection_made(dials.wire)
        dials.until(dials.now + 2 * CONNECT_TIMEOUT_US)
        await asyncio.sleep(0)
        assert dials.wire.sent and not dials.wire.aborted and not ends.seen
        pool.close()

    asyncio.run(test())


async def _raced() -> tuple[Dials, EndpointPool, Ends, Any]:
    dials = Dials(False)
    pool, ends, attempt = _pool(dials)
    pool.start(attempt)
    await _turns()
    dials.until(dials.now + int(CONNECTION_ATTEMPT_DELAY_RATIO * CONNECT_TIMEOUT_US) + 4000)
    await _turns()
    assert len(dials.conns) == 2 and not ends.seen
    return dials, pool, ends, attempt


def _wire(pool: EndpointPool, conn: Any) -> Wire:
    """Establish `conn` on a new transport whose peer sends nothing, and return the transport."""
    wire, conn.has_no_unread_bytes = Wire(), lambda: True
    conn.connection_made(wire)
    return wire


@pytest.mark.parametrize("first", [0, 1])
def test_a_slow_dial_is_raced_and_the_first_that_is_established_carries_the_attempt(first: int) -> None:
    """When a third of the connections were slow to establish, each that exceeded the connect timeout failed
    its attempt and ejected a healthy endpoint, whose requests no other endpoint can serve."""

    async def test() -> None:
        dials, pool, ends, attempt = await _raced()
        won, other = dials.conns[first], dials.conns[1 - first]
        assert _wire(pool, won).sent and attempt.transport_state is won
        spare = _wire(pool, other)  # it stays pooled: the next attempt takes it, even a retry
        assert not spare.sent and not ends.seen
        again = _attempt(dials, 1)
        pool.start(again)
        assert spare.sent and again.transport_state is other and len(dials.conns) == 2
        dials.until(dials.now + (CONNECT_TIMEOUT_MULTIPLIER + 1) * CONNECT_TIMEOUT_US)
        assert not ends.seen  # no dial timeout is left
        pool.close()

    asyncio.run(test())


def test_a_dial_that_is_established_after_its_attempt_s_end_carries_the_next() -> None:
    async def test() -> None:
        dials, pool, ends, _ = await _raced()
        dials.until(dials.now + 2 * CONNECT_TIMEOUT_US)
        await _turns()
        assert (
            ends.seen == [(0, AttemptResult.CONNECT_FAILED)]
            and len(dials.conns) == 1 + MAX_RACING_DIALS_COUNT
        )
        again = _attempt(dials, 1)
        pool.start(again)
        await _turns()
        assert _wire(pool, dials.conns[0]).sent and again.transport_state is dials.conns[0]
        assert ends.seen == [(0, AttemptResult.CONNECT_FAILED)]
        pool.close()

    asyncio.run(test())


def test_a_server_that_is_lost_is_not_dialled_three_times_for_each_attempt() -> None:
    async def test() -> None:
        dials = Dials(False)
        pool, ends, _ = _pool(dials)
        for number in range(40):
            pool.start(_attempt(dials, number))
            await _turns()
            dials.until(dials.now + 2 * CONNECT_TIMEOUT_US)
            await _turns()
        assert len(ends.seen) == 40 and pool.dialer.success_rate < MIN_SUCCESS_RATE
        before = len(dials.conns)
        pool.start(_attempt(dials, 40))
        await _turns()
        dials.until(dials.now + (CONNECT_TIMEOUT_MULTIPLIER + 1) * CONNECT_TIMEOUT_US)
        await _turns()
        assert len(dials.conns) == before + 1 and not len(pool.slots) and not pool.dialer.pending
        pool.close()

    asyncio.run(test())


def test_dials_that_nobody_waits_for_free_slots_at_the_limit() -> None:
    async def test() -> None:
        dials, pool, ends, _ = await _raced()
        pool.max_connections = 2  # both taken: by the attempt's dial and by the racing dial
        dials.until(dials.now + int(CONNECTION_ATTEMPT_DELAY_RATIO * CONNECT_TIMEOUT_US) + 4000)
        await _turns()
        assert len(dials.conns) == 2  # no racing dial without a free slot
        other = _attempt(dials, 0)
        pool.start(other)
        await _turns()
        assert len(dials.conns) == 3 and len(pool.slots) == 2 and not ends.seen
        assert _wire(pool, dials.conns[0]).sent and not other.transport_state.written
        pool.close()

    asyncio.run(test())
