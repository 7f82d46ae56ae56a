"""Delivery of requests: in pieces and in all valid forms, pipelined, and with a response in time whatever the
results of their attempts. Complete processes run on real sockets, with a manual clock."""

import re
import socket
from typing import Any
from unittest import mock

import pytest

from tests.test_client_disconnects import DONE, asks, block
from tests.test_race_conditions import well
from tests.test_standing import Standing, play
from umberlead.net.endpoint_connection import EndpointConnection

# Requests in pieces

REQUEST_FORMS = [
    "| PUT /write?block={0} HTTP/1.1\n| Host: service.internal\n& ask {1} / 0\n| Content-Length: 5\n|\n"
    "= body{2}\n",
    "| PUT /write?block={0} HTTP/1.1\n| x-io:volume=b4,units=1,shard=0\t\n| X-PLAN:  gold\t \n"
    "| x-call-id:\t{1}\n| CONTENT-LENGTH:\t 5 \n| connection: Keep-Alive\n|\n= body{2}\n",
    "| PUT http://service.internal/write?block={0} HTTP/1.1\n& ask {1} / 0\n| X-Budget: 9\n"
    '| transfer-encoding:\tChunked\n|\n| 2;a="b;c"\n| bo\n| 0003;x\n| dy{2}\n| 000\n| X-Trailer: t\n|\n',
    "|\n| PUT HTTP://service.internal/write?block={0} HTTP/1.1\n& ask {1} / 0\n"
    "| Transfer-Encoding: chunked\n|\n| 00000005\n| body{2}\n| 0\n|\n",
    "| PUT /write?x=%20&block={0}&y HTTP/1.1\n& ask {1} / 0\n| content-length:5\n| X-Empty:\n"
    "| X-Budget: 9.500000\n|\n= body{2}\n",
]
REQUESTS = "".join(REQUEST_FORMS[n % 5].format(block(n), f"a{n}", n) for n in range(8))
STORED_BODIES = "n0 stored\n" + "".join(f"= body{n}\n" for n in range(8))


@pytest.mark.parametrize("size", [1, 2, 7, 150, 230])
def test_requests_in_pieces_of_any_size_are_served_in_order(size: int) -> None:
    """From single bytes to pieces that contain the end of one request and the start of the next."""
    play(
        "node n0 0\nclient a platform\n",
        f"a pieces {size} 0\n",
        REQUESTS,
        8 * DONE.format("a"),
        STORED_BODIES,
        "counter requests_taken 8\n",
    )


def test_slowly_written_requests_are_served() -> None:
    """A client sends two requests and takes over 2 s to write each."""
    request = (
        "| PUT /write?block={0} HTTP/1.1\n& ask {1} / 0\n| X-Budget: 3\n| Content-Length: 5\n|\n= 12345\n"
    )
    play(
        "node n0 0\nclient a platform\n",
        *(f"a pieces 4 60000\n{request.format(block(n), f'a{n}')}{DONE.format('a')}" for n in (1, 2)),
        "counter bad_requests_408 0\nwrites n0 PUT 2\n",
    )


def test_many_pipelined_requests_are_all_answered() -> None:
    """All arrive in one read. A limit of eight requests per read would drop the others with a 400."""
    requests = "a >\n" + "".join(asks("a", n).partition("\n")[2] for n in range(100))
    play("node n0 0\nclient a platform\n", requests, 100 * DONE.format("a"), "writes n0 PUT 100\n")


def test_budget_of_a_pipelined_request_runs_from_its_last_byte() -> None:
    """The third request is read but not parsed while it waits. Its time budget must not start when it is
    handled."""
    request = "a >\n" + "| GET /read?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a{0} / 0\n| X-Budget: 5\n|\n"
    response = "n0 >\n& x\na <\n& x\n"
    forwarded = "n0 <\n" + re.sub(r"X-Budget: 5", "X-Budget: {1}{{~}}", request.partition("\n")[2])
    forwarded = forwarded.replace(
        "| GET /read?block=7f3a9c21e0b4d655 HTTP/1.1\n", "| GET {{target}} HTTP/1.1\n| Host: {{~}}\n"
    )
    play(
        "patch umberlead.net.endpoint_pool REUSE_DELAY_US 0\n",
        "node n0 0:script\nclient a platform\nclient b platform\n",
        *(request.format(n) + well("b") for n in (1, 2, 3)),
        forwarded.format(1, "4.9"),
        "clock 2000000\n",
        response,
        forwarded.format(2, "2.9"),
        "clock 1000000\n",
        response,
        forwarded.format(3, "1.9"),
        response,
    )


def test_retry_is_sent_the_remaining_budget() -> None:
    def forwarded(budget: str) -> str:
        return f"n0 <\n| GET {{target}} HTTP/1.1\n| Host: {{~}}\n& ask a1 / 0\n| X-Budget: {budget}{{~}}\n|\n"

    rejection = "n0 >\n| HTTP/1.1 503 -\n| X-Rejected: 1\n| Content-Length: 0\n|\n"
    play(
        "patch umberlead.net.endpoint_pool REUSE_DELAY_US 0\nnode n0 0:script\nclient a platform\n",
        "a >\n| GET /read?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| X-Budget: 6\n|\n",
        forwarded("5.9"),
        "clock 1500000\n",
        rejection,
        "until attempts_full 1\ndials hold\nclock 600000\nclock 10000\n",
        "until attempts_sent 2\nclock 100000\ndials go\n",
        forwarded("3.7"),
        "n0 >\n& x\na <\n& x\n",
    )


# A response in time, whatever the results of the attempts

ENDPOINT_RESPONSES = {
    "silence": ("", "stays"),
    "closed": ("", "finishes"),
    "reset": ("", "resets"),
    "noise": ("= noise\n", "stays"),
    "half a line": ("= HTTP/1.1 2\n", "stays"),
    "half a line, reset": ("= HTTP/1.1 2\n", "resets"),
    "half a head": ("| HTTP/1.1 200 OK\n= Conte\n", "stays"),
    "half a head, closed": ("| HTTP/1.1 200 OK\n= Conte\n", "finishes"),
    "too short": ("| HTTP/1.1 200 OK\n| Content-Length: 9\n|\n= who\n", "stays"),
    "too short, closed": ("| HTTP/1.1 200 OK\n| Content-Length: 9\n|\n= who\n", "finishes"),
    "too short, reset": ("| HTTP/1.1 200 OK\n| Content-Length: 9\n|\n= who\n", "resets"),
    "no length, closed": ("| HTTP/1.1 200 OK\n|\n= whole\n", "finishes"),
    "no length, reset": ("| HTTP/1.1 200 OK\n|\n= who\n", "resets"),
    "chunks, reset": ("| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n| 3\n| who\n", "resets"),
    "interim": ("| HTTP/1.1 103 Early Hints\n|\n", "stays"),
    "error": ("| HTTP/1.1 500 -\n| Content-Length: 0\n|\n", "stays"),
    "full": ("| HTTP/1.1 503 -\n| X-Rejected: 1\n| Content-Length: 0\n|\n", "stays"),
    "astray": ("| HTTP/1.1 504 -\n| X-Rejected: 1\n| Content-Length: 0\n|\n", "stays"),
    "gone": ("| HTTP/1.1 404 -\n| Content-Length: 0\n|\n", "finishes"),
    "two": (
        "| HTTP/1.1 200 OK\n| Content-Length: 5\n|\n= whole\n"
        "| HTTP/1.1 200 OK\n| Content-Length: 5\n|\n= other\n",
        "stays",
    ),
}


@pytest.mark.parametrize("call", ["GET /read", "PUT /write"])
@pytest.mark.parametrize("ending", [*ENDPOINT_RESPONSES, "refused", "not up"])
def test_every_request_has_a_complete_response_in_time(ending: str, call: str) -> None:
    """The response arrives at most half a second after the deadline. A reset does not complete a response
    without a length."""
    node = "node n0 0:down\n" if ending == "refused" else "node n0 0:script\n"
    if ending in ENDPOINT_RESPONSES:
        node += f"n0 cans {ENDPOINT_RESPONSES[ending][1]}\n{ENDPOINT_RESPONSES[ending][0]}"
    play(
        node,
        "client a platform\n",
        "dials hold\n" if ending == "not up" else "",
        f"a >\n| {call}?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| X-Budget: 1\n|\n",
        "a answered 1500000\ncounter answered_for_module 0\n",
    )


# A response that has no told length and stops: it can't be told from a long one whose endpoint pauses.
UNENDED_RESPONSES = {
    "no length": ("| HTTP/1.1 200 OK\n|\n= whole\n", "5\r\nwhole\r\n"),
    "chunks without end": (
        "| HTTP/1.1 200 OK\n| Transfer-Encoding: chunked\n|\n| 3\n| who\n",
        "3\r\nwho\r\n",
    ),
    "no length, head alone": ("| HTTP/1.1 200 OK\n|\n", ""),
}


# Guards against a response of unknown length that is cut off, or looks complete, at its request's time.
@pytest.mark.parametrize(("call", "forwarded"), [("GET /read", "got"), ("PUT /write", "sent")])
@pytest.mark.parametrize("ending", UNENDED_RESPONSES)
def test_response_of_unknown_length_has_begun_in_time_and_is_visibly_incomplete(
    ending: str, call: str, forwarded: str
) -> None:
    """Its client can tell: no last chunk follows, and a break of the endpoint's ends the connection."""
    sent, passed_on = UNENDED_RESPONSES[ending]
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    play(
        "node n0 0:script\nclient a platform\nclient b platform\n",
        f"a >\n| {call}?block=7f3a9c21e0b4d655 HTTP/1.1\n& ask a1 / 0\n| X-Budget: 1\n|\n",
        f"n0 <\n& {forwarded} a1 / 0\nn0 >\n{sent}",
        well("b"),
        "clock 1000000\n",
        f"a has {len(head + passed_on)}\n",
        "clock 25000000\n",
        well("b"),
        "counter node_answers_broke_off 0\ncounter answered_for_module 0\nn0 reset\na cut\n",
        "counter node_answers_broke_off 1\n",
    )


def test_reset_with_the_last_bytes_aborts_a_streamed_response() -> None:
    """If the last bytes and a reset arrive together, libuv reports an end of file. The response must not be
    taken for complete."""
    play(
        "node n0 0:script\nclient a platform\na >\n& read a1 / 0\nn0 <\n& got a1 / 0\n",
        "n0 >\n| HTTP/1.1 200 OK\n|\n@ 0 70000\n",
        "a has 70000\nn0 resets\n@ 70000 70010\na cut\ncounter node_answers_broke_off 1\n",
    )


# Bytes that arrive as a connection is reused or closed


def test_pooled_connection_with_unread_input_is_not_reused() -> None:
    """The partial line arrives in the event-loop iteration in which the connection is to be reused."""

    class PartialLineOnReuse(Standing):
        async def _step(self, words: list[str], lines: list[str]) -> None:
            if words != ["half", "line"]:
                return await super()._step(words, lines)
            front, peer = await self._start(), await self.nodes["n0"].peer()
            take_idle = front.pool._take_idle

            def take_after_partial_line(*arguments: Any) -> EndpointConnection | None:
                peer.transport.write(b"HTTP/1.1 2")
                return take_idle(*arguments)

            self.patches.enter_context(mock.patch.object(front.pool, "_take_idle", take_after_partial_line))

    PartialLineOnReuse(
        "node n0 0:script\nclient a platform\na >\n& read a1 / 0\nn0 <\n& got a1 / 0\nn0 >\n& x\na <\n& x\n"
        "clock 10000\nhalf line\na >\n& read a2 / 0\nn0 fresh\nn0 <\n& got a2 / 0\nn0 >\n& x\na <\n& x\n"
        "counter node_connections_opened 2\ncounter attempts_ok 2\ncounter attempts_sent 2\n"
    ).play()


def test_all_connections_use_tcp_nodelay() -> None:
    """A close with unread input resets the connection, and would discard small writes that are held back."""

    class NoDelayCheck(Standing):
        async def _step(self, words: list[str], lines: list[str]) -> None:
            if words != ["undelayed"]:
                return await super()._step(words, lines)
            front = await self._start()
            assert front.discovery_watch is not None and front.discovery_watch.stream is not None
            connections: list[Any] = [
                front.discovery_watch.stream,
                *front.pool.slots,
                *front.client_groups[0].slots,
            ]
            assert len(connections) == 3
            for connection in connections:
                sock = connection.transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1, connection

    NoDelayCheck(
        "discovery\nnode n0 0\nclient a platform\n"
        + asks("a", 1)
        + DONE.format("a")
        + "discovery <\n| GET {target} HTTP/1.1\n| Host: {~}\n|\nundelayed\n"
    ).play()


@pytest.mark.parametrize("way", ["close", "reset"])
def test_requests_of_disconnected_clients_are_not_started(way: str) -> None:
    """Each client sends complete requests followed by a partial one or by invalid input, 60 KB in total, and
    disconnects. None of its requests is started afterwards."""
    client_names, input_steps = [f"c{n}" for n in range(20)], ""
    for n, name in enumerate(client_names):
        complete_requests = "".join(
            f"& block {name}x{k} / PUT /write / {block(100 + k)} / 1\n" for k in range(30)
        )
        input_steps += f"plain {name} platform\n{name} >\n{complete_requests}" + (
            "| noise\n" if n % 2 else f"| X: {'p' * 50_000}\n"
        )
    play(
        "node n0 0\nclient a platform\nn0 next hold\n",
        asks("a", 1, 6),
        "until attempts_written 1\ndials hold\n",
        input_steps,
        "client b platform\n",
        well("b"),
        *(f"{name} {way}\n" for name in client_names),
        "clock 110000\ndials go\nn0 release 1\n",
        DONE.format("a"),
        well("b"),
        "clean\nn0 ran PUT 1\n",
    )
