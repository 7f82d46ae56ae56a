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
    SERVER_PAUSE_TIMEOUT_US,
    STREAM_IDLE_TIMEOUT_US,
    STREAMING_THRESHOLD_US,
    UNSIZED_EVICTION_AGE_US,
)
from umberlead.net.timeouts import LINGER_TIMEOUT_US, WRITE_STALL_TIMEOUT_US

SMALL_BUFFER = 4096  # bytes, of the socket buffers between the front and a client that reads slowly


class Pieces(StreamingExchange):
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
                conn = await self._known(name)
                await self._until(lambda: conn.partial_request is not None)
            case [name, "in", "bytes"]:
                for byte in b"".join(self._bytes(line, False) for line in lines):
                    self.peers[name].transport.write(bytes([byte]))
                    await asyncio.sleep(0)
            case ["clients", number]:
                clients = (await self._start()).client_groups[0]
                await self._until(lambda: len(clients.slots) == int(number))
            case [name, "unread"]:
                conn = await self._known(name)
                await self._until(lambda: conn.write_blocked and conn.body_source is None)
            case [name, "sends,", "then", "evict"]:
                self._at_once(name, lines)
                assert not await self._evict()
            case [name, "evict,", "then", "sends"]:
                assert await self._evict()
                self._at_once(name, lines)
            case [name, "sends,", "then", "sweep", number]:
                front = await self._start()
                self._at_once(name, lines)
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
        conn = await self._known(name)
        out = conn.transport.get_extra_info("socket")
        out.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)

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

    async def _known(self, name: str) -> ServerConnection:
        """Return the front's end of a client's connection; it is accepted once its first bytes have
        arrived."""
        clients = (await self._start()).client_groups[0]
        port = self.peers[name].transport.get_extra_info("sockname")[1]

        def found() -> list[ServerConnection]:
            conns = [c for c in clients.slots if isinstance(c, ServerConnection)]
            assert len(conns) == len(clients.slots)
            return [c for c in conns if c.transport.get_extra_info("peername")[1] == port]

        await self._until(lambda: bool(found()))
        return found()[0]

    async def _until(self, met: Callable[[], bool]) -> None:
        end = asyncio.get_running_loop().time() + PATIENCE
        while not met():
            assert asyncio.get_running_loop().time() < end, "timed out waiting"
            await asyncio.sleep(0.001)

    def _at_once(self, name: str, lines: list[str]) -> None:
        """Write to the socket directly: the bytes are in the kernel before the front runs again, and can't be
        read before that."""
        raw = b"".join(self._bytes(line, False) for line in lines)
        assert os.write(self.peers[name].transport.get_extra_info("socket").fileno(), raw) == len(raw)

    async def _evict(self) -> bool:
        clients = (await self._start()).client_groups[0]
        return clients.evict(clients.evictable())


def play(*parts: str) -> None:
    Pieces("".join(parts)).play()


# Requests that arrive in parts, on a connection that is to be evicted

PUT = "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| Content-Length: 4\n|\n"
STORED = "a <\n& done\n"
NO_ROOM = (
    "a <\n| HTTP/1.1 503 Service Unavailable\n| Retry-After: 0.5\n| Content-Length: 30\n"
    "| Connection: close\n|\n~ refused: too many connections\n"
)
WELL_CLOSING = (
    "client {0} platform\n{0} >\n| GET /healthz HTTP/1.1\n|\n{0} <\n"
    "| HTTP/1.1 200 OK\n| Content-Length: 3\n| Connection: close\n|\n~ ok\n"
)
HALVES = {
    "a byte": "= P\n",
    "half a head": "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n= X-Call-\n",
    "a head": PUT,
    "half a body": PUT + "= ab\n",
}
ALONE = "node n0 0\nclient a platform\n"
PAST_GRACE = f"clock {ACCEPT_GRACE_US + 10_000}\n"


@pytest.mark.parametrize("half", HALVES)
def test_what_is_partially_read_is_rejected_as_its_slot_goes(half: str) -> None:
    """The connection was closed without a response, as an idle one is, and the request that had begun was
    lost."""
    play(
        ALONE,
        "a >\n",
        HALVES[half],
        "a half read\nplaces clients 1\n",
        PAST_GRACE,
        WELL_CLOSING.format("b"),
        NO_ROOM,
        "a eof\ncounter clients_evicted 1\nn0 ran PUT 0\n",
    )


def test_a_lowered_limit_rejects_what_is_partially_read() -> None:
    play(
        ALONE,
        "a >\n",
        PUT,
        "a half read\n",
        PAST_GRACE,
        "places clients 0\n",
        "clock 100000\n",
        NO_ROOM,
        "a eof\n",
    )


def test_a_piece_that_is_here_keeps_its_connection() -> None:
    """A part has arrived and is not read when a slot is needed in the same iteration of the loop: the
    connection is not evicted, and the request is served."""
    play(
        ALONE,
        "a >\n",
        PUT,
        "= ab\n",
        "a half read\n",
        PAST_GRACE,
        "a sends, then evict\n= cd\n",
        STORED,
        "writes n0 PUT 1\ncounter clients_evicted 0\n",
    )


def test_a_piece_that_comes_in_the_turn_of_the_eviction_is_rejected_with_its_request() -> None:
    """The rejection is written one iteration of the loop before the connection is closed. A part that arrives
    between the two finds no open request."""
    play(
        ALONE,
        "a >\n",
        PUT,
        "= ab\n",
        "a half read\n",
        PAST_GRACE,
        "a evict, then sends\n= cd\n",
        NO_ROOM,
        "n0 ran PUT 0\n",
    )


def test_a_request_in_single_bytes_outlives_the_drain() -> None:
    """A connection with a partly read request is not idle: the shutdown does not close it, and the request is
    read to its end and served."""
    play(
        ALONE,
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

HUGE = "| PUT /write?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| Content-Length: {}\n|\n"
TOO_LATE = "a <\n& bad 408 Request Timeout / the request did not come whole in time\n"
LINGERED = f"clock {LINGER_TIMEOUT_US + 100_000}\na eof\n"


def upload(size: int, pieces: int, each: int) -> str:
    """Start an upload of `size` bytes and send its first `pieces` parts of `each` bytes, one per second."""
    steps = "".join(
        f"clock 1000000\na >\n@ {n * each} {min(n * each + each, size)}\n" + WELL_KEPT for n in range(pieces)
    )
    return ALONE + HEALTH_CHECK.format("b") + "a >\n" + HUGE.format(size) + "a half read\n" + steps


WELL_KEPT = "b >\n| GET /healthz HTTP/1.1\n|\nb <\n& well\n"  # the front has read all that was sent before


def test_an_upload_just_faster_than_the_pace_is_served() -> None:
    play(upload(250_000, 8, 33_000), STORED, "writes n0 PUT 1\n")


def test_an_upload_just_slower_gets_a_complete_response_before_its_end() -> None:
    """The upload sends 24,000 bytes per second; its allowance of 2.5 s is used up after 7 s."""
    play(
        upload(250_000, 6, 24_000),
        "clock 700000\n",
        WELL_KEPT,
        "counter bad_requests_408 0\n",
        "clock 400000\n",
        TOO_LATE,
        LINGERED,
        "n0 ran PUT 0\n",
    )


def test_an_upload_whose_end_is_here_as_its_time_is_over_is_read_first() -> None:
    """A front that was suspended or busy checks the time limit before it reads the last part: it rejected a
    complete upload."""
    play(
        upload(168_000, 6, 24_000),
        "clock 700000\n",
        "a sends, then sweep 400000\n@ 144000 168000\n",
        STORED,
        "writes n0 PUT 1\n",
    )


def test_a_piece_that_is_no_end_wins_no_more_than_one_look() -> None:
    play(
        upload(250_000, 6, 24_000),
        "clock 700000\n",
        "a sends, then sweep 400000\n= x\n",
        "counter bad_requests_408 0\n",
        "a sends, then sweep 100000\n= x\n",
        "counter bad_requests_408 1\n",
        TOO_LATE,
        LINGERED,
    )


def test_an_upload_larger_than_memory_allows_is_rejected_with_its_headers() -> None:
    play(
        ALONE,
        "client b platform\nmemory 100000\n",
        "a >\n",
        HUGE.format(100_001),
        "@ 0 20000\n",
        "a <\n& bad 413 Content Too Large / a body may have 100000 bytes\n",
        LINGERED,
        "b >\n",
        HUGE.format(100_000),
        "@ 0 100000\nb <\n& done\nwrites n0 PUT 1\n",
    )


def test_two_uploads_that_memory_does_not_hold_together_end_with_a_rejection_and_a_response() -> None:
    play(
        ALONE,
        "client b platform\nmemory 100000\n",
        "b >\n",
        HUGE.format(70_000).replace("ask a1", "ask b1"),
        "@ 0 60000\nb half read\n",
        "a >\n",
        HUGE.format(70_000),
        "@ 0 60000\n",
        NO_ROOM.replace("too many connections", "too many bodies are held at present").replace("30", "45"),
        "b >\n@ 60000 70000\nb <\n& done\nwrites n0 PUT 1\n",
    )


# An endpoint that pauses within a response

ASKED = "node n0 0:script\nclient a platform\na >\n& {0} a1 / 0\nn0 <\n& {1} a1 / 0\n"
THREE = "n0 >\n| HTTP/1.1 200 OK\n| Content-Length: 3\n|\n= a\n"
CHUNK = "n0 >\n| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n| 1\n| a\n"


@pytest.mark.parametrize("first", [THREE, CHUNK])
def test_a_read_whose_server_pauses_is_retried_and_answered_once(first: str) -> None:
    play(
        ASKED.format("read", "got"),
        first,
        HEALTH_CHECK.format("b"),
        "clock 400000\nn0 fresh\nn0 <\n& got a1 / 0\n",
        "n0 >\n& x\na <\n& x\ncounter node_answers_cut_short 1\ncounter requests_served 1\n",
        WELL_OF_A,
    )


WELL_OF_A = "a >\n| GET /healthz HTTP/1.1\n|\na <\n& well\n"


@pytest.mark.parametrize("pause", [400_000, 600_000])
def test_the_last_attempt_of_a_read_is_waited_for(pause: int) -> None:
    """No retry can follow the last attempt: the request was answered as failed while its 200 was arriving."""
    play(
        "set settings.bounds.maxAttempts 1\n",
        ASKED.format("read", "got"),
        THREE,
        HEALTH_CHECK.format("b"),
        f"clock {pause}\nn0 >\n= bc\na <\n& three abc\ncounter node_answers_cut_short 0\n",
    )


@pytest.mark.parametrize("pause", [400_000, 600_000])
def test_a_write_is_waited_for_and_never_sent_again(pause: int) -> None:
    play(
        ASKED.format("write", "sent"),
        THREE,
        HEALTH_CHECK.format("b"),
        f"clock {pause}\nn0 >\n= bc\na <\n& three abc\ncounter attempts_sent 1\n",
    )


def test_a_write_whose_server_stops_is_an_error_and_never_sent_again() -> None:
    play(
        ASKED.format("write", "sent"),
        THREE,
        HEALTH_CHECK.format("b"),
        "clock 700000\na <\n& failed\ncounter attempts_sent 1\n",
        "counter node_answers_cut_short 1\n",
    )


def small(way: str, at: int) -> str:
    """Start a streamed response without a Content-Length and send 3,000 bytes, the last of them `at`
    microseconds after the request's deadline."""
    return (
        endpoints(1)
        + start_response("a", 0, way, 1000)
        + HEALTH_CHECK.format("b")
        + f"clock {STREAMING_THRESHOLD_US + 1000}\n"
        + body_piece(0, way, 1000, 2000)
        + f"a has 2000\nclock {REQUEST_BUDGET_US - 15_000 - STREAMING_THRESHOLD_US - 1000 + at}\n"
        + body_piece(0, way, 2000, 3000)
        + "a has 3000\n"
    )


@pytest.mark.parametrize("way", ["chunked", "bare"])
@pytest.mark.parametrize("at", [-7_000_000, -700_000, -550_000, -300_000, -150_000, -50_000, 100_000])
@pytest.mark.parametrize("pause", [400_000, 600_000])
def test_a_server_may_pause_within_what_it_gives(way: str, at: int, pause: int) -> None:
    """The pause lies before, across or after the request's deadline. A response that paused for 0.6 s from
    0.55 s before the deadline was aborted at the deadline, and one that paused later after 0.5 s."""
    if at == 100_000:  # the response makes progress until then
        play(
            small(way, -250_000),
            "clock 350000\n",
            body_piece(0, way, 3000, 4000),
            "a has 4000\n",
            f"clock {pause}\n",
            body_piece(0, way, 4000, 5000),
            end_response(0, way),
            "a whole 5000\n",
        )
    else:
        play(
            small(way, at),
            f"clock {pause}\n",
            body_piece(0, way, 3000, 4000),
            "a has 4000\n",
            end_response(0, way),
            "a whole 4000\n",
        )


@pytest.mark.parametrize("at", [-2_000_000, -600_000, -160_000])
def test_one_that_stopped_ends_at_its_request_s_time_or_once_no_pause_is_so_long(at: int) -> None:
    left = max(SERVER_PAUSE_TIMEOUT_US, -at)
    play(
        small("chunked", at),
        f"clock {left - 100_000}\n",
        HEALTH_CHECK.format("c"),
        "counter node_answers_broke_off 0\n",
        "clock 150000\na cut\n",
    )


# A client that reads a streamed response slowly


def slowly(way: str, first: int = 70_000, version: str = "1.1") -> str:
    made = start_response("a", 0, way, first, version)
    return endpoints(2) + made.replace("client a platform\n", "slow client a\n")


@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_a_reader_that_pauses_past_its_request_s_time_gets_all(way: str) -> None:
    """While the client does not read, neither the endpoint's idle time-out runs nor the age after which its
    slot is evicted."""
    play(
        slowly(way),
        "holds 1\n",
        "clock 9000000\n" * 3,
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        f"clock {STREAM_IDLE_TIMEOUT_US - 1_000_000}\n",
        body_piece(0, way, 70_000, 120_000),
        end_response(0, way),
        "a whole 120000\ncounter node_answers_broke_off 0\n",
    )


@pytest.mark.parametrize("way", ["chunked", "bare"])
def test_a_small_one_s_server_may_pause_as_its_reader_goes_on(way: str) -> None:
    """The client does not read from before the request's deadline until after it: the deadline is extended by
    that time."""
    play(
        slowly(way, 30_000),
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


def test_a_server_that_is_lost_while_its_reader_pauses_is_seen_as_that_reads_on() -> None:
    play(
        slowly("told"),
        "holds 1\nn0 reset\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na cut\n",
        "counter node_answers_broke_off 1\n",
    )
    play(
        slowly("told"),
        "holds 1\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        f"clock {STREAM_IDLE_TIMEOUT_US + 100_000}\na cut\ncounter node_answers_broke_off 1\n",
    )


def test_a_reader_that_never_reads_ends_and_its_server_is_not_blamed() -> None:
    play(
        slowly("told"),
        "holds 1\nclock 100000\n",
        f"clock {WRITE_STALL_TIMEOUT_US - 1_000_000}\n",
        HEALTH_CHECK.format("b"),
        "holds 1\nclock 1200000\na reads\na cut\ncounter node_answers_broke_off 0\n",
    )


# Connections at their limit

REFUSED = READ_REQUEST + "{0} <\n& refused\n"


def test_one_that_is_late_by_less_than_the_eviction_age_keeps_its_slot() -> None:
    """Another request that needs the slot is rejected at once; once the eviction age is reached, it gets the
    slot."""
    moves = "".join(
        "clock 5000000\n" + body_piece(0, "chunked", at, at + 10_000) + f"a has {at + 10_000}\n"
        for at in (70_000, 80_000, 90_000)
    )
    left = REQUEST_BUDGET_US + UNSIZED_EVICTION_AGE_US - 15_000_000
    play(
        endpoints(2),
        start_response("a", 0, "chunked"),
        "a has 70000\nplaces nodes 1\n",
        moves,
        f"clock {left - 200_000}\n",
        REFUSED.format("x", 1),
        "counter node_answers_gave_way 0\n",
        body_piece(0, "chunked", 100_000, 110_000),
        "a has 110000\n",
        "clock 200000\n",
        READ_REQUEST.format("d", 1),
        "a cut\n",
        READ_RESPONSE.format("d", 1),
    )


def test_one_that_its_reader_holds_keeps_its_slot_for_that_time() -> None:
    """The time for which the client does not read does not count as the endpoint's. It counts again once the
    client reads on."""
    play(
        slowly("chunked"),
        "holds 1\nplaces nodes 1\n",
        "clock 9000000\n" * 3,
        REFUSED.format("x", 1),
        "counter node_answers_gave_way 0\na reads\na has 70000\nholds 0\n",
        REFUSED.format("y", 1),
        "clock 9000000\n",
        body_piece(0, "chunked", 70_000, 80_000),
        "a has 80000\nclock 9000000\n",
        READ_REQUEST.format("d", 1),
        "a cut\n",
        READ_RESPONSE.format("d", 1),
    )


# Shutdown and hand-over

DRAIN, FINISH, END = "clock 3310000\n", "clock 200000\n", "clock 100000\n"


@pytest.mark.parametrize("beside", ["", "beside\n"])
@pytest.mark.parametrize("way", FRAMING_HEADERS)
def test_a_streamed_response_goes_on_behind_the_drain_and_the_end_comes_with_it(
    beside: str, way: str
) -> None:
    """No response is aborted before the shutdown deadline, and the process ends once the response is
    complete."""
    play(
        endpoints(1),
        start_response("a", 0, way),
        "a has 70000\n",
        beside,
        "signal TERM\n",
        well_stopping(beside),
        DRAIN,
        body_piece(0, way, 70_000, 80_000),
        "a has 80000\n",
        body_piece(0, way, 80_000, 120_000),
        end_response(0, way),
        "a whole 120000\n",
        END,
        "ends\n",
    )


def well_stopping(beside: str) -> str:
    return (WELL_CLOSING if beside else HEALTH_CHECK).format("b")


@pytest.mark.parametrize("beside", ["", "beside\n"])
def test_an_upload_in_pieces_is_served_by_the_process_that_took_it(beside: str) -> None:
    closing = "a <\n| HTTP/1.1 200 OK\n| Content-Length: 0\n| Connection: close\n|\n"
    play(
        ALONE,
        "a >\n",
        PUT,
        "= a\na half read\n",
        beside,
        "signal TERM\n",
        well_stopping(beside),
        "clock 1000000\na >\n= b\nclock 1000000\na >\n= cd\n",
        closing if beside else STORED,
        "writes n0 PUT 1\n",
        "clock 1400000\nends\n",
    )


def test_what_its_reader_has_not_read_as_the_process_ends_is_seen_to_break_off() -> None:
    """The endpoint has sent the complete response. An HTTP/1.0 client took the end of the process for the end
    of the response."""
    for version, cut in (("1.0", "a reads a reset\n"), ("1.1", "a reads\na cut\n")):
        play(
            slowly("chunked", 30_000, version),
            HEALTH_CHECK.format("b"),
            f"clock {STREAMING_THRESHOLD_US + 1000}\n",
            body_piece(0, "chunked", 30_000, 60_000) + "| 0\n|\n",
            "a unread\nsignal TERM\n",
            HEALTH_CHECK.format("c"),
            DRAIN,
            FINISH,
            END,
            "ends\nover\n",
            cut,
        )


# A connection that has carried a streamed response


def test_a_connection_serves_a_short_request_by_that_one_s_time() -> None:
    """Neither the streamed response's deadline nor its client's pauses apply to the next request on it."""
    brief = start_response("c", 0, "chunked", 1000).replace(str(REQUEST_BUDGET_US / 1e6), "0.5")
    play(
        slowly("told"),
        "holds 1\nclock 9000000\n",
        HEALTH_CHECK.format("b"),
        "a reads\na has 70000\nholds 0\n",
        body_piece(0, "told", 70_000, 120_000),
        "a whole 120000\nclock 10000\n",
        brief,
        HEALTH_CHECK.format("d"),
        f"clock {STREAMING_THRESHOLD_US + 1000}\n",
        body_piece(0, "chunked", 1000, 2000),
        "c has 2000\n",
        "counter node_connections_opened 1\ncounter node_connections_reused 1\n",
        "clock 550000\n",
        HEALTH_CHECK.format("e"),
        "counter node_answers_broke_off 0\n",
        "clock 150000\nc cut\n",
    )


def test_a_streamed_response_is_not_cut_by_a_shorter_request_at_its_server() -> None:
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
