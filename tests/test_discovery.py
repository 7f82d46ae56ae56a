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


def _watch_for(answer: bytes, seconds: float) -> tuple[int, Counters]:
    """Watch a service that sends `answer` to each call; return the calls made in `seconds`, and counters."""
    call_count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal call_count
        call_count += 1
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
    return call_count, counters


def test_rejection_does_not_reset_the_backoff() -> None:
    """If each 503 reset the backoff, the delay would stay at 0.1 s, with which 28 restarted processes made
    3,740 rejected calls in 12 s. With a delay that doubles from 0.1 s, at most 4 or 5 fit into 1.5 s."""
    call_count, counters = _watch_for(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 1.5)
    assert 2 <= call_count <= 6 and counters["discovery_updates"] == 0


def test_retry_after_is_respected() -> None:
    answer = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
    call_count, _ = _watch_for(answer, 0.8)
    assert call_count == 1


def test_received_list_resets_the_backoff() -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LIST), LIST)
    call_count, counters = _watch_for(answer, 1.0)
    # After each stream the next call follows within 0.1 s.
    assert counters["discovery_updates"] == call_count >= 8


# The bound on the time until a change is known, on a manual clock

REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
RESPONSE_HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STEP_US = 20_000


def _chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


NEW_LIST = RESPONSE_HEADERS + _chunk(LIST.replace(b"3", b"9"))


class Discovery:
    """A discovery service; `response` is sent to each call: bytes, b"" for none, or "reset"."""

    def __init__(self) -> None:
        self.response: bytes | str = b""
        self.calls: list[asyncio.StreamWriter] = []

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if isinstance(self.response, str):
            writer.transport.abort()
        else:
            writer.write(self.response)
        self.calls.append(writer)


class WatchHarness:
    """A watch of `discovery` with a manual clock."""

    def __init__(self, discovery: Discovery, **options: Any) -> None:
        self.now, self.discovery, self.dials, self.dials_allowed = T0, discovery, 0, asyncio.Event()
        self.dials_allowed.set()
        loop = asyncio.get_running_loop()

        async def dial(protocol_factory: Any, host: str, port: int) -> Any:
            self.dials += 1
            await self.dials_allowed.wait()
            return await loop.create_connection(protocol_factory, host, port)

        self.loop: Any = mock.Mock(create_task=loop.create_task, create_connection=dial)
        self.wheel = TimerWheel(lambda: self.now, lambda delay, fn: mock.Mock(), 1000)
        self.received_lists: list[tuple[int, int]] = []
        self.watch = DiscoveryWatch(
            ("127.0.0.1", discovery.port),
            DiscoveryMessage(0, True, ()),
            self.loop,
            self.wheel,
            lambda: self.now,
            Counters(),
            lambda *a, **k: None,
            lambda message: self.received_lists.append((message.index, self.now)),
            **options,
        )

    def has_dialled(self, times: int) -> bool:
        return self.dials >= times

    async def wait_for(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0)

    async def settle(self) -> None:
        """Wait until the current call has made all progress that is possible without advancing the clock."""
        stream, response = self.watch.stream, self.discovery.response
        if stream is None or stream.call.answered or not self.dials_allowed.is_set():
            return await asyncio.sleep(0)
        if response:
            sends_list = isinstance(response, bytes) and response.startswith(RESPONSE_HEADERS)
            await self.wait_for(
                lambda: stream.ended or (sends_list and (stream.call.list_received or stream.call.partial))
            )
        else:
            await self.wait_for(lambda: stream.ended or stream.call.connected_us is not None)

    async def advance_until(self, condition: Callable[[], Any], limit_us: int) -> None:
        """Advance the clock until `condition` holds, by at most `limit_us` microseconds."""
        end = self.now + limit_us
        while not condition():
            assert self.now < end, "the condition was not met in that time"
            self.now += STEP_US
            self.wheel.fire_due()
            await self.settle()


def _run(test: Callable[[Discovery], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        discovery = Discovery()
        await discovery.listen()
        try:
            await test(discovery)
        finally:
            discovery.server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


PARTIAL_LIST = RESPONSE_HEADERS + _chunk(LIST[:20])
FAILURES: dict[str, bytes | str] = {
    "refused": b"",
    "no": REJECTION,
    "no without Retry-After": REJECTION.replace(b"Retry-After: 30\r\n", b""),
    "hung": b"",
    "hung dial": b"",
    "reset": "reset",
    "no HTTP": b"noise\r\n\r\n",
    "no list": RESPONSE_HEADERS + _chunk(b"[1]\n"),
    "half a list": PARTIAL_LIST,
    "silent": RESPONSE_HEADERS + _chunk(LIST),
}


@pytest.mark.parametrize("failed_calls", [1, 4])
@pytest.mark.parametrize("failure", FAILURES)
def test_changes_are_known_in_time_after_any_failed_call(failure: str, failed_calls: int) -> None:
    """One of 200 processes: the service recovers just after a call was made. Whatever becomes of that call, a
    change is known within the bound of 6 s, less the 2 s for which a call may queue at the service."""

    async def test(discovery: Discovery) -> None:
        harness = WatchHarness(discovery, fleet_size=200)
        discovery.response = FAILURES[failure]
        if failure == "hung dial":
            harness.dials_allowed.clear()
        if failure == "refused":  # no service listens at this address
            with socket.create_server(("127.0.0.1", 0)) as free:
                harness.watch.address = ("127.0.0.1", free.getsockname()[1])
        harness.watch.open()
        await harness.settle()
        for k in range(2, failed_calls + 1):
            await harness.advance_until(partial(harness.has_dialled, k), 8_000_000)
        recovered_us, dials, discovery.response = harness.now, harness.dials, NEW_LIST
        harness.watch.address = ("127.0.0.1", discovery.port)
        # A hung call is abandoned first.
        await harness.advance_until(lambda: harness.dials > dials, MAX_CALL_GAP_US + STEP_US)
        harness.dials_allowed.set()
        await harness.advance_until(
            lambda: harness.received_lists and harness.received_lists[-1][0] == 9, STEP_US
        )
        assert harness.received_lists[-1][1] - recovered_us <= MAX_CALL_GAP_US + 2 * STEP_US
        harness.watch.close()

    _run(test)


def test_slowly_established_connection_is_used() -> None:
    async def test(discovery: Discovery) -> None:
        harness = WatchHarness(discovery, fleet_size=200)
        harness.dials_allowed.clear()
        discovery.response = NEW_LIST
        harness.watch.open()
        await harness.advance_until(lambda: harness.now >= T0 + 1_500_000, 2_000_000)
        harness.dials_allowed.set()
        await harness.advance_until(lambda: harness.received_lists, STEP_US)
        assert harness.dials == 1

    _run(test)


@pytest.mark.parametrize("agent", [None, True])
def test_recovered_agent_is_noticed_within_a_second(agent: bool | None) -> None:
    """With few processes this holds from the first call, with many once an agent has been detected."""

    async def test(discovery: Discovery) -> None:
        harness = WatchHarness(discovery, fleet_size=200 if agent else 5, expects_agent=True, is_agent=agent)
        harness.watch.start()
        await harness.settle()
        for k in range(2, 9):
            await harness.advance_until(partial(harness.has_dialled, k), 750_000)
        recovered_us, discovery.response = harness.now, NEW_LIST
        await harness.advance_until(lambda: harness.received_lists, 900_000)
        assert harness.received_lists[-1][1] - recovered_us <= 800_000

    _run(test)


def test_late_rejection_is_read_and_spares_the_service() -> None:
    """The service was taken for an agent because it once answered quickly."""

    async def test(discovery: Discovery) -> None:
        harness = WatchHarness(discovery, fleet_size=200, expects_agent=True, is_agent=True)
        harness.watch.open()
        await harness.settle()
        await harness.wait_for(lambda: discovery.calls)
        await harness.advance_until(lambda: harness.dials >= 3, 1_600_000)
        discovery.calls[0].write(REJECTION)
        await harness.wait_for(lambda: harness.watch.pacing.is_agent is False)
        assert harness.watch.late_stream is None
        dials = harness.dials
        await harness.advance_until(lambda: harness.now > T0 + 4_000_000, 3_000_000)
        assert harness.dials <= dials + 1  # at most the call that was scheduled already
        harness.watch.close()

    _run(test)


def test_late_list_is_used_and_other_calls_are_closed() -> None:
    async def test(discovery: Discovery) -> None:
        harness = WatchHarness(discovery, fleet_size=5, expects_agent=True)
        harness.watch.open()
        await harness.settle()
        await harness.wait_for(lambda: discovery.calls)
        await harness.advance_until(lambda: harness.dials >= 2, 800_000)
        discovery.calls[0].write(NEW_LIST)
        await harness.wait_for(lambda: harness.received_lists)
        dials = harness.dials
        await harness.advance_until(lambda: harness.now >= T0 + 3_000_000, 3_000_000)
        assert harness.dials == dials and harness.watch.late_stream is None
        discovery.calls[0].write(_chunk(LIST))
        await harness.wait_for(lambda: len(harness.received_lists) == 2)

    _run(test)


def test_detected_agent_is_stored_for_the_next_process(tmp_path: Any) -> None:
    async def test(discovery: Discovery) -> None:
        shared = SharedState(tmp_path)
        assert shared.found_agent_before() is None and SharedState(None).found_agent_before() is None
        # The hint is stored or removed when a list is received; a rejection leaves it unchanged.
        for response, agent in ((NEW_LIST, True), (REJECTION, True), (NEW_LIST, None)):
            harness = WatchHarness(
                discovery,
                fleet_size=40,
                expects_agent=True,
                is_agent=shared.found_agent_before(),
                on_agent_detected=shared.record_agent,
            )
            if (response, agent) == (NEW_LIST, None):
                harness.watch.pacing.is_agent = False
            discovery.response = response
            harness.watch.open()
            await harness.settle()
            assert shared.found_agent_before() is agent
            harness.watch.close()

    _run(test)
