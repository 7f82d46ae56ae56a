"""Races within one front between discovery, reloads, shutdown and client connections. Each order is forced on
real sockets with a clock that only the test advances. docs/crossings.md lists them; killed processes and
fleets are tested in test_fleet_connections.py."""

import asyncio
import os
import socket
import struct
import time
from collections import Counter
from typing import Any
from unittest import mock

import httptools
import pytest

from tests.exchange import Clock, Peer
from tests.test_client_disconnects import DONE, DisconnectExchange, asks
from tests.test_race_conditions import (
    REJECTED_BY_SHUTDOWN,
    REQUEST_IS_REJECTED,
    SERVED_AND_CLOSED,
    WATCH_REQUEST,
    WATCH_RESPONSE,
    WATCH_WITH_READY_ENDPOINT,
    endpoint_message,
    well,
)
from umberlead.daemon.process import FrontProcess
from umberlead.net import server_connection, watch_stream


class StandingClock(Clock):
    """A clock that only the test advances once the front has started."""

    start_us: int | None = None

    def __call__(self) -> int:
        return super().__call__() if self.start_us is None else self.start_us + self.added_us


class CannedEndpoint(Peer):
    """A chunk server that answers each request with the same bytes, and then keeps (`stays`), closes
    (`finishes`) or resets the connection."""

    def __init__(self, response: bytes, then: str) -> None:
        super().__init__()
        self.response, self.then = response, then

    def data_received(self, data: bytes) -> None:
        self.got += data
        if b"\r\n\r\n" not in self.got:
            return
        self.got = b""
        self.transport.write(self.response)
        if self.then == "finishes":
            self.transport.close()
        elif self.then == "resets":
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class ClientResponse:
    """A response as a client parses it from the bytes that it has received."""

    def __init__(self, raw: bytes) -> None:
        self.body, self.complete = b"", False
        parser = httptools.HttpResponseParser(self)
        parser.feed_data(raw)
        self.status = parser.get_status_code() if raw else 0

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


class Standing(DisconnectExchange):
    """An exchange with further steps:

    NAME pieces N US   sends the lines in pieces of N bytes; the front reads each piece before the next is
                       sent, and the clock advances by US with each
    NAME crosses WHAT  sends the lines; WHAT happens when they have arrived and are not read: a reload
                       (`HUP`), or the clock advances by so many microseconds
    NAME cans THEN     a chunk server answers each request with the lines, and then `stays`, `finishes` or
                       `resets`
    NAME answered US   expects a complete response within US, which may be 200 only with the body `whole`
    NAME behind WHAT   connects and sends the lines; in the loop iteration in which the listener accepts the
                       connection, WHAT (methods of the shutdown) is called
    NAME resets        a chunk server sends the lines, and resets the connection at once
    NAME has N, cut    waits for N bytes of an incomplete response, or until one ends incomplete
    NAME keeps         the client keeps its side open after the front has closed the other
    NAME stored        expects the lines, one per body, as the blocks of the chunk server in their order"""

    def __init__(self, script: str) -> None:
        super().__init__(script)
        self.clock: StandingClock = StandingClock()
        self.read_counts = Counter[int]()
        for connection_class in (server_connection.ServerConnection, watch_stream.WatchStream):
            receive = connection_class.data_received

            def count_and_receive(connection: Any, data: bytes, receive: Any = receive) -> None:
                self.read_counts[id(connection)] += len(data)
                receive(connection, data)

            self.patches.enter_context(
                mock.patch.object(connection_class, "data_received", count_and_receive)
            )

    async def _start(self) -> FrontProcess:
        front = await super()._start()
        if self.clock.start_us is None:
            self.clock.start_us = self.clock() - self.clock.added_us
        return front

    def _front_side(self, front: FrontProcess, name: str) -> Any:
        """The front's end of the connection to the client, or else of the watch at discovery."""
        return (
            self._find_connection(name)
            if name in self.peers
            else front.discovery_watch and front.discovery_watch.stream
        )

    async def _step(self, words: list[str], lines: list[str]) -> None:
        raw = b"".join(self._bytes(line, False) for line in lines) if len(words) > 1 else b""
        match words:
            case [name, "pieces", size, us]:
                front = await self._start()
                peer = self.peers.get(name) or await self.nodes[name].peer()
                await self._until(lambda: self._front_side(front, name) is not None)
                connection = self._front_side(front, name)
                for offset in range(0, len(raw), int(size)):
                    part = raw[offset : offset + int(size)]
                    count = self.read_counts[id(connection)] + len(part)
                    peer.transport.write(part)
                    await self._until(lambda count=count: self.read_counts[id(connection)] == count)  # type: ignore[misc]
                    if int(us):
                        await super()._step(["clock", us], [])
            case [name, "crosses", event]:
                front = await self._start()
                peer = self.peers.get(name) or await self.nodes[name].peer()
                connection, read_before = self._front_side(front, name), self.read_counts.total()
                peer.transport.write(raw)
                end = time.monotonic() + 5
                with socket.socket(
                    fileno=os.dup(connection.transport.get_extra_info("socket").fileno())
                ) as sock:
                    while not self._has_unread_input(sock):
                        assert time.monotonic() < end
                assert self.read_counts.total() == read_before
                if event == "HUP":
                    front.reload()
                else:
                    await super()._step(["clock", event], [])
            case [name, "cans", then]:
                accept_patch = mock.patch.object(
                    self.nodes[name], "accept", lambda _: CannedEndpoint(raw, then)
                )
                self.patches.enter_context(accept_patch)
            case [name, "answered", us]:
                peer, advanced_us = self.peers[name], 0
                while not ClientResponse(peer.got).complete and advanced_us < int(us):
                    await super()._step(["clock", "50000"], [])
                    advanced_us += 50_000
                    for _ in range(20):  # lets the loop transfer the resulting input and output
                        await asyncio.sleep(0)
                while not (parsed_response := ClientResponse(peer.got)).complete:
                    await peer.more("a complete response")
                assert parsed_response.status in (200, 429, 502, 503), peer.got
                assert parsed_response.status != 200 or parsed_response.body == b"whole", peer.got
            case [name, "behind", *methods]:
                front = await self._start()
                listener = front.listeners[0]
                client_socket = socket.create_connection(listener.address)
                client_socket.sendall(raw)
                while not listener.accepting_count:
                    listener._accept_batch()
                for method in methods:
                    getattr(front.shutdown, method)()
                _, self.peers[name] = await asyncio.get_running_loop().create_connection(
                    Peer, sock=client_socket
                )
            case [name, "resets"]:
                peer = await self.nodes[name].peer()
                peer.transport.write(raw)
                await self._io(peer, "reset", [])
            case [name, "has" | "cut" as condition, *number]:
                peer = self.peers[name]
                while not peer.ended if condition == "cut" else len(peer.got) < int(number[0]):
                    await peer.more(condition)
                assert not ClientResponse(peer.got).complete
            case [name, "keeps"]:
                self.peers[name].eof_received = lambda: True  # type: ignore[method-assign]
            case [name, "stored"]:
                stored = list(self.nodes[name].blocks.values())
                assert stored == [line[2:].encode() for line in lines], stored
            case _:
                await super()._step(words, lines)

    @staticmethod
    def _has_unread_input(sock: socket.socket) -> bool:
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False


def play(*parts: str) -> None:
    exchange = Standing("".join(parts))
    try:
        exchange.play()
    finally:
        for sock in (*exchange.raw_clients.values(), *exchange.half_closed):
            sock.close()


# Drains during a reload or on a silent watch

SECOND_WATCH_REQUEST = WATCH_REQUEST.replace("discovery", "second")
REQUEST_IS_REJECTED_10_MS_LATER = REQUEST_IS_REJECTED.replace(
    "clock 10000000\n", "clock 10000000\nclock 10000\n"
)


def test_drain_that_arrives_as_a_reload_closes_its_watch_is_applied() -> None:
    """The front discarded unread bytes of the watch that a reload replaces, and the new discovery may send
    nothing for seconds."""
    play(
        WATCH_WITH_READY_ENDPOINT,
        "moves second\ndiscovery crosses HUP\n",
        endpoint_message(2, "draining"),
        "discovery eof\n",
        SECOND_WATCH_REQUEST.format(0),
        "counter discovery_updates 2\n",
        REQUEST_IS_REJECTED_10_MS_LATER,
    )


def test_drain_that_arrives_as_its_watch_counts_as_silent_is_applied() -> None:
    """After the front was suspended, its timers run before the input that arrived meanwhile is read."""
    play(
        WATCH_WITH_READY_ENDPOINT,
        "discovery crosses 3100000\n",
        endpoint_message(2, "draining"),
        "until discovery_updates 2\n",
        "counter discovery_breaks 0\n",
        REQUEST_IS_REJECTED_10_MS_LATER,
    )


def test_drain_is_known_in_time_though_the_new_discovery_does_not_respond_at_first() -> None:
    """The drain is known within 4 s of SIGHUP, from the complete list that the front requests. A request
    whose connection is being established is not sent to the drained endpoint."""
    play(
        WATCH_WITH_READY_ENDPOINT,
        "dials hold\n",
        asks("a", 1),
        "until attempts_sent 1\nmoves second\nsignal HUP\n",
        SECOND_WATCH_REQUEST.format(0),
        "clock 700000\nclock 110000\nsecond fresh\n",
        SECOND_WATCH_REQUEST.format(0),
        "clock 700000\nclock 110000\nsecond fresh\n",
        SECOND_WATCH_REQUEST.format(0),
        WATCH_RESPONSE.replace("discovery", "second"),
        endpoint_message(7, "draining", "true").replace("~", "second >\n~"),
        "until discovery_updates 2\ndials go\nclock 10000000\nclock 10000\na <\n& refused\nn0 ran PUT 0\n",
    )


@pytest.mark.parametrize("empty_line_count", [0, 6])
def test_drain_that_a_silent_watch_missed_is_known_within_6_s(empty_line_count: int) -> None:
    """The watch falls silent in its first seconds, or after 13 s. The front opens another, whose first call
    gets no response either."""
    play(
        WATCH_WITH_READY_ENDPOINT,
        "".join("discovery pieces 2 0\n|\nclock 2000000\n" for _ in range(empty_line_count)),
        "clock 900000\ncounter discovery_breaks 0\nclock 2110000\ncounter discovery_breaks 1\nclock 110000\n",
        "discovery fresh\n",
        WATCH_REQUEST.format(1),
        "clock 700000\nclock 110000\ndiscovery fresh\n",
        WATCH_REQUEST.format(1),
        WATCH_RESPONSE,
        endpoint_message(2, "draining"),
        "until discovery_updates 2\n",
        REQUEST_IS_REJECTED_10_MS_LATER,
    )


# Complete lists instead of changes


def _list_message(index: int, layout: str, *entries: tuple[str, str]) -> str:
    """A complete list: in one line, indented, or indented and sent byte by byte."""
    entry_lines = [
        f'{{"name":"{n}","address":"{{{n}.address}}","group":{n[1]},"status":"{s}"}}' for n, s in entries
    ]
    if layout == "line":
        return f'discovery >\n~ {{"index":{index},"snapshot":true,"endpoints":[{",".join(entry_lines)}]}}\n'
    lines = ["{", f'  "index": {index},', '  "snapshot": true,', '  "endpoints": [']
    lines += ["    " + e + ("," if k + 1 < len(entry_lines) else "") for k, e in enumerate(entry_lines)] + [
        "  ]",
        "}",
    ]
    step = "discovery pieces 1 0\n" if layout == "pieces" else "discovery >\n"
    return step + "".join(f"~ {line}\n" for line in lines)


@pytest.mark.parametrize("layout", ["line", "indented", "pieces"])
def test_complete_list_on_an_open_watch_replaces_the_earlier_list(layout: str) -> None:
    """An endpoint that is missing from the list is removed, one that drains in it gets no requests, and one
    that is listed again gets requests again."""
    ready_endpoints = ("n0", "ready"), ("n1", "ready")
    play(
        "set settings.extra.nShards 2\ndiscovery\nnode n0 0\nnode n1 1\nn1 next hold hold hold\n"
        "client a platform\nclient b platform\nclient c platform\n",
        WATCH_REQUEST.format(0),
        WATCH_RESPONSE,
        _list_message(1, layout, *ready_endpoints),
        "until discovery_updates 1\n",
        asks("a", 1),
        DONE.format("a"),
        _list_message(2, layout, ready_endpoints[1]),
        "until discovery_updates 2\n",
        asks("a", 2),
        "b >\n& read b1 / 1\nn1 release 1\nb <\n& x\nn0 ran PUT 1\n",
        _list_message(3, layout, ("n0", "draining"), ready_endpoints[1]),
        "until discovery_updates 3\n",
        asks("c", 1),
        "b >\n& read b2 / 1\nn1 release 1\nb <\n& x\nn0 ran PUT 1\n",
        _list_message(4, layout, *ready_endpoints),
        "until discovery_updates 4\n",
        DONE.format("a"),
        DONE.format("c"),
        "counter discovery_breaks 0\ncounter discovery_entries_malformed 0\n",
    )


# Connections accepted during a shutdown


def test_connection_accepted_in_the_iteration_that_closes_the_listener_is_served() -> None:
    play(
        "node n0 0\nclient a platform\n",
        well("a"),
        "c behind start drain_connections\n",
        asks("c", 1).partition("\n")[2],
        SERVED_AND_CLOSED.format("c"),
        "writes n0 PUT 1\n",
    )


def test_connection_accepted_in_the_iteration_of_the_shutdown_deadline_is_rejected() -> None:
    play(
        "node n0 0\nclient a platform\n",
        well("a"),
        "c behind start drain_connections answer_open_requests\n",
        asks("c", 1).partition("\n")[2],
        REJECTED_BY_SHUTDOWN.format("c"),
        "clock 110000\nends\nn0 ran PUT 0\n",
    )


def test_request_on_a_connection_that_the_shutdown_has_closed_is_not_sent() -> None:
    play(
        "node n0 0\nn0 next hold\nclient a platform\na keeps\n",
        asks("a", 1),
        "until attempts_written 1\n",
        "signal TERM\nclient b platform\n",
        well("b"),
        "clock 3310000\nn0 release 1\n",
        SERVED_AND_CLOSED.format("a"),
        "a pieces 4096 0\n",
        asks("a", 2).partition("\n")[2],
        "clock 310000\nclock 210000\nends\nwrites n0 PUT 1\n",
    )


def test_request_that_arrives_at_the_idle_timeout_is_served() -> None:
    idle = "a crosses 61000000\n" + asks("a", 2).partition("\n")[2]
    play(
        "node n0 0\nclient a platform\n",
        asks("a", 1),
        DONE.format("a"),
        idle,
        DONE.format("a"),
        "clock 61000000\na eof\nwrites n0 PUT 2\n",
    )
