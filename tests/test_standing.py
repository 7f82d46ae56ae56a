"""Races within one front between discovery, reloads, shutdown and client connections. Each order is forced on
real sockets with a clock that only the test advances. docs/crossings.md lists them; killed processes and
fleets are tested in test_standing_fleet.py."""

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
from tests.test_race_conditions import ANSWER, BEGIN, NOTHING_GOES, OPEN, SERVED, STOPPED, told, well
from umberlead.daemon.process import FrontProcess
from umberlead.net import server_connection, watch_stream


class StandingClock(Clock):
    """A clock that only the test advances once the front has started."""

    stood: int | None = None

    def __call__(self) -> int:
        return super().__call__() if self.stood is None else self.stood + self.added_us


class Canned(Peer):
    """A chunk server that answers each request with the same bytes, and then keeps (`stays`), closes
    (`finishes`) or resets the connection."""

    def __init__(self, answer: bytes, then: str) -> None:
        super().__init__()
        self.answer, self.then = answer, then

    def data_received(self, data: bytes) -> None:
        self.got += data
        if b"\r\n\r\n" not in self.got:
            return
        self.got = b""
        self.transport.write(self.answer)
        if self.then == "finishes":
            self.transport.close()
        elif self.then == "resets":
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Whole:
    """A response as a client parses it from the bytes that it has received."""

    def __init__(self, raw: bytes) -> None:
        self.body, self.whole = b"", False
        parser = httptools.HttpResponseParser(self)
        parser.feed_data(raw)
        self.status = parser.get_status_code() if raw else 0

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


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

    def __init__(self, of: str) -> None:
        super().__init__(of)
        self.clock: StandingClock = StandingClock()
        self.read = Counter[int]()
        for of_ in (server_connection.ServerConnection, watch_stream.WatchStream):
            take = of_.data_received

            def counted(link: Any, data: bytes, take: Any = take) -> None:
                self.read[id(link)] += len(data)
                take(link, data)

            self.patches.enter_context(mock.patch.object(of_, "data_received", counted))

    async def _start(self) -> FrontProcess:
        front = await super()._start()
        if self.clock.stood is None:
            self.clock.stood = self.clock() - self.clock.added_us
        return front

    def _link(self, front: FrontProcess, name: str) -> Any:
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
                await self._until(lambda: self._link(front, name) is not None)
                link = self._link(front, name)
                for at in range(0, len(raw), int(size)):
                    piece = raw[at : at + int(size)]
                    due = self.read[id(link)] + len(piece)
                    peer.transport.write(piece)
                    await self._until(lambda due=due: self.read[id(link)] == due)  # type: ignore[misc]
                    if int(us):
                        await super()._step(["clock", us], [])
            case [name, "crosses", what]:
                front = await self._start()
                peer = self.peers.get(name) or await self.nodes[name].peer()
                link, before = self._link(front, name), self.read.total()
                peer.transport.write(raw)
                end = time.monotonic() + 5
                with socket.socket(fileno=os.dup(link.transport.get_extra_info("socket").fileno())) as sock:
                    while not self._waits(sock):
                        assert time.monotonic() < end
                assert self.read.total() == before
                if what == "HUP":
                    front.reload()
                else:
                    await super()._step(["clock", what], [])
            case [name, "cans", then]:
                made = mock.patch.object(self.nodes[name], "accept", lambda _: Canned(raw, then))
                self.patches.enter_context(made)
            case [name, "answered", us]:
                peer, moved = self.peers[name], 0
                while not Whole(peer.got).whole and moved < int(us):
                    await super()._step(["clock", "50000"], [])
                    moved += 50_000
                    for _ in range(20):  # lets the loop transfer the resulting input and output
                        await asyncio.sleep(0)
                while not (got := Whole(peer.got)).whole:
                    await peer.more("a complete response")
                assert got.status in (200, 429, 502, 503), peer.got
                assert got.status != 200 or got.body == b"whole", peer.got
            case [name, "behind", *what]:
                front = await self._start()
                listener = front.listeners[0]
                made_ = socket.create_connection(listener.address)
                made_.sendall(raw)
                while not listener.accepting_count:
                    listener._accept_batch()
                for each in what:
                    getattr(front.shutdown, each)()
                _, self.peers[name] = await asyncio.get_running_loop().create_connection(Peer, sock=made_)
            case [name, "resets"]:
                peer = await self.nodes[name].peer()
                peer.transport.write(raw)
                await self._io(peer, "reset", [])
            case [name, "has" | "cut" as what, *number]:
                peer = self.peers[name]
                while not peer.ended if what == "cut" else len(peer.got) < int(number[0]):
                    await peer.more(what)
                assert not Whole(peer.got).whole
            case [name, "keeps"]:
                self.peers[name].eof_received = lambda: True  # type: ignore[method-assign]
            case [name, "stored"]:
                stored = list(self.nodes[name].blocks.values())
                assert stored == [line[2:].encode() for line in lines], stored
            case _:
                await super()._step(words, lines)

    @staticmethod
    def _waits(sock: socket.socket) -> bool:
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False


def play(*parts: str) -> None:
    made = Standing("".join(parts))
    try:
        made.play()
    finally:
        for sock in (*made.raw_clients.values(), *made.half_closed):
            sock.close()


# Reloads with drains, silent watches

SECOND = OPEN.replace("discovery", "second")
GOES_NOT = NOTHING_GOES.replace("clock 10000000\n", "clock 10000000\nclock 10000\n")


def test_a_drain_that_was_told_as_a_reload_leaves_its_watch_is_known() -> None:
    """The front discarded unread bytes of the watch that a reload replaces, and the new discovery may send
    nothing for seconds."""
    play(
        BEGIN,
        "moves second\ndiscovery crosses HUP\n",
        told(2, "draining"),
        "discovery eof\n",
        SECOND.format(0),
        "counter discovery_updates 2\n",
        GOES_NOT,
    )


def test_a_drain_that_was_told_as_a_watch_counts_as_silent_is_known() -> None:
    """After the front was suspended, its timers run before the input that arrived meanwhile is read."""
    play(
        BEGIN,
        "discovery crosses 3100000\n",
        told(2, "draining"),
        "until discovery_updates 2\n",
        "counter discovery_breaks 0\n",
        GOES_NOT,
    )


def test_a_new_discovery_that_hangs_first_tells_of_a_drain_in_time() -> None:
    """The drain is known within 4 s of SIGHUP, from the complete list that the front requests. A request
    whose connection is being established is not sent to the drained endpoint."""
    play(
        BEGIN,
        "dials hold\n",
        asks("a", 1),
        "until attempts_sent 1\nmoves second\nsignal HUP\n",
        SECOND.format(0),
        "clock 700000\nclock 110000\nsecond fresh\n",
        SECOND.format(0),
        "clock 700000\nclock 110000\nsecond fresh\n",
        SECOND.format(0),
        ANSWER.replace("discovery", "second"),
        told(7, "draining", "true").replace("~", "second >\n~"),
        "until discovery_updates 2\ndials go\nclock 10000000\nclock 10000\na <\n& refused\nn0 ran PUT 0\n",
    )


@pytest.mark.parametrize("quiet", [0, 6])
def test_what_a_watch_that_fell_silent_misses_is_known_in_6_s(quiet: int) -> None:
    """The watch falls silent in its first seconds, or after 13 s. The front opens another, whose first call
    gets no response either."""
    play(
        BEGIN,
        "".join("discovery pieces 2 0\n|\nclock 2000000\n" for _ in range(quiet)),
        "clock 900000\ncounter discovery_breaks 0\nclock 2110000\ncounter discovery_breaks 1\nclock 110000\n",
        "discovery fresh\n",
        OPEN.format(1),
        "clock 700000\nclock 110000\ndiscovery fresh\n",
        OPEN.format(1),
        ANSWER,
        told(2, "draining"),
        "until discovery_updates 2\n",
        GOES_NOT,
    )


# Whole lists in the place of changes


def _list(index: int, form: str, *entries: tuple[str, str]) -> str:
    """A complete list: in one line, indented, or indented and sent byte by byte."""
    each = [f'{{"name":"{n}","address":"{{{n}.address}}","group":{n[1]},"status":"{s}"}}' for n, s in entries]
    if form == "line":
        return f'discovery >\n~ {{"index":{index},"snapshot":true,"endpoints":[{",".join(each)}]}}\n'
    lines = ["{", f'  "index": {index},', '  "snapshot": true,', '  "endpoints": [']
    lines += ["    " + e + ("," if k + 1 < len(each) else "") for k, e in enumerate(each)] + ["  ]", "}"]
    how = "discovery pieces 1 0\n" if form == "pieces" else "discovery >\n"
    return how + "".join(f"~ {line}\n" for line in lines)


@pytest.mark.parametrize("form", ["line", "indented", "pieces"])
def test_a_whole_list_on_an_open_watch_takes_the_place_of_the_one_before(form: str) -> None:
    """An endpoint that is missing from the list is removed, one that drains in it gets no requests, and one
    that is listed again gets requests again."""
    both = ("n0", "ready"), ("n1", "ready")
    play(
        "set settings.extra.nShards 2\ndiscovery\nnode n0 0\nnode n1 1\nn1 next hold hold hold\n"
        "client a platform\nclient b platform\nclient c platform\n",
        OPEN.format(0),
        ANSWER,
        _list(1, form, *both),
        "until discovery_updates 1\n",
        asks("a", 1),
        DONE.format("a"),
        _list(2, form, both[1]),
        "until discovery_updates 2\n",
        asks("a", 2),
        "b >\n& read b1 / 1\nn1 release 1\nb <\n& x\nn0 ran PUT 1\n",
        _list(3, form, ("n0", "draining"), both[1]),
        "until discovery_updates 3\n",
        asks("c", 1),
        "b >\n& read b2 / 1\nn1 release 1\nb <\n& x\nn0 ran PUT 1\n",
        _list(4, form, *both),
        "until discovery_updates 4\n",
        DONE.format("a"),
        DONE.format("c"),
        "counter discovery_breaks 0\ncounter discovery_entries_malformed 0\n",
    )


# Connections behind an accept, and behind a shutdown


def test_one_accepted_in_the_turn_in_which_the_listener_closes_is_served() -> None:
    play(
        "node n0 0\nclient a platform\n",
        well("a"),
        "c behind start drain_connections\n",
        asks("c", 1).partition("\n")[2],
        SERVED.format("c"),
        "writes n0 PUT 1\n",
    )


def test_one_accepted_in_the_turn_of_the_process_s_end_is_refused() -> None:
    play(
        "node n0 0\nclient a platform\n",
        well("a"),
        "c behind start drain_connections answer_open_requests\n",
        asks("c", 1).partition("\n")[2],
        STOPPED.format("c"),
        "clock 110000\nends\nn0 ran PUT 0\n",
    )


def test_what_comes_behind_a_shutdown_is_not_sent_on() -> None:
    play(
        "node n0 0\nn0 next hold\nclient a platform\na keeps\n",
        asks("a", 1),
        "until attempts_written 1\n",
        "signal TERM\nclient b platform\n",
        well("b"),
        "clock 3310000\nn0 release 1\n",
        SERVED.format("a"),
        "a pieces 4096 0\n",
        asks("a", 2).partition("\n")[2],
        "clock 310000\nclock 210000\nends\nwrites n0 PUT 1\n",
    )


def test_a_client_that_rests_until_the_front_ends_it_may_ask_in_that_moment() -> None:
    idle = "a crosses 61000000\n" + asks("a", 2).partition("\n")[2]
    play(
        "node n0 0\nclient a platform\n",
        asks("a", 1),
        DONE.format("a"),
        idle,
        DONE.format("a"),
        "clock 61000000\na eof\nwrites n0 PUT 2\n",
    )
