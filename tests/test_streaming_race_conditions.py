"""Races of streamed responses and of uploads that arrive in parts, each order forced; docs/crossings.md lists
them. Complete fronts run on real sockets with a manual clock; responses and steps of the script are those of
test_streamed_responses.py."""

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from tests.exchange import PATIENCE, Peer
from tests.test_streamed_responses import (
    FRAMING_HEADERS,
    HEALTH_CHECK,
    LONG_SILENCE_US,
    READ_REQUEST,
    READ_RESPONSE,
    REQUEST_BUDGET_US,
    StreamingExchange,
    body_piece,
    end_response,
    endpoints,
    start_response,
)
from umberlead.net.client_connections import ACCEPT_GRACE_US
from umberlead.net.server_connection import ServerConnection
from umberlead.net.streaming import (
    MAX_HOLD_US,
    STREAMING_THRESHOLD_US,
    UNSIZED_EVICTION_AGE_US,
)
from umberlead.net.timeouts import LINGER_TIMEOUT_US, WRITE_STALL_TIMEOUT_US

SMALL_BUFFER = 4096  # bytes, of the socket buffers between the front and a client that reads slowly


class StreamingRaceExchange(StreamingExchange):
    """An exchange with further steps:

    slow client NAME       connects a client with small socket buffers; it reads nothing until `NAME reads`,
                           and stops reading with `NAME rests`
    holds N                waits until N streamed responses are paused because their clients do not read
    NAME reads a reset     expects a reset and no orderly close; reads the socket directly, because the event
                           loop may report one as the other
    NAME half read         waits until the front has read a part of a request from the client
    NAME in bytes          sends the lines, one byte in each iteration of the loop
    clients N              waits until N clients are connected
    NAME unread            waits until the front has received a complete response for the client that the
                           client has not read
    NAME sends, then evict the lines have arrived and are not read when a slot is needed: no client is evicted
    NAME evict, then sends a client is evicted, and the lines arrive in the same iteration of the loop
    NAME sends, then clock N  the lines have arrived and are not read when the clock advances by N and timers
                           fire
    NAME sends, then sweep N  the lines have arrived and are not read when the clock advances by N and expired
                           connections are closed"""

    async def _step(self, words: list[str], lines: list[str]) -> None:
        match words:
            case ["slow", "client", name]:
                await self._slow_client(name)
            case [name, "reads"]:
                self.peers[name].transport.resume_reading()
            case [name, "rests"]:
                self.peers[name].transport.pause_reading()
            case [name, "reads", "a", "reset"]:
                await self._reads_a_reset(name)
            case ["holds", number]:
                pool = (await self._start()).pool
                await self._until(
                    lambda: sum(conn.stream is not None and conn.stream.paused for conn in pool.slots)
                    == int(number)
                )
            case [name, "half", "read"]:
                conn = await self._wait_for_connection(name)
                await self._until(lambda: conn.partial_request is not None)
            case [name, "in", "bytes"]:
                for byte in b"".join(self._bytes(line, False) for line in lines):
                    self.peers[name].transport.write(bytes([byte]))
                    await asyncio.sleep(0)
            case ["clients", number]:
                clients = (await self._start()).client_groups[0]
                await self._until(lambda: len(clients.slots) == int(number))
            case [name, "unread"]:
                conn = await self._wait_for_connection(name)
                await self._until(lambda: conn.write_blocked and conn.body_source is None)
            case [name, "sends,", "then", "evict"]:
                self._write_directly(name, lines)
                assert not await self._evict()
            case [name, "evict,", "then", "sends"]:
                assert await self._evict()
                self._write_directly(name, lines)
            case [name, "sends,", "then", "clock", number]:
                await self._sends_then_clock(name, lines, int(number))
            case [name, "sends,", "then", "sweep", number]:
                front = await self._start()
                self._write_directly(name, lines)
                self.clock.added_us += int(number)
                front.client_groups[0].close_expired()
            case _:
                await super()._step(words, lines)

    async def _slow_client(self, name: str) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.connect((await self._start()).listeners[0].address)
        loop = asyncio.get_running_loop()
        _, self.peers[name] = await loop.create_connection(Peer, sock=sock)
        self.peers[name].transport.pause_reading()
        self.peers[name].transport.write(b"\r\n")  # an empty line is allowed before a request
        conn = await self._wait_for_connection(name)
        server_socket = conn.transport.get_extra_info("socket")
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)

    async def _reads_a_reset(self, name: str) -> None:
        with socket.socket(
            fileno=os.dup(self.peers[name].transport.get_extra_info("socket").fileno())
        ) as sock:
            end = asyncio.get_running_loop().time() + PATIENCE
            while asyncio.get_running_loop().time() < end:
                try:
                    assert sock.recv(1 << 20), "an orderly close"
                except BlockingIOError:
                    await asyncio.sleep(0.001)
                except ConnectionResetError:
                    return
        raise AssertionError("no reset")

    async def _wait_for_connection(self, name: str) -> ServerConnection:
        """Return the front's end of a client's connection; it is accepted once its first bytes have
        arrived."""
        clients = (await self._start()).client_groups[0]
        port = self.peers[name].transport.get_extra_info("sockname")[1]

        def matching_connections() -> list[ServerConnection]:
            conns = [c for c in clients.slots if isinstance(c, ServerConnection)]
            assert len(conns) == len(clients.slots)
            return [c for c in conns if c.transport.get_extra_info("peername")[1] == port]

        await self._until(lambda: bool(matching_connections()))
        return matching_connections()[0]

    async def _until(self, condition_met: Callable[[], bool]) -> None:
        end = asyncio.get_running_loop().time() + PATIENCE
        while not condition_met():
            assert asyncio.get_running_loop().time() < end, "timed out waiting"
            await asyncio.sleep(0.001)

    def _write_directly(self, name: str, lines: list[str]) -> None:
        """Write to the socket directly: the bytes are in the kernel before the front runs again, and can't be
        read before that."""
        raw = b"".join(self._bytes(line, False) for line in lines)
        peer = self.peers[name] if name in self.peers else self.nodes[name].peers[-1]
        assert os.write(peer.transport.get_extra_info("socket").fileno(), raw) == len(raw)

    async def _sends_then_clock(self, name: str, lines: list[str], advance_us: int) -> None:
        front = await self._start()
        self._write_directly(name, lines)
        self.clock.added_us += advance_us
        front.wheel.fire_due()

    async def _evict(self) -> bool:
        clients = (await self._start()).client_groups[0]
        return clients.evict(clients.evictable())


def play(*parts: str) -> None:
    StreamingRaceExchange("".join(parts)).play()


# Requests that arrive in parts, on a connection that is to be evicted

WRITE_REQUEST = "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| Content-Length: 4\n|\n"
WRITE_RESPONSE = "a <\n& done\n"
EVICTION_RESPONSE = (
    "a <\n| HTTP/1.1 503 Service Unavailable\n| Retry-After: 0.5\n| Content-Length: 30\n"
    "| Connection: close\n|\n~ refused: too many connections\n"
)
HEALTH_CHECK_AND_CLOSE = (
    "client {0} platform\n{0} >\n| GET /healthz HTTP/1.1\n|\n{0} <\n"
    "| HTTP/1.1 200 OK\n| Content-Length: 3\n| Connection: close\n|\n~ ok\n"
)
PARTIAL_REQUESTS = {
    "a byte": "= P\n",
    "half a head": "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n= X-Call-\n",
    "a head": WRITE_REQUEST,
    "half a body": WRITE_REQUEST + "= ab\n",
}
ONE_ENDPOINT_AND_CLIENT = "node n0 0\nclient a platform\n"
PAST_GRACE = f"clock {ACCEPT_GRACE_US + 10_000}\n"


@pytest.mark.parametrize("partial_request", PARTIAL_REQUESTS)
def test_partly_read_request_is_rejected_when_its_connection_is_evicted(partial_request: str) -> None:
    """The connection was closed without a response, as an idle one is, and the request that had begun was
    lost."""
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "a >\n",
        PARTIAL_REQUESTS[partial_request],
        "a half read\nplaces clients 1\n",
        PAST_GRACE,
        HEALTH_CHECK_AND_CLOSE.format("b"),
        EVICTION_RESPONSE,
        "a eof\ncounter clients_evicted 1\nn0 ran PUT 0\n",
    )


def test_partly_read_request_is_rejected_when_the_limit_is_lowered() -> None:
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "a >\n",
        WRITE_REQUEST,
        "a half read\n",
        PAST_GRACE,
        "places clients 0\n",
        "clock 100000\n",
        EVICTION_RESPONSE,
        "a eof\n",
    )


def test_unread_part_of_a_request_protects_its_connection_from_eviction() -> None:
    """A part has arrived and is not read when a slot is needed in the same iteration of the loop: the
    connection is not evicted, and the request is served."""
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "a >\n",
        WRITE_REQUEST,
        "= ab\n",
        "a half read\n",
        PAST_GRACE,
        "a sends, then evict\n= cd\n",
        WRITE_RESPONSE,
        "writes n0 PUT 1\ncounter clients_evicted 0\n",
    )


def test_part_that_arrives_in_the_iteration_of_the_eviction_is_discarded() -> None:
    """The rejection is written one iteration of the loop before the connection is closed. A part that arrives
    between the two finds no open request."""
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "a >\n",
        WRITE_REQUEST,
        "= ab\n",
        "a half read\n",
        PAST_GRACE,
        "a evict, then sends\n= cd\n",
        EVICTION_RESPONSE,
        "n0 ran PUT 0\n",
    )


def test_request_in_single_bytes_is_served_during_shutdown() -> None:
    """A connection with a partly read request is not idle: the shutdown does not close it, and the request is
    read to its end and served."""
    play(
        ONE_ENDPOINT_AND_CLIENT,
        HEALTH_CHECK.format("b"),
        "a >\n| GET /healthz HTTP/1.1\n|\na <\n& well\nsignal TERM\n",
        HEALTH_CHECK.format("c"),
        "clock 1500000\na in bytes\n",
        "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n| X-Call-Id: a1\n= X-Pla\n",
        "a half read\n",
        "clock 1810000\nb eof\na in bytes\n",
        "| n: gold\n| X-IO: volume=b4,units=1,shard=0\n| Content-Length: 4\n|\n= abcd\n",
        "a <\n| HTTP/1.1 200 OK\n| Content-Length: 0\n| Connection: close\n|\n",
        "writes n0 PUT 1\nends\n",
    )


# Uploads in parts, just above and below the minimum upload rate

SIZED_WRITE_REQUEST = "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| Content-Length: {}\n|\n"
TIMEOUT_RESPONSE = "a <\n& bad 408 Request Timeout / the request did not come whole in time\n"
LINGER_AND_CLOSE = f"clock {LINGER_TIMEOUT_US + 100_000}\na eof\n"


def upload(size: int, piece_count: int, piece_size: int) -> str:
    """Start an upload of `size` bytes and send its first `piece_count` parts of `piece_size` bytes, one a
    second."""
    steps = "".join(
        f"clock 1000000\na >\n@ {n * piece_size} {min(n * piece_size + piece_size, size)}\n"
        + HEALTH_CHECK_OF_B
        for n in range(piece_count)
    )
    return (
        ONE_ENDPOINT_AND_CLIENT
        + HEALTH_CHECK.format("b")
        + "a >\n"
        + SIZED_WRITE_REQUEST.format(size)
        + "a half read\n"
        + steps
    )


HEALTH_CHECK_OF_B = (
    "b >\n| GET /healthz HTTP/1.1\n|\nb <\n& well\n"  # the front has read all that was sent before
)


def test_upload_just_above_the_minimum_rate_is_served() -> None:
    play(upload(250_000, 8, 33_000), WRITE_RESPONSE, "writes n0 PUT 1\n")


def test_upload_just_below_the_minimum_rate_gets_a_complete_response() -> None:
    """The upload sends 24,000 bytes per second; its allowance of 2.5 s is used up after 7 s."""
    play(
        upload(250_000, 6, 24_000),
        "clock 700000\n",
        HEALTH_CHECK_OF_B,
        "counter bad_requests_408 0\n",
        "clock 400000\n",
        TIMEOUT_RESPONSE,
        LINGER_AND_CLOSE,
        "n0 ran PUT 0\n",
    )


def test_unread_end_of_an_upload_is_read_at_its_time_limit() -> None:
    """A front that was suspended or busy checks the time limit before it reads the last part: it rejected a
    complete upload."""
    play(
        upload(168_000, 6, 24_000),
        "clock 700000\n",
        "a sends, then sweep 400000\n@ 144000 168000\n",
        WRITE_RESPONSE,
        "writes n0 PUT 1\n",
    )


def test_unread_part_that_is_not_the_end_defers_the_time_limit_only_once() -> None:
    play(
        upload(250_000, 6, 24_000),
        "clock 700000\n",
        "a sends, then sweep 400000\n= x\n",
        "counter bad_requests_408 0\n",
        "a sends, then sweep 100000\n= x\n",
        "counter bad_requests_408 1\n",
        TIMEOUT_RESPONSE,
        LINGER_AND_CLOSE,
    )


def test_upload_larger_than_the_buffer_limit_is_rejected_after_its_headers() -> None:
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "client b platform\nmemory 100000\n",
        "a >\n",
        SIZED_WRITE_REQUEST.format(100_001),
        "@ 0 20000\n",
        "a <\n& bad 413 Content Too Large / a body may have 100000 bytes\n",
        LINGER_AND_CLOSE,
        "b >\n",
        SIZED_WRITE_REQUEST.format(100_000),
        "@ 0 100000\nb <\n& done\nwrites n0 PUT 1\n",
    )


def test_one_of_two_uploads_that_exceed_the_buffer_limit_together_is_rejected() -> None:
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "client b platform\nmemory 100000\n",
        "b >\n",
        SIZED_WRITE_REQUEST.format(70_000).replace("ask a1", "ask b1"),
        "@ 0 60000\nb half read\n",
        "a >\n",
        SIZED_WRITE_REQUEST.format(70_000),
        "@ 0 60000\n",
        EVICTION_RESPONSE.replace("too many connections", "too many bodies are held at present").replace(
            "30", "45"
        ),
        "b >\n@ 60000 70000\nb <\n& done\nwrites n0 PUT 1\n",
    )


# An endpoint that pauses within a response

REQUEST_AT_ENDPOINT = "node n0 0:script\nclient a platform\na >\n& {0} a1 / 0\nn0 <\n& {1} a1 / 0\n"
PARTIAL_SIZED_RESPONSE = "n0 >\n| HTTP/1.1 200 OK\n| Content-Length: 3\n|\n= a\n"
PARTIAL_CHUNKED_RESPONSE = "n0 >\n| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n| 1\n| a\n"


CLASS_TIMEOUT_US = 15_000_000  # of tests/exchanges/base.toml
REST_OF_SIZED_RESPONSE = "n0 >\n= bc\na <\n& three abc\n"
REST_OF_CHUNKED_RESPONSE = (
    "n0 >\n| 2\n| bc\n| 0\n|\na <\n| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n| 3\n| abc\n| 0\n|\n"
)


# Guards against a response that was cut off after the connect timeout, and its request sent once more.
@pytest.mark.parametrize(
    ("response_start", "rest"),
    [
        (PARTIAL_SIZED_RESPONSE, REST_OF_SIZED_RESPONSE),
        (PARTIAL_CHUNKED_RESPONSE, REST_OF_CHUNKED_RESPONSE),
    ],
)
@pytest.mark.parametrize("pause_us", [400_000, 900_000, 5_000_000])
def test_read_whose_endpoint_pauses_is_answered_by_its_first_attempt(
    response_start: str, rest: str, pause_us: int
) -> None:
    play(
        REQUEST_AT_ENDPOINT.format("read", "got"),
        response_start,
        HEALTH_CHECK.format("b"),
        f"clock {pause_us}\n",
        HEALTH_CHECK.format("c"),
        rest.replace("| 3\n| abc\n", "| 1\n| a\n| 2\n| bc\n") if pause_us > MAX_HOLD_US else rest,
        "counter attempts_sent 1\ncounter requests_served 1\n",
        HEALTH_CHECK_OF_A,
    )


# Guards against a request without its final answer, where its endpoint stops within a response.
def test_read_whose_endpoint_stops_is_rejected_at_its_deadline() -> None:
    play(
        REQUEST_AT_ENDPOINT.format("read", "got"),
        PARTIAL_SIZED_RESPONSE,
        HEALTH_CHECK.format("b"),
        f"clock {CLASS_TIMEOUT_US}\na <\n& refused\n",
        "n0 eof\ncounter attempts_sent 1\ncounter attempts_timeout 1\n",
        HEALTH_CHECK_OF_A,
    )


PASSED_ON_RESPONSE = "a <\n| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n"


# Guards against a response of unknown length that is cut off at its request's time since its endpoint pauses.
@pytest.mark.parametrize(("kind", "forwarded"), [("read", "got"), ("write", "sent")])
@pytest.mark.parametrize("first", ["| 1\n| a\n", ""], ids=["with a byte", "head alone"])
@pytest.mark.parametrize("stopping", ["", "signal TERM\n"])
def test_response_of_unknown_length_that_pauses_is_passed_on_from_its_deadline(
    kind: str, forwarded: str, first: str, stopping: str
) -> None:
    """Its end is the endpoint's or the client's, however long either takes."""
    deadline_us = 500_000
    method = {"read": "GET", "write": "PUT"}[kind]
    begin = (
        "node n0 0:script\nclient a platform\na >\n"
        f"| {method} /{kind}?block=7f3a9c21e0b4d655 HTTP/1.1\n| X-Budget: 0.5\n& ask a1 / 0\n|\n"
        f"n0 <\n& {forwarded} a1 / 0\n"
    )
    begun = begin + "n0 >\n| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n" + first
    passed_on = PASSED_ON_RESPONSE + first
    silence = "" if stopping else f"clock {LONG_SILENCE_US}\n"
    checked = HEALTH_CHECK.format("b") + stopping + HEALTH_CHECK.format("c")
    play(
        begun,
        checked,
        f"clock {deadline_us}\n{passed_on}",
        "counter node_answers_at_deadline 1\n",
        silence,
        "n0 >\n| 2\n| bc\n| 0\n|\na <\n| 2\n| bc\n| 0\n|\n",
        "counter attempts_sent 1\ncounter node_answers_broke_off 0\n",
    )
    play(begun, checked, f"clock {deadline_us}\n{passed_on}", silence, "a close\nn0 eof\n")


# Guards against a part of a long response that is held back for 2 s, which the protocol counts as lost.
@pytest.mark.parametrize("stopping", ["", "signal TERM\n"])
@pytest.mark.parametrize(
    "head", ["| Transfer-Encoding: chunked\n|\n", "| Content-Length: 140000\n|\n", "|\n"]
)
def test_part_of_a_response_is_passed_on_within_the_protocols_limit(head: str, stopping: str) -> None:
    part = "| 9\n@ 0 9\n|\n" if "chunked" in head else "@ 0 9\n"
    passed_on = "| Transfer-Encoding: chunked\n|\n| 9\n@ 0 9\n|\n" if "140000" not in head else head + part
    play(
        REQUEST_AT_ENDPOINT.format("read", "got"),
        HEALTH_CHECK.format("b"),
        stopping,
        HEALTH_CHECK.format("c"),
        "n0 >\n| HTTP/1.1 200 OK\n" + head + part,
        HEALTH_CHECK.format("d"),
        f"clock {MAX_HOLD_US}\na <\n| HTTP/1.1 200 OK\n" + passed_on,
        "counter attempts_ok 1\ncounter node_answers_at_deadline 0\n",
    )


# Guards against an answer that is timed out though it lies unread in its socket, as the front was held up.
@pytest.mark.parametrize("size", ["small", "long"])
def test_response_that_is_unread_at_its_deadline_is_read_before_it_is_judged(size: str) -> None:
    length = {"small": 3, "long": 100_000}[size]
    head = f"| HTTP/1.1 200 OK\n| Content-Length: {length}\n|\n"
    body = {"small": "= abc\n", "long": "@ 0 9\n"}[size]
    play(
        REQUEST_AT_ENDPOINT.format("read", "got"),
        HEALTH_CHECK.format("b"),
        f"n0 sends, then clock {CLASS_TIMEOUT_US}\n",
        head,
        body,
        "a <\n",
        head,
        body,
        "counter attempts_ok 1\ncounter attempts_timeout 0\n",
    )


HEALTH_CHECK_OF_A = "a >\n| GET /healthz HTTP/1.1\n|\na <\n& well\n"


@pytest.mark.parametrize("pause_us", [400_000, 600_000])
def test_last_attempt_of_a_read_is_not_aborted_by_a_pause(pause_us: int) -> None:
    """No retry can follow the last attempt: the request was answered as failed while its 200 was arriving."""
    play(
        "set settings.bounds.maxAttempts 1\n",
        REQUEST_AT_ENDPOINT.format("read", "got"),
        PARTIAL_SIZED_RESPONSE,
        HEALTH_CHECK.format("b"),
        f"clock {pause_us}\nn0 >\n= bc\na <\n& three abc\ncounter attempts_sent 1\n",
    )


@pytest.mark.parametrize("pause_us", [400_000, 600_000])
def test_write_is_not_aborted_by_a_pause_and_not_sent_again(pause_us: int) -> None:
    play(
        REQUEST_AT_ENDPOINT.format("write", "sent"),
        PARTIAL_SIZED_RESPONSE,
        HEALTH_CHECK.format("b"),
        f"clock {pause_us}\nn0 >\n= bc\na <\n& three abc\ncounter attempts_sent 1\n",
    )


def test_write_whose_endpoint_stops_is_failed_at_its_deadline_and_not_sent_again() -> None:
    play(
        REQUEST_AT_ENDPOINT.format("write", "sent"),
        PARTIAL_SIZED_RESPONSE,
        HEALTH_CHECK.format("b"),
        "clock 700000\n",
        HEALTH_CHECK.format("c"),
        f"clock {CLASS_TIMEOUT_US}\na <\n& failed\ncounter attempts_sent 1\n",
        "counter attempts_timeout 1\n",
    )


# Guards against a client without a final answer, whose endpoint's one was streamed as the process ended.
@pytest.mark.parametrize(
    ("response_start", "piece"),
    [
        (PARTIAL_CHUNKED_RESPONSE, "n0 >\n| 1\n| b\n"),
        ("n0 >\n| HTTP/1.1 200 OK\n| Content-Length: 140000\n|\n@ 0 9\n", "n0 >\n@ 9 70000\n"),
    ],
)
def test_response_is_held_while_the_process_stops(response_start: str, piece: str) -> None:
    play(
        REQUEST_AT_ENDPOINT.format("write", "sent"),
        HEALTH_CHECK.format("b"),
        "signal TERM\n",
        HEALTH_CHECK.format("c"),
        response_start,
        HEALTH_CHECK.format("d"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n{piece}",
        HEALTH_CHECK.format("e"),
        "lastword\na <\n| HTTP/1.1 502 Bad Gateway\n| Content-Length: 33\n| Connection: close\n|\n",
        "~ failed; it may have taken effect\n",
    )


def small_response(way: str, last_part_us: int) -> str:
    """Start a streamed response without a Content-Length and send 3,000 bytes, the last of them
    `last_part_us` microseconds after the request's deadline."""
    return (
        endpoints(1)
        + start_response("a", 0, way, 1000)
        + HEALTH_CHECK.format("b")
        + f"clock {STREAMING_THRESHOLD_US + 1000}\n"
        + body_piece(0, way, 1000, 2000)
        + f"a has 2000\nclock {REQUEST_BUDGET_US - 15_000 - STREAMING_THRESHOLD_US - 1000 + last_part_us}\n"
        + body_piece(0, way, 2000, 3000)
        + "a has 3000\n"
    )


@pytest.mark.parametrize("way", ["chunked", "bare"])
@pytest.mark.parametrize(
    "last_part_us", [-7_000_000, -700_000, -550_000, -300_000, -150_000, -50_000, 100_000]
)
@pytest.mark.parametrize("pause_us", [400_000, 600_000])
def test_endpoint_may_pause_within_a_streamed_response(way: str, last_part_us: int, pause_us: int) -> None:
    """The pause lies before, across or after the request's deadline. A response that paused for 0.6 s from
    0.55 s before the deadline was aborted at the deadline, and one that paused later after 0.5 s."""
    if last_part_us == 100_000:  # the response makes progress until then
        play(
            small_response(way, -250_000),
            "clock 350000\n",
            body_piece(0, way, 3000, 4000),
            "a has 4000\n",
            f"clock {pause_us}\n",
            body_piece(0, way, 4000, 5000),
            end_response(0, way),
            "a whole 5000\n",
        )
    else:
        play(
            small_response(way, last_part_us),
            f"clock {pause_us}\n",
            body_piece(0, way, 3000, 4000),
            "a has 4000\n",
            end_response(0, way),
            "a whole 4000\n",
        )


# Guards against a small answer of unknown length that is cut off, past its request's time, in a pause.
@pytest.mark.parametrize("way", ["chunked", "bare"])
@pytest.mark.parametrize("last_part_us", [-2_000_000, -600_000, -160_000])
def test_small_response_that_has_begun_is_not_aborted_by_any_pause(way: str, last_part_us: int) -> None:
    play(
        small_response(way, last_part_us),
        f"clock {-last_part_us + LONG_SILENCE_US}\n",
        HEALTH_CHECK.format("c"),
        "counter node_answers_broke_off 0\n",
        body_piece(0, way, 3000, 4000),
        "a has 4000\n",
        end_response(0, way),
        "a whole 4000\n",
    )


# A client that reads a streamed response slowly


def response_to_slow_client(way: str, first_bytes_count: int = 70_000, version: str = "1.1") -> str:
    script = start_response("a", 0, way, first_bytes_count, version)
    return endpoints(2) + script.replace("client a platform\n", "slow client a\n")


@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_client_that_pauses_past_the_deadline_gets_the_complete_response(way: str) -> None:
    """While the client does not read, neither the endpoint's idle time-out runs nor the age after which its
    slot is evicted, and the request's deadline is later by that time."""
    play(
        response_to_slow_client(way),
        "holds 1\n",
        "clock 9000000\n" * 3,
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        f"clock {REQUEST_BUDGET_US - 1_000_000}\n",
        body_piece(0, way, 70_000, 120_000),
        end_response(0, way),
        "a whole 120000\ncounter node_answers_broke_off 0\n",
    )


@pytest.mark.parametrize("way", ["chunked", "bare"])
def test_endpoint_may_pause_when_the_client_of_a_small_response_reads_on(way: str) -> None:
    """The client does not read from before the request's deadline until after it: the deadline is extended by
    that time."""
    play(
        response_to_slow_client(way, 30_000),
        HEALTH_CHECK.format("b"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n",
        body_piece(0, way, 30_000, 60_000),
        "holds 1\nclock 9000000\n",
        HEALTH_CHECK.format("c"),
        "a reads\na has 60000\nholds 0\nclock 600000\n",
        body_piece(0, way, 60_000, 61_000),
        end_response(0, way),
        "a whole 61000\n",
    )


def test_lost_endpoint_is_detected_when_a_paused_client_reads_on() -> None:
    play(
        response_to_slow_client("told"),
        "holds 1\nn0 reset\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na cut\n",
        "counter node_answers_broke_off 1\n",
    )
    play(
        response_to_slow_client("told"),
        "holds 1\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        f"clock {LONG_SILENCE_US}\n",
        HEALTH_CHECK.format("c"),
        "counter node_answers_broke_off 0\na close\nn0 eof\n",
    )


def test_client_that_never_reads_is_closed_and_no_endpoint_failure_counted() -> None:
    play(
        response_to_slow_client("told"),
        "holds 1\nclock 100000\n",
        f"clock {WRITE_STALL_TIMEOUT_US - 1_000_000}\n",
        HEALTH_CHECK.format("b"),
        "holds 1\nclock 1200000\na reads\na cut\ncounter node_answers_broke_off 0\n",
    )


# Connections at their limit

REJECTED_READ_REQUEST = READ_REQUEST + "{0} <\n& refused\n"


def test_response_keeps_its_slot_until_the_eviction_age() -> None:
    """Another request that needs the slot is rejected at once; once the eviction age is reached, it gets the
    slot."""
    progress = "".join(
        "clock 5000000\n" + body_piece(0, "chunked", offset, offset + 10_000) + f"a has {offset + 10_000}\n"
        for offset in (70_000, 80_000, 90_000)
    )
    remaining_us = REQUEST_BUDGET_US + UNSIZED_EVICTION_AGE_US - 15_000_000
    play(
        endpoints(2),
        start_response("a", 0, "chunked"),
        "a has 70000\nplaces nodes 1\n",
        progress,
        f"clock {remaining_us - 200_000}\n",
        REJECTED_READ_REQUEST.format("x", 1),
        "counter node_answers_gave_way 0\n",
        body_piece(0, "chunked", 100_000, 110_000),
        "a has 110000\n",
        "clock 200000\n",
        READ_REQUEST.format("d", 1),
        "a cut\n",
        READ_RESPONSE.format("d", 1),
    )


def test_response_keeps_its_slot_while_its_client_does_not_read() -> None:
    """The time for which the client does not read does not count as the endpoint's. It counts again once the
    client reads on."""
    play(
        response_to_slow_client("chunked"),
        "holds 1\nplaces nodes 1\n",
        "clock 9000000\n" * 3,
        REJECTED_READ_REQUEST.format("x", 1),
        "counter node_answers_gave_way 0\na reads\na has 70000\nholds 0\n",
        REJECTED_READ_REQUEST.format("y", 1),
        "clock 9000000\n",
        body_piece(0, "chunked", 70_000, 80_000),
        "a has 80000\nclock 9000000\n",
        READ_REQUEST.format("d", 1),
        "a cut\n",
        READ_RESPONSE.format("d", 1),
    )


# Shutdown and hand-over

DRAIN_CONNECTIONS, REACH_DEADLINE, CLOSE_CONNECTIONS = "clock 3310000\n", "clock 200000\n", "clock 100000\n"


@pytest.mark.parametrize("sibling", ["", "beside\n"])
@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_streamed_response_continues_after_the_drain_and_the_process_ends_with_it(
    sibling: str, way: str
) -> None:
    """No response is aborted before the shutdown deadline, and the process ends once the response is
    complete."""
    play(
        endpoints(1),
        start_response("a", 0, way),
        "a has 70000\n",
        sibling,
        "signal TERM\n",
        health_check_while_stopping(sibling),
        DRAIN_CONNECTIONS,
        body_piece(0, way, 70_000, 80_000),
        "a has 80000\n",
        body_piece(0, way, 80_000, 120_000),
        end_response(0, way),
        "a whole 120000\n",
        CLOSE_CONNECTIONS,
        "ends\n",
    )


def health_check_while_stopping(sibling: str) -> str:
    return (HEALTH_CHECK_AND_CLOSE if sibling else HEALTH_CHECK).format("b")


@pytest.mark.parametrize("sibling", ["", "beside\n"])
def test_upload_in_parts_is_served_by_the_process_that_accepted_it(sibling: str) -> None:
    closing_response = "a <\n| HTTP/1.1 200 OK\n| Content-Length: 0\n| Connection: close\n|\n"
    play(
        ONE_ENDPOINT_AND_CLIENT,
        "a >\n",
        WRITE_REQUEST,
        "= a\na half read\n",
        sibling,
        "signal TERM\n",
        health_check_while_stopping(sibling),
        "clock 1000000\na >\n= b\nclock 1000000\na >\n= cd\n",
        closing_response if sibling else WRITE_RESPONSE,
        "writes n0 PUT 1\n",
        "clock 1400000\nends\n",
    )


def test_response_unread_at_the_end_of_the_process_is_visibly_incomplete() -> None:
    """The endpoint has sent the complete response. An HTTP/1.0 client took the end of the process for the end
    of the response. The last piece fits in one read, as a further one waits for the client."""
    for version, expected_end in (("1.0", "a reads a reset\n"), ("1.1", "a reads\na cut\n")):
        play(
            response_to_slow_client("chunked", 30_000, version),
            HEALTH_CHECK.format("b"),
            f"clock {STREAMING_THRESHOLD_US + 1000}\n",
            body_piece(0, "chunked", 30_000, 42_000) + "| 0\n|\n",
            "a unread\nsignal TERM\n",
            HEALTH_CHECK.format("c"),
            DRAIN_CONNECTIONS,
            REACH_DEADLINE,
            CLOSE_CONNECTIONS,
            "ends\nover\n",
            expected_end,
        )


# A connection that has carried a streamed response


def test_request_after_a_streamed_response_has_its_own_deadline() -> None:
    """Neither the streamed response's deadline nor its client's pauses apply to the next request on it."""
    short_request = start_response("c", 0, "chunked", 1000).replace(str(REQUEST_BUDGET_US / 1e6), "0.5")
    play(
        response_to_slow_client("told"),
        "holds 1\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        body_piece(0, "told", 70_000, 120_000),
        "a whole 120000\nclock 10000\n",
        short_request,
        HEALTH_CHECK.format("d"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n",
        body_piece(0, "chunked", 1000, 2000),
        "c has 2000\n",
        "counter node_connections_opened 1\ncounter node_connections_reused 1\n",
        f"places nodes 1\nclock {UNSIZED_EVICTION_AGE_US + 500_000 - 15_000 - 100_000}\n",
        REJECTED_READ_REQUEST.format("x", 1),
        "counter node_answers_gave_way 0\nclock 200000\n",
        READ_REQUEST.format("d", 1),
        "c cut\n",
        READ_RESPONSE.format("d", 1),
    )


def test_streamed_response_is_not_aborted_by_a_shorter_request_at_its_endpoint() -> None:
    play(
        endpoints(1),
        start_response("a", 0, "chunked", 1000),
        HEALTH_CHECK.format("b"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n",
        body_piece(0, "chunked", 1000, 2000),
        "a has 2000\n",
        "client c platform\nc >\n",
        "| GET /read?block=7f3a9c21e0b4d655 HTTP/1.1\n| X-Budget: 0.5\n& ask c1 / 0\n|\n",
        "until attempts_written 2\nclock 500000\nc <\n& refused\n",
        "clock 5000000\n",
        HEALTH_CHECK.format("d"),
        "counter node_answers_broke_off 0\na has 2000\n",
    )
