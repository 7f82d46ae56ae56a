"""Streamed responses: cases that depend on the boundaries of reads, which a recorded exchange can't control,
and responses that outlast their request's deadline or never end."""

import unittest
from typing import Any
from unittest import mock

import httptools
import pytest

from tests.exchange import CONTENT, Exchange
from tests.helpers import T0, request_handler
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.net.streaming import (
    SIZED_EVICTION_AGE_US,
    STREAMING_THRESHOLD_US,
)
from umberlead.net.timeouts import WRITE_STALL_TIMEOUT_US
from umberlead.requests.types import Attempt, Reply
from umberlead.scheduling.events import AttemptResult

BODY = b"x" * 70_000
READER_PAUSE_US = 9_999_999
LONG_SILENCE_US = 25_000_000  # longer than any pause that the operators have seen of a server


class TestStreamedResponses(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.results = T0, []  # type: ignore[var-annotated]
        self.wheel = TimerWheel(lambda: self.now, lambda delay, fn: mock.Mock(), 1000)
        self.counters = Counters()
        self.clients = ClientGroup(9, lambda: self.now, self.counters, 0, 1 << 20, print)
        handler = request_handler()
        self.client = ServerConnection(handler, self.clients)
        self.client.connection_made(self._transport())
        self.client.data_received(b"GET /a HTTP/1.1\r\n\r\n")
        pool = mock.Mock(
            buffered_bytes=0,
            buffer_limit_bytes=1 << 20,
            max_response_bytes=1 << 20,
            max_header_bytes=4096,
            buffers_responses=False,
            connect_timeout_us=250_000,
            wheel=self.wheel,
            clock=lambda: self.now,
            counters=self.counters,
        )
        pool.lifecycle.attempt_ended = self._attempt_ended
        self.endpoint = EndpointConnection(pool, ("127.0.0.1", 1))
        self.endpoint.transport, self.endpoint.written = self._transport(), True
        incoming_request = mock.Mock(
            accepts_stream=True, call_id=b"call-1", payload=OutgoingRequest(b"GET", b"/a", [])
        )
        self.endpoint.attempt = Attempt(
            mock.Mock(incoming=incoming_request, answered=False), 0, "n0", T0, T0 + 10**6
        )

    def _transport(self) -> Any:
        transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_extra_info.return_value = None
        transport.get_write_buffer_size.return_value = 10
        return transport

    def _attempt_ended(self, attempt: Attempt, result: AttemptResult, reply: Reply) -> None:
        self.results.append(result)
        self.client.stream_response(200, reply.body_length, reply.body, reply.stream, self.results.append)

    def _eviction_rank(self) -> tuple[bool, int] | None:
        assert self.endpoint.stream is not None
        return self.endpoint.stream.eviction_rank()

    def _written_bytes(self) -> bytes:
        transport: Any = self.client.transport
        calls = transport.method_calls
        return b"".join(
            b"".join(call.args[0]) if call[0] == "writelines" else call.args[0]
            for call in calls
            if call[0] in ("write", "writelines")
        )

    def test_response_within_one_read_is_completed_by_it(self) -> None:
        """A response that starts and ends in the same read must not stay open until its idle timeout."""
        self.endpoint.data_received(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
        )
        self.assertEqual(self.results, [AttemptResult.OK, True])
        head, _, body = self._written_bytes().partition(b"\r\n\r\n")
        self.assertEqual(head, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked")
        self.assertEqual(body, b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY))
        self.assertFalse(self.endpoint.streaming)

    def test_response_malformed_within_its_first_read_is_aborted_at_once(self) -> None:
        """The attempt has ended, but its stream must not stay open until the next read, or for 10 s."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.endpoint.data_received(head + b"%x\r\n%s\r\nno size\r\n" % (len(BODY), BODY))
        self.assertEqual(self.results, [AttemptResult.OK, False])
        client: Any = self.client.transport
        client.abort.assert_called_once()
        self.assertNotIn(b"0\r\n\r\n", self._written_bytes()[-5:])

    # Guards against a cut answer of which the log says neither whose it was nor why it ended.
    def test_aborted_response_is_logged_with_its_ids_and_reason(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        self.now += 1_500_000
        self.endpoint.connection_lost(None)
        pool: Any = self.endpoint.pool
        event, fields = pool.log.call_args.args[0], pool.log.call_args.kwargs
        self.assertEqual(event, "response_stream_aborted")
        self.assertEqual((fields["call"], fields["endpoint"]), ("call-1", "n0"))
        self.assertEqual((fields["reason"], fields["forwarded_bytes"]), ("endpoint_closed", len(BODY)))
        self.assertEqual((fields["silent_ms"], fields["past_deadline_ms"]), (1500, 500))
        self.assertEqual(self.counters["node_answers_broke_off_endpoint_closed"], 1)

    def test_interim_response_does_not_begin_the_answer(self) -> None:
        """An overdue attempt may still be cancelled then."""
        self.endpoint.data_received(b"HTTP/1.1 102 Processing\r\n\r\n")
        self.assertFalse(self.endpoint.response.started)
        self.endpoint.data_received(b"HTTP/1.1 200")
        self.assertTrue(self.endpoint.response.started)

    # Guards against an endpoint whose very small pieces each cost a write, for seconds in one turn.
    def test_pieces_of_one_read_are_forwarded_in_one_write(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        transport: Any = self.client.transport
        writes = transport.writelines.call_count
        assert self.endpoint.stream is not None
        for _ in range(5):
            self.endpoint.stream.write(b"xy")
        self.assertEqual(transport.writelines.call_count, writes)
        self.endpoint.stream.read_ended()
        self.assertEqual(transport.writelines.call_count, writes + 1)
        self.assertTrue(self._written_bytes().endswith(b"xy" * 5))

    # Guards against memory of long answers that grows after their reader has stopped, and counts in no limit.
    def test_what_a_blocked_reader_is_sent_counts_as_buffered_memory(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        transport: Any = self.client.transport
        transport.get_write_buffer_size.return_value = 1000
        self.client.pause_writing()
        self.assertEqual(self.clients.buffered_bytes, 1000)
        transport.get_write_buffer_size.return_value = 3000
        self.endpoint.data_received(b"x" * 2000)
        self.assertEqual(self.clients.buffered_bytes, 3000)
        self.client.resume_writing()
        self.assertEqual(self.clients.buffered_bytes, 0)

    def test_slow_response_without_a_length_is_streamed_before_64_kib(self) -> None:
        """Clients measure the time to the first bytes, and buffering 64 KiB may take up to a second."""
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        self.now += STREAMING_THRESHOLD_US
        self.endpoint.data_received(chunk)
        self.assertEqual(self.results, [])
        self.now += 1000
        self.endpoint.data_received(chunk)
        self.assertEqual(self.results, [AttemptResult.OK])
        self.assertIn(b"c00\r\n" + b"x" * 3072, self._written_bytes())

    def test_slow_reader_pauses_reading_and_is_not_aborted(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        endpoint_transport: Any = self.endpoint.transport
        self.client.pause_writing()
        endpoint_transport.pause_reading.assert_called_once()
        for _ in range(5):
            self.now += READER_PAUSE_US
            self.client.transport.get_write_buffer_size.return_value -= 1  # type: ignore[attr-defined]
            self.wheel.fire_due()
            self.clients.close_expired()
        self.assertEqual(self.results, [AttemptResult.OK])
        self.client.resume_writing()
        endpoint_transport.resume_reading.assert_called_once()
        self.endpoint.data_received(BODY)
        self.assertEqual(self.results, [AttemptResult.OK, True])

    def test_stalled_reader_times_out_and_stalled_endpoint_does_not(self) -> None:
        transport: Any = self.client.transport
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        self.now += LONG_SILENCE_US
        self.wheel.fire_due()
        self.clients.close_expired()
        transport.abort.assert_not_called()
        self.client.pause_writing()
        self.clients.close_expired()
        self.now += WRITE_STALL_TIMEOUT_US
        self.clients.close_expired()
        transport.abort.assert_called_once()
        self.assertEqual(self.results, [AttemptResult.OK])

    # Guards against a limit on the pauses of an endpoint, before or past the request's deadline.
    def test_endpoint_of_a_streamed_response_may_pause_for_any_time(self) -> None:
        """A response of unknown length; it ends when its connection does, as an incomplete one."""
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        for self.now in (T0 + STREAMING_THRESHOLD_US + 1000, T0 + 10**6 - 1000):
            self.endpoint.data_received(chunk)
        for pause_us in (650_000, 1_400_000, 10_000_000, LONG_SILENCE_US):
            self.now += pause_us
            self.wheel.fire_due()
            self.assertEqual(self.results, [AttemptResult.OK])
            self.endpoint.data_received(chunk)
        self.endpoint.connection_lost(None)
        self.assertEqual(self.results, [AttemptResult.OK, False])

    def test_response_with_a_length_is_evicted_last(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        self.now = T0 + 10**6 + SIZED_EVICTION_AGE_US - 1
        self.assertIsNone(self._eviction_rank())
        self.now += 1
        rank = self._eviction_rank()
        assert rank == (True, T0) and (False, self.now) < rank

    # Guards against an answer that its endpoint still sends and that gives way before one that has stalled.
    def test_response_whose_endpoint_has_been_silent_for_longer_is_evicted_first(self) -> None:
        self.endpoint.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        self.now = T0 + 10**6 + SIZED_EVICTION_AGE_US
        silent_rank = self._eviction_rank()
        self.endpoint.data_received(b"x")
        moving_rank = self._eviction_rank()
        self.client.pause_writing()
        self.now += 1000
        paused_rank = self._eviction_rank()
        assert silent_rank and moving_rank and paused_rank
        self.assertLess(silent_rank, moving_rank)
        self.assertLess(moving_rank, paused_rank)


# Complete processes on real sockets, with a manual clock. A response that progresses and has an end is
# completed, however slow; one that never ends prevents neither eviction at limits nor the process's shutdown.

REQUEST_BUDGET_US = 8_000_000  # time budget of the clients' requests, in microseconds
HEALTH_CHECK = "client {0} platform\n{0} >\n| GET /healthz HTTP/1.1\n|\n{0} <\n& well\n"
READ_REQUEST = "client {0} platform\n{0} >\n& read {0}1 / {1}\n"
READ_RESPONSE = "n{1} <\n& got {0}1 / {1}\nn{1} >\n& x\n{0} <\n& x\n"
FRAMING_HEADERS = {
    "told": "| Content-Length: 120000\n",
    "chunked": "| Transfer-Encoding: chunked\n",
    "bare": "",
}


class ResponseBody:
    """A response body as a client parses it from `raw`, the bytes that it has received."""

    def __init__(self, raw: bytes) -> None:
        self.got, self.complete = b"", False
        httptools.HttpResponseParser(self).feed_data(raw)

    def on_body(self, body: bytes) -> None:
        self.got += body

    def on_message_complete(self) -> None:
        self.complete = True


class StreamingExchange(Exchange):
    """An exchange with further steps: `NAME has N` waits until the client has N bytes of the content, `NAME
    whole N` until its response is also complete, `NAME cut` until it ends visibly incomplete. `places nodes
    N` and `places clients N` set connection limits; `over` releases the process's resources."""

    async def _step(self, words: list[str], lines: list[str]) -> None:
        match words:
            case ["places", which, number]:
                front = await self._start()
                connections: Any = front.pool if which == "nodes" else front.client_groups[0]
                connections.max_connections = int(number)
            case ["over"]:
                front, self.front = await self._start(), None
                front.release_resources()
            case [name, "has" | "whole", number]:
                peer = self.peers[name]
                while (
                    len((body := ResponseBody(peer.got)).got) < int(number)
                    or (words[1] == "whole") > body.complete
                ):
                    assert not peer.ended, f"ended with {len(body.got)} bytes"
                    await peer.more(f"{number} bytes")
                assert body.got == CONTENT[: int(number)]
            case [name, "cut"]:
                peer = self.peers[name]
                while not peer.ended:
                    await peer.more("the end")
                body = ResponseBody(peer.got)
                assert CONTENT.startswith(body.got) and not body.complete
                head = peer.got.partition(b"\r\n\r\n")[0]
                assert head.startswith(b"HTTP/1.1 200")
                framed = b"Content-Length" in head or b"chunked" in head
                assert framed or isinstance(peer.fault, ConnectionResetError)
            case _:
                await super()._step(words, lines)


def play(*parts: str) -> None:
    StreamingExchange("".join(parts)).play()


def body_piece(n: int, way: str, begin: int, end: int) -> str:
    raw = f"@ {begin} {end}\n"
    return f"n{n} >\n" + (f"| {end - begin:x}\n{raw}|\n" if way == "chunked" else raw)


def start_response(name: str, n: int, way: str, first: int = 70_000, version: str = "1.1") -> str:
    """A new client sends a request to endpoint `n`, which sends the first bytes of a streamed response."""
    headers = f"| X-Call-Id: {name}1\n| X-Plan: gold\n"
    request_start = (
        f"| GET /read?block=7f3a9c21e0b4d655 HTTP/{version}\n{headers}| X-Budget: {REQUEST_BUDGET_US / 1e6}\n"
    )
    return (
        f"client {name} platform\n{name} >\n{request_start}| X-IO: volume=b4,units=1,shard={n}\n|\nn{n} <\n"
        f"| GET {{target}} HTTP/1.1\n| Host: service.internal\n{headers}| X-IO: volume=b4,units=1,shard={n}\n"
        f"| X-Budget: {{~}}\n|\nn{n} >\n| HTTP/1.1 200 OK\n{FRAMING_HEADERS[way]}|\n"
        + body_piece(n, way, 0, first)
    )


def end_response(n: int, way: str) -> str:
    return {"told": "", "chunked": f"n{n} >\n| 0\n|\n", "bare": f"n{n} finish\n"}[way]


def endpoints(count: int) -> str:
    return f"set settings.extra.nShards {count}\n" + "".join(f"node n{n} {n}:script\n" for n in range(count))


def progress(names: str, ways: list[str], steps: int = 4) -> str:
    """After each of `steps` pauses of 5 s, each response progresses by 10,000 bytes."""
    return "".join(
        "clock 5000000\n"
        + "".join(
            body_piece(n, way, offset, offset + 10_000) + f"{name} has {offset + 10_000}\n"
            for n, (name, way) in enumerate(zip(names, ways, strict=True))
        )
        for offset in range(70_000, 70_000 + steps * 10_000, 10_000)
    )


@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_progressing_response_continues_past_its_deadline(way: str) -> None:
    """A streamed response must not be aborted at the request's deadline while the endpoint is sending it."""
    play(
        endpoints(1),
        start_response("a", 0, way),
        "a has 70000\n",
        progress("a", [way]),
        body_piece(0, way, 110_000, 120_000),
        end_response(0, way),
        "a whole 120000\ncounter node_answers_broke_off 0\n",
    )


# Guards against a long answer that the front cuts off because its endpoint pauses, at any time.
@pytest.mark.parametrize("way", FRAMING_HEADERS)
@pytest.mark.parametrize("silent_before_us", [7_900_000, 3_000_000, 500_000, 100_000])
def test_silent_endpoint_of_a_long_response_ends_only_with_its_client(
    way: str, silent_before_us: int
) -> None:
    """The endpoint sends parts of a long response every 0.5 s, the last one some time before the deadline.

    It then says nothing for longer than any pause seen, sends a part, and says nothing again; its connection
    ends when the client's does, and not before.
    """
    steps = "".join(
        "clock 500000\n" + body_piece(0, way, 70_000 + n, 70_001 + n) + f"a has {70_001 + n}\n"
        for n in range((REQUEST_BUDGET_US - 15_000 - silent_before_us) // 500_000)
    )
    rest_us = (REQUEST_BUDGET_US - 15_000 - silent_before_us) % 500_000
    last = 70_000 + steps.count("clock")
    play(
        endpoints(1),
        start_response("a", 0, way),
        "a has 70000\n",
        steps,
        f"clock {rest_us}\n",
        body_piece(0, way, last, last + 10),
        f"a has {last + 10}\n",
        f"clock {LONG_SILENCE_US}\n",
        HEALTH_CHECK.format("b"),
        "counter node_answers_broke_off 0\n",
        body_piece(0, way, last + 10, last + 20),
        f"a has {last + 20}\n",
        f"clock {LONG_SILENCE_US}\n",
        HEALTH_CHECK.format("c"),
        "counter node_answers_broke_off 0\n",
        "a close\nn0 eof\n",
    )


@pytest.mark.parametrize("way", ["chunked", "bare"])
def test_response_in_small_pieces_continues_past_its_deadline(way: str) -> None:
    play(
        endpoints(1),
        start_response("a", 0, way, 1000),
        HEALTH_CHECK.format("b"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n",
        body_piece(0, way, 1000, 2000),
        "a has 2000\n",
        f"clock {REQUEST_BUDGET_US - 100_000}\n",
        body_piece(0, way, 2000, 3000),
        "a has 3000\n",
        "clock 100000\n",
        body_piece(0, way, 3000, 4000),
        end_response(0, way),
        "a whole 4000\n",
    )


def test_reset_or_missing_last_chunk_aborts_the_response() -> None:
    play(endpoints(1), start_response("a", 0, "bare"), "a has 70000\nn0 reset\na cut\n")
    play(endpoints(1), start_response("a", 0, "chunked", version="1.0"), "a has 70000\nn0 finish\na cut\n")


@pytest.mark.parametrize("way", ["chunked", "bare"])
def test_response_above_the_protocol_limit_is_aborted(way: str) -> None:
    play(
        "patch umberlead.net.streaming MAX_STREAM_BYTES 100000\n",
        endpoints(1),
        start_response("a", 0, way),
        "a has 70000\n",
        body_piece(0, way, 70_000, 100_000),
        "a has 100000\ncounter node_answers_broke_off 0\n",
        body_piece(0, way, 100_000, 120_000),
        "a cut\ncounter node_answers_broke_off 1\n",
    )


@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_unfinished_response_does_not_delay_the_shutdown(way: str) -> None:
    """Other requests are answered, the process exits before SIGKILL, and the client sees an incomplete
    response."""
    play(
        endpoints(2),
        start_response("a", 0, way),
        "a has 70000\n",
        "client b platform\nb >\n& read b1 / 1\nn1 <\n& got b1 / 1\nsignal TERM\n",
        HEALTH_CHECK.format("c"),
        "clock 3510000\nb <\n& failing\n",
        body_piece(0, way, 70_000, 80_000),
        "a has 80000\nclock 100000\nends\nover\na cut\n",
    )


def test_overdue_response_is_evicted_when_endpoint_connections_are_short() -> None:
    """Responses without a length are evicted first, the oldest of them first; one with a length stays."""
    ways = ["told", "chunked", "bare"]
    started = [
        start_response(a, n, w) + f"{a} has 70000\n" for n, (a, w) in enumerate(zip("abc", ways, strict=True))
    ]
    play(
        endpoints(5),
        "places nodes 3\n",
        *started,
        READ_REQUEST.format("x", 3),
        "x <\n& refused\n",
        "counter node_answers_broke_off 0\n",
        progress("abc", ways),
        "counter node_answers_broke_off 0\n",
        READ_REQUEST.format("d", 3),
        "b cut\n",
        READ_RESPONSE.format("d", 3),
        READ_REQUEST.format("e", 4),
        READ_RESPONSE.format("e", 4),
        body_piece(2, "bare", 110_000, 115_000),
        "c has 115000\n",
        body_piece(0, "told", 110_000, 120_000),
        "a whole 120000\ncounter node_answers_gave_way 1\n",
    )


def test_lowered_limit_closes_only_the_surplus_connections() -> None:
    play(
        endpoints(3),
        *(READ_REQUEST.format(a, n) + READ_RESPONSE.format(a, n) for n, a in enumerate("abc")),
        "places nodes 2\nclock 100000\nn0 eof\n",
        READ_REQUEST.format("d", 1),
        READ_RESPONSE.format("d", 1),
        READ_REQUEST.format("e", 2),
        READ_RESPONSE.format("e", 2),
        "counter node_connections_opened 3\n",
    )


def test_overdue_response_is_evicted_when_client_slots_are_short() -> None:
    ways = ["told", "chunked"]
    started = [
        start_response(a, n, w) + f"{a} has 70000\n" for n, (a, w) in enumerate(zip("ab", ways, strict=True))
    ]
    play(
        endpoints(2),
        *started,
        "places clients 2\nclient c platform\nc >\n| GET /healthz HTTP/1.1\n|\nc <\n"
        "| HTTP/1.1 503 Service Unavailable\n| Retry-After: 0.5\n| Content-Length: {~}\n"
        "| Connection: close\n|\n~ refused: too many connections\nc finish\n",
        progress("ab", ways),
        "counter node_answers_broke_off 0\n",
        "client d platform\nd >\n| GET /healthz HTTP/1.1\n|\nb cut\n",
        "d <\n| HTTP/1.1 200 OK\n| Content-Length: 3\n| Connection: close\n|\n~ ok\n",
        body_piece(0, "told", 110_000, 120_000),
        "a whole 120000\ncounter node_answers_gave_way 1\n",
    )


def test_pause_within_the_response_to_a_write_is_tolerated() -> None:
    """If the endpoint stops for good, the write fails at its deadline."""
    play(
        "set settings.bounds.dialTimeout 60000\nnode n0 0:script\nclient a platform\n",
        "a >\n& write a1 / 0\nn0 <\n& sent a1 / 0\n",
        "n0 >\n| HTTP/1.1 200 OK\n| Content-Length: 3\n|\n= a\n",
        HEALTH_CHECK.format("b"),
        "clock 100000\n",
        "n0 >\n= bc\na <\n& three abc\n",
        "clock 10000\na >\n& write a2 / 0\nn0 <\n& sent a2 / 0\n",
        "n0 >\n| HTTP/1.1 200 OK\n| Content-Length: 3\n|\n= a\n",
        HEALTH_CHECK.format("c"),
        "clock 650000\n",
        HEALTH_CHECK.format("d"),
        "clock 15000000\na <\n& failed\n",
    )
