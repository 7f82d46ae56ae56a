"""The watch of service discovery on real sockets; test_backoff.py tests the delays between its calls."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any
from unittest import mock

import pytest
import uvloop

from tests.helpers import T0
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.configuration import DiscoveryMessage
from umberlead.handover.shared_state import SharedState
from umberlead.net.discovery import DiscoveryWatch
from umberlead.recovery.backoff import MAX_CALL_GAP_US

LIST = b'{"index":3,"snapshot":true,"endpoints":[]}\n'


def _watch(answer: bytes, seconds: float) -> tuple[int, Counters]:
    """Watch a service that sends `answer` to each call; return the calls made in `seconds`, and counters."""
    dialled = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal dialled
        dialled += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def run() -> Counters:
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]

        def clock() -> int:
            return time.monotonic_ns() // 1000

        wheel = TimerWheel(clock, lambda delay, fn: loop.call_later(delay / 1e6, fn), 1000)
        counters = Counters()
        watch = DiscoveryWatch(
            ("127.0.0.1", port),
            DiscoveryMessage(0, True, ()),
            loop,
            wheel,
            clock,
            counters,
            lambda *a, **k: None,
            lambda listing: None,
        )
        watch.open()
        await asyncio.sleep(seconds)
        watch.close()
        server.close()
        return counters

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        counters = runner.run(run())
    return dialled, counters


def test_a_rejection_from_discovery_does_not_set_the_backoff_back() -> None:
    """Each 503 reset the backoff, so the delay stayed at 0.1 s: 28 restarted processes made 3,740 rejected
    calls in 12 s. With a delay that doubles from 0.1 s, at most 4 or 5 calls are made in 1.5 s."""
    dialled, counters = _watch(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 1.5)
    assert 2 <= dialled <= 6 and counters["discovery_updates"] == 0


def test_discovery_that_asks_for_time_is_given_it() -> None:
    answer = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
    dialled, _ = _watch(answer, 0.8)
    assert dialled == 1


def test_a_list_that_comes_sets_the_backoff_back() -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LIST), LIST)
    dialled, counters = _watch(answer, 1.0)
    # After each stream the next call follows within 0.1 s.
    assert counters["discovery_updates"] == dialled >= 8


# The bound on the time until a change is known, on a manual clock

NO = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STEP = 20_000  # us


def _chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


NEWS = HEAD + _chunk(LIST.replace(b"3", b"9"))


class Discovery:
    """A discovery service; `how` is the response to each call: bytes, b"" for none, or "reset"."""

    def __init__(self) -> None:
        self.how: bytes | str = b""
        self.calls: list[asyncio.StreamWriter] = []

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if isinstance(self.how, str):
            writer.transport.abort()
        else:
            writer.write(self.how)
        self.calls.append(writer)


class Setting:
    """A watch of `discovery` with a manual clock."""

    def __init__(self, discovery: Discovery, **more: Any) -> None:
        self.now, self.discovery, self.dials, self.gate = T0, discovery, 0, asyncio.Event()
        self.gate.set()
        loop = asyncio.get_running_loop()

        async def dial(made: Any, host: str, port: int) -> Any:
            self.dials += 1
            await self.gate.wait()
            return await loop.create_connection(made, host, port)

        self.loop: Any = mock.Mock(create_task=loop.create_task, create_connection=dial)
        self.wheel = TimerWheel(lambda: self.now, lambda delay, fn: mock.Mock(), 1000)
        self.heard: list[tuple[int, int]] = []
        self.watch = DiscoveryWatch(
            ("127.0.0.1", discovery.port),
            DiscoveryMessage(0, True, ()),
            self.loop,
            self.wheel,
            lambda: self.now,
            Counters(),
            lambda *a, **k: None,
            lambda told: self.heard.append((told.index, self.now)),
            **more,
        )

    def dialled(self, times: int) -> bool:
        return self.dials >= times

    async def until(self, what: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not what():
                await asyncio.sleep(0)

    async def settle(self) -> None:
        """Wait until the current call has made all progress that is possible without advancing the clock."""
        stream, how = self.watch.stream, self.discovery.how
        if stream is None or stream.call.answered or not self.gate.is_set():
            return await asyncio.sleep(0)
        if how:
            said = isinstance(how, bytes) and how.startswith(HEAD)
            await self.until(
                lambda: stream.ended or (said and (stream.call.list_received or stream.call.partial))
            )
        else:
            await self.until(lambda: stream.ended or stream.call.connected_us is not None)

    async def goes_on(self, until: Callable[[], Any], most: int) -> None:
        """Advance the clock until `until` holds, by at most `most` microseconds."""
        end = self.now + most
        while not until():
            assert self.now < end, "the condition was not met in that time"
            self.now += STEP
            self.wheel.fire_due()
            await self.settle()


def _play(test: Callable[[Discovery], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        discovery = Discovery()
        await discovery.listen()
        try:
            await test(discovery)
        finally:
            discovery.server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


HALF = HEAD + _chunk(LIST[:20])
WAYS: dict[str, bytes | str] = {
    "refused": b"",
    "no": NO,
    "no without Retry-After": NO.replace(b"Retry-After: 30\r\n", b""),
    "hung": b"",
    "hung dial": b"",
    "reset": "reset",
    "no HTTP": b"noise\r\n\r\n",
    "no list": HEAD + _chunk(b"[1]\n"),
    "half a list": HALF,
    "silent": HEAD + _chunk(LIST),
}


@pytest.mark.parametrize("failed", [1, 4])
@pytest.mark.parametrize("way", WAYS)
def test_whatever_call_failed_changes_are_known_in_time(way: str, failed: int) -> None:
    """One of 200 processes: the service recovers just after a call was made. Whatever becomes of that call, a
    change is known within the bound of 6 s, less the 2 s for which a call may queue at the service."""

    async def test(discovery: Discovery) -> None:
        of = Setting(discovery, fleet_size=200)
        discovery.how = WAYS[way]
        if way == "hung dial":
            of.gate.clear()
        if way == "refused":  # no service listens at this address
            with socket.create_server(("127.0.0.1", 0)) as free:
                of.watch.address = ("127.0.0.1", free.getsockname()[1])
        of.watch.open()
        await of.settle()
        for k in range(2, failed + 1):
            await of.goes_on(partial(of.dialled, k), 8_000_000)
        back, dials, discovery.how = of.now, of.dials, NEWS
        of.watch.address = ("127.0.0.1", discovery.port)
        await of.goes_on(lambda: of.dials > dials, MAX_CALL_GAP_US + STEP)  # a hung call is abandoned first
        of.gate.set()
        await of.goes_on(lambda: of.heard and of.heard[-1][0] == 9, STEP)
        assert of.heard[-1][1] - back <= MAX_CALL_GAP_US + 2 * STEP
        of.watch.close()

    _play(test)


def test_a_connection_that_is_established_late_is_taken() -> None:
    async def test(discovery: Discovery) -> None:
        of = Setting(discovery, fleet_size=200)
        of.gate.clear()
        discovery.how = NEWS
        of.watch.open()
        await of.goes_on(lambda: of.now >= T0 + 1_500_000, 2_000_000)
        of.gate.set()
        await of.goes_on(lambda: of.heard, STEP)
        assert of.dials == 1

    _play(test)


@pytest.mark.parametrize("agent", [None, True])
def test_the_return_of_an_agent_is_seen_within_a_second(agent: bool | None) -> None:
    """With few processes this holds from the first call, with many once an agent has been detected."""

    async def test(discovery: Discovery) -> None:
        of = Setting(discovery, fleet_size=200 if agent else 5, expects_agent=True, is_agent=agent)
        of.watch.start()
        await of.settle()
        for k in range(2, 9):
            await of.goes_on(partial(of.dialled, k), 750_000)
        back, discovery.how = of.now, NEWS
        await of.goes_on(lambda: of.heard, 900_000)
        assert of.heard[-1][1] - back <= 800_000

    _play(test)


def test_a_call_that_was_cancelled_is_listened_to_and_a_no_spares_the_service() -> None:
    """The service was taken for an agent because it once answered quickly."""

    async def test(discovery: Discovery) -> None:
        of = Setting(discovery, fleet_size=200, expects_agent=True, is_agent=True)
        of.watch.open()
        await of.settle()
        await of.until(lambda: discovery.calls)
        await of.goes_on(lambda: of.dials >= 3, 1_600_000)
        discovery.calls[0].write(NO)
        await of.until(lambda: of.watch.pacing.is_agent is False)
        assert of.watch.late_stream is None
        dials = of.dials
        await of.goes_on(lambda: of.now > T0 + 4_000_000, 3_000_000)
        assert of.dials <= dials + 1  # at most the call that was scheduled already
        of.watch.close()

    _play(test)


def test_a_list_that_comes_to_a_call_that_was_cancelled_is_taken_and_the_others_left() -> None:
    async def test(discovery: Discovery) -> None:
        of = Setting(discovery, fleet_size=5, expects_agent=True)
        of.watch.open()
        await of.settle()
        await of.until(lambda: discovery.calls)
        await of.goes_on(lambda: of.dials >= 2, 800_000)
        discovery.calls[0].write(NEWS)
        await of.until(lambda: of.heard)
        dials = of.dials
        await of.goes_on(lambda: of.now >= T0 + 3_000_000, 3_000_000)
        assert of.dials == dials and of.watch.late_stream is None
        discovery.calls[0].write(_chunk(LIST))
        await of.until(lambda: len(of.heard) == 2)

    _play(test)


def test_who_answers_is_kept_for_the_next_process(tmp_path: Any) -> None:
    async def test(discovery: Discovery) -> None:
        shared = SharedState(tmp_path)
        assert shared.agent_seen_before() is None and SharedState(None).agent_seen_before() is None
        # The hint is stored or removed when a list is received; a rejection leaves it unchanged.
        for how, agent in ((NEWS, True), (NO, True), (NEWS, None)):
            of = Setting(
                discovery,
                fleet_size=40,
                expects_agent=True,
                is_agent=shared.agent_seen_before(),
                on_agent_detected=shared.record_agent,
            )
            if (how, agent) == (NEWS, None):
                of.watch.pacing.is_agent = False
            discovery.how = how
            of.watch.open()
            await of.settle()
            assert shared.agent_seen_before() is agent
            of.watch.close()

    _play(test)
